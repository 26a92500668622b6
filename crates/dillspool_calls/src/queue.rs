//! The queue of the calls of one service.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::{BackendStart, StartedBackend};
use dillspool_schema::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::policy::CallPolicy;
use crate::reading::{CallReading, ServerReading};
use crate::request::{CallDecision, CallEnd, CallId, CallRequest, CallServer, RejectCause};

/// Place of a waiting call; the least goes first.
type LineKey = (u32, u32, Moment, u64);

#[derive(Clone, Debug)]
struct ServerState {
    server: CallServer,
    /// Tells this state from a former one of the same id.
    epoch: u64,
    in_flight: u32,
}

#[derive(Clone, Debug)]
enum CallState {
    Waiting { key: LineKey, request: CallRequest, give_up: Moment },
    InFlight { server: Name, epoch: u64 },
}

/// Decides where the calls of one plain service go, after which wait, and which are rejected.
///
/// After each change ([`ask`](Self::ask), [`end`](Self::end), [`adopt`](Self::adopt),
/// [`forget`](Self::forget), [`set_servers`](Self::set_servers)) and at [`next_due`](Self::next_due), call
/// [`poll`](Self::poll) for what was decided for calls that wait.
#[derive(Clone, Debug)]
pub struct CallQueue {
    policy: CallPolicy,
    random: SmallRng,
    share: f64,
    servers: BTreeMap<Name, ServerState>,
    calls: HashMap<CallId, CallState>,
    line: BTreeMap<LineKey, CallId>,
    rejected: BTreeMap<RejectCause, u64>,
    made: u64,
}

impl CallQueue {
    /// A queue without servers. The seed sets the random spread of its choices.
    pub fn new(policy: CallPolicy, seed: u64) -> Self {
        Self {
            policy,
            random: SmallRng::seed_from_u64(seed),
            share: 1.0,
            servers: BTreeMap::new(),
            calls: HashMap::new(),
            line: BTreeMap::new(),
            rejected: BTreeMap::new(),
            made: 0,
        }
    }

    /// Sets the backend servers that take calls. One that has started again begins without history, and the
    /// calls in flight at its former start are forgotten.
    pub fn set_servers(&mut self, servers: impl Iterator<Item = CallServer>, _now: Moment) {
        let mut former = std::mem::take(&mut self.servers);
        for server in servers {
            let known = former.remove(&server.backend.id).filter(|state| {
                !BackendStart::differ(state.server.backend.start, server.backend.start)
            });
            self.made += 1;
            let made = self.made;
            let state = match known {
                Some(state) => ServerState { server, ..state },
                None => ServerState { server, epoch: made, in_flight: 0 },
            };
            self.servers.insert(Name::clone(&state.server.backend.id), state);
        }
    }

    /// Sets the part of the servers' limits that this queue may use; 1 for all.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Decides on a call, or lets it wait.
    pub fn ask(&mut self, id: CallId, request: CallRequest, now: Moment) -> CallDecision {
        self.forget(id, now);
        let excluded = |name: &Name| request.excluded.contains(name);
        if self.servers.keys().all(excluded) {
            return self.reject(RejectCause::NoServer, request.time_left);
        }
        if request.time_left.is_zero() {
            return self.reject(RejectCause::NoRoom, request.time_left);
        }
        if let Some(backend) = self.send(id, &request) {
            return CallDecision::Send { backend };
        }
        self.made += 1;
        let end = now + request.objective_left;
        let key = (request.workspace_priority, request.priority, end, self.made);
        self.line.insert(key, id);
        let give_up = now + request.time_left;
        self.calls.insert(id, CallState::Waiting { key, request, give_up });
        CallDecision::Wait
    }

    /// Notes a call that another host decided and that has been in flight for `ran`.
    pub fn adopt(
        &mut self,
        id: CallId,
        _request: CallRequest,
        backend: StartedBackend,
        _ran: Duration,
        now: Moment,
    ) {
        self.forget(id, now);
        if let Some(state) = self.servers.get_mut(&backend.id)
            && !BackendStart::differ(state.server.backend.start, backend.start)
        {
            state.in_flight += 1;
            let call = CallState::InFlight { server: backend.id, epoch: state.epoch };
            self.calls.insert(id, call);
        }
    }

    /// Notes how a call ended, `took` after it was sent.
    pub fn end(&mut self, id: CallId, _end: CallEnd, _took: Duration, now: Moment) {
        self.forget(id, now);
    }

    /// Forgets a call: its host is gone, or its caller has left.
    pub fn forget(&mut self, id: CallId, _now: Moment) {
        match self.calls.remove(&id) {
            Some(CallState::Waiting { key, .. }) => drop(self.line.remove(&key)),
            Some(CallState::InFlight { server, epoch }) => {
                if let Some(state) = self.servers.get_mut(&server)
                    && state.epoch == epoch
                {
                    state.in_flight -= 1;
                }
            }
            None => {}
        }
    }

    /// Decides on calls that wait. Never returns [`CallDecision::Wait`].
    pub fn poll(&mut self, now: Moment) -> Vec<(CallId, CallDecision)> {
        let mut decided = Vec::new();
        for (key, id) in std::mem::take(&mut self.line) {
            let Some(CallState::Waiting { request, give_up, .. }) = self.calls.get(&id).cloned()
            else {
                continue;
            };
            let left = give_up.since(now);
            if left.is_zero() {
                self.calls.remove(&id);
                decided.push((id, self.reject(RejectCause::NoRoom, left)));
            } else if let Some(backend) = self.send(id, &request) {
                decided.push((id, CallDecision::Send { backend }));
            } else {
                self.line.insert(key, id);
            }
        }
        decided
    }

    /// When [`poll`](Self::poll) may decide something by time alone.
    pub fn next_due(&self) -> Option<Moment> {
        let waiting = self.line.values().filter_map(|id| match self.calls.get(id) {
            Some(CallState::Waiting { give_up, .. }) => Some(*give_up),
            _ => None,
        });
        waiting.min()
    }

    /// How the queue stands.
    pub fn read(&self, _now: Moment) -> CallReading {
        let servers = self.servers.values().map(|state| ServerReading {
            backend: state.server.backend.clone(),
            limit: self.limit(&state.server),
            in_flight: state.in_flight,
            mean_latency: self.policy.assumed_latency,
            is_blocked: false,
        });
        CallReading {
            servers: servers.collect(),
            waiting: self.line.len(),
            rejected: self.rejected.clone(),
        }
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "limits are small")]
    fn limit(&self, server: &CallServer) -> u32 {
        let slots = f64::from(server.slots.unwrap_or(8));
        let limit = slots + (slots * self.policy.extra_part).max(1.0);
        ((limit.min(f64::from(server.most_connections)) * self.share) as u32).max(1)
    }

    /// Sends a call to the server with the most room, if there is one.
    fn send(&mut self, id: CallId, request: &CallRequest) -> Option<StartedBackend> {
        let free = self.servers.values().filter(|state| {
            state.in_flight < self.limit(&state.server)
                && !request.excluded.contains(&state.server.backend.id)
        });
        let load = |state: &&ServerState| {
            f64::from(state.in_flight + 1) / f64::from(self.limit(&state.server))
        };
        let chosen = free.min_by(|one, other| load(one).total_cmp(&load(other)))?;
        let backend = chosen.server.backend.clone();
        let state = self.servers.get_mut(&backend.id)?;
        state.in_flight += 1;
        let call = CallState::InFlight { server: Name::clone(&backend.id), epoch: state.epoch };
        self.calls.insert(id, call);
        Some(backend)
    }

    fn reject(&mut self, cause: RejectCause, time_left: Duration) -> CallDecision {
        *self.rejected.entry(cause).or_default() += 1;
        let part = self.policy.longest_retry_part * self.random.random_range(0.3..1.0);
        CallDecision::Reject { cause, retry_after: time_left.mul_f64(part) }
    }
}
