//! Readiness and metrics endpoints of a host.

use std::sync::Arc;

use dillspool_io::{HttpHandler, handler, text_response};
use dillspool_metrics::metrics_response;
use hyper::StatusCode;
use prometheus_client::registry::Registry;

/// Responds with 200 while `is_ready`, otherwise with 503, for any path.
pub(crate) fn readiness_handler(
    is_ready: impl Fn() -> bool + Send + Sync + 'static,
) -> HttpHandler {
    handler(move |_request| {
        let ready = is_ready();
        async move {
            if ready {
                text_response(StatusCode::OK, "text/plain", "ready\n")
            } else {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
            }
        }
    })
}

/// Responds with all metrics as text, after calling `refresh`.
pub(crate) fn metrics_handler(
    registry: Registry,
    refresh: impl Fn() + Send + Sync + 'static,
) -> HttpHandler {
    let registry = Arc::new(registry);
    handler(move |_request| {
        refresh();
        let page = metrics_response(&registry);
        async move { page }
    })
}
