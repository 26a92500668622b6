//! Asks another host for a tunnel to a backend server.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_dialer::{OpenTunnelFn, TunnelError};
use dillspool_io::{NetStack, NetStream};
use dillspool_routing::BackendEntry;
use dillspool_schema::Name;
use dillspool_schema::schedule::{ScheduleDuty, ScheduleHello, ScheduleMessage};
use dillspool_schema::tunnel::{TunnelOutcome, TunnelReply};
use futures_util::{SinkExt, StreamExt};
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite::Message;

use crate::tunnel_stream::tunnel_stream;
use crate::wire::{self, PROTOCOL_VERSION};

/// Timeout for the handshake with the other host: three round trips between failure domains.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for its reply. It covers the other host's own connection attempt.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the function with which a host opens tunnels.
pub fn tunnel_opener(stack: &NetStack, host: &Name) -> OpenTunnelFn {
    let (stack, host) = (stack.clone(), Name::clone(host));
    Arc::new(move |peer, entry| {
        let (stack, host) = (stack.clone(), Name::clone(&host));
        Box::pin(async move { open_tunnel(&stack, &host, peer, &entry).await })
    })
}

async fn open_tunnel(
    stack: &NetStack,
    host: &Name,
    peer: SocketAddr,
    entry: &BackendEntry,
) -> Result<NetStream, TunnelError> {
    let hello = ScheduleHello {
        version: PROTOCOL_VERSION,
        host: Name::clone(host),
        duty: ScheduleDuty::Tunnel,
        service: Name::clone(&entry.service),
        hosts: 0,
        backend: Some(Name::clone(&entry.id)),
        origins: false,
    };
    let hello = wire::encode(&ScheduleMessage::Hello(hello)).map_err(unavailable)?;
    let handshake = async {
        let stream = stack.connect(peer).await.map_err(unavailable)?;
        let config = Some(wire::socket_config());
        let opened = client_async_with_config(format!("ws://{peer}/"), stream, config).await;
        let (mut socket, _response) = opened.map_err(unavailable)?;
        socket.send(hello).await.map_err(unavailable)?;
        Ok(socket)
    };
    let opened = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    let mut socket = opened.map_err(|_elapsed| unavailable("the handshake timed out"))??;
    let reply = tokio::time::timeout(REPLY_TIMEOUT, socket.next()).await;
    let outcome = match reply.map_err(|_elapsed| unavailable("no reply"))? {
        Some(Ok(Message::Binary(bytes))) => {
            wire::decode::<TunnelReply>(&bytes).map_err(unavailable)?.outcome
        }
        // Hosts of earlier versions close the link.
        Some(Ok(_other)) => return Err(unavailable("it does not serve tunnels")),
        Some(Err(error)) => return Err(unavailable(error)),
        None => return Err(unavailable("it does not serve tunnels")),
    };
    match outcome {
        TunnelOutcome::Connected => {
            let (writer, reader) = socket.split();
            Ok(tunnel_stream(reader, writer))
        }
        TunnelOutcome::Refused => Err(TunnelError::BackendRefused),
        TunnelOutcome::Silent => Err(TunnelError::BackendSilent),
        TunnelOutcome::Unavailable => Err(unavailable("it cannot help")),
    }
}

fn unavailable(reason: impl fmt::Display) -> TunnelError {
    TunnelError::PeerUnavailable(reason.to_string())
}
