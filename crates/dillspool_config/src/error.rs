//! What is wrong with a configuration or a settings file.

use snafu::Snafu;

/// A file that cannot be taken, with the remedy.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The file cannot be read.
    #[snafu(display("cannot read {path}: {source}; check the path and its permissions"))]
    Read {
        /// Path of the file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text is no TOML, or has a field that is unknown or of another type.
    #[snafu(display(
        "{path}: {message}remedy: correct the line shown, or see docs/operators/configuration.md"
    ))]
    Syntax {
        /// Path of the file.
        path: String,
        /// The parser's message, with line and column.
        message: String,
    },
    /// The parts do not fit together.
    #[snafu(display("{path}: {}", problems.join("; ")))]
    Invalid {
        /// Path of the file.
        path: String,
        /// Each problem with its remedy.
        problems: Vec<String>,
    },
    /// A delta or a transfer does not lead to the digest it promised.
    #[snafu(display("the configuration of version {version} has another digest; read it whole"))]
    Digest {
        /// Version that was to be reached.
        version: u64,
    },
}
