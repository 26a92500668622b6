//! A proxy on the loopback address whose connections are silenced, reset or cut one way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// What the proxy does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProxyMode {
    /// It passes them on.
    Open,
    /// It passes them on late.
    Delayed,
    /// It holds them back in both directions.
    Silent,
    /// It holds back what the server answers.
    OneWay,
    /// It closes all connections, also new ones.
    Reset,
}

/// Delay of bytes in [`ProxyMode::Delayed`], per part read.
const DELAY: Duration = Duration::from_millis(40);

/// A running proxy.
#[derive(Clone, Debug)]
pub(crate) struct LoopbackProxy {
    pub(crate) address: SocketAddr,
    mode: Arc<watch::Sender<ProxyMode>>,
    accepting: AbortHandle,
}

impl LoopbackProxy {
    /// Starts a proxy in front of a server.
    pub(crate) async fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (sender, mode) = watch::channel(ProxyMode::Open);
        let accepting = tokio::spawn(async move {
            while let Ok((client, _from)) = listener.accept().await {
                if *mode.borrow() == ProxyMode::Reset {
                    continue;
                }
                tokio::spawn(carry(client, server, mode.clone()));
            }
        });
        let accepting = accepting.abort_handle();
        Ok(Self { address, mode: Arc::new(sender), accepting })
    }

    /// Refuses connections from now on.
    pub(crate) fn close(&self) {
        self.accepting.abort();
    }

    pub(crate) fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

async fn carry(client: TcpStream, server: SocketAddr, mut mode: watch::Receiver<ProxyMode>) {
    let Ok(server) = TcpStream::connect(server).await else { return };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let ask = copy(client_read, server_write, mode.clone(), false);
    let answer = copy(server_read, client_write, mode.clone(), true);
    tokio::select! {
        () = async { tokio::join!(ask, answer); } => {}
        // Dropping both halves closes the connection.
        _reset = mode.wait_for(|mode| *mode == ProxyMode::Reset) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    is_answer: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        let passes = |mode: &ProxyMode| match mode {
            ProxyMode::Open | ProxyMode::Delayed => true,
            ProxyMode::OneWay => !is_answer,
            ProxyMode::Silent | ProxyMode::Reset => false,
        };
        if mode.wait_for(passes).await.is_err() {
            return;
        }
        if *mode.borrow() == ProxyMode::Delayed {
            tokio::time::sleep(DELAY).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    // The other side may have gone already.
    let _gone = to.shutdown().await;
}
