//! Ways to tell the guilty request from those that ran beside it, over the same crashes.
//!
//! Engines end by themselves or under deadly requests; all that ran there breaks off, and its callers send
//! it again, to any engine. What is counted: sound requests that are refused, and engines that one deadly
//! request ends. `docs/design/suspects.md` has the table that
//! `cargo test -p dillspool_suspects --test model -- --nocapture` prints.

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

/// How long a run takes, in seconds.
const RUN_S: f64 = 3.0;
/// How long an engine that ended is away, in seconds.
const AWAY_S: f64 = 4.0;
/// How long a deadly request runs before its engine ends, in seconds.
const KILLS_AFTER_S: f64 = 0.1;
/// Time until a copy that was broken off comes again, in seconds.
const RETRY_S: f64 = 0.3;

#[derive(Clone, Copy)]
struct ModelScenario {
    name: &'static str,
    engines: usize,
    /// Runs at an engine.
    beside: usize,
    /// Seconds at the start of each minute in which engines crash by themselves.
    crashes_for_s: f64,
    /// Seconds between two such crashes.
    crash_every_s: f64,
    /// Engines that crash together.
    crash_size: usize,
    /// Copies that a caller sends after the first.
    retries: usize,
    /// Deadly requests that come at once, every minute.
    deadly: u32,
    /// Copies of each.
    copies: usize,
    minutes: u32,
}

const QUIET: ModelScenario = ModelScenario {
    name: "",
    engines: 6,
    beside: 8,
    crashes_for_s: 0.0,
    crash_every_s: 1.0,
    crash_size: 1,
    retries: 1,
    deadly: 0,
    copies: 20,
    minutes: 100,
};

const SCENARIOS: [ModelScenario; 11] = [
    ModelScenario {
        name: "2,700 engines, one crash a minute, callers repeat four times",
        engines: 2700,
        beside: 20,
        crashes_for_s: 60.0,
        crash_every_s: 60.0,
        retries: 4,
        minutes: 1000,
        ..QUIET
    },
    ModelScenario {
        name: "2,700 engines, 20 crash within 2 s each minute, callers repeat four times",
        engines: 2700,
        beside: 20,
        crashes_for_s: 2.0,
        crash_every_s: 0.1,
        retries: 4,
        ..QUIET
    },
    ModelScenario {
        name: "6 engines, ten crashes within 10 s each minute",
        crashes_for_s: 10.0,
        ..QUIET
    },
    ModelScenario {
        name: "the same, callers repeat four times",
        crashes_for_s: 10.0,
        retries: 4,
        ..QUIET
    },
    ModelScenario {
        name: "9 engines, five crash together five times in five seconds, callers repeat four times",
        engines: 9,
        crashes_for_s: 5.0,
        crash_size: 5,
        retries: 4,
        ..QUIET
    },
    ModelScenario {
        name: "2,700 engines, 270 crash together five times in five seconds, callers repeat four times",
        engines: 2700,
        beside: 20,
        crashes_for_s: 5.0,
        crash_size: 270,
        retries: 4,
        minutes: 3,
        ..QUIET
    },
    ModelScenario {
        name: "9 engines, the same beside a deadly request",
        engines: 9,
        crashes_for_s: 5.0,
        crash_size: 5,
        retries: 4,
        deadly: 1,
        ..QUIET
    },
    ModelScenario { name: "6 engines, a deadly request a minute", deadly: 1, ..QUIET },
    ModelScenario { name: "the same, callers repeat four times", deadly: 1, retries: 4, ..QUIET },
    ModelScenario {
        name: "6 engines, two deadly requests at once, callers repeat four times",
        deadly: 2,
        retries: 4,
        ..QUIET
    },
    ModelScenario {
        name: "40 engines, three deadly requests at once, callers repeat four times",
        engines: 40,
        deadly: 3,
        retries: 4,
        ..QUIET
    },
];

struct ModelWay {
    name: &'static str,
    weight: CrashAttribution,
    ends: usize,
}

const WAYS: [ModelWay; 5] = [
    ModelWay { name: "each end, 2", weight: CrashAttribution::Each, ends: 2 },
    ModelWay { name: "each end, 3", weight: CrashAttribution::Each, ends: 3 },
    ModelWay { name: "singled, 2", weight: CrashAttribution::Singled, ends: 2 },
    ModelWay { name: "singled, 3", weight: CrashAttribution::Singled, ends: 3 },
    ModelWay { name: "unexplained, 3", weight: CrashAttribution::Unexplained, ends: 3 },
];

/// A copy that runs or will.
#[derive(Clone, Copy)]
struct Copy {
    print: RequestFingerprint,
    left: usize,
    is_deadly: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ModelCounts {
    /// Sound requests that an end broke off.
    broken: u32,
    /// Sound requests that were refused.
    refused: u32,
    /// Engines that deadly requests ended.
    ended: u32,
    /// The most that one of them ended.
    most_ended: u32,
}

enum Event {
    /// Engines end by themselves.
    Crash,
    /// Deadly requests begin to come.
    Deadly,
    /// A copy comes.
    Copy(Copy),
    /// A deadly copy ends its engine.
    Kill(Copy, usize),
    /// A copy comes to a good end.
    Whole(RequestFingerprint, usize),
}

struct Model {
    scenario: ModelScenario,
    book: SuspectRegistry,
    rng: SmallRng,
    events: BTreeMap<(Duration, u64), Event>,
    next: u64,
    /// Copies under way by engine, and until when each engine is away.
    running: BTreeMap<usize, Vec<Copy>>,
    away: BTreeMap<usize, f64>,
    starts: BTreeMap<usize, usize>,
    prints: u64,
    refused: BTreeSet<RequestFingerprint>,
    counts: ModelCounts,
    by_deadly: BTreeMap<RequestFingerprint, u32>,
}

fn moment(at_s: f64) -> Moment {
    Moment::after_origin(Duration::from_secs_f64(at_s))
}

impl Model {
    fn new(scenario: ModelScenario, way: &ModelWay) -> Self {
        let policy = SuspectPolicy {
            attribution: way.weight,
            refuse_after: way.ends,
            ..SuspectPolicy::default()
        };
        let mut model = Self {
            scenario,
            book: SuspectRegistry::new(policy),
            rng: SmallRng::seed_from_u64(7),
            events: BTreeMap::new(),
            next: 0,
            running: BTreeMap::new(),
            away: BTreeMap::new(),
            starts: BTreeMap::new(),
            prints: 0,
            refused: BTreeSet::new(),
            counts: ModelCounts::default(),
            by_deadly: BTreeMap::new(),
        };
        for minute in 0..scenario.minutes {
            let start = f64::from(minute) * 60.0;
            let mut at = start;
            while at < start + scenario.crashes_for_s {
                model.push(at, Event::Crash);
                at += scenario.crash_every_s;
            }
            if scenario.deadly > 0 {
                model.push(start, Event::Deadly);
            }
        }
        model
    }

    fn push(&mut self, at_s: f64, event: Event) {
        self.next += 1;
        self.events.insert((Duration::from_secs_f64(at_s), self.next), event);
    }

    fn print(&mut self) -> RequestFingerprint {
        self.prints += 1;
        let body = self.prints.to_le_bytes();
        let parts = FingerprintInput { caller: "", host: "", path: "", body: &body };
        RequestFingerprint::of(&FingerprintKey::default(), &parts)
    }

    fn draw(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    fn engine(&mut self, now_s: f64) -> Option<usize> {
        for _try in 0..20 {
            let engine = self.draw(self.scenario.engines);
            if self.away.get(&engine).is_none_or(|until| *until <= now_s) {
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
                    for _engine in 0..self.scenario.crash_size {
                        if let Some(engine) = self.engine(now_s) {
                            self.end_engine(engine, now_s);
                        }
                    }
                }
                Event::Deadly => {
                    for _request in 0..self.scenario.deadly {
                        let left = self.scenario.copies;
                        let copy = Copy { print: self.print(), left, is_deadly: true };
                        self.push(now_s, Event::Copy(copy));
                    }
                }
                Event::Copy(copy) => self.arrive(copy, now_s),
                Event::Kill(copy, engine) => {
                    let runs = self.running.get(&engine).into_iter().flatten();
                    if runs.into_iter().any(|it| it.print == copy.print) {
                        self.counts.ended += 1;
                        *self.by_deadly.entry(copy.print).or_default() += 1;
                        self.end_engine(engine, now_s);
                    }
                }
                Event::Whole(print, engine) => {
                    if let Some(runs) = self.running.get_mut(&engine) {
                        let before = runs.len();
                        runs.retain(|it| it.print != print);
                        if runs.len() < before {
                            self.book.record_success(print, moment(now_s));
                        }
                    }
                }
            }
        }
        self.counts.refused = u32::try_from(self.refused.len()).expect("few");
        self.counts.most_ended = self.by_deadly.values().copied().max().unwrap_or_default();
        self.counts
    }

    fn arrive(&mut self, copy: Copy, now_s: f64) {
        if matches!(self.book.decide(copy.print, moment(now_s)), SuspectDecision::Refused { .. }) {
            if copy.is_deadly {
                self.come_again(copy, now_s);
            } else {
                self.refused.insert(copy.print);
            }
            return;
        }
        let Some(engine) = self.engine(now_s) else { return };
        self.running.entry(engine).or_default().push(copy);
        if copy.is_deadly {
            self.push(now_s + KILLS_AFTER_S, Event::Kill(copy, engine));
        } else {
            self.push(now_s + RUN_S, Event::Whole(copy.print, engine));
        }
    }

    fn come_again(&mut self, copy: Copy, now_s: f64) {
        if let Some(left) = copy.left.checked_sub(1) {
            self.push(now_s + RETRY_S, Event::Copy(Copy { left, ..copy }));
        }
    }

    /// An engine ends, and with it all that ran there: copies that are followed, and new ones beside them.
    fn end_engine(&mut self, engine: usize, now_s: f64) {
        let start = self.starts.entry(engine).or_default();
        *start += 1;
        let backend: Arc<str> = format!("{engine} {start}").into();
        self.away.insert(engine, now_s + AWAY_S);
        let mut runs = self.running.remove(&engine).unwrap_or_default();
        while runs.len() < self.scenario.beside {
            let copy = Copy { print: self.print(), left: self.scenario.retries, is_deadly: false };
            runs.push(copy);
        }
        for copy in runs {
            let end = BackendCrash {
                fingerprint: copy.print,
                backend: Arc::clone(&backend),
                at: moment(now_s),
            };
            self.book.record_crash(&end);
            self.counts.broken += u32::from(!copy.is_deadly);
            self.come_again(copy, now_s);
        }
    }
}

#[test]
fn the_guilty_are_told_from_those_beside_them() {
    for scenario in SCENARIOS {
        println!("{}:", scenario.name);
        let mut counts = Vec::new();
        for way in &WAYS {
            let counted = Model::new(scenario, way).run();
            let deadly = f64::from((scenario.deadly * scenario.minutes).max(1));
            println!(
                "  {}: {} broken off, {} refused ({:.0} in a million); {:.2} engines a deadly request, {} at most",
                way.name,
                counted.broken,
                counted.refused,
                f64::from(counted.refused) * 1e6 / f64::from(counted.broken.max(1)),
                f64::from(counted.ended) / deadly,
                counted.most_ended,
            );
            counts.push(counted);
        }
        let kept = counts[4];
        assert!(kept.most_ended <= 5, "{}: {kept:?}", scenario.name);
        if scenario.engines > 100 {
            assert_eq!(kept.refused, 0, "{}: {kept:?}", scenario.name);
        }
        let least = counts.iter().map(|other| other.refused).min();
        assert_eq!(least, Some(kept.refused), "{}: {counts:?}", scenario.name);
    }
}
