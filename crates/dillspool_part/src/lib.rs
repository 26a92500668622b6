//! Deterministic subsetting: which rows of a large table a host holds.
//!
//! A host of a large fleet has few requests and needs few backend servers; a full table on every
//! host would grow with the square of the fleet. A host therefore holds a subset that depends only
//! on its own name, the key of the row and the numbers of hosts and of rows per class: every host
//! that knows these can compute the subset, and changing one row never moves another into or out of
//! it. See `docs/design/fleet.md`.

use std::collections::BTreeMap;
use std::fmt;

use dillspool_schema::Name;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Minimum mean number of rows of a class that a host holds: if a tenth of a request's backend
/// servers fail, dozens remain, and each of a handful of failure domains has some of them.
const MIN_ROWS_PER_HOST: usize = 64;
/// Minimum mean number of hosts that hold each row: with half as many, no host would hold one
/// backend server in three thousand.
const MIN_HOSTS_PER_ROW: usize = 16;
/// Bits of a hash.
const HASH_BITS: u32 = u64::BITS;

/// The subset of the rows of one class that a host holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassSubset {
    /// Distinguishes hosts.
    pub seed: u64,
    /// One row in `2^sampling_bits` is held.
    pub sampling_bits: u32,
}

impl ClassSubset {
    /// Whether the row is held.
    pub fn contains(self, key: &str) -> bool {
        let hash = || xxh3_64_with_seed(key.as_bytes(), self.seed);
        self.sampling_bits == 0
            || hash() >> HASH_BITS.saturating_sub(self.sampling_bits).max(1) == 0
    }
}

/// The subset of the rows of a table that a host holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableSubset {
    /// Distinguishes hosts.
    pub seed: u64,
    /// Sampling bits by class; all rows of any other class are held.
    pub sampling_bits: BTreeMap<Name, u32>,
}

impl TableSubset {
    /// Returns the subset for a host; `None` if it holds all rows.
    pub fn for_counts(seed: u64, counts: &RowCounts) -> Option<Self> {
        let bits =
            counts.rows.keys().map(|class| (Name::clone(class), counts.sampling_bits(class)));
        let sampling_bits: BTreeMap<_, _> = bits.filter(|(_class, bits)| *bits > 0).collect();
        (!sampling_bits.is_empty()).then_some(Self { seed, sampling_bits })
    }

    /// Returns the subset of the rows of one class.
    pub fn for_class(&self, class: &str) -> ClassSubset {
        let sampling_bits = self.sampling_bits.get(class).copied().unwrap_or_default();
        ClassSubset { seed: self.seed, sampling_bits }
    }

    /// Whether the row is held if it belongs to the sampled class with the highest sampling rate.
    pub fn may_contain(&self, key: &str) -> bool {
        let sampling_bits = self.sampling_bits.values().min().copied().unwrap_or_default();
        ClassSubset { seed: self.seed, sampling_bits }.contains(key)
    }

    /// Whether the row counts have changed so much since the subset was computed that a host would
    /// hold four times what it needs, or half of it.
    pub fn needs_resize(subset: Option<&Self>, counts: &RowCounts) -> bool {
        counts.rows.keys().any(|class| {
            let bits = subset.map_or(0, |subset| subset.for_class(class).sampling_bits);
            bits.abs_diff(counts.sampling_bits(class)) > 1
        })
    }
}

impl fmt::Display for TableSubset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (class, bits)) in self.sampling_bits.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{class}:1/{}", 1_u64 << bits.min(&(HASH_BITS - 1)))?;
        }
        Ok(())
    }
}

/// The counts that determine the size of a subset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowCounts {
    /// Rows by class.
    pub rows: BTreeMap<Name, usize>,
    /// Hosts that share the rows; `None` while unknown.
    pub hosts: Option<usize>,
}

impl RowCounts {
    /// The highest number of sampling bits that still gives a host enough rows and each row enough
    /// hosts.
    fn sampling_bits(&self, class: &str) -> u32 {
        let rows = self.rows.get(class).copied().unwrap_or_default();
        let rows_per_host = self.hosts.map_or(0, |hosts| MIN_HOSTS_PER_ROW * rows / hosts.max(1));
        (rows / rows_per_host.max(MIN_ROWS_PER_HOST)).checked_ilog2().unwrap_or_default()
    }
}

/// Returns the seed of a host, given its name or address.
pub fn host_seed(host: &str) -> u64 {
    xxh3_64(host.as_bytes())
}
