//! Reads whole events from an engine's stream and checks their order.

use std::pin::pin;

use bytes::{Bytes, BytesMut};
use dillspool_io::{BoxError, BoxFuture, ByteGuard, ExchangeBytes};
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::Instant;

use crate::events::EventSplitter;
use crate::generate::OpenStream;

/// What was read from the engine.
#[derive(Debug)]
pub(crate) enum ReadPart {
    /// Whole events in order, and how many.
    Events(Bytes, u64),
    /// The stream ended behind a whole event.
    End,
    /// The stream cannot be used any further.
    Broken(String),
}

/// An engine's stream with what was read of it.
pub(crate) struct StreamReader {
    pub(crate) open: OpenStream,
    splitter: EventSplitter,
    /// Last whole event that was read, of this stream or of the one before it.
    pub(crate) last_event: Option<u64>,
    /// When the last whole event came, or the stream was opened.
    pub(crate) last_at: Instant,
    /// Ends with the cause for which the stream is over, whatever still comes. One for all events, since each
    /// would set up its timer and its watches anew.
    cutoff: BoxFuture<&'static str>,
    held: ExchangeBytes,
    /// Charges the part of an event that has come.
    partial: ByteGuard,
}

impl StreamReader {
    /// Reads a stream that goes on behind `last_event`.
    pub(crate) fn new(
        open: OpenStream,
        last_event: Option<u64>,
        cutoff: BoxFuture<&'static str>,
        held: ExchangeBytes,
    ) -> Self {
        let (splitter, last_at) = (EventSplitter::default(), Instant::now());
        let partial = held.guard();
        Self { open, splitter, last_event, last_at, cutoff, held, partial }
    }

    /// The caller takes events again. Where it may pause the stream, the silence that its pause caused is
    /// not the engine's.
    pub(crate) fn reset_stall_timer(&mut self) {
        if self.held.terms().is_some() {
            self.last_at = Instant::now();
        }
    }

    /// Reads until at least one event is whole; `None` if nothing came until `until`, and the stream is as
    /// good as before.
    ///
    /// Dropping the future loses nothing that was read.
    pub(crate) async fn read(&mut self, until: Option<Instant>) -> Option<ReadPart> {
        let timer = async {
            match until {
                Some(until) => tokio::time::sleep_until(until).await,
                None => std::future::pending().await,
            }
        };
        let mut timer = pin!(timer);
        loop {
            let frame = tokio::select! {
                biased;
                frame = self.open.body.frame() => frame,
                cause = &mut self.cutoff => return Some(ReadPart::Broken(cause.to_owned())),
                () = &mut timer => return None,
            };
            let part = self.handle_frame(frame);
            let partial = self.splitter.len() as u64;
            if part.is_some() || !self.partial.try_set(partial) {
                self.partial.set(partial);
            }
            if let Some(part) = part {
                return Some(part);
            }
            self.held.wait_for_room().await;
        }
    }

    /// Takes what came; `None` while no event is whole.
    fn handle_frame(&mut self, frame: Option<Result<Frame<Bytes>, BoxError>>) -> Option<ReadPart> {
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Some(ReadPart::Broken(error.to_string())),
            None if self.splitter.is_empty() => return Some(ReadPart::End),
            None => return Some(ReadPart::Broken("it ended within an event".to_owned())),
        };
        self.splitter.push(&frame.into_data().ok()?);
        if self.splitter.is_too_long() {
            return Some(ReadPart::Broken("an event without end".to_owned()));
        }
        match self.take_events() {
            Ok((_events, 0)) => None,
            Ok((events, count)) => Some(ReadPart::Events(events, count)),
            Err(cause) => Some(ReadPart::Broken(cause)),
        }
    }

    /// The whole events read so far, checked for their order, and how many.
    fn take_events(&mut self) -> Result<(Bytes, u64), String> {
        let mut taken = BytesMut::new();
        let mut count = 0;
        while let Some(event) = self.splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_event)
                && id <= last
            {
                return Err(format!("event {id} after event {last}"));
            }
            self.last_event = event.id.or(self.last_event);
            self.last_at = Instant::now();
            count += 1;
            taken.extend_from_slice(&event.bytes);
        }
        Ok((taken.freeze(), count))
    }
}
