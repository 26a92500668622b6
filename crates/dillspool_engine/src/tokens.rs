//! The token events of one decode stream.

use std::time::Duration;

use dillspool_schema::StreamId;
use dillspool_schema::engine::TokenEvent;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::EngineError;
use crate::error::{InterruptedSnafu, InvalidResponseSnafu, StalledSnafu};
use crate::lines::LineBuffer;

/// Reads token events, checking that each belongs to the stream and comes in order.
#[derive(Debug)]
pub struct TokenStream {
    stream: StreamId,
    body: Incoming,
    lines: LineBuffer,
    next_index: u64,
    stall_limit: Duration,
}

impl TokenStream {
    pub(crate) fn new(
        stream: StreamId,
        body: Incoming,
        next_index: u64,
        stall_limit: Duration,
    ) -> Self {
        Self { stream, body, lines: LineBuffer::default(), next_index, stall_limit }
    }

    /// Waits for the next event; the closing event carries `finish`.
    ///
    /// # Errors
    ///
    /// [`EngineError::Interrupted`] when the stream ends early or stalls, [`EngineError::InvalidResponse`]
    /// when an event belongs to another stream or index.
    pub async fn next(&mut self) -> Result<TokenEvent, EngineError> {
        loop {
            while let Some(line) = self.lines.next_line() {
                if !line.is_empty() {
                    return self.check(&line);
                }
            }
            let frame = match tokio::time::timeout(self.stall_limit, self.body.frame()).await {
                Err(_elapsed) => {
                    let limit = self.stall_limit;
                    return StalledSnafu { limit }.fail();
                }
                Ok(None) => {
                    return InterruptedSnafu { reason: "the stream ended early" }.fail();
                }
                Ok(Some(Err(error))) => {
                    return InterruptedSnafu { reason: error.to_string() }.fail();
                }
                Ok(Some(Ok(frame))) => frame,
            };
            let Some(chunk) = frame.data_ref() else {
                continue;
            };
            if !self.lines.push(chunk) {
                return InvalidResponseSnafu { reason: "a line without end" }.fail();
            }
        }
    }

    fn check(&mut self, line: &[u8]) -> Result<TokenEvent, EngineError> {
        let event = match serde_json::from_slice::<TokenEvent>(line) {
            Ok(event) => event,
            Err(error) => {
                return InvalidResponseSnafu { reason: error.to_string() }.fail();
            }
        };
        if event.stream != self.stream {
            let reason = format!("event of {} on {}", event.stream, self.stream);
            return InvalidResponseSnafu { reason }.fail();
        }
        if event.index != self.next_index {
            let reason = format!("token {} in place of {}", event.index, self.next_index);
            return InvalidResponseSnafu { reason }.fail();
        }
        if event.finish.is_none() {
            self.next_index += 1;
        }
        Ok(event)
    }
}
