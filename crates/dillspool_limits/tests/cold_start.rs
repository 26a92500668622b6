//! All hosts start at once, and none knows how many others there are.
//!
//! Replays what 60 hosts did after all had lost their power: those that were there first found different
//! hosts to count a limit, each of which took itself for the only one, and found the best of them at
//! their next look, two seconds later. All the while the workspace asked for more than its limit.

use std::time::Duration;

use dillspool_limits::{LimitHolder, LimitRate, RateVersion, SpendDecision, SpendRequest};
use dillspool_moment::Moment;

/// Step of the replay, in ms.
const STEP_MS: u64 = 20;
/// Window of the limit, in steps, and what is allowed beyond it: a tenth, and so much.
const WINDOW_STEPS: usize = 400;
const EXCESS: f64 = 0.1;
const SLACK: f64 = 60_000.0;
/// Steps at which hosts find their first holder, and the best one.
const FOUND: std::ops::Range<u64> = 0..15;
const MOVED: std::ops::Range<u64> = 105..125;

struct StartCase {
    name: &'static str,
    /// Hosts that ask each holder first; the first one is the best.
    served: &'static [usize],
    per_s: f64,
}

fn at(step: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(step * STEP_MS))
}

/// The step of the replay at which one of so many hosts does something.
fn step_of(host: usize, hosts: usize, span: &std::ops::Range<u64>) -> u64 {
    let length = usize::try_from(span.end - span.start).expect("a short span");
    span.start + u64::try_from(host * length / hosts).expect("few hosts")
}

/// What all holders grant in each step.
fn replay(case: &StartCase) -> Vec<f64> {
    let limit = LimitRate { per_s: case.per_s, burst: case.per_s };
    let mut holders: Vec<LimitHolder> =
        case.served.iter().map(|_served| LimitHolder::new(SLACK, at(0))).collect();
    let mut granted = Vec::new();
    for step in 0..2 * u64::try_from(WINDOW_STEPS).expect("few steps") {
        for (number, served) in case.served.iter().enumerate() {
            for host in 0..*served {
                if step_of(host, *served, &FOUND) == step {
                    holders[number].join(None, at(step));
                }
                if number > 0 && step_of(host, *served, &MOVED) == step {
                    let told = holders[number].known_hosts(at(step));
                    holders[number].leave(at(step));
                    holders[0].join(Some(told), at(step));
                }
            }
        }
        let mut sum = 0.0;
        for (number, holder) in holders.iter_mut().enumerate() {
            let is_asked = number == 0 || step <= MOVED.end;
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
fn holders_that_do_not_know_of_each_other_keep_the_limit() {
    let case = |name, served, per_s| StartCase { name, served, per_s };
    let cases = [
        case("one holder", &[60][..], 80_000.0),
        case("two holders, half of the hosts each", &[31, 28], 80_000.0),
        case("a larger limit", &[31, 28], 300_000.0),
        case("a smaller limit", &[36, 23], 29_000.0),
        case("the best has few at first", &[1, 58], 80_000.0),
    ];
    for case in cases {
        let granted = replay(&case);
        let allowed = case.per_s * 9.0 * (1.0 + EXCESS) + SLACK;
        let largest =
            granted.windows(WINDOW_STEPS).map(|window| window.iter().sum()).fold(0.0, f64::max);
        assert!(largest <= allowed, "{}: {largest} of {allowed}", case.name);
        // Nor is the limit kept by granting next to nothing.
        let later: f64 = granted[WINDOW_STEPS..].iter().sum();
        assert!(later >= case.per_s * 7.9, "{}: {later} in the second window", case.name);
    }
}
