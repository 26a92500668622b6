//! A host's link to the one that decides for all: the scheduler of a pool, or the holder of limits.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_admission::{PlacementDecision, PlacementRequest, StreamPlacement};
use dillspool_io::{NetStack, NetStream};
use dillspool_limits::{SpendDecision, SpendRequest};
use dillspool_schema::Name;
use dillspool_schema::schedule::{
    ScheduleAsk, ScheduleBeat, ScheduleDuty, ScheduleGiveBack, ScheduleHeld, ScheduleHello,
    ScheduleMessage,
};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use crate::desk::DeskNote;
use crate::wire::{self, PROTOCOL_VERSION, ScheduleError};

/// Time between two signs of life.
pub(crate) const BEAT_EVERY: Duration = Duration::from_millis(400);
/// Silence after which a scheduler counts as gone; some beats, one of which may be lost.
const SCHEDULER_SILENCE: Duration = Duration::from_millis(1300);
/// Time for one message.
const SEND_LIMIT: Duration = Duration::from_millis(500);
/// Time for a scheduler's answer, after which this host decides by itself: a fiftieth to a tenth of
/// the time in which a first event is due.
const ANSWER_LIMIT: Duration = Duration::from_millis(80);
/// Time beyond a request's patience for the decision on one that waits.
const WAIT_SLACK: Duration = Duration::from_millis(200);
/// Messages that wait to be sent.
const QUEUED_MESSAGES: usize = 256;
/// Answers to one question: that it waits, and the decision.
const ANSWERS: usize = 2;

/// A link that a scheduler has accepted.
pub(crate) type ScheduleSocket = WebSocketStream<NetStream>;

/// What a host asks another one to do for all.
#[derive(Clone)]
pub(crate) struct LinkDuty {
    pub(crate) duty: ScheduleDuty,
    /// This host.
    pub(crate) host: Name,
    /// Service whose engines are the pool, or share of the workspaces.
    pub(crate) service: Name,
    /// Hosts that share the limits, as far as this host knows; 0 if it does not.
    pub(crate) told: Arc<dyn Fn() -> usize + Send + Sync>,
}

impl LinkDuty {
    /// To place the requests of a pool.
    pub(crate) fn pool(host: &Name, service: &Name) -> Self {
        let (host, service) = (Name::clone(host), Name::clone(service));
        Self { duty: ScheduleDuty::Pool, host, service, told: Arc::new(|| 0) }
    }

    fn hello(&self) -> ScheduleHello {
        ScheduleHello {
            version: PROTOCOL_VERSION,
            host: Name::clone(&self.host),
            duty: self.duty,
            service: Name::clone(&self.service),
            hosts: u32::try_from((self.told)()).unwrap_or(u32::MAX),
        }
    }
}

/// What a scheduler answered.
enum ScheduleReply {
    Decided(PlacementDecision),
    Reader(Option<Name>),
    Spent(SpendDecision),
}

type WordFn = dyn Fn(usize) + Send + Sync;

/// A request of this host that has its engines.
#[derive(Clone, Debug)]
struct HeldRecord {
    request: PlacementRequest,
    placement: StreamPlacement,
    started: Option<Instant>,
}

impl HeldRecord {
    fn message(&self, ticket: u64) -> ScheduleMessage {
        ScheduleMessage::Held(ScheduleHeld {
            ticket,
            request: wire::request_to_wire(&self.request),
            placement: wire::placement_to_wire(self.placement.clone()),
            ran_ms: self.started.map(|started| wire::millis(started.elapsed())),
        })
    }
}

#[derive(Default)]
struct LinkState {
    /// Whether this host is the first that serves the pool, as far as it knows.
    schedules: bool,
    /// Hosts that the scheduler serves, by its last word.
    hosts: Option<usize>,
    /// Takes messages while a scheduler is linked.
    sender: Option<mpsc::Sender<ScheduleMessage>>,
    pending: HashMap<u64, mpsc::Sender<ScheduleReply>>,
    held: HashMap<u64, HeldRecord>,
}

/// Questions and notes of this host about one duty.
#[derive(Clone)]
pub(crate) struct SchedulerLink {
    state: Arc<Mutex<LinkState>>,
    /// Called with each sign of life of the linked host.
    on_word: Arc<WordFn>,
}

impl Default for SchedulerLink {
    fn default() -> Self {
        Self::new(|_hosts| {})
    }
}

impl SchedulerLink {
    /// A link that calls `on_word` with the number of hosts that each sign of life tells.
    pub(crate) fn new(on_word: impl Fn(usize) + Send + Sync + 'static) -> Self {
        Self { state: Arc::default(), on_word: Arc::new(on_word) }
    }

    fn with<T>(&self, run: impl FnOnce(&mut LinkState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Asks the scheduler; `None` when there is none, or no answer.
    pub(crate) async fn ask(
        &self,
        ticket: u64,
        request: &PlacementRequest,
    ) -> Option<PlacementDecision> {
        let mut answers = self.send_question(ticket, request, false)?;
        let first = tokio::time::timeout(ANSWER_LIMIT, answers.recv()).await;
        let first = self.answer_of(ticket, first.ok().flatten());
        if !matches!(first, Some(PlacementDecision::Wait)) {
            self.forget_question(ticket);
            return first;
        }
        let limit = request.patience + WAIT_SLACK;
        let later = tokio::time::timeout(limit, answers.recv()).await;
        let later = self.answer_of(ticket, later.ok().flatten());
        self.forget_question(ticket);
        later
    }

    /// Asks for another prefill engine; `None` when there is no scheduler or no answer.
    pub(crate) async fn ask_prefill(
        &self,
        ticket: u64,
        request: &PlacementRequest,
    ) -> Option<Option<Name>> {
        let mut answers = self.send_question(ticket, request, true)?;
        let answer = tokio::time::timeout(ANSWER_LIMIT, answers.recv()).await;
        self.forget_question(ticket);
        match answer {
            Ok(Some(ScheduleReply::Reader(prefill))) => Some(prefill),
            Ok(Some(ScheduleReply::Decided(_) | ScheduleReply::Spent(_)) | None) | Err(_) => None,
        }
    }

    /// Asks the holder of a limit; `None` when there is none, or no answer.
    pub(crate) async fn spend(&self, ticket: u64, request: &SpendRequest) -> Option<SpendDecision> {
        let mut answers = self.send(ticket, wire::spend_to_wire(ticket, request))?;
        let answer = tokio::time::timeout(ANSWER_LIMIT, answers.recv()).await;
        self.forget_question(ticket);
        match answer {
            Ok(Some(ScheduleReply::Spent(decision))) => Some(decision),
            Ok(Some(ScheduleReply::Decided(_) | ScheduleReply::Reader(_))) => None,
            Ok(None) | Err(_) => {
                self.give_up(ticket);
                None
            }
        }
    }

    /// Tells the holder that a request did not use what it was granted.
    pub(crate) fn give_back(&self, workspace: &Name, amount: f64) {
        let message = ScheduleGiveBack { workspace: Name::clone(workspace), amount };
        self.with(|state| {
            if let Some(sender) = &state.sender {
                // What is not given back is refused to somebody, and runs out by time.
                let _sent = sender.try_send(ScheduleMessage::GiveBack(message));
            }
        });
    }

    fn send_question(
        &self,
        ticket: u64,
        request: &PlacementRequest,
        reader_only: bool,
    ) -> Option<mpsc::Receiver<ScheduleReply>> {
        let request = wire::request_to_wire(request);
        self.send(ticket, ScheduleMessage::Ask(ScheduleAsk { ticket, request, reader_only }))
    }

    fn send(
        &self,
        ticket: u64,
        question: ScheduleMessage,
    ) -> Option<mpsc::Receiver<ScheduleReply>> {
        let (sender, receiver) = mpsc::channel(ANSWERS);
        self.with(|state| {
            let link = state.sender.as_ref()?;
            link.try_send(question).ok()?;
            state.pending.insert(ticket, sender);
            Some(receiver)
        })
    }

    /// The decision in an answer; one that did not come shows a scheduler that is of no use.
    fn answer_of(&self, ticket: u64, reply: Option<ScheduleReply>) -> Option<PlacementDecision> {
        match reply {
            Some(ScheduleReply::Decided(decision)) => Some(decision),
            Some(ScheduleReply::Reader(_) | ScheduleReply::Spent(_)) => None,
            None => {
                self.give_up(ticket);
                None
            }
        }
    }

    /// Leaves a scheduler that did not answer.
    fn give_up(&self, ticket: u64) {
        log::info!("event=scheduler_silent ticket={ticket}");
        self.with(|state| state.sender = None);
    }

    fn forget_question(&self, ticket: u64) {
        self.with(|state| state.pending.remove(&ticket));
    }

    /// Keeps a request that has its engines, and tells the scheduler if it does not know of it.
    pub(crate) fn hold(
        &self,
        ticket: u64,
        request: &PlacementRequest,
        placement: &StreamPlacement,
        is_known: bool,
    ) {
        let (request, placement) = (request.clone(), placement.clone());
        let record = HeldRecord { request, placement, started: None };
        self.with(|state| {
            if !is_known && let Some(sender) = &state.sender {
                // A full queue costs knowledge, not a promise.
                let _sent = sender.try_send(record.message(ticket));
            }
            state.held.insert(ticket, record);
        });
    }

    /// Tells the scheduler what became of a request.
    pub(crate) fn note(&self, ticket: u64, note: &DeskNote) {
        self.with(|state| {
            match note {
                DeskNote::Started => {
                    if let Some(held) = state.held.get_mut(&ticket) {
                        held.started = Some(Instant::now());
                    }
                }
                DeskNote::Ended(_) => {
                    state.held.remove(&ticket);
                }
                // Another scheduler must not take the prompt for one that still waits.
                DeskNote::Prefilled { .. } | DeskNote::ReadsItself => {
                    if let Some(held) = state.held.get_mut(&ticket) {
                        held.placement.prefill = None;
                    }
                }
                DeskNote::Fault { .. } => {}
            }
            if let Some(sender) = &state.sender {
                let _sent = sender.try_send(wire::note_to_wire(ticket, note.clone()));
            }
        });
    }

    /// Notes whether this host schedules the pool.
    pub(crate) fn set_schedules(&self, schedules: bool) {
        self.with(|state| state.schedules = schedules);
    }

    /// Whether this host schedules the pool.
    pub(crate) fn schedules(&self) -> bool {
        self.with(|state| state.schedules)
    }

    /// Hosts that the linked scheduler serves, by its last word.
    pub(crate) fn hosts(&self) -> Option<usize> {
        self.with(|state| state.hosts.filter(|_hosts| state.sender.is_some()))
    }

    /// Whether a scheduler is linked.
    pub(crate) fn is_linked(&self) -> bool {
        self.with(|state| state.sender.is_some())
    }

    /// Serves a link until it ends; questions go nowhere before and after that.
    pub(crate) async fn run(&self, socket: ScheduleSocket) -> Result<(), ScheduleError> {
        let (sender, queue) = mpsc::channel(QUEUED_MESSAGES);
        self.with(|state| {
            for (ticket, held) in &state.held {
                // A full queue costs knowledge, not a promise.
                let _sent = sender.try_send(held.message(*ticket));
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
                ScheduleMessage::Beat(beat) => {
                    let hosts = beat.hosts as usize;
                    self.with(|state| state.hosts = Some(hosts));
                    (self.on_word)(hosts);
                }
                ScheduleMessage::Hello(_)
                | ScheduleMessage::Ask(_)
                | ScheduleMessage::Held(_)
                | ScheduleMessage::Spend(_)
                | ScheduleMessage::GiveBack(_)
                | ScheduleMessage::Note(_) => {}
            }
            if !self.is_linked() {
                return Err(ended("an answer did not come in time"));
            }
        }
    }

    fn reply(&self, ticket: u64, reply: ScheduleReply) {
        let pending = self.with(|state| state.pending.get(&ticket).cloned());
        match pending {
            Some(sender) => {
                let _taken = sender.try_send(reply);
            }
            // This host has decided meanwhile; its own note tells the scheduler.
            None => log::debug!("event=schedule_answer_late ticket={ticket}"),
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
        });
    }
}

fn ended(reason: &str) -> ScheduleError {
    ScheduleError::Ended { reason: reason.to_owned() }
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
) -> Result<ScheduleSocket, ScheduleError> {
    let opening = async {
        let stream = stack.connect(address).await.map_err(|error| ended(&error.to_string()))?;
        let config = Some(wire::socket_config());
        let opened = client_async_with_config(format!("ws://{address}/"), stream, config).await;
        let (mut socket, _response) = opened.map_err(|error| ended(&error.to_string()))?;
        send(&mut socket, &ScheduleMessage::Hello(duty.hello())).await?;
        let first = socket.next().await;
        read_part(Some(first)).map(|_beat| socket)
    };
    let opened = tokio::time::timeout(limit, opening).await;
    opened.map_err(|_elapsed| ended("it does not answer"))?
}
