//! Serves the schedule links of other hosts.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dillspool_admission::{PlacementRequest, StreamEnd, TicketId};
use dillspool_dialer::BackendDialer;
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

use crate::call_scheduler::CallScheduler;
use crate::call_serve::serve_calls;
use crate::fleet_bus::{FleetBus, ServedLink};
use crate::link::HEARTBEAT_INTERVAL;
use crate::placement_scheduler::{PlacementEvent, PlacementScheduler};
use crate::rate_limiter::{LimitShare, RateLimiter};
use crate::tunnel_serve::serve_tunnel;
use crate::wire::{self, PROTOCOL_VERSION, ScheduleError};

/// Timeout for the opening handshake; covers some round trips between failure domains.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// A host that sends nothing for this long counts as gone. Hosts send heartbeats as often as the
/// scheduler does.
const HOST_TIMEOUT: Duration = Duration::from_secs(3);
/// Shorter timeout for links on which limits are granted or calls decided. A host that went silent
/// may have moved to another scheduler, and both would grant its share; it moves after the same
/// time.
pub(crate) const EXCLUSIVE_HOST_TIMEOUT: Duration = Duration::from_millis(1300);
/// Timeout for sending one message; a host that does not read it counts as gone.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Messages queued for one host.
pub(crate) const SEND_QUEUE_LEN: usize = 256;
/// Low bits of a ticket id that hold the host's own number; the high bits number its link.
const TICKET_BITS: u32 = 32;

pub(crate) type HostWriter = SplitSink<WebSocketStream<NetStream>, Message>;
pub(crate) type HostReader = SplitStream<WebSocketStream<NetStream>>;

/// The local services that other hosts use through their links.
#[derive(Clone, Debug)]
pub struct ScheduleServices {
    /// Placements of the requests of pools.
    pub pools: PlacementScheduler,
    /// Limits of workspaces.
    pub limits: RateLimiter,
    /// Request rates that backend servers advertise.
    pub backend_limits: RateLimiter,
    /// Calls of plain services.
    pub calls: CallScheduler,
    /// Distributes gossip updates.
    pub bus: FleetBus,
    /// Connects to backend servers for other hosts.
    pub dialer: BackendDialer,
}

impl ScheduleServices {
    /// Returns the share with this name and the limiter that counts it.
    fn limit_share(&self, name: &str) -> Option<(RateLimiter, LimitShare)> {
        let mut limiters = [&self.limits, &self.backend_limits].into_iter();
        limiters.find_map(|limiter| Some((limiter.clone(), limiter.share_named(name)?)))
    }
}

/// Accepts links and serves each until `cancel`.
pub async fn serve_schedule(
    mut listener: NetListener,
    services: ScheduleServices,
    cancel: CancellationToken,
) {
    // Link number 0 stands for this host's own tickets.
    let links = Arc::new(AtomicU64::new(1));
    loop {
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            () = cancel.cancelled() => return,
        };
        let Some(stream) = stream else { return };
        let (services, cancel) = (services.clone(), cancel.clone());
        let number = links.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            tokio::select! {
                () = serve_host(stream, services, number) => {}
                () = cancel.cancelled() => {}
            }
        });
    }
}

async fn serve_host(stream: NetStream, services: ScheduleServices, number: u64) {
    let opening = accept_async_with_config(stream, Some(wire::socket_config()));
    let Ok(Ok(socket)) = tokio::time::timeout(OPEN_TIMEOUT, opening).await else { return };
    let (writer, mut reader) = socket.split();
    let hello = match read_hello(&mut reader).await {
        Ok(hello) => hello,
        Err(error) => {
            log::info!("event=schedule_refused cause=\"{error}\"");
            return;
        }
    };
    match hello.duty {
        ScheduleDuty::Pool => serve_pool(writer, reader, services, hello, number).await,
        ScheduleDuty::Limits => serve_limits(writer, reader, &services, hello).await,
        ScheduleDuty::Tunnel => serve_tunnel(writer, reader, services.dialer, hello).await,
        ScheduleDuty::Calls => serve_calls(writer, reader, services.calls, hello, number).await,
    }
}

async fn serve_pool(
    writer: HostWriter,
    mut reader: HostReader,
    services: ScheduleServices,
    hello: ScheduleHello,
    number: u64,
) {
    let ScheduleServices {
        pools: scheduler,
        bus,
        limits: _,
        backend_limits: _,
        calls: _,
        dialer: _,
    } = services;
    let service = hello.service;
    if !scheduler.has_pool(&service) {
        log::info!("event=schedule_refused cause=\"pool {service} is not known on this host yet\"");
        return;
    }
    let (sender, queue) = mpsc::channel(SEND_QUEUE_LEN);
    // The host waits for a heartbeat as confirmation that it is served.
    let _served = scheduler.serve_host(&service);
    let heartbeat = || {
        ScheduleMessage::Beat(ScheduleBeat {
            hosts: u32::try_from(scheduler.host_count(&service)).unwrap_or(u32::MAX),
            share_origins: Some(bus.origins.tracker.is_shared(&service)),
        })
    };
    let _queued = sender.try_send(heartbeat());
    let link = bus.serve_link(&hello.host, number);
    let _keeper = hello.origins.then(|| bus.origins.serve_link(&hello.host, number, &sender));
    for update in bus.initial_updates_for_host() {
        let _queued = sender.try_send(update);
    }
    let mut host = ServedHost {
        scheduler: scheduler.clone(),
        bus: bus.clone(),
        name: Name::clone(&hello.host),
        number,
        service: Name::clone(&service),
        sender: sender.clone(),
        tickets: HashSet::new(),
    };
    log::info!("event=schedule_host_joined host={} service={service}", hello.host);
    let ended = tokio::select! {
        ended = host.handle_messages(&mut reader) => ended,
        ended = write_queue(writer, queue, heartbeat) => ended,
        () = forward_updates(link, &sender) => Ok(()),
    };
    let cause = ended.err().map(|error| error.to_string()).unwrap_or_default();
    log::info!(
        "event=schedule_host_left host={} service={service} requests={} cause=\"{cause}\"",
        hello.host,
        host.tickets.len(),
    );
}

/// Forwards updates to a host until its link is dropped.
async fn forward_updates(mut link: ServedLink, sender: &mpsc::Sender<ScheduleMessage>) {
    loop {
        // A full queue drops the update: the host gets the same from store rows or backend
        // responses.
        let _queued = sender.try_send(link.next().await);
    }
}

/// Counts limits for a host until its link closes.
async fn serve_limits(
    writer: HostWriter,
    mut reader: HostReader,
    services: &ScheduleServices,
    hello: ScheduleHello,
) {
    let known_hosts = Some(hello.hosts as usize).filter(|hosts| *hosts > 0);
    let Some((limits, share)) = services.limit_share(&hello.service) else {
        log::info!("event=schedule_refused cause=\"unknown share {}\"", hello.service);
        return;
    };
    let (sender, queue) = mpsc::channel(SEND_QUEUE_LEN);
    let _joined = limits.join(share, known_hosts);
    let heartbeat = || heartbeat(limits.known_hosts(share));
    let _queued = sender.try_send(heartbeat());
    log::info!("event=limits_host_joined host={} share={share} told={known_hosts:?}", hello.host);
    let ended = tokio::select! {
        ended = read_limit_requests(&mut reader, &sender, &limits, share) => ended,
        ended = write_queue(writer, queue, heartbeat) => ended,
    };
    let cause = ended.err().map(|error| error.to_string()).unwrap_or_default();
    log::info!("event=limits_host_left host={} share={share} cause=\"{cause}\"", hello.host);
}

async fn read_limit_requests(
    reader: &mut HostReader,
    sender: &mpsc::Sender<ScheduleMessage>,
    limits: &RateLimiter,
    share: LimitShare,
) -> Result<(), ScheduleError> {
    loop {
        match read_message(reader, EXCLUSIVE_HOST_TIMEOUT).await? {
            ScheduleMessage::Spend(spend) => {
                let ticket = spend.ticket;
                let request = wire::spend_from_wire(spend, limits.now());
                let decision =
                    request.map_or(wire::ODD_SPEND_REFUSAL, |it| limits.spend(share, &it));
                queue_message(sender, wire::spent_to_wire(ticket, decision))?;
            }
            ScheduleMessage::GiveBack(back) if wire::is_amount(back.amount) => {
                limits.refund(share, &back.subject, back.amount);
            }
            // A refund that is out of range leaves the balance as it is.
            ScheduleMessage::GiveBack(_) | ScheduleMessage::Beat(_) => {}
            ScheduleMessage::Hello(_)
            | ScheduleMessage::Ask(_)
            | ScheduleMessage::Held(_)
            | ScheduleMessage::Note(_)
            | ScheduleMessage::Decided(_)
            | ScheduleMessage::Reader(_)
            | ScheduleMessage::Suspect(_)
            | ScheduleMessage::Throttle(_)
            | ScheduleMessage::Leaving(_)
            | ScheduleMessage::Origins(_)
            | ScheduleMessage::OriginAsk(_)
            | ScheduleMessage::OriginKnown(_)
            | ScheduleMessage::CallAsk(_)
            | ScheduleMessage::CallDecided(_)
            | ScheduleMessage::CallHeld(_)
            | ScheduleMessage::CallEnded(_)
            | ScheduleMessage::Spent(_) => {
                let reason = "not a message about a limit".to_owned();
                return Err(ScheduleError::Malformed { reason });
            }
        }
    }
}

/// Queues a message for a host. A full queue closes the link, since the host does not read.
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
    timeout: Duration,
) -> Result<ScheduleMessage, ScheduleError> {
    let ended = |reason: &str| ScheduleError::LinkClosed { reason: reason.to_owned() };
    loop {
        match tokio::time::timeout(timeout, reader.next()).await {
            Ok(Some(Ok(Message::Binary(bytes)))) => return wire::decode(&bytes),
            Ok(Some(Ok(_other))) => {}
            Ok(Some(Err(error))) => return Err(ended(&error.to_string())),
            Ok(None) => return Err(ended("the host closed the connection")),
            Err(_elapsed) => return Err(ended("silence")),
        }
    }
}

async fn read_hello(reader: &mut HostReader) -> Result<ScheduleHello, ScheduleError> {
    let malformed = |reason: String| ScheduleError::Malformed { reason };
    let ScheduleMessage::Hello(hello) = read_message(reader, HOST_TIMEOUT).await? else {
        return Err(malformed("the first message is not a hello".to_owned()));
    };
    if hello.version != PROTOCOL_VERSION {
        return Err(malformed(format!("unsupported protocol version {}", hello.version)));
    }
    Ok(hello)
}

/// Builds a heartbeat with the number of hosts that share the duty.
pub(crate) fn heartbeat(hosts: usize) -> ScheduleMessage {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    ScheduleMessage::Beat(ScheduleBeat { hosts, share_origins: None })
}

/// Sends queued messages and regular heartbeats. Heartbeats are sent between responses, too, since
/// they carry the number of hosts.
pub(crate) async fn write_queue(
    mut writer: HostWriter,
    mut queue: mpsc::Receiver<ScheduleMessage>,
    heartbeat: impl Fn() -> ScheduleMessage,
) -> Result<(), ScheduleError> {
    let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
    heartbeats.reset();
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let message = tokio::select! {
            message = queue.recv() => match message {
                Some(message) => message,
                None => return Ok(()),
            },
            _due = heartbeats.tick() => heartbeat(),
        };
        let sending = writer.send(wire::encode(&message)?);
        let sent = tokio::time::timeout(SEND_TIMEOUT, sending).await;
        let ended = |reason: String| ScheduleError::LinkClosed { reason };
        sent.map_err(|_elapsed| ended("the host does not read its messages".to_owned()))?
            .map_err(|error| ended(error.to_string()))?;
    }
}

/// State of one served host until its link closes.
struct ServedHost {
    scheduler: PlacementScheduler,
    bus: FleetBus,
    name: Name,
    number: u64,
    service: Name,
    sender: mpsc::Sender<ScheduleMessage>,
    /// Active requests, by the host's own ticket numbers.
    tickets: HashSet<u64>,
}

impl ServedHost {
    fn ticket(&self, ticket: u64) -> TicketId {
        TicketId((self.number << TICKET_BITS) | (ticket & ((1 << TICKET_BITS) - 1)))
    }

    async fn handle_messages(&mut self, reader: &mut HostReader) -> Result<(), ScheduleError> {
        loop {
            match read_message(reader, HOST_TIMEOUT).await? {
                ScheduleMessage::Ask(ask) if ask.reader_only => {
                    let request = wire::request_from_wire(ask.request);
                    let prefill = self.scheduler.choose_prefill(self.ticket(ask.ticket), &request);
                    let reply = ScheduleReader { ticket: ask.ticket, prefill };
                    self.send(ScheduleMessage::Reader(reply))?;
                }
                ScheduleMessage::Ask(ask) => {
                    let request = wire::request_from_wire(ask.request);
                    self.submit(ask.ticket, request)?;
                }
                ScheduleMessage::Held(held) => {
                    self.tickets.insert(held.ticket);
                    self.scheduler.adopt(
                        self.ticket(held.ticket),
                        &self.service,
                        &wire::request_from_wire(held.request),
                        wire::placement_from_wire(held.placement),
                        held.ran_ms.map(Duration::from_millis),
                    );
                }
                ScheduleMessage::Note(event) => {
                    let ticket = event.ticket;
                    let event = wire::event_from_wire(event);
                    if matches!(event, PlacementEvent::Ended(_)) {
                        self.tickets.remove(&ticket);
                    }
                    self.scheduler.record_event(self.ticket(ticket), event);
                }
                ScheduleMessage::Suspect(message) => {
                    if let Some(update) = self.bus.receive_suspect(message) {
                        self.bus.broadcast(Some(&self.name), &update);
                    }
                }
                ScheduleMessage::Throttle(message) => {
                    if let Some(update) = self.bus.receive_throttle(&message) {
                        self.bus.broadcast(Some(&self.name), &update);
                    }
                }
                ScheduleMessage::Leaving(message) => {
                    if let Some(update) = self.bus.receive_leaving(&message) {
                        self.bus.broadcast(Some(&self.name), &update);
                    }
                }
                ScheduleMessage::Origins(message) => {
                    self.bus.origins.relay(self.bus.origins.receive(message));
                }
                ScheduleMessage::OriginAsk(ask) => {
                    self.send(self.bus.origins.answer(&self.service, &ask))?;
                }
                ScheduleMessage::Beat(_beat) => {}
                ScheduleMessage::Hello(_)
                | ScheduleMessage::OriginKnown(_)
                | ScheduleMessage::Spend(_)
                | ScheduleMessage::GiveBack(_)
                | ScheduleMessage::Spent(_)
                | ScheduleMessage::Decided(_)
                | ScheduleMessage::CallAsk(_)
                | ScheduleMessage::CallDecided(_)
                | ScheduleMessage::CallHeld(_)
                | ScheduleMessage::CallEnded(_)
                | ScheduleMessage::Reader(_) => {
                    let reason = "unexpected message type from a host".to_owned();
                    return Err(ScheduleError::Malformed { reason });
                }
            }
        }
    }

    fn submit(&mut self, ticket: u64, request: PlacementRequest) -> Result<(), ScheduleError> {
        self.tickets.insert(ticket);
        let sender = self.sender.clone();
        let decide_later = move |decision| {
            // A host whose link has closed needs no decision; its requests are removed.
            let _sent = sender.try_send(wire::decision_to_wire(ticket, decision));
        };
        let decision =
            self.scheduler.submit(self.ticket(ticket), &self.service, request, decide_later);
        let unknown = || ScheduleError::LinkClosed { reason: "the pool was removed".to_owned() };
        self.send(wire::decision_to_wire(ticket, decision.ok_or_else(unknown)?))
    }

    fn send(&self, message: ScheduleMessage) -> Result<(), ScheduleError> {
        queue_message(&self.sender, message)
    }
}

impl Drop for ServedHost {
    fn drop(&mut self) {
        // Engines close the streams of a host that is gone. A live host links to another scheduler
        // and reports its active requests there.
        for ticket in &self.tickets {
            let end = StreamEnd { is_complete: false, event_gap: None };
            self.scheduler.record_event(self.ticket(*ticket), PlacementEvent::Ended(end));
        }
    }
}
