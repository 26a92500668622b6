//! How many engines of each pool prefill, as this host knows it.

use std::collections::{BTreeMap, HashMap};

use dillspool_capacity::{DemandMeter, EngineMemory, SplitTarget, prefill_need};
use dillspool_routing::{DirectoryView, EnginePool};
use dillspool_schema::Name;
use tokio::time::Instant;

use crate::plan::{engines_for_share, pool_engines};

/// Answers that a host must have seen end, and prompts come, before its readings count: the
/// fewest from which lengths that vary by half of their mean give a mean within a fifth.
const FEWEST_OBSERVED: f64 = 8.0;

/// What decides the number of prefill engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareRule {
    /// The settings: always this part of a pool.
    Fixed(f64),
    /// What is observed; until then this part.
    Observed {
        /// Part of a pool that prefills before anything is known.
        at_first: f64,
    },
}

/// The targets of all pools.
#[derive(Debug)]
pub struct PoolTargets {
    rule: ShareRule,
    demand: DemandMeter,
    learnt: HashMap<Name, LearntTarget>,
}

/// The target of one pool.
#[derive(Debug)]
struct LearntTarget {
    target: SplitTarget,
    /// What the holders of the lease last agreed on, as far as this host knows.
    agreed: usize,
}

impl LearntTarget {
    fn new(engines: usize) -> Self {
        Self { target: SplitTarget::new(engines), agreed: engines }
    }
}

impl PoolTargets {
    /// Targets without any knowledge.
    pub fn new(rule: ShareRule, demand: DemandMeter) -> Self {
        Self { rule, demand, learnt: HashMap::new() }
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
        let engines = prefill.len() + decode.len();
        let share = match self.rule {
            ShareRule::Fixed(share) => return engines_for_share(engines, share),
            ShareRule::Observed { at_first } => at_first,
        };
        let at_first = engines_for_share(engines, share);
        let reading = self.demand.read(service);
        let known = reading.filter(|it| it.prompts.min(it.ended) >= FEWEST_OBSERVED);
        let Some(reading) = known else {
            return self.learnt.get(service).map_or(at_first, |learnt| learnt.target.engines);
        };
        let memory = EngineMemory { tokens: pool.memory_tokens, slots: pool.slots };
        let need = prefill_need(engines, &reading, memory);
        let fresh = || LearntTarget::new(at_first);
        let target = &mut self.learnt.entry(Name::clone(service)).or_insert_with(fresh).target;
        if let Some(change) = target.update(need, engines, now) {
            log::info!(
                "event=split_changed service={service} from={} to={} engines={engines} need={need:.2} read_ms={:.0} held_token_s={:.0} held_ms={:.0} prompts={:.0} ended={:.0} directory={}",
                change.from,
                change.to,
                reading.read_s * 1000.0,
                reading.held_token_s,
                reading.held_s * 1000.0,
                reading.prompts,
                reading.ended,
                view.version,
            );
        }
        target.engines
    }

    /// Takes the targets that a holder of the lease wrote. Where it wrote another one than this
    /// host knew of, what this host saw before counts no longer as a reason to change it.
    pub fn adopt(&mut self, targets: &BTreeMap<Name, usize>) {
        for (service, engines) in targets {
            if self.learnt.get(service).is_some_and(|learnt| learnt.agreed == *engines) {
                continue;
            }
            log::info!("event=split_adopted service={service} to={engines}");
            self.learnt.insert(Name::clone(service), LearntTarget::new(*engines));
        }
    }

    /// Notes that this host wrote its targets into the lease's row.
    pub fn note_written(&mut self, targets: &BTreeMap<Name, usize>) {
        for (service, engines) in targets {
            let fresh = || LearntTarget::new(*engines);
            self.learnt.entry(Name::clone(service)).or_insert_with(fresh).agreed = *engines;
        }
    }
}
