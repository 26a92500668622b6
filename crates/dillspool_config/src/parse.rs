//! Parses TOML text into a validated configuration in canonical order.

use dillspool_schema::configuration::Configuration;

use crate::ConfigError;
use crate::check::check_configuration;
use crate::error::SyntaxSnafu;

/// Parses and validates a declared configuration. `path` is used only in error messages.
///
/// # Errors
///
/// [`ConfigError::Syntax`] with line and column, or [`ConfigError::Invalid`] with every problem.
pub fn parse_configuration(path: &str, text: &str) -> Result<Configuration, ConfigError> {
    let mut configuration = match toml::from_str::<Configuration>(text) {
        Ok(configuration) => configuration,
        Err(error) => {
            return SyntaxSnafu { path, message: error.to_string() }.fail();
        }
    };
    sort_entries(&mut configuration);
    check_configuration(path, &configuration)?;
    Ok(configuration)
}

/// Sorts the entries of each section by name, so that equal configurations have equal digests.
pub(crate) fn sort_entries(configuration: &mut Configuration) {
    configuration.group.sort_by(|a, b| a.name.cmp(&b.name));
    configuration.pool.sort_by(|a, b| a.name.cmp(&b.name));
    configuration.backend.sort_by(|a, b| a.name.cmp(&b.name));
    configuration.route.sort_by(|a, b| a.prefix.cmp(&b.prefix));
}
