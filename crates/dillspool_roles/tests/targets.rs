//! How many engines prefill: by the settings, by what is observed, by what another host agreed on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dillspool_capacity::DemandMeter;
use dillspool_roles::{PoolTargets, ShareRule};
use dillspool_routing::{BackendEntry, BackendState, DirectoryView, EnginePool, EngineStage};
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

/// Twenty requests of which each is read for `read_ms` and holds 4,000 tokens for three seconds.
async fn play(demand: &DemandMeter, read_ms: u64) {
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
    /// Seconds for which the pool is looked at then.
    looks: u64,
    engines: usize,
}

#[tokio::test(start_paused = true)]
async fn the_rule_decides() {
    let observed = ShareRule::Observed { initial_share: 0.2 };
    let cases = [
        RuleCase {
            name: "nothing is known",
            rule: observed,
            read_ms: None,
            looks: 100,
            engines: 3,
        },
        RuleCase {
            name: "prompts are read fast: one fewer, soon",
            rule: observed,
            read_ms: Some(60),
            looks: 3,
            engines: 2,
        },
        RuleCase {
            name: "prompts are read slowly: more, but not soon",
            rule: observed,
            read_ms: Some(400),
            looks: 30,
            engines: 3,
        },
        RuleCase {
            name: "prompts are read slowly for long",
            rule: observed,
            read_ms: Some(400),
            looks: 62,
            engines: 6,
        },
        RuleCase {
            name: "the settings say it",
            rule: ShareRule::Fixed(0.5),
            read_ms: Some(60),
            looks: 100,
            engines: 5,
        },
    ];
    for case in cases {
        let demand = DemandMeter::default();
        if let Some(read_ms) = case.read_ms {
            play(&demand, read_ms).await;
        }
        let mut targets = PoolTargets::new(case.rule, demand);
        let mut engines = 0;
        for look in 0..=case.looks {
            let now = Instant::now() + Duration::from_secs(look);
            engines = targets.update(&"pool".into(), &POOL, &view(9), now);
        }
        assert_eq!(engines, case.engines, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn what_another_host_agreed_on_goes_first() {
    let demand = DemandMeter::default();
    play(&demand, 60).await;
    let mut targets = PoolTargets::new(ShareRule::Observed { initial_share: 0.2 }, demand);
    let look = |targets: &mut PoolTargets, at_s: u64| {
        let now = Instant::now() + Duration::from_secs(at_s);
        targets.update(&"pool".into(), &POOL, &view(9), now)
    };
    look(&mut targets, 0);
    assert_eq!(look(&mut targets, 2), 2);
    assert_eq!(targets.decided(), BTreeMap::from([("pool".into(), 2)]));
    // The row says nothing of the pool: this host's own change stands.
    targets.adopt(&BTreeMap::new());
    assert_eq!(look(&mut targets, 3), 2);
    // Another host has decided meanwhile: that counts, until it is seen to be off anew.
    targets.adopt(&BTreeMap::from([("pool".into(), 4)]));
    assert_eq!(look(&mut targets, 4), 4);
    assert_eq!(look(&mut targets, 6), 2);
    // Once written, one's own target is what was agreed on.
    targets.record_written(&BTreeMap::from([("pool".into(), 2)]));
    targets.adopt(&BTreeMap::from([("pool".into(), 2)]));
    assert_eq!(look(&mut targets, 7), 2);
}

#[tokio::test(start_paused = true)]
async fn the_first_part_of_a_pool_is_not_agreed_on() {
    let rule = ShareRule::Observed { initial_share: 0.2 };
    let demand = DemandMeter::default();
    let mut targets = PoolTargets::new(rule, demand.clone());
    let look = |targets: &mut PoolTargets, engines| {
        targets.update(&"pool".into(), &POOL, &view(engines), Instant::now())
    };
    // The directory is known in part at first.
    assert_eq!(look(&mut targets, 9), 3);
    assert_eq!(look(&mut targets, 90), 19);
    assert!(targets.decided().is_empty());
    // Neither do readings that ask for no change.
    play(&demand, 135).await;
    look(&mut targets, 9);
    assert!(targets.decided().is_empty());
}

#[tokio::test(start_paused = true)]
async fn crashed_engines_do_not_lower_the_first_part() {
    let rule = ShareRule::Observed { initial_share: 0.2 };
    let mut targets = PoolTargets::new(rule, DemandMeter::default());
    let mut look = |engines| targets.update(&"pool".into(), &POOL, &view(engines), Instant::now());
    assert_eq!([look(9), look(7), look(9)], [3, 3, 3]);
}

struct TurnCase {
    name: &'static str,
    /// Engines, and those found to prefill.
    engines: usize,
    found: usize,
    /// Requests a second, once some are observed.
    per_s: Option<u64>,
    /// Engines that are turned at most.
    turned: std::ops::RangeInclusive<usize>,
}

/// A pool of thousands of engines was turned by hundreds before its first request, and by hundreds more after the
/// eighth, though one engine in a hundred was in use: 1,505 orders in a day, the dearest of all that the router
/// spent. The split depends on what a request asks and not on how many come; whether it is worth orders
/// depends on that alone.
#[tokio::test(start_paused = true)]
async fn a_pool_without_load_is_turned_by_a_few_engines_however_large_it_is() {
    let cases = [
        TurnCase { name: "small, unobserved", engines: 36, found: 13, per_s: None, turned: 5..=5 },
        TurnCase {
            name: "large, unobserved",
            engines: 865,
            found: 303,
            per_s: None,
            turned: 16..=16,
        },
        TurnCase {
            name: "ten times as large, unobserved",
            engines: 8_650,
            found: 3_028,
            per_s: None,
            turned: 16..=16,
        },
        TurnCase {
            name: "large, hardly used",
            engines: 8_650,
            found: 3_028,
            per_s: Some(40),
            turned: 16..=16,
        },
        TurnCase {
            name: "large, none found to prefill",
            engines: 865,
            found: 0,
            per_s: None,
            turned: 16..=16,
        },
        TurnCase {
            name: "large, in use",
            engines: 865,
            found: 303,
            per_s: Some(1_000),
            turned: 100..=303,
        },
    ];
    for case in cases {
        let demand = DemandMeter::default();
        if let Some(per_s) = case.per_s {
            play_at(&demand, per_s).await;
        }
        let mut targets = PoolTargets::new(ShareRule::Observed { initial_share: 0.2 }, demand);
        let view = view_of(case.found, case.engines);
        let mut keep = 0;
        for look in 0..=4 {
            let now = Instant::now() + Duration::from_secs(look);
            keep = targets.update(&"pool".into(), &POOL, &view, now);
        }
        let turned = case.found.abs_diff(keep);
        assert!(case.turned.contains(&turned), "{}: {turned}", case.name);
    }
}

/// Ten seconds of requests, each of which is read for 60 ms and holds 4,000 tokens for three seconds.
async fn play_at(demand: &DemandMeter, per_s: u64) {
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
