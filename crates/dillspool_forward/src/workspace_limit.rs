//! Enforces the rate limit of a request's workspace.
//!
//! Load pattern: a workspace sends many times its usual load. Requests beyond its limit are refused
//! at once, before they occupy an engine or a queue, with the time at which the limit has room
//! again.

use std::time::Duration;

use dillspool_limits::{LimitRate, RateVersion, SpendDecision, SpendRequest};
use dillspool_routing::RoutedRequest;
use dillspool_scheduler::SpendGrant;
use dillspool_schema::Name;

use crate::context::ForwardContext;
use crate::refusal::{Refusal, RefusalCause};

/// Fraction of its objective for which a request waits for the limit holder. If the holder fails,
/// another takes over within some hundred milliseconds; the other half of the objective is left for
/// the response.
const HOLDER_WAIT_FRACTION: f64 = 0.5;
/// Retry delay if no holder could be reached.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Spends a request's amount of its workspace's limit; `None` if there is no limit.
///
/// # Errors
///
/// A refusal, if the limit has no room or its holder cannot be reached. The request was not run and
/// will not be.
pub(crate) async fn spend_workspace_limit(
    context: &ForwardContext,
    request: &RoutedRequest,
) -> Result<Option<SpendGrant>, Refusal> {
    let Some(workspace) = &request.workspace else { return Ok(None) };
    let Some(limit) = &workspace.limit else { return Ok(None) };
    let spend = SpendRequest {
        subject: Name::clone(&workspace.name),
        rate: LimitRate { per_s: limit.per_s, burst: limit.burst },
        version: RateVersion::Config(request.config_version),
        amount: limit.amount(request.generation.as_ref()),
        // Requests of one workspace are served in order of arrival.
        priority: 0,
        unreported: 0.0,
    };
    let max_wait = request.route.objective.mul_f64(HOLDER_WAIT_FRACTION).min(request.remaining());
    match context.limits.spend(&spend, max_wait).await {
        Some(SpendDecision::Allowed) => Ok(Some(context.limits.grant(&spend))),
        Some(SpendDecision::Refused { come_back: retry_after }) => {
            log::info!(
                "event=over_limit id={} workspace={} amount={} per_s={} burst={} config={} come_back_ms={}",
                request.id,
                workspace.name,
                spend.amount,
                limit.per_s,
                limit.burst,
                request.config_version,
                retry_after.as_millis(),
            );
            Err(Refusal::with_retry_after(RefusalCause::OverLimit, retry_after))
        }
        None => Err(Refusal::with_retry_after(RefusalCause::LimitUnknown, UNKNOWN_RETRY_AFTER)),
    }
}
