//! One host may send orders: terms, takeover, lost replies, a paused holder.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dillspool_cases::ClockJumps;
use dillspool_io::HostClock;
use dillspool_platform::{MemoryTable, PlatformError, StoreFault};
use dillspool_roles::{LeaseRow, OrderLease};
use tokio::time::Instant;

const HANDOVER_GAP: Duration = Duration::from_secs(3);

fn lease(table: &MemoryTable, host: &str) -> OrderLease {
    OrderLease::new(table.store(), host.into(), HANDOVER_GAP, HostClock::steady())
        .with_first_start(true)
}

#[tokio::test(start_paused = true)]
async fn the_first_host_acquires_the_lease_and_fences_increase() {
    let table = MemoryTable::new();
    let a = lease(&table, "a");
    let first =
        a.acquire(&["e1".into()], &BTreeMap::new(), 1).await.expect("an answer").expect("a term");
    let second =
        a.acquire(&["e2".into()], &BTreeMap::new(), 2).await.expect("an answer").expect("a term");
    assert_eq!((first.fence, second.fence), (1, 2));
    let (row, _version) = a.read().await.expect("an answer").expect("a row");
    assert_eq!(row.ordered, ["e1".into(), "e2".into()]);
    assert!(second.is_valid());
}

#[tokio::test(start_paused = true)]
async fn another_host_takes_over_only_after_a_wait() {
    let table = MemoryTable::new();
    lease(&table, "a").acquire(&[], &BTreeMap::new(), 1).await.expect("an answer").expect("a term");
    let started = Instant::now();
    let term = lease(&table, "b")
        .acquire(&[], &BTreeMap::new(), 2)
        .await
        .expect("an answer")
        .expect("a term");
    assert!(started.elapsed() >= 2 * HANDOVER_GAP);
    assert_eq!(term.fence, 2);
}

#[tokio::test(start_paused = true)]
async fn a_renewed_lease_is_not_taken_over() {
    let table = MemoryTable::new();
    let a = lease(&table, "a");
    a.acquire(&[], &BTreeMap::new(), 1).await.expect("an answer").expect("a term");
    let b = lease(&table, "b");
    let waiting = tokio::spawn(async move { b.acquire(&[], &BTreeMap::new(), 2).await });
    tokio::time::sleep(HANDOVER_GAP).await;
    a.acquire(&[], &BTreeMap::new(), 3).await.expect("an answer").expect("a term");
    assert!(waiting.await.expect("no panic").expect("an answer").is_none());
}

#[tokio::test(start_paused = true)]
async fn only_one_of_two_hosts_takes_over() {
    let table = MemoryTable::new();
    lease(&table, "a").acquire(&[], &BTreeMap::new(), 1).await.expect("an answer").expect("a term");
    let (b, c) = (lease(&table, "b"), lease(&table, "c"));
    let targets = BTreeMap::new();
    let (b, c) = tokio::join!(b.acquire(&[], &targets, 2), c.acquire(&[], &targets, 3));
    let taken = [b, c].into_iter().filter(|it| matches!(it, Ok(Some(_)))).count();
    assert_eq!(taken, 1);
}

#[tokio::test(start_paused = true)]
async fn a_term_ends_before_another_host_may_begin() {
    let table = MemoryTable::new();
    let term = lease(&table, "a")
        .acquire(&[], &BTreeMap::new(), 1)
        .await
        .expect("an answer")
        .expect("a term");
    // A paused holder resumes: its clock went on, so it sends nothing.
    tokio::time::sleep(Duration::from_millis(5_999)).await;
    assert!(!term.is_valid());
}

#[tokio::test(start_paused = true)]
async fn a_lost_reply_gives_no_term_and_the_fence_still_increases() {
    let table = MemoryTable::new();
    table.fail_commits([StoreFault::LoseResponse]);
    let a = lease(&table, "a");
    let lost = a.acquire(&[], &BTreeMap::new(), 1).await;
    assert!(matches!(lost, Err(PlatformError::Unknown { .. })));
    let term = a.acquire(&[], &BTreeMap::new(), 2).await.expect("an answer").expect("a term");
    assert_eq!(term.fence, 2);
}

#[tokio::test(start_paused = true)]
async fn a_late_write_does_not_replace_a_newer_term() {
    let table = MemoryTable::new();
    table.fail_commits([StoreFault::Late(Duration::from_secs(2))]);
    let a = lease(&table, "a");
    assert!(a.acquire(&[], &BTreeMap::new(), 1).await.is_err());
    let term = a.acquire(&[], &BTreeMap::new(), 2).await.expect("an answer").expect("a term");
    tokio::time::sleep(Duration::from_secs(5)).await;
    let (row, _version) = a.read().await.expect("an answer").expect("a row");
    assert_eq!((row.fence, row.token), (term.fence, 2));
}

#[tokio::test(start_paused = true)]
async fn a_malformed_row_is_replaced_with_a_higher_fence() {
    let table = MemoryTable::new();
    let write = dillspool_platform::RowWrite {
        key: "orders/lease".into(),
        expect: dillspool_platform::RowPrecondition::Any,
        value: Some("{".to_owned()),
    };
    table.store().commit(vec![write]).await.expect("written");
    let term = lease(&table, "a")
        .acquire(&[], &BTreeMap::new(), 1)
        .await
        .expect("an answer")
        .expect("a term");
    assert!(term.fence >= 2);
}

#[tokio::test(start_paused = true)]
async fn the_row_lists_only_the_newest_orders() {
    let table = MemoryTable::new();
    let a = lease(&table, "a");
    let ids = |round: u64| -> Vec<Arc<str>> {
        (0..200).map(|number| format!("engine-{round}-{number}").into()).collect()
    };
    for round in 0..10 {
        a.acquire(&ids(round), &BTreeMap::new(), round).await.expect("an answer").expect("a term");
    }
    let (row, _version) = a.read().await.expect("an answer").expect("a row");
    assert!(row.ordered.len() < 1000, "{}", row.ordered.len());
    assert!(row.ordered.ends_with(&ids(9)), "the newest are there");
}

#[tokio::test(start_paused = true)]
async fn the_row_keeps_the_targets_of_all_pools() {
    let table = MemoryTable::new();
    let targets = |pool: &str, engines| BTreeMap::from([(pool.into(), engines)]);
    let a = lease(&table, "a");
    a.acquire(&[], &targets("one", 3), 1).await.expect("an answer").expect("a term");
    a.acquire(&[], &targets("two", 5), 2).await.expect("an answer").expect("a term");
    a.acquire(&[], &targets("one", 2), 3).await.expect("an answer").expect("a term");
    let (row, _version) = a.read().await.expect("an answer").expect("a row");
    let expected = BTreeMap::from([("one".into(), 2), ("two".into(), 5)]);
    assert_eq!(row.targets, expected);
}

#[test]
fn a_row_of_an_earlier_release_has_no_targets() {
    let text = r#"{"holder":"a","fence":4,"token":9,"ordered":["e1"]}"#;
    let row: LeaseRow = serde_json::from_str(text).expect("a row");
    assert!(row.targets.is_empty());
}

#[tokio::test(start_paused = true)]
async fn the_term_of_a_suspended_host_has_expired() {
    let (table, jumps) = (MemoryTable::new(), ClockJumps::default());
    let lease = OrderLease::new(table.store(), "a".into(), HANDOVER_GAP, jumps.clock());
    let term = lease.acquire(&[], &BTreeMap::new(), 1).await.expect("an answer").expect("a term");
    assert!(term.is_valid());
    // Long enough for another host to have the lease; no timer of this host has run meanwhile.
    jumps.suspend(2 * HANDOVER_GAP);
    assert!(!term.is_valid());
}
