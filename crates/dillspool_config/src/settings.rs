//! The settings file of one host.

use std::net::SocketAddr;
use std::path::Path;

use dillspool_keys::HASH_LENGTH;
use dillspool_schema::settings::HostSettings;
use snafu::ResultExt;

use crate::ConfigError;
use crate::error::{InvalidSnafu, ReadSnafu, SyntaxSnafu};

/// Minimum length of a peer key.
const MIN_PEER_KEY_BYTES: usize = 16;

/// Parsed addresses of a settings file.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Listen address for other hosts.
    pub peers: SocketAddr,
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the host list service.
    pub hosts: SocketAddr,
}

impl HostAddresses {
    /// Parses all addresses of the settings. `path` is used only in error messages.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Invalid`] with every address that is malformed.
    pub fn from_settings(path: &str, settings: &HostSettings) -> Result<Self, ConfigError> {
        let mut problems = Vec::new();
        let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut parse = |field: &str, text: &str| {
            text.parse().unwrap_or_else(|_ignored| {
                problems.push(format!("{field} is `{text}`: give IP number and port"));
                placeholder
            })
        };
        let addresses = Self {
            callers: parse("listen.callers", &settings.listen.callers),
            operators: parse("listen.operators", &settings.listen.operators),
            peers: parse("listen.peers", &settings.listen.peers),
            table: parse("platform.table", &settings.platform.table),
            objects: parse("platform.objects", &settings.platform.objects),
            hosts: parse("platform.hosts", &settings.platform.hosts),
        };
        if problems.is_empty() { Ok(addresses) } else { InvalidSnafu { path, problems }.fail() }
    }
}

/// Reads, parses and validates a settings file.
///
/// # Errors
///
/// [`ConfigError`] with the remedy, when the settings are rejected.
pub fn load_settings(path: &Path) -> Result<HostSettings, ConfigError> {
    let display_path = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: &display_path })?;
    parse_settings(&display_path, &text)
}

/// Parses and validates the text of a settings file. `path` is used only in error messages.
///
/// # Errors
///
/// [`ConfigError`] with the remedy, when the settings are rejected.
pub fn parse_settings(path: &str, text: &str) -> Result<HostSettings, ConfigError> {
    let settings = match toml::from_str::<HostSettings>(text) {
        Ok(settings) => settings,
        Err(error) => {
            return SyntaxSnafu { path, message: error.to_string() }.fail();
        }
    };
    HostAddresses::from_settings(path, &settings)?;
    let problems = validate_settings(&settings);
    if problems.is_empty() { Ok(settings) } else { InvalidSnafu { path, problems }.fail() }
}

fn validate_settings(settings: &HostSettings) -> Vec<String> {
    let mut problems = Vec::new();
    let is_valid = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-');
    if settings.host.is_empty() || !settings.host.bytes().all(is_valid) {
        problems.push(format!(
            "host is `{}`: use lower case letters, digits and hyphens",
            settings.host
        ));
    }
    if settings.keys.peer_key.expose().len() < MIN_PEER_KEY_BYTES {
        problems.push(format!("keys.peer_key is short: use at least {MIN_PEER_KEY_BYTES} bytes"));
    }
    for operator in &settings.keys.operators {
        if operator.key_hash.len() != HASH_LENGTH {
            problems.push(format!(
                "operator `{}` has no valid key hash: use the output of `dillspool hash-key`",
                operator.name
            ));
        }
    }
    problems
}
