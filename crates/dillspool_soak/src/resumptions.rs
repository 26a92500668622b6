//! Callers that read streams event by event, and go on at another host when one breaks off, while engines of two software
//! versions serve.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use dillspool_io::{NetStack, exchange_once};
use dillspool_site_standin::{
    LAST_EVENT, REQUEST_ID, RESUMED_ATTEMPT, ReceivedEvent, TIME_BUDGET, TOKEN_COUNTS, read_events,
};
use http_body_util::Full;
use hyper::Request;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::callers::{ROUTE_HOST, prefix};
use crate::check::{CallKind, CallOutcome, CallRecord, Violation};

/// Time that a caller waits for each try, in milliseconds.
const CALLER_WAIT_MS: u64 = 3_000;
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time without an event after which a caller gives a try up.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Tries of one stream, and the time between them.
const MAX_TRIES: u64 = 5;
const TRY_INTERVAL: Duration = Duration::from_millis(150);
/// Time between the starts of two streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(25);
/// Streams that may hold events of both versions, as the users' rule says.
const MAX_MIXED: usize = 2;

/// A stream with all tries of its caller.
#[derive(Clone, Debug)]
struct ResumedStream {
    id: String,
    tries: u64,
    events: Vec<ReceivedEvent>,
    is_complete: bool,
}

/// What the callers of resumed streams saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResumptionLog {
    streams: Arc<Mutex<Vec<ResumedStream>>>,
}

/// Begins streams at any host until `cancel`, and waits for their ends.
pub(crate) async fn keep_resuming(
    hosts: Vec<SocketAddr>,
    seed: u64,
    log: ResumptionLog,
    calls: Arc<Mutex<Vec<CallRecord>>>,
    cancel: CancellationToken,
) {
    let mut random = SmallRng::seed_from_u64(seed.rotate_left(13));
    let mut open = JoinSet::new();
    for number in 0_u64.. {
        let order = (0..MAX_TRIES).map(|_try| hosts[random.random_range(0..hosts.len())]);
        let stream = take_stream(format!("{seed:x}-resumed-{number}"), order.collect());
        let (log, calls) = (log.clone(), Arc::clone(&calls));
        open.spawn(async move {
            let stream = stream.await;
            let attempts = (0..stream.tries).map(|number| CallRecord {
                id: attempt_id(&stream.id, number),
                kind: CallKind::ResumableStream,
                outcome: CallOutcome::Nothing,
            });
            calls.lock().unwrap_or_else(PoisonError::into_inner).extend(attempts);
            log.streams.lock().unwrap_or_else(PoisonError::into_inner).push(stream);
        });
        tokio::select! {
            () = tokio::time::sleep(STREAM_INTERVAL) => {}
            () = cancel.cancelled() => break,
        }
    }
    let _ended = open.join_all().await;
}

fn attempt_id(id: &str, number: u64) -> String {
    format!("{id}-{number}")
}

async fn take_stream(id: String, hosts: Vec<SocketAddr>) -> ResumedStream {
    let mut stream = ResumedStream { id, tries: 0, events: Vec::new(), is_complete: false };
    let mut first_attempt = None;
    for host in hosts {
        let attempt = attempt_id(&stream.id, stream.tries);
        stream.tries += 1;
        let mut request = Request::builder()
            .method("POST")
            .uri(format!("{}{}", prefix(CallKind::ResumableStream), stream.id))
            .header("host", ROUTE_HOST)
            .header(REQUEST_ID, &attempt)
            .header(TIME_BUDGET, CALLER_WAIT_MS)
            .header(TOKEN_COUNTS, "100,100");
        if let (Some(first), Some(last)) = (&first_attempt, stream.events.last()) {
            request = request.header(RESUMED_ATTEMPT, first).header(LAST_EVENT, last.number);
        }
        let Ok(request) = request.body(Full::new(Bytes::from_static(b"body"))) else { break };
        let stack = NetStack::tcp();
        let exchange = exchange_once(&stack, host, request, CONNECT_LIMIT);
        if let Ok(Ok(response)) = tokio::time::timeout(MAX_SILENCE, exchange).await
            && response.status().is_success()
        {
            let body = response.into_body();
            stream.is_complete = read_events(body, MAX_SILENCE, &mut stream.events).await;
        }
        if stream.is_complete {
            break;
        }
        if !stream.events.is_empty() {
            first_attempt.get_or_insert(attempt);
        }
        tokio::time::sleep(TRY_INTERVAL).await;
    }
    stream
}

impl ResumptionLog {
    /// What is wrong with the streams, and a line that counts them.
    pub(crate) fn check(&self) -> (Vec<Violation>, String) {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let mut violations = Vec::new();
        let mut mixed = Vec::new();
        let (mut resumed, mut gone_on) = (0, 0);
        for stream in streams.iter() {
            let numbers = stream.events.iter().map(|event| event.number);
            if !numbers.eq(1..=stream.events.len() as u64) {
                let detail = format!("{stream:?}");
                violations.push(Violation { promise: "each event comes once, in order", detail });
            }
            let versions: BTreeSet<_> = stream.events.iter().map(|it| &it.software).collect();
            if versions.len() > 1 {
                mixed.push(stream);
            }
            if stream.tries > 1 && !stream.events.is_empty() {
                resumed += 1;
                gone_on += usize::from(stream.is_complete);
            }
        }
        if mixed.len() > MAX_MIXED {
            let detail = format!("{} streams of two versions, first {:?}", mixed.len(), mixed[0]);
            violations.push(Violation { promise: "a stream keeps its software version", detail });
        }
        let count = format!(
            "{} streams, {gone_on} of {resumed} that callers took up went on, {} of two versions",
            streams.len(),
            mixed.len(),
        );
        (violations, count)
    }
}
