//! Compares ways to single out the request that causes crashes, over the same simulated crashes.
//!
//! Engines crash by themselves or because of poison requests. A crash interrupts all requests
//! running there, and their clients retry them at any engine. The model counts healthy requests
//! that are refused and engines that one poison request crashes. `docs/design/suspects.md` has the
//! table printed by `cargo test -p dillspool_suspects --test model -- --nocapture`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_suspects::{
    BackendCrash, CrashAttribution, FingerprintInput, FingerprintKey, RequestFingerprint,
    SuspectDecision, SuspectPolicy, SuspectRegistry,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Duration of a run in seconds.
const RUN_TIME_S: f64 = 3.0;
/// Time that a crashed engine needs to restart, in seconds.
const RESTART_TIME_S: f64 = 4.0;
/// Time from the start of a poison request to the crash, in seconds.
const CRASH_DELAY_S: f64 = 0.1;
/// Delay before a client retries, in seconds.
const RETRY_DELAY_S: f64 = 0.3;

#[derive(Clone, Copy)]
struct ModelScenario {
    name: &'static str,
    engines: usize,
    /// Concurrent requests per engine.
    concurrent_requests: usize,
    /// Seconds at the start of each minute during which engines crash by themselves.
    crash_period_s: f64,
    /// Seconds between two such crashes.
    crash_interval_s: f64,
    /// Engines that crash at the same time.
    engines_per_crash: usize,
    /// Retries that a client sends.
    retries: usize,
    /// Poison requests that arrive at once, every minute.
    poison_requests: u32,
    /// Copies of each poison request.
    copies: usize,
    minutes: u32,
}

const QUIET: ModelScenario = ModelScenario {
    name: "",
    engines: 6,
    concurrent_requests: 8,
    crash_period_s: 0.0,
    crash_interval_s: 1.0,
    engines_per_crash: 1,
    retries: 1,
    poison_requests: 0,
    copies: 20,
    minutes: 100,
};

const SCENARIOS: [ModelScenario; 11] = [
    ModelScenario {
        name: "2,700 engines, one crash a minute, callers repeat four times",
        engines: 2700,
        concurrent_requests: 20,
        crash_period_s: 60.0,
        crash_interval_s: 60.0,
        retries: 4,
        minutes: 1000,
        ..QUIET
    },
    ModelScenario {
        name: "2,700 engines, 20 crash within 2 s each minute, callers repeat four times",
        engines: 2700,
        concurrent_requests: 20,
        crash_period_s: 2.0,
        crash_interval_s: 0.1,
        retries: 4,
        ..QUIET
    },
    ModelScenario {
        name: "6 engines, ten crashes within 10 s each minute",
        crash_period_s: 10.0,
        ..QUIET
    },
    ModelScenario {
        name: "the same, callers repeat four times",
        crash_period_s: 10.0,
        retries: 4,
        ..QUIET
    },
    ModelScenario {
        name: "9 engines, five crash together five times in five seconds, callers repeat four times",
        engines: 9,
        crash_period_s: 5.0,
        engines_per_crash: 5,
        retries: 4,
        ..QUIET
    },
    ModelScenario {
        name: "2,700 engines, 270 crash together five times in five seconds, callers repeat four times",
        engines: 2700,
        concurrent_requests: 20,
        crash_period_s: 5.0,
        engines_per_crash: 270,
        retries: 4,
        minutes: 3,
        ..QUIET
    },
    ModelScenario {
        name: "9 engines, the same beside a deadly request",
        engines: 9,
        crash_period_s: 5.0,
        engines_per_crash: 5,
        retries: 4,
        poison_requests: 1,
        ..QUIET
    },
    ModelScenario { name: "6 engines, a deadly request a minute", poison_requests: 1, ..QUIET },
    ModelScenario {
        name: "the same, callers repeat four times",
        poison_requests: 1,
        retries: 4,
        ..QUIET
    },
    ModelScenario {
        name: "6 engines, two deadly requests at once, callers repeat four times",
        poison_requests: 2,
        retries: 4,
        ..QUIET
    },
    ModelScenario {
        name: "40 engines, three deadly requests at once, callers repeat four times",
        engines: 40,
        poison_requests: 3,
        retries: 4,
        ..QUIET
    },
];

struct ModelStrategy {
    name: &'static str,
    attribution: CrashAttribution,
    refuse_after: usize,
}

const STRATEGIES: [ModelStrategy; 5] = [
    ModelStrategy {
        name: "each end, 2",
        attribution: CrashAttribution::EveryCrash,
        refuse_after: 2,
    },
    ModelStrategy {
        name: "each end, 3",
        attribution: CrashAttribution::EveryCrash,
        refuse_after: 3,
    },
    ModelStrategy {
        name: "singled, 2",
        attribution: CrashAttribution::PrimeSuspect,
        refuse_after: 2,
    },
    ModelStrategy {
        name: "singled, 3",
        attribution: CrashAttribution::PrimeSuspect,
        refuse_after: 3,
    },
    ModelStrategy {
        name: "unexplained, 3",
        attribution: CrashAttribution::NoCommonCause,
        refuse_after: 3,
    },
];

/// A running or pending copy of a request.
#[derive(Clone, Copy)]
struct Copy {
    fingerprint: RequestFingerprint,
    retries_left: usize,
    is_poison: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ModelCounts {
    /// Healthy requests interrupted by a crash.
    interrupted: u32,
    /// Healthy requests that were refused.
    refused: u32,
    /// Engines that poison requests crashed.
    crashes: u32,
    /// The most engines that one poison request crashed.
    max_crashes: u32,
}

enum Event {
    /// Engines crash by themselves.
    Crash,
    /// Poison requests arrive.
    PoisonRequests,
    /// A copy arrives.
    Copy(Copy),
    /// A poison copy crashes its engine.
    PoisonCrash(Copy, usize),
    /// A copy succeeds.
    Success(RequestFingerprint, usize),
}

struct Model {
    scenario: ModelScenario,
    registry: SuspectRegistry,
    rng: SmallRng,
    events: BTreeMap<(Duration, u64), Event>,
    next: u64,
    /// Copies running on each engine, and when each crashed engine is back.
    running: BTreeMap<usize, Vec<Copy>>,
    restarting_until: BTreeMap<usize, f64>,
    restarts: BTreeMap<usize, usize>,
    fingerprints: u64,
    refused: BTreeSet<RequestFingerprint>,
    counts: ModelCounts,
    crashes_by_request: BTreeMap<RequestFingerprint, u32>,
}

fn moment(at_s: f64) -> Moment {
    Moment::after_origin(Duration::from_secs_f64(at_s))
}

impl Model {
    fn new(scenario: ModelScenario, strategy: &ModelStrategy) -> Self {
        let policy = SuspectPolicy {
            attribution: strategy.attribution,
            refuse_after: strategy.refuse_after,
            ..SuspectPolicy::default()
        };
        let mut model = Self {
            scenario,
            registry: SuspectRegistry::new(policy),
            rng: SmallRng::seed_from_u64(7),
            events: BTreeMap::new(),
            next: 0,
            running: BTreeMap::new(),
            restarting_until: BTreeMap::new(),
            restarts: BTreeMap::new(),
            fingerprints: 0,
            refused: BTreeSet::new(),
            counts: ModelCounts::default(),
            crashes_by_request: BTreeMap::new(),
        };
        for minute in 0..scenario.minutes {
            let start = f64::from(minute) * 60.0;
            let mut at = start;
            while at < start + scenario.crash_period_s {
                model.push(at, Event::Crash);
                at += scenario.crash_interval_s;
            }
            if scenario.poison_requests > 0 {
                model.push(start, Event::PoisonRequests);
            }
        }
        model
    }

    fn push(&mut self, at_s: f64, event: Event) {
        self.next += 1;
        self.events.insert((Duration::from_secs_f64(at_s), self.next), event);
    }

    fn new_fingerprint(&mut self) -> RequestFingerprint {
        self.fingerprints += 1;
        let body = self.fingerprints.to_le_bytes();
        let parts = FingerprintInput { caller: "", host: "", path: "", body: &body };
        RequestFingerprint::of(&FingerprintKey::default(), &parts)
    }

    fn random_below(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    fn pick_engine(&mut self, now_s: f64) -> Option<usize> {
        for _try in 0..20 {
            let engine = self.random_below(self.scenario.engines);
            if self.restarting_until.get(&engine).is_none_or(|until| *until <= now_s) {
                return Some(engine);
            }
        }
        None
    }

    fn run(mut self) -> ModelCounts {
        while let Some(((at, _number), event)) = self.events.pop_first() {
            let now_s = at.as_secs_f64();
            match event {
                Event::Crash => {
                    for _engine in 0..self.scenario.engines_per_crash {
                        if let Some(engine) = self.pick_engine(now_s) {
                            self.crash_engine(engine, now_s);
                        }
                    }
                }
                Event::PoisonRequests => {
                    for _request in 0..self.scenario.poison_requests {
                        let retries_left = self.scenario.copies;
                        let copy = Copy {
                            fingerprint: self.new_fingerprint(),
                            retries_left,
                            is_poison: true,
                        };
                        self.push(now_s, Event::Copy(copy));
                    }
                }
                Event::Copy(copy) => self.arrive(copy, now_s),
                Event::PoisonCrash(copy, engine) => {
                    let runs = self.running.get(&engine).into_iter().flatten();
                    if runs.into_iter().any(|it| it.fingerprint == copy.fingerprint) {
                        self.counts.crashes += 1;
                        *self.crashes_by_request.entry(copy.fingerprint).or_default() += 1;
                        self.crash_engine(engine, now_s);
                    }
                }
                Event::Success(fingerprint, engine) => {
                    if let Some(runs) = self.running.get_mut(&engine) {
                        let before = runs.len();
                        runs.retain(|it| it.fingerprint != fingerprint);
                        if runs.len() < before {
                            self.registry.record_success(fingerprint, moment(now_s));
                        }
                    }
                }
            }
        }
        self.counts.refused = u32::try_from(self.refused.len()).expect("few");
        self.counts.max_crashes =
            self.crashes_by_request.values().copied().max().unwrap_or_default();
        self.counts
    }

    fn arrive(&mut self, copy: Copy, now_s: f64) {
        if matches!(
            self.registry.decide(copy.fingerprint, moment(now_s)),
            SuspectDecision::Refused { .. }
        ) {
            if copy.is_poison {
                self.retry(copy, now_s);
            } else {
                self.refused.insert(copy.fingerprint);
            }
            return;
        }
        let Some(engine) = self.pick_engine(now_s) else { return };
        self.running.entry(engine).or_default().push(copy);
        if copy.is_poison {
            self.push(now_s + CRASH_DELAY_S, Event::PoisonCrash(copy, engine));
        } else {
            self.push(now_s + RUN_TIME_S, Event::Success(copy.fingerprint, engine));
        }
    }

    fn retry(&mut self, copy: Copy, now_s: f64) {
        if let Some(retries_left) = copy.retries_left.checked_sub(1) {
            self.push(now_s + RETRY_DELAY_S, Event::Copy(Copy { retries_left, ..copy }));
        }
    }

    /// Crashes an engine and interrupts all copies there: those being followed, and new ones that
    /// make up the usual number of concurrent requests.
    fn crash_engine(&mut self, engine: usize, now_s: f64) {
        let start = self.restarts.entry(engine).or_default();
        *start += 1;
        let backend: Arc<str> = format!("{engine} {start}").into();
        self.restarting_until.insert(engine, now_s + RESTART_TIME_S);
        let mut runs = self.running.remove(&engine).unwrap_or_default();
        while runs.len() < self.scenario.concurrent_requests {
            let copy = Copy {
                fingerprint: self.new_fingerprint(),
                retries_left: self.scenario.retries,
                is_poison: false,
            };
            runs.push(copy);
        }
        for copy in runs {
            let crash = BackendCrash {
                fingerprint: copy.fingerprint,
                backend: Arc::clone(&backend),
                at: moment(now_s),
            };
            self.registry.record_crash(&crash);
            self.counts.interrupted += u32::from(!copy.is_poison);
            self.retry(copy, now_s);
        }
    }
}

#[test]
fn healthy_requests_are_told_apart_from_poison_requests() {
    for scenario in SCENARIOS {
        println!("{}:", scenario.name);
        let mut counts = Vec::new();
        for strategy in &STRATEGIES {
            let counted = Model::new(scenario, strategy).run();
            let poison_total = f64::from((scenario.poison_requests * scenario.minutes).max(1));
            println!(
                "  {}: {} broken off, {} refused ({:.0} in a million); {:.2} engines a deadly request, {} at most",
                strategy.name,
                counted.interrupted,
                counted.refused,
                f64::from(counted.refused) * 1e6 / f64::from(counted.interrupted.max(1)),
                f64::from(counted.crashes) / poison_total,
                counted.max_crashes,
            );
            counts.push(counted);
        }
        let chosen = counts[4];
        assert!(chosen.max_crashes <= 5, "{}: {chosen:?}", scenario.name);
        if scenario.engines > 100 {
            assert_eq!(chosen.refused, 0, "{}: {chosen:?}", scenario.name);
        }
        let least = counts.iter().map(|other| other.refused).min();
        assert_eq!(least, Some(chosen.refused), "{}: {counts:?}", scenario.name);
    }
}
