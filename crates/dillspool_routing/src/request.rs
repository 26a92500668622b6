//! Requests that are routed to backend servers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillspool_io::{ExchangeBytes, HostClock};
use dillspool_keys::PresentedKey;
use dillspool_moment::Moment;
use dillspool_schema::Name;
use dillspool_suspects::RequestFingerprint;
use hyper::{HeaderMap, Method, Uri};

use crate::route::RouteEntry;
use crate::workspace::WorkspaceEntry;

/// Elapsed time up to which a request counts as a first attempt: covers the network delay to this
/// host, including one lost packet.
const FIRST_ATTEMPT_TOLERANCE: Duration = Duration::from_millis(100);

/// Maximum number of tokens of a prompt or an answer, far more than an engine has memory for.
///
/// Larger counts, which callers and other hosts may send, are lowered to it where they are decoded, so that sums
/// and times that are computed from counts stay in range.
pub const MAX_TOKENS: u64 = 1 << 32;

/// A segment of a prompt that several requests may have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the segment.
    pub id: Name,
    /// Length in tokens.
    pub tokens: u64,
}

/// Parameters of a model request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationParams {
    /// Name of the model.
    pub model: Name,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer in tokens.
    pub max_output_tokens: u64,
    /// Answer length in tokens that the client expects.
    pub expected_output_tokens: Option<u64>,
    /// Segments of the prompt in order; the last one is specific to this request or its session.
    pub prompt_parts: Vec<PromptPart>,
}

/// Where a stream begins for a client, by its `Last-Event-Id`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResumePosition {
    /// At its first event.
    #[default]
    Beginning,
    /// After this event, the last one that the client received before its stream was interrupted.
    After(u64),
    /// After an event that can't be told: the header is no decimal number, or there are several.
    Unreadable,
}

/// Decoded request headers.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// ID of this attempt, set by the client.
    pub id: Option<Name>,
    /// How long the client waits for the answer, counted from now.
    pub time_budget: Option<Duration>,
    /// API key that the client sent.
    pub key: PresentedKey,
    /// Set for a model request.
    pub generation: Option<GenerationParams>,
    /// Where the stream begins for the client.
    pub resume: ResumePosition,
    /// ID of the attempt that brought the first event of the interrupted stream.
    pub resumed_attempt: Option<Name>,
}

/// A fully received request with its route.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// ID of this attempt, set by the client.
    pub id: Name,
    /// Identifies the request across retries by the client.
    pub fingerprint: RequestFingerprint,
    /// Identify the parts of the prompt that other requests may share, in order.
    pub part_fingerprints: Arc<[RequestFingerprint]>,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body, unchanged.
    pub body: Bytes,
    /// Clock for the time limits of the request.
    pub clock: HostClock,
    /// When the request head had been received.
    pub arrived: Moment,
    /// Time that the client had spent on earlier, refused attempts.
    pub spent_before: Duration,
    /// When the final answer is due.
    pub deadline: Moment,
    /// Route of the request.
    pub route: Arc<RouteEntry>,
    /// Service that the request goes to.
    pub service: Name,
    /// Workspace of the client; `None` if no key was required.
    pub workspace: Option<Arc<WorkspaceEntry>>,
    /// Set for a model request.
    pub generation: Option<GenerationParams>,
    /// ID of the last event that the client received before its stream was interrupted.
    pub resume_after: Option<u64>,
    /// ID of the attempt that brought the first event of the interrupted stream.
    pub resumed_attempt: Option<Name>,
    /// Version of the configuration that the route was selected from.
    pub config_version: u64,
    /// Accounts for the memory that the host holds for the request.
    pub held_bytes: ExchangeBytes,
    /// Whether the client can detect a truncated answer of unknown length; HTTP/1.0 has no chunked
    /// encoding, so it cannot.
    pub accepts_chunked: bool,
}

impl GenerationParams {
    /// The parts of the prompt that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.prompt_parts.split_last().map_or(&[], |(_last, shared)| shared)
    }
}

impl RoutedRequest {
    /// Time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.clock.until(self.deadline)
    }

    /// Waits until the deadline.
    pub async fn wait_for_deadline(&self) {
        self.clock.sleep_until(self.deadline).await;
    }

    /// Time since the request arrived.
    pub fn age(&self) -> Duration {
        self.clock.since(self.arrived)
    }

    /// Whether the first event would miss the objective, which counts from the client's first
    /// attempt. A resumed stream always has: the interruption was already too long a pause.
    pub fn is_past_objective(&self) -> bool {
        self.resume_after.is_some() || self.spent_before + self.age() > self.route.objective
    }

    /// Whether an earlier attempt of the client was refused or lost its answer.
    pub fn is_client_retry(&self) -> bool {
        self.spent_before > FIRST_ATTEMPT_TOLERANCE
    }
}
