//! Metrics exposition shared by all daemons: labels and the scrape response, in `OpenMetrics` text format.

mod exposition;
mod labels;

pub use exposition::{metrics_response, metrics_text};
pub use labels::write_labels;
