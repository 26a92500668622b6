//! Puts hosts, store, backend servers and callers together, lets faults strike, and checks.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::NetStack;
use dillspool_site_standin::{
    BackendFault, DeadlyParts, RunLog, StandinKind, StandinRoute, StandinStore, StoreMode,
    config_text,
};
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::backends::{BackendPlace, PlaceTools, local};
use crate::callers::{DeadlyRequest, ROUTE_HOST, attempt_id, call, prefix};
use crate::check::{CallKind, CallOutcome, CallRecord, Violation, check_calls};
use crate::deadly_parts::{DEADLY_PART, PromptLog, keep_prompting};
use crate::faults::{DueFault, FaultKind, draw_faults};
use crate::limits::play_limits;
use crate::notices::play_notices;
use crate::proxy::{LoopbackProxy, ProxyMode};
use crate::rest::check_rest;
use crate::restored::{StoreCopies, play_restored};
use crate::resumptions::{ResumptionLog, keep_resuming};
use crate::router::{RouterPlace, RouterProcess};
use crate::slow_peers::{MEMORY_MB, play_slow_peers};

/// What may strike beside the faults of every soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakTrouble {
    /// Some of the backend servers that are replaced start again under their ids, and others' rows are spoiled
    /// for a moment.
    Restarts,
    /// Some callers send requests that crash what runs them, over and over.
    Deadly,
    /// Some callers send prompts that share a part which crashes engines.
    DeadlyParts,
    /// Once the faults are over some backend servers name how much they take, while others strike.
    Limits,
    /// After that some say that they leave, and others ask for rest.
    Notices,
    /// The store comes back from copies, some seconds old, among the faults and after them.
    Restored,
    /// Engines of two software versions serve, and callers take streams up again at other hosts.
    Versions,
    /// Once the faults are over callers and backend servers read and send slowly, or not at all.
    SlowPeers,
}

/// Size and length of a soak.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// The router's program.
    pub binary: PathBuf,
    /// Seed of faults and callers.
    pub seed: u64,
    /// Hosts.
    pub hosts: usize,
    /// Time during which faults strike.
    pub span: Duration,
    /// Pause between two calls of all callers together.
    pub call_every: Duration,
    /// What strikes beside the faults.
    pub troubles: Vec<SoakTrouble>,
    /// Where settings and logs lie; kept when a promise was broken.
    pub folder: PathBuf,
}

/// What a soak saw.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Calls that were made.
    pub calls: usize,
    /// Calls that were answered with a success.
    pub served: usize,
    /// Faults that struck.
    pub faults: usize,
    /// Backend servers that the worst of the deadly requests crashed.
    pub most_ends: usize,
    /// Engines that the deadly part crashed.
    pub part_crashes: usize,
    /// Streams that callers took up again, in words; empty without [`SoakTrouble::Versions`].
    pub resumptions: String,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// Time in which everything must have recovered once the faults are over: a silent question to
/// the store ends, a lapsed row returns, and a paused host catches up.
pub(crate) const RECOVERY: Duration = Duration::from_secs(8);
/// Time between two looks for backend servers that a request has crashed.
const REVIVE_EVERY: Duration = Duration::from_millis(200);
/// Time between two copies of a deadly request.
const COPIES_APART: Duration = Duration::from_millis(700);
/// Kinds of calls, more of the plain ones.
const KINDS: [CallKind; 6] = [
    CallKind::Repeatable,
    CallKind::Unrepeatable,
    CallKind::Unrepeatable,
    CallKind::Unrepeatable,
    CallKind::ResumableStream,
    CallKind::Stream,
];

/// The requests that crash what runs them.
const DEADLY: [DeadlyRequest; 3] = [
    DeadlyRequest { kind: CallKind::Stream, number: 1 },
    DeadlyRequest { kind: CallKind::ResumableStream, number: 2 },
    DeadlyRequest { kind: CallKind::Repeatable, number: 3 },
];

/// Everything of a soak.
pub(crate) struct SoakWorld {
    settings: SoakSettings,
    tools: PlaceTools,
    pub(crate) places: Vec<RouterPlace>,
    pub(crate) routers: Vec<RouterProcess>,
    store_links: Vec<LoopbackProxy>,
    pub(crate) backends: Vec<BackendPlace>,
    pub(crate) config_version: u64,
    copies: StoreCopies,
    cancel: CancellationToken,
}

/// Runs one soak.
///
/// # Errors
///
/// Fails when the world cannot be set up, never for a broken promise.
pub async fn run_soak(settings: SoakSettings) -> std::io::Result<SoakReport> {
    let mut random = SmallRng::seed_from_u64(settings.seed);
    let mut world = SoakWorld::start(settings).await?;
    let calls: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
    let stop_calls = CancellationToken::new();
    let callers = tokio::spawn(keep_calling(
        world.places.iter().map(|place| place.callers).collect(),
        world.settings.seed,
        world.settings.call_every,
        Arc::clone(&calls),
        stop_calls.clone(),
    ));
    let deadly = world.deadly();
    let deadly_callers = tokio::spawn(keep_crashing(
        deadly.clone(),
        world.places.iter().map(|place| place.callers).collect(),
        world.settings.seed,
        Arc::clone(&calls),
        stop_calls.clone(),
    ));
    let prompts = PromptLog::default();
    let prompting_callers = world.plays(SoakTrouble::DeadlyParts).then(|| {
        world.deadly_parts().set(&[DEADLY_PART]);
        tokio::spawn(keep_prompting(
            world.places.iter().map(|place| place.callers).collect(),
            world.settings.seed,
            prompts.clone(),
            Arc::clone(&calls),
            stop_calls.clone(),
        ))
    });
    let resumptions = ResumptionLog::default();
    let resuming_callers = world.plays(SoakTrouble::Versions).then(|| {
        tokio::spawn(keep_resuming(
            world.places.iter().map(|place| place.callers).collect(),
            world.settings.seed,
            resumptions.clone(),
            Arc::clone(&calls),
            stop_calls.clone(),
        ))
    });
    let faults = draw_faults(&mut random, world.settings.span);
    for fault in &faults {
        world.pass(fault.after).await?;
        world.strike(*fault).await?;
    }
    world.heal();
    world.pass(RECOVERY).await?;
    let mut violations = Vec::new();
    if world.plays(SoakTrouble::Limits) {
        violations.extend(play_limits(&mut world, &mut random).await?);
        world.pass(RECOVERY).await?;
    }
    if world.plays(SoakTrouble::Notices) {
        violations.extend(play_notices(&mut world, &mut random).await?);
        world.pass(RECOVERY).await?;
    }
    if world.plays(SoakTrouble::SlowPeers) {
        violations.extend(play_slow_peers(&mut world, &mut random, &calls).await?);
    }
    stop_calls.cancel();
    // The callers bound every call in time.
    let _ended = callers.await;
    let _ended = deadly_callers.await;
    if let Some(callers) = prompting_callers {
        let _ended = callers.await;
        violations.extend(prompts.check());
    }
    let mut counted = String::new();
    if let Some(callers) = resuming_callers {
        let _ended = callers.await;
        let (found, count) = resumptions.check();
        violations.extend(found);
        counted = count;
    }
    let calls = calls.lock().unwrap_or_else(PoisonError::into_inner).clone();
    violations.extend(check_calls(&calls, world.runs()));
    if world.plays(SoakTrouble::Restored) {
        // A host that was told to stop is started again, as the platform does.
        violations.extend(world.revive_hosts());
        world.pass(RECOVERY).await?;
        violations.extend(play_restored(&mut world, &mut random).await?);
    }
    violations.extend(check_rest(&mut world, &deadly).await?);
    world.cancel.cancel();
    let served = |call: &&CallRecord| matches!(call.outcome, CallOutcome::Answer(200, _));
    Ok(SoakReport {
        calls: calls.len(),
        served: calls.iter().filter(served).count(),
        faults: faults.len(),
        resumptions: counted,
        most_ends: deadly.iter().map(|it| world.runs().ends(&it.path())).max().unwrap_or_default(),
        part_crashes: world.deadly_parts().crashes().len(),
        violations,
    })
}

async fn keep_calling(
    hosts: Vec<SocketAddr>,
    seed: u64,
    every: Duration,
    calls: Arc<Mutex<Vec<CallRecord>>>,
    cancel: CancellationToken,
) {
    let mut random = SmallRng::seed_from_u64(!seed);
    let mut open = JoinSet::new();
    for number in 0_u64.. {
        let kind = KINDS[random.random_range(0..KINDS.len())];
        let host = random.random_range(0..hosts.len());
        open.spawn(call(attempt_id(seed, number, host), kind, hosts[host]));
        while let Some(Ok(record)) = open.try_join_next() {
            calls.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        }
        tokio::select! {
            () = tokio::time::sleep(every) => {}
            () = cancel.cancelled() => break,
        }
    }
    while let Some(Ok(record)) = open.join_next().await {
        calls.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }
}

/// Sends copies of the deadly requests, one after the other.
async fn keep_crashing(
    deadly: Vec<DeadlyRequest>,
    hosts: Vec<SocketAddr>,
    seed: u64,
    calls: Arc<Mutex<Vec<CallRecord>>>,
    cancel: CancellationToken,
) {
    let mut random = SmallRng::seed_from_u64(seed.rotate_left(7));
    let mut number = 0;
    while !deadly.is_empty() && !cancel.is_cancelled() {
        for request in &deadly {
            number += 1;
            let host = hosts[random.random_range(0..hosts.len())];
            let record = request.call(format!("{seed:x}-deadly-{number}"), host).await;
            calls.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        }
        tokio::time::sleep(COPIES_APART).await;
    }
}

/// The addresses of a host: a loopback number of its own, so that no connection's own port and
/// no other soak can take them while the host is down.
fn place(seed: u64, number: usize, store: SocketAddr, limit_mb: Option<u32>) -> RouterPlace {
    let part = |value: u64| u8::try_from(value % 250 + 1).unwrap_or(1);
    let process = u64::from(std::process::id());
    let ip = Ipv4Addr::new(127, part(seed), part(process), part(number as u64));
    let at = |port: u16| SocketAddr::from((ip, port));
    RouterPlace {
        name: format!("host-{number}"),
        callers: at(8144),
        readiness: at(8140),
        peers: at(8146),
        metrics: at(7660),
        schedule: at(7661),
        store,
        limit_mb,
    }
}

impl SoakWorld {
    async fn start(settings: SoakSettings) -> std::io::Result<Self> {
        let (stack, cancel) = (NetStack::tcp(), CancellationToken::new());
        std::fs::create_dir_all(&settings.folder)?;
        let store = StandinStore::default();
        let store_address = store.serve(&stack, local(), cancel.clone()).await?;
        let mut world = Self {
            tools: PlaceTools {
                stack,
                store,
                runs: RunLog::default(),
                has_versions: settings.troubles.contains(&SoakTrouble::Versions),
                deadly_parts: DeadlyParts::default(),
            },
            places: Vec::new(),
            routers: Vec::new(),
            store_links: Vec::new(),
            backends: Vec::new(),
            config_version: 0,
            copies: StoreCopies::default(),
            cancel,
            settings,
        };
        world.write_config();
        for kind in [StandinKind::Plain, StandinKind::Decode, StandinKind::Prefill] {
            for _copy in 0..3 {
                let number = world.backends.len();
                world.backends.push(BackendPlace::start(&world.tools, number, kind).await?);
            }
        }
        for number in 0..world.settings.hosts {
            let link = LoopbackProxy::start(store_address).await?;
            let limit_mb = world.plays(SoakTrouble::SlowPeers).then_some(MEMORY_MB);
            world.places.push(place(world.settings.seed, number, link.address, limit_mb));
            world.store_links.push(link);
        }
        let seeds: Vec<SocketAddr> = world.places.iter().map(|place| place.peers).collect();
        for place in &world.places {
            let (binary, folder) = (&world.settings.binary, &world.settings.folder);
            world.routers.push(RouterProcess::start(binary, folder, place, &seeds)?);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        Ok(world)
    }

    pub(crate) fn store(&self) -> &StandinStore {
        &self.tools.store
    }

    /// Writes a configuration whose last route carries its version.
    pub(crate) fn write_config(&mut self) {
        self.config_version += 1;
        let version = self.config_version;
        let probe = format!("/version-{version}/");
        let route = |kind, word, service, attempts, is_resumable| StandinRoute {
            prefix: prefix(kind),
            kind: word,
            service,
            attempts,
            is_resumable,
        };
        let mut routes = vec![
            route(CallKind::Repeatable, "idempotent", "plain", 2, false),
            route(CallKind::Unrepeatable, "non_idempotent", "plain", 2, false),
            route(CallKind::ResumableStream, "streaming", "pool", 3, true),
            route(CallKind::Stream, "streaming", "pool", 2, false),
        ];
        routes.push(StandinRoute { prefix: &probe, ..routes[0].clone() });
        let text = config_text(version, ROUTE_HOST, &routes);
        self.tools.store.write("op", "config", Some(&text));
    }

    /// Lets a fault strike.
    pub(crate) async fn strike(&mut self, fault: DueFault) -> std::io::Result<()> {
        let host = fault.target % self.routers.len();
        let place = fault.target % self.backends.len();
        self.copies.keep(&self.tools.store);
        match fault.kind {
            FaultKind::Kill => self.routers[host].restart()?,
            FaultKind::Stop => {
                self.routers[host].signal(Signal::SIGCONT);
                self.routers[host].signal(Signal::SIGTERM);
            }
            FaultKind::Pause => self.routers[host].signal(Signal::SIGSTOP),
            FaultKind::Reload => self.routers[host].signal(Signal::SIGHUP),
            FaultKind::Store if self.plays(SoakTrouble::Restored) => {
                self.copies.restore(&self.tools.store, fault).await;
            }
            FaultKind::Store => {
                self.tools.store.set_mode(STORE_MODES[fault.variant % STORE_MODES.len()]);
            }
            FaultKind::StoreLink => {
                self.store_links[host].set_mode(PROXY_MODES[fault.variant % PROXY_MODES.len()]);
            }
            FaultKind::BackendLink => {
                self.backends[place].proxy.set_mode(PROXY_MODES[fault.variant % PROXY_MODES.len()]);
            }
            FaultKind::Backend => {
                let fault = BACKEND_FAULTS[fault.variant % BACKEND_FAULTS.len()];
                self.backends[place].backend.set_fault(fault);
            }
            FaultKind::Replace if self.plays(SoakTrouble::Restarts) => match fault.variant % 3 {
                0 => self.backends[place].replace().await?,
                1 => self.backends[place].start_again().await?,
                _ => self.backends[place].spoil_row().await,
            },
            FaultKind::Replace => self.backends[place].replace().await?,
            FaultKind::Configuration if self.plays(SoakTrouble::Restored) => {
                self.copies.restore(&self.tools.store, fault).await;
                self.write_config();
            }
            FaultKind::Configuration => self.write_config(),
        }
        tokio::time::sleep(fault.lasts / 4).await;
        // Every other fault goes on while the next ones strike.
        if fault.variant.is_multiple_of(2) {
            self.revive(host)?;
            self.heal_links();
        }
        Ok(())
    }

    pub(crate) fn plays(&self, trouble: SoakTrouble) -> bool {
        self.settings.troubles.contains(&trouble)
    }

    /// The requests that crash what runs them, if this soak has any.
    fn deadly(&self) -> Vec<DeadlyRequest> {
        if self.plays(SoakTrouble::Deadly) { DEADLY.to_vec() } else { Vec::new() }
    }

    pub(crate) fn deadly_parts(&self) -> &DeadlyParts {
        &self.tools.deadly_parts
    }

    pub(crate) fn runs(&self) -> &RunLog {
        &self.tools.runs
    }

    /// Lets time pass; backend servers that a request has crashed come back.
    pub(crate) async fn pass(&mut self, time: Duration) -> std::io::Result<()> {
        let until = Instant::now() + time;
        loop {
            for place in &mut self.backends {
                place.revive().await?;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            tokio::time::sleep(left.min(REVIVE_EVERY)).await;
        }
    }

    /// Starts all hosts that have ended, as the platform does.
    pub(crate) fn revive_hosts(&mut self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for host in 0..self.routers.len() {
            if let Err(error) = self.revive(host) {
                let detail = format!("host {host} cannot be started: {error}");
                violations.push(Violation { promise: "hosts start", detail });
            }
        }
        violations
    }

    fn revive(&mut self, host: usize) -> std::io::Result<()> {
        self.routers[host].signal(Signal::SIGCONT);
        if self.routers[host].has_ended() {
            self.routers[host].restart()?;
        }
        Ok(())
    }

    fn heal_links(&self) {
        self.tools.store.set_mode(StoreMode::Serving);
        for link in self.store_links.iter().chain(self.backends.iter().map(|it| &it.proxy)) {
            link.set_mode(ProxyMode::Open);
        }
        for place in &self.backends {
            place.backend.set_fault(BackendFault::None);
        }
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        self.heal_links();
        for router in &self.routers {
            router.signal(Signal::SIGCONT);
        }
    }
}

const STORE_MODES: [StoreMode; 4] =
    [StoreMode::Busy, StoreMode::Silent, StoreMode::LosingAnswers, StoreMode::Forgetful];
const PROXY_MODES: [ProxyMode; 4] =
    [ProxyMode::Delayed, ProxyMode::Silent, ProxyMode::OneWay, ProxyMode::Reset];
const BACKEND_FAULTS: [BackendFault; 4] =
    [BackendFault::Full, BackendFault::BreaksOff, BackendFault::Mute, BackendFault::Failing];
