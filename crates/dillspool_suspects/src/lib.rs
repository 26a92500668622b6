//! Requests that may crash the backend servers that run them.
//!
//! A request that ends its backend server comes again, under another id and at any host, and ends the
//! next one. What makes two requests the same one, and what follows from the ends under it, stands here,
//! apart from input and output; [`SuspectRegistry`] decides over moments that are passed in, and [`SuspectTracker`] keeps
//! one for a host. See `docs/design/suspects.md`.

mod book;
mod desk;
mod policy;
mod print;
mod recent;
mod starts;

pub use book::{BackendCrash, CrashedInstance, SuspectDecision, SuspectRegistry, SuspectUpdate};
pub use desk::{CopyGuard, CopyRefusal, SuspectTracker};
pub use policy::{COPY_RETRY_DELAY, CrashAttribution, SuspectPolicy};
pub use print::{FingerprintError, FingerprintInput, FingerprintKey, RequestFingerprint};
