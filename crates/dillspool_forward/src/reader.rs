//! Reads whole events from an engine's stream and checks their order.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
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
    /// Nothing came until the given moment; the stream is as good as before.
    Silent,
}

/// An engine's stream with what was read of it.
pub(crate) struct StreamReader {
    pub(crate) open: OpenStream,
    splitter: EventSplitter,
    /// Last whole event that was read, of this stream or of the one before it.
    pub(crate) last_event: Option<u64>,
    /// When the last whole event came, or the stream was opened.
    pub(crate) last_at: Instant,
}

impl StreamReader {
    /// Reads a stream that goes on behind `last_event`.
    pub(crate) fn new(open: OpenStream, last_event: Option<u64>) -> Self {
        Self { open, splitter: EventSplitter::default(), last_event, last_at: Instant::now() }
    }

    /// Reads until at least one event is whole, or until `limit` is over.
    ///
    /// Dropping the future loses nothing that was read.
    pub(crate) async fn read(&mut self, limit: impl Future<Output = ()>) -> ReadPart {
        tokio::select! {
            biased;
            part = self.read_on() => part,
            () = limit => ReadPart::Silent,
        }
    }

    async fn read_on(&mut self) -> ReadPart {
        loop {
            let frame = match self.open.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return ReadPart::Broken(error.to_string()),
                None if self.splitter.is_empty() => return ReadPart::End,
                None => return ReadPart::Broken("it ended within an event".to_owned()),
            };
            let Ok(bytes) = frame.into_data() else { continue };
            self.splitter.push(&bytes);
            if self.splitter.is_overlong() {
                return ReadPart::Broken("an event without end".to_owned());
            }
            match self.take_events() {
                Ok((_events, 0)) => {}
                Ok((events, count)) => return ReadPart::Events(events, count),
                Err(cause) => return ReadPart::Broken(cause),
            }
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
