//! A discrete-event simulation of calls at hosts and plain servers. There is no network: messages
//! take a fixed time.

mod approach;
mod server;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use dillspool_calls::{CallDecision, CallId, CallOutcome, CallRequest};
use dillspool_moment::Moment;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use approach::Approach;
use approach::Deciders;
use server::{AcceptResult, server_name, server_number};
pub use server::{ModelServer, SlowSpell};

/// Latency in microseconds of a message between a host and a server, between two hosts, and between
/// a host and a caller, including its processing.
const TO_SERVER_US: u64 = 1_000;
const TO_HOST_US: u64 = 2_000;
const TO_CALLER_US: u64 = 3_000;
/// Bytes of a `call_ask`, a `call_decided`, a `call_ended` and a report of a server's load.
const ASK_BYTES: u64 = 180;
const DECIDED_BYTES: u64 = 80;
const ENDED_BYTES: u64 = 50;
const REPORT_BYTES: u64 = 60;
/// Sends of one call at most.
const MAX_SENDS: u32 = 3;
/// Time after which a host gives up a call that was sent.
const SEND_TIMEOUT_US: u64 = 800_000;
/// Time between two reports of servers' loads, for the approaches that have them.
const REPORT_INTERVAL_US: u64 = 400_000;

/// A load that is simulated.
#[derive(Clone)]
pub struct LoadCase {
    pub hosts: usize,
    pub servers: Vec<ModelServer>,
    /// Calls per second, as a function of the time in seconds.
    pub rate: fn(f64) -> f64,
    pub seconds: f64,
    /// Whether rejected callers retry once.
    pub retries: bool,
    pub objective_ms: u64,
    pub time_ms: u64,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallerOutcome {
    Answered,
    Rejected,
    Unknown,
}

/// The record of one call of a caller.
#[derive(Clone, Debug, Default)]
pub struct CallRecord {
    pub host: usize,
    pub is_retry: bool,
    /// In microseconds.
    pub arrived_at: u64,
    pub ended_at: u64,
    pub outcome: Option<CallerOutcome>,
    /// The server of the last send.
    pub server: usize,
    tried: Vec<usize>,
    sends: u32,
    sent_at: u64,
    /// Number of the last send that has ended.
    last_ended_send: u32,
}

impl CallRecord {
    pub fn took_ms(&self) -> f64 {
        ms(self.ended_at - self.arrived_at)
    }

    /// Number of times that the call was sent to a server.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Time before the last send.
    pub fn before_send_ms(&self) -> f64 {
        ms(self.sent_at.saturating_sub(self.arrived_at))
    }

    pub fn is_answered_in(&self, limit_ms: f64) -> bool {
        self.outcome == Some(CallerOutcome::Answered) && self.took_ms() <= limit_ms
    }
}

#[expect(clippy::cast_precision_loss, reason = "a simulation lasts some millions of microseconds")]
pub fn ms(us: u64) -> f64 {
    us as f64 / 1000.0
}

fn moment(us: u64) -> Moment {
    // Not at the origin, so that nothing depends on a clock that starts with the simulation.
    Moment::after_origin(Duration::from_secs(100) + Duration::from_micros(us))
}

/// An event; calls, sends of a call and deciders are given by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A host needs a server for a call.
    Ask {
        call: usize,
    },
    /// The request reaches its queue.
    Submit {
        call: usize,
    },
    /// The decision reaches the host.
    Decided {
        call: usize,
        server: Option<usize>,
        retry_us: u64,
    },
    /// The call reaches its server.
    Arrive {
        call: usize,
    },
    /// The server has finished the call.
    Done {
        call: usize,
        server: usize,
    },
    /// The host learns how a send ended.
    Ended {
        call: usize,
        send: u32,
        end: SendEnd,
    },
    /// The queue learns how a send ended.
    EndReported {
        call: usize,
        send: u32,
        end: SendEnd,
        took: u64,
    },
    Poll {
        decider: usize,
    },
    ServersChanged,
    Report,
}

/// How a send ended: the variants of `CallOutcome` that are needed, with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendEnd {
    Answered,
    NotRun,
    NotSent,
    Lost,
}

impl From<SendEnd> for CallOutcome {
    fn from(end: SendEnd) -> Self {
        match end {
            SendEnd::Answered => Self::Answered,
            SendEnd::NotRun => Self::NotRun,
            SendEnd::NotSent => Self::NotSent,
            SendEnd::Lost => Self::Lost,
        }
    }
}

/// The result of a simulation.
pub struct SimulationResult {
    pub calls: Vec<CallRecord>,
    pub messages: u64,
    pub bytes: u64,
}

impl SimulationResult {
    /// The calls that arrived in a span of seconds.
    pub fn arrived_in(&self, from: f64, until: f64) -> impl Iterator<Item = &CallRecord> + Clone {
        let span = from * 1000.0..until * 1000.0;
        self.calls.iter().filter(move |call| span.contains(&ms(call.arrived_at)))
    }
}

struct Simulation<'a> {
    case: &'a LoadCase,
    random: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_sequence: u64,
    now: u64,
    servers: Vec<ModelServer>,
    deciders: Deciders,
    result: SimulationResult,
}

/// Simulates a load with an approach.
pub fn simulate(case: &LoadCase, approach: Approach, seed: u64) -> SimulationResult {
    let mut simulation = Simulation {
        case,
        random: SmallRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        last_sequence: 0,
        now: 0,
        servers: case.servers.clone(),
        deciders: Deciders::new(approach, case, seed),
        result: SimulationResult { calls: Vec::new(), messages: 0, bytes: 0 },
    };
    simulation.schedule_initial_events();
    while let Some(Reverse((at, _sequence, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.step(event);
    }
    simulation.result
}

impl Simulation<'_> {
    fn schedule(&mut self, at: u64, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse((at, self.last_sequence, event)));
    }

    /// Schedules the arrivals of calls, the changes of servers and the load reports.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short times")]
    fn schedule_initial_events(&mut self) {
        self.schedule(0, Event::ServersChanged);
        for server in self.servers.clone() {
            self.schedule(server.joins_at_us, Event::ServersChanged);
            self.schedule(server.leaves_at_us, Event::ServersChanged);
        }
        let mut second = 0.0;
        while second < self.case.seconds {
            second += -(1.0 - self.random.random::<f64>()).ln() / (self.case.rate)(second);
            let host = self.random.random_range(0..self.case.hosts);
            self.arrive(host, false, (second * 1e6) as u64);
        }
        for number in 0..(self.case.seconds * 1e6) as u64 / REPORT_INTERVAL_US {
            self.schedule(number * REPORT_INTERVAL_US, Event::Report);
        }
    }

    fn arrive(&mut self, host: usize, is_retry: bool, arrived_at: u64) {
        let call = self.result.calls.len();
        self.result.calls.push(CallRecord { host, is_retry, arrived_at, ..CallRecord::default() });
        self.schedule(arrived_at, Event::Ask { call });
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Ask { call } => {
                if let Some(delay) = self.deciders.delay_us() {
                    self.record_message(ASK_BYTES);
                    self.schedule(now + delay, Event::Submit { call });
                } else {
                    let chosen = self.deciders.choose(&self.result.calls[call], now);
                    let retry_us = self.deciders.retry_delay_us(self.case.objective_ms);
                    self.carry_out(call, chosen, retry_us);
                }
            }
            Event::Submit { call } => {
                let record = &self.result.calls[call];
                let decider = self.deciders.queue_of(record.host);
                let id = call_id(call, record.sends);
                let request = self.request(record);
                let decision = self.deciders.queues[decider].submit(id, request, moment(now));
                self.send_decision(id, decision);
                self.poll(decider);
            }
            Event::Decided { call, server, retry_us } => self.carry_out(call, server, retry_us),
            Event::Arrive { call } => self.arrive_at_server(call),
            Event::Done { call, server } => {
                let next = self.servers[server].finish();
                self.start_run(server, next);
                let send = self.result.calls[call].sends;
                let loss_rate = self.servers[server].loss_rate;
                let is_lost = loss_rate > 0.0 && self.random.random_bool(loss_rate);
                let end = if is_lost { SendEnd::Lost } else { SendEnd::Answered };
                self.schedule(now + TO_SERVER_US, Event::Ended { call, send, end });
            }
            Event::Ended { call, send, end } => self.finish_send(call, send, end),
            Event::EndReported { call, send, end, took } => {
                let decider = self.deciders.queue_of(self.result.calls[call].host);
                let (id, took) = (call_id(call, send - 1), Duration::from_micros(took));
                self.deciders.queues[decider].complete(id, end.into(), took, moment(now));
                self.poll(decider);
            }
            Event::Poll { decider } => self.poll(decider),
            Event::ServersChanged => {
                let present: Vec<bool> = self.servers.iter().map(|it| it.is_present(now)).collect();
                self.deciders.set_present(&self.servers, present, moment(now));
                for decider in 0..self.deciders.queues.len() {
                    self.poll(decider);
                }
            }
            Event::Report => {
                let loads: Vec<usize> = self.servers.iter().map(ModelServer::load).collect();
                let (messages, bytes) = self.deciders.report(&loads);
                self.result.messages += messages;
                self.result.bytes += bytes;
            }
        }
    }

    fn record_message(&mut self, bytes: u64) {
        if self.deciders.delay_us() > Some(0) {
            self.result.messages += 1;
            self.result.bytes += bytes;
        }
    }

    fn request(&self, record: &CallRecord) -> CallRequest {
        let age = self.now - record.arrived_at;
        let left = |limit_ms: u64| Duration::from_micros((limit_ms * 1000).saturating_sub(age));
        CallRequest {
            workspace_priority: 0,
            priority: 0,
            failure_domain: "domain".into(),
            objective_left: left(self.case.objective_ms),
            time_left: left(self.case.time_ms),
            is_idempotent: false,
            excluded: record.tried.iter().map(|server| server_name(*server)).collect(),
        }
    }

    fn poll(&mut self, decider: usize) {
        let queue = &mut self.deciders.queues[decider];
        let polled = queue.poll(moment(self.now));
        let due = queue.next_deadline().map(|due| due.since(moment(0)));
        for (id, decision) in polled {
            self.send_decision(id, decision);
        }
        if let Some(due) = due.and_then(|due| u64::try_from(due.as_micros()).ok())
            && self.deciders.is_earlier(decider, due, self.now)
        {
            self.schedule(due.max(self.now), Event::Poll { decider });
        }
    }

    /// Sends a decision of a queue to its host.
    fn send_decision(&mut self, id: CallId, decision: CallDecision) {
        let call = usize::try_from(id.0 / 8).expect("ids are made of calls");
        let (server, retry_us) = match decision {
            CallDecision::Wait => return,
            CallDecision::Send { backend } => (Some(server_number(&backend.id)), 0),
            CallDecision::Reject { retry_after, .. } => {
                (None, u64::try_from(retry_after.as_micros()).expect("some seconds"))
            }
        };
        self.record_message(DECIDED_BYTES);
        let delay = self.deciders.delay_us().unwrap_or_default();
        self.schedule(self.now + delay, Event::Decided { call, server, retry_us });
    }

    /// Carries out a decision.
    fn carry_out(&mut self, call: usize, server: Option<usize>, retry_us: u64) {
        let now = self.now;
        let record = &mut self.result.calls[call];
        let Some(server) = server else {
            return self.reject(call, retry_us);
        };
        record.sends += 1;
        (record.server, record.sent_at) = (server, now);
        record.tried.push(server);
        let send = record.sends;
        self.deciders.record_send(record.host, server);
        self.schedule(now + TO_SERVER_US, Event::Arrive { call });
        self.schedule(now + SEND_TIMEOUT_US, Event::Ended { call, send, end: SendEnd::Lost });
    }

    fn reject(&mut self, call: usize, retry_us: u64) {
        let record = &mut self.result.calls[call];
        (record.ended_at, record.outcome) = (self.now, Some(CallerOutcome::Rejected));
        if self.case.retries && !record.is_retry {
            let host = record.host;
            self.arrive(host, true, self.now + retry_us + 2 * TO_CALLER_US);
        }
    }

    fn arrive_at_server(&mut self, call: usize) {
        let record = &self.result.calls[call];
        let (server, send) = (record.server, record.sends);
        let end = match self.servers[server].accept(call, self.now) {
            AcceptResult::Running => return self.start_run(server, Some(call)),
            AcceptResult::Queued => return,
            AcceptResult::Rejected => SendEnd::NotRun,
            AcceptResult::Gone => SendEnd::NotSent,
        };
        self.schedule(self.now + TO_SERVER_US, Event::Ended { call, send, end });
    }

    fn start_run(&mut self, server: usize, call: Option<usize>) {
        if let Some(call) = call {
            let run = self.servers[server].run_us(self.now, &mut self.random);
            self.schedule(self.now + run, Event::Done { call, server });
        }
    }

    fn finish_send(&mut self, call: usize, send: u32, end: SendEnd) {
        let now = self.now;
        let record = &mut self.result.calls[call];
        if record.sends != send || record.last_ended_send == send {
            return;
        }
        record.last_ended_send = send;
        let (host, server, took) = (record.host, record.server, now - record.sent_at);
        match end {
            SendEnd::Answered => {
                (record.ended_at, record.outcome) = (now, Some(CallerOutcome::Answered));
            }
            // None of these calls may be repeated.
            SendEnd::Lost => {
                (record.ended_at, record.outcome) = (now, Some(CallerOutcome::Unknown));
            }
            SendEnd::NotRun | SendEnd::NotSent if send < MAX_SENDS => {
                self.schedule(now, Event::Ask { call });
            }
            SendEnd::NotRun | SendEnd::NotSent => {
                let retry_us = self.deciders.retry_delay_us(self.case.objective_ms);
                self.reject(call, retry_us);
            }
        }
        self.deciders.record_end(host, server, end, took, now);
        if let Some(delay) = self.deciders.delay_us() {
            self.record_message(ENDED_BYTES);
            self.schedule(now + delay, Event::EndReported { call, send, end, took });
        }
    }
}

fn call_id(call: usize, sends: u32) -> CallId {
    CallId(u64::try_from(call).expect("some thousands") * 8 + u64::from(sends))
}
