//! A host's book, shared by all its requests.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_routing::StartedBackend;

use crate::book::{NoticeChange, ThrottleBook, ThrottleReading};
use crate::notice::RateNotice;

#[derive(Default)]
struct DeskState {
    book: ThrottleBook,
    /// Sends to backend servers that had named a limit.
    limited_sends: u64,
}

/// Remembers which backend servers name a limit, and counts what is sent to them.
#[derive(Clone)]
pub struct ThrottleDesk {
    state: Arc<Mutex<DeskState>>,
    clock: HostClock,
}

impl fmt::Debug for ThrottleDesk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ThrottleDesk")
    }
}

impl ThrottleDesk {
    /// A desk that has heard nothing yet.
    pub fn new(clock: HostClock) -> Self {
        Self { state: Arc::default(), clock }
    }

    fn state(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts something that is sent to a backend server; the mark takes what its answer says.
    pub fn note_send(&self, backend: StartedBackend) -> SendMark {
        let now = self.clock.now();
        let mut state = self.state();
        let is_limited = state.book.read(&backend, now).rate.is_some();
        state.limited_sends += u64::from(is_limited);
        state.book.note_send(&backend, now);
        drop(state);
        SendMark { desk: self.clone(), backend, sent: now }
    }

    /// How a backend server stands.
    pub fn read(&self, backend: &StartedBackend) -> ThrottleReading {
        let now = self.clock.now();
        self.state().book.read(backend, now)
    }

    /// Backend servers that name a limit, and sends to such ones so far.
    pub fn counts(&self) -> (usize, u64) {
        let state = self.state();
        (state.book.limited(), state.limited_sends)
    }

    fn hear(&self, backend: &StartedBackend, sent: Moment, notice: RateNotice) {
        let now = self.clock.now();
        let mut state = self.state();
        let change = state.book.hear(backend, sent, notice, now);
        let sent_1s = state.book.read(backend, now).sent;
        drop(state);
        let (backend, age_ms) = (backend.label(), now.since(sent).as_millis());
        match change {
            NoticeChange::None => {}
            NoticeChange::Limited { rate, before } => {
                let before = before.map_or("none".to_owned(), |before| before.to_string());
                log::info!(
                    "event=backend_limit backend={backend} per_s={rate} before={before} from=answer asked_ms_ago={age_ms} sent_1s={sent_1s}",
                );
            }
            NoticeChange::Over { before } => {
                log::info!(
                    "event=backend_limit_over backend={backend} before={before} from=answer asked_ms_ago={age_ms} sent_1s={sent_1s}",
                );
            }
            NoticeChange::Unreadable { text } => {
                log::info!("event=backend_limit_unreadable backend={backend} value={text:?}");
            }
        }
    }
}

/// Something that was sent to a backend server.
#[derive(Clone, Debug)]
pub struct SendMark {
    desk: ThrottleDesk,
    backend: StartedBackend,
    sent: Moment,
}

impl SendMark {
    /// Takes what an answer that is proven to be the backend server's own says.
    pub fn hear(&self, notice: RateNotice) {
        self.desk.hear(&self.backend, self.sent, notice);
    }
}
