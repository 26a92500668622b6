//! Upper bounds of goodput for an arrival sequence, from the engines' capacity alone.
//!
//! Both heed the priority classes in their order, count a prompt's shared prefix as cached, let no
//! engine idle, and lose nothing to waiting, transfers or granularity. The strict one serves the
//! smallest requests of a class first, which no policy beats in number; the size-blind one takes
//! them as they come, which is the bound for a policy that favours no size. docs/POLICY.md has
//! the derivation.

use std::collections::BTreeMap;

use crate::mix::{Arrival, UserMix};

/// Time after the last arrival in which its prefill may still start.
const LAST_PREFILL_S: f64 = 1.0;
/// Time after the last arrival in which decodes may still run at full capacity.
const LAST_DECODE_S: f64 = 5.0;

/// Which requests of a class come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BoundOrder {
    /// The smallest.
    Strict,
    /// The earliest.
    SizeBlind,
}

/// Requests that could at most be good, by group.
pub(crate) fn upper_bound(
    mix: &UserMix,
    arrivals: &[Arrival],
    seconds: u64,
    order: BoundOrder,
) -> BTreeMap<&'static str, usize> {
    let mut prefill_left = seconds as f64 + LAST_PREFILL_S;
    let mut decode_left = seconds as f64 + LAST_DECODE_S;
    let mut good = BTreeMap::new();
    for names in mix.classes().values() {
        let mut requests: Vec<(f64, f64, &Arrival)> = arrivals
            .iter()
            .filter(|it| names.contains(&it.group))
            .map(|it| {
                let cost = mix.cost(it.prompt - it.shared.min(it.prompt), it.output);
                (cost.prefill, cost.decode, it)
            })
            .collect();
        match order {
            BoundOrder::Strict => requests.sort_by(|a, b| (a.0 + a.1).total_cmp(&(b.0 + b.1))),
            // A size-blind policy gives up a like part of every size: spread the class's capacity.
            BoundOrder::SizeBlind => {
                let part = |left: f64, need: f64| if need > left { left / need } else { 1.0 };
                let prefill: f64 = requests.iter().map(|it| it.0).sum();
                let decode: f64 = requests.iter().map(|it| it.1).sum();
                let served = part(prefill_left, prefill).min(part(decode_left, decode)).max(0.0);
                for name in names {
                    let sent = requests.iter().filter(|it| it.2.group == *name).count();
                    good.insert(*name, whole_part(sent, served));
                }
                prefill_left -= prefill * served;
                decode_left -= decode * served;
                continue;
            }
        }
        for (prefill, decode, arrival) in requests {
            if prefill > prefill_left || decode > decode_left {
                continue;
            }
            prefill_left -= prefill;
            decode_left -= decode;
            *good.entry(arrival.group).or_default() += 1;
        }
    }
    good
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a count is a count"
)]
fn whole_part(count: usize, part: f64) -> usize {
    (count as f64 * part).ceil() as usize
}
