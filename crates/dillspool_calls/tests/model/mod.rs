//! A replay of calls at hosts and plain servers, without a network: messages take a fixed time.

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
pub use server::{ModelServer, SlowSpell};
use server::{ServerWord, server_name, server_number};

/// Microseconds of a message between a host and a server, two hosts, a host and a caller, with its processing.
const TO_SERVER_US: u64 = 1_000;
const TO_HOST_US: u64 = 2_000;
const TO_CALLER_US: u64 = 3_000;
/// Bytes of a `call_ask`, a `call_decided`, a `call_ended` and a report of a server's load.
const ASK_BYTES: u64 = 180;
const DECIDED_BYTES: u64 = 80;
const ENDED_BYTES: u64 = 50;
const REPORT_BYTES: u64 = 60;
/// Sends of one call at most.
const MOST_SENDS: u32 = 3;
/// Time after which a host gives up a call that was sent.
const SEND_LIMIT_US: u64 = 800_000;
/// Time between two reports of servers' loads, where an approach has them.
const REPORT_US: u64 = 400_000;

/// A load that is replayed.
#[derive(Clone)]
pub struct LoadCase {
    pub hosts: usize,
    pub servers: Vec<ModelServer>,
    /// Calls a second at a second.
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

/// One call of a caller, as it went.
#[derive(Clone, Debug, Default)]
pub struct CallRecord {
    pub host: usize,
    pub is_retry: bool,
    /// In microseconds.
    pub asked: u64,
    pub ended: u64,
    pub outcome: Option<CallerOutcome>,
    /// The server of the last send.
    pub server: usize,
    tried: Vec<usize>,
    sends: u32,
    sent: u64,
    /// The last send that is over.
    over: u32,
}

impl CallRecord {
    pub fn took_ms(&self) -> f64 {
        ms(self.ended - self.asked)
    }

    /// Arrivals at servers.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Time before the last send.
    pub fn before_send_ms(&self) -> f64 {
        ms(self.sent.saturating_sub(self.asked))
    }

    pub fn is_answered_in(&self, limit_ms: f64) -> bool {
        self.outcome == Some(CallerOutcome::Answered) && self.took_ms() <= limit_ms
    }
}

#[expect(clippy::cast_precision_loss, reason = "a replay has some millions of microseconds")]
pub fn ms(us: u64) -> f64 {
    us as f64 / 1000.0
}

fn moment(us: u64) -> Moment {
    // Not at the origin, so that nothing depends on a clock that begins with the replay.
    Moment::after_origin(Duration::from_secs(100) + Duration::from_micros(us))
}

/// What happens; calls, sends of a call and deciders by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A host needs a server for a call.
    Ask {
        call: usize,
    },
    /// The question reaches its queue.
    Queue {
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
    /// The server is done with it.
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
    /// The queue learns it.
    Told {
        call: usize,
        send: u32,
        end: SendEnd,
        took: u64,
    },
    Poll {
        decider: usize,
    },
    Members,
    Report,
}

/// How a send ended; `CallOutcome` without an order.
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

/// What a replay brought.
pub struct Replay {
    pub calls: Vec<CallRecord>,
    pub messages: u64,
    pub bytes: u64,
}

impl Replay {
    /// The calls asked in a span of seconds.
    pub fn asked_in(&self, from: f64, until: f64) -> impl Iterator<Item = &CallRecord> + Clone {
        let span = from * 1000.0..until * 1000.0;
        self.calls.iter().filter(move |call| span.contains(&ms(call.asked)))
    }
}

struct World<'a> {
    case: &'a LoadCase,
    random: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    entries: u64,
    now: u64,
    servers: Vec<ModelServer>,
    deciders: Deciders,
    replay: Replay,
}

/// Replays a load with an approach.
pub fn replay(case: &LoadCase, approach: Approach, seed: u64) -> Replay {
    let mut world = World {
        case,
        random: SmallRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        entries: 0,
        now: 0,
        servers: case.servers.clone(),
        deciders: Deciders::new(approach, case, seed),
        replay: Replay { calls: Vec::new(), messages: 0, bytes: 0 },
    };
    world.plan();
    while let Some(Reverse((at, _entry, event))) = world.events.pop() {
        world.now = at;
        world.step(event);
    }
    world.replay
}

impl World<'_> {
    fn at(&mut self, at: u64, event: Event) {
        self.entries += 1;
        self.events.push(Reverse((at, self.entries, event)));
    }

    /// Plans the arrivals and what happens to servers.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short times")]
    fn plan(&mut self) {
        self.at(0, Event::Members);
        for server in self.servers.clone() {
            self.at(server.joins_us, Event::Members);
            self.at(server.leaves_us, Event::Members);
        }
        let mut second = 0.0;
        while second < self.case.seconds {
            second += -(1.0 - self.random.random::<f64>()).ln() / (self.case.rate)(second);
            let host = self.random.random_range(0..self.case.hosts);
            self.arrive(host, false, (second * 1e6) as u64);
        }
        for number in 0..(self.case.seconds * 1e6) as u64 / REPORT_US {
            self.at(number * REPORT_US, Event::Report);
        }
    }

    fn arrive(&mut self, host: usize, is_retry: bool, asked: u64) {
        let call = self.replay.calls.len();
        self.replay.calls.push(CallRecord { host, is_retry, asked, ..CallRecord::default() });
        self.at(asked, Event::Ask { call });
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Ask { call } => {
                if let Some(delay) = self.deciders.delay_us() {
                    self.note_message(ASK_BYTES);
                    self.at(now + delay, Event::Queue { call });
                } else {
                    let chosen = self.deciders.choose(&self.replay.calls[call], now);
                    let retry_us = self.deciders.come_back_us(self.case.objective_ms);
                    self.follow(call, chosen, retry_us);
                }
            }
            Event::Queue { call } => {
                let record = &self.replay.calls[call];
                let decider = self.deciders.of(record.host);
                let id = call_id(call, record.sends);
                let request = self.request(record);
                let decision = self.deciders.queues[decider].submit(id, request, moment(now));
                self.tell(id, decision);
                self.poll(decider);
            }
            Event::Decided { call, server, retry_us } => self.follow(call, server, retry_us),
            Event::Arrive { call } => self.reach(call),
            Event::Done { call, server } => {
                let next = self.servers[server].finish();
                self.start(server, next);
                let send = self.replay.calls[call].sends;
                let loses = self.servers[server].loses;
                let is_lost = loses > 0.0 && self.random.random_bool(loses);
                let end = if is_lost { SendEnd::Lost } else { SendEnd::Answered };
                self.at(now + TO_SERVER_US, Event::Ended { call, send, end });
            }
            Event::Ended { call, send, end } => self.ended(call, send, end),
            Event::Told { call, send, end, took } => {
                let decider = self.deciders.of(self.replay.calls[call].host);
                let (id, took) = (call_id(call, send - 1), Duration::from_micros(took));
                self.deciders.queues[decider].complete(id, end.into(), took, moment(now));
                self.poll(decider);
            }
            Event::Poll { decider } => self.poll(decider),
            Event::Members => {
                let present: Vec<bool> = self.servers.iter().map(|it| it.is_present(now)).collect();
                self.deciders.set_present(&self.servers, present, moment(now));
                for decider in 0..self.deciders.queues.len() {
                    self.poll(decider);
                }
            }
            Event::Report => {
                let loads: Vec<usize> = self.servers.iter().map(ModelServer::load).collect();
                let (messages, bytes) = self.deciders.report(&loads);
                self.replay.messages += messages;
                self.replay.bytes += bytes;
            }
        }
    }

    fn note_message(&mut self, bytes: u64) {
        if self.deciders.delay_us() > Some(0) {
            self.replay.messages += 1;
            self.replay.bytes += bytes;
        }
    }

    fn request(&self, record: &CallRecord) -> CallRequest {
        let age = self.now - record.asked;
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
            self.tell(id, decision);
        }
        if let Some(due) = due.and_then(|due| u64::try_from(due.as_micros()).ok())
            && self.deciders.is_earlier(decider, due, self.now)
        {
            self.at(due.max(self.now), Event::Poll { decider });
        }
    }

    /// Sends a decision of a queue to its host.
    fn tell(&mut self, id: CallId, decision: CallDecision) {
        let call = usize::try_from(id.0 / 8).expect("ids are made of calls");
        let (server, retry_us) = match decision {
            CallDecision::Wait => return,
            CallDecision::Send { backend } => (Some(server_number(&backend.id)), 0),
            CallDecision::Reject { retry_after, .. } => {
                (None, u64::try_from(retry_after.as_micros()).expect("some seconds"))
            }
        };
        self.note_message(DECIDED_BYTES);
        let delay = self.deciders.delay_us().unwrap_or_default();
        self.at(self.now + delay, Event::Decided { call, server, retry_us });
    }

    /// Does what was decided.
    fn follow(&mut self, call: usize, server: Option<usize>, retry_us: u64) {
        let now = self.now;
        let record = &mut self.replay.calls[call];
        let Some(server) = server else {
            return self.reject(call, retry_us);
        };
        record.sends += 1;
        (record.server, record.sent) = (server, now);
        record.tried.push(server);
        let send = record.sends;
        self.deciders.enter(record.host, server);
        self.at(now + TO_SERVER_US, Event::Arrive { call });
        self.at(now + SEND_LIMIT_US, Event::Ended { call, send, end: SendEnd::Lost });
    }

    fn reject(&mut self, call: usize, retry_us: u64) {
        let record = &mut self.replay.calls[call];
        (record.ended, record.outcome) = (self.now, Some(CallerOutcome::Rejected));
        if self.case.retries && !record.is_retry {
            let host = record.host;
            self.arrive(host, true, self.now + retry_us + 2 * TO_CALLER_US);
        }
    }

    fn reach(&mut self, call: usize) {
        let record = &self.replay.calls[call];
        let (server, send) = (record.server, record.sends);
        let end = match self.servers[server].accept(call, self.now) {
            ServerWord::Runs => return self.start(server, Some(call)),
            ServerWord::Queues => return,
            ServerWord::Rejects => SendEnd::NotRun,
            ServerWord::IsGone => SendEnd::NotSent,
        };
        self.at(self.now + TO_SERVER_US, Event::Ended { call, send, end });
    }

    fn start(&mut self, server: usize, call: Option<usize>) {
        if let Some(call) = call {
            let run = self.servers[server].run_us(self.now, &mut self.random);
            self.at(self.now + run, Event::Done { call, server });
        }
    }

    fn ended(&mut self, call: usize, send: u32, end: SendEnd) {
        let now = self.now;
        let record = &mut self.replay.calls[call];
        if record.sends != send || record.over == send {
            return;
        }
        record.over = send;
        let (host, server, took) = (record.host, record.server, now - record.sent);
        match end {
            SendEnd::Answered => {
                (record.ended, record.outcome) = (now, Some(CallerOutcome::Answered));
            }
            // None of these calls may be repeated.
            SendEnd::Lost => (record.ended, record.outcome) = (now, Some(CallerOutcome::Unknown)),
            SendEnd::NotRun | SendEnd::NotSent if send < MOST_SENDS => {
                self.at(now, Event::Ask { call });
            }
            SendEnd::NotRun | SendEnd::NotSent => {
                let retry_us = self.deciders.come_back_us(self.case.objective_ms);
                self.reject(call, retry_us);
            }
        }
        self.deciders.leave(host, server, end, took, now);
        if let Some(delay) = self.deciders.delay_us() {
            self.note_message(ENDED_BYTES);
            self.at(now + delay, Event::Told { call, send, end, took });
        }
    }
}

fn call_id(call: usize, sends: u32) -> CallId {
    CallId(u64::try_from(call).expect("some thousands") * 8 + u64::from(sends))
}
