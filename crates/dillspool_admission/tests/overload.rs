//! Loads at their worst, replayed: what is served in time, late and not at all.
//!
//! `loads/` holds arrivals that were recorded from the logs of hosts; `docs/design/admission.md` says
//! which decision answers which pattern. Each case names a policy that lacks the decision, with
//! which the same load must miss the case's counts, so that a case that cannot fail is noticed.

mod model;
mod surges;

use dillspool_admission::AdmissionPolicy;
use model::{Arrival, Failing, Outcome, PoolModel, load, play};

/// What a load must come to.
struct Counts {
    /// Answers in time at least, and at most so many that lost their memory or paused for too long.
    in_time: usize,
    preempted: usize,
    paused: usize,
    /// Callers that were refused twice at most.
    refused_twice: usize,
    /// Longest time that a refused caller was held, in ms.
    longest_held: u64,
    /// Callers that left before their first event: placed, and then out of memory.
    left: usize,
    /// Callers that got an engine's failure, at most.
    failed: usize,
}

impl Counts {
    fn are_met(&self, outcome: &Outcome) -> bool {
        outcome.in_time >= self.in_time
            && outcome.preempted <= self.preempted
            && outcome.paused <= self.paused
            && outcome.refused_twice <= self.refused_twice
            && outcome.longest_held <= self.longest_held
            && outcome.left <= self.left
            && outcome.failed <= self.failed
    }
}

struct LoadCase {
    name: &'static str,
    pool: PoolModel,
    load: Vec<Arrival>,
    counts: Counts,
    /// The same policy without the decision that answers this load.
    without: AdmissionPolicy,
}

fn recorded() -> Vec<Arrival> {
    load(include_str!("loads/double_burst.csv"))
}

fn changed(change: impl Fn(&mut Arrival)) -> Vec<Arrival> {
    let mut load = recorded();
    load.iter_mut().for_each(change);
    load.sort_by_key(|arrival| arrival.at_ms);
    load
}

fn usual() -> AdmissionPolicy {
    AdmissionPolicy::default()
}

/// Bursts, lost engines and long answers.
fn overloads() -> Vec<LoadCase> {
    vec![
        LoadCase {
            name: "a burst upon a burst",
            pool: PoolModel::default(),
            load: recorded(),
            counts: Counts {
                in_time: 1_700,
                preempted: 40,
                paused: 90,
                refused_twice: 60,
                longest_held: 3_300,
                left: 0,
                failed: 0,
            },
            without: AdmissionPolicy { memory_deviations: 0.0, ..usual() },
        },
        LoadCase {
            name: "a burst of one kind upon a small pool",
            pool: PoolModel { decode: 6, prefill: 3, memory: 89_659, ..PoolModel::default() },
            load: load(include_str!("loads/one_kind_burst.csv")),
            counts: Counts {
                in_time: 440,
                preempted: 15,
                paused: 40,
                refused_twice: 40,
                longest_held: 3_400,
                left: 0,
                failed: 0,
            },
            without: AdmissionPolicy { memory_deviations: 0.0, ..usual() },
        },
        LoadCase {
            name: "a third of the decode engines is lost in it",
            pool: PoolModel { lost: Some((17, 14_000)), ..PoolModel::default() },
            load: recorded(),
            counts: Counts {
                in_time: 1_400,
                preempted: 60,
                paused: 140,
                refused_twice: 400,
                longest_held: 3_600,
                left: 0,
                failed: 0,
            },
            without: AdmissionPolicy { memory_deviations: 0.0, ..usual() },
        },
        LoadCase {
            name: "answers twice as long",
            pool: PoolModel { decode: 100, ..PoolModel::default() },
            load: changed(|arrival| {
                arrival.guess *= 2;
                arrival.made = (arrival.made * 2).min(10_880);
            }),
            counts: Counts {
                in_time: 1_600,
                preempted: 80,
                paused: 200,
                refused_twice: 60,
                longest_held: 3_600,
                left: 5,
                failed: 0,
            },
            without: AdmissionPolicy { memory_deviations: 0.0, ..usual() },
        },
        LoadCase {
            name: "all callers at once, as after the loss of all hosts",
            pool: PoolModel::default(),
            load: changed(|arrival| arrival.at_ms = arrival.at_ms / 2_000 * 2_000),
            counts: Counts {
                in_time: 1_150,
                preempted: 40,
                paused: 90,
                refused_twice: 200,
                longest_held: 3_600,
                left: 0,
                failed: 0,
            },
            without: AdmissionPolicy { late_wait: 0.0, ..usual() },
        },
    ]
}

/// Engines that fail requests.
fn failures() -> Vec<LoadCase> {
    vec![
        LoadCase {
            name: "engines that fail all they get and say that they are well",
            pool: PoolModel {
                failing: Some(Failing { engines: 6, from_ms: 12_000, until_ms: 20_000, every: 1 }),
                ..PoolModel::default()
            },
            load: recorded(),
            counts: Counts {
                in_time: 1_400,
                preempted: 60,
                paused: 140,
                refused_twice: 100,
                longest_held: 3_600,
                left: 0,
                failed: 60,
            },
            without: AdmissionPolicy { failures_before_shut: 0, failure_weight: 0.0, ..usual() },
        },
        LoadCase {
            name: "half of the engines fail some of what they get",
            pool: PoolModel {
                failing: Some(Failing { engines: 26, from_ms: 4_000, until_ms: 12_000, every: 3 }),
                ..PoolModel::default()
            },
            load: recorded(),
            counts: Counts {
                in_time: 1_400,
                preempted: 80,
                paused: 140,
                refused_twice: 100,
                longest_held: 3_600,
                left: 0,
                failed: 95,
            },
            without: AdmissionPolicy { failure_weight: 0.0, ..usual() },
        },
    ]
}

#[test]
fn worst_loads_are_served_as_far_as_engines_allow() {
    for case in overloads().into_iter().chain(failures()) {
        let outcome = play(case.pool, usual(), &case.load);
        let without = play(case.pool, case.without, &case.load);
        assert!(case.counts.are_met(&outcome), "{}: {outcome:?}", case.name);
        assert!(!case.counts.are_met(&without), "{}: also without: {without:?}", case.name);
        assert!(outcome.fullest <= 100, "{}: more reserved than there is", case.name);
        let (large, served) = outcome.largest;
        assert!(served * 2 >= large, "{}: {served} of {large} large answers", case.name);
    }
}
