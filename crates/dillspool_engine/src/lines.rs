//! Splits a byte stream into lines of bounded length.

use bytes::{Buf, Bytes, BytesMut};

/// Longest line that is taken, in bytes.
const LINE_LIMIT: usize = 256 * 1024;

/// Collects chunks and gives out whole lines.
#[derive(Debug, Default)]
pub struct LineBuffer {
    bytes: BytesMut,
    scanned: usize,
}

impl LineBuffer {
    /// Adds a chunk; `false` when a line grows past the limit and the stream must be given up.
    #[must_use]
    pub fn push(&mut self, chunk: &Bytes) -> bool {
        self.bytes.extend_from_slice(chunk);
        self.bytes.len() <= LINE_LIMIT || self.bytes[self.scanned..].contains(&b'\n')
    }

    /// The next whole line, without its end.
    pub fn next_line(&mut self) -> Option<Bytes> {
        let found = self.bytes[self.scanned..].iter().position(|byte| *byte == b'\n');
        let Some(offset) = found else {
            self.scanned = self.bytes.len();
            return None;
        };
        let line = self.bytes.split_to(self.scanned + offset).freeze();
        self.bytes.advance(1);
        self.scanned = 0;
        Some(line)
    }
}
