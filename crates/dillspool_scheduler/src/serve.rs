//! Takes the questions of other hosts.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dillspool_admission::{PlacementRequest, StreamEnd, TicketId};
use dillspool_io::{NetListener, NetStream};
use dillspool_schema::Name;
use dillspool_schema::schedule::{
    ScheduleBeat, ScheduleDuty, ScheduleHello, ScheduleMessage, ScheduleReader,
};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config};
use tokio_util::sync::CancellationToken;

use crate::call_desk::CallScheduler;
use crate::call_serve::serve_calls;
use crate::desk::{PlacementEvent, PlacementScheduler};
use crate::fleet_bus::{FleetBus, ServedLink};
use crate::limit_desk::{LimitShare, RateLimiter};
use crate::link::BEAT_EVERY;
use crate::wire::{self, PROTOCOL_VERSION, ScheduleError};

/// Time for a host to open its link, some round trips between failure domains.
const OPEN_LIMIT: Duration = Duration::from_millis(500);
/// Silence after which a host counts as gone; it beats as often as the scheduler.
const HOST_SILENCE: Duration = Duration::from_secs(3);
/// The same where limits are counted or calls decided: a host that has left silently may ask another one
/// meanwhile, and both would grant its part. It asks another one after as long.
pub(crate) const LIMIT_HOST_SILENCE: Duration = Duration::from_millis(1300);
/// Time for one message; a host that does not read it is gone.
const SEND_LIMIT: Duration = Duration::from_secs(1);
/// Messages that wait to be sent to one host.
pub(crate) const QUEUED_MESSAGES: usize = 256;
/// Bits of a ticket that are the host's own; the rest number its link.
const TICKET_BITS: u32 = 32;

pub(crate) type HostWriter = SplitSink<WebSocketStream<NetStream>, Message>;
pub(crate) type HostReader = SplitStream<WebSocketStream<NetStream>>;

/// What a host decides and passes on for others.
#[derive(Clone, Debug)]
pub struct ScheduleServices {
    /// Places the requests of pools.
    pub pools: PlacementScheduler,
    /// Counts the limits of workspaces.
    pub limits: RateLimiter,
    /// Counts what backend servers say they take.
    pub backend_limits: RateLimiter,
    /// Decides on the calls of plain services.
    pub calls: CallScheduler,
    /// Passes news on.
    pub bus: FleetBus,
}

impl ScheduleServices {
    /// The share of a name, and the desk that counts it.
    fn limit_share(&self, name: &str) -> Option<(RateLimiter, LimitShare)> {
        let mut desks = [&self.limits, &self.backend_limits].into_iter();
        desks.find_map(|desk| Some((desk.clone(), desk.share_named(name)?)))
    }
}

/// Answers every host that connects until `cancel`.
pub async fn serve_schedule(
    mut listener: NetListener,
    desks: ScheduleServices,
    cancel: CancellationToken,
) {
    // The tickets of this host itself have the number 0.
    let links = Arc::new(AtomicU64::new(1));
    loop {
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            () = cancel.cancelled() => return,
        };
        let Some(stream) = stream else { return };
        let (desks, cancel) = (desks.clone(), cancel.clone());
        let number = links.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            tokio::select! {
                () = serve_host(stream, desks, number) => {}
                () = cancel.cancelled() => {}
            }
        });
    }
}

async fn serve_host(stream: NetStream, desks: ScheduleServices, number: u64) {
    let opening = accept_async_with_config(stream, Some(wire::socket_config()));
    let Ok(Ok(socket)) = tokio::time::timeout(OPEN_LIMIT, opening).await else { return };
    let (writer, mut reader) = socket.split();
    let hello = match read_hello(&mut reader).await {
        Ok(hello) => hello,
        Err(error) => {
            log::info!("event=schedule_refused cause=\"{error}\"");
            return;
        }
    };
    match hello.duty {
        ScheduleDuty::Pool => serve_pool(writer, reader, desks, hello, number).await,
        ScheduleDuty::Limits => serve_limits(writer, reader, &desks, hello).await,
        ScheduleDuty::Calls => serve_calls(writer, reader, desks.calls, hello, number).await,
    }
}

async fn serve_pool(
    writer: HostWriter,
    mut reader: HostReader,
    desks: ScheduleServices,
    hello: ScheduleHello,
    number: u64,
) {
    let ScheduleServices { pools: desk, bus, limits: _, backend_limits: _, calls: _ } = desks;
    let service = hello.service;
    if !desk.has_pool(&service) {
        log::info!("event=schedule_refused cause=\"the pool {service} is not known here yet\"");
        return;
    }
    let (sender, queue) = mpsc::channel(QUEUED_MESSAGES);
    // The host waits for a word that it is served.
    let _served = desk.serve_host(&service);
    let beat = || beat(desk.hosts(&service));
    let _queued = sender.try_send(beat());
    let link = bus.serve_link(&hello.host, number);
    for news in bus.first_told() {
        let _queued = sender.try_send(news);
    }
    let mut host = ServedHost {
        desk: desk.clone(),
        bus: bus.clone(),
        name: Name::clone(&hello.host),
        number,
        service: Name::clone(&service),
        sender: sender.clone(),
        tickets: HashSet::new(),
    };
    log::info!("event=schedule_host_joined host={} service={service}", hello.host);
    let ended = tokio::select! {
        ended = host.read(&mut reader) => ended,
        ended = write_queue(writer, queue, beat) => ended,
        () = pass_news(link, &sender) => Ok(()),
    };
    let cause = ended.err().map(|error| error.to_string()).unwrap_or_default();
    log::info!(
        "event=schedule_host_left host={} service={service} requests={} cause=\"{cause}\"",
        hello.host,
        host.tickets.len(),
    );
}

/// Passes news on to a host until its link is dropped.
async fn pass_news(mut link: ServedLink, sender: &mpsc::Sender<ScheduleMessage>) {
    loop {
        // A host that does not read is left; rows of the store, or answers, tell it the same.
        let _queued = sender.try_send(link.next().await);
    }
}

/// Counts limits for a host until its link ends.
async fn serve_limits(
    writer: HostWriter,
    mut reader: HostReader,
    desks: &ScheduleServices,
    hello: ScheduleHello,
) {
    let told = Some(hello.hosts as usize).filter(|hosts| *hosts > 0);
    let Some((limits, share)) = desks.limit_share(&hello.service) else {
        log::info!("event=schedule_refused cause=\"there is no share {}\"", hello.service);
        return;
    };
    let (sender, queue) = mpsc::channel(QUEUED_MESSAGES);
    let _joined = limits.join(share, told);
    let beat = || beat(limits.standing(share));
    let _queued = sender.try_send(beat());
    log::info!("event=limits_host_joined host={} share={share} told={told:?}", hello.host);
    let ended = tokio::select! {
        ended = read_spends(&mut reader, &sender, &limits, share) => ended,
        ended = write_queue(writer, queue, beat) => ended,
    };
    let cause = ended.err().map(|error| error.to_string()).unwrap_or_default();
    log::info!("event=limits_host_left host={} share={share} cause=\"{cause}\"", hello.host);
}

async fn read_spends(
    reader: &mut HostReader,
    sender: &mpsc::Sender<ScheduleMessage>,
    limits: &RateLimiter,
    share: LimitShare,
) -> Result<(), ScheduleError> {
    loop {
        match read_message(reader, LIMIT_HOST_SILENCE).await? {
            ScheduleMessage::Spend(spend) => {
                let ticket = spend.ticket;
                let decision = limits.spend(share, &wire::spend_from_wire(spend, limits.now()));
                queue_message(sender, wire::spent_to_wire(ticket, decision))?;
            }
            ScheduleMessage::GiveBack(back) => {
                limits.give_back(share, &back.subject, back.amount);
            }
            ScheduleMessage::Beat(_beat) => {}
            ScheduleMessage::Hello(_)
            | ScheduleMessage::Ask(_)
            | ScheduleMessage::Held(_)
            | ScheduleMessage::Note(_)
            | ScheduleMessage::Decided(_)
            | ScheduleMessage::Reader(_)
            | ScheduleMessage::Suspect(_)
            | ScheduleMessage::Throttle(_)
            | ScheduleMessage::Leaving(_)
            | ScheduleMessage::CallAsk(_)
            | ScheduleMessage::CallDecided(_)
            | ScheduleMessage::CallHeld(_)
            | ScheduleMessage::CallEnded(_)
            | ScheduleMessage::Spent(_) => {
                let reason = "no question about a limit".to_owned();
                return Err(ScheduleError::Malformed { reason });
            }
        }
    }
}

/// Queues a message for a host; one that does not read its messages is left.
pub(crate) fn queue_message(
    sender: &mpsc::Sender<ScheduleMessage>,
    message: ScheduleMessage,
) -> Result<(), ScheduleError> {
    let full = |error: mpsc::error::TrySendError<_>| ScheduleError::LinkClosed {
        reason: error.to_string(),
    };
    sender.try_send(message).map_err(full)
}

pub(crate) async fn read_message(
    reader: &mut HostReader,
    silence: Duration,
) -> Result<ScheduleMessage, ScheduleError> {
    let ended = |reason: &str| ScheduleError::LinkClosed { reason: reason.to_owned() };
    loop {
        match tokio::time::timeout(silence, reader.next()).await {
            Ok(Some(Ok(Message::Binary(bytes)))) => return wire::decode(&bytes),
            Ok(Some(Ok(_other))) => {}
            Ok(Some(Err(error))) => return Err(ended(&error.to_string())),
            Ok(None) => return Err(ended("the host closed it")),
            Err(_elapsed) => return Err(ended("silence")),
        }
    }
}

async fn read_hello(reader: &mut HostReader) -> Result<ScheduleHello, ScheduleError> {
    let malformed = |reason: String| ScheduleError::Malformed { reason };
    let ScheduleMessage::Hello(hello) = read_message(reader, HOST_SILENCE).await? else {
        return Err(malformed("the first message is no greeting".to_owned()));
    };
    if hello.version != PROTOCOL_VERSION {
        return Err(malformed(format!("version {}", hello.version)));
    }
    Ok(hello)
}

/// A sign of life, with the number of hosts that share a duty.
pub(crate) fn beat(hosts: usize) -> ScheduleMessage {
    ScheduleMessage::Beat(ScheduleBeat { hosts: u32::try_from(hosts).unwrap_or(u32::MAX) })
}

/// Sends what is queued, and a sign of life now and then, also between answers: it tells how many hosts there are.
pub(crate) async fn write_queue(
    mut writer: HostWriter,
    mut queue: mpsc::Receiver<ScheduleMessage>,
    beat: impl Fn() -> ScheduleMessage,
) -> Result<(), ScheduleError> {
    let mut beats = tokio::time::interval(BEAT_EVERY);
    beats.reset();
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let message = tokio::select! {
            message = queue.recv() => match message {
                Some(message) => message,
                None => return Ok(()),
            },
            _due = beats.tick() => beat(),
        };
        let sending = writer.send(wire::encode(&message)?);
        let sent = tokio::time::timeout(SEND_LIMIT, sending).await;
        let ended = |reason: String| ScheduleError::LinkClosed { reason };
        sent.map_err(|_elapsed| ended("the host does not read".to_owned()))?
            .map_err(|error| ended(error.to_string()))?;
    }
}

/// A host that is served, until its link ends.
struct ServedHost {
    desk: PlacementScheduler,
    bus: FleetBus,
    name: Name,
    number: u64,
    service: Name,
    sender: mpsc::Sender<ScheduleMessage>,
    /// Requests under way, by the host's own numbers.
    tickets: HashSet<u64>,
}

impl ServedHost {
    fn ticket(&self, own: u64) -> TicketId {
        TicketId((self.number << TICKET_BITS) | (own & ((1 << TICKET_BITS) - 1)))
    }

    async fn read(&mut self, reader: &mut HostReader) -> Result<(), ScheduleError> {
        loop {
            match read_message(reader, HOST_SILENCE).await? {
                ScheduleMessage::Ask(ask) if ask.reader_only => {
                    let request = wire::request_from_wire(ask.request);
                    let prefill = self.desk.choose_prefill(self.ticket(ask.ticket), &request);
                    let reply = ScheduleReader { ticket: ask.ticket, prefill };
                    self.send(ScheduleMessage::Reader(reply))?;
                }
                ScheduleMessage::Ask(ask) => {
                    let request = wire::request_from_wire(ask.request);
                    self.ask(ask.ticket, request)?;
                }
                ScheduleMessage::Held(held) => {
                    self.tickets.insert(held.ticket);
                    self.desk.adopt(
                        self.ticket(held.ticket),
                        &self.service,
                        &wire::request_from_wire(held.request),
                        wire::placement_from_wire(held.placement),
                        held.ran_ms.map(Duration::from_millis),
                    );
                }
                ScheduleMessage::Note(note) => {
                    let ticket = note.ticket;
                    let note = wire::note_from_wire(note);
                    if matches!(note, PlacementEvent::Ended(_)) {
                        self.tickets.remove(&ticket);
                    }
                    self.desk.record_event(self.ticket(ticket), note);
                }
                ScheduleMessage::Suspect(message) => {
                    if let Some(news) = self.bus.hear_suspect(message) {
                        self.bus.spread(Some(&self.name), &news);
                    }
                }
                ScheduleMessage::Throttle(message) => {
                    if let Some(news) = self.bus.hear_throttle(&message) {
                        self.bus.spread(Some(&self.name), &news);
                    }
                }
                ScheduleMessage::Leaving(message) => {
                    if let Some(news) = self.bus.hear_leaving(&message) {
                        self.bus.spread(Some(&self.name), &news);
                    }
                }
                ScheduleMessage::Beat(_beat) => {}
                ScheduleMessage::Hello(_)
                | ScheduleMessage::Spend(_)
                | ScheduleMessage::GiveBack(_)
                | ScheduleMessage::Spent(_)
                | ScheduleMessage::Decided(_)
                | ScheduleMessage::CallAsk(_)
                | ScheduleMessage::CallDecided(_)
                | ScheduleMessage::CallHeld(_)
                | ScheduleMessage::CallEnded(_)
                | ScheduleMessage::Reader(_) => {
                    let reason = "a scheduler's message from a host".to_owned();
                    return Err(ScheduleError::Malformed { reason });
                }
            }
        }
    }

    fn ask(&mut self, own: u64, request: PlacementRequest) -> Result<(), ScheduleError> {
        self.tickets.insert(own);
        let sender = self.sender.clone();
        let decide_later = move |decision| {
            // A host that has left needs no decision; its requests are taken off.
            let _sent = sender.try_send(wire::decision_to_wire(own, decision));
        };
        let decision = self.desk.submit(self.ticket(own), &self.service, request, decide_later);
        let unknown = || ScheduleError::LinkClosed { reason: "the pool is gone".to_owned() };
        self.send(wire::decision_to_wire(own, decision.ok_or_else(unknown)?))
    }

    fn send(&self, message: ScheduleMessage) -> Result<(), ScheduleError> {
        queue_message(&self.sender, message)
    }
}

impl Drop for ServedHost {
    fn drop(&mut self) {
        // Engines close the streams of a host that has gone; one that lives asks another scheduler
        // and tells it what it holds.
        for own in &self.tickets {
            let end = StreamEnd { is_complete: false, event_gap: None };
            self.desk.record_event(self.ticket(*own), PlacementEvent::Ended(end));
        }
    }
}
