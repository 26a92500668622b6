//! Declared configuration and host settings: parsing, validation, versions and deltas.
//!
//! A configuration is applied atomically under a version that only increases. Changes between
//! versions are sent as deltas, each of which applies to one base version. See `docs/design/configuration.md`.

mod check;
mod delta;
mod error;
mod parse;
mod settings;
mod snapshot;
mod store;

pub use check::check_configuration;
pub use delta::ConfigDelta;
pub use error::ConfigError;
pub use parse::parse_configuration;
pub use settings::{HostAddresses, load_settings, parse_settings};
pub use snapshot::{ConfigSnapshot, ConfigVersion, digest_configuration};
pub use store::{AppliedConfig, ApplyError, AuditRow, ConfigHead, ConfigStore};
