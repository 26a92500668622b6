//! One client for all engines.

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

/// Longest refusal text that is read, in bytes.
const REFUSAL_LIMIT: usize = 64 * 1024;
/// Time for a look at an engine's process; a machine that answers does so within a round trip.
const LOOK_LIMIT: Duration = Duration::from_millis(300);
/// Time for a call that an engine answers at once.
const SHORT_CALL: Duration = Duration::from_secs(2);

/// Calls engines by address.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
    stack: NetStack,
}

impl EngineClient {
    /// A client over a network.
    pub fn new(stack: &NetStack) -> Self {
        Self { http: HttpClient::pooled(stack), stack: stack.clone() }
    }

    /// Whether nobody listens at an engine's address; one that is cut off or silent may live on.
    ///
    /// Boxed, since it is rare and would make each answer's future larger.
    pub fn refuses_connections(&self, engine: SocketAddr) -> BoxFuture<bool> {
        let stack = self.stack.clone();
        Box::pin(async move {
            probe_connect(&stack, engine, LOOK_LIMIT).await == ConnectOutcome::Refused
        })
    }

    /// Computes and exports the KV cache of a prompt.
    ///
    /// # Errors
    ///
    /// [`EngineError`] by what the caller can do next.
    pub async fn prefill(
        &self,
        engine: SocketAddr,
        request: &PrefillRequest,
        limit: Duration,
    ) -> Result<PrefillReply, EngineError> {
        Ok(self.http.call(Method::POST, engine, "/prefill", request, limit).await?)
    }

    /// Imports a KV cache and opens the stream of tokens.
    ///
    /// # Errors
    ///
    /// [`EngineError::Refused`] when there is no slot or the KV cache is gone.
    pub async fn decode(
        &self,
        engine: SocketAddr,
        request: &DecodeRequest,
        import_limit: Duration,
        stall_limit: Duration,
    ) -> Result<TokenStream, EngineError> {
        let body = self.open(engine, "/decode", request, import_limit).await?;
        Ok(TokenStream::new(request.stream.clone(), body, request.from, stall_limit))
    }

    /// Opens the rest of a stream that still runs on the engine.
    ///
    /// # Errors
    ///
    /// [`EngineError::Refused`] when the engine does not hold the stream any more.
    pub async fn resume(
        &self,
        engine: SocketAddr,
        stream: &StreamId,
        from: u64,
        stall_limit: Duration,
    ) -> Result<TokenStream, EngineError> {
        let request = ResumeRequest { stream: stream.clone(), from };
        let body = self.open(engine, "/resume", &request, SHORT_CALL).await?;
        Ok(TokenStream::new(stream.clone(), body, from, stall_limit))
    }

    async fn open<Q: Serialize>(
        &self,
        engine: SocketAddr,
        path: &str,
        query: &Q,
        limit: Duration,
    ) -> Result<hyper::body::Incoming, EngineError> {
        let lost = |reason: String| HttpError::Lost { address: engine, reason };
        let body = serde_json::to_vec(query).map_err(|error| lost(error.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| lost(error.to_string()))?;
        let response = match tokio::time::timeout(limit, self.http.send(engine, request)).await {
            Ok(response) => response?,
            Err(_elapsed) => return Err(lost(format!("no reply within {limit:?}")).into()),
        };
        let status = response.status();
        if status.is_success() {
            return Ok(response.into_body());
        }
        let text = read_body(response.into_body(), REFUSAL_LIMIT)
            .await
            .map_err(|error| lost(error.to_string()))?;
        let text = String::from_utf8_lossy(&text).into_owned();
        Err(HttpError::Status { address: engine, status, text }.into())
    }

    /// Frees whatever the engine holds of a stream; harmless when it holds nothing.
    ///
    /// # Errors
    ///
    /// [`EngineError`] when the engine did not confirm.
    pub async fn cancel(
        &self,
        engine: SocketAddr,
        stream: &StreamId,
    ) -> Result<CancelReply, EngineError> {
        let request = CancelRequest { stream: stream.clone() };
        Ok(self.http.call(Method::POST, engine, "/cancel", &request, SHORT_CALL).await?)
    }

    /// Lists the streams that hold memory.
    ///
    /// # Errors
    ///
    /// [`EngineError`] when the engine does not answer.
    pub async fn list(&self, engine: SocketAddr) -> Result<StreamListing, EngineError> {
        Ok(self.http.call(Method::POST, engine, "/streams", &(), SHORT_CALL).await?)
    }

    /// Reads the engine's lagging load report.
    ///
    /// # Errors
    ///
    /// [`EngineError`] when the engine does not answer.
    pub async fn load(&self, engine: SocketAddr) -> Result<LoadReport, EngineError> {
        Ok(self.http.call(Method::POST, engine, "/load", &(), SHORT_CALL).await?)
    }

    /// Reads cache events after a number.
    ///
    /// # Errors
    ///
    /// [`EngineError`] when the engine does not answer.
    pub async fn cache_events(
        &self,
        engine: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, EngineError> {
        Ok(self.http.call(Method::POST, engine, "/cache-events", &after, SHORT_CALL).await?)
    }

    /// Gives a fenced order.
    ///
    /// # Errors
    ///
    /// [`EngineError::Interrupted`] when the order may have been carried out.
    pub async fn order(
        &self,
        engine: SocketAddr,
        order: &FencedOrder,
    ) -> Result<OrderReply, EngineError> {
        Ok(self.http.call(Method::POST, engine, "/order", order, SHORT_CALL).await?)
    }

    /// Reads which order an engine carried out last.
    ///
    /// # Errors
    ///
    /// [`EngineError`] when the engine does not answer.
    pub async fn last_order(&self, engine: SocketAddr) -> Result<OrderReply, EngineError> {
        Ok(self.http.call(Method::POST, engine, "/last-order", &(), SHORT_CALL).await?)
    }
}
