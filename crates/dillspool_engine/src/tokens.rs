//! Token events of a decode stream.

use std::time::Duration;

use dillspool_schema::StreamId;
use dillspool_schema::engine::TokenEvent;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::EngineError;
use crate::error::{InterruptedSnafu, InvalidResponseSnafu, StalledSnafu};
use crate::lines::LineBuffer;

/// Reads token events and checks that each belongs to the stream and arrives in order.
#[derive(Debug)]
pub struct TokenStream {
    stream: StreamId,
    body: Incoming,
    lines: LineBuffer,
    next_index: u64,
    stall_timeout: Duration,
}

impl TokenStream {
    pub(crate) fn new(
        stream: StreamId,
        body: Incoming,
        next_index: u64,
        stall_timeout: Duration,
    ) -> Self {
        Self { stream, body, lines: LineBuffer::default(), next_index, stall_timeout }
    }

    /// Waits for the next event. The last event of a stream has `finish` set.
    ///
    /// # Errors
    ///
    /// [`EngineError::Interrupted`] when the stream ends early, [`EngineError::Stalled`] when no data arrives in
    /// time, [`EngineError::InvalidResponse`] when an event is malformed, out of order or of another stream.
    pub async fn next(&mut self) -> Result<TokenEvent, EngineError> {
        loop {
            while let Some(line) = self.lines.next_line() {
                if !line.is_empty() {
                    return self.parse_event(&line);
                }
            }
            let frame = match tokio::time::timeout(self.stall_timeout, self.body.frame()).await {
                Err(_elapsed) => {
                    let limit = self.stall_timeout;
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
                return InvalidResponseSnafu { reason: "a line exceeds the maximum length" }.fail();
            }
        }
    }

    fn parse_event(&mut self, line: &[u8]) -> Result<TokenEvent, EngineError> {
        let event = match serde_json::from_slice::<TokenEvent>(line) {
            Ok(event) => event,
            Err(error) => {
                return InvalidResponseSnafu { reason: error.to_string() }.fail();
            }
        };
        if event.stream != self.stream {
            let reason = format!("event of stream {} on stream {}", event.stream, self.stream);
            return InvalidResponseSnafu { reason }.fail();
        }
        if event.index != self.next_index {
            let reason =
                format!("token index {} where {} was expected", event.index, self.next_index);
            return InvalidResponseSnafu { reason }.fail();
        }
        match (&event.text, &event.finish) {
            (Some(_), None) => self.next_index += 1,
            (None, Some(_)) => {}
            (None, None) | (Some(_), Some(_)) => {
                let reason = format!("event {} is neither a token nor an end", event.index);
                return InvalidResponseSnafu { reason }.fail();
            }
        }
        Ok(event)
    }
}
