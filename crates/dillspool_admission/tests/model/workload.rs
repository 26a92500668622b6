//! Generates arrivals from a seed, modelled on the two deployments.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tokens and milliseconds of a few seconds"
)]

use std::f64::consts::TAU;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Arrival;

/// Maximum tokens of a prompt, and maximum events of an answer.
const MAX_PROMPT_TOKENS: f64 = 11_000.0;
const MAX_EVENTS: f64 = 130.0;
const EVENT_TOKENS: f64 = 58.0;
/// Standard deviation of the logarithms of prompts, answers and estimates.
const LOG_SPREAD: f64 = 0.5;

/// A period with more arrivals than usual.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub from_s: f64,
    pub until_s: f64,
    pub factor: f64,
    /// Restricts the burst to a route priority and a workspace; `None` for all.
    pub priority: Option<u32>,
    pub workspace: Option<usize>,
}

impl Burst {
    /// A burst of all callers.
    pub fn of_all(from_s: f64, until_s: f64, factor: f64) -> Self {
        Self { from_s, until_s, factor, priority: None, workspace: None }
    }

    fn factor(&self, at_s: f64, priority: u32, workspace: usize) -> f64 {
        let is_active = (self.from_s..self.until_s).contains(&at_s);
        let is_affected = self.priority.is_none_or(|it| it == priority)
            && self.workspace.is_none_or(|it| it == workspace);
        if is_active && is_affected { self.factor } else { 1.0 }
    }
}

/// Parameters of a generated workload.
#[derive(Clone, Debug)]
pub struct WorkloadParams {
    pub seed: u64,
    pub seconds: f64,
    pub per_s: f64,
    /// Amplitude, as a fraction, and period of the variation in arrivals.
    pub wave: f64,
    pub period_s: f64,
    pub bursts: Vec<Burst>,
    /// Fraction of the callers that are urgent, and the objectives of these and of the others.
    pub urgent: f64,
    pub objectives_ms: [u64; 2],
    pub workspaces: usize,
    /// Mean events of an answer.
    pub events: f64,
    /// Standard deviation of the logarithm of estimates.
    pub estimate_log_spread: f64,
}

impl WorkloadParams {
    /// A workload of the deployment with 23 hosts.
    pub fn for_23_hosts(seed: u64) -> Self {
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
            estimate_log_spread: LOG_SPREAD,
        }
    }

    /// A workload of the deployment with 83 hosts, one workspace of which has `factor` times its
    /// usual load.
    pub fn for_83_hosts(seed: u64, factor: f64) -> Self {
        let of_one = Burst { workspace: Some(0), ..Burst::of_all(8.0, 20.0, factor) };
        let bursts = vec![Burst::of_all(12.0, 16.0, 1.6), of_one];
        let usual = Self::for_23_hosts(seed);
        let objectives_ms = [800, 2_000];
        Self { wave: 0.27, period_s: 11.0, bursts, objectives_ms, workspaces: 16, ..usual }
    }
}

/// Generates the arrivals by thinning a Poisson process at the peak rate.
pub fn generate_workload(params: &WorkloadParams) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(params.seed);
    let max_burst: f64 = params.bursts.iter().map(|burst| burst.factor.max(1.0)).product();
    let peak = params.per_s * (1.0 + params.wave) * max_burst;
    let (mut at_s, mut arrivals) = (0.0, Vec::new());
    loop {
        at_s -= (1.0 - rng.random_range(0.0..1.0_f64)).ln() / peak;
        if at_s >= params.seconds {
            return arrivals;
        }
        let priority = u32::from(rng.random_range(0.0..1.0) >= params.urgent);
        let workspace = rng.random_range(0..params.workspaces);
        let wave_factor = 1.0 + params.wave * (TAU * at_s / params.period_s).sin();
        let burst_factor: f64 =
            params.bursts.iter().map(|burst| burst.factor(at_s, priority, workspace)).product();
        if rng.random_range(0.0..peak) >= params.per_s * wave_factor * burst_factor {
            continue;
        }
        // The mean of a lognormal distribution exceeds its median by the factor exp(variance / 2).
        let median_factor = (-LOG_SPREAD * LOG_SPREAD / 2.0).exp();
        let prompt =
            (5_200.0 * median_factor * spread(&mut rng, LOG_SPREAD)).min(MAX_PROMPT_TOKENS);
        let events = params.events * median_factor * spread(&mut rng, LOG_SPREAD);
        let answer = events.clamp(2.0, MAX_EVENTS * params.events / 70.0) * EVENT_TOKENS;
        let estimate = answer * spread(&mut rng, params.estimate_log_spread);
        arrivals.push(Arrival {
            at_ms: (at_s * 1_000.0) as u64,
            prompt_tokens: prompt as u64,
            estimated_tokens: estimate as u64,
            answer_tokens: answer as u64,
            priority,
            workspace,
            objective_ms: params.objectives_ms[priority as usize],
        });
    }
}

/// A lognormal factor, from the sum of twelve uniform numbers.
fn spread(rng: &mut SmallRng, deviation: f64) -> f64 {
    let normal = (0..12).map(|_| rng.random_range(0.0..1.0_f64)).sum::<f64>() - 6.0;
    (normal * deviation).exp()
}
