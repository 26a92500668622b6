//! How a stream came to its first event, and why it was late.

use std::time::Duration;

use dillspool_routing::RoutedRequest;
use tokio::time::Instant;

/// When each stage before a stream's first event ended, as times from the request's arrival.
///
/// The first event is the one that the caller's latency objective is about; what happens when a
/// stream goes on elsewhere later is told by its pauses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FirstEventStages {
    /// Decode memory was reserved.
    pub(crate) reserved: Duration,
    /// The prompt was read, or it was left to the decode engine.
    pub(crate) prefilled: Duration,
    /// The head of the decode engine's answer came.
    pub(crate) opened: Duration,
}

/// How the events of a stream came.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamStats {
    /// Events passed on.
    pub(crate) events: u64,
    /// Time from the request's arrival to its first event.
    pub(crate) time_to_first_event: Duration,
    /// When the caller got the first event, if any.
    pub(crate) first_at: Option<Instant>,
    /// When the caller got the last event, if any.
    pub(crate) last_at: Option<Instant>,
    /// Longest time between two events.
    pub(crate) longest_pause: Duration,
    /// Times that the stream went on at another engine.
    pub(crate) resumes: u32,
    /// Whether the prompt was read by the decode engine itself.
    pub(crate) read_at_decode: bool,
}

impl StreamStats {
    /// Mean time between two events, if there were some.
    pub(crate) fn mean_event_gap(&self) -> Option<Duration> {
        let gaps = u32::try_from(self.events.checked_sub(1)?).ok().filter(|gaps| *gaps > 0)?;
        Some(self.last_at?.saturating_duration_since(self.first_at?) / gaps)
    }

    /// Notes events that the caller gets now; returns the pause before them, `None` before the
    /// first.
    pub(crate) fn record_events(&mut self, count: u64, age: Duration) -> Option<Duration> {
        let now = Instant::now();
        let pause = self.last_at.map(|last_at| now - last_at);
        match pause {
            None => {
                self.time_to_first_event = age;
                self.first_at = Some(now);
            }
            Some(pause) => self.longest_pause = self.longest_pause.max(pause),
        }
        self.last_at = Some(now);
        self.events += count;
        pause
    }
}

/// Why a whole stream was not in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LateCause {
    /// The caller came back with an answer that had broken off.
    Continued,
    /// The caller had been refused before, and the objective counts from its first attempt.
    Returned,
    /// It waited for decode memory.
    Memory,
    /// It waited for its prefill.
    Prefill,
    /// The decode engine took the request late.
    Opening,
    /// The decode engine's first event came late.
    FirstEvent,
    /// It went on at another engine.
    Reopened,
    /// Its engine paused.
    Pause,
}

impl LateCause {
    /// The cause; `None` when the stream was in time.
    pub(crate) fn of(
        request: &RoutedRequest,
        stages: &FirstEventStages,
        stats: &StreamStats,
    ) -> Option<Self> {
        if request.resume_after.is_some() {
            return Some(Self::Continued);
        }
        let objective = request.route.objective;
        let first = stats.time_to_first_event;
        if first > objective {
            return Some(Self::longest_stage(stages, first));
        }
        if request.is_client_retry() && request.spent_before + first > objective {
            return Some(Self::Returned);
        }
        let target = request.route.max_event_gap?;
        match (stats.longest_pause > target, stats.resumes > 0) {
            (false, _) => None,
            (true, true) => Some(Self::Reopened),
            (true, false) => Some(Self::Pause),
        }
    }

    fn longest_stage(stages: &FirstEventStages, first: Duration) -> Self {
        let took = [
            (stages.reserved, Self::Memory),
            (stages.prefilled.saturating_sub(stages.reserved), Self::Prefill),
            (stages.opened.saturating_sub(stages.prefilled), Self::Opening),
            (first.saturating_sub(stages.opened), Self::FirstEvent),
        ];
        took.into_iter().max_by_key(|(took, _cause)| *took).map_or(Self::FirstEvent, |it| it.1)
    }

    /// Name in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Continued => "continued",
            Self::Returned => "returned",
            Self::Memory => "memory",
            Self::Prefill => "prefill",
            Self::Opening => "opening",
            Self::FirstEvent => "first_event",
            Self::Reopened => "reopened",
            Self::Pause => "pause",
        }
    }
}
