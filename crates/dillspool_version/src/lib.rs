//! Versions of a store that may be restored from a snapshot.

mod store_version;

pub use store_version::{StoreEra, StoreVersion};
