//! The split derived from estimates, and when the target follows it.

use std::time::Duration;

use dillspool_capacity::{
    DemandEstimate, EngineCapacity, SplitTarget, TargetChange, required_prefill_engines,
};
use dillspool_cases::fixed_cases;
use proptest::prelude::*;
use tokio::time::Instant;

const CAPACITY: EngineCapacity = EngineCapacity { memory_tokens: 41_000, slots: 64 };

fn estimate(prompt_ms: f64, held_token_s: f64, held_s: f64) -> DemandEstimate {
    let prefill_s = prompt_ms / 1000.0;
    DemandEstimate {
        prompts: 50.0,
        prompts_per_s: 1.0,
        completed: 50.0,
        prefill_s,
        held_token_s,
        held_s,
    }
}

struct RequiredCase {
    name: &'static str,
    engines: usize,
    estimate: DemandEstimate,
    capacity: EngineCapacity,
    /// Required prefill engines, rounded.
    required: u32,
}

#[test]
fn required_engines_follow_from_prefill_and_decode_times() {
    let few_slots = EngineCapacity { slots: 4, ..CAPACITY };
    let cases = [
        RequiredCase {
            name: "prompts and answers of one kind",
            engines: 9,
            estimate: estimate(137.0, 13_500.0, 3.6),
            capacity: CAPACITY,
            required: 3,
        },
        RequiredCase {
            name: "twice as long prompts",
            engines: 9,
            estimate: estimate(274.0, 24_000.0, 3.6),
            capacity: EngineCapacity { memory_tokens: 82_000, ..CAPACITY },
            required: 5,
        },
        RequiredCase {
            name: "twice as long answers",
            engines: 9,
            estimate: estimate(137.0, 30_000.0, 7.2),
            capacity: CAPACITY,
            required: 2,
        },
        RequiredCase {
            name: "slots run out before memory does",
            engines: 9,
            estimate: estimate(137.0, 3_500.0, 3.6),
            capacity: few_slots,
            required: 1,
        },
        RequiredCase {
            name: "ten times the pool",
            engines: 90,
            estimate: estimate(137.0, 13_500.0, 3.6),
            capacity: CAPACITY,
            required: 31,
        },
        RequiredCase {
            name: "no prefills",
            engines: 9,
            estimate: estimate(0.0, 13_500.0, 3.6),
            capacity: CAPACITY,
            required: 0,
        },
    ];
    for case in cases {
        let required = required_prefill_engines(case.engines, &case.estimate, case.capacity);
        assert!((required - f64::from(case.required)).abs() <= 0.5, "{}: {required}", case.name);
    }
}

struct TargetCase {
    name: &'static str,
    /// Engines of the pool.
    total: usize,
    from: usize,
    /// Times in seconds and the number required from then on, in order.
    required: &'static [(u64, f64)],
    to: usize,
}

#[tokio::test(start_paused = true)]
async fn the_target_follows_a_lasting_deviation() {
    let cases = [
        TargetCase {
            name: "as required",
            total: 9,
            from: 3,
            required: &[(0, 3.2), (90, 2.8)],
            to: 3,
        },
        TargetCase {
            name: "one too many, for a while",
            total: 9,
            from: 3,
            required: &[(0, 2.0), (2, 2.1)],
            to: 2,
        },
        TargetCase {
            name: "one too many, for a moment",
            total: 9,
            from: 3,
            required: &[(0, 2.0), (1, 2.1)],
            to: 3,
        },
        TargetCase {
            name: "within the dead band",
            total: 9,
            from: 3,
            required: &[(0, 2.4), (60, 2.4)],
            to: 3,
        },
        TargetCase {
            name: "too few, in a burst",
            total: 9,
            from: 2,
            required: &[(0, 4.0), (30, 4.0)],
            to: 2,
        },
        TargetCase {
            name: "too few, for a minute",
            total: 9,
            from: 2,
            required: &[(0, 4.0), (60, 4.1)],
            to: 4,
        },
        TargetCase {
            name: "too few, interrupted by a calm moment",
            total: 9,
            from: 2,
            required: &[(0, 4.0), (40, 2.0), (60, 4.0), (100, 4.0)],
            to: 2,
        },
        TargetCase {
            name: "a large pool, an estimate a fifth too low",
            total: 90,
            from: 30,
            required: &[(0, 24.0), (60, 24.0)],
            to: 30,
        },
        TargetCase {
            name: "a large pool, a third too many: does not go all the way to one host's estimate",
            total: 90,
            from: 30,
            required: &[(0, 20.0), (2, 20.0)],
            to: 22,
        },
        TargetCase {
            name: "a large pool, too few for a minute",
            total: 90,
            from: 20,
            required: &[(0, 28.0), (60, 28.0)],
            to: 28,
        },
        TargetCase {
            name: "one engine always prefills",
            total: 9,
            from: 2,
            required: &[(0, 0.1), (2, 0.1)],
            to: 1,
        },
        TargetCase {
            name: "one engine always decodes",
            total: 9,
            from: 8,
            required: &[(0, 9.0), (60, 9.0)],
            to: 8,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut target = SplitTarget::new(case.from);
        for (at_s, required) in case.required {
            target.update(*required, case.total, start + Duration::from_secs(*at_s));
        }
        assert_eq!(target.prefill_engines, case.to, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_reported_once() {
    let start = Instant::now();
    let mut target = SplitTarget::new(4);
    let second = |at| start + Duration::from_secs(at);
    assert_eq!(target.update(2.0, 9, second(0)), None);
    assert_eq!(target.update(2.0, 9, second(2)), Some(TargetChange { from: 4, to: 2 }));
    assert_eq!(target.update(2.0, 9, second(60)), None);
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    #[test]
    fn required_engines_are_within_the_pool_and_grow_with_prompts(
        engines in 1..5_000_usize,
        prefill_ms in 0.0..10_000.0_f64,
        held_token_s in 0.0..1e9_f64,
        held_s in 0.0..1e4_f64,
        longer in 1.0..10.0_f64,
        tokens in 0..10_000_000_u64,
        slots in 0..4_096_u32,
    ) {
        let capacity = EngineCapacity { memory_tokens: tokens, slots };
        let required = required_prefill_engines(
            engines,
            &estimate(prefill_ms, held_token_s, held_s),
            capacity,
        );
        let more = required_prefill_engines(
            engines,
            &estimate(prefill_ms * longer, held_token_s, held_s),
            capacity,
        );
        #[expect(clippy::cast_precision_loss, reason = "thousands")]
        let all = engines as f64;
        prop_assert!((0.0..=all).contains(&required), "{required}");
        prop_assert!(more >= required - 1e-9, "{more} < {required}");
    }

    #[test]
    fn a_target_leaves_an_engine_for_each_role(
        from in 1..100_usize,
        all in 2..100_usize,
        numbers in prop::collection::vec((0..200_u64, 0.0..100.0_f64), 1..40),
    ) {
        let mut target = SplitTarget::new(from);
        let mut now = Instant::now();
        for (pause_s, required) in numbers {
            now += Duration::from_secs(pause_s);
            if let Some(change) = target.update(required, all, now) {
                prop_assert!(change.to >= 1 && change.to < all, "{change:?} of {all}");
                prop_assert_ne!(change.from, change.to);
            }
        }
    }
}
