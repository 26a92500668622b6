//! Admission policy for model requests, from the settings.

use dillspool_admission::AdmissionPolicy;
use dillspool_schema::router::PolicySettings;

use crate::settings::SettingsError;

/// Upper bound of the reserved fraction of an estimate, and of deviations, lifetimes and weights:
/// larger values would leave engines idle.
const MAX_FACTOR: f64 = 4.0;
/// Largest fraction of the remaining time that a refused caller may be told to wait before a retry;
/// callers wait for at most a third.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.33;
/// Maximum number of engines that may refuse one request; each refusal costs a call.
const MAX_REFUSALS: u32 = 64;

/// Admission policy for model requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicyConfig {
    /// Whether one host schedules a pool for the whole fleet.
    pub schedule: bool,
    /// Parameters of admission decisions.
    pub admission: AdmissionPolicy,
}

impl Default for PolicyConfig {
    fn default() -> Self {
        Self { schedule: true, admission: AdmissionPolicy::default() }
    }
}

/// Validates the policy section; missing fields take their defaults.
///
/// # Errors
///
/// [`SettingsError::Field`] with the field and its valid range.
pub(crate) fn check(settings: Option<&PolicySettings>) -> Result<PolicyConfig, SettingsError> {
    let mut config = PolicyConfig::default();
    let Some(settings) = settings else { return Ok(config) };
    let policy = &mut config.admission;
    config.schedule = settings.schedule.unwrap_or(config.schedule);
    policy.reads_at_decode = settings.reads_at_decode.unwrap_or(policy.reads_at_decode);
    policy.reserved_part = check_range(
        "policy.reserved_part",
        settings.reserved_part.unwrap_or(policy.reserved_part),
        MAX_FACTOR,
        "give a fraction of the estimate between 0 and 4",
    )?;
    policy.memory_deviations = check_range(
        "policy.memory_deviations",
        settings.memory_deviations.unwrap_or(policy.memory_deviations),
        MAX_FACTOR,
        "give standard deviations between 0 and 4",
    )?;
    policy.late_margin = check_range(
        "policy.late_margin",
        settings.late_margin.unwrap_or(policy.late_margin),
        1.0,
        "give a fraction of an engine's memory between 0 and 1",
    )?;
    policy.late_wait = check_range(
        "policy.late_wait",
        settings.late_wait.unwrap_or(policy.late_wait),
        MAX_FACTOR,
        "give a number of mean response lifetimes between 0 and 4",
    )?;
    policy.by_cost = settings.by_cost.unwrap_or(policy.by_cost);
    policy.slow_weight = check_range(
        "policy.slow_weight",
        settings.slow_weight.unwrap_or(policy.slow_weight),
        MAX_FACTOR,
        "give a fraction of an engine's memory between 0 and 4",
    )?;
    policy.come_back_from = check_range(
        "policy.come_back_from",
        settings.come_back_from.unwrap_or(policy.come_back_from),
        MAX_RETRY_AFTER_FRACTION,
        "give a fraction of the remaining time between 0 and 0.33",
    )?;
    policy.completion_chance = check_range(
        "policy.completion_chance",
        settings.completion_chance.unwrap_or(policy.completion_chance),
        1.0,
        "give a probability between 0 and 1",
    )?;
    if let Some(refusals) = settings.most_refusals {
        policy.most_refusals = check_refusals(refusals)?;
    }
    Ok(config)
}

fn check_range(
    field: &'static str,
    value: f64,
    max: f64,
    remedy: &'static str,
) -> Result<f64, SettingsError> {
    if (0.0..=max).contains(&value) {
        return Ok(value);
    }
    Err(SettingsError::Field { field, value: value.to_string(), remedy })
}

fn check_refusals(value: u32) -> Result<usize, SettingsError> {
    match value {
        1..=MAX_REFUSALS => Ok(value as usize),
        _ => Err(SettingsError::Field {
            field: "policy.most_refusals",
            value: value.to_string(),
            remedy: "give a number of engines between 1 and 64",
        }),
    }
}
