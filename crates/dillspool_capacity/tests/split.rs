//! What readings say of the split, and when the target follows.

use std::time::Duration;

use dillspool_capacity::{
    DemandEstimate, EngineCapacity, SplitTarget, TargetChange, required_prefill_engines,
};
use dillspool_cases::fixed_cases;
use proptest::prelude::*;
use tokio::time::Instant;

const MEMORY: EngineCapacity = EngineCapacity { memory_tokens: 41_000, slots: 64 };

fn reading(prompt_ms: f64, held_token_s: f64, held_s: f64) -> DemandEstimate {
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

struct NeedCase {
    name: &'static str,
    engines: usize,
    reading: DemandEstimate,
    memory: EngineCapacity,
    /// Prefill engines, rounded.
    need: u32,
}

#[test]
fn the_need_follows_from_the_times_of_both_kinds() {
    let few_slots = EngineCapacity { slots: 4, ..MEMORY };
    let cases = [
        NeedCase {
            name: "prompts and answers of one kind",
            engines: 9,
            reading: reading(137.0, 13_500.0, 3.6),
            memory: MEMORY,
            need: 3,
        },
        NeedCase {
            name: "twice as long prompts",
            engines: 9,
            reading: reading(274.0, 24_000.0, 3.6),
            memory: EngineCapacity { memory_tokens: 82_000, ..MEMORY },
            need: 5,
        },
        NeedCase {
            name: "twice as long answers",
            engines: 9,
            reading: reading(137.0, 30_000.0, 7.2),
            memory: MEMORY,
            need: 2,
        },
        NeedCase {
            name: "slots run out before memory does",
            engines: 9,
            reading: reading(137.0, 3_500.0, 3.6),
            memory: few_slots,
            need: 1,
        },
        NeedCase {
            name: "ten times the pool",
            engines: 90,
            reading: reading(137.0, 13_500.0, 3.6),
            memory: MEMORY,
            need: 31,
        },
        NeedCase {
            name: "no prefills",
            engines: 9,
            reading: reading(0.0, 13_500.0, 3.6),
            memory: MEMORY,
            need: 0,
        },
    ];
    for case in cases {
        let need = required_prefill_engines(case.engines, &case.reading, case.memory);
        assert!((need - f64::from(case.need)).abs() <= 0.5, "{}: {need}", case.name);
    }
}

struct TargetCase {
    name: &'static str,
    /// Engines of the pool.
    all: usize,
    from: usize,
    /// Seconds and the need that is seen then, in order.
    needs: &'static [(u64, f64)],
    to: usize,
}

#[tokio::test(start_paused = true)]
async fn the_target_follows_a_need_that_lasts() {
    let cases = [
        TargetCase { name: "as needed", all: 9, from: 3, needs: &[(0, 3.2), (90, 2.8)], to: 3 },
        TargetCase {
            name: "one too many, for a while",
            all: 9,
            from: 3,
            needs: &[(0, 2.0), (2, 2.1)],
            to: 2,
        },
        TargetCase {
            name: "one too many, for a moment",
            all: 9,
            from: 3,
            needs: &[(0, 2.0), (1, 2.1)],
            to: 3,
        },
        TargetCase {
            name: "within the dead band",
            all: 9,
            from: 3,
            needs: &[(0, 2.4), (60, 2.4)],
            to: 3,
        },
        TargetCase {
            name: "too few, in a burst",
            all: 9,
            from: 2,
            needs: &[(0, 4.0), (30, 4.0)],
            to: 2,
        },
        TargetCase {
            name: "too few, for a minute",
            all: 9,
            from: 2,
            needs: &[(0, 4.0), (60, 4.1)],
            to: 4,
        },
        TargetCase {
            name: "too few, with a calm moment between",
            all: 9,
            from: 2,
            needs: &[(0, 4.0), (40, 2.0), (60, 4.0), (100, 4.0)],
            to: 2,
        },
        TargetCase {
            name: "a large pool, a reading a fifth too low",
            all: 90,
            from: 30,
            needs: &[(0, 24.0), (60, 24.0)],
            to: 30,
        },
        TargetCase {
            name: "a large pool, a third too many: not all the way to one host's reading",
            all: 90,
            from: 30,
            needs: &[(0, 20.0), (2, 20.0)],
            to: 22,
        },
        TargetCase {
            name: "a large pool, too few for a minute",
            all: 90,
            from: 20,
            needs: &[(0, 28.0), (60, 28.0)],
            to: 28,
        },
        TargetCase {
            name: "one engine always prefills",
            all: 9,
            from: 2,
            needs: &[(0, 0.1), (2, 0.1)],
            to: 1,
        },
        TargetCase {
            name: "one always decodes",
            all: 9,
            from: 8,
            needs: &[(0, 9.0), (60, 9.0)],
            to: 8,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut target = SplitTarget::new(case.from);
        for (at_s, need) in case.needs {
            target.update(*need, case.all, start + Duration::from_secs(*at_s));
        }
        assert_eq!(target.prefill_engines, case.to, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_tells_both_ends_and_is_told_once() {
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
    fn a_need_lies_within_the_pool_and_grows_with_prompts(
        engines in 1..5_000_usize,
        read_ms in 0.0..10_000.0_f64,
        held_token_s in 0.0..1e9_f64,
        held_s in 0.0..1e4_f64,
        longer in 1.0..10.0_f64,
        tokens in 0..10_000_000_u64,
        slots in 0..4_096_u32,
    ) {
        let memory = EngineCapacity { memory_tokens: tokens, slots };
        let need = required_prefill_engines(engines, &reading(read_ms, held_token_s, held_s), memory);
        let more = required_prefill_engines(engines, &reading(read_ms * longer, held_token_s, held_s), memory);
        #[expect(clippy::cast_precision_loss, reason = "thousands")]
        let all = engines as f64;
        prop_assert!((0.0..=all).contains(&need), "{need}");
        prop_assert!(more >= need - 1e-9, "{more} < {need}");
    }

    #[test]
    fn a_target_leaves_an_engine_for_each_part(
        from in 1..100_usize,
        all in 2..100_usize,
        needs in prop::collection::vec((0..200_u64, 0.0..100.0_f64), 1..40),
    ) {
        let mut target = SplitTarget::new(from);
        let mut now = Instant::now();
        for (pause_s, need) in needs {
            now += Duration::from_secs(pause_s);
            if let Some(change) = target.update(need, all, now) {
                prop_assert!(change.to >= 1 && change.to < all, "{change:?} of {all}");
                prop_assert_ne!(change.from, change.to);
            }
        }
    }
}
