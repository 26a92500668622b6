//! The store comes back from a copy, which shows backend servers as they were some seconds ago.

mod common;

use common::tracked::{TrackedDirectory, pass};

/// What a row says: `None` where it is missing or deleted.
type RowText = Option<&'static str>;

struct CopyCase {
    name: &'static str,
    /// What the row says before the restoration, one after the other.
    before: &'static [RowText],
    copy: RowText,
    /// What is written after it, with the moment in milliseconds since the restoration.
    then: &'static [(u64, RowText)],
    /// Whether the backend server takes new requests at each moment.
    takes_new: &'static [(u64, bool)],
}

const READY: RowText = Some("ready since 7");
const LEAVES: RowText = Some("draining since 7");
const NEXT_START: RowText = Some("ready since 9");

const CASES: [CopyCase; 12] = [
    CopyCase {
        name: "nothing has changed since the copy",
        before: &[READY],
        copy: READY,
        then: &[],
        takes_new: &[(1, true), (1_900, true), (11_000, true)],
    },
    CopyCase {
        name: "it said that it leaves since the copy",
        before: &[READY, LEAVES],
        copy: READY,
        then: &[],
        takes_new: &[(1, false), (1_900, false), (11_000, false)],
    },
    CopyCase {
        name: "it says so again",
        before: &[READY, LEAVES],
        copy: READY,
        then: &[(500, LEAVES), (900, None)],
        takes_new: &[(1, false), (600, false), (1_000, false)],
    },
    CopyCase {
        name: "it writes that it is ready",
        before: &[READY, LEAVES],
        copy: READY,
        then: &[(500, READY)],
        takes_new: &[(1, false), (600, true)],
    },
    CopyCase {
        name: "it starts again",
        before: &[READY, LEAVES],
        copy: NEXT_START,
        then: &[],
        takes_new: &[(1, true)],
    },
    CopyCase {
        name: "it was gone",
        before: &[READY, None],
        copy: READY,
        then: &[(4_000, None)],
        takes_new: &[(1, false), (1_900, false), (3_900, false), (4_100, false)],
    },
    CopyCase {
        name: "its row had lapsed, and it goes on",
        before: &[READY, None],
        copy: READY,
        then: &[],
        takes_new: &[(1, false), (9_900, false), (10_100, true)],
    },
    CopyCase {
        name: "it writes again after its row had lapsed",
        before: &[READY, None],
        copy: READY,
        then: &[(500, READY)],
        takes_new: &[(1, false), (600, true)],
    },
    CopyCase {
        name: "it was gone and has started again",
        before: &[READY, None],
        copy: NEXT_START,
        then: &[],
        takes_new: &[(1, true)],
    },
    CopyCase {
        name: "it was recorded since the copy",
        before: &[READY],
        copy: None,
        then: &[(1_500, READY)],
        takes_new: &[(1, true), (1_400, true), (1_600, true), (11_000, true)],
    },
    CopyCase {
        name: "it was recorded since the copy, and has crashed",
        before: &[READY],
        copy: None,
        then: &[],
        takes_new: &[(1, true), (1_900, true), (2_100, false)],
    },
    CopyCase {
        name: "it was recorded since the copy, and leaves",
        before: &[READY, LEAVES],
        copy: None,
        then: &[],
        takes_new: &[(1, false)],
    },
];

async fn play(case: &CopyCase) -> Vec<String> {
    let directory = TrackedDirectory::start();
    // The store was in reach for long, and nobody notices that it is away.
    pass(60_000).await;
    for (text, version) in case.before.iter().zip(100..) {
        directory.write(version, *text);
        pass(1).await;
    }
    directory.restore(50, case.copy);
    let mut faults = Vec::new();
    let mut writes = case.then.iter().zip(51..).peekable();
    let mut now = 0;
    for (at, takes_new) in case.takes_new {
        while let Some(((written_at, text), number)) = writes.next_if(|write| write.0.0 < *at) {
            pass(written_at - now).await;
            now = *written_at;
            directory.write_restored(number, *text);
        }
        pass(at - now).await;
        now = *at;
        if directory.is_ready() != *takes_new {
            faults.push(format!("{}: after {at} ms it is {takes_new} that it is used", case.name));
        }
    }
    faults
}

/// A backend server that had said that it leaves, or was gone, got requests again, and one that had been recorded
/// lately got none, since the copy shows them so.
#[tokio::test(start_paused = true)]
async fn a_copy_of_the_store_brought_backend_servers_back_that_had_left() {
    let mut faults = Vec::new();
    for case in &CASES {
        faults.extend(play(case).await);
    }
    assert_eq!(faults, [""; 0]);
}

struct DrainedCase {
    name: &'static str,
    /// Whether the failure domain is drained before the restoration, and in the copy.
    before: bool,
    copy: bool,
    /// Whether it is drained later, with the moment in milliseconds since the restoration.
    then: &'static [(u64, bool)],
    /// Whether the backend server takes new requests at each moment.
    takes_new: &'static [(u64, bool)],
}

const DRAINED: [DrainedCase; 6] = [
    DrainedCase {
        name: "drained since the copy",
        before: true,
        copy: false,
        then: &[(1_000, true)],
        takes_new: &[(1, false), (900, false), (1_100, false), (4_000, false)],
    },
    DrainedCase {
        name: "drained since the copy, and taken back",
        before: true,
        copy: false,
        then: &[(1_000, true), (1_200, false)],
        takes_new: &[(1, false), (1_100, false), (1_300, true)],
    },
    DrainedCase {
        name: "drained since the copy, and not again",
        before: true,
        copy: false,
        then: &[],
        takes_new: &[(1, false), (1_900, false), (2_100, true)],
    },
    DrainedCase {
        name: "taken back since the copy",
        before: false,
        copy: true,
        then: &[(1_000, false)],
        takes_new: &[(1, false), (1_100, true)],
    },
    DrainedCase {
        name: "drained all the time",
        before: true,
        copy: true,
        then: &[],
        takes_new: &[(1, false), (4_000, false)],
    },
    DrainedCase {
        name: "drained first after the restoration",
        before: false,
        copy: false,
        then: &[(1_000, true)],
        takes_new: &[(1, true), (1_100, false)],
    },
];

/// A failure domain that was drained since the copy got requests, until the operator drained it again.
#[tokio::test(start_paused = true)]
async fn a_copy_of_the_store_took_back_a_drained_failure_domain() {
    let mut faults = Vec::new();
    for case in &DRAINED {
        let directory = TrackedDirectory::start();
        pass(60_000).await;
        directory.write(100, READY);
        let rows = |drained| if drained { &["drained/domain"][..] } else { &[] };
        directory.read_operator(1, 100, rows(case.before));
        pass(1).await;
        directory.read_operator(2, 50, rows(case.copy));
        let takes_new = || {
            let view = directory.view.borrow();
            view.entries.values().any(|entry| view.accepts_requests(entry))
        };
        let mut changes = case.then.iter().zip(51..).peekable();
        let mut now = 0;
        for (at, expected) in case.takes_new {
            while let Some(((changed_at, drained), number)) =
                changes.next_if(|change| change.0.0 < *at)
            {
                pass(changed_at - now).await;
                now = *changed_at;
                directory.read_operator(2, number, rows(*drained));
            }
            pass(at - now).await;
            now = *at;
            if takes_new() != *expected {
                faults.push(format!("{}: after {at} ms it is {expected}", case.name));
            }
        }
    }
    assert_eq!(faults, [""; 0]);
}
