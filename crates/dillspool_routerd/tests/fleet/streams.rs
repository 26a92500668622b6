//! Callers that read a stream event by event, and resume it at another host when it breaks off.

use std::collections::BTreeSet;
use std::time::Duration;

use dillspool_io::exchange_once;
use dillspool_site_standin::{
    LAST_EVENT, RESUMED_ATTEMPT, ReceivedEvent, STREAM_EVENTS, read_events,
};

use hyper::header::HeaderValue;
use tokio::time::Instant;

use super::{CALLERS, TestFleet, node};

/// Time without an event after which a caller gives a stream up.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Longest time to connect to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Where a stream was interrupted.
#[derive(Clone, Debug)]
pub struct ResumePoint {
    /// The attempt that brought its first event.
    pub attempt: String,
    /// The last event that the caller has.
    pub last_event: u64,
}

/// One try of a caller.
#[derive(Clone, Debug, Default)]
pub struct StreamTry {
    /// Id of the attempt.
    pub id: String,
    /// Status, if the head of a response arrived.
    pub status: Option<u16>,
    /// Whether the response has a `Retry-After` header.
    pub has_retry_after: bool,
    pub events: Vec<ReceivedEvent>,
    /// Whether the response ended cleanly.
    pub is_complete: bool,
    /// Time until the response ended.
    pub took: Duration,
}

/// A stream with all tries of its caller.
#[derive(Clone, Debug, Default)]
pub struct TakenStream {
    pub tries: Vec<StreamTry>,
}

impl TakenStream {
    /// All events that the caller has.
    pub fn events(&self) -> impl Iterator<Item = &ReceivedEvent> {
        self.tries.iter().flat_map(|it| &it.events)
    }

    /// Software versions whose engines sent events.
    pub fn versions(&self) -> BTreeSet<String> {
        self.events().map(|event| event.software.clone()).collect()
    }

    /// Whether the caller has each event once, and the last try ended cleanly.
    pub fn is_whole(&self) -> bool {
        self.events().map(|event| event.number).eq(1..=STREAM_EVENTS)
            && self.tries.last().is_some_and(|it| it.is_complete)
    }

    /// Whether the caller took the stream up again after events.
    pub fn was_resumed(&self) -> bool {
        self.tries.len() > 1 && !self.tries[0].events.is_empty()
    }
}

impl TestFleet {
    /// Sends one try to a host and reads its events.
    pub async fn read_stream(
        &self,
        caller: usize,
        host: usize,
        path: &str,
        resume: Option<&ResumePoint>,
    ) -> StreamTry {
        let (id, address, mut request) = self.request(host, path, "sound");
        if let Some(resume) = resume {
            let headers = request.headers_mut();
            let attempt = HeaderValue::from_str(&resume.attempt).expect("an id");
            headers.insert(RESUMED_ATTEMPT, attempt);
            headers.insert(LAST_EVENT, HeaderValue::from(resume.last_event));
        }
        let sent = Instant::now();
        let mut read = StreamTry { id, ..StreamTry::default() };
        let stack = self.net.stack(node(3, caller % CALLERS));
        let exchange = exchange_once(&stack, address, request, CONNECT_TIMEOUT);
        if let Ok(Ok(response)) = tokio::time::timeout(MAX_SILENCE, exchange).await {
            read.status = Some(response.status().as_u16());
            read.has_retry_after = response.headers().contains_key("retry-after");
            if response.status().is_success() {
                let body = response.into_body();
                read.is_complete = read_events(body, MAX_SILENCE, &mut read.events).await;
            }
        }
        read.took = sent.elapsed();
        read
    }

    /// Reads a stream from the first host, and goes on at the next one each time that it breaks off. A caller that
    /// `stops_if_refused` stops when it is refused without a time to come back.
    pub async fn take_stream(
        &self,
        caller: usize,
        hosts: impl Iterator<Item = usize>,
        try_interval: Duration,
        stops_if_refused: bool,
    ) -> TakenStream {
        let mut taken = TakenStream::default();
        let mut resume: Option<ResumePoint> = None;
        for host in hosts {
            let read = self.read_stream(caller, host, "/resumed/1", resume.as_ref()).await;
            if let Some(last) = read.events.last() {
                let attempt = resume.map_or_else(|| read.id.clone(), |resume| resume.attempt);
                resume = Some(ResumePoint { attempt, last_event: last.number });
            }
            let is_refused = read.status == Some(503) && !read.has_retry_after;
            let is_final = read.is_complete || (stops_if_refused && is_refused);
            taken.tries.push(read);
            if is_final {
                break;
            }
            tokio::time::sleep(try_interval).await;
        }
        taken
    }
}
