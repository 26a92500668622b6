//! Whether a workspace's limit has room for a request.
//!
//! Load pattern: a workspace that sends many times its usual. What is beyond its limit is refused at
//! once, before it takes a place at any engine or in any line, and is told when its limit has room.

use std::time::Duration;

use dillspool_limits::{LimitRate, RateVersion, SpendDecision, SpendRequest};
use dillspool_routing::RoutedRequest;
use dillspool_scheduler::SpentAmount;
use dillspool_schema::Name;

use crate::context::ForwardContext;
use crate::refusal::{Refusal, RefusalCause};

/// Part of its objective for which a request waits for the host that counts its limit. Another one
/// takes over within some hundred milliseconds, and the other half is left for the answer itself.
const HOLDER_WAIT_PART: f64 = 0.5;
/// When to come back if nobody could be asked.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);

/// Spends a request's amount of its workspace's limit; `None` where there is no limit.
///
/// # Errors
///
/// A refusal of a request that has not run and will not.
pub(crate) async fn spend_workspace_limit(
    context: &ForwardContext,
    request: &RoutedRequest,
) -> Result<Option<SpentAmount>, Refusal> {
    let Some(workspace) = &request.workspace else { return Ok(None) };
    let Some(limit) = &workspace.limit else { return Ok(None) };
    let spend = SpendRequest {
        subject: Name::clone(&workspace.name),
        rate: LimitRate { per_s: limit.per_s, burst: limit.burst },
        version: RateVersion::Config(request.config_version),
        amount: limit.amount(request.generation.as_ref()),
        // One workspace's requests take turns as they come.
        priority: 0,
        unreported: 0.0,
    };
    let patience = request.route.objective.mul_f64(HOLDER_WAIT_PART).min(request.remaining());
    match context.limits.spend(&spend, patience).await {
        Some(SpendDecision::Allowed) => Ok(Some(context.limits.spent(&spend))),
        Some(SpendDecision::Refused { come_back }) => {
            log::info!(
                "event=over_limit id={} workspace={} amount={} per_s={} burst={} config={} come_back_ms={}",
                request.id,
                workspace.name,
                spend.amount,
                limit.per_s,
                limit.burst,
                request.config_version,
                come_back.as_millis(),
            );
            Err(Refusal::with_retry_after(RefusalCause::OverLimit, come_back))
        }
        None => Err(Refusal::with_retry_after(RefusalCause::LimitUnknown, UNKNOWN_RETRY)),
    }
}
