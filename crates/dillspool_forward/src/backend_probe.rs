//! Why a run broke off: because its backend server ended, or only its connection.
//!
//! The break itself does not tell. One that has ended refuses connections at once, or its row shows
//! another start some seconds later; one whose machine has gone lets its row lapse. See
//! `docs/design/suspects.md`.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::BoxFuture;
use dillspool_routing::{
    BackendEntry, BackendInstance, BackendStart, DirectoryView, RoutedRequest,
};
use dillspool_schema::Name;
use dillspool_suspects::SuspectDecision;
use futures_util::FutureExt;
use futures_util::future::Shared;
use tokio::sync::oneshot;

use crate::calls::ProbeResult;
use crate::context::ForwardContext;

/// Time for which the directory is watched for a word on a backend server that does not answer: its row
/// lapses after three heartbeats of about a second, and one that starts again is listed some seconds later.
const ROW_WATCH_TIME: Duration = Duration::from_secs(10);

/// Why a run broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum FailureCause {
    /// Its backend server ended while it ran.
    Crashed,
    /// Its backend server lives on.
    Alive,
    /// Its backend server was known to leave before.
    Leaving,
    /// It cannot be changed.
    Unknown,
}

impl FailureCause {
    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Crashed => "ended",
            Self::Alive => "lives",
            Self::Leaving => "leaving",
            Self::Unknown => "unclear",
        }
    }
}

type SharedProbe = Shared<BoxFuture<ProbeResult>>;

/// Looks at backend servers, one at a time for each start, however many runs broke off there.
#[derive(Clone, Default)]
pub struct BackendProbes {
    in_progress: Arc<Mutex<HashMap<BackendInstance, SharedProbe>>>,
}

impl fmt::Debug for BackendProbes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BreakLooks")
    }
}

impl BackendProbes {
    async fn probe(&self, context: &ForwardContext, entry: &Arc<BackendEntry>) -> ProbeResult {
        let probe = self.with(|probes| {
            let begin = || (context.calls.probe)(Arc::clone(entry)).shared();
            probes.entry(entry.instance()).or_insert_with(begin).clone()
        });
        let result = probe.await;
        self.with(|probes| probes.remove(&entry.instance()));
        result
    }

    fn with<T>(&self, run: impl FnOnce(&mut HashMap<BackendInstance, SharedProbe>) -> T) -> T {
        run(&mut self.in_progress.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Time for which a request that may be sent once more waits for a look at the backend server before. A
/// machine that answers does so within a round trip; one that does not has gone, or is cut off.
const PROBE_WAIT: Duration = Duration::from_millis(300);

/// A look at the backend server of a run that broke off.
#[derive(Debug)]
pub(crate) struct ProbeHandle {
    finished: oneshot::Receiver<()>,
}

/// Whether a request that may have run may be sent to another backend server.
///
/// Where one more end would have it refused, the look at the one before is waited for; without that a
/// request that may go on elsewhere ends one backend server more.
pub(crate) async fn may_retry(
    context: &ForwardContext,
    request: &RoutedRequest,
    probe: &mut Option<ProbeHandle>,
) -> bool {
    if let Some(probe) = probe.take()
        && context.suspects.needs_failure_cause(request.fingerprint)
    {
        // Its sender is dropped once the look is over.
        let _finished = tokio::time::timeout(PROBE_WAIT, probe.finished).await;
    }
    !matches!(context.suspects.decide(request.fingerprint), SuspectDecision::Refused { .. })
}

/// Finds out why a run broke off, beside the request; an end of its backend server is held against the
/// request.
pub(crate) fn spawn_failure_probe(
    context: &ForwardContext,
    request: &RoutedRequest,
    entry: &Arc<BackendEntry>,
) -> ProbeHandle {
    let (running, finished) = oneshot::channel();
    let (context, entry) = (context.clone(), Arc::clone(entry));
    // Not the request itself: its body would be kept for as long as the row is watched.
    let (id, print) = (Name::clone(&request.id), request.fingerprint);
    let tasks = context.tasks.clone();
    tasks.spawn(async move {
        let mut running = Some(running);
        let cause = match probe_backend(&context, &entry).await {
            ProbeVerdict::Known(cause) => cause,
            ProbeVerdict::Undecided(result) => {
                // The request does not wait for the row.
                drop(running.take());
                watch_directory_row(&context, &entry, result).await
            }
        };
        if cause == FailureCause::Crashed {
            context.suspects.record_crash(print, entry.instance().label());
        }
        drop(running);
        context.metrics.record_failed_attempt(cause.name());
        log::info!(
            "event=break_traced id={id} print={print} backend={} start={} found={}",
            entry.id,
            entry.start.map_or(0, |start| start.0),
            cause.name(),
        );
    });
    ProbeHandle { finished }
}

/// What a first look says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeVerdict {
    /// All there is to know.
    Known(FailureCause),
    /// What its row shows later decides.
    Undecided(ProbeResult),
}

async fn probe_backend(context: &ForwardContext, entry: &Arc<BackendEntry>) -> ProbeVerdict {
    match row_state(&context.view(), entry) {
        RowState::Ready => {}
        RowState::Restarted => return ProbeVerdict::Known(FailureCause::Crashed),
        RowState::Leaving | RowState::Gone => return ProbeVerdict::Known(FailureCause::Leaving),
    }
    match context.probes.probe(context, entry).await {
        ProbeResult::Refused => ProbeVerdict::Known(FailureCause::Crashed),
        result @ (ProbeResult::Reachable | ProbeResult::NoResponse) => {
            ProbeVerdict::Undecided(result)
        }
    }
}

/// Watches the row of a backend server that takes connections, or does not answer.
async fn watch_directory_row(
    context: &ForwardContext,
    entry: &Arc<BackendEntry>,
    result: ProbeResult,
) -> FailureCause {
    let mut directory = context.directory.clone();
    let changed = directory.wait_for(|view| row_state(view, entry) != RowState::Ready);
    let row = match tokio::time::timeout(ROW_WATCH_TIME, changed).await {
        Ok(Ok(view)) => row_state(&view, entry),
        Ok(Err(_closed)) => RowState::Ready,
        Err(_elapsed) => RowState::Ready,
    };
    match (row, result) {
        (RowState::Restarted, _) | (RowState::Gone, ProbeResult::NoResponse) => {
            FailureCause::Crashed
        }
        (_, ProbeResult::Reachable) => FailureCause::Alive,
        (RowState::Leaving, _) => FailureCause::Leaving,
        (RowState::Ready | RowState::Gone, _) => FailureCause::Unknown,
    }
}

/// What the directory shows of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowState {
    Ready,
    Restarted,
    Leaving,
    Gone,
}

fn row_state(view: &DirectoryView, entry: &BackendEntry) -> RowState {
    match view.entries.get(&entry.id) {
        None => RowState::Gone,
        Some(known) if BackendStart::are_different(known.start, entry.start) => RowState::Restarted,
        Some(known) if known.is_ready() => RowState::Ready,
        Some(_draining) => RowState::Leaving,
    }
}
