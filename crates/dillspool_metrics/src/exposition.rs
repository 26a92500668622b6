//! The response to a metrics scrape.

use std::fmt;

use dillspool_io::{ResponseBody, text_response};
use hyper::{Response, StatusCode};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Content type of the `OpenMetrics` text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Encodes all metrics of a registry in text format.
///
/// # Errors
///
/// The encoder's own error, which a metric with an invalid name may cause.
pub fn metrics_text(registry: &Registry) -> Result<String, fmt::Error> {
    let mut text = String::new();
    encode(&mut text, registry)?;
    Ok(text)
}

/// The response to a scrape; status 500 if the metrics can't be encoded.
pub fn metrics_response(registry: &Registry) -> Response<ResponseBody> {
    match metrics_text(registry) {
        Ok(text) => text_response(StatusCode::OK, METRICS_CONTENT_TYPE, text),
        Err(error) => {
            log::error!("event=metrics_failed cause=\"{error}\"");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed\n")
        }
    }
}
