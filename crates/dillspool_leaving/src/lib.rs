//! Backend servers that announce in their answers that they are shutting down.
//!
//! Their directory rows say so as well, but not while the store is unavailable. [`LeavingRegistry`]
//! keeps the announcements without I/O; [`LeavingTracker`] shares one registry within a host and
//! logs new ones. See `docs/design/notices.md`.

mod registry;
mod tracker;

pub use registry::{LeavingRegistry, LeavingUpdate};
pub use tracker::LeavingTracker;
