//! Amounts that were refused and told when to come back.

use std::collections::BTreeMap;

/// Refused amounts by rank, as far as their time has not come yet; the most urgent come first.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimLine {
    ranks: BTreeMap<u32, f64>,
}

impl ClaimLine {
    /// Adds an amount that was refused.
    pub(crate) fn add(&mut self, rank: u32, amount: f64) {
        *self.ranks.entry(rank).or_default() += amount;
    }

    /// Takes off what there has been room for, from the most urgent on.
    pub(crate) fn pass(&mut self, mut gain: f64) {
        while let Some(mut first) = self.ranks.first_entry() {
            if *first.get() > gain {
                *first.get_mut() -= gain;
                return;
            }
            gain -= first.remove();
        }
    }

    /// Takes off the amount of one that has come back.
    pub(crate) fn come_back(&mut self, rank: u32, amount: f64) {
        if let Some(claimed) = self.ranks.get_mut(&rank) {
            *claimed -= amount;
            if *claimed <= 0.0 {
                self.ranks.remove(&rank);
            }
        }
    }

    /// Amounts that are more urgent than a rank.
    pub(crate) fn before(&self, rank: u32) -> f64 {
        self.ranks.range(..rank).map(|(_rank, amount)| amount).sum()
    }

    /// Amounts that go before one more of a rank.
    pub(crate) fn up_to(&self, rank: u32) -> f64 {
        self.ranks.range(..=rank).map(|(_rank, amount)| amount).sum()
    }
}
