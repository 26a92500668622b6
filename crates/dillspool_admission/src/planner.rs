//! Places the requests of one pool, lets them wait, or turns them away.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_schema::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::decode_book::{DecodeBook, Foresight, StreamRecord, read_time};
use crate::length::LengthModel;
use crate::prefill_book::{PrefillBook, ReadPace, tokens_time};
use crate::request::{
    AdmissionPolicy, EngineFault, PlacementDecision, PlacementRequest, PoolTerms, StreamEnd,
    StreamPlacement, TicketId, TurnAwayCause, WorkClass,
};
use crate::waiting::{WaitingLine, WaitingRecord};

/// Tokens reserved for an answer at least.
const SMALLEST_ANSWER: u64 = 500;
/// What another failure domain than the caller's costs, in tokens of room: its bytes are billed.
const FAR_TOKENS: f64 = 3_000.0;
/// What another failure domain than the decode engine's costs a prefill, as time: the move takes
/// longer and is billed several times, while a wait within the objective costs nobody.
const FAR_WAIT: Duration = Duration::from_millis(60);
/// Part by which equal engines are told apart, so that schedulers of one view do not all choose one.
const SPREAD: f64 = 0.02;
/// Part of the pause target that a prompt read at a decode engine may use up there; the rest is for
/// what the pace varies by.
const PAUSE_PART: f64 = 0.8;
/// Gap between two events that is assumed before any was seen, as a part of the pause target.
const ASSUMED_GAP_PART: f64 = 0.25;
/// Weight of the newest gap in the average.
const GAP_WEIGHT: f64 = 0.05;
/// Time beside the reading of a prompt until its first event: calls, the move, the first token.
const OPENING: Duration = Duration::from_millis(40);
/// Part of the objective in which a first event must be foreseen to come: queues are not exactly known,
/// and in a burst all of them grow up to what is allowed.
const SURE_PART: f64 = 0.8;
/// Time over which releases of memory are foreseen, as a part of the mean life of an answer.
const RELEASE_PART: f64 = 0.25;
/// Wait for a prefill beyond which a late answer is not begun: its memory would be held for nothing.
const LATE_PREFILL_WAIT: Duration = Duration::from_millis(250);
/// When to come back, as parts of the time left; callers obey up to a third of it. A refused caller
/// is late already, so it comes when the burst that it met is most likely over, and spread.
const COME_BACK_PARTS: std::ops::Range<f64> = 0.23..0.33;
/// When to come back if no engine is known; directories recover within seconds.
const NO_ENGINE_COME_BACK: Duration = Duration::from_secs(1);
/// When to come back after several engines refused what they were believed to have.
const REFUSED_COME_BACK_MS: std::ops::Range<u64> = 100..400;

/// What the planner believes at a moment, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolReading {
    /// Decode engines that take requests.
    pub decode: usize,
    /// Prefill engines that take prompts.
    pub prefill: usize,
    /// Streams at all decode engines.
    pub streams: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// How long the first of them has waited.
    pub longest_wait: Duration,
    /// Tokens of memory that are foreseen to be given back a second.
    pub released_per_s: f64,
    /// Shortest wait at a prefill engine.
    pub prefill_wait: Duration,
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
#[derive(Clone, Copy, Debug)]
enum PlaceLack {
    Engine,
    /// No engine has room; it may come to have some.
    Memory,
    /// Its prompt cannot be read in time.
    Prefill,
}

/// The decisions of one pool.
#[derive(Debug)]
pub struct PoolPlanner {
    terms: PoolTerms,
    policy: AdmissionPolicy,
    decode: BTreeMap<Name, DecodeBook>,
    prefill: BTreeMap<Name, PrefillBook>,
    placed: HashMap<TicketId, PlacedRecord>,
    line: WaitingLine,
    lengths: LengthModel,
    pace: ReadPace,
    /// Average gap between two events of a stream.
    event_gap: Option<Duration>,
    random: SmallRng,
}

impl PoolPlanner {
    /// A planner that knows no engine; `seed` spreads its choices among equals.
    pub fn new(terms: PoolTerms, policy: AdmissionPolicy, seed: u64) -> Self {
        Self {
            terms,
            policy,
            decode: BTreeMap::new(),
            prefill: BTreeMap::new(),
            placed: HashMap::new(),
            line: WaitingLine::default(),
            lengths: LengthModel::default(),
            pace: ReadPace::default(),
            event_gap: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes what the engines have in common, as the configuration says it now.
    pub fn set_terms(&mut self, terms: PoolTerms) {
        self.terms = terms;
    }

    /// Takes the engines that take requests now: name, failure domain, whether it prefills.
    pub fn set_engines<'a>(&mut self, engines: impl Iterator<Item = (&'a Name, &'a Name, bool)>) {
        let (mut decode, mut prefill) = (BTreeMap::new(), BTreeMap::new());
        for (name, domain, prefills) in engines {
            if prefills {
                let book = self.prefill.remove(name);
                let book = book.unwrap_or_else(|| PrefillBook::new(Name::clone(domain)));
                prefill.insert(Name::clone(name), book);
            } else {
                let book = self.decode.remove(name);
                let book = book.unwrap_or_else(|| DecodeBook::new(Name::clone(domain)));
                decode.insert(Name::clone(name), book);
            }
        }
        (self.decode, self.prefill) = (decode, prefill);
    }

    /// Decides on a request; one that was placed before leaves its old place.
    pub fn ask(
        &mut self,
        ticket: TicketId,
        request: PlacementRequest,
        now: Moment,
    ) -> PlacementDecision {
        self.forget(ticket);
        self.refresh(now);
        let request = self.with_true_class(request);
        if request.refusals >= self.policy.most_refusals {
            let come_back = Duration::from_millis(self.random.random_range(REFUSED_COME_BACK_MS));
            return PlacementDecision::TurnAway { cause: TurnAwayCause::Refused, come_back };
        }
        match self.choose(&request, now) {
            Ok(placement) => self.place(ticket, &request, placement, now),
            Err(cause) => self.wait_or_turn_away(ticket, request, cause, now),
        }
    }

    /// Chooses another prefill engine for a request that has its memory; `None` when its decode
    /// engine should read the prompt.
    pub fn ask_prefill(
        &mut self,
        ticket: TicketId,
        request: &PlacementRequest,
        now: Moment,
    ) -> Option<Name> {
        let decode = Name::clone(&self.placed.get(&ticket)?.decode);
        self.leave_prefill(ticket);
        let domain = self.decode.get(&decode).map(|book| Name::clone(&book.domain));
        let domain = domain.unwrap_or_else(|| Name::clone(&request.domain));
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
        self.forget(ticket);
        let decode = Name::clone(&placement.decode);
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
            let decision = match self.choose(&record.request, now) {
                Ok(placement) => self.place(ticket, &record.request, placement, now),
                Err(cause) if now >= record.give_up => self.turn_away(&record.request, cause),
                Err(_cause) => continue,
            };
            self.line.remove(ticket);
            decided.push((ticket, decision));
        }
        decided
    }

    /// Whether anybody waits.
    pub fn is_waited_for(&self) -> bool {
        !self.line.is_empty()
    }

    /// Notes that a prefill ended well.
    pub fn note_prefilled(&mut self, ticket: TicketId, took: Duration) {
        let Some(placed) = self.placed.get_mut(&ticket) else { return };
        let Some(engine) = placed.prefill.take() else { return };
        placed.read_by = Some(Name::clone(&engine));
        let Some(book) = self.prefill.get_mut(&engine) else { return };
        book.shut.note_answered();
        if let Some(tokens) = book.remove(ticket) {
            self.pace.note(tokens, took);
        }
    }

    /// Notes that the decode engine reads the prompt itself, other than decided.
    pub fn note_reads_itself(&mut self, ticket: TicketId, now: Moment) {
        self.leave_prefill(ticket);
        let Some(placed) = self.placed.get(&ticket) else { return };
        if let Some(book) = self.decode.get_mut(&placed.decode) {
            book.note_reads(ticket, now);
        }
    }

    /// Notes that the decode engine took a request.
    pub fn note_started(&mut self, ticket: TicketId, now: Moment) {
        self.leave_prefill(ticket);
        let Some(placed) = self.placed.get(&ticket) else { return };
        if let Some(book) = self.decode.get_mut(&placed.decode) {
            book.note_started(ticket, now);
        }
        let reader = placed.read_by.as_ref().and_then(|engine| self.prefill.get_mut(engine));
        if let Some(reader) = reader {
            reader.shut.note_success(now);
        }
    }

    /// Notes what an engine did other than expected; the request leaves it.
    pub fn note_fault(&mut self, ticket: TicketId, engine: &Name, fault: EngineFault, now: Moment) {
        if fault == EngineFault::NoMemory {
            self.note_no_memory(ticket, engine, now);
            return;
        }
        let reader = self.placed.get(&ticket).and_then(|placed| placed.read_by.clone());
        let decode = self.decode.get_mut(engine).map(|book| &mut book.shut);
        let shut = decode.or(self.prefill.get_mut(engine).map(|book| &mut book.shut));
        if let Some(shut) = shut {
            match fault {
                EngineFault::NoMemory => {}
                EngineFault::PrefillRefused => shut.note_refused_prefill(now),
                EngineFault::ReservedRefused => shut.note_refused_reserved(now, reader.is_some()),
                EngineFault::Unreachable => shut.note_unreachable(now),
                EngineFault::Silent => shut.note_silence(now),
                EngineFault::Failed => shut.note_failed(now, self.policy.failures_before_shut),
            }
        }
        if fault == EngineFault::ReservedRefused
            && let Some(reader) = reader.and_then(|reader| self.prefill.get_mut(&reader))
        {
            // The result that it read may have been gone.
            reader.shut.note_refused_reserved(now, true);
        }
        let Some(placed) = self.placed.get(&ticket) else { return };
        if placed.prefill.as_ref() == Some(engine) {
            self.leave_prefill(ticket);
        } else if placed.decode == *engine {
            self.forget(ticket);
        }
    }

    /// Notes that a stream ended.
    pub fn note_ended(&mut self, ticket: TicketId, end: StreamEnd, now: Moment) {
        let Some(stream) = self.take_off(ticket).filter(|_stream| end.is_whole) else { return };
        self.lengths.note(stream.guess_tokens, stream.age(now));
        if let Some(gap) = end.event_gap {
            let known = self.event_gap.unwrap_or(gap).as_secs_f64();
            let mixed = known + GAP_WEIGHT * (gap.as_secs_f64() - known);
            self.event_gap = Some(Duration::from_secs_f64(mixed));
        }
    }

    /// Takes a request off, wherever it is.
    pub fn forget(&mut self, ticket: TicketId) {
        let _stream = self.take_off(ticket);
    }

    fn take_off(&mut self, ticket: TicketId) -> Option<StreamRecord> {
        self.line.remove(ticket);
        self.leave_prefill(ticket);
        let placed = self.placed.remove(&ticket)?;
        self.decode.get_mut(&placed.decode)?.remove(ticket)
    }

    /// What is believed now.
    pub fn read(&self, now: Moment) -> PoolReading {
        let pace_s = self.pace.token_s();
        let open = self.prefill.values().filter(|book| !book.shut.is_shut(now));
        PoolReading {
            decode: self.decode.values().filter(|book| !book.shut.is_shut(now)).count(),
            prefill: open.clone().count(),
            streams: self.decode.values().map(|book| book.streams.len()).sum(),
            waiting: self.line.len(),
            longest_wait: self.line.longest_wait(now),
            released_per_s: self.released_per_s(now),
            prefill_wait: open.map(|book| book.wait(now, pace_s)).min().unwrap_or_default(),
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
        stream.read_since = placement.prefill.is_none().then_some(now);
        if let Some(book) = self.decode.get_mut(&placement.decode) {
            book.add(stream);
        }
        let decode = Name::clone(&placement.decode);
        self.placed.insert(ticket, PlacedRecord { decode, prefill: None, read_by: None });
        if let Some(prefill) = &placement.prefill {
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

    fn note_no_memory(&mut self, ticket: TicketId, engine: &Name, now: Moment) {
        let stream = self.take_off(ticket);
        let (lengths, terms, policy) = (&self.lengths, self.terms, self.policy);
        let Some(book) = self.decode.get_mut(engine) else { return };
        let room = stream.map_or(0.0, |mut stream| {
            stream.started = None;
            let stream = Foresight::of(&stream, now, lengths);
            book.room_beside(&stream, now, lengths, &terms, &policy)
        });
        book.note_no_memory(room, now);
    }

    /// A stream as it would be at an engine.
    fn stream_of(&self, ticket: TicketId, request: &PlacementRequest) -> StreamRecord {
        StreamRecord {
            ticket,
            prompt_tokens: request.prompt_tokens,
            guess_tokens: request.guess_tokens,
            most_tokens: request.most_tokens,
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
        let usual = self.lengths.usual_tokens(request.guess_tokens);
        let part = (usual * self.policy.reserved_part) as u64;
        request.prompt_tokens + part.max(SMALLEST_ANSWER).min(request.most_tokens.max(1))
    }

    /// A request that cannot be in time even where nothing waits is late whatever happens; to turn
    /// it away for that would gain its caller nothing.
    fn with_true_class(&self, mut request: PlacementRequest) -> PlacementRequest {
        if request.class == WorkClass::InTime && !self.is_soon_enough(&request, Duration::ZERO) {
            request.class = WorkClass::Late;
        }
        request
    }

    /// The engines for a request, as it stands now.
    fn choose(
        &mut self,
        request: &PlacementRequest,
        now: Moment,
    ) -> Result<StreamPlacement, PlaceLack> {
        let reserve_tokens = self.reserve_tokens(request);
        let ranked = self.decode_by_room(request, now)?;
        let (decode, domain) = ranked.first().ok_or(PlaceLack::Memory)?.clone();
        let wait = self.best_prefill(request, &domain, now);
        if let Some((prefill, wait)) = &wait
            && self.is_soon_enough(request, *wait)
        {
            let prefill = Some(Name::clone(prefill));
            return Ok(StreamPlacement { decode, reserve_tokens, prefill });
        }
        let reader = ranked
            .into_iter()
            .find(|(decode, _domain)| self.may_read(decode, request, wait.is_some(), now));
        match reader {
            Some((decode, _domain)) => {
                Ok(StreamPlacement { decode, reserve_tokens, prefill: None })
            }
            None => Err(PlaceLack::Prefill),
        }
    }

    /// Decode engines with room, the best first.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    fn decode_by_room(
        &mut self,
        request: &PlacementRequest,
        now: Moment,
    ) -> Result<Vec<(Name, Name)>, PlaceLack> {
        let stream = self.stream_of(TicketId(u64::MAX), request);
        let stream = Foresight::of(&stream, now, &self.lengths);
        let memory = self.terms.memory_tokens as f64;
        let margin =
            if request.class == WorkClass::Late { self.policy.late_margin * memory } else { 0.0 };
        let (lengths, terms, policy) = (&self.lengths, self.terms, self.policy);
        // If all are shut, the cause is not theirs, and they are asked as ever.
        let all_shut = self.decode.values().all(|book| book.is_closed(now));
        let mut ranked = Vec::new();
        let mut any = false;
        for (name, book) in &mut self.decode {
            if request.excluded.contains(name) || (book.is_closed(now) && !all_shut) {
                continue;
            }
            any = true;
            let room = book.room_beside(&stream, now, lengths, &terms, &policy) - margin;
            if room < 0.0 {
                continue;
            }
            let far = if book.domain == request.domain { 0.0 } else { FAR_TOKENS };
            let spread = self.random.random_range(0.0..SPREAD) * memory;
            let failing = book.shut.failure_rate(now) * policy.failure_weight * memory;
            ranked.push((
                room - far - failing + spread,
                Name::clone(name),
                Name::clone(&book.domain),
            ));
        }
        if !any {
            return Err(PlaceLack::Engine);
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        Ok(ranked.into_iter().map(|(_room, name, domain)| (name, domain)).collect())
    }

    /// The prefill engine with the shortest wait for a request that decodes in a domain.
    fn best_prefill(
        &self,
        request: &PlacementRequest,
        domain: &Name,
        now: Moment,
    ) -> Option<(Name, Duration)> {
        let pace_s = self.pace.token_s();
        let open = self
            .prefill
            .iter()
            .filter(|(name, book)| !book.is_closed(now) && !request.excluded.contains(*name));
        let waits = open.map(|(name, book)| {
            let wait = book.wait(now, pace_s);
            let far = if book.domain == *domain { Duration::ZERO } else { FAR_WAIT };
            (wait + far, wait, name)
        });
        waits.min().map(|(_cost, wait, name)| (Name::clone(name), wait))
    }

    /// Whether a prompt that waits so long for its prefill is read soon enough.
    fn is_soon_enough(&self, request: &PlacementRequest, wait: Duration) -> bool {
        match request.class {
            WorkClass::InTime => {
                let read = tokens_time(request.prompt_tokens, self.pace.token_s());
                let first = wait + read + OPENING + self.gap(request);
                first <= request.objective_left.mul_f64(SURE_PART)
            }
            WorkClass::UnderWay => wait <= request.patience,
            WorkClass::Late => wait <= LATE_PREFILL_WAIT,
        }
    }

    /// Whether a decode engine may read a prompt itself: none of its streams may pause for too
    /// long. Where no engine prefills there is no other way, and prompts are read one by one.
    fn may_read(
        &self,
        decode: &Name,
        request: &PlacementRequest,
        has_prefill: bool,
        now: Moment,
    ) -> bool {
        let pace_s = self.pace.token_s();
        let is_reading = self.decode.get(decode).is_none_or(|book| book.is_reading(now, pace_s));
        if is_reading || !self.policy.reads_at_decode {
            return false;
        }
        if !has_prefill {
            return true;
        }
        let read = read_time(request.prompt_tokens, pace_s);
        let first = read + OPENING + self.gap(request);
        let in_time = request.class != WorkClass::InTime || first <= request.objective_left;
        let target = request.pause_target.unwrap_or(Duration::MAX);
        in_time && read + self.gap(request) <= target.mul_f64(PAUSE_PART)
    }

    fn gap(&self, request: &PlacementRequest) -> Duration {
        let assumed = request.pause_target.map(|target| target.mul_f64(ASSUMED_GAP_PART));
        self.event_gap.or(assumed).unwrap_or_default()
    }

    fn wait_or_turn_away(
        &mut self,
        ticket: TicketId,
        request: PlacementRequest,
        cause: PlaceLack,
        now: Moment,
    ) -> PlacementDecision {
        let longest = self.longest_wait(&request);
        let tokens = self.reserve_tokens(&request);
        let foreseen = match cause {
            PlaceLack::Engine => Duration::MAX,
            PlaceLack::Memory => self.memory_wait(&request, tokens, now),
            PlaceLack::Prefill => self.reading_wait(&request, now),
        };
        if foreseen > longest {
            return self.turn_away(&request, cause);
        }
        let give_up = now + longest;
        self.line.push(WaitingRecord { ticket, request, since: now, give_up, tokens });
        PlacementDecision::Wait
    }

    /// Longest time for which it is of use to wait.
    fn longest_wait(&self, request: &PlacementRequest) -> Duration {
        let read = tokens_time(request.prompt_tokens, self.pace.token_s());
        let rest = read + OPENING + self.gap(request);
        let useful = match request.class {
            WorkClass::UnderWay => request.patience,
            WorkClass::InTime => request.objective_left.saturating_sub(rest),
            WorkClass::Late => self.lengths.mean_life().mul_f64(self.policy.late_wait),
        };
        useful.min(request.patience.saturating_sub(rest))
    }

    /// Time until memory is foreseen to be given back for a request and all that go before it.
    ///
    /// Where nothing is known to run that could give memory back, its engines are full of what others
    /// sent: then those who lose more by a refusal than by a wait try their luck.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    fn memory_wait(&self, request: &PlacementRequest, tokens: u64, now: Moment) -> Duration {
        let released = self.released_per_s(now);
        if request.class == WorkClass::UnderWay || (released <= 0.0 && !is_in_time(request)) {
            return Duration::ZERO;
        }
        let needed = (self.line.tokens_ahead(request) + tokens) as f64;
        Duration::try_from_secs_f64(needed / released).unwrap_or(Duration::MAX)
    }

    /// Time until a decode engine is foreseen to read a prompt, where prefill engines cannot.
    fn reading_wait(&self, request: &PlacementRequest, now: Moment) -> Duration {
        if request.class == WorkClass::UnderWay {
            return Duration::ZERO;
        }
        if self.prefill.values().any(|book| !book.is_closed(now)) {
            // Their queues shrink no faster than the time that is left.
            return if is_in_time(request) { Duration::MAX } else { Duration::ZERO };
        }
        let readers = u32::try_from(self.decode.len()).unwrap_or(u32::MAX).max(1);
        let before = u32::try_from(self.line.len()).unwrap_or(u32::MAX).saturating_add(1);
        read_time(request.prompt_tokens, self.pace.token_s()) * before / readers
    }

    fn released_per_s(&self, now: Moment) -> f64 {
        let time = self.lengths.mean_life().mul_f64(RELEASE_PART);
        let open = self.decode.values().filter(|book| !book.shut.is_shut(now));
        let released: f64 = open.map(|book| book.released_within(time, now, &self.lengths)).sum();
        released / time.as_secs_f64().max(f64::EPSILON)
    }

    fn turn_away(&mut self, request: &PlacementRequest, cause: PlaceLack) -> PlacementDecision {
        let part = self.random.random_range(COME_BACK_PARTS);
        let (cause, come_back) = match cause {
            PlaceLack::Engine => (TurnAwayCause::NoEngine, NO_ENGINE_COME_BACK),
            PlaceLack::Memory => (TurnAwayCause::NoMemory, request.time_left.mul_f64(part)),
            PlaceLack::Prefill => (TurnAwayCause::NoPrefill, request.time_left.mul_f64(part)),
        };
        PlacementDecision::TurnAway { cause, come_back }
    }
}

fn is_in_time(request: &PlacementRequest) -> bool {
    request.class == WorkClass::InTime
}
