//! What is remembered of each backend server.

use std::collections::HashMap;

use dillspool_moment::Moment;
use dillspool_routing::StartedBackend;

use crate::notice::{RateNotice, RequestRate};
use crate::recent::RecentCount;

/// Records kept at most; each start of a backend server has its own.
const MOST_RECORDS: usize = 8_192;

/// A limit that a backend server named.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    rate: RequestRate,
    /// When an answer named it last.
    heard: Moment,
}

#[derive(Clone, Debug, Default)]
struct BackendRecord {
    sent: RecentCount,
    limit: Option<NamedLimit>,
    /// Whether it has named what is no rate.
    is_unreadable: bool,
}

/// What an answer changed.
#[derive(Clone, Debug, PartialEq)]
pub enum NoticeChange {
    /// Nothing.
    None,
    /// The backend server names a limit, or another one than before.
    Limited {
        /// The limit.
        rate: RequestRate,
        /// The one before.
        before: Option<RequestRate>,
    },
    /// It names none any more.
    Over {
        /// The one before.
        before: RequestRate,
    },
    /// What it names is no rate, for the first time; what held before holds on.
    Unreadable {
        /// What it names.
        text: String,
    },
}

/// A backend server as it stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ThrottleReading {
    /// The limit that it names.
    pub rate: Option<RequestRate>,
    /// This host's sends to it within the last second.
    pub sent: u32,
}

/// The backend servers to which this host sends, by their starts: what one said does not bind the next.
#[derive(Clone, Debug, Default)]
pub struct ThrottleBook {
    records: HashMap<StartedBackend, BackendRecord>,
}

impl ThrottleBook {
    /// Counts a send.
    pub fn note_send(&mut self, backend: &StartedBackend, now: Moment) {
        self.record(backend, now).sent.add(now);
    }

    /// Takes what the answer to something that was sent at a moment says.
    ///
    /// An answer that names no limit ends one only if it was asked for after the limit was last named:
    /// answers of before may arrive behind those that name it.
    pub fn hear(
        &mut self,
        backend: &StartedBackend,
        sent: Moment,
        notice: RateNotice,
        now: Moment,
    ) -> NoticeChange {
        let record = self.record(backend, now);
        match notice {
            RateNotice::Limited(rate) => {
                let before = record.limit.map(|limit| limit.rate);
                record.limit = Some(NamedLimit { rate, heard: now });
                if before == Some(rate) {
                    NoticeChange::None
                } else {
                    NoticeChange::Limited { rate, before }
                }
            }
            RateNotice::Unlimited => match record.limit.take_if(|limit| limit.heard < sent) {
                Some(limit) => NoticeChange::Over { before: limit.rate },
                None => NoticeChange::None,
            },
            RateNotice::Unreadable(_text) if record.is_unreadable => NoticeChange::None,
            RateNotice::Unreadable(text) => {
                record.is_unreadable = true;
                NoticeChange::Unreadable { text }
            }
        }
    }

    /// How a backend server stands.
    pub fn read(&self, backend: &StartedBackend, now: Moment) -> ThrottleReading {
        let record = self.records.get(backend);
        ThrottleReading {
            rate: record.and_then(|record| record.limit).map(|limit| limit.rate),
            sent: record.map_or(0, |record| record.sent.read(now)),
        }
    }

    /// Backend servers that name a limit.
    pub fn limited(&self) -> usize {
        self.records.values().filter(|record| record.limit.is_some()).count()
    }

    fn record(&mut self, backend: &StartedBackend, now: Moment) -> &mut BackendRecord {
        if self.records.len() >= MOST_RECORDS {
            self.records.retain(|_backend, record| record.sent.read(now) > 0);
        }
        self.records.entry(backend.clone()).or_default()
    }
}
