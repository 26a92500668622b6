//! Names of hosts, groups, pools and backend servers.

use std::sync::Arc;

/// A shared immutable name, cheap to copy into every message and table.
pub type Name = Arc<str>;
