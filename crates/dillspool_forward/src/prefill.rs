//! Prefills: at which engine, and what becomes of a result that is not used.

use std::sync::Arc;
use std::time::Duration;

use dillspool_routing::{BackendEntry, BackendId, EngineStage, RoutedRequest};
use rand::Rng;
use tokio::time::Instant;

use crate::budget::BudgetPermit;
use crate::calls::{CallError, PrefillTerms, PrefilledPrompt, WorkRank};
use crate::context::ForwardContext;
use crate::reservation::Placement;
use crate::trace::log_budget_empty;

/// Time for which an engine that refused a prefill gets none: it leaves or changes its stage, and
/// every refusal counts towards the retry budget.
const REFUSED_SPAN: Duration = Duration::from_secs(1);
/// Longest wait for a prefill; its engine queues prompts one after another. One that is given up
/// may be read for nothing, at nearly the worth of its answer.
const PREFILL_LIMIT: Duration = Duration::from_millis(2500);
/// Age of a request from which no other engine is asked after a failed prefill; the first event
/// would be late then.
const LATEST_REPEAT: Duration = Duration::from_millis(700);
/// Wait for a prefill, as a part of the objective, from which some prompts are read at decode
/// engines. The rest of the objective goes to finding memory, the move, the first token, and to
/// queues that have grown since this host last saw them. The best of five pairs of figures on three
/// deployments (`docs/DECIDING.md`, round 3).
const SPILL_FROM: f64 = 0.35;
/// Wait from which all prompts are read there. In between the part rises evenly, so that hosts
/// that see one queue do not all turn away from it at once.
const SPILL_ALL: f64 = 0.7;
/// Waits for a prefill that differ by less count as equal, in ms; a prompt takes about 90.
const PREFILL_STEP_MS: u128 = 100;

/// A prefill's result, given up unless it was used.
pub(crate) struct PrefillGuard {
    context: ForwardContext,
    pub(crate) prefilled: Option<PrefilledPrompt>,
}

impl PrefillGuard {
    /// No result: the decode engine reads the prompt itself.
    pub(crate) fn empty(context: &ForwardContext) -> Self {
        Self { context: context.clone(), prefilled: None }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        let Some(prefilled) = self.prefilled.take() else { return };
        let (entry, handle) = (prefilled.engine, prefilled.handle);
        let release = (self.context.calls.release_prefill)(Arc::clone(&entry), handle);
        self.context.tasks.spawn(async move {
            if let Err(error) = release.await {
                log::debug!("event=prefill_not_released backend={} cause=\"{error}\"", entry.id);
            }
        });
    }
}

/// Prefills near the decode engine; without a result the decode engine prefills itself, which
/// holds up the streams that run there.
pub(crate) async fn prefill(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    placement: &Placement,
    rank: WorkRank,
) -> PrefillGuard {
    let mut guard = PrefillGuard::empty(context);
    if placement.entry.stage.is_none() {
        return guard;
    }
    let mut tried = Vec::new();
    while let Some(entry) = next_engine(context, request, placement, rank, &tried) {
        tried.push(BackendId::clone(&entry.id));
        let Some(permit) = context.budgets.reserve(&request.service) else {
            log_budget_empty(request, &context.budgets);
            return guard;
        };
        let error = match ask(context, request, &entry, rank).await {
            Ok(prefilled) => {
                permit.give_back();
                guard.prefilled = Some(prefilled);
                return guard;
            }
            Err(error) => error,
        };
        log::info!(
            "event=prefill_failed id={} backend={} after_ms={} cause=\"{error}\"",
            request.id,
            entry.id,
            request.age().as_millis(),
        );
        if !note_failure(context, request, &entry.id, &error, permit) {
            break;
        }
    }
    guard
}

/// Asks one engine for a prefill.
async fn ask(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    entry: &Arc<BackendEntry>,
    rank: WorkRank,
) -> Result<PrefilledPrompt, CallError> {
    let tokens = request.generation.as_ref().map_or(1, |terms| terms.prompt_tokens);
    let _load = context.book.enter(&entry.id, tokens);
    let _prefill = context.book.enter_prefill(&entry.id);
    context.metrics.note_prefill();
    let limit = request.remaining().min(PREFILL_LIMIT);
    let terms = PrefillTerms { limit, rank };
    let call = (context.calls.prefill)(Arc::clone(entry), Arc::clone(request), terms);
    let started = Instant::now();
    let ended = tokio::time::timeout(limit, call).await;
    let took = started.elapsed();
    context.metrics.note_prefill_end(took);
    if let Ok(Ok(prefilled)) = &ended {
        context.demand.note_prefill(&request.service, prefilled.tokens, took);
    }
    let silent = |_elapsed| CallError::Lost { reason: format!("no prefill within {limit:?}") };
    ended.map_err(silent)?
}

/// Notes a failed prefill and tells whether another engine may be asked.
fn note_failure(
    context: &ForwardContext,
    request: &RoutedRequest,
    engine: &BackendId,
    error: &CallError,
    permit: BudgetPermit,
) -> bool {
    let in_time = request.age() < LATEST_REPEAT;
    match error {
        CallError::NotSent { reason } => {
            permit.give_back();
            context.book.note_unreachable(engine, reason);
            in_time
        }
        CallError::Refused { .. } => {
            permit.note_refused();
            context.book.note_full(engine, REFUSED_SPAN);
            in_time
        }
        CallError::Lost { reason } => {
            context.book.note_silence(engine, reason);
            // One of the two counts: this call if it was refused, else the next one.
            let again = in_time && context.budgets.take(&request.service);
            if again {
                permit.give_back();
            }
            again
        }
    }
}

/// The prefill engine with the shortest wait; `None` when the decode engine does better.
fn next_engine(
    context: &ForwardContext,
    request: &RoutedRequest,
    placement: &Placement,
    rank: WorkRank,
    tried: &[BackendId],
) -> Option<Arc<BackendEntry>> {
    let (view, book) = (context.view(), &context.book);
    let near = &placement.entry.failure_domain;
    let engines =
        context.chooser(&view).engines(&request.service, EngineStage::Prefill, near, tried);
    let is_open = |entry: &Arc<BackendEntry>| {
        let load = book.read(&entry.id);
        // One that fails at once would look like the fastest.
        !load.is_full && !load.is_aside
    };
    let open = engines.into_iter().filter(is_open);
    let waits = open.map(|entry| (book.prefill_wait(&entry.id), entry));
    // Of equal waits the first, which is the nearest, wins.
    let (wait, entry) = waits.min_by_key(|(wait, _entry)| wait.as_millis() / PREFILL_STEP_MS)?;
    let spills = rank != WorkRank::Late
        && rand::rng().random_bool(spilled_part(wait, request.route.objective));
    (!spills).then_some(entry)
}

/// Part of the prompts that decode engines read while prefills take so long.
fn spilled_part(wait: Duration, objective: Duration) -> f64 {
    let part = wait.as_secs_f64() / objective.as_secs_f64().max(f64::EPSILON);
    ((part - SPILL_FROM) / (SPILL_ALL - SPILL_FROM)).clamp(0.0, 1.0)
}
