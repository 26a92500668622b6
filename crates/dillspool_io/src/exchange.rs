//! One HTTP exchange on a connection of its own.
//!
//! A pool that resends by itself, or answers that arrive in the place of later ones, would let a
//! request run twice or give a caller somebody else's answer. A connection that serves one
//! exchange and closes can do neither; `docs/design/platform_site.md` has its price.

use std::net::SocketAddr;
use std::pin::Pin;
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
use crate::stack::NetStack;

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
    let not_sent = |reason: String| HttpError::NotSent { address, reason };
    let stream = match tokio::time::timeout(connect_limit, stack.connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(error.to_string())),
        Err(_elapsed) => return Err(not_sent(format!("no connection within {connect_limit:?}"))),
    };
    let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
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
