//! Before a send: engines with memory, the prompt read, a place in the retry budget.

use std::time::Duration;

use dillspool_admission::WorkClass;
use dillspool_io::MomentPassed;
use dillspool_routing::DirectoryView;
use tokio::time::Instant;

use super::{ModelRequest, PreparedAttempt};
use crate::backend_probe::may_retry;
use crate::calls::WorkPriority;
use crate::placement::{Placement, place, placement_request};
use crate::prefill::{PrefillGuard, prefill};
use crate::refusal::{Refusal, RefusalCause};
use crate::stages::FirstEventStages;
use crate::throttle::{
    blocked_backends, pick_with_permit, refusal_if_blocked, wait_until_unblocked,
};
use crate::trace::log_retry_budget_exhausted;

/// Time without an event after which callers leave: the longest of this, and so many objectives and
/// pause targets; as the platform's callers do.
const MIN_CALLER_SILENCE: Duration = Duration::from_secs(2);
const CALLER_SILENCE_OBJECTIVES: u32 = 4;
const CALLER_SILENCE_EVENT_GAPS: u32 = 8;
/// When to come back if no engine is known; directories recover within seconds.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_secs(1);

impl ModelRequest {
    /// Finds memory and prefills.
    pub(super) async fn prepare(&mut self) -> Result<PreparedAttempt, Refusal> {
        if self.request.remaining().is_zero() || self.attempts >= self.request.route.max_attempts {
            return Err(self.final_refusal());
        }
        if self.may_have_run && !may_retry(&self.context, &self.request, &mut self.probe).await {
            return Err(self.final_refusal());
        }
        let placing = self.request.clock.timeout_at(self.request.deadline, self.place()).await;
        let placement = match placing {
            Ok(placed) => placed?,
            Err(MomentPassed) => return Err(self.final_refusal()),
        };
        let reserved = self.request.age();
        if self.attempts > 0 {
            self.withdraw_retry()?;
        }
        let prefill = self.prefill(&placement).await;
        if self.is_before_first_event() {
            let prefilled = self.request.age();
            self.stages = FirstEventStages { reserved, prefilled, ..FirstEventStages::default() };
        }
        // Its prompt alone may have ended engines.
        let is_deadly = !may_retry(&self.context, &self.request, &mut None).await;
        if is_deadly || self.request.remaining().is_zero() {
            return Err(self.final_refusal());
        }
        Ok(PreparedAttempt { placement, prefill })
    }

    /// Prefills, if the budget allows it: only the first prefill of a request is not a repeat.
    async fn prefill(&mut self, placement: &Placement) -> PrefillGuard {
        if self.prefills > 0 && !self.context.budgets.try_withdraw(&self.request.service) {
            return PrefillGuard::empty(&self.context);
        }
        self.prefills += 1;
        prefill(&self.context, &self.request, placement, self.priority()).await
    }

    /// An answer that is late anyway, as when many callers come back at once, yields to those that
    /// can be in time.
    fn priority(&self) -> WorkPriority {
        let under_way = !self.is_before_first_event();
        if self.request.is_past_objective() && !under_way {
            WorkPriority::Late
        } else {
            WorkPriority::Normal
        }
    }

    pub(super) fn is_before_first_event(&self) -> bool {
        self.last_event == self.request.resume_after
    }

    /// Takes a repeated send from the budget of all hosts.
    fn withdraw_retry(&self) -> Result<(), Refusal> {
        if self.context.budgets.try_withdraw(&self.request.service) {
            self.context.metrics.record_retry();
            return Ok(());
        }
        log_retry_budget_exhausted(&self.request, &self.context.budgets);
        Err(self.final_refusal())
    }

    /// Finds engines: one that decodes and has reserved memory, and mostly one that prefills.
    async fn place(&self) -> Result<Placement, Refusal> {
        let view = self.context.view();
        let mut backends = view.ready(&self.request.service).peekable();
        if backends.peek().is_some() && backends.all(|entry| entry.stage.is_none()) {
            return self.place_without_stages(&view).await;
        }
        let (class, patience) = (self.class(), self.max_wait());
        let placed = loop {
            let mut excluded = self.tried.ids(&view);
            excluded.extend(blocked_backends(&self.context, &self.request));
            let question =
                placement_request(&self.context, &self.request, class, patience, &excluded);
            let placed = place(&self.context, &self.request, question).await;
            let is_limited = placed.as_ref().is_err_and(Refusal::is_backends_limited);
            if !is_limited || !Box::pin(wait_until_unblocked(&self.context, &self.request)).await {
                break placed;
            }
        };
        placed.map_err(|refusal| if self.may_have_run { self.final_refusal() } else { refusal })
    }

    fn class(&self) -> WorkClass {
        if !self.is_before_first_event() {
            WorkClass::UnderWay
        } else if self.request.is_past_objective() {
            WorkClass::Late
        } else {
            WorkClass::InTime
        }
    }

    /// Longest wait for engines that is of any use: callers leave after some time without an event.
    fn max_wait(&self) -> Duration {
        let route = &self.request.route;
        let silence = (route.objective * CALLER_SILENCE_OBJECTIVES).max(MIN_CALLER_SILENCE);
        let silence =
            route.max_event_gap.map_or(silence, |it| silence.max(it * CALLER_SILENCE_EVENT_GAPS));
        let remaining = self.request.remaining().min(silence.saturating_sub(self.request.age()));
        self.engine_wait_deadline.map_or(remaining, |until| {
            remaining.min(until.saturating_duration_since(Instant::now()))
        })
    }

    /// A service whose backend servers play no parts takes its streams like plain requests.
    async fn place_without_stages(&self, view: &DirectoryView) -> Result<Placement, Refusal> {
        let (context, request) = (&self.context, &self.request);
        let choose = || context.picker(view).pick_plain(&request.service, &self.tried);
        if let Some((entry, _permit)) = pick_with_permit(context, request, choose).await {
            return Ok(Placement::without_reservation(context, entry));
        }
        let none = Refusal::with_retry_after(RefusalCause::NoBackend, NO_ENGINE_RETRY_AFTER);
        Err(refusal_if_blocked(context, request).unwrap_or(none))
    }
}
