//! The log: one structured line for each event, as text or JSON.

use std::time::SystemTime;

use dillspool_schema::settings::{LogFormat, LogSettings};
use snafu::Snafu;

/// Why the log cannot be set up.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The level is none.
    #[snafu(display("log.level is `{level}`: give error, warn, info, debug or trace"))]
    Level {
        /// What the settings say.
        level: String,
    },
    /// A logger was there already.
    #[snafu(display("the log was set up before; set it up once in a process"))]
    Twice,
}

/// Sends the log to standard error in the form that the settings ask for.
///
/// # Errors
///
/// [`LogError::Level`] for an unknown level.
pub fn set_up_log(settings: Option<&LogSettings>) -> Result<(), LogError> {
    let text = settings.map_or("info", |it| &*it.level);
    let Ok(level) = text.parse::<log::LevelFilter>() else {
        return LevelSnafu { level: text }.fail();
    };
    let json = settings.is_some_and(|it| it.format == LogFormat::Json);
    let dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("hyper_util", log::LevelFilter::Warn)
        .level_for("tungstenite", log::LevelFilter::Warn)
        .level_for("tokio_tungstenite", log::LevelFilter::Warn)
        .format(move |out, message, record| {
            let millis = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .map_or(0, |since| since.as_millis());
            if json {
                let line = serde_json::json!({
                    "time_ms": u64::try_from(millis).unwrap_or(u64::MAX),
                    "level": record.level().as_str(),
                    "target": record.target(),
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                let (level, target) = (record.level(), record.target());
                out.finish(format_args!(
                    "time_ms={millis} level={level} target={target} {message}"
                ));
            }
        })
        .chain(std::io::stderr());
    dispatch.apply().map_err(|_set| LogError::Twice)
}
