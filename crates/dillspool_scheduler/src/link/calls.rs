//! What a host asks and tells on a link whose other end decides on the calls of a plain service.

use std::time::Duration;

use dillspool_calls::{CallDecision, CallOutcome, CallRequest};
use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_routing::BackendInstance;
use dillspool_schema::schedule::ScheduleMessage;

use super::{ScheduleReply, SchedulerLink};
use crate::call_wire;

/// Time for the first answer, after which this host decides by itself: some round trips between failure domains,
/// and a third of the shortest objective of a call.
const ANSWER_LIMIT: Duration = Duration::from_millis(40);
/// Age beyond which a decision is not followed: the server may have left, or this host may count as gone and its
/// place be given to another call.
pub(crate) const FRESH_FOR: Duration = Duration::from_millis(80);
/// Time between two looks, while a call waits, at whether this process was stopped meanwhile.
const LOOK_EVERY: Duration = Duration::from_millis(40);

/// What became of a question about a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallReply {
    /// It was decided, after a wait in the queue or at once; never [`CallDecision::Wait`].
    Decided { decision: CallDecision, queued: bool },
    /// This process was stopped meanwhile, so whatever came is old.
    Stale,
    /// There is no deciding host, or no answer.
    Silent,
}

/// A call that was sent, or is about to be.
#[derive(Clone, Debug)]
pub(super) struct HeldCall {
    request: CallRequest,
    backend: BackendInstance,
    since: Moment,
    clock: HostClock,
    /// Whether this host's own desk counts it.
    in_desk: bool,
}

impl HeldCall {
    pub(super) fn message(&self, ticket: u64) -> ScheduleMessage {
        call_wire::held_to_wire(ticket, &self.request, &self.backend, self.ran())
    }

    fn ran(&self) -> Duration {
        self.clock.since(self.since)
    }
}

/// A call in flight that the own desk does not count yet.
pub(crate) struct UncountedCall {
    pub(crate) ticket: u64,
    pub(crate) request: CallRequest,
    pub(crate) backend: BackendInstance,
    pub(crate) ran: Duration,
}

impl SchedulerLink {
    /// Asks where a call goes, and waits as long as it has to.
    pub(crate) async fn ask_call(
        &self,
        ticket: u64,
        request: &CallRequest,
        clock: &HostClock,
    ) -> CallReply {
        let Some(mut question) = self.send(ticket, call_wire::ask_to_wire(ticket, request)) else {
            return CallReply::Silent;
        };
        let mut awake_at = clock.now();
        let mut waits = false;
        loop {
            let limit = if waits { LOOK_EVERY } else { ANSWER_LIMIT };
            let answer = tokio::time::timeout(limit, question.answers.recv()).await;
            let now = clock.now();
            if now.since(awake_at) > FRESH_FOR {
                return CallReply::Stale;
            }
            awake_at = now;
            match answer {
                Ok(Some(ScheduleReply::Call(CallDecision::Wait))) => waits = true,
                Ok(Some(ScheduleReply::Call(decision))) => {
                    return CallReply::Decided { decision, queued: waits };
                }
                // The link has ended.
                Ok(Some(_) | None) => return CallReply::Silent,
                Err(_elapsed) if waits => {}
                Err(_elapsed) => {
                    self.give_up(ticket);
                    return CallReply::Silent;
                }
            }
        }
    }

    /// Keeps a call that goes to a backend server, and tells the deciding host if it does not know of it.
    pub(crate) fn hold_call(
        &self,
        ticket: u64,
        request: &CallRequest,
        backend: &BackendInstance,
        clock: &HostClock,
        in_desk: bool,
    ) {
        let held = HeldCall {
            request: request.clone(),
            backend: backend.clone(),
            since: clock.now(),
            clock: clock.clone(),
            in_desk,
        };
        self.with(|state| {
            if in_desk && let Some(sender) = &state.sender {
                // A full queue costs knowledge of one call, until it ends.
                let _sent = sender.try_send(held.message(ticket));
            }
            state.held_calls.insert(ticket, held);
        });
    }

    /// Tells the deciding host that a call is over. A place that it is not told of would stay taken, so a link
    /// that carries no more is left: its end frees all places of this host.
    pub(crate) fn end_call(&self, ticket: u64, end: CallOutcome, took: Duration) {
        self.with(|state| {
            state.held_calls.remove(&ticket);
            let message = call_wire::end_to_wire(ticket, end, took);
            let sent = state.sender.as_ref().is_none_or(|link| link.try_send(message).is_ok());
            if !sent {
                log::info!("event=call_link_full ticket={ticket}");
                state.sender = None;
            }
        });
    }

    /// The calls in flight that this host's own desk does not count; it does from now on.
    pub(crate) fn count_calls(&self) -> Vec<UncountedCall> {
        self.with(|state| {
            let uncounted = state.held_calls.iter_mut().filter(|(_ticket, held)| !held.in_desk);
            let counted = uncounted.map(|(ticket, held)| {
                held.in_desk = true;
                UncountedCall {
                    ticket: *ticket,
                    request: held.request.clone(),
                    backend: held.backend.clone(),
                    ran: held.ran(),
                }
            });
            counted.collect()
        })
    }
}
