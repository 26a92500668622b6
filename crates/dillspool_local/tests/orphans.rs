//! No engine memory stays tied up by a request whose caller or process is gone.

mod common;

use std::time::Duration;

use common::{TestSystem, assert_whole, chat};
use dillspool_io::LinkMode;
use dillspool_local::{CallOutcome, ChatCall};
use dillspool_standin::EngineFault;

/// An answer that takes several minutes.
const LONG: u64 = 10_000;
/// Within this time of a death all engine memory must be free.
const ORPHAN_LIMIT: Duration = Duration::from_secs(5);

/// Stage at which a caller leaves.
struct StageRow {
    name: &'static str,
    /// Bytes of the prompt; 20,000 tokens are prefilled a second, four bytes each.
    prompt_bytes: usize,
    stream: bool,
    /// Time after which the caller leaves.
    leave_after: Duration,
    fault: EngineFault,
}

const STAGES: [StageRow; 5] = [
    StageRow {
        name: "prefilling",
        prompt_bytes: 80_000,
        stream: true,
        leave_after: Duration::from_millis(300),
        fault: EngineFault::None,
    },
    StageRow {
        name: "transferring",
        prompt_bytes: 100,
        stream: true,
        leave_after: Duration::from_millis(200),
        fault: EngineFault::StallTransfer,
    },
    StageRow {
        name: "decoding, streamed",
        prompt_bytes: 100,
        stream: true,
        leave_after: Duration::from_secs(2),
        fault: EngineFault::None,
    },
    StageRow {
        name: "decoding, whole",
        prompt_bytes: 100,
        stream: false,
        leave_after: Duration::from_secs(2),
        fault: EngineFault::None,
    },
    StageRow {
        name: "decoding, stalled",
        prompt_bytes: 100,
        stream: true,
        leave_after: Duration::from_millis(500),
        fault: EngineFault::StallDecode,
    },
];

async fn held_slots(system: &TestSystem) -> usize {
    let mut held = 0;
    for host in 0..system.cluster.hosts.len() {
        held += system.cluster.status(host).await.pools[0].held;
    }
    held
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_frees_everything_at_any_stage() {
    for row in &STAGES {
        let system = TestSystem::start().await;
        for engine in system.cluster.engines.values() {
            engine.set_fault(row.fault);
        }
        let caller = system.caller("summaries");
        let call = ChatCall { stream: row.stream, ..chat(&"x".repeat(row.prompt_bytes), LONG) };
        let left = tokio::time::timeout(row.leave_after, caller.chat(system.host(1), &call)).await;
        assert!(left.is_err(), "{}: {left:?}", row.name);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(system.cluster.held_streams(), 0, "{}", row.name);
        assert_eq!(held_slots(&system).await, 0, "{}", row.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_the_queue_frees_its_place() {
    let system = TestSystem::start().await;
    let caller = system.caller("summaries");
    let mut running = tokio::task::JoinSet::new();
    for number in 0..12 {
        let (caller, host) = (caller.clone(), system.host(number % 3));
        running.spawn(async move { caller.chat(host, &chat("fill", LONG)).await });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let scheduler = system.scheduler().await;
    assert_eq!(system.cluster.status(scheduler).await.pools[0].held, 12);
    // Shorter prompts wait for a slot until their target is out of reach.
    let call = chat("wait", 10);
    let waiting = caller.chat(system.host(0), &call);
    let left = tokio::time::timeout(Duration::from_millis(1), waiting).await;
    assert!(left.is_err(), "{left:?}");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(system.cluster.status(scheduler).await.pools[0].waiting, 0);
    running.abort_all();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(system.cluster.held_streams(), 0);
    assert_eq!(held_slots(&system).await, 0);
}

/// Starts one long answer through each host, and returns once they stream.
async fn start_long(system: &TestSystem) -> tokio::task::JoinSet<CallOutcome> {
    let mut running = tokio::task::JoinSet::new();
    for host in 0..3 {
        let (caller, host) = (system.caller("summaries"), system.host(host));
        running.spawn(async move { caller.chat(host, &chat("long", LONG)).await });
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(system.cluster.held_streams(), 3);
    running
}

#[tokio::test(start_paused = true)]
async fn streams_of_a_killed_host_are_cancelled_by_another() {
    for kill_scheduler in [false, true] {
        let system = TestSystem::start().await;
        let _running = start_long(&system).await;
        let scheduler = system.scheduler().await;
        let victim = if kill_scheduler { scheduler } else { (scheduler + 1) % 3 };
        system.set_links(victim, LinkMode::Cut);
        tokio::time::sleep(ORPHAN_LIMIT).await;
        assert_eq!(system.cluster.held_streams(), 2, "scheduler killed: {kill_scheduler}");
        tokio::time::sleep(Duration::from_secs(30)).await;
        assert_eq!(system.cluster.held_streams(), 2, "the others go on");
    }
}

#[tokio::test(start_paused = true)]
async fn streams_of_a_killed_host_are_cancelled_in_a_store_outage_too() {
    let system = TestSystem::start().await;
    let _running = start_long(&system).await;
    system.cluster.platform.set_down(true);
    let victim = (system.scheduler().await + 1) % 3;
    system.set_links(victim, LinkMode::Cut);
    tokio::time::sleep(ORPHAN_LIMIT).await;
    assert_eq!(system.cluster.held_streams(), 2);
}

/// What a live host cannot reach, though its callers and engines can.
struct PartitionRow {
    name: &'static str,
    from_third: bool,
    store_down: bool,
}

const PARTITIONS: [PartitionRow; 3] = [
    PartitionRow { name: "from the scheduler", from_third: false, store_down: false },
    PartitionRow { name: "from all hosts", from_third: true, store_down: false },
    PartitionRow { name: "from the scheduler, store down", from_third: false, store_down: true },
];

#[tokio::test(start_paused = true)]
async fn streams_of_a_live_host_are_never_cancelled() {
    for row in &PARTITIONS {
        let system = TestSystem::start().await;
        let scheduler = system.scheduler().await;
        let (own, third) = ((scheduler + 1) % 3, (scheduler + 2) % 3);
        let caller = system.caller("summaries");
        let host = system.host(own);
        let running = tokio::spawn(async move { caller.chat(host, &chat("long", 2000)).await });
        tokio::time::sleep(Duration::from_secs(2)).await;
        let ip = |index| system.cluster.host_ip(index);
        system.cluster.platform.set_down(row.store_down);
        system.net.set_link(ip(own), ip(scheduler), LinkMode::Cut);
        if row.from_third {
            system.net.set_link(ip(own), ip(third), LinkMode::Cut);
        }
        let outcome = running.await.expect("the caller ends");
        assert_whole(&outcome, "long", 2000);
        let prefills: u64 = system.cluster.engines.values().map(|it| it.prefill_counts().0).sum();
        assert_eq!(prefills, 1, "{}: the stream was never disturbed", row.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_that_stood_still_finishes_its_answers_whole() {
    let system = TestSystem::start().await;
    let scheduler = system.scheduler().await;
    let own = (scheduler + 1) % 3;
    let (caller, host) = (system.caller("summaries"), system.host(own));
    let running = tokio::spawn(async move { caller.chat(host, &chat("long", 1500)).await });
    tokio::time::sleep(Duration::from_secs(2)).await;
    system.set_links(own, LinkMode::Frozen);
    tokio::time::sleep(Duration::from_secs(12)).await;
    assert_eq!(system.cluster.held_streams(), 0, "it was taken for dead");
    system.set_links(own, LinkMode::Open);
    let outcome = running.await.expect("the caller ends");
    assert_whole(&outcome, "long", 1500);
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(system.cluster.held_streams(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_cancel_that_was_lost_is_made_up_for() {
    let system = TestSystem::start().await;
    let running = start_long(&system).await;
    for engine in system.cluster.engines.values() {
        engine.set_fault(EngineFault::IgnoreCancel);
    }
    drop(running);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(system.cluster.held_streams(), 3, "the engines answered and did nothing");
    for engine in system.cluster.engines.values() {
        engine.set_fault(EngineFault::None);
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    assert_eq!(system.cluster.held_streams(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_new_scheduler_knows_all_placements_within_a_second() {
    let system = TestSystem::start().await;
    let _running = start_long(&system).await;
    let old = system.scheduler().await;
    system.set_links(old, LinkMode::Cut);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let watcher = (old + 1) % 3;
    let status = system.cluster.status(watcher).await;
    let name = &status.pools[0].scheduler;
    let new = system.cluster.hosts.iter().position(|host| host.host() == name);
    let new = new.expect("a host schedules");
    assert_ne!(new, old);
    let held = system.cluster.status(new).await.pools[0].held;
    assert!(held >= 2, "the new scheduler knows {held} placements of two live hosts");
}
