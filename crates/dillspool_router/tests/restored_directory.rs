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
