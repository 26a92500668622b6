//! Cases and clocks that give the same verdict in every run; for tests only.

mod event_client;
mod jump;

use std::future::Future;
use std::ops::RangeInclusive;
use std::time::Duration;

use dillspool_platform::StoreFault;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

pub use event_client::{HeldEvent, dispatch_events};
pub use jump::ClockJumps;

/// Seed of all property tests.
const SEED: u64 = 2026;

/// A number of cases, the same in every run.
pub fn fixed_cases(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

/// Seeds to play: `usual`, or those that a variable of the environment names as `FIRST-LAST`, for long runs by hand.
///
/// # Panics
///
/// Panics when the variable is no such range.
pub fn seeds(variable: &str, usual: RangeInclusive<u64>) -> RangeInclusive<u64> {
    let Ok(text) = std::env::var(variable) else { return usual };
    let range = text
        .split_once('-')
        .and_then(|(first, last)| Some(first.parse().ok()?..=last.parse().ok()?));
    range.unwrap_or_else(|| panic!("{variable} is `{text}`; write FIRST-LAST, such as 100-149"))
}

/// What may become of a commit; one that comes late does so within `latest_ms` milliseconds.
pub fn commit_fault(latest_ms: u64) -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        3 => Just(StoreFault::None),
        1 => Just(StoreFault::Refuse),
        2 => Just(StoreFault::LoseResponse),
        2 => Just(StoreFault::LoseRequest),
        2 => (1..latest_ms).prop_map(|ms| StoreFault::Late(Duration::from_millis(ms))),
    ]
}

/// Runs a case on one thread under paused time.
///
/// # Panics
///
/// Panics when no runtime can be built.
pub fn run_paused<T>(case: impl Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    match runtime {
        Ok(runtime) => runtime.block_on(case),
        Err(error) => panic!("no runtime: {error}"),
    }
}
