//! What this host has under way at each backend server, and how the last sends went.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_routing::BackendId;
use tokio::time::Instant;

/// Weight of the newest observation in an average; some ten sends decide.
const NEWEST_WEIGHT: f64 = 0.15;
/// Latency assumed of a backend server that has not answered yet, in milliseconds.
const ASSUMED_LATENCY_MS: f64 = 60.0;
/// First time that a backend server is left out after a send that did not get through.
const FIRST_ASIDE: Duration = Duration::from_millis(500);
/// Longest time that it is left out.
const LONGEST_ASIDE: Duration = Duration::from_secs(4);
/// Failures in a row after which a backend server is left out.
const FAILURES_BEFORE_ASIDE: u32 = 2;
/// First time that an engine gets no requests after it refused one that had its memory. A prefill
/// is lost with each; one engine of many is missed little, also when only the prefill's result
/// was gone.
const FIRST_REFUSING: Duration = Duration::from_secs(2);
/// Longest such time; an engine takes some seconds to change its part.
const LONGEST_REFUSING: Duration = Duration::from_secs(8);
/// Time after which a prefill's duration says nothing any more: queues fill and drain in seconds.
const PREFILL_MEMORY: Duration = Duration::from_secs(3);
/// Entries kept at most; ids are new with each start of a backend server.
const MOST_ENTRIES: usize = 8192;

#[derive(Clone, Debug)]
struct BackendLoad {
    outstanding: u32,
    tokens: u64,
    latency_ms: f64,
    /// Average of failures, 0 to 1.
    failures: f64,
    failures_in_row: u32,
    aside_until: Option<Instant>,
    full_until: Option<Instant>,
    /// Requests in a row that it refused although it had reserved memory for them.
    refusals_in_row: u32,
    refuses_until: Option<Instant>,
    /// How long the last prefill took, and when it ended.
    last_prefill: Option<(Duration, Instant)>,
    /// When the prefills under way were asked for.
    prefills: Vec<Instant>,
}

impl Default for BackendLoad {
    fn default() -> Self {
        Self {
            outstanding: 0,
            tokens: 0,
            latency_ms: ASSUMED_LATENCY_MS,
            failures: 0.0,
            failures_in_row: 0,
            aside_until: None,
            full_until: None,
            refusals_in_row: 0,
            refuses_until: None,
            last_prefill: None,
            prefills: Vec::new(),
        }
    }
}

/// A reading of one backend server's entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadReading {
    pub(crate) outstanding: u32,
    pub(crate) tokens: u64,
    pub(crate) latency_ms: f64,
    pub(crate) failures: f64,
    pub(crate) is_aside: bool,
    pub(crate) is_full: bool,
    /// It reserves memory for requests that it then refuses.
    pub(crate) is_refusing: bool,
}

/// The book of all backend servers, by id.
#[derive(Clone, Debug, Default)]
pub struct BackendBook {
    loads: Arc<Mutex<HashMap<BackendId, BackendLoad>>>,
}

impl BackendBook {
    fn with<T>(&self, id: &BackendId, run: impl FnOnce(&mut BackendLoad) -> T) -> T {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        if loads.len() >= MOST_ENTRIES {
            loads.retain(|_id, load| load.outstanding > 0);
        }
        run(loads.entry(BackendId::clone(id)).or_default())
    }

    pub(crate) fn read(&self, id: &BackendId) -> LoadReading {
        let now = Instant::now();
        let loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let load = loads.get(id).cloned().unwrap_or_default();
        LoadReading {
            outstanding: load.outstanding,
            tokens: load.tokens,
            latency_ms: load.latency_ms,
            failures: load.failures,
            is_aside: load.aside_until.is_some_and(|until| until > now),
            is_full: load.full_until.is_some_and(|until| until > now),
            is_refusing: load.refuses_until.is_some_and(|until| until > now),
        }
    }

    /// Notes work that is sent to a backend server until the ticket is dropped.
    pub fn enter(&self, id: &BackendId, tokens: u64) -> LoadTicket {
        self.with(id, |load| {
            load.outstanding += 1;
            load.tokens += tokens;
        });
        LoadTicket { book: self.clone(), id: BackendId::clone(id), tokens }
    }

    /// Notes an answer that came as it should.
    pub(crate) fn note_success(&self, id: &BackendId, latency: Duration) {
        let latency_ms = latency.as_secs_f64() * 1000.0;
        self.with(id, |load| {
            load.latency_ms += NEWEST_WEIGHT * (latency_ms - load.latency_ms);
            load.failures -= NEWEST_WEIGHT * load.failures;
            load.failures_in_row = 0;
            load.aside_until = None;
        });
    }

    /// Notes that an engine took up a request for which it had reserved memory.
    pub(crate) fn note_taken(&self, id: &BackendId) {
        self.with(id, |load| {
            load.refusals_in_row = 0;
            load.refuses_until = None;
        });
    }

    /// Notes that an engine refused a request for which it had reserved memory: it changes its
    /// part or leaves, and goes on reserving. It gets none for a while, longer each time.
    pub(crate) fn note_refused_reserved(&self, id: &BackendId) {
        let now = Instant::now();
        let (refusals, span) = self.with(id, |load| {
            let doublings = load.refusals_in_row.min(8);
            let span = (FIRST_REFUSING * 2_u32.pow(doublings)).min(LONGEST_REFUSING);
            load.refusals_in_row += 1;
            load.refuses_until = Some(now + span);
            (load.refusals_in_row, span)
        });
        let span_ms = span.as_millis();
        log::info!("event=backend_refusing backend={id} refusals={refusals} for_ms={span_ms}");
    }

    /// Notes a failure that the backend server told of.
    pub(crate) fn note_failure(&self, id: &BackendId) {
        self.with(id, |load| load.failures += NEWEST_WEIGHT * (1.0 - load.failures));
    }

    /// Notes that no connection could be made; leaves the backend server out at once.
    pub(crate) fn note_unreachable(&self, id: &BackendId, cause: &str) {
        self.note_no_answer(id, 1, cause);
    }

    /// Notes that a backend server did not answer; leaves it out for a while when that repeats.
    pub(crate) fn note_silence(&self, id: &BackendId, cause: &str) {
        self.note_no_answer(id, FAILURES_BEFORE_ASIDE, cause);
    }

    /// Leaves a backend server out from so many failures in a row on, for longer each time.
    fn note_no_answer(&self, id: &BackendId, failures_before: u32, cause: &str) {
        let now = Instant::now();
        let aside = self.with(id, |load| {
            load.failures += NEWEST_WEIGHT * (1.0 - load.failures);
            load.failures_in_row += 1;
            let doublings = load.failures_in_row.checked_sub(failures_before)?.min(8);
            let span = (FIRST_ASIDE * 2_u32.pow(doublings)).min(LONGEST_ASIDE);
            load.aside_until = Some(now + span);
            Some((load.failures_in_row, span))
        });
        if let Some((failures, span)) = aside {
            let span_ms = span.as_millis();
            log::info!(
                "event=backend_aside backend={id} failures={failures} for_ms={span_ms} cause=\"{cause}\""
            );
        }
    }

    /// Notes a prefill that is asked for; drop the ticket when it has ended.
    pub(crate) fn enter_prefill(&self, id: &BackendId) -> PrefillTicket {
        let started = Instant::now();
        self.with(id, |load| load.prefills.push(started));
        PrefillTicket { book: self.clone(), id: BackendId::clone(id), started }
    }

    /// How long a prefill at this engine is expected to take: as long as the last one, which
    /// counts for less the older it is, and at least as long as those under way have taken.
    pub(crate) fn prefill_wait(&self, id: &BackendId) -> Duration {
        self.with(id, |load| {
            let last = load.last_prefill.map_or(Duration::ZERO, |(took, ended)| {
                let left = PREFILL_MEMORY.saturating_sub(ended.elapsed());
                took.mul_f64(left.as_secs_f64() / PREFILL_MEMORY.as_secs_f64())
            });
            let under_way = load.prefills.iter().map(Instant::elapsed).max();
            last.max(under_way.unwrap_or_default())
        })
    }

    /// Notes that a backend server has no room for now.
    pub(crate) fn note_full(&self, id: &BackendId, span: Duration) {
        let until = Instant::now() + span;
        self.with(id, |load| load.full_until = Some(until));
    }
}

/// Work under way at a backend server; dropping it takes it off the book.
#[derive(Debug)]
pub struct LoadTicket {
    book: BackendBook,
    id: BackendId,
    tokens: u64,
}

impl LoadTicket {
    /// Notes that the work grew to more tokens than was noted.
    pub fn grow_to(&mut self, tokens: u64) {
        let growth = tokens.saturating_sub(self.tokens);
        self.tokens += growth;
        self.book.with(&self.id, |load| load.tokens += growth);
    }
}

impl Drop for LoadTicket {
    fn drop(&mut self) {
        let tokens = self.tokens;
        self.book.with(&self.id, |load| {
            load.outstanding = load.outstanding.saturating_sub(1);
            load.tokens = load.tokens.saturating_sub(tokens);
        });
    }
}

/// A prefill under way; dropping it notes how long it took.
#[derive(Debug)]
pub(crate) struct PrefillTicket {
    book: BackendBook,
    id: BackendId,
    started: Instant,
}

impl Drop for PrefillTicket {
    fn drop(&mut self) {
        let started = self.started;
        self.book.with(&self.id, |load| {
            load.last_prefill = Some((started.elapsed(), Instant::now()));
            if let Some(at) = load.prefills.iter().position(|other| *other == started) {
                load.prefills.swap_remove(at);
            }
        });
    }
}
