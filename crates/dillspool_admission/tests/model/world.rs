//! The engines and callers of the model, moment by moment.

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
use dillspool_routing::BackendInstance;
use dillspool_schema::Name;

use super::engines::{Decode, Run, is_slow};
use super::{Arrival, Outcome, PoolModel};

/// Time between two looks at everything.
pub(super) const TICK_MS: u64 = 2;
/// Time between two looks at those who wait.
const LOOK_MS: u64 = 10;
/// Time for which a refusal for want of memory says that memory binds.
const BINDS_MS: u64 = 200;
/// Prompt tokens that a prefill engine reads in a millisecond.
pub(super) const READ_TOKENS_A_MS: f64 = 55.6;
/// Calls, the move and the first token.
pub(super) const OPENING_MS: u64 = 8;
pub(super) const PAUSE_MS: u64 = 300;
const DEADLINE_MS: u64 = 14_000;
/// Objectives for which a caller waits for its first event.
const SILENCE_OBJECTIVES: u64 = 4;

/// A prompt at a prefill engine.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    number: u64,
    asked_ms: u64,
    ready_ms: u64,
}

#[derive(Clone, Debug)]
struct Caller {
    arrival: Arrival,
    /// When it came for the first time, and this time.
    first_ms: u64,
    at_ms: u64,
    returned: bool,
    refusals: usize,
    placement: Option<StreamPlacement>,
}

/// All that the model knows.
struct World {
    pool: PoolModel,
    planner: PoolPlanner,
    decode: BTreeMap<Name, Decode>,
    prefill: BTreeMap<Name, VecDeque<Prompt>>,
    callers: BTreeMap<u64, Caller>,
    outcome: Outcome,
    /// Tokens of an answer from which on it is in the largest tenth.
    large_from: u64,
    /// When a caller was last refused for want of memory.
    refused_ms: Option<u64>,
    now: u64,
}

fn moment(ms: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(ms))
}

/// Engines of a pool that tell no start.
fn pool_engines(decode: &[Name], prefill: &[Name]) -> impl Iterator<Item = PoolEngine> {
    let engine = |name: &Name, prefills| PoolEngine {
        backend: started(name),
        failure_domain: "domain".into(),
        is_prefill: prefills,
    };
    let decode: Vec<_> = decode.iter().map(|name| engine(name, false)).collect();
    decode.into_iter().chain(prefill.iter().map(move |name| engine(name, true)).collect::<Vec<_>>())
}

fn started(name: &Name) -> BackendInstance {
    BackendInstance { id: Name::clone(name), start: None }
}

/// Plays a load against a pool until everybody has an answer.
pub fn play(pool: PoolModel, policy: AdmissionPolicy, load: &[Arrival]) -> Outcome {
    let terms = EngineCapacity { memory_tokens: pool.memory, slots: pool.slots };
    let mut planner = PoolPlanner::new(terms, policy, pool.seed);
    let decode: Vec<Name> = (0..pool.decode).map(|at| format!("decode-{at:02}").into()).collect();
    let prefill: Vec<Name> =
        (0..pool.prefill).map(|at| format!("prefill-{at:02}").into()).collect();
    planner.set_engines(pool_engines(&decode, &prefill));
    let mut sizes: Vec<u64> = load.iter().map(|arrival| arrival.made).collect();
    sizes.sort_unstable();
    let large_from = sizes[sizes.len() * 9 / 10];
    let mut world = World {
        pool,
        planner,
        decode: decode.into_iter().map(|name| (name, Decode::default())).collect(),
        refused_ms: None,
        prefill: prefill.into_iter().map(|name| (name, VecDeque::new())).collect(),
        callers: BTreeMap::new(),
        outcome: Outcome::default(),
        large_from,
        now: 0,
    };
    world.run(load);
    world.outcome
}

impl World {
    fn run(&mut self, load: &[Arrival]) {
        let mut coming: VecDeque<(u64, Caller)> = load
            .iter()
            .enumerate()
            .map(|(number, arrival)| {
                let caller = Caller {
                    arrival: *arrival,
                    first_ms: arrival.at_ms,
                    at_ms: arrival.at_ms,
                    returned: false,
                    refusals: 0,
                    placement: None,
                };
                (number as u64, caller)
            })
            .collect();
        while !coming.is_empty() || !self.callers.is_empty() {
            while coming.front().is_some_and(|(_number, caller)| caller.at_ms <= self.now) {
                let (number, caller) = coming.pop_front().unwrap();
                if caller.arrival.made >= self.large_from && !caller.returned {
                    self.outcome.largest.0 += 1;
                }
                self.outcome.returned.0 += usize::from(caller.returned);
                if !caller.returned {
                    self.outcome.by_priority[caller.arrival.priority as usize].0 += 1;
                    self.outcome.by_workspace[caller.arrival.workspace].0 += 1;
                }
                self.callers.insert(number, caller);
                self.ask(number, &mut coming);
            }
            self.lose_engines(&mut coming);
            self.expire();
            if self.now.is_multiple_of(LOOK_MS) {
                for (ticket, decision) in self.planner.poll(moment(self.now)) {
                    self.take(ticket.0, decision, &mut coming);
                }
            }
            self.prefill_step();
            self.decode_step();
            self.now += TICK_MS;
            assert!(self.now < 120_000, "everybody has an answer by now");
        }
    }

    fn request(&self, caller: &Caller) -> PlacementRequest {
        let spent = self.now - caller.first_ms;
        let arrival = &caller.arrival;
        let late = spent > arrival.objective_ms;
        let silence_ms = arrival.objective_ms * SILENCE_OBJECTIVES;
        let time_left = Duration::from_millis(DEADLINE_MS.saturating_sub(spent));
        let waited = (self.now - caller.at_ms).min(silence_ms);
        PlacementRequest {
            class: if late { WorkClass::Late } else { WorkClass::InTime },
            workspace_priority: 0,
            priority: arrival.priority,
            failure_domain: "domain".into(),
            prompt_tokens: arrival.prompt,
            estimated_tokens: arrival.guess.min(10_880),
            max_tokens: 10_880,
            objective_left: Duration::from_millis(arrival.objective_ms.saturating_sub(spent)),
            max_wait: Duration::from_millis(silence_ms - waited).min(time_left),
            time_left,
            max_event_gap: Some(Duration::from_millis(PAUSE_MS)),
            excluded: Vec::new(),
            refusals: caller.refusals,
            subset: None,
        }
    }

    fn ask(&mut self, number: u64, coming: &mut VecDeque<(u64, Caller)>) {
        let request = self.request(&self.callers[&number]);
        let decision = self.planner.decide(TicketId(number), request, moment(self.now));
        if decision != PlacementDecision::Wait {
            self.take(number, decision, coming);
        }
    }

    fn take(
        &mut self,
        number: u64,
        decision: PlacementDecision,
        coming: &mut VecDeque<(u64, Caller)>,
    ) {
        match decision {
            PlacementDecision::Place(placement) => self.reserve(number, placement, coming),
            PlacementDecision::Reject { cause, retry_after: come_back } => {
                if cause == PlacementRejection::NoMemory {
                    self.refused_ms = Some(self.now);
                }
                self.refuse(number, come_back, coming);
            }
            PlacementDecision::Wait => {}
        }
    }

    fn refuse(&mut self, number: u64, after: Duration, coming: &mut VecDeque<(u64, Caller)>) {
        let caller = self.callers.remove(&number).unwrap();
        let held = self.now - caller.at_ms;
        self.outcome.longest_held = self.outcome.longest_held.max(held);
        if caller.returned {
            self.outcome.refused_twice += 1;
            return;
        }
        self.outcome.refused_once += 1;
        // Callers obey up to a third of the time that they have left.
        let third = DEADLINE_MS.saturating_sub(self.now - caller.first_ms) / 3;
        let at_ms = self.now + u64::try_from(after.as_millis()).unwrap().min(third);
        let caller = Caller { at_ms, returned: true, refusals: 0, ..caller };
        let place = coming.partition_point(|(_number, other)| other.at_ms <= at_ms);
        coming.insert(place, (number, caller));
    }

    fn reserve(
        &mut self,
        number: u64,
        placement: StreamPlacement,
        coming: &mut VecDeque<(u64, Caller)>,
    ) {
        let memory = self.pool.memory;
        let engine = self.decode.get_mut(&placement.decode_engine);
        let free = engine.as_ref().map_or(0, |engine| memory.saturating_sub(engine.taken()));
        let Some(engine) = engine.filter(|_engine| free >= placement.reserve_tokens) else {
            let (ticket, decode) = (TicketId(number), &placement.decode_engine);
            let now = moment(self.now);
            self.planner.record_fault(ticket, &started(decode), EngineFault::NoMemory, now);
            self.callers.get_mut(&number).unwrap().refusals += 1;
            self.ask(number, coming);
            return;
        };
        engine.reserved.insert(number, placement.reserve_tokens);
        let caller = self.callers.get_mut(&number).unwrap();
        let takes = caller.arrival.prompt as f64 / READ_TOKENS_A_MS;
        let prefill = placement.prefill_engine.clone();
        caller.placement = Some(placement);
        if let Some(prefill) = prefill {
            let queue = self.prefill.get_mut(&prefill).unwrap();
            let free_ms = queue.back().map_or(self.now, |last| last.ready_ms.max(self.now));
            let ready_ms = free_ms + (takes * self.pool.slow_prefill) as u64;
            queue.push_back(Prompt { number, asked_ms: self.now, ready_ms });
        } else {
            engine.reads_until = engine.reads_until.max(self.now) + (2.0 * takes) as u64;
            self.start(number);
        }
    }

    fn prefill_step(&mut self) {
        let now = self.now;
        let is_short = self.refused_ms.is_some_and(|at| now - at < BINDS_MS);
        if is_short || self.planner.has_queued() {
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
            let took = Duration::from_millis(now - prompt.asked_ms);
            self.planner.record_prefilled(TicketId(prompt.number), took);
            self.start(prompt.number);
        }
    }

    /// Whether the engine fails the request.
    fn fails(&self, decode: &Name, number: u64) -> bool {
        let Some(failing) = self.pool.failing else { return false };
        let place = self.decode.keys().position(|name| name == decode);
        let is_time = (failing.from_ms..failing.until_ms).contains(&self.now);
        let is_one = place.is_some_and(|place| place < failing.engines);
        is_time && is_one && number.is_multiple_of(failing.every)
    }

    fn start(&mut self, number: u64) {
        let decode = Name::clone(&self.callers[&number].placement.as_ref().unwrap().decode_engine);
        if self.fails(&decode, number) {
            if let Some(engine) = self.decode.get_mut(&decode) {
                engine.reserved.remove(&number);
            }
            let now = moment(self.now);
            self.planner.record_fault(
                TicketId(number),
                &started(&decode),
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
        engine.runs.push(Run {
            ticket: number,
            reserve,
            tokens: caller.arrival.prompt as f64,
            left: caller.arrival.made as f64,
            part: 0.0,
            events: 0,
            last_event: self.now,
            first_event: None,
            paused: false,
            waits: false,
        });
        self.planner.record_started(TicketId(number), moment(self.now));
    }

    fn decode_step(&mut self) {
        let mut ended = Vec::new();
        for (place, engine) in self.decode.values_mut().enumerate() {
            let is_slow = self.pool.slow.filter(|slow| is_slow(slow, place, self.now));
            let pace = is_slow.map_or(1.0, |slow| 1.0 / slow.factor);
            ended.extend(engine.step(&self.pool, pace, self.now, &mut self.outcome));
        }
        for run in ended {
            self.end(&run);
        }
    }

    fn end(&mut self, run: &Run) {
        let caller = self.callers.remove(&run.ticket).unwrap();
        let first = run.first_event.unwrap();
        let gap_ms = run.last_event.saturating_sub(first) / run.events.max(1);
        let event_gap = Some(Duration::from_millis(gap_ms));
        let end = StreamEnd { is_complete: true, event_gap };
        self.planner.record_ended(TicketId(run.ticket), end, moment(self.now));
        if first - caller.at_ms > caller.arrival.objective_ms * SILENCE_OBJECTIVES {
            self.outcome.left += 1;
            return;
        }
        self.outcome.paused += usize::from(run.paused);
        if caller.arrival.made >= self.large_from {
            self.outcome.largest.1 += 1;
        }
        self.outcome.returned.1 += usize::from(caller.returned);
        if first - caller.first_ms <= caller.arrival.objective_ms && !run.paused {
            self.outcome.in_time += 1;
            self.outcome.by_priority[caller.arrival.priority as usize].1 += 1;
            self.outcome.by_workspace[caller.arrival.workspace].1 += 1;
        } else {
            self.outcome.late += 1;
        }
    }

    /// Callers leave at their deadline, and their streams end.
    fn expire(&mut self) {
        let now = self.now;
        let is_due = |caller: &&Caller| now >= caller.first_ms + DEADLINE_MS;
        let due = self.callers.iter().filter(|(_number, caller)| is_due(caller));
        let due: Vec<u64> = due.map(|(number, _caller)| *number).collect();
        for number in due {
            let caller = self.callers.remove(&number).unwrap();
            for engine in self.decode.values_mut() {
                engine.reserved.remove(&number);
                engine.runs.retain(|run| run.ticket != number);
            }
            self.prefill.values_mut().for_each(|queue| queue.retain(|it| it.number != number));
            let end = StreamEnd { is_complete: false, event_gap: None };
            self.planner.record_ended(TicketId(number), end, moment(now));
            match caller.placement {
                Some(_placement) => self.outcome.expired += 1,
                None => self.outcome.refused_twice += 1,
            }
        }
    }

    /// Engines crash with what runs on them; their callers come back at once.
    fn lose_engines(&mut self, coming: &mut VecDeque<(u64, Caller)>) {
        let Some((count, at_ms)) = self.pool.lost else { return };
        if self.now >= self.pool.back_ms && self.decode.len() < self.pool.decode {
            let names = (0..self.pool.decode).map(|at| format!("decode-{at:02}").into());
            for name in names {
                self.decode.entry(name).or_default();
            }
            self.tell_engines();
        }
        let is_past = self.now < at_ms || self.now >= self.pool.back_ms;
        if is_past || self.decode.len() <= self.pool.decode - count {
            return;
        }
        let lost: Vec<Name> = self.decode.keys().take(count).cloned().collect();
        for name in &lost {
            self.decode.remove(name);
        }
        self.tell_engines();
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
            if caller.returned {
                self.outcome.refused_twice += 1;
                continue;
            }
            let at_ms = self.now + 50;
            let caller = Caller { at_ms, returned: true, placement: None, ..caller };
            let place = coming.partition_point(|(_number, other)| other.at_ms <= at_ms);
            coming.insert(place, (number, caller));
        }
    }

    fn tell_engines(&mut self) {
        let decode: Vec<Name> = self.decode.keys().cloned().collect();
        let prefill: Vec<Name> = self.prefill.keys().cloned().collect();
        self.planner.set_engines(pool_engines(&decode, &prefill));
    }
}
