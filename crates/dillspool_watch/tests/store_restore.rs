//! Replicas follow a store that is restored from a backup.

use dillspool_cases::fixed_cases;
use dillspool_platform::{ChangedRow, StoreEra, StoreVersion, TableDelta};
use dillspool_watch::TableReplica;
use proptest::prelude::*;

fn version(era: u64, number: u64) -> StoreVersion {
    StoreVersion::new(StoreEra::new(era), number)
}

fn row(key: &str, version: StoreVersion, value: &str) -> ChangedRow {
    ChangedRow { key: key.into(), version, value: Some(value.into()) }
}

fn snapshot(version: StoreVersion, rows: Vec<ChangedRow>) -> TableDelta {
    TableDelta { full: true, version, rows }
}

/// Guards against dropping the rows of a restored store as outdated because their numbers are lower
/// than those a host had before the restore.
#[test]
fn rows_of_a_restored_store_are_merged() {
    let before = snapshot(
        version(1, 30),
        vec![row("a", version(1, 30), "x"), row("lost", version(1, 29), "")],
    );
    let after = snapshot(
        version(2, 27),
        vec![row("a", version(2, 11), "old"), row("b", version(2, 27), "y")],
    );
    let mut replica = TableReplica::default();
    replica.merge(&before);
    let mut peer = TableReplica::default();
    peer.merge(&replica.changes_since(peer.version));
    assert!(replica.merge(&after));
    peer.merge(&replica.changes_since(peer.version));
    // A response from before the restore arrives late.
    assert!(!replica.merge(&before));
    for merged in [&replica, &peer] {
        let value = |key| merged.value(key).map(|text| &**text);
        assert_eq!((value("a"), value("b"), value("lost")), (Some("old"), Some("y"), None));
        assert_eq!(merged.version, version(2, 27));
    }
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    /// Snapshots of three eras arrive in any order and more than once. The replica equals the
    /// newest one, and so does that of a peer that receives its changes.
    #[test]
    fn the_newest_snapshot_of_the_newest_era_wins(
        order in prop::collection::vec((1_u64..4, 1_u64..6, any::<bool>()), 1..30),
    ) {
        let read = |era: u64, number: u64| {
            let rows = (1..=number).filter(|at| !(at + era).is_multiple_of(3));
            let rows = rows.map(|at| row(&format!("k{at}"), version(era, at), &format!("{era}-{at}")));
            snapshot(version(era, number), rows.collect())
        };
        let (mut replica, mut peer) = (TableReplica::default(), TableReplica::default());
        for (era, number, relays) in &order {
            let before = replica.version;
            replica.merge(&read(*era, *number));
            prop_assert!(replica.version >= before);
            if *relays {
                peer.merge(&replica.changes_since(peer.version));
            }
        }
        peer.merge(&replica.changes_since(peer.version));
        let (era, number, _) =
            order.iter().max_by_key(|(era, number, _)| (*era, *number)).expect("one at least");
        let newest = read(*era, *number);
        for merged in [&replica, &peer] {
            let rows = merged.rows.iter().filter_map(|(key, row)| Some((key, row.value.as_ref()?)));
            let rows: Vec<_> = rows.map(|(key, text)| (key.to_string(), text.to_string())).collect();
            let shown = newest.rows.iter().filter_map(|row| Some((&row.key, row.value.as_ref()?)));
            let shown: Vec<_> = shown.map(|(key, text)| (key.to_string(), text.to_string())).collect();
            prop_assert_eq!(rows, shown);
        }
    }
}

/// Guards against relaying unchanged rows after a restore: all rows of the restored store counted
/// as changed, so a source sent the whole table to all of its peers at the same moment.
#[test]
fn rows_that_a_restore_leaves_unchanged_are_not_relayed_again() {
    const ROWS: u64 = 1_000;
    let rows = |era| {
        let kept = (1..=ROWS).filter(|at| at % 100 > 0);
        kept.map(move |at| row(&format!("i-{at}"), version(era, at), "ready")).collect::<Vec<_>>()
    };
    let mut before = rows(1);
    before.push(row("i-100", version(1, ROWS + 7), "recorded since the backup"));
    let mut source = TableReplica::default();
    source.merge(&snapshot(version(1, ROWS + 7), before));
    let mut peer = TableReplica::default();
    peer.merge(&source.changes_since(peer.version));
    let mut after = rows(2);
    after.push(row("i-200", version(2, ROWS + 1), "written again"));
    source.merge(&snapshot(version(2, ROWS + 1), after));
    let relayed = source.changes_since(peer.version);
    let mut keys: Vec<_> = relayed.rows.iter().map(|row| &*row.key).collect();
    keys.sort_unstable();
    assert_eq!(keys, ["i-100", "i-200"]);
    peer.merge(&relayed);
    // A row that the restore left unchanged is written again, and deleted.
    for (number, value) in [(ROWS + 2, Some("draining")), (ROWS + 3, None)] {
        let changed = version(2, number);
        let row = ChangedRow { key: "i-1".into(), version: changed, value: value.map(Into::into) };
        source.merge(&TableDelta { full: false, version: changed, rows: vec![row] });
        peer.merge(&source.changes_since(peer.version));
        assert_eq!(peer.value("i-1").map(|text| &**text), value);
    }
    assert_eq!(peer.rows.len(), source.rows.len());
    assert_eq!(peer.value("i-100"), None);
}
