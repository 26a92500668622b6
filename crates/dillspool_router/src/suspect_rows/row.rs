//! The row of one host, and how its times are read.

use std::collections::HashSet;
use std::sync::Arc;

use dillspool_io::{UnixMillis, WallClock};
use dillspool_moment::Moment;
use dillspool_schema::Name;
use dillspool_suspects::{
    BackendCrash, RequestFingerprint, SuspectDecision, SuspectTracker, SuspectUpdate,
};
use serde::{Deserialize, Serialize};

/// Entries of a row at most, the newest; each takes some 100 bytes, and a row may have 64 KB.
const MOST_ENTRIES: usize = 256;
/// Bytes of a backend server's name in a row at most.
const LONGEST_BACKEND: usize = 200;

/// A backend server that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(super) struct RowEnd {
    print: Name,
    backend: Name,
    at: UnixMillis,
}

/// A copy that came to a good end.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(super) struct RowWhole {
    print: Name,
    at: UnixMillis,
}

/// The row of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub(super) struct SuspectRow {
    pub(super) ends: Vec<RowEnd>,
    #[serde(default)]
    pub(super) whole: Vec<RowWhole>,
}

impl SuspectRow {
    pub(super) fn decode(text: &str) -> Result<Self, String> {
        let row: Self = serde_json::from_str(text).map_err(|error| error.to_string())?;
        if row.ends.len() > MOST_ENTRIES || row.whole.len() > MOST_ENTRIES {
            return Err(format!("more than {MOST_ENTRIES} entries"));
        }
        let prints = row.ends.iter().map(|end| &end.print);
        for print in prints.chain(row.whole.iter().map(|whole| &whole.print)) {
            print.parse::<RequestFingerprint>().map_err(|error| error.to_string())?;
        }
        if row.ends.iter().any(|end| end.backend.is_empty() || end.backend.len() > LONGEST_BACKEND)
        {
            return Err("a backend server's name is empty or too long".to_owned());
        }
        Ok(row)
    }

    pub(super) fn add(&mut self, news: &SuspectUpdate, clock: &DeskClock) {
        match news {
            SuspectUpdate::Crashed(end) => self.ends.push(RowEnd {
                print: end.fingerprint.to_string().into(),
                backend: Arc::clone(&end.backend),
                at: clock.wall_of(end.at),
            }),
            SuspectUpdate::Succeeded { fingerprint: print, at } => self
                .whole
                .push(RowWhole { print: print.to_string().into(), at: clock.wall_of(*at) }),
        }
        let excess = self.ends.len().saturating_sub(MOST_ENTRIES);
        self.ends.drain(..excess);
        let excess = self.whole.len().saturating_sub(MOST_ENTRIES);
        self.whole.drain(..excess);
    }

    /// Whether it tells of an end.
    pub(super) fn tells(&self, end: &BackendCrash) -> bool {
        let print = end.fingerprint.to_string();
        self.ends.iter().any(|told| *told.print == *print && told.backend == end.backend)
    }

    /// Adds what another row tells and this one does not.
    pub(super) fn adopt(&mut self, other: &Self) {
        for end in &other.ends {
            let known = |it: &RowEnd| it.print == end.print && it.backend == end.backend;
            if !self.ends.iter().any(known) {
                self.ends.push(end.clone());
            }
        }
        for whole in &other.whole {
            if !self.whole.contains(whole) {
                self.whole.push(whole.clone());
            }
        }
    }

    /// What it tells, in the words of a desk.
    pub(super) fn news(&self, clock: &DeskClock) -> Vec<SuspectUpdate> {
        let ended = self.ends.iter().filter_map(|end| {
            let print = end.print.parse().ok()?;
            let backend = Arc::clone(&end.backend);
            Some(SuspectUpdate::Crashed(BackendCrash {
                fingerprint: print,
                backend,
                at: clock.moment_of(end.at),
            }))
        });
        let whole = self.whole.iter().filter_map(|whole| {
            let print = whole.print.parse().ok()?;
            Some(SuspectUpdate::Succeeded { fingerprint: print, at: clock.moment_of(whole.at) })
        });
        ended.chain(whole).collect()
    }

    /// Drops what stands against nobody any more.
    pub(super) fn prune(&mut self, desk: &SuspectTracker) {
        let stands = |print: &Name| {
            print.parse().is_ok_and(|print| desk.decide(print) != SuspectDecision::Clear)
        };
        self.ends.retain(|end| stands(&end.print));
        let told: HashSet<Name> = self.ends.iter().map(|end| Name::clone(&end.print)).collect();
        self.whole.retain(|whole| told.contains(&whole.print));
    }

    pub(super) fn newest(&self) -> UnixMillis {
        let ends = self.ends.iter().map(|end| end.at);
        ends.chain(self.whole.iter().map(|whole| whole.at)).max().unwrap_or_default()
    }
}

/// Translates between a desk's moments and the time of day, which hosts share well enough: what is told
/// stands for minutes, and clocks differ by seconds.
pub(super) struct DeskClock {
    pub(super) desk: SuspectTracker,
    pub(super) wall: WallClock,
}

impl DeskClock {
    pub(super) fn wall_of(&self, at: Moment) -> UnixMillis {
        let age = self.desk.now().since(at);
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(self.wall.now().0.saturating_sub(age))
    }

    pub(super) fn moment_of(&self, at: UnixMillis) -> Moment {
        self.desk.now().saturating_sub(self.wall.now().since(at))
    }
}
