//! Tests of single rules of the queue.

use std::time::Duration;

use dillspool_calls::{
    CallDecision, CallId, CallOutcome, CallPolicy, CallQueue, CallRequest, CallServer, RejectCause,
};
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};

/// A queue and a clock.
struct Fixture {
    queue: CallQueue,
    now: Moment,
    ids: u64,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn server(name: &str, slots: Option<u32>) -> CallServer {
    let backend = BackendInstance { id: name.into(), start: Some(BackendStart(1)) };
    CallServer { backend, failure_domain: "here".into(), slots, max_connections: 100 }
}

fn request(priority: u32, objective_ms: u64) -> CallRequest {
    CallRequest {
        workspace_priority: 0,
        priority,
        failure_domain: "here".into(),
        objective_left: ms(objective_ms),
        time_left: ms(1500),
        is_idempotent: true,
        excluded: Vec::new(),
    }
}

impl Fixture {
    fn new(servers: &[CallServer]) -> Self {
        let mut queue = CallQueue::new(CallPolicy::default(), 3);
        let now = Moment::after_origin(Duration::from_secs(9));
        queue.set_servers(servers.iter().cloned(), now);
        Self { queue, now, ids: 0 }
    }

    fn submit(&mut self, request: CallRequest) -> (CallId, CallDecision) {
        self.ids += 1;
        (CallId(self.ids), self.queue.submit(CallId(self.ids), request, self.now))
    }

    /// Submits calls until none is sent; returns the ids and servers of those that were.
    fn fill(&mut self) -> Vec<(CallId, String)> {
        let mut sent = Vec::new();
        while let (id, CallDecision::Send { backend }) = self.submit(request(0, 150)) {
            sent.push((id, backend.id.to_string()));
        }
        self.queue.forget(CallId(self.ids), self.now);
        sent
    }

    fn complete(&mut self, id: CallId, outcome: CallOutcome, took: u64) {
        self.now = self.now + ms(took);
        self.queue.complete(id, outcome, ms(took), self.now);
    }

    /// Number of calls that a server gets until no server gets more.
    fn available_calls(&mut self, name: &str) -> usize {
        let sent = self.fill();
        for (id, _server) in &sent {
            self.queue.complete(*id, CallOutcome::Abandoned, ms(0), self.now);
        }
        sent.iter().filter(|(_id, server)| server == name).count()
    }
}

struct FaultCase {
    name: &'static str,
    outcomes: &'static [CallOutcome],
    /// Calls that the server gets at once, after 0.6 s when its limit may not have recovered yet,
    /// and then once a call was answered.
    calls: [usize; 3],
}

/// Guards against servers that attract calls because they fail them at once, and servers that get
/// none because one call failed.
#[test]
fn circuits_of_failing_servers_open_and_are_probed() {
    use CallOutcome::{Answered, Failed, Lost, NotRun, NotSent};
    let cases = [
        FaultCase { name: "one lost", outcomes: &[Lost], calls: [9, 9, 9] },
        FaultCase { name: "two lost", outcomes: &[Lost, Lost], calls: [0, 1, 9] },
        FaultCase { name: "lost, answered", outcomes: &[Lost, Answered, Lost], calls: [9, 9, 9] },
        FaultCase { name: "not sent", outcomes: &[NotSent], calls: [0, 1, 9] },
        FaultCase { name: "rejected", outcomes: &[NotRun], calls: [7, 9, 9] },
        FaultCase { name: "rejected thrice", outcomes: &[NotRun; 3], calls: [0, 1, 9] },
        FaultCase { name: "one failed", outcomes: &[Failed], calls: [9, 9, 9] },
        FaultCase { name: "all failed", outcomes: &[Failed; 9], calls: [0, 1, 9] },
    ];
    for FaultCase { name, outcomes, calls } in cases {
        let mut fixture = Fixture::new(&[server("good", Some(6)), server("bad", Some(6))]);
        for outcome in outcomes {
            let sent = fixture.fill();
            let mut is_first = true;
            for (id, server) in sent {
                let is_faulty_call = server == "bad" && std::mem::take(&mut is_first);
                let took = if *outcome == Answered { 30 } else { 2 };
                let (outcome, took) =
                    if is_faulty_call { (*outcome, took) } else { (CallOutcome::Abandoned, 0) };
                fixture.complete(id, outcome, took);
            }
        }
        let at_once = fixture.available_calls("bad");
        fixture.now = fixture.now + ms(600);
        let later = fixture.available_calls("bad");
        let sent = fixture.fill();
        let (id, _server) = sent.iter().find(|(_id, server)| server == "bad").expect(name).clone();
        fixture.complete(id, CallOutcome::Answered, 30);
        for (id, _server) in &sent {
            fixture.complete(*id, CallOutcome::Abandoned, 0);
        }
        assert_eq!([at_once, later, fixture.available_calls("bad")], calls, "{name}");
    }
}

/// Guards against a service that gets no calls because the circuits of all of its servers are open.
#[test]
fn all_servers_are_probed_if_all_circuits_are_open() {
    let mut fixture = Fixture::new(&[server("one", Some(6)), server("two", Some(6))]);
    for (id, _server) in fixture.fill() {
        fixture.complete(id, CallOutcome::NotSent, 0);
    }
    assert_eq!([fixture.available_calls("one"), fixture.available_calls("two")], [1, 1]);
}

/// Guards against late calls that are sent before on-time calls, and against a wrong order of
/// objectives and priorities.
#[test]
fn waiting_calls_are_served_in_order() {
    let mut fixture = Fixture::new(&[server("one", Some(6)), server("two", Some(6))]);
    let sent = fixture.fill();
    let terms = [(1, 140), (0, 150), (1, 120), (0, 130), (0, 0)];
    let ids = terms.map(|(priority, objective)| {
        let (id, decision) = fixture.submit(request(priority, objective));
        assert_eq!(decision, CallDecision::Wait);
        id
    });
    let mut decided = Vec::new();
    for (id, _server) in &sent[..4] {
        fixture.complete(*id, CallOutcome::Abandoned, 0);
        decided.extend(fixture.queue.poll(fixture.now).into_iter().map(|(id, _decision)| id));
    }
    assert_eq!(decided, [ids[3], ids[1], ids[2], ids[0]]);
}

/// Guards against late calls that take the slots of on-time calls that are about to arrive.
#[test]
fn late_calls_use_the_capacity_that_on_time_calls_leave() {
    // On-time calls per second, of 400 that two servers can run, and late calls that are answered
    // per second.
    for (per_s, late) in [(0, 350..=400), (200, 170..=230), (333, 40..=90)] {
        let mut fixture = Fixture::new(&[server("one", Some(6)), server("two", Some(6))]);
        let mut in_flight = std::collections::VecDeque::<(CallId, u64)>::new();
        let mut on_time_ids = std::collections::HashSet::new();
        let (mut on_time, mut answered, mut credit) = (0, 0, 0);
        for step in 0..4000_u64 {
            fixture.now = fixture.now + ms(1);
            let mut decided = Vec::new();
            // Two servers of 6 slots end 2 calls in 5 ms at most.
            credit = (credit + 2).min(10);
            while credit >= 5
                && let Some((id, sent)) = in_flight.pop_front_if(|it| step >= it.1 + 30)
            {
                credit -= 5;
                fixture.queue.complete(id, CallOutcome::Answered, ms(step - sent), fixture.now);
                answered += u64::from(!on_time_ids.contains(&id));
            }
            if step * per_s / 1000 > on_time {
                on_time += 1;
                let (id, decision) = fixture.submit(request(0, 100));
                let is_sent = matches!(decision, CallDecision::Send { .. });
                // The arrival rate is known after some hundred milliseconds.
                assert!(is_sent || step < 1000, "{per_s} a second, step {step}: {decision:?}");
                on_time_ids.insert(id);
                decided.push((id, decision));
            }
            let (id, decision) = fixture.submit(request(0, 0));
            decided.push((id, decision));
            decided.extend(fixture.queue.poll(fixture.now));
            let sent = decided.into_iter().filter(|it| matches!(it.1, CallDecision::Send { .. }));
            in_flight.extend(sent.map(|(id, _decision)| (id, step)));
        }
        println!("{per_s} a second: {} late", answered / 4);
        assert!(late.contains(&(answered / 4)), "{per_s} a second: {} late", answered / 4);
    }
}

/// Guards against rejections that come late, retry delays that bring all callers back at once, and
/// wrong causes.
#[test]
fn rejections_are_immediate_and_retry_delays_are_spread() {
    let mut fixture = Fixture::new(&[server("one", Some(6))]);
    fixture.fill();
    let mut after = Vec::new();
    for _call in 0..200 {
        if let (_id, CallDecision::Reject { cause, retry_after }) = fixture.submit(request(0, 150))
        {
            assert_eq!(cause, RejectCause::NoCapacity);
            assert!(retry_after <= ms(500), "{retry_after:?}");
            after.push(retry_after);
        }
    }
    after.sort();
    after.dedup();
    assert!(after.len() > 100, "{} different times", after.len());
    let excluded = CallRequest { excluded: vec!["one".into()], ..request(0, 150) };
    let (_id, decision) = fixture.submit(excluded);
    assert!(matches!(decision, CallDecision::Reject { cause: RejectCause::NoServer, .. }));
}

/// Guards against calls that wait for servers that have left, and wrong causes.
#[test]
fn calls_whose_servers_leave_are_rejected_at_once() {
    let mut fixture = Fixture::new(&[server("one", Some(6)), server("two", Some(6))]);
    fixture.fill();
    let (other, _decision) = fixture.submit(request(0, 150));
    let (lost, decision) =
        fixture.submit(CallRequest { excluded: vec!["two".into()], ..request(0, 150) });
    assert_eq!(decision, CallDecision::Wait);
    for (left, ids) in [(vec![server("two", Some(6))], vec![lost]), (Vec::new(), vec![other])] {
        fixture.queue.set_servers(left.into_iter(), fixture.now);
        assert_eq!(fixture.queue.next_deadline(), Some(fixture.now));
        let rejected = fixture.queue.poll(fixture.now).into_iter().map(|(id, decision)| {
            let cause = RejectCause::NoServer;
            assert!(matches!(decision, CallDecision::Reject { cause: it, .. } if it == cause));
            id
        });
        assert_eq!(rejected.collect::<Vec<_>>(), ids);
    }
}

/// Guards against a learned limit that stays too high while calls queue in the server, or too low
/// while none do.
#[test]
fn limits_are_learned_where_no_slots_are_reported() {
    for (slots, limits) in [(4, 3..=8), (30, 20..=48)] {
        let mut fixture = Fixture::new(&[server("one", None)]);
        for _round in 0..200 {
            let sent = fixture.fill();
            // Calls beyond the server's slots wait in it.
            let took = 30 * u64::try_from(sent.len().div_ceil(slots)).unwrap();
            fixture.now = fixture.now + ms(took);
            for (id, _server) in &sent {
                fixture.queue.complete(*id, CallOutcome::Answered, ms(took), fixture.now);
            }
        }
        let limit = fixture.queue.snapshot(fixture.now).servers[0].limit;
        assert!(limits.contains(&limit), "{slots} slots: {limit}");
    }
}
