//! What a first attempt's time is, by the times that callers named before.

use std::time::Duration;

use dillspool_router::PatienceTable;

struct PatienceCase {
    name: &'static str,
    /// Pauses before a caller and the time that it names, in ms; the last one is asked about.
    named: &'static [(u64, u64)],
    first_attempt_ms: u64,
}

#[tokio::test(start_paused = true)]
async fn the_longest_time_named_lately_is_that_of_a_first_attempt() {
    let cases = [
        PatienceCase { name: "the first caller", named: &[(0, 14_000)], first_attempt_ms: 14_000 },
        PatienceCase {
            name: "one that came back",
            named: &[(0, 14_000), (4_000, 9_900)],
            first_attempt_ms: 14_000,
        },
        PatienceCase {
            name: "callers became more patient",
            named: &[(0, 14_000), (10, 20_000)],
            first_attempt_ms: 20_000,
        },
        PatienceCase {
            name: "callers became less patient, long ago",
            named: &[(0, 14_000), (130_000, 3_000)],
            first_attempt_ms: 3_000,
        },
        PatienceCase {
            name: "the longest is named again and again",
            named: &[(0, 14_000), (100_000, 13_990), (100_000, 3_000)],
            first_attempt_ms: 14_000,
        },
    ];
    for case in cases {
        let table = PatienceTable::default();
        let mut found = Duration::ZERO;
        for (pause_ms, left_ms) in case.named {
            tokio::time::sleep(Duration::from_millis(*pause_ms)).await;
            found = table.note(&"route".into(), Duration::from_millis(*left_ms));
        }
        assert_eq!(found, Duration::from_millis(case.first_attempt_ms), "{}", case.name);
    }
}
