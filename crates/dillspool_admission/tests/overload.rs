//! Replays worst-case loads and checks how many answers are in time, late or rejected.
//!
//! `loads/` holds arrivals recorded from the logs of hosts; `docs/design/admission.md` says which
//! decision answers which pattern. Each case names a policy without that decision, with which the
//! same load must miss the expected counts, so that a case that cannot fail is noticed.

mod model;
mod surges;

use dillspool_admission::AdmissionPolicy;
use model::{Arrival, FailingEngines, Outcome, PoolModel, parse_trace, simulate};

/// Bounds on the outcome of a load.
struct ExpectedCounts {
    /// Minimum number of answers in time, and maximum numbers of answers that were preempted or
    /// stalled.
    in_time: usize,
    preempted: usize,
    stalled: usize,
    /// Maximum number of callers rejected twice.
    rejected_twice: usize,
    /// Maximum wait of a rejected caller, in ms.
    longest_rejected_wait_ms: u64,
    /// Callers that left before their first event: placed on an engine that then ran out of memory.
    abandoned: usize,
    /// Maximum number of callers that got an engine's error.
    failed: usize,
}

impl ExpectedCounts {
    fn are_met(&self, outcome: &Outcome) -> bool {
        outcome.in_time >= self.in_time
            && outcome.preempted <= self.preempted
            && outcome.stalled <= self.stalled
            && outcome.rejected_twice <= self.rejected_twice
            && outcome.longest_rejected_wait_ms <= self.longest_rejected_wait_ms
            && outcome.abandoned <= self.abandoned
            && outcome.failed <= self.failed
    }
}

struct LoadCase {
    name: &'static str,
    pool: PoolModel,
    load: Vec<Arrival>,
    counts: ExpectedCounts,
    /// The policy without the decision that answers this load.
    without_feature: AdmissionPolicy,
}

fn recorded() -> Vec<Arrival> {
    parse_trace(include_str!("loads/double_burst.csv"))
}

fn changed(change: impl Fn(&mut Arrival)) -> Vec<Arrival> {
    let mut load = recorded();
    load.iter_mut().for_each(change);
    load.sort_by_key(|arrival| arrival.at_ms);
    load
}

fn default_policy() -> AdmissionPolicy {
    AdmissionPolicy::default()
}

/// Bursts, lost engines and long answers.
fn overloads() -> Vec<LoadCase> {
    vec![
        LoadCase {
            name: "a burst during a burst",
            pool: PoolModel::default(),
            load: recorded(),
            counts: ExpectedCounts {
                in_time: 1_700,
                preempted: 40,
                stalled: 90,
                rejected_twice: 60,
                longest_rejected_wait_ms: 3_300,
                abandoned: 0,
                failed: 0,
            },
            without_feature: AdmissionPolicy { memory_deviations: 0.0, ..default_policy() },
        },
        LoadCase {
            name: "a burst of one kind of request on a small pool",
            pool: PoolModel { decode: 6, prefill: 3, memory: 89_659, ..PoolModel::default() },
            load: parse_trace(include_str!("loads/one_kind_burst.csv")),
            counts: ExpectedCounts {
                in_time: 440,
                preempted: 15,
                stalled: 40,
                rejected_twice: 40,
                longest_rejected_wait_ms: 3_400,
                abandoned: 0,
                failed: 0,
            },
            without_feature: AdmissionPolicy { memory_deviations: 0.0, ..default_policy() },
        },
        LoadCase {
            name: "a third of the decode engines is lost during the burst",
            pool: PoolModel { lost: Some((17, 14_000)), ..PoolModel::default() },
            load: recorded(),
            counts: ExpectedCounts {
                in_time: 1_400,
                preempted: 60,
                stalled: 140,
                rejected_twice: 400,
                longest_rejected_wait_ms: 3_600,
                abandoned: 0,
                failed: 0,
            },
            without_feature: AdmissionPolicy { memory_deviations: 0.0, ..default_policy() },
        },
        LoadCase {
            name: "answers twice as long",
            pool: PoolModel { decode: 100, ..PoolModel::default() },
            load: changed(|arrival| {
                arrival.estimated_tokens *= 2;
                arrival.answer_tokens = (arrival.answer_tokens * 2).min(10_880);
            }),
            counts: ExpectedCounts {
                in_time: 1_600,
                preempted: 80,
                stalled: 200,
                rejected_twice: 60,
                longest_rejected_wait_ms: 3_600,
                abandoned: 5,
                failed: 0,
            },
            without_feature: AdmissionPolicy { memory_deviations: 0.0, ..default_policy() },
        },
        LoadCase {
            name: "all callers at once, as after the loss of all hosts",
            pool: PoolModel::default(),
            load: changed(|arrival| arrival.at_ms = arrival.at_ms / 2_000 * 2_000),
            counts: ExpectedCounts {
                in_time: 1_150,
                preempted: 40,
                stalled: 90,
                rejected_twice: 200,
                longest_rejected_wait_ms: 3_600,
                abandoned: 0,
                failed: 0,
            },
            without_feature: AdmissionPolicy { late_wait: 0.0, ..default_policy() },
        },
    ]
}

/// Engines that fail requests.
fn failures() -> Vec<LoadCase> {
    vec![
        LoadCase {
            name: "engines that fail all requests but report that they are healthy",
            pool: PoolModel {
                failing: Some(FailingEngines {
                    engines: 6,
                    from_ms: 12_000,
                    until_ms: 20_000,
                    every: 1,
                }),
                ..PoolModel::default()
            },
            load: recorded(),
            counts: ExpectedCounts {
                in_time: 1_400,
                preempted: 60,
                stalled: 140,
                rejected_twice: 100,
                longest_rejected_wait_ms: 3_600,
                abandoned: 0,
                failed: 60,
            },
            without_feature: AdmissionPolicy {
                failures_before_shut: 0,
                failure_weight: 0.0,
                ..default_policy()
            },
        },
        LoadCase {
            name: "half of the engines fail some of their requests",
            pool: PoolModel {
                failing: Some(FailingEngines {
                    engines: 26,
                    from_ms: 4_000,
                    until_ms: 12_000,
                    every: 3,
                }),
                ..PoolModel::default()
            },
            load: recorded(),
            counts: ExpectedCounts {
                in_time: 1_400,
                preempted: 80,
                stalled: 140,
                rejected_twice: 100,
                longest_rejected_wait_ms: 3_600,
                abandoned: 0,
                failed: 95,
            },
            without_feature: AdmissionPolicy { failure_weight: 0.0, ..default_policy() },
        },
    ]
}

#[test]
fn overloads_meet_the_expected_counts() {
    for case in overloads().into_iter().chain(failures()) {
        let outcome = simulate(case.pool, default_policy(), &case.load);
        let without = simulate(case.pool, case.without_feature, &case.load);
        assert!(case.counts.are_met(&outcome), "{}: {outcome:?}", case.name);
        assert!(
            !case.counts.are_met(&without),
            "{}: also met by the policy without the feature: {without:?}",
            case.name
        );
        assert!(outcome.peak_memory_percent <= 100, "{}: reservations exceed memory", case.name);
        let (large, served) = outcome.largest;
        assert!(served * 2 >= large, "{}: {served} of {large} large answers", case.name);
    }
}
