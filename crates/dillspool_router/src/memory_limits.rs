//! Limits on held bytes, from the settings.

use std::time::Duration;

use dillspool_io::ByteLimits;
use dillspool_schema::router::MemorySettings;

use crate::settings::SettingsError;

/// Fraction of the process's memory for held bytes; the rest is for the idle host, connections and
/// allocator overhead.
const DEFAULT_HELD_FRACTION: f64 = 0.3;
/// Responses of plain services are mostly shorter; at this size, the responses to some hundred slow
/// callers fit into the memory of a small host.
const DEFAULT_ANSWER_KB: u32 = 64;
/// Longer than the pauses of a caller that is still reading, and than the loss of one or two
/// packets.
const DEFAULT_STALL_S: f64 = 8.0;
/// Minimum memory in MB that a process can run with; an idle one takes about 18 MB.
const MIN_LIMIT_MB: f64 = 24.0;
/// Minimum fraction, and minimum response size, with which requests can be served.
const MIN_HELD_FRACTION: f64 = 0.01;
const MIN_ANSWER_KB: u32 = 1;
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Validates the memory section; returns `None` if held bytes are not limited.
///
/// # Errors
///
/// [`SettingsError::Field`] with the field and its valid range.
pub(crate) fn check(
    settings: Option<&MemorySettings>,
) -> Result<Option<ByteLimits>, SettingsError> {
    let Some(settings) = settings else { return Ok(None) };
    let Some(limit_mb) = settings.limit_mb else { return Ok(None) };
    let limit_mb = check_range("memory.limit_mb", limit_mb, MIN_LIMIT_MB, 1e9)?;
    let fraction = settings.held_part.unwrap_or(DEFAULT_HELD_FRACTION);
    let fraction = check_range("memory.held_part", fraction, MIN_HELD_FRACTION, 1.0)?;
    let answer_kb = settings.answer_kb.unwrap_or(DEFAULT_ANSWER_KB);
    let stall_s =
        check_range("memory.stall_s", settings.stall_s.unwrap_or(DEFAULT_STALL_S), 0.1, 3600.0)?;
    if answer_kb < MIN_ANSWER_KB {
        let remedy = "give a size of at least 1 KB";
        return Err(field_error("memory.answer_kb", answer_kb.to_string(), remedy));
    }
    let max_bytes = Duration::from_secs_f64(limit_mb * fraction * BYTES_PER_MB).as_secs();
    let answer_bytes = answer_kb as usize * 1024;
    if max_bytes < answer_bytes as u64 * 4 {
        let remedy = "give a size of which at least four fit in held_part of limit_mb";
        return Err(field_error("memory.answer_kb", answer_kb.to_string(), remedy));
    }
    let stall_timeout = Duration::from_secs_f64(stall_s);
    Ok(Some(ByteLimits { max_bytes, max_buffered_response_bytes: answer_bytes, stall_timeout }))
}

fn check_range(name: &'static str, value: f64, min: f64, max: f64) -> Result<f64, SettingsError> {
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    let remedy = match name {
        "memory.limit_mb" => "give the memory of the process in MB, at least 24, or leave it out",
        "memory.held_part" => "give a fraction of the memory between 0.01 and 1",
        _ => "give a time in seconds between 0.1 and 3600",
    };
    Err(field_error(name, value.to_string(), remedy))
}

fn field_error(field: &'static str, value: String, remedy: &'static str) -> SettingsError {
    SettingsError::Field { field, value, remedy }
}
