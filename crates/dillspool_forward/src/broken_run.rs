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
use dillspool_routing::{BackendEntry, BackendStart, DirectoryView, RoutedRequest, StartedBackend};
use futures_util::FutureExt;
use futures_util::future::Shared;

use crate::calls::BackendSign;
use crate::context::ForwardContext;

/// Time for which the directory is watched for a word on a backend server that does not answer: its row
/// lapses after three heartbeats of about a second, and one that starts again is listed some seconds later.
const WATCHED_FOR: Duration = Duration::from_secs(10);

/// Why a run broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum BreakCause {
    /// Its backend server ended while it ran.
    Ended,
    /// Its backend server lives on.
    Lives,
    /// Its backend server was known to leave before.
    Leaving,
    /// It cannot be told.
    Unclear,
}

impl BreakCause {
    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Lives => "lives",
            Self::Leaving => "leaving",
            Self::Unclear => "unclear",
        }
    }
}

type SharedLook = Shared<BoxFuture<BackendSign>>;

/// Looks at backend servers, one at a time for each start, however many runs broke off there.
#[derive(Clone, Default)]
pub struct BreakLooks {
    under_way: Arc<Mutex<HashMap<StartedBackend, SharedLook>>>,
}

impl fmt::Debug for BreakLooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BreakLooks")
    }
}

impl BreakLooks {
    async fn look(&self, context: &ForwardContext, entry: &Arc<BackendEntry>) -> BackendSign {
        let look = self.with(|looks| {
            let begin = || (context.calls.look)(Arc::clone(entry)).shared();
            looks.entry(entry.started()).or_insert_with(begin).clone()
        });
        let sign = look.await;
        self.with(|looks| looks.remove(&entry.started()));
        sign
    }

    fn with<T>(&self, run: impl FnOnce(&mut HashMap<StartedBackend, SharedLook>) -> T) -> T {
        run(&mut self.under_way.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Finds out why a run broke off, beside the request, and tells it.
pub(crate) fn trace_break(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    entry: &Arc<BackendEntry>,
) {
    let (context, request, entry) = (context.clone(), Arc::clone(request), Arc::clone(entry));
    let tasks = context.tasks.clone();
    tasks.spawn(async move {
        let cause = find_cause(&context, &entry).await;
        context.metrics.note_broken_run(cause.name());
        log::info!(
            "event=break_traced id={} print={} backend={} start={} found={} after_ms={}",
            request.id,
            request.print,
            entry.id,
            entry.start.map_or(0, |start| start.0),
            cause.name(),
            request.age().as_millis(),
        );
    });
}

async fn find_cause(context: &ForwardContext, entry: &Arc<BackendEntry>) -> BreakCause {
    match row_sign(&context.view(), entry) {
        RowSign::Ready => {}
        RowSign::Restarted => return BreakCause::Ended,
        RowSign::Leaving | RowSign::Gone => return BreakCause::Leaving,
    }
    let sign = context.breaks.look(context, entry).await;
    if sign == BackendSign::Ended {
        return BreakCause::Ended;
    }
    let mut directory = context.directory.clone();
    let told = directory.wait_for(|view| row_sign(view, entry) != RowSign::Ready);
    let row = match tokio::time::timeout(WATCHED_FOR, told).await {
        Ok(Ok(view)) => row_sign(&view, entry),
        Ok(Err(_closed)) => RowSign::Ready,
        Err(_elapsed) => RowSign::Ready,
    };
    match (row, sign) {
        (RowSign::Restarted, _) | (RowSign::Gone, BackendSign::Unclear) => BreakCause::Ended,
        (_, BackendSign::Lives) => BreakCause::Lives,
        (RowSign::Leaving, _) => BreakCause::Leaving,
        (RowSign::Ready | RowSign::Gone, _) => BreakCause::Unclear,
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
        Some(known) if BackendStart::differ(known.start, entry.start) => RowSign::Restarted,
        Some(known) if known.is_ready() => RowSign::Ready,
        Some(_draining) => RowSign::Leaving,
    }
}
