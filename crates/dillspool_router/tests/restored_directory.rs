//! Tests a store that is restored from a backup, which shows backend servers as they were some
//! seconds ago.

mod common;

use common::tracked::{TrackedDirectory, sleep_ms};

/// Text of a row: `None` if it is missing or deleted.
type RowText = Option<&'static str>;

struct RestoreCase {
    name: &'static str,
    /// Rows before the restore, in order.
    before: &'static [RowText],
    restored: RowText,
    /// Rows written after the restore, with the time in milliseconds since then.
    later: &'static [(u64, RowText)],
    /// Whether the backend server accepts requests at each time.
    accepts_requests: &'static [(u64, bool)],
}

const READY: RowText = Some("ready since 7");
const LEAVING: RowText = Some("draining since 7");
const RESTARTED: RowText = Some("ready since 9");

const CASES: [RestoreCase; 12] = [
    RestoreCase {
        name: "unchanged since the backup",
        before: &[READY],
        restored: READY,
        later: &[],
        accepts_requests: &[(1, true), (1_900, true), (11_000, true)],
    },
    RestoreCase {
        name: "started leaving after the backup",
        before: &[READY, LEAVING],
        restored: READY,
        later: &[],
        accepts_requests: &[(1, false), (1_900, false), (11_000, false)],
    },
    RestoreCase {
        name: "writes again that it is leaving",
        before: &[READY, LEAVING],
        restored: READY,
        later: &[(500, LEAVING), (900, None)],
        accepts_requests: &[(1, false), (600, false), (1_000, false)],
    },
    RestoreCase {
        name: "writes that it is ready",
        before: &[READY, LEAVING],
        restored: READY,
        later: &[(500, READY)],
        accepts_requests: &[(1, false), (600, true)],
    },
    RestoreCase {
        name: "restarted",
        before: &[READY, LEAVING],
        restored: RESTARTED,
        later: &[],
        accepts_requests: &[(1, true)],
    },
    RestoreCase {
        name: "gone",
        before: &[READY, None],
        restored: READY,
        later: &[(4_000, None)],
        accepts_requests: &[(1, false), (1_900, false), (3_900, false), (4_100, false)],
    },
    RestoreCase {
        name: "lapsed before, and still running",
        before: &[READY, None],
        restored: READY,
        later: &[],
        accepts_requests: &[(1, false), (9_900, false), (10_100, true)],
    },
    RestoreCase {
        name: "lapsed before, and writes again",
        before: &[READY, None],
        restored: READY,
        later: &[(500, READY)],
        accepts_requests: &[(1, false), (600, true)],
    },
    RestoreCase {
        name: "gone, then restarted",
        before: &[READY, None],
        restored: RESTARTED,
        later: &[],
        accepts_requests: &[(1, true)],
    },
    RestoreCase {
        name: "registered after the backup",
        before: &[READY],
        restored: None,
        later: &[(1_500, READY)],
        accepts_requests: &[(1, true), (1_400, true), (1_600, true), (11_000, true)],
    },
    RestoreCase {
        name: "registered after the backup, then crashed",
        before: &[READY],
        restored: None,
        later: &[],
        accepts_requests: &[(1, true), (1_900, true), (2_100, false)],
    },
    RestoreCase {
        name: "registered after the backup, then leaving",
        before: &[READY, LEAVING],
        restored: None,
        later: &[],
        accepts_requests: &[(1, false)],
    },
];

async fn replay(case: &RestoreCase) -> Vec<String> {
    let directory = TrackedDirectory::start();
    // The store was reachable for a long time, and its outage is not detected.
    sleep_ms(60_000).await;
    for (text, version) in case.before.iter().zip(100..) {
        directory.write(version, *text);
        sleep_ms(1).await;
    }
    directory.restore(50, case.restored);
    let mut faults = Vec::new();
    let mut writes = case.later.iter().zip(51..).peekable();
    let mut now = 0;
    for (at, accepts_requests) in case.accepts_requests {
        while let Some(((written_at, text), number)) = writes.next_if(|write| write.0.0 < *at) {
            sleep_ms(written_at - now).await;
            now = *written_at;
            directory.write_restored(number, *text);
        }
        sleep_ms(at - now).await;
        now = *at;
        if directory.is_ready() != *accepts_requests {
            faults.push(format!(
                "{}: after {at} ms it is {accepts_requests} that it is used",
                case.name
            ));
        }
    }
    faults
}

/// Guards against trusting outdated rows: backend servers that were leaving or gone got requests
/// again, and ones registered after the backup got none.
#[tokio::test(start_paused = true)]
async fn a_restored_store_does_not_revive_departed_backend_servers() {
    let mut faults = Vec::new();
    for case in &CASES {
        faults.extend(replay(case).await);
    }
    assert_eq!(faults, [""; 0]);
}

struct DrainedCase {
    name: &'static str,
    /// Whether the failure domain is drained before the restore, and in the backup.
    before: bool,
    restored: bool,
    /// Whether it is drained later, with the time in milliseconds since the restore.
    later: &'static [(u64, bool)],
    /// Whether the backend server accepts requests at each time.
    accepts_requests: &'static [(u64, bool)],
}

const DRAINED: [DrainedCase; 6] = [
    DrainedCase {
        name: "drained after the backup",
        before: true,
        restored: false,
        later: &[(1_000, true)],
        accepts_requests: &[(1, false), (900, false), (1_100, false), (4_000, false)],
    },
    DrainedCase {
        name: "drained after the backup, then restored",
        before: true,
        restored: false,
        later: &[(1_000, true), (1_200, false)],
        accepts_requests: &[(1, false), (1_100, false), (1_300, true)],
    },
    DrainedCase {
        name: "drained after the backup, and not again",
        before: true,
        restored: false,
        later: &[],
        accepts_requests: &[(1, false), (1_900, false), (2_100, true)],
    },
    DrainedCase {
        name: "restored after the backup",
        before: false,
        restored: true,
        later: &[(1_000, false)],
        accepts_requests: &[(1, false), (1_100, true)],
    },
    DrainedCase {
        name: "drained throughout",
        before: true,
        restored: true,
        later: &[],
        accepts_requests: &[(1, false), (4_000, false)],
    },
    DrainedCase {
        name: "first drained after the restore",
        before: false,
        restored: false,
        later: &[(1_000, true)],
        accepts_requests: &[(1, true), (1_100, false)],
    },
];

/// Guards against a drain after the backup being lost: the failure domain got requests until the
/// operator drained it again.
#[tokio::test(start_paused = true)]
async fn a_restored_store_does_not_undo_a_drain() {
    let mut faults = Vec::new();
    for case in &DRAINED {
        let directory = TrackedDirectory::start();
        sleep_ms(60_000).await;
        directory.write(100, READY);
        let rows = |drained| if drained { &["drained/domain"][..] } else { &[] };
        directory.read_operator(1, 100, rows(case.before));
        sleep_ms(1).await;
        directory.read_operator(2, 50, rows(case.restored));
        let accepts_requests = || {
            let view = directory.view.borrow();
            view.entries.values().any(|entry| view.accepts_requests(entry))
        };
        let mut changes = case.later.iter().zip(51..).peekable();
        let mut now = 0;
        for (at, expected) in case.accepts_requests {
            while let Some(((changed_at, drained), number)) =
                changes.next_if(|change| change.0.0 < *at)
            {
                sleep_ms(changed_at - now).await;
                now = *changed_at;
                directory.read_operator(2, number, rows(*drained));
            }
            sleep_ms(at - now).await;
            now = *at;
            if accepts_requests() != *expected {
                faults.push(format!("{}: after {at} ms it is {expected}", case.name));
            }
        }
    }
    assert_eq!(faults, [""; 0]);
}
