//! A restored table loses the row of a call, and the host that wrote it cannot write it back in
//! time.
//!
//! The host may have ended, be paused, be partitioned from the table, or have evicted the row from
//! its cache. Without the journal, a retry on another host finds no row and runs the call again:
//!
//! ```text
//! owner   begin r-1 -> Run; killed; the table is restored from an earlier snapshot
//! other   event=table_restored; begin r-1 -> NotRun for 2.5 s, then Run
//! ```
//!
//! The journal in the object store prevents this: it lists each attempt before its intent is
//! written.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dillspool_io::{UnixMillis, WallClock};
use dillspool_ledger::{
    BeginOutcome, CallKey, CallLedger, CallRequest, CallTicket, JournalSweeper, LedgerSettings,
    RecordedResponse,
};
use dillspool_platform::{
    MemoryObjects, MemoryTable, ObjectStore, PlatformError, StoreFault, TableStore,
};
use tokio_util::sync::CancellationToken;

fn request(key: &str) -> CallRequest {
    CallRequest::new(CallKey::new("stations", key), "POST", "/readings", b"body")
}

fn ledger(
    table: TableStore,
    objects: &MemoryObjects,
    owner: &str,
    cancel: &CancellationToken,
) -> CallLedger {
    CallLedger::with_journal(
        table,
        objects.store(),
        WallClock::tokio(UnixMillis(1_700_000_000_000)),
        LedgerSettings::default(),
        owner.into(),
        cancel.clone(),
    )
}

/// A table that a host can reach only while the switch is on.
fn switchable_table(table: &MemoryTable, is_reachable: &Arc<AtomicBool>) -> TableStore {
    let store = table.store();
    let mut switchable_table = store.clone();
    let partitioned = || PlatformError::NotDone { reason: "partitioned".to_owned() };
    let (read, is_on) = (Arc::clone(&store.read), Arc::clone(is_reachable));
    switchable_table.read = Arc::new(move |request| {
        if is_on.load(Ordering::Relaxed) {
            read(request)
        } else {
            Box::pin(async move { Err(partitioned()) })
        }
    });
    let (commit, is_on) = (Arc::clone(&store.commit), Arc::clone(is_reachable));
    switchable_table.commit = Arc::new(move |request| {
        if is_on.load(Ordering::Relaxed) {
            commit(request)
        } else {
            Box::pin(async move { Err(partitioned()) })
        }
    });
    switchable_table
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The owner begins the call, which runs.
    Begin,
    /// The owner records the response.
    Finish,
    /// The owner frees the key.
    Abandon,
    /// The owner begins this many other calls.
    BeginOthers(usize),
    SaveSnapshot,
    Restore,
    /// The owner's process ends, by a crash or a shutdown, with all its tasks.
    End,
    /// Partitions the owner from the table, or ends the partition.
    Partition(bool),
    /// Every process ends and new ones start.
    EndAllProcesses,
    /// Starts or ends an outage of the object store.
    ObjectOutage(bool),
    /// Makes every call to the table fail, or ends the outage.
    Outage(StoreFault),
    Wait(u64),
}

use Step::{
    Abandon, Begin, BeginOthers, End, EndAllProcesses, Finish, ObjectOutage, Outage, Partition,
    Restore, SaveSnapshot, Wait,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Observed {
    Run,
    NotRun,
    Unknown,
    Recorded,
}

fn observed(outcome: &BeginOutcome) -> Observed {
    match outcome {
        BeginOutcome::Run(_) => Observed::Run,
        BeginOutcome::NotRun => Observed::NotRun,
        BeginOutcome::Unknown { .. } => Observed::Unknown,
        BeginOutcome::Recorded(_) => Observed::Recorded,
        BeginOutcome::Mismatch => panic!("the fingerprints are equal"),
    }
}

struct LossCase {
    name: &'static str,
    steps: &'static [Step],
    /// Outcome of a retry on another host 20 seconds after the steps.
    later: Observed,
    /// Outcome of a call with another key at that time.
    other_key: Observed,
}

const CASES: [LossCase; 15] = [
    LossCase {
        name: "killed before the restore",
        steps: &[SaveSnapshot, Begin, End, Restore],
        later: Observed::Unknown,
        other_key: Observed::Run,
    },
    LossCase {
        name: "killed after the restore, before its check",
        steps: &[SaveSnapshot, Begin, Restore, End],
        later: Observed::Unknown,
        other_key: Observed::Run,
    },
    LossCase {
        name: "stopped as planned after the response",
        steps: &[SaveSnapshot, Begin, Finish, End, Restore],
        later: Observed::Unknown,
        other_key: Observed::Run,
    },
    LossCase {
        name: "only the response and the host are lost",
        steps: &[Begin, SaveSnapshot, Finish, End, Restore],
        later: Observed::Unknown,
        other_key: Observed::Run,
    },
    LossCase {
        name: "nothing lost, the host ends",
        steps: &[Begin, Finish, SaveSnapshot, End, Restore],
        later: Observed::Recorded,
        other_key: Observed::Run,
    },
    LossCase {
        name: "partitioned from the table until the end",
        steps: &[SaveSnapshot, Begin, Partition(true), Restore],
        later: Observed::Unknown,
        other_key: Observed::Run,
    },
    LossCase {
        name: "partitioned, then back with its response",
        steps: &[
            SaveSnapshot,
            Begin,
            Partition(true),
            Restore,
            Wait(5000),
            Partition(false),
            Finish,
            Wait(2000),
        ],
        later: Observed::Recorded,
        other_key: Observed::Run,
    },
    LossCase {
        name: "more rows than a host caches",
        steps: &[SaveSnapshot, Begin, BeginOthers(16_500), Restore],
        later: Observed::Unknown,
        other_key: Observed::Run,
    },
    LossCase {
        name: "two restores after its end",
        steps: &[SaveSnapshot, Begin, End, Restore, Wait(1300), Restore],
        later: Observed::Unknown,
        other_key: Observed::Run,
    },
    LossCase {
        name: "restores far apart",
        steps: &[SaveSnapshot, Begin, End, Restore, Wait(20_000), Restore, Wait(20_000), Restore],
        later: Observed::Unknown,
        other_key: Observed::Run,
    },
    LossCase {
        name: "all hosts are replaced",
        steps: &[SaveSnapshot, Begin, EndAllProcesses, Restore],
        later: Observed::Unknown,
        other_key: Observed::Run,
    },
    LossCase {
        name: "a long outage of the table before the restore",
        steps: &[
            SaveSnapshot,
            Begin,
            Outage(StoreFault::Refuse),
            End,
            Wait(1_800_000),
            Restore,
            Outage(StoreFault::None),
        ],
        later: Observed::Unknown,
        other_key: Observed::Run,
    },
    LossCase {
        name: "object store outage: no call without a row begins",
        steps: &[SaveSnapshot, Begin, End, ObjectOutage(true), Restore],
        later: Observed::NotRun,
        other_key: Observed::NotRun,
    },
    LossCase {
        name: "object store outage that ends",
        steps: &[
            SaveSnapshot,
            Begin,
            End,
            ObjectOutage(true),
            Restore,
            Wait(9000),
            ObjectOutage(false),
        ],
        later: Observed::Unknown,
        other_key: Observed::Run,
    },
    LossCase {
        name: "a freed key can be used",
        steps: &[SaveSnapshot, Abandon, Wait(500), End, Restore],
        later: Observed::Run,
        other_key: Observed::Run,
    },
];

async fn must_run(ledger: &CallLedger, key: &str) -> CallTicket {
    match ledger.begin(request(key)).await {
        BeginOutcome::Run(ticket) => ticket,
        other => panic!("expected to run, got {other:?}"),
    }
}

async fn begin_others(owner: &CallLedger, count: usize) {
    let mut begins = tokio::task::JoinSet::new();
    for number in 0..count {
        let owner = owner.clone();
        begins.spawn(async move {
            let _ticket = must_run(&owner, &format!("other-{number}")).await;
        });
        if begins.len() >= 4000 {
            while begins.join_next().await.is_some() {}
        }
    }
    begins.join_all().await;
}

/// A call must not run again on another host when the host that began it cannot write its row back.
#[tokio::test(start_paused = true)]
async fn a_call_does_not_run_again_after_a_restore_when_its_host_is_lost() {
    let mut faults = Vec::new();
    for LossCase { name, steps, later, other_key } in &CASES {
        let (table, objects) = (MemoryTable::new(), MemoryObjects::new());
        let (alive, owners) = (CancellationToken::new(), CancellationToken::new());
        let is_reachable = Arc::new(AtomicBool::new(true));
        let owner = ledger(switchable_table(&table, &is_reachable), &objects, "owner.1", &owners);
        let mut other = ledger(table.store(), &objects, "other.1", &alive);
        let (mut snapshot, mut ticket) = (table.snapshot(), None);
        for step in *steps {
            match *step {
                Begin => ticket = Some(must_run(&owner, "r-1").await),
                Finish => {
                    let response = RecordedResponse::new(201, "application/json", b"{}");
                    owner.finish(ticket.take().expect("the call has begun"), response).await;
                }
                Abandon => owner.abandon(must_run(&owner, "r-1").await),
                BeginOthers(count) => begin_others(&owner, count).await,
                SaveSnapshot => snapshot = table.snapshot(),
                Restore => table.restore(&snapshot),
                End => owners.cancel(),
                Partition(is_partitioned) => is_reachable.store(!is_partitioned, Ordering::Relaxed),
                EndAllProcesses => {
                    owners.cancel();
                    alive.cancel();
                    other = ledger(table.store(), &objects, "other.2", &CancellationToken::new());
                }
                ObjectOutage(is_down) => objects.set_down(is_down),
                Outage(fault) => table.set_outage(fault),
                Wait(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
            }
        }
        // Callers retry once per second.
        let mut runs = 0;
        for _second in 0..20 {
            runs += usize::from(observed(&other.begin(request("r-1")).await) == Observed::Run);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let found =
            if runs > 0 { Observed::Run } else { observed(&other.begin(request("r-1")).await) };
        let found = (found, observed(&other.begin(request("r-2")).await));
        if found != (*later, *other_key) {
            faults.push(format!("{name}: {found:?}"));
        }
        alive.cancel();
        owners.cancel();
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// An object store whose first put gets no response and takes effect after a delay.
fn delayed_objects(objects: &MemoryObjects, delay: Duration) -> ObjectStore {
    let store = objects.store();
    let mut late = store.clone();
    let is_due = AtomicBool::new(true);
    let put = Arc::clone(&store.put);
    late.put = Arc::new(move |request| {
        if !is_due.swap(false, Ordering::Relaxed) {
            return put(request);
        }
        let put = Arc::clone(&put);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            put(request).await
        });
        let reason = "the response was lost".to_owned();
        Box::pin(async { Err(PlatformError::Unknown { reason }) })
    });
    late
}

/// A delayed journal write must not replace entries that were written after it.
#[tokio::test(start_paused = true)]
async fn a_delayed_journal_write_drops_no_attempt() {
    let (table, objects) = (MemoryTable::new(), MemoryObjects::new());
    let (alive, owners) = (CancellationToken::new(), CancellationToken::new());
    let owner = CallLedger::with_journal(
        table.store(),
        delayed_objects(&objects, Duration::from_secs(1)),
        WallClock::tokio(UnixMillis(1_700_000_000_000)),
        LedgerSettings::default(),
        "owner.1".into(),
        owners.clone(),
    );
    let snapshot = table.snapshot();
    assert_eq!(observed(&owner.begin(request("r-0")).await), Observed::NotRun);
    let _ticket = must_run(&owner, "r-1").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    owners.cancel();
    table.restore(&snapshot);
    let other = ledger(table.store(), &objects, "other.1", &alive);
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(observed(&other.begin(request("r-1")).await), Observed::Unknown);
    assert_eq!(observed(&other.begin(request("r-2")).await), Observed::Run);
}

/// Segments are kept while the table may lack their rows, and deleted afterwards.
#[tokio::test(start_paused = true)]
async fn old_segments_are_deleted_but_not_during_a_table_outage() {
    let (table, objects) = (MemoryTable::new(), MemoryObjects::new());
    let owners = CancellationToken::new();
    let owner = ledger(table.store(), &objects, "owner.1", &owners);
    let keep = Duration::from_mins(15);
    let mut sweeper = JournalSweeper::new(table.store(), objects.store(), keep);
    let snapshot = table.snapshot();
    let _ticket = must_run(&owner, "r-1").await;
    owners.cancel();
    assert_eq!(sweeper.sweep().await.expect("the stores respond"), 0);
    table.set_outage(StoreFault::Refuse);
    tokio::time::sleep(keep * 2).await;
    sweeper.sweep().await.expect_err("the table is unavailable");
    table.restore(&snapshot);
    table.clear_faults();
    assert_eq!(sweeper.sweep().await.expect("the stores respond"), 0, "the rows may be lost");
    tokio::time::sleep(keep).await;
    assert_eq!(sweeper.sweep().await.expect("the stores respond"), 0, "it may still have grown");
    tokio::time::sleep(Duration::from_mins(2)).await;
    assert_eq!(sweeper.sweep().await.expect("the stores respond"), 1);
    let left = objects.store().list_all(&"call_journal/".into()).await.expect("the store responds");
    assert!(left.is_empty(), "{left:?}");
}

/// A table that rejects the first commit through this host, after a delay.
fn slow_refusal(table: &MemoryTable, delay: Duration) -> TableStore {
    let store = table.store();
    let mut slow = store.clone();
    let is_due = AtomicBool::new(true);
    slow.commit = Arc::new(move |request| {
        if !is_due.swap(false, Ordering::Relaxed) {
            return (store.commit)(request);
        }
        Box::pin(async move {
            tokio::time::sleep(delay).await;
            Err(PlatformError::NotDone { reason: "the service is down".to_owned() })
        })
    });
    slow
}

/// A recovery writes the intent of an attempt in progress that is never sent; the key must not stay
/// blocked.
#[tokio::test(start_paused = true)]
async fn a_recovered_intent_of_an_unsent_call_frees_its_key() {
    let (table, objects) = (MemoryTable::new(), MemoryObjects::new());
    let alive = CancellationToken::new();
    let other = ledger(table.store(), &objects, "other.1", &alive);
    let slow = ledger(slow_refusal(&table, Duration::from_secs(6)), &objects, "slow.1", &alive);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let snapshot = table.snapshot();
    let begin = tokio::spawn(async move { observed(&slow.begin(request("r-1")).await) });
    tokio::time::sleep(Duration::from_millis(100)).await;
    table.restore(&snapshot);
    assert_eq!(observed(&other.begin(request("r-2")).await), Observed::NotRun);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(observed(&other.begin(request("r-1")).await), Observed::Unknown);
    assert_eq!(begin.await.expect("the task ends"), Observed::NotRun);
    tokio::time::sleep(Duration::from_secs(15)).await;
    assert_eq!(observed(&other.begin(request("r-1")).await), Observed::Run);
}
