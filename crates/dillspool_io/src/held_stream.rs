//! Connections whose unread bytes are charged, and which end when their peer stops reading.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;
use tokio_util::sync::CancellationToken;

use crate::held_bytes::{ByteBudget, ByteGuard, ExchangeBytes, StalledSide};
use crate::stack::NetStream;

/// A caller's connection and the exchange that it carries now.
///
/// The server adds it to each request's extensions; the handler opens the exchange's account with it.
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

    /// The budget of the host.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Opens the account of the exchange that begins now.
    pub fn begin_exchange(&self, id: &str) -> ExchangeBytes {
        let exchange = self.budget.open_exchange(id, self.closing.clone());
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = exchange.clone();
        exchange
    }

    /// Waits until the exchange has to end for want of room.
    pub(crate) async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// The connection with its unread bytes charged.
    pub(crate) fn watch(&self, stream: NetStream) -> NetStream {
        HeldStream::wrap(stream, Arc::clone(&self.current), StalledSide::Caller)
    }
}

/// A connection whose writer notices when nothing is read at the other end.
pub(crate) struct HeldStream {
    inner: NetStream,
    side: StalledSide,
    exchange: Arc<Mutex<ExchangeBytes>>,
    /// While the peer has not taken what is to be written.
    blocked: Option<BlockedWrite>,
}

struct BlockedWrite {
    exchange: ExchangeBytes,
    waiting: ByteGuard,
    limit: Pin<Box<Sleep>>,
}

impl HeldStream {
    /// Charges a connection's unread bytes to the exchange that it carries.
    pub(crate) fn wrap(
        inner: NetStream,
        exchange: Arc<Mutex<ExchangeBytes>>,
        side: StalledSide,
    ) -> NetStream {
        NetStream::new(Self { inner, side, exchange, blocked: None })
    }

    /// The peer takes nothing more of `left` bytes; ready with an error once that lasts too long.
    fn poll_blocked(&mut self, left: usize, cx: &mut Context<'_>) -> Poll<io::Error> {
        if self.blocked.is_none() {
            let exchange = self.exchange.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let Some(terms) = exchange.limits() else { return Poll::Pending };
            let (waiting, limit) =
                (exchange.empty_guard(), Box::pin(tokio::time::sleep(terms.stall_timeout)));
            self.blocked = Some(BlockedWrite { exchange, waiting, limit });
        }
        let Some(blocked) = &mut self.blocked else { return Poll::Pending };
        blocked.waiting.resize(left as u64);
        std::task::ready!(blocked.limit.as_mut().poll(cx));
        blocked.exchange.record_stall(self.side);
        let reason = format!("the {} took nothing of what was sent", self.side.name());
        Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, reason))
    }
}

impl AsyncRead for HeldStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for HeldStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_write(cx, buf) {
            Poll::Pending => self.poll_blocked(buf.len(), cx).map(Err),
            ready @ Poll::Ready(_) => {
                self.blocked = None;
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
