//! Detection of requests that crash the backend servers that run them ("poison requests").
//!
//! A client that sees its request fail retries it, under another ID and at any host, so one poison
//! request can crash a backend server per copy. This crate defines when two requests are copies of
//! the same one and what follows from the crashes recorded for it. [`SuspectRegistry`] decides
//! without I/O, on times passed in by the caller; [`SuspectTracker`] shares one registry within a
//! host. See `docs/design/suspects.md`.

mod fingerprint;
mod instance_names;
mod policy;
mod recent;
mod registry;
mod run_progress;
mod tracker;

pub use fingerprint::{FingerprintError, FingerprintInput, FingerprintKey, RequestFingerprint};
pub use policy::{COPY_RETRY_DELAY, CrashAttribution, SuspectPolicy};
pub use registry::{
    BackendCrash, CrashedInstance, SuspectDecision, SuspectRegistry, SuspectUpdate,
};
pub use run_progress::{RunProgress, START_PERIOD};
pub use tracker::{CopyGuard, CopyRefusal, SuspectTracker};
