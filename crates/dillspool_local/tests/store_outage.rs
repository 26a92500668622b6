//! An outage of the platform's store stops changes, not service.

mod common;

use std::time::Duration;

use common::{TestSystem, assert_whole, chat};
use dillspool_io::LinkMode;
use dillspool_platform::StoreFault;

#[tokio::test(start_paused = true)]
async fn model_requests_go_on_for_as_long_as_an_outage_lasts() {
    for outage in [StoreFault::Refuse, StoreFault::LoseRequest] {
        let system = TestSystem::start().await;
        system.cluster.platform.table.set_outage(outage);
        system.cluster.platform.objects.set_down(true);
        for minute in 0..10 {
            tokio::time::sleep(Duration::from_mins(1)).await;
            for host in 0..3 {
                let call = chat(&format!("minute {minute}"), 20);
                let outcome = system.caller("alerts").chat(system.host(host), &call).await;
                assert_whole(&outcome, &call.text, 20);
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_that_dies_in_an_outage_costs_its_own_requests_only() {
    let system = TestSystem::start().await;
    system.cluster.platform.set_down(true);
    let platform = system.cluster.platform.address().ip();
    for host in 0..3 {
        // Not even the host list answers.
        system.net.set_link(system.cluster.host_ip(host), platform, LinkMode::Cut);
    }
    tokio::time::sleep(Duration::from_mins(1)).await;
    let scheduler = system.scheduler().await;
    system.set_links(scheduler, LinkMode::Cut);
    for number in 0..10 {
        let host = (scheduler + 1 + number % 2) % 3;
        let call = chat(&format!("call {number}"), 20);
        let outcome = system.caller("alerts").chat(system.host(host), &call).await;
        assert_whole(&outcome, &call.text, 20);
    }
}

#[tokio::test(start_paused = true)]
async fn the_end_of_an_outage_brings_no_herd() {
    let system = TestSystem::start().await;
    let table = system.cluster.platform.table.clone();
    let before = table.usage();
    tokio::time::sleep(Duration::from_secs(10)).await;
    let calm = table.usage().reads - before.reads;
    system.cluster.platform.set_down(true);
    let caller = system.caller("alerts");
    for number in 0..200_usize {
        let key = format!("k-{number}");
        let outcome = caller.plain(system.host(number % 3), "/readings", Some(&key), "x").await;
        assert_eq!(outcome.outcome.as_deref(), Some("not_run"));
    }
    tokio::time::sleep(Duration::from_mins(5)).await;
    system.cluster.platform.set_down(false);
    let before = table.usage();
    tokio::time::sleep(Duration::from_secs(10)).await;
    let after = table.usage();
    let reads = after.reads - before.reads;
    assert!(reads <= calm * 2, "{reads} reads after the outage, {calm} on a calm day");
    assert!(after.writes - before.writes <= 10, "{after:?}");
}
