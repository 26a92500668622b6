//! Contract of the table and the host list, and how injected faults appear to the caller.

use assert_matches::assert_matches;
use dillspool_platform::{
    CommitReply, HostEntry, HostKind, HostListQuery, HostState, MemoryHosts, MemoryTable,
    PlatformError, RowPrecondition, RowWrite, ScanRequest, StoreFault,
};

fn write(key: &str, expect: RowPrecondition, value: &str) -> RowWrite {
    RowWrite { key: key.into(), expect, value: Some(value.to_owned()) }
}

/// A fault, whether the caller gets an unknown outcome, and whether the row exists afterwards.
struct FaultCase {
    name: &'static str,
    fault: StoreFault,
    unknown: bool,
    written: bool,
}

const FAULTS: [FaultCase; 3] = [
    FaultCase { name: "rejected", fault: StoreFault::Refuse, unknown: false, written: false },
    FaultCase {
        name: "response lost",
        fault: StoreFault::LoseResponse,
        unknown: true,
        written: true,
    },
    FaultCase {
        name: "request lost",
        fault: StoreFault::LoseRequest,
        unknown: true,
        written: false,
    },
];

#[tokio::test]
async fn each_fault_reports_what_is_known_of_its_effect() {
    for case in &FAULTS {
        let table = MemoryTable::new();
        table.fail_commits([case.fault]);
        let store = table.store();
        let reply = store.commit(vec![write("k", RowPrecondition::Absent, "v")]).await;
        match reply {
            Err(PlatformError::Unknown { .. }) => assert!(case.unknown, "{}", case.name),
            Err(PlatformError::NotDone { .. }) => assert!(!case.unknown, "{}", case.name),
            Ok(reply) => panic!("{}: {reply:?}", case.name),
        }
        let found = store.read_one("k".into()).await.expect("the table responds");
        assert_eq!(found.is_some(), case.written, "{}", case.name);
    }
}

#[tokio::test]
async fn rows_are_written_together_or_not_at_all() {
    let store = MemoryTable::new().store();
    let first = store.commit(vec![write("a", RowPrecondition::Absent, "1")]).await;
    assert_matches!(first, Ok(CommitReply::Committed));
    let both =
        vec![write("b", RowPrecondition::Absent, "2"), write("a", RowPrecondition::Absent, "2")];
    let reply = store.commit(both).await.expect("the table responds");
    assert_eq!(reply, CommitReply::Conflict(vec!["a".into()]));
    assert_eq!(store.read_one("b".into()).await, Ok(None));
}

#[tokio::test]
async fn a_version_precondition_allows_one_write() {
    let store = MemoryTable::new().store();
    store.commit(vec![write("a", RowPrecondition::Absent, "1")]).await.expect("the table responds");
    let row =
        store.read_one("a".into()).await.expect("the table responds").expect("the row exists");
    let on_version = |value| vec![write("a", RowPrecondition::Version(row.version), value)];
    assert_matches!(store.commit(on_version("2")).await, Ok(CommitReply::Committed));
    assert_matches!(store.commit(on_version("3")).await, Ok(CommitReply::Conflict(_)));
}

#[tokio::test]
async fn a_scan_continues_after_its_last_key() {
    let store = MemoryTable::new().store();
    for key in ["x/1", "x/2", "x/3", "y/1"] {
        store
            .commit(vec![write(key, RowPrecondition::Any, key)])
            .await
            .expect("the table responds");
    }
    let mut after = "".into();
    let mut keys: Vec<String> = Vec::new();
    loop {
        let request = ScanRequest { prefix: "x/".into(), after, limit: 2 };
        let reply = (store.scan)(request).await.expect("the table responds");
        keys.extend(reply.rows.iter().map(|row| row.key.to_string()));
        match reply.rows.last() {
            Some(last) => after = std::sync::Arc::clone(&last.key),
            None => break,
        }
    }
    assert_eq!(keys, ["x/1", "x/2", "x/3"]);
}

#[tokio::test]
async fn the_host_list_is_sent_only_when_it_has_changed() {
    let hosts = MemoryHosts::new();
    let store = hosts.store();
    let first = (store.list)(HostListQuery::default()).await.expect("the list responds");
    assert_eq!(first.entries.as_ref().map(Vec::len), Some(0));
    let known = HostListQuery { known: first.version };
    let same = (store.list)(known).await.expect("the list responds");
    assert_eq!(same.entries, None);
    hosts.set(HostEntry {
        name: "entry-1".into(),
        kind: HostKind::Host,
        state: HostState::Live,
        failure_domain: "a".into(),
        address: "10.0.0.1:1".into(),
    });
    let changed = (store.list)(known).await.expect("the list responds");
    assert_eq!(changed.entries.map(|it| it.len()), Some(1));
}
