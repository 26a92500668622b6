//! The streams that began lately, with the software version that began each.

use std::collections::{HashMap, VecDeque};

use dillspool_moment::Moment;
use dillspool_routing::SoftwareVersion;
use dillspool_schema::Name;

use crate::ORIGIN_TTL;

/// Maximum number of streams remembered; the oldest are dropped first.
const MAX_RECORDS: usize = 16_384;
/// Maximum length of an attempt's ID, which the caller chooses, and of the names of a service and a
/// software version. Some dozen records must fit into a message.
const MAX_NAME_BYTES: usize = 200;

/// A stream that began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginRecord {
    /// ID of the attempt that brought the first event.
    pub attempt: Name,
    /// Service whose engine sent it.
    pub service: Name,
    /// Version of that engine's software; `None` if it is in doubt.
    pub software: Option<SoftwareVersion>,
    /// When the stream was last known to be in progress.
    pub at: Moment,
}

impl OriginRecord {
    fn has_bounded_names(&self) -> bool {
        let software = self.software.as_ref().map_or(0, |software| software.0.len());
        [self.attempt.len(), self.service.len(), software].iter().all(|it| *it <= MAX_NAME_BYTES)
    }
}

/// Streams by the ID of the attempt that began them.
#[derive(Clone, Debug, Default)]
pub struct OriginRegistry {
    records: HashMap<Name, OriginRecord>,
    /// Attempts in the order in which they were recorded; a renewed one has several entries.
    order: VecDeque<(Name, Moment)>,
}

impl OriginRegistry {
    /// Records a stream; returns whether other hosts need the record.
    ///
    /// Records of one stream that disagree leave its version in doubt, in whatever order they come.
    pub fn record(&mut self, record: OriginRecord, now: Moment) -> bool {
        self.remove_expired(now);
        if !record.has_bounded_names() || is_expired(record.at, now) {
            return false;
        }
        let Some(known) = self.records.get_mut(&record.attempt) else {
            self.order.push_back((Name::clone(&record.attempt), record.at));
            self.records.insert(Name::clone(&record.attempt), record);
            self.remove_surplus();
            return true;
        };
        let agrees = known.service == record.service && known.software == record.software;
        let is_doubted = !agrees && known.software.is_some();
        if is_doubted {
            known.software = None;
        }
        // A renewal is worth another entry only after a good part of the time to live.
        let is_renewal = record.at.since(known.at) >= ORIGIN_TTL / 4;
        if is_renewal {
            known.at = record.at;
            self.order.push_back((record.attempt, record.at));
        }
        is_doubted || is_renewal
    }

    /// The record of the stream that an attempt began.
    pub fn get(&self, attempt: &str, now: Moment) -> Option<&OriginRecord> {
        self.records.get(attempt).filter(|record| !is_expired(record.at, now))
    }

    /// The newest `max_records` records, newest first.
    pub fn newest(&self, max_records: usize, now: Moment) -> impl Iterator<Item = &OriginRecord> {
        let current = self.order.iter().rev().filter_map(move |(attempt, at)| {
            // An older entry of a renewed record does not count.
            self.get(attempt, now).filter(|record| record.at == *at)
        });
        current.take(max_records)
    }

    /// Number of streams remembered.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    fn remove_expired(&mut self, now: Moment) {
        while self.order.front().is_some_and(|(_attempt, at)| is_expired(*at, now)) {
            self.remove_oldest();
        }
    }

    fn remove_surplus(&mut self) {
        while self.order.len() > MAX_RECORDS {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((attempt, at)) = self.order.pop_front() else { return };
        if self.records.get(&attempt).is_some_and(|record| record.at == at) {
            self.records.remove(&attempt);
        }
    }
}

fn is_expired(at: Moment, now: Moment) -> bool {
    now.since(at) >= ORIGIN_TTL
}
