//! The limits on held bytes, from the settings.

use std::time::Duration;

use dillspool_io::ByteLimits;
use dillspool_schema::router::MemorySettings;

use crate::settings::SettingsError;

/// Part of the process' memory for held bytes: the rest is for what the host holds at rest, for
/// connections, and for what the allocator keeps.
const HELD_PART: f64 = 0.3;
/// Answers of plain services are mostly shorter; this many bytes for each of some hundred slow callers
/// fit into the memory of a small host.
const ANSWER_KB: u32 = 64;
/// Longer than the pause of any caller that still reads, and than a lost packet or two.
const STALL_S: f64 = 8.0;
/// Least memory that a process can run with, in MB; it takes about 18 MB at rest.
const LEAST_LIMIT_MB: f64 = 24.0;
/// Least part, and least size of an answer, with which requests can be served.
const LEAST_PART: f64 = 0.01;
const LEAST_ANSWER_KB: u32 = 1;
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Checks the table of the settings; `None` where held bytes are not limited.
///
/// # Errors
///
/// [`SettingsError::Field`] naming the field and its range.
pub(crate) fn check(
    settings: Option<&MemorySettings>,
) -> Result<Option<ByteLimits>, SettingsError> {
    let Some(settings) = settings else { return Ok(None) };
    let Some(limit_mb) = settings.limit_mb else { return Ok(None) };
    let limit_mb = at_least("memory.limit_mb", limit_mb, LEAST_LIMIT_MB, 1e9)?;
    let part = settings.held_part.unwrap_or(HELD_PART);
    let part = at_least("memory.held_part", part, LEAST_PART, 1.0)?;
    let answer_kb = settings.answer_kb.unwrap_or(ANSWER_KB);
    let stall_s = at_least("memory.stall_s", settings.stall_s.unwrap_or(STALL_S), 0.1, 3600.0)?;
    if answer_kb < LEAST_ANSWER_KB {
        let remedy = "give a size of at least 1 KB";
        return Err(field("memory.answer_kb", answer_kb.to_string(), remedy));
    }
    let limit = Duration::from_secs_f64(limit_mb * part * BYTES_PER_MB).as_secs();
    let answer_bytes = answer_kb as usize * 1024;
    if limit < answer_bytes as u64 * 4 {
        let remedy = "give a size of which held_part of limit_mb holds at least four";
        return Err(field("memory.answer_kb", answer_kb.to_string(), remedy));
    }
    let stall = Duration::from_secs_f64(stall_s);
    Ok(Some(ByteLimits {
        max_bytes: limit,
        max_buffered_response_bytes: answer_bytes,
        stall_timeout: stall,
    }))
}

fn at_least(name: &'static str, value: f64, least: f64, most: f64) -> Result<f64, SettingsError> {
    if (least..=most).contains(&value) {
        return Ok(value);
    }
    let remedy = match name {
        "memory.limit_mb" => "give the memory of the process in MB, at least 24, or leave it out",
        "memory.held_part" => "give a part of the memory between 0.01 and 1",
        _ => "give a time in seconds between 0.1 and 3600",
    };
    Err(field(name, value.to_string(), remedy))
}

fn field(field: &'static str, value: String, remedy: &'static str) -> SettingsError {
    SettingsError::Field { field, value, remedy }
}
