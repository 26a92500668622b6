//! Readiness and metrics of a host.

use std::sync::Arc;

use dillspool_io::{HttpHandler, handler, text_response};
use hyper::StatusCode;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Content type of the text form of metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers 200 while `is_ready`, else 503, whatever the path.
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

/// Answers with all metrics as text.
pub(crate) fn metrics_handler(registry: Registry) -> HttpHandler {
    let registry = Arc::new(registry);
    handler(move |_request| {
        let registry = Arc::clone(&registry);
        async move {
            let mut text = String::new();
            match encode(&mut text, &registry) {
                Ok(()) => text_response(StatusCode::OK, METRICS_TYPE, text),
                Err(error) => {
                    log::error!("event=metrics_failed cause=\"{error}\"");
                    text_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed\n")
                }
            }
        }
    })
}
