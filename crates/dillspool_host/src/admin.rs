//! HTTP API for operators.

use std::fmt;
use std::sync::Arc;

use dillspool_config::{AppliedConfig, ApplyError, AuditRow, ConfigVersion, parse_configuration};
use dillspool_io::{HttpHandler, ResponseBody, handler, read_body, text_response};
use dillspool_keys::CallerKey;
use dillspool_peer::HostView;
use dillspool_platform::TableStore;
use dillspool_schema::Name;
use dillspool_schema::settings::OperatorKey;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::acks::read_acks;
use crate::config_replica::ConfigReplica;
use crate::metrics::{HostMetrics, MetricsSnapshot};
use crate::scheduler_registry::SchedulerRegistry;

/// Maximum size of a configuration; the size planned for two years ahead needs about 2 MB.
const MAX_CONFIG_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of audit rows in one response.
const MAX_AUDIT_ROWS: usize = 100;

/// A configuration to apply.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ApplyRequest {
    /// Version that the change is based on; the apply fails if another one is committed. `None`
    /// skips the check.
    pub expected: Option<ConfigVersion>,
    /// The TOML text.
    pub text: String,
}

/// Result of an apply.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ApplyReply {
    /// Committed version.
    pub version: ConfigVersion,
    /// The changes, one line each.
    pub changes: Vec<String>,
}

/// The active configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigReply {
    /// Its version.
    pub version: ConfigVersion,
    /// Its digest.
    pub digest: Name,
    /// The configuration.
    pub configuration: dillspool_schema::configuration::Configuration,
}

/// A host in the status.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostLine {
    /// Name.
    pub host: Name,
    /// Whether the platform's host list contains it.
    pub listed: bool,
    /// Whether a change must be active on it to be accepted: it is on the list, it serves this
    /// request, or it was heard from within the lease time.
    pub counted: bool,
    /// Version that it has acknowledged.
    pub version: ConfigVersion,
    /// Whether it is draining, as far as this host knows.
    pub draining: bool,
}

/// A pool in the status.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PoolLine {
    /// Name.
    pub pool: Name,
    /// Host that schedules it, as this host sees it.
    pub scheduler: Name,
    /// Requests queued at this host's scheduler.
    pub waiting: usize,
    /// Slots reserved at this host's scheduler.
    pub held: usize,
}

/// The state of the system as one host sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatusReply {
    /// Host that serves this request.
    pub host: Name,
    /// Newest committed version, `None` while the table is unreachable.
    pub committed: Option<ConfigVersion>,
    /// Version that is active on this host.
    pub in_force: ConfigVersion,
    /// Whether the platform's host list was read recently; no version is accepted without it.
    pub list_fresh: bool,
    /// All hosts.
    pub hosts: Vec<HostLine>,
    /// All pools.
    pub pools: Vec<PoolLine>,
}

impl StatusReply {
    /// Returns why a version is not accepted yet: a line for each host that has not acknowledged it,
    /// and one if the host list is unknown. Empty once the version is accepted.
    pub fn unconfirmed(&self, version: ConfigVersion) -> Vec<String> {
        let behind = self.hosts.iter().filter(|it| it.counted && it.version < version);
        let mut lines: Vec<String> = behind.map(|it| it.host.to_string()).collect();
        if !self.list_fresh {
            lines.push("hosts of the platform's host list, which cannot be read".to_owned());
        }
        lines
    }
}

/// Why an operator's request failed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AdminProblem {
    /// Short machine-readable cause.
    pub code: Name,
    /// What happened and what the operator can do.
    pub message: String,
}

/// State of the host that the operators' API uses.
#[derive(Clone)]
pub(crate) struct AdminContext {
    pub(crate) config_replica: ConfigReplica,
    pub(crate) table: TableStore,
    pub(crate) view: HostView,
    pub(crate) schedulers: SchedulerRegistry,
    pub(crate) operators: Arc<[OperatorKey]>,
    pub(crate) metrics: Arc<HostMetrics>,
    pub(crate) snapshot: Arc<dyn Fn() -> MetricsSnapshot + Send + Sync>,
    /// Why the host is not ready, `None` when it is.
    pub(crate) unready_reason: Arc<dyn Fn() -> Option<&'static str> + Send + Sync>,
    /// Cancelled to start a drain.
    pub(crate) drain: CancellationToken,
    /// Generates a unique token for each attempt to apply a configuration.
    pub(crate) attempt_token: Arc<dyn Fn() -> Name + Send + Sync>,
}

impl fmt::Debug for AdminContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdminContext")
    }
}

/// The HTTP status and body of a failed request.
struct AdminRefusal {
    status: StatusCode,
    problem: AdminProblem,
}

type AdminResult = Result<Response<ResponseBody>, AdminRefusal>;

/// Returns the HTTP handler of the operators' listener.
pub(crate) fn operators_handler(context: AdminContext) -> HttpHandler {
    handler(move |request| {
        let context = context.clone();
        async move {
            match dispatch(&context, request).await {
                Ok(response) => response,
                Err(refusal) => json(refusal.status, &refusal.problem),
            }
        }
    })
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    text_response(status, "application/json", text)
}

fn problem(status: StatusCode, code: &str, message: impl fmt::Display) -> AdminRefusal {
    let problem = AdminProblem { code: code.into(), message: message.to_string() };
    AdminRefusal { status, problem }
}

async fn dispatch(context: &AdminContext, request: Request<Incoming>) -> AdminResult {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => return Ok(text_response(StatusCode::OK, "text/plain", "ok")),
        (&Method::GET, "/readyz") => return Ok(readiness(context)),
        (&Method::GET, "/metrics") => return Ok(metrics(context)),
        _ => {}
    }
    let operator = authenticate(context, &request)?;
    match (request.method(), path.as_str()) {
        (&Method::POST, "/apply") => apply(context, operator, request).await,
        (&Method::GET, "/config") => config(context),
        (&Method::GET, "/status") => Ok(json(StatusCode::OK, &status(context).await)),
        (&Method::GET, "/audit") => audit(context, request.uri().query()).await,
        (&Method::POST, "/drain") => {
            log::info!("event=drain_asked operator={operator}");
            context.drain.cancel();
            Ok(json(StatusCode::ACCEPTED, &()))
        }
        _ => Err(problem(StatusCode::NOT_FOUND, "no_such_path", "see docs/operators/api.md")),
    }
}

fn readiness(context: &AdminContext) -> Response<ResponseBody> {
    match (context.unready_reason)() {
        None => text_response(StatusCode::OK, "text/plain", "ready"),
        Some(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", reason),
    }
}

fn metrics(context: &AdminContext) -> Response<ResponseBody> {
    context.metrics.page((context.snapshot)())
}

fn authenticate(context: &AdminContext, request: &Request<Incoming>) -> Result<Name, AdminRefusal> {
    let key = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(CallerKey::from_bearer);
    let operator = key
        .and_then(|key| context.operators.iter().find(|operator| key.matches(&operator.key_hash)));
    let Some(operator) = operator else {
        let message = "the key is missing or unknown; set DILLSPOOL_KEY to an operator's key";
        return Err(problem(StatusCode::UNAUTHORIZED, "unknown_key", message));
    };
    Ok(Name::clone(&operator.name))
}

async fn apply(context: &AdminContext, operator: Name, request: Request<Incoming>) -> AdminResult {
    let refuse = |code, message: String| Err(problem(StatusCode::BAD_REQUEST, code, message));
    let body = match read_body(request.into_body(), MAX_CONFIG_BYTES).await {
        Ok(body) => body,
        Err(error) => return refuse("bad_body", error.to_string()),
    };
    let request: ApplyRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(error) => return refuse("bad_body", error.to_string()),
    };
    let configuration = match parse_configuration("configuration", &request.text) {
        Ok(configuration) => configuration,
        Err(error) => return refuse("invalid_configuration", error.to_string()),
    };
    let token = (context.attempt_token)();
    // If the store was restored from a copy, its lost record is written again first, so that the
    // change gets a version of its own.
    context.config_replica.poll().await;
    let store = context.config_replica.store();
    match store.apply(request.expected, &configuration, operator, token).await {
        Ok(AppliedConfig { version, changes }) => {
            context.config_replica.poll().await;
            Ok(json(StatusCode::OK, &ApplyReply { version, changes }))
        }
        Err(error) => {
            let (status, code) = match error {
                ApplyError::LostRace { .. } => (StatusCode::CONFLICT, "lost_race"),
                ApplyError::NotApplied { .. } => (StatusCode::SERVICE_UNAVAILABLE, "not_applied"),
                ApplyError::Unclear { .. } => (StatusCode::GATEWAY_TIMEOUT, "unclear"),
                ApplyError::Corrupt { .. } => (StatusCode::INTERNAL_SERVER_ERROR, "corrupt"),
            };
            Err(problem(status, code, error))
        }
    }
}

fn config(context: &AdminContext) -> AdminResult {
    let Some(snapshot) = context.config_replica.current() else {
        let message = "no configuration has been applied yet; apply one with `dillspool apply`";
        return Err(problem(StatusCode::NOT_FOUND, "not_configured", message));
    };
    let reply = ConfigReply {
        version: snapshot.version,
        digest: Name::clone(&snapshot.digest),
        configuration: snapshot.configuration.clone(),
    };
    Ok(json(StatusCode::OK, &reply))
}

async fn status(context: &AdminContext) -> StatusReply {
    let acks = read_acks(&context.table).await.unwrap_or_default();
    let newest = context.config_replica.store().head().await.ok();
    let host_list = context.view.listed_hosts();
    let peers = context.view.peers();
    let own = context.view.host();
    let heard_recently = |host: &Name| {
        peers.get(host).is_some_and(|peer| peer.last_heard.elapsed() < dillspool_peer::LEASE_TIME)
    };
    let known = host_list.iter().chain(acks.keys()).chain(peers.keys());
    let mut names: Vec<Name> = known.chain([own]).map(Name::clone).collect();
    names.sort();
    names.dedup();
    let host_line = |host: Name| HostLine {
        listed: host_list.contains(&host),
        counted: host_list.contains(&host) || host == *own || heard_recently(&host),
        version: acks.get(&host).map_or(ConfigVersion(0), |ack| ack.version),
        draining: peers.get(&host).is_some_and(|peer| peer.draining),
        host,
    };
    let pool_line = |scheduler: dillspool_pool::PoolScheduler| {
        let (waiting, held) = scheduler.load();
        let pool = Name::clone(scheduler.pool());
        PoolLine { scheduler: context.view.scheduler(&pool), pool, waiting, held }
    };
    StatusReply {
        host: Name::clone(context.view.host()),
        committed: newest.map(|it| it.map_or(ConfigVersion(0), |head| head.version)),
        in_force: context.config_replica.version(),
        list_fresh: context.view.is_list_fresh(),
        hosts: names.into_iter().map(host_line).collect(),
        pools: context.schedulers.all().into_iter().map(pool_line).collect(),
    }
}

async fn audit(context: &AdminContext, query: Option<&str>) -> AdminResult {
    let after = query
        .and_then(|query| query.strip_prefix("after="))
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let rows: Result<Vec<AuditRow>, ApplyError> =
        context.config_replica.store().audit(ConfigVersion(after), MAX_AUDIT_ROWS).await;
    match rows {
        Ok(rows) => Ok(json(StatusCode::OK, &rows)),
        Err(error) => Err(problem(StatusCode::SERVICE_UNAVAILABLE, "store_down", error)),
    }
}
