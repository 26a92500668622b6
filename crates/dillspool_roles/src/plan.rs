//! Which engines should change their part.

use std::sync::Arc;

use dillspool_routing::{BackendEntry, DirectoryView, EngineStage};

/// How a pool's engines are divided.
#[derive(Clone, Copy, Debug)]
pub struct StagePlan {
    /// Part of a pool's engines that prefill.
    pub prefill_share: f64,
}

/// An engine that should change its part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The engine.
    pub entry: Arc<BackendEntry>,
    /// Its new part.
    pub stage: EngineStage,
}

impl StagePlan {
    /// Prefill engines that a pool of `engines` keeps; at least one.
    pub fn prefill_engines(self, engines: usize) -> usize {
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "engines are counted in thousands and the share lies between 0 and 1"
        )]
        let share = (engines as f64 * self.prefill_share.clamp(0.0, 1.0)).ceil() as usize;
        share.clamp(1, engines.max(1))
    }

    /// Prefill engines beyond the plan, which should decode instead.
    ///
    /// Engines are never turned back: that takes a decode engine's memory away for the time of
    /// the switch, and a pool without a prefill engine goes on by prefilling at its decode
    /// engines.
    pub fn changes(self, view: &DirectoryView, service: &str) -> Vec<StageChange> {
        let engines = view.ready(service).filter(|entry| entry.stage.is_some()).count();
        let keep = self.prefill_engines(engines);
        let mut prefill: Vec<_> =
            view.ready_in_stage(service, EngineStage::Prefill).cloned().collect();
        // The order must be the same on every host, and keep engines in different domains.
        prefill.sort_by(|a, b| (&a.failure_domain, &a.id).cmp(&(&b.failure_domain, &b.id)));
        let spare = prefill.len().saturating_sub(keep);
        let change = |entry| StageChange { entry, stage: EngineStage::Decode };
        prefill.into_iter().take(spare).map(change).collect()
    }
}
