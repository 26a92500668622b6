//! Which software version began each stream, so that a stream that breaks off goes on at the same
//! version.
//!
//! [`OriginRegistry`] holds the streams that began, [`VersionHistory`] the versions that may have
//! begun one; [`decide_origin`] decides from both. None of them does I/O. [`OriginTracker`] shares
//! one of each within a host, and queues what other hosts need. See
//! `docs/design/software_versions.md`.

mod decision;
mod history;
mod registry;
mod tracker;

pub use decision::{OriginAnswer, OriginDecision, decide_origin};
pub use history::{ServiceVersions, VersionHistory};
pub use registry::{OriginRecord, OriginRegistry};
pub use tracker::{ConfirmVersionsFn, OriginSettings, OriginTracker};

/// Time for which it is remembered who began a stream, counted from when it was last known to be in
/// progress. A caller takes a stream up again within its own deadline.
pub const ORIGIN_TTL: std::time::Duration = std::time::Duration::from_mins(2);
