//! A planned stop cuts off no request; a leaving backend server receives no new work.

mod common;

use std::time::Duration;

use common::{TestSystem, assert_whole, chat};
use dillspool_local::ChatCall;
use dillspool_platform::{HostEntry, HostKind, HostState};
use dillspool_schema::Name;
use dillspool_schema::configuration::BackendRole;

/// Within this time a leaving backend server receives nothing new.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

#[tokio::test(start_paused = true)]
async fn a_drained_host_finishes_its_answers_and_its_role_moves() {
    for drain_scheduler in [false, true] {
        let mut system = TestSystem::start().await;
        let scheduler = system.scheduler().await;
        let victim = if drain_scheduler { scheduler } else { (scheduler + 1) % 3 };
        let other = (victim + 1) % 3;
        let mut running = tokio::task::JoinSet::new();
        for stream in [true, false] {
            for host in [victim, other] {
                let (caller, host) = (system.caller("summaries"), system.host(host));
                let call = ChatCall { stream, ..chat("long", 1000) };
                running.spawn(async move { caller.chat(host, &call).await });
            }
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let victim_address = system.host(victim);
        let other_address = system.host(other);
        let daemon = system.cluster.hosts.remove(victim);
        let drained = tokio::spawn(daemon.drain());
        // The balancer has not noticed yet, and still sends requests.
        let caller = system.caller("summaries");
        for number in 0..4 {
            let call = chat(&format!("late {number}"), 20);
            for host in [victim_address, other_address] {
                let outcome = caller.chat(host, &call).await;
                assert_whole(&outcome, &call.text, 20);
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        for outcome in running.join_all().await {
            assert_whole(&outcome, "long", 1000);
        }
        drained.await.expect("the drain ends");
        let after = caller.chat(victim_address, &chat("after", 20)).await;
        assert_eq!(after.status, 0, "the host has gone: {after:?}");
        assert_whole(&caller.chat(other_address, &chat("other", 20)).await, "other", 20);
        assert_eq!(system.cluster.held_streams(), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_drain_ends_in_its_time_and_leaves_nothing_behind() {
    for stream in [true, false] {
        let mut system = TestSystem::start().await;
        let (caller, host) = (system.caller("summaries"), system.host(1));
        let call = ChatCall { stream, ..chat("endless", 100_000) };
        let running = tokio::spawn(async move { caller.chat(host, &call).await });
        tokio::time::sleep(Duration::from_secs(1)).await;
        let started = tokio::time::Instant::now();
        system.cluster.hosts.remove(1).drain().await;
        assert!(started.elapsed() < Duration::from_secs(70), "{:?}", started.elapsed());
        let outcome = running.await.expect("the caller ends");
        assert!(!outcome.ended, "{:?}", outcome.status);
        assert!(outcome.total < Duration::from_secs(66), "{:?}", outcome.total);
        assert_eq!(outcome.outcome.as_deref(), Some("incomplete"));
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(system.cluster.held_streams(), 0);
    }
}

/// How a backend server is taken away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaveWay {
    HostList,
    Configuration,
}

async fn leave(system: &TestSystem, name: &str, way: LeaveWay) {
    let mut configuration = system.cluster.configuration.clone();
    let entry = configuration.backend.iter_mut().find(|it| &*it.name == name);
    let entry = entry.expect("it is declared");
    match way {
        LeaveWay::HostList => system.cluster.platform.hosts.set(HostEntry {
            name: name.into(),
            kind: HostKind::Backend,
            state: HostState::Leaving,
            failure_domain: Name::clone(&entry.failure_domain),
            address: Name::clone(&entry.address),
        }),
        LeaveWay::Configuration => {
            entry.leaving = true;
            let (status, _) = system.cluster.apply(0, &configuration).await;
            assert_eq!(status, 200);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_leaving_engine_gets_nothing_new_and_finishes_what_it_has() {
    for way in [LeaveWay::HostList, LeaveWay::Configuration] {
        for role in [BackendRole::Prefill, BackendRole::Decode] {
            let system = TestSystem::start().await;
            let mut running = tokio::task::JoinSet::new();
            for number in 0..6 {
                let (caller, host) = (system.caller("summaries"), system.host(number % 3));
                running.spawn(async move { caller.chat(host, &chat("long", 600)).await });
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
            let declared = system.cluster.configuration.backend.iter();
            let leaving =
                declared.filter(|it| it.role == role).map(|it| Name::clone(&it.name)).next();
            let leaving = leaving.expect("there is one");
            leave(&system, &leaving, way).await;
            tokio::time::sleep(LEAVE_LIMIT).await;
            let engine = &system.cluster.engines[&leaving];
            let (prefills, _) = engine.prefill_counts();
            let held = engine.held_streams();
            let caller = system.caller("alerts");
            for number in 0..6_u64 {
                let call = chat(&format!("new {number}"), 10);
                let host = usize::try_from(number).unwrap_or(0) % 3;
                assert_whole(&caller.chat(system.host(host), &call).await, &call.text, 10);
                let now = engine.held_streams();
                assert!(now.iter().all(|stream| held.contains(stream)), "{way:?} {role}");
            }
            assert_eq!(engine.prefill_counts().0, prefills, "{way:?} {role}");
            for outcome in running.join_all().await {
                assert_whole(&outcome, "long", 600);
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_leaving_plain_backend_server_gets_nothing_new() {
    for way in [LeaveWay::HostList, LeaveWay::Configuration] {
        let system = TestSystem::start().await;
        leave(&system, "ingest-1", way).await;
        tokio::time::sleep(LEAVE_LIMIT).await;
        let caller = system.caller("alerts");
        for number in 0..6_usize {
            let (key, body) = (format!("k-{number}"), format!("reading {number}"));
            let host = system.host(number % 3);
            let outcome = caller.plain(host, "/readings", Some(&key), &body).await;
            assert_eq!(outcome.status, 201, "{outcome:?}");
            let outcome = caller.plain(host, "/config", None, &format!("pull {number}")).await;
            assert_eq!(outcome.status, 201, "{outcome:?}");
        }
        let name: Name = "ingest-1".into();
        assert!(system.cluster.plains[&name].runs().is_empty(), "{way:?}");
    }
}
