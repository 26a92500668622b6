//! The row of one host, and conversion of its timestamps.

use std::collections::HashSet;
use std::sync::Arc;

use dillspool_io::{UnixMillis, WallClock};
use dillspool_moment::Moment;
use dillspool_schema::Name;
use dillspool_suspects::{
    BackendCrash, RequestFingerprint, SuspectDecision, SuspectTracker, SuspectUpdate,
};
use serde::{Deserialize, Serialize};

/// Maximum number of entries, the newest ones; each takes about 100 bytes, and a row is limited to
/// 64 KB.
const MAX_ENTRIES: usize = 256;
/// Maximum length of a backend server's name in a row.
const MAX_BACKEND_NAME_BYTES: usize = 200;

/// Crash of a backend server while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(super) struct RowCrash {
    #[serde(rename = "print")]
    fingerprint: Name,
    backend: Name,
    at: UnixMillis,
}

/// Successful run of a request with the same fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(super) struct RowSuccess {
    #[serde(rename = "print")]
    fingerprint: Name,
    at: UnixMillis,
}

/// The row of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub(super) struct SuspectRow {
    #[serde(rename = "ends")]
    pub(super) crashes: Vec<RowCrash>,
    #[serde(default, rename = "whole")]
    pub(super) successes: Vec<RowSuccess>,
}

impl SuspectRow {
    pub(super) fn decode(text: &str) -> Result<Self, String> {
        let row: Self = serde_json::from_str(text).map_err(|error| error.to_string())?;
        if row.crashes.len() > MAX_ENTRIES || row.successes.len() > MAX_ENTRIES {
            return Err(format!("more than {MAX_ENTRIES} entries"));
        }
        let fingerprints = row.crashes.iter().map(|crash| &crash.fingerprint);
        for fingerprint in
            fingerprints.chain(row.successes.iter().map(|success| &success.fingerprint))
        {
            fingerprint.parse::<RequestFingerprint>().map_err(|error| error.to_string())?;
        }
        if row
            .crashes
            .iter()
            .any(|crash| crash.backend.is_empty() || crash.backend.len() > MAX_BACKEND_NAME_BYTES)
        {
            return Err("a backend server's name is empty or too long".to_owned());
        }
        Ok(row)
    }

    pub(super) fn add(&mut self, update: &SuspectUpdate, clock: &TrackerClock) {
        match update {
            SuspectUpdate::Crashed(crash) => self.crashes.push(RowCrash {
                fingerprint: crash.fingerprint.to_string().into(),
                backend: Arc::clone(&crash.backend),
                at: clock.wall_of(crash.at),
            }),
            // The crashes that it clears are dropped instead.
            SuspectUpdate::Succeeded { fingerprint, .. } if fingerprint.is_part() => {}
            SuspectUpdate::Succeeded { fingerprint, at } => self.successes.push(RowSuccess {
                fingerprint: fingerprint.to_string().into(),
                at: clock.wall_of(*at),
            }),
        }
        let excess = self.crashes.len().saturating_sub(MAX_ENTRIES);
        self.crashes.drain(..excess);
        let excess = self.successes.len().saturating_sub(MAX_ENTRIES);
        self.successes.drain(..excess);
    }

    /// Removes the crashes of parts that are not held against them any more, and records the success that cleared
    /// them for hosts that learn of it only from this row. Crashes that were evicted or have expired were not
    /// cleared by any.
    pub(super) fn drop_cleared_parts(&mut self, clock: &TrackerClock) {
        let is_cleared = |crash: &RowCrash| {
            crash.fingerprint.parse::<RequestFingerprint>().is_ok_and(|fingerprint| {
                fingerprint.is_part() && !clock.tracker.holds_crash(fingerprint, &crash.backend)
            })
        };
        let (cleared, held) =
            std::mem::take(&mut self.crashes).into_iter().partition::<Vec<_>, _>(is_cleared);
        self.crashes = held;
        for RowCrash { fingerprint, at, .. } in cleared {
            let part = fingerprint.parse::<RequestFingerprint>().ok();
            let success = part.and_then(|part| clock.tracker.last_success(part));
            let Some(success) = success.filter(|success| *success >= clock.moment_of(at)) else {
                continue;
            };
            self.successes.retain(|known| known.fingerprint != fingerprint);
            self.successes.push(RowSuccess { fingerprint, at: clock.wall_of(success) });
        }
        let excess = self.successes.len().saturating_sub(MAX_ENTRIES);
        self.successes.drain(..excess);
    }

    /// Returns whether a crash is recorded.
    pub(super) fn contains(&self, crash: &BackendCrash) -> bool {
        let fingerprint = crash.fingerprint.to_string();
        self.crashes.iter().any(|it| *it.fingerprint == *fingerprint && it.backend == crash.backend)
    }

    /// Adds the entries of another row that are missing here.
    pub(super) fn adopt(&mut self, other: &Self) {
        for crash in &other.crashes {
            let known =
                |it: &RowCrash| it.fingerprint == crash.fingerprint && it.backend == crash.backend;
            if !self.crashes.iter().any(known) {
                self.crashes.push(crash.clone());
            }
        }
        for success in &other.successes {
            if !self.successes.contains(success) {
                self.successes.push(success.clone());
            }
        }
    }

    /// The entries as updates for a tracker.
    pub(super) fn updates(&self, clock: &TrackerClock) -> Vec<SuspectUpdate> {
        let crashes = self.crashes.iter().filter_map(|crash| {
            let fingerprint = crash.fingerprint.parse().ok()?;
            let backend = Arc::clone(&crash.backend);
            Some(SuspectUpdate::Crashed(BackendCrash {
                fingerprint,
                backend,
                at: clock.moment_of(crash.at),
            }))
        });
        let successes = self.successes.iter().filter_map(|success| {
            let fingerprint = success.fingerprint.parse().ok()?;
            Some(SuspectUpdate::Succeeded { fingerprint, at: clock.moment_of(success.at) })
        });
        crashes.chain(successes).collect()
    }

    /// Removes entries of requests that are no longer suspect.
    pub(super) fn prune(&mut self, tracker: &SuspectTracker) {
        let is_suspect = |fingerprint: &Name| {
            fingerprint
                .parse()
                .is_ok_and(|fingerprint| tracker.decide(fingerprint) != SuspectDecision::Clear)
        };
        self.crashes.retain(|crash| is_suspect(&crash.fingerprint));
        let crashed: HashSet<Name> =
            self.crashes.iter().map(|crash| Name::clone(&crash.fingerprint)).collect();
        self.successes.retain(|success| crashed.contains(&success.fingerprint));
    }

    pub(super) fn newest(&self) -> UnixMillis {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        crashes.chain(self.successes.iter().map(|success| success.at)).max().unwrap_or_default()
    }
}

/// Converts between the tracker's clock and wall-clock time. The wall clocks of hosts agree well
/// enough: entries are valid for minutes, and clocks differ by seconds.
pub(super) struct TrackerClock {
    pub(super) tracker: SuspectTracker,
    pub(super) wall: WallClock,
}

impl TrackerClock {
    pub(super) fn wall_of(&self, at: Moment) -> UnixMillis {
        let age = self.tracker.now().since(at);
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(self.wall.now().0.saturating_sub(age))
    }

    pub(super) fn moment_of(&self, at: UnixMillis) -> Moment {
        self.tracker.now().saturating_sub(self.wall.now().since(at))
    }
}
