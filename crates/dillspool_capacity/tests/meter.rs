//! What a host learns of its requests.

use std::time::Duration;

use dillspool_capacity::{DemandMeter, EngineCapacity, required_prefill_engines};
use tokio::task::JoinSet;

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Ten requests one after another, each held for three seconds.
async fn play(meter: &DemandMeter) {
    for _request in 0..10 {
        meter.record_prompt(&"pool".into(), 3_000);
        meter.record_prefill(&"pool".into(), 3_000, seconds(0.1));
        let ticket = meter.hold_memory(&"pool".into(), 4_000);
        tokio::time::sleep(seconds(3.0)).await;
        drop(ticket);
    }
}

#[tokio::test(start_paused = true)]
async fn nothing_is_known_before_an_answer_has_ended() {
    let meter = DemandMeter::default();
    assert_eq!(meter.estimate(&"pool".into()), None);
    meter.record_prompt(&"pool".into(), 3_000);
    meter.record_prefill(&"pool".into(), 3_000, seconds(0.1));
    let _ticket = meter.hold_memory(&"pool".into(), 4_000);
    tokio::time::sleep(seconds(1.0)).await;
    assert_eq!(meter.estimate(&"pool".into()), None);
}

#[tokio::test(start_paused = true)]
async fn the_means_of_what_passed_are_read() {
    let meter = DemandMeter::default();
    play(&meter).await;
    let reading = meter.estimate(&"pool".into()).expect("a reading");
    assert!((reading.prefill_s - 0.1).abs() < 1e-6, "{reading:?}");
    assert!((reading.held_s - 3.0).abs() < 0.2, "{reading:?}");
    assert!((reading.held_token_s - 12_000.0).abs() < 800.0, "{reading:?}");
    assert_eq!(meter.estimate(&"other".into()), None);
}

#[tokio::test(start_paused = true)]
async fn answers_that_still_run_count_too() {
    let meter = DemandMeter::default();
    play(&meter).await;
    let short = meter.estimate(&"pool".into()).expect("a reading").held_s;
    let _long: Vec<_> = (0..10).map(|_| meter.hold_memory(&"pool".into(), 4_000)).collect();
    tokio::time::sleep(seconds(10.0)).await;
    let long = meter.estimate(&"pool".into()).expect("a reading").held_s;
    assert!(long > 2.0 * short, "{short} {long}");
}

struct StartCase {
    name: &'static str,
    /// Seconds since the first request.
    at_s: f64,
    /// Bounds of the prefill engines that 35 engines are found to need; 9.0 from a full window.
    need: std::ops::RangeInclusive<f64>,
}

/// A load that has just begun: few answers have lived long enough to end, and those that run must not make
/// answers look twice as long, since the pool would then turn prefill engines away that the first burst needs.
#[tokio::test(start_paused = true)]
async fn a_load_that_has_just_begun_looks_as_it_does_later() {
    const MEMORY: EngineCapacity = EngineCapacity { memory_tokens: 68_023, slots: 12 };
    let cases = [
        StartCase { name: "four seconds in", at_s: 4.0, need: 7.5..=11.0 },
        StartCase { name: "six seconds in", at_s: 6.0, need: 7.5..=10.5 },
        StartCase { name: "half a minute in", at_s: 30.0, need: 8.0..=10.0 },
    ];
    for case in cases {
        let meter = DemandMeter::default();
        let mut answers = JoinSet::new();
        let began = tokio::time::Instant::now();
        // Lives from 1.7 to 5.3 s, 3.5 s in the mean.
        for number in 0_u32.. {
            if began.elapsed() >= seconds(case.at_s) {
                break;
            }
            meter.record_prompt(&"pool".into(), 5_200);
            meter.record_prefill(&"pool".into(), 5_200, seconds(0.106));
            let ticket = meter.hold_memory(&"pool".into(), 6_700);
            let life = seconds(1.7 + 0.4 * f64::from(number * 7 % 10));
            answers.spawn(async move {
                tokio::time::sleep(life).await;
                drop(ticket);
            });
            tokio::time::sleep(seconds(1.0 / 32.0)).await;
        }
        let reading = meter.estimate(&"pool".into()).expect("a reading");
        let need = required_prefill_engines(35, &reading, MEMORY);
        assert!(case.need.contains(&need), "{}: {need} {reading:?}", case.name);
    }
}

struct PaceCase {
    name: &'static str,
    /// How long prefills of 1,000 tokens take, in ms.
    took_ms: &'static [u64],
    read_ms: f64,
}

#[tokio::test(start_paused = true)]
async fn neither_queues_nor_cached_prompts_decide_the_pace() {
    let cases = [
        PaceCase { name: "all alike", took_ms: &[30, 30, 30, 30], read_ms: 30.0 },
        PaceCase {
            name: "half wait",
            took_ms: &[30, 400, 30, 900, 31, 250, 30, 30],
            read_ms: 30.0,
        },
        PaceCase {
            name: "one was cached",
            took_ms: &[2, 30, 31, 30, 30, 32, 90, 200],
            read_ms: 30.0,
        },
    ];
    for case in cases {
        let meter = DemandMeter::default();
        meter.record_prompt(&"pool".into(), 1_000);
        for took in case.took_ms {
            meter.record_prefill(&"pool".into(), 1_000, Duration::from_millis(*took));
        }
        drop(meter.hold_memory(&"pool".into(), 1_000));
        let reading = meter.estimate(&"pool".into()).expect("a reading");
        assert!(
            (reading.prefill_s * 1000.0 - case.read_ms).abs() < 1.5,
            "{}: {reading:?}",
            case.name
        );
    }
}

#[tokio::test(start_paused = true)]
async fn what_is_old_counts_for_less() {
    let meter = DemandMeter::default();
    play(&meter).await;
    tokio::time::sleep(seconds(300.0)).await;
    let reading = meter.estimate(&"pool".into()).expect("a reading");
    assert!(reading.prompts < 0.1, "{reading:?}");
    for _request in 0..4 {
        meter.record_prompt(&"pool".into(), 9_000);
        meter.record_prefill(&"pool".into(), 9_000, seconds(0.3));
    }
    let later = meter.estimate(&"pool".into()).expect("a reading");
    assert!(later.prefill_s > 2.8 * reading.prefill_s, "{reading:?} {later:?}");
}
