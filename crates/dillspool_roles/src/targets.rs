//! The target number of prefill engines of each pool, as this host knows it.

use std::collections::{BTreeMap, HashMap};

use dillspool_capacity::{
    DemandEstimate, DemandMeter, EngineCapacity, RoleLoads, SplitTarget, required_prefill_engines,
    role_loads,
};
use dillspool_routing::{DirectoryView, EnginePool};
use dillspool_schema::Name;
use tokio::time::Instant;

use crate::plan::{initial_prefill_engines, pool_engines, prefill_engines_for_share};

/// Completed responses and prompts that a host must have observed before its estimates count: the
/// fewest from which lengths that vary by half of their mean give a mean within a fifth.
const MIN_OBSERVATIONS: f64 = 8.0;

/// Maximum number of engines that are switched from the stage in which they were found while the
/// load does not require it. An order costs an engine its work for seconds, so a large pool
/// switches no engines that it does not need.
const MAX_SWITCHES_WITHOUT_LOAD: usize = 16;
/// Load of a stage from which on it requires more engines: in a burst of ten times as many requests
/// it would be full.
const MIN_LOAD_FOR_SWITCHES: f64 = 0.1;

/// What decides the number of prefill engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareRule {
    /// The settings: always this share of a pool.
    Fixed(f64),
    /// The observed load.
    Observed {
        /// Share of a pool that prefills before any load is observed, without the margin.
        initial_share: f64,
    },
}

/// The targets of all pools.
#[derive(Debug)]
pub struct PoolTargets {
    rule: ShareRule,
    demand: DemandMeter,
    learned: HashMap<Name, LearnedTarget>,
    /// Highest number of engines seen in each pool: crashed engines mostly return.
    max_engines_seen: HashMap<Name, usize>,
    /// Highest number of prefill engines seen in each pool. It is the number found at the start,
    /// unless some engines were switched since.
    found_prefill: HashMap<Name, usize>,
}

/// The target of one pool.
#[derive(Debug)]
struct LearnedTarget {
    target: SplitTarget,
    /// The target that the lease holders last agreed on, as far as this host knows.
    agreed: Option<usize>,
    /// Whether it was decided by observation, here or by another host. Otherwise it follows from
    /// the initial share and is not written to the lease row: a host that knows few engines yet
    /// would set too low a number for all hosts.
    is_decided: bool,
}

impl LearnedTarget {
    /// The initial target of a pool.
    fn initial(engines: usize) -> Self {
        Self { target: SplitTarget::new(engines), agreed: None, is_decided: false }
    }

    /// A target that another host wrote.
    fn adopted(engines: usize) -> Self {
        Self { target: SplitTarget::new(engines), agreed: Some(engines), is_decided: true }
    }
}

/// The current state of a pool.
struct ObservedPool<'a> {
    service: &'a Name,
    engines: usize,
    capacity: EngineCapacity,
    /// `None` while too little was observed.
    estimate: Option<DemandEstimate>,
    view: &'a DirectoryView,
}

impl PoolTargets {
    /// Creates targets without any observations.
    pub fn new(rule: ShareRule, demand: DemandMeter) -> Self {
        Self {
            rule,
            demand,
            learned: HashMap::new(),
            max_engines_seen: HashMap::new(),
            found_prefill: HashMap::new(),
        }
    }

    /// The number of prefill engines that a pool should have now, from what was observed so far.
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
        let found_prefill = self.found_prefill.entry(Name::clone(service)).or_default();
        *found_prefill = prefill.max(*found_prefill);
        let found_prefill = *found_prefill;
        let estimate = self.demand.estimate(service);
        let known = estimate.filter(|it| it.prompts.min(it.completed) >= MIN_OBSERVATIONS);
        let capacity = EngineCapacity { memory_tokens: pool.memory_tokens, slots: pool.slots };
        let engines = prefill + decode;
        let observed = ObservedPool { service, engines, capacity, estimate: known, view };
        let target = self.target(&observed, share, now);
        let loads = known.map(|estimate| role_loads(&estimate, capacity, prefill, decode));
        let requires_engines =
            |load: fn(RoleLoads) -> f64| loads.is_some_and(|it| load(it) >= MIN_LOAD_FOR_SWITCHES);
        let min_target = found_prefill.saturating_sub(MAX_SWITCHES_WITHOUT_LOAD);
        let max_target = found_prefill + MAX_SWITCHES_WITHOUT_LOAD;
        if target < min_target && !requires_engines(|loads| loads.decode) {
            min_target
        } else if target > max_target && !requires_engines(|loads| loads.prefill) {
            max_target
        } else {
            target
        }
    }

    /// The number of prefill engines that fits the mix of a pool's requests, regardless of their
    /// rate.
    fn target(&mut self, pool: &ObservedPool<'_>, share: f64, now: Instant) -> usize {
        let ObservedPool { service, engines, capacity, estimate, view } = *pool;
        let max_seen = self.max_engines_seen.entry(Name::clone(service)).or_default();
        *max_seen = engines.max(*max_seen);
        let initial = initial_prefill_engines(*max_seen, share);
        let Some(estimate) = estimate else {
            let decided = self.learned.get(service).filter(|learned| learned.is_decided);
            return decided.map_or(initial, |learned| learned.target.prefill_engines);
        };
        let need = required_prefill_engines(engines, &estimate, capacity);
        let new_target = || LearnedTarget::initial(initial);
        let learned = self.learned.entry(Name::clone(service)).or_insert_with(new_target);
        if !learned.is_decided && learned.target.prefill_engines != initial {
            *learned = new_target();
        }
        if let Some(change) = learned.target.update(need, engines, now) {
            learned.is_decided = true;
            log::info!(
                "event=split_changed service={service} from={} to={} engines={engines} need={need:.2} read_ms={:.0} held_token_s={:.0} held_ms={:.0} prompts={:.0} ended={:.0} directory={}",
                change.from,
                change.to,
                estimate.prefill_s * 1000.0,
                estimate.held_token_s,
                estimate.held_s * 1000.0,
                estimate.prompts,
                estimate.completed,
                view.version,
            );
        }
        learned.target.prefill_engines
    }

    /// The targets that were decided by observation.
    pub fn decided(&self) -> BTreeMap<Name, usize> {
        let decided = self.learned.iter().filter(|(_service, learned)| learned.is_decided);
        decided
            .map(|(service, learned)| (Name::clone(service), learned.target.prefill_engines))
            .collect()
    }

    /// Adopts the targets that a lease holder wrote. If one differs from what this host knew,
    /// earlier observations of this host no longer count as a reason to change it.
    pub fn adopt(&mut self, targets: &BTreeMap<Name, usize>) {
        for (service, engines) in targets {
            if self.learned.get(service).is_some_and(|learned| learned.agreed == Some(*engines)) {
                continue;
            }
            log::info!("event=split_adopted service={service} to={engines}");
            self.learned.insert(Name::clone(service), LearnedTarget::adopted(*engines));
        }
    }

    /// Records that this host wrote its targets into the lease row.
    pub fn record_written(&mut self, targets: &BTreeMap<Name, usize>) {
        for (service, engines) in targets {
            if let Some(learned) = self.learned.get_mut(service) {
                learned.agreed = Some(*engines);
            }
        }
    }
}
