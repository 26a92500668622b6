//! Decides whether a backend server accepts one more request.
//!
//! Load pattern: an overloaded backend server announces how many requests per second it accepts
//! from all hosts together. Hosts that each kept to that rate by themselves would exceed it, so
//! every request needs a grant from the limit holder. Requests beyond the limit go to other backend
//! servers or are refused at once.
//!
//! Load pattern: a backend server refuses requests within a millisecond and asks each host to back
//! off for some time. Its fast refusals make it look like the least loaded one, so it would receive
//! most requests. The host that was asked blocks it for that time.

use std::sync::Arc;
use std::time::Duration;

use dillspool_limits::{SpendDecision, SpendRequest};
use dillspool_moment::Moment;
use dillspool_routing::{BackendEntry, BackendId, BackendInstance, RoutedRequest};
use dillspool_scheduler::SpendGrant;
use dillspool_throttle::SendDecision;
use rand::Rng;

use crate::context::ForwardContext;
use crate::refusal::{Refusal, RefusalCause};
use crate::tried::TriedBackends;

/// Number of blocked backend servers that one request may discover, at a round trip each. If there
/// are more, the next request sees them as blocked without asking.
pub(crate) const MAX_BLOCKED_BACKENDS: usize = 4;
/// Minimum time for which a backend server is blocked, a few round trips.
const MIN_BLOCK_TIME: Duration = Duration::from_millis(5);
/// Fraction of the remaining objective for which a request waits for a backend server to be
/// unblocked; the rest is for the response.
const UNBLOCK_WAIT_FRACTION: f64 = 0.5;
/// Time for which a backend server is blocked if no holder could grant a request.
const UNKNOWN_BLOCK_TIME: Duration = Duration::from_millis(200);
/// Fraction of the objective over which the retries of refused clients are spread.
const RETRY_SPREAD_FRACTION: f64 = 0.6;

/// Fraction of the objective after which a client may retry if another host may serve it.
const OTHER_HOST_RETRY_FRACTION: f64 = 0.3;

/// Cost of a prompt to prefill, or of a request without a reservation.
pub(crate) const REQUEST_COST: f64 = 1.0;
/// Cost of a reservation and the request or release that follows it.
pub(crate) const RESERVED_REQUEST_COST: f64 = 2.0;

/// Permission to send a request; it stays spent when dropped.
#[derive(Debug)]
pub(crate) struct SendPermit {
    /// `None` if the backend server has no limit.
    spent: Option<SpendGrant>,
}

impl SendPermit {
    /// Returns the spent amount, since nothing was sent.
    pub(crate) fn refund(self) {
        if let Some(spent) = self.spent {
            spent.refund();
        }
    }
}

/// Acquires a permit that costs `amount` requests; `None` if the backend server is blocked or its
/// limit is exhausted.
pub(crate) async fn acquire_permit(
    context: &ForwardContext,
    request: &RoutedRequest,
    entry: &BackendEntry,
    amount: f64,
) -> Option<SendPermit> {
    let backend = entry.instance();
    match context.throttle.decide(&backend, amount) {
        SendDecision::Unlimited => Some(SendPermit { spent: None }),
        SendDecision::Blocked { until: _ } => None,
        // Boxed, since few requests need a grant.
        SendDecision::NeedsGrant(spend) => {
            Box::pin(request_grant(context, request, &backend, spend)).await
        }
    }
}

/// Requests a grant from the holder of a backend server's limit.
async fn request_grant(
    context: &ForwardContext,
    request: &RoutedRequest,
    backend: &BackendInstance,
    spend: SpendRequest,
) -> Option<SendPermit> {
    let spend = SpendRequest { priority: priority_of(request), ..spend };
    // Another backend server may have room, so a missing holder is not waited for, and one that
    // does not respond delays the request no longer than its deadline.
    let spending = context.backend_limits.spend(&spend, Duration::ZERO);
    let decision = request.clock.timeout_at(request.deadline, spending).await.ok().flatten();
    let block_time = match decision {
        Some(SpendDecision::Allowed) => {
            return Some(SendPermit { spent: Some(context.backend_limits.grant(&spend)) });
        }
        Some(SpendDecision::Refused { come_back: retry_after }) => retry_after.max(MIN_BLOCK_TIME),
        None => UNKNOWN_BLOCK_TIME,
    };
    context.metrics.record_throttled();
    if let Some(times) = context.throttle.block(backend, block_time) {
        log_blocked(request, &spend, decision, block_time, times);
    }
    None
}

/// Priority of a request: first that of its workspace, then that of its route.
fn priority_of(request: &RoutedRequest) -> u32 {
    let workspace = request.workspace.as_ref().map_or(0, |workspace| workspace.priority);
    let clamp = |priority: u32| priority.min(u32::from(u16::MAX));
    (clamp(workspace) << u16::BITS) | clamp(request.route.priority)
}

/// The best backend server that accepts one more request, of those that `pick` returns in turn; it
/// no longer returns a blocked one.
pub(crate) async fn pick_with_permit(
    context: &ForwardContext,
    request: &RoutedRequest,
    pick: impl Fn() -> Option<Arc<BackendEntry>>,
) -> Option<(Arc<BackendEntry>, SendPermit)> {
    loop {
        for _attempt in 0..MAX_BLOCKED_BACKENDS {
            let Some(entry) = pick() else { break };
            if let Some(permit) = acquire_permit(context, request, &entry, REQUEST_COST).await {
                return Some((entry, permit));
            }
        }
        if !Box::pin(wait_until_unblocked(context, request)).await {
            return None;
        }
    }
}

/// Waits for the first backend server of a request's service to be unblocked, if that is early
/// enough for a response in time and no other request of this host waits for it. Returns whether it
/// waited.
pub(crate) async fn wait_until_unblocked(
    context: &ForwardContext,
    request: &RoutedRequest,
) -> bool {
    let now = context.throttle.now();
    let spent = request.spent_before + request.age();
    let max_wait = request.route.objective.saturating_sub(spent).mul_f64(UNBLOCK_WAIT_FRACTION);
    let latest = now + max_wait.min(request.remaining());
    let view = context.view();
    let ready = view.ready(&request.service).map(|entry| entry.instance());
    let mut blocked: Vec<_> = ready
        .filter_map(|backend| Some((context.throttle.blocked_until(&backend)?, backend)))
        .collect();
    blocked.sort_by_key(|(until, _backend)| *until);
    let until = blocked
        .into_iter()
        .find_map(|(_until, backend)| context.throttle.claim_wait(&backend, latest));
    let Some(until) = until else { return false };
    context.throttle.sleep_until(until).await;
    true
}

/// Charges the limit for a request that was sent without a grant.
pub(crate) fn charge_send(context: &ForwardContext, entry: &BackendEntry, amount: f64) {
    if let Some(spend) = context.throttle.unconditional_charge(&entry.instance(), amount) {
        let limits = context.backend_limits.clone();
        context.tasks.spawn(async move { limits.spend(&spend, Duration::ZERO).await });
    }
}

/// Whether a reservation at a backend server needs to be released. An instance that has ended holds
/// none, and one that asked this host to back off lets it expire within a few seconds.
pub(crate) fn should_release(context: &ForwardContext, entry: &BackendEntry) -> bool {
    !context.view().has_restarted(entry)
        && context.throttle.backoff_until(&entry.instance()).is_none()
}

/// Whether all backend servers that have not been tried are blocked.
pub(crate) fn all_blocked(
    context: &ForwardContext,
    request: &RoutedRequest,
    tried: &TriedBackends,
) -> bool {
    let view = context.view();
    let mut untried = view.ready(&request.service).filter(|entry| !tried.contains(entry));
    untried.all(|entry| context.throttle.blocked_until(&entry.instance()).is_some())
}

/// Backend servers of a request's service that are blocked now.
pub(crate) fn blocked_backends(
    context: &ForwardContext,
    request: &RoutedRequest,
) -> Vec<BackendId> {
    if context.throttle.is_empty() {
        return Vec::new();
    }
    let view = context.view();
    let ready = view.ready(&request.service);
    let blocked = ready.filter(|entry| context.throttle.blocked_until(&entry.instance()).is_some());
    blocked.map(|entry| BackendId::clone(&entry.id)).collect()
}

/// The refusal of a request while its service is blocked; `None` if none of its backend servers is.
pub(crate) fn refusal_if_blocked(
    context: &ForwardContext,
    request: &RoutedRequest,
) -> Option<Refusal> {
    let view = context.view();
    let blocked =
        view.ready(&request.service).filter_map(|entry| retry_after(context, request, entry));
    let block_time = blocked.min()?;
    let spread =
        request.route.objective.mul_f64(rand::rng().random_range(0.0..RETRY_SPREAD_FRACTION));
    Some(Refusal::with_retry_after(RefusalCause::BackendsLimited, block_time + spread))
}

/// Time after which a client may be served by a blocked backend server; `None` if it is not
/// blocked. A back-off applies to one host only, and the client's next attempt mostly reaches
/// another one.
fn retry_after(
    context: &ForwardContext,
    request: &RoutedRequest,
    entry: &BackendEntry,
) -> Option<Duration> {
    let (backend, now) = (entry.instance(), context.throttle.now());
    let remaining = |until: Option<Moment>| until.map(|until| until.since(now));
    let other_host = request.route.objective.mul_f64(OTHER_HOST_RETRY_FRACTION);
    let backoff =
        remaining(context.throttle.backoff_until(&backend)).map(|backoff| backoff.min(other_host));
    remaining(context.throttle.exhausted_until(&backend)).max(backoff)
}

fn log_blocked(
    request: &RoutedRequest,
    spend: &SpendRequest,
    decision: Option<SpendDecision>,
    block_time: Duration,
    times: u32,
) {
    let by = if decision.is_some() { "holder" } else { "nobody" };
    log::info!(
        "event=backend_closed id={} backend=\"{}\" per_s={:.2} amount={} by={by} for_ms={} times={times}",
        request.id,
        spend.subject,
        spend.rate.per_s,
        spend.amount,
        block_time.as_millis(),
    );
}
