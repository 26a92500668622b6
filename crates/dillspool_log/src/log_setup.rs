//! Installs the logger of a process.

use std::io::{self, Write};
use std::time::SystemTime;

use dillspool_schema::Name;
use log::{Level, LevelFilter, Record};
use snafu::{ResultExt, Snafu};

use crate::line_queue::{LogDrain, start_writer};

/// Name prefix of the project's own crates. Other crates are logged only at warning level and above.
const OWN_CRATE_PREFIX: &str = "dillspool";

/// Why the logger could not be installed.
#[derive(Debug, Snafu)]
pub enum LogSetupError {
    /// The writer thread could not be started.
    #[snafu(display("cannot start the log writer thread: {source}; check the thread limits"))]
    Thread {
        /// The operating system's error.
        source: io::Error,
    },
    /// The process already has a logger.
    #[snafu(display("a logger is already installed; set up logging only once per process"))]
    AlreadySet,
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LineFormat {
    /// `name=value` pairs.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Logging options of a process.
#[derive(Clone, Debug)]
pub struct LogSetup {
    /// Name of this host, written in each line.
    pub host: Name,
    /// Most verbose level that is logged.
    pub level: LevelFilter,
    /// Format of the lines.
    pub format: LineFormat,
}

/// Installs a logger that writes to standard output, and returns a handle to drain it on exit.
///
/// # Errors
///
/// [`LogSetupError`] when the writer thread cannot be started or the process already has a logger.
pub fn set_up_log(setup: LogSetup) -> Result<LogDrain, LogSetupError> {
    let queue = start_writer(io::stdout()).context(ThreadSnafu)?;
    let drain = queue.drain();
    let level = setup.level;
    let dispatch = fern::Dispatch::new()
        .level(level)
        .filter(|meta| meta.target().starts_with(OWN_CRATE_PREFIX) || meta.level() <= Level::Warn)
        .format(move |out, message, record| {
            let line = format_line(&setup, record, &message.to_string());
            out.finish(format_args!("{line}"));
        })
        .chain(Box::new(queue) as Box<dyn Write + Send>);
    dispatch.apply().map_err(|_error| LogSetupError::AlreadySet)?;
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
