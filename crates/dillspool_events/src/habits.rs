//! Learns what the engines of a service do with ids that others don't.
//!
//! An event that one engine numbers in a way of its own is a fault. If most streams of several
//! engines are numbered so, it is the way of the service.

use std::collections::{BTreeSet, HashMap, VecDeque};

use dillspool_schema::Name;

/// Number of streams that are remembered for a habit.
const MAX_VOTES: usize = 32;
/// Number of releases that are remembered; far fewer are in service at the same time.
const MAX_RELEASES: usize = 4_096;
/// Streams with a habit that show it on their own, and engines that do.
const MIN_STREAMS: usize = 3;
const MIN_ENGINES: usize = 2;
/// Streams with a habit for each one without, from which on it is the way of the service.
const MIN_SHOWN_RATIO: usize = 3;
/// Sound streams from which on a habit counts as absent.
const MIN_SOUND_STREAMS: usize = 4;

/// What sound engines of some services do with their events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamHabit {
    /// They leave ids out.
    SkipsIds,
    /// Their first id is 0.
    StartsAtZero,
    /// They send events without an id, or with one that is no number.
    OmitsIds,
    /// They send events that have an id only.
    OmitsContent,
}

impl StreamHabit {
    /// All habits.
    pub const ALL: [Self; 4] =
        [Self::SkipsIds, Self::StartsAtZero, Self::OmitsIds, Self::OmitsContent];

    fn index(self) -> usize {
        match self {
            Self::SkipsIds => 0,
            Self::StartsAtZero => 1,
            Self::OmitsIds => 2,
            Self::OmitsContent => 3,
        }
    }
}

/// A set of habits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HabitSet([bool; StreamHabit::ALL.len()]);

impl HabitSet {
    /// Adds a habit; returns whether it was new.
    pub fn insert(&mut self, habit: StreamHabit) -> bool {
        !std::mem::replace(&mut self.0[habit.index()], true)
    }

    /// Whether it holds a habit.
    pub fn contains(self, habit: StreamHabit) -> bool {
        self.0[habit.index()]
    }
}

/// What is known of a habit of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HabitState {
    /// Its engines have it.
    Present,
    /// They do not have it.
    Absent,
    /// Too few streams were seen.
    Unknown,
}

/// Streams that showed a habit, by their engine, and streams that did not.
#[derive(Clone, Debug, Default)]
struct HabitVotes {
    votes: VecDeque<Option<Name>>,
}

impl HabitVotes {
    fn record(&mut self, engine: Option<Name>) {
        if self.votes.len() == MAX_VOTES {
            self.votes.pop_front();
        }
        self.votes.push_back(engine);
    }

    fn withdraw_sound(&mut self) {
        if let Some(at) = self.votes.iter().rposition(Option::is_none) {
            self.votes.remove(at);
        }
    }

    fn state(&self) -> HabitState {
        let shown: Vec<&Name> = self.votes.iter().flatten().collect();
        let engines: BTreeSet<&Name> = shown.iter().copied().collect();
        let sound = self.votes.len() - shown.len();
        let is_confirmed = shown.len() >= MIN_STREAMS || engines.len() >= MIN_ENGINES;
        if is_confirmed && shown.len() >= MIN_SHOWN_RATIO * sound {
            HabitState::Present
        } else if sound >= MIN_SOUND_STREAMS {
            HabitState::Absent
        } else {
            HabitState::Unknown
        }
    }
}

/// Engines that number their events in the same way: those of a service with the same software.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EngineRelease {
    /// The service.
    pub service: Name,
    /// Version of the software.
    pub software: Name,
}

/// The habits of all services, as far as the streams of this host show them.
#[derive(Clone, Debug, Default)]
pub struct HabitRegistry {
    releases: HashMap<EngineRelease, [HabitVotes; StreamHabit::ALL.len()]>,
}

impl HabitRegistry {
    /// Records that a stream of an engine showed a habit; called once for each stream and habit.
    pub fn record_habit(&mut self, release: &EngineRelease, engine: &Name, habit: StreamHabit) {
        self.votes(release)[habit.index()].record(Some(Name::clone(engine)));
    }

    /// Records a stream that did without a habit.
    pub fn record_sound(&mut self, release: &EngineRelease, habit: StreamHabit) {
        self.votes(release)[habit.index()].record(None);
    }

    /// Takes back the vote of a stream that did without a habit at first.
    pub fn withdraw_sound(&mut self, release: &EngineRelease, habit: StreamHabit) {
        self.votes(release)[habit.index()].withdraw_sound();
    }

    /// What is known of a habit of a release.
    pub fn state(&self, release: &EngineRelease, habit: StreamHabit) -> HabitState {
        let votes = self.releases.get(release);
        votes.map_or(HabitState::Unknown, |votes| votes[habit.index()].state())
    }

    fn votes(&mut self, release: &EngineRelease) -> &mut [HabitVotes; StreamHabit::ALL.len()] {
        if self.releases.len() == MAX_RELEASES && !self.releases.contains_key(release) {
            // Releases that have left are not told apart from others.
            self.releases.clear();
        }
        self.releases.entry(release.clone()).or_default()
    }
}
