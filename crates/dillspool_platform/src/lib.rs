//! Clients of the platform services: table, object store and host list.
//!
//! Each service is a plain struct of closures, so that the users' real service can be put behind
//! it. Every call is applied, not applied, or of unknown outcome, because a response can be lost
//! after the write took effect. See `docs/design/platform.md`.

mod error;
mod hosts;
mod memory;
mod objects;
mod table;
mod watch;

pub use dillspool_version::{StoreEra, StoreVersion};
pub use error::PlatformError;
pub use hosts::{HostEntry, HostKind, HostList, HostListQuery, HostListReply, HostState};
pub use memory::{MemoryHosts, MemoryObjects, MemoryTable, StoreFault, StoreUsage, TableSnapshot};
pub use objects::{ListReply, ListRequest, ObjectReply, ObjectStore, PutRequest};
pub use table::{
    CommitReply, CommitRequest, ReadReply, ReadRequest, RowPrecondition, RowWrite, ScanReply,
    ScanRequest, ScannedRow, TableRow, TableStore,
};
pub use watch::{ChangedRow, TableDelta, TableWatch, WatchError};
