//! Server-sent events of an engine's stream: where each ends, and whether it may go to the caller.
//!
//! [`EventSplitter`] finds complete events, [`EventFields`] reads what they say of their position,
//! and [`EventSequence`] checks the position against the events before. What sound engines of a
//! service do that others don't is learned in a [`HabitRegistry`]. None of them does I/O. See
//! `docs/design/stream_events.md`.

mod fields;
mod habits;
mod sequence;
mod splitter;

pub use fields::{EventFields, EventId};
pub use habits::{EngineRelease, HabitRegistry, HabitSet, HabitState, StreamHabit};
pub use sequence::{EventFlaw, EventSequence};
pub use splitter::{EventSplitter, StreamEvent};
