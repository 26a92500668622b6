//! Places the requests of one pool, lets them wait, or turns them away.
//!
//! [`choose`] decides where, [`wait`] how long and whether, by what [`notes`] takes in; this file keeps what
//! they rest on.

mod choose;
mod completion;
mod notes;
mod wait;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};
use dillspool_schema::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::decode_book::{DecodeBook, StreamRecord};
use crate::lifetime::LifetimeModel;
use crate::prefill_book::{PrefillBook, ReadPace};
use crate::request::{
    AdmissionPolicy, EngineCapacity, PlacementDecision, PlacementRejection, PlacementRequest,
    PoolEngine, StreamPlacement, TicketId, WorkClass,
};
use crate::waiting::WaitingLine;

/// Tokens reserved for an answer at least.
const SMALLEST_ANSWER: u64 = 500;
/// Time beside the reading of a prompt until its first event: calls, the move, the first token.
const OPENING: Duration = Duration::from_millis(40);
/// Wait for a prefill beyond which a late answer is not begun: its memory would be held for nothing.
const LATE_PREFILL_WAIT: Duration = Duration::from_millis(250);
/// When to come back after several engines refused what they were believed to have.
const REFUSED_COME_BACK_MS: std::ops::Range<u64> = 100..400;

/// What the planner believes at a moment, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolSnapshot {
    /// Decode engines that take requests.
    pub decode_engines: usize,
    /// Prefill engines that take prompts.
    pub prefill_engines: usize,
    /// Streams at all decode engines.
    pub streams: usize,
    /// Requests that wait.
    pub queued: usize,
    /// How long the first of them has waited.
    pub longest_wait: Duration,
    /// Tokens of memory that are foreseen to be given back a second.
    pub released_tokens_per_s: f64,
    /// Shortest wait at a prefill engine.
    pub min_prefill_wait: Duration,
}

/// Where a ticket's work is.
#[derive(Clone, Debug)]
struct PlacedRecord {
    decode: Name,
    /// Engine that is to read its prompt, or reads it.
    prefill: Option<Name>,
    /// Engine that has read its prompt.
    read_by: Option<Name>,
}

/// Why a request cannot be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlaceLack {
    Engine,
    /// No engine has room; it may come to have some.
    Memory,
    /// Its prompt cannot be read in time.
    Prefill,
    /// Its answer would most likely not be whole at its deadline.
    Time,
}

/// The decisions of one pool.
#[derive(Debug)]
pub struct PoolPlanner {
    terms: EngineCapacity,
    policy: AdmissionPolicy,
    decode: BTreeMap<Name, DecodeBook>,
    prefill: BTreeMap<Name, PrefillBook>,
    placed: HashMap<TicketId, PlacedRecord>,
    line: WaitingLine,
    lengths: LifetimeModel,
    pace: ReadPace,
    /// Average gap between two events of a stream.
    event_gap: Option<Duration>,
    random: SmallRng,
}

impl PoolPlanner {
    /// A planner that knows no engine; `seed` spreads its choices among equals.
    pub fn new(terms: EngineCapacity, policy: AdmissionPolicy, seed: u64) -> Self {
        Self {
            terms,
            policy,
            decode: BTreeMap::new(),
            prefill: BTreeMap::new(),
            placed: HashMap::new(),
            line: WaitingLine::default(),
            lengths: LifetimeModel::default(),
            pace: ReadPace::default(),
            event_gap: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes what the engines have in common, as the configuration says it now.
    pub fn set_engine_capacity(&mut self, terms: EngineCapacity) {
        self.terms = terms;
    }

    /// Takes the engines that take requests now. One that has started again holds nothing of before, and
    /// nothing that it did counts any more.
    pub fn set_engines(&mut self, engines: impl Iterator<Item = PoolEngine>) {
        let (mut decode, mut prefill) = (BTreeMap::new(), BTreeMap::new());
        for PoolEngine {
            backend: BackendInstance { id, start },
            failure_domain: domain,
            is_prefill: prefills,
        } in engines
        {
            if BackendStart::are_different(self.start_of(&id), start) {
                self.leave_engine(&id);
            }
            if prefills {
                let book = self.prefill.remove(&id);
                let mut book = book.unwrap_or_else(|| PrefillBook::new(domain, start));
                book.start = start.or(book.start);
                prefill.insert(id, book);
            } else {
                let book = self.decode.remove(&id);
                let mut book = book.unwrap_or_else(|| DecodeBook::new(domain, start));
                book.start = start.or(book.start);
                decode.insert(id, book);
            }
        }
        (self.decode, self.prefill) = (decode, prefill);
    }

    /// The start that is known of an engine; `None` where none was told.
    fn start_of(&self, engine: &Name) -> Option<BackendStart> {
        let decode = self.decode.get(engine).and_then(|book| book.start);
        decode.or_else(|| self.prefill.get(engine).and_then(|book| book.start))
    }

    /// Forgets all about an engine; requests that were there have lost it.
    fn leave_engine(&mut self, engine: &Name) {
        self.decode.remove(engine);
        self.prefill.remove(engine);
        self.placed.retain(|_ticket, placed| placed.decode != *engine);
        for placed in self.placed.values_mut() {
            placed.prefill.take_if(|prefill| prefill == engine);
            placed.read_by.take_if(|reader| reader == engine);
        }
    }

    /// Decides on a request; one that was placed before leaves its old place.
    pub fn decide(
        &mut self,
        ticket: TicketId,
        request: PlacementRequest,
        now: Moment,
    ) -> PlacementDecision {
        self.remove(ticket);
        self.refresh(now);
        let request = self.with_true_class(request);
        if request.refusals >= self.policy.most_refusals {
            let come_back = Duration::from_millis(self.random.random_range(REFUSED_COME_BACK_MS));
            return PlacementDecision::Reject {
                cause: PlacementRejection::Refused,
                retry_after: come_back,
            };
        }
        match self.choose(&request, now) {
            Ok(placement) => self.place(ticket, &request, placement, now),
            Err(cause) => self.wait_or_turn_away(ticket, request, cause, now),
        }
    }

    /// Chooses another prefill engine for a request that has its memory; `None` when its decode
    /// engine should read the prompt.
    pub fn choose_prefill(
        &mut self,
        ticket: TicketId,
        request: &PlacementRequest,
        now: Moment,
    ) -> Option<Name> {
        let decode = Name::clone(&self.placed.get(&ticket)?.decode);
        self.leave_prefill(ticket);
        let domain = self.decode.get(&decode).map(|book| Name::clone(&book.domain));
        let domain = domain.unwrap_or_else(|| Name::clone(&request.failure_domain));
        let (prefill, wait) = self.best_prefill(request, &domain, now)?;
        if wait > request.objective_left.max(LATE_PREFILL_WAIT) {
            return None;
        }
        self.enter_prefill(ticket, &prefill, request.prompt_tokens, now);
        Some(prefill)
    }

    /// Takes over a placement that was decided elsewhere.
    pub fn adopt(
        &mut self,
        ticket: TicketId,
        request: &PlacementRequest,
        placement: StreamPlacement,
        now: Moment,
    ) {
        self.remove(ticket);
        let decode = Name::clone(&placement.decode_engine);
        self.place(ticket, request, placement, now);
        if let Some(book) = self.decode.get_mut(&decode) {
            // When its prompt was read, if here, is not known.
            book.note_read(ticket);
        }
    }

    /// Serves those that wait, and turns away those for whom it is too late.
    pub fn poll(&mut self, now: Moment) -> Vec<(TicketId, PlacementDecision)> {
        let mut decided = Vec::new();
        self.refresh(now);
        for ticket in self.line.tickets() {
            let Some(record) = self.line.get(ticket).cloned() else { continue };
            let request = record.request_at(now);
            let decision = match self.choose(&request, now) {
                Ok(placement) => self.place(ticket, &request, placement, now),
                Err(cause) if now >= record.give_up || cause == PlaceLack::Time => {
                    self.turn_away(&record.request, cause)
                }
                Err(_cause) => continue,
            };
            self.line.remove(ticket);
            decided.push((ticket, decision));
        }
        decided
    }

    /// Whether anybody waits.
    pub fn has_queued(&self) -> bool {
        !self.line.is_empty()
    }

    /// Takes a request off, wherever it is.
    pub fn remove(&mut self, ticket: TicketId) {
        let _stream = self.take_off(ticket);
    }

    fn take_off(&mut self, ticket: TicketId) -> Option<StreamRecord> {
        self.line.remove(ticket);
        self.leave_prefill(ticket);
        let placed = self.placed.remove(&ticket)?;
        self.decode.get_mut(&placed.decode)?.remove(ticket)
    }

    /// What is believed now.
    pub fn snapshot(&self, now: Moment) -> PoolSnapshot {
        let pace_s = self.pace.token_s();
        let open = self.prefill.values().filter(|book| !book.shut.is_shut(now));
        PoolSnapshot {
            decode_engines: self.decode.values().filter(|book| !book.shut.is_shut(now)).count(),
            prefill_engines: open.clone().count(),
            streams: self.decode.values().map(|book| book.streams.len()).sum(),
            queued: self.line.len(),
            longest_wait: self.line.longest_wait(now),
            released_tokens_per_s: self.released_per_s(now),
            min_prefill_wait: open.map(|book| book.wait(now, pace_s)).min().unwrap_or_default(),
        }
    }

    /// Works the lives of answers out anew when enough have ended.
    fn refresh(&mut self, now: Moment) {
        if !self.lengths.is_stale() {
            return;
        }
        let streams = self.decode.values().flat_map(|book| &book.streams);
        let running = streams.filter(|stream| stream.started.is_some());
        let running: Vec<_> =
            running.map(|stream| (stream.guess_tokens, stream.age(now))).collect();
        self.lengths.refresh(&running);
    }

    fn place(
        &mut self,
        ticket: TicketId,
        request: &PlacementRequest,
        placement: StreamPlacement,
        now: Moment,
    ) -> PlacementDecision {
        let mut stream = self.stream_of(ticket, request);
        stream.reserve_tokens = placement.reserve_tokens;
        stream.read_since = placement.prefill_engine.is_none().then_some(now);
        if let Some(book) = self.decode.get_mut(&placement.decode_engine) {
            book.add(stream);
        }
        let decode = Name::clone(&placement.decode_engine);
        self.placed.insert(ticket, PlacedRecord { decode, prefill: None, read_by: None });
        if let Some(prefill) = &placement.prefill_engine {
            self.enter_prefill(ticket, prefill, request.prompt_tokens, now);
        }
        PlacementDecision::Place(placement)
    }

    fn enter_prefill(&mut self, ticket: TicketId, engine: &Name, tokens: u64, now: Moment) {
        if let Some(book) = self.prefill.get_mut(engine) {
            book.add(ticket, tokens, now);
        }
        if let Some(placed) = self.placed.get_mut(&ticket) {
            placed.prefill = Some(Name::clone(engine));
        }
    }

    fn leave_prefill(&mut self, ticket: TicketId) {
        let engine = self.placed.get_mut(&ticket).and_then(|placed| placed.prefill.take());
        if let Some(book) = engine.and_then(|engine| self.prefill.get_mut(&engine)) {
            let _tokens = book.remove(ticket);
        }
    }

    /// A stream as it would be at an engine.
    fn stream_of(&self, ticket: TicketId, request: &PlacementRequest) -> StreamRecord {
        StreamRecord {
            ticket,
            prompt_tokens: request.prompt_tokens,
            guess_tokens: request.estimated_tokens,
            most_tokens: request.max_tokens,
            reserve_tokens: self.reserve_tokens(request),
            started: None,
            read_since: None,
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "tokens are far below 2^52 and not negative"
    )]
    fn reserve_tokens(&self, request: &PlacementRequest) -> u64 {
        let usual = self.lengths.usual_tokens(request.estimated_tokens);
        let part = (usual * self.policy.reserved_part) as u64;
        request.prompt_tokens + part.max(SMALLEST_ANSWER).min(request.max_tokens.max(1))
    }

    /// A request that cannot be in time even where nothing waits is late whatever happens; to turn
    /// it away for that would gain its caller nothing.
    fn with_true_class(&self, mut request: PlacementRequest) -> PlacementRequest {
        if request.class == WorkClass::InTime && !self.is_soon_enough(&request, Duration::ZERO) {
            request.class = WorkClass::Late;
        }
        request
    }
}

fn is_in_time(request: &PlacementRequest) -> bool {
    request.class == WorkClass::InTime
}
