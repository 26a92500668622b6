//! The page that a scrape reads.

use std::fmt;

use dillspool_io::{ResponseBody, text_response};
use hyper::{Response, StatusCode};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Content type of the text form of metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// All metrics of a registry as text.
///
/// # Errors
///
/// The encoder's own error, which a metric with an odd name may cause.
pub fn metrics_text(registry: &Registry) -> Result<String, fmt::Error> {
    let mut text = String::new();
    encode(&mut text, registry)?;
    Ok(text)
}

/// The answer to a scrape.
pub fn metrics_response(registry: &Registry) -> Response<ResponseBody> {
    match metrics_text(registry) {
        Ok(text) => text_response(StatusCode::OK, METRICS_TYPE, text),
        Err(error) => {
            log::error!("event=metrics_failed cause=\"{error}\"");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed\n")
        }
    }
}
