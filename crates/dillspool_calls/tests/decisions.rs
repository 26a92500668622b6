//! Properties of the queue that hold for any order of calls, outcomes, changes of servers and time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dillspool_calls::{
    CallDecision, CallId, CallOutcome, CallPolicy, CallQueue, CallRequest, CallServer,
};
use dillspool_cases::fixed_cases;
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};
use proptest::prelude::*;

/// A step of a schedule. Servers are numbered from 0 to 3.
#[derive(Clone, Copy, Debug)]
enum Step {
    Submit {
        priority: u32,
        objective_ms: u64,
        time_ms: u64,
        excluded: Option<u64>,
        is_idempotent: bool,
    },
    Adopt {
        server: u64,
        ran_ms: u64,
    },
    End {
        which: usize,
        outcome: CallOutcome,
        took_ms: u64,
    },
    Forget {
        which: usize,
    },
    /// Sets the servers with their starts and slots; servers with start 0 are absent.
    Servers {
        starts: [u64; 4],
        slots: [Option<u32>; 4],
    },
    Share {
        percent: u32,
    },
    Advance {
        us: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        6 => Just(CallOutcome::Answered), 1 => Just(CallOutcome::Failed), 1 => Just(CallOutcome::NotRun),
        1 => Just(CallOutcome::NotSent), 1 => Just(CallOutcome::Lost), 1 => Just(CallOutcome::Abandoned),
    ];
    let slots = || proptest::option::weighted(0.8, 1_u32..8);
    let ask = (0..3_u32, 0..300_u64, 0..1500_u64, proptest::option::of(0..4_u64), any::<bool>())
        .prop_map(|(priority, objective_ms, time_ms, excluded, is_idempotent)| Step::Submit {
            priority,
            objective_ms,
            time_ms,
            excluded,
            is_idempotent,
        });
    let step = prop_oneof![
        12 => ask,
        1 => (0..4_u64, 0..100_u64).prop_map(|(server, ran_ms)| Step::Adopt { server, ran_ms }),
        9 => (any::<usize>(), outcome, 0..200_u64)
            .prop_map(|(which, outcome, took_ms)| Step::End { which, outcome, took_ms }),
        1 => any::<usize>().prop_map(|which| Step::Forget { which }),
        1 => ([0..3_u64, 0..3, 0..3, 0..3], [slots(), slots(), slots(), slots()])
            .prop_map(|(starts, slots)| Step::Servers { starts, slots }),
        1 => (0..150_u32).prop_map(|percent| Step::Share { percent }),
        6 => (0..60_000_u64).prop_map(|us| Step::Advance { us }),
    ];
    proptest::collection::vec(step, 1..250)
}

fn backend(server: u64, start: u64) -> BackendInstance {
    let start = Some(BackendStart(start));
    BackendInstance { id: format!("server-{server}").into(), start }
}

/// What the test knows of a call.
struct KnownCall {
    deadline: Moment,
    excluded: Option<u64>,
    /// The server where it is in flight; `None` while it waits.
    at: Option<BackendInstance>,
}

struct ModelChecker {
    queue: CallQueue,
    now: Moment,
    calls: BTreeMap<u64, KnownCall>,
    /// Present servers, with the most calls that each may ever have.
    servers: HashMap<BackendInstance, u32>,
    last_id: u64,
}

impl ModelChecker {
    fn in_flight(&self, at: &BackendInstance) -> u32 {
        let count = self.calls.values().filter(|call| call.at.as_ref() == Some(at)).count();
        u32::try_from(count).unwrap()
    }

    fn record_decision(&mut self, id: u64, decision: CallDecision) {
        let call = self.calls.get_mut(&id).expect("decided after it was over");
        assert!(call.at.is_none(), "decided twice");
        match decision {
            CallDecision::Wait => {}
            CallDecision::Reject { retry_after, .. } => {
                assert!(retry_after <= call.deadline.since(self.now) / 3 + Duration::from_nanos(9));
                self.calls.remove(&id);
            }
            CallDecision::Send { backend } => {
                let excluded = call.excluded.map(|server| format!("server-{server}"));
                assert_ne!(Some(&*backend.id), excluded.as_deref(), "sent where it must not go");
                call.at = Some(backend.clone());
                let count = self.in_flight(&backend);
                let most = self.servers.get(&backend).expect("sent to a server that is absent");
                assert!(count <= *most, "{count} in flight of {most}");
                let snapshot = self.queue.snapshot(self.now);
                let limit = snapshot.servers.iter().find(|it| it.backend == backend).unwrap().limit;
                assert!(count <= limit, "{count} in flight, limit {limit}");
            }
        }
    }

    fn poll(&mut self) {
        for (id, decision) in self.queue.poll(self.now) {
            assert_ne!(decision, CallDecision::Wait);
            self.record_decision(id.0, decision);
        }
        let waiting = self.calls.values().filter(|call| call.at.is_none());
        assert_eq!(waiting.clone().count(), self.queue.snapshot(self.now).waiting);
        assert!(waiting.clone().all(|call| call.deadline > self.now), "held beyond its time");
        for server in self.queue.snapshot(self.now).servers {
            // Forgotten calls still count for a while.
            assert!(server.in_flight >= self.in_flight(&server.backend));
        }
    }

    /// Advances time, and polls whenever the queue is due.
    fn advance(&mut self, until: Moment) {
        while let Some(due) = self.queue.next_deadline().filter(|due| *due <= until) {
            self.now = due.max(self.now);
            self.poll();
            assert!(
                self.queue.next_deadline().is_none_or(|due| due > self.now),
                "due without an end"
            );
        }
        self.now = until;
    }

    fn request(step: (u32, u64, u64, Option<u64>, bool)) -> CallRequest {
        let (priority, objective_ms, time_ms, excluded, is_idempotent) = step;
        CallRequest {
            workspace_priority: priority / 2,
            priority: priority % 2,
            failure_domain: "here".into(),
            objective_left: Duration::from_millis(objective_ms),
            time_left: Duration::from_millis(time_ms),
            is_idempotent,
            excluded: excluded.map(|server| backend(server, 0).id).into_iter().collect(),
        }
    }

    fn add_call(
        &mut self,
        time_ms: u64,
        excluded: Option<u64>,
        at: Option<BackendInstance>,
    ) -> u64 {
        self.last_id += 1;
        let deadline = self.now + Duration::from_millis(time_ms);
        self.calls.insert(self.last_id, KnownCall { deadline, excluded, at });
        self.last_id
    }

    fn remove_call(&mut self, which: usize) -> Option<CallId> {
        let id = *self.calls.keys().nth(which.checked_rem(self.calls.len())?)?;
        self.calls.remove(&id);
        Some(CallId(id))
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Submit { priority, objective_ms, time_ms, excluded, is_idempotent } => {
                let id = self.add_call(time_ms, excluded, None);
                let terms = (priority, objective_ms, time_ms, excluded, is_idempotent);
                let decision = self.queue.submit(CallId(id), Self::request(terms), self.now);
                self.record_decision(id, decision);
            }
            Step::Adopt { server, ran_ms } => {
                let Some(at) = self.servers.keys().find(|it| it.id == backend(server, 0).id) else {
                    return;
                };
                let at = at.clone();
                let id = self.add_call(0, None, Some(at.clone()));
                let (request, ran) =
                    (Self::request((0, 0, 0, None, false)), Duration::from_millis(ran_ms));
                self.queue.adopt(CallId(id), request, at, ran, self.now);
            }
            Step::End { which, outcome, took_ms } => {
                if let Some(id) = self.remove_call(which) {
                    self.queue.complete(id, outcome, Duration::from_millis(took_ms), self.now);
                }
            }
            Step::Forget { which } => {
                if let Some(id) = self.remove_call(which) {
                    self.queue.forget(id, self.now);
                }
            }
            Step::Servers { starts, slots } => self.set_servers(starts, slots),
            Step::Share { percent } => self.queue.set_share(f64::from(percent) / 100.0),
            Step::Advance { us } => self.advance(self.now + Duration::from_micros(us)),
        }
        self.poll();
    }

    fn set_servers(&mut self, starts: [u64; 4], slots: [Option<u32>; 4]) {
        let present = (0..4).zip(starts).zip(slots).filter(|((_server, start), _slots)| *start > 0);
        let servers = present.map(|((server, start), slots)| CallServer {
            backend: backend(server, start),
            failure_domain: if server < 2 { "here".into() } else { "there".into() },
            slots,
            max_connections: 9,
        });
        let servers: Vec<CallServer> = servers.collect();
        let most = |slots: Option<u32>| slots.map_or(9, |it| (2 * it).clamp(2, 9));
        self.servers = servers.iter().map(|it| (it.backend.clone(), most(it.slots))).collect();
        // Calls at a former start are forgotten, also if that start is listed again.
        for at in self.calls.values_mut().filter_map(|call| call.at.as_mut()) {
            if servers.iter().any(|it| it.backend.id == at.id && it.backend.start != at.start) {
                at.start = None;
            }
        }
        self.queue.set_servers(servers.into_iter(), self.now);
    }
}

proptest! {
    #![proptest_config(fixed_cases(400))]

    /// Guards against a call that is decided twice or after its end, a limit that is exceeded, a
    /// call that is held until its caller has given up, and a queue that stays due forever.
    #[test]
    fn each_call_is_decided_once_and_in_time(steps in steps()) {
        let queue = CallQueue::new(CallPolicy::default(), 7);
        let now = Moment::after_origin(Duration::from_secs(5));
        let (calls, servers) = (BTreeMap::new(), HashMap::new());
        let mut checker = ModelChecker { queue, now, calls, servers, last_id: 0 };
        checker.set_servers([1; 4], [Some(2), Some(6), None, Some(1)]);
        for step in steps {
            checker.step(step);
        }
        let end = checker.now + Duration::from_secs(10);
        checker.advance(end);
        checker.poll();
        for server in checker.queue.snapshot(end).servers {
            prop_assert_eq!(server.in_flight, checker.in_flight(&server.backend));
        }
        prop_assert!(checker.calls.values().all(|call| call.at.is_some()), "never decided");
    }
}
