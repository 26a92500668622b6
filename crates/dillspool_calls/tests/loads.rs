//! Replays of loads, with the queue and with the present approach, which must fail.

mod model;

use model::{Approach, CallOutcome, CallRecord, LoadCase, ModelServer, SlowSpell, replay};

const SEEDS: std::ops::Range<u64> = 0..5;

fn first_deployment(servers: usize, rate: fn(f64) -> f64, seconds: f64) -> LoadCase {
    LoadCase {
        hosts: 23,
        servers: vec![ModelServer::new(); servers],
        rate,
        seconds,
        retries: false,
        objective_ms: 150,
        time_ms: 1500,
    }
}

#[expect(clippy::cast_precision_loss, reason = "calls are counted in thousands")]
fn part<'a>(calls: impl Iterator<Item = &'a CallRecord>, is: impl Fn(&CallRecord) -> bool) -> f64 {
    let (count, all) =
        calls.fold((0, 0), |(count, all), call| (count + usize::from(is(call)), all + 1));
    count as f64 / f64::from(all.max(1))
}

fn median(calls: impl Iterator<Item = f64>) -> f64 {
    let mut calls: Vec<f64> = calls.collect();
    calls.sort_by(f64::total_cmp);
    calls.get(calls.len() / 2).copied().unwrap_or(f64::INFINITY)
}

/// Runs a check with the queue, where all seeds must pass, and with the present approach, where not all may.
fn compare(name: &str, check: impl Fn(Approach, u64) -> (bool, String)) {
    let verdicts = |approach| {
        let verdicts: Vec<(bool, String)> = SEEDS.map(|seed| check(approach, seed)).collect();
        for (is_good, figures) in &verdicts {
            println!("{name}, {approach:?}, {}: {figures}", if *is_good { "good" } else { "bad" });
        }
        verdicts.iter().all(|(is_good, _figures)| *is_good)
    };
    assert!(!verdicts(Approach::Present), "{name}: the present approach passes");
    assert!(verdicts(Approach::OneQueue), "{name}: the queue fails");
}

/// Guards against a queue that fills up at the servers that are left, answers late and rejects late.
#[test]
fn servers_that_leave_take_only_their_own_capacity_with_them() {
    let mut case = first_deployment(3, |_second| 500.0, 8.0);
    for server in &mut case.servers[1..] {
        server.leaves_us = 2_000_000;
    }
    compare("two of three leave", |approach, seed| {
        let replay = replay(&case, approach, seed);
        let calls = replay.asked_in(2.0, 8.0);
        let on_time = calls.clone().filter(|call| call.is_answered_in(150.0)).count();
        let unknown =
            calls.clone().filter(|call| call.outcome == Some(CallOutcome::Unknown)).count();
        let rejected = calls.filter(|call| call.outcome == Some(CallOutcome::Rejected));
        let slowest = rejected.map(CallRecord::took_ms).fold(0.0, f64::max);
        let figures =
            format!("{on_time} of 1200 on time, {unknown} unknown, rejected in {slowest:.1} ms");
        (on_time >= 1140 && unknown == 0 && slowest <= 20.0, figures)
    });
}

/// Guards against calls that stay at a server that has become slow, in its own queue.
#[test]
fn slow_spells_in_turn_make_few_calls_late() {
    let mut case = first_deployment(3, |_second| 510.0, 12.0);
    for (number, server) in (0..).zip(&mut case.servers) {
        let first_us = 1_000_000 + number * 1_333_000;
        server.slow = Some(SlowSpell { first_us, each_us: 4_000_000, spell_us: 600_000 });
    }
    compare("slow spells", |approach, seed| {
        let replay = replay(&case, approach, seed);
        let on_time = part(replay.calls.iter(), |call| call.is_answered_in(150.0));
        (on_time >= 0.95, format!("{on_time:.3} on time"))
    });
}

/// Guards against a backlog that outlives its surge, and a surge in which what is answered is late.
#[test]
fn a_surge_is_over_when_it_ends() {
    let rate = |second: f64| if (2.0..5.0).contains(&second) { 2100.0 } else { 420.0 };
    let case = LoadCase { retries: true, ..first_deployment(3, rate, 8.0) };
    let calm = LoadCase { rate: |_second| 420.0, ..case.clone() };
    compare("surge", |approach, seed| {
        let replays = [&case, &calm].map(|case| replay(case, approach, seed));
        let medians = replays.each_ref().map(|replay| {
            median(replay.asked_in(6.0, 7.0).map(|call| {
                let is_answered = call.outcome == Some(CallOutcome::Answered);
                if is_answered { call.took_ms() } else { f64::INFINITY }
            }))
        });
        let [after, without] = medians;
        let within =
            replays[0].asked_in(2.0, 5.0).filter(|call| call.is_answered_in(150.0)).count();
        let figures = format!(
            "median {after:.1} ms after, {without:.1} ms without, {within} of 1800 on time within"
        );
        (after <= without * 1.1 + 1.0 && within >= 1710, figures)
    });
}

/// Guards against a server that joins and gets nothing, and one that gets all.
#[test]
fn a_server_that_joins_gets_its_share() {
    let mut case = first_deployment(4, |_second| 400.0, 12.0);
    case.servers[3].joins_us = 2_000_000;
    let mut present_failures = 0;
    for hosts in [1, 4, 23, 83, 986] {
        case.hosts = hosts;
        for approach in [Approach::Present, Approach::OneQueue] {
            let replay = replay(&case, approach, 1);
            let calls: Vec<&CallRecord> = replay.asked_in(3.0, 12.0).take(1000).collect();
            let shares = [0, 1, 2, 3]
                .map(|server| calls.iter().filter(|call| call.server == server).count());
            println!("{hosts} hosts, {approach:?}: {shares:?}");
            let is_fair = shares.iter().all(|share| (125..=500).contains(share));
            present_failures += usize::from(approach == Approach::Present && !is_fair);
            assert!(approach == Approach::Present || is_fair, "{hosts} hosts: {shares:?}");
        }
    }
    assert!(present_failures > 0, "the present approach passes");
}
