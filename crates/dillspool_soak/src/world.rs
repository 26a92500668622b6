//! Puts hosts, store, backend servers and callers together, lets faults strike, and checks.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::NetStack;
use dillspool_site_standin::{
    BackendFault, RunLog, StandinBackend, StandinKind, StandinRoute, StandinStore, StoreMode,
    config_text,
};
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::callers::{ROUTE_HOST, call, prefix, send};
use crate::check::{CallKind, CallOutcome, CallRecord, Violation, check_calls};
use crate::faults::{DueFault, FaultKind, draw_faults};
use crate::proxy::{LoopbackProxy, ProxyMode};
use crate::router::{RouterPlace, RouterProcess};

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
    /// Whether some of the backend servers that are replaced start again under their ids, and others' rows
    /// are spoiled for a moment.
    pub restarts: bool,
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
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// Time in which everything must have recovered once the faults are over: a silent question to
/// the store ends, a lapsed row returns, and a paused host catches up.
const RECOVERY: Duration = Duration::from_secs(8);
/// Time in which a leaving backend server must get nothing more.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after a stop in which the process may still run: its grace and a margin.
const STOP_GRACE: Duration = Duration::from_secs(5);
/// Time for which a spoiled row stands.
const SPOILED_FOR: Duration = Duration::from_millis(120);
/// Start of a backend server whose clock goes back with each start.
const FIRST_START: u64 = 1_000_000;
/// Kinds of calls, more of the plain ones.
const KINDS: [CallKind; 6] = [
    CallKind::Repeatable,
    CallKind::Unrepeatable,
    CallKind::Unrepeatable,
    CallKind::Unrepeatable,
    CallKind::ResumableStream,
    CallKind::Stream,
];

struct BackendPlace {
    service: &'static str,
    kind: StandinKind,
    proxy: LoopbackProxy,
    /// Address behind the proxy, which a successor takes over.
    address: SocketAddr,
    backend: StandinBackend,
    starts: u32,
}

struct SoakWorld {
    settings: SoakSettings,
    stack: NetStack,
    store: StandinStore,
    runs: RunLog,
    places: Vec<RouterPlace>,
    routers: Vec<RouterProcess>,
    store_links: Vec<LoopbackProxy>,
    backends: Vec<BackendPlace>,
    config_version: u64,
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
    let faults = draw_faults(&mut random, world.settings.span);
    for fault in &faults {
        tokio::time::sleep(fault.after).await;
        world.strike(*fault).await?;
    }
    world.heal();
    tokio::time::sleep(RECOVERY).await;
    stop_calls.cancel();
    // The callers bound every call in time.
    let _ended = callers.await;
    let calls = calls.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let mut violations = check_calls(&calls, &world.runs);
    violations.extend(world.check_rest().await);
    let served = |call: &&CallRecord| matches!(call.outcome, CallOutcome::Answer(200, _));
    Ok(SoakReport {
        calls: calls.len(),
        served: calls.iter().filter(served).count(),
        faults: faults.len(),
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
        let host = hosts[random.random_range(0..hosts.len())];
        open.spawn(call(format!("{seed:x}-{number}"), kind, host));
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

/// The addresses of a host: a loopback number of its own, so that no connection's own port and
/// no other soak can take them while the host is down.
fn place(seed: u64, number: usize, store: SocketAddr) -> RouterPlace {
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
    }
}

impl SoakWorld {
    async fn start(settings: SoakSettings) -> std::io::Result<Self> {
        let (stack, cancel) = (NetStack::tcp(), CancellationToken::new());
        std::fs::create_dir_all(&settings.folder)?;
        let store = StandinStore::default();
        let store_address = store.serve(&stack, local(), cancel.clone()).await?;
        let mut world = Self {
            stack,
            store,
            runs: RunLog::default(),
            places: Vec::new(),
            routers: Vec::new(),
            store_links: Vec::new(),
            backends: Vec::new(),
            config_version: 0,
            cancel,
            settings,
        };
        world.write_config();
        for kind in [StandinKind::Plain, StandinKind::Decode, StandinKind::Prefill] {
            for _copy in 0..3 {
                world.add_backend(kind).await?;
            }
        }
        for number in 0..world.settings.hosts {
            let link = LoopbackProxy::start(store_address).await?;
            world.places.push(place(world.settings.seed, number, link.address));
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

    async fn add_backend(&mut self, kind: StandinKind) -> std::io::Result<()> {
        let service = if kind == StandinKind::Plain { "plain" } else { "pool" };
        let id = format!("i-{}-0", self.backends.len());
        let backend = StandinBackend::new(&id, kind, &self.runs);
        let address = backend.serve(&self.stack, local()).await?;
        let proxy = LoopbackProxy::start(address).await?;
        self.store.write("servers", &id, Some(&backend.row(service, proxy.address, "ready")));
        self.backends.push(BackendPlace { service, kind, proxy, address, backend, starts: 0 });
        Ok(())
    }

    /// Writes a configuration whose last route carries its version.
    fn write_config(&mut self) {
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
        self.store.write("op", "config", Some(&text));
    }

    async fn strike(&mut self, fault: DueFault) -> std::io::Result<()> {
        let host = fault.target % self.routers.len();
        let place = fault.target % self.backends.len();
        match fault.kind {
            FaultKind::Kill => self.routers[host].restart()?,
            FaultKind::Stop => {
                self.routers[host].signal(Signal::SIGCONT);
                self.routers[host].signal(Signal::SIGTERM);
            }
            FaultKind::Pause => self.routers[host].signal(Signal::SIGSTOP),
            FaultKind::Reload => self.routers[host].signal(Signal::SIGHUP),
            FaultKind::Store => self.store.set_mode(STORE_MODES[fault.variant % STORE_MODES.len()]),
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
            FaultKind::Replace if self.settings.restarts => match fault.variant % 3 {
                0 => self.replace(place).await?,
                1 => self.start_again(place).await?,
                _ => self.spoil_row(place).await,
            },
            FaultKind::Replace => self.replace(place).await?,
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

    /// Starts a successor at a crashed backend server's address.
    async fn replace(&mut self, at: usize) -> std::io::Result<()> {
        let place = &mut self.backends[at];
        place.backend.crash();
        self.store.write("servers", &place.backend.id, None);
        place.starts += 1;
        let id = format!("i-{at}-{}", place.starts);
        let backend = StandinBackend::new(&id, place.kind, &self.runs);
        // What still runs on the old one keeps its own connections; the address is another.
        place.address = backend.serve(&self.stack, local()).await?;
        place.proxy = LoopbackProxy::start(place.address).await?;
        let row = backend.row(place.service, place.proxy.address, "ready");
        self.store.write("servers", &id, Some(&row));
        place.backend = backend;
        Ok(())
    }

    /// Starts a backend server again under its id and at its address; its clock may have gone back.
    async fn start_again(&mut self, at: usize) -> std::io::Result<()> {
        let place = &mut self.backends[at];
        place.backend.crash();
        place.starts += 1;
        let starts = u64::from(place.starts);
        let start = if at.is_multiple_of(2) { starts } else { FIRST_START - starts };
        let backend = StandinBackend::new(&place.backend.id, place.kind, &self.runs).started(start);
        place.address = backend.serve(&self.stack, local()).await?;
        place.proxy = LoopbackProxy::start(place.address).await?;
        let row = backend.row(place.service, place.proxy.address, "ready");
        self.store.write("servers", &backend.id, Some(&row));
        place.backend = backend;
        Ok(())
    }

    /// Another writer puts something in the place of a row, which comes back a moment later.
    async fn spoil_row(&mut self, at: usize) {
        let place = &self.backends[at];
        let row = place.backend.row(place.service, place.proxy.address, "ready");
        let spoiled = row.replacen("ready", "asleep", 1);
        for text in [spoiled.as_str(), "{", "", row.as_str()] {
            self.store.write("servers", &place.backend.id, Some(text));
            tokio::time::sleep(SPOILED_FOR).await;
        }
    }

    fn revive(&mut self, host: usize) -> std::io::Result<()> {
        self.routers[host].signal(Signal::SIGCONT);
        if self.routers[host].has_ended() {
            self.routers[host].restart()?;
        }
        Ok(())
    }

    fn heal_links(&self) {
        self.store.set_mode(StoreMode::Serving);
        for link in self.store_links.iter().chain(self.backends.iter().map(|it| &it.proxy)) {
            link.set_mode(ProxyMode::Open);
        }
        for place in &self.backends {
            place.backend.set_fault(BackendFault::None);
        }
    }

    /// Ends all faults.
    fn heal(&mut self) {
        self.heal_links();
        for router in &self.routers {
            router.signal(Signal::SIGCONT);
        }
    }

    /// What must hold once everything has recovered.
    async fn check_rest(&mut self) -> Vec<Violation> {
        let mut violations = Vec::new();
        // A host that was told to stop is started again, as the platform does.
        tokio::time::sleep(STOP_GRACE.saturating_sub(RECOVERY)).await;
        for host in 0..self.routers.len() {
            if let Err(error) = self.revive(host) {
                let detail = format!("host {host} cannot be started: {error}");
                violations.push(Violation { promise: "hosts start", detail });
            }
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let places = self.places.clone();
        for place in &places {
            violations.extend(self.check_config(place).await);
        }
        violations.extend(self.check_drain(&places).await);
        self.cancel.cancel();
        violations
    }

    async fn check_config(&self, place: &RouterPlace) -> Vec<Violation> {
        let version = self.config_version;
        let mut violations = Vec::new();
        for (offered, status) in [(version, 200), (version.saturating_sub(1), 404)] {
            let id = format!("probe-{}-{offered}", place.name);
            let path = format!("/version-{offered}/{id}");
            let answer = send(&id, &path, place.callers).await;
            let seen = match answer {
                CallOutcome::Answer(seen, _body) => seen,
                CallOutcome::Nothing => 0,
            };
            if seen != status {
                let detail = format!(
                    "{} answers {seen} on the route of version {offered} of {version}, not {status}",
                    place.name
                );
                violations
                    .push(Violation { promise: "the newest configuration is in force", detail });
            }
        }
        violations
    }

    /// A backend server that leaves gets nothing more, a moment later.
    async fn check_drain(&self, places: &[RouterPlace]) -> Vec<Violation> {
        let Some(leaving) = self.backends.first() else { return Vec::new() };
        let row = leaving.backend.row(leaving.service, leaving.proxy.address, "draining");
        self.store.write("servers", &leaving.backend.id, Some(&row));
        tokio::time::sleep(DRAIN).await;
        let before = self.runs.at(&leaving.backend.id);
        let mut served = 0;
        for number in 0..20 {
            let place = &places[number % places.len()];
            let record = call(format!("rest-{number}"), CallKind::Repeatable, place.callers).await;
            served += usize::from(matches!(record.outcome, CallOutcome::Answer(200, _)));
        }
        let mut violations = Vec::new();
        let after = self.runs.at(&leaving.backend.id);
        if after > before {
            let detail = format!("{} runs after {DRAIN:?}", after - before);
            violations.push(Violation { promise: "a leaving backend server gets nothing", detail });
        }
        if served < 20 {
            let detail = format!("{served} of 20 calls served at rest");
            violations.push(Violation { promise: "service recovers", detail });
        }
        violations
    }
}

const STORE_MODES: [StoreMode; 4] =
    [StoreMode::Busy, StoreMode::Silent, StoreMode::LosingAnswers, StoreMode::Forgetful];
const PROXY_MODES: [ProxyMode; 4] =
    [ProxyMode::Delayed, ProxyMode::Silent, ProxyMode::OneWay, ProxyMode::Reset];
const BACKEND_FAULTS: [BackendFault; 4] =
    [BackendFault::Full, BackendFault::BreaksOff, BackendFault::Mute, BackendFault::Failing];

/// Any free port of the loopback address.
fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
