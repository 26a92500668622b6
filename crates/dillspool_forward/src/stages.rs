//! Timing of a stream up to and after its first event, and why it was late.

use std::time::Duration;

use dillspool_routing::RoutedRequest;
use tokio::time::Instant;

/// When each stage before a stream's first event ended, measured from the request's arrival.
///
/// The latency objective applies to the first event only. Delays from resuming at another engine
/// later show up as event gaps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FirstEventStages {
    /// Decode memory was reserved.
    pub(crate) reserved: Duration,
    /// The prefill ended, or was left to the decode engine.
    pub(crate) prefilled: Duration,
    /// The head of the decode engine's response arrived.
    pub(crate) opened: Duration,
}

/// Statistics of a stream's events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamStats {
    /// Number of events relayed.
    pub(crate) events: u64,
    /// Time from the request's arrival to its first event.
    pub(crate) time_to_first_event: Duration,
    /// When the first event was relayed.
    pub(crate) first_at: Option<Instant>,
    /// When the last event was relayed.
    pub(crate) last_at: Option<Instant>,
    /// Longest gap between two events.
    pub(crate) longest_event_gap: Duration,
    /// Number of times that the stream was resumed at another engine.
    pub(crate) resumes: u32,
    /// Whether the decode engine prefilled the prompt itself.
    pub(crate) read_at_decode: bool,
}

impl StreamStats {
    /// Mean gap between events; `None` for fewer than two events.
    pub(crate) fn mean_event_gap(&self) -> Option<Duration> {
        let gaps = u32::try_from(self.events.checked_sub(1)?).ok().filter(|gaps| *gaps > 0)?;
        Some(self.last_at?.saturating_duration_since(self.first_at?) / gaps)
    }

    /// Records events that are relayed now and returns the gap before them; `None` for the first
    /// events.
    pub(crate) fn record_events(&mut self, count: u64, age: Duration) -> Option<Duration> {
        let now = Instant::now();
        let gap = self.last_at.map(|last_at| now - last_at);
        match gap {
            None => {
                self.time_to_first_event = age;
                self.first_at = Some(now);
            }
            Some(gap) => self.longest_event_gap = self.longest_event_gap.max(gap),
        }
        self.last_at = Some(now);
        self.events += count;
        gap
    }
}

/// Why a complete stream was late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LateCause {
    /// The caller resumed a stream that had broken off.
    Continued,
    /// The caller had been refused before; the objective counts from its first attempt.
    Returned,
    /// Waiting for decode memory took longest.
    Memory,
    /// The prefill took longest.
    Prefill,
    /// Waiting for the decode engine to accept the request took longest.
    Opening,
    /// Waiting for the decode engine's first event took longest.
    FirstEvent,
    /// An event gap was too long, and the stream was resumed at another engine.
    Reopened,
    /// An event gap at one engine was too long.
    Pause,
}

impl LateCause {
    /// The cause, or `None` if the stream was in time.
    pub(crate) fn of(
        request: &RoutedRequest,
        stages: &FirstEventStages,
        stream_stats: &StreamStats,
    ) -> Option<Self> {
        if request.resume_after.is_some() {
            return Some(Self::Continued);
        }
        let objective = request.route.objective;
        let first = stream_stats.time_to_first_event;
        if first > objective {
            return Some(Self::longest_stage(stages, first));
        }
        if request.is_client_retry() && request.spent_before + first > objective {
            return Some(Self::Returned);
        }
        let target = request.route.max_event_gap?;
        match (stream_stats.longest_event_gap > target, stream_stats.resumes > 0) {
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

    /// Value in the log.
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
