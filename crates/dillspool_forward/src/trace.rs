//! One line in the log and one count for each request, however it ends.

use std::sync::Arc;
use std::time::Duration;

use dillspool_admission::{PlacementRejection, PlacementRequest};
use dillspool_calls::{CallDecision, CallRequest, RejectCause};
use dillspool_routing::{BackendId, DirectoryView, RoutedRequest};
use dillspool_schema::Name;
use dillspool_suspects::CopyRefusal;
use dillspool_version::StoreVersion;

use crate::context::ForwardContext;
use crate::metrics::{ForwardMetrics, OutcomeLabels};
use crate::refusal::Refusal;
use crate::retry_budget::RetryBudgets;
use crate::stages::{FirstEventStages, LateCause, StreamStats};

/// Reports the end of a request; one that is dropped before reports that the caller left.
#[derive(Debug)]
pub(crate) struct RequestTrace {
    request: Arc<RoutedRequest>,
    metrics: ForwardMetrics,
    /// What the last choice of a backend server rested on, for the last line.
    choice: Option<BackendChoice>,
    ended: bool,
}

/// A backend server that was chosen.
#[derive(Debug)]
struct BackendChoice {
    backend: BackendId,
    /// Version of the directory from which it was chosen.
    directory: StoreVersion,
    /// How many were chosen for the request so far.
    count: u32,
}

impl RequestTrace {
    pub(crate) fn new(request: &Arc<RoutedRequest>, metrics: &ForwardMetrics) -> Self {
        metrics.record_start();
        Self { request: Arc::clone(request), metrics: metrics.clone(), choice: None, ended: false }
    }

    /// A backend server was chosen.
    pub(crate) fn record_backend(&mut self, backend: &BackendId, directory: StoreVersion) {
        let count = self.choice.as_ref().map_or(0, |choice| choice.count) + 1;
        let backend = BackendId::clone(backend);
        self.choice = Some(BackendChoice { backend, directory, count });
    }

    /// The whole answer was given to the caller's connection.
    pub(crate) fn answered(&mut self, status: u16) {
        self.end("answered", "", &format!("status={status}"));
    }

    /// The whole stream was given to the caller's connection.
    pub(crate) fn streamed(&mut self, status: u16, stages: &FirstEventStages, stats: &StreamStats) {
        let late = LateCause::of(&self.request, stages, stats).map_or("", LateCause::name);
        let detail = format!("status={status} late={late} {}", self.stream_fields(stages, stats));
        self.end("answered", "", &detail);
    }

    fn stream_fields(&self, stages: &FirstEventStages, stats: &StreamStats) -> String {
        format!(
            "spent_before_ms={} reserved_ms={} prefilled_ms={} opened_ms={} first_ms={} events={} longest_pause_ms={} reopened={} read_at_decode={}",
            self.request.spent_before.as_millis(),
            stages.reserved.as_millis(),
            stages.prefilled.as_millis(),
            stages.opened.as_millis(),
            stats.time_to_first_event.as_millis(),
            stats.events,
            stats.longest_pause.as_millis(),
            stats.resumes,
            stats.read_at_decode,
        )
    }

    /// A backend server's failure was given to the caller.
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

    /// The answer broke off; the caller sees its connection break.
    pub(crate) fn stream_broken(
        &mut self,
        detail: &str,
        stages: &FirstEventStages,
        stats: &StreamStats,
    ) {
        let fields = self.stream_fields(stages, stats);
        self.end("broken", "", &format!("{fields} detail=\"{detail}\""));
    }

    /// An answer that was passed on in part broke off; the caller sees its connection break.
    pub(crate) fn response_broken(&mut self, detail: &str) {
        self.end("broken", "", &format!("detail=\"{detail}\""));
    }

    fn end(&mut self, outcome: &'static str, cause: &'static str, detail: &str) {
        if self.ended {
            return;
        }
        self.ended = true;
        let request = &self.request;
        let lasted = request.age();
        let choice = self.choice.as_ref().map_or(String::new(), |choice| {
            let BackendChoice { backend, directory, count } = choice;
            format!("backend={backend} directory={directory} chosen={count} ")
        });
        log::info!(
            "event=request_ended id={} print={} route={} service={} workspace={} config={} outcome={outcome} cause={cause} after_ms={} {choice}{detail}",
            request.id,
            request.fingerprint,
            request.route.name,
            request.service,
            request.workspace.as_ref().map_or("", |workspace| &*workspace.name),
            request.config_version,
            lasted.as_millis(),
        );
        let route = Name::clone(&request.route.name);
        self.metrics.record_end(&OutcomeLabels { route, outcome, cause }, lasted);
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        self.end("caller_gone", "", "");
    }
}

/// A copy is not sent, for what became of backend servers under copies before it.
pub(crate) fn log_suspect_refused(request: &RoutedRequest, refused: CopyRefusal) {
    log::info!(
        "event=suspect_refused id={} print={} route={} workspace={} why={refused:?}",
        request.id,
        request.fingerprint,
        request.route.name,
        request.workspace.as_ref().map_or("", |workspace| &*workspace.name),
    );
}

/// A try that failed; the request may go on.
pub(crate) fn log_send_failed(request: &RoutedRequest, backend: &BackendId, cause: &str) {
    log::info!(
        "event=send_failed id={} backend={backend} after_ms={} cause=\"{cause}\"",
        request.id,
        request.age().as_millis(),
    );
}

/// A decision names a backend server that takes no new requests as far as this host knows.
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

/// Another try was due and the budget did not allow it.
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

/// Why a request is refused for want of engines, and what that rested on.
pub(crate) fn log_placement_rejected(
    context: &ForwardContext,
    request: &RoutedRequest,
    question: &PlacementRequest,
    cause: PlacementRejection,
    come_back: Duration,
) {
    log::info!(
        "event=turned_away id={} class={:?} cause={cause:?} prompt={} guess={} refused={} directory={} after_ms={} come_back_ms={}",
        request.id,
        question.class,
        question.prompt_tokens,
        question.estimated_tokens,
        question.refusals,
        context.view().version,
        request.age().as_millis(),
        come_back.as_millis(),
    );
}

/// A call that has waited for the host that decides on the calls of its service.
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

/// A call is not sent any more, by the word of whoever decides on the calls of its service.
pub(crate) fn log_call_rejected(
    request: &RoutedRequest,
    question: &CallRequest,
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
        question.objective_left.as_millis(),
        question.time_left.as_millis(),
        question.excluded.len(),
        request.age().as_millis(),
        retry_after.as_millis(),
    );
}

/// This host does not follow a decision on a call.
pub(crate) fn log_call_overruled(request: &RoutedRequest, backend: &str, why: &str) {
    log::info!(
        "event=call_overruled id={} service={} backend={backend} why={why} after_ms={}",
        request.id,
        request.service,
        request.age().as_millis(),
    );
}
