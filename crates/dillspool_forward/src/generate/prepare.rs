//! Prepares an attempt: reserves memory, prefills the prompt, and withdraws from the retry budget.

use std::time::Duration;

use dillspool_admission::WorkClass;
use dillspool_io::DeadlineElapsed;
use dillspool_routing::DirectoryView;
use tokio::time::Instant;

use super::{ModelRequest, PreparedAttempt};
use crate::backend_probe::is_retryable;
use crate::calls::WorkPriority;
use crate::placement::{Placement, place, placement_request};
use crate::prefill::{PrefillGuard, prefill};
use crate::refusal::{Refusal, RefusalCause};
use crate::stages::FirstEventStages;
use crate::throttle::{
    blocked_backends, pick_with_permit, refusal_if_blocked, wait_until_unblocked,
};
use crate::trace::log_retry_budget_exhausted;

/// Callers disconnect after this time without an event, or after the multiples below of their latency
/// objective or maximum event gap if those are longer. The platform's callers do the same.
const MIN_CALLER_SILENCE: Duration = Duration::from_secs(2);
const CALLER_SILENCE_OBJECTIVES: u32 = 4;
const CALLER_SILENCE_EVENT_GAPS: u32 = 8;
/// Retry delay when no engine is known; directories recover within seconds.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_secs(1);

impl ModelRequest {
    /// Reserves memory and prefills the prompt.
    pub(super) async fn prepare(&mut self) -> Result<PreparedAttempt, Refusal> {
        if self.request.remaining().is_zero() || self.attempts >= self.request.route.max_attempts {
            return Err(self.final_refusal());
        }
        if self.may_have_run && !self.probes.may_retry(&self.context, &self.request).await {
            return Err(self.final_refusal());
        }
        self.check_software().map_err(|refusal| {
            // Once a response has begun, only the log shows the cause.
            let has_begun = !self.is_before_first_event();
            if self.may_have_run && !has_begun { self.final_refusal() } else { refusal }
        })?;
        let placing = self.request.clock.timeout_at(self.request.deadline, self.place());
        let parts = &self.request.part_fingerprints;
        let refused = self.context.suspects.wait_until_refused(self.request.fingerprint, parts);
        let placement = tokio::select! {
            placed = placing => match placed {
                Ok(placed) => placed?,
                Err(DeadlineElapsed) => return Err(self.final_refusal()),
            },
            () = refused => return Err(self.final_refusal()),
        };
        if !is_retryable(&self.context, &self.request) {
            return Err(self.final_refusal());
        }
        let reserved = self.request.age();
        if self.attempts > 0 {
            self.withdraw_retry()?;
        }
        let prefill = self.prefill(&placement).await;
        if self.is_before_first_event() {
            let prefilled = self.request.age();
            self.stages = FirstEventStages { reserved, prefilled, ..FirstEventStages::default() };
        }
        // The prefill alone may have crashed engines.
        if !is_retryable(&self.context, &self.request) || self.request.remaining().is_zero() {
            return Err(self.final_refusal());
        }
        Ok(PreparedAttempt { placement, prefill })
    }

    /// Prefills the prompt. Every prefill of a request but the first is a retry and needs budget.
    async fn prefill(&mut self, placement: &Placement) -> PrefillGuard {
        if self.prefills > 0 && !self.context.budgets.try_withdraw(&self.request.service) {
            return PrefillGuard::empty(&self.context);
        }
        self.prefills += 1;
        prefill(&self.context, &self.request, placement, self.priority()).await
    }

    /// Requests that miss their objective in any case, as when many callers retry at once, yield to those
    /// that can meet theirs and have as many engines.
    fn priority(&self) -> WorkPriority {
        let is_streaming = !self.is_before_first_event();
        if self.request.is_past_objective() && !is_streaming && !self.has_fewer_engines() {
            WorkPriority::Late
        } else {
            WorkPriority::Normal
        }
    }

    pub(super) fn is_before_first_event(&self) -> bool {
        !self.has_events
    }

    /// Withdraws a retry from the retry budget.
    fn withdraw_retry(&self) -> Result<(), Refusal> {
        if self.context.budgets.try_withdraw(&self.request.service) {
            self.context.metrics.record_retry();
            return Ok(());
        }
        log_retry_budget_exhausted(&self.request, &self.context.budgets);
        Err(self.final_refusal())
    }

    /// Finds a decode engine that reserves memory and usually a prefill engine.
    async fn place(&self) -> Result<Placement, Refusal> {
        let view = self.context.view();
        let mut backends = view.ready(&self.request.service).peekable();
        if backends.peek().is_some() && backends.all(|entry| entry.stage.is_none()) {
            return self.place_without_stages(&view).await;
        }
        let (class, max_wait) = (self.class(), self.max_wait());
        let placed = loop {
            let mut excluded = self.tried.ids(&view);
            excluded.extend(blocked_backends(&self.context, &self.request));
            let software = self.software.required();
            let query = placement_request(
                &self.context,
                &self.request,
                class,
                max_wait,
                &excluded,
                software,
            );
            let placed = place(&self.context, &self.request, query).await;
            let is_limited = placed.as_ref().is_err_and(Refusal::is_backends_limited);
            if !is_limited || !Box::pin(wait_until_unblocked(&self.context, &self.request)).await {
                break placed;
            }
        };
        placed.map_err(|refusal| if self.may_have_run { self.final_refusal() } else { refusal })
    }

    fn class(&self) -> WorkClass {
        // A stream that a caller resumes goes on as often as new ones begin: it is placed like a new one, or before
        // them where they have more engines.
        if !self.is_before_first_event() || self.has_fewer_engines() {
            WorkClass::UnderWay
        } else if self.software.required().is_some() {
            WorkClass::InTime
        } else if self.request.is_past_objective() {
            WorkClass::Late
        } else {
            WorkClass::InTime
        }
    }

    /// Longest useful wait for engines: callers disconnect after some time without an event.
    fn max_wait(&self) -> Duration {
        let route = &self.request.route;
        let max_silence = (route.objective * CALLER_SILENCE_OBJECTIVES).max(MIN_CALLER_SILENCE);
        let max_silence = route
            .max_event_gap
            .map_or(max_silence, |it| max_silence.max(it * CALLER_SILENCE_EVENT_GAPS));
        let remaining =
            self.request.remaining().min(max_silence.saturating_sub(self.request.age()));
        self.engine_wait_deadline.map_or(remaining, |until| {
            remaining.min(until.saturating_duration_since(Instant::now()))
        })
    }

    /// Places a stream like a plain request, for services whose backend servers have no stages.
    async fn place_without_stages(&self, view: &DirectoryView) -> Result<Placement, Refusal> {
        let (context, request) = (&self.context, &self.request);
        let software = self.software.required();
        let pick =
            || context.picker(view).pick_with_software(&request.service, &self.tried, software);
        if let Some((entry, _permit)) = pick_with_permit(context, request, pick).await {
            return Ok(Placement::without_reservation(context, entry));
        }
        let none = Refusal::with_retry_after(RefusalCause::NoBackend, NO_ENGINE_RETRY_AFTER);
        Err(refusal_if_blocked(context, request).unwrap_or(none))
    }
}
