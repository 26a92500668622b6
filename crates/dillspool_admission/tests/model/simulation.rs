//! The event loop of the simulation.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tokens and milliseconds of a few seconds"
)]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dillspool_admission::{
    AdmissionPolicy, EngineCapacity, EngineFault, PlacementDecision, PlacementRejection,
    PlacementRequest, PoolEngine, PoolPlanner, StreamEnd, StreamPlacement, TicketId, WorkClass,
};
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, SoftwareVersion};
use dillspool_schema::Name;

use super::engines::{DecodeEngine, RunningStream, is_slow};
use super::{Arrival, Outcome, PoolModel};

/// Simulation step.
pub(super) const TICK_MS: u64 = 2;
/// Interval at which the planner's queue is polled.
const POLL_INTERVAL_MS: u64 = 10;
/// Period after a rejection for lack of memory in which memory counts as scarce.
const MEMORY_SHORTAGE_MS: u64 = 200;
/// Prompt tokens that a prefill engine processes per millisecond.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 55.6;
/// Calls, transfer of the KV cache and the first token.
pub(super) const FIRST_TOKEN_OVERHEAD_MS: u64 = 8;
pub(super) const MAX_EVENT_GAP_MS: u64 = 300;
const DEADLINE_MS: u64 = 14_000;
/// Number of objectives for which a caller waits for its first event.
const MAX_WAIT_OBJECTIVES: u64 = 4;

/// A prompt at a prefill engine.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    number: u64,
    queued_ms: u64,
    ready_ms: u64,
}

#[derive(Clone, Debug)]
struct Caller {
    arrival: Arrival,
    /// Times of the first and of the current attempt.
    first_ms: u64,
    at_ms: u64,
    is_retry: bool,
    refusals: usize,
    placement: Option<StreamPlacement>,
}

/// State of the simulation.
struct Simulation {
    pool: PoolModel,
    planner: PoolPlanner,
    decode: BTreeMap<Name, DecodeEngine>,
    prefill: BTreeMap<Name, VecDeque<Prompt>>,
    callers: BTreeMap<u64, Caller>,
    outcome: Outcome,
    /// Minimum tokens of an answer in the largest tenth.
    large_answer_tokens: u64,
    /// When a caller was last rejected for lack of memory.
    last_rejected_ms: Option<u64>,
    now: u64,
}

fn at_ms(ms: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(ms))
}

/// Engines of a pool that report no start.
fn pool_engines(decode: &[Name], prefill: &[Name]) -> impl Iterator<Item = PoolEngine> {
    let engine = |name: &Name, is_prefill| PoolEngine {
        backend: instance(name),
        failure_domain: "domain".into(),
        is_prefill,
        software: SoftwareVersion::default(),
    };
    let decode: Vec<_> = decode.iter().map(|name| engine(name, false)).collect();
    decode.into_iter().chain(prefill.iter().map(move |name| engine(name, true)).collect::<Vec<_>>())
}

fn instance(name: &Name) -> BackendInstance {
    BackendInstance { id: Name::clone(name), start: None }
}

/// Simulates a load on a pool until every caller has a result.
pub fn simulate(pool: PoolModel, policy: AdmissionPolicy, load: &[Arrival]) -> Outcome {
    let capacity = EngineCapacity { memory_tokens: pool.memory, slots: pool.slots };
    let mut planner = PoolPlanner::new(capacity, policy, pool.seed);
    let decode: Vec<Name> = (0..pool.decode).map(|at| format!("decode-{at:02}").into()).collect();
    let prefill: Vec<Name> =
        (0..pool.prefill).map(|at| format!("prefill-{at:02}").into()).collect();
    planner.set_engines(pool_engines(&decode, &prefill));
    let mut sizes: Vec<u64> = load.iter().map(|arrival| arrival.answer_tokens).collect();
    sizes.sort_unstable();
    let large_answer_tokens = sizes[sizes.len() * 9 / 10];
    let mut simulation = Simulation {
        pool,
        planner,
        decode: decode.into_iter().map(|name| (name, DecodeEngine::default())).collect(),
        last_rejected_ms: None,
        prefill: prefill.into_iter().map(|name| (name, VecDeque::new())).collect(),
        callers: BTreeMap::new(),
        outcome: Outcome::default(),
        large_answer_tokens,
        now: 0,
    };
    simulation.run(load);
    simulation.outcome
}

impl Simulation {
    fn run(&mut self, load: &[Arrival]) {
        let mut arrivals: VecDeque<(u64, Caller)> = load
            .iter()
            .enumerate()
            .map(|(number, arrival)| {
                let caller = Caller {
                    arrival: *arrival,
                    first_ms: arrival.at_ms,
                    at_ms: arrival.at_ms,
                    is_retry: false,
                    refusals: 0,
                    placement: None,
                };
                (number as u64, caller)
            })
            .collect();
        while !arrivals.is_empty() || !self.callers.is_empty() {
            while arrivals.front().is_some_and(|(_number, caller)| caller.at_ms <= self.now) {
                let (number, caller) = arrivals.pop_front().unwrap();
                if caller.arrival.answer_tokens >= self.large_answer_tokens && !caller.is_retry {
                    self.outcome.largest.0 += 1;
                }
                self.outcome.retried.0 += usize::from(caller.is_retry);
                if !caller.is_retry {
                    self.outcome.by_priority[caller.arrival.priority as usize].0 += 1;
                    self.outcome.by_workspace[caller.arrival.workspace].0 += 1;
                }
                self.callers.insert(number, caller);
                self.ask(number, &mut arrivals);
            }
            self.crash_engines(&mut arrivals);
            self.expire_callers();
            if self.now.is_multiple_of(POLL_INTERVAL_MS) {
                for (ticket, decision) in self.planner.poll(at_ms(self.now)) {
                    self.apply(ticket.0, decision, &mut arrivals);
                }
            }
            self.prefill_step();
            self.decode_step();
            self.now += TICK_MS;
            assert!(self.now < 120_000, "every caller has a result by now");
        }
    }

    fn request(&self, caller: &Caller) -> PlacementRequest {
        let elapsed_ms = self.now - caller.first_ms;
        let arrival = &caller.arrival;
        let is_late = elapsed_ms > arrival.objective_ms;
        let max_wait_ms = arrival.objective_ms * MAX_WAIT_OBJECTIVES;
        let time_left = Duration::from_millis(DEADLINE_MS.saturating_sub(elapsed_ms));
        let waited = (self.now - caller.at_ms).min(max_wait_ms);
        PlacementRequest {
            class: if is_late { WorkClass::Late } else { WorkClass::InTime },
            workspace_priority: 0,
            priority: arrival.priority,
            failure_domain: "domain".into(),
            prompt_tokens: arrival.prompt_tokens,
            estimated_tokens: arrival.estimated_tokens.min(10_880),
            max_tokens: 10_880,
            objective_left: Duration::from_millis(arrival.objective_ms.saturating_sub(elapsed_ms)),
            max_wait: Duration::from_millis(max_wait_ms - waited).min(time_left),
            time_left,
            max_event_gap: Some(Duration::from_millis(MAX_EVENT_GAP_MS)),
            excluded: Vec::new(),
            refusals: caller.refusals,
            subset: None,
            software: None,
        }
    }

    fn ask(&mut self, number: u64, arrivals: &mut VecDeque<(u64, Caller)>) {
        let request = self.request(&self.callers[&number]);
        let decision = self.planner.decide(TicketId(number), request, at_ms(self.now));
        if decision != PlacementDecision::Wait {
            self.apply(number, decision, arrivals);
        }
    }

    fn apply(
        &mut self,
        number: u64,
        decision: PlacementDecision,
        arrivals: &mut VecDeque<(u64, Caller)>,
    ) {
        match decision {
            PlacementDecision::Place(placement) => self.reserve(number, placement, arrivals),
            PlacementDecision::Reject { cause, retry_after } => {
                if cause == PlacementRejection::NoMemory {
                    self.last_rejected_ms = Some(self.now);
                }
                self.reject(number, retry_after, arrivals);
            }
            PlacementDecision::Wait => {}
        }
    }

    fn reject(&mut self, number: u64, after: Duration, arrivals: &mut VecDeque<(u64, Caller)>) {
        let caller = self.callers.remove(&number).unwrap();
        let waited_ms = self.now - caller.at_ms;
        self.outcome.longest_rejected_wait_ms =
            self.outcome.longest_rejected_wait_ms.max(waited_ms);
        if caller.is_retry {
            self.outcome.rejected_twice += 1;
            return;
        }
        self.outcome.rejected_once += 1;
        // Callers follow a retry delay up to a max_delay_ms of the time they have left.
        let max_delay_ms = DEADLINE_MS.saturating_sub(self.now - caller.first_ms) / 3;
        let at_ms = self.now + u64::try_from(after.as_millis()).unwrap().min(max_delay_ms);
        let caller = Caller { at_ms, is_retry: true, refusals: 0, ..caller };
        let index = arrivals.partition_point(|(_number, other)| other.at_ms <= at_ms);
        arrivals.insert(index, (number, caller));
    }

    fn reserve(
        &mut self,
        number: u64,
        placement: StreamPlacement,
        arrivals: &mut VecDeque<(u64, Caller)>,
    ) {
        let memory = self.pool.memory;
        let engine = self.decode.get_mut(&placement.decode_engine);
        let free = engine.as_ref().map_or(0, |engine| memory.saturating_sub(engine.used_memory()));
        let Some(engine) = engine.filter(|_engine| free >= placement.reserve_tokens) else {
            let (ticket, decode) = (TicketId(number), &placement.decode_engine);
            let now = at_ms(self.now);
            self.planner.record_fault(ticket, &instance(decode), EngineFault::NoMemory, now);
            self.callers.get_mut(&number).unwrap().refusals += 1;
            self.ask(number, arrivals);
            return;
        };
        engine.reserved.insert(number, placement.reserve_tokens);
        let caller = self.callers.get_mut(&number).unwrap();
        let prefill_ms = caller.arrival.prompt_tokens as f64 / PREFILL_TOKENS_PER_MS;
        let prefill = placement.prefill_engine.clone();
        caller.placement = Some(placement);
        if let Some(prefill) = prefill {
            let queue = self.prefill.get_mut(&prefill).unwrap();
            let free_ms = queue.back().map_or(self.now, |last| last.ready_ms.max(self.now));
            let ready_ms = free_ms + (prefill_ms * self.pool.slow_prefill) as u64;
            queue.push_back(Prompt { number, queued_ms: self.now, ready_ms });
        } else {
            engine.prefill_until = engine.prefill_until.max(self.now) + (2.0 * prefill_ms) as u64;
            self.start(number);
        }
    }

    fn prefill_step(&mut self) {
        let now = self.now;
        let is_memory_short = self.last_rejected_ms.is_some_and(|at| now - at < MEMORY_SHORTAGE_MS);
        if is_memory_short || self.planner.has_queued() {
            let idle = self.prefill.values().filter(|queue| queue.is_empty()).count() as u64;
            self.outcome.idle_prefill_ms += idle * TICK_MS;
        }
        let mut done = Vec::new();
        for queue in self.prefill.values_mut() {
            while queue.front().is_some_and(|prompt| prompt.ready_ms <= now) {
                done.extend(queue.pop_front());
            }
        }
        for prompt in done {
            let took = Duration::from_millis(now - prompt.queued_ms);
            self.planner.record_prefilled(TicketId(prompt.number), took);
            self.start(prompt.number);
        }
    }

    /// Whether the engine fails the request.
    fn fails(&self, decode: &Name, number: u64) -> bool {
        let Some(failing) = self.pool.failing else { return false };
        let index = self.decode.keys().position(|name| name == decode);
        let is_active = (failing.from_ms..failing.until_ms).contains(&self.now);
        let is_failing = index.is_some_and(|index| index < failing.engines);
        is_active && is_failing && number.is_multiple_of(failing.every)
    }

    fn start(&mut self, number: u64) {
        let decode = Name::clone(&self.callers[&number].placement.as_ref().unwrap().decode_engine);
        if self.fails(&decode, number) {
            if let Some(engine) = self.decode.get_mut(&decode) {
                engine.reserved.remove(&number);
            }
            let now = at_ms(self.now);
            self.planner.record_fault(
                TicketId(number),
                &instance(&decode),
                EngineFault::Failed,
                now,
            );
            let end = StreamEnd { is_complete: false, event_gap: None };
            self.planner.record_ended(TicketId(number), end, now);
            self.callers.remove(&number);
            self.outcome.failed += 1;
            return;
        }
        let caller = &self.callers[&number];
        let placement = caller.placement.as_ref().unwrap();
        let Some(engine) = self.decode.get_mut(&placement.decode_engine) else { return };
        let reserve = engine.reserved.remove(&number).unwrap();
        engine.streams.push(RunningStream {
            ticket: number,
            reserve,
            tokens: caller.arrival.prompt_tokens as f64,
            remaining_tokens: caller.arrival.answer_tokens as f64,
            event_tokens: 0.0,
            events: 0,
            last_event: self.now,
            first_event: None,
            is_stalled: false,
            is_preempted: false,
        });
        self.planner.record_started(TicketId(number), at_ms(self.now));
    }

    fn decode_step(&mut self) {
        let mut ended = Vec::new();
        for (index, engine) in self.decode.values_mut().enumerate() {
            let is_slow = self.pool.slow.filter(|slow| is_slow(slow, index, self.now));
            let speed = is_slow.map_or(1.0, |slow| 1.0 / slow.factor);
            ended.extend(engine.step(&self.pool, speed, self.now, &mut self.outcome));
        }
        for stream in ended {
            self.finish(&stream);
        }
    }

    fn finish(&mut self, stream: &RunningStream) {
        let caller = self.callers.remove(&stream.ticket).unwrap();
        let first = stream.first_event.unwrap();
        let gap_ms = stream.last_event.saturating_sub(first) / stream.events.max(1);
        let event_gap = Some(Duration::from_millis(gap_ms));
        let end = StreamEnd { is_complete: true, event_gap };
        self.planner.record_ended(TicketId(stream.ticket), end, at_ms(self.now));
        if first - caller.at_ms > caller.arrival.objective_ms * MAX_WAIT_OBJECTIVES {
            self.outcome.abandoned += 1;
            return;
        }
        self.outcome.stalled += usize::from(stream.is_stalled);
        if caller.arrival.answer_tokens >= self.large_answer_tokens {
            self.outcome.largest.1 += 1;
        }
        self.outcome.retried.1 += usize::from(caller.is_retry);
        if first - caller.first_ms <= caller.arrival.objective_ms && !stream.is_stalled {
            self.outcome.in_time += 1;
            self.outcome.by_priority[caller.arrival.priority as usize].1 += 1;
            self.outcome.by_workspace[caller.arrival.workspace].1 += 1;
        } else {
            self.outcome.late += 1;
        }
    }

    /// Callers leave at their deadline, which ends their streams.
    fn expire_callers(&mut self) {
        let now = self.now;
        let is_due = |caller: &&Caller| now >= caller.first_ms + DEADLINE_MS;
        let due = self.callers.iter().filter(|(_number, caller)| is_due(caller));
        let due: Vec<u64> = due.map(|(number, _caller)| *number).collect();
        for number in due {
            let caller = self.callers.remove(&number).unwrap();
            for engine in self.decode.values_mut() {
                engine.reserved.remove(&number);
                engine.streams.retain(|stream| stream.ticket != number);
            }
            self.prefill.values_mut().for_each(|queue| queue.retain(|it| it.number != number));
            let end = StreamEnd { is_complete: false, event_gap: None };
            self.planner.record_ended(TicketId(number), end, at_ms(now));
            match caller.placement {
                Some(_placement) => self.outcome.expired += 1,
                None => self.outcome.rejected_twice += 1,
            }
        }
    }

    /// Engines crash with all their streams; the callers retry shortly after.
    fn crash_engines(&mut self, arrivals: &mut VecDeque<(u64, Caller)>) {
        let Some((count, at_ms)) = self.pool.lost else { return };
        if self.now >= self.pool.back_ms && self.decode.len() < self.pool.decode {
            let names = (0..self.pool.decode).map(|at| format!("decode-{at:02}").into());
            for name in names {
                self.decode.entry(name).or_default();
            }
            self.update_engines();
        }
        let is_past = self.now < at_ms || self.now >= self.pool.back_ms;
        if is_past || self.decode.len() <= self.pool.decode - count {
            return;
        }
        let lost: Vec<Name> = self.decode.keys().take(count).cloned().collect();
        for name in &lost {
            self.decode.remove(name);
        }
        self.update_engines();
        let broken: Vec<u64> = self
            .callers
            .iter()
            .filter(|(_number, caller)| {
                caller.placement.as_ref().is_some_and(|it| lost.contains(&it.decode_engine))
            })
            .map(|(number, _caller)| *number)
            .collect();
        for number in broken {
            self.planner.remove(TicketId(number));
            for queue in self.prefill.values_mut() {
                queue.retain(|prompt| prompt.number != number);
            }
            let caller = self.callers.remove(&number).unwrap();
            if caller.is_retry {
                self.outcome.rejected_twice += 1;
                continue;
            }
            let at_ms = self.now + 50;
            let caller = Caller { at_ms, is_retry: true, placement: None, ..caller };
            let index = arrivals.partition_point(|(_number, other)| other.at_ms <= at_ms);
            arrivals.insert(index, (number, caller));
        }
    }

    fn update_engines(&mut self) {
        let decode: Vec<Name> = self.decode.keys().cloned().collect();
        let prefill: Vec<Name> = self.prefill.keys().cloned().collect();
        self.planner.set_engines(pool_engines(&decode, &prefill));
    }
}
