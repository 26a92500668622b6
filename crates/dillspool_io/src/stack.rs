//! Interface through which a process opens and accepts connections.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::link_meter::LinkMeter;

/// Boxed future, as returned by the closures of the interface structs.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Both directions of a connection.
trait Duplex: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Duplex for T {}

/// A connection, independent of its transport.
pub struct NetStream {
    inner: Box<dyn Duplex>,
}

impl NetStream {
    /// Wraps a bidirectional byte stream.
    pub fn new(inner: impl AsyncRead + AsyncWrite + Send + Unpin + 'static) -> Self {
        Self { inner: Box::new(inner) }
    }
}

impl fmt::Debug for NetStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NetStream")
    }
}

impl AsyncRead for NetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        Pin::new(&mut *self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for NetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &[u8],
    ) -> std::task::Poll<io::Result<usize>> {
        Pin::new(&mut *self.inner).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        Pin::new(&mut *self.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        Pin::new(&mut *self.inner).poll_shutdown(cx)
    }
}

/// Listener on one address; dropping it stops listening.
#[derive(Debug)]
pub struct NetListener {
    local: SocketAddr,
    incoming: mpsc::Receiver<NetStream>,
    meter: LinkMeter,
}

impl NetListener {
    /// Creates a listener from a channel of accepted connections.
    pub fn new(local: SocketAddr, incoming: mpsc::Receiver<NetStream>) -> Self {
        Self { local, incoming, meter: LinkMeter::default() }
    }

    /// Returns the address that clients connect to.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Waits for the next connection; `None` once the channel is closed.
    pub async fn accept(&mut self) -> Option<NetStream> {
        self.incoming.recv().await.map(|stream| self.meter.wrap(stream))
    }
}

type ConnectFn = dyn Fn(SocketAddr) -> BoxFuture<io::Result<NetStream>> + Send + Sync;
type ListenFn = dyn Fn(SocketAddr) -> BoxFuture<io::Result<NetListener>> + Send + Sync;

/// Opens connections and listens on addresses.
#[derive(Clone)]
pub struct NetStack {
    connect: Arc<ConnectFn>,
    listen: Arc<ListenFn>,
    meter: LinkMeter,
}

impl fmt::Debug for NetStack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NetStack")
    }
}

impl NetStack {
    /// Creates a stack from its two operations.
    pub fn new(
        connect: impl Fn(SocketAddr) -> BoxFuture<io::Result<NetStream>> + Send + Sync + 'static,
        listen: impl Fn(SocketAddr) -> BoxFuture<io::Result<NetListener>> + Send + Sync + 'static,
    ) -> Self {
        let meter = LinkMeter::default();
        Self { connect: Arc::new(connect), listen: Arc::new(listen), meter }
    }

    /// Returns the TCP stack of the system.
    pub fn tcp() -> Self {
        Self::tcp_with_unsent_limit(None)
    }

    /// Returns the TCP stack of the system, with a limit on the unsent bytes in the kernel's send buffer
    /// (`TCP_NOTSENT_LOWAT`).
    ///
    /// Without a limit, the kernel buffers megabytes for a peer that reads nothing, and reports the socket
    /// as writable again only after a third of them has been read, so a slow reader looks like one that
    /// reads nothing.
    pub fn tcp_with_unsent_limit(limit_bytes: Option<u32>) -> Self {
        Self::new(
            move |to| Box::pin(connect_tcp(to, limit_bytes)),
            move |at| Box::pin(listen_tcp(at, limit_bytes)),
        )
    }

    /// Opens a connection to an address.
    pub async fn connect(&self, to: SocketAddr) -> io::Result<NetStream> {
        (self.connect)(to).await.map(|stream| self.meter.wrap(stream))
    }

    /// Listens on an address; port 0 lets the system choose a port.
    pub async fn listen(&self, at: SocketAddr) -> io::Result<NetListener> {
        let listener = (self.listen)(at).await?;
        Ok(NetListener { meter: self.meter.clone(), ..listener })
    }

    /// Returns the counter of the bytes of all connections of this stack and its clones.
    pub fn meter(&self) -> &LinkMeter {
        &self.meter
    }
}

async fn connect_tcp(to: SocketAddr, unsent_limit: Option<u32>) -> io::Result<NetStream> {
    let stream = TcpStream::connect(to).await?;
    set_socket_options(&stream, unsent_limit)?;
    Ok(NetStream::new(stream))
}

/// Disables Nagle's algorithm, limits unsent bytes, and enables keepalive probes and the user timeout so that
/// a dead peer is detected.
fn set_socket_options(stream: &TcpStream, unsent_limit: Option<u32>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    if let Some(bytes) = unsent_limit {
        socket.set_tcp_notsent_lowat(bytes)?;
    }
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

async fn listen_tcp(at: SocketAddr, unsent_limit: Option<u32>) -> io::Result<NetListener> {
    let listener = TcpListener::bind(at).await?;
    let local = listener.local_addr()?;
    let (sender, receiver) = mpsc::channel(ACCEPT_BATCH);
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = sender.closed() => return,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("event=accept_failed address={local} error=\"{error}\"");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if let Err(error) = set_socket_options(&stream, unsent_limit) {
                // The peer may have closed the connection already.
                log::debug!("event=socket_options_failed address={local} error=\"{error}\"");
                continue;
            }
            if sender.send(NetStream::new(stream)).await.is_err() {
                return;
            }
        }
    });
    Ok(NetListener::new(local, receiver))
}

/// Idle time of a connection before the first keepalive probe. Each probe costs a packet, but a caller's
/// stream is aborted after a few seconds of silence, and a dead peer must be detected before that.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time that sent bytes may remain unacknowledged; long enough for two consecutive lost packets.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);
/// Connections that are accepted at once; the others queue in the kernel's listen backlog. With one at a time, a
/// busy processor would limit the rate at which callers are accepted.
const ACCEPT_BATCH: usize = 16;
/// Pause after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
