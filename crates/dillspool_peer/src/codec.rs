//! Wire format of peer messages: CBOR in binary WebSocket frames.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use dillspool_io::NetStream;
use dillspool_schema::messages::PeerMessage;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::PeerError;
use crate::error::{ConnectionSnafu, MalformedSnafu};

/// Largest message. A full configuration at the size projected for two years from now is about 1.4 MB.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that a frame and its TCP/IP headers add to a message; counted as control traffic.
const FRAME_OVERHEAD_BYTES: u64 = 46;

/// Encodes a message.
///
/// # Errors
///
/// [`PeerError::Malformed`] when it cannot be encoded.
pub fn encode_message(message: &PeerMessage) -> Result<Bytes, PeerError> {
    let mut bytes = Vec::with_capacity(128);
    match ciborium::into_writer(message, &mut bytes) {
        Ok(()) => Ok(bytes.into()),
        Err(error) => MalformedSnafu { reason: error.to_string() }.fail(),
    }
}

/// Decodes a message.
///
/// # Errors
///
/// [`PeerError::Malformed`] when the bytes are not a valid message.
pub fn decode_message(bytes: &[u8]) -> Result<PeerMessage, PeerError> {
    match ciborium::from_reader(bytes) {
        Ok(message) => Ok(message),
        Err(error) => MalformedSnafu { reason: error.to_string() }.fail(),
    }
}

pub(crate) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
        .read_buffer_size(4 * 1024)
        .write_buffer_size(0)
}

/// Counts control traffic in both directions, including frames and headers.
#[derive(Clone, Debug, Default)]
pub struct ControlBytes {
    count: Arc<AtomicU64>,
}

impl ControlBytes {
    fn add(&self, bytes: usize) {
        self.count.fetch_add(bytes as u64 + FRAME_OVERHEAD_BYTES, Ordering::Relaxed);
    }

    /// Returns the bytes counted so far.
    pub fn total(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

/// A message channel between two hosts.
#[derive(Debug)]
pub struct PeerChannel {
    socket: WebSocketStream<NetStream>,
    bytes: ControlBytes,
}

/// Sending half of a channel.
#[derive(Debug)]
pub(crate) struct PeerSender {
    sink: SplitSink<WebSocketStream<NetStream>, Message>,
    bytes: ControlBytes,
}

/// Receiving half of a channel.
#[derive(Debug)]
pub(crate) struct PeerReceiver {
    stream: SplitStream<WebSocketStream<NetStream>>,
    bytes: ControlBytes,
}

impl PeerChannel {
    pub(crate) fn new(socket: WebSocketStream<NetStream>, bytes: ControlBytes) -> Self {
        Self { socket, bytes }
    }

    pub(crate) fn split(self) -> (PeerSender, PeerReceiver) {
        let (sink, stream) = self.socket.split();
        (PeerSender { sink, bytes: self.bytes.clone() }, PeerReceiver { stream, bytes: self.bytes })
    }
}

impl PeerSender {
    pub(crate) async fn send(&mut self, message: &PeerMessage) -> Result<(), PeerError> {
        let bytes = encode_message(message)?;
        self.bytes.add(bytes.len());
        match self.sink.send(Message::Binary(bytes)).await {
            Ok(()) => Ok(()),
            Err(error) => ConnectionSnafu { reason: error.to_string() }.fail(),
        }
    }
}

impl PeerReceiver {
    pub(crate) async fn receive(&mut self) -> Result<PeerMessage, PeerError> {
        loop {
            let message = match self.stream.next().await {
                Some(Ok(message)) => message,
                Some(Err(error)) => {
                    return ConnectionSnafu { reason: error.to_string() }.fail();
                }
                None => return ConnectionSnafu { reason: "closed" }.fail(),
            };
            match message {
                Message::Binary(bytes) => {
                    self.bytes.add(bytes.len());
                    return decode_message(&bytes);
                }
                Message::Close(_) => return ConnectionSnafu { reason: "closed" }.fail(),
                Message::Ping(_) | Message::Pong(_) | Message::Text(_) | Message::Frame(_) => {}
            }
        }
    }
}
