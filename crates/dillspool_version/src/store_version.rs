//! Orders what the store has acknowledged, also when it comes back from a copy.
//!
//! A restored store gives out again the versions that it lost, so its numbers order nothing by themselves. Within an era they
//! do, and every version of a later era is newer; `docs/design/store_eras.md` has the reasons.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bits of a version within its era; the era has the others. An order's fence, which is such a version, stays exact as
/// a JSON number up to era 8,191.
const NUMBER_BITS: u32 = 40;
/// Highest version within an era.
const LAST_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// Highest era.
const LAST_ERA: u64 = (1 << (u64::BITS - NUMBER_BITS)) - 1;

/// How often the store came back from a copy; 0 where it does not tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(u64);

impl StoreEra {
    /// The era of a number; numbers that are too high are the last era.
    pub fn new(number: u64) -> Self {
        Self(number.min(LAST_ERA))
    }

    /// Its number.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A version of the store, newer than all of earlier eras; the default one is before all others.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct StoreVersion(u64);

impl StoreVersion {
    /// The version that the store gave a number in an era.
    pub fn new(era: StoreEra, number: u64) -> Self {
        Self(era.0 << NUMBER_BITS | number.min(LAST_NUMBER))
    }

    /// The era in which the store gave it.
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> NUMBER_BITS)
    }

    /// The store's own number, which says nothing without the era.
    pub fn number(self) -> u64 {
        self.0 & LAST_NUMBER
    }

    /// Whether it is any version at all.
    pub fn is_known(self) -> bool {
        self != Self::default()
    }
}

/// For messages between hosts, where it is one number.
impl From<u64> for StoreVersion {
    fn from(packed: u64) -> Self {
        Self(packed)
    }
}

impl From<StoreVersion> for u64 {
    fn from(version: StoreVersion) -> Self {
        version.0
    }
}

/// The number, behind the era where the store tells one.
impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era() == StoreEra::default() {
            self.0.fmt(f)
        } else {
            write!(f, "{}:{}", self.era(), self.number())
        }
    }
}
