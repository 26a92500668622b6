//! Relays which software version began each stream, on the links of a pool.
//!
//! A host tells its scheduler of each stream that it begins. The scheduler passes these records on to
//! other hosts, which keep them in case both of the first two are lost: to a few hosts while the service
//! has one version, else to many. It answers hosts to which callers return. Hosts of an earlier build
//! get none of these messages. See `docs/design/software_versions.md`.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_origins::{OriginAnswer, OriginRecord, OriginTracker, ServiceVersions};
use dillspool_routing::SoftwareVersion;
use dillspool_schema::Name;
use dillspool_schema::schedule::{
    ScheduleMessage, ScheduleOrigin, ScheduleOriginAnswer, ScheduleOriginAsk, ScheduleOrigins,
};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::wire::millis;

/// Number of hosts that keep the records of a service with several versions. All of a small fleet do;
/// of a large one, so many that some survive the loss of half of its hosts.
const MAX_KEEPERS: usize = 16;
/// Number of hosts that keep the records of a service with one version. They are needed only if it gets
/// a second one before the callers of a lost host have returned.
const QUIET_KEEPERS: usize = 2;
/// Time for which a scheduler collects records before it passes them on. Only the loss of both the
/// scheduler and the host that sent them loses these.
const RELAY_INTERVAL: Duration = Duration::from_millis(50);
/// Records in one message, which stays below the maximum size of a message with names of any length.
const MAX_MESSAGE_RECORDS: usize = 64;
/// Newest records sent when a link opens.
const MAX_INITIAL_RECORDS: usize = 2_048;

/// The links of one served host, by number.
type HostLinks = BTreeMap<u64, mpsc::Sender<ScheduleMessage>>;

#[derive(Default)]
struct RelayState {
    /// Links by hash and name of the host. The first hosts are the keepers, so few of them change as
    /// hosts come and go.
    links: BTreeMap<(u64, Name), HostLinks>,
    /// Records that are not passed on yet.
    pending: Vec<OriginRecord>,
}

/// Passes records on to the hosts that keep them.
#[derive(Clone)]
pub(crate) struct OriginRelay {
    pub(crate) tracker: OriginTracker,
    state: Arc<Mutex<RelayState>>,
}

impl fmt::Debug for OriginRelay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OriginRelay")
    }
}

impl OriginRelay {
    pub(crate) fn new(tracker: OriginTracker) -> Self {
        Self { tracker, state: Arc::default() }
    }

    fn with<T>(&self, run: impl FnOnce(&mut RelayState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Registers the link of a served host, and sends it the newest records if it keeps those of a
    /// service with several versions.
    pub(crate) fn serve_link(
        &self,
        host: &Name,
        number: u64,
        sender: &mpsc::Sender<ScheduleMessage>,
    ) -> KeeperLink {
        let key = (xxh3_64(host.as_bytes()), Name::clone(host));
        let is_keeper = self.with(|state| {
            state.links.entry(key.clone()).or_default().insert(number, sender.clone());
            state.links.keys().take(MAX_KEEPERS).any(|keeper| *keeper == key)
        });
        if is_keeper {
            for message in self.initial_messages() {
                let _queued = sender.try_send(message);
            }
        }
        KeeperLink { relay: self.clone(), key, number }
    }

    /// The newest records of services that other hosts need records of.
    pub(crate) fn initial_messages(&self) -> Vec<ScheduleMessage> {
        self.encode(&self.tracker.newest_shared(MAX_INITIAL_RECORDS))
    }

    /// Applies records of another host and returns those that were new.
    pub(crate) fn receive(&self, message: ScheduleOrigins) -> Vec<OriginRecord> {
        let records = message.streams.into_iter().map(|it| decode(it, self.tracker.clock()));
        records.filter(|record| self.tracker.apply_record(record.clone())).collect()
    }

    /// Passes records on to the hosts that keep them.
    pub(crate) fn relay(&self, records: Vec<OriginRecord>) {
        if records.is_empty() {
            return;
        }
        let is_first = self.with(|state| {
            let is_first = state.pending.is_empty();
            state.pending.extend(records);
            is_first
        });
        if is_first {
            let relay = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(RELAY_INTERVAL).await;
                relay.flush();
            });
        }
    }

    fn flush(&self) {
        let (pending, keepers) = self.with(|state| {
            let newest = |links: &HostLinks| links.values().next_back().cloned();
            let keepers: Vec<_> =
                state.links.values().take(MAX_KEEPERS).filter_map(newest).collect();
            (std::mem::take(&mut state.pending), keepers)
        });
        let is_shared = pending.iter().any(|record| self.tracker.is_shared(&record.service));
        let count = if is_shared { MAX_KEEPERS } else { QUIET_KEEPERS };
        for message in self.encode(&pending) {
            for keeper in keepers.iter().take(count) {
                // A host that does not read loses records that others keep, too.
                let _queued = keeper.try_send(message.clone());
            }
        }
    }

    /// Encodes records as messages.
    pub(crate) fn encode(&self, records: &[OriginRecord]) -> Vec<ScheduleMessage> {
        let message = |records: &[OriginRecord]| {
            let streams =
                records.iter().map(|record| encode(record, self.tracker.clock())).collect();
            ScheduleMessage::Origins(ScheduleOrigins { streams })
        };
        records.chunks(MAX_MESSAGE_RECORDS).map(message).collect()
    }

    /// Answers a host to which the caller of a stream has returned.
    pub(crate) fn answer(&self, service: &Name, ask: &ScheduleOriginAsk) -> ScheduleMessage {
        let OriginAnswer { record, versions } = self.tracker.find(service, ask.attempt.as_deref());
        ScheduleMessage::OriginKnown(ScheduleOriginAnswer {
            ticket: ask.ticket,
            stream: record.map(|record| encode(&record, self.tracker.clock())),
            versions: versions.versions.into_iter().map(|version| version.0).collect(),
            complete: versions.is_complete,
        })
    }

    /// Decodes a scheduler's answer.
    pub(crate) fn decode_answer(&self, message: ScheduleOriginAnswer) -> OriginAnswer {
        let versions = message.versions.into_iter().map(SoftwareVersion).collect();
        OriginAnswer {
            record: message.stream.map(|stream| decode(stream, self.tracker.clock())),
            versions: ServiceVersions { versions, is_complete: message.complete },
        }
    }
}

fn encode(record: &OriginRecord, clock: &HostClock) -> ScheduleOrigin {
    ScheduleOrigin {
        attempt: Name::clone(&record.attempt),
        service: Name::clone(&record.service),
        software: record.software.as_ref().map(|software| Name::clone(&software.0)),
        age_ms: millis(clock.since(record.at)),
    }
}

fn decode(message: ScheduleOrigin, clock: &HostClock) -> OriginRecord {
    OriginRecord {
        attempt: message.attempt,
        service: message.service,
        software: message.software.map(SoftwareVersion),
        at: clock.now().saturating_sub(Duration::from_millis(message.age_ms)),
    }
}

/// A registered link of a served host, until it is dropped.
pub(crate) struct KeeperLink {
    relay: OriginRelay,
    key: (u64, Name),
    number: u64,
}

impl Drop for KeeperLink {
    fn drop(&mut self) {
        self.relay.with(|state| {
            let Some(links) = state.links.get_mut(&self.key) else { return };
            links.remove(&self.number);
            if links.is_empty() {
                state.links.remove(&self.key);
            }
        });
    }
}
