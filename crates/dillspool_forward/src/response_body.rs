//! Responses of plain services: short ones are buffered completely, longer ones are relayed as they arrive.
//!
//! Relaying has backpressure: beyond the first chunks, the backend server's connection is read only as fast as
//! the caller reads. `docs/design/held_bytes.md` has the reasons.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dillspool_calls::CallOutcome;
use dillspool_io::{
    BoxError, ByteGuard, ExchangeBytes, ResponseBody, StalledSide, channel_body, read_response_body,
};
use dillspool_moment::Moment;
use dillspool_routing::{BackendEntry, RoutedRequest};
use dillspool_scheduler::CallTicket;
use dillspool_suspects::{CopyGuard, RunProgress};
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::mpsc;

use crate::backend_probe::spawn_failure_probe;
use crate::backend_tracker::LoadGuard;
use crate::context::{ForwardContext, RESTARTED_CAUSE};
use crate::trace::RequestTrace;

/// Largest response that is buffered when there is no byte budget.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;
/// Delay before the connection of a broken response is closed, so that pending chunks are written.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// A response body as far as it is buffered before any of it is relayed.
pub(crate) enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The first chunks, and the rest of the body.
    Partial(VecDeque<Bytes>, ResponseBody),
}

/// Buffers a body to its end, or until it exceeds what is buffered completely.
pub(crate) async fn buffer_body(
    request: &RoutedRequest,
    body: ResponseBody,
) -> Result<BufferedBody, BoxError> {
    let Some(limits) = request.held_bytes.limits() else {
        return read_response_body(body, MAX_BUFFERED_BYTES).await.map(BufferedBody::Complete);
    };
    if !request.accepts_chunked && body.size_hint().exact().is_none() {
        // Without a length or chunks, the caller could not detect that a relayed response was truncated.
        return read_within_budget(&request.held_bytes, body, MAX_BUFFERED_BYTES)
            .await
            .map(BufferedBody::Complete);
    }
    let mut body = body;
    let mut chunks = ChargedChunks::default();
    while chunks.length <= limits.max_buffered_response_bytes {
        match next_chunk(&request.held_bytes, &mut body).await? {
            Some((bytes, guard)) => chunks.push(bytes, guard),
            None => return Ok(BufferedBody::Complete(chunks.join())),
        }
    }
    if body.is_end_stream() {
        return Ok(BufferedBody::Complete(chunks.join()));
    }
    Ok(BufferedBody::Partial(chunks.into_bytes(), body))
}

/// Reads the complete body of a response of at most `limit` bytes and charges its bytes as they arrive.
pub(crate) async fn read_within_budget(
    held_bytes: &ExchangeBytes,
    mut body: ResponseBody,
    limit: usize,
) -> Result<Bytes, BoxError> {
    if held_bytes.limits().is_none() {
        return read_response_body(body, limit).await;
    }
    let mut chunks = ChargedChunks::default();
    while let Some((bytes, guard)) = next_chunk(held_bytes, &mut body).await? {
        chunks.push(bytes, guard);
        if chunks.length > limit {
            return Err(format!("the body is over {limit} bytes").into());
        }
    }
    Ok(chunks.join())
}

/// The next chunk of a body, once it fits into the byte budget.
async fn next_chunk(
    held_bytes: &ExchangeBytes,
    body: &mut ResponseBody,
) -> Result<Option<(Bytes, ByteGuard)>, BoxError> {
    while let Some(frame) = body.frame().await {
        // Trailers are not relayed.
        if let Ok(bytes) = frame?.into_data() {
            let guard = held_bytes.reserve(bytes.len() as u64).await;
            return Ok(Some((bytes, guard)));
        }
    }
    Ok(None)
}

#[derive(Default)]
struct ChargedChunks {
    chunks: VecDeque<(Bytes, ByteGuard)>,
    length: usize,
}

impl ChargedChunks {
    fn push(&mut self, bytes: Bytes, guard: ByteGuard) {
        self.length += bytes.len();
        self.chunks.push_back((bytes, guard));
    }

    fn into_bytes(self) -> VecDeque<Bytes> {
        self.chunks.into_iter().map(|(bytes, guard)| guard.attach(bytes)).collect()
    }

    fn join(mut self) -> Bytes {
        let Some((first, mut guard)) = self.chunks.pop_front() else { return Bytes::new() };
        if self.chunks.is_empty() {
            return guard.attach(first);
        }
        let mut joined = BytesMut::with_capacity(self.length);
        joined.extend_from_slice(&first);
        for (bytes, other) in self.chunks {
            joined.extend_from_slice(&bytes);
            guard.merge(other);
        }
        guard.attach(joined.freeze())
    }
}

/// A response whose body is not completely read yet.
pub(crate) struct PartialResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) chunks: VecDeque<Bytes>,
    pub(crate) body: ResponseBody,
    pub(crate) entry: Arc<BackendEntry>,
    /// Held until the last byte is read.
    pub(crate) _load: LoadGuard,
    /// When the request was sent.
    pub(crate) sent_at: Moment,
    /// The call's slot at the host that schedules the service, held until the last byte is read.
    pub(crate) call: Option<CallTicket>,
}

impl PartialResponse {
    /// The response to the caller. From here on the request is never retried.
    pub(crate) fn relay(
        self,
        context: &ForwardContext,
        request: &Arc<RoutedRequest>,
        trace: RequestTrace,
        copy: CopyGuard,
    ) -> Response<ResponseBody> {
        // One chunk is in transit to the caller's connection while the next one is read.
        let (sender, receiver) = mpsc::channel(1);
        let mut response = Response::new(channel_body(receiver));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        // The caller detects a truncated response by its length, or else by its missing last chunk.
        response.headers_mut().remove(CONTENT_LENGTH);
        let read: u64 = self.chunks.iter().map(|chunk| chunk.len() as u64).sum();
        if let Some(remaining) = self.body.size_hint().exact() {
            response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(read + remaining));
        }
        let relay = ResponseRelay {
            response: self,
            context: context.clone(),
            request: Arc::clone(request),
            trace,
            _copy: copy,
            caller_stalled: Duration::ZERO,
        };
        tokio::spawn(relay.run(sender));
        response
    }
}

/// How relaying a response ended.
enum RelayOutcome {
    Complete,
    CallerGone,
    Broken(String),
}

type ChunkSender = mpsc::Sender<Result<Bytes, BoxError>>;

/// A response being relayed; dropping it closes the backend server's connection.
struct ResponseRelay {
    response: PartialResponse,
    context: ForwardContext,
    request: Arc<RoutedRequest>,
    trace: RequestTrace,
    /// Counts this copy of the request as running.
    _copy: CopyGuard,
    /// Total time that the caller's connection accepted no data.
    caller_stalled: Duration,
}

impl ResponseRelay {
    async fn run(mut self, sender: ChunkSender) {
        match self.relay_chunks(&sender).await {
            RelayOutcome::Complete => self.finish_complete(),
            // The trace reports this case when it is dropped.
            RelayOutcome::CallerGone => {}
            RelayOutcome::Broken(cause) => {
                self.finish_broken(&cause);
                // The backend server's connection is closed first.
                drop(self);
                tokio::time::sleep(CLOSE_DELAY).await;
                // Sending fails only if the caller has disconnected.
                let _caller_gone = sender.send(Err(cause.into())).await;
            }
        }
    }

    async fn relay_chunks(&mut self, sender: &ChunkSender) -> RelayOutcome {
        let (context, request) = (self.context.clone(), Arc::clone(&self.request));
        let entry = Arc::clone(&self.response.entry);
        let stall =
            request.held_bytes.limits().map_or(Duration::MAX, |limits| limits.stall_timeout);
        let mut cutoff = std::pin::pin!(async {
            tokio::select! {
                () = request.wait_for_deadline() => "the deadline passed",
                () = context.wait_for_restart(&entry) => RESTARTED_CAUSE,
            }
        });
        loop {
            let since = request.clock.now();
            let permit = tokio::select! {
                biased;
                cause = &mut cutoff => return RelayOutcome::Broken(cause.to_owned()),
                permit = sender.reserve() => permit,
            };
            self.caller_stalled += request.clock.since(since);
            let Ok(permit) = permit else { return RelayOutcome::CallerGone };
            if let Some(chunk) = self.response.chunks.pop_front() {
                permit.send(Ok(chunk));
                continue;
            }
            let chunk = tokio::select! {
                biased;
                cause = &mut cutoff => return RelayOutcome::Broken(cause.to_owned()),
                () = sender.closed() => return RelayOutcome::CallerGone,
                chunk = next_chunk(&request.held_bytes, &mut self.response.body) => chunk,
                () = tokio::time::sleep(stall) => {
                    request.held_bytes.record_stall(StalledSide::Backend);
                    return RelayOutcome::Broken(format!("no data for {stall:?}"));
                }
            };
            match chunk {
                Ok(Some((bytes, guard))) => permit.send(Ok(guard.attach(bytes))),
                Ok(None) => return RelayOutcome::Complete,
                Err(error) => return RelayOutcome::Broken(error.to_string()),
            }
            if self.response.body.is_end_stream() {
                return RelayOutcome::Complete;
            }
        }
    }

    fn finish_complete(&mut self) {
        let status = self.response.status;
        if !status.is_server_error() {
            let took =
                self.request.clock.since(self.response.sent_at).saturating_sub(self.caller_stalled);
            self.context.backend_tracker.record_success(&self.response.entry.instance(), took);
            if let Some(mut call) = self.response.call.take() {
                call.complete(CallOutcome::Answered, took);
            }
        }
        if status.is_success() {
            self.context.suspects.record_success(self.request.fingerprint);
            let parts = &self.request.part_fingerprints;
            self.context.suspects.record_begun_well(parts, std::time::Duration::ZERO);
            self.trace.answered(status.as_u16());
        } else {
            self.trace.failed(status.as_u16());
        }
    }

    fn finish_broken(&mut self, cause: &str) {
        let entry = &self.response.entry;
        // Runs in the background; the request is not retried, whatever the cause.
        let _probe =
            spawn_failure_probe(&self.context, &self.request, entry, RunProgress::Underway);
        self.context.backend_tracker.record_no_response(&entry.instance(), cause);
        if let Some(mut call) = self.response.call.take() {
            call.complete(CallOutcome::Lost, self.request.clock.since(self.response.sent_at));
        }
        self.trace.response_broken(cause);
    }
}
