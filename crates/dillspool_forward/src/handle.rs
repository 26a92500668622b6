//! Entry point: handles a routed request of any kind.

use std::sync::Arc;

use dillspool_io::ResponseBody;
use dillspool_routing::{RequestKind, RoutedRequest};
use dillspool_suspects::{COPY_RETRY_DELAY, CopyGuard, CopyRefusal};
use hyper::Response;

use crate::context::ForwardContext;
use crate::generate::handle_stream;
use crate::plain::{PlainResponse, handle_plain};
use crate::refusal::{Refusal, RefusalCause};
use crate::trace::{RequestTrace, log_suspect_refused};
use crate::workspace_limit::spend_workspace_limit;

/// Handles a request and returns its final response.
pub async fn handle_request(
    context: ForwardContext,
    request: RoutedRequest,
) -> Response<ResponseBody> {
    let request = Arc::new(request);
    let mut trace = RequestTrace::new(&request, &context.metrics);
    context.budgets.record_request(&request.service);
    let copy = match admit_copy(&context, &request) {
        Ok(copy) => copy,
        Err(refusal) => {
            trace.refused(&refusal);
            return refusal.response();
        }
    };
    let spent = match spend_workspace_limit(&context, &request).await {
        Ok(spent) => spent,
        Err(refusal) => {
            trace.refused(&refusal);
            return refusal.response();
        }
    };
    let result = match request.route.kind {
        RequestKind::Idempotent | RequestKind::NonIdempotent => {
            match handle_plain(&context, &request, &mut trace).await {
                Ok(PlainResponse::Complete(response)) => {
                    drop(copy);
                    let status = response.status();
                    if status.is_success() {
                        trace.answered(status.as_u16());
                    } else {
                        trace.failed(status.as_u16());
                    }
                    Ok(response)
                }
                Ok(PlainResponse::Partial(response)) => {
                    Ok(response.relay(&context, &request, trace, copy))
                }
                Err(refusal) => Err((refusal, trace)),
            }
        }
        // Boxed, so that the futures of plain requests do not grow to the size of a stream's.
        RequestKind::Streaming => Box::pin(handle_stream(&context, &request, copy, trace)).await,
    };
    match result {
        Ok(response) => response,
        Err((refusal, mut trace)) => {
            if let Some(spent) = spent.filter(|_spent| refusal.cause.did_not_run()) {
                spent.refund();
            }
            trace.refused(&refusal);
            refusal.response()
        }
    }
}

/// Admits a copy of a request, unless the request is suspected of crashing backend servers.
///
/// Callers retry a request that crashes its engine under another id and at any host, and a part that crashes
/// engines comes in many prompts. If each were treated as a new request, each would crash another engine along with
/// everything that runs there.
fn admit_copy(context: &ForwardContext, request: &RoutedRequest) -> Result<CopyGuard, Refusal> {
    context.suspects.admit_prompt(request.fingerprint, &request.part_fingerprints).map_err(
        |refused| {
            log_suspect_refused(request, refused);
            match refused {
                // No Retry-After: a retry would be refused at any time.
                CopyRefusal::Deadly { .. } | CopyRefusal::DeadlyPart { .. } => {
                    Refusal::new(RefusalCause::Deadly)
                }
                CopyRefusal::CopyRuns { .. } => {
                    Refusal::with_retry_after(RefusalCause::CopyRuns, COPY_RETRY_DELAY)
                }
            }
        },
    )
}
