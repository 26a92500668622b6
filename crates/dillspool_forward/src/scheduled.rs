//! Calls of services whose calls one host schedules for all: follows its decision, unless this
//! host's own knowledge overrides it.

use std::sync::Arc;
use std::time::Duration;

use dillspool_calls::{CallDecision, CallOutcome, CallRequest, RejectCause};
use dillspool_routing::{BackendEntry, BackendId, BackendInstance, BackendStart, RoutedRequest};
use dillspool_scheduler::CallTicket;
use dillspool_schema::Name;

use crate::context::ForwardContext;
use crate::throttle::{
    MAX_BLOCKED_BACKENDS, REQUEST_COST, SendPermit, acquire_permit, blocked_backends,
    wait_until_unblocked,
};
use crate::trace::{log_call_overruled, log_call_queued, log_call_rejected};
use crate::tried::TriedBackends;

/// Number of decisions that may be overridden for one attempt before this host picks by itself; the
/// two hosts' directories then have little in common.
const MAX_OVERRIDES: usize = 8;

/// Where an attempt is sent.
pub(crate) enum ScheduleOutcome {
    /// To this backend server.
    Send(Arc<BackendEntry>, SendPermit),
    /// Nowhere.
    Reject {
        cause: RejectCause,
        /// When the client may retry.
        retry_after: Duration,
    },
    /// To a backend server that this host picks by itself.
    Local,
}

/// Why a decision is overridden.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OverrideCause {
    /// The backend server accepts no new requests, or another instance of it runs.
    Gone,
    /// The backend server's limit is exhausted, or it asked this host to back off.
    Blocked,
    /// The decision is too old.
    Stale,
}

impl OverrideCause {
    fn name(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Blocked => "closed",
            Self::Stale => "stale",
        }
    }
}

/// Schedules an attempt of a call that was already sent to `tried`, until the request's deadline.
pub(crate) async fn choose_scheduled(
    context: &ForwardContext,
    request: &RoutedRequest,
    tried: &TriedBackends,
    ticket: &mut CallTicket,
) -> ScheduleOutcome {
    let scheduling = schedule_call(context, request, tried, ticket);
    let outcome = request.clock.timeout_at(request.deadline, scheduling).await;
    outcome.unwrap_or(ScheduleOutcome::Reject {
        cause: RejectCause::NoCapacity,
        retry_after: Duration::ZERO,
    })
}

async fn schedule_call(
    context: &ForwardContext,
    request: &RoutedRequest,
    tried: &TriedBackends,
    ticket: &mut CallTicket,
) -> ScheduleOutcome {
    let mut gone = Vec::new();
    let mut blocked = 0;
    for _decision in 0..MAX_OVERRIDES {
        let call = call_request(context, request, tried, &gone);
        let decision = ticket.request_decision(&call).await;
        if let Some(decision) = &decision
            && let Some(waited) = ticket.queue_time()
        {
            log_call_queued(request, waited, decision);
        }
        let backend = match decision {
            Some(CallDecision::Send { backend }) => backend,
            Some(CallDecision::Reject { cause: RejectCause::NoServer, .. })
                if knows_other_backend(context, request, &call.excluded) =>
            {
                log_call_overruled(request, "", "no_server");
                return ScheduleOutcome::Local;
            }
            Some(CallDecision::Reject { cause: RejectCause::NoServer, .. })
                if wait_until_unblocked(context, request).await =>
            {
                continue;
            }
            Some(CallDecision::Reject { cause, retry_after }) => {
                log_call_rejected(request, &call, cause, retry_after);
                return ScheduleOutcome::Reject { cause, retry_after };
            }
            Some(CallDecision::Wait) | None => return ScheduleOutcome::Local,
        };
        match follow_decision(context, request, ticket, &backend).await {
            Ok((entry, permit)) => return ScheduleOutcome::Send(entry, permit),
            Err(cause) => {
                log_call_overruled(request, &backend.id, cause.name());
                ticket.complete(CallOutcome::Abandoned, Duration::ZERO);
                match cause {
                    OverrideCause::Gone => gone.push(backend.id),
                    OverrideCause::Blocked => blocked += 1,
                    OverrideCause::Stale => {}
                }
            }
        }
        if blocked >= MAX_BLOCKED_BACKENDS {
            break;
        }
    }
    ScheduleOutcome::Local
}

/// Follows a decision unless this host knows that it cannot be.
async fn follow_decision(
    context: &ForwardContext,
    request: &RoutedRequest,
    ticket: &CallTicket,
    backend: &BackendInstance,
) -> Result<(Arc<BackendEntry>, SendPermit), OverrideCause> {
    let entry = eligible_entry(context, backend).ok_or(OverrideCause::Gone)?;
    let permit = acquire_permit(context, request, &entry, REQUEST_COST)
        .await
        .ok_or(OverrideCause::Blocked)?;
    // The host may have waited for the permit, or the process may have been suspended.
    if !ticket.is_fresh() {
        permit.refund();
        return Err(OverrideCause::Stale);
    }
    Ok((entry, permit))
}

/// The entry of a backend server, if that instance accepts new requests as far as this host knows.
fn eligible_entry(
    context: &ForwardContext,
    backend: &BackendInstance,
) -> Option<Arc<BackendEntry>> {
    let view = context.view();
    let entry = view.entries.get(&backend.id).filter(|entry| view.accepts_requests(entry))?;
    (!BackendStart::are_different(entry.start, backend.start)).then(|| Arc::clone(entry))
}

/// Whether this host knows a backend server for the request besides the excluded ones; the
/// scheduling host may have lost its directory.
fn knows_other_backend(
    context: &ForwardContext,
    request: &RoutedRequest,
    excluded: &[Name],
) -> bool {
    context.view().ready(&request.service).any(|entry| !excluded.contains(&entry.id))
}

fn call_request(
    context: &ForwardContext,
    request: &RoutedRequest,
    tried: &TriedBackends,
    gone: &[BackendId],
) -> CallRequest {
    let mut excluded = tried.ids(&context.view());
    let unavailable = gone.iter().cloned().chain(blocked_backends(context, request));
    for id in unavailable {
        if !excluded.contains(&id) {
            excluded.push(id);
        }
    }
    let spent = request.spent_before + request.age();
    CallRequest {
        workspace_priority: request.workspace.as_ref().map_or(0, |it| it.priority),
        priority: request.route.priority,
        failure_domain: Name::clone(&context.failure_domain),
        objective_left: request.route.objective.saturating_sub(spent),
        time_left: request.remaining(),
        is_idempotent: request.route.is_idempotent(),
        excluded,
    }
}
