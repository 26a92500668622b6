//! Compares ways to bound the load of a crowded host, over the same simulated requests.
//!
//! `docs/design/overload.md` has the table printed by
//! `cargo test -p dillspool_overload --test overload_model -- --nocapture`.

use std::time::Duration;

use dillspool_cases::seeds;
use dillspool_moment::Moment;
use dillspool_overload::{ConnectionLimiter, LoadTracker, OverloadPolicy, TrafficTotals};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the simulation in seconds.
const STEP_S: f64 = 0.01;
/// Length of the simulation, start of the crowd, and time from which on its requests count, in seconds.
const END_S: f64 = 20.0;
const CROWD_S: f64 = 5.0;
const COUNTED_S: f64 = 9.0;
/// Delay of the link and the processor above which a request is not served in time, in seconds.
const MAX_DELAY_S: f64 = 0.5;
/// Duration of a stream in seconds, and of a call.
const STREAM_S: f64 = 1.5;
const CALL_S: f64 = 0.03;
/// Bytes sent for a stream: its prompt twice, and its events; and for a call.
const PROMPT_BYTES: f64 = 10_000.0;
const EVENT_BYTES: f64 = 28_000.0;
const CALL_BYTES: f64 = 1_500.0;
/// Work of a request, in seconds of a whole core.
const STREAM_WORK_S: f64 = 0.002;
const CALL_WORK_S: f64 = 0.000_6;
/// Share of the first attempts at the crowded host that must be served, of those that it accepts.
const MIN_SERVED: f64 = 0.75;
/// Share of what the host could serve that it must accept.
const MIN_USED: f64 = 0.5;
/// Requests in flight that the fixed limit allows.
const FIXED_IN_FLIGHT: usize = 64;

/// How a host bounds its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BoundKind {
    /// Not at all.
    None,
    /// By a fixed number of requests in flight.
    InFlight,
    /// By the rate of new connections that its load allows.
    Rate,
}

struct CrowdScenario {
    name: &'static str,
    /// Requests per second before the crowd, and in it.
    usual_per_s: f64,
    crowd_per_s: f64,
    stream_share: f64,
    link_bytes_per_s: f64,
    cores: f64,
}

const SCENARIOS: [CrowdScenario; 6] = [
    CrowdScenario {
        name: "62 hosts' requests at 10 Mbit/s",
        usual_per_s: 4.0,
        crowd_per_s: 261.0,
        stream_share: 0.16,
        link_bytes_per_s: 1_250_000.0,
        cores: 0.5,
    },
    CrowdScenario {
        name: "the same at 0.12 cores and a wide link",
        usual_per_s: 4.0,
        crowd_per_s: 261.0,
        stream_share: 0.16,
        link_bytes_per_s: 25_000_000.0,
        cores: 0.12,
    },
    CrowdScenario {
        name: "a region of the plan at one small host",
        usual_per_s: 28.0,
        crowd_per_s: 1_833.0,
        stream_share: 0.16,
        link_bytes_per_s: 1_250_000.0,
        cores: 0.12,
    },
    CrowdScenario {
        name: "streams only",
        usual_per_s: 2.0,
        crowd_per_s: 100.0,
        stream_share: 1.0,
        link_bytes_per_s: 1_250_000.0,
        cores: 0.5,
    },
    CrowdScenario {
        name: "calls only",
        usual_per_s: 10.0,
        crowd_per_s: 1_000.0,
        stream_share: 0.0,
        link_bytes_per_s: 1_250_000.0,
        cores: 0.12,
    },
    CrowdScenario {
        name: "within what the host bears",
        usual_per_s: 4.0,
        crowd_per_s: 60.0,
        stream_share: 0.16,
        link_bytes_per_s: 1_250_000.0,
        cores: 0.12,
    },
];

struct OpenRequest {
    until_s: f64,
    is_stream: bool,
    is_counted: bool,
    is_late: bool,
}

/// Counts of the requests of the crowd.
#[derive(Default)]
struct CrowdCounts {
    offered: f64,
    accepted: f64,
    served: f64,
}

struct CrowdedHost<'a> {
    scenario: &'a CrowdScenario,
    bound: BoundKind,
    tracker: LoadTracker,
    limiter: ConnectionLimiter,
    /// Until when it does not listen, in seconds.
    paused_until_s: f64,
    open: Vec<OpenRequest>,
    /// Bytes and work that wait, and bytes sent so far.
    queued_bytes: f64,
    queued_work_s: f64,
    sent_bytes: f64,
    counts: CrowdCounts,
}

impl CrowdedHost<'_> {
    fn accept(&mut self, now_s: f64, is_stream: bool) {
        let is_counted = now_s >= COUNTED_S;
        self.counts.offered += f64::from(u8::from(is_counted));
        if now_s < self.paused_until_s
            || (self.bound == BoundKind::InFlight && self.open.len() >= FIXED_IN_FLIGHT)
        {
            return;
        }
        self.counts.accepted += f64::from(u8::from(is_counted));
        let duration_s = if is_stream { STREAM_S } else { CALL_S };
        self.queued_bytes += if is_stream { PROMPT_BYTES } else { CALL_BYTES };
        self.queued_work_s += if is_stream { STREAM_WORK_S } else { CALL_WORK_S };
        let until_s = now_s + duration_s;
        self.open.push(OpenRequest { until_s, is_stream, is_counted, is_late: false });
        let start_delay_s = self.queued_work_s / self.scenario.cores;
        self.tracker.record_start(Duration::from_secs_f64(start_delay_s));
        if self.bound != BoundKind::Rate {
            return;
        }
        let now = Moment::after_origin(Duration::from_secs_f64(3_600.0 + now_s));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "whole bytes")]
        let totals = TrafficTotals { sent: self.sent_bytes as u64, received: 0 };
        if let Some(load) = self.tracker.sample(totals, now) {
            self.limiter.record_load(&load, now);
        }
        if let Some(pause) = self.limiter.record_accept(now) {
            self.paused_until_s = now_s + pause.as_secs_f64();
        }
    }

    fn advance(&mut self, now_s: f64) {
        let streams = self.open.iter().filter(|it| it.is_stream).count();
        let streams = f64::from(u32::try_from(streams).expect("few"));
        self.queued_bytes += streams * EVENT_BYTES * STEP_S / STREAM_S;
        let sent = self.queued_bytes.min(self.scenario.link_bytes_per_s * STEP_S);
        self.queued_bytes -= sent;
        self.sent_bytes += sent;
        self.queued_work_s = (self.queued_work_s - self.scenario.cores * STEP_S).max(0.0);
        let delay_s = (self.queued_bytes / self.scenario.link_bytes_per_s)
            .max(self.queued_work_s / self.scenario.cores);
        for request in &mut self.open {
            request.is_late |= delay_s > MAX_DELAY_S;
        }
        let counts = &mut self.counts;
        self.open.retain(|request| {
            let is_open = now_s < request.until_s;
            if !is_open && request.is_counted && !request.is_late {
                counts.served += 1.0;
            }
            is_open
        });
    }
}

fn play(scenario: &CrowdScenario, bound: BoundKind, seed: u64) -> CrowdCounts {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut host = CrowdedHost {
        scenario,
        bound,
        tracker: LoadTracker::new(Some(scenario.link_bytes_per_s)),
        limiter: ConnectionLimiter::new(OverloadPolicy::default()),
        paused_until_s: 0.0,
        open: Vec::new(),
        queued_bytes: 0.0,
        queued_work_s: 0.0,
        sent_bytes: 0.0,
        counts: CrowdCounts::default(),
    };
    let mut now_s = 0.0;
    while now_s < END_S {
        let per_s = if now_s < CROWD_S { scenario.usual_per_s } else { scenario.crowd_per_s };
        for _arrival in 0..arrivals(&mut random, per_s * STEP_S) {
            let is_stream = random.random_bool(scenario.stream_share);
            host.accept(now_s, is_stream);
        }
        host.advance(now_s);
        now_s += STEP_S;
    }
    // Those that are still open count as they were until now.
    let open = host.open.iter().filter(|it| it.is_counted && !it.is_late).count();
    host.counts.served += f64::from(u32::try_from(open).expect("few"));
    host.counts
}

/// Number of arrivals in a step, Poisson distributed.
fn arrivals(random: &mut impl Rng, mean: f64) -> u32 {
    let (mut count, mut product) = (0, random.random::<f64>());
    while product > (-mean).exp() {
        count += 1;
        product *= random.random::<f64>();
    }
    count
}

/// Requests per second that the host could serve.
fn capacity_per_s(scenario: &CrowdScenario) -> f64 {
    let share = scenario.stream_share;
    let bytes = share * (PROMPT_BYTES + EVENT_BYTES) + (1.0 - share) * CALL_BYTES;
    let work_s = share * STREAM_WORK_S + (1.0 - share) * CALL_WORK_S;
    (scenario.link_bytes_per_s / bytes).min(scenario.cores / work_s)
}

#[test]
fn accepted_requests_are_served_and_the_host_is_used() {
    for scenario in &SCENARIOS {
        for bound in [BoundKind::None, BoundKind::InFlight, BoundKind::Rate] {
            let (mut accepted, mut served, mut offered, mut plays) = (0.0, 0.0, 0.0, 0.0);
            for seed in seeds("OVERLOAD_SEEDS", 1..=10) {
                let counts = play(scenario, bound, seed);
                accepted += counts.accepted;
                served += counts.served;
                offered += counts.offered;
                plays += 1.0;
            }
            let served_share = served / accepted;
            let most = (capacity_per_s(scenario) * (END_S - COUNTED_S) * plays).min(offered);
            let used = served / most;
            println!(
                "{:40} {bound:9?} accepted {:.3} served {served_share:.3} used {used:.3}",
                scenario.name,
                accepted / offered,
            );
            if bound == BoundKind::Rate {
                assert!(served_share >= MIN_SERVED, "{}: {served_share}", scenario.name);
                assert!(used >= MIN_USED, "{}: {used}", scenario.name);
            }
        }
    }
}
