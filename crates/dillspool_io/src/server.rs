//! HTTP servers with one task per connection.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::body::ResponseBody;
use crate::byte_budget::ByteBudget;
use crate::metered_stream::CallerConnection;
use crate::stack::{BoxFuture, NetListener, NetStream};

/// Largest connection buffer; it bounds the size of the request headers.
const MAX_HEADER_BYTES: usize = 32 * 1024;

/// Share of the connections, one in eight, that are kept free for new ones.
const RESERVED_DIVISOR: usize = 8;

/// Pause after listening on an address has failed.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Number of tokens from which on those of connections that have ended are removed.
const MAX_TOKENS: usize = 8192;

type HandlerFn = dyn Fn(Request<Incoming>) -> BoxFuture<Response<ResponseBody>> + Send + Sync;

/// Asynchronous function that a server calls for each request.
#[derive(Clone)]
pub struct HttpHandler {
    run: Arc<HandlerFn>,
}

impl fmt::Debug for HttpHandler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HttpHandler")
    }
}

/// Creates a handler from an asynchronous closure.
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
    /// Maximum number of concurrent connections; others wait in the listen backlog. Near it, the
    /// oldest connections are closed as soon as they have no exchange in progress.
    pub max_connections: usize,
    /// Time to receive the request headers, counted from the end of the previous exchange.
    pub header_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self { max_connections: 4096, header_timeout: Duration::from_secs(5) }
    }
}

/// Observes the new connections of a server, and decides when it accepts none.
///
/// While it accepts none, it does not listen: a caller whose connection is refused sends no request, so its retry
/// at another host is safe and costs the overloaded link and processor nothing.
#[derive(Clone)]
pub struct ConnectionGate {
    /// Called for each accepted connection; returns for how long the server stops listening after it.
    pub record_accept: Arc<dyn Fn() -> Option<Duration> + Send + Sync>,
    /// Called with the time from accepting a connection to the first run of its task.
    pub record_start: Arc<dyn Fn(Duration) + Send + Sync>,
    /// Listens again after a pause.
    pub listen: Arc<dyn Fn() -> BoxFuture<io::Result<NetListener>> + Send + Sync>,
}

impl ConnectionGate {
    /// Listens again after `pause`; `None` if the server is cancelled before.
    async fn listen_after(
        &self,
        pause: Duration,
        cancel: &CancellationToken,
    ) -> Option<NetListener> {
        let (mut delay, mut has_failed) = (pause, false);
        loop {
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = cancel.cancelled() => return None,
            }
            match (self.listen)().await {
                Ok(listener) => return Some(listener),
                // The previous socket may still be closing.
                Err(error) if !has_failed => log::warn!("event=listen_failed error=\"{error}\""),
                Err(_same) => {}
            }
            (delay, has_failed) = (LISTEN_RETRY_DELAY, true);
        }
    }
}

impl fmt::Debug for ConnectionGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ConnectionGate")
    }
}

/// What protects a server beyond its limits.
#[derive(Clone, Debug, Default)]
pub struct ServerGuards {
    /// Budget for bytes held for callers.
    pub budget: Option<ByteBudget>,
    /// Gate for new connections.
    pub gate: Option<ConnectionGate>,
}

/// Serves until `cancel`, then waits for the exchanges in progress to finish.
pub async fn serve_http(
    listener: NetListener,
    limits: ServerLimits,
    handler: HttpHandler,
    cancel: CancellationToken,
) {
    let (_sender, limits) = watch::channel(limits);
    serve_http_reloadable(listener, limits, handler, cancel).await;
}

/// As [`serve_http`], with limits that can change at run time; a new connection uses the current ones.
///
/// Changes of [`ServerLimits::max_connections`] have no effect.
pub async fn serve_http_reloadable(
    listener: NetListener,
    limits: watch::Receiver<ServerLimits>,
    handler: HttpHandler,
    cancel: CancellationToken,
) {
    serve_http_guarded(listener, limits, handler, ServerGuards::default(), cancel).await;
}

/// As [`serve_http_reloadable`], with a budget for bytes held for callers and a gate for new connections.
///
/// Bytes that a caller has not read are charged to the exchange that the handler registers with the
/// request's [`CallerConnection`]. The connection of a caller that reads nothing for the stall timeout is
/// closed.
pub async fn serve_http_guarded(
    mut listener: NetListener,
    limits: watch::Receiver<ServerLimits>,
    handler: HttpHandler,
    guards: ServerGuards,
    cancel: CancellationToken,
) {
    let max_connections = limits.borrow().max_connections;
    let permits = Arc::new(Semaphore::new(max_connections));
    let mut open = OpenConnections::default();
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
        let pause = guards.gate.as_ref().and_then(|gate| (gate.record_accept)());
        open.close_oldest(permits.available_permits(), max_connections / RESERVED_DIVISOR);
        let limits = *limits.borrow();
        let caller = guards.budget.as_ref().map(CallerConnection::new);
        let started = guards.gate.clone().map(|gate| (gate, Instant::now()));
        let (handler, connection_cancel) = (handler.clone(), open.add(&cancel));
        tracker.spawn(async move {
            let cancel = connection_cancel;
            let _ended = cancel.clone().drop_guard();
            if let Some((gate, accepted_at)) = started {
                (gate.record_start)(accepted_at.elapsed());
            }
            match caller {
                None => serve_connection(stream, limits, handler, cancel).await,
                Some(caller) => {
                    let stream = caller.meter(stream);
                    let handler = with_caller_connection(caller.clone(), handler);
                    tokio::select! {
                        () = serve_connection(stream, limits, handler, cancel) => {}
                        // Dropping the connection cancels the handler that runs for it.
                        () = caller.closing() => {}
                    }
                }
            }
            drop(permit);
        });
        if let (Some(gate), Some(pause)) = (&guards.gate, pause) {
            drop(listener);
            let Some(reopened) = gate.listen_after(pause, &cancel).await else {
                return wait_for_connections(tracker).await;
            };
            listener = reopened;
        }
    }
    drop(listener);
    wait_for_connections(tracker).await;
}

async fn wait_for_connections(tracker: tokio_util::task::TaskTracker) {
    tracker.close();
    tracker.wait().await;
}

/// Tokens that close the open connections of a server gracefully, oldest first.
#[derive(Debug, Default)]
struct OpenConnections {
    tokens: VecDeque<CancellationToken>,
}

impl OpenConnections {
    /// Adds a connection; its token is cancelled when it ends, or to end it.
    fn add(&mut self, cancel: &CancellationToken) -> CancellationToken {
        let token = cancel.child_token();
        self.tokens.push_back(token.clone());
        token
    }

    /// Closes the oldest connections if there is room for fewer than `reserved` new ones. Callers that
    /// open many and keep them idle must not keep others out.
    fn close_oldest(&mut self, room: usize, reserved: usize) {
        let mut missing = reserved.saturating_sub(room);
        while let Some(oldest) = self.tokens.front() {
            if !oldest.is_cancelled() {
                if missing == 0 {
                    break;
                }
                missing -= 1;
                oldest.cancel();
            }
            self.tokens.pop_front();
        }
        if self.tokens.len() > MAX_TOKENS {
            self.tokens.retain(|token| !token.is_cancelled());
        }
    }
}

/// Wraps a handler to add the connection to the extensions of its requests.
fn with_caller_connection(caller: CallerConnection, handler: HttpHandler) -> HttpHandler {
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
        let response = (handler.run)(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(MAX_HEADER_BYTES)
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
