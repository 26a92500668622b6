//! State shared by all requests of an entry host.

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
use crate::retry_budget::RetryBudget;

/// A scheduler's reply to a reservation request, with the host that sent it.
#[derive(Clone, Debug)]
pub struct ReserveReply {
    /// Host that schedules the pool.
    pub scheduler: Name,
    /// The scheduler's reply.
    pub answer: ReserveAnswer,
}

type ReserveFn = dyn Fn(ReserveMessage) -> BoxFuture<ReserveReply> + Send + Sync;

/// Requests and releases placements.
#[derive(Clone)]
pub struct PlacementClient {
    /// Asks the host that schedules the pool, or this host's own scheduler as a fallback.
    pub reserve: Arc<ReserveFn>,
    /// Releases a placement at the host that granted it; with `None`, at the pool's current
    /// scheduler.
    pub release: Arc<dyn Fn(Option<Name>, ReleaseMessage) + Send + Sync>,
}

impl fmt::Debug for PlacementClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlacementDesk")
    }
}

/// State of the host that requests check.
#[derive(Clone)]
pub struct HostStatus {
    /// Why the host rejects new requests, `None` while it accepts them.
    pub closed_reason: Arc<dyn Fn() -> Option<&'static str> + Send + Sync>,
    /// Whether the host list marks a backend server as leaving.
    pub is_leaving: Arc<dyn Fn(&str) -> bool + Send + Sync>,
}

impl fmt::Debug for HostStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HostChecks")
    }
}

/// Dependencies and limits shared by all requests of an entry host.
#[derive(Clone, Debug)]
pub struct EntryContext {
    /// Active configuration, `None` until one has been applied.
    pub config: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
    /// Client for engines.
    pub engines: EngineClient,
    /// Client for plain services; opens a connection for each call.
    pub plain_client: HttpClient,
    /// Client for the pools' schedulers.
    pub placement_client: PlacementClient,
    /// Placements held by this host.
    pub placements: PlacementRegistry,
    /// Ledger of calls that must not run twice.
    pub ledger: CallLedger,
    /// Wall clock.
    pub clock: WallClock,
    /// Round-robin counter over the backend servers of plain services.
    pub next_backend: Arc<AtomicUsize>,
    /// Generator of stream ids.
    pub ids: StreamIds,
    /// Plain calls during which backend servers crashed. For model requests the host that schedules
    /// the pool decides.
    pub suspects: SuspectTracker,
    /// Key, shared by the fleet, for fingerprints that are equal for all copies of a request.
    pub fingerprint_key: FingerprintKey,
    /// Retry budget of the host.
    pub retry_budget: RetryBudget,
    /// Counters and histograms.
    pub metrics: EntryMetrics,
    /// Limits the number of requests in flight.
    pub in_flight: Arc<Semaphore>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
    /// Tasks that outlive their connection, such as cancels and writes to the ledger.
    pub tasks: TaskTracker,
    /// State of the host.
    pub host_status: HostStatus,
    /// Cancels all responses when the host's drain timeout expires.
    pub cancel: CancellationToken,
}
