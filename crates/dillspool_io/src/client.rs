//! HTTP client for the platform and for backend servers.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::rt::ReadBufCursor;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::body::read_body;
use crate::stack::{BoxFuture, NetStack, NetStream};

/// Largest response body that [`HttpClient::call`] reads.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Idle time after which a pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Error of a call; the variant says whether the server may have processed it.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// No connection was made, so the server did not receive the call.
    #[snafu(display(
        "cannot connect to {address}: {reason}; check that the server is running and listening there"
    ))]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// Why the connection attempt failed.
        reason: String,
    },
    /// The server may have processed the call, but no complete response arrived.
    #[snafu(display("no complete response from {address}: {reason}; the call may have run"))]
    Lost {
        /// Address of the server.
        address: SocketAddr,
        /// Why the response is missing or incomplete.
        reason: String,
    },
    /// The server responded with an error status.
    #[snafu(display("{address} responded with status {status}: {text}"))]
    Status {
        /// Address of the server.
        address: SocketAddr,
        /// Status of the response.
        status: StatusCode,
        /// Body of the response.
        text: String,
    },
}

#[derive(Clone)]
struct StackConnector {
    stack: NetStack,
}

impl tower_service::Service<Uri> for StackConnector {
    type Response = ClientStream;
    type Error = io::Error;
    type Future = BoxFuture<io::Result<ClientStream>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let stack = self.stack.clone();
        Box::pin(async move {
            let address = uri
                .authority()
                .and_then(|authority| authority.as_str().parse::<SocketAddr>().ok())
                .ok_or_else(|| io::Error::from(io::ErrorKind::AddrNotAvailable))?;
            let stream = stack.connect(address).await?;
            Ok(ClientStream { inner: TokioIo::new(stream) })
        })
    }
}

struct ClientStream {
    inner: TokioIo<NetStream>,
}

impl Connection for ClientStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl hyper::rt::Read for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl hyper::rt::Write for ClientStream {
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

/// An HTTP/1.1 client over a [`NetStack`].
#[derive(Clone)]
pub struct HttpClient {
    client: Client<StackConnector, Full<Bytes>>,
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HttpClient")
    }
}

impl HttpClient {
    /// Creates a client that keeps connections open and reuses them.
    pub fn pooled(stack: &NetStack) -> Self {
        Self::with_max_idle(stack, usize::MAX)
    }

    /// Creates a client that opens a new connection for each call.
    ///
    /// The server may close a reused connection while a call is being written to it, which leaves unknown
    /// whether the call ran. Calls that must not be repeated therefore use new connections.
    pub fn single_use(stack: &NetStack) -> Self {
        Self::with_max_idle(stack, 0)
    }

    fn with_max_idle(stack: &NetStack, max_idle: usize) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(max_idle)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(StackConnector { stack: stack.clone() });
        Self { client }
    }

    /// Sends a request whose URI is a path, and returns once the response headers have arrived.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotSent`] when no connection was made, else [`HttpError::Lost`].
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let uri = Uri::builder().scheme("http").authority(address.to_string()).path_and_query(path);
        *request.uri_mut() = match uri.build() {
            Ok(uri) => uri,
            Err(error) => {
                return NotSentSnafu { address, reason: error.to_string() }.fail();
            }
        };
        self.client.request(request).await.map_err(|error| call_error(address, &error))
    }

    /// Sends a JSON body and reads a JSON response, all within `timeout`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`]; [`HttpError::Status`] when the status is not 2xx.
    pub async fn call<Q: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &Q,
        timeout: Duration,
    ) -> Result<R, HttpError> {
        let lost = |reason: String| HttpError::Lost { address, reason };
        let body = serde_json::to_vec(body).map_err(|error| lost(error.to_string()))?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| lost(error.to_string()))?;
        let exchange = async {
            let response = self.send(address, request).await?;
            let status = response.status();
            let bytes = read_body(response.into_body(), MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| lost(error.to_string()))?;
            if !status.is_success() {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                return StatusSnafu { address, status, text }.fail();
            }
            serde_json::from_slice(&bytes).map_err(|error| lost(error.to_string()))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(response) => response,
            Err(_elapsed) => Err(lost(format!("no response within {timeout:?}"))),
        }
    }
}

fn call_error(address: SocketAddr, error: &ClientError) -> HttpError {
    let mut reason = error.to_string();
    if let Some(source) = std::error::Error::source(error) {
        reason = format!("{reason}: {source}");
    }
    if error.is_connect() {
        HttpError::NotSent { address, reason }
    } else {
        HttpError::Lost { address, reason }
    }
}
