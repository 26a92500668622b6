//! Generator of stream ids.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dillspool_schema::{Name, StreamId};

/// Generates unique stream ids from the host, its incarnation and a sequence number.
#[derive(Clone, Debug)]
pub struct StreamIds {
    host: Name,
    incarnation: u64,
    next: Arc<AtomicU64>,
}

impl StreamIds {
    /// Creates the generator for an incarnation of a host.
    pub fn new(host: Name, incarnation: u64) -> Self {
        Self { host, incarnation, next: Arc::default() }
    }

    /// Returns the next id.
    pub fn next(&self) -> StreamId {
        StreamId {
            host: Name::clone(&self.host),
            incarnation: self.incarnation,
            sequence: self.next.fetch_add(1, Ordering::Relaxed),
        }
    }
}
