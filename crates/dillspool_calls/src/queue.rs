//! The queue of the calls of one service.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::RangeBounds;
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::BackendInstance;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::estimators::{DecayedMean, DecayedSum};
use crate::forecast::{MIN_LATE_SLOTS, RecentLoad, WaitForecast};
use crate::policy::CallPolicy;
use crate::request::{CallDecision, CallId, CallOutcome, CallRequest, CallServer, RejectCause};
use crate::retry::RetrySchedule;
use crate::servers::{InFlightCall, ServerSet};
use crate::snapshot::QueueSnapshot;
use crate::wait_queue::{BucketRank, QueuePosition, WaitQueue};

/// Maximum number of waiting calls that one poll skips because they must not be sent to the servers
/// that have capacity. Such calls are few, and searching all of them would cost too much.
const MAX_SKIPPED_CALLS: usize = 32;

#[derive(Clone, Debug)]
struct WaitingCall {
    position: QueuePosition,
    request: CallRequest,
    arrived: Moment,
    /// Time by which it must have ended: the end of its objective, or its deadline if it is late.
    due: Moment,
    deadline: Moment,
}

#[derive(Clone, Debug)]
enum CallState {
    Waiting(Box<WaitingCall>),
    InFlight { call: InFlightCall, is_late: bool },
}

/// Decides where the calls of one plain service are sent and after what wait, and which are
/// rejected.
///
/// After each change ([`submit`](Self::submit), [`complete`](Self::complete),
/// [`adopt`](Self::adopt), [`forget`](Self::forget), [`set_servers`](Self::set_servers),
/// [`set_share`](Self::set_share)) and at [`next_deadline`](Self::next_deadline), call
/// [`poll`](Self::poll) for the decisions on waiting calls.
#[derive(Clone, Debug)]
pub struct CallQueue {
    policy: Arc<CallPolicy>,
    random: SmallRng,
    servers: ServerSet,
    calls: HashMap<CallId, CallState>,
    waiting: WaitQueue,
    /// Deadlines of the waiting calls, when their callers give up.
    deadlines: BTreeSet<(Moment, CallId)>,
    late_in_flight: usize,
    /// Arrivals of calls that could be on time, by the priorities of workspace and route.
    arrivals: BTreeMap<(u32, u32), DecayedSum>,
    /// Calls per second that were recently left to late calls.
    spare: DecayedMean,
    /// Fraction of the completion rate by which arrivals recently exceeded it.
    excess: DecayedSum,
    retry_schedule: RetrySchedule,
    rejected: BTreeMap<RejectCause, u64>,
    /// When the waits were last predicted.
    checked_at: Moment,
    /// Whether a server has left since the last poll.
    did_server_leave: bool,
    /// Since when waiting calls are due to be sent, because there may be capacity for them.
    send_due_at: Option<Moment>,
}

impl CallQueue {
    /// Creates a queue without servers. `seed` seeds the random spread of its choices.
    pub fn new(policy: CallPolicy, seed: u64) -> Self {
        let policy = Arc::new(policy);
        Self {
            random: SmallRng::seed_from_u64(seed),
            servers: ServerSet::new(Arc::clone(&policy)),
            policy,
            calls: HashMap::new(),
            waiting: WaitQueue::default(),
            deadlines: BTreeSet::new(),
            late_in_flight: 0,
            arrivals: BTreeMap::new(),
            spare: DecayedMean::default(),
            excess: DecayedSum::default(),
            retry_schedule: RetrySchedule::default(),
            rejected: BTreeMap::new(),
            checked_at: Moment::default(),
            did_server_leave: false,
            send_due_at: None,
        }
    }

    /// Sets the backend servers that take calls. One that has started again begins without history,
    /// and the calls in flight at its former start are forgotten. Calls at a server that left count
    /// until they end.
    pub fn set_servers(&mut self, servers: impl Iterator<Item = CallServer>, now: Moment) {
        if self.servers.set_servers(servers, now) {
            // A server that left takes its capacity with it, and some calls may be sent to no
            // other.
            self.checked_at = Moment::default();
            self.did_server_leave = true;
        }
        self.mark_send_due(now);
    }

    /// Sets the fraction of the servers' limits that this queue may use; 1 for all.
    pub fn set_share(&mut self, share: f64) {
        self.servers.set_share(share);
    }

    /// Decides on a call, or lets it wait. An id that is submitted again stands for a new call.
    pub fn submit(&mut self, id: CallId, request: CallRequest, now: Moment) -> CallDecision {
        self.forget(id, now);
        self.servers.expire_forgotten(now);
        if !self.servers.has_server_for(&request.excluded) {
            return self.reject(RejectCause::NoServer, request.time_left, now);
        }
        let priorities = (request.workspace_priority, request.priority);
        let run_time = Duration::from_secs_f64(self.servers.latency().mean);
        let available_at =
            now + self.servers.time_until_available(&request.excluded, now) + run_time;
        let (objective_end, deadline) = (now + request.objective_left, now + request.time_left);
        if available_at > deadline || request.time_left.is_zero() {
            return self.reject(RejectCause::NoCapacity, request.time_left, now);
        }
        let is_late = available_at > objective_end;
        if !is_late {
            let arrivals = self.arrivals.entry(priorities).or_default();
            arrivals.add(1.0, self.policy.arrival_memory, now);
        }
        let may_send = if is_late {
            self.waiting.len() == 0 && self.has_late_slot(now)
        } else {
            self.waiting.on_time_len() == 0
        };
        let time_limit = if is_late { deadline } else { objective_end.min(deadline) }.since(now);
        if may_send && let Some(backend) = self.send(id, &request, time_limit, is_late, now) {
            return CallDecision::Send { backend };
        }
        let forecast = self.forecast(now);
        self.record_load(&forecast, now);
        let margin = forecast.margin_at_submit();
        let due = objective_end.min(deadline);
        let rank = BucketRank::new(false, priorities, due);
        let higher_arrivals = self.arrival_rate(..priorities, now);
        let is_late = is_late
            || forecast.on_time_end(self.waiting.count_ahead(&rank), higher_arrivals, margin) > due;
        let (rank, order_time, due) = if is_late {
            (BucketRank::new(true, priorities, now), now, deadline)
        } else {
            (rank, due, due)
        };
        let is_infeasible = || {
            !forecast.has_spare()
                || forecast.late_end_at_submit(self.waiting.count_ahead(&rank)) > deadline
        };
        if is_late && is_infeasible() {
            return self.reject(RejectCause::NoCapacity, request.time_left, now);
        }
        let position = self.waiting.insert(rank, order_time, id, due);
        self.deadlines.insert((deadline, id));
        let call = WaitingCall { position, request, arrived: now, due, deadline };
        self.calls.insert(id, CallState::Waiting(Box::new(call)));
        self.mark_send_due(now);
        CallDecision::Wait
    }

    /// Records a call that another host decided and that has been in flight for `elapsed`. It
    /// counts against the server's limit, and may exceed it.
    pub fn adopt(
        &mut self,
        id: CallId,
        request: CallRequest,
        backend: BackendInstance,
        elapsed: Duration,
        now: Moment,
    ) {
        self.forget(id, now);
        self.servers.remove_forgotten(id, now);
        if let Some(call) =
            self.servers.adopt(backend, request.failure_domain, now.saturating_sub(elapsed), now)
        {
            self.calls.insert(id, CallState::InFlight { call, is_late: false });
        }
    }

    /// Records how a call ended, `took` after it was sent.
    pub fn complete(&mut self, id: CallId, outcome: CallOutcome, took: Duration, now: Moment) {
        self.remove(id, Some((outcome, took)), now);
    }

    /// Forgets a call: its host is gone, or its caller has disconnected. If it may still run, it
    /// counts against the server's limit until it has usually ended.
    pub fn forget(&mut self, id: CallId, now: Moment) {
        self.remove(id, None, now);
    }

    fn remove(&mut self, id: CallId, outcome: Option<(CallOutcome, Duration)>, now: Moment) {
        match self.calls.remove(&id) {
            Some(CallState::Waiting(call)) => self.dequeue(id, &call),
            Some(CallState::InFlight { call, is_late }) => {
                self.late_in_flight -= usize::from(is_late);
                match outcome {
                    Some(_outcome) => self.servers.complete(&call, outcome, now),
                    None => self.servers.forget(id, call, now),
                }
                self.mark_send_due(now);
            }
            None => {}
        }
    }

    fn dequeue(&mut self, id: CallId, call: &WaitingCall) {
        self.waiting.remove(&call.position);
        self.deadlines.remove(&(call.deadline, id));
    }

    /// Decides on waiting calls. Never returns [`CallDecision::Wait`].
    pub fn poll(&mut self, now: Moment) -> Vec<(CallId, CallDecision)> {
        let mut decisions = Vec::new();
        self.servers.expire_forgotten(now);
        if self.waiting.len() == 0 {
            self.send_due_at = None;
            return decisions;
        }
        while let Some((deadline, id)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.reject_waiting(id, now, &mut decisions);
        }
        if std::mem::take(&mut self.did_server_leave) {
            self.reject_unroutable(now, &mut decisions);
        }
        if now.since(self.checked_at) >= self.policy.recheck {
            self.checked_at = now;
            self.recheck_waiting(now, &mut decisions);
        }
        self.send_waiting(false, now, &mut decisions);
        if self.waiting.on_time_len() == 0 {
            self.send_waiting(true, now, &mut decisions);
        }
        self.send_due_at = None;
        decisions
    }

    /// When [`poll`](Self::poll) may next decide something by time alone.
    pub fn next_deadline(&self) -> Option<Moment> {
        let (deadline, _id) = self.deadlines.first()?;
        let check = self.checked_at + self.policy.recheck;
        Some(self.send_due_at.unwrap_or(check.min(*deadline)))
    }

    /// The current state of the queue.
    pub fn snapshot(&self, now: Moment) -> QueueSnapshot {
        QueueSnapshot {
            servers: self.servers.snapshot(now),
            waiting: self.waiting.len(),
            rejected: self.rejected.clone(),
        }
    }

    /// Records that waiting calls are due to be sent, because there may be capacity for them.
    fn mark_send_due(&mut self, now: Moment) {
        self.send_due_at.get_or_insert(now);
    }

    /// Arrivals per second of calls that can be on time, for a range of priorities.
    fn arrival_rate(&self, priorities: impl RangeBounds<(u32, u32)>, now: Moment) -> f64 {
        let memory = self.policy.arrival_memory;
        let arrivals = self.arrivals.range(priorities).map(|(_it, sum)| sum.read(memory, now));
        arrivals.sum::<f64>() / memory.as_secs_f64()
    }

    fn forecast(&mut self, now: Moment) -> WaitForecast {
        let load = RecentLoad {
            arrivals: self.arrival_rate(.., now),
            on_time: self.waiting.on_time_len(),
            excess: self.excess.read(self.policy.surge_memory, now),
            spare: self.spare.read(),
        };
        let (capacity, latency) = (self.servers.capacity(now), self.servers.latency());
        WaitForecast::new(Arc::clone(&self.policy), capacity, latency, load, now)
    }

    /// Records the load for later forecasts.
    fn record_load(&mut self, forecast: &WaitForecast, now: Moment) {
        self.excess.set(forecast.excess, now);
        self.spare.record(forecast.spare, self.policy.spare_memory, now);
    }

    /// Whether one more late call may be in flight beside the on-time calls that are about to
    /// arrive.
    #[expect(clippy::cast_precision_loss, reason = "calls in flight are counted in thousands")]
    fn has_late_slot(&mut self, now: Moment) -> bool {
        self.late_in_flight as f64 + MIN_LATE_SLOTS <= self.forecast(now).late_slots()
    }

    /// Rejects waiting calls that are predicted to miss their deadline; those that miss only their
    /// objective become late calls.
    fn recheck_waiting(&mut self, now: Moment, decisions: &mut Vec<(CallId, CallDecision)>) {
        let forecast = self.forecast(now);
        self.record_load(&forecast, now);
        let margin = forecast.margin_waiting();
        let higher_arrivals: BTreeMap<(u32, u32), f64> =
            self.arrivals.keys().map(|it| (*it, self.arrival_rate(..*it, now))).collect();
        let misses = self.waiting.predicted_misses(|rank, ahead| {
            if rank.is_late {
                return forecast.late_end(ahead);
            }
            let higher_arrivals =
                higher_arrivals.get(&rank.priorities()).copied().unwrap_or_default();
            forecast.on_time_end(ahead, higher_arrivals, margin)
        });
        for id in misses {
            self.demote_or_reject(id, &forecast, now, decisions);
        }
    }

    /// Makes a waiting call late, or rejects it.
    fn demote_or_reject(
        &mut self,
        id: CallId,
        forecast: &WaitForecast,
        now: Moment,
        decisions: &mut Vec<(CallId, CallDecision)>,
    ) {
        let Some(CallState::Waiting(call)) = self.calls.get_mut(&id) else { return };
        let priorities = (call.request.workspace_priority, call.request.priority);
        let rank = BucketRank::new(true, priorities, call.arrived);
        if call.position.rank.is_late
            || !forecast.has_spare()
            || forecast.late_end_at_submit(self.waiting.count_ahead(&rank)) > call.deadline
        {
            self.reject_waiting(id, now, decisions);
            return;
        }
        self.waiting.remove(&call.position);
        call.due = call.deadline;
        call.position = self.waiting.insert(rank, call.arrived, id, call.deadline);
    }

    /// Sends waiting calls, on-time or late, while there is capacity for them.
    fn send_waiting(
        &mut self,
        is_late: bool,
        now: Moment,
        decisions: &mut Vec<(CallId, CallDecision)>,
    ) {
        let (mut after, mut skipped) = (None, 0);
        while skipped < MAX_SKIPPED_CALLS
            && (!is_late || self.has_late_slot(now))
            && let Some((position, id)) = self.waiting.next_after(is_late, after.as_ref())
            && self.servers.has_capacity(now)
        {
            after = Some(position);
            let Some(CallState::Waiting(call)) = self.calls.remove(&id) else { continue };
            let time_limit = call.due.since(now);
            if let Some(backend) = self.send(id, &call.request, time_limit, is_late, now) {
                self.dequeue(id, &call);
                decisions.push((id, CallDecision::Send { backend }));
            } else {
                self.calls.insert(id, CallState::Waiting(call));
                skipped += 1;
            }
        }
    }

    fn send(
        &mut self,
        id: CallId,
        request: &CallRequest,
        time_limit: Duration,
        is_late: bool,
        now: Moment,
    ) -> Option<BackendInstance> {
        let (backend, call) = self.servers.send(request, time_limit, &mut self.random, now)?;
        self.late_in_flight += usize::from(is_late);
        self.calls.insert(id, CallState::InFlight { call, is_late });
        Some(backend)
    }

    fn reject_waiting(
        &mut self,
        id: CallId,
        now: Moment,
        decisions: &mut Vec<(CallId, CallDecision)>,
    ) {
        if let Some(CallState::Waiting(call)) = self.calls.remove(&id) {
            self.dequeue(id, &call);
            let has_server = self.servers.has_server_for(&call.request.excluded);
            let cause = if has_server { RejectCause::NoCapacity } else { RejectCause::NoServer };
            decisions.push((id, self.reject(cause, call.deadline.since(now), now)));
        }
    }

    /// Rejects waiting calls that may be sent to none of the servers. The servers change seldom.
    fn reject_unroutable(&mut self, now: Moment, decisions: &mut Vec<(CallId, CallDecision)>) {
        let unroutable = self.calls.iter().filter_map(|(id, call)| match call {
            CallState::Waiting(call) if !self.servers.has_server_for(&call.request.excluded) => {
                Some(*id)
            }
            _ => None,
        });
        let mut unroutable: Vec<CallId> = unroutable.collect();
        unroutable.sort_unstable();
        for id in unroutable {
            self.reject_waiting(id, now, decisions);
        }
    }

    fn reject(&mut self, cause: RejectCause, time_left: Duration, now: Moment) -> CallDecision {
        *self.rejected.entry(cause).or_default() += 1;
        let max_delay = time_left.mul_f64(self.policy.longest_retry_part);
        let (max_delay, wait, rate) = match cause {
            RejectCause::NoServer => (max_delay.min(self.policy.no_server_retry), max_delay, 0.0),
            RejectCause::NoCapacity => {
                let forecast = self.forecast(now);
                let run_time = Duration::from_secs_f64(self.servers.latency().mean);
                (max_delay, forecast.backlog() + run_time, forecast.retry_rate())
            }
        };
        let retry_after =
            self.retry_schedule.next_delay(wait, rate, max_delay, &mut self.random, now);
        CallDecision::Reject { cause, retry_after }
    }
}
