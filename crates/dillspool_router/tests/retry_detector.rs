//! Which callers have come back, by the times that they and others name.

use std::time::Duration;

use dillspool_router::RetryDetector;

#[derive(Clone, Copy)]
enum Seen {
    /// A caller that names so much time, in ms.
    Names(u64),
    /// A refusal.
    Refused,
    /// A pause, in ms.
    Pause(u64),
}

use Seen::{Names, Pause, Refused};

struct PatienceCase {
    name: &'static str,
    seen: &'static [Seen],
    /// What the last caller named, and what it has spent by then.
    then: u64,
    spent_ms: u64,
}

async fn play(detector: &RetryDetector, seen: &[Seen]) {
    for step in seen {
        match step {
            Names(left) => {
                detector.record_request(&"route".into(), Duration::from_millis(*left));
            }
            Refused => detector.record_refusal(&"route".into()),
            Pause(time) => tokio::time::sleep(Duration::from_millis(*time)).await,
        }
    }
}

#[tokio::test(start_paused = true)]
async fn callers_that_name_little_have_come_back_if_any_were_refused() {
    let case = |name, seen, then, spent_ms| PatienceCase { name, seen, then, spent_ms };
    let cases = [
        case("the first caller", &[], 14_000, 0),
        case("one that was refused", &[Names(14_000), Refused, Pause(4_000)], 9_900, 4_100),
        case("one that names a little less", &[Names(14_000), Refused], 12_000, 0),
        case("nobody was refused", &[Names(14_000)], 9_900, 0),
        case(
            "one refused of many that name little",
            &[Names(14_000), Names(8_000), Names(9_000), Names(8_500), Names(9_100), Refused],
            9_900,
            0,
        ),
        case("refused long ago", &[Names(14_000), Refused, Pause(60_000)], 9_900, 0),
        case("callers became more patient", &[Names(14_000), Refused], 20_000, 0),
        case(
            "callers became less patient, long ago",
            &[Names(14_000), Pause(130_000), Refused],
            3_000,
            0,
        ),
        case(
            "the longest is named again and again",
            &[Names(14_000), Pause(100_000), Names(13_990), Pause(100_000), Refused],
            3_000,
            11_000,
        ),
        case("a refusal before any caller was heard of", &[Refused, Names(14_000)], 9_000, 5_000),
    ];
    for case in cases {
        let detector = RetryDetector::default();
        play(&detector, case.seen).await;
        let spent = detector.record_request(&"route".into(), Duration::from_millis(case.then));
        assert_eq!(spent, Duration::from_millis(case.spent_ms), "{}", case.name);
    }
}

/// A burst in which some are refused, of callers whose patience differs by 15 in 100: those who come
/// for the first time must not yield to each other.
#[tokio::test(start_paused = true)]
async fn callers_of_different_patience_are_told_from_those_that_came_back() {
    let detector = RetryDetector::default();
    let patience = |number: u64| 14_000 - number * 37 % 21 * 100;
    let (mut fresh_as_returned, mut returned) = (0, 0);
    for number in 0..200 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let first =
            detector.record_request(&"route".into(), Duration::from_millis(patience(number)));
        fresh_as_returned += u32::from(!first.is_zero());
        if number % 5 == 0 {
            detector.record_refusal(&"route".into());
            let left = patience(number) * 2 / 3;
            let again = detector.record_request(&"route".into(), Duration::from_millis(left));
            returned += u32::from(!again.is_zero());
        }
    }
    assert_eq!((fresh_as_returned, returned), (0, 40));
}
