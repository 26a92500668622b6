//! Splits the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event that is taken, in bytes; one of 64 tokens has some hundred.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A whole event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number, if it carries one.
    pub id: Option<u64>,
    /// Its bytes as they came.
    pub bytes: Bytes,
}

/// Collects bytes until an event is whole.
///
/// An event that breaks off half-way never leaves the splitter.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that hold no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes as they come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        Some(StreamEvent { id: event_id(&bytes), bytes })
    }

    /// Whether no part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Bytes of the event that is not whole yet.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether an event is longer than any real one.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// End of the first event: a line end followed by an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut at = self.scanned;
        while let Some(offset) = bytes[at..].iter().position(|byte| *byte == b'\n') {
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

fn event_id(bytes: &[u8]) -> Option<u64> {
    let line = bytes.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
