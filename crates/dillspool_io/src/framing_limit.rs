//! Bounds the bytes of a response that carry no data: heads, interim responses and the framing of chunks.
//!
//! A faulty server may send such bytes without end. A parser drops them as they come, so they take no memory, but
//! they keep the link and the processor busy until the deadline.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

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
        NetStream::new(FramingLimit { inner: stream, counter: self.clone(), limit })
    }
}

struct FramingLimit {
    inner: NetStream,
    counter: FramingCounter,
    limit: usize,
}

impl AsyncRead for FramingLimit {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        std::task::ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let count = buf.filled().len().saturating_sub(filled);
        let read = self.counter.bytes.fetch_add(count, Ordering::Relaxed) + count;
        if read > self.limit {
            let reason = format!("{read} bytes without any part of a response");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FramingLimit {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
