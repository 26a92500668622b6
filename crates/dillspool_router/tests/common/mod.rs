//! A site without a wire: rows are single words, backend servers are closures.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_forward::{BackendAnswer, BackendCalls, CallError, OrderOutcome};
use dillspool_io::full_body;
use dillspool_platform::{
    ChangedRow, MemoryTable, PlatformError, TableDelta, TableWatch, WatchError,
};
use dillspool_router::SiteProtocol;
use dillspool_routing::{
    BackendEntry, BackendState, ClientLimits, RequestKind, RequestTerms, RouteEntry, RouteTable,
    RoutingConfig, ServiceShare,
};
use hyper::{HeaderMap, StatusCode};

/// What the store holds and what reached the backend server.
#[derive(Clone, Default)]
pub struct TestSite {
    /// Configuration row and its version; empty before the first.
    pub config: Arc<Mutex<(u64, String)>>,
    pub arrivals: Arc<Mutex<Vec<String>>>,
    /// How long the backend server works.
    pub work: Arc<Mutex<Duration>>,
    pub table: MemoryTable,
}

impl TestSite {
    pub fn write_config(&self, text: &str) {
        let mut config = self.config.lock().unwrap();
        *config = (config.0 + 1, text.to_owned());
    }
}

fn take_terms(headers: &mut HeaderMap) -> RequestTerms {
    let id = headers.get("x-id").and_then(|value| value.to_str().ok()).map(Into::into);
    RequestTerms { id, ..RequestTerms::default() }
}

fn mark_answer(headers: &mut HeaderMap, id: &str) {
    headers.insert("x-id", id.parse().expect("a header value"));
}

/// A configuration is its version and the prefix of its only route.
fn decode_config(text: &str) -> Result<RoutingConfig, String> {
    let (version, prefix) = text.split_once(' ').ok_or("no version")?;
    let route = RouteEntry {
        name: "route".into(),
        host: "a.example".into(),
        path_prefix: prefix.into(),
        kind: RequestKind::NonIdempotent,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        pause_target: None,
        priority: 1,
        max_attempts: 1,
        resumable: false,
        shares: vec![ServiceShare { service: "service".into(), weight: 1 }],
    };
    Ok(RoutingConfig {
        version: version.parse().map_err(|_malformed| "malformed version".to_owned())?,
        routes: RouteTable::new([route]),
        services: std::collections::BTreeMap::default(),
        limits: ClientLimits {
            head_bytes: 16_384,
            body_bytes: 1000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    })
}

fn decode_backend(id: &str, text: &str) -> Result<BackendEntry, String> {
    let state = match text {
        "ready" => BackendState::Ready,
        "draining" => BackendState::Draining,
        other => return Err(format!("`{other}` is no state")),
    };
    Ok(BackendEntry {
        id: id.into(),
        service: "service".into(),
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: "domain".into(),
        state,
        stage: None,
    })
}

fn rows(site: &TestSite, table: &str) -> TableDelta {
    if table == "servers" {
        let row = ChangedRow { key: "i-1".into(), version: 1, value: Some("ready".into()) };
        return TableDelta { full: true, version: 1, rows: vec![row] };
    }
    let (written, text) = site.config.lock().unwrap().clone();
    // The store's version counts the empty table too.
    let version = written + 1;
    let row = ChangedRow { key: "config".into(), version, value: Some(text.into()) };
    let rows = if written == 0 { Vec::new() } else { vec![row] };
    TableDelta { full: true, version, rows }
}

fn calls(site: &TestSite) -> BackendCalls {
    let site = site.clone();
    let refuse = || CallError::Refused { status: StatusCode::NOT_FOUND };
    BackendCalls {
        forward: Arc::new(move |_entry, request, _terms| {
            let site = site.clone();
            Box::pin(async move {
                site.arrivals.lock().unwrap().push(request.uri.to_string());
                let work = *site.work.lock().unwrap();
                tokio::time::sleep(work).await;
                Ok(BackendAnswer {
                    status: StatusCode::OK,
                    headers: HeaderMap::new(),
                    names_request: true,
                    is_sealed: true,
                    is_encoded: false,
                    did_not_run: false,
                    body: full_body(request.body.clone()),
                })
            })
        }),
        prefill: Arc::new(move |_entry, _request, _limit| Box::pin(async move { Err(refuse()) })),
        reserve: Arc::new(move |_entry, _terms| Box::pin(async move { Err(refuse()) })),
        release_hold: Arc::new(|_entry, _hold| Box::pin(async { Ok(()) })),
        release_prefill: Arc::new(|_entry, _handle| Box::pin(async { Ok(()) })),
        order: Arc::new(|_entry, _order| Box::pin(async { Ok(OrderOutcome::Started) })),
    }
}

/// The site's protocol.
pub fn site(site: &TestSite) -> SiteProtocol {
    let (for_snapshot, for_changes) = (site.clone(), site.clone());
    SiteProtocol {
        take_terms,
        mark_answer,
        decode_config,
        decode_backend,
        config_row: ("op".into(), "config".into()),
        directory_table: "servers".into(),
        own_table: "own".into(),
        calls: calls(site),
        watch: TableWatch {
            snapshot: Arc::new(move |table| {
                let delta = rows(&for_snapshot, &table);
                Box::pin(async move { Ok::<_, PlatformError>(delta) })
            }),
            changes: Arc::new(move |table, after, wait| {
                let site = for_changes.clone();
                Box::pin(async move {
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
