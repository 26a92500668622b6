//! The pool's scheduler and what it is compared with.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clap::ValueEnum;
use dillspool_config::ConfigSnapshot;
use dillspool_engine::{EngineClient, LoadReport};
use dillspool_entry::{PlacementClient, ReserveReply};
use dillspool_host::PlacementOverride;
use dillspool_schema::Name;
use dillspool_schema::configuration::{BackendEntry, BackendRole};
use dillspool_schema::messages::{PlacementGrant, ReserveAnswer, ReserveMessage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

/// How often the baselines read the engines' load reports, which lag by themselves.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How requests are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub(crate) enum PolicyName {
    /// The pool's scheduler: reservation, fair queues, deadlines.
    Scheduler,
    /// Engines in turn, without reservation.
    RoundRobin,
    /// The engine with the least load by its lagging report.
    LeastLoaded,
    /// The less loaded of two engines chosen at random.
    PowerOfTwo,
}

/// All policies, the baselines last.
pub(crate) const POLICIES: [PolicyName; 4] = [
    PolicyName::Scheduler,
    PolicyName::RoundRobin,
    PolicyName::LeastLoaded,
    PolicyName::PowerOfTwo,
];

impl PolicyName {
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Scheduler => "scheduler",
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::PowerOfTwo => "power-of-two",
        }
    }

    /// The desk that replaces the scheduler, `None` for the scheduler itself.
    pub(crate) fn desk(self, seed: u64) -> Option<PlacementOverride> {
        if self == Self::Scheduler {
            return None;
        }
        let build = move |config, engines| baseline_desk(self, seed, config, engines);
        Some(PlacementOverride { build: Arc::new(build) })
    }
}

type ConfigWatch = watch::Receiver<Option<Arc<ConfigSnapshot>>>;

/// What a baseline knows.
struct BaselineState {
    policy: PolicyName,
    turn: AtomicUsize,
    random: Mutex<SmallRng>,
    reports: Mutex<BTreeMap<Name, LoadReport>>,
}

fn baseline_desk(
    policy: PolicyName,
    seed: u64,
    config: ConfigWatch,
    engines: EngineClient,
) -> PlacementClient {
    let state = Arc::new(BaselineState {
        policy,
        turn: AtomicUsize::new(0),
        random: Mutex::new(SmallRng::seed_from_u64(seed)),
        reports: Mutex::default(),
    });
    if policy != PolicyName::RoundRobin {
        tokio::spawn(read_reports(Arc::clone(&state), config.clone(), engines));
    }
    PlacementClient {
        reserve: Arc::new(move |message| {
            let (state, config) = (Arc::clone(&state), config.clone());
            Box::pin(async move { state.place(&config, &message) })
        }),
        release: Arc::new(|_scheduler, _message| {}),
    }
}

async fn read_reports(state: Arc<BaselineState>, config: ConfigWatch, engines: EngineClient) {
    loop {
        let snapshot = config.borrow().clone();
        for entry in snapshot.iter().flat_map(|it| &it.configuration.backend) {
            if entry.role == BackendRole::Plain {
                continue;
            }
            let Ok(address) = entry.address.parse() else { continue };
            if let Ok(report) = engines.load(address).await {
                let mut reports = state.reports.lock().unwrap_or_else(PoisonError::into_inner);
                reports.insert(Name::clone(&entry.name), report);
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

impl BaselineState {
    fn place(&self, config: &ConfigWatch, message: &ReserveMessage) -> ReserveReply {
        let snapshot = config.borrow().clone();
        let choose = |role| {
            let snapshot = snapshot.as_deref()?;
            let engines: Vec<&BackendEntry> = snapshot
                .backends(&message.pool, role)
                .filter(|it| !message.avoid.contains(&it.name))
                .collect();
            self.choose(&engines)
        };
        let prefill = message.prefilled.clone().or_else(|| choose(BackendRole::Prefill));
        let grant = match (prefill, choose(BackendRole::Decode)) {
            (Some(prefill), Some(decode)) => Some(PlacementGrant { prefill, decode }),
            _ => None,
        };
        let answer = ReserveAnswer { stream: message.stream.clone(), grant, refusal: None };
        ReserveReply { scheduler: "baseline".into(), answer }
    }

    fn choose(&self, engines: &[&BackendEntry]) -> Option<Name> {
        if engines.is_empty() {
            return None;
        }
        let load = |entry: &BackendEntry| {
            let reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
            reports.get(&entry.name).map_or(0, |it| it.running + it.waiting)
        };
        let draw = || {
            let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
            random.random_range(0..engines.len())
        };
        let index = match self.policy {
            PolicyName::Scheduler | PolicyName::RoundRobin => {
                self.turn.fetch_add(1, Ordering::Relaxed) % engines.len()
            }
            PolicyName::LeastLoaded => {
                let start = self.turn.fetch_add(1, Ordering::Relaxed) % engines.len();
                let order = (0..engines.len()).map(|step| (start + step) % engines.len());
                order.min_by_key(|index| load(engines[*index]))?
            }
            PolicyName::PowerOfTwo => {
                let (one, two) = (draw(), draw());
                if load(engines[one]) <= load(engines[two]) { one } else { two }
            }
        };
        Some(Name::clone(&engines[index].name))
    }
}
