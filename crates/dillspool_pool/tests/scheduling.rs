//! Table tests of a pool's scheduler: what is granted, what is refused, and to whom.

use std::sync::Arc;
use std::time::Duration;

use dillspool_config::{ConfigSnapshot, ConfigVersion, parse_configuration};
use dillspool_pool::{PoolState, ReserveOutcome};
use dillspool_schema::StreamId;
use dillspool_schema::messages::{
    RefuseCause, ReleaseCause, ReleaseMessage, ReserveAnswer, ReserveMessage,
};
use tokio::time::Instant;

/// Two prefill engines of 20,000 tokens/s, two decode engines of four slots.
const CONFIGURATION: &str = r#"
[policy]
goodput_weight = 70
[[group]]
name = "urgent"
share = 10
priority = 0
first_token_ms = 400
per_token_ms = 35
[[group]]
name = "heavy"
share = 30
priority = 1
first_token_ms = 2000
per_token_ms = 35
[[group]]
name = "light"
share = 10
priority = 1
first_token_ms = 2000
per_token_ms = 35
[[pool]]
name = "main"
model = "m"
kv_bytes_per_token = 160000
kv_lifetime_ms = 800
[[backend]]
name = "p1"
role = "prefill"
pool = "main"
address = "10.0.0.1:1"
failure_domain = "a"
[[backend]]
name = "p2"
role = "prefill"
pool = "main"
address = "10.0.0.1:2"
failure_domain = "b"
[[backend]]
name = "d1"
role = "decode"
pool = "main"
address = "10.0.0.1:3"
failure_domain = "a"
slots = 4
[[backend]]
name = "d2"
role = "decode"
pool = "main"
address = "10.0.0.1:4"
failure_domain = "b"
slots = 4
"#;

struct TestPool {
    state: PoolState,
    now: Instant,
    next: u64,
}

impl TestPool {
    fn new() -> Self {
        let configuration = parse_configuration("test", CONFIGURATION).expect("it is valid");
        let snapshot = Arc::new(ConfigSnapshot::new(ConfigVersion(1), configuration));
        let now = Instant::now();
        let pool = snapshot.pool("main").expect("it is declared");
        Self { state: PoolState::new(pool, &snapshot, now), now, next: 0 }
    }

    fn message(&mut self, group: &str, prompt: u64, wait_ms: u32) -> ReserveMessage {
        self.next += 1;
        ReserveMessage {
            stream: StreamId { host: "h".into(), incarnation: 1, sequence: self.next },
            pool: "main".into(),
            group: group.into(),
            prompt,
            output: 100,
            wait_ms,
            prefix: 0,
            prefilled: None,
            avoid: Vec::new(),
            print: None,
        }
    }

    fn submit(&mut self, group: &str, prompt: u64, wait_ms: u32) -> (StreamId, Vec<ReserveAnswer>) {
        let message = self.message(group, prompt, wait_ms);
        let stream = message.stream.clone();
        let submitted = self.state.submit(message, self.now);
        assert_eq!(submitted, ReserveOutcome::Queued);
        (stream, self.state.dispatch(self.now))
    }

    fn release(&mut self, stream: &StreamId) -> Vec<ReserveAnswer> {
        let message = ReleaseMessage {
            stream: stream.clone(),
            pool: "main".into(),
            cause: ReleaseCause::Done,
            tokens: 100,
            cached: 0,
            print: None,
            ended: None,
        };
        self.state.release(&message, self.now);
        self.state.dispatch(self.now)
    }

    /// Fills all eight slots with short prompts.
    fn fill(&mut self) -> Vec<StreamId> {
        let mut streams = Vec::new();
        while streams.len() < 8 {
            let (stream, answers) = self.submit("heavy", 20, 2000);
            assert!(answers.iter().all(|it| it.grant.is_some()), "{answers:?}");
            streams.push(stream);
            self.now += Duration::from_millis(50);
        }
        streams
    }
}

fn is_refused(answers: &[ReserveAnswer], stream: &StreamId, cause: RefuseCause) -> bool {
    let refused = |it: &ReserveAnswer| it.refusal.as_ref().is_some_and(|it| it.cause == cause);
    answers.iter().any(|it| it.stream == *stream && refused(it))
}

/// A single request to an idle pool.
struct IdleRow {
    name: &'static str,
    prompt: u64,
    wait_ms: u32,
    granted: bool,
}

const IDLE: [IdleRow; 4] = [
    IdleRow { name: "short", prompt: 100, wait_ms: 400, granted: true },
    IdleRow {
        name: "350 ms of prefill, within the target",
        prompt: 6_000,
        wait_ms: 420,
        granted: true,
    },
    IdleRow { name: "prefill alone is too long", prompt: 10_000, wait_ms: 400, granted: false },
    IdleRow { name: "no time left", prompt: 10, wait_ms: 0, granted: false },
];

#[test]
fn an_idle_pool_answers_immediately() {
    for row in &IDLE {
        let mut pool = TestPool::new();
        let (stream, answers) = pool.submit("urgent", row.prompt, row.wait_ms);
        assert_eq!(answers.len(), 1, "{}", row.name);
        assert_eq!(answers[0].grant.is_some(), row.granted, "{}: {answers:?}", row.name);
        if !row.granted {
            assert!(is_refused(&answers, &stream, RefuseCause::TooLate), "{}", row.name);
        }
    }
}

#[test]
fn a_slot_is_granted_once() {
    let mut pool = TestPool::new();
    let streams = pool.fill();
    let (ninth, answers) = pool.submit("heavy", 20, 2000);
    assert!(answers.is_empty(), "no slot is free: {answers:?}");
    let answers = pool.release(&streams[3]);
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].stream, ninth);
    assert!(answers[0].grant.is_some());
}

#[test]
fn a_request_that_cannot_meet_its_target_is_refused_with_a_retry_delay() {
    let mut pool = TestPool::new();
    pool.fill();
    // A slot becomes free about every half second; the target is 100 ms.
    let (stream, answers) = pool.submit("urgent", 20, 100);
    assert!(is_refused(&answers, &stream, RefuseCause::TooLate), "{answers:?}");
    let refusal = answers[0].refusal.as_ref().expect("it is refused");
    assert!((100..10_000).contains(&refusal.retry_ms), "{refusal:?}");
}

#[test]
fn the_urgent_class_goes_first() {
    let mut pool = TestPool::new();
    let streams = pool.fill();
    pool.submit("light", 20, 2000);
    let (urgent, _) = pool.submit("urgent", 20, 2000);
    let answers = pool.release(&streams[0]);
    let granted: Vec<&StreamId> =
        answers.iter().filter(|it| it.grant.is_some()).map(|it| &it.stream).collect();
    assert_eq!(granted, [&urgent]);
}

#[test]
fn service_follows_the_shares_under_unequal_load() {
    let mut pool = TestPool::new();
    let mut streams = pool.fill();
    let mut served = (0_u32, 0_u32);
    let mut waiting = std::collections::BTreeMap::new();
    for round in 0..400 {
        // The light group sends five requests for each one of the heavy group.
        for number in 0..6 {
            let group = if number == 0 { "heavy" } else { "light" };
            if waiting.values().filter(|it| **it == group).count() < 6 {
                let (stream, _) = pool.submit(group, 20, 600_000);
                waiting.insert(stream, group);
            }
        }
        pool.now += Duration::from_millis(20);
        let done = streams.remove(0);
        for answer in pool.release(&done) {
            let group = waiting.remove(&answer.stream);
            if answer.grant.is_none() {
                continue;
            }
            streams.push(answer.stream);
            if round >= 20 {
                match group {
                    Some("heavy") => served.0 += 1,
                    _ => served.1 += 1,
                }
            }
        }
    }
    // Shares are 30 and 10.
    let heavy_ratio = f64::from(served.0) / f64::from(served.0 + served.1);
    assert!((heavy_ratio - 0.75).abs() < 0.05, "{served:?}");
}

#[test]
fn a_low_class_is_not_starved() {
    let mut pool = TestPool::new();
    let mut streams = pool.fill();
    let (low, _) = pool.submit("light", 20, 600_000);
    for round in 0..200 {
        pool.submit("urgent", 20, 600_000);
        pool.now += Duration::from_millis(20);
        let done = streams.remove(0);
        for answer in pool.release(&done) {
            if answer.stream == low {
                return;
            }
            if answer.grant.is_some() {
                streams.push(answer.stream);
            }
        }
        assert!(round < 60, "the low class waits for more than 60 requests of the urgent class");
    }
}

#[test]
fn an_engine_that_fails_three_times_is_ejected_and_returns() {
    let mut pool = TestPool::new();
    let mut on_first = 0;
    for _ in 0..20 {
        let (stream, answers) = pool.submit("heavy", 20, 2000);
        let grant = answers[0].grant.clone().expect("the pool is idle");
        let failed = &*grant.decode == "d1";
        on_first += u32::from(failed);
        let cause = if failed { ReleaseCause::DecodeFailed } else { ReleaseCause::Done };
        let message = ReleaseMessage {
            stream,
            pool: "main".into(),
            cause,
            tokens: 0,
            cached: 0,
            print: None,
            ended: None,
        };
        pool.state.release(&message, pool.now);
        pool.now += Duration::from_millis(20);
    }
    assert_eq!(on_first, 3, "three failures, then none");
    pool.now += Duration::from_secs(2);
    let (_, answers) = pool.submit("heavy", 20, 2000);
    assert_eq!(&*answers[0].grant.as_ref().expect("it is granted").decode, "d1");
}

#[test]
fn a_prompt_goes_where_its_prefix_is_cached_unless_that_engine_is_busy() {
    let mut pool = TestPool::new();
    let submit = |pool: &mut TestPool| {
        let mut message = pool.message("heavy", 2000, 2000);
        message.prefix = 7;
        let stream = message.stream.clone();
        pool.state.submit(message, pool.now);
        let answers = pool.state.dispatch(pool.now);
        let grant = answers[0].grant.as_ref().expect("it is granted");
        (stream, std::sync::Arc::clone(&grant.prefill))
    };
    let (first, engine) = submit(&mut pool);
    let message = ReleaseMessage {
        stream: first,
        pool: "main".into(),
        cause: ReleaseCause::Done,
        tokens: 1,
        cached: 600,
        print: None,
        ended: None,
    };
    pool.now += Duration::from_millis(200);
    pool.state.release(&message, pool.now);
    let (_, again) = submit(&mut pool);
    assert_eq!(again, engine, "the prefix is cached there");
    let (_, elsewhere) = submit(&mut pool);
    assert_ne!(elsewhere, engine, "it is busy now, and the other engine is faster");
}
