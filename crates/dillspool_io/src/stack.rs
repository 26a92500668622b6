//! How a process opens and accepts connections.

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

/// Boxed future, as the closures of the interface structs return it.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Both directions of a connection.
trait Duplex: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Duplex for T {}

/// One connection, whatever carries it.
pub struct NetStream {
    inner: Box<dyn Duplex>,
}

impl NetStream {
    /// Wraps a connection.
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

/// Accepted connections of one address; dropping it closes the address.
#[derive(Debug)]
pub struct NetListener {
    local: SocketAddr,
    incoming: mpsc::Receiver<NetStream>,
}

impl NetListener {
    /// Wraps a queue of accepted connections.
    pub fn new(local: SocketAddr, incoming: mpsc::Receiver<NetStream>) -> Self {
        Self { local, incoming }
    }

    /// Address that callers connect to.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Waits for the next connection; `None` once the address is closed.
    pub async fn accept(&mut self) -> Option<NetStream> {
        self.incoming.recv().await
    }
}

type ConnectFn = dyn Fn(SocketAddr) -> BoxFuture<io::Result<NetStream>> + Send + Sync;
type ListenFn = dyn Fn(SocketAddr) -> BoxFuture<io::Result<NetListener>> + Send + Sync;

/// The two things a process does with the network.
#[derive(Clone)]
pub struct NetStack {
    connect: Arc<ConnectFn>,
    listen: Arc<ListenFn>,
}

impl fmt::Debug for NetStack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NetStack")
    }
}

impl NetStack {
    /// Builds a stack from its two closures.
    pub fn new(
        connect: impl Fn(SocketAddr) -> BoxFuture<io::Result<NetStream>> + Send + Sync + 'static,
        listen: impl Fn(SocketAddr) -> BoxFuture<io::Result<NetListener>> + Send + Sync + 'static,
    ) -> Self {
        Self { connect: Arc::new(connect), listen: Arc::new(listen) }
    }

    /// The system's TCP.
    pub fn tcp() -> Self {
        Self::tcp_with_unsent_limit(None)
    }

    /// The system's TCP; it takes no more of a connection while so many bytes of it are unsent.
    ///
    /// Without a limit it takes megabytes for a peer that reads nothing, and says that there is room
    /// again only when a third of that was read, so that a slow reader looks like none.
    pub fn tcp_with_unsent_limit(limit: Option<u32>) -> Self {
        Self::new(
            move |to| Box::pin(connect_tcp(to, limit)),
            move |at| Box::pin(listen_tcp(at, limit)),
        )
    }

    /// Opens a connection.
    pub async fn connect(&self, to: SocketAddr) -> io::Result<NetStream> {
        (self.connect)(to).await
    }

    /// Listens on an address; port 0 lets the system choose.
    pub async fn listen(&self, at: SocketAddr) -> io::Result<NetListener> {
        (self.listen)(at).await
    }
}

async fn connect_tcp(to: SocketAddr, unsent: Option<u32>) -> io::Result<NetStream> {
    let stream = TcpStream::connect(to).await?;
    set_options(&stream, unsent)?;
    Ok(NetStream::new(stream))
}

/// Sends small writes at once, and notices a peer that fell silent.
fn set_options(stream: &TcpStream, unsent: Option<u32>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    if let Some(unsent) = unsent {
        socket.set_tcp_notsent_lowat(unsent)?;
    }
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

async fn listen_tcp(at: SocketAddr, unsent: Option<u32>) -> io::Result<NetListener> {
    let listener = TcpListener::bind(at).await?;
    let local = listener.local_addr()?;
    // A rendezvous of one: the kernel's backlog is the queue.
    let (sender, receiver) = mpsc::channel(1);
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
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if let Err(error) = set_options(&stream, unsent) {
                // The peer may have gone already.
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

/// Rest of a connection after which the peer is probed. Probes cost a packet each; a caller's
/// stream is given up after some seconds of silence, so a dead peer must be noticed before.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the peer counts as gone.
const KEEPALIVE_PROBES: u32 = 2;
/// Time that sent bytes may go without an acknowledgement; covers two lost packets in a row.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
