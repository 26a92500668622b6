//! One HTTP exchange on a connection of its own.
//!
//! A pool that resends by itself, or answers that arrive in the place of later ones, would let a
//! request run twice or give a caller somebody else's answer. A connection that serves one
//! exchange and closes can do neither; `docs/design/platform_site.md` has its price.

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

use crate::client::HttpError;
use crate::held_bytes::{ExchangeBytes, StalledSide};
use crate::held_stream::HeldStream;
use crate::stack::NetStack;

/// Bytes of an exchange's connection that are buffered in either direction at most, where bytes held
/// are limited; the head of an answer must fit. It is also the largest part in which an answer is
/// passed on, and a caller that stops reading leaves up to four parts.
const BUFFER_BYTES: usize = 16 * 1024;

/// Closes the connection when the last part of the exchange is dropped.
#[derive(Debug)]
struct ConnectionGuard {
    task: JoinHandle<()>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Body of an answer; dropping it closes the connection, which tells the server to stop.
#[derive(Debug)]
pub struct ExchangeBody {
    incoming: Incoming,
    _guard: ConnectionGuard,
}

impl Body for ExchangeBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.incoming).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// A body in parts of a limited size, so that not all of it is copied into the connection's buffer.
struct PartsBody {
    body: Full<Bytes>,
    rest: Bytes,
    part_bytes: usize,
}

impl Body for PartsBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            match std::task::ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => self.rest = frame.into_data().unwrap_or_default(),
                end => return Poll::Ready(end),
            }
        }
        let length = self.rest.len().min(self.part_bytes);
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.body.size_hint().exact().unwrap_or_default();
        SizeHint::with_exact(left + self.rest.len() as u64)
    }
}

/// Sends one request on a new connection and returns once the head of its answer is there.
///
/// The caller bounds the whole wait; dropping the future closes the connection.
///
/// # Errors
///
/// [`HttpError::NotSent`] when no connection was made within `connect_limit`, so the server saw
/// nothing; [`HttpError::Lost`] when the request may have run.
pub async fn exchange_once(
    stack: &NetStack,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    connect_limit: Duration,
) -> Result<Response<ExchangeBody>, HttpError> {
    exchange_with_budget(stack, address, request, connect_limit, &ExchangeBytes::default()).await
}

/// As [`exchange_once`], as a part of a caller's exchange: what the server does not read of the request
/// is charged to it, and a server that reads nothing for too long is given up.
///
/// # Errors
///
/// As [`exchange_once`].
pub async fn exchange_with_budget(
    stack: &NetStack,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    connect_limit: Duration,
    held: &ExchangeBytes,
) -> Result<Response<ExchangeBody>, HttpError> {
    let not_sent = |reason: String| HttpError::NotSent { address, reason };
    let stream = match tokio::time::timeout(connect_limit, stack.connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(error.to_string())),
        Err(_elapsed) => return Err(not_sent(format!("no connection within {connect_limit:?}"))),
    };
    let mut builder = http1::Builder::new();
    let (stream, part_bytes) = if held.limits().is_some() {
        builder.max_buf_size(BUFFER_BYTES);
        let exchange = Arc::new(Mutex::new(held.clone()));
        (HeldStream::wrap(stream, exchange, StalledSide::Backend), BUFFER_BYTES)
    } else {
        (stream, usize::MAX)
    };
    let request = request.map(|body| PartsBody { body, rest: Bytes::new(), part_bytes });
    let (mut sender, connection) = match builder.handshake(TokioIo::new(stream)).await {
        Ok(parts) => parts,
        Err(error) => return Err(not_sent(error.to_string())),
    };
    let task = tokio::spawn(async move {
        // The exchange itself reports how the connection failed.
        if let Err(error) = connection.await {
            log::debug!("event=exchange_connection_ended address={address} error=\"{error}\"");
        }
    });
    let guard = ConnectionGuard { task };
    match sender.send_request(request).await {
        Ok(response) => Ok(response.map(|incoming| ExchangeBody { incoming, _guard: guard })),
        Err(error) => Err(HttpError::Lost { address, reason: describe(&error) }),
    }
}

fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
