//! The store comes back from a copy, and what it acknowledges from then on must be in force in time.

use std::time::Duration;

use dillspool_site_standin::StoreMode;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::check::Violation;
use crate::rest::{check_config, check_drain};
use crate::world::{SoakWorld, WRITTEN_AGAIN};

/// Restorations, one after the other.
const ROUNDS: usize = 3;
/// Time from the store's return from which on its word counts.
const SETTLED: Duration = Duration::from_secs(3);
/// Time in which a change must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time in which hosts hear of versions that are lost then.
const HEARD: Duration = Duration::from_secs(1);

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
