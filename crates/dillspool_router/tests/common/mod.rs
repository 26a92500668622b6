//! A site without a wire format: rows are single words, and backend servers are closures.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod tracked;

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_dialer::BackendDialer;
use dillspool_forward::{
    BackendCalls, BackendResponse, BudgetSettings, CallError, OrderOutcome, ProbeResult,
};
use dillspool_io::{HostClock, MemoryNet, WallClock, full_body};
use dillspool_keys::{CallerKey, PresentedKey};
use dillspool_leaving::LeavingTracker;
use dillspool_platform::{
    ChangedRow, MemoryTable, PlatformError, TableDelta, TableWatch, WatchError,
};
use dillspool_roles::ShareRule;
use dillspool_router::{PolicyConfig, RouterConfig, SiteProtocol};
use dillspool_routing::{
    BackendEntry, BackendStart, BackendState, ClientLimits, RequestKind, RequestMetadata,
    RouteEntry, RouteTable, RoutingConfig, ServiceShare, SoftwareVersion, WorkspaceEntry,
    WorkspaceTable,
};
use dillspool_scheduler::{CallSchedulerSettings, RateLimiterSettings};
use dillspool_suspects::FingerprintKey;
use dillspool_throttle::ThrottleTracker;
use hyper::{HeaderMap, StatusCode};

/// Address on which the host accepts callers.
pub const CALLERS: &str = "10.0.0.1:8144";
/// Address of the readiness endpoint.
pub const READINESS: &str = "10.0.0.1:8140";

/// Settings of a host.
pub fn config() -> RouterConfig {
    let address = |text: &str| text.parse().expect("an address");
    RouterConfig {
        host: "host-1".into(),
        failure_domain: "domain".into(),
        callers: address(CALLERS),
        readiness: address(READINESS),
        peers: address("10.0.0.1:8146"),
        metrics: address("10.0.0.1:7660"),
        schedule: address("10.0.0.1:7661"),
        store: address("10.0.0.9:1"),
        store_timeout: Duration::from_millis(700),
        watch_wait: Duration::from_millis(2500),
        change_limit: Duration::from_secs(2),
        first_start: false,
        seeds: vec![],
        link_mbps: 0.0,
        budget: BudgetSettings { ratio: 0.2, window: Duration::from_secs(10), extra: 56.0 },
        limits: RateLimiterSettings { slack: 0.0, shares: 2 },
        held_bytes: None,
        fingerprint_key: FingerprintKey::default(),
        lifted: vec![],
        wall_clock: WallClock::system(),
        shutdown_grace: Duration::from_secs(8),
        lapse_grace: Duration::from_secs(2),
        order_handover_gap: Duration::from_secs(3),
        share_rule: ShareRule::Fixed(0.2),
        policy: PolicyConfig::default(),
        calls: CallSchedulerSettings::default(),
        log_level: log::LevelFilter::Info,
    }
}

/// Content of the store, and the requests that reached the backend server.
#[derive(Clone, Default)]
pub struct TestSite {
    /// Version and text of the configuration row; empty before the first write.
    pub config: Arc<Mutex<(u64, String)>>,
    pub arrivals: Arc<Mutex<Vec<String>>>,
    /// How long the backend server takes per request.
    pub work: Arc<Mutex<Duration>>,
    pub table: MemoryTable,
    /// Whether the store refuses this host's calls.
    pub is_store_unavailable: Arc<AtomicBool>,
}

impl TestSite {
    pub fn write_config(&self, text: &str) {
        let mut config = self.config.lock().unwrap();
        *config = (config.0 + 1, text.to_owned());
    }

    fn check_available(&self) -> Result<(), PlatformError> {
        if self.is_store_unavailable.load(Ordering::Relaxed) {
            return Err(PlatformError::NotDone { reason: "turned away".to_owned() });
        }
        Ok(())
    }
}

fn extract_metadata(headers: &mut HeaderMap) -> RequestMetadata {
    let id = headers.get("x-id").and_then(|value| value.to_str().ok()).map(Into::into);
    let key = headers.remove("x-key").and_then(|value| CallerKey::new(value.to_str().ok()?));
    let key = key.map_or(PresentedKey::Missing, PresentedKey::One);
    RequestMetadata { id, key, ..RequestMetadata::default() }
}

fn set_request_id(headers: &mut HeaderMap, id: &str) {
    headers.insert("x-id", id.parse().expect("a header value"));
}

/// Workspaces in the form NAME:KEY,KEY; the word `keyless` is not one of them.
fn workspaces(words: &[&str]) -> Option<WorkspaceTable> {
    let words: Vec<_> = words.iter().filter_map(|word| word.split_once(':')).collect();
    let entry = |(name, keys): (&str, &str)| {
        let entry = WorkspaceEntry { name: name.into(), priority: 0, limit: None };
        (entry, keys.split(',').filter_map(CallerKey::new).collect())
    };
    (!words.is_empty()).then(|| WorkspaceTable::new(words.into_iter().map(entry)))
}

/// A configuration consists of its version, the path prefix of its only route, and the workspaces.
pub fn decode_config(text: &str) -> Result<RoutingConfig, String> {
    let words: Vec<_> = text.split(' ').collect();
    let [version, prefix, rest @ ..] = words.as_slice() else {
        return Err("no version".to_owned());
    };
    let route = RouteEntry {
        name: "route".into(),
        host: "a.example".into(),
        path_prefix: (*prefix).into(),
        kind: RequestKind::NonIdempotent,
        timeout: Duration::from_secs(15),
        objective: Duration::from_millis(300),
        max_event_gap: None,
        priority: 1,
        max_attempts: 1,
        resumable: false,
        keyless: rest.contains(&"keyless"),
        shares: vec![ServiceShare { service: "service".into(), weight: 1 }],
    };
    Ok(RoutingConfig {
        version: version.parse().map_err(|_malformed| "malformed version".to_owned())?,
        routes: RouteTable::new([route]),
        services: std::collections::BTreeMap::default(),
        workspaces: workspaces(rest),
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1000,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    })
}

fn decode_backend(id: &str, text: &str) -> Result<BackendEntry, String> {
    let (text, start) = match text.split_once(" since ") {
        Some((text, start)) => (text, Some(BackendStart(start.parse().expect("a start")))),
        None => (text, None),
    };
    let (text, address) = match text.split_once("at ") {
        Some(("", address)) => ("ready", address.parse().expect("an address")),
        Some(_) | None => (text, ([127, 0, 0, 1], 9).into()),
    };
    let state = match text {
        "ready" => BackendState::Ready,
        "draining" => BackendState::Draining,
        other => return Err(format!("`{other}` is no state")),
    };
    Ok(BackendEntry {
        id: id.into(),
        start,
        software: SoftwareVersion::default(),
        service: "service".into(),
        address,
        failure_domain: "domain".into(),
        state,
        stage: None,
        slots: None,
    })
}

fn rows(site: &TestSite, table: &str) -> TableDelta {
    if table == "servers" {
        let row = ChangedRow { key: "i-1".into(), version: 1.into(), value: Some("ready".into()) };
        return TableDelta { full: true, version: 1.into(), rows: vec![row] };
    }
    let (written, text) = site.config.lock().unwrap().clone();
    // The version of the store includes the empty table.
    let version = written + 1;
    let row =
        ChangedRow { key: "config".into(), version: version.into(), value: Some(text.into()) };
    let rows = if written == 0 { Vec::new() } else { vec![row] };
    TableDelta { full: true, version: version.into(), rows }
}

fn calls(site: &TestSite) -> BackendCalls {
    let site = site.clone();
    let refuse = || CallError::Refused { status: StatusCode::NOT_FOUND };
    BackendCalls {
        forward: Arc::new(move |_entry, request, _terms| {
            let site = site.clone();
            Box::pin(async move {
                let workspace = request.workspace.as_ref().map_or("", |it| &*it.name);
                let arrival = format!("{}{workspace}", request.uri);
                site.arrivals.lock().unwrap().push(arrival);
                let work = *site.work.lock().unwrap();
                tokio::time::sleep(work).await;
                Ok(BackendResponse {
                    status: StatusCode::OK,
                    headers: HeaderMap::new(),
                    matches_request_id: true,
                    is_sealed: true,
                    is_encoded: false,
                    did_not_run: false,
                    body: full_body(request.body.clone()),
                })
            })
        }),
        prefill: Arc::new(move |_entry, _request, _limit| Box::pin(async move { Err(refuse()) })),
        reserve: Arc::new(move |_entry, _terms| Box::pin(async move { Err(refuse()) })),
        release_reservation: Arc::new(|_entry, _hold| Box::pin(async { Ok(()) })),
        release_prefill: Arc::new(|_entry, _handle| Box::pin(async { Ok(()) })),
        probe: Arc::new(|_entry| Box::pin(async { ProbeResult::Reachable })),
        order: Arc::new(|_entry, _order| Box::pin(async { Ok(OrderOutcome::Started) })),
    }
}

/// Protocol of the test site.
pub fn site(site: &TestSite) -> SiteProtocol {
    let (for_snapshot, for_changes) = (site.clone(), site.clone());
    SiteProtocol {
        extract_metadata,
        set_request_id,
        decode_config,
        decode_backend,
        drained_domain: |key| key.strip_prefix("drained/"),
        config_row: ("op".into(), "config".into()),
        directory_table: "servers".into(),
        own_table: "own".into(),
        calls: calls(site),
        dialer: BackendDialer::new(
            &MemoryNet::new().stack(IpAddr::from([10, 0, 0, 1])),
            &HostClock::steady(),
        ),
        throttle: ThrottleTracker::new(HostClock::steady()),
        leaving: LeavingTracker::new(HostClock::steady()),
        watch: TableWatch {
            snapshot: Arc::new(move |table| {
                let site = for_snapshot.clone();
                Box::pin(async move {
                    site.check_available()?;
                    Ok::<_, PlatformError>(rows(&site, &table))
                })
            }),
            changes: Arc::new(move |table, after, wait| {
                let site = for_changes.clone();
                Box::pin(async move {
                    site.check_available().map_err(|source| WatchError::Store { source })?;
                    let mut delta = rows(&site, &table);
                    if delta.version <= after {
                        tokio::time::sleep(wait).await;
                        delta = rows(&site, &table);
                    }
                    delta.full = false;
                    Ok::<_, WatchError>(delta)
                })
            }),
        },
        store: site.table.store(),
        label: "test".into(),
    }
}
