//! How many engines of each pool prefill, as this host knows it.

use std::collections::{BTreeMap, HashMap};

use dillspool_capacity::{
    DemandEstimate, DemandMeter, EngineCapacity, RoleLoads, SplitTarget, required_prefill_engines,
    role_loads,
};
use dillspool_routing::{DirectoryView, EnginePool};
use dillspool_schema::Name;
use tokio::time::Instant;

use crate::plan::{initial_prefill_engines, pool_engines, prefill_engines_for_share};

/// Answers that a host must have seen end, and prompts come, before its readings count: the
/// fewest from which lengths that vary by half of their mean give a mean within a fifth.
const FEWEST_OBSERVED: f64 = 8.0;

/// Engines that are turned from the part in which they were found before the load calls for more. An order costs
/// an engine its work for seconds, so what a large pool does not need it does not turn.
const MOST_UNCALLED_TURNS: usize = 16;
/// Load of the part that would gain engines from which on it calls for them: in a burst of ten times as many
/// requests it would be full.
const CALLING_LOAD: f64 = 0.1;

/// What decides the number of prefill engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareRule {
    /// The settings: always this part of a pool.
    Fixed(f64),
    /// What is observed.
    Observed {
        /// Part of a pool that prefills before anything is known, beside a margin.
        initial_share: f64,
    },
}

/// The targets of all pools.
#[derive(Debug)]
pub struct PoolTargets {
    rule: ShareRule,
    demand: DemandMeter,
    learnt: HashMap<Name, LearntTarget>,
    /// Most engines that each pool was seen to have: those that have crashed mostly return.
    most_seen: HashMap<Name, usize>,
    /// Most engines of each pool that were seen to prefill: as many as were found so, unless some were turned.
    found: HashMap<Name, usize>,
}

/// The target of one pool.
#[derive(Debug)]
struct LearntTarget {
    target: SplitTarget,
    /// What the holders of the lease last agreed on, as far as this host knows.
    agreed: Option<usize>,
    /// Whether it was decided by observation, here or by another host. What follows from the first
    /// part does not: a host that knows few engines yet would fix too low a number for all.
    is_decided: bool,
}

impl LearntTarget {
    /// The first part of a pool.
    fn at_first(engines: usize) -> Self {
        Self { target: SplitTarget::new(engines), agreed: None, is_decided: false }
    }

    /// What another host wrote.
    fn adopted(engines: usize) -> Self {
        Self { target: SplitTarget::new(engines), agreed: Some(engines), is_decided: true }
    }
}

/// A pool as it is now.
struct ObservedPool<'a> {
    service: &'a Name,
    engines: usize,
    memory: EngineCapacity,
    /// `None` while too little was seen.
    reading: Option<DemandEstimate>,
    view: &'a DirectoryView,
}

impl PoolTargets {
    /// Targets without any knowledge.
    pub fn new(rule: ShareRule, demand: DemandMeter) -> Self {
        Self {
            rule,
            demand,
            learnt: HashMap::new(),
            most_seen: HashMap::new(),
            found: HashMap::new(),
        }
    }

    /// Prefill engines that a pool keeps now, by what was observed until now.
    pub fn update(
        &mut self,
        service: &Name,
        pool: &EnginePool,
        view: &DirectoryView,
        now: Instant,
    ) -> usize {
        let (prefill, decode) = pool_engines(view, service);
        let (prefill, decode) = (prefill.len(), decode.len());
        let share = match self.rule {
            ShareRule::Fixed(share) => return prefill_engines_for_share(prefill + decode, share),
            ShareRule::Observed { initial_share } => initial_share,
        };
        let found = self.found.entry(Name::clone(service)).or_default();
        *found = prefill.max(*found);
        let found = *found;
        let reading = self.demand.estimate(service);
        let known = reading.filter(|it| it.prompts.min(it.completed) >= FEWEST_OBSERVED);
        let memory = EngineCapacity { memory_tokens: pool.memory_tokens, slots: pool.slots };
        let engines = prefill + decode;
        let observed = ObservedPool { service, engines, memory, reading: known, view };
        let target = self.target(&observed, share, now);
        let loads = known.map(|reading| role_loads(&reading, memory, prefill, decode));
        let calls = |load: fn(RoleLoads) -> f64| loads.is_some_and(|it| load(it) >= CALLING_LOAD);
        let least = found.saturating_sub(MOST_UNCALLED_TURNS);
        let most = found + MOST_UNCALLED_TURNS;
        if target < least && !calls(|loads| loads.decode) {
            least
        } else if target > most && !calls(|loads| loads.prefill) {
            most
        } else {
            target
        }
    }

    /// Prefill engines that fit what a pool's requests ask, whatever their number.
    fn target(&mut self, pool: &ObservedPool<'_>, share: f64, now: Instant) -> usize {
        let ObservedPool { service, engines, memory, reading, view } = *pool;
        let most = self.most_seen.entry(Name::clone(service)).or_default();
        *most = engines.max(*most);
        let at_first = initial_prefill_engines(*most, share);
        let Some(reading) = reading else {
            let decided = self.learnt.get(service).filter(|learnt| learnt.is_decided);
            return decided.map_or(at_first, |learnt| learnt.target.prefill_engines);
        };
        let need = required_prefill_engines(engines, &reading, memory);
        let fresh = || LearntTarget::at_first(at_first);
        let learnt = self.learnt.entry(Name::clone(service)).or_insert_with(fresh);
        if !learnt.is_decided && learnt.target.prefill_engines != at_first {
            *learnt = fresh();
        }
        if let Some(change) = learnt.target.update(need, engines, now) {
            learnt.is_decided = true;
            log::info!(
                "event=split_changed service={service} from={} to={} engines={engines} need={need:.2} read_ms={:.0} held_token_s={:.0} held_ms={:.0} prompts={:.0} ended={:.0} directory={}",
                change.from,
                change.to,
                reading.prefill_s * 1000.0,
                reading.held_token_s,
                reading.held_s * 1000.0,
                reading.prompts,
                reading.completed,
                view.version,
            );
        }
        learnt.target.prefill_engines
    }

    /// The targets that were decided by observation.
    pub fn decided(&self) -> BTreeMap<Name, usize> {
        let decided = self.learnt.iter().filter(|(_service, learnt)| learnt.is_decided);
        decided
            .map(|(service, learnt)| (Name::clone(service), learnt.target.prefill_engines))
            .collect()
    }

    /// Takes the targets that a holder of the lease wrote. Where it wrote another one than this
    /// host knew of, what this host saw before counts no longer as a reason to change it.
    pub fn adopt(&mut self, targets: &BTreeMap<Name, usize>) {
        for (service, engines) in targets {
            if self.learnt.get(service).is_some_and(|learnt| learnt.agreed == Some(*engines)) {
                continue;
            }
            log::info!("event=split_adopted service={service} to={engines}");
            self.learnt.insert(Name::clone(service), LearntTarget::adopted(*engines));
        }
    }

    /// Notes that this host wrote its targets into the lease's row.
    pub fn record_written(&mut self, targets: &BTreeMap<Name, usize>) {
        for (service, engines) in targets {
            if let Some(learnt) = self.learnt.get_mut(service) {
                learnt.agreed = Some(*engines);
            }
        }
    }
}
