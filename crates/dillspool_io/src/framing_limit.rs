//! Bounds the bytes of a response that carry no data: heads, interim responses and the framing of chunks.
//!
//! A faulty server may send such bytes without end. A parser drops them as they come, so they take no memory, but
//! they keep the link and the processor busy until the deadline.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::observed_stream::ObservedStream;
use crate::stack::NetStream;

/// Counts the bytes that a connection has read since the last part of a response was delivered.
#[derive(Clone, Debug, Default)]
pub(crate) struct FramingCounter {
    bytes: Arc<AtomicUsize>,
}

impl FramingCounter {
    /// Records that a part of the response was delivered.
    pub(crate) fn reset(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    /// Wraps a connection; its reads fail once more than `limit` bytes have been read without a delivered part.
    pub(crate) fn limit(&self, stream: NetStream, limit: usize) -> NetStream {
        let bytes = Arc::clone(&self.bytes);
        let on_read = move |count: usize| {
            let read = bytes.fetch_add(count, Ordering::Relaxed) + count;
            if read <= limit {
                return Ok(());
            }
            let reason = format!("{read} bytes without any part of a response");
            Err(io::Error::new(io::ErrorKind::InvalidData, reason))
        };
        ObservedStream::wrap(stream, on_read, |_count| {})
    }
}
