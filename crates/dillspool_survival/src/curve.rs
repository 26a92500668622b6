//! The Kaplan-Meier estimator.

/// An observed lifetime, which may be right-censored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LifetimeSample {
    /// The lifetime up to now, in any unit.
    pub lifetime: f64,
    /// Whether it has ended; otherwise the sample is censored.
    pub has_ended: bool,
}

/// The fraction of lifetimes that exceed a given duration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SurvivalCurve {
    /// Durations at which lifetimes ended, ascending, with the fraction that survives each.
    steps: Vec<(f64, f64)>,
    /// The longest lifetime observed.
    longest: f64,
}

impl SurvivalCurve {
    /// Estimates the curve; samples that have not ended count for as long as they were observed.
    #[expect(clippy::cast_precision_loss, reason = "samples are counted in thousands")]
    pub fn estimate(mut samples: Vec<LifetimeSample>) -> Self {
        samples.sort_by(|a, b| a.lifetime.total_cmp(&b.lifetime));
        let longest = samples.last().map_or(0.0, |sample| sample.lifetime);
        let (mut at_risk, mut surviving) = (samples.len(), 1.0);
        let mut steps = Vec::new();
        for sample in samples {
            if sample.has_ended {
                surviving *= 1.0 - 1.0 / at_risk as f64;
                steps.push((sample.lifetime, surviving));
            }
            at_risk -= 1;
        }
        Self { steps, longest }
    }

    /// A curve from known steps: durations, ascending, with the fraction that survives each.
    pub fn from_steps(steps: Vec<(f64, f64)>) -> Self {
        let longest = steps.last().map_or(0.0, |(lifetime, _surviving)| *lifetime);
        Self { steps, longest }
    }

    /// Fraction of the lifetimes that exceed `lifetime`.
    pub fn survival_at(&self, lifetime: f64) -> f64 {
        let passed = self.steps.partition_point(|(step, _surviving)| *step <= lifetime);
        passed.checked_sub(1).map_or(1.0, |step| self.steps[step].1)
    }

    /// Mean lifetime, where those that outlive the longest observation count as that long.
    pub fn mean(&self) -> f64 {
        let (mut mean, mut previous, mut surviving) = (0.0, 0.0, 1.0);
        for (lifetime, after) in &self.steps {
            mean += surviving * (lifetime - previous);
            (previous, surviving) = (*lifetime, *after);
        }
        mean + surviving * (self.longest - previous)
    }
}
