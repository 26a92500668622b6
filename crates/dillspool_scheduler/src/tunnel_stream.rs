//! A byte stream over a WebSocket.
//!
//! WebSocket tells a stream that ended from one that was cut off: a response without a length ends with its
//! connection, and a cut must not make it look complete.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use dillspool_io::NetStream;
use futures_util::{SinkExt, TryStreamExt, future};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_tungstenite::tungstenite::Message;
use tokio_util::io::{CopyToBytes, SinkWriter, StreamReader};

use crate::serve::{HostReader, HostWriter};

/// Largest chunk that is sent as one message.
pub(crate) const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Reads the bytes of binary messages until the other side closes the WebSocket.
pub(crate) fn tunnel_reader(reader: HostReader) -> impl AsyncRead + Send + Unpin {
    let chunks = reader
        .map_err(io::Error::other)
        .try_take_while(|message| future::ready(Ok(!message.is_close())))
        .try_filter_map(|message| {
            future::ready(Ok(match message {
                Message::Binary(bytes) => Some(bytes),
                Message::Text(_)
                | Message::Ping(_)
                | Message::Pong(_)
                | Message::Close(_)
                | Message::Frame(_) => None,
            }))
        });
    StreamReader::new(Box::pin(chunks))
}

/// Writes bytes as binary messages; its shutdown closes the WebSocket.
pub(crate) fn tunnel_writer(writer: HostWriter) -> impl AsyncWrite + Send + Unpin {
    let sink = writer
        .sink_map_err(io::Error::other)
        .with(|bytes: bytes::Bytes| future::ready(Ok::<_, io::Error>(Message::Binary(bytes))));
    ChunkWriter { inner: SinkWriter::new(CopyToBytes::new(sink)) }
}

/// Joins both directions of a tunnel.
pub(crate) fn tunnel_stream(reader: HostReader, writer: HostWriter) -> NetStream {
    NetStream::new(tokio::io::join(tunnel_reader(reader), tunnel_writer(writer)))
}

/// Splits writes, since the receiver limits the size of messages.
struct ChunkWriter<W> {
    inner: W,
}

impl<W: AsyncWrite + Unpin> AsyncWrite for ChunkWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let chunk = bytes.get(..MAX_CHUNK_BYTES).unwrap_or(bytes);
        Pin::new(&mut self.inner).poll_write(cx, chunk)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
