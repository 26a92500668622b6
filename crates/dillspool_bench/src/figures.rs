//! Figures of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::bound::{BoundOrder, upper_bound};
use crate::mix::{Arrival, UserMix};
use crate::scenario::{RequestEnd, RequestRecord, RunResult};

/// Longest time that a histogram holds, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// Length of the windows over which shares are compared.
const SHARE_WINDOW_S: u64 = 10;
/// Refusals in a window from which on a group counts as backlogged.
const LEAST_REFUSED: usize = 10;

/// Times in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct TimeFigures {
    pub(crate) p50: f64,
    pub(crate) p95: f64,
    pub(crate) p99: f64,
}

/// Figures of one group.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct GroupFigures {
    pub(crate) sent: usize,
    pub(crate) good: usize,
    pub(crate) late: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    pub(crate) left: usize,
    /// Requests that could at most be good.
    pub(crate) bound: usize,
    pub(crate) first_token: TimeFigures,
    pub(crate) per_token: TimeFigures,
    /// Time until a refused caller had its answer.
    pub(crate) refusal: TimeFigures,
}

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RunFigures {
    pub(crate) policy: &'static str,
    pub(crate) load: f64,
    pub(crate) good: usize,
    /// Bound for a policy that favours no size.
    pub(crate) bound: usize,
    /// Bound for any policy.
    pub(crate) strict_bound: usize,
    /// Largest error of a backlogged group's share of its class over 10 s, in hundredths.
    pub(crate) share_error: Option<f64>,
    pub(crate) wrong: usize,
    /// Good and sent by second of arrival, for the most urgent group.
    pub(crate) urgent_by_second: Vec<(usize, usize)>,
    pub(crate) prefills: u64,
    pub(crate) wasted: u64,
    pub(crate) readings: u64,
    pub(crate) doubled: u64,
    pub(crate) held_after: usize,
    pub(crate) groups: BTreeMap<&'static str, GroupFigures>,
}

impl RunFigures {
    pub(crate) fn of(
        mix: &UserMix,
        policy: &'static str,
        load: f64,
        seconds: u64,
        result: &RunResult,
    ) -> Self {
        let arrivals: Vec<Arrival> = result.records.iter().map(|it| it.arrival.clone()).collect();
        let bounds = upper_bound(mix, &arrivals, seconds, BoundOrder::SizeBlind);
        let strict = upper_bound(mix, &arrivals, seconds, BoundOrder::Strict);
        let mut groups = BTreeMap::new();
        for group in mix.groups {
            let records: Vec<&RequestRecord> =
                result.records.iter().filter(|it| it.arrival.group == group.group).collect();
            let mut figures = group_figures(&records);
            figures.bound = bounds.get(group.group).copied().unwrap_or(0);
            groups.insert(group.group, figures);
        }
        Self {
            policy,
            load,
            good: groups.values().map(|it| it.good).sum(),
            bound: groups.values().map(|it| it.bound).sum(),
            strict_bound: strict.values().sum(),
            share_error: share_error(mix, &result.records),
            urgent_by_second: by_second(&result.records, mix.groups[0].group, seconds),
            wrong: count(result.records.iter(), RequestEnd::Wrong),
            prefills: result.prefills,
            wasted: result.wasted,
            readings: result.readings.0,
            doubled: result.readings.1,
            held_after: result.held_after,
            groups,
        }
    }

    /// Goodput against the upper bound, in hundredths.
    pub(crate) fn part_of_bound(&self) -> f64 {
        percent(self.good, self.bound)
    }

    /// Wasted prefills in hundredths of all.
    pub(crate) fn wasted_percent(&self) -> f64 {
        self.wasted as f64 * 100.0 / (self.prefills as f64).max(1.0)
    }
}

/// Over windows of 10 s in which every group of a class was refused requests.
fn share_error(mix: &UserMix, records: &[RequestRecord]) -> Option<f64> {
    let windows: BTreeSet<u64> =
        records.iter().map(|it| it.arrival.at.as_secs() / SHARE_WINDOW_S).collect();
    let mut worst: Option<f64> = None;
    for names in mix.classes().values().filter(|names| names.len() > 1) {
        for window in &windows {
            let inside = |it: &&RequestRecord| it.arrival.at.as_secs() / SHARE_WINDOW_S == *window;
            let error =
                window_error(mix, names, &records.iter().filter(inside).collect::<Vec<_>>());
            worst = worst.into_iter().chain(error).reduce(f64::max);
        }
    }
    worst
}

fn window_error(mix: &UserMix, names: &[&str], records: &[&RequestRecord]) -> Option<f64> {
    let of = |name: &str| -> Vec<&RequestRecord> {
        records.iter().copied().filter(|it| it.arrival.group == name).collect()
    };
    let backlogged = |name: &&str| {
        of(name).iter().filter(|it| it.end == RequestEnd::Refused).count() >= LEAST_REFUSED
    };
    if !names.iter().all(backlogged) {
        return None;
    }
    let served = |name: &str| -> f64 {
        let all = of(name);
        let whole = all.iter().filter(|it| matches!(it.end, RequestEnd::Good | RequestEnd::Late));
        let cost = |it: &&&RequestRecord| {
            let cost = mix.cost(it.arrival.prompt, it.arrival.max_tokens);
            cost.prefill + cost.decode
        };
        whole.map(|it| cost(&it)).sum()
    };
    let share = |name: &str| {
        let entry = mix.configuration.group.iter().find(|it| &*it.name == name);
        entry.map_or(0.0, |it| f64::from(it.share))
    };
    let total_served: f64 = names.iter().map(|name| served(name)).sum();
    let total_share: f64 = names.iter().map(|name| share(name)).sum();
    let errors = names
        .iter()
        .map(|name| (served(name) / total_served - share(name) / total_share).abs() * 100.0);
    errors.reduce(f64::max)
}

fn by_second(records: &[RequestRecord], group: &str, seconds: u64) -> Vec<(usize, usize)> {
    let mut counts = vec![(0, 0); usize::try_from(seconds).unwrap_or(0)];
    for record in records.iter().filter(|it| it.arrival.group == group) {
        let second = usize::try_from(record.arrival.at.as_secs()).unwrap_or(0);
        let Some(count) = counts.get_mut(second) else { continue };
        count.1 += 1;
        if record.end == RequestEnd::Good {
            count.0 += 1;
        }
    }
    counts
}

pub(crate) fn percent(part: usize, whole: usize) -> f64 {
    part as f64 * 100.0 / (whole as f64).max(1.0)
}

fn count<'a>(records: impl Iterator<Item = &'a RequestRecord>, end: RequestEnd) -> usize {
    records.filter(|it| it.end == end).count()
}

fn group_figures(records: &[&RequestRecord]) -> GroupFigures {
    let ended = |end| count(records.iter().copied(), end);
    let whole = |it: &&&RequestRecord| matches!(it.end, RequestEnd::Good | RequestEnd::Late);
    GroupFigures {
        sent: records.len(),
        good: ended(RequestEnd::Good),
        late: ended(RequestEnd::Late),
        refused: ended(RequestEnd::Refused),
        failed: ended(RequestEnd::Failed),
        left: ended(RequestEnd::Left),
        bound: 0,
        first_token: times(records.iter().filter(whole).map(|it| it.first_token)),
        per_token: times(records.iter().filter(whole).map(|it| it.per_token)),
        refusal: times(
            records.iter().filter(|it| it.end == RequestEnd::Refused).map(|it| it.total),
        ),
    }
}

fn times(times: impl Iterator<Item = Duration>) -> TimeFigures {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3) else {
        return TimeFigures::default();
    };
    for time in times {
        let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST_US);
        histogram.saturating_record(micros);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    TimeFigures { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}
