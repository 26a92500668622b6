//! The store comes back from a copy, and what it acknowledges from then on must be in force in time.

use std::collections::VecDeque;
use std::time::Duration;

use dillspool_site_standin::{StandinStore, StoreCopy, StoreMode};
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::check::Violation;
use crate::faults::DueFault;
use crate::rest::{check_config, check_drain};
use crate::world::SoakWorld;

/// Age of the oldest copy from which the store comes back.
const OLDEST_COPY: Duration = Duration::from_secs(5);
/// Tables of the operator and of the backend servers.
const WRITTEN_AGAIN: &[&str] = &["op", "servers"];
/// Restorations, one after the other.
const ROUNDS: usize = 3;
/// Time from the store's return from which on its word counts.
const SETTLED: Duration = Duration::from_secs(3);
/// Time in which a change must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time in which hosts hear of versions that are lost then.
const HEARD: Duration = Duration::from_secs(1);

/// The store as it was at the newest faults, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct StoreCopies(VecDeque<(Instant, StoreCopy)>);

impl StoreCopies {
    /// Keeps the store as it is, and forgets what it was long ago.
    pub(crate) fn keep(&mut self, store: &StandinStore) {
        let now = Instant::now();
        self.0.retain(|(at, _copy)| now.saturating_duration_since(*at) <= OLDEST_COPY);
        self.0.push_back((now, store.copy()));
    }

    /// The store is away for a moment, or not at all, comes back from a copy, and gets again what others than the
    /// hosts wrote: at once, or some time later.
    pub(crate) async fn restore(&mut self, store: &StandinStore, fault: DueFault) {
        if !fault.variant.is_multiple_of(3) {
            let is_busy = fault.variant.is_multiple_of(2);
            store.set_mode(if is_busy { StoreMode::Busy } else { StoreMode::Silent });
            tokio::time::sleep(fault.lasts / 4).await;
        }
        let number = fault.target % self.0.len();
        let before = store.restore(&self.0[number].1);
        store.set_mode(StoreMode::Serving);
        // What is kept of the era that has ended is no copy of this one.
        self.0.truncate(number + 1);
        if fault.variant.is_multiple_of(2) {
            tokio::time::sleep(fault.lasts / 4).await;
        }
        store.write_again(&before, WRITTEN_AGAIN);
    }
}

/// Restores the store and changes the configuration and a backend server, some times.
pub(crate) async fn play_restored(
    world: &mut SoakWorld,
    random: &mut SmallRng,
) -> std::io::Result<Vec<Violation>> {
    let mut violations = Vec::new();
    for round in 0..ROUNDS {
        let store = world.store().clone();
        let copy = store.copy();
        world.write_config();
        for row in 0..random.random_range(0..40) {
            store.write("others", &format!("row-{row}"), Some("text"));
        }
        world.pass(HEARD).await?;
        if random.random_bool(0.7) {
            store.set_mode(StoreMode::Silent);
            world.pass(Duration::from_millis(random.random_range(100..2_500))).await?;
        }
        let before = store.restore(&copy);
        store.set_mode(StoreMode::Serving);
        if random.random_bool(0.5) {
            world.pass(Duration::from_millis(random.random_range(0..800))).await?;
        }
        store.write_again(&before, WRITTEN_AGAIN);
        world.pass(SETTLED).await?;
        world.write_config();
        world.pass(IN_FORCE).await?;
        let places = world.places.clone();
        for place in &places {
            violations.extend(check_config(world, place).await);
        }
        let leaving = round % world.backends.len();
        violations.extend(check_drain(world, &places, leaving).await);
        world.backends[leaving].start_again().await?;
    }
    Ok(violations)
}
