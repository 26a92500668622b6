//! Which rows of a large table a host holds.
//!
//! A host of a large fleet has few requests and needs few backend servers; a table of all of them at every
//! host would grow with the square of the fleet. So a host holds a part that depends on nothing but its
//! own name, the row's key and how many hosts and rows of that class there are: whoever knows these knows
//! the part, and a row never enters or leaves it by another row's change. See `docs/design/fleet.md`.

use std::collections::BTreeMap;
use std::fmt;

use dillspool_schema::Name;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Rows of a class that a host holds at least, on the mean: a request that finds a tenth of its backend
/// servers failing still has dozens, and each failure domain of a handful has some of them.
const LEAST_HELD: usize = 64;
/// Hosts that hold each row at least, on the mean: at half as many, one backend server in three thousand would
/// be held by none of them.
const LEAST_HOLDERS: usize = 16;
/// Bits of a hash.
const HASH_BITS: u32 = u64::BITS;

/// The part of a host among the rows of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassSubset {
    /// Tells hosts apart.
    pub seed: u64,
    /// One row in two to this power is held.
    pub sampling_bits: u32,
}

impl ClassSubset {
    /// Whether a row is held.
    pub fn contains(self, key: &str) -> bool {
        let hash = || xxh3_64_with_seed(key.as_bytes(), self.seed);
        self.sampling_bits == 0
            || hash() >> HASH_BITS.saturating_sub(self.sampling_bits).max(1) == 0
    }
}

/// The part of a host among the rows of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableSubset {
    /// Tells hosts apart.
    pub seed: u64,
    /// By class; rows of any other class are held whole.
    pub sampling_bits: BTreeMap<Name, u32>,
}

impl TableSubset {
    /// The part for a host; `None` where it holds all rows.
    pub fn for_counts(seed: u64, counts: &RowCounts) -> Option<Self> {
        let bits = counts.rows.keys().map(|class| (Name::clone(class), counts.bits_for(class)));
        let bits: BTreeMap<_, _> = bits.filter(|(_class, bits)| *bits > 0).collect();
        (!bits.is_empty()).then_some(Self { seed, sampling_bits: bits })
    }

    /// The part among the rows of one class.
    pub fn for_class(&self, class: &str) -> ClassSubset {
        let bits = self.sampling_bits.get(class).copied().unwrap_or_default();
        ClassSubset { seed: self.seed, sampling_bits: bits }
    }

    /// Whether a row is held if it is of the class of which most are, of those that are not held whole.
    pub fn may_contain(&self, key: &str) -> bool {
        let bits = self.sampling_bits.values().min().copied().unwrap_or_default();
        ClassSubset { seed: self.seed, sampling_bits: bits }.contains(key)
    }

    /// Whether the rows are so many more or so many fewer than when the part was made that a host would hold
    /// four times what it needs, or half of it.
    pub fn needs_resize(part: Option<&Self>, counts: &RowCounts) -> bool {
        counts.rows.keys().any(|class| {
            let bits = part.map_or(0, |part| part.for_class(class).sampling_bits);
            bits.abs_diff(counts.bits_for(class)) > 1
        })
    }
}

impl fmt::Display for TableSubset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, (class, bits)) in self.sampling_bits.iter().enumerate() {
            let comma = if number == 0 { "" } else { "," };
            write!(f, "{comma}{class}:1/{}", 1_u64 << bits.min(&(HASH_BITS - 1)))?;
        }
        Ok(())
    }
}

/// What the size of a part follows from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowCounts {
    /// Rows by class.
    pub rows: BTreeMap<Name, usize>,
    /// Hosts that share the rows; `None` while it is not known.
    pub hosts: Option<usize>,
}

impl RowCounts {
    /// The most bits that leave a host the rows that it needs, and each row enough hosts.
    fn bits_for(&self, class: &str) -> u32 {
        let rows = self.rows.get(class).copied().unwrap_or_default();
        let shared = self.hosts.map_or(0, |hosts| LEAST_HOLDERS * rows / hosts.max(1));
        (rows / shared.max(LEAST_HELD)).checked_ilog2().unwrap_or_default()
    }
}

/// The seed of a host that is named or addressed so.
pub fn host_seed(host: &str) -> u64 {
    xxh3_64(host.as_bytes())
}
