//! Splits the bytes of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};
use memchr::memchr;

use crate::fields::EventFields;

/// Longest event that is accepted. An event of 64 tokens has a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// May stand at the beginning of a stream; no part of its first field.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// A complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// What its fields say of its position.
    pub fields: EventFields,
    /// Its unmodified bytes.
    pub bytes: Bytes,
}

/// Buffers bytes until an event is complete.
///
/// An incomplete event is never returned.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of leading bytes known to contain no end of an event.
    scanned: usize,
    /// Whether an event was returned.
    has_begun: bool,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let text = if std::mem::replace(&mut self.has_begun, true) {
            &bytes[..]
        } else {
            bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(&bytes)
        };
        Some(StreamEvent { fields: EventFields::read(text), bytes })
    }

    /// Whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffered event exceeds the maximum length.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// End of the first event: a line followed by an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut at = self.scanned;
        while let Some(offset) = memchr(b'\n', &bytes[at..]) {
            let line_end = at + offset + 1;
            match bytes.get(line_end..) {
                Some([b'\n', ..]) => return Some(line_end + 1),
                Some([b'\r', b'\n', ..]) => return Some(line_end + 2),
                Some([] | [b'\r']) | None => break,
                Some([_, ..]) => at = line_end,
            }
        }
        self.scanned = at;
        None
    }
}
