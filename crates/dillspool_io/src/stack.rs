//! How a process opens and accepts connections.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

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
        Self::new(|to| Box::pin(connect_tcp(to)), |at| Box::pin(listen_tcp(at)))
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

async fn connect_tcp(to: SocketAddr) -> io::Result<NetStream> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(NetStream::new(stream))
}

async fn listen_tcp(at: SocketAddr) -> io::Result<NetListener> {
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
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            if sender.send(NetStream::new(stream)).await.is_err() {
                return;
            }
        }
    });
    Ok(NetListener::new(local, receiver))
}

/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);
