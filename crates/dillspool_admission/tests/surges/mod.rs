//! Surges on the pools of the two deployments, with generated workloads.
//!
//! Each case names a policy without the decision that it tests, with which the same workloads must
//! miss the case's bounds.

use dillspool_admission::AdmissionPolicy;

use super::model::{
    Arrival, Outcome, PoolModel, WorkloadParams, generate_workload, parse_trace, simulate,
};

/// Seeds of the workloads of a case.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Bounds on the results, as fractions of all callers.
struct Bounds {
    score: f64,
    /// Maximum fraction of streams that reach their deadline.
    expired: f64,
}

struct SurgeCase {
    name: &'static str,
    pool: PoolModel,
    day: fn(u64) -> WorkloadParams,
    policy: AdmissionPolicy,
    without_feature: AdmissionPolicy,
    bounds: Bounds,
}

/// Results over several workloads.
#[derive(Debug)]
struct DaySum {
    score: f64,
    expired: f64,
}

fn default_policy() -> AdmissionPolicy {
    AdmissionPolicy::default()
}

fn long_answers(seed: u64) -> WorkloadParams {
    WorkloadParams { events: 140.0, per_s: 18.0, ..WorkloadParams::for_23_hosts(seed) }
}

fn cases() -> Vec<SurgeCase> {
    let pool = PoolModel::for_23_hosts();
    let no_variance = AdmissionPolicy { memory_deviations: 0.0, ..default_policy() };
    vec![
        SurgeCase {
            name: "long answers of retrying callers reach their deadlines",
            pool,
            day: long_answers,
            policy: AdmissionPolicy { completion_chance: 0.7, ..default_policy() },
            without_feature: default_policy(),
            bounds: Bounds { score: 0.45, expired: 0.06 },
        },
        SurgeCase {
            name: "a fifth of the engines is lost for five seconds during a surge",
            pool: PoolModel { lost: Some((5, 18_000)), back_ms: 23_000, ..pool },
            day: WorkloadParams::for_23_hosts,
            policy: default_policy(),
            without_feature: no_variance,
            bounds: Bounds { score: 0.75, expired: 0.01 },
        },
        SurgeCase {
            name: "one workspace at twelve times its load",
            pool: PoolModel::for_83_hosts(),
            day: |seed| WorkloadParams { per_s: 44.0, ..WorkloadParams::for_83_hosts(seed, 12.0) },
            policy: default_policy(),
            without_feature: no_variance,
            bounds: Bounds { score: 0.9, expired: 0.01 },
        },
    ]
}

#[expect(clippy::cast_precision_loss, reason = "some thousand callers")]
fn sum(pool: PoolModel, policy: AdmissionPolicy, loads: &[Vec<Arrival>]) -> DaySum {
    let outcomes: Vec<Outcome> = loads.iter().map(|load| simulate(pool, policy, load)).collect();
    let each = outcomes.iter().zip(loads);
    let score = each.map(|(outcome, load)| outcome.score(load.len())).sum::<f64>();
    let expired = outcomes.iter().map(|outcome| outcome.expired).sum::<usize>();
    let callers = loads.iter().map(Vec::len).sum::<usize>();
    DaySum { score: score / loads.len() as f64, expired: expired as f64 / callers as f64 }
}

impl Bounds {
    fn are_met(&self, sum: &DaySum) -> bool {
        sum.score >= self.score && sum.expired <= self.expired
    }
}

#[test]
fn surges_meet_the_bounds() {
    for case in cases() {
        let loads: Vec<_> = SEEDS.map(|seed| generate_workload(&(case.day)(seed))).collect();
        let with = sum(case.pool, case.policy, &loads);
        let without = sum(case.pool, case.without_feature, &loads);
        assert!(case.bounds.are_met(&with), "{}: {with:?}", case.name);
        assert!(
            !case.bounds.are_met(&without),
            "{}: also met by the policy without the feature: {without:?}",
            case.name
        );
    }
}

/// Callers that retry during the surge in which they were rejected are rejected for good.
#[test]
fn late_retries_are_served() {
    let recorded = parse_trace(include_str!("../loads/double_burst.csv"));
    let late = AdmissionPolicy { come_back_from: 0.3, ..default_policy() };
    let refused = |policy| simulate(PoolModel::default(), policy, &recorded).rejected_twice;
    let (with, without) = (refused(late), refused(default_policy()));
    assert!(with <= 20, "{with} refused twice");
    assert!(without > 20, "also met by the policy without the feature: {without}");
}

/// In order of arrival, a few long answers take the memory of many short ones.
#[test]
fn cheap_streams_are_placed_first() {
    let by_cost = AdmissionPolicy { by_cost: true, ..default_policy() };
    let recorded = parse_trace(include_str!("../loads/double_burst.csv"));
    let with = simulate(PoolModel::default(), by_cost, &recorded);
    let without = simulate(PoolModel::default(), default_policy(), &recorded);
    assert!(with.in_time >= 1_815, "{with:?}");
    assert!(without.in_time < 1_815, "also met by the policy without the feature: {without:?}");
    let (large, served) = with.largest;
    assert!(served * 2 >= large, "{served} of {large} large answers");
}

/// Ordering by memory cost must not override the priorities of the routes.
#[test]
fn urgent_routes_are_served_first() {
    let by_cost = AdmissionPolicy { by_cost: true, ..default_policy() };
    let outcome = simulate(
        PoolModel::for_23_hosts(),
        by_cost,
        &generate_workload(&WorkloadParams::for_23_hosts(1)),
    );
    let [urgent, other] = outcome.by_priority.map(|(came, served)| served * 1_000 / came);
    assert!(other <= urgent + 50, "{urgent} of 1,000 urgent ones and {other} of others");
}
