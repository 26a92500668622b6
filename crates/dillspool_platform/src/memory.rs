//! In-memory implementations of the services, for the stand-ins and for tests.
//!
//! They count calls and can inject faults: an outage, a delayed effect, or a response lost after
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

/// Maximum number of keys in one page of an object listing.
const LIST_PAGE_KEYS: usize = 1000;

/// Fault that is injected into one call, or into all calls until it is cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    None,
    /// The call is rejected without effect.
    Refuse,
    /// The call takes effect, but its response is lost.
    LoseResponse,
    /// The request is lost without effect; the caller cannot tell it from a lost response.
    LoseRequest,
    /// The call gets no response, and takes effect after this time.
    Late(Duration),
}

/// Number of calls to a service so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreUsage {
    /// Read calls.
    pub reads: u64,
    /// Write calls.
    pub writes: u64,
    /// Rows written.
    pub rows: u64,
}

/// The rows of a table at one time.
#[derive(Clone, Debug)]
pub struct TableSnapshot {
    rows: BTreeMap<Name, TableRow>,
    newest_number: u64,
}

#[derive(Debug, Default)]
struct TableState {
    rows: BTreeMap<Name, TableRow>,
    /// Number of restores so far.
    era: u64,
    newest_number: u64,
    outage: Option<StoreFault>,
    commit_faults: VecDeque<StoreFault>,
    usage: StoreUsage,
}

/// An in-memory table.
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    state: Arc<Mutex<TableState>>,
}

fn no_response() -> PlatformError {
    PlatformError::Unknown { reason: "the response was lost".to_owned() }
}

fn unavailable() -> PlatformError {
    PlatformError::NotDone { reason: "the service is down".to_owned() }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes every call fail this way until [`StoreFault::None`] is set.
    pub fn set_outage(&self, fault: StoreFault) {
        lock(&self.state).outage = (fault != StoreFault::None).then_some(fault);
    }

    /// Makes the next commits fail, with one fault each, in order.
    pub fn fail_commits(&self, faults: impl IntoIterator<Item = StoreFault>) {
        lock(&self.state).commit_faults.extend(faults);
    }

    /// Clears all faults, including those of future commits.
    pub fn clear_faults(&self) {
        let mut state = lock(&self.state);
        state.outage = None;
        state.commit_faults.clear();
    }

    /// Takes a snapshot of the rows.
    pub fn snapshot(&self) -> TableSnapshot {
        let state = lock(&self.state);
        TableSnapshot { rows: state.rows.clone(), newest_number: state.newest_number }
    }

    /// Restores a snapshot: later writes are lost, and their versions are assigned again.
    pub fn restore(&self, snapshot: &TableSnapshot) {
        let mut state = lock(&self.state);
        state.era += 1;
        state.rows.clone_from(&snapshot.rows);
        state.newest_number = snapshot.newest_number;
        // A remaining row keeps its version number, in the new era.
        let era = StoreEra::new(state.era);
        for row in state.rows.values_mut() {
            row.version = StoreVersion::new(era, row.version.number());
        }
    }

    /// Number of calls so far.
    pub fn usage(&self) -> StoreUsage {
        lock(&self.state).usage
    }

    /// Reads rows.
    pub fn read(&self, request: &ReadRequest) -> Result<ReadReply, PlatformError> {
        let mut state = lock(&self.state);
        state.usage.reads += 1;
        state.check_outage()?;
        let rows = request.keys.iter().map(|key| state.rows.get(key).cloned()).collect();
        Ok(ReadReply { rows, version: state.version() })
    }

    /// Scans a range of rows.
    pub fn scan(&self, request: &ScanRequest) -> Result<ScanReply, PlatformError> {
        let mut state = lock(&self.state);
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

    /// Commits rows, or injects the next fault.
    pub fn commit(&self, request: CommitRequest) -> Result<CommitReply, PlatformError> {
        let mut state = lock(&self.state);
        state.usage.writes += 1;
        let fault = state.outage.or_else(|| state.commit_faults.pop_front());
        match fault.unwrap_or(StoreFault::None) {
            StoreFault::None => state.commit(request),
            StoreFault::Refuse => Err(unavailable()),
            StoreFault::LoseRequest => Err(no_response()),
            StoreFault::LoseResponse => {
                state.apply(request.writes);
                Err(no_response())
            }
            StoreFault::Late(delay) => {
                let table = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    lock(&table.state).apply(request.writes);
                });
                Err(no_response())
            }
        }
    }

    /// Returns a client of this table.
    pub fn store(&self) -> TableStore {
        let (reader, scanner, committer) = (self.clone(), self.clone(), self.clone());
        TableStore {
            read: Arc::new(move |request| {
                let reply = reader.read(&request);
                Box::pin(async move { yield_then(reply).await })
            }),
            scan: Arc::new(move |request| {
                let reply = scanner.scan(&request);
                Box::pin(async move { yield_then(reply).await })
            }),
            commit: Arc::new(move |request| {
                let table = committer.clone();
                // The commit is applied after a yield, so that calls of several tasks interleave.
                Box::pin(async move {
                    tokio::task::yield_now().await;
                    table.commit(request)
                })
            }),
        }
    }
}

async fn yield_then<T>(reply: T) -> T {
    tokio::task::yield_now().await;
    reply
}

impl TableState {
    fn check_outage(&self) -> Result<(), PlatformError> {
        match self.outage {
            None | Some(StoreFault::None) => Ok(()),
            Some(StoreFault::Refuse) => Err(unavailable()),
            Some(StoreFault::LoseResponse | StoreFault::LoseRequest | StoreFault::Late(_)) => {
                Err(no_response())
            }
        }
    }

    fn precondition_holds(&self, write: &RowWrite) -> bool {
        let found = self.rows.get(&write.key).map(|row| row.version);
        match write.expect {
            RowPrecondition::Any => true,
            RowPrecondition::Absent => found.is_none(),
            // Compares numbers only, since a precondition has no era on the wire.
            RowPrecondition::Version(version) => {
                found.map(StoreVersion::number) == Some(version.number())
            }
        }
    }

    fn version(&self) -> StoreVersion {
        StoreVersion::new(StoreEra::new(self.era), self.newest_number)
    }

    /// Applies a commit and responds like a service that knows in which era the preconditions were
    /// read.
    fn commit(&mut self, request: CommitRequest) -> Result<CommitReply, PlatformError> {
        let expected = request.writes.iter().find_map(|write| match write.expect {
            RowPrecondition::Version(version) => Some(version),
            RowPrecondition::Any | RowPrecondition::Absent => None,
        });
        let read_era = expected.or(request.read_at).map(StoreVersion::era);
        let reply = self.apply(request.writes);
        let is_restored = read_era.is_some_and(|era| era != StoreEra::new(self.era));
        if is_restored && reply == CommitReply::Committed {
            return Err(no_response());
        }
        Ok(reply)
    }

    fn apply(&mut self, writes: Vec<RowWrite>) -> CommitReply {
        let conflicts: Vec<Name> = writes
            .iter()
            .filter(|write| !self.precondition_holds(write))
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

/// An in-memory object store.
#[derive(Clone, Debug, Default)]
pub struct MemoryObjects {
    objects: Arc<Mutex<BTreeMap<Name, String>>>,
    outage: Arc<Mutex<bool>>,
}

impl MemoryObjects {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Rejects all calls while `down` is set.
    pub fn set_down(&self, down: bool) {
        *lock(&self.outage) = down;
    }

    /// Reads an object.
    pub fn get(&self, key: &Name) -> Result<ObjectReply, PlatformError> {
        self.check_outage()?;
        Ok(ObjectReply { text: lock(&self.objects).get(key).cloned() })
    }

    /// Writes an object.
    pub fn put(&self, request: PutRequest) -> Result<(), PlatformError> {
        self.check_outage()?;
        lock(&self.objects).insert(request.key, request.text);
        Ok(())
    }

    /// Lists a page of keys.
    pub fn list(&self, request: &ListRequest) -> Result<ListReply, PlatformError> {
        self.check_outage()?;
        let objects = lock(&self.objects);
        let start = Name::clone(&request.prefix).max(Name::clone(&request.after));
        let mut found = objects
            .range(start..)
            .map(|(key, _text)| key)
            .filter(|key| **key != request.after)
            .take_while(|key| key.starts_with(&*request.prefix));
        let keys = found.by_ref().take(LIST_PAGE_KEYS).map(Name::clone).collect();
        Ok(ListReply { keys, has_more: found.next().is_some() })
    }

    /// Deletes an object.
    pub fn delete(&self, key: &Name) -> Result<(), PlatformError> {
        self.check_outage()?;
        lock(&self.objects).remove(key);
        Ok(())
    }

    fn check_outage(&self) -> Result<(), PlatformError> {
        if *lock(&self.outage) { Err(unavailable()) } else { Ok(()) }
    }

    /// Returns a client of this store.
    pub fn store(&self) -> ObjectStore {
        let (getter, putter) = (self.clone(), self.clone());
        let (lister, deleter) = (self.clone(), self.clone());
        ObjectStore {
            get: Arc::new(move |key| {
                let reply = getter.get(&key);
                Box::pin(async move { yield_then(reply).await })
            }),
            put: Arc::new(move |request| {
                let reply = putter.put(request);
                Box::pin(async move { yield_then(reply).await })
            }),
            list: Arc::new(move |request| {
                let reply = lister.list(&request);
                Box::pin(async move { yield_then(reply).await })
            }),
            delete: Arc::new(move |key| {
                let reply = deleter.delete(&key);
                Box::pin(async move { yield_then(reply).await })
            }),
        }
    }
}

/// An in-memory host list.
#[derive(Clone, Debug, Default)]
pub struct MemoryHosts {
    state: Arc<Mutex<HostListState>>,
}

#[derive(Debug, Default)]
struct HostListState {
    entries: BTreeMap<Name, HostEntry>,
    /// Number of changes so far; versions begin at 1.
    changes: u64,
}

impl MemoryHosts {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces an entry.
    pub fn set(&self, entry: HostEntry) {
        let mut state = lock(&self.state);
        state.changes += 1;
        state.entries.insert(Name::clone(&entry.name), entry);
    }

    /// Removes an entry.
    pub fn remove(&self, name: &str) {
        let mut state = lock(&self.state);
        state.changes += 1;
        state.entries.remove(name);
    }

    /// Reads the list unless the known version is current.
    pub fn list(&self, query: HostListQuery) -> HostListReply {
        let state = lock(&self.state);
        let version = state.changes + 1;
        let changed = version != query.known;
        HostListReply {
            version,
            entries: changed.then(|| state.entries.values().cloned().collect()),
        }
    }

    /// Returns a client of this list.
    pub fn store(&self) -> HostList {
        let hosts = self.clone();
        HostList {
            list: Arc::new(move |query| {
                let reply = hosts.list(query);
                Box::pin(async move { yield_then(Ok(reply)).await })
            }),
        }
    }
}
