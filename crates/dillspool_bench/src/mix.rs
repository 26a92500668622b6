//! What the two users' callers send.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::ValueEnum;
use dillspool_config::parse_configuration;
use dillspool_schema::configuration::{BackendRole, Configuration};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Bytes of one token, as the engines and the entry hosts count.
const BYTES_PER_TOKEN: usize = 4;
/// Callers of a hundred that leave before their answer is whole.
const LEAVING_PERCENT: u32 = 2;
/// Part of the run in which the urgent group sends more, and how much more.
const BURST: (f64, f64, f64) = (0.4, 0.55, 2.0);

/// Which mix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum MixName {
    /// Air quality network in Nairobi.
    HewaSafi,
    /// Press release wires in Munich.
    SharedWire,
}

/// What one group sends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupMix {
    pub(crate) group: &'static str,
    /// Part of all model requests.
    weight: f64,
    /// Prompt tokens, from and to.
    prompt: (usize, usize),
    /// Output tokens, from and to.
    output: (u64, u64),
    /// Tokens that many prompts of the group share, and how many such prefixes there are.
    shared: (usize, u32),
    /// Whether a burst raises its rate.
    bursts: bool,
}

const HEWA_SAFI: [GroupMix; 2] = [
    GroupMix {
        group: "clinic-alerts",
        weight: 0.6,
        prompt: (60, 300),
        output: (20, 60),
        shared: (0, 1),
        bursts: true,
    },
    GroupMix {
        group: "county-summaries",
        weight: 0.4,
        prompt: (800, 4000),
        output: (60, 180),
        shared: (256, 4),
        bursts: false,
    },
];

const SHARED_WIRE: [GroupMix; 3] = [
    GroupMix {
        group: "headlines",
        weight: 0.5,
        prompt: (100, 400),
        output: (10, 40),
        shared: (0, 1),
        bursts: true,
    },
    GroupMix {
        group: "isar-press",
        weight: 0.3,
        prompt: (1000, 5000),
        output: (40, 120),
        shared: (768, 6),
        bursts: false,
    },
    GroupMix {
        group: "lech-wire",
        weight: 0.2,
        prompt: (1000, 5000),
        output: (40, 120),
        shared: (768, 6),
        bursts: false,
    },
];

/// A model request that is going to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) group: &'static str,
    pub(crate) text: String,
    pub(crate) prompt: u64,
    /// Prompt tokens that an engine may have cached.
    pub(crate) shared: u64,
    pub(crate) output: u64,
    /// Output tokens at most, which is all that the caller tells.
    pub(crate) max_tokens: u64,
    /// When the caller leaves, if it does.
    pub(crate) leaves_after: Option<Duration>,
}

/// A mix and its configuration.
#[derive(Clone, Debug)]
pub(crate) struct UserMix {
    pub(crate) name: MixName,
    pub(crate) groups: &'static [GroupMix],
    pub(crate) configuration: Configuration,
    pub(crate) model: &'static str,
}

impl UserMix {
    pub(crate) fn load(name: MixName) -> Result<Self, String> {
        let (groups, file, text, model): (&[GroupMix], _, _, _) = match name {
            MixName::HewaSafi => (
                &HEWA_SAFI,
                "hewa-safi.toml",
                include_str!("../../../examples/hewa-safi.toml"),
                "alert-8b",
            ),
            MixName::SharedWire => (
                &SHARED_WIRE,
                "shared-wire.toml",
                include_str!("../../../examples/shared-wire.toml"),
                "release-70b",
            ),
        };
        let configuration = parse_configuration(file, text).map_err(|error| error.to_string())?;
        Ok(Self { name, groups, configuration, model })
    }

    /// Engine time of a request on the pool: prefill and decode, as parts of a second.
    pub(crate) fn cost(&self, prompt: u64, output: u64) -> EngineCost {
        let backends = &self.configuration.backend;
        let engines = |role| backends.iter().filter(move |it| it.role == role);
        let prefill_rate: u64 =
            engines(BackendRole::Prefill).map(|it| it.prefill_tokens_per_s).sum();
        let token_rate: f64 = engines(BackendRole::Decode)
            .map(|it| {
                let step_us = it.step_base_us + it.step_per_stream_us * u64::from(it.slots);
                f64::from(it.slots) * 1e6 / step_us as f64
            })
            .sum();
        EngineCost {
            prefill: prompt as f64 / prefill_rate as f64,
            decode: output as f64 / token_rate,
        }
    }

    /// Groups by priority class.
    pub(crate) fn classes(&self) -> BTreeMap<u32, Vec<&'static str>> {
        let mut classes: BTreeMap<u32, Vec<&'static str>> = BTreeMap::new();
        for group in self.groups {
            let entry = self.configuration.group.iter().find(|it| &*it.name == group.group);
            classes.entry(entry.map_or(0, |it| it.priority)).or_default().push(group.group);
        }
        classes
    }

    /// Requests a second at which the busier kind of engine is just full.
    pub(crate) fn capacity(&self) -> f64 {
        let mut cost = EngineCost::default();
        for group in self.groups {
            let prompt = (group.prompt.0 + group.prompt.1) as u64 / 2;
            let output = u64::midpoint(group.output.0, group.output.1);
            let one = self.cost(prompt, output);
            cost.prefill += one.prefill * group.weight;
            cost.decode += one.decode * group.weight;
        }
        1.0 / cost.prefill.max(cost.decode)
    }

    /// Arrivals of a run: each group's own Poisson stream, the urgent one with a burst.
    pub(crate) fn arrivals(&self, load: f64, seconds: u64, seed: u64) -> Vec<Arrival> {
        self.flooded_arrivals(load, seconds, seed, 1.0)
    }

    /// The same with the last group's rate raised; the others' arrivals stay as they are.
    pub(crate) fn flooded_arrivals(
        &self,
        load: f64,
        seconds: u64,
        seed: u64,
        flood: f64,
    ) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let capacity = self.capacity();
        for (number, group) in self.groups.iter().enumerate() {
            let mut random = SmallRng::seed_from_u64(seed * 1000 + number as u64);
            let (from, to, factor) = BURST;
            let lift = if group.bursts { 1.0 + (to - from) * (factor - 1.0) } else { 1.0 };
            let raised = if number + 1 == self.groups.len() { flood } else { 1.0 };
            let rate = capacity * load * group.weight * raised / lift;
            let mut at = 0.0;
            loop {
                let part = at / seconds as f64;
                let bursting = group.bursts && part >= from && part < to;
                let now = if bursting { rate * factor } else { rate };
                at += -(1.0 - random.random::<f64>()).ln() / now;
                if at >= seconds as f64 {
                    break;
                }
                arrivals.push(group.arrival(Duration::from_secs_f64(at), &mut random));
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }
}

/// Parts of a second of the pool's engines that a request takes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineCost {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

impl GroupMix {
    fn arrival(&self, at: Duration, random: &mut SmallRng) -> Arrival {
        let prompt = random.random_range(self.prompt.0..=self.prompt.1);
        let output = random.random_range(self.output.0..=self.output.1);
        let prefix = random.random_range(0..self.shared.1);
        let unique: u64 = random.random();
        let shared_text = "s".repeat(self.shared.0 * BYTES_PER_TOKEN);
        let head = format!("{} {prefix} {shared_text} {unique:x} ", self.group);
        let tail = format!(" #len={output}");
        let filler = (prompt * BYTES_PER_TOKEN).saturating_sub(head.len() + tail.len());
        let text = format!("{head}{}{tail}", "x".repeat(filler));
        let leaves = random.random_ratio(LEAVING_PERCENT, 100);
        Arrival {
            at,
            group: self.group,
            prompt: prompt as u64,
            shared: (self.shared.0 / 256 * 256) as u64,
            output,
            max_tokens: self.output.1,
            text,
            leaves_after: leaves.then(|| Duration::from_millis(random.random_range(10..2000))),
        }
    }
}
