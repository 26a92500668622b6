//! Beliefs follow a store that comes back from a copy.

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

fn whole(version: StoreVersion, rows: Vec<ChangedRow>) -> TableDelta {
    TableDelta { full: true, version, rows }
}

/// Rows that a restored store gave a lower number than a host knew were dropped as old.
#[test]
fn rows_of_a_restored_store_were_dropped_as_old() {
    let before =
        whole(version(1, 30), vec![row("a", version(1, 30), "x"), row("lost", version(1, 29), "")]);
    let after =
        whole(version(2, 27), vec![row("a", version(2, 11), "old"), row("b", version(2, 27), "y")]);
    let mut belief = TableReplica::default();
    belief.merge(&before);
    let mut peer = TableReplica::default();
    peer.merge(&belief.changes_since(peer.version));
    assert!(belief.merge(&after));
    peer.merge(&belief.changes_since(peer.version));
    // An answer of before the restoration comes late.
    assert!(!belief.merge(&before));
    for believed in [&belief, &peer] {
        let value = |key| believed.value(key).map(|text| &**text);
        assert_eq!((value("a"), value("b"), value("lost")), (Some("old"), Some("y"), None));
        assert_eq!(believed.version, version(2, 27));
    }
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    /// Whole reads of three eras arrive in any order and more than once; the newest is what is believed, and a
    /// peer that is told the changes believes the same.
    #[test]
    fn the_newest_read_of_the_newest_era_is_believed(
        order in prop::collection::vec((1_u64..4, 1_u64..6, any::<bool>()), 1..30),
    ) {
        let read = |era: u64, number: u64| {
            let rows = (1..=number).filter(|at| !(at + era).is_multiple_of(3));
            let rows = rows.map(|at| row(&format!("k{at}"), version(era, at), &format!("{era}-{at}")));
            whole(version(era, number), rows.collect())
        };
        let (mut belief, mut peer) = (TableReplica::default(), TableReplica::default());
        for (era, number, tells) in &order {
            let before = belief.version;
            belief.merge(&read(*era, *number));
            prop_assert!(belief.version >= before);
            if *tells {
                peer.merge(&belief.changes_since(peer.version));
            }
        }
        peer.merge(&belief.changes_since(peer.version));
        let (era, number, _) =
            order.iter().max_by_key(|(era, number, _)| (*era, *number)).expect("one at least");
        let newest = read(*era, *number);
        for believed in [&belief, &peer] {
            let rows = believed.rows.iter().filter_map(|(key, row)| Some((key, row.value.as_ref()?)));
            let rows: Vec<_> = rows.map(|(key, text)| (key.to_string(), text.to_string())).collect();
            let shown = newest.rows.iter().filter_map(|row| Some((&row.key, row.value.as_ref()?)));
            let shown: Vec<_> = shown.map(|(key, text)| (key.to_string(), text.to_string())).collect();
            prop_assert_eq!(rows, shown);
        }
    }
}

/// All rows of a restored store were news for the hosts that are relayed to, and a source sent each of them the
/// whole table at the same moment.
#[test]
fn rows_that_a_copy_shows_as_they_were_were_sent_to_all_hosts_again() {
    const ROWS: u64 = 1_000;
    let rows = |era| {
        let kept = (1..=ROWS).filter(|at| at % 100 > 0);
        kept.map(move |at| row(&format!("i-{at}"), version(era, at), "ready")).collect::<Vec<_>>()
    };
    let mut before = rows(1);
    before.push(row("i-100", version(1, ROWS + 7), "recorded since the copy"));
    let mut source = TableReplica::default();
    source.merge(&whole(version(1, ROWS + 7), before));
    let mut peer = TableReplica::default();
    peer.merge(&source.changes_since(peer.version));
    let mut after = rows(2);
    after.push(row("i-200", version(2, ROWS + 1), "written again"));
    source.merge(&whole(version(2, ROWS + 1), after));
    let told = source.changes_since(peer.version);
    let mut keys: Vec<_> = told.rows.iter().map(|row| &*row.key).collect();
    keys.sort_unstable();
    assert_eq!(keys, ["i-100", "i-200"]);
    peer.merge(&told);
    // A row that was not news is written again, and deleted.
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
