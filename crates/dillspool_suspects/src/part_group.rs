//! Parts that are refused together.

use std::time::Duration;

use dillspool_moment::Moment;

use crate::fingerprint::RequestFingerprint;
use crate::registry::CrashedInstance;

/// Parts of which one crashes backend servers; requests that contain all of them are refused. Usually
/// this is a single part. Several have been in the same crashes, and no answer has begun well on any
/// since; a request that contains only some of them tells which one it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartGroup {
    /// The parts.
    pub parts: Vec<RequestFingerprint>,
    /// Consecutive crashes under requests that contained all of them, oldest first.
    pub crashes: Vec<(CrashedInstance, Moment)>,
    /// Time after the last crash for which requests are refused.
    pub refusal_period: Duration,
    /// Whether answers had recently begun well on the parts when they were first refused.
    pub(crate) is_proven: bool,
    /// Consecutive crashes after which the group was refused.
    pub(crate) refused_after: usize,
}

impl PartGroup {
    /// Time of the last crash.
    pub fn last_crash(&self) -> Moment {
        self.crashes.last().map(|(_backend, at)| *at).unwrap_or_default()
    }

    pub(crate) fn is_contained_in(&self, parts: &[RequestFingerprint]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }
}
