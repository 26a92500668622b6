//! Days of arrivals that are made from a seed, after what is known of the two deployments.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tokens and milliseconds of a few seconds"
)]

use std::f64::consts::TAU;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Arrival;

/// Most tokens of a prompt, and most events of an answer.
const MOST_PROMPT: f64 = 11_000.0;
const MOST_EVENTS: f64 = 130.0;
const EVENT_TOKENS: f64 = 58.0;
/// Spread of the logarithm of prompts, answers and guesses.
const SPREAD: f64 = 0.5;

/// More arrivals than usual for some time.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub from_s: f64,
    pub until_s: f64,
    pub times: f64,
    /// Whose arrivals; `None` for all.
    pub priority: Option<u32>,
    pub workspace: Option<usize>,
}

impl Burst {
    /// Of all callers.
    pub fn of_all(from_s: f64, until_s: f64, times: f64) -> Self {
        Self { from_s, until_s, times, priority: None, workspace: None }
    }

    fn factor(&self, at_s: f64, priority: u32, workspace: usize) -> f64 {
        let is_time = (self.from_s..self.until_s).contains(&at_s);
        let is_theirs = self.priority.is_none_or(|it| it == priority)
            && self.workspace.is_none_or(|it| it == workspace);
        if is_time && is_theirs { self.times } else { 1.0 }
    }
}

/// What a day is like.
#[derive(Clone, Debug)]
pub struct DayTerms {
    pub seed: u64,
    pub seconds: f64,
    pub per_s: f64,
    /// Part by which arrivals go up and down, and the period.
    pub wave: f64,
    pub period_s: f64,
    pub bursts: Vec<Burst>,
    /// Part of the callers that are urgent, and the objectives of these and the others.
    pub urgent: f64,
    pub objectives_ms: [u64; 2],
    pub workspaces: usize,
    /// Mean events of an answer.
    pub events: f64,
    /// Spread of guesses.
    pub guess_spread: f64,
}

impl DayTerms {
    /// A day of the deployment of 23 hosts.
    pub fn of_23_hosts(seed: u64) -> Self {
        let bursts = [6.0, 17.0, 27.0].map(|from_s| Burst::of_all(from_s, from_s + 4.0, 2.0));
        let of_one = Burst { priority: Some(0), ..Burst::of_all(17.0, 22.0, 2.0) };
        Self {
            seed,
            seconds: 36.0,
            per_s: 32.0,
            wave: 0.55,
            period_s: 15.0,
            bursts: bursts.into_iter().chain([of_one]).collect(),
            urgent: 0.5,
            objectives_ms: [900, 900],
            workspaces: 1,
            events: 70.0,
            guess_spread: SPREAD,
        }
    }

    /// A day of the deployment of 83 hosts, with one workspace at `times` its usual load.
    pub fn of_83_hosts(seed: u64, times: f64) -> Self {
        let of_one = Burst { workspace: Some(0), ..Burst::of_all(8.0, 20.0, times) };
        let bursts = vec![Burst::of_all(12.0, 16.0, 1.6), of_one];
        let usual = Self::of_23_hosts(seed);
        let objectives_ms = [800, 2_000];
        Self { wave: 0.27, period_s: 11.0, bursts, objectives_ms, workspaces: 16, ..usual }
    }
}

/// The arrivals of a day, thinned from a steady stream of the most there are at any time.
pub fn day(terms: &DayTerms) -> Vec<Arrival> {
    let mut random = SmallRng::seed_from_u64(terms.seed);
    let most: f64 = terms.bursts.iter().map(|burst| burst.times.max(1.0)).product();
    let most = terms.per_s * (1.0 + terms.wave) * most;
    let (mut at_s, mut load) = (0.0, Vec::new());
    loop {
        at_s -= (1.0 - random.random_range(0.0..1.0_f64)).ln() / most;
        if at_s >= terms.seconds {
            return load;
        }
        let priority = u32::from(random.random_range(0.0..1.0) >= terms.urgent);
        let workspace = random.random_range(0..terms.workspaces);
        let waved = 1.0 + terms.wave * (TAU * at_s / terms.period_s).sin();
        let times: f64 =
            terms.bursts.iter().map(|burst| burst.factor(at_s, priority, workspace)).product();
        if random.random_range(0.0..most) >= terms.per_s * waved * times {
            continue;
        }
        // A mean of a lognormal lies above its median by half of the squared spread.
        let usual = (-SPREAD * SPREAD / 2.0).exp();
        let prompt = (5_200.0 * usual * spread(&mut random, SPREAD)).min(MOST_PROMPT);
        let events = terms.events * usual * spread(&mut random, SPREAD);
        let made = events.clamp(2.0, MOST_EVENTS * terms.events / 70.0) * EVENT_TOKENS;
        let guess = made * spread(&mut random, terms.guess_spread);
        load.push(Arrival {
            at_ms: (at_s * 1_000.0) as u64,
            prompt: prompt as u64,
            guess: guess as u64,
            made: made as u64,
            priority,
            workspace,
            objective_ms: terms.objectives_ms[priority as usize],
        });
    }
}

/// A factor whose logarithm is normal, from twelve even numbers.
fn spread(random: &mut SmallRng, deviation: f64) -> f64 {
    let normal = (0..12).map(|_| random.random_range(0.0..1.0_f64)).sum::<f64>() - 6.0;
    (normal * deviation).exp()
}
