//! Decides on the calls of plain services for other hosts.

use dillspool_calls::CallId;
use dillspool_schema::Name;
use dillspool_schema::schedule::{ScheduleCallAsk, ScheduleHello, ScheduleMessage};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::call_desk::CallScheduler;
use crate::call_wire;
use crate::serve::{
    HostReader, HostWriter, LIMIT_HOST_SILENCE, QUEUED_MESSAGES, beat, queue_message, read_message,
    write_queue,
};
use crate::wire::ScheduleError;

/// Decides on a host's calls until its link ends; those that it has by then are forgotten.
pub(crate) async fn serve_calls(
    writer: HostWriter,
    mut reader: HostReader,
    desk: CallScheduler,
    hello: ScheduleHello,
    number: u64,
) {
    let service = hello.service;
    if !desk.has_service(&service) {
        log::info!(
            "event=schedule_refused cause=\"the calls of {service} are not known here yet\""
        );
        return;
    }
    let (sender, queue) = mpsc::channel(QUEUED_MESSAGES);
    let _served = desk.serve_host(&service, number);
    let beat = || beat(desk.hosts(&service));
    let _queued = sender.try_send(beat());
    log::info!("event=calls_host_joined host={} service={service}", hello.host);
    let full = CancellationToken::new();
    let host = ServedCalls {
        desk: desk.clone(),
        number,
        service: Name::clone(&service),
        sender,
        full: full.clone(),
    };
    let ended = tokio::select! {
        () = full.cancelled() => Err(ScheduleError::LinkClosed { reason: "a full queue".to_owned() }),
        ended = host.read(&mut reader) => ended,
        ended = write_queue(writer, queue, beat) => ended,
    };
    let cause = ended.err().map(|error| error.to_string()).unwrap_or_default();
    log::info!("event=calls_host_left host={} service={service} cause=\"{cause}\"", hello.host);
}

/// A host that is served, until its link ends.
struct ServedCalls {
    desk: CallScheduler,
    number: u64,
    service: Name,
    sender: mpsc::Sender<ScheduleMessage>,
    /// Cancelled when a decision finds the queue full.
    full: CancellationToken,
}

impl ServedCalls {
    fn id(&self, ticket: u64) -> CallId {
        CallScheduler::id_on_link(self.number, ticket)
    }

    async fn read(&self, reader: &mut HostReader) -> Result<(), ScheduleError> {
        loop {
            match read_message(reader, LIMIT_HOST_SILENCE).await? {
                ScheduleMessage::CallAsk(ask) => self.ask(ask)?,
                ScheduleMessage::CallHeld(held) => {
                    let id = self.id(held.ticket);
                    let (request, backend, ran) = call_wire::held_from_wire(held);
                    self.desk.adopt(id, &self.service, request, backend, ran);
                }
                ScheduleMessage::CallEnded(ended) => {
                    let (end, took) = call_wire::end_from_wire(&ended);
                    self.desk.complete(self.id(ended.ticket), end, took);
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
                | ScheduleMessage::CallDecided(_) => {
                    let reason = "no question about a call".to_owned();
                    return Err(ScheduleError::Malformed { reason });
                }
            }
        }
    }

    fn ask(&self, ask: ScheduleCallAsk) -> Result<(), ScheduleError> {
        let (ticket, sender, full) = (ask.ticket, self.sender.clone(), self.full.clone());
        let decide_later = move |decision| {
            // The call would keep a place that its host does not know of.
            if sender.try_send(call_wire::decision_to_wire(ticket, decision)).is_err() {
                full.cancel();
            }
        };
        let request = call_wire::request_from_wire(ask.request);
        let decision = self.desk.submit(self.id(ticket), &self.service, request, decide_later);
        let unknown = || ScheduleError::LinkClosed { reason: "the service is gone".to_owned() };
        let message = call_wire::decision_to_wire(ticket, decision.ok_or_else(unknown)?);
        queue_message(&self.sender, message)
    }
}
