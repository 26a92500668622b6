//! Errors of configuration and settings files.

use snafu::Snafu;

/// Why a configuration or settings file was rejected, and how to correct it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The file cannot be read.
    #[snafu(display("cannot read {path}: {source}; check the path and its permissions"))]
    Read {
        /// Path of the file.
        path: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The text is not valid TOML, or a field is unknown or has the wrong type.
    #[snafu(display(
        "{path}: {message}remedy: correct the line shown, or see docs/operators/configuration.md"
    ))]
    Syntax {
        /// Path of the file.
        path: String,
        /// The parser's message, with line and column.
        message: String,
    },
    /// The sections are inconsistent, or a value is out of range.
    #[snafu(display("{path}: {}", problems.join("; ")))]
    Invalid {
        /// Path of the file.
        path: String,
        /// All problems, each with its remedy.
        problems: Vec<String>,
    },
    /// Applying a delta or completing a transfer produced another digest than the announced one.
    #[snafu(display(
        "digest mismatch for configuration version {version}; fetch the full configuration"
    ))]
    Digest {
        /// Target version.
        version: u64,
    },
}
