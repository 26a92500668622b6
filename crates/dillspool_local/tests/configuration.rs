//! An accepted configuration is in force everywhere within seconds and never reverts.

mod common;

use std::time::Duration;

use common::{TestSystem, assert_whole, chat};
use dillspool_config::{ConfigDelta, ConfigVersion, digest_configuration};
use dillspool_io::LinkMode;
use dillspool_platform::{PutRequest, ReadRequest, RowPrecondition, RowWrite, StoreFault};
use dillspool_schema::Name;
use dillspool_schema::configuration::{Configuration, GroupEntry};

/// Within this time of a commit every host that can be reached acts on it.
const FORCE_LIMIT: Duration = Duration::from_secs(4);

fn with_share(system: &TestSystem, share: u32) -> Configuration {
    let mut configuration = system.cluster.configuration.clone();
    configuration.group[0].share = share;
    configuration
}

async fn versions(system: &TestSystem) -> Vec<u64> {
    let mut versions = Vec::new();
    for host in 0..system.cluster.hosts.len() {
        versions.push(system.cluster.status(host).await.in_force.0);
    }
    versions
}

/// What goes wrong while a change is applied through host 0.
struct ApplyRow {
    name: &'static str,
    commit_faults: &'static [StoreFault],
    /// Whether host 2 cannot reach the platform.
    cut_platform: bool,
    /// Whether host 2 cannot reach the other hosts.
    cut_peers: bool,
}

const APPLIES: [ApplyRow; 6] = [
    ApplyRow { name: "no fault", commit_faults: &[], cut_platform: false, cut_peers: false },
    ApplyRow {
        name: "the commit's answer is lost",
        commit_faults: &[StoreFault::LoseResponse],
        cut_platform: false,
        cut_peers: false,
    },
    ApplyRow {
        name: "the commit is lost",
        commit_faults: &[StoreFault::LoseRequest],
        cut_platform: false,
        cut_peers: false,
    },
    ApplyRow {
        name: "the commit comes late",
        commit_faults: &[StoreFault::Late(Duration::from_secs(1))],
        cut_platform: false,
        cut_peers: false,
    },
    ApplyRow {
        name: "a host without the platform hears it from its peers",
        commit_faults: &[],
        cut_platform: true,
        cut_peers: false,
    },
    ApplyRow {
        name: "a host without peers reads it from the platform",
        commit_faults: &[],
        cut_platform: false,
        cut_peers: true,
    },
];

#[tokio::test(start_paused = true)]
async fn each_apply_is_in_force_on_every_host_in_time() {
    for row in &APPLIES {
        let system = TestSystem::start().await;
        let ip = |host| system.cluster.host_ip(host);
        if row.cut_platform {
            let platform = system.cluster.platform.address().ip();
            system.net.set_link(ip(2), platform, LinkMode::Cut);
        }
        if row.cut_peers {
            for peer in [0, 1] {
                system.net.set_link(ip(2), ip(peer), LinkMode::Cut);
            }
        }
        // Any other write of the platform may come between; let the faults hit the apply alone.
        tokio::time::sleep(Duration::from_secs(5)).await;
        system.cluster.platform.table.fail_commits(row.commit_faults.iter().copied());
        let (status, body) = system.cluster.apply(0, &with_share(&system, 55)).await;
        assert_eq!(status, 200, "{}: {}", row.name, String::from_utf8_lossy(&body));
        tokio::time::sleep(FORCE_LIMIT).await;
        assert_eq!(versions(&system).await, [2, 2, 2], "{}", row.name);
        let audit = system.cluster.audit(0).await;
        assert_eq!(audit.len(), 2, "{}: a change leaves one row", row.name);
        assert_eq!(audit[1].changes, ["~ group alerts"], "{}", row.name);
    }
}

#[tokio::test(start_paused = true)]
async fn racing_operators_one_wins_and_the_other_is_told() {
    let system = TestSystem::start().await;
    let (one, two) = (with_share(&system, 41), with_share(&system, 42));
    let (first, second) =
        tokio::join!(system.cluster.apply(0, &one), system.cluster.apply(1, &two));
    let mut statuses = [first.0, second.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    let lost = if first.0 == 409 { first.1 } else { second.1 };
    let text = String::from_utf8_lossy(&lost).into_owned();
    assert!(text.contains("lost_race") && text.contains("local"), "{text}");
    tokio::time::sleep(FORCE_LIMIT).await;
    assert_eq!(versions(&system).await, [2, 2, 2]);
    assert_eq!(system.cluster.audit(0).await.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn an_apply_in_an_outage_changes_nothing() {
    let system = TestSystem::start().await;
    system.cluster.platform.set_down(true);
    let (status, _) = system.cluster.apply(0, &with_share(&system, 55)).await;
    assert_eq!(status, 503);
    system.cluster.platform.set_down(false);
    tokio::time::sleep(FORCE_LIMIT).await;
    assert_eq!(versions(&system).await, [1, 1, 1]);
}

#[tokio::test(start_paused = true)]
async fn a_host_that_starts_in_an_outage_takes_the_newest_from_its_peers() {
    let mut system = TestSystem::start().await;
    let (status, _) = system.cluster.apply(0, &with_share(&system, 55)).await;
    assert_eq!(status, 200);
    tokio::time::sleep(FORCE_LIMIT).await;
    system.cluster.platform.set_down(true);
    let new = system.cluster.add_host("entry-4").await;
    // The platform's own list still answers the old hosts, as when only the table is out.
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(system.cluster.status(new).await.in_force.0, 2);
}

#[tokio::test(start_paused = true)]
async fn an_isolated_host_takes_no_requests() {
    let system = TestSystem::start().await;
    let ip = |host| system.cluster.host_ip(host);
    for other in [ip(0), ip(1), system.cluster.platform.address().ip()] {
        system.net.set_link(ip(2), other, LinkMode::Cut);
    }
    tokio::time::sleep(FORCE_LIMIT).await;
    let (status, _) = system.cluster.apply(0, &with_share(&system, 55)).await;
    assert_eq!(status, 200);
    let caller = system.caller("alerts");
    let outcome = caller.chat(system.host(2), &chat("old", 20)).await;
    assert_eq!(outcome.status, 503, "{outcome:?}");
    assert_eq!(outcome.outcome.as_deref(), Some("not_run"));
    for other in [ip(0), ip(1), system.cluster.platform.address().ip()] {
        system.net.set_link(ip(2), other, LinkMode::Open);
    }
    tokio::time::sleep(FORCE_LIMIT).await;
    assert_eq!(versions(&system).await, [2, 2, 2]);
    assert_whole(&caller.chat(system.host(2), &chat("new", 20)).await, "new", 20);
}

#[tokio::test(start_paused = true)]
async fn a_change_is_not_called_in_force_before_every_listed_host_acts_on_it() {
    let system = TestSystem::start().await;
    system.set_links(2, LinkMode::Frozen);
    let (status, _) = system.cluster.apply(0, &with_share(&system, 55)).await;
    assert_eq!(status, 200);
    tokio::time::sleep(Duration::from_mins(1)).await;
    let status = system.cluster.status(0).await;
    let behind: Vec<&str> =
        status.hosts.iter().filter(|it| it.version.0 < 2).map(|it| &*it.host).collect();
    assert_eq!(behind, ["entry-3"]);
    system.set_links(2, LinkMode::Open);
    tokio::time::sleep(Duration::from_secs(10)).await;
    let status = system.cluster.status(0).await;
    assert!(status.hosts.iter().all(|it| it.version.0 == 2), "{status:?}");
}

#[tokio::test(start_paused = true)]
async fn a_key_that_was_taken_away_is_refused_everywhere() {
    let system = TestSystem::start().await;
    let mut configuration = system.cluster.configuration.clone();
    configuration.group.retain(|group: &GroupEntry| &*group.name != "summaries");
    let (status, _) = system.cluster.apply(1, &configuration).await;
    assert_eq!(status, 200);
    tokio::time::sleep(FORCE_LIMIT).await;
    for host in 0..3 {
        let outcome = system.caller("summaries").chat(system.host(host), &chat("x", 5)).await;
        assert_eq!(outcome.status, 401, "{outcome:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_older_commit_record_is_never_acted_on() {
    let system = TestSystem::start().await;
    let head_key: Name = "config/head".into();
    let table = system.cluster.platform.table.store();
    let old = table.read_one(Name::clone(&head_key)).await.expect("the table answers");
    let (status, _) = system.cluster.apply(0, &with_share(&system, 55)).await;
    assert_eq!(status, 200);
    tokio::time::sleep(FORCE_LIMIT).await;
    // As when the platform's table is restored from a copy.
    let value = old.map(|row| row.value);
    let write = RowWrite { key: head_key, expect: RowPrecondition::Any, value };
    table.commit(vec![write]).await.expect("the table answers");
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(versions(&system).await, [2, 2, 2]);
}

#[tokio::test(start_paused = true)]
async fn a_delta_that_does_not_lead_to_the_digest_is_left_aside() {
    let system = TestSystem::start().await;
    let mut next = with_share(&system, 55);
    next.group.sort_by(|a, b| a.name.cmp(&b.name));
    next.backend.sort_by(|a, b| a.name.cmp(&b.name));
    next.route.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    let key = format!("config/delta/1/{}", digest_configuration(&next)).into();
    let wrong = ConfigDelta::between(&system.cluster.configuration, &with_share(&system, 99));
    let text = serde_json::to_string(&wrong).expect("a delta is JSON");
    // Cut off from their peers, hosts 1 and 2 have the object store alone.
    for (a, b) in [(0, 1), (0, 2), (1, 2)] {
        let ip = |host| system.cluster.host_ip(host);
        system.net.set_link(ip(a), ip(b), LinkMode::Cut);
    }
    let (status, _) = system.cluster.apply(0, &next).await;
    assert_eq!(status, 200);
    system.cluster.platform.objects.put(PutRequest { key, text }).expect("the store answers");
    tokio::time::sleep(FORCE_LIMIT).await;
    for host in 0..3 {
        assert_eq!(system.cluster.config_in_force(host).await.group[0].share, 55);
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_that_the_list_does_not_show_counts_while_it_is_heard() {
    let system = TestSystem::start().await;
    for host in ["entry-1", "entry-2", "entry-3"] {
        system.cluster.platform.hosts.remove(host);
    }
    // Every host has read the empty list by then, and still hears the others' last heartbeats.
    tokio::time::sleep(Duration::from_millis(1300)).await;
    assert!(system.cluster.status(0).await.hosts.iter().all(|it| !it.listed));
    let (status, _) = system.cluster.apply(0, &with_share(&system, 55)).await;
    assert_eq!(status, 200);
    // At this moment only the host that applied it acts on it.
    let status = system.cluster.status(0).await;
    assert_eq!(status.unconfirmed(ConfigVersion(2)).len(), 2, "{status:?}");
    tokio::time::sleep(FORCE_LIMIT).await;
    assert!(system.cluster.status(0).await.unconfirmed(ConfigVersion(2)).is_empty());
}

/// How the table comes back from a copy after a change.
struct RestoredRow {
    name: &'static str,
    /// Changes that are lost.
    lost: &'static [u32],
    /// Time until an operator makes another one.
    pause: Duration,
}

/// A restored table gave the version of a lost change to another one, which hosts took for theirs.
#[tokio::test(start_paused = true)]
async fn a_change_after_a_restoration_was_taken_for_the_lost_one() {
    let cases = [
        RestoredRow { name: "at once", lost: &[55], pause: Duration::ZERO },
        RestoredRow { name: "at once, two lost", lost: &[55, 56], pause: Duration::ZERO },
        RestoredRow { name: "later", lost: &[55], pause: FORCE_LIMIT },
        RestoredRow { name: "later, two lost", lost: &[55, 56], pause: FORCE_LIMIT },
    ];
    for RestoredRow { name, lost, pause } in cases {
        let system = TestSystem::start().await;
        let table = &system.cluster.platform.table;
        tokio::time::sleep(Duration::from_secs(5)).await;
        let copy = table.snapshot();
        for share in lost {
            let (status, _body) = system.cluster.apply(0, &with_share(&system, *share)).await;
            assert_eq!(status, 200, "{name}");
        }
        tokio::time::sleep(FORCE_LIMIT).await;
        table.restore(&copy);
        tokio::time::sleep(pause).await;
        let next = with_share(&system, 77);
        let (status, body) = system.cluster.apply(1, &next).await;
        assert_eq!(status, 200, "{name}: {}", String::from_utf8_lossy(&body));
        tokio::time::sleep(FORCE_LIMIT).await;
        for host in 0..system.cluster.hosts.len() {
            let in_force = system.cluster.config_in_force(host).await;
            assert_eq!(in_force, next, "{name}: host {host} at {:?}", versions(&system).await);
        }
    }
}

/// A change that the table had lost stayed in force on the hosts that knew it, and on no others.
#[tokio::test(start_paused = true)]
async fn a_change_that_a_restored_table_had_lost_was_not_there_for_new_hosts() {
    for shares in [&[55][..], &[55, 56]] {
        let system = TestSystem::start().await;
        let table = &system.cluster.platform.table;
        tokio::time::sleep(Duration::from_secs(5)).await;
        let copy = table.snapshot();
        for share in shares {
            let (status, _body) = system.cluster.apply(0, &with_share(&system, *share)).await;
            assert_eq!(status, 200);
        }
        tokio::time::sleep(FORCE_LIMIT).await;
        let in_force = system.cluster.config_in_force(0).await;
        table.restore(&copy);
        tokio::time::sleep(FORCE_LIMIT).await;
        let keys = vec!["config/head".into()];
        let head = table.read(&ReadRequest { keys }).expect("an answer").rows.remove(0);
        let head = head.expect("a row").value;
        assert!(head.contains(&*digest_configuration(&in_force)), "{head}");
        assert_eq!(versions(&system).await, vec![1 + shares.len() as u64; 3]);
    }
}
