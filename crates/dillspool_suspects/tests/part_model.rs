//! Compares ways to tell which prompt part causes crashes, over the same simulated traffic.
//!
//! Engines crash when an answer begins on a deadly part, or by themselves. The model counts requests
//! with a deadly part that are sent after it must be known, and sound requests that are refused.
//! `docs/design/suspects.md` has the table printed by
//! `cargo test -p dillspool_suspects --test part_model -- --nocapture`.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use dillspool_cases::seeds;
use dillspool_moment::Moment;
use dillspool_suspects::{
    BackendCrash, FingerprintKey, PROOF_PERIOD, PartAttribution, PartDecision, PartPolicy,
    RequestFingerprint, START_PERIOD, SuspectPolicy, SuspectRegistry,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time from the start of a run to its first event, or to the crash, in seconds.
const FIRST_EVENT_S: f64 = 0.1;
/// Duration of a run in seconds.
const RUN_TIME_S: f64 = 1.5;
/// Time that a crashed engine needs to restart, in seconds.
const RESTART_TIME_S: f64 = 3.4;
/// Crashes after which a part must be known, time in seconds until hosts must act on that, and
/// requests with the part that may be sent later.
const KNOWN_AFTER: usize = 5;
const CONTACT_S: f64 = 3.0;
const MAX_LATER_SENDS: u32 = 3;

/// Crashes of engines by themselves: at these seconds, so many engines.
type OwnCrashes = fn() -> Vec<(f64, usize)>;

#[derive(Clone, Copy)]
struct PartScenario {
    name: &'static str,
    engines: usize,
    /// Sound requests per second, from which second on, and parts that follow their first part.
    sound_per_s: f64,
    sound_from_s: f64,
    middle_parts: usize,
    /// Requests with a deadly part per second.
    deadly_per_s: f64,
    /// Parts of these requests; `?` stands for a random middle part.
    prompts: &'static [&'static [&'static str]],
    deadly: &'static [&'static str],
    /// When the deadly parts become sound.
    deadly_until_s: f64,
    own_crashes: OwnCrashes,
    /// Duration in seconds.
    run_s: f64,
}

const MIDDLE: PartScenario = PartScenario {
    name: "6 engines, a part in the middle",
    engines: 6,
    sound_per_s: 10.0,
    sound_from_s: 0.0,
    middle_parts: 3,
    deadly_per_s: 5.0,
    prompts: &[&["first", "bad"]],
    deadly: &["bad"],
    deadly_until_s: f64::INFINITY,
    own_crashes: Vec::new,
    run_s: 100.0,
};

/// When requests with deadly parts begin, in seconds.
const DEADLY_FROM_S: f64 = 8.0;

fn one_a_second() -> Vec<(f64, usize)> {
    (0..100).filter(|second| second % 20 < 10).map(|second| (f64::from(second) + 0.4, 1)).collect()
}

fn five_at_once() -> Vec<(f64, usize)> {
    (0..100).filter(|second| second % 20 < 5).map(|second| (f64::from(second) + 8.4, 5)).collect()
}

fn many_at_once() -> Vec<(f64, usize)> {
    (0..5).map(|second| (f64::from(second) + 8.4, 270)).collect()
}

/// All engines within two seconds, three times.
fn one_after_the_other() -> Vec<(f64, usize)> {
    (0..27)
        .map(|crash| (f64::from(crash % 9) * 0.22 + f64::from(crash / 9) * 8.0 + 9.0, 1))
        .collect()
}

const SCENARIOS: [PartScenario; 19] = [
    MIDDLE,
    PartScenario { name: "the same, few sound requests", sound_per_s: 0.4, ..MIDDLE },
    PartScenario { name: "the same, sound requests only later", sound_from_s: 12.0, ..MIDDLE },
    PartScenario { name: "the same, one deadly request in 3 s", deadly_per_s: 0.33, ..MIDDLE },
    PartScenario {
        name: "behind shared parts",
        prompts: &[&["first", "?", "bad"], &["first", "bad", "?"]],
        ..MIDDLE
    },
    PartScenario {
        name: "beside a part of no sound prompt",
        prompts: &[&["first", "bad", "only"]],
        ..MIDDLE
    },
    PartScenario {
        name: "two parts",
        prompts: &[&["first", "bad"], &["first", "worse"]],
        deadly: &["bad", "worse"],
        ..MIDDLE
    },
    PartScenario {
        name: "two parts, sound requests only later",
        prompts: &[&["first", "bad"], &["first", "worse"]],
        deadly: &["bad", "worse"],
        sound_from_s: 14.0,
        ..MIDDLE
    },
    PartScenario {
        name: "two parts, few sound requests",
        prompts: &[&["first", "bad"], &["first", "worse"]],
        deadly: &["bad", "worse"],
        sound_per_s: 0.4,
        ..MIDDLE
    },
    PartScenario { name: "the first part", prompts: &[&["bad", "?"]], ..MIDDLE },
    PartScenario {
        name: "the first part, new middle parts, no sound requests before",
        prompts: &[&["bad", "?"]],
        sound_from_s: 12.0,
        ..MIDDLE
    },
    PartScenario {
        name: "the first part and another one",
        prompts: &[&["bad", "?"], &["first", "worse"]],
        deadly: &["bad", "worse"],
        ..MIDDLE
    },
    PartScenario {
        name: "a part that sound prompts had becomes deadly",
        prompts: &[&["first", "m0"]],
        deadly: &["m0"],
        ..MIDDLE
    },
    PartScenario { name: "a part that becomes sound again", deadly_until_s: 20.0, ..MIDDLE },
    PartScenario {
        name: "6 engines, ten crashes in ten seconds, twice a minute",
        deadly_per_s: 0.0,
        own_crashes: one_a_second,
        ..MIDDLE
    },
    PartScenario {
        name: "the same, few sound requests",
        deadly_per_s: 0.0,
        sound_per_s: 0.4,
        own_crashes: one_a_second,
        ..MIDDLE
    },
    PartScenario {
        name: "9 engines, five crash at once five times in five seconds, a part in the middle",
        engines: 9,
        own_crashes: five_at_once,
        ..MIDDLE
    },
    PartScenario {
        name: "9 engines, all crash within 2 s three times",
        engines: 9,
        deadly_per_s: 0.0,
        own_crashes: one_after_the_other,
        ..MIDDLE
    },
    PartScenario {
        name: "2,700 engines, 270 crash at once five times in five seconds, 500 shared parts",
        engines: 2700,
        deadly_per_s: 0.0,
        sound_per_s: 3000.0,
        middle_parts: 500,
        own_crashes: many_at_once,
        run_s: 20.0,
        ..MIDDLE
    },
];

const WAYS: [(&str, PartAttribution); 4] = [
    ("whole requests only", PartAttribution::None),
    ("each crash", PartAttribution::EveryCrash),
    ("most crashes", PartAttribution::MostCrashes),
    ("fewest causes", PartAttribution::FewestCauses),
];

#[derive(Clone, Debug)]
struct ModelRun {
    parts: Vec<String>,
    engine: (usize, usize),
    started_s: f64,
    is_trial: bool,
}

enum Event {
    SoundArrival,
    DeadlyArrival,
    OwnCrash(usize),
    /// The first event of a run, or the crash instead of it.
    BeginAnswer(u64),
    BegunWell(u64),
    End(u64),
}

#[derive(Clone, Debug, Default)]
struct PartCounts {
    sound: u32,
    sound_refused: u32,
    /// Requests with a deadly part that were sent, by the part and the time.
    sends: BTreeMap<String, Vec<f64>>,
    crashes: BTreeMap<String, Vec<f64>>,
    /// When a request with a part that has become sound was served first.
    served_again_s: Option<f64>,
}

impl PartCounts {
    /// Most requests with one deadly part sent after it must have been known.
    fn late_sends(&self) -> u32 {
        let late = self.crashes.iter().filter_map(|(part, crashes)| {
            let known = crashes.get(KNOWN_AFTER - 1)? + CONTACT_S;
            Some(self.sends[part].iter().filter(|at| **at > known).count())
        });
        u32::try_from(late.max().unwrap_or_default()).expect("few")
    }

    fn most_crashes(&self) -> u32 {
        let most = self.crashes.values().map(Vec::len).max().unwrap_or_default();
        u32::try_from(most).expect("few")
    }
}

struct PartModel {
    scenario: PartScenario,
    registry: SuspectRegistry,
    rng: SmallRng,
    events: BTreeMap<(Duration, u64), Event>,
    next: u64,
    runs: BTreeMap<u64, ModelRun>,
    starts: Vec<usize>,
    down_until: Vec<f64>,
    counts: PartCounts,
}

fn moment(at_s: f64) -> Moment {
    Moment::after_origin(Duration::from_secs_f64(at_s))
}

fn fingerprints(parts: &[String]) -> Vec<RequestFingerprint> {
    let key = FingerprintKey::default();
    parts.iter().map(|part| RequestFingerprint::of_part(&key, part)).collect()
}

impl PartModel {
    fn new(scenario: PartScenario, attribution: PartAttribution, seed: u64) -> Self {
        let parts = PartPolicy { attribution, ..PartPolicy::default() };
        let policy = SuspectPolicy { parts, ..SuspectPolicy::default() };
        let mut model = Self {
            scenario,
            registry: SuspectRegistry::new(policy),
            rng: SmallRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            next: 0,
            runs: BTreeMap::new(),
            starts: vec![0; scenario.engines],
            down_until: vec![0.0; scenario.engines],
            counts: PartCounts::default(),
        };
        model.push(scenario.sound_from_s, Event::SoundArrival);
        if scenario.deadly_per_s > 0.0 {
            model.push(DEADLY_FROM_S, Event::DeadlyArrival);
        }
        for (at_s, engines) in (scenario.own_crashes)() {
            model.push(at_s, Event::OwnCrash(engines));
        }
        model
    }

    fn push(&mut self, at_s: f64, event: Event) {
        self.next += 1;
        if at_s < self.scenario.run_s {
            self.events.insert((Duration::from_secs_f64(at_s), self.next), event);
        }
    }

    fn middle_part(&mut self) -> String {
        format!("m{}", self.rng.random_range(0..self.scenario.middle_parts))
    }

    fn run(mut self) -> PartCounts {
        while let Some(((at, _number), event)) = self.events.pop_first() {
            let now_s = at.as_secs_f64();
            match event {
                Event::SoundArrival => {
                    let pause = self.rng.random_range(0.2..1.8) / self.scenario.sound_per_s;
                    self.push(now_s + pause, Event::SoundArrival);
                    let parts = vec!["first".to_owned(), self.middle_part()];
                    self.arrive(parts, now_s);
                }
                Event::DeadlyArrival => {
                    let pause = self.rng.random_range(0.2..1.8) / self.scenario.deadly_per_s;
                    self.push(now_s + pause, Event::DeadlyArrival);
                    let chosen = self.rng.random_range(0..self.scenario.prompts.len());
                    let mut parts = Vec::new();
                    for part in self.scenario.prompts[chosen] {
                        parts.push(if *part == "?" { self.middle_part() } else { (*part).into() });
                    }
                    self.arrive(parts, now_s);
                }
                Event::OwnCrash(engines) => {
                    for _engine in 0..engines {
                        if let Some(engine) = self.pick_engine(now_s) {
                            self.crash(engine, now_s);
                        }
                    }
                }
                Event::BeginAnswer(number) => self.begin_answer(number, now_s),
                Event::BegunWell(number) => {
                    if let Some(run) = self.runs.get(&number) {
                        let first_event = moment(now_s - PROOF_PERIOD.as_secs_f64());
                        for part in fingerprints(&run.parts) {
                            self.registry.record_success(part, first_event);
                        }
                    }
                }
                Event::End(number) => {
                    self.runs.remove(&number);
                }
            }
        }
        self.counts
    }

    fn is_deadly(&self, part: &str, now_s: f64) -> bool {
        self.scenario.deadly.contains(&part)
            && (DEADLY_FROM_S..self.scenario.deadly_until_s).contains(&now_s)
    }

    fn pick_engine(&mut self, now_s: f64) -> Option<usize> {
        let up: Vec<usize> =
            (0..self.scenario.engines).filter(|engine| self.down_until[*engine] <= now_s).collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    fn arrive(&mut self, parts: Vec<String>, now_s: f64) {
        let deadly: Vec<String> =
            parts.iter().filter(|part| self.is_deadly(part, now_s)).cloned().collect();
        let is_sound = !parts.iter().any(|part| self.scenario.deadly.contains(&&**part));
        self.counts.sound += u32::from(is_sound);
        self.registry.settle(moment(now_s));
        let is_trial_running = self.runs.values().any(|run| run.is_trial);
        let is_trial = match self.registry.decide_parts(&fingerprints(&parts), 0.5, moment(now_s)) {
            PartDecision::Clear => false,
            PartDecision::Trial(_) if !is_trial_running => true,
            PartDecision::Trial(_) | PartDecision::Refused(_) => {
                self.counts.sound_refused += u32::from(is_sound);
                return;
            }
        };
        let Some(engine) = self.pick_engine(now_s) else { return };
        for part in deadly {
            self.counts.sends.entry(part).or_default().push(now_s);
        }
        let run =
            ModelRun { parts, engine: (engine, self.starts[engine]), started_s: now_s, is_trial };
        let number = self.next;
        self.runs.insert(number, run);
        self.push(now_s + FIRST_EVENT_S, Event::BeginAnswer(number));
    }

    fn begin_answer(&mut self, number: u64, now_s: f64) {
        let Some(run) = self.runs.get(&number).cloned() else { return };
        if let Some(part) = run.parts.iter().find(|part| self.is_deadly(part, now_s)) {
            self.counts.crashes.entry(part.clone()).or_default().push(now_s);
            self.crash(run.engine.0, now_s);
            return;
        }
        let has_deadly_part = run.parts.iter().any(|part| self.scenario.deadly.contains(&&**part));
        if has_deadly_part && now_s > self.scenario.deadly_until_s {
            self.counts.served_again_s.get_or_insert(now_s);
        }
        self.push(now_s + PROOF_PERIOD.as_secs_f64(), Event::BegunWell(number));
        self.push(now_s + RUN_TIME_S, Event::End(number));
    }

    fn crash(&mut self, engine: usize, now_s: f64) {
        let backend: Arc<str> = format!("{engine} {}", self.starts[engine]).into();
        self.starts[engine] += 1;
        self.down_until[engine] = now_s + RESTART_TIME_S;
        let broken: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_number, run)| run.engine.0 == engine)
            .map(|(number, _run)| *number)
            .collect();
        let mut parts = BTreeSet::new();
        for number in broken {
            let Some(run) = self.runs.remove(&number) else { continue };
            if now_s - run.started_s < FIRST_EVENT_S + START_PERIOD.as_secs_f64() {
                parts.extend(fingerprints(&run.parts));
            }
        }
        let at = moment(now_s);
        let crash = |fingerprint| BackendCrash { fingerprint, backend: Arc::clone(&backend), at };
        let crashes: Vec<BackendCrash> = parts.into_iter().map(crash).collect();
        self.registry.record_crashes(&crashes, at);
    }
}

/// Seeds that run in CI; `PART_SEEDS=1-40` runs others. The large scenario runs with the first one.
const CI_SEEDS: RangeInclusive<u64> = 1..=4;
/// Share of sound requests that may be refused, for engines that crash by themselves.
const MAX_REFUSED_SHARE: f64 = 0.005;

#[test]
fn deadly_parts_are_refused_and_sound_prompts_are_not() {
    for scenario in SCENARIOS {
        println!("{}:", scenario.name);
        for (name, attribution) in WAYS {
            let count = if scenario.engines > 100 { 1 } else { usize::MAX };
            let seeds: Vec<u64> = seeds("PART_SEEDS", CI_SEEDS).take(count).collect();
            let counts: Vec<PartCounts> = seeds
                .iter()
                .map(|seed| PartModel::new(scenario, attribution, *seed).run())
                .collect();
            let broken = counts.iter().filter(|it| it.late_sends() > MAX_LATER_SENDS).count();
            let late = counts.iter().map(PartCounts::late_sends).max().unwrap_or_default();
            let crashes: u32 = counts.iter().map(PartCounts::most_crashes).sum();
            let sound: u32 = counts.iter().map(|it| it.sound).sum();
            let refused: u32 = counts.iter().map(|it| it.sound_refused).sum();
            let again = counts.iter().filter_map(|it| it.served_again_s);
            let again_s =
                again.fold(None, |most: Option<f64>, at| Some(most.map_or(at, |it| it.max(at))));
            println!(
                "  {name}: {broken} of {} beyond the bound, {late} late sends at most, {:.1} crashes a part, {refused} of {sound} sound ones refused, served again by {again_s:?}",
                seeds.len(),
                f64::from(crashes) / f64::from(u32::try_from(seeds.len()).expect("few")),
            );
            if attribution == PartAttribution::FewestCauses {
                assert_eq!(broken, 0, "{}: {late} late sends", scenario.name);
                assert!(
                    f64::from(refused) <= f64::from(sound) * MAX_REFUSED_SHARE,
                    "{}: {refused} of {sound}",
                    scenario.name
                );
            }
        }
    }
}
