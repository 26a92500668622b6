//! Hosts do not read the whole directory when the store comes back from an outage, however long it was.
//!
//! One host in seven read it, in one of forty outages: a store is loaded when it is weakest. `OUTAGE_SEEDS=100-149`
//! plays outages by hand, and prints the lines of those that cost too much.

mod fleet;

use std::ops::RangeInclusive;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use dillspool_cases::seeds;
use dillspool_site_standin::StoreMode;
use fleet::counted::{BACKENDS_A_HOST, CountedFleet};
use log::{LevelFilter, Log, Metadata, Record};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const CI_SEEDS: RangeInclusive<u64> = 6..=10;
const HOSTS: usize = 50;
/// Time after which hosts have heard of the store's return from their sources, or asked themselves.
const SETTLED_AGAIN: Duration = Duration::from_secs(10);
/// Hosts that read the whole tables when the store comes back: roots, and others that take their place.
const WHOLE_READERS: usize = 6;
/// Rows that a host reads besides.
const ROWS_A_HOST: usize = 40;

/// Keeps the lines of an outage, with the virtual time since its end.
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

/// Plays an outage; rows that the store sends after it.
async fn play(fleet: &CountedFleet, seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mode = [StoreMode::Busy, StoreMode::Silent][rng.random_range(0..2)];
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..3_000))).await;
    fleet.store.set_mode(mode);
    tokio::time::sleep(Duration::from_millis(rng.random_range(500..14_000))).await;
    let _away = fleet.store.take_counts();
    CAPTURE.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    *ORIGIN.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    fleet.store.set_mode(StoreMode::Serving);
    tokio::time::sleep(SETTLED_AGAIN).await;
    fleet.store.take_counts().rows
}

/// A part of the hosts read the whole directory when the store came back.
#[tokio::test(start_paused = true)]
async fn hosts_read_the_directory_whole_after_an_outage() {
    log::set_logger(&CAPTURE).expect("no other test of this file sets it");
    log::set_max_level(LevelFilter::Info);
    let fleet = CountedFleet::start(HOSTS).await;
    let most = WHOLE_READERS * HOSTS * BACKENDS_A_HOST + HOSTS * ROWS_A_HOST;
    let mut faults = Vec::new();
    for seed in seeds("OUTAGE_SEEDS", CI_SEEDS) {
        let rows = play(&fleet, seed).await;
        println!("seed {seed}: {rows} rows of {most}");
        if rows > most {
            faults.push(format!("seed {seed}: {rows} rows of {most}"));
            let lines =
                std::mem::take(&mut *CAPTURE.0.lock().unwrap_or_else(PoisonError::into_inner));
            println!("{}", lines.join("\n"));
        }
    }
    fleet.cancel.cancel();
    assert!(faults.is_empty(), "{faults:#?}");
}
