//! A link while it is open: messages in, messages out, until one side is gone.

use std::net::SocketAddr;
use std::time::Duration;

use dillspool_io::{NetStack, NetStream};
use dillspool_limits::SpendDecision;
use dillspool_schema::schedule::{ScheduleBeat, ScheduleMessage};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use super::{LinkDuty, ScheduleReply, SchedulerLink};
use crate::call_wire;
use crate::fleet_bus::FleetBus;
use crate::wire::{self, ScheduleError};

/// Time between two signs of life.
pub(crate) const BEAT_EVERY: Duration = Duration::from_millis(400);
/// Silence after which a scheduler counts as gone; some beats, one of which may be lost.
const SCHEDULER_SILENCE: Duration = Duration::from_millis(1300);
/// Time for one message.
const SEND_LIMIT: Duration = Duration::from_millis(500);
/// Messages that wait to be sent.
const QUEUED_MESSAGES: usize = 256;

/// A link that a scheduler has accepted.
pub(crate) struct OpenedLink {
    socket: WebSocketStream<NetStream>,
    /// Hosts that the scheduler serves, by its first word.
    hosts: usize,
}

impl SchedulerLink {
    /// Serves a link until it ends; questions go nowhere before and after that.
    pub(crate) async fn run(&self, opened: OpenedLink) -> Result<(), ScheduleError> {
        let OpenedLink { socket, hosts } = opened;
        self.hear(hosts);
        let (sender, queue) = mpsc::channel(QUEUED_MESSAGES);
        self.with(|state| {
            for (ticket, held) in &state.held {
                // A full queue costs knowledge, not a promise.
                let _sent = sender.try_send(held.message(*ticket));
            }
            for (ticket, held) in &state.held_calls {
                let _sent = sender.try_send(held.message(*ticket));
            }
            for news in self.bus.iter().flat_map(FleetBus::first_news) {
                let _sent = sender.try_send(news);
            }
            state.sender = Some(sender);
        });
        let _open = OpenLink(self);
        let (writer, reader) = socket.split();
        tokio::select! {
            ended = self.read(reader) => ended,
            ended = write_queue(writer, queue) => ended,
        }
    }

    async fn read(
        &self,
        mut reader: impl StreamExt<Item = Result<Message, tokio_tungstenite::tungstenite::Error>>
        + Unpin,
    ) -> Result<(), ScheduleError> {
        loop {
            let incoming = tokio::time::timeout(SCHEDULER_SILENCE, reader.next()).await;
            match read_part(incoming.ok())? {
                ScheduleMessage::Decided(decided) => {
                    let ticket = decided.ticket;
                    let decision = wire::decision_from_wire(decided);
                    self.reply(ticket, ScheduleReply::Decided(decision));
                }
                ScheduleMessage::Reader(reader) => {
                    self.reply(reader.ticket, ScheduleReply::Reader(reader.prefill));
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
                ScheduleMessage::Beat(beat) => self.hear(beat.hosts as usize),
                ScheduleMessage::Suspect(message) => {
                    if let Some(bus) = &self.bus {
                        bus.hear_suspect(message);
                    }
                }
                ScheduleMessage::Throttle(message) => {
                    if let Some(bus) = &self.bus {
                        bus.hear_throttle(&message);
                    }
                }
                ScheduleMessage::Leaving(message) => {
                    if let Some(bus) = &self.bus {
                        bus.hear_leaving(&message);
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
                | ScheduleMessage::Note(_) => {}
            }
            if !self.is_linked() {
                return Err(ended("an answer did not come in time"));
            }
        }
    }

    /// Takes the scheduler's word that it serves so many hosts.
    fn hear(&self, hosts: usize) {
        self.with(|state| state.hosts = Some(hosts));
        (self.on_word)(hosts);
    }

    fn reply(&self, ticket: u64, reply: ScheduleReply) {
        let unwanted = self.with(|state| match state.pending.get(&ticket) {
            Some(sender) => {
                let _taken = sender.try_send(reply);
                None
            }
            None => Some((reply, state.unwanted.remove(&ticket))),
        });
        match unwanted {
            None => {}
            Some((ScheduleReply::Spent(SpendDecision::Allowed), Some(amount))) => {
                self.send_back(amount);
            }
            // This host has decided meanwhile, or whoever asked has left; its own note tells the other one.
            Some((
                ScheduleReply::Spent(_)
                | ScheduleReply::Decided(_)
                | ScheduleReply::Reader(_)
                | ScheduleReply::Call(_),
                _unwanted,
            )) => log::debug!("event=schedule_answer_late ticket={ticket}"),
        }
    }
}

/// A link that is being served; also one that is left for a better one, or because this host comes first,
/// must not count as linked any more.
struct OpenLink<'a>(&'a SchedulerLink);

impl Drop for OpenLink<'_> {
    fn drop(&mut self) {
        self.0.with(|state| {
            state.sender = None;
            state.pending.clear();
            state.unwanted.clear();
        });
    }
}

fn ended(reason: &str) -> ScheduleError {
    ScheduleError::LinkClosed { reason: reason.to_owned() }
}

type IncomingPart = Option<Result<Message, tokio_tungstenite::tungstenite::Error>>;

/// A message of the scheduler; anything that is none of its messages ends the link.
fn read_part(incoming: Option<IncomingPart>) -> Result<ScheduleMessage, ScheduleError> {
    match incoming {
        Some(Some(Ok(Message::Binary(bytes)))) => wire::decode(&bytes),
        Some(Some(Ok(_other))) => Err(ended("the scheduler closed it")),
        Some(Some(Err(error))) => Err(ended(&error.to_string())),
        Some(None) => Err(ended("the scheduler closed it")),
        None => Err(ended("silence")),
    }
}

async fn write_queue(
    mut writer: impl SinkExt<Message, Error = tokio_tungstenite::tungstenite::Error> + Unpin,
    mut queue: mpsc::Receiver<ScheduleMessage>,
) -> Result<(), ScheduleError> {
    loop {
        let message = match tokio::time::timeout(BEAT_EVERY, queue.recv()).await {
            Ok(Some(message)) => message,
            Ok(None) => return Err(ended("an answer did not come in time")),
            Err(_elapsed) => ScheduleMessage::Beat(ScheduleBeat { hosts: 0 }),
        };
        send(&mut writer, &message).await?;
    }
}

async fn send(
    writer: &mut (impl SinkExt<Message, Error = tokio_tungstenite::tungstenite::Error> + Unpin),
    message: &ScheduleMessage,
) -> Result<(), ScheduleError> {
    let sent = tokio::time::timeout(SEND_LIMIT, writer.send(wire::encode(message)?)).await;
    let sent = sent.map_err(|_elapsed| ended("the scheduler does not read"))?;
    sent.map_err(|error| ended(&error.to_string()))
}

/// Opens a link and waits for the other host's word that it does what it is asked to.
pub(crate) async fn open_link(
    stack: &NetStack,
    address: SocketAddr,
    duty: &LinkDuty,
    limit: Duration,
) -> Result<OpenedLink, ScheduleError> {
    let opening = async {
        let stream = stack.connect(address).await.map_err(|error| ended(&error.to_string()))?;
        let config = Some(wire::socket_config());
        let opened = client_async_with_config(format!("ws://{address}/"), stream, config).await;
        let (mut socket, _response) = opened.map_err(|error| ended(&error.to_string()))?;
        send(&mut socket, &ScheduleMessage::Hello(duty.hello())).await?;
        let first = socket.next().await;
        match read_part(Some(first))? {
            ScheduleMessage::Beat(beat) => Ok(OpenedLink { socket, hosts: beat.hosts as usize }),
            _other => Err(ended("its first message is no sign of life")),
        }
    };
    let opened = tokio::time::timeout(limit, opening).await;
    opened.map_err(|_elapsed| ended("it does not answer"))?
}
