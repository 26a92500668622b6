//! Which engines should change their part.

use std::sync::Arc;

use dillspool_routing::{BackendEntry, DirectoryView, EngineStage};

/// Engines of a pool below which none is turned to prefill: the few that decode are needed more.
const FEWEST_TO_TURN_BACK: usize = 4;

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

    /// Engines that should change their part so that the plan holds.
    ///
    /// An engine that decodes is turned only if enough others go on decoding; until it has
    /// changed, prompts beyond the prefill engines' pace are read at decode engines.
    pub fn changes(self, view: &DirectoryView, service: &str) -> Vec<StageChange> {
        let in_stage = |stage| -> Vec<Arc<BackendEntry>> {
            let mut engines: Vec<_> = view.ready_in_stage(service, stage).cloned().collect();
            // The order must be the same on every host, and keep engines in different domains.
            engines.sort_by(|a, b| (&a.failure_domain, &a.id).cmp(&(&b.failure_domain, &b.id)));
            engines
        };
        let (prefill, decode) = (in_stage(EngineStage::Prefill), in_stage(EngineStage::Decode));
        let engines = prefill.len() + decode.len();
        let keep = self.prefill_engines(engines);
        let change = |stage| move |entry| StageChange { entry, stage };
        if prefill.len() >= keep {
            let spare = prefill.len() - keep;
            return prefill.into_iter().take(spare).map(change(EngineStage::Decode)).collect();
        }
        if engines < FEWEST_TO_TURN_BACK {
            return Vec::new();
        }
        let short = keep - prefill.len();
        decode.into_iter().take(short).map(change(EngineStage::Prefill)).collect()
    }
}
