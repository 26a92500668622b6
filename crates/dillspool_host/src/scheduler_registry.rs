//! Registry of the pools' schedulers on this host.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dillspool_config::ConfigSnapshot;
use dillspool_engine::EngineClient;
use dillspool_pool::{LivenessCheck, PoolScheduler};
use dillspool_schema::Name;
use dillspool_suspects::SuspectTracker;
use tokio_util::sync::CancellationToken;

struct SchedulerHandle {
    scheduler: PoolScheduler,
    cancel: CancellationToken,
}

/// One scheduler for each configured pool; most of them are idle.
#[derive(Clone)]
pub(crate) struct SchedulerRegistry {
    pools: Arc<Mutex<BTreeMap<Name, SchedulerHandle>>>,
    engines: EngineClient,
    suspects: SuspectTracker,
    cancel: CancellationToken,
}

impl SchedulerRegistry {
    pub(crate) fn new(
        engines: EngineClient,
        suspects: SuspectTracker,
        cancel: CancellationToken,
    ) -> Self {
        Self { pools: Arc::default(), engines, suspects, cancel }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, SchedulerHandle>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts, reconfigures and stops schedulers to match a configuration.
    pub(crate) fn configure(&self, snapshot: &Arc<ConfigSnapshot>, liveness: &LivenessCheck) {
        let mut pools = self.lock();
        pools.retain(|name, entry| {
            let is_configured = snapshot.pool(name).is_some();
            if !is_configured {
                entry.cancel.cancel();
            }
            is_configured
        });
        for pool in &snapshot.configuration.pool {
            if let Some(entry) = pools.get(&pool.name) {
                entry.scheduler.apply_config(snapshot);
                continue;
            }
            let cancel = self.cancel.child_token();
            let scheduler = PoolScheduler::start(
                pool,
                snapshot,
                self.engines.clone(),
                liveness.clone(),
                self.suspects.clone(),
                cancel.clone(),
            );
            pools.insert(Name::clone(&pool.name), SchedulerHandle { scheduler, cancel });
        }
    }

    pub(crate) fn get(&self, pool: &str) -> Option<PoolScheduler> {
        self.lock().get(pool).map(|entry| entry.scheduler.clone())
    }

    pub(crate) fn all(&self) -> Vec<PoolScheduler> {
        self.lock().values().map(|entry| entry.scheduler.clone()).collect()
    }

    pub(crate) fn names(&self) -> Vec<Name> {
        self.lock().keys().cloned().collect()
    }

    pub(crate) fn set_leaving(&self, is_leaving: &dyn Fn(&str) -> bool) {
        for scheduler in self.all() {
            scheduler.set_leaving(is_leaving);
        }
    }

    pub(crate) fn set_draining(&self) {
        for scheduler in self.all() {
            scheduler.set_draining();
        }
    }
}
