//! Determines why an attempt failed: because its backend server crashed, or because only the connection did.
//!
//! A broken connection looks the same in both cases. A crashed backend server refuses connections at once, or
//! its directory row shows a new start some seconds later; if its whole machine is gone, the row expires. See
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
use dillspool_suspects::RunProgress;
use futures_util::FutureExt;
use futures_util::future::Shared;
use tokio::sync::oneshot;

use crate::calls::ProbeResult;
use crate::context::ForwardContext;
use crate::trace::parts_field;

/// How long the directory row of an unresponsive backend server is watched. The row expires after three
/// missed heartbeats of about a second, and a restarted backend server is listed some seconds later.
const ROW_WATCH_TIME: Duration = Duration::from_secs(10);

/// Why an attempt failed after the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum FailureCause {
    /// The backend server crashed during the attempt.
    Crashed,
    /// The backend server is still running.
    Alive,
    /// The backend server was already known to be leaving.
    Leaving,
    /// The cause cannot be determined.
    Unknown,
}

impl FailureCause {
    /// Value in logs and metrics.
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

/// Probes of backend servers; all attempts that failed at one instance share a single probe.
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

/// How long a retry waits for the probe of the previous backend server. A reachable machine answers within a
/// round trip; one that does not is down or partitioned.
const PROBE_WAIT: Duration = Duration::from_millis(300);

/// A running probe of the backend server of a failed attempt.
#[derive(Debug)]
pub(crate) struct ProbeHandle {
    finished: oneshot::Receiver<()>,
}

/// Probes of the backend servers at which attempts of one request failed, oldest first.
#[derive(Debug, Default)]
pub(crate) struct AttemptProbes {
    running: Vec<ProbeHandle>,
}

impl AttemptProbes {
    /// Starts the probe of the backend server of a failed attempt.
    pub(crate) fn start(
        &mut self,
        context: &ForwardContext,
        request: &RoutedRequest,
        entry: &Arc<BackendEntry>,
        progress: RunProgress,
    ) {
        self.running.push(spawn_failure_probe(context, request, entry, progress));
    }

    /// Whether a request that may have run may be sent to another backend server.
    ///
    /// This waits for all probes but the newest, and for that one as well if one more crash would get the request
    /// refused. Otherwise the retry could crash another backend server before the earlier crashes are counted.
    pub(crate) async fn may_retry(
        &mut self,
        context: &ForwardContext,
        request: &RoutedRequest,
    ) -> bool {
        let waiting = async {
            let newest = self.running.pop();
            for earlier in self.running.drain(..) {
                // The probe drops its sender when it is done.
                let _finished = earlier.finished.await;
            }
            match newest {
                Some(newest) if needs_failure_cause(context, request) => {
                    let _finished = newest.finished.await;
                }
                Some(newest) => self.running.push(newest),
                None => {}
            }
        };
        // A probe that takes longer is of no use to this attempt.
        let _elapsed = tokio::time::timeout(PROBE_WAIT, waiting).await;
        is_retryable(context, request)
    }
}

/// Whether a request is not refused for the backend servers that crashed on it.
pub(crate) fn is_retryable(context: &ForwardContext, request: &RoutedRequest) -> bool {
    !context.suspects.is_refused(request.fingerprint, &request.part_fingerprints)
}

fn needs_failure_cause(context: &ForwardContext, request: &RoutedRequest) -> bool {
    context.suspects.needs_failure_cause(request.fingerprint, &request.part_fingerprints)
}

/// Determines in the background why an attempt failed, and counts a crash of its backend server against the
/// request and, if the run was starting, against the parts of its prompt.
pub(crate) fn spawn_failure_probe(
    context: &ForwardContext,
    request: &RoutedRequest,
    entry: &Arc<BackendEntry>,
    progress: RunProgress,
) -> ProbeHandle {
    let (running, finished) = oneshot::channel();
    let (context, entry) = (context.clone(), Arc::clone(entry));
    // Clones only the id and the fingerprints: the request's body would stay in memory while the row is watched.
    let (id, fingerprint) = (Name::clone(&request.id), request.fingerprint);
    let (parts, shown_parts) = (Arc::clone(&request.part_fingerprints), parts_field(request));
    let tasks = context.tasks.clone();
    tasks.spawn(async move {
        let mut running = Some(running);
        let cause = match probe_backend(&context, &entry).await {
            ProbeVerdict::Known(cause) => cause,
            ProbeVerdict::Undecided(result) => {
                // The request waits for the probe only, not for the directory row.
                drop(running.take());
                watch_directory_row(&context, &entry, result).await
            }
        };
        if cause == FailureCause::Crashed {
            let starting_parts = match progress {
                RunProgress::Starting => &parts[..],
                RunProgress::Underway => &[],
            };
            context.suspects.record_crash(fingerprint, starting_parts, &entry.instance().label());
        }
        drop(running);
        context.metrics.record_failed_attempt(cause.name());
        log::info!(
            "event=break_traced id={id} print={fingerprint} backend={} start={} found={} progress={} parts={}",
            entry.id,
            entry.start.map_or(0, |start| start.0),
            cause.name(),
            progress.name(),
            shown_parts,
        );
    });
    ProbeHandle { finished }
}

/// Result of the first check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeVerdict {
    /// The cause is known.
    Known(FailureCause),
    /// The directory row decides later.
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

/// Watches the directory row of a backend server that accepts connections or does not respond.
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

/// State of a backend server in the directory.
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
