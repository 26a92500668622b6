//! Non-idempotent calls run at most once under faults of the table.

use std::time::Duration;

use assert_matches::assert_matches;
use dillspool_io::{UnixMillis, WallClock};
use dillspool_ledger::{
    BeginOutcome, CallKey, CallLedger, CallRequest, CallTicket, LedgerSettings, RecordedResponse,
    RetentionTimes, sweep_page,
};
use dillspool_platform::{MemoryTable, StoreFault};
use tokio_util::sync::CancellationToken;

const START: UnixMillis = UnixMillis(1_700_000_000_000);

fn request(body: &str) -> CallRequest {
    CallRequest::new(CallKey::new("stations", "r-1"), "POST", "/readings", body.as_bytes())
}

fn response() -> RecordedResponse {
    RecordedResponse::new(201, "application/json", b"{\"run\":1}")
}

fn ledger(table: &MemoryTable, owner: &str) -> CallLedger {
    CallLedger::new(
        table.store(),
        WallClock::tokio(START),
        LedgerSettings::default(),
        owner.into(),
        CancellationToken::new(),
    )
}

/// A sequence of commit faults, and the expected outcomes of the first attempt and of a retry.
struct CommitRow {
    name: &'static str,
    faults: &'static [StoreFault],
    /// Whether the first attempt may send the call.
    first_attempt_runs: bool,
    /// Whether a retry on another host may send the call.
    retry_runs: bool,
}

const DELAYED: StoreFault = StoreFault::Late(Duration::from_millis(700));
const DELAYED_BEYOND_TIMEOUT: StoreFault = StoreFault::Late(Duration::from_secs(20));

const COMMITS: [CommitRow; 8] = [
    CommitRow { name: "no fault", faults: &[], first_attempt_runs: true, retry_runs: false },
    CommitRow {
        name: "rejected without effect",
        faults: &[StoreFault::Refuse],
        first_attempt_runs: false,
        retry_runs: true,
    },
    CommitRow {
        name: "response lost after the effect",
        faults: &[StoreFault::LoseResponse],
        first_attempt_runs: true,
        retry_runs: false,
    },
    CommitRow {
        name: "request lost without effect",
        faults: &[StoreFault::LoseRequest],
        first_attempt_runs: true,
        retry_runs: false,
    },
    CommitRow {
        name: "delayed effect, after a retry of the same write",
        faults: &[DELAYED],
        first_attempt_runs: true,
        retry_runs: false,
    },
    CommitRow {
        name: "two lost responses in a row",
        faults: &[StoreFault::LoseResponse, StoreFault::LoseResponse],
        first_attempt_runs: true,
        retry_runs: false,
    },
    CommitRow {
        name: "request lost, then rejected: unknown until the row is read",
        faults: &[StoreFault::LoseRequest, StoreFault::Refuse],
        first_attempt_runs: true,
        retry_runs: false,
    },
    CommitRow {
        name: "effect delayed beyond the begin timeout",
        faults: &[DELAYED_BEYOND_TIMEOUT],
        first_attempt_runs: true,
        retry_runs: false,
    },
];

#[tokio::test(start_paused = true)]
async fn a_call_runs_at_most_once_under_each_commit_fault() {
    for row in &COMMITS {
        let table = MemoryTable::new();
        table.fail_commits(row.faults.iter().copied());
        let first = ledger(&table, "entry-1.1").begin(request("41")).await;
        assert_eq!(
            matches!(first, BeginOutcome::Run(_)),
            row.first_attempt_runs,
            "{}: {first:?}",
            row.name
        );
        if !row.first_attempt_runs {
            assert_matches!(first, BeginOutcome::NotRun, "{}", row.name);
        }
        tokio::time::sleep(Duration::from_secs(30)).await;
        let retry = ledger(&table, "entry-2.1").begin(request("41")).await;
        let runs = matches!(retry, BeginOutcome::Run(_));
        assert_eq!(runs, row.retry_runs, "{}: {retry:?}", row.name);
    }
}

async fn must_run(ledger: &CallLedger) -> CallTicket {
    match ledger.begin(request("41")).await {
        BeginOutcome::Run(ticket) => ticket,
        other => panic!("expected to run, got {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_retry_gets_the_recorded_response_on_any_host() {
    let table = MemoryTable::new();
    let first = ledger(&table, "entry-1.1");
    let ticket = must_run(&first).await;
    first.finish(ticket, response()).await;
    for owner in ["entry-1.1", "entry-2.1"] {
        let retry = ledger(&table, owner).begin(request("41")).await;
        assert_matches!(retry, BeginOutcome::Recorded(recorded) if recorded == response());
    }
}

#[tokio::test(start_paused = true)]
async fn a_retry_during_the_first_call_is_unknown() {
    let table = MemoryTable::new();
    let _ticket = must_run(&ledger(&table, "entry-1.1")).await;
    let retry = ledger(&table, "entry-2.1").begin(request("41")).await;
    assert_matches!(retry, BeginOutcome::Unknown { in_progress: true });
}

#[tokio::test(start_paused = true)]
async fn another_call_with_the_same_key_is_refused() {
    let table = MemoryTable::new();
    let _ticket = must_run(&ledger(&table, "entry-1.1")).await;
    let other = ledger(&table, "entry-2.1").begin(request("42")).await;
    assert_matches!(other, BeginOutcome::Mismatch);
}

#[tokio::test(start_paused = true)]
async fn concurrent_retries_run_once() {
    let table = MemoryTable::new();
    let mut begins = tokio::task::JoinSet::new();
    for number in 0..8 {
        let ledger = ledger(&table, &format!("entry-{number}.1"));
        begins.spawn(async move { ledger.begin(request("41")).await });
    }
    let outcomes = begins.join_all().await;
    let runs = outcomes.iter().filter(|it| matches!(it, BeginOutcome::Run(_))).count();
    assert_eq!(runs, 1, "{outcomes:?}");
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_call_may_run_again_on_any_host() {
    let table = MemoryTable::new();
    let first = ledger(&table, "entry-1.1");
    let ticket = must_run(&first).await;
    first.abandon(ticket);
    tokio::time::sleep(Duration::from_secs(3)).await;
    must_run(&ledger(&table, "entry-2.1")).await;
}

#[tokio::test(start_paused = true)]
async fn calls_are_not_run_during_a_store_outage_and_keys_stay_free() {
    let outages = [
        StoreFault::Refuse,
        StoreFault::LoseRequest,
        StoreFault::LoseResponse,
        DELAYED_BEYOND_TIMEOUT,
    ];
    for outage in outages {
        let table = MemoryTable::new();
        table.set_outage(outage);
        let first = ledger(&table, "entry-1.1");
        assert_matches!(first.begin(request("41")).await, BeginOutcome::NotRun, "{outage:?}");
        tokio::time::sleep(Duration::from_mins(1)).await;
        table.set_outage(StoreFault::None);
        // The first host closes its abandoned attempt once the store is available.
        tokio::time::sleep(Duration::from_secs(30)).await;
        must_run(&ledger(&table, "entry-2.1")).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_paused_during_its_commit_does_not_send() {
    let table = MemoryTable::new();
    let slow = table.store();
    let mut held_up = slow.clone();
    held_up.commit = std::sync::Arc::new(move |request| {
        let commit = (slow.commit)(request);
        Box::pin(async move {
            let reply = commit.await;
            // Pauses the process between the effect and the response.
            tokio::time::sleep(Duration::from_mins(5)).await;
            reply
        })
    });
    let paused = CallLedger::new(
        held_up,
        WallClock::tokio(START),
        LedgerSettings::default(),
        "entry-1.1".into(),
        CancellationToken::new(),
    );
    assert_matches!(paused.begin(request("41")).await, BeginOutcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn an_expired_response_is_unknown_and_never_runs_again() {
    let table = MemoryTable::new();
    let first = ledger(&table, "entry-1.1");
    let ticket = must_run(&first).await;
    first.finish(ticket, response()).await;
    let clock = WallClock::tokio(START);
    tokio::time::sleep(Duration::from_hours(25)).await;
    let page = sweep_page(&table.store(), &clock, RetentionTimes::default(), "".into()).await;
    assert_eq!(page.expect("the table responds").changed, 1);
    let retry = ledger(&table, "entry-2.1").begin(request("41")).await;
    assert_matches!(retry, BeginOutcome::Unknown { in_progress: false });
}

#[tokio::test(start_paused = true)]
async fn many_calls_share_few_commits() {
    let table = MemoryTable::new();
    let shared = ledger(&table, "entry-1.1");
    let mut begins = tokio::task::JoinSet::new();
    for number in 0..200 {
        let ledger = shared.clone();
        let key = CallKey::new("stations", &format!("r-{number}"));
        let request = CallRequest::new(key, "POST", "/readings", b"41");
        begins.spawn(async move { ledger.begin(request).await });
    }
    let outcomes = begins.join_all().await;
    assert!(outcomes.iter().all(|it| matches!(it, BeginOutcome::Run(_))));
    assert!(table.usage().writes <= 4, "{:?}", table.usage());
}
