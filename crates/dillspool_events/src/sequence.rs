//! Checks the position of each event against those before it.

use std::fmt;

use crate::fields::EventId;
use crate::habits::StreamHabit;
use crate::splitter::StreamEvent;

/// First id of a stream that counts its events.
const FIRST_ID: u64 = 1;

/// Why the position of an event is wrong or can't be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventFlaw {
    /// Its id does not exceed the one before.
    NotRising {
        /// Its id.
        id: u64,
        /// The id before.
        last: u64,
    },
    /// Its id leaves others out.
    Skipping {
        /// Its id.
        id: u64,
        /// The id that follows the one before.
        expected: u64,
    },
    /// The first event has the id 0.
    ZeroStart,
    /// It has no id.
    NoId,
    /// Its id is no decimal number of 64 bits.
    UnreadableId,
    /// It has several ids.
    RepeatedId,
    /// It has an id and nothing that a client sees.
    NoContent,
    /// Carriage returns alone make an empty line within it.
    InnerEnd,
}

impl EventFlaw {
    /// The habit of an engine for which the event is sound; `None` if it never is.
    pub fn habit(self) -> Option<StreamHabit> {
        match self {
            Self::Skipping { .. } => Some(StreamHabit::SkipsIds),
            Self::ZeroStart => Some(StreamHabit::StartsAtZero),
            Self::NoId | Self::UnreadableId => Some(StreamHabit::OmitsIds),
            Self::NoContent => Some(StreamHabit::OmitsContent),
            Self::NotRising { .. } | Self::RepeatedId | Self::InnerEnd => None,
        }
    }

    /// Value of the flaw in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRising { .. } => "not_rising",
            Self::Skipping { .. } => "skipping",
            Self::ZeroStart => "zero_start",
            Self::NoId => "no_id",
            Self::UnreadableId => "unreadable_id",
            Self::RepeatedId => "repeated_id",
            Self::NoContent => "no_content",
            Self::InnerEnd => "inner_end",
        }
    }
}

impl fmt::Display for EventFlaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRising { id, last } => write!(f, "event {id} after event {last}"),
            Self::Skipping { id, expected } => write!(f, "event {id} in place of {expected}"),
            Self::ZeroStart => f.write_str("first event with id 0"),
            Self::NoId => f.write_str("an event without an id"),
            Self::UnreadableId => f.write_str("an event whose id is no number"),
            Self::RepeatedId => f.write_str("an event with several ids"),
            Self::NoContent => f.write_str("an event without data"),
            Self::InnerEnd => f.write_str("an event that clients split"),
        }
    }
}

/// Position of a stream: what its caller has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventSequence {
    /// Id of the last event that the caller has.
    last: Option<u64>,
    /// Whether the caller has an event after `last` that no id stands for.
    has_unnumbered: bool,
    /// Last id that skipped others, and the one before it.
    skip: Option<(u64, u64)>,
    /// Whether a later event showed that `last` may be wrong.
    is_in_doubt: bool,
}

impl EventSequence {
    /// A stream whose caller has all events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self { last, has_unnumbered: false, skip: None, is_in_doubt: false }
    }

    /// Id of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether `last` tells what the caller has, so that another engine can go on after it.
    pub fn is_resumable(&self) -> bool {
        let is_numbered = self.last.is_some() || !self.has_unnumbered;
        is_numbered && !self.is_in_doubt
    }

    /// What is wrong with the position of the next event.
    pub fn find_flaw(&self, event: &StreamEvent) -> Option<EventFlaw> {
        if event.fields.has_inner_end {
            return Some(EventFlaw::InnerEnd);
        }
        match event.fields.id {
            EventId::Missing => event.fields.has_content.then_some(EventFlaw::NoId),
            EventId::Unreadable => Some(EventFlaw::UnreadableId),
            EventId::Repeated => Some(EventFlaw::RepeatedId),
            EventId::Number(id) => self
                .find_id_flaw(id)
                .or_else(|| (!event.fields.has_content).then_some(EventFlaw::NoContent)),
        }
    }

    fn find_id_flaw(&self, id: u64) -> Option<EventFlaw> {
        let expected = match self.last {
            Some(last) if id <= last => return Some(EventFlaw::NotRising { id, last }),
            // Ids that can't rise any more were refused above.
            Some(last) => last.saturating_add(1),
            None if id == 0 => return Some(EventFlaw::ZeroStart),
            None => FIRST_ID,
        };
        (id != expected).then_some(EventFlaw::Skipping { id, expected })
    }

    /// Records an event that goes to the caller.
    pub fn record_delivered(&mut self, event: &StreamEvent) {
        match event.fields.id {
            EventId::Number(id) => {
                if let Some(last) = self.last.filter(|last| id > last.saturating_add(1)) {
                    self.skip = Some((id, last));
                }
                (self.last, self.has_unnumbered) = (Some(id), false);
            }
            EventId::Missing | EventId::Unreadable | EventId::Repeated => {
                self.has_unnumbered |= event.fields.has_content;
            }
        }
    }

    /// Records an event that does not go to the caller.
    ///
    /// An id between the last two shows that the last one may have been the wrong one. An id that is left out may
    /// be that of an event without one.
    pub fn record_rejected(&mut self, flaw: EventFlaw) {
        match (flaw, self.skip) {
            (EventFlaw::NotRising { id, .. }, Some((skipping, before))) => {
                self.is_in_doubt |= before < id && id <= skipping;
            }
            (EventFlaw::Skipping { .. }, _) => self.is_in_doubt |= self.has_unnumbered,
            (
                EventFlaw::NotRising { .. }
                | EventFlaw::ZeroStart
                | EventFlaw::NoId
                | EventFlaw::UnreadableId
                | EventFlaw::RepeatedId
                | EventFlaw::NoContent
                | EventFlaw::InnerEnd,
                _,
            ) => {}
        }
    }
}
