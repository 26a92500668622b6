//! The HTTP client that calls engines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dillspool_io::{
    BoxFuture, ConnectOutcome, HttpClient, HttpError, NetStack, probe_connect, read_body,
};
use dillspool_schema::StreamId;
use dillspool_schema::engine::{
    DecodeRequest, FencedOrder, PrefillReply, PrefillRequest, StreamListing,
};
use http_body_util::Full;
use hyper::{Method, Request};
use serde::Serialize;

use crate::EngineError;
use crate::protocol::{
    CacheEvents, CancelReply, CancelRequest, LoadReport, OrderReply, ResumeRequest,
};
use crate::tokens::TokenStream;

/// Maximum length of an error response body.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;
/// Timeout of a connection probe. A reachable host answers within one round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of calls that an engine answers without computing.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls engines by address over a shared connection pool.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
    stack: NetStack,
}

impl EngineClient {
    /// Creates a client that connects through a network stack.
    pub fn new(stack: &NetStack) -> Self {
        Self { http: HttpClient::pooled(stack), stack: stack.clone() }
    }

    /// Whether connections to an engine's address are refused, that is, no process listens there. An engine that is
    /// partitioned or doesn't respond may still be running.
    ///
    /// Boxed because it is rarely called and would enlarge the future of every response.
    pub fn refuses_connections(&self, engine: SocketAddr) -> BoxFuture<bool> {
        let stack = self.stack.clone();
        Box::pin(async move {
            probe_connect(&stack, engine, PROBE_TIMEOUT).await == ConnectOutcome::Refused
        })
    }

    /// Computes and exports the KV cache of a prompt.
    ///
    /// # Errors
    ///
    /// [`EngineError`], whose variants tell the caller what to do next.
    pub async fn prefill(
        &self,
        engine: SocketAddr,
        request: &PrefillRequest,
        timeout: Duration,
    ) -> Result<PrefillReply, EngineError> {
        Ok(self.http.call(Method::POST, engine, "/prefill", request, timeout).await?)
    }

    /// Imports a KV cache and opens its token stream.
    ///
    /// # Errors
    ///
    /// [`EngineError::Refused`] when there is no free slot or the KV cache no longer exists.
    pub async fn decode(
        &self,
        engine: SocketAddr,
        request: &DecodeRequest,
        import_timeout: Duration,
        stall_timeout: Duration,
    ) -> Result<TokenStream, EngineError> {
        let body = self.open_stream(engine, "/decode", request, import_timeout).await?;
        Ok(TokenStream::new(request.stream.clone(), body, request.from, stall_timeout))
    }

    /// Reopens a stream that still runs on the engine, starting at token `from`.
    ///
    /// # Errors
    ///
    /// [`EngineError::Refused`] when the engine no longer holds the stream.
    pub async fn resume(
        &self,
        engine: SocketAddr,
        stream: &StreamId,
        from: u64,
        stall_timeout: Duration,
    ) -> Result<TokenStream, EngineError> {
        let request = ResumeRequest { stream: stream.clone(), from };
        let body = self.open_stream(engine, "/resume", &request, SHORT_CALL_TIMEOUT).await?;
        Ok(TokenStream::new(stream.clone(), body, from, stall_timeout))
    }

    async fn open_stream<T: Serialize>(
        &self,
        engine: SocketAddr,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<hyper::body::Incoming, EngineError> {
        let lost = |reason: String| HttpError::Lost { address: engine, reason };
        let body = serde_json::to_vec(body).map_err(|error| lost(error.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| lost(error.to_string()))?;
        let response = match tokio::time::timeout(timeout, self.http.send(engine, request)).await {
            Ok(response) => response?,
            Err(_elapsed) => return Err(lost(format!("no response within {timeout:?}")).into()),
        };
        let status = response.status();
        if status.is_success() {
            return Ok(response.into_body());
        }
        let text = read_body(response.into_body(), MAX_ERROR_BODY_BYTES)
            .await
            .map_err(|error| lost(error.to_string()))?;
        let text = String::from_utf8_lossy(&text).into_owned();
        Err(HttpError::Status { address: engine, status, text }.into())
    }

    /// Ends a stream and frees its memory on the engine. Idempotent; it has no effect when the engine holds nothing.
    ///
    /// # Errors
    ///
    /// [`EngineError`] when the engine did not confirm the call.
    pub async fn cancel(
        &self,
        engine: SocketAddr,
        stream: &StreamId,
    ) -> Result<CancelReply, EngineError> {
        let request = CancelRequest { stream: stream.clone() };
        Ok(self.http.call(Method::POST, engine, "/cancel", &request, SHORT_CALL_TIMEOUT).await?)
    }

    /// Lists the streams that hold memory on the engine.
    ///
    /// # Errors
    ///
    /// [`EngineError`] when the engine does not answer.
    pub async fn list(&self, engine: SocketAddr) -> Result<StreamListing, EngineError> {
        Ok(self.http.call(Method::POST, engine, "/streams", &(), SHORT_CALL_TIMEOUT).await?)
    }

    /// Reads the engine's load report, which lags behind its current load.
    ///
    /// # Errors
    ///
    /// [`EngineError`] when the engine does not answer.
    pub async fn load(&self, engine: SocketAddr) -> Result<LoadReport, EngineError> {
        Ok(self.http.call(Method::POST, engine, "/load", &(), SHORT_CALL_TIMEOUT).await?)
    }

    /// Reads the cache events that follow an event number.
    ///
    /// # Errors
    ///
    /// [`EngineError`] when the engine does not answer.
    pub async fn cache_events(
        &self,
        engine: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, EngineError> {
        Ok(self
            .http
            .call(Method::POST, engine, "/cache-events", &after, SHORT_CALL_TIMEOUT)
            .await?)
    }

    /// Sends an order that carries a fencing epoch.
    ///
    /// # Errors
    ///
    /// [`EngineError::Interrupted`] when the order may have been executed.
    pub async fn order(
        &self,
        engine: SocketAddr,
        order: &FencedOrder,
    ) -> Result<OrderReply, EngineError> {
        Ok(self.http.call(Method::POST, engine, "/order", order, SHORT_CALL_TIMEOUT).await?)
    }

    /// Reads the order that an engine executed last.
    ///
    /// # Errors
    ///
    /// [`EngineError`] when the engine does not answer.
    pub async fn last_order(&self, engine: SocketAddr) -> Result<OrderReply, EngineError> {
        Ok(self.http.call(Method::POST, engine, "/last-order", &(), SHORT_CALL_TIMEOUT).await?)
    }
}
