//! All hosts start at once, and none knows how many others there are.
//!
//! Replays what 60 hosts did after a power failure of all of them: the early ones chose different
//! holders, each of which believed that it was the only one, and all moved to the best holder at
//! their next look, two seconds later. Meanwhile the workspace requested more than its limit.

use std::time::Duration;

use dillspool_limits::{LimitHolder, LimitRate, RateVersion, SpendDecision, SpendRequest};
use dillspool_moment::Moment;

/// Step of the replay, in ms.
const STEP_MS: u64 = 20;
/// Window of the limit in steps, and what is allowed beyond it: a tenth, plus the slack.
const WINDOW_STEPS: usize = 400;
const EXCESS: f64 = 0.1;
const SLACK: f64 = 60_000.0;
/// Steps during which hosts find their first holder, and the best one.
const FIRST_HOLDER_STEPS: std::ops::Range<u64> = 0..15;
const BEST_HOLDER_STEPS: std::ops::Range<u64> = 105..125;

struct ColdStartCase {
    name: &'static str,
    /// Number of hosts that ask each holder at first; the first holder is the best one.
    hosts_per_holder: &'static [usize],
    per_s: f64,
}

fn at(step: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(step * STEP_MS))
}

/// Spreads the hosts evenly over a span of steps.
fn step_of(host: usize, hosts: usize, span: &std::ops::Range<u64>) -> u64 {
    let length = usize::try_from(span.end - span.start).expect("a short span");
    span.start + u64::try_from(host * length / hosts).expect("few hosts")
}

/// Amount granted by all holders together in each step.
fn replay(case: &ColdStartCase) -> Vec<f64> {
    let limit = LimitRate { per_s: case.per_s, burst: case.per_s };
    let mut holders: Vec<LimitHolder> =
        case.hosts_per_holder.iter().map(|_hosts| LimitHolder::new(SLACK, at(0))).collect();
    let mut granted = Vec::new();
    for step in 0..2 * u64::try_from(WINDOW_STEPS).expect("few steps") {
        for (number, hosts_per_holder) in case.hosts_per_holder.iter().enumerate() {
            for host in 0..*hosts_per_holder {
                if step_of(host, *hosts_per_holder, &FIRST_HOLDER_STEPS) == step {
                    holders[number].join(None, at(step));
                }
                if number > 0 && step_of(host, *hosts_per_holder, &BEST_HOLDER_STEPS) == step {
                    let reported_hosts = holders[number].known_hosts(at(step));
                    holders[number].leave(at(step));
                    holders[0].join(Some(reported_hosts), at(step));
                }
            }
        }
        let mut sum = 0.0;
        for (number, holder) in holders.iter_mut().enumerate() {
            let is_asked = number == 0 || step <= BEST_HOLDER_STEPS.end;
            for amount in [9_000.0, 200.0, 200.0] {
                let request = SpendRequest {
                    subject: "w".into(),
                    rate: limit,
                    version: RateVersion::Config(1),
                    amount,
                    priority: 0,
                    unreported: 0.0,
                };
                if is_asked && holder.spend(&request, at(step)) == SpendDecision::Allowed {
                    sum += amount;
                }
            }
        }
        granted.push(sum);
    }
    granted
}

#[test]
fn holders_unaware_of_each_other_keep_the_limit() {
    let case = |name, hosts_per_holder, per_s| ColdStartCase { name, hosts_per_holder, per_s };
    let cases = [
        case("one holder", &[60][..], 80_000.0),
        case("two holders, half of the hosts each", &[31, 28], 80_000.0),
        case("a larger limit", &[31, 28], 300_000.0),
        case("a smaller limit", &[36, 23], 29_000.0),
        case("the best holder has few hosts at first", &[1, 58], 80_000.0),
    ];
    for case in cases {
        let granted = replay(&case);
        let allowed = case.per_s * 9.0 * (1.0 + EXCESS) + SLACK;
        let largest =
            granted.windows(WINDOW_STEPS).map(|window| window.iter().sum()).fold(0.0, f64::max);
        assert!(largest <= allowed, "{}: {largest} of {allowed}", case.name);
        // The limit must not be kept by granting next to nothing.
        let later: f64 = granted[WINDOW_STEPS..].iter().sum();
        assert!(later >= case.per_s * 7.9, "{}: {later} in the second window", case.name);
    }
}
