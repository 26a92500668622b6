//! From a routed request to the answer, whatever its kind.

use std::sync::Arc;

use dillspool_io::ResponseBody;
use dillspool_routing::{RequestKind, RoutedRequest};
use hyper::Response;

use crate::context::ForwardContext;
use crate::generate::answer_stream;
use crate::limits::admit;
use crate::plain::answer_plain;
use crate::trace::RequestTrace;

/// Answers a request; the answer is always final.
pub async fn answer_request(
    context: ForwardContext,
    request: RoutedRequest,
) -> Response<ResponseBody> {
    let request = Arc::new(request);
    let mut trace = RequestTrace::new(&request, &context.metrics);
    context.budgets.note_request(&request.service);
    let spent = match admit(&context, &request).await {
        Ok(spent) => spent,
        Err(refusal) => {
            trace.refused(&refusal);
            return refusal.response();
        }
    };
    let answered = match request.route.kind {
        RequestKind::Idempotent | RequestKind::NonIdempotent => {
            let answer = answer_plain(&context, &request, &mut trace).await;
            if let Ok(answer) = &answer {
                let status = answer.status();
                if status.is_success() {
                    trace.answered(status.as_u16());
                } else {
                    trace.failed(status.as_u16());
                }
            }
            answer.map_err(|refusal| (refusal, trace))
        }
        RequestKind::Streaming => answer_stream(&context, &request, trace).await,
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
