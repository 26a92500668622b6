//! Reads complete events from an engine's stream, up to the first one that must not go to the caller.

use std::pin::pin;

use bytes::{Bytes, BytesMut};
use dillspool_events::{EventFlaw, EventSplitter};
use dillspool_io::{BoxError, BoxFuture, ByteGuard, ExchangeBytes};
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::Instant;

use crate::event_checker::EventChecker;
use crate::generate::OpenStream;

/// What a read of an engine's stream returned.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    /// Complete events for the caller, and their number.
    Events(Bytes, u64),
    /// The stream ended after a complete event.
    End,
    /// The stream is unusable, for this cause.
    Broken(String),
}

/// An engine's stream with its read state.
pub(crate) struct StreamReader {
    pub(crate) open: OpenStream,
    pub(crate) checker: EventChecker,
    splitter: EventSplitter,
    /// What is wrong with the next event, once those before it were returned.
    flaw: Option<EventFlaw>,
    /// When the last complete event arrived, or the stream was opened.
    pub(crate) last_at: Instant,
    /// Resolves to the cause when the stream must end even if data still arrives. Shared by all reads, so that
    /// they don't set up its timer and watches again.
    cutoff: BoxFuture<&'static str>,
    held_bytes: ExchangeBytes,
    /// Byte budget charge for the incomplete event.
    partial: ByteGuard,
}

impl StreamReader {
    /// A reader of a stream whose events go through a checker.
    pub(crate) fn new(
        open: OpenStream,
        checker: EventChecker,
        cutoff: BoxFuture<&'static str>,
        held_bytes: ExchangeBytes,
    ) -> Self {
        let (splitter, last_at) = (EventSplitter::default(), Instant::now());
        let partial = held_bytes.empty_guard();
        Self { open, checker, splitter, flaw: None, last_at, cutoff, held_bytes, partial }
    }

    /// Restarts stall detection when the caller reads again. With a byte budget the caller can pause the stream,
    /// and that pause must not count as the engine's.
    pub(crate) fn reset_stall_timer(&mut self) {
        if self.held_bytes.limits().is_some() {
            self.last_at = Instant::now();
        }
    }

    /// Reads until at least one event is complete. Returns `None` if nothing arrived by `until`; the stream stays
    /// usable.
    ///
    /// Cancel-safe: dropping the future loses no data.
    pub(crate) async fn read(&mut self, until: Option<Instant>) -> Option<ReadOutcome> {
        if let Some(flaw) = self.flaw {
            return Some(ReadOutcome::Broken(flaw.to_string()));
        }
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
                cause = &mut self.cutoff => return Some(ReadOutcome::Broken(cause.to_owned())),
                () = &mut timer => return None,
            };
            let outcome = self.handle_frame(frame);
            let partial = self.splitter.len() as u64;
            if outcome.is_some() || !self.partial.try_resize(partial) {
                self.partial.resize(partial);
            }
            if let Some(outcome) = outcome {
                return Some(outcome);
            }
            self.held_bytes.wait_for_capacity().await;
        }
    }

    /// Processes a frame; `None` while no event is complete.
    fn handle_frame(
        &mut self,
        frame: Option<Result<Frame<Bytes>, BoxError>>,
    ) -> Option<ReadOutcome> {
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Some(ReadOutcome::Broken(error.to_string())),
            None if self.splitter.is_empty() => return Some(ReadOutcome::End),
            None => {
                return Some(ReadOutcome::Broken("the stream ended within an event".to_owned()));
            }
        };
        self.splitter.push(&frame.into_data().ok()?);
        if self.splitter.is_too_long() {
            return Some(ReadOutcome::Broken("an event exceeds the maximum length".to_owned()));
        }
        let (events, count) = self.take_events();
        match (count, self.flaw) {
            (0, Some(flaw)) => Some(ReadOutcome::Broken(flaw.to_string())),
            (0, None) => None,
            (_, _) => Some(ReadOutcome::Events(events, count)),
        }
    }

    /// Takes the complete events that go to the caller, and counts them.
    ///
    /// Those before a wrong event go there too: the stream is resumed after the last event that the caller has.
    fn take_events(&mut self) -> (Bytes, u64) {
        let mut events = BytesMut::new();
        let mut count = 0;
        while let Some(event) = self.splitter.next_event() {
            if let Err(flaw) = self.checker.admit(&event) {
                self.flaw = Some(flaw);
                break;
            }
            self.last_at = Instant::now();
            count += 1;
            events.extend_from_slice(&event.bytes);
        }
        (events.freeze(), count)
    }
}
