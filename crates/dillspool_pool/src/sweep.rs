//! Finds streams on engines that no live host owns, and cancels them.
//!
//! See `docs/design/orphans.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use dillspool_engine::EngineClient;
use dillspool_schema::messages::{ReleaseCause, ReleaseMessage};
use dillspool_schema::{Name, StreamId};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::scheduler::{LivenessCheck, PoolScheduler};

/// How often the owners of placements are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How often engines are listed while nothing happens; listings cost control traffic.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// A new scheduler lists every second for this long, to find what its predecessor left.
const TAKEOVER_TIME: Duration = Duration::from_secs(10);

/// An owner of streams.
type StreamOwner = (Name, u64);

struct SweepState {
    awake_since: Option<Instant>,
    listed_at: Option<Instant>,
}

/// Sweeps while this host schedules the pool.
pub(crate) async fn sweep_engines(
    scheduler: PoolScheduler,
    engines: EngineClient,
    liveness: LivenessCheck,
    cancel: CancellationToken,
) {
    let mut state = SweepState {
        awake_since: None,
        listed_at: None,
    };
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
            () = cancel.cancelled() => return,
        }
        let chosen = (liveness.is_scheduler)(scheduler.pool());
        if !chosen && !scheduler.was_asked_lately() {
            state.awake_since = None;
            continue;
        }
        let now = Instant::now();
        let since = *state.awake_since.get_or_insert(now);
        let dead = dead_owners(&scheduler, &liveness).await;
        let takeover = now.duration_since(since) < TAKEOVER_TIME;
        let due = state
            .listed_at
            .is_none_or(|at| now.duration_since(at) >= LIST_INTERVAL);
        if takeover || due || !dead.is_empty() {
            state.listed_at = Some(now);
            list_engines(&scheduler, &engines, &liveness).await;
        }
        forget_placements(&scheduler, &dead);
    }
}

fn owner(stream: &StreamId) -> StreamOwner {
    (Name::clone(&stream.host), stream.incarnation)
}

/// Owners of placements that are dead beyond doubt.
async fn dead_owners(scheduler: &PoolScheduler, liveness: &LivenessCheck) -> BTreeSet<StreamOwner> {
    let owners: BTreeSet<StreamOwner> =
        scheduler.lock().state.placed_streams().map(owner).collect();
    let mut dead = BTreeSet::new();
    for (host, incarnation) in owners {
        if (liveness.is_dead)(Name::clone(&host), incarnation).await {
            dead.insert((host, incarnation));
        }
    }
    dead
}

fn forget_placements(scheduler: &PoolScheduler, dead: &BTreeSet<StreamOwner>) {
    let streams: Vec<StreamId> = {
        let inner = scheduler.lock();
        let placed = inner.state.placed_streams();
        placed
            .filter(|stream| dead.contains(&owner(stream)))
            .cloned()
            .collect()
    };
    for stream in streams {
        let pool = Name::clone(scheduler.pool());
        let cause = ReleaseCause::Cancelled;
        scheduler.release(&ReleaseMessage {
            stream,
            pool,
            cause,
            tokens: 0,
            cached: 0,
        });
    }
}

/// Lists every engine of the pool, takes the listings in and cancels orphans.
async fn list_engines(scheduler: &PoolScheduler, engines: &EngineClient, liveness: &LivenessCheck) {
    let addresses = engine_addresses(scheduler);
    let mut sweeps = tokio::task::JoinSet::new();
    for (engine, address) in addresses {
        let sweep = sweep_engine(
            scheduler.clone(),
            engines.clone(),
            liveness.clone(),
            engine,
            address,
        );
        sweeps.spawn(sweep);
    }
    sweeps.join_all().await;
}

fn engine_addresses(scheduler: &PoolScheduler) -> BTreeMap<Name, SocketAddr> {
    let inner = scheduler.lock();
    let prefills = inner.state.prefills.iter().map(|it| &it.entry);
    let decodes = inner.state.decodes.values().map(|it| &it.entry);
    prefills
        .chain(decodes)
        .filter_map(|entry| Some((Name::clone(&entry.name), entry.address.parse().ok()?)))
        .collect()
}

async fn sweep_engine(
    scheduler: PoolScheduler,
    engines: EngineClient,
    liveness: LivenessCheck,
    engine: Name,
    address: SocketAddr,
) {
    let listing = engines.list(address).await;
    scheduler.update(|state, _now| state.note_listing(&engine, listing.is_ok()));
    let Ok(listing) = listing else { return };
    let lingering = scheduler.update(|state, now| state.take_listing(&engine, &listing, now));
    let mut orphans: BTreeSet<StreamId> = lingering.into_iter().collect();
    let listed: BTreeSet<&StreamId> = listing.streams.iter().chain(&listing.exports).collect();
    let owners: BTreeSet<StreamOwner> = listed.iter().map(|stream| owner(stream)).collect();
    for (host, incarnation) in owners {
        if !(liveness.is_dead)(Name::clone(&host), incarnation).await {
            continue;
        }
        let owned = listed
            .iter()
            .filter(|it| it.host == host && it.incarnation == incarnation);
        orphans.extend(owned.map(|stream| (*stream).clone()));
    }
    for stream in orphans {
        if engines.cancel(address, &stream).await.is_ok() {
            scheduler.lock().counts.orphans += 1;
            log::info!("event=orphan_cancelled engine={engine} stream={stream}");
        }
    }
    let after = scheduler.lock().state.last_event(&engine);
    let is_prefill = scheduler
        .lock()
        .state
        .prefills
        .iter()
        .any(|it| it.entry.name == engine);
    if is_prefill && let Ok(events) = engines.cache_events(address, after).await {
        scheduler.update(|state, _now| state.take_events(&engine, &events.events));
    }
}
