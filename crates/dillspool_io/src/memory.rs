//! An in-memory network for tests with paused time.
//!
//! Each node has its own IP address. A test can cut or freeze the link between two nodes to simulate a killed
//! process, a network partition or a stopped process.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::sync::mpsc;

use crate::stack::{NetListener, NetStack, NetStream};

/// Size of the buffer in each direction of a connection, as of a socket buffer.
const BUFFER_BYTES: usize = 64 * 1024;
/// Number of connections that can wait to be accepted by a listener.
const BACKLOG_CONNECTIONS: usize = 1024;
/// Ports assigned to listeners that ask for port 0 are above this one.
const EPHEMERAL_PORT_BASE: u16 = 20_000;

/// State of the link between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Data is delivered.
    Open,
    /// No data is delivered and no connection fails, as when a process is stopped.
    Frozen,
    /// Open connections are reset and new ones are refused.
    Cut,
    /// Open connections stay usable and new ones are refused.
    Closed,
}

/// An unordered pair of nodes.
type NodePair = (IpAddr, IpAddr);

#[derive(Debug, Default)]
struct NetState {
    listeners: BTreeMap<SocketAddr, mpsc::Sender<NetStream>>,
    modes: BTreeMap<NodePair, LinkMode>,
    links: Vec<(NodePair, Weak<Mutex<LinkState>>)>,
    next_port: u16,
}

/// The network, which provides the [`NetStack`] of each node.
#[derive(Clone, Debug, Default)]
pub struct MemoryNet {
    state: Arc<Mutex<NetState>>,
}

fn node_pair(a: IpAddr, b: IpAddr) -> NodePair {
    if a <= b { (a, b) } else { (b, a) }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryNet {
    /// Creates a network.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the stack of the node with address `node`.
    pub fn stack(&self, node: IpAddr) -> NetStack {
        let connecting = self.clone();
        let listening = self.clone();
        NetStack::new(
            move |to| {
                let net = connecting.clone();
                Box::pin(async move { net.connect(node, to).await })
            },
            move |at| {
                let listener = listening.listen(at);
                Box::pin(async move { listener })
            },
        )
    }

    /// Sets the mode of the link between two nodes, for open connections too.
    pub fn set_link(&self, a: IpAddr, b: IpAddr, mode: LinkMode) {
        let mut state = lock(&self.state);
        state.modes.insert(node_pair(a, b), mode);
        state.links.retain(|(_, link)| link.strong_count() > 0);
        for (nodes, link) in &state.links {
            let Some(link) = link.upgrade() else { continue };
            if *nodes == node_pair(a, b) {
                lock(&link).set_mode(mode);
            }
        }
    }

    fn listen(&self, at: SocketAddr) -> io::Result<NetListener> {
        let mut state = lock(&self.state);
        let mut local = at;
        if at.port() == 0 {
            state.next_port = state.next_port.max(EPHEMERAL_PORT_BASE) + 1;
            local.set_port(state.next_port);
        }
        let used = state.listeners.get(&local).is_some_and(|sender| !sender.is_closed());
        if used {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let (sender, receiver) = mpsc::channel(BACKLOG_CONNECTIONS);
        state.listeners.insert(local, sender);
        Ok(NetListener::new(local, receiver))
    }

    async fn connect(&self, from: IpAddr, to: SocketAddr) -> io::Result<NetStream> {
        let nodes = node_pair(from, to.ip());
        loop {
            let mode = lock(&self.state).modes.get(&nodes).copied().unwrap_or(LinkMode::Open);
            match mode {
                LinkMode::Open => break,
                LinkMode::Cut | LinkMode::Closed => {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
                // A frozen node completes no handshake; the wait stands for a SYN retransmission.
                LinkMode::Frozen => tokio::time::sleep(CONNECT_RETRY_INTERVAL).await,
            }
        }
        let (near, far) = tokio::io::duplex(BUFFER_BYTES);
        let link = Arc::new(Mutex::new(LinkState::default()));
        let accept = {
            let mut state = lock(&self.state);
            state.links.push((nodes, Arc::downgrade(&link)));
            state.listeners.get(&to).cloned()
        };
        let Some(accept) = accept else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let far = LinkStream { inner: far, link: Arc::clone(&link), side: 1 };
        accept
            .send(NetStream::new(far))
            .await
            .map_err(|_closed| io::Error::from(io::ErrorKind::ConnectionRefused))?;
        Ok(NetStream::new(LinkStream { inner: near, link, side: 0 }))
    }
}

/// Time between connection attempts to a frozen node.
const CONNECT_RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

#[derive(Debug)]
struct LinkState {
    mode: LinkMode,
    /// Wakers of the reader and the writer of each side, called when the mode changes.
    wakers: [Option<Waker>; 4],
}

impl Default for LinkState {
    fn default() -> Self {
        Self { mode: LinkMode::Open, wakers: Default::default() }
    }
}

impl LinkState {
    fn set_mode(&mut self, mode: LinkMode) {
        // A reset connection stays reset when the link is restored.
        if self.mode != LinkMode::Cut {
            self.mode = mode;
        }
        for waker in self.wakers.iter_mut().filter_map(Option::take) {
            waker.wake();
        }
    }
}

#[derive(Debug)]
struct LinkStream {
    inner: DuplexStream,
    link: Arc<Mutex<LinkState>>,
    /// 0 for the connecting side, 1 for the accepting side.
    side: usize,
}

impl LinkStream {
    /// Registers for mode changes; `Ready(Ok)` means that the link is open.
    fn poll_open(&self, writer: usize, cx: &Context<'_>) -> Poll<io::Result<()>> {
        let mut state = lock(&self.link);
        state.wakers[self.side * 2 + writer] = Some(cx.waker().clone());
        match state.mode {
            LinkMode::Open | LinkMode::Closed => Poll::Ready(Ok(())),
            LinkMode::Frozen => Poll::Pending,
            LinkMode::Cut => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }
}

impl AsyncRead for LinkStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_open(0, cx))?;
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_open(1, cx))?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_open(1, cx))?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
