//! An in-memory network for tests with paused time.
//!
//! Each node has its own IP address. A test can cut or freeze the link between two nodes to simulate a killed
//! process, a network partition or a stopped process, and limit the link of a node.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep};

use crate::stack::{NetListener, NetStack, NetStream};

/// Size of the buffer in each direction of a connection, as of a socket buffer.
const BUFFER_BYTES: usize = 64 * 1024;
/// Maximum size of a write through a limited link; connections take turns between writes.
const MAX_SEGMENT_BYTES: usize = 16 * 1024;
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

/// A pair of nodes.
type NodePair = (IpAddr, IpAddr);
type ReadPairs = Arc<Mutex<BTreeSet<NodePair>>>;

#[derive(Debug, Default)]
struct NetState {
    listeners: BTreeMap<SocketAddr, mpsc::Sender<NetStream>>,
    modes: BTreeMap<NodePair, LinkMode>,
    rates: BTreeMap<IpAddr, NodeRate>,
    /// Pairs of nodes of which the second one has read bytes of a connection from the first one.
    read: ReadPairs,
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

    /// Limits the link of a node, in each direction, for connections opened from now on.
    pub fn set_link_rate(&self, node: IpAddr, bytes_per_s: u32) {
        lock(&self.state).rates.insert(node, NodeRate::new(bytes_per_s));
    }

    /// Returns whether `to` has read bytes of a connection that `from` opened.
    pub fn was_read(&self, from: IpAddr, to: IpAddr) -> bool {
        let read = Arc::clone(&lock(&self.state).read);
        lock(&read).contains(&(from, to))
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
        let (accept, rates, read) = {
            let mut state = lock(&self.state);
            state.links.push((nodes, Arc::downgrade(&link)));
            let rates = [from, to.ip()].map(|node| state.rates.get(&node).cloned());
            (state.listeners.get(&to).cloned(), rates, Arc::clone(&state.read))
        };
        let [near_rate, far_rate] = rates;
        let outbound = SendPath::new(near_rate.as_ref(), far_rate.as_ref());
        let inbound = SendPath::new(far_rate.as_ref(), near_rate.as_ref());
        let Some(accept) = accept else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let far = LinkStream {
            inner: far,
            link: Arc::clone(&link),
            side: 1,
            path: inbound,
            unread: Some(((from, to.ip()), read)),
        };
        accept
            .send(NetStream::new(far))
            .await
            .map_err(|_closed| io::Error::from(io::ErrorKind::ConnectionRefused))?;
        Ok(NetStream::new(LinkStream { inner: near, link, side: 0, path: outbound, unread: None }))
    }
}

/// Time between connection attempts to a frozen node.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

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
    path: SendPath,
    /// Where the accepting side records its first read; `None` once it has.
    unread: Option<(NodePair, ReadPairs)>,
}

/// The link of a node; all its connections share the rate, and their writes queue for it.
#[derive(Clone, Debug)]
struct NodeRate {
    bytes_per_s: u32,
    /// When the last queued byte has passed, in each direction.
    sent_until: Arc<Mutex<Instant>>,
    received_until: Arc<Mutex<Instant>>,
}

impl NodeRate {
    fn new(bytes_per_s: u32) -> Self {
        let idle = || Arc::new(Mutex::new(Instant::now()));
        Self { bytes_per_s, sent_until: idle(), received_until: idle() }
    }
}

/// The links through which the bytes of one side of a connection pass.
#[derive(Debug, Default)]
struct SendPath {
    /// Bytes per second and the end of the queue.
    queues: Vec<(u32, Arc<Mutex<Instant>>)>,
    /// The write that is on its way: its size, and when it arrives.
    sending: Option<(usize, Pin<Box<Sleep>>)>,
}

impl SendPath {
    fn new(from: Option<&NodeRate>, to: Option<&NodeRate>) -> Self {
        let sent = from.map(|rate| (rate.bytes_per_s, Arc::clone(&rate.sent_until)));
        let received = to.map(|rate| (rate.bytes_per_s, Arc::clone(&rate.received_until)));
        Self { queues: sent.into_iter().chain(received).collect(), sending: None }
    }

    /// Waits until a write of `size` bytes has passed; returns how many bytes may be delivered.
    fn poll_send(&mut self, size: usize, cx: &mut Context<'_>) -> Poll<usize> {
        if self.queues.is_empty() {
            return Poll::Ready(size);
        }
        let (sent, arrival) = self.sending.get_or_insert_with(|| {
            let sent = size.min(MAX_SEGMENT_BYTES);
            let arrivals = self.queues.iter().map(|(bytes_per_s, until)| {
                let mut until = lock(until);
                let sent = u32::try_from(sent).unwrap_or(u32::MAX);
                let time = Duration::from_secs_f64(f64::from(sent) / f64::from(*bytes_per_s));
                *until = (*until).max(Instant::now()) + time;
                *until
            });
            let arrival = arrivals.max().unwrap_or_else(Instant::now);
            (sent, Box::pin(tokio::time::sleep_until(arrival)))
        });
        std::task::ready!(arrival.as_mut().poll(cx));
        Poll::Ready((*sent).min(size))
    }
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
        let filled = buf.filled().len();
        let ready = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > filled
            && let Some((nodes, read)) = self.unread.take()
        {
            lock(&read).insert(nodes);
        }
        ready
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_open(1, cx))?;
        let count = std::task::ready!(self.path.poll_send(buf.len(), cx));
        let written = std::task::ready!(Pin::new(&mut self.inner).poll_write(cx, &buf[..count]));
        self.path.sending = None;
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_open(1, cx))?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
