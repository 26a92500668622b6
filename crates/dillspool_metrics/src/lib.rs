//! What all daemons need to show metrics: labels and the page in the text form of Prometheus.

mod labels;
mod exposition;

pub use labels::write_labels;
pub use exposition::{metrics_response, metrics_text};
