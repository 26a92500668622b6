//! Which engines should change their part.

use std::sync::Arc;

use dillspool_routing::{BackendEntry, DirectoryView, EngineStage};

/// Engines of a pool below which none is turned to prefill: the few that decode are needed more.
const FEWEST_TO_TURN_BACK: usize = 4;

/// Part of an engine that the first part leaves to spare at least: rounding up by less would leave
/// a small pool no margin, such as two engines for a part of 1.8 (`docs/design/split.md`).
const LEAST_SPARE: f64 = 0.25;
/// Part of a pool's decode engines that is turned to prefill at once: each is gone until its answers
/// have ended and it has changed.
const TURNED_AT_ONCE: f64 = 0.125;

/// An engine that should change its part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The engine.
    pub entry: Arc<BackendEntry>,
    /// Its new part.
    pub stage: EngineStage,
}

/// Prefill engines for a part of a pool of `engines`; at least one.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "engines are counted in thousands and the share lies between 0 and 1"
)]
pub fn prefill_engines_for_share(engines: usize, share: f64) -> usize {
    let part = (engines as f64 * share.clamp(0.0, 1.0)).ceil() as usize;
    part.clamp(1, engines.max(1))
}

/// Prefill engines of a pool of `engines` before anything is observed: a part of it, rounded up with
/// something to spare.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "engines are counted in thousands and the share lies between 0 and 1"
)]
pub fn initial_prefill_engines(engines: usize, share: f64) -> usize {
    let part = (engines as f64 * share.clamp(0.0, 1.0) + LEAST_SPARE).ceil() as usize;
    part.clamp(1, engines.max(1))
}

/// Engines of a pool that play a part and take requests: those that prefill, those that decode.
pub fn pool_engines(
    view: &DirectoryView,
    service: &str,
) -> (Vec<Arc<BackendEntry>>, Vec<Arc<BackendEntry>>) {
    let in_stage = |stage| view.ready_in_stage(service, stage).cloned().collect();
    (in_stage(EngineStage::Prefill), in_stage(EngineStage::Decode))
}

/// Engines that should change their part so that `keep` prefill.
///
/// An engine that decodes is turned only if enough others go on decoding; until it has changed,
/// prompts beyond the prefill engines' pace are read at decode engines. The result is the same on
/// every host with the same view.
pub fn plan_stage_changes(view: &DirectoryView, service: &str, keep: usize) -> Vec<StageChange> {
    let (prefill, decode) = pool_engines(view, service);
    if prefill.len() >= keep {
        let spare = prefill.len() - keep;
        return turn(prefill, spare, EngineStage::Decode);
    }
    if prefill.len() + decode.len() < FEWEST_TO_TURN_BACK {
        return Vec::new();
    }
    let short = keep - prefill.len();
    let at_once = prefill_engines_for_share(decode.len(), TURNED_AT_ONCE);
    turn(decode, short.min(at_once), EngineStage::Prefill)
}

/// The first `count` engines by domain and id, an order that is the same on every host.
fn turn(mut engines: Vec<Arc<BackendEntry>>, count: usize, stage: EngineStage) -> Vec<StageChange> {
    engines.sort_by(|a, b| (&a.failure_domain, &a.id).cmp(&(&b.failure_domain, &b.id)));
    engines.into_iter().take(count).map(|entry| StageChange { entry, stage }).collect()
}
