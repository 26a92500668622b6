//! Connections that charge unsent bytes to a budget and fail when their peer stops reading.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;
use tokio_util::sync::CancellationToken;

use crate::byte_budget::{ByteBudget, ByteGuard, ExchangeBytes, StalledSide};
use crate::stack::NetStream;

/// A caller's connection and its current exchange.
///
/// The server adds it to the extensions of each request, and the handler registers the exchange with it.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    budget: ByteBudget,
    closing: CancellationToken,
    current: Arc<Mutex<ExchangeBytes>>,
}

impl CallerConnection {
    pub(crate) fn new(budget: &ByteBudget) -> Self {
        let (closing, current) = (CancellationToken::new(), Arc::default());
        Self { budget: budget.clone(), closing, current }
    }

    /// Returns the budget of the host.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Registers a new exchange, which becomes the connection's current one.
    pub fn begin_exchange(&self, id: &str) -> ExchangeBytes {
        let exchange = self.budget.open_exchange(id, self.closing.clone());
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = exchange.clone();
        exchange
    }

    /// Waits until the budget aborts the exchange for lack of capacity.
    pub(crate) async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// Wraps the connection to charge its unsent bytes to the current exchange.
    pub(crate) fn meter(&self, stream: NetStream) -> NetStream {
        MeteredStream::wrap(stream, Arc::clone(&self.current), StalledSide::Caller)
    }
}

/// A connection whose writes are charged while they are pending, and time out when the peer reads nothing.
pub(crate) struct MeteredStream {
    inner: NetStream,
    side: StalledSide,
    exchange: Arc<Mutex<ExchangeBytes>>,
    /// Set while the peer does not accept the bytes to be written.
    pending: Option<PendingWrite>,
}

struct PendingWrite {
    exchange: ExchangeBytes,
    guard: ByteGuard,
    timeout: Pin<Box<Sleep>>,
}

impl MeteredStream {
    /// Wraps a connection to charge its unsent bytes to its current exchange.
    pub(crate) fn wrap(
        inner: NetStream,
        exchange: Arc<Mutex<ExchangeBytes>>,
        side: StalledSide,
    ) -> NetStream {
        NetStream::new(Self { inner, side, exchange, pending: None })
    }

    /// Charges the `unsent` bytes of a pending write; ready with an error after the stall timeout.
    fn poll_write_timeout(&mut self, unsent: usize, cx: &mut Context<'_>) -> Poll<io::Error> {
        if self.pending.is_none() {
            let exchange = self.exchange.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let Some(limits) = exchange.limits() else { return Poll::Pending };
            let (guard, timeout) =
                (exchange.empty_guard(), Box::pin(tokio::time::sleep(limits.stall_timeout)));
            self.pending = Some(PendingWrite { exchange, guard, timeout });
        }
        let Some(pending) = &mut self.pending else { return Poll::Pending };
        pending.guard.resize(unsent as u64);
        std::task::ready!(pending.timeout.as_mut().poll(cx));
        pending.exchange.record_stall(self.side);
        let reason = format!("the {} read nothing within the stall timeout", self.side.name());
        Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, reason))
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_write(cx, buf) {
            Poll::Pending => self.poll_write_timeout(buf.len(), cx).map(Err),
            ready @ Poll::Ready(_) => {
                self.pending = None;
                ready
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
