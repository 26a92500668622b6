//! A restored table loses the row of a call, and the host that wrote it cannot write it again in time.
//!
//! The host had ended, stood still, was cut off from the table or had too many rows to keep them all. A resend through
//! another host found no row and ran the call a second time, since only the first host knew of it:
//!
//! ```text
//! owner   begin r-1 -> Run; killed; the table comes back from a copy of before
//! other   event=table_restored; begin r-1 -> NotRun for 2.5 s, then Run
//! ```
//!
//! Now the journal in the object store names each attempt before its intent is written.

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

/// A table that a host reaches only while the switch is on.
fn switched(table: &MemoryTable, is_reached: &Arc<AtomicBool>) -> TableStore {
    let store = table.store();
    let mut switched = store.clone();
    let cut = || PlatformError::NotDone { reason: "cut off".to_owned() };
    let (read, is_on) = (Arc::clone(&store.read), Arc::clone(is_reached));
    switched.read = Arc::new(move |request| {
        if is_on.load(Ordering::Relaxed) {
            read(request)
        } else {
            Box::pin(async move { Err(cut()) })
        }
    });
    let (commit, is_on) = (Arc::clone(&store.commit), Arc::clone(is_reached));
    switched.commit = Arc::new(move |request| {
        if is_on.load(Ordering::Relaxed) {
            commit(request)
        } else {
            Box::pin(async move { Err(cut()) })
        }
    });
    switched
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The owner begins the call, which runs.
    Begin,
    /// The owner records the answer.
    Finish,
    /// The owner frees the key.
    Abandon,
    /// The owner begins and finishes this many other calls.
    BeginOthers(usize),
    SaveCopy,
    Restore,
    /// The owner's process ends, killed or as planned: nothing of it goes on.
    End,
    /// The owner cannot reach the table, or can again.
    Cut(bool),
    /// Every process ends and others start.
    EndAll,
    /// The object store is away, or back.
    ObjectsAway(bool),
    /// The table fails each call, or answers again.
    Outage(StoreFault),
    Wait(u64),
}

use Step::{
    Abandon, Begin, BeginOthers, Cut, End, EndAll, Finish, ObjectsAway, Outage, Restore, SaveCopy,
    Wait,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Got {
    Run,
    NotRun,
    Unknown,
    Recorded,
}

fn got(outcome: &BeginOutcome) -> Got {
    match outcome {
        BeginOutcome::Run(_) => Got::Run,
        BeginOutcome::NotRun => Got::NotRun,
        BeginOutcome::Unknown { .. } => Got::Unknown,
        BeginOutcome::Recorded(_) => Got::Recorded,
        BeginOutcome::Mismatch => panic!("the calls are the same"),
    }
}

struct LossCase {
    name: &'static str,
    steps: &'static [Step],
    /// What a resend through another host gets 20 seconds after the steps.
    later: Got,
    /// What a call with another key gets then.
    other_key: Got,
}

const CASES: [LossCase; 15] = [
    LossCase {
        name: "killed before the restore",
        steps: &[SaveCopy, Begin, End, Restore],
        later: Got::Unknown,
        other_key: Got::Run,
    },
    LossCase {
        name: "killed after the restore, before its check",
        steps: &[SaveCopy, Begin, Restore, End],
        later: Got::Unknown,
        other_key: Got::Run,
    },
    LossCase {
        name: "stopped as planned after the answer",
        steps: &[SaveCopy, Begin, Finish, End, Restore],
        later: Got::Unknown,
        other_key: Got::Run,
    },
    LossCase {
        name: "only the answer is lost, and the host with it",
        steps: &[Begin, SaveCopy, Finish, End, Restore],
        later: Got::Unknown,
        other_key: Got::Run,
    },
    LossCase {
        name: "nothing lost, the host ends",
        steps: &[Begin, Finish, SaveCopy, End, Restore],
        later: Got::Recorded,
        other_key: Got::Run,
    },
    LossCase {
        name: "cut off from the table for as long as it takes",
        steps: &[SaveCopy, Begin, Cut(true), Restore],
        later: Got::Unknown,
        other_key: Got::Run,
    },
    LossCase {
        name: "cut off, and back with its answer",
        steps: &[SaveCopy, Begin, Cut(true), Restore, Wait(5000), Cut(false), Finish, Wait(2000)],
        later: Got::Recorded,
        other_key: Got::Run,
    },
    LossCase {
        name: "more rows than a host keeps",
        steps: &[SaveCopy, Begin, BeginOthers(16_500), Restore],
        later: Got::Unknown,
        other_key: Got::Run,
    },
    LossCase {
        name: "two restores after its end",
        steps: &[SaveCopy, Begin, End, Restore, Wait(1300), Restore],
        later: Got::Unknown,
        other_key: Got::Run,
    },
    LossCase {
        name: "restores far apart",
        steps: &[SaveCopy, Begin, End, Restore, Wait(20_000), Restore, Wait(20_000), Restore],
        later: Got::Unknown,
        other_key: Got::Run,
    },
    LossCase {
        name: "all hosts are replaced",
        steps: &[SaveCopy, Begin, EndAll, Restore],
        later: Got::Unknown,
        other_key: Got::Run,
    },
    LossCase {
        name: "a long outage of the table before the restore",
        steps: &[
            SaveCopy,
            Begin,
            Outage(StoreFault::Refuse),
            End,
            Wait(1_800_000),
            Restore,
            Outage(StoreFault::None),
        ],
        later: Got::Unknown,
        other_key: Got::Run,
    },
    LossCase {
        name: "the object store is away: nothing that is absent begins",
        steps: &[SaveCopy, Begin, End, ObjectsAway(true), Restore],
        later: Got::NotRun,
        other_key: Got::NotRun,
    },
    LossCase {
        name: "the object store comes back",
        steps: &[SaveCopy, Begin, End, ObjectsAway(true), Restore, Wait(9000), ObjectsAway(false)],
        later: Got::Unknown,
        other_key: Got::Run,
    },
    LossCase {
        name: "a key that was freed can be used",
        steps: &[SaveCopy, Abandon, Wait(500), End, Restore],
        later: Got::Run,
        other_key: Got::Run,
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

/// A call ran again at another host, since the host that had begun it did not write its row again.
#[tokio::test(start_paused = true)]
async fn a_call_ran_again_after_a_restore_since_its_host_was_lost() {
    let mut faults = Vec::new();
    for LossCase { name, steps, later, other_key } in &CASES {
        let (table, objects) = (MemoryTable::new(), MemoryObjects::new());
        let (alive, owners) = (CancellationToken::new(), CancellationToken::new());
        let is_reached = Arc::new(AtomicBool::new(true));
        let owner = ledger(switched(&table, &is_reached), &objects, "owner.1", &owners);
        let mut other = ledger(table.store(), &objects, "other.1", &alive);
        let (mut copy, mut ticket) = (table.snapshot(), None);
        for step in *steps {
            match *step {
                Begin => ticket = Some(must_run(&owner, "r-1").await),
                Finish => {
                    let answer = RecordedResponse::new(201, "application/json", b"{}");
                    owner.finish(ticket.take().expect("it began"), answer).await;
                }
                Abandon => owner.abandon(must_run(&owner, "r-1").await),
                BeginOthers(count) => begin_others(&owner, count).await,
                SaveCopy => copy = table.snapshot(),
                Restore => table.restore(&copy),
                End => owners.cancel(),
                Cut(is_cut) => is_reached.store(!is_cut, Ordering::Relaxed),
                EndAll => {
                    owners.cancel();
                    alive.cancel();
                    other = ledger(table.store(), &objects, "other.2", &CancellationToken::new());
                }
                ObjectsAway(is_away) => objects.set_down(is_away),
                Outage(fault) => table.set_outage(fault),
                Wait(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
            }
        }
        // The callers send again all the time.
        let mut runs = 0;
        for _second in 0..20 {
            runs += usize::from(got(&other.begin(request("r-1")).await) == Got::Run);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let found = if runs > 0 { Got::Run } else { got(&other.begin(request("r-1")).await) };
        let found = (found, got(&other.begin(request("r-2")).await));
        if found != (*later, *other_key) {
            faults.push(format!("{name}: {found:?}"));
        }
        alive.cancel();
        owners.cancel();
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// An object store that loses the first put without an answer, which takes effect later.
fn late_objects(objects: &MemoryObjects, delay: Duration) -> ObjectStore {
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
        let reason = "the answer was lost".to_owned();
        Box::pin(async { Err(PlatformError::Unknown { reason }) })
    });
    late
}

/// A write of the journal that comes late must not replace what was written after it.
#[tokio::test(start_paused = true)]
async fn a_late_write_of_the_journal_drops_no_attempt() {
    let (table, objects) = (MemoryTable::new(), MemoryObjects::new());
    let (alive, owners) = (CancellationToken::new(), CancellationToken::new());
    let owner = CallLedger::with_journal(
        table.store(),
        late_objects(&objects, Duration::from_secs(1)),
        WallClock::tokio(UnixMillis(1_700_000_000_000)),
        LedgerSettings::default(),
        "owner.1".into(),
        owners.clone(),
    );
    let copy = table.snapshot();
    assert_eq!(got(&owner.begin(request("r-0")).await), Got::NotRun);
    let _ticket = must_run(&owner, "r-1").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    owners.cancel();
    table.restore(&copy);
    let other = ledger(table.store(), &objects, "other.1", &alive);
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(got(&other.begin(request("r-1")).await), Got::Unknown);
    assert_eq!(got(&other.begin(request("r-2")).await), Got::Run);
}

/// The journal keeps what a copy of the table may lack, and nothing for ever.
#[tokio::test(start_paused = true)]
async fn old_parts_of_the_journal_are_deleted_but_not_while_the_table_is_away() {
    let (table, objects) = (MemoryTable::new(), MemoryObjects::new());
    let owners = CancellationToken::new();
    let owner = ledger(table.store(), &objects, "owner.1", &owners);
    let keep = Duration::from_mins(15);
    let mut sweeper = JournalSweeper::new(table.store(), objects.store(), keep);
    let copy = table.snapshot();
    let _ticket = must_run(&owner, "r-1").await;
    owners.cancel();
    assert_eq!(sweeper.sweep().await.expect("the stores answer"), 0);
    table.set_outage(StoreFault::Refuse);
    tokio::time::sleep(keep * 2).await;
    sweeper.sweep().await.expect_err("the table is away");
    table.restore(&copy);
    table.clear_faults();
    assert_eq!(sweeper.sweep().await.expect("the stores answer"), 0, "the rows may be lost");
    tokio::time::sleep(keep).await;
    assert_eq!(sweeper.sweep().await.expect("the stores answer"), 0, "it may still have grown");
    tokio::time::sleep(Duration::from_mins(2)).await;
    assert_eq!(sweeper.sweep().await.expect("the stores answer"), 1);
    let left = objects.store().list_all(&"call_journal/".into()).await.expect("it answers");
    assert!(left.is_empty(), "{left:?}");
}

/// A table whose first commit through this host is refused, after a time.
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

/// The recovery wrote the intent of an attempt that was under way and never sent its call; the key stayed blocked.
#[tokio::test(start_paused = true)]
async fn an_attempt_that_a_recovery_took_for_open_frees_its_key() {
    let (table, objects) = (MemoryTable::new(), MemoryObjects::new());
    let alive = CancellationToken::new();
    let other = ledger(table.store(), &objects, "other.1", &alive);
    let slow = ledger(slow_refusal(&table, Duration::from_secs(6)), &objects, "slow.1", &alive);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let copy = table.snapshot();
    let begin = tokio::spawn(async move { got(&slow.begin(request("r-1")).await) });
    tokio::time::sleep(Duration::from_millis(100)).await;
    table.restore(&copy);
    assert_eq!(got(&other.begin(request("r-2")).await), Got::NotRun);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(got(&other.begin(request("r-1")).await), Got::Unknown);
    assert_eq!(begin.await.expect("it ends"), Got::NotRun);
    tokio::time::sleep(Duration::from_secs(15)).await;
    assert_eq!(got(&other.begin(request("r-1")).await), Got::Run);
}
