//! What all daemons need to show metrics: labels and the page in the text form of Prometheus.

mod labels;
mod page;

pub use labels::write_labels;
pub use page::{metrics_page, metrics_text};
