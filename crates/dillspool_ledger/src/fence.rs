//! Fence rows, which make commits of an earlier era fail after the table was restored.
//!
//! A restored table reuses version numbers, so a delayed commit could find the version that it
//! expects on the row of another attempt. Each commit therefore requires that the fence of the next
//! era is absent, and that fence is written before any call begins in the next era. See
//! `docs/design/ledger.md`.

use dillspool_platform::{RowPrecondition, RowWrite};
use dillspool_schema::Name;
use dillspool_version::StoreEra;

/// Number of eras whose fences are written again after a restore, since the restored snapshot may
/// lack them. More eras than can end while a commit is delayed.
const FENCED_ERAS: u64 = 32;

fn fence_key(era: u64) -> Name {
    format!("call_guard/{era}").into()
}

/// Makes a commit fail after its era: deleting an absent row changes nothing, and conflicts once
/// the fence of the next era is written.
pub(crate) fn require_era(era: StoreEra) -> RowWrite {
    RowWrite { key: fence_key(era.number() + 1), expect: RowPrecondition::Absent, value: None }
}

/// Writes the fences that make commits of all earlier eras fail.
pub(crate) fn fence_earlier_eras(era: StoreEra) -> impl Iterator<Item = RowWrite> {
    let newest = era.number();
    let value = Some(newest.to_string());
    (newest.saturating_sub(FENCED_ERAS) + 1..=newest).map(move |era| RowWrite {
        key: fence_key(era),
        expect: RowPrecondition::Any,
        value: value.clone(),
    })
}
