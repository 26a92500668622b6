//! The approaches that are compared.

use dillspool_calls::{CallPolicy, CallQueue, CallServer};
use dillspool_moment::Moment;
use dillspool_routing::BackendInstance;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::server::{ModelServer, server_name};
use super::{CallRecord, LoadCase, REPORT_BYTES, SendEnd, TO_HOST_US, ms};

/// Who decides on calls, and from which information.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Approach {
    /// Each host decides from its own calls, without a limit, as `dillspool_forward::plain` does.
    Present,
    /// One host decides for all, with the queue of this crate.
    OneQueue,
    /// Each host decides with a queue of its own and an equal part of the limits.
    PerHost,
    /// Each host picks the less loaded of two random servers, from reports of all loads.
    TwoChoices,
}

/// What a host knows of a server from its own calls, as in `dillspool_forward::backend_tracker`.
#[derive(Clone, Debug)]
struct HostLoad {
    outstanding: u32,
    latency_ms: f64,
    failures: f64,
    failures_in_row: u32,
    ejected_until: u64,
    /// Load in the last report, plus the calls that the host has sent since.
    reported: usize,
}

/// The deciders of one simulation.
pub(super) struct Deciders {
    approach: Approach,
    random: SmallRng,
    pub(super) queues: Vec<CallQueue>,
    /// When each queue is next polled.
    polls: Vec<u64>,
    /// By host and server.
    loads: Vec<Vec<HostLoad>>,
    present: Vec<bool>,
}

const NEWEST_CALL_WEIGHT: f64 = 0.15;

impl Deciders {
    #[expect(clippy::cast_precision_loss, reason = "hosts are counted in hundreds")]
    pub(super) fn new(approach: Approach, case: &LoadCase, seed: u64) -> Self {
        let queues = match approach {
            Approach::Present | Approach::TwoChoices => 0,
            Approach::OneQueue => 1,
            Approach::PerHost => case.hosts,
        };
        let queue = |number| {
            let mut queue = CallQueue::new(CallPolicy::default(), seed + number);
            queue.set_share(1.0 / queues as f64);
            queue
        };
        let load = HostLoad {
            outstanding: 0,
            latency_ms: 60.0,
            failures: 0.0,
            failures_in_row: 0,
            ejected_until: 0,
            reported: 0,
        };
        Self {
            approach,
            random: SmallRng::seed_from_u64(seed),
            queues: (0..queues as u64).map(queue).collect(),
            polls: vec![u64::MAX; queues],
            loads: vec![vec![load; case.servers.len()]; case.hosts],
            present: Vec::new(),
        }
    }

    /// Latency of a message to the queue; `None` without queues.
    pub(super) fn delay_us(&self) -> Option<u64> {
        match self.approach {
            Approach::Present | Approach::TwoChoices => None,
            Approach::OneQueue => Some(TO_HOST_US),
            Approach::PerHost => Some(0),
        }
    }

    /// The queue of a host.
    pub(super) fn queue_of(&self, host: usize) -> usize {
        host % self.queues.len()
    }

    /// Whether a poll is due before the next scheduled one.
    pub(super) fn is_earlier(&mut self, decider: usize, due: u64, now: u64) -> bool {
        let scheduled = &mut self.polls[decider];
        let is_earlier = *scheduled <= now || due < *scheduled;
        if is_earlier {
            *scheduled = due;
        }
        is_earlier
    }

    pub(super) fn set_present(&mut self, servers: &[ModelServer], present: Vec<bool>, now: Moment) {
        let numbered = servers.iter().enumerate().filter(|(number, _server)| present[*number]);
        let server = |(number, server): (usize, &ModelServer)| CallServer {
            backend: BackendInstance { id: server_name(number), start: None },
            failure_domain: "domain".into(),
            slots: Some(server.slots),
            max_connections: 410,
        };
        let members: Vec<CallServer> = numbered.map(server).collect();
        for queue in &mut self.queues {
            queue.set_servers(members.iter().cloned(), now);
        }
        self.present = present;
    }

    /// Reports the servers' loads to all hosts; returns the number of messages and bytes.
    pub(super) fn report(&mut self, reported: &[usize]) -> (u64, u64) {
        if self.approach != Approach::TwoChoices {
            return (0, 0);
        }
        for loads in &mut self.loads {
            for (load, reported) in loads.iter_mut().zip(reported) {
                load.reported = *reported;
            }
        }
        let messages = u64::try_from(reported.len() * self.loads.len()).unwrap();
        (messages, messages * REPORT_BYTES)
    }

    /// Retry delay of a caller that a host rejects by itself, as in `dillspool_forward::plain`.
    pub(super) fn retry_delay_us(&mut self, objective_ms: u64) -> u64 {
        objective_ms * self.random.random_range(300..900)
    }

    /// A host's own choice among the servers that were not tried yet.
    pub(super) fn choose(&mut self, call: &CallRecord, now: u64) -> Option<usize> {
        let is_candidate = |server: &usize| self.present[*server] && !call.tried.contains(server);
        let mut candidates: Vec<usize> = (0..self.present.len()).filter(is_candidate).collect();
        let loads = &self.loads[call.host];
        if self.approach == Approach::TwoChoices {
            while candidates.len() > 2 {
                candidates.swap_remove(self.random.random_range(0..candidates.len()));
            }
            return candidates.into_iter().min_by_key(|server| loads[*server].reported);
        }
        let mut cost = |server: usize| {
            let load = &loads[server];
            let queue = f64::from(load.outstanding + 1) * load.latency_ms;
            let spread = 1.0 + self.random.random_range(0.0..0.1);
            (load.ejected_until > now, queue * (1.0 + 6.0 * load.failures) * spread)
        };
        let costs: Vec<_> = candidates.into_iter().map(|server| (cost(server), server)).collect();
        let least = costs
            .into_iter()
            .min_by(|one, other| one.0.0.cmp(&other.0.0).then(one.0.1.total_cmp(&other.0.1)));
        least.map(|(_cost, server)| server)
    }

    pub(super) fn record_send(&mut self, host: usize, server: usize) {
        let load = &mut self.loads[host][server];
        load.outstanding += 1;
        load.reported += 1;
    }

    pub(super) fn record_end(
        &mut self,
        host: usize,
        server: usize,
        end: SendEnd,
        took: u64,
        now: u64,
    ) {
        let load = &mut self.loads[host][server];
        load.outstanding -= 1;
        if end == SendEnd::Answered {
            load.latency_ms += NEWEST_CALL_WEIGHT * (ms(took) - load.latency_ms);
            load.failures -= NEWEST_CALL_WEIGHT * load.failures;
            (load.failures_in_row, load.ejected_until) = (0, 0);
            return;
        }
        load.failures += NEWEST_CALL_WEIGHT * (1.0 - load.failures);
        let before = match end {
            SendEnd::NotSent => 1,
            SendEnd::Lost => 2,
            _ => return,
        };
        load.failures_in_row += 1;
        if let Some(doublings) = load.failures_in_row.checked_sub(before) {
            load.ejected_until = now + (500_000 << doublings.min(3));
        }
    }
}
