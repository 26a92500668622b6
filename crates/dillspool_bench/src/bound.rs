//! An upper bound of goodput for an arrival sequence, from the engines' capacity alone.
//!
//! Priority classes in their order, within a class the shares, each group's smallest requests
//! first; a prompt's shared prefix counts as cached, an engine never idles, and nothing is lost
//! to waiting, transfers or granularity. No policy that heeds priorities and shares can do
//! better; see docs/POLICY.md for the derivation.

use std::collections::BTreeMap;

use crate::mix::{Arrival, UserMix};

/// Requests that could at most be good, by group.
pub(crate) fn upper_bound(
    mix: &UserMix,
    arrivals: &[Arrival],
    seconds: u64,
) -> BTreeMap<&'static str, usize> {
    // Work may go on until the last deadline and answer are over; a few seconds at most.
    let mut prefill_left = seconds as f64 + 1.0;
    let mut decode_left = seconds as f64 + 5.0;
    let mut good = BTreeMap::new();
    let mut classes: BTreeMap<u32, Vec<&'static str>> = BTreeMap::new();
    for group in mix.groups {
        let entry = mix.configuration.group.iter().find(|it| &*it.name == group.group);
        classes.entry(entry.map_or(0, |it| it.priority)).or_default().push(group.group);
    }
    for names in classes.values() {
        let mut costs: Vec<(f64, f64, &'static str)> = arrivals
            .iter()
            .filter(|it| names.contains(&it.group))
            .map(|it| {
                let cost = mix.cost(it.prompt - it.shared.min(it.prompt), it.output);
                (cost.prefill, cost.decode, it.group)
            })
            .collect();
        costs.sort_by(|a, b| (a.0 + a.1).total_cmp(&(b.0 + b.1)));
        for (prefill, decode, group) in costs {
            if prefill > prefill_left || decode > decode_left {
                continue;
            }
            prefill_left -= prefill;
            decode_left -= decode;
            *good.entry(group).or_default() += 1;
        }
    }
    good
}
