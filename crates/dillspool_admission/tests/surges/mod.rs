//! Surges upon the pools of the two deployments, on days that are made from seeds.
//!
//! Each case names a policy that lacks the decision it is about, with which the same days must miss
//! the case's bounds.

use dillspool_admission::AdmissionPolicy;

use super::model::{Arrival, DayTerms, Outcome, PoolModel, day, load, play};

/// Days of a case.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// What the days of a case must come to, as parts of all callers.
struct Bounds {
    score: f64,
    /// Streams that ran into their deadline at most.
    expired: f64,
}

struct SurgeCase {
    name: &'static str,
    pool: PoolModel,
    day: fn(u64) -> DayTerms,
    policy: AdmissionPolicy,
    without: AdmissionPolicy,
    bounds: Bounds,
}

/// What became of the callers of some days.
#[derive(Debug)]
struct DaySum {
    score: f64,
    expired: f64,
}

fn usual() -> AdmissionPolicy {
    AdmissionPolicy::default()
}

fn long_answers(seed: u64) -> DayTerms {
    DayTerms { events: 140.0, per_s: 18.0, ..DayTerms::of_23_hosts(seed) }
}

fn cases() -> Vec<SurgeCase> {
    let pool = PoolModel::of_23_hosts();
    let unforeseen = AdmissionPolicy { memory_deviations: 0.0, ..usual() };
    vec![
        SurgeCase {
            name: "long answers of callers that came back run into their deadlines",
            pool,
            day: long_answers,
            policy: AdmissionPolicy { completion_chance: 0.7, ..usual() },
            without: usual(),
            bounds: Bounds { score: 0.45, expired: 0.06 },
        },
        SurgeCase {
            name: "a fifth of the engines is gone for five seconds of a surge",
            pool: PoolModel { lost: Some((5, 18_000)), back_ms: 23_000, ..pool },
            day: DayTerms::of_23_hosts,
            policy: usual(),
            without: unforeseen,
            bounds: Bounds { score: 0.75, expired: 0.01 },
        },
        SurgeCase {
            name: "one workspace at twelve times its load",
            pool: PoolModel::of_83_hosts(),
            day: |seed| DayTerms { per_s: 44.0, ..DayTerms::of_83_hosts(seed, 12.0) },
            policy: usual(),
            without: unforeseen,
            bounds: Bounds { score: 0.9, expired: 0.01 },
        },
    ]
}

#[expect(clippy::cast_precision_loss, reason = "some thousand callers")]
fn sum(pool: PoolModel, policy: AdmissionPolicy, loads: &[Vec<Arrival>]) -> DaySum {
    let outcomes: Vec<Outcome> = loads.iter().map(|load| play(pool, policy, load)).collect();
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
fn surges_are_served_as_far_as_memory_allows() {
    for case in cases() {
        let loads: Vec<_> = SEEDS.map(|seed| day(&(case.day)(seed))).collect();
        let with = sum(case.pool, case.policy, &loads);
        let without = sum(case.pool, case.without, &loads);
        assert!(case.bounds.are_met(&with), "{}: {with:?}", case.name);
        assert!(!case.bounds.are_met(&without), "{}: also without: {without:?}", case.name);
    }
}

/// Callers that come back into the surge that they met are refused for good.
#[test]
fn callers_that_come_back_late_find_memory() {
    let recorded = load(include_str!("../loads/double_burst.csv"));
    let late = AdmissionPolicy { come_back_from: 0.3, ..usual() };
    let refused = |policy| play(PoolModel::default(), policy, &recorded).refused_twice;
    let (with, without) = (refused(late), refused(usual()));
    assert!(with <= 20, "{with} refused twice");
    assert!(without > 20, "also without: {without}");
}

/// In the order of arrival, a few long answers take the memory of many short ones.
#[test]
fn streams_that_take_little_memory_go_first() {
    let by_cost = AdmissionPolicy { by_cost: true, ..usual() };
    let recorded = load(include_str!("../loads/double_burst.csv"));
    let with = play(PoolModel::default(), by_cost, &recorded);
    let without = play(PoolModel::default(), usual(), &recorded);
    assert!(with.in_time >= 1_815, "{with:?}");
    assert!(without.in_time < 1_815, "also without: {without:?}");
    let (large, served) = with.largest;
    assert!(served * 2 >= large, "{served} of {large} large answers");
}

/// The order by memory stays within the ranks of the routes.
#[test]
fn urgent_routes_are_served_first() {
    let by_cost = AdmissionPolicy { by_cost: true, ..usual() };
    let outcome = play(PoolModel::of_23_hosts(), by_cost, &day(&DayTerms::of_23_hosts(1)));
    let [urgent, other] = outcome.by_priority.map(|(came, served)| served * 1_000 / came);
    assert!(other <= urgent + 50, "{urgent} of 1,000 urgent ones and {other} of others");
}
