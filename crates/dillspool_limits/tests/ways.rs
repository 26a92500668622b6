//! Three ways to keep what a backend server takes, side by side: how much of it is used, and how far it is passed.
//!
//! Hosts ask three times what the server takes, some of them ten times as often as others, as callers come to
//! them. What is refused goes elsewhere. `cargo test -p dillspool_limits --test ways -- --nocapture` prints the
//! table that `docs/design/limits.md` has.

use std::time::Duration;

use dillspool_limits::{
    LimitHolder, LimitRate, LocalQuota, RateVersion, SpendDecision, SpendRequest,
};
use dillspool_moment::Moment;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the model.
const STEP: Duration = Duration::from_millis(10);
/// Steps that are played, and those after which the beginning is over.
const STEPS: u32 = 6_000;
const SETTLED: u32 = 1_000;
/// Steps of the window over which a backend server counts.
const WINDOW: usize = 400;
/// Steps between two words of a holder, and between two reports of what hosts were asked.
const WORD_STEPS: u32 = 40;
const REPORT_STEPS: u32 = 100;
/// How often the server's limit is asked for.
const DEMAND: f64 = 3.0;
/// How much more often the busiest hosts are asked than the idlest.
const SPREAD: f64 = 10.0;

/// How a fleet keeps a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Each host an equal part.
    EqualParts,
    /// Each host a part in proportion to what it was asked in the second before.
    PartsByDemand,
    /// One host grants each send.
    OneHolder,
}

struct WayHost {
    parts: LocalQuota,
    /// Requests a second that come to it.
    asked_per_s: f64,
    /// Requests that came to it since its last report.
    asked: f64,
    /// Its part by its last report.
    part: f64,
    /// What it may send, where its part follows the demand.
    balance: f64,
    closed_until: Moment,
}

struct Outcome {
    /// Part of the limit that was used.
    used: f64,
    /// Largest window, as a part of what the platform allows.
    largest: f64,
    /// Questions to another host for each request that was sent.
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

fn hosts(count: usize, per_s: f64, random: &mut SmallRng) -> Vec<WayHost> {
    let weights: Vec<f64> = (0..count).map(|_host| random.random_range(1.0..SPREAD)).collect();
    let sum: f64 = weights.iter().sum();
    let host = |weight: f64| WayHost {
        parts: LocalQuota::for_backend_servers(random.random_range(0.0..1.0), moment(0)),
        asked_per_s: DEMAND * per_s * weight / sum,
        asked: 0.0,
        part: 0.0,
        balance: 0.0,
        closed_until: moment(0),
    };
    weights.into_iter().map(host).collect()
}

/// Gives each host the part of what was asked of it.
#[expect(clippy::cast_precision_loss, reason = "hosts are counted in hundreds")]
fn share_by_demand(hosts: &mut [WayHost]) {
    let sum: f64 = hosts.iter().map(|host| host.asked).sum();
    let count = hosts.len() as f64;
    for host in hosts {
        host.part = if sum > 0.0 { host.asked / sum } else { 1.0 / count };
        host.asked = 0.0;
    }
}

/// Plays a way.
fn play(way: Way, count: usize, per_s: f64) -> Outcome {
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
            if step == 0 || (way == Way::EqualParts && step % WORD_STEPS == 0 && step < WORD_STEPS)
            {
                host.parts.record_heartbeat(count, now);
            }
            let gain = per_s * host.part * STEP.as_secs_f64();
            host.balance = (host.balance + gain).min(per_s * host.part);
            if random.random_range(0.0..1.0) >= host.asked_per_s * STEP.as_secs_f64() {
                continue;
            }
            host.asked += 1.0;
            let is_granted = match way {
                Way::EqualParts => host.parts.spend(&request, now) == Some(SpendDecision::Allowed),
                Way::PartsByDemand => {
                    let is_granted = host.balance > 0.0;
                    host.balance -= f64::from(u8::from(is_granted));
                    is_granted
                }
                Way::OneHolder if host.closed_until > now => false,
                Way::OneHolder => {
                    questions += 1.0;
                    match holder.spend(&request, now) {
                        SpendDecision::Allowed => true,
                        SpendDecision::Refused { come_back } => {
                            host.closed_until = now + come_back;
                            false
                        }
                    }
                }
            };
            granted += f64::from(u8::from(is_granted));
        }
        if step >= SETTLED {
            sent.push(granted);
        }
    }
    let total: f64 = sent.iter().sum();
    let span = (STEP * (STEPS - SETTLED)).as_secs_f64();
    let largest: f64 = sent.windows(WINDOW).map(|it| it.iter().sum()).fold(0.0, f64::max);
    Outcome {
        used: total / (per_s * span),
        largest: largest / (6.0 * per_s + 5.0),
        questions: questions / total.max(1.0),
    }
}

struct WayCase {
    hosts: usize,
    per_s: f64,
}

const CASES: [WayCase; 9] = [
    WayCase { hosts: 7, per_s: 0.5 },
    WayCase { hosts: 7, per_s: 5.7 },
    WayCase { hosts: 7, per_s: 60.0 },
    WayCase { hosts: 60, per_s: 0.5 },
    WayCase { hosts: 60, per_s: 5.7 },
    WayCase { hosts: 60, per_s: 60.0 },
    WayCase { hosts: 295, per_s: 0.5 },
    WayCase { hosts: 295, per_s: 5.7 },
    WayCase { hosts: 295, per_s: 60.0 },
];

/// Part of what a backend server takes that is used at least.
const LEAST_USED: f64 = 0.9;

#[test]
fn one_holder_uses_what_there_is_and_passes_nothing() {
    println!("hosts   per s   way             used   largest window   questions a send");
    for case in &CASES {
        for way in [Way::EqualParts, Way::PartsByDemand, Way::OneHolder] {
            let Outcome { used, largest, questions } = play(way, case.hosts, case.per_s);
            let WayCase { hosts, per_s } = case;
            println!(
                "{hosts:>5}  {per_s:>6}   {way:<14?}  {used:>5.2}  {largest:>15.2}  {questions:>17.2}"
            );
            if way == Way::OneHolder {
                assert!(used >= LEAST_USED, "{hosts} hosts, {per_s} a second: {used}");
                assert!(largest <= 1.0, "{hosts} hosts, {per_s} a second: {largest}");
            }
        }
    }
}
