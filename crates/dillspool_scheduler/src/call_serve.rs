//! Serves links on which other hosts ask for call decisions.

use dillspool_calls::CallId;
use dillspool_schema::Name;
use dillspool_schema::schedule::{ScheduleCallAsk, ScheduleHello, ScheduleMessage};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::call_scheduler::CallScheduler;
use crate::call_wire;
use crate::serve::{
    EXCLUSIVE_HOST_TIMEOUT, HostReader, HostWriter, SEND_QUEUE_LEN, heartbeat, queue_message,
    read_message, write_queue,
};
use crate::wire::ScheduleError;

/// Decides on a host's calls until its link closes; its remaining calls are then removed.
pub(crate) async fn serve_calls(
    writer: HostWriter,
    mut reader: HostReader,
    scheduler: CallScheduler,
    hello: ScheduleHello,
    number: u64,
) {
    let service = hello.service;
    if !scheduler.has_service(&service) {
        log::info!(
            "event=schedule_refused cause=\"service {service} is not known on this host yet\""
        );
        return;
    }
    let (sender, queue) = mpsc::channel(SEND_QUEUE_LEN);
    let _served = scheduler.serve_host(&service, number);
    let heartbeat = || heartbeat(scheduler.host_count(&service));
    let _queued = sender.try_send(heartbeat());
    log::info!("event=calls_host_joined host={} service={service}", hello.host);
    let full = CancellationToken::new();
    let host = ServedCallHost {
        scheduler: scheduler.clone(),
        number,
        service: Name::clone(&service),
        sender,
        full: full.clone(),
    };
    let ended = tokio::select! {
        () = full.cancelled() => Err(ScheduleError::LinkClosed { reason: "the send queue is full".to_owned() }),
        ended = host.handle_messages(&mut reader) => ended,
        ended = write_queue(writer, queue, heartbeat) => ended,
    };
    let cause = ended.err().map(|error| error.to_string()).unwrap_or_default();
    log::info!("event=calls_host_left host={} service={service} cause=\"{cause}\"", hello.host);
}

/// State of one served host until its link closes.
struct ServedCallHost {
    scheduler: CallScheduler,
    number: u64,
    service: Name,
    sender: mpsc::Sender<ScheduleMessage>,
    /// Cancelled when a decision cannot be queued.
    full: CancellationToken,
}

impl ServedCallHost {
    fn id(&self, ticket: u64) -> CallId {
        CallScheduler::id_on_link(self.number, ticket)
    }

    async fn handle_messages(&self, reader: &mut HostReader) -> Result<(), ScheduleError> {
        loop {
            match read_message(reader, EXCLUSIVE_HOST_TIMEOUT).await? {
                ScheduleMessage::CallAsk(ask) => self.submit(ask)?,
                ScheduleMessage::CallHeld(held) => {
                    let id = self.id(held.ticket);
                    let (request, backend, ran) = call_wire::held_from_wire(held);
                    self.scheduler.adopt(id, &self.service, request, backend, ran);
                }
                ScheduleMessage::CallEnded(ended) => {
                    let (end, took) = call_wire::end_from_wire(&ended);
                    self.scheduler.complete(self.id(ended.ticket), end, took);
                }
                ScheduleMessage::Beat(_beat) => {}
                ScheduleMessage::Hello(_)
                | ScheduleMessage::Ask(_)
                | ScheduleMessage::Held(_)
                | ScheduleMessage::Note(_)
                | ScheduleMessage::Decided(_)
                | ScheduleMessage::Reader(_)
                | ScheduleMessage::Spend(_)
                | ScheduleMessage::Spent(_)
                | ScheduleMessage::GiveBack(_)
                | ScheduleMessage::Suspect(_)
                | ScheduleMessage::Throttle(_)
                | ScheduleMessage::Leaving(_)
                | ScheduleMessage::Origins(_)
                | ScheduleMessage::OriginAsk(_)
                | ScheduleMessage::OriginKnown(_)
                | ScheduleMessage::CallDecided(_) => {
                    let reason = "not a message about a call".to_owned();
                    return Err(ScheduleError::Malformed { reason });
                }
            }
        }
    }

    fn submit(&self, ask: ScheduleCallAsk) -> Result<(), ScheduleError> {
        let (ticket, sender, full) = (ask.ticket, self.sender.clone(), self.full.clone());
        let decide_later = move |decision| {
            // The call would occupy a slot without its host knowing, so the link is closed.
            if sender.try_send(call_wire::decision_to_wire(ticket, decision)).is_err() {
                full.cancel();
            }
        };
        let request = call_wire::request_from_wire(ask.request);
        let decision = self.scheduler.submit(self.id(ticket), &self.service, request, decide_later);
        let unknown = || ScheduleError::LinkClosed { reason: "the service was removed".to_owned() };
        let message = call_wire::decision_to_wire(ticket, decision.ok_or_else(unknown)?);
        queue_message(&self.sender, message)
    }
}
