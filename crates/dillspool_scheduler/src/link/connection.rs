//! An open link: its handshake, reader and writer.

use std::net::SocketAddr;
use std::time::Duration;

use dillspool_io::{NetStack, NetStream};
use dillspool_limits::SpendDecision;
use dillspool_schema::schedule::{ScheduleBeat, ScheduleMessage};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use super::{LinkDuty, LinkedPool, ScheduleReply, SchedulerLink};
use crate::call_wire;
use crate::wire::{self, ScheduleError};

/// Interval between heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// A scheduler that sends nothing for this long counts as gone: three heartbeats, of which one may
/// be lost.
const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(1300);
/// Timeout for sending one message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Outgoing messages queued on one link.
const SEND_QUEUE_LEN: usize = 256;

/// A link that the scheduler has accepted.
pub(crate) struct OpenedLink {
    socket: WebSocketStream<NetStream>,
    /// Its first heartbeat.
    beat: ScheduleBeat,
}

impl SchedulerLink {
    /// Serves an open link until it closes; requests are only sent meanwhile.
    pub(crate) async fn run(&self, opened: OpenedLink) -> Result<(), ScheduleError> {
        let OpenedLink { socket, beat } = opened;
        self.record_heartbeat(&beat);
        let (sender, queue) = mpsc::channel(SEND_QUEUE_LEN);
        self.with(|state| {
            for (ticket, placement) in &state.placements {
                // A full queue only loses the report; the request keeps its engines.
                let _sent = sender.try_send(placement.message(*ticket));
            }
            for (ticket, call) in &state.calls {
                let _sent = sender.try_send(call.message(*ticket));
            }
            for update in self.pool.iter().flat_map(|pool| pool.bus.initial_updates()) {
                let _sent = sender.try_send(update);
            }
            if let Some(pool) = self.pool.as_ref().filter(|_| beat.share_origins.is_some()) {
                for message in pool.bus.origins.initial_messages() {
                    let _sent = sender.try_send(message);
                }
            }
            state.sender = Some(sender);
        });
        let _open = OpenLink(self);
        let (writer, reader) = socket.split();
        tokio::select! {
            closed = self.handle_messages(reader) => closed,
            closed = write_queue(writer, queue) => closed,
        }
    }

    async fn handle_messages(
        &self,
        mut reader: impl StreamExt<Item = Result<Message, tokio_tungstenite::tungstenite::Error>>
        + Unpin,
    ) -> Result<(), ScheduleError> {
        loop {
            let incoming = tokio::time::timeout(SCHEDULER_TIMEOUT, reader.next()).await;
            match decode_incoming(incoming.ok())? {
                ScheduleMessage::Decided(decided) => {
                    let ticket = decided.ticket;
                    let decision = wire::decision_from_wire(decided);
                    self.reply(ticket, ScheduleReply::Decided(decision));
                }
                ScheduleMessage::Reader(reader) => {
                    self.reply(reader.ticket, ScheduleReply::PrefillEngine(reader.prefill));
                }
                ScheduleMessage::Spent(spent) => {
                    let ticket = spent.ticket;
                    let decision = wire::spent_from_wire(&spent);
                    self.reply(ticket, ScheduleReply::Spent(decision));
                }
                ScheduleMessage::CallDecided(decided) => {
                    let ticket = decided.ticket;
                    if let Some(decision) = call_wire::decision_from_wire(decided) {
                        self.reply(ticket, ScheduleReply::Call(decision));
                    }
                }
                ScheduleMessage::Beat(beat) => self.record_heartbeat(&beat),
                ScheduleMessage::Suspect(message) => {
                    if let Some(pool) = &self.pool {
                        pool.bus.receive_suspect(message);
                    }
                }
                ScheduleMessage::Throttle(message) => {
                    if let Some(pool) = &self.pool {
                        pool.bus.receive_throttle(&message);
                    }
                }
                ScheduleMessage::Leaving(message) => {
                    if let Some(pool) = &self.pool {
                        pool.bus.receive_leaving(&message);
                    }
                }
                ScheduleMessage::Origins(message) => {
                    if let Some(pool) = &self.pool {
                        pool.bus.origins.receive(message);
                    }
                }
                ScheduleMessage::OriginKnown(answer) => {
                    if let Some(pool) = &self.pool {
                        let ticket = answer.ticket;
                        let answer = pool.bus.origins.decode_answer(answer);
                        self.reply(ticket, ScheduleReply::Origin(answer));
                    }
                }
                ScheduleMessage::Hello(_)
                | ScheduleMessage::Ask(_)
                | ScheduleMessage::Held(_)
                | ScheduleMessage::Spend(_)
                | ScheduleMessage::GiveBack(_)
                | ScheduleMessage::CallAsk(_)
                | ScheduleMessage::CallHeld(_)
                | ScheduleMessage::CallEnded(_)
                | ScheduleMessage::OriginAsk(_)
                | ScheduleMessage::Note(_) => {}
            }
            if !self.is_linked() {
                return Err(closed("a response timed out"));
            }
        }
    }

    fn record_heartbeat(&self, beat: &ScheduleBeat) {
        let hosts = beat.hosts as usize;
        self.with(|state| {
            state.hosts = Some(hosts);
            state.share_origins = beat.share_origins;
        });
        if let Some(LinkedPool { service, bus }) = &self.pool {
            bus.origins.tracker.set_requested(service, beat.share_origins == Some(true));
        }
        (self.on_heartbeat)(hosts);
    }

    fn reply(&self, ticket: u64, reply: ScheduleReply) {
        let refund = self.with(|state| match state.pending.get(&ticket) {
            Some(sender) => {
                let _taken = sender.try_send(reply);
                None
            }
            None => Some((reply, state.refund_if_granted.remove(&ticket))),
        });
        match refund {
            None => {}
            Some((ScheduleReply::Spent(SpendDecision::Allowed), Some(amount))) => {
                self.send_refund(amount);
            }
            // This host has decided meanwhile, or the caller has left; the request's own events
            // correct the scheduler's state.
            Some((
                ScheduleReply::Spent(_)
                | ScheduleReply::Decided(_)
                | ScheduleReply::PrefillEngine(_)
                | ScheduleReply::Call(_)
                | ScheduleReply::Origin(_),
                _refund,
            )) => log::debug!("event=schedule_answer_late ticket={ticket}"),
        }
    }
}

/// Marks a link as open. Its drop also covers a link that is replaced by a better one or because
/// this host now ranks first: it must not count as linked any more.
struct OpenLink<'a>(&'a SchedulerLink);

impl Drop for OpenLink<'_> {
    fn drop(&mut self) {
        self.0.with(|state| {
            state.sender = None;
            state.share_origins = None;
            state.pending.clear();
            state.refund_if_granted.clear();
        });
        if let Some(LinkedPool { service, bus }) = &self.0.pool {
            bus.origins.tracker.set_requested(service, false);
        }
    }
}

fn closed(reason: &str) -> ScheduleError {
    ScheduleError::LinkClosed { reason: reason.to_owned() }
}

type IncomingMessage = Option<Result<Message, tokio_tungstenite::tungstenite::Error>>;

/// Decodes a message from the scheduler; any other frame closes the link.
fn decode_incoming(incoming: Option<IncomingMessage>) -> Result<ScheduleMessage, ScheduleError> {
    match incoming {
        Some(Some(Ok(Message::Binary(bytes)))) => wire::decode(&bytes),
        Some(Some(Ok(_other))) => Err(closed("the scheduler closed the connection")),
        Some(Some(Err(error))) => Err(closed(&error.to_string())),
        Some(None) => Err(closed("the scheduler closed the connection")),
        None => Err(closed("silence")),
    }
}

async fn write_queue(
    mut writer: impl SinkExt<Message, Error = tokio_tungstenite::tungstenite::Error> + Unpin,
    mut queue: mpsc::Receiver<ScheduleMessage>,
) -> Result<(), ScheduleError> {
    loop {
        let message = match tokio::time::timeout(HEARTBEAT_INTERVAL, queue.recv()).await {
            Ok(Some(message)) => message,
            Ok(None) => return Err(closed("a response timed out")),
            Err(_elapsed) => ScheduleMessage::Beat(ScheduleBeat { hosts: 0, share_origins: None }),
        };
        send(&mut writer, &message).await?;
    }
}

async fn send(
    writer: &mut (impl SinkExt<Message, Error = tokio_tungstenite::tungstenite::Error> + Unpin),
    message: &ScheduleMessage,
) -> Result<(), ScheduleError> {
    let sent = tokio::time::timeout(SEND_TIMEOUT, writer.send(wire::encode(message)?)).await;
    let sent = sent.map_err(|_elapsed| closed("the scheduler does not read its messages"))?;
    sent.map_err(|error| closed(&error.to_string()))
}

/// Opens a link and waits for the first heartbeat, which confirms that the host accepts the duty.
pub(crate) async fn open_link(
    stack: &NetStack,
    address: SocketAddr,
    duty: &LinkDuty,
    timeout: Duration,
) -> Result<OpenedLink, ScheduleError> {
    let opening = async {
        let stream = stack.connect(address).await.map_err(|error| closed(&error.to_string()))?;
        let config = Some(wire::socket_config());
        let opened = client_async_with_config(format!("ws://{address}/"), stream, config).await;
        let (mut socket, _response) = opened.map_err(|error| closed(&error.to_string()))?;
        send(&mut socket, &ScheduleMessage::Hello(duty.hello())).await?;
        let first = socket.next().await;
        match decode_incoming(Some(first))? {
            ScheduleMessage::Beat(beat) => Ok(OpenedLink { socket, beat }),
            _other => Err(closed("the first message is not a heartbeat")),
        }
    };
    let opened = tokio::time::timeout(timeout, opening).await;
    opened.map_err(|_elapsed| closed("the handshake timed out"))?
}
