//! Prefills prompts: chooses the engine, retries, and releases unused results.

use std::sync::Arc;
use std::time::Duration;

use dillspool_admission::{EngineFault, WorkClass};
use dillspool_io::DeadlineElapsed;
use dillspool_routing::{BackendEntry, BackendId, RoutedRequest};
use dillspool_scheduler::PlacementEvent;
use dillspool_suspects::RunProgress;
use tokio::time::Instant;

use crate::backend_probe::AttemptProbes;
use crate::calls::{CallError, PrefillParams, PrefilledPrompt, WorkPriority};
use crate::context::ForwardContext;
use crate::placement::{Placement, other_software, placement_request};
use crate::retry_budget::RetryReservation;
use crate::throttle::{
    MAX_BLOCKED_BACKENDS, REQUEST_COST, acquire_permit, charge_send, should_release,
};
use crate::trace::log_retry_budget_exhausted;

/// Longest wait for a prefill; an engine processes its queued prompts one after another. The engine may
/// still compute an abandoned prefill, which costs nearly as much as a useful response.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Request age from which a failed prefill is not retried, since the first event would be late.
const MAX_AGE_FOR_RETRY: Duration = Duration::from_millis(700);

/// The result of a prefill; dropping it releases the result unless it was used.
pub(crate) struct PrefillGuard {
    context: ForwardContext,
    pub(crate) prefilled: Option<PrefilledPrompt>,
}

impl PrefillGuard {
    /// No result: the decode engine prefills the prompt itself.
    pub(crate) fn empty(context: &ForwardContext) -> Self {
        Self { context: context.clone(), prefilled: None }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        let Some(prefilled) = self.prefilled.take() else { return };
        if !should_release(&self.context, &prefilled.engine) {
            return;
        }
        let (entry, handle) = (prefilled.engine, prefilled.handle);
        charge_send(&self.context, &entry, REQUEST_COST);
        let release = (self.context.calls.release_prefill)(Arc::clone(&entry), handle);
        self.context.tasks.spawn(async move {
            if let Err(error) = release.await {
                log::debug!("event=prefill_not_released backend={} cause=\"{error}\"", entry.id);
            }
        });
    }
}

/// Prefills the prompt at the scheduled engine. If that fails, the decode engine prefills it itself, which
/// delays the streams that run there.
pub(crate) async fn prefill(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    placement: &Placement,
    priority: WorkPriority,
) -> PrefillGuard {
    let mut guard = PrefillGuard::empty(context);
    guard.prefilled = try_prefill_engines(context, request, placement, priority).await;
    if guard.prefilled.is_none() && placement.prefill.is_some() {
        placement.ticket.record(&PlacementEvent::PrefilledLocally);
    }
    guard
}

/// The prefill's result from the scheduled engine or, if that fails, from another one.
async fn try_prefill_engines(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    placement: &Placement,
    priority: WorkPriority,
) -> Option<PrefilledPrompt> {
    let mut next = placement.prefill.clone();
    let (mut tried, mut probes) = (Vec::new(), AttemptProbes::default());
    while let Some(id) = next.take() {
        tried.push(BackendId::clone(&id));
        let Some(entry) = context.ready_entry(request, &id) else {
            next = next_prefill_engine(context, request, placement, priority, &tried).await;
            continue;
        };
        if entry.software != placement.entry.software {
            // A scheduler of an earlier build does not know of software versions.
            tried.extend(other_software(context, request, Some(&placement.entry.software)));
            next = next_prefill_engine(context, request, placement, priority, &tried).await;
            continue;
        }
        let Some(send_permit) = acquire_permit(context, request, &entry, REQUEST_COST).await else {
            if tried.len() >= MAX_BLOCKED_BACKENDS {
                return None;
            }
            next = next_prefill_engine(context, request, placement, priority, &tried).await;
            continue;
        };
        let Some(retry) = context.budgets.reserve(&request.service) else {
            log_retry_budget_exhausted(request, &context.budgets);
            send_permit.refund();
            return None;
        };
        let started = Instant::now();
        let error = match request_prefill(context, request, &entry, priority).await {
            Ok(prefilled) => {
                retry.release();
                placement.ticket.record(&PlacementEvent::Prefilled { took: started.elapsed() });
                return Some(prefilled);
            }
            Err(error) => error,
        };
        log::info!(
            "event=prefill_failed id={} backend={} after_ms={} cause=\"{error}\"",
            request.id,
            entry.id,
            request.age().as_millis(),
        );
        placement.ticket.record_fault(&entry, prefill_fault(&error));
        if matches!(error, CallError::NotSent { .. }) {
            send_permit.refund();
        }
        if matches!(error, CallError::Lost { .. }) {
            probes.start(context, request, &entry, RunProgress::Starting);
            if !probes.may_retry(context, request).await {
                return None;
            }
        }
        if !settle_failed_prefill(context, request, &error, retry) {
            return None;
        }
        next = next_prefill_engine(context, request, placement, priority, &tried).await;
    }
    None
}

/// Asks the scheduler for a prefill engine that was not tried yet.
async fn next_prefill_engine(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    placement: &Placement,
    priority: WorkPriority,
    tried: &[BackendId],
) -> Option<BackendId> {
    let class = if priority == WorkPriority::Late { WorkClass::Late } else { WorkClass::InTime };
    let software = Some(&placement.entry.software);
    let query = placement_request(context, request, class, request.remaining(), tried, software);
    placement.ticket.choose_prefill(&query).await
}

fn prefill_fault(error: &CallError) -> EngineFault {
    match error {
        CallError::NotSent { .. } => EngineFault::Unreachable,
        CallError::Refused { .. } => EngineFault::PrefillRefused,
        CallError::Lost { .. } => EngineFault::NoResponse,
    }
}

/// Requests a prefill from one engine.
async fn request_prefill(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    entry: &Arc<BackendEntry>,
    priority: WorkPriority,
) -> Result<PrefilledPrompt, CallError> {
    context.metrics.record_prefill();
    let limit = request.remaining().min(PREFILL_TIMEOUT);
    let params = PrefillParams { limit, priority };
    let call = (context.calls.prefill)(Arc::clone(entry), Arc::clone(request), params);
    let call = context.cancel_on_restart(entry, call);
    let started = Instant::now();
    let ended = request.clock.timeout(limit, call).await;
    let took = started.elapsed();
    context.metrics.record_prefill_duration(took);
    let timed_out =
        |DeadlineElapsed| CallError::Lost { reason: format!("no prefill within {limit:?}") };
    ended.map_err(timed_out)?
}

/// Settles the retry budget of a failed prefill and returns whether another engine may be tried.
fn settle_failed_prefill(
    context: &ForwardContext,
    request: &RoutedRequest,
    error: &CallError,
    retry: RetryReservation,
) -> bool {
    let in_time = request.age() < MAX_AGE_FOR_RETRY;
    match error {
        CallError::NotSent { .. } => {
            retry.release();
            in_time
        }
        CallError::Refused { .. } => {
            retry.record_refusal();
            in_time
        }
        CallError::Lost { .. } => {
            // Only one retry is charged: the next prefill if it is allowed, otherwise this one.
            let again = in_time && context.budgets.try_withdraw(&request.service);
            if again {
                retry.release();
            }
            again
        }
    }
}
