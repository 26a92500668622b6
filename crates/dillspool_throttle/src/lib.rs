//! Rate limits and backoffs that backend servers announce in their answers.
//!
//! A limit holds for all hosts together, a backoff for this host only. The platform layer decodes
//! an answer into a [`RateNotice`] and a [`BackoffNotice`]. [`ThrottleRegistry`] keeps them without
//! I/O, on times passed in by the caller, and decides whether a request may be sent or needs a
//! grant; [`ThrottleTracker`] shares one registry within a host and logs changes. See
//! `docs/design/limits.md` and `docs/design/notices.md`.

mod notice;
mod recent;
mod registry;
mod tracker;

pub use notice::{BackoffNotice, RateNotice, RequestRate};
pub use registry::{NoticeChange, SendDecision, ThrottleRegistry, ThrottleStatus, ThrottleUpdate};
pub use tracker::{SendRecord, ThrottleTracker};
