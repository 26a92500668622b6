//! Checks that hosts do not read the whole directory when the store recovers from an outage of any length.
//!
//! In one of forty outages one host in seven read it, which loads the store when it is least able to serve.
//! `OUTAGE_SEEDS=100-149` runs other seeds and prints the log lines of those that exceed the bound.

mod fleet;

use std::ops::RangeInclusive;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use dillspool_cases::seeds;
use dillspool_site_standin::StoreMode;
use fleet::counted::{BACKENDS_PER_HOST, CountedFleet};
use log::{LevelFilter, Log, Metadata, Record};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const CI_SEEDS: RangeInclusive<u64> = 6..=10;
const HOSTS: usize = 50;
/// Time in which hosts learn from their sources, or by a poll, that the store has recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Hosts that may read full tables after an outage: relay roots and hosts that replace one.
const FULL_TABLE_READERS: usize = 6;
/// Rows that each host may read besides.
const ROWS_PER_HOST: usize = 40;

/// Captures the log lines after an outage, with the virtual time since its end.
struct LineCapture(Mutex<Vec<String>>);

static CAPTURE: LineCapture = LineCapture(Mutex::new(Vec::new()));
static ORIGIN: Mutex<Option<Instant>> = Mutex::new(None);

impl Log for LineCapture {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let origin =
            ORIGIN.lock().unwrap_or_else(PoisonError::into_inner).unwrap_or_else(Instant::now);
        let line = format!("{:?} {}", origin.elapsed(), record.args());
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    fn flush(&self) {}
}

/// Runs an outage and returns the rows that the store sends after it.
async fn run_case(fleet: &CountedFleet, seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mode = [StoreMode::Busy, StoreMode::Silent][rng.random_range(0..2)];
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..3_000))).await;
    fleet.store.set_mode(mode);
    tokio::time::sleep(Duration::from_millis(rng.random_range(500..14_000))).await;
    let _away = fleet.store.take_counts();
    CAPTURE.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    *ORIGIN.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    fleet.store.set_mode(StoreMode::Serving);
    tokio::time::sleep(RECOVERY_TIME).await;
    fleet.store.take_counts().rows
}

/// Guards against hosts that read the full directory when the store recovers.
#[tokio::test(start_paused = true)]
async fn hosts_do_not_read_the_full_directory_after_an_outage() {
    log::set_logger(&CAPTURE).expect("no other test of this file sets it");
    log::set_max_level(LevelFilter::Info);
    let fleet = CountedFleet::start(HOSTS).await;
    let max_rows = FULL_TABLE_READERS * HOSTS * BACKENDS_PER_HOST + HOSTS * ROWS_PER_HOST;
    let mut violations = Vec::new();
    for seed in seeds("OUTAGE_SEEDS", CI_SEEDS) {
        let rows = run_case(&fleet, seed).await;
        println!("seed {seed}: {rows} rows, at most {max_rows} allowed");
        if rows > max_rows {
            violations.push(format!("seed {seed}: {rows} rows, at most {max_rows} allowed"));
            let lines =
                std::mem::take(&mut *CAPTURE.0.lock().unwrap_or_else(PoisonError::into_inner));
            println!("{}", lines.join("\n"));
        }
    }
    fleet.cancel.cancel();
    assert!(violations.is_empty(), "{violations:#?}");
}
