//! What every request of an entry host shares.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use dillspool_config::ConfigSnapshot;
use dillspool_engine::EngineClient;
use dillspool_io::{BoxFuture, HttpClient, WallClock};
use dillspool_ledger::CallLedger;
use dillspool_schema::Name;
use dillspool_schema::messages::{ReleaseMessage, ReserveAnswer, ReserveMessage};
use dillspool_suspects::{FingerprintKey, SuspectTracker};
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::ids::StreamIds;
use crate::metrics::EntryMetrics;
use crate::placement::PlacementRegistry;
use crate::retry::RetryBudget;

/// An answer of a scheduler, and which host gave it.
#[derive(Clone, Debug)]
pub struct ReserveReply {
    /// Host that schedules the pool.
    pub scheduler: Name,
    /// Its answer.
    pub answer: ReserveAnswer,
}

type ReserveFn = dyn Fn(ReserveMessage) -> BoxFuture<ReserveReply> + Send + Sync;

/// Where placements are asked for and given back.
#[derive(Clone)]
pub struct PlacementClient {
    /// Asks the host that schedules the pool; falls back to this host's own scheduler.
    pub reserve: Arc<ReserveFn>,
    /// Gives a placement back to the host that granted it, `None` for any that may know it.
    pub release: Arc<dyn Fn(Option<Name>, ReleaseMessage) + Send + Sync>,
}

impl fmt::Debug for PlacementClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlacementDesk")
    }
}

/// What a request must know of the host it came to.
#[derive(Clone)]
pub struct HostStatus {
    /// Why the host takes no new requests now, `None` while it does.
    pub closed_reason: Arc<dyn Fn() -> Option<&'static str> + Send + Sync>,
    /// Whether the host list shows a backend server as leaving.
    pub is_leaving: Arc<dyn Fn(&str) -> bool + Send + Sync>,
}

impl fmt::Debug for HostStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HostChecks")
    }
}

/// Shared by all requests of an entry host.
#[derive(Clone, Debug)]
pub struct EntryContext {
    /// Configuration in force, `None` before the first.
    pub config: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
    /// Calls engines.
    pub engines: EngineClient,
    /// Calls plain services, a connection for each call.
    pub plain_client: HttpClient,
    /// Asks schedulers.
    pub placement_client: PlacementClient,
    /// Placements held by this host.
    pub placements: PlacementRegistry,
    /// Ledger of unrepeatable calls.
    pub ledger: CallLedger,
    /// Wall clock.
    pub clock: WallClock,
    /// Spreads plain calls over the backend servers of a service.
    pub next_backend: Arc<AtomicUsize>,
    /// Stream ids.
    pub ids: StreamIds,
    /// Calls of plain services under which backend servers ended. Model requests are decided on where their
    /// pool is scheduled.
    pub suspects: SuspectTracker,
    /// The fleet's key for what names a request whichever copy of it this is.
    pub fingerprint_key: FingerprintKey,
    /// Budget of retries.
    pub retry_budget: RetryBudget,
    /// Counters.
    pub metrics: EntryMetrics,
    /// Requests that may be in flight.
    pub in_flight: Arc<Semaphore>,
    /// Longest request body in bytes.
    pub max_body_bytes: usize,
    /// Time to receive a request body.
    pub body_timeout: Duration,
    /// Work that goes on when its connection is gone, such as cancels and recorded answers.
    pub tasks: TaskTracker,
    /// State of the host.
    pub host_status: HostStatus,
    /// Ends all answers when the host's drain time is over.
    pub cancel: CancellationToken,
}
