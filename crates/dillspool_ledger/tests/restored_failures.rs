//! Failures around a restore of the table: no call runs twice, and a free key can be used again.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::{UnixMillis, WallClock};
use dillspool_ledger::{
    BeginOutcome, CallKey, CallLedger, CallRecord, CallRequest, CallState, CallTicket,
    LedgerSettings, RecordedResponse,
};
use dillspool_platform::{
    CommitRequest, MemoryObjects, MemoryTable, PlatformError, ReadRequest, RowPrecondition,
    RowWrite, ScanRequest, StoreFault, TableStore,
};
use dillspool_schema::Name;
use log::{LevelFilter, Log, Metadata, Record};
use tokio_util::sync::CancellationToken;

const AWAY: StoreFault = StoreFault::LoseRequest;
const FOREIGN: &str = "foreign.0";

/// Keeps the warnings.
struct LineCapture(Mutex<Vec<String>>);

static CAPTURE: LineCapture = LineCapture(Mutex::new(Vec::new()));

impl Log for LineCapture {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Lines since the last time that name the row of `r-1` as lost.
fn lost_lines() -> usize {
    let lines = std::mem::take(&mut *CAPTURE.0.lock().unwrap_or_else(PoisonError::into_inner));
    let row = format!("event=call_row_lost row={} ", request("r-1").key.row());
    lines.iter().filter(|line| line.starts_with(&row)).count()
}

fn request(key: &str) -> CallRequest {
    CallRequest::new(CallKey::new("stations", key), "POST", "/readings", b"body")
}

/// The platform's two stores.
#[derive(Default)]
struct Stores {
    table: MemoryTable,
    objects: MemoryObjects,
}

fn ledger(stores: &Stores, owner: &str, cancel: &CancellationToken) -> CallLedger {
    ledger_at(stores.table.store(), &stores.objects, owner, cancel)
}

fn ledger_at(
    store: TableStore,
    objects: &MemoryObjects,
    owner: &str,
    cancel: &CancellationToken,
) -> CallLedger {
    CallLedger::with_journal(
        store,
        objects.store(),
        WallClock::tokio(UnixMillis(1_700_000_000_000)),
        LedgerSettings::default(),
        owner.into(),
        cancel.clone(),
    )
}

fn answer(bytes: usize) -> RecordedResponse {
    RecordedResponse::new(201, "application/json", &vec![b'1'; bytes])
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The owner begins the call, which runs.
    Begin,
    /// The owner records the answer.
    Finish,
    /// The resending host begins the call and frees its key.
    Abandon,
    SaveCopy,
    Restore,
    /// The table fails each call, or answers again.
    Outage(StoreFault),
    /// The next two commits fail.
    Faults(StoreFault),
    /// The owner's process is killed.
    Kill,
    /// The resend goes through a host that starts now.
    Start,
    /// Another attempt has the row.
    Take(CallState),
    Wait(u64),
}

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

struct FailureCase {
    name: &'static str,
    steps: &'static [Step],
    /// What a resend through another host gets right after the steps, and 20 seconds later.
    resends: [Got; 2],
}

use Step::{Abandon, Begin, Faults, Finish, Kill, Outage, Restore, SaveCopy, Start, Take, Wait};

const CASES: [FailureCase; 18] = [
    FailureCase {
        name: "resent at once, across the restore",
        steps: &[SaveCopy, Begin, Restore],
        resends: [Got::NotRun, Got::Unknown],
    },
    FailureCase {
        name: "resent at once after its answer",
        steps: &[SaveCopy, Begin, Finish, Restore],
        resends: [Got::NotRun, Got::Recorded],
    },
    FailureCase {
        name: "answered after the restore",
        steps: &[SaveCopy, Begin, Restore, Finish, Wait(2000)],
        resends: [Got::Recorded, Got::Recorded],
    },
    FailureCase {
        name: "only the answer is lost",
        steps: &[Begin, SaveCopy, Finish, Restore, Wait(2000)],
        resends: [Got::Recorded, Got::Recorded],
    },
    FailureCase {
        name: "two restores in a row",
        steps: &[SaveCopy, Begin, Restore, Wait(300), Restore, Wait(2000)],
        resends: [Got::Unknown, Got::Unknown],
    },
    FailureCase {
        name: "a second restore, after the row was written again",
        steps: &[SaveCopy, Begin, Finish, Restore, Wait(1300), Restore],
        resends: [Got::NotRun, Got::Recorded],
    },
    FailureCase {
        name: "the table is away meanwhile",
        steps: &[SaveCopy, Begin, Outage(AWAY), Restore, Wait(19_950), Outage(StoreFault::None)],
        resends: [Got::NotRun, Got::Unknown],
    },
    FailureCase {
        name: "the table stays away: no call begins",
        steps: &[SaveCopy, Begin, Outage(StoreFault::Refuse), Restore, Wait(20_000)],
        resends: [Got::NotRun, Got::NotRun],
    },
    FailureCase {
        name: "writing again is refused twice",
        steps: &[SaveCopy, Begin, Restore, Faults(StoreFault::Refuse), Wait(2400)],
        resends: [Got::Unknown, Got::Unknown],
    },
    FailureCase {
        name: "writing again is lost twice",
        steps: &[SaveCopy, Begin, Restore, Faults(StoreFault::LoseRequest), Wait(2400)],
        resends: [Got::Unknown, Got::Unknown],
    },
    FailureCase {
        name: "a host that starts after the restore",
        steps: &[SaveCopy, Begin, Restore, Start],
        resends: [Got::NotRun, Got::Unknown],
    },
    FailureCase {
        name: "a host that starts after the restore, a free key",
        steps: &[SaveCopy, Restore, Start, Wait(2000)],
        resends: [Got::NotRun, Got::Run],
    },
    FailureCase {
        name: "a free key, resent across the restore",
        steps: &[SaveCopy, Restore],
        resends: [Got::NotRun, Got::Run],
    },
    FailureCase {
        name: "not_run in the copy",
        steps: &[Abandon, Wait(2000), SaveCopy, Begin, Restore],
        resends: [Got::NotRun, Got::Unknown],
    },
    FailureCase {
        name: "not_run in the copy, a host that starts",
        steps: &[Abandon, Wait(2000), SaveCopy, Begin, Finish, Restore, Start],
        resends: [Got::NotRun, Got::Recorded],
    },
    FailureCase {
        name: "another attempt has begun in its place",
        steps: &[SaveCopy, Begin, Restore, Take(CallState::Intent), Wait(5000)],
        resends: [Got::Unknown, Got::Unknown],
    },
    FailureCase {
        name: "another attempt was answered in its place",
        steps: &[SaveCopy, Begin, Finish, Restore, Take(CallState::Answered), Wait(5000)],
        resends: [Got::Recorded, Got::Recorded],
    },
    FailureCase {
        name: "the owner is killed before it can write again",
        steps: &[SaveCopy, Begin, Kill, Restore],
        resends: [Got::NotRun, Got::Unknown],
    },
];

fn foreign(state: CallState) -> CallRecord {
    CallRecord {
        state,
        token: FOREIGN.into(),
        fingerprint: request("r-1").fingerprint,
        at: UnixMillis(1_700_000_000_000),
        answer: (state == CallState::Answered).then(|| answer(9)),
        reserved_until: None,
    }
}

fn take(table: &MemoryTable, state: CallState) {
    let key = Name::clone(request("r-1").key.row());
    let value = serde_json::to_string(&foreign(state)).ok();
    let writes = vec![RowWrite { key, expect: RowPrecondition::Absent, value }];
    table.commit(CommitRequest { writes, read_at: None }).expect("the table answers");
}

fn row(table: &MemoryTable, key: &str) -> Option<CallRecord> {
    let request = ReadRequest { keys: vec![Name::clone(request(key).key.row())] };
    let reply = table.read(&request).expect("the table answers");
    CallRecord::parse(&reply.rows[0].as_ref()?.value)
}

async fn must_run(ledger: &CallLedger, key: &str) -> CallTicket {
    match ledger.begin(request(key)).await {
        BeginOutcome::Run(ticket) => ticket,
        other => panic!("expected to run, got {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_call_ran_twice_after_a_restore_and_another_failure() {
    log::set_logger(&CAPTURE).expect("no other test of this file sets it");
    log::set_max_level(LevelFilter::Warn);
    for FailureCase { name, steps, resends } in &CASES {
        let stores = Stores::default();
        let table = &stores.table;
        let (alive, owners) = (CancellationToken::new(), CancellationToken::new());
        let owner = ledger(&stores, "owner", &owners);
        let mut other = ledger(&stores, "other", &alive);
        let (mut copy, mut ticket) = (table.snapshot(), None);
        for step in *steps {
            match *step {
                Begin => ticket = Some(must_run(&owner, "r-1").await),
                Finish => owner.finish(ticket.take().expect("it began"), answer(2)).await,
                Abandon => other.abandon(must_run(&other, "r-1").await),
                SaveCopy => copy = table.snapshot(),
                Restore => table.restore(&copy),
                Outage(fault) => table.set_outage(fault),
                Faults(fault) => table.fail_commits([fault; 2]),
                Kill => owners.cancel(),
                Start => other = ledger(&stores, "started", &alive),
                Take(state) => take(table, state),
                Wait(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
            }
        }
        let first = got(&other.begin(request("r-1")).await);
        tokio::time::sleep(Duration::from_secs(20)).await;
        let later = got(&other.begin(request("r-1")).await);
        assert_eq!([first, later], *resends, "{name}");
        let taken = steps.iter().find_map(|step| match step {
            Take(state) => Some(foreign(*state)),
            _other => None,
        });
        assert_eq!(lost_lines(), usize::from(taken.is_some()), "{name}");
        if taken.is_some() {
            assert_eq!(row(table, "r-1"), taken, "{name}");
        }
    }
}

/// A host whose commits that free a key are lost for four seconds.
fn slow_closer(stores: &Stores) -> CallLedger {
    let store = stores.table.store();
    let mut slow = store.clone();
    let from = tokio::time::Instant::now();
    slow.commit = Arc::new(move |request| {
        let frees = |write: &RowWrite| {
            let record = write.value.as_deref().and_then(CallRecord::parse);
            record.is_some_and(|record| record.state == CallState::NotRun)
        };
        if from.elapsed() < Duration::from_secs(4) && request.writes.iter().any(frees) {
            let reason = "the answer was lost".to_owned();
            return Box::pin(async { Err(PlatformError::Unknown { reason }) });
        }
        (store.commit)(request)
    });
    ledger_at(slow, &stores.objects, "slow", &CancellationToken::new())
}

/// An intent that was written across the restore hid that the row was lost, and was taken back when all hosts began
/// calls again.
#[tokio::test(start_paused = true)]
async fn a_place_that_was_taken_across_a_restore_went_to_another_call() {
    let stores = Stores::default();
    let table = &stores.table;
    let alive = CancellationToken::new();
    let (owner, third) = (ledger(&stores, "owner", &alive), ledger(&stores, "third", &alive));
    let slow = slow_closer(&stores);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let copy = table.snapshot();
    let _ticket = must_run(&owner, "s-1").await;
    table.restore(&copy);
    assert_eq!(got(&slow.begin(request("s-1")).await), Got::NotRun);
    assert_eq!(got(&third.begin(request("s-2")).await), Got::NotRun);
    for _ in 0..600 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        for host in [&slow, &third] {
            assert_ne!(got(&host.begin(request("s-1")).await), Got::Run);
        }
    }
    assert_eq!(row(table, "s-1").expect("there is a row").token, "owner.0".into());
}

async fn forget_journal(objects: &MemoryObjects) {
    for key in objects.store().list_all(&"".into()).await.expect("the store answers") {
        objects.delete(&key).expect("the store answers");
    }
}

/// More rows and larger answers than a host keeps: answers are dropped before rows, the oldest first.
#[tokio::test(start_paused = true)]
async fn kept_rows_grew_without_bound() {
    const ROWS: usize = 16_384;
    const MORE: usize = 100;
    let stores = Stores::default();
    let table = &stores.table;
    let copy = table.snapshot();
    let owner = ledger(&stores, "owner", &CancellationToken::new());
    let mut begun = 0;
    for group in [6000, 6000, ROWS + MORE - 12_000] {
        let mut begins = tokio::task::JoinSet::new();
        for number in begun..begun + group {
            let owner = owner.clone();
            begins.spawn(async move {
                let ticket = must_run(&owner, &format!("r-{number}")).await;
                if number >= ROWS {
                    owner.finish(ticket, answer(64 * 1024)).await;
                }
            });
        }
        begins.join_all().await;
        begun += group;
    }
    // Without the journal, only what the host keeps in memory can be written again.
    forget_journal(&stores.objects).await;
    table.restore(&copy);
    tokio::time::sleep(Duration::from_secs(10)).await;
    let scan = ScanRequest { prefix: "call/".into(), after: "".into(), limit: usize::MAX };
    let rows = table.scan(&scan).expect("the table answers").rows;
    assert_eq!(rows.len(), ROWS);
    let records: Vec<_> = rows.iter().filter_map(|it| CallRecord::parse(&it.row.value)).collect();
    let count = |state| records.iter().filter(|record| record.state == state).count();
    assert_eq!(count(CallState::Intent), ROWS - MORE);
    assert_eq!(count(CallState::Answered) + count(CallState::Expired), MORE);
    let bytes: usize = records.iter().filter_map(|it| Some(it.answer.as_ref()?.body.len())).sum();
    assert!((1..8 * 1024 * 1024).contains(&bytes), "{bytes} bytes of answers");
}
