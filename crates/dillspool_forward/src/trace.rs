//! Logs and counts each request exactly once, however it ends.

use std::sync::Arc;
use std::time::Duration;

use dillspool_admission::{PlacementRejection, PlacementRequest};
use dillspool_calls::{CallDecision, CallRequest, RejectCause};
use dillspool_routing::{BackendId, DirectoryView, RoutedRequest};
use dillspool_schema::Name;
use dillspool_suspects::{CopyRefusal, join_fingerprints};
use dillspool_version::StoreVersion;

use crate::context::ForwardContext;
use crate::metrics::{ForwardMetrics, OutcomeLabels};
use crate::refusal::Refusal;
use crate::retry_budget::RetryBudgets;
use crate::stages::{FirstEventStages, LateCause, StreamStats};

/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Reports the end of a request. Dropped before the end, it reports that the caller disconnected.
#[derive(Debug)]
pub(crate) struct RequestTrace {
    request: Arc<RoutedRequest>,
    metrics: ForwardMetrics,
    /// The last backend server that was chosen, for the final log line.
    choice: Option<BackendChoice>,
    ended: bool,
}

/// A backend server that was chosen.
#[derive(Debug)]
struct BackendChoice {
    backend: BackendId,
    /// Version of the directory that the choice was based on.
    directory: StoreVersion,
    /// Number of choices made for the request so far.
    count: u32,
}

impl RequestTrace {
    pub(crate) fn new(request: &Arc<RoutedRequest>, metrics: &ForwardMetrics) -> Self {
        metrics.record_start();
        Self { request: Arc::clone(request), metrics: metrics.clone(), choice: None, ended: false }
    }

    /// Records the choice of a backend server.
    pub(crate) fn record_backend(&mut self, backend: &BackendId, directory: StoreVersion) {
        let count = self.choice.as_ref().map_or(0, |choice| choice.count) + 1;
        let backend = BackendId::clone(backend);
        self.choice = Some(BackendChoice { backend, directory, count });
    }

    /// Reports that the complete response was written to the caller's connection.
    pub(crate) fn answered(&mut self, status: u16) {
        self.end("answered", "", &format!("status={status}"));
    }

    /// Reports that the complete stream was written to the caller's connection.
    pub(crate) fn streamed(
        &mut self,
        status: u16,
        stages: &FirstEventStages,
        stream_stats: &StreamStats,
    ) {
        let late = LateCause::of(&self.request, stages, stream_stats).map_or("", LateCause::name);
        let detail =
            format!("status={status} late={late} {}", self.stream_fields(stages, stream_stats));
        self.end("answered", "", &detail);
    }

    fn stream_fields(&self, stages: &FirstEventStages, stream_stats: &StreamStats) -> String {
        format!(
            "spent_before_ms={} reserved_ms={} prefilled_ms={} opened_ms={} first_ms={} events={} longest_pause_ms={} reopened={} read_at_decode={}",
            self.request.spent_before.as_millis(),
            stages.reserved.as_millis(),
            stages.prefilled.as_millis(),
            stages.opened.as_millis(),
            stream_stats.time_to_first_event.as_millis(),
            stream_stats.events,
            stream_stats.longest_event_gap.as_millis(),
            stream_stats.resumes,
            stream_stats.read_at_decode,
        )
    }

    /// Reports that a backend server's failure response was passed to the caller.
    pub(crate) fn failed(&mut self, status: u16) {
        self.end("failed", "", &format!("status={status}"));
    }

    pub(crate) fn refused(&mut self, refusal: &Refusal) {
        let after_ms = refusal.retry_after.map_or(0, |after| after.as_millis());
        let detail = format!(
            "status={} spent_before_ms={} retry_after_ms={after_ms}",
            refusal.cause.status().as_u16(),
            self.request.spent_before.as_millis(),
        );
        self.end("refused", refusal.cause.name(), &detail);
    }

    /// Reports a broken stream; the caller's connection is aborted.
    pub(crate) fn stream_broken(
        &mut self,
        detail: &str,
        stages: &FirstEventStages,
        stream_stats: &StreamStats,
    ) {
        let fields = self.stream_fields(stages, stream_stats);
        self.end("broken", "", &format!("{fields} detail=\"{detail}\""));
    }

    /// Reports a plain response that broke after the first chunks were relayed; the caller's connection is aborted.
    pub(crate) fn response_broken(&mut self, detail: &str) {
        self.end("broken", "", &format!("detail=\"{detail}\""));
    }

    fn end(&mut self, outcome: &'static str, cause: &'static str, detail: &str) {
        if self.ended {
            return;
        }
        self.ended = true;
        let request = &self.request;
        let elapsed = request.age();
        let choice = self.choice.as_ref().map_or(String::new(), |choice| {
            let BackendChoice { backend, directory, count } = choice;
            format!("backend={backend} directory={directory} chosen={count} ")
        });
        log::info!(
            "event=request_ended id={} print={} route={} service={} workspace={} config={} outcome={outcome} cause={cause} after_ms={} parts={} {choice}{detail}",
            request.id,
            request.fingerprint,
            request.route.name,
            request.service,
            request.workspace.as_ref().map_or("", |workspace| &*workspace.name),
            request.config_version,
            elapsed.as_millis(),
            parts_field(request),
        );
        let route = Name::clone(&request.route.name);
        self.metrics.record_end(&OutcomeLabels { route, outcome, cause }, elapsed);
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        self.end("caller_gone", "", "");
    }
}

/// The first parts of a prompt as a log field.
pub(crate) fn parts_field(request: &RoutedRequest) -> String {
    let parts = &request.part_fingerprints;
    join_fingerprints(&parts[..parts.len().min(MAX_LOGGED_PARTS)])
}

/// Logs a request that is refused because earlier copies of it crashed backend servers.
pub(crate) fn log_suspect_refused(request: &RoutedRequest, refused: CopyRefusal) {
    log::info!(
        "event=suspect_refused id={} print={} route={} workspace={} why={refused:?}",
        request.id,
        request.fingerprint,
        request.route.name,
        request.workspace.as_ref().map_or("", |workspace| &*workspace.name),
    );
}

/// Logs a failed attempt; the request may be retried.
pub(crate) fn log_send_failed(request: &RoutedRequest, backend: &BackendId, cause: &str) {
    log::info!(
        "event=send_failed id={} backend={backend} after_ms={} cause=\"{cause}\"",
        request.id,
        request.age().as_millis(),
    );
}

/// Logs a placement at a backend server that, as far as this host knows, accepts no new requests.
pub(crate) fn log_decision_overruled(
    request: &RoutedRequest,
    backend: &BackendId,
    view: &DirectoryView,
) {
    let known = if view.entries.contains_key(backend) { "leaving" } else { "gone" };
    log::info!(
        "event=decision_overruled id={} backend={backend} known={known} directory={} after_ms={}",
        request.id,
        view.version,
        request.age().as_millis(),
    );
}

/// Logs a retry that the retry budget did not allow.
pub(crate) fn log_retry_budget_exhausted(request: &RoutedRequest, budgets: &RetryBudgets) {
    let reading = budgets.usage(&request.service);
    log::info!(
        "event=retry_budget_empty id={} service={} requests={} repeats={} allowed={:.1} hosts={}",
        request.id,
        request.service,
        reading.requests,
        reading.retries,
        reading.allowed,
        reading.hosts,
    );
}

/// Logs why no engine was found for a request, with the inputs of the decision.
pub(crate) fn log_placement_rejected(
    context: &ForwardContext,
    request: &RoutedRequest,
    query: &PlacementRequest,
    cause: PlacementRejection,
    retry_after: Duration,
) {
    log::info!(
        "event=turned_away id={} class={:?} cause={cause:?} prompt={} guess={} refused={} directory={} after_ms={} come_back_ms={}",
        request.id,
        query.class,
        query.prompt_tokens,
        query.estimated_tokens,
        query.refusals,
        context.view().version,
        request.age().as_millis(),
        retry_after.as_millis(),
    );
}

/// Logs a call that waited in the queue of the host that schedules its service.
pub(crate) fn log_call_queued(request: &RoutedRequest, waited: Duration, decision: &CallDecision) {
    let decided = match decision {
        CallDecision::Send { .. } => "sent",
        CallDecision::Reject { .. } => "rejected",
        CallDecision::Wait => "waits",
    };
    log::info!(
        "event=call_queued id={} service={} waited_ms={} decided={decided}",
        request.id,
        request.service,
        waited.as_millis(),
    );
}

/// Logs a call that the scheduler of its service rejected.
pub(crate) fn log_call_rejected(
    request: &RoutedRequest,
    query: &CallRequest,
    cause: RejectCause,
    retry_after: Duration,
) {
    let cause = match cause {
        RejectCause::NoServer => "no_server",
        RejectCause::NoCapacity => "no_room",
    };
    log::info!(
        "event=call_rejected id={} service={} cause={cause} objective_left_ms={} time_left_ms={} excluded={} after_ms={} retry_after_ms={}",
        request.id,
        request.service,
        query.objective_left.as_millis(),
        query.time_left.as_millis(),
        query.excluded.len(),
        request.age().as_millis(),
        retry_after.as_millis(),
    );
}

/// Logs a scheduling decision that this host overrules.
pub(crate) fn log_call_overruled(request: &RoutedRequest, backend: &str, why: &str) {
    log::info!(
        "event=call_overruled id={} service={} backend={backend} why={why} after_ms={}",
        request.id,
        request.service,
        request.age().as_millis(),
    );
}
