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
const WATCHED_FOR: Duration = Duration::from_secs(10);

/// Why a run broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum FailureCause {
    /// Its backend server ended while it ran.
    Crashed,
    /// Its backend server lives on.
    Alive,
    /// Its backend server was known to leave before.
    Leaving,
    /// It cannot be told.
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

type SharedLook = Shared<BoxFuture<ProbeResult>>;

/// Looks at backend servers, one at a time for each start, however many runs broke off there.
#[derive(Clone, Default)]
pub struct BackendProbes {
    under_way: Arc<Mutex<HashMap<BackendInstance, SharedLook>>>,
}

impl fmt::Debug for BackendProbes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BreakLooks")
    }
}

impl BackendProbes {
    async fn look(&self, context: &ForwardContext, entry: &Arc<BackendEntry>) -> ProbeResult {
        let look = self.with(|looks| {
            let begin = || (context.calls.probe)(Arc::clone(entry)).shared();
            looks.entry(entry.instance()).or_insert_with(begin).clone()
        });
        let sign = look.await;
        self.with(|looks| looks.remove(&entry.instance()));
        sign
    }

    fn with<T>(&self, run: impl FnOnce(&mut HashMap<BackendInstance, SharedLook>) -> T) -> T {
        run(&mut self.under_way.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Time for which a request that may be sent once more waits for a look at the backend server before. A
/// machine that answers does so within a round trip; one that does not has gone, or is cut off.
const LOOK_WAIT: Duration = Duration::from_millis(300);

/// A look at the backend server of a run that broke off.
#[derive(Debug)]
pub(crate) struct ProbeHandle {
    looked: oneshot::Receiver<()>,
}

/// Whether a request that may have run may be sent to another backend server.
///
/// Where one more end would have it refused, the look at the one before is waited for; without that a
/// request that may go on elsewhere ends one backend server more.
pub(crate) async fn may_retry(
    context: &ForwardContext,
    request: &RoutedRequest,
    look: &mut Option<ProbeHandle>,
) -> bool {
    if let Some(look) = look.take()
        && context.suspects.needs_failure_cause(request.fingerprint)
    {
        // Its sender is dropped once the look is over.
        let _looked = tokio::time::timeout(LOOK_WAIT, look.looked).await;
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
    let (looking, looked) = oneshot::channel();
    let (context, entry) = (context.clone(), Arc::clone(entry));
    // Not the request itself: its body would be kept for as long as the row is watched.
    let (id, print) = (Name::clone(&request.id), request.fingerprint);
    let tasks = context.tasks.clone();
    tasks.spawn(async move {
        let mut looking = Some(looking);
        let cause = match look_at(&context, &entry).await {
            FirstLook::Cause(cause) => cause,
            FirstLook::Sign(sign) => {
                // The request does not wait for the row.
                drop(looking.take());
                watch_row(&context, &entry, sign).await
            }
        };
        if cause == FailureCause::Crashed {
            context.suspects.record_crash(print, entry.instance().label());
        }
        drop(looking);
        context.metrics.note_broken_run(cause.name());
        log::info!(
            "event=break_traced id={id} print={print} backend={} start={} found={}",
            entry.id,
            entry.start.map_or(0, |start| start.0),
            cause.name(),
        );
    });
    ProbeHandle { looked }
}

/// What a first look says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstLook {
    /// All there is to know.
    Cause(FailureCause),
    /// What its row shows later decides.
    Sign(ProbeResult),
}

async fn look_at(context: &ForwardContext, entry: &Arc<BackendEntry>) -> FirstLook {
    match row_sign(&context.view(), entry) {
        RowSign::Ready => {}
        RowSign::Restarted => return FirstLook::Cause(FailureCause::Crashed),
        RowSign::Leaving | RowSign::Gone => return FirstLook::Cause(FailureCause::Leaving),
    }
    match context.probes.look(context, entry).await {
        ProbeResult::Refused => FirstLook::Cause(FailureCause::Crashed),
        sign @ (ProbeResult::Reachable | ProbeResult::NoResponse) => FirstLook::Sign(sign),
    }
}

/// Watches the row of a backend server that takes connections, or does not answer.
async fn watch_row(
    context: &ForwardContext,
    entry: &Arc<BackendEntry>,
    sign: ProbeResult,
) -> FailureCause {
    let mut directory = context.directory.clone();
    let told = directory.wait_for(|view| row_sign(view, entry) != RowSign::Ready);
    let row = match tokio::time::timeout(WATCHED_FOR, told).await {
        Ok(Ok(view)) => row_sign(&view, entry),
        Ok(Err(_closed)) => RowSign::Ready,
        Err(_elapsed) => RowSign::Ready,
    };
    match (row, sign) {
        (RowSign::Restarted, _) | (RowSign::Gone, ProbeResult::NoResponse) => FailureCause::Crashed,
        (_, ProbeResult::Reachable) => FailureCause::Alive,
        (RowSign::Leaving, _) => FailureCause::Leaving,
        (RowSign::Ready | RowSign::Gone, _) => FailureCause::Unknown,
    }
}

/// What the directory shows of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowSign {
    Ready,
    Restarted,
    Leaving,
    Gone,
}

fn row_sign(view: &DirectoryView, entry: &BackendEntry) -> RowSign {
    match view.entries.get(&entry.id) {
        None => RowSign::Gone,
        Some(known) if BackendStart::are_different(known.start, entry.start) => RowSign::Restarted,
        Some(known) if known.is_ready() => RowSign::Ready,
        Some(_draining) => RowSign::Leaving,
    }
}
