//! Property tests that give the same verdict in every run; for tests only.

use std::future::Future;

use proptest::test_runner::{Config, RngSeed};

/// Seed of all property tests.
const SEED: u64 = 2026;

/// A number of cases, the same in every run.
pub fn fixed_cases(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
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
