//! Options of a test fleet.

use dillspool_io::ByteLimits;
use dillspool_scheduler::CallSchedulerSettings;
use dillspool_site_standin::PlainCapacity;

/// Identity of a backend server after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartIdentity {
    /// A new ID.
    NewId,
    /// The same ID with a new start number.
    SameId,
}

/// Options of a test fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetOptions {
    /// Settings for calls that one host schedules.
    pub calls: CallSchedulerSettings,
    /// Number of failure domains, to which hosts are assigned in turn; 0 for a single one.
    pub failure_domains: usize,
    /// Capacity of plain backend servers; `None` for unlimited.
    pub plain_capacity: Option<PlainCapacity>,
    /// Software version of each start of a backend server, by its number and start; `None` for one version.
    pub software: Option<SoftwareFn>,
    /// Whether the hosts start as those of a new fleet.
    pub is_first_start: bool,
    /// Rate of each host's link in each direction; `None` for unlimited.
    pub link_mbps: Option<u32>,
    /// Limits on the bytes that a host holds; `None` for no limits.
    pub held_bytes: Option<ByteLimits>,
    /// Rows of hosts that are gone, in each failure domain, which the store has before the hosts start.
    pub gone_hosts: usize,
    /// Whether the addresses of these refuse connections; otherwise they are silent.
    pub gone_refuse: bool,
}

/// Returns the software version of a start of a backend server, by its number and start.
pub type SoftwareFn = fn(usize, u64) -> &'static str;
