//! Engines that get nothing for a while.

use std::time::Duration;

use dillspool_moment::Moment;

/// First time for which an engine without an answer is left alone.
const FIRST_SHUT: Duration = Duration::from_millis(500);
/// Longest such time.
const LONGEST_SHUT: Duration = Duration::from_secs(4);
/// First time for which an engine is left alone that refused what it had reserved: it changes its
/// part or leaves.
const FIRST_REFUSING: Duration = Duration::from_secs(2);
/// Longest such time; a change of part takes some seconds.
const LONGEST_REFUSING: Duration = Duration::from_secs(8);
/// Time for which an engine that refused a prefill gets none: each refusal counts towards the
/// retry budget.
const PREFILL_REFUSED: Duration = Duration::from_secs(1);
/// Answers that fail in a row before an engine is left alone for that.
const SILENT_BEFORE_SHUT: u32 = 2;
/// Doublings at most; the longest times are reached long before.
const MOST_DOUBLINGS: u32 = 8;

/// Weight of the newest request in the part of requests that fail; some four decide.
const NEWEST_WEIGHT: f64 = 0.25;
/// Time in which half of what is held against an engine is forgotten; troubles last some seconds.
const FAILURES_HALVED: Duration = Duration::from_secs(4);

/// The part of an engine's requests that fail, 0 to 1, the newest counting most.
#[derive(Clone, Copy, Debug, Default)]
struct FailureRate {
    rate: f64,
    at: Moment,
}

impl FailureRate {
    fn read(&self, now: Moment) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / FAILURES_HALVED.as_secs_f64();
        self.rate * 0.5_f64.powf(halvings)
    }

    fn note(&mut self, failed: bool, now: Moment) {
        let before = self.read(now);
        let newest = if failed { 1.0 } else { 0.0 };
        *self = Self { rate: before + NEWEST_WEIGHT * (newest - before), at: now };
    }
}

/// Whether an engine gets requests, and what it did to lose them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShutState {
    until: Option<Moment>,
    /// Faults in a row, of each kind.
    silences: u32,
    refusals: u32,
    failures: u32,
    rate: FailureRate,
}

impl ShutState {
    pub(crate) fn is_shut(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| until > now)
    }

    /// Whether it was shut and has not shown since that it does as it should: then it gets one
    /// request at a time. An engine that fails at once looks emptiest, and would draw all others.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.until.is_some()
    }

    /// The part of its requests that fail.
    pub(crate) fn failure_rate(&self, now: Moment) -> f64 {
        self.rate.read(now)
    }

    /// The engine answered as it should; whether its work is of use is not known yet.
    pub(crate) fn note_answered(&mut self) {
        self.silences = 0;
    }

    /// The engine did as it should.
    pub(crate) fn note_success(&mut self, now: Moment) {
        let mut rate = self.rate;
        rate.note(false, now);
        *self = Self { rate, ..Self::default() };
    }

    /// It failed a request; after `before` of them in a row it is left alone, or never if that is 0.
    pub(crate) fn note_failed(&mut self, now: Moment, before: u32) {
        self.rate.note(true, now);
        self.failures += 1;
        if before > 0
            && let Some(doublings) = self.failures.checked_sub(before)
        {
            self.shut(now, doubled(FIRST_SHUT, doublings, LONGEST_SHUT));
        }
    }

    /// No connection could be made.
    pub(crate) fn note_unreachable(&mut self, now: Moment) {
        self.silences = self.silences.max(SILENT_BEFORE_SHUT - 1);
        self.note_silence(now);
    }

    /// No proper answer came.
    pub(crate) fn note_silence(&mut self, now: Moment) {
        self.rate.note(true, now);
        self.silences += 1;
        if let Some(doublings) = self.silences.checked_sub(SILENT_BEFORE_SHUT) {
            self.shut(now, doubled(FIRST_SHUT, doublings, LONGEST_SHUT));
        }
    }

    /// It refused a request for which it had reserved memory, or whose prompt it had read. If there
    /// may be another cause, one refusal is no reason.
    pub(crate) fn note_refused_reserved(&mut self, now: Moment, other_cause: bool) {
        self.refusals += 1;
        let before = u32::from(other_cause) + 1;
        if let Some(doublings) = self.refusals.checked_sub(before) {
            self.shut(now, doubled(FIRST_REFUSING, doublings, LONGEST_REFUSING));
        }
    }

    /// It refused a prefill.
    pub(crate) fn note_refused_prefill(&mut self, now: Moment) {
        self.shut(now, PREFILL_REFUSED);
    }

    fn shut(&mut self, now: Moment, time: Duration) {
        let until = now + time;
        self.until = Some(self.until.map_or(until, |before| before.max(until)));
    }
}

fn doubled(first: Duration, doublings: u32, longest: Duration) -> Duration {
    (first * 2_u32.pow(doublings.min(MOST_DOUBLINGS))).min(longest)
}
