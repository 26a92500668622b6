//! A host's book, shared by all its calls.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use dillspool_io::HostClock;
use dillspool_routing::BackendInstance;
use tokio::sync::{Notify, watch};

use crate::book::{LeavingBook, LeavingNews};

/// News that wait to be told to other hosts at most; the oldest go first.
const MOST_NEWS: usize = 1_024;

/// Remembers which backend servers have said that they leave.
#[derive(Clone)]
pub struct LeavingDesk {
    book: Arc<watch::Sender<LeavingBook>>,
    /// Words of answers that are to be told to other hosts.
    untold: Arc<Mutex<VecDeque<LeavingNews>>>,
    changed: Arc<Notify>,
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
        let book = Arc::new(watch::Sender::default());
        Self { book, untold: Arc::default(), changed: Arc::default(), clock }
    }

    /// Takes an answer of a backend server's own that says that it leaves.
    pub fn hear(&self, backend: &BackendInstance) {
        let news = LeavingNews { backend: backend.clone(), at: self.clock.now() };
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
    pub fn learn(&self, news: &LeavingNews) -> bool {
        self.note(news, "told")
    }

    /// The book as it is, and as it becomes.
    pub fn subscribe(&self) -> watch::Receiver<LeavingBook> {
        self.book.subscribe()
    }

    /// Waits for news to tell.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes the news since the last call.
    pub fn take_news(&self) -> VecDeque<LeavingNews> {
        std::mem::take(&mut self.untold.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The newest `most` that are known.
    pub fn known(&self, most: usize) -> Vec<LeavingNews> {
        self.book.borrow().newest(most).cloned().collect()
    }

    /// Backend servers that are remembered.
    pub fn count(&self) -> usize {
        self.book.borrow().count()
    }

    /// Notes a word and who told it; whether it is new here.
    fn note(&self, news: &LeavingNews, from: &str) -> bool {
        let is_new = self.book.send_if_modified(|book| book.note(news));
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
