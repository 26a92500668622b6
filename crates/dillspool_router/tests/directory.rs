//! Backend servers appear, leave, and lapse around outages.

mod common;

use common::tracked::{TrackedDirectory, pass};
use dillspool_platform::{ChangedRow, TableDelta};

#[tokio::test(start_paused = true)]
async fn draining_and_gone_count_at_once_while_the_store_is_there() {
    let directory = TrackedDirectory::start();
    pass(5000).await;
    directory.write(1, Some("ready"));
    pass(1).await;
    assert!(directory.is_ready());
    directory.write(2, Some("draining"));
    pass(1).await;
    assert!(directory.is_known() && !directory.is_ready());
    directory.write(3, Some("ready"));
    pass(1).await;
    directory.write(4, None);
    pass(1).await;
    assert!(!directory.is_known());
}

/// What an operator asked of failure domains.
struct DrainedCase {
    name: &'static str,
    /// Rows of the operator in their order: version, key, and whether the row exists from then on.
    asked: Vec<(u64, &'static str, bool)>,
    /// Whether the backend server takes new requests after each row.
    takes_new: Vec<bool>,
}

/// An operator emptied a failure domain, and hosts went on to send requests there: 3,605 in the eight seconds after
/// the store had taken the operator's row, since nothing read it.
#[tokio::test(start_paused = true)]
async fn a_drained_failure_domain_gets_nothing_new_until_it_is_taken_back() {
    let cases = [
        DrainedCase {
            name: "drained and taken back",
            asked: vec![(2, "drained/domain", true), (3, "drained/domain", false)],
            takes_new: vec![false, true],
        },
        DrainedCase {
            name: "another one",
            asked: vec![(2, "drained/elsewhere", true), (3, "drained/domain-2", true)],
            takes_new: vec![true, true],
        },
        DrainedCase {
            name: "an older word of a peer changes nothing",
            asked: vec![(3, "drained/domain", true), (2, "drained/domain", false)],
            takes_new: vec![false, false],
        },
        DrainedCase {
            name: "other rows of the operator",
            asked: vec![(2, "config", true), (3, "drained/", true)],
            takes_new: vec![true, true],
        },
    ];
    for case in cases {
        let directory = TrackedDirectory::start();
        directory.write(1, Some("ready"));
        pass(5000).await;
        assert!(directory.is_ready(), "{}", case.name);
        for ((version, key, exists), takes_new) in case.asked.into_iter().zip(case.takes_new) {
            directory.write_operator(version, key, exists);
            pass(1).await;
            assert_eq!(directory.is_ready(), takes_new, "{}: {key}", case.name);
            assert!(directory.is_known(), "{}: what runs there goes on", case.name);
        }
    }
}

/// A host that starts while a failure domain is drained never sees its backend servers as ready.
#[tokio::test(start_paused = true)]
async fn a_drain_that_is_known_before_the_backend_server_holds_for_it() {
    let directory = TrackedDirectory::start();
    directory.write_operator(1, "drained/domain", true);
    pass(1).await;
    directory.write(2, Some("ready"));
    pass(1).await;
    assert!(directory.is_known() && !directory.is_ready());
    // Its row lapses in an outage as that of any ready one does.
    directory.reach(false);
    directory.write(3, None);
    pass(1).await;
    assert!(directory.is_known() && !directory.is_ready());
}

/// What another writer put in place of a row.
struct ForeignCase {
    name: &'static str,
    /// Rows in their order, by their text; `None` when the row was deleted.
    rows: Vec<Option<&'static str>>,
    /// Whether the store is in reach.
    reachable: bool,
    /// Whether the backend server is in use after each row.
    used: Vec<bool>,
}

/// An entry that another writer had spoiled stayed in use as it was before: an unreadable one was left out of the
/// change, a malformed one kept the entry before it. Requests went on to an engine that might long be gone
/// or be another one's, a line about it came again at every change of the table, and a host that read
/// the table whole did not know the engine.
#[tokio::test(start_paused = true)]
async fn a_row_that_names_no_backend_server_takes_it_out_of_use() {
    let cases = [
        ForeignCase {
            name: "spoiled, then good again",
            rows: vec![Some("ready"), Some("malformed"), Some("ready")],
            reachable: true,
            used: vec![true, false, true],
        },
        ForeignCase {
            name: "never good",
            rows: vec![Some("malformed"), Some("{"), Some("")],
            reachable: true,
            used: vec![false, false, false],
        },
        ForeignCase {
            name: "unreadable",
            rows: vec![Some("ready"), Some("")],
            reachable: true,
            used: vec![true, false],
        },
        ForeignCase {
            name: "it claims this host's own address",
            rows: vec![Some("ready"), Some("at 10.0.0.1:80"), Some("at 10.0.0.1:81")],
            reachable: true,
            used: vec![true, false, true],
        },
        ForeignCase {
            name: "spoiled in an outage, which is no lapse",
            rows: vec![Some("ready"), Some("malformed")],
            reachable: false,
            used: vec![true, false],
        },
        ForeignCase {
            name: "spoiled, then lapsed in an outage",
            rows: vec![Some("ready"), Some("malformed"), None],
            reachable: false,
            used: vec![true, false, false],
        },
    ];
    for case in cases {
        let directory = TrackedDirectory::start();
        pass(5000).await;
        directory.reach(case.reachable);
        let mut used = Vec::new();
        for (text, version) in case.rows.iter().zip(1..) {
            directory.write(version, *text);
            pass(1).await;
            used.push(directory.is_ready());
        }
        assert_eq!(used, case.used, "{}", case.name);
    }
}

/// Each version of a spoiled row is told once, however often its table changes, and also where it comes again by
/// a whole read.
#[tokio::test(start_paused = true)]
async fn a_spoiled_row_is_told_once_a_version() {
    let directory = TrackedDirectory::start();
    let told = || directory.unreadable.count(&"servers".into());
    directory.write(1, Some("malformed"));
    pass(1).await;
    for version in 2..50 {
        let other =
            ChangedRow { key: "i-2".into(), version: version.into(), value: Some("ready".into()) };
        let spoiled =
            ChangedRow { key: "i-1".into(), version: 1.into(), value: Some("malformed".into()) };
        let (full, rows) = (version % 2 == 0, vec![other, spoiled]);
        directory.belief.merge(&TableDelta { full, version: version.into(), rows });
        pass(1).await;
    }
    assert_eq!(told(), 1);
    directory.write(50, Some("malformed in another way"));
    pass(1).await;
    assert_eq!(told(), 2);
}

/// What is heard of a backend server.
#[derive(Clone, Copy)]
enum Heard {
    /// Its row changes; `None` when it is deleted.
    Row(Option<&'static str>),
    /// A start says in an answer that it leaves.
    Leaves(Option<u64>),
    /// The store is reached, or not.
    Reach(bool),
}

use Heard::{Leaves, Reach, Row};

struct LeavingCase {
    name: &'static str,
    heard: &'static [Heard],
    /// Whether it takes new requests after each.
    takes_new: &'static [bool],
}

const LEAVING: [LeavingCase; 7] = [
    LeavingCase {
        name: "the row still says that it is ready",
        heard: &[Row(Some("ready")), Leaves(None)],
        takes_new: &[true, false],
    },
    LeavingCase {
        name: "its row changes and says so again",
        heard: &[Row(Some("ready")), Leaves(None), Row(Some("at 10.0.0.9:80"))],
        takes_new: &[true, false, false],
    },
    LeavingCase {
        name: "it is heard before the row",
        heard: &[Leaves(Some(7)), Row(Some("ready since 7"))],
        takes_new: &[false, false],
    },
    LeavingCase {
        name: "it starts again",
        heard: &[Row(Some("ready since 7")), Leaves(Some(7)), Row(Some("ready since 9"))],
        takes_new: &[true, false, true],
    },
    LeavingCase {
        name: "a late answer of the start before",
        heard: &[Row(Some("ready since 9")), Leaves(Some(7))],
        takes_new: &[true, true],
    },
    LeavingCase {
        name: "the store is away and its row lapses",
        heard: &[Row(Some("ready")), Reach(false), Leaves(None), Row(None), Reach(true)],
        takes_new: &[true, true, false, false, false],
    },
    LeavingCase {
        name: "its row comes back after an outage",
        heard: &[Row(Some("ready")), Reach(false), Leaves(None), Row(None), Row(Some("ready"))],
        takes_new: &[true, true, false, false, false],
    },
];

#[tokio::test(start_paused = true)]
async fn a_backend_server_that_says_it_leaves_is_believed_whatever_its_row_says() {
    for case in &LEAVING {
        let directory = TrackedDirectory::start();
        pass(5000).await;
        let mut takes_new = Vec::new();
        for (heard, version) in case.heard.iter().zip(1..) {
            match *heard {
                Row(text) => directory.write(version, text),
                Leaves(start) => directory.say_leaving(start),
                Reach(reachable) => directory.reach(reachable),
            }
            pass(1).await;
            takes_new.push(directory.is_ready());
        }
        assert_eq!(takes_new, case.takes_new, "{}", case.name);
    }
}

struct LapseCase {
    name: &'static str,
    /// State when the row goes missing in the outage.
    state: &'static str,
    /// Milliseconds after the return of the store at which the row is back, if it is.
    back_after: Option<u64>,
    /// Whether it may be used in the outage, one second and three seconds after its end.
    used: [bool; 3],
}

#[tokio::test(start_paused = true)]
async fn an_outage_removes_no_living_backend_server() {
    let cases = [
        LapseCase {
            name: "back in time",
            state: "ready",
            back_after: Some(900),
            used: [true, true, true],
        },
        LapseCase { name: "not back", state: "ready", back_after: None, used: [true, true, false] },
        LapseCase {
            name: "it was leaving",
            state: "draining",
            back_after: None,
            used: [false, false, false],
        },
    ];
    for case in cases {
        let directory = TrackedDirectory::start();
        pass(5000).await;
        directory.write(1, Some(case.state));
        pass(1).await;
        directory.reach(false);
        pass(1).await;
        directory.write(2, None);
        pass(4000).await;
        let during = directory.is_ready();
        directory.reach(true);
        pass(900).await;
        if case.back_after.is_some() {
            directory.write(3, Some("ready"));
        }
        pass(100).await;
        let soon_after = directory.is_ready();
        pass(2000).await;
        assert_eq!([during, soon_after, directory.is_ready()], case.used, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_row_that_lapses_just_after_the_return_counts_too() {
    let directory = TrackedDirectory::start();
    directory.write(1, Some("ready"));
    directory.reach(false);
    pass(4000).await;
    directory.reach(true);
    pass(300).await;
    directory.write(2, None);
    pass(1).await;
    assert!(directory.is_ready());
    pass(1800).await;
    assert!(!directory.is_known());
}

/// Rows of one id, each as the next change of the table or, if it is a whole read, as all of it.
struct StartCase {
    name: &'static str,
    /// Version, text, whether it is a whole read.
    rows: Vec<(u64, Option<&'static str>, bool)>,
    /// Start that is in use at the end, if it takes requests.
    used: Option<u64>,
}

#[tokio::test(start_paused = true)]
async fn the_row_of_the_newest_version_tells_the_start() {
    let cases = [
        StartCase {
            name: "it was leaving and starts again",
            rows: vec![(1, Some("draining since 7"), false), (2, Some("ready since 9"), false)],
            used: Some(9),
        },
        StartCase {
            name: "its clock went back",
            rows: vec![(1, Some("ready since 9"), false), (2, Some("ready since 7"), false)],
            used: Some(7),
        },
        StartCase {
            name: "the older row comes later, as by a relay",
            rows: vec![(2, Some("ready since 9"), false), (1, Some("ready since 7"), false)],
            used: Some(9),
        },
        StartCase {
            name: "a whole read between two starts",
            rows: vec![
                (1, Some("draining since 7"), false),
                (3, Some("ready since 9"), true),
                (2, None, false),
            ],
            used: Some(9),
        },
        StartCase {
            name: "twice within one heartbeat, the first of which was not seen",
            rows: vec![(1, Some("ready since 7"), false), (4, Some("ready since 11"), false)],
            used: Some(11),
        },
        StartCase {
            name: "it lapses and comes back as another",
            rows: vec![
                (1, Some("ready since 7"), false),
                (2, None, false),
                (3, Some("ready since 9"), false),
            ],
            used: Some(9),
        },
        StartCase {
            name: "the next start leaves",
            rows: vec![(1, Some("ready since 7"), false), (2, Some("draining since 9"), false)],
            used: None,
        },
    ];
    for case in cases {
        for reachable in [true, false] {
            let directory = TrackedDirectory::start();
            pass(5000).await;
            directory.reach(reachable);
            for (version, text, full) in &case.rows {
                let value = text.map(Into::into);
                let row = ChangedRow { key: "i-1".into(), version: (*version).into(), value };
                let delta = TableDelta { full: *full, version: (*version).into(), rows: vec![row] };
                directory.belief.merge(&delta);
                pass(1).await;
            }
            let view = directory.view.borrow();
            let entry = view.entries.get("i-1").filter(|entry| entry.is_ready());
            let start = entry.and_then(|entry| entry.start).map(|start| start.0);
            assert_eq!(start, case.used, "{} {reachable}", case.name);
        }
    }
}
