//! Unrepeatable calls run at most once, whatever the table does.

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

fn answer() -> RecordedResponse {
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

/// What becomes of one commit, and what a first call and its resend get.
struct CommitRow {
    name: &'static str,
    faults: &'static [StoreFault],
    /// Whether the first attempt may send.
    first_runs: bool,
    /// Whether a resend on another host may send.
    resend_runs: bool,
}

const LATE: StoreFault = StoreFault::Late(Duration::from_millis(700));
const VERY_LATE: StoreFault = StoreFault::Late(Duration::from_secs(20));

const COMMITS: [CommitRow; 8] = [
    CommitRow { name: "no fault", faults: &[], first_runs: true, resend_runs: false },
    CommitRow {
        name: "refused: nothing was written",
        faults: &[StoreFault::Refuse],
        first_runs: false,
        resend_runs: true,
    },
    CommitRow {
        name: "the answer is lost after the effect",
        faults: &[StoreFault::LoseResponse],
        first_runs: true,
        resend_runs: false,
    },
    CommitRow {
        name: "the call is lost without effect",
        faults: &[StoreFault::LoseRequest],
        first_runs: true,
        resend_runs: false,
    },
    CommitRow {
        name: "the effect comes late, after the same write was tried again",
        faults: &[LATE],
        first_runs: true,
        resend_runs: false,
    },
    CommitRow {
        name: "two answers lost in a row",
        faults: &[StoreFault::LoseResponse, StoreFault::LoseResponse],
        first_runs: true,
        resend_runs: false,
    },
    CommitRow {
        name: "lost, then refused: still unclear, then settled",
        faults: &[StoreFault::LoseRequest, StoreFault::Refuse],
        first_runs: true,
        resend_runs: false,
    },
    CommitRow {
        name: "late beyond the call's own time",
        faults: &[VERY_LATE],
        first_runs: true,
        resend_runs: false,
    },
];

#[tokio::test(start_paused = true)]
async fn each_commit_fault_leads_to_one_run_at_most() {
    for row in &COMMITS {
        let table = MemoryTable::new();
        table.fail_commits(row.faults.iter().copied());
        let first = ledger(&table, "entry-1.1").begin(request("41")).await;
        assert_eq!(
            matches!(first, BeginOutcome::Run(_)),
            row.first_runs,
            "{}: {first:?}",
            row.name
        );
        if !row.first_runs {
            assert_matches!(first, BeginOutcome::NotRun, "{}", row.name);
        }
        tokio::time::sleep(Duration::from_secs(30)).await;
        let resend = ledger(&table, "entry-2.1").begin(request("41")).await;
        let runs = matches!(resend, BeginOutcome::Run(_));
        assert_eq!(runs, row.resend_runs, "{}: {resend:?}", row.name);
    }
}

async fn must_run(ledger: &CallLedger) -> CallTicket {
    match ledger.begin(request("41")).await {
        BeginOutcome::Run(ticket) => ticket,
        other => panic!("expected to run, got {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_resend_gets_the_recorded_answer_on_any_host() {
    let table = MemoryTable::new();
    let first = ledger(&table, "entry-1.1");
    let ticket = must_run(&first).await;
    first.finish(ticket, answer()).await;
    for owner in ["entry-1.1", "entry-2.1"] {
        let resend = ledger(&table, owner).begin(request("41")).await;
        assert_matches!(resend, BeginOutcome::Recorded(recorded) if recorded == answer());
    }
}

#[tokio::test(start_paused = true)]
async fn a_resend_while_the_first_is_under_way_is_unknown() {
    let table = MemoryTable::new();
    let _ticket = must_run(&ledger(&table, "entry-1.1")).await;
    let resend = ledger(&table, "entry-2.1").begin(request("41")).await;
    assert_matches!(resend, BeginOutcome::Unknown { in_progress: true });
}

#[tokio::test(start_paused = true)]
async fn another_call_with_the_same_key_is_refused() {
    let table = MemoryTable::new();
    let _ticket = must_run(&ledger(&table, "entry-1.1")).await;
    let other = ledger(&table, "entry-2.1").begin(request("42")).await;
    assert_matches!(other, BeginOutcome::Mismatch);
}

#[tokio::test(start_paused = true)]
async fn two_resends_at_once_run_once() {
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
async fn a_store_that_is_out_means_not_run_and_the_key_stays_free() {
    let outages =
        [StoreFault::Refuse, StoreFault::LoseRequest, StoreFault::LoseResponse, VERY_LATE];
    for outage in outages {
        let table = MemoryTable::new();
        table.set_outage(outage);
        let first = ledger(&table, "entry-1.1");
        assert_matches!(first.begin(request("41")).await, BeginOutcome::NotRun, "{outage:?}");
        tokio::time::sleep(Duration::from_mins(1)).await;
        table.set_outage(StoreFault::None);
        // The host that gave up closes its attempt once the store is back.
        tokio::time::sleep(Duration::from_secs(30)).await;
        must_run(&ledger(&table, "entry-2.1")).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_that_was_held_up_in_its_commit_does_not_send() {
    let table = MemoryTable::new();
    let slow = table.store();
    let mut held_up = slow.clone();
    held_up.commit = std::sync::Arc::new(move |request| {
        let commit = (slow.commit)(request);
        Box::pin(async move {
            let reply = commit.await;
            // The process stands still between the effect and the answer.
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
async fn an_expired_answer_is_unknown_and_never_runs_again() {
    let table = MemoryTable::new();
    let first = ledger(&table, "entry-1.1");
    let ticket = must_run(&first).await;
    first.finish(ticket, answer()).await;
    let clock = WallClock::tokio(START);
    tokio::time::sleep(Duration::from_hours(25)).await;
    let page = sweep_page(&table.store(), &clock, RetentionTimes::default(), "".into()).await;
    assert_eq!(page.expect("the table answers").changed, 1);
    let resend = ledger(&table, "entry-2.1").begin(request("41")).await;
    assert_matches!(resend, BeginOutcome::Unknown { in_progress: false });
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
