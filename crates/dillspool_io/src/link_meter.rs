//! Counts the bytes of a host's connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::observed_stream::ObservedStream;
use crate::stack::NetStream;

/// Counter of the bytes of all connections of a [`NetStack`](crate::NetStack).
#[derive(Clone, Debug, Default)]
pub struct LinkMeter {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl LinkMeter {
    /// Returns the bytes written to connections so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the bytes read from connections so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Wraps a connection to count its bytes.
    pub(crate) fn wrap(&self, stream: NetStream) -> NetStream {
        let (sent, received) = (Arc::clone(&self.sent), Arc::clone(&self.received));
        let on_read = move |count: usize| {
            received.fetch_add(count as u64, Ordering::Relaxed);
            Ok(())
        };
        let on_write = move |count: usize| {
            sent.fetch_add(count as u64, Ordering::Relaxed);
        };
        ObservedStream::wrap(stream, on_read, on_write)
    }
}
