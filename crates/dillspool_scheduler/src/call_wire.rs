//! Conversions of the messages about calls of plain services.
//!
//! Times are sent as remaining or elapsed durations, never as timestamps, since the clocks of hosts
//! differ.

use std::time::Duration;

use dillspool_calls::{CallDecision, CallOutcome, CallRequest, RejectCause};
use dillspool_routing::{BackendInstance, BackendStart};
use dillspool_schema::Name;
use dillspool_schema::schedule::{
    ScheduleCallAsk, ScheduleCallDecision, ScheduleCallEnd, ScheduleCallHeld, ScheduleCallOutcome,
    ScheduleCallReject, ScheduleCallRequest, ScheduleMessage,
};

use crate::wire::millis;

/// Returns the request with `passed` subtracted from its remaining times.
pub(crate) fn with_elapsed(request: &CallRequest, passed: Duration) -> CallRequest {
    CallRequest {
        objective_left: request.objective_left.saturating_sub(passed),
        time_left: request.time_left.saturating_sub(passed),
        ..request.clone()
    }
}

fn request_to_wire(request: &CallRequest) -> ScheduleCallRequest {
    ScheduleCallRequest {
        workspace_priority: request.workspace_priority,
        priority: request.priority,
        failure_domain: Name::clone(&request.failure_domain),
        objective_left_ms: millis(request.objective_left),
        time_left_ms: millis(request.time_left),
        repeatable: request.is_idempotent,
        excluded: request.excluded.clone(),
    }
}

pub(crate) fn request_from_wire(request: ScheduleCallRequest) -> CallRequest {
    CallRequest {
        workspace_priority: request.workspace_priority,
        priority: request.priority,
        failure_domain: request.failure_domain,
        objective_left: Duration::from_millis(request.objective_left_ms),
        time_left: Duration::from_millis(request.time_left_ms),
        is_idempotent: request.repeatable,
        excluded: request.excluded,
    }
}

pub(crate) fn ask_to_wire(ticket: u64, request: &CallRequest) -> ScheduleMessage {
    ScheduleMessage::CallAsk(ScheduleCallAsk { ticket, request: request_to_wire(request) })
}

/// Encodes a decision. A decision that the call waits is followed by another message.
pub(crate) fn decision_to_wire(ticket: u64, decision: CallDecision) -> ScheduleMessage {
    let mut message = ScheduleCallDecision {
        ticket,
        backend: None,
        start: None,
        waits: false,
        rejected: None,
        retry_after_ms: None,
    };
    match decision {
        CallDecision::Send { backend } => {
            message.start = backend.start.map(|start| start.0);
            message.backend = Some(backend.id);
        }
        CallDecision::Wait => message.waits = true,
        CallDecision::Reject { cause, retry_after } => {
            message.rejected = Some(match cause {
                RejectCause::NoServer => ScheduleCallReject::NoServer,
                RejectCause::NoCapacity => ScheduleCallReject::NoRoom,
            });
            message.retry_after_ms = Some(millis(retry_after));
        }
    }
    ScheduleMessage::CallDecided(message)
}

/// Decodes a decision; `None` for a message that has none.
pub(crate) fn decision_from_wire(message: ScheduleCallDecision) -> Option<CallDecision> {
    if let Some(id) = message.backend {
        return Some(CallDecision::Send { backend: decode_instance(id, message.start) });
    }
    if let Some(rejected) = message.rejected {
        let cause = match rejected {
            ScheduleCallReject::NoServer => RejectCause::NoServer,
            ScheduleCallReject::NoRoom => RejectCause::NoCapacity,
        };
        let retry_after = Duration::from_millis(message.retry_after_ms.unwrap_or_default());
        return Some(CallDecision::Reject { cause, retry_after });
    }
    message.waits.then_some(CallDecision::Wait)
}

pub(crate) fn held_to_wire(
    ticket: u64,
    request: &CallRequest,
    backend: &BackendInstance,
    ran: Duration,
) -> ScheduleMessage {
    ScheduleMessage::CallHeld(ScheduleCallHeld {
        ticket,
        request: request_to_wire(&with_elapsed(request, ran)),
        backend: Name::clone(&backend.id),
        start: backend.start.map(|start| start.0),
        ran_ms: millis(ran),
    })
}

/// Decodes the request, backend server and elapsed time of a call that is already in flight.
pub(crate) fn held_from_wire(held: ScheduleCallHeld) -> (CallRequest, BackendInstance, Duration) {
    let backend = decode_instance(held.backend, held.start);
    (request_from_wire(held.request), backend, Duration::from_millis(held.ran_ms))
}

pub(crate) fn end_to_wire(ticket: u64, end: CallOutcome, took: Duration) -> ScheduleMessage {
    let end = match end {
        CallOutcome::Answered => ScheduleCallOutcome::Answered,
        CallOutcome::Failed => ScheduleCallOutcome::Failed,
        CallOutcome::NotRun => ScheduleCallOutcome::NotRun,
        CallOutcome::NotSent => ScheduleCallOutcome::NotSent,
        CallOutcome::Lost => ScheduleCallOutcome::Lost,
        CallOutcome::Abandoned => ScheduleCallOutcome::Abandoned,
    };
    ScheduleMessage::CallEnded(ScheduleCallEnd { ticket, end, took_ms: millis(took) })
}

pub(crate) fn end_from_wire(message: &ScheduleCallEnd) -> (CallOutcome, Duration) {
    let end = match message.end {
        ScheduleCallOutcome::Answered => CallOutcome::Answered,
        ScheduleCallOutcome::Failed => CallOutcome::Failed,
        ScheduleCallOutcome::NotRun => CallOutcome::NotRun,
        ScheduleCallOutcome::NotSent => CallOutcome::NotSent,
        ScheduleCallOutcome::Lost => CallOutcome::Lost,
        ScheduleCallOutcome::Abandoned => CallOutcome::Abandoned,
    };
    (end, Duration::from_millis(message.took_ms))
}

fn decode_instance(id: Name, start: Option<u64>) -> BackendInstance {
    BackendInstance { id, start: start.map(BackendStart) }
}
