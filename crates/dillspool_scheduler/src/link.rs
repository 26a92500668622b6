//! A host's link to the one that decides for all: the scheduler of a pool, the holder of limits, or the one that
//! decides on a service's calls.
//!
//! Questions and notes stand here and, of calls, in [`calls`]; [`serving`] carries them.

mod calls;
mod serving;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_admission::{PlacementDecision, PlacementRequest, StreamPlacement};
use dillspool_calls::CallDecision;
use dillspool_limits::{SpendDecision, SpendRequest};
use dillspool_moment::Moment;
use dillspool_schema::Name;
use dillspool_schema::schedule::{
    ScheduleAsk, ScheduleDuty, ScheduleGiveBack, ScheduleHeld, ScheduleHello, ScheduleMessage,
};
use tokio::sync::mpsc;
use tokio::time::Instant;

use self::calls::HeldCall;
use crate::desk::PlacementEvent;
use crate::fleet_bus::FleetBus;
use crate::wire::{self, PROTOCOL_VERSION};

pub(crate) use calls::{CallReply, FRESH_FOR};
pub(crate) use serving::{BEAT_EVERY, OpenedLink, open_link};

/// Time for a scheduler's answer, after which this host decides by itself: a fiftieth to a tenth of
/// the time in which a first event is due.
const ANSWER_LIMIT: Duration = Duration::from_millis(80);
/// Time beyond a request's patience for the decision on one that waits.
const WAIT_SLACK: Duration = Duration::from_millis(200);
/// Answers to one question: that it waits, and the decision.
const ANSWERS: usize = 2;

/// What a host asks another one to do for all.
#[derive(Clone)]
pub(crate) struct LinkDuty {
    pub(crate) duty: ScheduleDuty,
    /// This host.
    pub(crate) host: Name,
    /// Service whose engines are the pool or whose calls are decided on, or share of the limits.
    pub(crate) service: Name,
    /// Hosts that share the limits, as far as this host knows; 0 if it does not.
    pub(crate) told: Arc<dyn Fn() -> usize + Send + Sync>,
}

impl LinkDuty {
    /// To place the requests of a pool.
    pub(crate) fn pool(host: &Name, service: &Name) -> Self {
        Self::of_service(ScheduleDuty::Pool, host, service)
    }

    /// To decide on the calls of a plain service.
    pub(crate) fn calls(host: &Name, service: &Name) -> Self {
        Self::of_service(ScheduleDuty::Calls, host, service)
    }

    fn of_service(duty: ScheduleDuty, host: &Name, service: &Name) -> Self {
        let (host, service) = (Name::clone(host), Name::clone(service));
        Self { duty, host, service, told: Arc::new(|| 0) }
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
    Call(CallDecision),
}

/// A question that waits for its answers; it is forgotten once nobody waits any more.
struct OpenQuestion<'a> {
    link: &'a SchedulerLink,
    ticket: u64,
    answers: mpsc::Receiver<ScheduleReply>,
    /// What goes back if it is granted once nobody waits any more.
    unwanted: Option<ScheduleGiveBack>,
}

impl OpenQuestion<'_> {
    /// The next answer; `None` where none comes within `limit`.
    async fn answer(&mut self, limit: Duration) -> Option<ScheduleReply> {
        tokio::time::timeout(limit, self.answers.recv()).await.ok().flatten()
    }
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        let unwanted = self.unwanted.take();
        let answered = self.link.with(|state| {
            let is_linked = state.pending.remove(&self.ticket).is_some();
            let answered = self.answers.try_recv().ok();
            if answered.is_none()
                && is_linked
                && let Some(unwanted) = &unwanted
            {
                state.unwanted.insert(self.ticket, unwanted.clone());
            }
            answered
        });
        if let (Some(ScheduleReply::Spent(SpendDecision::Allowed)), Some(unwanted)) =
            (answered, unwanted)
        {
            self.link.send_back(unwanted);
        }
    }
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
    /// What goes back if it is granted: whoever asked has left meanwhile.
    unwanted: HashMap<u64, ScheduleGiveBack>,
    held: HashMap<u64, HeldRecord>,
    held_calls: HashMap<u64, HeldCall>,
}

/// Questions and notes of this host about one duty.
#[derive(Clone)]
pub(crate) struct SchedulerLink {
    state: Arc<Mutex<LinkState>>,
    /// Called with each sign of life of the linked host.
    on_word: Arc<WordFn>,
    /// Takes the linked scheduler's news; a holder of limits has none.
    bus: Option<FleetBus>,
}

impl SchedulerLink {
    /// A link that calls `on_word` with the number of hosts that each sign of life tells.
    pub(crate) fn new(on_word: impl Fn(usize) + Send + Sync + 'static) -> Self {
        Self { state: Arc::default(), on_word: Arc::new(on_word), bus: None }
    }

    /// A link to the scheduler of a pool.
    pub(crate) fn of_pool(bus: FleetBus) -> Self {
        Self { bus: Some(bus), ..Self::new(|_hosts| {}) }
    }

    /// Tells the scheduler some news.
    pub(crate) fn tell(&self, news: ScheduleMessage) {
        self.with(|state| {
            if let Some(sender) = &state.sender {
                // Rows of the store, or the answers of backend servers, tell the same.
                let _sent = sender.try_send(news);
            }
        });
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
        let mut question = self.send_question(ticket, request, false)?;
        let first = self.answer_of(ticket, question.answer(ANSWER_LIMIT).await);
        if !matches!(first, Some(PlacementDecision::Wait)) {
            return first;
        }
        let limit = request.max_wait + WAIT_SLACK;
        self.answer_of(ticket, question.answer(limit).await)
    }

    /// Asks for another prefill engine; `None` when there is no scheduler or no answer.
    pub(crate) async fn ask_prefill(
        &self,
        ticket: u64,
        request: &PlacementRequest,
    ) -> Option<Option<Name>> {
        let mut question = self.send_question(ticket, request, true)?;
        match question.answer(ANSWER_LIMIT).await {
            Some(ScheduleReply::Reader(prefill)) => Some(prefill),
            Some(ScheduleReply::Decided(_) | ScheduleReply::Spent(_) | ScheduleReply::Call(_))
            | None => None,
        }
    }

    /// Asks the holder of a limit now; `None` when there is none, or no answer. What is granted to a caller that
    /// has left meanwhile goes back.
    pub(crate) async fn spend(
        &self,
        ticket: u64,
        request: &SpendRequest,
        now: Moment,
    ) -> Option<SpendDecision> {
        let mut question = self.send(ticket, wire::spend_to_wire(ticket, request, now))?;
        let (subject, amount) = (Name::clone(&request.subject), request.amount);
        question.unwanted = Some(ScheduleGiveBack { subject, amount });
        let answer = question.answer(ANSWER_LIMIT).await;
        question.unwanted = None;
        match answer {
            Some(ScheduleReply::Spent(decision)) => Some(decision),
            Some(ScheduleReply::Decided(_) | ScheduleReply::Reader(_) | ScheduleReply::Call(_)) => {
                None
            }
            None => {
                self.give_up(ticket);
                None
            }
        }
    }

    /// Tells the holder that a request did not use what it was granted.
    pub(crate) fn give_back(&self, subject: &Name, amount: f64) {
        self.send_back(ScheduleGiveBack { subject: Name::clone(subject), amount });
    }

    fn send_back(&self, message: ScheduleGiveBack) {
        self.with(|state| {
            if let Some(sender) = &state.sender {
                // What is not given back is refused to somebody, and runs out by time.
                let _sent = sender.try_send(ScheduleMessage::GiveBack(message));
            }
        });
    }

    /// Questions that wait for an answer, and amounts that wait for one to go back.
    pub(crate) fn open_questions(&self) -> usize {
        self.with(|state| state.pending.len() + state.unwanted.len())
    }

    fn send_question(
        &self,
        ticket: u64,
        request: &PlacementRequest,
        reader_only: bool,
    ) -> Option<OpenQuestion<'_>> {
        let request = wire::request_to_wire(request);
        self.send(ticket, ScheduleMessage::Ask(ScheduleAsk { ticket, request, reader_only }))
    }

    fn send(&self, ticket: u64, question: ScheduleMessage) -> Option<OpenQuestion<'_>> {
        let (sender, answers) = mpsc::channel(ANSWERS);
        self.with(|state| {
            let link = state.sender.as_ref()?;
            link.try_send(question).ok()?;
            state.pending.insert(ticket, sender);
            Some(OpenQuestion { link: self, ticket, answers, unwanted: None })
        })
    }

    /// The decision in an answer; one that did not come shows a scheduler that is of no use.
    fn answer_of(&self, ticket: u64, reply: Option<ScheduleReply>) -> Option<PlacementDecision> {
        match reply {
            Some(ScheduleReply::Decided(decision)) => Some(decision),
            Some(ScheduleReply::Reader(_) | ScheduleReply::Spent(_) | ScheduleReply::Call(_)) => {
                None
            }
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
    pub(crate) fn note(&self, ticket: u64, note: &PlacementEvent) {
        self.with(|state| {
            match note {
                PlacementEvent::Started => {
                    if let Some(held) = state.held.get_mut(&ticket) {
                        held.started = Some(Instant::now());
                    }
                }
                PlacementEvent::Ended(_) => {
                    state.held.remove(&ticket);
                }
                // Another scheduler must not take the prompt for one that still waits.
                PlacementEvent::Prefilled { .. } | PlacementEvent::PrefilledLocally => {
                    if let Some(held) = state.held.get_mut(&ticket) {
                        held.placement.prefill_engine = None;
                    }
                }
                PlacementEvent::Fault { .. } => {}
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
}
