//! A request on its way to a backend server.

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

/// Time that a first attempt may seem to have spent: the way to this host, a lost packet on it.
const FRESH_SLACK: Duration = Duration::from_millis(100);

/// A part of a prompt that requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part.
    pub id: Name,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What a request asks of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationParams {
    /// Name of the model.
    pub model: Name,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub max_output_tokens: u64,
    /// The caller's guess of the answer's length in tokens.
    pub expected_output_tokens: Option<u64>,
    /// The parts of the prompt in order; the last belongs to this request or its session.
    pub prompt_parts: Vec<PromptPart>,
}

/// What the head of a request says, decoded.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Names this attempt of the caller.
    pub id: Option<Name>,
    /// How long the caller waits from now on.
    pub time_budget: Option<Duration>,
    /// The caller's key.
    pub key: PresentedKey,
    /// Set for a model request.
    pub generation: Option<GenerationParams>,
    /// The last event that the caller has of an answer that broke off.
    pub resume_after: Option<u64>,
}

/// A request that was read whole and has a route.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// Names this attempt of the caller.
    pub id: Name,
    /// The same for all attempts of the caller.
    pub fingerprint: RequestFingerprint,
    /// Its method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: Bytes,
    /// The clock by which its time runs.
    pub clock: HostClock,
    /// When its head had been read.
    pub arrived: Moment,
    /// Time that the caller had spent before this attempt; a refused one comes back later.
    pub spent_before: Duration,
    /// When it must have its final answer.
    pub deadline: Moment,
    /// Its route.
    pub route: Arc<RouteEntry>,
    /// The service that takes it.
    pub service: Name,
    /// The workspace that asks; `None` where no key was needed.
    pub workspace: Option<Arc<WorkspaceEntry>>,
    /// Set for a model request.
    pub generation: Option<GenerationParams>,
    /// The last event that the caller has of an answer that broke off.
    pub resume_after: Option<u64>,
    /// Version of the configuration that chose the route.
    pub config_version: u64,
    /// The bytes that the host holds for it.
    pub held_bytes: ExchangeBytes,
    /// Whether its caller sees that an answer of unknown length ends early; HTTP/1.0 has no way.
    pub accepts_chunked: bool,
}

impl RoutedRequest {
    /// Time left until the final answer is due.
    pub fn remaining(&self) -> Duration {
        self.clock.until(self.deadline)
    }

    /// Waits until its final answer is due.
    pub async fn wait_for_deadline(&self) {
        self.clock.sleep_until(self.deadline).await;
    }

    /// Time since the request arrived.
    pub fn age(&self) -> Duration {
        self.clock.since(self.arrived)
    }

    /// Whether its first event can no longer be in time: the objective counts from the caller's
    /// first attempt, and an answer that broke off has paused for too long already.
    pub fn is_past_objective(&self) -> bool {
        self.resume_after.is_some() || self.spent_before + self.age() > self.route.objective
    }

    /// Whether the caller was refused, or lost an answer, before this attempt.
    pub fn is_client_retry(&self) -> bool {
        self.spent_before > FRESH_SLACK
    }
}
