//! A restored table lacks the rows of calls that ran.

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
    /// Whether the response was recorded before the row was lost.
    has_response: bool,
    /// Whether the table was restored at all.
    restored: bool,
}

const CASES: [LostCase; 4] = [
    LostCase { name: "in progress", has_response: false, restored: true },
    LostCase { name: "response recorded", has_response: true, restored: true },
    LostCase { name: "in progress, nothing lost", has_response: false, restored: false },
    LostCase { name: "response recorded, nothing lost", has_response: true, restored: false },
];

/// Returns the cases in which a call that ran may be sent again through a host.
async fn run_twice(retry_at: &str) -> Vec<&'static str> {
    let mut twice = Vec::new();
    for LostCase { name, has_response, restored } in CASES {
        let table = MemoryTable::new();
        let (one, other) = (ledger(&table, "one"), ledger(&table, "other"));
        let snapshot = table.snapshot();
        let BeginOutcome::Run(ticket) = one.begin(request()).await else {
            panic!("{name}: the first attempt does not run");
        };
        if has_response {
            let response = RecordedResponse::new(201, "application/json", b"{}");
            one.finish(ticket, response).await;
        }
        if restored {
            table.restore(&snapshot);
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let host = if retry_at == "one" { &one } else { &other };
        if matches!(host.begin(request()).await, BeginOutcome::Run(_)) {
            twice.push(name);
        }
    }
    twice
}

#[tokio::test(start_paused = true)]
async fn a_call_whose_row_was_lost_does_not_run_again_on_its_host() {
    assert_eq!(run_twice("one").await, [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn a_call_whose_row_was_lost_does_not_run_again_on_another_host() {
    assert_eq!(run_twice("other").await, [""; 0]);
}
