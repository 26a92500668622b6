//! How long answers hold their memory, against what their callers guessed.
//!
//! A guess is right in the middle and often far off, so what an engine's streams will need is a
//! matter of chances. They are learnt from the answers of the last seconds, in the time that
//! answers live: that needs no knowledge of the model, and follows the engines' pace.

use std::collections::VecDeque;
use std::time::Duration;

use dillspool_survival::{LifetimeSample, SurvivalCurve};

/// Answers kept; some seconds' worth of a large pool, a minute's of a small one.
const KEPT_ANSWERS: usize = 256;
/// Answers from which on the assumptions below count no more.
const FEWEST_ANSWERS: usize = 8;
/// Seconds a token that are assumed before answers were seen.
const ASSUMED_PACE_S: f64 = 0.001;
/// Mean life that is assumed before answers were seen.
const ASSUMED_LIFE: Duration = Duration::from_secs(2);
/// Spread of the logarithm of life over guess that is assumed, from the callers' word that the
/// guess is right in the middle and often far off.
const ASSUMED_SPREAD: f64 = 0.5;
/// Points of the curve that is assumed.
const ASSUMED_POINTS: u32 = 64;
/// Answers noted until the curve is worked out anew.
const REFRESH_EVERY: usize = 8;
/// Time that a stream goes on that has outlived all known ones, as a part of its age.
const TAIL_PART: f64 = 0.25;
/// Weight of the assumption that lives are in proportion to guesses, in answers whose guesses vary
/// by a factor of e.
const PROPORTION_WEIGHT: f64 = 8.0;
/// Powers of the guess with which lives may grow.
const POWERS: std::ops::RangeInclusive<f64> = 0.2..=1.2;

/// An answer that ended, in logarithms of tokens and seconds.
#[derive(Clone, Copy, Debug)]
struct EndedAnswer {
    guess: f64,
    life: f64,
}

/// The chance of a life, learnt from answers that ended and those that still run.
#[derive(Clone, Debug)]
pub struct LifetimeModel {
    /// The newest last.
    ended: VecDeque<EndedAnswer>,
    /// Answers noted since the curve was worked out.
    noted: usize,
    /// Logarithm of the life that goes with a guess of one token, and the power of the guess with
    /// which it grows. Long guesses are mostly too long and short ones too short, so the power is
    /// less than one.
    base: f64,
    power: f64,
    token_s: f64,
    mean_life: Duration,
    /// Of lives over the life that goes with the guess.
    curve: SurvivalCurve,
}

impl Default for LifetimeModel {
    fn default() -> Self {
        Self {
            ended: VecDeque::new(),
            noted: 0,
            base: ASSUMED_PACE_S.ln(),
            power: 1.0,
            token_s: ASSUMED_PACE_S,
            mean_life: ASSUMED_LIFE,
            curve: assumed_curve(),
        }
    }
}

impl LifetimeModel {
    /// Notes an answer that ended well after this life.
    pub fn note(&mut self, guess_tokens: u64, life: Duration) {
        if life.is_zero() {
            return;
        }
        if self.ended.len() >= KEPT_ANSWERS {
            self.ended.pop_front();
        }
        self.ended
            .push_back(EndedAnswer { guess: ln(guess_tokens), life: life.as_secs_f64().ln() });
        self.noted += 1;
    }

    /// Whether enough answers were noted since the curve was worked out.
    pub fn is_stale(&self) -> bool {
        self.noted >= REFRESH_EVERY
    }

    /// Works the curve out anew; `running` are guesses and ages of streams under way.
    pub fn refresh(&mut self, running: &[(u64, Duration)]) {
        self.noted = 0;
        if self.ended.len() < FEWEST_ANSWERS {
            return;
        }
        self.fit();
        let ended = self.ended.iter().map(|answer| {
            let usual = self.base + self.power * answer.guess;
            LifetimeSample { lifetime: (answer.life - usual).exp(), has_ended: true }
        });
        let running = running.iter().map(|(guess, age)| LifetimeSample {
            lifetime: self.part_of_life(*guess, *age),
            has_ended: false,
        });
        // Streams under way count, or short answers, which end first, would stand for all.
        self.curve = SurvivalCurve::estimate(ended.chain(running).collect());
    }

    /// The line through the logarithms of guesses and lives that is closest to them.
    #[expect(clippy::cast_precision_loss, reason = "some hundred answers")]
    fn fit(&mut self) {
        let count = self.ended.len() as f64;
        let guess = self.ended.iter().map(|answer| answer.guess).sum::<f64>() / count;
        let life = self.ended.iter().map(|answer| answer.life).sum::<f64>() / count;
        let (mut together, mut spread) = (PROPORTION_WEIGHT, PROPORTION_WEIGHT);
        for answer in &self.ended {
            together += (answer.guess - guess) * (answer.life - life);
            spread += (answer.guess - guess).powi(2);
        }
        self.power = (together / spread).clamp(*POWERS.start(), *POWERS.end());
        self.base = life - self.power * guess;
        self.token_s = (life - guess).exp();
        let lives = self.ended.iter().map(|answer| answer.life.exp());
        self.mean_life = Duration::from_secs_f64(lives.sum::<f64>() / count);
    }

    /// The life that mostly goes with a guess.
    pub fn usual_life(&self, guess_tokens: u64) -> Duration {
        Duration::from_secs_f64((self.base + self.power * ln(guess_tokens)).exp())
    }

    /// Tokens that an answer mostly has that goes with a guess.
    pub fn usual_tokens(&self, guess_tokens: u64) -> f64 {
        self.usual_life(guess_tokens).as_secs_f64() / self.token_s
    }

    fn part_of_life(&self, guess_tokens: u64, age: Duration) -> f64 {
        age.as_secs_f64() / self.usual_life(guess_tokens).as_secs_f64().max(f64::EPSILON)
    }

    /// Chance that a stream of this age goes on for a time.
    pub fn lives_on(&self, guess_tokens: u64, age: Duration, time: Duration) -> f64 {
        let now = self.curve.survival_at(self.part_of_life(guess_tokens, age));
        if now > 0.0 {
            return self.curve.survival_at(self.part_of_life(guess_tokens, age + time)) / now;
        }
        let tail = (TAIL_PART * age.as_secs_f64()).max(f64::EPSILON);
        (-time.as_secs_f64() / tail).exp()
    }

    /// Seconds in which an engine makes a token, by lives over guesses: those are right in the
    /// middle.
    pub fn token_s(&self) -> f64 {
        self.token_s
    }

    /// Mean life of an answer.
    pub fn mean_life(&self) -> Duration {
        self.mean_life
    }
}

#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
fn ln(tokens: u64) -> f64 {
    (tokens.max(1) as f64).ln()
}

/// The curve before any answers are known.
fn assumed_curve() -> SurvivalCurve {
    let part = |point| f64::from(point) / f64::from(ASSUMED_POINTS);
    let step = |part: f64| ((ASSUMED_SPREAD * normal_quantile(part)).exp(), 1.0 - part);
    SurvivalCurve::from_steps((1..ASSUMED_POINTS).map(part).map(step).collect())
}

/// Quantile of the normal distribution, by the logistic curve that is closest to it.
fn normal_quantile(part: f64) -> f64 {
    /// Scale of the logistic distribution whose quartiles are those of the normal one.
    const SCALE: f64 = 0.614;
    SCALE * (part / (1.0 - part)).ln()
}
