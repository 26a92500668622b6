//! Beliefs merge in any order to the newest rows, and never go back.

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
fn what_is_newer_wins() {
    let case = |name, then, value, changed| MergeCase { name, then, value, changed };
    let cases = [
        case("newer", delta(false, 9, vec![row("a", 9, Some("y"))]), Some("y"), true),
        case("older", delta(false, 9, vec![row("a", 3, Some("y"))]), Some("x"), false),
        case("the same again", delta(false, 9, vec![row("a", 9, Some("x"))]), Some("x"), false),
        case("deleted", delta(false, 9, vec![row("a", 9, None)]), None, true),
        case("deleted long ago", delta(false, 9, vec![row("a", 4, None)]), Some("x"), false),
        case("missing in a whole read", delta(true, 9, vec![]), None, true),
        case("missing in an older whole read", delta(true, 4, vec![]), Some("x"), false),
        case("missing in a part", delta(false, 9, vec![]), Some("x"), false),
    ];
    for case in cases {
        let mut belief = TableReplica::default();
        belief.merge(&delta(true, 5, vec![row("a", 5, Some("x"))]));
        assert_eq!(belief.merge(&case.then), case.changed, "{}", case.name);
        assert_eq!(belief.value("a").map(|it| &**it), case.value, "{}", case.name);
        assert!(belief.version >= 5.into(), "{}", case.name);
    }
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    /// A history of one table, cut into deltas that arrive in any order and more than once, some
    /// of them as whole reads.
    #[test]
    fn any_order_ends_in_the_newest_rows(
        history in prop::collection::vec((0_u8..4, any::<bool>()), 1..20),
        order in prop::collection::vec((0_usize..20, any::<bool>()), 1..40),
        most_deleted in 0_usize..5,
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
        let mut belief = TableReplica::with_tombstone_limit(most_deleted);
        for (at, whole) in &order {
            let version = (*at % history.len()) + 1;
            let shown = rows_at(version).into_iter().map(|(key, (version, text))| {
                row(&key, version, text.as_deref())
            });
            // A whole read does not show deleted rows.
            let rows = shown.filter(|row| !*whole || row.value.is_some()).collect();
            let before = belief.clone();
            belief.merge(&delta(*whole, version as u64, rows));
            for (key, old) in &before.rows {
                // What is not known any more was deleted.
                let is_newer = belief.rows.get(key).is_none_or(|row| row.version >= old.version);
                prop_assert!(is_newer, "{key} went back");
            }
            let deleted = belief.rows.values().filter(|row| row.value.is_none()).count();
            prop_assert!(deleted <= most_deleted);
        }
        let newest = order.iter().map(|(at, _)| (*at % history.len()) + 1).max().unwrap_or(1);
        for (key, (_version, text)) in rows_at(newest) {
            prop_assert_eq!(belief.value(&key).map(ToString::to_string), text);
        }
    }
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    /// A peer that gets the changes behind what it has ends with the same rows.
    #[test]
    fn changes_behind_a_version_bring_a_peer_up_to_date(
        steps in prop::collection::vec((0_u8..4, any::<bool>(), any::<bool>()), 1..30),
        looks in prop::collection::vec(any::<bool>(), 30),
        most_deleted in 0_usize..5,
    ) {
        let mut source = TableReplica::with_tombstone_limit(most_deleted);
        let mut peer = TableReplica::with_tombstone_limit(most_deleted);
        let mut table = std::collections::BTreeMap::new();
        for (at, (name, kept, whole)) in steps.iter().enumerate() {
            let (version, key) = (at as u64 + 1, format!("k{name}"));
            let text = kept.then(|| format!("v{at}"));
            table.insert(key.clone(), (version, text.clone()));
            let changed = vec![row(&key, version, text.as_deref())];
            let all = || table.iter().filter(|(_, (_, text))| text.is_some());
            let shown =
                || all().map(|(key, (version, text))| row(key, *version, text.as_deref())).collect();
            source.merge(&if *whole {
                delta(true, version, shown())
            } else {
                delta(false, version, changed)
            });
            if looks[at] {
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

/// Each row that was ever deleted stayed, on every host, for as long as it ran.
#[test]
fn deleted_rows_were_remembered_for_ever() {
    let mut belief = TableReplica::default();
    let mut peer = TableReplica::default();
    for number in 0..10_000_u64 {
        let (name, version) = (format!("i-{number}"), 2 * number + 1);
        belief.merge(&delta(false, version, vec![row(&name, version, Some("ready"))]));
        if number % 100 == 0 {
            peer.merge(&belief.changes_since(peer.version));
        }
        // One in a thousand stays.
        if number % 1_000 != 0 {
            belief.merge(&delta(false, version + 1, vec![row(&name, version + 1, None)]));
        }
    }
    let living = belief.rows.values().filter(|row| row.value.is_some()).count();
    assert_eq!(living, 10);
    assert!(belief.rows.len() <= 2_010, "{} rows are remembered", belief.rows.len());
    // A peer that was away for most of it ends with the same rows, and nothing comes back from it.
    let mut late = TableReplica::default();
    late.merge(&delta(true, 1, vec![row("i-0", 1, Some("ready")), row("i-1", 1, Some("ready"))]));
    let old = late.changes_since(0.into());
    late.merge(&belief.changes_since(late.version));
    peer.merge(&belief.changes_since(peer.version));
    belief.merge(&delta(false, old.version.into(), old.rows));
    for (name, believed) in [("belief", &belief), ("peer", &peer), ("late", &late)] {
        let living: Vec<_> =
            believed.rows.iter().filter(|(_key, row)| row.value.is_some()).collect();
        assert_eq!(living.len(), 10, "{name}: {living:?}");
    }
}
