//! The estimate of Kaplan and Meier.

/// A life as far as it was seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LifetimeSample {
    /// Its length until now, in any unit.
    pub lifetime: f64,
    /// Whether it has ended; else it goes on.
    pub has_ended: bool,
}

/// The part of lives that are longer than a length.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SurvivalCurve {
    /// Lengths at which lives ended, rising, and the part that lives on behind each.
    steps: Vec<(f64, f64)>,
    /// The longest length that was seen.
    longest: f64,
}

impl SurvivalCurve {
    /// Estimates the curve; lives that go on count for as long as they were seen.
    #[expect(clippy::cast_precision_loss, reason = "samples are counted in thousands")]
    pub fn estimate(mut samples: Vec<LifetimeSample>) -> Self {
        samples.sort_by(|a, b| a.lifetime.total_cmp(&b.lifetime));
        let longest = samples.last().map_or(0.0, |sample| sample.lifetime);
        let (mut left, mut part) = (samples.len(), 1.0);
        let mut steps = Vec::new();
        for sample in samples {
            if sample.has_ended {
                part *= 1.0 - 1.0 / left as f64;
                steps.push((sample.lifetime, part));
            }
            left -= 1;
        }
        Self { steps, longest }
    }

    /// A curve of known steps: lengths, rising, and the part that lives on behind each.
    pub fn from_steps(steps: Vec<(f64, f64)>) -> Self {
        let longest = steps.last().map_or(0.0, |(length, _part)| *length);
        Self { steps, longest }
    }

    /// Part of the lives that are longer than a length.
    pub fn survival_at(&self, length: f64) -> f64 {
        let after = self.steps.partition_point(|(step, _part)| *step <= length);
        after.checked_sub(1).map_or(1.0, |step| self.steps[step].1)
    }

    /// Mean length, with those that outlive the longest one seen counted as that long.
    pub fn mean(&self) -> f64 {
        let (mut mean, mut before, mut part) = (0.0, 0.0, 1.0);
        for (length, after) in &self.steps {
            mean += part * (length - before);
            (before, part) = (*length, *after);
        }
        mean + part * (self.longest - before)
    }
}
