//! From a routed request to the answer, whatever its kind.

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

/// Answers a request; the answer is always final.
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
    let answered = match request.route.kind {
        RequestKind::Idempotent | RequestKind::NonIdempotent => {
            match handle_plain(&context, &request, &mut trace).await {
                Ok(PlainResponse::Complete(answer)) => {
                    drop(copy);
                    let status = answer.status();
                    if status.is_success() {
                        trace.answered(status.as_u16());
                    } else {
                        trace.failed(status.as_u16());
                    }
                    Ok(answer)
                }
                Ok(PlainResponse::Partial(answer)) => {
                    Ok(answer.relay(&context, &request, trace, copy))
                }
                Err(refusal) => Err((refusal, trace)),
            }
        }
        // On the heap, so that plain requests do not take the room of a stream.
        RequestKind::Streaming => Box::pin(handle_stream(&context, &request, copy, trace)).await,
    };
    match answered {
        Ok(response) => response,
        Err((refusal, mut trace)) => {
            if let Some(spent) = spent.filter(|_spent| refusal.cause.did_not_run()) {
                spent.give_back();
            }
            trace.refused(&refusal);
            refusal.response()
        }
    }
}

/// Lets a copy of a request run, unless backend servers end under it.
///
/// A request that crashes what runs it comes again under another id and at any host: where each copy is
/// taken for a new request, every one of them ends an engine, with all that runs there.
fn admit_copy(context: &ForwardContext, request: &RoutedRequest) -> Result<CopyGuard, Refusal> {
    context.suspects.admit(request.fingerprint).map_err(|refused| {
        log_suspect_refused(request, refused);
        match refused {
            // No time to come back: whenever it comes, it is not run.
            CopyRefusal::Deadly { .. } => Refusal::new(RefusalCause::Deadly),
            CopyRefusal::CopyRuns { .. } => {
                Refusal::with_retry_after(RefusalCause::CopyRuns, COPY_RETRY_DELAY)
            }
        }
    })
}
