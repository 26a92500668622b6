//! Reads and validates the settings file of a routing host.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dillspool_forward::BudgetSettings;
use dillspool_io::{ByteLimits, WallClock};
use dillspool_roles::ShareRule;
use dillspool_scheduler::{CallSchedulerSettings, RateLimiterSettings};
use dillspool_schema::Name;
use dillspool_schema::router::{CallSettings, LimitSettings, RouterSettings, SuspectSettings};
use dillspool_suspects::{FingerprintKey, RequestFingerprint};
use snafu::{ResultExt, Snafu};

use crate::memory_limits;
use crate::policy::{self, PolicyConfig};

/// Time after an outage during which lapsed backend servers may register again; users are promised
/// about two seconds.
const DEFAULT_LAPSE_GRACE_S: f64 = 2.0;
/// Share of a pool's engines that run prefill before any load is observed; see
/// `docs/design/split.md`.
const INITIAL_PREFILL_SHARE: f64 = 0.2;
/// Timeout of a store call; a response normally takes milliseconds, a slow one 60 times as long.
const DEFAULT_STORE_TIMEOUT_MS: u32 = 700;
/// Time within which a change must be in force, the strictest value that a site has required.
const DEFAULT_CHANGE_LIMIT_MS: u32 = 2_000;
/// How long a watch request is held open; a lost one is detected only after this time.
const DEFAULT_WATCH_WAIT_MS: u32 = 2_500;

/// Number of shares that workspaces are split into. Every host links to the holder of each share,
/// and a holder decides on several thousand requests per second.
const DEFAULT_LIMIT_SHARES: u32 = 4;
/// Maximum number of shares; 16 are enough at the size expected in two years (docs/CAPACITY.md).
const MAX_LIMIT_SHARES: u32 = 64;

/// Reason why the settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; give the settings file with --settings", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is missing or unknown.
    #[snafu(display("{}: {}; see docs/operators/router.md", path.display(), source.message()))]
    Syntax {
        /// Path of the file.
        path: PathBuf,
        /// The underlying error.
        source: toml::de::Error,
    },
    /// A field has an invalid value.
    #[snafu(display("{field} is `{value}`: {remedy}"))]
    Field {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
}

/// Validated settings, with units.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Name of this host.
    pub host: Name,
    /// Failure domain of this host.
    pub failure_domain: Name,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness: SocketAddr,
    /// Address on which other hosts connect.
    pub peers: SocketAddr,
    /// Address on which other hosts reach this host's scheduler.
    pub schedule: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Timeout of a store call.
    pub store_timeout: Duration,
    /// How long a watch request is held open.
    pub watch_wait: Duration,
    /// Time within which a change to the store's tables must be in force on all hosts.
    pub change_limit: Duration,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Peer addresses known at startup.
    pub seeds: Vec<SocketAddr>,
    /// Bandwidth of this host's link in Mbit/s; 0 if unknown.
    pub link_mbps: f64,
    /// Retry budget.
    pub budget: BudgetSettings,
    /// How the limits of workspaces are enforced.
    pub limits: RateLimiterSettings,
    /// Limits on bytes held for slow peers; `None` if they are not limited.
    pub held_bytes: Option<ByteLimits>,
    /// Key for the fingerprints of requests.
    pub fingerprint_key: FingerprintKey,
    /// Fingerprints of requests that are always allowed to run, whatever backend servers crashed on
    /// them.
    pub lifted: Vec<RequestFingerprint>,
    /// Time from the stop signal until the process is killed.
    pub shutdown_grace: Duration,
    /// Time after an outage during which lapsed backend servers may register again.
    pub lapse_grace: Duration,
    /// Time between the orders of two consecutive lease holders.
    pub order_handover_gap: Duration,
    /// Rule that determines how many engines of a pool run prefill.
    pub share_rule: ShareRule,
    /// Admission policy for model requests.
    pub policy: PolicyConfig,
    /// For which services one host schedules the calls of all.
    pub calls: CallSchedulerSettings,
    /// Clock for timestamps that other hosts read.
    pub wall_clock: WallClock,
    /// Log level.
    pub log_level: log::LevelFilter,
}

impl RouterConfig {
    /// All addresses on which this host listens.
    pub fn listened_addresses(&self) -> [SocketAddr; 5] {
        [self.callers, self.readiness, self.peers, self.schedule, self.metrics]
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// [`SettingsError`] with the invalid field and how to correct it.
pub fn load_settings(path: &Path) -> Result<RouterConfig, SettingsError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let settings: RouterSettings = toml::from_str(&text).context(SyntaxSnafu { path })?;
    check(&settings)
}

fn check(settings: &RouterSettings) -> Result<RouterConfig, SettingsError> {
    let listen = &settings.listen;
    let seeds = settings.peers.seeds.iter().map(|seed| parse_address("peers.seeds", seed));
    let (retry, orders) = (&settings.retry, &settings.orders);
    let lifecycle = &settings.lifecycle;
    let level = settings.log.as_ref().map_or("info", |log| &*log.level);
    Ok(RouterConfig {
        host: parse_name("host", &settings.host)?,
        failure_domain: parse_name("failure_domain", &settings.failure_domain)?,
        callers: parse_address("listen.callers", &listen.callers)?,
        readiness: parse_address("listen.readiness", &listen.readiness)?,
        peers: parse_address("listen.peers", &listen.peers)?,
        schedule: parse_address("listen.schedule", &listen.schedule)?,
        metrics: parse_address("listen.metrics", &listen.metrics)?,
        store: parse_address("store.address", &settings.store.address)?,
        store_timeout: millis_or_default(settings.store.call_timeout_ms, DEFAULT_STORE_TIMEOUT_MS),
        watch_wait: millis_or_default(settings.store.watch_wait_ms, DEFAULT_WATCH_WAIT_MS),
        change_limit: millis_or_default(settings.store.config_limit_ms, DEFAULT_CHANGE_LIMIT_MS)
            .min(millis_or_default(settings.store.leave_limit_ms, DEFAULT_CHANGE_LIMIT_MS)),
        first_start: settings.peers.first_start,
        seeds: seeds.collect::<Result<_, _>>()?,
        link_mbps: parse_non_negative(
            "peers.link_mbps",
            settings.peers.link_mbps.unwrap_or_default(),
        )?,
        budget: BudgetSettings {
            ratio: parse_non_negative("retry.ratio", retry.ratio)?,
            window: parse_seconds("retry.window_s", retry.window_s)?,
            extra: parse_non_negative("retry.extra", retry.extra)?,
        },
        limits: check_limits(settings.limits.as_ref())?,
        held_bytes: memory_limits::check(settings.memory.as_ref())?,
        fingerprint_key: fingerprint_key(settings.suspects.as_ref()),
        wall_clock: WallClock::system(),
        lifted: parse_lifted(settings.suspects.as_ref())?,
        shutdown_grace: parse_seconds("lifecycle.grace_s", lifecycle.grace_s)?,
        lapse_grace: parse_seconds(
            "lifecycle.lapse_grace_s",
            lifecycle.lapse_grace_s.unwrap_or(DEFAULT_LAPSE_GRACE_S),
        )?,
        order_handover_gap: parse_seconds("orders.lease_ms", orders.lease_ms / 1000.0)?,
        share_rule: check_share_rule(orders.prefill_share)?,
        policy: policy::check(settings.policy.as_ref())?,
        calls: check_calls(settings.calls.as_ref())?,
        log_level: level.parse().map_err(|_unknown| SettingsError::Field {
            field: "log.level",
            value: level.to_owned(),
            remedy: "give error, warn, info, debug or trace",
        })?,
    })
}

/// Settings of limits; by default, a holder grants no more than the limits allow.
fn check_limits(settings: Option<&LimitSettings>) -> Result<RateLimiterSettings, SettingsError> {
    let slack = settings.and_then(|settings| settings.slack).unwrap_or_default();
    let shares = settings.map_or(DEFAULT_LIMIT_SHARES, |settings| settings.shares);
    if shares == 0 || shares > MAX_LIMIT_SHARES {
        let remedy = "give a number of shares between 1 and 64, the same on all hosts";
        return FieldSnafu { field: "limits.shares", value: shares.to_string(), remedy }.fail();
    }
    Ok(RateLimiterSettings {
        slack: parse_non_negative("limits.slack", slack)?,
        shares: shares as usize,
    })
}

/// Settings of call scheduling; by default, each host decides on its own.
fn check_calls(settings: Option<&CallSettings>) -> Result<CallSchedulerSettings, SettingsError> {
    let slots = settings.and_then(|settings| settings.slots_per_host).unwrap_or_default();
    let slots_per_host = parse_non_negative("calls.slots_per_host", slots)?;
    Ok(CallSchedulerSettings { slots_per_host, ..CallSchedulerSettings::default() })
}

/// Key for fingerprints; the default is the same for all fleets.
fn fingerprint_key(settings: Option<&SuspectSettings>) -> FingerprintKey {
    let key = settings.map(|settings| &*settings.key).filter(|key| !key.is_empty());
    key.map_or_else(FingerprintKey::default, FingerprintKey::new)
}

fn parse_lifted(
    settings: Option<&SuspectSettings>,
) -> Result<Vec<RequestFingerprint>, SettingsError> {
    let fingerprints = settings.into_iter().flat_map(|settings| &settings.lifted);
    let parse = |text: &String| {
        text.parse().map_err(|_malformed| SettingsError::Field {
            field: "suspects.lifted",
            value: text.clone(),
            remedy: "give fingerprints as the log and `dillspool suspects` show them",
        })
    };
    fingerprints.map(parse).collect()
}

/// Rule for the share of prefill engines in a pool.
fn check_share_rule(share: Option<f64>) -> Result<ShareRule, SettingsError> {
    match share {
        None => Ok(ShareRule::Observed { initial_share: INITIAL_PREFILL_SHARE }),
        Some(share) if share > 0.0 && share < 1.0 => Ok(ShareRule::Fixed(share)),
        Some(share) => {
            let remedy = "give a fraction between 0 and 1, or omit it so that it follows the load";
            FieldSnafu { field: "orders.prefill_share", value: share.to_string(), remedy }.fail()
        }
    }
}

fn parse_name(field: &'static str, value: &Name) -> Result<Name, SettingsError> {
    if value.is_empty() {
        let remedy = "give a name";
        return FieldSnafu { field, value: "", remedy }.fail();
    }
    Ok(Name::clone(value))
}

fn parse_address(field: &'static str, value: &str) -> Result<SocketAddr, SettingsError> {
    value.parse().map_err(|_malformed| SettingsError::Field {
        field,
        value: value.to_owned(),
        remedy: "give IP number and port",
    })
}

fn parse_non_negative(field: &'static str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    let remedy = "give a number that is not negative";
    FieldSnafu { field, value: value.to_string(), remedy }.fail()
}

fn parse_seconds(field: &'static str, value: f64) -> Result<Duration, SettingsError> {
    Duration::try_from_secs_f64(value).map_err(|_range| SettingsError::Field {
        field,
        value: value.to_string(),
        remedy: "give a time that is not negative",
    })
}

/// A duration in milliseconds; zero, which no call could meet, selects the default.
fn millis_or_default(value: u32, default: u32) -> Duration {
    Duration::from_millis(u64::from(if value == 0 { default } else { value }))
}

/// Detects that a settings file was replaced, even without a signal.
#[derive(Clone, Debug)]
pub struct SettingsWatch {
    path: PathBuf,
    text: Option<String>,
}

impl SettingsWatch {
    /// Watches a file, starting from its current content.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), text: std::fs::read_to_string(path).ok() }
    }

    /// Returns whether the content differs from the last check; an unreadable file counts as
    /// unchanged.
    pub fn has_changed(&mut self) -> bool {
        let Ok(text) = std::fs::read_to_string(&self.path) else { return false };
        let changed = self.text.as_ref() != Some(&text);
        self.text = Some(text);
        changed
    }
}
