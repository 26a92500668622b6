//! The settings file of a routing host, read and checked.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dillspool_forward::BudgetSettings;
use dillspool_io::ByteLimits;
use dillspool_roles::ShareRule;
use dillspool_scheduler::{CallSchedulerSettings, RateLimiterSettings};
use dillspool_schema::Name;
use dillspool_schema::router::{CallSettings, LimitSettings, RouterSettings, SuspectSettings};
use dillspool_suspects::{FingerprintKey, RequestFingerprint};
use snafu::{ResultExt, Snafu};

use crate::memory_terms;
use crate::policy::{self, PolicyConfig};

/// Time after an outage in which lapsed backend servers may register again; the users' letter
/// promises about two seconds.
const LAPSE_GRACE_S: f64 = 2.0;
/// Part of a pool's engines that prefill before anything is observed; `docs/design/split.md`.
const FIRST_SHARE: f64 = 0.2;
/// Deadline of a store's call; an answer takes milliseconds, a slow one 60 times as long.
const STORE_TIMEOUT_MS: u32 = 700;
/// Time in which a change must be in force, the strictest that a site has asked for.
const CHANGE_LIMIT_MS: u32 = 2_000;
/// How long a watch is held open; a lost one is noticed that much later.
const WATCH_WAIT_MS: u32 = 2_500;

/// Shares of the workspaces: every host links to the holder of each, and a holder decides on some
/// thousand requests a second.
const LIMIT_SHARES: u32 = 4;
/// Most shares; at the two-year size 16 suffice (docs/CAPACITY.md).
const MOST_LIMIT_SHARES: u32 = 64;

/// Why the settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; give the settings file with --settings", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The file is no TOML, or a field is missing or unknown.
    #[snafu(display("{}: {}; see docs/operators/router.md", path.display(), source.message()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: toml::de::Error,
    },
    /// A field has a value that cannot be used.
    #[snafu(display("{field} is `{value}`: {remedy}"))]
    Field {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
}

/// Checked settings, with units.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Name of this host.
    pub host: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked.
    pub readiness: SocketAddr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// Where other hosts ask this one as the scheduler of a pool.
    pub schedule: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// Deadline of a store's call.
    pub store_timeout: Duration,
    /// How long a watch is held open.
    pub watch_wait: Duration,
    /// Time in which a change of the store's tables must be in force on all hosts.
    pub change_limit: Duration,
    /// Whether all hosts start for the first time.
    pub first_start: bool,
    /// Peer addresses known from the start.
    pub seeds: Vec<SocketAddr>,
    /// Bandwidth of this host's link in Mbit/s, 0 if unknown.
    pub link_mbps: f64,
    /// Budget of repeated sends.
    pub budget: BudgetSettings,
    /// How the limits of workspaces are counted.
    pub limits: RateLimiterSettings,
    /// Limits on bytes held for slow peers; `None` where they are not limited.
    pub held_bytes: Option<ByteLimits>,
    /// Key of the prints that stand for requests.
    pub fingerprint_key: FingerprintKey,
    /// Prints of requests that run whatever ended under them.
    pub lifted: Vec<RequestFingerprint>,
    /// Time from the signal to stop until the process is killed.
    pub shutdown_grace: Duration,
    /// Time after an outage in which lapsed backend servers may register again.
    pub lapse_grace: Duration,
    /// Time between the orders of two holders.
    pub order_handover_gap: Duration,
    /// What decides how many engines of a pool prefill.
    pub share_rule: ShareRule,
    /// How requests for engines are decided on.
    pub policy: PolicyConfig,
    /// Which services' calls one host decides on.
    pub calls: CallSchedulerSettings,
    /// Log level.
    pub log_level: log::LevelFilter,
}

impl RouterConfig {
    /// All addresses at which this host listens.
    pub fn listened_addresses(&self) -> [SocketAddr; 5] {
        [self.callers, self.readiness, self.peers, self.schedule, self.metrics]
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`SettingsError`] naming the field and what to write.
pub fn load_settings(path: &Path) -> Result<RouterConfig, SettingsError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let settings: RouterSettings = toml::from_str(&text).context(SyntaxSnafu { path })?;
    check(&settings)
}

fn check(settings: &RouterSettings) -> Result<RouterConfig, SettingsError> {
    let listen = &settings.listen;
    let seeds = settings.peers.seeds.iter().map(|seed| address("peers.seeds", seed));
    let (retry, orders) = (&settings.retry, &settings.orders);
    let lifecycle = &settings.lifecycle;
    let level = settings.log.as_ref().map_or("info", |log| &*log.level);
    Ok(RouterConfig {
        host: name("host", &settings.host)?,
        failure_domain: name("failure_domain", &settings.failure_domain)?,
        callers: address("listen.callers", &listen.callers)?,
        readiness: address("listen.readiness", &listen.readiness)?,
        peers: address("listen.peers", &listen.peers)?,
        schedule: address("listen.schedule", &listen.schedule)?,
        metrics: address("listen.metrics", &listen.metrics)?,
        store: address("store.address", &settings.store.address)?,
        store_timeout: millis(settings.store.call_timeout_ms, STORE_TIMEOUT_MS),
        watch_wait: millis(settings.store.watch_wait_ms, WATCH_WAIT_MS),
        change_limit: millis(settings.store.config_limit_ms, CHANGE_LIMIT_MS)
            .min(millis(settings.store.leave_limit_ms, CHANGE_LIMIT_MS)),
        first_start: settings.peers.first_start,
        seeds: seeds.collect::<Result<_, _>>()?,
        link_mbps: not_negative("peers.link_mbps", settings.peers.link_mbps.unwrap_or_default())?,
        budget: BudgetSettings {
            ratio: not_negative("retry.ratio", retry.ratio)?,
            window: seconds("retry.window_s", retry.window_s)?,
            extra: not_negative("retry.extra", retry.extra)?,
        },
        limits: limit_terms(settings.limits.as_ref())?,
        held_bytes: memory_terms::check(settings.memory.as_ref())?,
        fingerprint_key: fingerprint_key(settings.suspects.as_ref()),
        lifted: lifted(settings.suspects.as_ref())?,
        shutdown_grace: seconds("lifecycle.grace_s", lifecycle.grace_s)?,
        lapse_grace: seconds(
            "lifecycle.lapse_grace_s",
            lifecycle.lapse_grace_s.unwrap_or(LAPSE_GRACE_S),
        )?,
        order_handover_gap: seconds("orders.lease_ms", orders.lease_ms / 1000.0)?,
        share_rule: share_rule(orders.prefill_share)?,
        policy: policy::check(settings.policy.as_ref())?,
        calls: call_terms(settings.calls.as_ref())?,
        log_level: level.parse().map_err(|_unknown| SettingsError::Field {
            field: "log.level",
            value: level.to_owned(),
            remedy: "give error, warn, info, debug or trace",
        })?,
    })
}

/// The terms of limits; without them a holder grants no more than the limits say.
fn limit_terms(settings: Option<&LimitSettings>) -> Result<RateLimiterSettings, SettingsError> {
    let slack = settings.and_then(|settings| settings.slack).unwrap_or_default();
    let shares = settings.map_or(LIMIT_SHARES, |settings| settings.shares);
    if shares == 0 || shares > MOST_LIMIT_SHARES {
        let remedy = "give a number of shares between 1 and 64, the same on all hosts";
        return FieldSnafu { field: "limits.shares", value: shares.to_string(), remedy }.fail();
    }
    Ok(RateLimiterSettings { slack: not_negative("limits.slack", slack)?, shares: shares as usize })
}

/// The terms of calls; without them each host decides on its own.
fn call_terms(settings: Option<&CallSettings>) -> Result<CallSchedulerSettings, SettingsError> {
    let slots = settings.and_then(|settings| settings.slots_per_host).unwrap_or_default();
    let slots_per_host = not_negative("calls.slots_per_host", slots)?;
    Ok(CallSchedulerSettings { slots_per_host, ..CallSchedulerSettings::default() })
}

/// The key of prints; without one all fleets have the same.
fn fingerprint_key(settings: Option<&SuspectSettings>) -> FingerprintKey {
    let key = settings.map(|settings| &*settings.key).filter(|key| !key.is_empty());
    key.map_or_else(FingerprintKey::default, FingerprintKey::new)
}

fn lifted(settings: Option<&SuspectSettings>) -> Result<Vec<RequestFingerprint>, SettingsError> {
    let prints = settings.into_iter().flat_map(|settings| &settings.lifted);
    let parse = |text: &String| {
        text.parse().map_err(|_malformed| SettingsError::Field {
            field: "suspects.lifted",
            value: text.clone(),
            remedy: "give prints as the log and `dillspool suspects` show them",
        })
    };
    prints.map(parse).collect()
}

/// The rule for an optional part of a pool.
fn share_rule(share: Option<f64>) -> Result<ShareRule, SettingsError> {
    match share {
        None => Ok(ShareRule::Observed { initial_share: FIRST_SHARE }),
        Some(share) if share > 0.0 && share < 1.0 => Ok(ShareRule::Fixed(share)),
        Some(share) => {
            let remedy = "give a part between 0 and 1, or leave it out so that it follows the load";
            FieldSnafu { field: "orders.prefill_share", value: share.to_string(), remedy }.fail()
        }
    }
}

fn name(field: &'static str, value: &Name) -> Result<Name, SettingsError> {
    if value.is_empty() {
        let remedy = "give a name";
        return FieldSnafu { field, value: "", remedy }.fail();
    }
    Ok(Name::clone(value))
}

fn address(field: &'static str, value: &str) -> Result<SocketAddr, SettingsError> {
    value.parse().map_err(|_malformed| SettingsError::Field {
        field,
        value: value.to_owned(),
        remedy: "give IP number and port",
    })
}

fn not_negative(field: &'static str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    let remedy = "give a number that is not negative";
    FieldSnafu { field, value: value.to_string(), remedy }.fail()
}

fn seconds(field: &'static str, value: f64) -> Result<Duration, SettingsError> {
    Duration::try_from_secs_f64(value).map_err(|_range| SettingsError::Field {
        field,
        value: value.to_string(),
        remedy: "give a time that is not negative",
    })
}

/// A time in milliseconds; zero, which no call could keep, stands for the default.
fn millis(value: u32, default: u32) -> Duration {
    Duration::from_millis(u64::from(if value == 0 { default } else { value }))
}

/// Notices that a settings file was replaced, also when no signal says so.
#[derive(Clone, Debug)]
pub struct SettingsWatch {
    path: PathBuf,
    text: Option<String>,
}

impl SettingsWatch {
    /// Watches a file from its present text on.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), text: std::fs::read_to_string(path).ok() }
    }

    /// Whether the file has another text than last time; one that cannot be read has not changed.
    pub fn has_changed(&mut self) -> bool {
        let Ok(text) = std::fs::read_to_string(&self.path) else { return false };
        let changed = self.text.as_ref() != Some(&text);
        self.text = Some(text);
        changed
    }
}
