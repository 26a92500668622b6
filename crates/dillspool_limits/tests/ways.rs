//! Compares three ways to enforce a backend server's limit: how much of it is used, and how far it
//! is exceeded.
//!
//! Hosts request three times the limit, some of them ten times as often as others, depending on
//! where clients connect. Refused requests go elsewhere. `docs/design/limits.md` has the table
//! printed by `cargo test -p dillspool_limits --test ways -- --nocapture`.

use std::time::Duration;

use dillspool_limits::{
    LimitHolder, LimitRate, LocalQuota, RateVersion, SpendDecision, SpendRequest,
};
use dillspool_moment::Moment;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time step of the model.
const STEP: Duration = Duration::from_millis(10);
/// Steps of a run, and those at its start that are not evaluated.
const STEPS: u32 = 6_000;
const WARM_UP_STEPS: u32 = 1_000;
/// Steps of the window over which a backend server counts.
const WINDOW_STEPS: usize = 400;
/// Steps between two heartbeats of a holder, and between two demand reports of the hosts.
const HEARTBEAT_STEPS: u32 = 40;
const REPORT_STEPS: u32 = 100;
/// Requests as a multiple of the limit.
const DEMAND: f64 = 3.0;
/// Highest request rate of a host relative to the lowest.
const MAX_RELATIVE_RATE: f64 = 10.0;

/// How a fleet enforces a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    /// Each host grants an equal share.
    EqualParts,
    /// Each host grants a share in proportion to its demand in the second before.
    PartsByDemand,
    /// One host grants each send.
    OneHolder,
}

struct SimulatedHost {
    quota: LocalQuota,
    /// Requests per second that arrive at the host.
    requests_per_s: f64,
    /// Requests that arrived since its last report.
    requested: f64,
    /// Its share by its last report.
    share: f64,
    /// Balance, if its share follows the demand.
    balance: f64,
    blocked_until: Moment,
}

struct SimulationOutcome {
    /// Fraction of the limit that was used.
    used: f64,
    /// Largest window, as a fraction of what the platform allows.
    largest: f64,
    /// Questions to the holder per request that was sent.
    questions: f64,
}

fn moment(step: u32) -> Moment {
    Moment::after_origin(STEP * step)
}

fn spend(per_s: f64) -> SpendRequest {
    SpendRequest {
        subject: "s".into(),
        rate: LimitRate { per_s, burst: per_s.max(1.0) },
        version: RateVersion::Config(1),
        amount: 1.0,
        priority: 0,
        unreported: 0.0,
    }
}

fn hosts(count: usize, per_s: f64, random: &mut SmallRng) -> Vec<SimulatedHost> {
    let weights: Vec<f64> =
        (0..count).map(|_host| random.random_range(1.0..MAX_RELATIVE_RATE)).collect();
    let sum: f64 = weights.iter().sum();
    let host = |weight: f64| SimulatedHost {
        quota: LocalQuota::for_backend_servers(random.random_range(0.0..1.0), moment(0)),
        requests_per_s: DEMAND * per_s * weight / sum,
        requested: 0.0,
        share: 0.0,
        balance: 0.0,
        blocked_until: moment(0),
    };
    weights.into_iter().map(host).collect()
}

/// Gives each host a share in proportion to its demand.
#[expect(clippy::cast_precision_loss, reason = "hosts are counted in hundreds")]
fn share_by_demand(hosts: &mut [SimulatedHost]) {
    let sum: f64 = hosts.iter().map(|host| host.requested).sum();
    let count = hosts.len() as f64;
    for host in hosts {
        host.share = if sum > 0.0 { host.requested / sum } else { 1.0 / count };
        host.requested = 0.0;
    }
}

/// Simulates one way of enforcing the limit.
fn simulate(strategy: Strategy, count: usize, per_s: f64) -> SimulationOutcome {
    let mut random = SmallRng::seed_from_u64(7);
    let mut hosts = hosts(count, per_s, &mut random);
    let mut holder = LimitHolder::for_backend_servers(moment(0));
    for _host in 0..count {
        holder.join(Some(count), moment(0));
    }
    let request = spend(per_s);
    let (mut sent, mut questions) = (Vec::new(), 0.0);
    for step in 0..STEPS {
        let now = moment(step);
        if step % REPORT_STEPS == 0 {
            share_by_demand(&mut hosts);
        }
        let mut granted = 0.0;
        for host in &mut hosts {
            if step == 0
                || (strategy == Strategy::EqualParts
                    && step % HEARTBEAT_STEPS == 0
                    && step < HEARTBEAT_STEPS)
            {
                host.quota.record_heartbeat(count, now);
            }
            let gain = per_s * host.share * STEP.as_secs_f64();
            host.balance = (host.balance + gain).min(per_s * host.share);
            if random.random_range(0.0..1.0) >= host.requests_per_s * STEP.as_secs_f64() {
                continue;
            }
            host.requested += 1.0;
            let is_granted = match strategy {
                Strategy::EqualParts => {
                    host.quota.spend(&request, now) == Some(SpendDecision::Allowed)
                }
                Strategy::PartsByDemand => {
                    let is_granted = host.balance > 0.0;
                    host.balance -= f64::from(u8::from(is_granted));
                    is_granted
                }
                Strategy::OneHolder if host.blocked_until > now => false,
                Strategy::OneHolder => {
                    questions += 1.0;
                    match holder.spend(&request, now) {
                        SpendDecision::Allowed => true,
                        SpendDecision::Refused { come_back } => {
                            host.blocked_until = now + come_back;
                            false
                        }
                    }
                }
            };
            granted += f64::from(u8::from(is_granted));
        }
        if step >= WARM_UP_STEPS {
            sent.push(granted);
        }
    }
    let total: f64 = sent.iter().sum();
    let span = (STEP * (STEPS - WARM_UP_STEPS)).as_secs_f64();
    let largest: f64 = sent.windows(WINDOW_STEPS).map(|it| it.iter().sum()).fold(0.0, f64::max);
    SimulationOutcome {
        used: total / (per_s * span),
        largest: largest / (6.0 * per_s + 5.0),
        questions: questions / total.max(1.0),
    }
}

struct StrategyCase {
    hosts: usize,
    per_s: f64,
}

const CASES: [StrategyCase; 9] = [
    StrategyCase { hosts: 7, per_s: 0.5 },
    StrategyCase { hosts: 7, per_s: 5.7 },
    StrategyCase { hosts: 7, per_s: 60.0 },
    StrategyCase { hosts: 60, per_s: 0.5 },
    StrategyCase { hosts: 60, per_s: 5.7 },
    StrategyCase { hosts: 60, per_s: 60.0 },
    StrategyCase { hosts: 295, per_s: 0.5 },
    StrategyCase { hosts: 295, per_s: 5.7 },
    StrategyCase { hosts: 295, per_s: 60.0 },
];

/// Minimum fraction of the limit that must be used.
const MIN_USED: f64 = 0.9;

#[test]
fn one_holder_uses_the_limit_without_exceeding_it() {
    println!("hosts   per s   way             used   largest window   questions a send");
    for case in &CASES {
        for strategy in [Strategy::EqualParts, Strategy::PartsByDemand, Strategy::OneHolder] {
            let SimulationOutcome { used, largest, questions } =
                simulate(strategy, case.hosts, case.per_s);
            let StrategyCase { hosts, per_s } = case;
            println!(
                "{hosts:>5}  {per_s:>6}   {strategy:<14?}  {used:>5.2}  {largest:>15.2}  {questions:>17.2}"
            );
            if strategy == Strategy::OneHolder {
                assert!(used >= MIN_USED, "{hosts} hosts, {per_s} a second: {used}");
                assert!(largest <= 1.0, "{hosts} hosts, {per_s} a second: {largest}");
            }
        }
    }
}
