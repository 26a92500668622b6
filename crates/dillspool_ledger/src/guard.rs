//! Rows that keep commits of an earlier era from taking effect after a restore of the table.
//!
//! A restored table gives its versions out again, so a commit that comes late could find the version that it asks for
//! at another attempt's row. Each commit therefore asks that the guard of the next era is absent, and that guard is
//! written before any call begins in the next era. See `docs/design/ledger.md`.

use dillspool_platform::{RowPrecondition, RowWrite};
use dillspool_schema::Name;
use dillspool_version::StoreEra;

/// Eras of which the guards are written again, since a copy may lack them: more than end within the time for which a
/// commit can come late.
const GUARDED_ERAS: u64 = 32;

fn guard_key(era: u64) -> Name {
    format!("call_guard/{era}").into()
}

/// Holds a commit to an era: the deletion of a row that must be absent changes nothing, and fails after that era.
pub(crate) fn hold_to_era(era: StoreEra) -> RowWrite {
    RowWrite { key: guard_key(era.number() + 1), expect: RowPrecondition::Absent, value: None }
}

/// Ends the effect of commits of all eras before this one.
pub(crate) fn end_earlier_eras(era: StoreEra) -> impl Iterator<Item = RowWrite> {
    let newest = era.number();
    let value = Some(newest.to_string());
    (newest.saturating_sub(GUARDED_ERAS) + 1..=newest).map(move |era| RowWrite {
        key: guard_key(era),
        expect: RowPrecondition::Any,
        value: value.clone(),
    })
}
