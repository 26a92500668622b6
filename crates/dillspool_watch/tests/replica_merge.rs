//! Updates merge into a replica in any order, and the newest rows win.

use dillspool_cases::fixed_cases;
use dillspool_platform::{ChangedRow, TableDelta};
use dillspool_watch::TableReplica;
use proptest::prelude::*;

fn row(key: &str, version: u64, value: Option<&str>) -> ChangedRow {
    ChangedRow { key: key.into(), version: version.into(), value: value.map(Into::into) }
}

fn delta(full: bool, version: u64, rows: Vec<ChangedRow>) -> TableDelta {
    TableDelta { full, version: version.into(), rows }
}

struct MergeCase {
    name: &'static str,
    then: TableDelta,
    value: Option<&'static str>,
    changed: bool,
}

#[test]
fn newer_rows_win() {
    let case = |name, then, value, changed| MergeCase { name, then, value, changed };
    let cases = [
        case("newer", delta(false, 9, vec![row("a", 9, Some("y"))]), Some("y"), true),
        case("older", delta(false, 9, vec![row("a", 3, Some("y"))]), Some("x"), false),
        case("unchanged", delta(false, 9, vec![row("a", 9, Some("x"))]), Some("x"), false),
        case("deleted", delta(false, 9, vec![row("a", 9, None)]), None, true),
        case("older deletion", delta(false, 9, vec![row("a", 4, None)]), Some("x"), false),
        case("absent from a snapshot", delta(true, 9, vec![]), None, true),
        case("absent from an older snapshot", delta(true, 4, vec![]), Some("x"), false),
        case("absent from incremental changes", delta(false, 9, vec![]), Some("x"), false),
    ];
    for case in cases {
        let mut replica = TableReplica::default();
        replica.merge(&delta(true, 5, vec![row("a", 5, Some("x"))]));
        assert_eq!(replica.merge(&case.then), case.changed, "{}", case.name);
        assert_eq!(replica.value("a").map(|it| &**it), case.value, "{}", case.name);
        assert!(replica.version >= 5.into(), "{}", case.name);
    }
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    /// A history of one table, split into updates that arrive in any order and more than once, some
    /// of them as snapshots.
    #[test]
    fn any_order_ends_in_the_newest_rows(
        history in prop::collection::vec((0_u8..4, any::<bool>()), 1..20),
        order in prop::collection::vec((0_usize..20, any::<bool>()), 1..40),
        max_tombstones in 0_usize..5,
    ) {
        let key = |at: u8| format!("k{at}");
        let rows_at = |version: usize| {
            let mut rows = std::collections::BTreeMap::new();
            for (at, (name, kept)) in history.iter().take(version).enumerate() {
                let text = kept.then(|| format!("v{at}"));
                rows.insert(key(*name), (at as u64 + 1, text));
            }
            rows
        };
        let mut replica = TableReplica::with_tombstone_limit(max_tombstones);
        for (at, is_snapshot) in &order {
            let version = (*at % history.len()) + 1;
            let shown = rows_at(version).into_iter().map(|(key, (version, text))| {
                row(&key, version, text.as_deref())
            });
            // A snapshot does not contain deleted rows.
            let rows = shown.filter(|row| !*is_snapshot || row.value.is_some()).collect();
            let before = replica.clone();
            replica.merge(&delta(*is_snapshot, version as u64, rows));
            for (key, old) in &before.rows {
                // A row that is no longer known is a compacted tombstone.
                let is_newer = replica.rows.get(key).is_none_or(|row| row.version >= old.version);
                prop_assert!(is_newer, "{key} moved back");
            }
            let deleted = replica.rows.values().filter(|row| row.value.is_none()).count();
            prop_assert!(deleted <= max_tombstones);
        }
        let newest = order.iter().map(|(at, _)| (*at % history.len()) + 1).max().unwrap_or(1);
        for (key, (_version, text)) in rows_at(newest) {
            prop_assert_eq!(replica.value(&key).map(ToString::to_string), text);
        }
    }
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    /// A peer that receives the changes since its version ends with the same rows.
    #[test]
    fn changes_since_a_version_bring_a_peer_up_to_date(
        steps in prop::collection::vec((0_u8..4, any::<bool>(), any::<bool>()), 1..30),
        polls in prop::collection::vec(any::<bool>(), 30),
        max_tombstones in 0_usize..5,
    ) {
        let mut source = TableReplica::with_tombstone_limit(max_tombstones);
        let mut peer = TableReplica::with_tombstone_limit(max_tombstones);
        let mut table = std::collections::BTreeMap::new();
        for (at, (name, kept, is_snapshot)) in steps.iter().enumerate() {
            let (version, key) = (at as u64 + 1, format!("k{name}"));
            let text = kept.then(|| format!("v{at}"));
            table.insert(key.clone(), (version, text.clone()));
            let changed = vec![row(&key, version, text.as_deref())];
            let all = || table.iter().filter(|(_, (_, text))| text.is_some());
            let shown =
                || all().map(|(key, (version, text))| row(key, *version, text.as_deref())).collect();
            source.merge(&if *is_snapshot {
                delta(true, version, shown())
            } else {
                delta(false, version, changed)
            });
            if polls[at] {
                peer.merge(&source.changes_since(peer.version));
            }
        }
        peer.merge(&source.changes_since(peer.version));
        for (key, (_version, text)) in &table {
            prop_assert_eq!(peer.value(key).map(ToString::to_string), text.clone());
            prop_assert_eq!(source.value(key).map(ToString::to_string), text.clone());
        }
    }
}

/// Guards against tombstones that are kept forever: every deleted row stayed on every host for as
/// long as the host ran.
#[test]
fn tombstones_are_compacted() {
    let mut replica = TableReplica::default();
    let mut peer = TableReplica::default();
    for number in 0..10_000_u64 {
        let (name, version) = (format!("i-{number}"), 2 * number + 1);
        replica.merge(&delta(false, version, vec![row(&name, version, Some("ready"))]));
        if number % 100 == 0 {
            peer.merge(&replica.changes_since(peer.version));
        }
        // One row in a thousand is kept.
        if number % 1_000 != 0 {
            replica.merge(&delta(false, version + 1, vec![row(&name, version + 1, None)]));
        }
    }
    let existing = replica.rows.values().filter(|row| row.value.is_some()).count();
    assert_eq!(existing, 10);
    assert!(replica.rows.len() <= 2_010, "{} rows and tombstones are kept", replica.rows.len());
    // A peer that missed most changes ends with the same rows, and its old rows are not merged
    // back.
    let mut late = TableReplica::default();
    late.merge(&delta(true, 1, vec![row("i-0", 1, Some("ready")), row("i-1", 1, Some("ready"))]));
    let old = late.changes_since(0.into());
    late.merge(&replica.changes_since(late.version));
    peer.merge(&replica.changes_since(peer.version));
    replica.merge(&delta(false, old.version.into(), old.rows));
    for (name, merged) in [("replica", &replica), ("peer", &peer), ("late", &late)] {
        let existing: Vec<_> =
            merged.rows.iter().filter(|(_key, row)| row.value.is_some()).collect();
        assert_eq!(existing.len(), 10, "{name}: {existing:?}");
    }
}
