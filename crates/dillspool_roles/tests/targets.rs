//! The target number of prefill engines: from the settings, from observed load, and from what
//! another host wrote.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dillspool_capacity::DemandMeter;
use dillspool_roles::{PoolTargets, ShareRule};
use dillspool_routing::{
    BackendEntry, BackendState, DirectoryView, EnginePool, EngineStage, SoftwareVersion,
};
use tokio::time::Instant;

const POOL: EnginePool = EnginePool {
    slots: 64,
    memory_tokens: 40_000,
    handle_ttl: Duration::from_millis(500),
    max_reservation_ttl: Duration::from_secs(2),
    stage_switch_time: Duration::from_secs(6),
};

fn view(engines: usize) -> DirectoryView {
    view_of(3, engines)
}

fn view_of(prefill: usize, engines: usize) -> DirectoryView {
    let entries = (0..engines).map(|at| {
        let entry = BackendEntry {
            id: format!("engine-{at}").into(),
            start: None,
            software: SoftwareVersion::default(),
            service: "pool".into(),
            address: ([127, 0, 0, 1], 9).into(),
            failure_domain: "domain".into(),
            state: BackendState::Ready,
            stage: Some(if at < prefill { EngineStage::Prefill } else { EngineStage::Decode }),
            slots: None,
        };
        (Arc::clone(&entry.id), Arc::new(entry))
    });
    DirectoryView { version: 1.into(), entries: entries.collect(), ..DirectoryView::default() }
}

/// Runs twenty requests, each of which is prefilled for `read_ms` and holds 4,000 tokens for three
/// seconds.
async fn run_requests(demand: &DemandMeter, read_ms: u64) {
    for _request in 0..20 {
        demand.record_prompt(&"pool".into(), 3_000);
        demand.record_prefill(&"pool".into(), 3_000, Duration::from_millis(read_ms));
        let ticket = demand.hold_memory(&"pool".into(), 4_000);
        tokio::time::sleep(Duration::from_secs(3)).await;
        drop(ticket);
    }
}

struct RuleCase {
    name: &'static str,
    rule: ShareRule,
    /// Time of a prefill; nothing is observed without it.
    read_ms: Option<u64>,
    /// Seconds for which the target is then updated, once a second.
    updates: u64,
    engines: usize,
}

#[tokio::test(start_paused = true)]
async fn the_rule_decides() {
    let observed = ShareRule::Observed { initial_share: 0.2 };
    let cases = [
        RuleCase {
            name: "nothing is observed",
            rule: observed,
            read_ms: None,
            updates: 100,
            engines: 3,
        },
        RuleCase {
            name: "fast prefills: one fewer, soon",
            rule: observed,
            read_ms: Some(60),
            updates: 3,
            engines: 2,
        },
        RuleCase {
            name: "slow prefills: more, but not soon",
            rule: observed,
            read_ms: Some(400),
            updates: 30,
            engines: 3,
        },
        RuleCase {
            name: "slow prefills for long",
            rule: observed,
            read_ms: Some(400),
            updates: 62,
            engines: 6,
        },
        RuleCase {
            name: "set by the settings",
            rule: ShareRule::Fixed(0.5),
            read_ms: Some(60),
            updates: 100,
            engines: 5,
        },
    ];
    for case in cases {
        let demand = DemandMeter::default();
        if let Some(read_ms) = case.read_ms {
            run_requests(&demand, read_ms).await;
        }
        let mut targets = PoolTargets::new(case.rule, demand);
        let mut engines = 0;
        for update in 0..=case.updates {
            let now = Instant::now() + Duration::from_secs(update);
            engines = targets.update(&"pool".into(), &POOL, &view(9), now);
        }
        assert_eq!(engines, case.engines, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn the_target_of_another_host_takes_precedence() {
    let demand = DemandMeter::default();
    run_requests(&demand, 60).await;
    let mut targets = PoolTargets::new(ShareRule::Observed { initial_share: 0.2 }, demand);
    let update = |targets: &mut PoolTargets, at_s: u64| {
        let now = Instant::now() + Duration::from_secs(at_s);
        targets.update(&"pool".into(), &POOL, &view(9), now)
    };
    update(&mut targets, 0);
    assert_eq!(update(&mut targets, 2), 2);
    assert_eq!(targets.decided(), BTreeMap::from([("pool".into(), 2)]));
    // The row does not have the pool: this host's own change stands.
    targets.adopt(&BTreeMap::new());
    assert_eq!(update(&mut targets, 3), 2);
    // Another host has decided meanwhile: its target counts until new observations contradict it.
    targets.adopt(&BTreeMap::from([("pool".into(), 4)]));
    assert_eq!(update(&mut targets, 4), 4);
    assert_eq!(update(&mut targets, 6), 2);
    // Once written, this host's target is the agreed one.
    targets.record_written(&BTreeMap::from([("pool".into(), 2)]));
    targets.adopt(&BTreeMap::from([("pool".into(), 2)]));
    assert_eq!(update(&mut targets, 7), 2);
}

#[tokio::test(start_paused = true)]
async fn the_initial_target_does_not_count_as_decided() {
    let rule = ShareRule::Observed { initial_share: 0.2 };
    let demand = DemandMeter::default();
    let mut targets = PoolTargets::new(rule, demand.clone());
    let update = |targets: &mut PoolTargets, engines| {
        targets.update(&"pool".into(), &POOL, &view(engines), Instant::now())
    };
    // Only a part of the directory is known at first.
    assert_eq!(update(&mut targets, 9), 3);
    assert_eq!(update(&mut targets, 90), 19);
    assert!(targets.decided().is_empty());
    // Nor do observations that require no change.
    run_requests(&demand, 135).await;
    update(&mut targets, 9);
    assert!(targets.decided().is_empty());
}

#[tokio::test(start_paused = true)]
async fn crashed_engines_do_not_lower_the_initial_target() {
    let rule = ShareRule::Observed { initial_share: 0.2 };
    let mut targets = PoolTargets::new(rule, DemandMeter::default());
    let mut update =
        |engines| targets.update(&"pool".into(), &POOL, &view(engines), Instant::now());
    assert_eq!([update(9), update(7), update(9)], [3, 3, 3]);
}

struct SwitchCase {
    name: &'static str,
    /// Number of engines, and of those found as prefill engines.
    engines: usize,
    found: usize,
    /// Requests per second; `None` if none are observed.
    per_s: Option<u64>,
    /// Expected number of engines that are switched.
    switched: std::ops::RangeInclusive<usize>,
}

/// Guards against a large pool that is switched without load. Hundreds of engines of a pool of
/// thousands were switched before its first request, and hundreds more after the eighth, though one
/// engine in a hundred was in use: 1,505 orders in a day, the most expensive of all that the router
/// spent. The split depends on the mix of requests and not on their rate; whether it is worth
/// orders depends on the rate alone.
#[tokio::test(start_paused = true)]
async fn a_pool_without_load_switches_few_engines_regardless_of_its_size() {
    let cases = [
        SwitchCase {
            name: "small, unobserved",
            engines: 36,
            found: 13,
            per_s: None,
            switched: 5..=5,
        },
        SwitchCase {
            name: "large, unobserved",
            engines: 865,
            found: 303,
            per_s: None,
            switched: 16..=16,
        },
        SwitchCase {
            name: "ten times as large, unobserved",
            engines: 8_650,
            found: 3_028,
            per_s: None,
            switched: 16..=16,
        },
        SwitchCase {
            name: "large, hardly used",
            engines: 8_650,
            found: 3_028,
            per_s: Some(40),
            switched: 16..=16,
        },
        SwitchCase {
            name: "large, none found to prefill",
            engines: 865,
            found: 0,
            per_s: None,
            switched: 16..=16,
        },
        SwitchCase {
            name: "large, in use",
            engines: 865,
            found: 303,
            per_s: Some(1_000),
            switched: 100..=303,
        },
    ];
    for case in cases {
        let demand = DemandMeter::default();
        if let Some(per_s) = case.per_s {
            run_requests_at(&demand, per_s).await;
        }
        let mut targets = PoolTargets::new(ShareRule::Observed { initial_share: 0.2 }, demand);
        let view = view_of(case.found, case.engines);
        let mut prefill_target = 0;
        for update in 0..=4 {
            let now = Instant::now() + Duration::from_secs(update);
            prefill_target = targets.update(&"pool".into(), &POOL, &view, now);
        }
        let switched = case.found.abs_diff(prefill_target);
        assert!(case.switched.contains(&switched), "{}: {switched}", case.name);
    }
}

/// Runs ten seconds of requests, each of which is prefilled for 60 ms and holds 4,000 tokens for
/// three seconds.
async fn run_requests_at(demand: &DemandMeter, per_s: u64) {
    let mut tickets = std::collections::VecDeque::new();
    for _second in 0..10 {
        for _request in 0..per_s {
            demand.record_prompt(&"pool".into(), 3_000);
            demand.record_prefill(&"pool".into(), 3_000, Duration::from_millis(60));
            tickets.push_back(demand.hold_memory(&"pool".into(), 4_000));
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        while tickets.len() > usize::try_from(3 * per_s).unwrap() {
            tickets.pop_front();
        }
    }
}
