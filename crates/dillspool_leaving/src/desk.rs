//! A host's book, shared by all its calls.

use std::fmt;
use std::sync::Arc;

use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_routing::StartedBackend;
use tokio::sync::watch;

use crate::book::LeavingBook;

/// A backend server has said that it leaves, as hosts tell each other.
#[derive(Clone, Debug, PartialEq)]
pub struct LeavingNews {
    /// Which start of it.
    pub backend: StartedBackend,
    /// When it said so.
    pub at: Moment,
}

/// Remembers which backend servers have said that they leave.
#[derive(Clone)]
pub struct LeavingDesk {
    book: Arc<watch::Sender<LeavingBook>>,
    clock: HostClock,
}

impl fmt::Debug for LeavingDesk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LeavingDesk")
    }
}

impl LeavingDesk {
    /// A desk that has heard nothing yet.
    pub fn new(clock: HostClock) -> Self {
        Self { book: Arc::new(watch::Sender::default()), clock }
    }

    /// Takes an answer of a backend server's own that says that it leaves.
    pub fn hear(&self, backend: &StartedBackend) {
        self.note(backend, "answer", self.clock.now());
    }

    /// The book as it is, and as it becomes.
    pub fn subscribe(&self) -> watch::Receiver<LeavingBook> {
        self.book.subscribe()
    }

    /// Backend servers that are remembered.
    pub fn count(&self) -> usize {
        self.book.borrow().count()
    }

    /// Notes a word, who told it and when it was said; whether it is new here.
    fn note(&self, backend: &StartedBackend, from: &str, at: Moment) -> bool {
        let is_new = self.book.send_if_modified(|book| book.note(backend));
        if is_new {
            let age_ms = self.clock.now().since(at).as_millis();
            log::info!(
                "event=backend_leaves backend=\"{}\" from={from} age_ms={age_ms}",
                backend.label(),
            );
        }
        is_new
    }
}
