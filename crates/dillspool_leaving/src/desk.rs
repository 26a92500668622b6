//! A host's book, shared by all its calls.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use dillspool_io::HostClock;
use dillspool_routing::BackendInstance;
use tokio::sync::{Notify, watch};

use crate::book::{LeavingRegistry, LeavingUpdate};

/// News that wait to be told to other hosts at most; the oldest go first.
const MOST_NEWS: usize = 1_024;

/// Remembers which backend servers have said that they leave.
#[derive(Clone)]
pub struct LeavingTracker {
    book: Arc<watch::Sender<LeavingRegistry>>,
    /// Words of answers that are to be told to other hosts.
    untold: Arc<Mutex<VecDeque<LeavingUpdate>>>,
    changed: Arc<Notify>,
    clock: HostClock,
}

impl fmt::Debug for LeavingTracker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LeavingDesk")
    }
}

impl LeavingTracker {
    /// A desk that has heard nothing yet.
    pub fn new(clock: HostClock) -> Self {
        let book = Arc::new(watch::Sender::default());
        Self { book, untold: Arc::default(), changed: Arc::default(), clock }
    }

    /// Takes an answer of a backend server's own that says that it leaves.
    pub fn record_response(&self, backend: &BackendInstance) {
        let news = LeavingUpdate { backend: backend.clone(), at: self.clock.now() };
        if !self.note(&news, "answer") {
            return;
        }
        let mut untold = self.untold.lock().unwrap_or_else(PoisonError::into_inner);
        if untold.len() >= MOST_NEWS {
            untold.pop_front();
        }
        untold.push_back(news);
        drop(untold);
        self.changed.notify_one();
    }

    /// Takes another host's word; whether it is news here.
    pub fn apply_update(&self, news: &LeavingUpdate) -> bool {
        self.note(news, "told")
    }

    /// The book as it is, and as it becomes.
    pub fn subscribe(&self) -> watch::Receiver<LeavingRegistry> {
        self.book.subscribe()
    }

    /// Waits for news to tell.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes the news since the last call.
    pub fn take_updates(&self) -> VecDeque<LeavingUpdate> {
        std::mem::take(&mut self.untold.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The newest `most` that are known.
    pub fn newest_updates(&self, most: usize) -> Vec<LeavingUpdate> {
        self.book.borrow().newest(most).cloned().collect()
    }

    /// Backend servers that are remembered.
    pub fn count(&self) -> usize {
        self.book.borrow().count()
    }

    /// Notes a word and who told it; whether it is new here.
    fn note(&self, news: &LeavingUpdate, from: &str) -> bool {
        let is_new = self.book.send_if_modified(|book| book.record(news));
        if is_new {
            let age_ms = self.clock.now().since(news.at).as_millis();
            log::info!(
                "event=backend_leaves backend=\"{}\" from={from} age_ms={age_ms}",
                news.backend.label(),
            );
        }
        is_new
    }
}
