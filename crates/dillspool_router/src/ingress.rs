//! From a caller's HTTP request to a routed request.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dillspool_forward::{ForwardContext, Refusal, RefusalCause, handle_request};
use dillspool_io::{HostClock, HttpHandler, ResponseBody, handler};
use dillspool_keys::PresentedKey;
use dillspool_moment::Moment;
use dillspool_routing::{
    RequestMetadata, RouteEntry, RoutedRequest, RoutingConfig, WorkspaceEntry,
};
use dillspool_schema::Name;
use dillspool_suspects::{FingerprintInput, FingerprintKey, RequestFingerprint};
use dillspool_watch::SharedReplica;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, Uri, Version};
use tokio::sync::{Semaphore, watch};

use crate::receiving::{enter, receive};
use crate::retry_detector::RetryDetector;
use crate::site::SiteProtocol;

/// When to come back to a host that is not ready; another host takes the connection then.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);
/// When to come back to a host that has too much in flight.
pub(crate) const FULL_RETRY: Duration = Duration::from_millis(300);
/// When to come back to a host whose configuration may be old; the caller's next connection goes to
/// another host, as a rule to one that hears of changes.
const STALE_RETRY: Duration = Duration::from_millis(500);
/// Requests in flight at most. Each takes two descriptors of some 3,900, and its body counts
/// towards the memory of the process.
const MOST_IN_FLIGHT: usize = 1_500;

/// The configuration as this host knows it.
#[derive(Clone, Debug)]
pub struct KnownConfig {
    /// The configuration in force.
    pub config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    /// The operator's rows, whose age tells whether the configuration is the newest.
    pub operator: SharedReplica,
    /// Time in which a change must be in force.
    pub change_limit: Duration,
}

/// What every caller's request needs of the host.
#[derive(Clone)]
pub struct IngressState {
    /// The site's protocol.
    pub site: SiteProtocol,
    /// The path to backend servers.
    pub context: ForwardContext,
    /// The configuration.
    pub known: KnownConfig,
    /// Set once the host is to stop; answers then close their connections.
    pub stopping: Arc<AtomicBool>,
    in_flight: Arc<Semaphore>,
    retry_detector: RetryDetector,
    fingerprint_key: FingerprintKey,
    clock: HostClock,
}

impl fmt::Debug for IngressState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IngressState")
    }
}

impl IngressState {
    /// State with nothing in flight.
    pub fn new(
        site: SiteProtocol,
        context: ForwardContext,
        known: KnownConfig,
        stopping: Arc<AtomicBool>,
        fingerprint_key: FingerprintKey,
        clock: HostClock,
    ) -> Self {
        let in_flight = Arc::new(Semaphore::new(MOST_IN_FLIGHT));
        let retry_detector = RetryDetector::default();
        Self { site, context, known, stopping, in_flight, retry_detector, fingerprint_key, clock }
    }

    /// The handler of the callers' listener.
    pub fn handler(self) -> HttpHandler {
        handler(move |request| {
            let state = self.clone();
            async move { state.answer(request).await }
        })
    }

    async fn answer(&self, mut request: Request<Incoming>) -> Response<ResponseBody> {
        let arrived = self.clock.now();
        let terms = (self.site.extract_metadata)(request.headers_mut());
        let id = terms.id.clone();
        let mut response = match self.route(request, terms, arrived).await {
            Ok((routed, _permit)) => {
                let route = Name::clone(&routed.route.name);
                let response = handle_request(self.context.clone(), routed).await;
                if response.headers().contains_key(RETRY_AFTER) {
                    self.retry_detector.record_refusal(&route);
                }
                response
            }
            Err(refusal) => {
                let id = id.as_deref().unwrap_or("");
                log::info!("event=request_refused id={id} cause={}", refusal.cause.name());
                refusal.response()
            }
        };
        if let Some(id) = &id {
            (self.site.set_request_id)(response.headers_mut(), id);
        }
        if self.stopping.load(Ordering::Relaxed) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        terms: RequestMetadata,
        arrived: Moment,
    ) -> Result<(RoutedRequest, tokio::sync::OwnedSemaphorePermit), Refusal> {
        let current = self.known.config.borrow().clone();
        let Some(config) = current else {
            return Err(Refusal::with_retry_after(RefusalCause::NotReady, NOT_READY_RETRY));
        };
        let Ok(permit) = Arc::clone(&self.in_flight).try_acquire_owned() else {
            return Err(Refusal::with_retry_after(RefusalCause::HostFull, FULL_RETRY));
        };
        let id = terms.id.ok_or(Refusal::new(RefusalCause::Malformed))?;
        let (parts, body) = request.into_parts();
        let (held, body) = enter(&parts.extensions, body, &id)?;
        let host = host_of(&parts.headers, &parts.uri)
            .ok_or(Refusal::new(RefusalCause::Malformed))?
            .to_owned();
        let route = config.routes.find(&host, parts.uri.path()).cloned();
        let route = route.ok_or_else(|| self.unknown(RefusalCause::NoRoute))?;
        let workspace = self.workspace_of(&config, &route, &terms.key)?;
        let service = route.pick_service(&id).map(Name::clone);
        let service = service.ok_or(Refusal::new(RefusalCause::NoRoute))?;
        let caller_time = terms.time_budget.unwrap_or(route.timeout);
        let spent_before = self.retry_detector.record_request(&route.name, caller_time);
        let deadline = arrived + caller_time.min(route.timeout);
        let body = receive(body, config.limits.max_body_bytes, &held);
        let received = self.clock.timeout_at(deadline, body).await;
        let body = received.unwrap_or(Err(Refusal::new(RefusalCause::BodyLost)))?;
        // Not the address: one caller comes by many, and each would have a request of its own.
        let caller = workspace.as_ref().map_or("", |workspace| &*workspace.name);
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let print = FingerprintInput { caller, host: &route.host, path, body: &body };
        let print = RequestFingerprint::of(&self.fingerprint_key, &print);
        let routed = RoutedRequest {
            id,
            fingerprint: print,
            method: parts.method,
            uri: origin_form(&parts.uri),
            headers: parts.headers,
            body,
            clock: self.clock.clone(),
            arrived,
            spent_before,
            deadline,
            route,
            service,
            workspace,
            generation: terms.generation,
            resume_after: terms.resume_after,
            config_version: config.version,
            held_bytes: held,
            accepts_chunked: parts.version > Version::HTTP_10,
        };
        Ok((routed, permit))
    }
}

impl IngressState {
    /// The workspace whose key a request names, where its route needs one.
    fn workspace_of(
        &self,
        config: &RoutingConfig,
        route: &RouteEntry,
        key: &PresentedKey,
    ) -> Result<Option<Arc<WorkspaceEntry>>, Refusal> {
        let Some(workspaces) = config.workspaces.as_ref().filter(|_table| !route.keyless) else {
            return Ok(None);
        };
        match key {
            PresentedKey::One(key) => match workspaces.find_by_key(key) {
                Some(workspace) => Ok(Some(Arc::clone(workspace))),
                None => Err(self.unknown(RefusalCause::UnknownKey)),
            },
            // No configuration could know these.
            PresentedKey::Missing | PresentedKey::Malformed => {
                Err(Refusal::new(RefusalCause::UnknownKey))
            }
        }
    }

    /// The refusal of what this host does not know: final if its configuration is the newest, else
    /// with when to come back, since it may have been added meanwhile.
    fn unknown(&self, cause: RefusalCause) -> Refusal {
        let is_newest = self.known.operator.age().is_some_and(|age| age <= self.known.change_limit);
        if is_newest {
            Refusal::new(cause)
        } else {
            Refusal::with_retry_after(RefusalCause::StaleConfig, STALE_RETRY)
        }
    }
}

fn host_of<'a>(headers: &'a hyper::HeaderMap, uri: &'a Uri) -> Option<&'a str> {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    uri.authority().map(hyper::http::uri::Authority::as_str).or(header)
}

/// Path and query alone, as a backend server takes them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}
