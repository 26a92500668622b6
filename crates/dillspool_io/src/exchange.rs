//! One HTTP exchange on a dedicated connection.
//!
//! A connection pool that resends a request can run it twice, and a late response on a reused connection
//! can be taken for the response to a later request and reach the wrong caller. A connection that is closed
//! after one exchange allows neither. `docs/design/platform_site.md` gives its cost.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;

use crate::byte_budget::{ExchangeBytes, StalledSide};
use crate::client::HttpError;
use crate::framing_limit::FramingCounter;
use crate::metered_stream::MeteredStream;
use crate::stack::NetStack;

/// Largest buffer of a connection in each direction if a [`ByteBudget`](crate::ByteBudget) applies.
///
/// The response headers must fit into it. It is also the largest chunk in which a response is forwarded; a
/// caller that stops reading leaves up to four chunks unread.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// Largest number of bytes that are read without any part of a response, with and without a byte budget: some
/// buffers full, since what is buffered is not delivered yet.
const MAX_FRAMING_BYTES: usize = 4 * MAX_BUFFER_BYTES;
const MAX_UNBUDGETED_FRAMING_BYTES: usize = 1024 * 1024;

/// Closes the connection on drop.
#[derive(Debug)]
struct ConnectionGuard {
    task: JoinHandle<()>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Body of a response; dropping it closes the connection, which tells the server to stop.
#[derive(Debug)]
pub struct ExchangeBody {
    incoming: Incoming,
    framing: FramingCounter,
    _guard: ConnectionGuard,
}

impl Body for ExchangeBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = std::task::ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        self.framing.reset();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// A body sent in chunks of limited size, so that hyper does not copy all of it into the connection's buffer.
struct ChunkedBody {
    body: Full<Bytes>,
    remainder: Bytes,
    max_chunk_bytes: usize,
}

impl Body for ChunkedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remainder.is_empty() {
            match std::task::ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => self.remainder = frame.into_data().unwrap_or_default(),
                end => return Poll::Ready(end),
            }
        }
        let length = self.remainder.len().min(self.max_chunk_bytes);
        Poll::Ready(Some(Ok(Frame::data(self.remainder.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.remainder.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.body.size_hint().exact().unwrap_or_default();
        SizeHint::with_exact(left + self.remainder.len() as u64)
    }
}

/// Sends one request on a new connection and returns once the response headers have arrived.
///
/// There is no timeout for the response: the caller has to set one. Dropping the future closes the
/// connection.
///
/// # Errors
///
/// [`HttpError::NotSent`] when no connection was made within `connect_timeout`, so the server did not receive
/// the request; [`HttpError::Lost`] when the request may have run.
pub async fn exchange_once(
    stack: &NetStack,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    connect_timeout: Duration,
) -> Result<Response<ExchangeBody>, HttpError> {
    exchange_with_budget(stack, address, request, connect_timeout, &ExchangeBytes::default()).await
}

/// As [`exchange_once`], with a byte budget.
///
/// Bytes of the request that the server has not read are charged to the caller's exchange. The exchange
/// fails if the server reads nothing for the stall timeout.
///
/// # Errors
///
/// As [`exchange_once`].
pub async fn exchange_with_budget(
    stack: &NetStack,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    connect_timeout: Duration,
    exchange_bytes: &ExchangeBytes,
) -> Result<Response<ExchangeBody>, HttpError> {
    let not_sent = |reason: String| HttpError::NotSent { address, reason };
    let stream = match tokio::time::timeout(connect_timeout, stack.connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(error.to_string())),
        Err(_elapsed) => return Err(not_sent(format!("no connection within {connect_timeout:?}"))),
    };
    let mut builder = http1::Builder::new();
    let framing = FramingCounter::default();
    let (stream, max_chunk_bytes) = if exchange_bytes.limits().is_some() {
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let exchange = Arc::new(Mutex::new(exchange_bytes.clone()));
        let stream = framing.limit(stream, MAX_FRAMING_BYTES);
        (MeteredStream::wrap(stream, exchange, StalledSide::Backend), MAX_BUFFER_BYTES)
    } else {
        (framing.limit(stream, MAX_UNBUDGETED_FRAMING_BYTES), usize::MAX)
    };
    let request =
        request.map(|body| ChunkedBody { body, remainder: Bytes::new(), max_chunk_bytes });
    let (mut sender, connection) = match builder.handshake(TokioIo::new(stream)).await {
        Ok(parts) => parts,
        Err(error) => return Err(not_sent(error.to_string())),
    };
    let task = tokio::spawn(async move {
        // The caller gets the error from the exchange.
        if let Err(error) = connection.await {
            log::debug!("event=exchange_connection_ended address={address} error=\"{error}\"");
        }
    });
    let guard = ConnectionGuard { task };
    match sender.send_request(request).await {
        Ok(response) => {
            framing.reset();
            Ok(response.map(|incoming| ExchangeBody { incoming, framing, _guard: guard }))
        }
        Err(error) => Err(HttpError::Lost { address, reason: error_chain(&error) }),
    }
}

fn error_chain(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
