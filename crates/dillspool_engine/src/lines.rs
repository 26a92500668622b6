//! Splits a byte stream into lines of bounded length.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of a line.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// Buffers chunks and returns complete lines.
#[derive(Debug, Default)]
pub struct LineBuffer {
    bytes: BytesMut,
    scanned: usize,
}

impl LineBuffer {
    /// Appends a chunk. Returns `false` if a line exceeds the maximum length, in which case the caller
    /// must abandon the stream.
    #[must_use]
    pub fn push(&mut self, chunk: &Bytes) -> bool {
        self.bytes.extend_from_slice(chunk);
        self.bytes.len() <= MAX_LINE_BYTES || self.bytes[self.scanned..].contains(&b'\n')
    }

    /// Removes and returns the next complete line, without its newline.
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
