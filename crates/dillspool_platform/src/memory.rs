//! The services in memory, behind the stand-ins and in tests.
//!
//! They count what is asked of them and fail on order: down, slow, or with the answer lost after
//! the write took effect.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_schema::Name;
use dillspool_version::{StoreEra, StoreVersion};

use crate::PlatformError;
use crate::hosts::{HostEntry, HostList, HostListQuery, HostListReply};
use crate::objects::{ListReply, ListRequest, ObjectReply, ObjectStore, PutRequest};
use crate::table::{
    CommitReply, CommitRequest, ReadReply, ReadRequest, RowPrecondition, RowWrite, ScanReply,
    ScanRequest, ScannedRow, TableRow, TableStore,
};

/// Keys in one page of a list of objects.
const LIST_PAGE: usize = 1000;

/// What goes wrong with one call, or with all until it is mended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    None,
    /// The call is refused without effect.
    Refuse,
    /// The call takes effect but its answer is lost.
    LoseResponse,
    /// The call is lost without effect, and looks like a lost answer.
    LoseRequest,
    /// The call seems lost, and takes effect after this time.
    Late(Duration),
}

/// What was asked of a service so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreUsage {
    /// Calls that read.
    pub reads: u64,
    /// Calls that write.
    pub writes: u64,
    /// Rows written.
    pub rows: u64,
}

/// The rows of a table as they were at a moment.
#[derive(Clone, Debug)]
pub struct TableSnapshot {
    rows: BTreeMap<Name, TableRow>,
    newest_number: u64,
}

#[derive(Debug, Default)]
struct TableState {
    rows: BTreeMap<Name, TableRow>,
    /// How often it came back from a copy.
    era: u64,
    newest_number: u64,
    outage: Option<StoreFault>,
    next_commits: VecDeque<StoreFault>,
    usage: StoreUsage,
}

/// A table in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    state: Arc<Mutex<TableState>>,
}

fn lost() -> PlatformError {
    PlatformError::Unknown { reason: "the answer was lost".to_owned() }
}

fn refused() -> PlatformError {
    PlatformError::NotDone { reason: "the service is down".to_owned() }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets every call fail this way until [`StoreFault::None`] is set.
    pub fn set_outage(&self, fault: StoreFault) {
        locked(&self.state).outage = (fault != StoreFault::None).then_some(fault);
    }

    /// Lets the next commits fail, one fault for each in turn.
    pub fn fail_commits(&self, faults: impl IntoIterator<Item = StoreFault>) {
        locked(&self.state).next_commits.extend(faults);
    }

    /// Ends all faults, also those that were due.
    pub fn clear_faults(&self) {
        let mut state = locked(&self.state);
        state.outage = None;
        state.next_commits.clear();
    }

    /// Its rows as they are now.
    pub fn snapshot(&self) -> TableSnapshot {
        let state = locked(&self.state);
        TableSnapshot { rows: state.rows.clone(), newest_number: state.newest_number }
    }

    /// Becomes what it was: what was written since the copy is gone, and its versions are given out again.
    pub fn restore(&self, copy: &TableSnapshot) {
        let mut state = locked(&self.state);
        state.era += 1;
        state.rows.clone_from(&copy.rows);
        state.newest_number = copy.newest_number;
        // A row that stayed has its number, in the era that there is now.
        let era = StoreEra::new(state.era);
        for row in state.rows.values_mut() {
            row.version = StoreVersion::new(era, row.version.number());
        }
    }

    /// What was asked so far.
    pub fn usage(&self) -> StoreUsage {
        locked(&self.state).usage
    }

    /// Reads rows.
    pub fn read(&self, request: &ReadRequest) -> Result<ReadReply, PlatformError> {
        let mut state = locked(&self.state);
        state.usage.reads += 1;
        state.check_outage()?;
        let rows = request.keys.iter().map(|key| state.rows.get(key).cloned()).collect();
        Ok(ReadReply { rows, version: state.version() })
    }

    /// Reads a range of rows.
    pub fn scan(&self, request: &ScanRequest) -> Result<ScanReply, PlatformError> {
        let mut state = locked(&self.state);
        state.usage.reads += 1;
        state.check_outage()?;
        let start = Name::clone(&request.prefix).max(Name::clone(&request.after));
        let rows = state
            .rows
            .range(start..)
            .filter(|(key, _)| **key != request.after)
            .take_while(|(key, _)| key.starts_with(&*request.prefix))
            .take(request.limit)
            .map(|(key, row)| ScannedRow { key: Name::clone(key), row: row.clone() })
            .collect();
        Ok(ScanReply { rows })
    }

    /// Commits rows, with the fault that is due.
    pub fn commit(&self, request: CommitRequest) -> Result<CommitReply, PlatformError> {
        let mut state = locked(&self.state);
        state.usage.writes += 1;
        let fault = state.outage.or_else(|| state.next_commits.pop_front());
        match fault.unwrap_or(StoreFault::None) {
            StoreFault::None => state.commit(request),
            StoreFault::Refuse => Err(refused()),
            StoreFault::LoseRequest => Err(lost()),
            StoreFault::LoseResponse => {
                state.apply(request.writes);
                Err(lost())
            }
            StoreFault::Late(delay) => {
                let table = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    locked(&table.state).apply(request.writes);
                });
                Err(lost())
            }
        }
    }

    /// This table as a service.
    pub fn store(&self) -> TableStore {
        let (reading, scanning, committing) = (self.clone(), self.clone(), self.clone());
        TableStore {
            read: Arc::new(move |request| {
                let reply = reading.read(&request);
                Box::pin(async move { yielding(reply).await })
            }),
            scan: Arc::new(move |request| {
                let reply = scanning.scan(&request);
                Box::pin(async move { yielding(reply).await })
            }),
            commit: Arc::new(move |request| {
                let table = committing.clone();
                // The effect comes after a yield, so that calls of several tasks interleave.
                Box::pin(async move {
                    tokio::task::yield_now().await;
                    table.commit(request)
                })
            }),
        }
    }
}

async fn yielding<T>(reply: T) -> T {
    tokio::task::yield_now().await;
    reply
}

impl TableState {
    fn check_outage(&self) -> Result<(), PlatformError> {
        match self.outage {
            None | Some(StoreFault::None) => Ok(()),
            Some(StoreFault::Refuse) => Err(refused()),
            Some(StoreFault::LoseResponse | StoreFault::LoseRequest | StoreFault::Late(_)) => {
                Err(lost())
            }
        }
    }

    fn holds(&self, write: &RowWrite) -> bool {
        let found = self.rows.get(&write.key).map(|row| row.version);
        match write.expect {
            RowPrecondition::Any => true,
            RowPrecondition::Absent => found.is_none(),
            // As on the wire, where a condition has no era.
            RowPrecondition::Version(version) => {
                found.map(StoreVersion::number) == Some(version.number())
            }
        }
    }

    fn version(&self) -> StoreVersion {
        StoreVersion::new(StoreEra::new(self.era), self.newest_number)
    }

    /// Applies a commit, and answers as a service does that knows in which era its conditions were read.
    fn commit(&mut self, request: CommitRequest) -> Result<CommitReply, PlatformError> {
        let expected = request.writes.iter().find_map(|write| match write.expect {
            RowPrecondition::Version(version) => Some(version),
            RowPrecondition::Any | RowPrecondition::Absent => None,
        });
        let read_in = expected.or(request.read_at).map(StoreVersion::era);
        let reply = self.apply(request.writes);
        let is_restored = read_in.is_some_and(|era| era != StoreEra::new(self.era));
        if is_restored && reply == CommitReply::Committed {
            return Err(lost());
        }
        Ok(reply)
    }

    fn apply(&mut self, writes: Vec<RowWrite>) -> CommitReply {
        let conflicts: Vec<Name> = writes
            .iter()
            .filter(|write| !self.holds(write))
            .map(|write| Name::clone(&write.key))
            .collect();
        if !conflicts.is_empty() {
            return CommitReply::Conflict(conflicts);
        }
        for write in writes {
            self.usage.rows += 1;
            self.newest_number += 1;
            let version = self.version();
            match write.value {
                Some(value) => self.rows.insert(write.key, TableRow { value, version }),
                None => self.rows.remove(&write.key),
            };
        }
        CommitReply::Committed
    }
}

/// An object store in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryObjects {
    objects: Arc<Mutex<BTreeMap<Name, String>>>,
    outage: Arc<Mutex<bool>>,
}

impl MemoryObjects {
    /// An empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Refuses all calls until mended.
    pub fn set_down(&self, down: bool) {
        *locked(&self.outage) = down;
    }

    /// Reads an object.
    pub fn get(&self, key: &Name) -> Result<ObjectReply, PlatformError> {
        self.check()?;
        Ok(ObjectReply { text: locked(&self.objects).get(key).cloned() })
    }

    /// Writes an object.
    pub fn put(&self, request: PutRequest) -> Result<(), PlatformError> {
        self.check()?;
        locked(&self.objects).insert(request.key, request.text);
        Ok(())
    }

    /// Lists a page of keys.
    pub fn list(&self, request: &ListRequest) -> Result<ListReply, PlatformError> {
        self.check()?;
        let objects = locked(&self.objects);
        let start = Name::clone(&request.prefix).max(Name::clone(&request.after));
        let mut found = objects
            .range(start..)
            .map(|(key, _text)| key)
            .filter(|key| **key != request.after)
            .take_while(|key| key.starts_with(&*request.prefix));
        let keys = found.by_ref().take(LIST_PAGE).map(Name::clone).collect();
        Ok(ListReply { keys, has_more: found.next().is_some() })
    }

    /// Deletes an object.
    pub fn delete(&self, key: &Name) -> Result<(), PlatformError> {
        self.check()?;
        locked(&self.objects).remove(key);
        Ok(())
    }

    fn check(&self) -> Result<(), PlatformError> {
        if *locked(&self.outage) { Err(refused()) } else { Ok(()) }
    }

    /// This store as a service.
    pub fn store(&self) -> ObjectStore {
        let (getting, putting) = (self.clone(), self.clone());
        let (listing, deleting) = (self.clone(), self.clone());
        ObjectStore {
            get: Arc::new(move |key| {
                let reply = getting.get(&key);
                Box::pin(async move { yielding(reply).await })
            }),
            put: Arc::new(move |request| {
                let reply = putting.put(request);
                Box::pin(async move { yielding(reply).await })
            }),
            list: Arc::new(move |request| {
                let reply = listing.list(&request);
                Box::pin(async move { yielding(reply).await })
            }),
            delete: Arc::new(move |key| {
                let reply = deleting.delete(&key);
                Box::pin(async move { yielding(reply).await })
            }),
        }
    }
}

/// A host list in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryHosts {
    listed: Arc<Mutex<ListedHosts>>,
}

#[derive(Debug, Default)]
struct ListedHosts {
    entries: BTreeMap<Name, HostEntry>,
    /// Changes so far; versions begin at 1.
    changes: u64,
}

impl MemoryHosts {
    /// An empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces an entry.
    pub fn set(&self, entry: HostEntry) {
        let mut listed = locked(&self.listed);
        listed.changes += 1;
        listed.entries.insert(Name::clone(&entry.name), entry);
    }

    /// Removes an entry.
    pub fn remove(&self, name: &str) {
        let mut listed = locked(&self.listed);
        listed.changes += 1;
        listed.entries.remove(name);
    }

    /// Reads the list, if it is not the known one.
    pub fn list(&self, query: HostListQuery) -> HostListReply {
        let listed = locked(&self.listed);
        let version = listed.changes + 1;
        let changed = version != query.known;
        HostListReply {
            version,
            entries: changed.then(|| listed.entries.values().cloned().collect()),
        }
    }

    /// This list as a service.
    pub fn store(&self) -> HostList {
        let hosts = self.clone();
        HostList {
            list: Arc::new(move |query| {
                let reply = hosts.list(query);
                Box::pin(async move { yielding(Ok(reply)).await })
            }),
        }
    }
}
