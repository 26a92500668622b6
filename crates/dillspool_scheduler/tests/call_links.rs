//! Hosts that ask the scheduler of a service's calls, and how they handle each failure of the table
//! in `docs/HARD-LOAD.md`.

mod call_fleet;

use std::sync::Arc;
use std::time::Duration;

use dillspool_calls::{CallDecision, CallOutcome, CallRequest, RejectCause};
use dillspool_cases::run_paused;
use dillspool_io::{LinkMode, MemoryNet};
use dillspool_routing::{BackendEntry, BackendStart, BackendState};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use call_fleet::*;

/// Time within which a host that lost its link has another one.
const LINKED_WITHIN: Duration = Duration::from_millis(1_900);
/// Time within which a call of a dead host has usually ended. Its server may still run it, so the
/// queue keeps its slot for that long.
const ENDED_WITHIN: Duration = Duration::from_millis(120);
/// Silence after which a host counts as gone, plus some round trips.
const GONE_WITHIN: Duration = Duration::from_millis(1_500);

/// Descriptions of deviations from the expected behaviour.
type Faults = Vec<String>;

fn fault_if(is_fault: bool, text: impl FnOnce() -> String) -> Faults {
    if is_fault { vec![text()] } else { Vec::new() }
}

struct FailureCase {
    name: &'static str,
    play: fn(TestFleet) -> BoxFuture<'static, Faults>,
}

const FAILURES: [FailureCase; 11] = [
    FailureCase {
        name: "the scheduler is silent",
        play: |fleet| scheduler_unreachable(fleet, LinkMode::Frozen).boxed(),
    },
    FailureCase {
        name: "the link to the scheduler is lost",
        play: |fleet| scheduler_unreachable(fleet, LinkMode::Cut).boxed(),
    },
    FailureCase { name: "the scheduler is new", play: |fleet| new_scheduler(fleet).boxed() },
    FailureCase { name: "two schedulers at once", play: |fleet| two_schedulers(fleet).boxed() },
    FailureCase {
        name: "a host is killed with calls in flight",
        play: |fleet| dead_host(fleet, true, ENDED_WITHIN).boxed(),
    },
    FailureCase {
        name: "a host is frozen with calls in flight",
        play: |fleet| dead_host(fleet, false, GONE_WITHIN).boxed(),
    },
    FailureCase {
        name: "a host freezes and resumes while a call waits",
        play: |fleet| suspend_in_queue(fleet).boxed(),
    },
    FailureCase {
        name: "a host freezes and resumes with a decision",
        play: |fleet| suspend_with_decision(fleet).boxed(),
    },
    FailureCase {
        name: "a caller leaves while it waits, or before its decision",
        play: |fleet| callers_leave(fleet).boxed(),
    },
    FailureCase {
        name: "a server is restarted under its id",
        play: |fleet| server_restarts(fleet).boxed(),
    },
    FailureCase {
        name: "a server is draining, or in a drained failure domain",
        play: |fleet| servers_drain(fleet).boxed(),
    },
];

#[test]
fn failures_are_handled_as_documented() {
    let mut faults = Vec::new();
    for case in &FAILURES {
        let found = run_paused(async { (case.play)(TestFleet::start().await).await });
        faults.extend(found.into_iter().map(|fault| format!("{}: {fault}", case.name)));
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// A host decides at once, within its share of the limits, until it has another link.
async fn scheduler_unreachable(fleet: TestFleet, mode: LinkMode) -> Faults {
    let limit = fleet.limit();
    fleet.set_links(1, &[2, 3], mode);
    let asked = Instant::now();
    let own = fleet.hosts[2].start_calls(3 * limit, DECIDED_WITHIN).await;
    // The next scheduler was alone, too.
    drop(fleet.hosts[1].start_calls(1, DECIDED_WITHIN).await);
    let took = asked.elapsed();
    // Two thirds of the limit of each of the two servers.
    let share = limit.div_ceil(3) * 2;
    let mut faults = fault_if(own.is_empty() || own.len() > share, || {
        format!("{} of {limit} slots used locally after {took:?}", own.len())
    });
    drop(own);
    tokio::time::sleep(LINKED_WITHIN).await;
    let linked = fleet.hosts[2].start_calls(3 * limit, DECIDED_WITHIN).await;
    let (in_flight, _limit) = fleet.hosts[1].in_flight();
    faults.extend(fault_if(linked.len() != limit || in_flight as usize != limit, || {
        format!("{} of {limit} sent by the next scheduler, which counts {in_flight}", linked.len())
    }));
    faults
}

/// Hosts report their calls in flight to a new scheduler, including those that they decided
/// locally.
async fn new_scheduler(fleet: TestFleet) -> Faults {
    let before = fleet.hosts[2].start_calls(3, DECIDED_WITHIN).await;
    fleet.hosts[0].cancel.cancel();
    let alone = fleet.hosts[2].start_calls(3 * fleet.limit(), DECIDED_WITHIN).await;
    // Calls that another host decided count against this host's own share.
    let (held, part) = fleet.hosts[2].in_flight();
    let mut faults = fault_if(before.len() + alone.len() != held as usize || held != part, || {
        format!("{} and {} held, {held} of {part} counted", before.len(), alone.len())
    });
    tokio::time::sleep(LINKED_WITHIN).await;
    let (in_flight, limit) = fleet.hosts[1].in_flight();
    faults.extend(fault_if(in_flight != held, || format!("{held} held, {in_flight} reported")));
    let more = fleet.hosts[2].start_calls(3 * limit as usize, DECIDED_WITHIN).await;
    faults.extend(fault_if(more.len() + held as usize != limit as usize, || {
        format!("{} sent beside {held} with a limit of {limit}", more.len())
    }));
    drop((before, alone, more));
    pass(20).await;
    let (in_flight, _limit) = fleet.hosts[1].in_flight();
    faults.extend(fault_if(in_flight != 0, || format!("{in_flight} left after their end")));
    faults
}

/// Each of two concurrent schedulers uses up to the whole limit of a server.
async fn two_schedulers(fleet: TestFleet) -> Faults {
    let limit = fleet.limit();
    fleet.set_links(1, &[3], LinkMode::Cut);
    tokio::time::sleep(LINKED_WITHIN).await;
    let (one, other) = (
        fleet.hosts[1].start_calls(3 * limit, DECIDED_WITHIN).await,
        fleet.hosts[2].start_calls(3 * limit, DECIDED_WITHIN).await,
    );
    let sent = (one.len(), other.len());
    fault_if(sent != (limit, limit), || format!("{sent:?} sent, expected {limit} by each"))
}

/// The calls of a dead host are removed, at once or after the silence timeout.
async fn dead_host(fleet: TestFleet, is_killed: bool, within: Duration) -> Faults {
    let limit = fleet.limit();
    let held = fleet.hosts[2].start_calls(limit, DECIDED_WITHIN).await;
    if is_killed {
        fleet.hosts[2].cancel.cancel();
    } else {
        fleet.set_links(3, &[1, 2], LinkMode::Frozen);
    }
    let decided = tokio::time::timeout(within, fleet.hosts[1].ask()).await;
    let is_sent = matches!(decided, Ok((_, Some(CallDecision::Send { .. }))));
    fault_if(held.len() != limit || !is_sent, || {
        format!("{} of {limit} slots occupied, replaced after the timeout: {is_sent}", held.len())
    })
}

/// The clock of a suspended host keeps running, so a decision that arrived meanwhile is stale.
async fn suspend_in_queue(fleet: TestFleet) -> Faults {
    let limit = fleet.limit();
    let mut held = fleet.hosts[1].start_calls(limit, DECIDED_WITHIN).await;
    let waits = fleet.hosts[2].ask();
    let stop = async {
        pass(50).await;
        fleet.hosts[2].jumps.suspend(Duration::from_millis(200));
        // Frees a slot, which the queued call gets while its host is suspended.
        held.pop();
    };
    let ((ticket, decision), ()) = futures_util::future::join(waits, stop).await;
    let is_sent = matches!(decision, Some(CallDecision::Send { .. }));
    pass(20).await;
    let (in_flight, _limit) = fleet.hosts[0].in_flight();
    let mut faults = fault_if(!is_sent || in_flight as usize != limit, || {
        format!(
            "sent {is_sent}, {in_flight} of {limit} in flight: the stale decision occupies a slot"
        )
    });
    // The stale decision was for a queued call; the new request found the slot free.
    faults.extend(fault_if(ticket.queue_time().is_some(), || "no new request".to_owned()));
    faults
}

/// A decision is stale if this host could not act on it for a while.
async fn suspend_with_decision(fleet: TestFleet) -> Faults {
    let (ticket, _decision) = fleet.hosts[2].ask().await;
    let mut faults = fault_if(!ticket.is_fresh(), || "stale at once".to_owned());
    fleet.hosts[2].jumps.suspend(Duration::from_millis(81));
    faults.extend(fault_if(ticket.is_fresh(), || "still fresh".to_owned()));
    faults
}

/// A caller that leaves is removed from the queue at once, and a decision that crosses its
/// departure occupies no slot.
async fn callers_leave(fleet: TestFleet) -> Faults {
    let limit = fleet.limit();
    let held = fleet.hosts[1].start_calls(limit, DECIDED_WITHIN).await;
    let waited = fleet.hosts[2].start_calls(4, Duration::from_millis(20)).await;
    pass(5).await;
    let mut faults = fault_if(!waited.is_empty() || fleet.hosts[0].waiting() != 0, || {
        format!("{} queued after their callers left", fleet.hosts[0].waiting())
    });
    drop(held);
    pass(5).await;
    // The request is on its way when the caller leaves.
    let asking = fleet.hosts[2].ask();
    let left = asking.now_or_never().is_none();
    pass(50).await;
    let (in_flight, _limit) = fleet.hosts[0].in_flight();
    faults.extend(fault_if(!left || in_flight != 0, || {
        format!("left {left}, {in_flight} in flight without a caller")
    }));
    faults
}

/// Calls in flight at the previous instance are removed.
async fn server_restarts(fleet: TestFleet) -> Faults {
    let limit = fleet.limit();
    let held = fleet.hosts[2].start_calls(limit, DECIDED_WITHIN).await;
    let again = ["a", "b"].map(|id| BackendEntry { start: Some(BackendStart(2)), ..entry(id) });
    fleet.hosts[0].view.send_replace(Arc::new(view(again)));
    pass(10).await;
    let more = fleet.hosts[1].start_calls(limit, DECIDED_WITHIN).await;
    let mut faults = fault_if(held.len() != limit || more.len() != limit, || {
        format!("{} before, {} after, {limit} each expected", held.len(), more.len())
    });
    drop(held);
    pass(20).await;
    let (in_flight, _limit) = fleet.hosts[0].in_flight();
    faults.extend(fault_if(in_flight as usize != limit, || {
        format!(
            "{in_flight} in flight: ends of calls at the previous instance count for the new one"
        )
    }));
    faults
}

/// A draining server gets no new calls; if there is no other server, calls are rejected at once.
async fn servers_drain(fleet: TestFleet) -> Faults {
    let draining = BackendEntry { state: BackendState::Draining, ..entry("a") };
    let mut changed = view([draining, entry("b")]);
    fleet.hosts[0].view.send_replace(Arc::new(changed.clone()));
    pass(10).await;
    let mut faults = Vec::new();
    for _call in 0..4 {
        let (_ticket, decision) = fleet.hosts[2].ask().await;
        let to_b = matches!(&decision, Some(CallDecision::Send { backend }) if &*backend.id == "b");
        faults.extend(fault_if(!to_b, || format!("{decision:?} beside a draining server")));
    }
    changed.drained_domains.insert("b".into());
    fleet.hosts[0].view.send_replace(Arc::new(changed));
    pass(10).await;
    let (_ticket, decision) = fleet.hosts[2].ask().await;
    let is_rejected =
        matches!(decision, Some(CallDecision::Reject { cause: RejectCause::NoServer, .. }));
    faults.extend(fault_if(!is_rejected, || format!("{decision:?} without a server")));
    faults
}

/// A queued call is rejected as soon as no slot can become free in time, instead of at its
/// deadline.
#[test]
fn a_call_that_cannot_run_in_time_is_rejected_before_its_deadline() {
    run_paused(async {
        let fleet = TestFleet::start().await;
        let _held = fleet.hosts[1].start_calls(fleet.limit(), DECIDED_WITHIN).await;
        let mut ticket = fleet.hosts[2].client.open_ticket(&SERVICE.into());
        let short = Duration::from_millis(300);
        let asked = Instant::now();
        let hurried = CallRequest { objective_left: short / 2, time_left: short, ..request() };
        let decision = ticket.request_decision(&hurried).await;
        assert!(matches!(decision, Some(CallDecision::Reject { .. })), "{decision:?}");
        assert!(asked.elapsed() <= short, "{:?}", asked.elapsed());
    });
}

/// The scheduler is told of every end of a call, whichever host asked for it.
#[test]
fn slots_are_released_for_every_call_outcome() {
    let ends = [
        CallOutcome::Answered,
        CallOutcome::Failed,
        CallOutcome::NotRun,
        CallOutcome::NotSent,
        CallOutcome::Lost,
        CallOutcome::Abandoned,
    ];
    run_paused(async {
        let fleet = TestFleet::start().await;
        for end in ends {
            for host in &fleet.hosts {
                let (mut ticket, decision) = host.ask().await;
                assert!(matches!(decision, Some(CallDecision::Send { .. })), "{end:?}");
                assert_eq!(fleet.hosts[0].in_flight().0, 1, "{end:?}");
                ticket.complete(end, Duration::from_millis(30));
                pass(5).await;
                assert_eq!(fleet.hosts[0].in_flight().0, 0, "{end:?}");
            }
            // Failures exclude a server for a while.
            pass(10_000).await;
        }
    });
}

struct SwitchCase {
    /// Slots of each of the two servers, step by step.
    slots: &'static [u32],
    /// Whether one host decides after each step.
    decided: &'static [bool],
}

/// A server that leaves and returns does not toggle the service between the two modes.
#[test]
fn one_host_decides_for_services_with_few_slots() {
    // Three hosts with a threshold of ten slots each: one host decides below 30 slots, each for
    // itself from 36 on.
    let cases = [
        SwitchCase { slots: &[15], decided: &[false] },
        SwitchCase { slots: &[14], decided: &[true] },
        SwitchCase { slots: &[14, 17, 18], decided: &[true, true, false] },
        SwitchCase { slots: &[18, 17, 15, 14], decided: &[false, false, false, true] },
    ];
    for case in &cases {
        run_paused(async {
            let host = TestHost::start(&MemoryNet::new(), 1, &[1], 10.0).await;
            for (slots, decided) in case.slots.iter().zip(case.decided) {
                let some = |id| BackendEntry { slots: Some(*slots), ..entry(id) };
                host.view.send_replace(Arc::new(view([some("a"), some("b")])));
                pass(10).await;
                assert_eq!(
                    host.scheduler.is_scheduled(SERVICE),
                    *decided,
                    "{:?}: {slots}",
                    case.slots
                );
            }
            // Without servers the mode stays as it is.
            let before = host.scheduler.is_scheduled(SERVICE);
            host.view.send_replace(Arc::new(view([])));
            pass(10).await;
            assert_eq!(host.scheduler.is_scheduled(SERVICE), before, "{:?}", case.slots);
        });
    }
}

/// A host that does not schedule calls refuses the link, and the next candidate is asked.
#[test]
fn hosts_that_do_not_schedule_calls_are_skipped() {
    run_paused(async {
        let net = MemoryNet::new();
        let _without = TestHost::start(&net, 1, &[1, 2, 3], 0.0).await;
        let deciding = TestHost::start(&net, 2, &[1, 2, 3], 10.0).await;
        let host = TestHost::start(&net, 3, &[1, 2, 3], 10.0).await;
        pass(1_000).await;
        let (_ticket, decision) = host.ask().await;
        assert!(matches!(decision, Some(CallDecision::Send { .. })), "{decision:?}");
        assert_eq!((host.in_flight().0, deciding.in_flight().0), (0, 1));
    });
}

/// If `slots_per_host` is 0, tickets return no decision and hosts open no links.
#[test]
fn zero_slots_per_host_disables_call_scheduling() {
    run_paused(async {
        let net = MemoryNet::new();
        let deciding = TestHost::start(&net, 1, &[1, 2], 0.0).await;
        let host = TestHost::start(&net, 2, &[1, 2], 0.0).await;
        pass(2_000).await;
        let (ticket, decision) = host.ask().await;
        assert!(!ticket.is_scheduled());
        assert_eq!(decision, None);
        assert!(deciding.scheduler.snapshots().is_empty(), "no queue is created");
    });
}
