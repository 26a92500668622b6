//! Plans which engines of a pool should change their stage.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use dillspool_routing::{BackendEntry, DirectoryView, EngineStage, SoftwareVersion};

/// Number of engines of a pool below which none is switched to prefill: the few that decode are
/// needed more.
const MIN_POOL_FOR_PREFILL_SWITCH: usize = 4;

/// Minimum margin of the initial number of prefill engines, as a fraction of an engine. Rounding up
/// by less, such as from a share of 1.8 engines to two, would leave a small pool no margin
/// (`docs/design/split.md`).
const MIN_INITIAL_MARGIN: f64 = 0.25;
/// Fraction of a pool's decode engines that is switched to prefill at once: each is unavailable
/// until its responses have ended and it has switched.
const MAX_SWITCHED_SHARE: f64 = 0.125;

/// An engine that should change its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The engine.
    pub entry: Arc<BackendEntry>,
    /// Its new stage.
    pub stage: EngineStage,
}

/// Number of prefill engines for a share of a pool of `engines`; at least one.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "engines are counted in thousands and the share lies between 0 and 1"
)]
pub fn prefill_engines_for_share(engines: usize, share: f64) -> usize {
    let count = (engines as f64 * share.clamp(0.0, 1.0)).ceil() as usize;
    count.clamp(1, engines.max(1))
}

/// Number of prefill engines of a pool of `engines` before any load is observed: its share, rounded
/// up with a margin.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "engines are counted in thousands and the share lies between 0 and 1"
)]
pub fn initial_prefill_engines(engines: usize, share: f64) -> usize {
    let count = (engines as f64 * share.clamp(0.0, 1.0) + MIN_INITIAL_MARGIN).ceil() as usize;
    count.clamp(1, engines.max(1))
}

/// The engines of a pool that have a stage and take requests: the prefill engines and the decode
/// engines.
pub fn pool_engines(
    view: &DirectoryView,
    service: &str,
) -> (Vec<Arc<BackendEntry>>, Vec<Arc<BackendEntry>>) {
    let in_stage = |stage| view.ready_in_stage(service, stage).cloned().collect();
    (in_stage(EngineStage::Prefill), in_stage(EngineStage::Decode))
}

/// The engines that should change their stage so that `prefill_target` engines prefill.
///
/// A decode engine is switched only if enough others go on decoding. Until it has switched, prompts
/// beyond the capacity of the prefill engines are prefilled at decode engines. The result is the
/// same on every host with the same view.
pub fn plan_stage_changes(
    view: &DirectoryView,
    service: &str,
    prefill_target: usize,
) -> Vec<StageChange> {
    let (prefill, decode) = pool_engines(view, service);
    if prefill.len() >= prefill_target {
        let surplus = prefill.len() - prefill_target;
        return change_first(prefill, &decode, surplus, EngineStage::Decode);
    }
    if prefill.len() + decode.len() < MIN_POOL_FOR_PREFILL_SWITCH {
        return Vec::new();
    }
    let shortage = prefill_target - prefill.len();
    let max_switched = prefill_engines_for_share(decode.len(), MAX_SWITCHED_SHARE);
    change_first(decode, &prefill, shortage.min(max_switched), EngineStage::Prefill)
}

/// Changes `count` engines of one stage to the other, `stage`. Streams stay at the software version that
/// began them and use KV caches of that version only, so the next engine is one whose version has none of
/// the other stage, and the last engine of a version goes only when there is no other one. Beyond that
/// they go by failure domain and ID, an order that is the same on every host.
fn change_first(
    mut engines: Vec<Arc<BackendEntry>>,
    others: &[Arc<BackendEntry>],
    count: usize,
    stage: EngineStage,
) -> Vec<StageChange> {
    engines.sort_by(|a, b| (&a.failure_domain, &a.id).cmp(&(&b.failure_domain, &b.id)));
    let mut by_version: BTreeMap<SoftwareVersion, VersionEngines> = BTreeMap::new();
    for (index, entry) in engines.into_iter().enumerate() {
        let version = by_version.entry(entry.software.clone()).or_default();
        version.engines.push_back((index, entry));
    }
    for entry in others {
        if let Some(version) = by_version.get_mut(&entry.software) {
            version.others += 1;
        }
    }
    let mut changes = Vec::new();
    while changes.len() < count {
        let next = by_version.values_mut().filter(|version| !version.engines.is_empty());
        let Some(version) = next.min_by_key(|version| version.change_order()) else { break };
        if let Some((_index, entry)) = version.engines.pop_front() {
            changes.push(StageChange { entry, stage });
            version.others += 1;
        }
    }
    changes
}

/// Engines of one software version.
#[derive(Default)]
struct VersionEngines {
    /// Those that may change their stage, with their places among those of all versions.
    engines: VecDeque<(usize, Arc<BackendEntry>)>,
    /// Number of engines of the other stage.
    others: usize,
}

impl VersionEngines {
    /// Orders versions by which should change an engine first.
    fn change_order(&self) -> (bool, bool, Option<usize>) {
        (self.engines.len() <= 1, self.others > 0, self.engines.front().map(|it| it.0))
    }
}
