//! Failures around a restore of the table: no call runs twice, and a free key stays usable.

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

const TABLE_OUTAGE: StoreFault = StoreFault::LoseRequest;
const OTHER_TOKEN: &str = "foreign.0";

/// Captures log lines.
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

/// Counts the lines since the last call that report the row of `r-1` as lost.
fn take_lost_row_warnings() -> usize {
    let lines = std::mem::take(&mut *CAPTURE.0.lock().unwrap_or_else(PoisonError::into_inner));
    let row = format!("event=call_row_lost row={} ", request("r-1").key.row_key());
    lines.iter().filter(|line| line.starts_with(&row)).count()
}

fn request(key: &str) -> CallRequest {
    CallRequest::new(CallKey::new("stations", key), "POST", "/readings", b"body")
}

/// The platform's stores.
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

fn response(bytes: usize) -> RecordedResponse {
    RecordedResponse::new(201, "application/json", &vec![b'1'; bytes])
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The owner begins the call, which runs.
    Begin,
    /// The owner records the response.
    Finish,
    /// The retrying host begins the call and frees its key.
    Abandon,
    SaveSnapshot,
    Restore,
    /// Makes every call to the table fail, or ends the outage.
    Outage(StoreFault),
    /// The next two commits fail.
    Faults(StoreFault),
    /// The owner's process is killed.
    Kill,
    /// The retry goes through a host that starts now.
    Start,
    /// Another attempt writes its row.
    Displace(CallState),
    Wait(u64),
}

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

struct FailureCase {
    name: &'static str,
    steps: &'static [Step],
    /// Outcomes of a retry on another host right after the steps, and 20 seconds later.
    retries: [Observed; 2],
}

use Step::{
    Abandon, Begin, Displace, Faults, Finish, Kill, Outage, Restore, SaveSnapshot, Start, Wait,
};

const CASES: [FailureCase; 18] = [
    FailureCase {
        name: "retried at once, across the restore",
        steps: &[SaveSnapshot, Begin, Restore],
        retries: [Observed::NotRun, Observed::Unknown],
    },
    FailureCase {
        name: "retried at once after its response",
        steps: &[SaveSnapshot, Begin, Finish, Restore],
        retries: [Observed::NotRun, Observed::Recorded],
    },
    FailureCase {
        name: "response recorded after the restore",
        steps: &[SaveSnapshot, Begin, Restore, Finish, Wait(2000)],
        retries: [Observed::Recorded, Observed::Recorded],
    },
    FailureCase {
        name: "only the response is lost",
        steps: &[Begin, SaveSnapshot, Finish, Restore, Wait(2000)],
        retries: [Observed::Recorded, Observed::Recorded],
    },
    FailureCase {
        name: "two restores in a row",
        steps: &[SaveSnapshot, Begin, Restore, Wait(300), Restore, Wait(2000)],
        retries: [Observed::Unknown, Observed::Unknown],
    },
    FailureCase {
        name: "a second restore, after the row was written again",
        steps: &[SaveSnapshot, Begin, Finish, Restore, Wait(1300), Restore],
        retries: [Observed::NotRun, Observed::Recorded],
    },
    FailureCase {
        name: "table outage during the restore",
        steps: &[
            SaveSnapshot,
            Begin,
            Outage(TABLE_OUTAGE),
            Restore,
            Wait(19_950),
            Outage(StoreFault::None),
        ],
        retries: [Observed::NotRun, Observed::Unknown],
    },
    FailureCase {
        name: "lasting table outage: no call begins",
        steps: &[SaveSnapshot, Begin, Outage(StoreFault::Refuse), Restore, Wait(20_000)],
        retries: [Observed::NotRun, Observed::NotRun],
    },
    FailureCase {
        name: "writing the row back is rejected twice",
        steps: &[SaveSnapshot, Begin, Restore, Faults(StoreFault::Refuse), Wait(2400)],
        retries: [Observed::Unknown, Observed::Unknown],
    },
    FailureCase {
        name: "writing the row back is lost twice",
        steps: &[SaveSnapshot, Begin, Restore, Faults(StoreFault::LoseRequest), Wait(2400)],
        retries: [Observed::Unknown, Observed::Unknown],
    },
    FailureCase {
        name: "a host that starts after the restore",
        steps: &[SaveSnapshot, Begin, Restore, Start],
        retries: [Observed::NotRun, Observed::Unknown],
    },
    FailureCase {
        name: "a host that starts after the restore, a free key",
        steps: &[SaveSnapshot, Restore, Start, Wait(2000)],
        retries: [Observed::NotRun, Observed::Run],
    },
    FailureCase {
        name: "a free key, retried across the restore",
        steps: &[SaveSnapshot, Restore],
        retries: [Observed::NotRun, Observed::Run],
    },
    FailureCase {
        name: "not_run in the snapshot",
        steps: &[Abandon, Wait(2000), SaveSnapshot, Begin, Restore],
        retries: [Observed::NotRun, Observed::Unknown],
    },
    FailureCase {
        name: "not_run in the snapshot, a host that starts",
        steps: &[Abandon, Wait(2000), SaveSnapshot, Begin, Finish, Restore, Start],
        retries: [Observed::NotRun, Observed::Recorded],
    },
    FailureCase {
        name: "another attempt's intent replaced the row",
        steps: &[SaveSnapshot, Begin, Restore, Displace(CallState::Intent), Wait(5000)],
        retries: [Observed::Unknown, Observed::Unknown],
    },
    FailureCase {
        name: "another attempt's response replaced the row",
        steps: &[SaveSnapshot, Begin, Finish, Restore, Displace(CallState::Answered), Wait(5000)],
        retries: [Observed::Recorded, Observed::Recorded],
    },
    FailureCase {
        name: "the owner is killed before it can write the row back",
        steps: &[SaveSnapshot, Begin, Kill, Restore],
        retries: [Observed::NotRun, Observed::Unknown],
    },
];

fn other_record(state: CallState) -> CallRecord {
    CallRecord {
        state,
        token: OTHER_TOKEN.into(),
        fingerprint: request("r-1").fingerprint,
        at: UnixMillis(1_700_000_000_000),
        response: (state == CallState::Answered).then(|| response(9)),
        reserved_until: None,
    }
}

fn displace(table: &MemoryTable, state: CallState) {
    let key = Name::clone(request("r-1").key.row_key());
    let value = serde_json::to_string(&other_record(state)).ok();
    let writes = vec![RowWrite { key, expect: RowPrecondition::Absent, value }];
    table.commit(CommitRequest { writes, read_at: None }).expect("the table responds");
}

fn row(table: &MemoryTable, key: &str) -> Option<CallRecord> {
    let request = ReadRequest { keys: vec![Name::clone(request(key).key.row_key())] };
    let reply = table.read(&request).expect("the table responds");
    CallRecord::parse(&reply.rows[0].as_ref()?.value)
}

async fn must_run(ledger: &CallLedger, key: &str) -> CallTicket {
    match ledger.begin(request(key)).await {
        BeginOutcome::Run(ticket) => ticket,
        other => panic!("expected to run, got {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn no_call_runs_twice_after_a_restore_and_another_failure() {
    log::set_logger(&CAPTURE).expect("no other test of this file sets it");
    log::set_max_level(LevelFilter::Warn);
    for FailureCase { name, steps, retries } in &CASES {
        let stores = Stores::default();
        let table = &stores.table;
        let (alive, owners) = (CancellationToken::new(), CancellationToken::new());
        let owner = ledger(&stores, "owner", &owners);
        let mut other = ledger(&stores, "other", &alive);
        let (mut snapshot, mut ticket) = (table.snapshot(), None);
        for step in *steps {
            match *step {
                Begin => ticket = Some(must_run(&owner, "r-1").await),
                Finish => {
                    owner.finish(ticket.take().expect("the call has begun"), response(2)).await;
                }
                Abandon => other.abandon(must_run(&other, "r-1").await),
                SaveSnapshot => snapshot = table.snapshot(),
                Restore => table.restore(&snapshot),
                Outage(fault) => table.set_outage(fault),
                Faults(fault) => table.fail_commits([fault; 2]),
                Kill => owners.cancel(),
                Start => other = ledger(&stores, "started", &alive),
                Displace(state) => displace(table, state),
                Wait(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
            }
        }
        let first = observed(&other.begin(request("r-1")).await);
        tokio::time::sleep(Duration::from_secs(20)).await;
        let later = observed(&other.begin(request("r-1")).await);
        assert_eq!([first, later], *retries, "{name}");
        let displacing = steps.iter().find_map(|step| match step {
            Displace(state) => Some(other_record(*state)),
            _other => None,
        });
        assert_eq!(take_lost_row_warnings(), usize::from(displacing.is_some()), "{name}");
        if displacing.is_some() {
            assert_eq!(row(table, "r-1"), displacing, "{name}");
        }
    }
}

/// A host whose commits that free a key are lost without effect for four seconds.
fn slow_closing_ledger(stores: &Stores) -> CallLedger {
    let store = stores.table.store();
    let mut slow = store.clone();
    let from = tokio::time::Instant::now();
    slow.commit = Arc::new(move |request| {
        let frees = |write: &RowWrite| {
            let record = write.value.as_deref().and_then(CallRecord::parse);
            record.is_some_and(|record| record.state == CallState::NotRun)
        };
        if from.elapsed() < Duration::from_secs(4) && request.writes.iter().any(frees) {
            let reason = "the response was lost".to_owned();
            return Box::pin(async { Err(PlatformError::Unknown { reason }) });
        }
        (store.commit)(request)
    });
    ledger_at(slow, &stores.objects, "slow", &CancellationToken::new())
}

/// An intent written across the restore hid that the row was lost. When it was closed and all hosts
/// began calls again, another call got the key.
#[tokio::test(start_paused = true)]
async fn a_row_displaced_across_a_restore_does_not_go_to_another_call() {
    let stores = Stores::default();
    let table = &stores.table;
    let alive = CancellationToken::new();
    let (owner, third) = (ledger(&stores, "owner", &alive), ledger(&stores, "third", &alive));
    let slow = slow_closing_ledger(&stores);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let snapshot = table.snapshot();
    let _ticket = must_run(&owner, "s-1").await;
    table.restore(&snapshot);
    assert_eq!(observed(&slow.begin(request("s-1")).await), Observed::NotRun);
    assert_eq!(observed(&third.begin(request("s-2")).await), Observed::NotRun);
    for _ in 0..600 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        for host in [&slow, &third] {
            assert_ne!(observed(&host.begin(request("s-1")).await), Observed::Run);
        }
    }
    assert_eq!(row(table, "s-1").expect("there is a row").token, "owner.0".into());
}

async fn delete_journal(objects: &MemoryObjects) {
    for key in objects.store().list_all(&"".into()).await.expect("the store responds") {
        objects.delete(&key).expect("the store responds");
    }
}

/// Caches more rows and larger responses than the limits allow: responses are dropped before rows,
/// the oldest first.
#[tokio::test(start_paused = true)]
async fn cached_rows_stay_within_their_limits() {
    const ROWS: usize = 16_384;
    const RESPONSES: usize = 100;
    let stores = Stores::default();
    let table = &stores.table;
    let snapshot = table.snapshot();
    let owner = ledger(&stores, "owner", &CancellationToken::new());
    let mut begun = 0;
    for group in [6000, 6000, ROWS + RESPONSES - 12_000] {
        let mut begins = tokio::task::JoinSet::new();
        for number in begun..begun + group {
            let owner = owner.clone();
            begins.spawn(async move {
                let ticket = must_run(&owner, &format!("r-{number}")).await;
                if number >= ROWS {
                    owner.finish(ticket, response(64 * 1024)).await;
                }
            });
        }
        begins.join_all().await;
        begun += group;
    }
    // Without the journal, only cached rows can be written back.
    delete_journal(&stores.objects).await;
    table.restore(&snapshot);
    tokio::time::sleep(Duration::from_secs(10)).await;
    let scan = ScanRequest { prefix: "call/".into(), after: "".into(), limit: usize::MAX };
    let rows = table.scan(&scan).expect("the table responds").rows;
    assert_eq!(rows.len(), ROWS);
    let records: Vec<_> = rows.iter().filter_map(|it| CallRecord::parse(&it.row.value)).collect();
    let count = |state| records.iter().filter(|record| record.state == state).count();
    assert_eq!(count(CallState::Intent), ROWS - RESPONSES);
    assert_eq!(count(CallState::Answered) + count(CallState::Expired), RESPONSES);
    let bytes: usize = records.iter().filter_map(|it| Some(it.response.as_ref()?.body.len())).sum();
    assert!((1..8 * 1024 * 1024).contains(&bytes), "{bytes} bytes of responses");
}
