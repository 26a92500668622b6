//! Turns a caller's HTTP request into a routed request.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use dillspool_forward::{ForwardContext, Refusal, RefusalCause, handle_request};
use dillspool_io::{HostClock, HttpHandler, ResponseBody, handler};
use dillspool_keys::PresentedKey;
use dillspool_moment::Moment;
use dillspool_routing::{
    GenerationParams, RequestMetadata, ResumePosition, RouteEntry, RoutedRequest, RoutingConfig,
    WorkspaceEntry,
};
use dillspool_schema::Name;
use dillspool_suspects::{FingerprintInput, FingerprintKey, RequestFingerprint};
use dillspool_watch::SharedReplica;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, Uri, Version};
use tokio::sync::{Semaphore, watch};

use crate::request_body::{begin_exchange, receive_body};
use crate::retry_detector::RetryDetector;
use crate::site::SiteProtocol;

/// Retry delay when this host is not ready; another host accepts the connection by then.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay when this host has too many requests in flight.
pub(crate) const HOST_FULL_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay when this host's configuration may be outdated. The caller's next connection goes to
/// another host, which usually receives changes.
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum number of requests in flight. Each takes two of about 3,900 file descriptors, and its
/// body counts toward the memory of the process.
const MAX_IN_FLIGHT: usize = 1_500;
/// Maximum number of parts of a prompt that are fingerprinted, from its start; bounds the work for a
/// header that lists thousands.
const MAX_FINGERPRINTED_PARTS: usize = 64;

/// Handles to the configuration that this host knows.
#[derive(Clone, Debug)]
pub struct KnownConfig {
    /// Configuration in force.
    pub config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    /// The operator's rows; their age shows whether the configuration is the newest.
    pub operator: SharedReplica,
    /// Time within which a change must be in force.
    pub change_limit: Duration,
}

/// Shared state for handling callers' requests.
#[derive(Clone)]
pub struct IngressState {
    /// Protocol of the site.
    pub site: SiteProtocol,
    /// Context for forwarding to backend servers.
    pub context: ForwardContext,
    /// The configuration.
    pub known: KnownConfig,
    /// Whether responses close their connections, since callers must go to other hosts.
    closes_connections: Arc<dyn Fn() -> bool + Send + Sync>,
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
    /// Creates the state with no requests in flight.
    pub fn new(
        site: SiteProtocol,
        context: ForwardContext,
        known: KnownConfig,
        closes_connections: impl Fn() -> bool + Send + Sync + 'static,
        fingerprint_key: FingerprintKey,
        clock: HostClock,
    ) -> Self {
        let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        let retry_detector = RetryDetector::default();
        let closes_connections = Arc::new(closes_connections);
        Self {
            site,
            context,
            known,
            closes_connections,
            in_flight,
            retry_detector,
            fingerprint_key,
            clock,
        }
    }

    /// Handler for the callers' listener.
    pub fn handler(self) -> HttpHandler {
        handler(move |request| {
            let state = self.clone();
            async move { state.handle(request).await }
        })
    }

    async fn handle(&self, mut request: Request<Incoming>) -> Response<ResponseBody> {
        let arrived = self.clock.now();
        let metadata = (self.site.extract_metadata)(request.headers_mut());
        let id = metadata.id.clone();
        let mut response = match self.route(request, metadata, arrived).await {
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
        if (self.closes_connections)() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        metadata: RequestMetadata,
        arrived: Moment,
    ) -> Result<(RoutedRequest, tokio::sync::OwnedSemaphorePermit), Refusal> {
        let current = self.known.config.borrow().clone();
        let Some(config) = current else {
            return Err(Refusal::with_retry_after(RefusalCause::NotReady, NOT_READY_RETRY_AFTER));
        };
        let Ok(permit) = Arc::clone(&self.in_flight).try_acquire_owned() else {
            return Err(Refusal::with_retry_after(RefusalCause::HostFull, HOST_FULL_RETRY_AFTER));
        };
        let id = metadata.id.ok_or(Refusal::new(RefusalCause::Malformed))?;
        let (parts, body) = request.into_parts();
        let (held_bytes, body) = begin_exchange(&parts.extensions, body, &id)?;
        let host = host_of(&parts.headers, &parts.uri)
            .ok_or(Refusal::new(RefusalCause::Malformed))?
            .to_owned();
        let route = config.routes.find(&host, parts.uri.path()).cloned();
        let route = route.ok_or_else(|| self.unknown_refusal(RefusalCause::NoRoute))?;
        let workspace = self.workspace_of(&config, &route, &metadata.key)?;
        // A resumed stream goes to the service that began it, for as long as the route does not change.
        let picked_by = metadata.resumed_attempt.as_ref().unwrap_or(&id);
        let service = route.pick_service(picked_by).map(Name::clone);
        let service = service.ok_or(Refusal::new(RefusalCause::NoRoute))?;
        let resume_after = match metadata.resume {
            ResumePosition::After(event) => Some(event),
            // The engine alone would decide where the stream goes on.
            ResumePosition::Unreadable if route.resumable => {
                return Err(Refusal::new(RefusalCause::Malformed));
            }
            ResumePosition::Beginning | ResumePosition::Unreadable => None,
        };
        let time_budget = metadata.time_budget.unwrap_or(route.timeout);
        let spent_before = self.retry_detector.record_request(&route.name, time_budget);
        let deadline = arrived + time_budget.min(route.timeout);
        let body = receive_body(body, config.limits.max_body_bytes, &held_bytes);
        let received = self.clock.timeout_at(deadline, body).await;
        let body = received.unwrap_or(Err(Refusal::new(RefusalCause::BodyLost)))?;
        // Not the address: a caller uses many, and its request would have a different fingerprint
        // for each.
        let caller = workspace.as_ref().map_or("", |workspace| &*workspace.name);
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let fingerprint_input = FingerprintInput { caller, host: &route.host, path, body: &body };
        let fingerprint = RequestFingerprint::of(&self.fingerprint_key, &fingerprint_input);
        let part_fingerprints = self.fingerprint_parts(metadata.generation.as_ref());
        let routed = RoutedRequest {
            id,
            fingerprint,
            part_fingerprints,
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
            generation: metadata.generation,
            resume_after,
            resumed_attempt: metadata.resumed_attempt,
            config_version: config.version,
            held_bytes,
            accepts_chunked: parts.version > Version::HTTP_10,
        };
        Ok((routed, permit))
    }
}

impl IngressState {
    fn fingerprint_parts(
        &self,
        generation: Option<&GenerationParams>,
    ) -> Arc<[RequestFingerprint]> {
        let parts = generation.map_or(&[][..], GenerationParams::shared_parts);
        let parts = parts.iter().take(MAX_FINGERPRINTED_PARTS);
        parts.map(|part| RequestFingerprint::of_part(&self.fingerprint_key, &part.id)).collect()
    }

    /// Workspace of the key in a request, if its route requires one.
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
                None => Err(self.unknown_refusal(RefusalCause::UnknownKey)),
            },
            // No configuration could contain these.
            PresentedKey::Missing | PresentedKey::Malformed => {
                Err(Refusal::new(RefusalCause::UnknownKey))
            }
        }
    }

    /// Refusal for a route or key that this host does not know. It is final if the configuration is
    /// the newest; otherwise the caller is told to retry, since the route or key may have been
    /// added since.
    fn unknown_refusal(&self, cause: RefusalCause) -> Refusal {
        let is_newest = self.known.operator.age().is_some_and(|age| age <= self.known.change_limit);
        if is_newest {
            Refusal::new(cause)
        } else {
            Refusal::with_retry_after(RefusalCause::StaleConfig, STALE_CONFIG_RETRY_AFTER)
        }
    }
}

fn host_of<'a>(headers: &'a hyper::HeaderMap, uri: &'a Uri) -> Option<&'a str> {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    uri.authority().map(hyper::http::uri::Authority::as_str).or(header)
}

/// Path and query only, as backend servers expect.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}
