//! A call marked as unrepeatable runs at most once, and "not run" is true.

mod common;

use std::time::Duration;

use common::TestSystem;
use dillspool_io::LinkMode;
use dillspool_local::CallOutcome;
use dillspool_standin::PlainFault;

const BODY: &str = "pm2.5 at station 7: 41";
const KEY: Option<&str> = Some("reading-1");

/// What goes wrong at the plain service, and what the caller and its resend get.
struct ServiceRow {
    name: &'static str,
    fault: PlainFault,
    status: u16,
    outcome: Option<&'static str>,
    resend_status: u16,
    resend_outcome: Option<&'static str>,
}

const SERVICES: [ServiceRow; 4] = [
    ServiceRow {
        name: "no fault",
        fault: PlainFault::None,
        status: 201,
        outcome: None,
        resend_status: 201,
        resend_outcome: None,
    },
    ServiceRow {
        name: "slow",
        fault: PlainFault::Slow,
        status: 201,
        outcome: None,
        resend_status: 201,
        resend_outcome: None,
    },
    ServiceRow {
        name: "runs and never answers",
        fault: PlainFault::HangAfterRun,
        status: 504,
        outcome: Some("unknown"),
        resend_status: 409,
        resend_outcome: Some("unknown"),
    },
    ServiceRow {
        name: "runs and answers with an error, which is the answer",
        fault: PlainFault::FailAfterRun,
        status: 500,
        outcome: None,
        resend_status: 500,
        resend_outcome: None,
    },
];

fn assert_outcome(outcome: &CallOutcome, status: u16, expected: Option<&str>, name: &str) {
    assert_eq!(outcome.status, status, "{name}: {outcome:?}");
    assert_eq!(outcome.outcome.as_deref(), expected, "{name}: {outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn each_service_fault_leads_to_one_run() {
    for row in &SERVICES {
        let system = TestSystem::start().await;
        for plain in system.cluster.plains.values() {
            plain.set_fault(row.fault);
        }
        let caller = system.caller("alerts");
        let sent = caller.plain(system.host(0), "/readings", KEY, BODY).await;
        assert_outcome(&sent, row.status, row.outcome, row.name);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let resent = caller.plain(system.host(1), "/readings", KEY, BODY).await;
        assert_outcome(&resent, row.resend_status, row.resend_outcome, row.name);
        assert_eq!(system.runs(BODY), 1, "{}", row.name);
    }
}

#[tokio::test(start_paused = true)]
async fn two_resends_at_once_on_two_hosts_run_once() {
    let system = TestSystem::start().await;
    for plain in system.cluster.plains.values() {
        plain.set_fault(PlainFault::Slow);
    }
    let (one, two) = (system.caller("alerts"), system.caller("alerts"));
    let (first, second) = tokio::join!(
        one.plain(system.host(0), "/readings", KEY, BODY),
        two.plain(system.host(1), "/readings", KEY, BODY),
    );
    let mut statuses = [first.status, second.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [201, 409], "{first:?} {second:?}");
    assert_eq!(system.runs(BODY), 1);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_finds_the_answer_later() {
    let system = TestSystem::start().await;
    for plain in system.cluster.plains.values() {
        plain.set_fault(PlainFault::Slow);
    }
    let caller = system.caller("alerts");
    let call = caller.plain(system.host(0), "/readings", KEY, BODY);
    let left = tokio::time::timeout(Duration::from_millis(500), call).await;
    assert!(left.is_err());
    tokio::time::sleep(Duration::from_secs(2)).await;
    let resent = caller.plain(system.host(2), "/readings", KEY, BODY).await;
    assert_outcome(&resent, 201, None, "resend");
    assert_eq!(system.runs(BODY), 1);
}

#[tokio::test(start_paused = true)]
async fn unreachable_services_mean_not_run_and_the_key_stays_free() {
    let system = TestSystem::start().await;
    let links: Vec<_> = system.cluster.plains.values().map(|it| it.address().ip()).collect();
    for ip in &links {
        system.net.set_link(system.cluster.host_ip(0), *ip, LinkMode::Cut);
    }
    let caller = system.caller("alerts");
    let sent = caller.plain(system.host(0), "/readings", KEY, BODY).await;
    assert_outcome(&sent, 503, Some("not_run"), "cut");
    assert!(sent.retry_after_ms.is_some());
    assert_eq!(system.runs(BODY), 0);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let resent = caller.plain(system.host(1), "/readings", KEY, BODY).await;
    assert_outcome(&resent, 201, None, "through another host");
    assert_eq!(system.runs(BODY), 1);
}

#[tokio::test(start_paused = true)]
async fn a_store_outage_means_not_run_and_the_key_stays_free() {
    let system = TestSystem::start().await;
    system.cluster.platform.set_down(true);
    let caller = system.caller("alerts");
    let sent = caller.plain(system.host(0), "/readings", KEY, BODY).await;
    assert_outcome(&sent, 503, Some("not_run"), "store down");
    assert!(sent.retry_after_ms.is_some());
    tokio::time::sleep(Duration::from_mins(2)).await;
    assert_eq!(system.runs(BODY), 0);
    system.cluster.platform.set_down(false);
    let resent = caller.plain(system.host(1), "/readings", KEY, BODY).await;
    assert_outcome(&resent, 201, None, "store back");
    assert_eq!(system.runs(BODY), 1);
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_cannot_be_recorded_yet_is_recorded_later() {
    let system = TestSystem::start().await;
    for plain in system.cluster.plains.values() {
        plain.set_fault(PlainFault::Slow);
    }
    let caller = system.caller("alerts");
    let platform = system.cluster.platform.clone();
    let outage = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(500)).await;
        platform.set_down(true);
        tokio::time::sleep(Duration::from_secs(10)).await;
        platform.set_down(false);
    });
    let sent = caller.plain(system.host(0), "/readings", KEY, BODY).await;
    assert_outcome(&sent, 201, None, "the caller has its answer at once");
    // This host sent the call, so it may not say that the call was not run.
    let resent = caller.plain(system.host(0), "/readings", KEY, BODY).await;
    assert_outcome(&resent, 409, Some("unknown"), "resend in the outage");
    outage.await.expect("the outage ends");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let resent = caller.plain(system.host(1), "/readings", KEY, BODY).await;
    assert_outcome(&resent, 201, None, "resend after the outage");
    assert_eq!(system.runs(BODY), 1);
}

#[tokio::test(start_paused = true)]
async fn a_host_killed_after_sending_leaves_the_call_unknown() {
    let system = TestSystem::start().await;
    for plain in system.cluster.plains.values() {
        plain.set_fault(PlainFault::Slow);
    }
    let caller = system.caller("alerts");
    let call = caller.plain(system.host(0), "/readings", KEY, BODY);
    let kill = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        system.set_links(0, LinkMode::Cut);
    };
    let (sent, ()) = tokio::join!(call, kill);
    assert_eq!(sent.status, 0, "{sent:?}");
    tokio::time::sleep(Duration::from_secs(10)).await;
    let resent = caller.plain(system.host(1), "/readings", KEY, BODY).await;
    assert_outcome(&resent, 409, Some("unknown"), "resend");
    assert_eq!(system.runs(BODY), 1);
}

/// The table came back from a copy that lacked the call's row, and the call ran again through another host.
#[tokio::test(start_paused = true)]
async fn a_call_whose_row_a_restored_table_lost_ran_again_through_another_host() {
    let system = TestSystem::start().await;
    let table = &system.cluster.platform.table;
    let caller = system.caller("alerts");
    let copy = table.snapshot();
    let sent = caller.plain(system.host(0), "/readings", KEY, BODY).await;
    assert_outcome(&sent, 201, None, "first sending");
    // The answer is recorded, too.
    tokio::time::sleep(Duration::from_millis(500)).await;
    table.restore(&copy);
    let resent = caller.plain(system.host(1), "/readings", KEY, BODY).await;
    assert_outcome(&resent, 503, Some("not_run"), "resend across the restore");
    let retry_ms = resent.retry_after_ms.expect("a time to come back");
    assert!((1..=2500).contains(&retry_ms), "{retry_ms}");
    // As long as the place is reserved that the resend took across the restore.
    tokio::time::sleep(Duration::from_secs(12)).await;
    let resent = caller.plain(system.host(1), "/readings", KEY, BODY).await;
    assert_outcome(&resent, 201, None, "resend after the restore");
    assert_eq!(system.runs(BODY), 1);
}

#[tokio::test(start_paused = true)]
async fn without_a_key_a_call_is_sent_once() {
    let system = TestSystem::start().await;
    for plain in system.cluster.plains.values() {
        plain.set_fault(PlainFault::HangAfterRun);
    }
    let caller = system.caller("alerts");
    let sent = caller.plain(system.host(0), "/readings", None, BODY).await;
    assert_outcome(&sent, 504, Some("unknown"), "no key");
    assert_eq!(system.runs(BODY), 1);
}
