//! Where one host decides on the calls of a service for all: its decision, or this host's knowledge against it.

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

/// Decisions that may be overruled for one send before this host chooses by itself: its directory and that of the
/// deciding host then have little in common.
const MOST_OVERRULED: usize = 8;

/// Where a send goes.
pub(crate) enum ScheduleOutcome {
    /// To this backend server.
    Send(Arc<BackendEntry>, SendPermit),
    /// Nowhere.
    Reject {
        cause: RejectCause,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Wherever this host sends it: each host decides by itself.
    Local,
}

/// Why a decision is not followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Overruled {
    /// The backend server takes no new requests, or another start of it runs.
    Gone,
    /// What it takes is spent, or it wants nothing for now.
    Closed,
    /// The decision is old.
    Stale,
}

impl Overruled {
    fn name(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Closed => "closed",
            Self::Stale => "stale",
        }
    }
}

/// Asks where a call goes that was sent to `tried` already, until its caller's time is over.
pub(crate) async fn choose_scheduled(
    context: &ForwardContext,
    request: &RoutedRequest,
    tried: &TriedBackends,
    ticket: &mut CallTicket,
) -> ScheduleOutcome {
    let asking = ask_until_followed(context, request, tried, ticket);
    let choice = request.clock.timeout_at(request.deadline, asking).await;
    choice.unwrap_or(ScheduleOutcome::Reject {
        cause: RejectCause::NoCapacity,
        retry_after: Duration::ZERO,
    })
}

async fn ask_until_followed(
    context: &ForwardContext,
    request: &RoutedRequest,
    tried: &TriedBackends,
    ticket: &mut CallTicket,
) -> ScheduleOutcome {
    let mut gone = Vec::new();
    let mut closed = 0;
    for _decision in 0..MOST_OVERRULED {
        let question = call_request(context, request, tried, &gone);
        let decision = ticket.ask(&question).await;
        if let Some(decision) = &decision
            && let Some(waited) = ticket.queued_for()
        {
            log_call_queued(request, waited, decision);
        }
        let backend = match decision {
            Some(CallDecision::Send { backend }) => backend,
            Some(CallDecision::Reject { cause: RejectCause::NoServer, .. })
                if knows_another(context, request, &question.excluded) =>
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
                log_call_rejected(request, &question, cause, retry_after);
                return ScheduleOutcome::Reject { cause, retry_after };
            }
            Some(CallDecision::Wait) | None => return ScheduleOutcome::Local,
        };
        match follow(context, request, ticket, &backend).await {
            Ok((entry, permit)) => return ScheduleOutcome::Send(entry, permit),
            Err(why) => {
                log_call_overruled(request, &backend.id, why.name());
                ticket.end(CallOutcome::Abandoned, Duration::ZERO);
                match why {
                    Overruled::Gone => gone.push(backend.id),
                    Overruled::Closed => closed += 1,
                    Overruled::Stale => {}
                }
            }
        }
        if closed >= MAX_BLOCKED_BACKENDS {
            break;
        }
    }
    ScheduleOutcome::Local
}

/// Follows a decision unless this host knows better.
async fn follow(
    context: &ForwardContext,
    request: &RoutedRequest,
    ticket: &CallTicket,
    backend: &BackendInstance,
) -> Result<(Arc<BackendEntry>, SendPermit), Overruled> {
    let entry = known_entry(context, backend).ok_or(Overruled::Gone)?;
    let permit =
        acquire_permit(context, request, &entry, REQUEST_COST).await.ok_or(Overruled::Closed)?;
    // The permit may have been waited for, or this process stopped.
    if !ticket.is_fresh() {
        permit.refund();
        return Err(Overruled::Stale);
    }
    Ok((entry, permit))
}

/// A start of a backend server, if it takes new requests as far as this host knows.
fn known_entry(context: &ForwardContext, backend: &BackendInstance) -> Option<Arc<BackendEntry>> {
    let view = context.view();
    let entry = view.entries.get(&backend.id).filter(|entry| view.accepts_requests(entry))?;
    (!BackendStart::are_different(entry.start, backend.start)).then(|| Arc::clone(entry))
}

/// Whether this host knows a backend server for a request beside these: the deciding host may have lost its
/// directory.
fn knows_another(context: &ForwardContext, request: &RoutedRequest, excluded: &[Name]) -> bool {
    context.view().ready(&request.service).any(|entry| !excluded.contains(&entry.id))
}

fn call_request(
    context: &ForwardContext,
    request: &RoutedRequest,
    tried: &TriedBackends,
    gone: &[BackendId],
) -> CallRequest {
    let mut excluded = tried.ids(&context.view());
    let others = gone.iter().cloned().chain(blocked_backends(context, request));
    for id in others {
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
