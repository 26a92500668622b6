//! Tests how backend servers appear, leave, and lapse around outages.

mod common;

use common::tracked::{TrackedDirectory, sleep_ms};
use dillspool_platform::{ChangedRow, TableDelta};

#[tokio::test(start_paused = true)]
async fn draining_and_deletion_apply_at_once_while_the_store_is_reachable() {
    let directory = TrackedDirectory::start();
    sleep_ms(5000).await;
    directory.write(1, Some("ready"));
    sleep_ms(1).await;
    assert!(directory.is_ready());
    directory.write(2, Some("draining"));
    sleep_ms(1).await;
    assert!(directory.is_known() && !directory.is_ready());
    directory.write(3, Some("ready"));
    sleep_ms(1).await;
    directory.write(4, None);
    sleep_ms(1).await;
    assert!(!directory.is_known());
}

/// Operator rows for failure domains.
struct DrainedCase {
    name: &'static str,
    /// Operator rows in order: version, key, and whether the row exists.
    rows: Vec<(u64, &'static str, bool)>,
    /// Whether the backend server accepts requests after each row.
    accepts_requests: Vec<bool>,
}

/// Guards against drains being ignored: hosts went on sending requests to a drained failure domain,
/// 3,605 in the eight seconds after the operator's row was in the store, because nothing read it.
#[tokio::test(start_paused = true)]
async fn a_drained_failure_domain_gets_no_new_requests_until_restored() {
    let cases = [
        DrainedCase {
            name: "drained and restored",
            rows: vec![(2, "drained/domain", true), (3, "drained/domain", false)],
            accepts_requests: vec![false, true],
        },
        DrainedCase {
            name: "another domain",
            rows: vec![(2, "drained/elsewhere", true), (3, "drained/domain-2", true)],
            accepts_requests: vec![true, true],
        },
        DrainedCase {
            name: "an older update from a peer is ignored",
            rows: vec![(3, "drained/domain", true), (2, "drained/domain", false)],
            accepts_requests: vec![false, false],
        },
        DrainedCase {
            name: "other rows of the operator",
            rows: vec![(2, "config", true), (3, "drained/", true)],
            accepts_requests: vec![true, true],
        },
    ];
    for case in cases {
        let directory = TrackedDirectory::start();
        directory.write(1, Some("ready"));
        sleep_ms(5000).await;
        assert!(directory.is_ready(), "{}", case.name);
        for ((version, key, exists), accepts_requests) in
            case.rows.into_iter().zip(case.accepts_requests)
        {
            directory.write_operator(version, key, exists);
            sleep_ms(1).await;
            assert_eq!(directory.is_ready(), accepts_requests, "{}: {key}", case.name);
            assert!(directory.is_known(), "{}: what runs there goes on", case.name);
        }
    }
}

/// A host that starts while a failure domain is drained never sees its backend servers as ready.
#[tokio::test(start_paused = true)]
async fn a_drain_applies_to_backend_servers_that_register_later() {
    let directory = TrackedDirectory::start();
    directory.write_operator(1, "drained/domain", true);
    sleep_ms(1).await;
    directory.write(2, Some("ready"));
    sleep_ms(1).await;
    assert!(directory.is_known() && !directory.is_ready());
    // Its row lapses in an outage like that of any ready backend server.
    directory.set_reachable(false);
    directory.write(3, None);
    sleep_ms(1).await;
    assert!(directory.is_known() && !directory.is_ready());
}

/// Rows that another writer put in place of a valid one.
struct InvalidRowCase {
    name: &'static str,
    /// Text of the rows in order; `None` if the row was deleted.
    rows: Vec<Option<&'static str>>,
    /// Whether the store is reachable.
    reachable: bool,
    /// Whether the backend server is in use after each row.
    used: Vec<bool>,
}

/// Guards against an invalid row leaving the previous entry in use: an unreadable one was omitted
/// from the change, and a malformed one kept the entry before it. Requests went on to an engine
/// that might be gone or belong to someone else, the row was logged at every change of the table,
/// and a host that read the whole table did not know the engine.
#[tokio::test(start_paused = true)]
async fn an_invalid_row_takes_the_backend_server_out_of_use() {
    let cases = [
        InvalidRowCase {
            name: "invalid, then valid again",
            rows: vec![Some("ready"), Some("malformed"), Some("ready")],
            reachable: true,
            used: vec![true, false, true],
        },
        InvalidRowCase {
            name: "never valid",
            rows: vec![Some("malformed"), Some("{"), Some("")],
            reachable: true,
            used: vec![false, false, false],
        },
        InvalidRowCase {
            name: "unreadable",
            rows: vec![Some("ready"), Some("")],
            reachable: true,
            used: vec![true, false],
        },
        InvalidRowCase {
            name: "with this host's own address",
            rows: vec![Some("ready"), Some("at 10.0.0.1:80"), Some("at 10.0.0.1:81")],
            reachable: true,
            used: vec![true, false, true],
        },
        InvalidRowCase {
            name: "invalid during an outage, which is not a lapse",
            rows: vec![Some("ready"), Some("malformed")],
            reachable: false,
            used: vec![true, false],
        },
        InvalidRowCase {
            name: "invalid, then lapsed during an outage",
            rows: vec![Some("ready"), Some("malformed"), None],
            reachable: false,
            used: vec![true, false, false],
        },
    ];
    for case in cases {
        let directory = TrackedDirectory::start();
        sleep_ms(5000).await;
        directory.set_reachable(case.reachable);
        let mut used = Vec::new();
        for (text, version) in case.rows.iter().zip(1..) {
            directory.write(version, *text);
            sleep_ms(1).await;
            used.push(directory.is_ready());
        }
        assert_eq!(used, case.used, "{}", case.name);
    }
}

/// Each version of an invalid row is reported once, however often its table changes, and also if a
/// snapshot contains it again.
#[tokio::test(start_paused = true)]
async fn an_invalid_row_is_reported_once_per_version() {
    let directory = TrackedDirectory::start();
    let reported = || directory.unreadable.count(&"servers".into());
    directory.write(1, Some("malformed"));
    sleep_ms(1).await;
    for version in 2..50 {
        let valid =
            ChangedRow { key: "i-2".into(), version: version.into(), value: Some("ready".into()) };
        let invalid =
            ChangedRow { key: "i-1".into(), version: 1.into(), value: Some("malformed".into()) };
        let (full, rows) = (version % 2 == 0, vec![valid, invalid]);
        directory.replica.merge(&TableDelta { full, version: version.into(), rows });
        sleep_ms(1).await;
    }
    assert_eq!(reported(), 1);
    directory.write(50, Some("malformed in another way"));
    sleep_ms(1).await;
    assert_eq!(reported(), 2);
}

/// An event that affects a backend server.
#[derive(Clone, Copy)]
enum Event {
    /// Its row changes; `None` if it is deleted.
    Row(Option<&'static str>),
    /// A start announces in a response that it is leaving.
    Leaves(Option<u64>),
    /// The store becomes reachable or unreachable.
    Reach(bool),
}

use Event::{Leaves, Reach, Row};

struct LeavingCase {
    name: &'static str,
    events: &'static [Event],
    /// Whether it accepts requests after each event.
    accepts_requests: &'static [bool],
}

const LEAVING: [LeavingCase; 7] = [
    LeavingCase {
        name: "the row is still in state ready",
        events: &[Row(Some("ready")), Leaves(None)],
        accepts_requests: &[true, false],
    },
    LeavingCase {
        name: "the row changes and is still in state ready",
        events: &[Row(Some("ready")), Leaves(None), Row(Some("at 10.0.0.9:80"))],
        accepts_requests: &[true, false, false],
    },
    LeavingCase {
        name: "announced before the row appears",
        events: &[Leaves(Some(7)), Row(Some("ready since 7"))],
        accepts_requests: &[false, false],
    },
    LeavingCase {
        name: "restarted",
        events: &[Row(Some("ready since 7")), Leaves(Some(7)), Row(Some("ready since 9"))],
        accepts_requests: &[true, false, true],
    },
    LeavingCase {
        name: "a late response from the previous start",
        events: &[Row(Some("ready since 9")), Leaves(Some(7))],
        accepts_requests: &[true, true],
    },
    LeavingCase {
        name: "the store is unavailable and the row lapses",
        events: &[Row(Some("ready")), Reach(false), Leaves(None), Row(None), Reach(true)],
        accepts_requests: &[true, true, false, false, false],
    },
    LeavingCase {
        name: "the row returns after an outage",
        events: &[Row(Some("ready")), Reach(false), Leaves(None), Row(None), Row(Some("ready"))],
        accepts_requests: &[true, true, false, false, false],
    },
];

#[tokio::test(start_paused = true)]
async fn an_announcement_of_leaving_overrides_the_row() {
    for case in &LEAVING {
        let directory = TrackedDirectory::start();
        sleep_ms(5000).await;
        let mut accepts_requests = Vec::new();
        for (event, version) in case.events.iter().zip(1..) {
            match *event {
                Row(text) => directory.write(version, text),
                Leaves(start) => directory.announce_leaving(start),
                Reach(reachable) => directory.set_reachable(reachable),
            }
            sleep_ms(1).await;
            accepts_requests.push(directory.is_ready());
        }
        assert_eq!(accepts_requests, case.accepts_requests, "{}", case.name);
    }
}

struct LapseCase {
    name: &'static str,
    /// State of the row when it goes missing during the outage.
    state: &'static str,
    /// Milliseconds after the end of the outage at which the row returns, if it does.
    returns_after_ms: Option<u64>,
    /// Whether the backend server is in use during the outage, and one and three seconds after its
    /// end.
    used: [bool; 3],
}

#[tokio::test(start_paused = true)]
async fn an_outage_removes_no_running_backend_server() {
    let cases = [
        LapseCase {
            name: "returns in time",
            state: "ready",
            returns_after_ms: Some(900),
            used: [true, true, true],
        },
        LapseCase {
            name: "does not return",
            state: "ready",
            returns_after_ms: None,
            used: [true, true, false],
        },
        LapseCase {
            name: "was leaving",
            state: "draining",
            returns_after_ms: None,
            used: [false, false, false],
        },
    ];
    for case in cases {
        let directory = TrackedDirectory::start();
        sleep_ms(5000).await;
        directory.write(1, Some(case.state));
        sleep_ms(1).await;
        directory.set_reachable(false);
        sleep_ms(1).await;
        directory.write(2, None);
        sleep_ms(4000).await;
        let during = directory.is_ready();
        directory.set_reachable(true);
        sleep_ms(900).await;
        if case.returns_after_ms.is_some() {
            directory.write(3, Some("ready"));
        }
        sleep_ms(100).await;
        let soon_after = directory.is_ready();
        sleep_ms(2000).await;
        assert_eq!([during, soon_after, directory.is_ready()], case.used, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_row_that_lapses_just_after_an_outage_is_retained_for_the_grace_period() {
    let directory = TrackedDirectory::start();
    directory.write(1, Some("ready"));
    directory.set_reachable(false);
    sleep_ms(4000).await;
    directory.set_reachable(true);
    sleep_ms(300).await;
    directory.write(2, None);
    sleep_ms(1).await;
    assert!(directory.is_ready());
    sleep_ms(1800).await;
    assert!(!directory.is_known());
}

/// Rows of one id, each applied as a change of the table or as a snapshot.
struct StartCase {
    name: &'static str,
    /// Version, text, and whether it is a snapshot.
    rows: Vec<(u64, Option<&'static str>, bool)>,
    /// Start in use at the end, if it accepts requests.
    used: Option<u64>,
}

#[tokio::test(start_paused = true)]
async fn the_newest_row_version_determines_the_start() {
    let cases = [
        StartCase {
            name: "leaving, then restarted",
            rows: vec![(1, Some("draining since 7"), false), (2, Some("ready since 9"), false)],
            used: Some(9),
        },
        StartCase {
            name: "its clock was set back",
            rows: vec![(1, Some("ready since 9"), false), (2, Some("ready since 7"), false)],
            used: Some(7),
        },
        StartCase {
            name: "the older row arrives later, for example by a relay",
            rows: vec![(2, Some("ready since 9"), false), (1, Some("ready since 7"), false)],
            used: Some(9),
        },
        StartCase {
            name: "a snapshot between two starts",
            rows: vec![
                (1, Some("draining since 7"), false),
                (3, Some("ready since 9"), true),
                (2, None, false),
            ],
            used: Some(9),
        },
        StartCase {
            name: "two restarts within one heartbeat, of which the first was not seen",
            rows: vec![(1, Some("ready since 7"), false), (4, Some("ready since 11"), false)],
            used: Some(11),
        },
        StartCase {
            name: "lapsed and returned as another start",
            rows: vec![
                (1, Some("ready since 7"), false),
                (2, None, false),
                (3, Some("ready since 9"), false),
            ],
            used: Some(9),
        },
        StartCase {
            name: "the next start is leaving",
            rows: vec![(1, Some("ready since 7"), false), (2, Some("draining since 9"), false)],
            used: None,
        },
    ];
    for case in cases {
        for reachable in [true, false] {
            let directory = TrackedDirectory::start();
            sleep_ms(5000).await;
            directory.set_reachable(reachable);
            for (version, text, full) in &case.rows {
                let value = text.map(Into::into);
                let row = ChangedRow { key: "i-1".into(), version: (*version).into(), value };
                let delta = TableDelta { full: *full, version: (*version).into(), rows: vec![row] };
                directory.replica.merge(&delta);
                sleep_ms(1).await;
            }
            let view = directory.view.borrow();
            let entry = view.entries.get("i-1").filter(|entry| entry.is_ready());
            let start = entry.and_then(|entry| entry.start).map(|start| start.0);
            assert_eq!(start, case.used, "{} {reachable}", case.name);
        }
    }
}
