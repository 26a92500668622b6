//! Connections whose reads and writes are reported to an observer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::stack::NetStream;

type ReadFn = dyn Fn(usize) -> io::Result<()> + Send + Sync;
type WriteFn = dyn Fn(usize) + Send + Sync;

/// A connection with functions that are called with the bytes of each read and write.
pub(crate) struct ObservedStream {
    inner: NetStream,
    /// Fails the connection by its error.
    on_read: Box<ReadFn>,
    on_write: Box<WriteFn>,
}

impl ObservedStream {
    /// Wraps a connection.
    pub(crate) fn wrap(
        inner: NetStream,
        on_read: impl Fn(usize) -> io::Result<()> + Send + Sync + 'static,
        on_write: impl Fn(usize) + Send + Sync + 'static,
    ) -> NetStream {
        let (on_read, on_write) = (Box::new(on_read), Box::new(on_write));
        NetStream::new(Self { inner, on_read, on_write })
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        std::task::ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        Poll::Ready((self.on_read)(buf.filled().len().saturating_sub(filled)))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = std::task::ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        (self.on_write)(count);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
