//! HTTP servers: one task for each connection.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::body::ResponseBody;
use crate::held_bytes::ByteBudget;
use crate::held_stream::CallerConnection;
use crate::stack::{BoxFuture, NetListener, NetStream};

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

type HandlerFn = dyn Fn(Request<Incoming>) -> BoxFuture<Response<ResponseBody>> + Send + Sync;

/// What a server does with each request.
#[derive(Clone)]
pub struct HttpHandler {
    run: Arc<HandlerFn>,
}

impl fmt::Debug for HttpHandler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HttpHandler")
    }
}

/// Makes a handler of an asynchronous closure.
pub fn handler<F, R>(run: F) -> HttpHandler
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    HttpHandler { run: Arc::new(move |request| Box::pin(run(request))) }
}

/// Limits that protect a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections served at once; further ones wait in the backlog.
    pub max_connections: usize,
    /// Time to receive a request head, counted from the end of the exchange before it.
    pub header_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self { max_connections: 4096, header_timeout: Duration::from_secs(5) }
    }
}

/// Serves until `cancel`; then lets the open connections finish their exchange.
pub async fn serve_http(
    listener: NetListener,
    limits: ServerLimits,
    handler: HttpHandler,
    cancel: CancellationToken,
) {
    let (_sender, limits) = watch::channel(limits);
    serve_http_reloadable(listener, limits, handler, cancel).await;
}

/// As [`serve_http`], with limits that may change; each new connection takes those in force.
///
/// The number of connections is the one of the start.
pub async fn serve_http_reloadable(
    listener: NetListener,
    limits: watch::Receiver<ServerLimits>,
    handler: HttpHandler,
    cancel: CancellationToken,
) {
    serve_http_with_budget(listener, limits, handler, None, cancel).await;
}

/// As [`serve_http_reloadable`], with a budget of bytes held for callers.
///
/// What a caller leaves unread is charged to the exchange that the handler opens with the request's
/// [`CallerConnection`], and one that reads nothing for too long is cut off.
pub async fn serve_http_with_budget(
    mut listener: NetListener,
    limits: watch::Receiver<ServerLimits>,
    handler: HttpHandler,
    budget: Option<ByteBudget>,
    cancel: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(limits.borrow().max_connections));
    let tracker = tokio_util::task::TaskTracker::new();
    loop {
        let permit = tokio::select! {
            permit = Arc::clone(&permits).acquire_owned() => permit,
            () = cancel.cancelled() => break,
        };
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            () = cancel.cancelled() => break,
        };
        let (Ok(permit), Some(stream)) = (permit, stream) else {
            break;
        };
        let limits = *limits.borrow();
        let caller = budget.as_ref().map(CallerConnection::new);
        let (handler, cancel) = (handler.clone(), cancel.clone());
        tracker.spawn(async move {
            match caller {
                None => serve_connection(stream, limits, handler, cancel).await,
                Some(caller) => {
                    let stream = caller.watch(stream);
                    let handler = introduce(caller.clone(), handler);
                    tokio::select! {
                        () = serve_connection(stream, limits, handler, cancel) => {}
                        // Dropping the connection ends whatever runs for it.
                        () = caller.closing() => {}
                    }
                }
            }
            drop(permit);
        });
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

/// Adds the connection to the extensions of its requests.
fn introduce(caller: CallerConnection, handler: HttpHandler) -> HttpHandler {
    HttpHandler {
        run: Arc::new(move |mut request| {
            request.extensions_mut().insert(caller.clone());
            (handler.run)(request)
        }),
    }
}

async fn serve_connection(
    stream: NetStream,
    limits: ServerLimits,
    handler: HttpHandler,
    cancel: CancellationToken,
) {
    let service = service_fn(move |request| {
        let answer = (handler.run)(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = cancel.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!("event=connection_ended error=\"{error}\"");
    }
}
