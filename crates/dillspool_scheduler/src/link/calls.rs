//! Requests and reports on a link to the scheduler of a plain service's calls.

use std::time::Duration;

use dillspool_calls::{CallDecision, CallOutcome, CallRequest};
use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_routing::BackendInstance;
use dillspool_schema::schedule::ScheduleMessage;

use super::{ScheduleReply, SchedulerLink};
use crate::call_wire;

/// Timeout for the first response, after which this host decides by itself: some round trips
/// between failure domains, and a third of the shortest objective of a call.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(40);
/// Age after which a decision is discarded: the server may have left, or the scheduler may count
/// this host as gone and have given its slot to another call.
pub(crate) const DECISION_TTL: Duration = Duration::from_millis(80);
/// Interval at which a waiting call checks whether this process was suspended.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Outcome of a request for a call decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallReply {
    /// The scheduler decided, at once or after queueing the call; never [`CallDecision::Wait`].
    Decided { decision: CallDecision, queued: bool },
    /// This process was suspended meanwhile, so any response is out of date.
    Stale,
    /// There is no scheduler, or no response.
    NoResponse,
}

/// A call that is in flight or about to be sent.
#[derive(Clone, Debug)]
pub(super) struct ActiveCall {
    request: CallRequest,
    backend: BackendInstance,
    since: Moment,
    clock: HostClock,
    /// Whether this host's own call scheduler counts it.
    is_tracked_locally: bool,
}

impl ActiveCall {
    pub(super) fn message(&self, ticket: u64) -> ScheduleMessage {
        call_wire::held_to_wire(ticket, &self.request, &self.backend, self.ran())
    }

    fn ran(&self) -> Duration {
        self.clock.since(self.since)
    }
}

/// A call in flight that this host's own call scheduler does not count yet.
pub(crate) struct UntrackedCall {
    pub(crate) ticket: u64,
    pub(crate) request: CallRequest,
    pub(crate) backend: BackendInstance,
    pub(crate) ran: Duration,
}

impl SchedulerLink {
    /// Requests a decision on a call, and waits as long as the call is queued.
    pub(crate) async fn request_call(
        &self,
        ticket: u64,
        request: &CallRequest,
        clock: &HostClock,
    ) -> CallReply {
        let Some(mut pending) = self.send_request(ticket, call_wire::ask_to_wire(ticket, request))
        else {
            return CallReply::NoResponse;
        };
        let mut awake_at = clock.now();
        let mut is_queued = false;
        loop {
            let timeout = if is_queued { POLL_INTERVAL } else { RESPONSE_TIMEOUT };
            let response = tokio::time::timeout(timeout, pending.responses.recv()).await;
            let now = clock.now();
            if now.since(awake_at) > DECISION_TTL {
                return CallReply::Stale;
            }
            awake_at = now;
            match response {
                Ok(Some(ScheduleReply::Call(CallDecision::Wait))) => is_queued = true,
                Ok(Some(ScheduleReply::Call(decision))) => {
                    return CallReply::Decided { decision, queued: is_queued };
                }
                // The link has closed.
                Ok(Some(_) | None) => return CallReply::NoResponse,
                Err(_elapsed) if is_queued => {}
                Err(_elapsed) => {
                    self.disconnect(ticket);
                    return CallReply::NoResponse;
                }
            }
        }
    }

    /// Records a call that goes to a backend server. A call that was decided locally is also
    /// reported to the scheduler, which does not know of it.
    pub(crate) fn record_call(
        &self,
        ticket: u64,
        request: &CallRequest,
        backend: &BackendInstance,
        clock: &HostClock,
        is_tracked_locally: bool,
    ) {
        let call = ActiveCall {
            request: request.clone(),
            backend: backend.clone(),
            since: clock.now(),
            clock: clock.clone(),
            is_tracked_locally,
        };
        self.with(|state| {
            if is_tracked_locally && let Some(sender) = &state.sender {
                // A full queue only leaves this call uncounted until it ends.
                let _sent = sender.try_send(call.message(ticket));
            }
            state.calls.insert(ticket, call);
        });
    }

    /// Reports the end of a call. The slot of an unreported call would stay occupied, so a full
    /// queue disconnects the link, which frees all slots of this host.
    pub(crate) fn complete_call(&self, ticket: u64, end: CallOutcome, took: Duration) {
        self.with(|state| {
            state.calls.remove(&ticket);
            let message = call_wire::end_to_wire(ticket, end, took);
            let sent = state.sender.as_ref().is_none_or(|link| link.try_send(message).is_ok());
            if !sent {
                log::info!("event=call_link_full ticket={ticket}");
                state.sender = None;
            }
        });
    }

    /// Returns the calls in flight that this host's own call scheduler does not count, and marks
    /// them as counted.
    pub(crate) fn take_untracked_calls(&self) -> Vec<UntrackedCall> {
        self.with(|state| {
            let untracked =
                state.calls.iter_mut().filter(|(_ticket, call)| !call.is_tracked_locally);
            let tracked = untracked.map(|(ticket, call)| {
                call.is_tracked_locally = true;
                UntrackedCall {
                    ticket: *ticket,
                    request: call.request.clone(),
                    backend: call.backend.clone(),
                    ran: call.ran(),
                }
            });
            tracked.collect()
        })
    }
}
