//! Liveness of hosts as seen by this host.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_platform::{HostEntry, HostKind, HostState};
use dillspool_schema::Name;
use dillspool_schema::messages::HeartbeatMessage;
use tokio::time::Instant;

use crate::rendezvous::rank_hosts;

/// Time without a heartbeat after which a host counts as dead: three heartbeat intervals.
pub const LEASE_TIME: Duration = Duration::from_secs(3);
/// Number of hosts that may schedule a pool; entry hosts stay connected to them.
const CANDIDATE_HOSTS: usize = 3;

/// Status of another host.
#[derive(Clone, Debug)]
pub struct PeerStatus {
    /// Newest known incarnation.
    pub incarnation: u64,
    /// When it was last heard of.
    pub last_heard: Instant,
    /// Configuration version in its last heartbeat.
    pub config: u64,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether this host's own connection to it is up.
    pub is_linked: bool,
}

#[derive(Debug)]
struct ViewState {
    entries: BTreeMap<Name, HostEntry>,
    list_updated_at: Option<Instant>,
    peers: BTreeMap<Name, PeerStatus>,
    draining: bool,
}

/// Merges the host list with the state from heartbeats.
#[derive(Clone, Debug)]
pub struct HostView {
    host: Name,
    failure_domain: Name,
    incarnation: u64,
    started: Instant,
    state: Arc<Mutex<ViewState>>,
}

impl HostView {
    /// Creates the view of a host that has just started.
    pub fn new(host: Name, failure_domain: Name, incarnation: u64) -> Self {
        let state = ViewState {
            entries: BTreeMap::new(),
            list_updated_at: None,
            peers: BTreeMap::new(),
            draining: false,
        };
        let started = Instant::now();
        Self { host, failure_domain, incarnation, started, state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this host's name.
    pub fn host(&self) -> &Name {
        &self.host
    }

    /// Returns the start of this process, in milliseconds of Unix time.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Updates the platform's host list; `None` means that it is unchanged.
    pub fn update_host_list(&self, entries: Option<Vec<HostEntry>>) {
        let mut state = self.lock();
        if let Some(entries) = entries {
            let keyed = |entry: HostEntry| (Name::clone(&entry.name), entry);
            state.entries = entries.into_iter().map(keyed).collect();
        }
        state.list_updated_at = Some(Instant::now());
    }

    /// Whether the host list was read within the lease time.
    pub fn is_list_fresh(&self) -> bool {
        self.lock().list_updated_at.is_some_and(|at| at.elapsed() < LEASE_TIME)
    }

    /// Returns the names of the listed hosts.
    pub fn listed_hosts(&self) -> Vec<Name> {
        let state = self.lock();
        let hosts = state.entries.values().filter(|entry| entry.kind == HostKind::Host);
        hosts.map(|entry| Name::clone(&entry.name)).collect()
    }

    /// Whether the list shows a backend server as leaving.
    pub fn is_leaving(&self, backend: &str) -> bool {
        let state = self.lock();
        state.entries.get(backend).is_some_and(|entry| entry.state == HostState::Leaving)
    }

    /// Records a heartbeat of a host; ignores older incarnations.
    pub fn record_heartbeat(&self, host: &Name, incarnation: u64, beat: &HeartbeatMessage) {
        let mut state = self.lock();
        let now = Instant::now();
        let peer = state.peers.entry(Name::clone(host)).or_insert(PeerStatus {
            incarnation,
            last_heard: now,
            config: beat.config,
            draining: beat.draining,
            is_linked: false,
        });
        if incarnation < peer.incarnation {
            return;
        }
        peer.incarnation = incarnation;
        peer.last_heard = now;
        peer.config = beat.config;
        peer.draining = beat.draining;
    }

    /// Records whether this host's own connection to a host is up.
    pub fn record_link(&self, host: &Name, is_linked: bool) {
        if let Some(peer) = self.lock().peers.get_mut(host) {
            peer.is_linked = is_linked;
        }
    }

    /// Whether this host's own connection to a host is up.
    pub fn is_linked(&self, host: &str) -> bool {
        self.lock().peers.get(host).is_some_and(|peer| peer.is_linked)
    }

    /// Returns when a host was last heard of over any connection.
    pub fn last_heard(&self, host: &str) -> Option<Instant> {
        self.lock().peers.get(host).map(|peer| peer.last_heard)
    }

    /// Returns the hosts to which this host's own connection is up.
    pub fn linked_hosts(&self) -> Vec<Name> {
        let state = self.lock();
        let linked = state.peers.iter().filter(|(_, peer)| peer.is_linked);
        linked.map(|(host, _)| Name::clone(host)).collect()
    }

    /// Marks this host as draining.
    pub fn set_draining(&self) {
        self.lock().draining = true;
    }

    /// Whether this host is draining.
    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Returns the status of the other hosts.
    pub fn peers(&self) -> BTreeMap<Name, PeerStatus> {
        self.lock().peers.clone()
    }

    /// Whether a peer or the platform was reached within the lease time.
    pub fn is_connected(&self) -> bool {
        let state = self.lock();
        let heard = state.peers.values().any(|peer| peer.last_heard.elapsed() < LEASE_TIME);
        let listed = state.list_updated_at.is_some_and(|at| at.elapsed() < LEASE_TIME);
        heard || listed
    }

    /// Whether there are other hosts but none was reached within the lease time.
    ///
    /// An isolated host cannot know whether its configuration is still in force, so it stops accepting
    /// requests. See `docs/design/configuration.md`.
    pub fn is_isolated(&self) -> bool {
        let others = self.listed_hosts().iter().any(|host| *host != self.host);
        others && self.started.elapsed() >= LEASE_TIME && !self.is_connected()
    }

    /// Returns the hosts, with addresses, that this host should stay connected to.
    ///
    /// These are the hosts of its failure domain and the candidates for each pool, never all hosts.
    pub fn dial_targets(&self, pools: &[Name]) -> BTreeMap<Name, Name> {
        let mut targets = BTreeMap::new();
        let candidates: Vec<Name> = pools.iter().flat_map(|pool| self.candidates(pool)).collect();
        let state = self.lock();
        for entry in state.entries.values() {
            let same_domain = entry.failure_domain == self.failure_domain;
            let is_target = same_domain || candidates.contains(&entry.name);
            if entry.kind == HostKind::Host && entry.name != self.host && is_target {
                targets.insert(Name::clone(&entry.name), Name::clone(&entry.address));
            }
        }
        targets
    }

    /// Whether a connection that this host should keep is down.
    pub fn has_lost_link(&self, pools: &[Name]) -> bool {
        let targets = self.dial_targets(pools);
        let state = self.lock();
        targets.keys().any(|host| state.peers.get(host).is_none_or(|peer| !peer.is_linked))
    }

    /// Returns the first live hosts of the list in rendezvous order for a pool.
    pub fn candidates(&self, pool: &str) -> Vec<Name> {
        let state = self.lock();
        let live = state
            .entries
            .values()
            .filter(|entry| entry.kind == HostKind::Host && entry.state == HostState::Live);
        let mut ranked = rank_hosts(pool, live.map(|entry| &entry.name));
        ranked.truncate(CANDIDATE_HOSTS);
        ranked
    }

    /// Returns the reachable host that currently schedules a pool; this host itself if there is none.
    pub fn scheduler(&self, pool: &str) -> Name {
        let candidates = self.candidates(pool);
        let state = self.lock();
        let usable = |host: &&Name| {
            if **host == self.host {
                return !state.draining;
            }
            state.peers.get(*host).is_some_and(|peer| {
                peer.is_linked && !peer.draining && peer.last_heard.elapsed() < LEASE_TIME
            })
        };
        candidates.iter().find(usable).map_or_else(|| Name::clone(&self.host), Name::clone)
    }

    /// Returns the status of an incarnation of a host, from this host's own knowledge.
    pub fn owner_status(&self, host: &str, incarnation: u64) -> OwnerStatus {
        if host == &*self.host {
            let own = incarnation == self.incarnation;
            return if own { OwnerStatus::Alive } else { OwnerStatus::Dead };
        }
        let state = self.lock();
        match state.peers.get(host) {
            Some(peer) if incarnation < peer.incarnation => OwnerStatus::Dead,
            Some(peer) if peer.last_heard.elapsed() < LEASE_TIME => OwnerStatus::Alive,
            Some(_) | None if self.started.elapsed() < LEASE_TIME => OwnerStatus::Alive,
            Some(_) | None => OwnerStatus::LeaseExpired,
        }
    }
}

/// Status of the owner of a stream, as known to one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerStatus {
    /// Heard of within the lease time.
    Alive,
    /// Replaced by a newer incarnation.
    Dead,
    /// Not heard of within the lease time; other hosts may have heard of it.
    LeaseExpired,
}
