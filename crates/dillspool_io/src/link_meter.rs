//! Counts the bytes of a host's connections.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::stack::NetStream;

/// Bytes that a host has sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkBytes {
    /// Bytes written to connections.
    pub sent: u64,
    /// Bytes read from connections.
    pub received: u64,
}

/// Counter of the bytes of all connections of a [`NetStack`](crate::NetStack).
#[derive(Clone, Debug, Default)]
pub struct LinkMeter {
    counts: Arc<LinkCounts>,
}

#[derive(Debug, Default)]
struct LinkCounts {
    sent: AtomicU64,
    received: AtomicU64,
}

impl LinkMeter {
    /// Returns the bytes counted so far.
    pub fn totals(&self) -> LinkBytes {
        LinkBytes {
            sent: self.counts.sent.load(Ordering::Relaxed),
            received: self.counts.received.load(Ordering::Relaxed),
        }
    }

    /// Wraps a connection to count its bytes.
    pub(crate) fn wrap(&self, stream: NetStream) -> NetStream {
        NetStream::new(CountedStream { inner: stream, counts: Arc::clone(&self.counts) })
    }
}

struct CountedStream {
    inner: NetStream,
    counts: Arc<LinkCounts>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let ready = Pin::new(&mut self.inner).poll_read(cx, buf);
        let count = buf.filled().len().saturating_sub(filled);
        self.counts.received.fetch_add(count as u64, Ordering::Relaxed);
        ready
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let ready = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &ready {
            self.counts.sent.fetch_add(*count as u64, Ordering::Relaxed);
        }
        ready
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
