//! Rules of the queue, one by one.

use std::time::Duration;

use dillspool_calls::{
    CallDecision, CallId, CallOutcome, CallPolicy, CallQueue, CallRequest, CallServer, RejectCause,
};
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};

/// A queue and a clock.
struct Bench {
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

impl Bench {
    fn new(servers: &[CallServer]) -> Self {
        let mut queue = CallQueue::new(CallPolicy::default(), 3);
        let now = Moment::after_origin(Duration::from_secs(9));
        queue.set_servers(servers.iter().cloned(), now);
        Self { queue, now, ids: 0 }
    }

    fn ask(&mut self, request: CallRequest) -> (CallId, CallDecision) {
        self.ids += 1;
        (CallId(self.ids), self.queue.submit(CallId(self.ids), request, self.now))
    }

    /// Sends calls until none is sent; their ids and servers.
    fn fill(&mut self) -> Vec<(CallId, String)> {
        let mut sent = Vec::new();
        while let (id, CallDecision::Send { backend }) = self.ask(request(0, 150)) {
            sent.push((id, backend.id.to_string()));
        }
        self.queue.forget(CallId(self.ids), self.now);
        sent
    }

    fn end(&mut self, id: CallId, end: CallOutcome, took: u64) {
        self.now = self.now + ms(took);
        self.queue.complete(id, end, ms(took), self.now);
    }

    /// Calls that a server gets until no server gets more.
    fn places(&mut self, name: &str) -> usize {
        let sent = self.fill();
        for (id, _server) in &sent {
            self.queue.complete(*id, CallOutcome::Abandoned, ms(0), self.now);
        }
        sent.iter().filter(|(_id, server)| server == name).count()
    }
}

struct FaultCase {
    name: &'static str,
    ends: &'static [CallOutcome],
    /// Places at once, after 0.6 s when its limit may not have recovered yet, and then once a call was answered.
    places: [usize; 3],
}

/// Guards against servers that draw calls because they fail them at once, and servers that get none for one
/// call that failed.
#[test]
fn failing_servers_rest_and_are_tried_again() {
    use CallOutcome::{Answered, Failed, Lost, NotRun, NotSent};
    let cases = [
        FaultCase { name: "one lost", ends: &[Lost], places: [9, 9, 9] },
        FaultCase { name: "two lost", ends: &[Lost, Lost], places: [0, 1, 9] },
        FaultCase { name: "lost, answered", ends: &[Lost, Answered, Lost], places: [9, 9, 9] },
        FaultCase { name: "not sent", ends: &[NotSent], places: [0, 1, 9] },
        FaultCase { name: "rejected", ends: &[NotRun], places: [7, 9, 9] },
        FaultCase { name: "rejected thrice", ends: &[NotRun; 3], places: [0, 1, 9] },
        FaultCase { name: "one failed", ends: &[Failed], places: [9, 9, 9] },
        FaultCase { name: "all failed", ends: &[Failed; 9], places: [0, 1, 9] },
    ];
    for FaultCase { name, ends, places } in cases {
        let mut bench = Bench::new(&[server("good", Some(6)), server("bad", Some(6))]);
        for end in ends {
            let sent = bench.fill();
            let mut is_first = true;
            for (id, server) in sent {
                let is_it = server == "bad" && std::mem::take(&mut is_first);
                let took = if *end == Answered { 30 } else { 2 };
                let (end, took) = if is_it { (*end, took) } else { (CallOutcome::Abandoned, 0) };
                bench.end(id, end, took);
            }
        }
        let at_once = bench.places("bad");
        bench.now = bench.now + ms(600);
        let later = bench.places("bad");
        let sent = bench.fill();
        let (id, _server) = sent.iter().find(|(_id, server)| server == "bad").expect(name).clone();
        bench.end(id, CallOutcome::Answered, 30);
        for (id, _server) in &sent {
            bench.end(*id, CallOutcome::Abandoned, 0);
        }
        assert_eq!([at_once, later, bench.places("bad")], places, "{name}");
    }
}

/// Guards against a service that gets no calls because all of its servers rest.
#[test]
fn if_all_rest_all_are_tried() {
    let mut bench = Bench::new(&[server("one", Some(6)), server("two", Some(6))]);
    for (id, _server) in bench.fill() {
        bench.end(id, CallOutcome::NotSent, 0);
    }
    assert_eq!([bench.places("one"), bench.places("two")], [1, 1]);
}

/// Guards against late calls before calls on time, and against objectives and priorities out of order.
#[test]
fn waiting_calls_are_served_in_order() {
    let mut bench = Bench::new(&[server("one", Some(6)), server("two", Some(6))]);
    let sent = bench.fill();
    let terms = [(1, 140), (0, 150), (1, 120), (0, 130), (0, 0)];
    let ids = terms.map(|(priority, objective)| {
        let (id, decision) = bench.ask(request(priority, objective));
        assert_eq!(decision, CallDecision::Wait);
        id
    });
    let mut decided = Vec::new();
    for (id, _server) in &sent[..4] {
        bench.end(*id, CallOutcome::Abandoned, 0);
        decided.extend(bench.queue.poll(bench.now).into_iter().map(|(id, _decision)| id));
    }
    assert_eq!(decided, [ids[3], ids[1], ids[2], ids[0]]);
}

/// Guards against late calls that take the slots of calls on time that are about to arrive.
#[test]
fn late_calls_get_what_calls_on_time_leave() {
    // Calls on time a second, of 400 that two servers run, and late calls that are answered a second.
    for (per_s, late) in [(0, 350..=400), (200, 170..=230), (333, 40..=90)] {
        let mut bench = Bench::new(&[server("one", Some(6)), server("two", Some(6))]);
        let mut in_flight = std::collections::VecDeque::<(CallId, u64)>::new();
        let mut on_time_ids = std::collections::HashSet::new();
        let (mut on_time, mut answered, mut credit) = (0, 0, 0);
        for step in 0..4000_u64 {
            bench.now = bench.now + ms(1);
            let mut decided = Vec::new();
            // Two servers of 6 slots end 2 calls in 5 ms at most.
            credit = (credit + 2).min(10);
            while credit >= 5
                && let Some((id, sent)) = in_flight.pop_front_if(|it| step >= it.1 + 30)
            {
                credit -= 5;
                bench.queue.complete(id, CallOutcome::Answered, ms(step - sent), bench.now);
                answered += u64::from(!on_time_ids.contains(&id));
            }
            if step * per_s / 1000 > on_time {
                on_time += 1;
                let (id, decision) = bench.ask(request(0, 100));
                let is_sent = matches!(decision, CallDecision::Send { .. });
                // The rate of arrivals is known after some hundred milliseconds.
                assert!(is_sent || step < 1000, "{per_s} a second, step {step}: {decision:?}");
                on_time_ids.insert(id);
                decided.push((id, decision));
            }
            let (id, decision) = bench.ask(request(0, 0));
            decided.push((id, decision));
            decided.extend(bench.queue.poll(bench.now));
            let sent = decided.into_iter().filter(|it| matches!(it.1, CallDecision::Send { .. }));
            in_flight.extend(sent.map(|(id, _decision)| (id, step)));
        }
        println!("{per_s} a second: {} late", answered / 4);
        assert!(late.contains(&(answered / 4)), "{per_s} a second: {} late", answered / 4);
    }
}

/// Guards against rejections that come late or send all callers back at once, and wrong causes.
#[test]
fn rejections_come_at_once_and_are_spread() {
    let mut bench = Bench::new(&[server("one", Some(6))]);
    bench.fill();
    let mut after = Vec::new();
    for _call in 0..200 {
        if let (_id, CallDecision::Reject { cause, retry_after }) = bench.ask(request(0, 150)) {
            assert_eq!(cause, RejectCause::NoCapacity);
            assert!(retry_after <= ms(500), "{retry_after:?}");
            after.push(retry_after);
        }
    }
    after.sort();
    after.dedup();
    assert!(after.len() > 100, "{} different times", after.len());
    let excluded = CallRequest { excluded: vec!["one".into()], ..request(0, 150) };
    let (_id, decision) = bench.ask(excluded);
    assert!(matches!(decision, CallDecision::Reject { cause: RejectCause::NoServer, .. }));
}

/// Guards against calls that wait for servers that have left, and a wrong cause.
#[test]
fn calls_whose_servers_leave_are_rejected_at_once() {
    let mut bench = Bench::new(&[server("one", Some(6)), server("two", Some(6))]);
    bench.fill();
    let (other, _decision) = bench.ask(request(0, 150));
    let (lost, decision) =
        bench.ask(CallRequest { excluded: vec!["two".into()], ..request(0, 150) });
    assert_eq!(decision, CallDecision::Wait);
    for (left, ids) in [(vec![server("two", Some(6))], vec![lost]), (Vec::new(), vec![other])] {
        bench.queue.set_servers(left.into_iter(), bench.now);
        assert_eq!(bench.queue.next_deadline(), Some(bench.now));
        let rejected = bench.queue.poll(bench.now).into_iter().map(|(id, decision)| {
            let cause = RejectCause::NoServer;
            assert!(matches!(decision, CallDecision::Reject { cause: it, .. } if it == cause));
            id
        });
        assert_eq!(rejected.collect::<Vec<_>>(), ids);
    }
}

/// Guards against a learned limit that stays too high where calls queue in the server, or too low where none do.
#[test]
fn limits_are_learned_where_no_slots_are_reported() {
    for (slots, limits) in [(4, 3..=8), (30, 20..=48)] {
        let mut bench = Bench::new(&[server("one", None)]);
        for _round in 0..200 {
            let sent = bench.fill();
            // What is beyond the server's slots waits in it.
            let took = 30 * u64::try_from(sent.len().div_ceil(slots)).unwrap();
            bench.now = bench.now + ms(took);
            for (id, _server) in &sent {
                bench.queue.complete(*id, CallOutcome::Answered, ms(took), bench.now);
            }
        }
        let limit = bench.queue.snapshot(bench.now).servers[0].limit;
        assert!(limits.contains(&limit), "{slots} slots: {limit}");
    }
}
