//! Connects to backend servers for hosts that have lost their own links to them.

use std::time::Duration;

use dillspool_dialer::{BackendDialer, TunnelError};
use dillspool_io::NetStream;
use dillspool_schema::schedule::ScheduleHello;
use dillspool_schema::tunnel::{TunnelOutcome, TunnelReply};
use futures_util::SinkExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::serve::{HostReader, HostWriter};
use crate::tunnel_stream::{MAX_CHUNK_BYTES, tunnel_reader, tunnel_writer};
use crate::wire;

/// Time for which the other host's remaining bytes are read after the end of a response; closing earlier could reset
/// the connection before it has read that response.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Serves a tunnel until either side closes it.
pub(crate) async fn serve_tunnel(
    mut writer: HostWriter,
    reader: HostReader,
    dialer: BackendDialer,
    hello: ScheduleHello,
) {
    let backend = hello.backend.unwrap_or_default();
    let connected = dialer.connect_for_peer(&backend).await;
    let outcome = match &connected {
        Ok(_connected) => TunnelOutcome::Connected,
        Err(TunnelError::BackendRefused) => TunnelOutcome::Refused,
        Err(TunnelError::BackendSilent) => TunnelOutcome::Silent,
        Err(TunnelError::PeerUnavailable(_reason)) => TunnelOutcome::Unavailable,
    };
    if let Err(error) = &connected {
        let host = &hello.host;
        log::info!("event=tunnel_not_served host={host} backend={backend} cause=\"{error}\"");
    }
    let Ok(reply) = wire::encode(&TunnelReply { outcome }) else { return };
    let is_told = writer.send(reply).await.is_ok();
    if let Ok((stream, _permit)) = connected
        && is_told
    {
        relay_bytes(reader, writer, stream).await;
    }
}

async fn relay_bytes(reader: HostReader, writer: HostWriter, backend: NetStream) {
    let (mut origin_reader, mut origin_writer) = (tunnel_reader(reader), tunnel_writer(writer));
    let (mut backend_reader, mut backend_writer) = tokio::io::split(backend);
    let is_ended = tokio::select! {
        () = copy_until_closed(&mut origin_reader, &mut backend_writer) => false,
        is_complete = copy_response(&mut backend_reader, &mut origin_writer) => is_complete,
    };
    if is_ended {
        let lingering = copy_until_closed(&mut origin_reader, &mut backend_writer);
        // Either way the tunnel is dropped.
        let _timed_out = tokio::time::timeout(LINGER_TIME, lingering).await;
    }
}

/// Copies bytes to the backend server until the other host closes the tunnel. A backend server may respond and close
/// before it has read the whole request, so a failed write does not end the tunnel.
async fn copy_until_closed(
    reader: &mut (impl AsyncRead + Unpin),
    writer: &mut (impl AsyncWrite + Unpin),
) {
    let mut chunk = vec![0; MAX_CHUNK_BYTES];
    let mut is_writable = true;
    while let Ok(length @ 1..) = reader.read(&mut chunk).await {
        let Some(bytes) = chunk.get(..length) else { return };
        is_writable = is_writable && writer.write_all(bytes).await.is_ok();
    }
}

/// Copies bytes to the other host; returns whether the backend server closed its connection in order. If it was reset
/// instead, the WebSocket is not closed in order either.
async fn copy_response(
    reader: &mut (impl AsyncRead + Unpin),
    writer: &mut (impl AsyncWrite + Unpin),
) -> bool {
    tokio::io::copy(reader, writer).await.is_ok() && writer.shutdown().await.is_ok()
}
