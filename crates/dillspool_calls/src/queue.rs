//! The queue of the calls of one service.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::RangeBounds;
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::BackendInstance;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::forecast::{LEAST_LATE_PLACES, RecentLoad, WaitForecast};
use crate::line::{LineKey, LineRank, WaitLine};
use crate::meter::{DecayedMean, DecayedSum};
use crate::policy::CallPolicy;
use crate::reading::QueueSnapshot;
use crate::request::{CallDecision, CallId, CallOutcome, CallRequest, CallServer, RejectCause};
use crate::retry::RetryPlan;
use crate::servers::{InFlightCall, ServerSet};

/// Waiting calls that one poll passes over because they must not go to the servers that have places. Such calls
/// are few, and looking through all of them would cost too much.
const MOST_PASSED_OVER: usize = 32;

#[derive(Clone, Debug)]
struct WaitingCall {
    key: LineKey,
    request: CallRequest,
    arrived: Moment,
    /// When it must have ended, on time or late.
    due: Moment,
    give_up: Moment,
}

#[derive(Clone, Debug)]
enum CallState {
    Waiting(Box<WaitingCall>),
    InFlight { call: InFlightCall, is_late: bool },
}

/// Decides where the calls of one plain service go, after which wait, and which are rejected.
///
/// After each change ([`submit`](Self::submit), [`complete`](Self::complete), [`adopt`](Self::adopt),
/// [`forget`](Self::forget), [`set_servers`](Self::set_servers), [`set_share`](Self::set_share)) and at
/// [`next_deadline`](Self::next_deadline), call [`poll`](Self::poll) for what was decided for calls that wait.
#[derive(Clone, Debug)]
pub struct CallQueue {
    policy: Arc<CallPolicy>,
    random: SmallRng,
    servers: ServerSet,
    calls: HashMap<CallId, CallState>,
    line: WaitLine,
    /// When the callers of waiting calls give up.
    ends: BTreeSet<(Moment, CallId)>,
    late_in_flight: usize,
    /// Calls that arrived and could be on time, by the priorities of workspace and route.
    arrivals: BTreeMap<(u32, u32), DecayedSum>,
    /// Calls a second that late calls had lately.
    spare: DecayedMean,
    /// Part of the completion rate by which arrivals exceeded it lately.
    excess: DecayedSum,
    retries: RetryPlan,
    rejected: BTreeMap<RejectCause, u64>,
    /// When the waits were predicted last.
    checked: Moment,
    /// Whether a server has left since the last poll.
    has_lost_server: bool,
    /// Since when places may be free that waiting calls have not been offered.
    offered: Option<Moment>,
}

impl CallQueue {
    /// A queue without servers. The seed sets the random spread of its choices.
    pub fn new(policy: CallPolicy, seed: u64) -> Self {
        let policy = Arc::new(policy);
        Self {
            random: SmallRng::seed_from_u64(seed),
            servers: ServerSet::new(Arc::clone(&policy)),
            policy,
            calls: HashMap::new(),
            line: WaitLine::default(),
            ends: BTreeSet::new(),
            late_in_flight: 0,
            arrivals: BTreeMap::new(),
            spare: DecayedMean::default(),
            excess: DecayedSum::default(),
            retries: RetryPlan::default(),
            rejected: BTreeMap::new(),
            checked: Moment::default(),
            has_lost_server: false,
            offered: None,
        }
    }

    /// Sets the backend servers that take calls. One that has started again begins without history, and the
    /// calls in flight at its former start are forgotten. Those at a server that left count until they end.
    pub fn set_servers(&mut self, servers: impl Iterator<Item = CallServer>, now: Moment) {
        if self.servers.set(servers, now) {
            // A server that left takes its capacity with it, and some calls may go to no other.
            self.checked = Moment::default();
            self.has_lost_server = true;
        }
        self.note_change(now);
    }

    /// Sets the part of the servers' limits that this queue may use; 1 for all.
    pub fn set_share(&mut self, share: f64) {
        self.servers.set_share(share);
    }

    /// Decides on a call, or lets it wait. An id that is asked again stands for a new call.
    pub fn submit(&mut self, id: CallId, request: CallRequest, now: Moment) -> CallDecision {
        self.forget(id, now);
        self.servers.free_held(now);
        if !self.servers.has_any(&request.excluded) {
            return self.reject(RejectCause::NoServer, request.time_left, now);
        }
        let priorities = (request.workspace_priority, request.priority);
        let run = Duration::from_secs_f64(self.servers.latency().mean);
        let opens = now + self.servers.opens_in(&request.excluded, now) + run;
        let (objective, give_up) = (now + request.objective_left, now + request.time_left);
        if opens > give_up || request.time_left.is_zero() {
            return self.reject(RejectCause::NoCapacity, request.time_left, now);
        }
        let is_late = opens > objective;
        if !is_late {
            let arrivals = self.arrivals.entry(priorities).or_default();
            arrivals.add(1.0, self.policy.arrival_memory, now);
        }
        let may_send = if is_late {
            self.line.len() == 0 && self.has_late_place(now)
        } else {
            self.line.on_time() == 0
        };
        let limit = if is_late { give_up } else { objective.min(give_up) }.since(now);
        if may_send && let Some(backend) = self.send(id, &request, limit, is_late, now) {
            return CallDecision::Send { backend };
        }
        let forecast = self.forecast(now);
        self.note_load(&forecast, now);
        let margin = forecast.margin_at_ask();
        let due = objective.min(give_up);
        let rank = LineRank::new(false, priorities, due);
        let above = self.arrivals_of(..priorities, now);
        let is_late = is_late || forecast.on_time_end(self.line.ahead(&rank), above, margin) > due;
        let (rank, moment, due) = if is_late {
            (LineRank::new(true, priorities, now), now, give_up)
        } else {
            (rank, due, due)
        };
        let is_hopeless =
            || !forecast.has_spare() || forecast.late_end_at_ask(self.line.ahead(&rank)) > give_up;
        if is_late && is_hopeless() {
            return self.reject(RejectCause::NoCapacity, request.time_left, now);
        }
        let key = self.line.enter(rank, moment, id, due);
        self.ends.insert((give_up, id));
        let call = WaitingCall { key, request, arrived: now, due, give_up };
        self.calls.insert(id, CallState::Waiting(Box::new(call)));
        self.note_change(now);
        CallDecision::Wait
    }

    /// Notes a call that another host decided and that has been in flight for `ran`. It counts against the
    /// server's limit, and may exceed it.
    pub fn adopt(
        &mut self,
        id: CallId,
        request: CallRequest,
        backend: BackendInstance,
        ran: Duration,
        now: Moment,
    ) {
        self.forget(id, now);
        self.servers.take_back(id, now);
        if let Some(call) =
            self.servers.adopt(backend, request.failure_domain, now.saturating_sub(ran), now)
        {
            self.calls.insert(id, CallState::InFlight { call, is_late: false });
        }
    }

    /// Notes how a call ended, `took` after it was sent.
    pub fn complete(&mut self, id: CallId, end: CallOutcome, took: Duration, now: Moment) {
        self.remove(id, Some((end, took)), now);
    }

    /// Forgets a call: its host is gone, or its caller has left. Where it may still run, its place is free only
    /// once it has usually ended.
    pub fn forget(&mut self, id: CallId, now: Moment) {
        self.remove(id, None, now);
    }

    fn remove(&mut self, id: CallId, end: Option<(CallOutcome, Duration)>, now: Moment) {
        match self.calls.remove(&id) {
            Some(CallState::Waiting(call)) => self.leave_line(id, &call),
            Some(CallState::InFlight { call, is_late }) => {
                self.late_in_flight -= usize::from(is_late);
                match end {
                    Some(_end) => self.servers.end(&call, end, now),
                    None => self.servers.hold(id, call, now),
                }
                self.note_change(now);
            }
            None => {}
        }
    }

    fn leave_line(&mut self, id: CallId, call: &WaitingCall) {
        self.line.leave(&call.key);
        self.ends.remove(&(call.give_up, id));
    }

    /// Decides on calls that wait. Never returns [`CallDecision::Wait`].
    pub fn poll(&mut self, now: Moment) -> Vec<(CallId, CallDecision)> {
        let mut decided = Vec::new();
        self.servers.free_held(now);
        if self.line.len() == 0 {
            self.offered = None;
            return decided;
        }
        while let Some((give_up, id)) = self.ends.first().copied()
            && give_up <= now
        {
            self.reject_waiting(id, now, &mut decided);
        }
        if std::mem::take(&mut self.has_lost_server) {
            self.reject_without_server(now, &mut decided);
        }
        if now.since(self.checked) >= self.policy.recheck {
            self.checked = now;
            self.check_waits(now, &mut decided);
        }
        self.offer_places(false, now, &mut decided);
        if self.line.on_time() == 0 {
            self.offer_places(true, now, &mut decided);
        }
        self.offered = None;
        decided
    }

    /// When [`poll`](Self::poll) may decide something by time alone.
    pub fn next_deadline(&self) -> Option<Moment> {
        let (give_up, _id) = self.ends.first()?;
        let check = self.checked + self.policy.recheck;
        Some(self.offered.unwrap_or(check.min(*give_up)))
    }

    /// How the queue stands.
    pub fn snapshot(&self, now: Moment) -> QueueSnapshot {
        QueueSnapshot {
            servers: self.servers.read(now),
            waiting: self.line.len(),
            rejected: self.rejected.clone(),
        }
    }

    /// Notes that places may have become free.
    fn note_change(&mut self, now: Moment) {
        self.offered.get_or_insert(now);
    }

    /// Calls a second of some priorities that arrive and can be on time.
    fn arrivals_of(&self, priorities: impl RangeBounds<(u32, u32)>, now: Moment) -> f64 {
        let memory = self.policy.arrival_memory;
        let arrivals = self.arrivals.range(priorities).map(|(_it, sum)| sum.read(memory, now));
        arrivals.sum::<f64>() / memory.as_secs_f64()
    }

    fn forecast(&mut self, now: Moment) -> WaitForecast {
        let load = RecentLoad {
            arrivals: self.arrivals_of(.., now),
            on_time: self.line.on_time(),
            excess: self.excess.read(self.policy.surge_memory, now),
            spare: self.spare.read(),
        };
        let (survey, latency) = (self.servers.survey(now), self.servers.latency());
        WaitForecast::new(Arc::clone(&self.policy), survey, latency, load, now)
    }

    /// Notes how the load stands for later forecasts.
    fn note_load(&mut self, forecast: &WaitForecast, now: Moment) {
        self.excess.set(forecast.excess, now);
        self.spare.note(forecast.spare, self.policy.spare_memory, now);
    }

    /// Whether one more late call may be in flight beside the calls on time that are about to arrive.
    #[expect(clippy::cast_precision_loss, reason = "calls in flight are counted in thousands")]
    fn has_late_place(&mut self, now: Moment) -> bool {
        self.late_in_flight as f64 + LEAST_LATE_PLACES <= self.forecast(now).late_places()
    }

    /// Rejects waiting calls that are predicted to miss their time; those that miss only their objective are late
    /// from now on.
    fn check_waits(&mut self, now: Moment, decided: &mut Vec<(CallId, CallDecision)>) {
        let forecast = self.forecast(now);
        self.note_load(&forecast, now);
        let margin = forecast.margin_waiting();
        let above: BTreeMap<(u32, u32), f64> =
            self.arrivals.keys().map(|it| (*it, self.arrivals_of(..*it, now))).collect();
        let failing = self.line.failing(|rank, ahead| {
            if rank.is_late {
                return forecast.late_end(ahead);
            }
            let above = above.get(&rank.priorities()).copied().unwrap_or_default();
            forecast.on_time_end(ahead, above, margin)
        });
        for id in failing {
            self.demote(id, &forecast, now, decided);
        }
    }

    /// Makes a waiting call late, or rejects it.
    fn demote(
        &mut self,
        id: CallId,
        forecast: &WaitForecast,
        now: Moment,
        decided: &mut Vec<(CallId, CallDecision)>,
    ) {
        let Some(CallState::Waiting(call)) = self.calls.get_mut(&id) else { return };
        let priorities = (call.request.workspace_priority, call.request.priority);
        let rank = LineRank::new(true, priorities, call.arrived);
        if call.key.rank.is_late
            || !forecast.has_spare()
            || forecast.late_end_at_ask(self.line.ahead(&rank)) > call.give_up
        {
            self.reject_waiting(id, now, decided);
            return;
        }
        self.line.leave(&call.key);
        call.due = call.give_up;
        call.key = self.line.enter(rank, call.arrived, id, call.give_up);
    }

    /// Sends waiting calls, on time or late, while there are places for them.
    fn offer_places(
        &mut self,
        is_late: bool,
        now: Moment,
        decided: &mut Vec<(CallId, CallDecision)>,
    ) {
        let (mut after, mut passed_over) = (None, 0);
        while passed_over < MOST_PASSED_OVER
            && (!is_late || self.has_late_place(now))
            && let Some((key, id)) = self.line.next(is_late, after.as_ref())
            && self.servers.has_place(now)
        {
            after = Some(key);
            let Some(CallState::Waiting(call)) = self.calls.remove(&id) else { continue };
            let limit = call.due.since(now);
            if let Some(backend) = self.send(id, &call.request, limit, is_late, now) {
                self.leave_line(id, &call);
                decided.push((id, CallDecision::Send { backend }));
            } else {
                self.calls.insert(id, CallState::Waiting(call));
                passed_over += 1;
            }
        }
    }

    fn send(
        &mut self,
        id: CallId,
        request: &CallRequest,
        limit: Duration,
        is_late: bool,
        now: Moment,
    ) -> Option<BackendInstance> {
        let (backend, call) = self.servers.send(request, limit, &mut self.random, now)?;
        self.late_in_flight += usize::from(is_late);
        self.calls.insert(id, CallState::InFlight { call, is_late });
        Some(backend)
    }

    fn reject_waiting(
        &mut self,
        id: CallId,
        now: Moment,
        decided: &mut Vec<(CallId, CallDecision)>,
    ) {
        if let Some(CallState::Waiting(call)) = self.calls.remove(&id) {
            self.leave_line(id, &call);
            let has_server = self.servers.has_any(&call.request.excluded);
            let cause = if has_server { RejectCause::NoCapacity } else { RejectCause::NoServer };
            decided.push((id, self.reject(cause, call.give_up.since(now), now)));
        }
    }

    /// Rejects waiting calls that may go to none of the servers; the servers change seldom.
    fn reject_without_server(&mut self, now: Moment, decided: &mut Vec<(CallId, CallDecision)>) {
        let lost = self.calls.iter().filter_map(|(id, call)| match call {
            CallState::Waiting(call) if !self.servers.has_any(&call.request.excluded) => Some(*id),
            _ => None,
        });
        let mut lost: Vec<CallId> = lost.collect();
        lost.sort_unstable();
        for id in lost {
            self.reject_waiting(id, now, decided);
        }
    }

    fn reject(&mut self, cause: RejectCause, time_left: Duration, now: Moment) -> CallDecision {
        *self.rejected.entry(cause).or_default() += 1;
        let longest = time_left.mul_f64(self.policy.longest_retry_part);
        let (longest, wait, rate) = match cause {
            RejectCause::NoServer => (longest.min(self.policy.no_server_retry), longest, 0.0),
            RejectCause::NoCapacity => {
                let forecast = self.forecast(now);
                let run = Duration::from_secs_f64(self.servers.latency().mean);
                (longest, forecast.backlog() + run, forecast.least_spare())
            }
        };
        let retry_after = self.retries.next(wait, rate, longest, &mut self.random, now);
        CallDecision::Reject { cause, retry_after }
    }
}
