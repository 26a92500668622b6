//! Finds and cancels orphaned streams: those on engines that no live host owns.
//!
//! See `docs/design/orphans.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use dillspool_engine::EngineClient;
use dillspool_schema::engine::StreamListing;
use dillspool_schema::messages::{ReleaseCause, ReleaseMessage};
use dillspool_schema::{Name, StreamId};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::scheduler::{LivenessCheck, PoolScheduler};

/// How often the owners of placements are checked for liveness.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How often engines are listed in normal operation; listings cost control traffic.
const LISTING_INTERVAL: Duration = Duration::from_secs(5);
/// How often a new scheduler lists engines, to find streams that its predecessor left.
const TAKEOVER_LISTING_INTERVAL: Duration = Duration::from_secs(1);
/// How long a scheduler counts as new.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(10);

/// Host and incarnation that own a stream.
type StreamOwner = (Name, u64);

struct SweepState {
    active_since: Option<Instant>,
    listed_at: Option<Instant>,
}

/// Sweeps the engines while this host schedules the pool.
pub(crate) async fn sweep_engines(
    scheduler: PoolScheduler,
    engines: EngineClient,
    liveness: LivenessCheck,
    cancel: CancellationToken,
) {
    let mut state = SweepState { active_since: None, listed_at: None };
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
            () = cancel.cancelled() => return,
        }
        let chosen = (liveness.is_scheduler)(scheduler.pool());
        if !chosen && !scheduler.had_recent_request() {
            state.active_since = None;
            continue;
        }
        let now = Instant::now();
        let since = *state.active_since.get_or_insert(now);
        let takeover = now.duration_since(since) < TAKEOVER_PERIOD;
        let interval = if takeover { TAKEOVER_LISTING_INTERVAL } else { LISTING_INTERVAL };
        let due = state.listed_at.is_none_or(|at| now.duration_since(at) >= interval);
        let dead = dead_owners(&liveness, placement_owners(&scheduler)).await;
        if !due && dead.is_empty() {
            continue;
        }
        state.listed_at = Some(now);
        sweep_pool(&scheduler, &engines, &liveness, dead).await;
        scheduler.drop_lost_copies();
    }
}

fn owner(stream: &StreamId) -> StreamOwner {
    (Name::clone(&stream.host), stream.incarnation)
}

fn placement_owners(scheduler: &PoolScheduler) -> BTreeSet<StreamOwner> {
    scheduler.lock().state.placed_streams().map(owner).collect()
}

/// Returns those of the owners that are confirmed dead.
async fn dead_owners(
    liveness: &LivenessCheck,
    owners: BTreeSet<StreamOwner>,
) -> BTreeSet<StreamOwner> {
    let mut checks = tokio::task::JoinSet::new();
    for (host, incarnation) in owners {
        let check = (liveness.is_dead)(Name::clone(&host), incarnation);
        checks.spawn(async move { check.await.then_some((host, incarnation)) });
    }
    checks.join_all().await.into_iter().flatten().collect()
}

/// Listing of an engine; `None` if the engine did not answer.
struct EngineListing {
    engine: Name,
    address: SocketAddr,
    listing: Option<StreamListing>,
}

/// Lists every engine of the pool and cancels streams without a live owner.
async fn sweep_pool(
    scheduler: &PoolScheduler,
    engines: &EngineClient,
    liveness: &LivenessCheck,
    mut dead: BTreeSet<StreamOwner>,
) {
    let listings = list_engines(scheduler, engines).await;
    let listed = || listings.iter().filter_map(|it| it.listing.as_ref()).flat_map(held_streams);
    let unchecked = listed().map(owner).filter(|it| !dead.contains(it)).collect();
    dead.extend(dead_owners(liveness, unchecked).await);
    for listing in &listings {
        reconcile_listing(scheduler, engines, listing, &dead).await;
    }
    release_placements(scheduler, &dead);
}

fn held_streams(listing: &StreamListing) -> impl Iterator<Item = &StreamId> {
    listing.streams.iter().chain(&listing.exports)
}

async fn list_engines(scheduler: &PoolScheduler, engines: &EngineClient) -> Vec<EngineListing> {
    let mut lists = tokio::task::JoinSet::new();
    for (engine, address) in engine_addresses(scheduler) {
        let engines = engines.clone();
        lists.spawn(async move {
            let listing = engines.list(address).await.ok();
            EngineListing { engine, address, listing }
        });
    }
    lists.join_all().await
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

async fn reconcile_listing(
    scheduler: &PoolScheduler,
    engines: &EngineClient,
    listed: &EngineListing,
    dead: &BTreeSet<StreamOwner>,
) {
    let (engine, address) = (&listed.engine, listed.address);
    scheduler.update(|state, _now| state.record_listing(engine, listed.listing.is_some()));
    let Some(listing) = &listed.listing else {
        return;
    };
    let leftover = scheduler.update(|state, now| state.reconcile_listing(engine, listing, now));
    let orphans = held_streams(listing).filter(|stream| dead.contains(&owner(stream)));
    let orphans: BTreeSet<StreamId> = orphans.cloned().chain(leftover).collect();
    for stream in orphans {
        if engines.cancel(address, &stream).await.is_ok() {
            scheduler.lock().counts.orphans += 1;
            log::info!("event=orphan_cancelled engine={engine} stream={stream}");
        }
    }
    update_prefix_cache(scheduler, engines, engine, address).await;
}

/// Fetches and applies the cache events of a prefill engine.
async fn update_prefix_cache(
    scheduler: &PoolScheduler,
    engines: &EngineClient,
    engine: &Name,
    address: SocketAddr,
) {
    let after = {
        let inner = scheduler.lock();
        let is_prefill = inner.state.prefills.iter().any(|it| it.entry.name == *engine);
        if !is_prefill {
            return;
        }
        inner.state.last_cache_event(engine)
    };
    if let Ok(events) = engines.cache_events(address, after).await {
        scheduler.update(|state, _now| state.apply_cache_events(engine, &events.events));
    }
}

fn release_placements(scheduler: &PoolScheduler, dead: &BTreeSet<StreamOwner>) {
    let streams: Vec<StreamId> = {
        let inner = scheduler.lock();
        let placed = inner.state.placed_streams();
        placed.filter(|stream| dead.contains(&owner(stream))).cloned().collect()
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
            print: None,
            ended: None,
        });
    }
}
