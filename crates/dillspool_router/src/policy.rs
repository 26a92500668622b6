//! The limits of decisions on model requests, from the settings.

use dillspool_admission::AdmissionPolicy;
use dillspool_schema::router::PolicySettings;

use crate::settings::SettingsError;

/// Largest part of a guess that may be reserved, and most deviations, lives and weights: beyond that
/// engines would stand empty.
const LARGEST_FACTOR: f64 = 4.0;
/// Latest part of its time left at which a refused caller is told to come back; callers obey a third.
const LATEST_COME_BACK: f64 = 0.33;
/// Most engines that one request may be refused by; each refusal is a call.
const MOST_REFUSALS: u32 = 64;

/// How requests for engines are decided on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicyConfig {
    /// Whether one host schedules a pool for all.
    pub schedule: bool,
    /// The limits.
    pub admission: AdmissionPolicy,
}

impl Default for PolicyConfig {
    fn default() -> Self {
        Self { schedule: true, admission: AdmissionPolicy::default() }
    }
}

/// Checks the table of the settings; what it leaves out has its default.
///
/// # Errors
///
/// [`SettingsError::Field`] naming the field and its range.
pub(crate) fn check(settings: Option<&PolicySettings>) -> Result<PolicyConfig, SettingsError> {
    let mut config = PolicyConfig::default();
    let Some(settings) = settings else { return Ok(config) };
    let policy = &mut config.admission;
    config.schedule = settings.schedule.unwrap_or(config.schedule);
    policy.reads_at_decode = settings.reads_at_decode.unwrap_or(policy.reads_at_decode);
    policy.reserved_part = within(
        "policy.reserved_part",
        settings.reserved_part.unwrap_or(policy.reserved_part),
        LARGEST_FACTOR,
        "give a part of the guess between 0 and 4",
    )?;
    policy.memory_deviations = within(
        "policy.memory_deviations",
        settings.memory_deviations.unwrap_or(policy.memory_deviations),
        LARGEST_FACTOR,
        "give standard deviations between 0 and 4",
    )?;
    policy.late_margin = within(
        "policy.late_margin",
        settings.late_margin.unwrap_or(policy.late_margin),
        1.0,
        "give a part of an engine's memory between 0 and 1",
    )?;
    policy.late_wait = within(
        "policy.late_wait",
        settings.late_wait.unwrap_or(policy.late_wait),
        LARGEST_FACTOR,
        "give mean lives of an answer between 0 and 4",
    )?;
    policy.by_cost = settings.by_cost.unwrap_or(policy.by_cost);
    policy.slow_weight = within(
        "policy.slow_weight",
        settings.slow_weight.unwrap_or(policy.slow_weight),
        LARGEST_FACTOR,
        "give a part of an engine's memory between 0 and 4",
    )?;
    policy.come_back_from = within(
        "policy.come_back_from",
        settings.come_back_from.unwrap_or(policy.come_back_from),
        LATEST_COME_BACK,
        "give a part of the time left between 0 and 0.33",
    )?;
    policy.completion_chance = within(
        "policy.completion_chance",
        settings.completion_chance.unwrap_or(policy.completion_chance),
        1.0,
        "give a chance between 0 and 1",
    )?;
    if let Some(refusals) = settings.most_refusals {
        policy.most_refusals = refusal_count(refusals)?;
    }
    Ok(config)
}

fn within(
    field: &'static str,
    value: f64,
    most: f64,
    remedy: &'static str,
) -> Result<f64, SettingsError> {
    if (0.0..=most).contains(&value) {
        return Ok(value);
    }
    Err(SettingsError::Field { field, value: value.to_string(), remedy })
}

fn refusal_count(value: u32) -> Result<usize, SettingsError> {
    match value {
        1..=MOST_REFUSALS => Ok(value as usize),
        _ => Err(SettingsError::Field {
            field: "policy.most_refusals",
            value: value.to_string(),
            remedy: "give a number of engines between 1 and 64",
        }),
    }
}
