//! Versions of a store that may come back from a copy.

mod store_version;

pub use store_version::{StoreEra, StoreVersion};
