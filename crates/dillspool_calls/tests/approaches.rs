//! Approaches to the calls of one service on the same loads and seeds.
//!
//! `cargo test -p dillspool_calls --test approaches -- --nocapture` prints the table of `docs/design/calls.md`.

mod model;

use model::{Approach, CallOutcome, LoadCase, ModelServer, Replay, SlowSpell, replay};

const SEEDS: u64 = 3;
const APPROACHES: [Approach; 4] =
    [Approach::Present, Approach::OneQueue, Approach::PerHost, Approach::TwoChoices];

/// Figures of one approach.
#[derive(Default)]
struct Outcome {
    on_time: f64,
    answered: f64,
    rejected: f64,
    sends: f64,
    before_send_ms: f64,
    messages: f64,
    bytes: f64,
}

#[expect(clippy::cast_precision_loss, reason = "calls are counted in thousands")]
fn add(outcome: &mut Outcome, replay: &Replay) {
    let calls = replay.calls.len() as f64 * SEEDS as f64;
    let mut add = |sum: &mut f64, value: f64| *sum += value / calls;
    for call in &replay.calls {
        let is_answered = call.outcome == Some(CallOutcome::Answered);
        add(&mut outcome.on_time, f64::from(call.is_answered_in(150.0)));
        add(&mut outcome.answered, f64::from(is_answered));
        add(&mut outcome.rejected, f64::from(call.outcome == Some(CallOutcome::Rejected)));
        add(&mut outcome.sends, f64::from(call.sends()));
        add(&mut outcome.before_send_ms, if is_answered { call.before_send_ms() } else { 0.0 });
    }
    add(&mut outcome.messages, replay.messages as f64);
    add(&mut outcome.bytes, replay.bytes as f64);
}

/// Slow spells, a surge of twice the usual, and a server that leaves.
fn case(hosts: usize) -> LoadCase {
    let mut servers = vec![ModelServer::new(); 3];
    for (number, server) in (0..).zip(&mut servers) {
        let first_us = 1_000_000 + number * 1_333_000;
        server.slow = Some(SlowSpell { first_us, each_us: 4_000_000, spell_us: 600_000 });
    }
    servers[2].leaves_us = 9_000_000;
    let rate = |second: f64| if (4.0..7.0).contains(&second) { 1020.0 } else { 510.0 };
    LoadCase {
        hosts,
        servers,
        rate,
        seconds: 12.0,
        retries: true,
        objective_ms: 150,
        time_ms: 1500,
    }
}

#[test]
fn one_queue_answers_most_on_time_at_any_number_of_hosts() {
    println!(
        "hosts  approach    on time  answered  rejected  sends  before send, ms  messages  bytes"
    );
    for hosts in [8, 23, 83, 390, 986] {
        let outcomes = APPROACHES.map(|approach| {
            let mut outcome = Outcome::default();
            (0..SEEDS).for_each(|seed| add(&mut outcome, &replay(&case(hosts), approach, seed)));
            let Outcome { on_time, answered, rejected, sends, before_send_ms, messages, bytes } =
                outcome;
            let before_send_ms = before_send_ms / answered;
            println!(
                "{hosts:>5}  {approach:<10?}  {on_time:>7.3}  {answered:>8.3}  {rejected:>8.3}  {sends:>5.2}  \
                 {before_send_ms:>15.1}  {messages:>8.2}  {bytes:>5.0}"
            );
            on_time
        });
        let [present, one_queue, per_host, two_choices] = outcomes;
        let others = present.max(per_host).max(two_choices);
        assert!(one_queue >= others - 0.01, "{hosts} hosts: {one_queue:.3}, others {others:.3}");
    }
}
