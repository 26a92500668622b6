//! Tests the detection of retries from the time budgets that callers send.

use std::time::Duration;

use dillspool_router::RetryDetector;

#[derive(Clone, Copy)]
enum Step {
    /// A request with this time budget in ms.
    Budget(u64),
    Refused,
    /// A pause in ms.
    Pause(u64),
}

use Step::{Budget, Pause, Refused};

struct BudgetCase {
    name: &'static str,
    steps: &'static [Step],
    /// Time budget of the last request, and the time it has spent on earlier attempts.
    last_budget: u64,
    spent_ms: u64,
}

async fn replay(detector: &RetryDetector, steps: &[Step]) {
    for step in steps {
        match step {
            Budget(left) => {
                detector.record_request(&"route".into(), Duration::from_millis(*left));
            }
            Refused => detector.record_refusal(&"route".into()),
            Pause(time) => tokio::time::sleep(Duration::from_millis(*time)).await,
        }
    }
}

#[tokio::test(start_paused = true)]
async fn short_budgets_are_retries_if_requests_were_refused() {
    let case =
        |name, steps, last_budget, spent_ms| BudgetCase { name, steps, last_budget, spent_ms };
    let cases = [
        case("the first request", &[], 14_000, 0),
        case("retry after a refusal", &[Budget(14_000), Refused, Pause(4_000)], 9_900, 4_100),
        case("slightly smaller budget", &[Budget(14_000), Refused], 12_000, 0),
        case("no refusals", &[Budget(14_000)], 9_900, 0),
        case(
            "one refusal, many short budgets",
            &[Budget(14_000), Budget(8_000), Budget(9_000), Budget(8_500), Budget(9_100), Refused],
            9_900,
            0,
        ),
        case("refused long ago", &[Budget(14_000), Refused, Pause(60_000)], 9_900, 0),
        case("longer budgets", &[Budget(14_000), Refused], 20_000, 0),
        case(
            "shorter budgets for a long time",
            &[Budget(14_000), Pause(130_000), Refused],
            3_000,
            0,
        ),
        case(
            "the maximum is confirmed repeatedly",
            &[Budget(14_000), Pause(100_000), Budget(13_990), Pause(100_000), Refused],
            3_000,
            11_000,
        ),
        case("refusal before the first request", &[Refused, Budget(14_000)], 9_000, 5_000),
    ];
    for case in cases {
        let detector = RetryDetector::default();
        replay(&detector, case.steps).await;
        let spent =
            detector.record_request(&"route".into(), Duration::from_millis(case.last_budget));
        assert_eq!(spent, Duration::from_millis(case.spent_ms), "{}", case.name);
    }
}

/// In a burst with some refusals, from callers whose budgets differ by 15 %, first attempts must
/// not be taken for retries, since these yield to others.
#[tokio::test(start_paused = true)]
async fn different_budgets_are_not_mistaken_for_retries() {
    let detector = RetryDetector::default();
    let time_budget = |number: u64| 14_000 - number * 37 % 21 * 100;
    let (mut false_positives, mut retries) = (0, 0);
    for number in 0..200 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let first =
            detector.record_request(&"route".into(), Duration::from_millis(time_budget(number)));
        false_positives += u32::from(!first.is_zero());
        if number % 5 == 0 {
            detector.record_refusal(&"route".into());
            let left = time_budget(number) * 2 / 3;
            let retry = detector.record_request(&"route".into(), Duration::from_millis(left));
            retries += u32::from(!retry.is_zero());
        }
    }
    assert_eq!((false_positives, retries), (0, 40));
}
