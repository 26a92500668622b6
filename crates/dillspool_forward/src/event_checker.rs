//! Checks the events of an engine's run before they go to the caller.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dillspool_events::{
    EngineRelease, EventFlaw, EventSequence, HabitRegistry, HabitSet, HabitState, StreamEvent,
    StreamHabit,
};
use dillspool_routing::{BackendEntry, RoutedRequest};
use dillspool_schema::Name;

use crate::context::ForwardContext;
use crate::metrics::ForwardMetrics;

/// Events of a run after which it counts as sound for the habits of its service.
const SOUND_EVENTS: u64 = 8;
/// Events from which on a run that ends before counts as well, whatever ended it.
const MIN_SOUND_EVENTS: u64 = 2;

/// Shares what the streams of a host show of the engines' habits.
#[derive(Clone, Debug, Default)]
pub struct HabitTracker {
    registry: Arc<Mutex<HabitRegistry>>,
}

impl HabitTracker {
    /// Records an event for which no other engine was asked.
    pub(crate) fn record_unconfirmed(&self, event: &RejectedEvent) {
        if let Some(habit) = event.flaw.habit() {
            self.record(&event.release, &event.engine, habit);
        }
    }

    fn record(&self, release: &EngineRelease, engine: &Name, habit: StreamHabit) {
        self.registry().record_habit(release, engine, habit);
    }

    fn registry(&self) -> MutexGuard<'_, HabitRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An event that did not go to the caller.
#[derive(Clone, Debug)]
pub(crate) struct RejectedEvent {
    /// The engine that sent it.
    engine: Name,
    release: EngineRelease,
    flaw: EventFlaw,
}

/// Where a run goes on.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunStart {
    /// The caller has all events up to this one.
    pub(crate) last_event: Option<u64>,
    /// The event after it, as another engine sent it.
    pub(crate) rejected: Option<RejectedEvent>,
}

/// Checks the events of one engine's run.
#[derive(Debug)]
pub(crate) struct EventChecker {
    request: Arc<RoutedRequest>,
    entry: Arc<BackendEntry>,
    release: EngineRelease,
    habits: HabitTracker,
    metrics: ForwardMetrics,
    start: RunStart,
    sequence: EventSequence,
    /// Habits of events that went to the caller.
    shown: HabitSet,
    /// Habits in which the engine before agrees.
    confirmed: HabitSet,
    rejected: Option<RejectedEvent>,
    /// Events of the run.
    events: u64,
    is_recorded: bool,
}

impl EventChecker {
    /// Checks a run from its start.
    pub(crate) fn new(
        context: &ForwardContext,
        request: &Arc<RoutedRequest>,
        entry: &Arc<BackendEntry>,
        start: RunStart,
    ) -> Self {
        Self {
            request: Arc::clone(request),
            entry: Arc::clone(entry),
            release: EngineRelease {
                service: Name::clone(&request.service),
                software: Name::clone(&entry.software.0),
            },
            habits: context.habits.clone(),
            metrics: context.metrics.clone(),
            sequence: EventSequence::after(start.last_event),
            start,
            shown: HabitSet::default(),
            confirmed: HabitSet::default(),
            rejected: None,
            events: 0,
            is_recorded: false,
        }
    }

    /// Position of the stream.
    pub(crate) fn sequence(&self) -> &EventSequence {
        &self.sequence
    }

    /// Whether the run brought an event.
    pub(crate) fn has_events(&self) -> bool {
        self.events > 0
    }

    /// Where the next run goes on.
    pub(crate) fn next_start(&self) -> RunStart {
        let before = self.start.rejected.clone().filter(|_event| !self.has_events());
        RunStart { last_event: self.sequence.last(), rejected: self.rejected.clone().or(before) }
    }

    /// Records the next event; returns what is wrong with it if it must not go to the caller.
    pub(crate) fn admit(&mut self, event: &StreamEvent) -> Result<(), EventFlaw> {
        if let Some(flaw) = self.sequence.find_flaw(event) {
            let is_admitted = self.is_sound_here(flaw);
            self.report(flaw, is_admitted);
            if !is_admitted {
                self.sequence.record_rejected(flaw);
                if let Some(habit) = flaw.habit().filter(|habit| !self.shown.contains(*habit)) {
                    self.withdraw_sound(habit);
                }
                self.rejected = Some(RejectedEvent {
                    engine: Name::clone(&self.entry.id),
                    release: self.release.clone(),
                    flaw,
                });
                return Err(flaw);
            }
        }
        self.sequence.record_delivered(event);
        if event.fields.is_event() {
            self.events += 1;
            if self.events == SOUND_EVENTS {
                self.record_sound();
            }
        }
        Ok(())
    }

    /// Records that the run ended well.
    pub(crate) fn record_sound(&mut self) {
        if self.events == 0 || std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        let mut registry = self.habits.registry();
        let rejected = self.rejected.as_ref().and_then(|event| event.flaw.habit());
        for habit in StreamHabit::ALL {
            if self.tells_of(habit) && !self.shown.contains(habit) && rejected != Some(habit) {
                registry.record_sound(&self.release, habit);
            }
        }
    }

    fn record_habit(&mut self, habit: StreamHabit) {
        if self.shown.insert(habit) {
            self.withdraw_sound(habit);
            self.habits.record(&self.release, &self.entry.id, habit);
        }
    }

    fn withdraw_sound(&self, habit: StreamHabit) {
        if self.is_recorded && self.tells_of(habit) {
            self.habits.registry().withdraw_sound(&self.release, habit);
        }
    }

    /// Whether the run shows a habit if the engine has it.
    fn tells_of(&self, habit: StreamHabit) -> bool {
        habit != StreamHabit::StartsAtZero || self.start.last_event.is_none()
    }

    /// Whether an event with this flaw is sound for the engines of the service.
    ///
    /// A resumable stream asks another engine for an event that can't be judged; any other stream would be lost
    /// by that. An event that two engines send in the same way is sound.
    fn is_sound_here(&mut self, flaw: EventFlaw) -> bool {
        let Some(habit) = flaw.habit() else { return false };
        self.record_agreement(flaw, habit);
        let state = self.habits.registry().state(&self.release, habit);
        let is_sound = match state {
            HabitState::Present => true,
            HabitState::Absent => false,
            HabitState::Unknown => {
                self.confirmed.contains(habit)
                    || (!self.request.route.resumable && !self.breaks_numbering(habit))
            }
        };
        if is_sound {
            self.record_habit(habit);
        }
        is_sound
    }

    /// Records that an event shows a habit if another engine sent the same event in the same way.
    fn record_agreement(&mut self, flaw: EventFlaw, habit: StreamHabit) {
        let before = self.start.rejected.as_ref().filter(|_event| !self.has_events());
        let Some(before) = before.filter(|event| event.flaw == flaw) else { return };
        if before.engine != self.entry.id && self.confirmed.insert(habit) {
            self.habits.record(&before.release, &before.engine, habit);
        }
    }

    /// Whether an event without a number follows numbered ones.
    fn breaks_numbering(&self, habit: StreamHabit) -> bool {
        habit == StreamHabit::OmitsIds && self.sequence.last().is_some()
    }

    fn report(&self, flaw: EventFlaw, is_admitted: bool) {
        self.metrics.record_irregular_event(flaw.name(), is_admitted);
        if !is_admitted {
            log::info!(
                "event=event_rejected id={} service={} backend={} last_event={} events={} flaw={} after_ms={} cause=\"{flaw}\"",
                self.request.id,
                self.request.service,
                self.entry.id,
                self.sequence.last().unwrap_or(0),
                self.events,
                flaw.name(),
                self.request.age().as_millis(),
            );
        }
    }
}

impl Drop for EventChecker {
    /// A run that its caller left or that broke off tells as much of its engine's habits as one that ended well.
    fn drop(&mut self) {
        if self.events >= MIN_SOUND_EVENTS {
            self.record_sound();
        }
    }
}
