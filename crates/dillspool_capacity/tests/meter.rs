//! Estimates from the requests of a host.

use std::time::Duration;

use dillspool_capacity::{DemandMeter, EngineCapacity, required_prefill_engines};
use tokio::task::JoinSet;

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Ten consecutive requests, each holding memory for three seconds.
async fn run_requests(meter: &DemandMeter) {
    for _request in 0..10 {
        meter.record_prompt(&"pool".into(), 3_000);
        meter.record_prefill(&"pool".into(), 3_000, seconds(0.1));
        let guard = meter.hold_memory(&"pool".into(), 4_000);
        tokio::time::sleep(seconds(3.0)).await;
        drop(guard);
    }
}

#[tokio::test(start_paused = true)]
async fn there_is_no_estimate_before_an_answer_completes() {
    let meter = DemandMeter::default();
    assert_eq!(meter.estimate(&"pool".into()), None);
    meter.record_prompt(&"pool".into(), 3_000);
    meter.record_prefill(&"pool".into(), 3_000, seconds(0.1));
    let _guard = meter.hold_memory(&"pool".into(), 4_000);
    tokio::time::sleep(seconds(1.0)).await;
    assert_eq!(meter.estimate(&"pool".into()), None);
}

#[tokio::test(start_paused = true)]
async fn the_estimate_has_the_means_of_the_observations() {
    let meter = DemandMeter::default();
    run_requests(&meter).await;
    let estimate = meter.estimate(&"pool".into()).expect("an estimate");
    assert!((estimate.prefill_s - 0.1).abs() < 1e-6, "{estimate:?}");
    assert!((estimate.held_s - 3.0).abs() < 0.2, "{estimate:?}");
    assert!((estimate.held_token_s - 12_000.0).abs() < 800.0, "{estimate:?}");
    assert_eq!(meter.estimate(&"other".into()), None);
}

#[tokio::test(start_paused = true)]
async fn running_answers_are_included() {
    let meter = DemandMeter::default();
    run_requests(&meter).await;
    let short = meter.estimate(&"pool".into()).expect("an estimate").held_s;
    let _long: Vec<_> = (0..10).map(|_| meter.hold_memory(&"pool".into(), 4_000)).collect();
    tokio::time::sleep(seconds(10.0)).await;
    let long = meter.estimate(&"pool".into()).expect("an estimate").held_s;
    assert!(long > 2.0 * short, "{short} {long}");
}

struct StartCase {
    name: &'static str,
    /// Seconds since the first request.
    at_s: f64,
    /// Bounds on the prefill engines required of 35; a full window gives 9.0.
    required: std::ops::RangeInclusive<f64>,
}

/// When a load has just begun, few answers have lived long enough to complete. Those still running
/// must not make answers look twice as long, since the pool would then remove prefill engines that
/// the first burst needs.
#[tokio::test(start_paused = true)]
async fn the_estimate_is_unbiased_at_the_start_of_a_load() {
    const CAPACITY: EngineCapacity = EngineCapacity { memory_tokens: 68_023, slots: 12 };
    let cases = [
        StartCase { name: "four seconds in", at_s: 4.0, required: 7.5..=11.0 },
        StartCase { name: "six seconds in", at_s: 6.0, required: 7.5..=10.5 },
        StartCase { name: "half a minute in", at_s: 30.0, required: 8.0..=10.0 },
    ];
    for case in cases {
        let meter = DemandMeter::default();
        let mut answers = JoinSet::new();
        let started_at = tokio::time::Instant::now();
        // Lifetimes from 1.7 to 5.3 s, with a mean of 3.5 s.
        for number in 0_u32.. {
            if started_at.elapsed() >= seconds(case.at_s) {
                break;
            }
            meter.record_prompt(&"pool".into(), 5_200);
            meter.record_prefill(&"pool".into(), 5_200, seconds(0.106));
            let guard = meter.hold_memory(&"pool".into(), 6_700);
            let lifetime = seconds(1.7 + 0.4 * f64::from(number * 7 % 10));
            answers.spawn(async move {
                tokio::time::sleep(lifetime).await;
                drop(guard);
            });
            tokio::time::sleep(seconds(1.0 / 32.0)).await;
        }
        let estimate = meter.estimate(&"pool".into()).expect("an estimate");
        let required = required_prefill_engines(35, &estimate, CAPACITY);
        assert!(case.required.contains(&required), "{}: {required} {estimate:?}", case.name);
    }
}

struct PrefillSpeedCase {
    name: &'static str,
    /// Durations of prefills of 1,000 tokens, in ms.
    took_ms: &'static [u64],
    prefill_ms: f64,
}

#[tokio::test(start_paused = true)]
async fn queued_and_cached_prompts_do_not_affect_the_prefill_speed() {
    let cases = [
        PrefillSpeedCase { name: "all equal", took_ms: &[30, 30, 30, 30], prefill_ms: 30.0 },
        PrefillSpeedCase {
            name: "half of them queued",
            took_ms: &[30, 400, 30, 900, 31, 250, 30, 30],
            prefill_ms: 30.0,
        },
        PrefillSpeedCase {
            name: "one prompt cached",
            took_ms: &[2, 30, 31, 30, 30, 32, 90, 200],
            prefill_ms: 30.0,
        },
    ];
    for case in cases {
        let meter = DemandMeter::default();
        meter.record_prompt(&"pool".into(), 1_000);
        for took in case.took_ms {
            meter.record_prefill(&"pool".into(), 1_000, Duration::from_millis(*took));
        }
        drop(meter.hold_memory(&"pool".into(), 1_000));
        let estimate = meter.estimate(&"pool".into()).expect("an estimate");
        assert!(
            (estimate.prefill_s * 1000.0 - case.prefill_ms).abs() < 1.5,
            "{}: {estimate:?}",
            case.name
        );
    }
}

#[tokio::test(start_paused = true)]
async fn old_observations_decay() {
    let meter = DemandMeter::default();
    run_requests(&meter).await;
    tokio::time::sleep(seconds(300.0)).await;
    let estimate = meter.estimate(&"pool".into()).expect("an estimate");
    assert!(estimate.prompts < 0.1, "{estimate:?}");
    for _request in 0..4 {
        meter.record_prompt(&"pool".into(), 9_000);
        meter.record_prefill(&"pool".into(), 9_000, seconds(0.3));
    }
    let later = meter.estimate(&"pool".into()).expect("an estimate");
    assert!(later.prefill_s > 2.8 * estimate.prefill_s, "{estimate:?} {later:?}");
}
