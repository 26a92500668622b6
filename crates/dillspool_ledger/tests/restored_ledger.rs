//! The table comes back from a copy that lacks the rows of calls that ran.

use std::time::Duration;

use dillspool_io::{UnixMillis, WallClock};
use dillspool_ledger::{
    BeginOutcome, CallKey, CallLedger, CallRequest, LedgerSettings, RecordedResponse,
};
use dillspool_platform::MemoryTable;
use tokio_util::sync::CancellationToken;

fn request() -> CallRequest {
    CallRequest::new(CallKey::new("stations", "r-1"), "POST", "/readings", b"body")
}

fn ledger(table: &MemoryTable, owner: &str) -> CallLedger {
    CallLedger::new(
        table.store(),
        WallClock::tokio(UnixMillis(1_700_000_000_000)),
        LedgerSettings::default(),
        owner.into(),
        CancellationToken::new(),
    )
}

struct LostCase {
    name: &'static str,
    /// Whether its answer was recorded before the row was lost.
    answered: bool,
    /// Whether the table was restored at all.
    restored: bool,
}

const CASES: [LostCase; 4] = [
    LostCase { name: "under way", answered: false, restored: true },
    LostCase { name: "answered", answered: true, restored: true },
    LostCase { name: "under way, nothing lost", answered: false, restored: false },
    LostCase { name: "answered, nothing lost", answered: true, restored: false },
];

/// Cases in which a call that ran may be sent again through a host.
async fn run_twice(resend_at: &str) -> Vec<&'static str> {
    let mut twice = Vec::new();
    for LostCase { name, answered, restored } in CASES {
        let table = MemoryTable::new();
        let (one, other) = (ledger(&table, "one"), ledger(&table, "other"));
        let copy = table.snapshot();
        let BeginOutcome::Run(ticket) = one.begin(request()).await else {
            panic!("{name}: the first sending does not run");
        };
        if answered {
            let answer = RecordedResponse::new(201, "application/json", b"{}");
            one.finish(ticket, answer).await;
        }
        if restored {
            table.restore(&copy);
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let host = if resend_at == "one" { &one } else { &other };
        if matches!(host.begin(request()).await, BeginOutcome::Run(_)) {
            twice.push(name);
        }
    }
    twice
}

#[tokio::test(start_paused = true)]
async fn a_call_whose_row_a_restored_table_lost_ran_again_at_its_host() {
    assert_eq!(run_twice("one").await, [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn a_call_whose_row_a_restored_table_lost_ran_again_at_another_host() {
    assert_eq!(run_twice("other").await, [""; 0]);
}
