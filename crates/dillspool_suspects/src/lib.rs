//! Detection of requests that crash the backend servers that run them ("poison requests").
//!
//! A client that sees its request fail retries it, under another ID and at any host, so one poison
//! request can crash a backend server per copy. A part that many prompts share can do the same under
//! requests of which no two are alike. This crate defines when two requests are copies of the same
//! one, which parts they share, and what follows from the crashes recorded for them. [`SuspectRegistry`] decides
//! without I/O, on times passed in by the caller; [`SuspectTracker`] shares one registry within a
//! host. See `docs/design/suspects.md`.

mod crash_index;
mod crash_record;
mod fingerprint;
mod instance_names;
mod part_group;
mod part_policy;
mod part_registry;
mod policy;
mod recent;
mod registry;
mod request_registry;
mod run_progress;
mod tracker;

pub use fingerprint::{
    FingerprintError, FingerprintInput, FingerprintKey, RequestFingerprint, join_fingerprints,
};
pub use part_group::PartGroup;
pub use part_policy::{PartAttribution, PartPolicy};
pub use part_registry::PartDecision;
pub use policy::{COPY_RETRY_DELAY, CrashAttribution, SuspectPolicy};
pub use registry::{
    BackendCrash, CrashedInstance, SuspectDecision, SuspectRegistry, SuspectUpdate,
};
pub use run_progress::{PROOF_PERIOD, RunProgress, START_PERIOD};
pub use tracker::{CopyGuard, CopyRefusal, SuspectTracker};
