//! Sets up the log of a process.

use std::io::{self, Write};
use std::time::SystemTime;

use dillspool_schema::Name;
use log::{Level, LevelFilter, Record};
use snafu::{ResultExt, Snafu};

use crate::line_queue::{LogDrain, start_writer};

/// Start of the names of the project's own crates; what libraries say is logged from warnings on.
const OWN_CRATES: &str = "dillspool";

/// Why the log cannot be set up.
#[derive(Debug, Snafu)]
pub enum LogSetupError {
    /// No thread could be started.
    #[snafu(display("cannot start the log's thread: {source}; check the limits on threads"))]
    Thread {
        /// What went wrong.
        source: io::Error,
    },
    /// A logger was there already.
    #[snafu(display("the log was set up before; set it up once in a process"))]
    AlreadySet,
}

/// Form of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LineFormat {
    /// `name=value` pairs.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// What is logged, and how.
#[derive(Clone, Debug)]
pub struct LogSetup {
    /// Name of this host, in each line.
    pub host: Name,
    /// Least urgent level that is logged.
    pub level: LevelFilter,
    /// Form of the lines.
    pub format: LineFormat,
}

/// Sends the log to standard output; returns what lets the last lines out.
///
/// # Errors
///
/// [`LogSetupError`] when no thread can be started or a logger was set up before.
pub fn set_up_log(setup: LogSetup) -> Result<LogDrain, LogSetupError> {
    let queue = start_writer(io::stdout()).context(ThreadSnafu)?;
    let drain = queue.drain();
    let level = setup.level;
    let dispatch = fern::Dispatch::new()
        .level(level)
        .filter(|line| line.target().starts_with(OWN_CRATES) || line.level() <= Level::Warn)
        .format(move |out, message, record| {
            let line = format_line(&setup, record, &message.to_string());
            out.finish(format_args!("{line}"));
        })
        .chain(Box::new(queue) as Box<dyn Write + Send>);
    dispatch.apply().map_err(|_set| LogSetupError::AlreadySet)?;
    Ok(drain)
}

fn format_line(setup: &LogSetup, record: &Record<'_>, message: &str) -> String {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let time_ms = now.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX));
    let (host, level) = (&setup.host, record.level());
    match setup.format {
        LineFormat::Text => format!("time_ms={time_ms} host={host} level={level} {message}"),
        LineFormat::Json => serde_json::json!({
            "time_ms": time_ms,
            "host": &**host,
            "level": level.as_str(),
            "message": message,
        })
        .to_string(),
    }
}
