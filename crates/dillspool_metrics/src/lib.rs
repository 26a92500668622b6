//! What all daemons need to show metrics: labels and the page in the text form of Prometheus.

mod exposition;
mod labels;

pub use exposition::{metrics_response, metrics_text};
pub use labels::write_labels;
