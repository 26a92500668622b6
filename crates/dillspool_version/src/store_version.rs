//! Orders the writes that the store has acknowledged, including across restores from a snapshot.
//!
//! A restored store reuses the version numbers that it lost, so a number alone doesn't order writes. Numbers are
//! ordered within an era, and every version of a later era is newer. See `docs/design/store_eras.md` for the reasons.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Low bits of a packed version, which hold the number within the era; the high bits hold the era. Fencing tokens of
/// orders are packed versions and stay exact as JSON numbers up to era 8,191.
const NUMBER_BITS: u32 = 40;
/// Highest number within an era.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// Highest era.
const MAX_ERA: u64 = (1 << (u64::BITS - NUMBER_BITS)) - 1;

/// Number of times the store was restored from a snapshot; 0 if the store doesn't report it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Creates an era, capping the number at the highest era.
    pub fn new(number: u64) -> Self {
        Self(number.min(MAX_ERA))
    }

    /// Number of this era.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A version of the store, newer than all versions of earlier eras. The default is older than every other version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct StoreVersion(u64);

impl StoreVersion {
    /// Packs an era and the store's number within it, capping the number at the highest of the era.
    pub fn new(era: StoreEra, number: u64) -> Self {
        Self(era.0 << NUMBER_BITS | number.min(MAX_NUMBER))
    }

    /// The era in which the store assigned this version.
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> NUMBER_BITS)
    }

    /// The store's own number, which is meaningful only together with the era.
    pub fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// Whether this is a version that the store assigned, rather than the default.
    pub fn is_known(self) -> bool {
        self != Self::default()
    }
}

/// Unpacks the single number that messages between hosts carry.
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

/// Formats as `era:number`, or as the number alone if the era is 0.
impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era() == StoreEra::default() {
            self.0.fmt(f)
        } else {
            write!(f, "{}:{}", self.era(), self.number())
        }
    }
}
