//! Whether a backend server takes one request more.
//!
//! Load pattern: a backend server in need names how many requests a second it takes from all hosts. A host that
//! kept to that by itself would send as much as all may, so each send is asked of the host that counts for all;
//! what is beyond goes to others, or is refused at once.
//!
//! Load pattern: a backend server turns requests away within a millisecond and asks each host for some time without
//! any. Its quick refusals make it look like the one with the least to do, so it would get most requests. It is
//! closed for that time at the host that it asked.

use std::sync::Arc;
use std::time::Duration;

use dillspool_limits::{SpendDecision, SpendRequest};
use dillspool_moment::Moment;
use dillspool_routing::{BackendEntry, BackendId, BackendInstance, RoutedRequest};
use dillspool_scheduler::SpentAmount;
use dillspool_throttle::SendDecision;
use rand::Rng;

use crate::context::ForwardContext;
use crate::refusal::{Refusal, RefusalCause};
use crate::tried::TriedBackends;

/// Backend servers that may turn out closed for one request, a round trip each; where many are, the next
/// caller finds them closed without asking.
pub(crate) const MAX_BLOCKED_BACKENDS: usize = 4;
/// Least time for which a backend server is closed, a few round trips.
const LEAST_PAUSE: Duration = Duration::from_millis(5);
/// Part of what is left of the objective for which a request waits for a backend server to open; the rest is for
/// the answer.
const WAIT_PART: f64 = 0.5;
/// Time after which a backend server is asked for again where nobody could say whether it takes more.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(200);
/// Part of the objective over which callers are spread who come back for one backend server.
const SPREAD_PART: f64 = 0.6;

/// Part of the objective after which a caller is invited whom another host may serve.
const ELSEWHERE_PART: f64 = 0.3;

/// A prompt to read, or a request to a backend server that reserves nothing.
pub(crate) const REQUEST_COST: f64 = 1.0;
/// A reservation, and the request or the release that follows it.
pub(crate) const RESERVED_REQUEST_COST: f64 = 2.0;

/// Leave to send; dropping it leaves it spent.
#[derive(Debug)]
pub(crate) struct SendPermit {
    /// `None` where the backend server names no limit.
    spent: Option<SpentAmount>,
}

impl SendPermit {
    /// Gives it back, since nothing was sent.
    pub(crate) fn refund(self) {
        if let Some(spent) = self.spent {
            spent.give_back();
        }
    }
}

/// Asks for leave to send what counts for `amount` requests; `None` where what the backend server takes is spent.
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
        // On the heap, since few requests come here.
        SendDecision::NeedsGrant(spend) => {
            Box::pin(ask_holder(context, request, &backend, spend)).await
        }
    }
}

/// Asks whoever counts a backend server's limit.
async fn ask_holder(
    context: &ForwardContext,
    request: &RoutedRequest,
    backend: &BackendInstance,
    spend: SpendRequest,
) -> Option<SendPermit> {
    let spend = SpendRequest { priority: rank_of(request), ..spend };
    // Another backend server may have room, so no holder is waited for, and a silent one does not keep the
    // caller beyond its time.
    let asking = context.backend_limits.spend(&spend, Duration::ZERO);
    let decision = request.clock.timeout_at(request.deadline, asking).await.ok().flatten();
    let pause = match decision {
        Some(SpendDecision::Allowed) => {
            return Some(SendPermit { spent: Some(context.backend_limits.spent(&spend)) });
        }
        Some(SpendDecision::Refused { come_back }) => come_back.max(LEAST_PAUSE),
        None => UNKNOWN_PAUSE,
    };
    context.metrics.record_throttled();
    if let Some(times) = context.throttle.block(backend, pause) {
        log_closed(request, &spend, decision, pause, times);
    }
    None
}

/// How urgent a request is: the rank of its workspace, then that of its route.
fn rank_of(request: &RoutedRequest) -> u32 {
    let workspace = request.workspace.as_ref().map_or(0, |workspace| workspace.priority);
    let place = |priority: u32| priority.min(u32::from(u16::MAX));
    (place(workspace) << u16::BITS) | place(request.route.priority)
}

/// The best backend server that takes one request more, of those that `choose` finds in turn: one that is
/// closed is no candidate any more.
pub(crate) async fn pick_with_permit(
    context: &ForwardContext,
    request: &RoutedRequest,
    choose: impl Fn() -> Option<Arc<BackendEntry>>,
) -> Option<(Arc<BackendEntry>, SendPermit)> {
    loop {
        for _ask in 0..MAX_BLOCKED_BACKENDS {
            let Some(entry) = choose() else { break };
            if let Some(permit) = acquire_permit(context, request, &entry, REQUEST_COST).await {
                return Some((entry, permit));
            }
        }
        if !Box::pin(wait_until_unblocked(context, request)).await {
            return None;
        }
    }
}

/// Waits for the first backend server of a request's service to open, if that is soon enough for an answer in
/// time and no other request of this host waits for it; whether it has waited.
pub(crate) async fn wait_until_unblocked(
    context: &ForwardContext,
    request: &RoutedRequest,
) -> bool {
    let now = context.throttle.now();
    let spent = request.spent_before + request.age();
    let patience = request.route.objective.saturating_sub(spent).mul_f64(WAIT_PART);
    let latest = now + patience.min(request.remaining());
    let view = context.view();
    let ready = view.ready(&request.service).map(|entry| entry.instance());
    let mut closed: Vec<_> = ready
        .filter_map(|backend| Some((context.throttle.blocked_until(&backend)?, backend)))
        .collect();
    closed.sort_by_key(|(until, _backend)| *until);
    let until = closed
        .into_iter()
        .find_map(|(_until, backend)| context.throttle.claim_wait(&backend, latest));
    let Some(until) = until else { return false };
    context.throttle.sleep_until(until).await;
    true
}

/// Tells whoever counts that something was sent all the same.
pub(crate) fn charge_send(context: &ForwardContext, entry: &BackendEntry, amount: f64) {
    if let Some(spend) = context.throttle.unconditional_charge(&entry.instance(), amount) {
        let limits = context.backend_limits.clone();
        context.tasks.spawn(async move { limits.spend(&spend, Duration::ZERO).await });
    }
}

/// Whether what is kept for this host at a backend server is given back; a start that is over keeps nothing, and
/// where the server wants nothing from this host it lapses by itself within a few seconds.
pub(crate) fn should_release(context: &ForwardContext, entry: &BackendEntry) -> bool {
    !context.view().has_restarted(entry)
        && context.throttle.backoff_until(&entry.instance()).is_none()
}

/// Whether each backend server that may still be tried is closed.
pub(crate) fn all_blocked(
    context: &ForwardContext,
    request: &RoutedRequest,
    tried: &TriedBackends,
) -> bool {
    let view = context.view();
    let mut open = view.ready(&request.service).filter(|entry| !tried.contains(entry));
    open.all(|entry| context.throttle.blocked_until(&entry.instance()).is_some())
}

/// Engines of a request's service that are closed now.
pub(crate) fn blocked_backends(
    context: &ForwardContext,
    request: &RoutedRequest,
) -> Vec<BackendId> {
    if context.throttle.is_empty() {
        return Vec::new();
    }
    let view = context.view();
    let ready = view.ready(&request.service);
    let closed = ready.filter(|entry| context.throttle.blocked_until(&entry.instance()).is_some());
    closed.map(|entry| BackendId::clone(&entry.id)).collect()
}

/// The refusal of a request whose service has room again in a while; `None` where no backend server of it is
/// closed.
pub(crate) fn refusal_if_blocked(
    context: &ForwardContext,
    request: &RoutedRequest,
) -> Option<Refusal> {
    let view = context.view();
    let closed =
        view.ready(&request.service).filter_map(|it| come_back_after(context, request, it));
    let pause = closed.min()?;
    let spread = request.route.objective.mul_f64(rand::rng().random_range(0.0..SPREAD_PART));
    Some(Refusal::with_retry_after(RefusalCause::BackendsLimited, pause + spread))
}

/// Time after which a caller may be served by a backend server that is closed here; `None` for one that is not. A
/// rest is asked of one host, and the caller's next attempt mostly reaches another one.
fn come_back_after(
    context: &ForwardContext,
    request: &RoutedRequest,
    entry: &BackendEntry,
) -> Option<Duration> {
    let (backend, now) = (entry.instance(), context.throttle.now());
    let left = |until: Option<Moment>| until.map(|until| until.since(now));
    let elsewhere = request.route.objective.mul_f64(ELSEWHERE_PART);
    let rest = left(context.throttle.backoff_until(&backend)).map(|rest| rest.min(elsewhere));
    left(context.throttle.exhausted_until(&backend)).max(rest)
}

fn log_closed(
    request: &RoutedRequest,
    spend: &SpendRequest,
    decision: Option<SpendDecision>,
    pause: Duration,
    times: u32,
) {
    let by = if decision.is_some() { "holder" } else { "nobody" };
    log::info!(
        "event=backend_closed id={} backend=\"{}\" per_s={:.2} amount={} by={by} for_ms={} times={times}",
        request.id,
        spend.subject,
        spend.rate.per_s,
        spend.amount,
        pause.as_millis(),
    );
}
