//! The settings file of one host.

use std::net::SocketAddr;
use std::path::Path;

use dillspool_keys::HASH_LENGTH;
use dillspool_schema::settings::HostSettings;
use snafu::ResultExt;

use crate::ConfigError;
use crate::error::{InvalidSnafu, ReadSnafu, SyntaxSnafu};

/// Shortest peer key that is taken, in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;

/// The addresses of a settings file, parsed.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
}

impl HostAddresses {
    /// Parses all addresses of the settings.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Invalid`] naming each address that is none.
    pub fn from_settings(path: &str, settings: &HostSettings) -> Result<Self, ConfigError> {
        let mut problems = Vec::new();
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut parse = |field: &str, text: &str| {
            text.parse().unwrap_or_else(|_ignored| {
                problems.push(format!("{field} is `{text}`: give IP number and port"));
                unset
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

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`ConfigError`] with the remedy.
pub fn load_settings(path: &Path) -> Result<HostSettings, ConfigError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: &shown })?;
    parse_settings(&shown, &text)
}

/// Parses and checks the text of a settings file; `path` is only named in messages.
///
/// # Errors
///
/// [`ConfigError`] with the remedy.
pub fn parse_settings(path: &str, text: &str) -> Result<HostSettings, ConfigError> {
    let settings = match toml::from_str::<HostSettings>(text) {
        Ok(settings) => settings,
        Err(error) => {
            return SyntaxSnafu { path, message: error.to_string() }.fail();
        }
    };
    HostAddresses::from_settings(path, &settings)?;
    let problems = settings_problems(&settings);
    if problems.is_empty() { Ok(settings) } else { InvalidSnafu { path, problems }.fail() }
}

fn settings_problems(settings: &HostSettings) -> Vec<String> {
    let mut problems = Vec::new();
    let valid = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-');
    if settings.host.is_empty() || !settings.host.bytes().all(valid) {
        problems.push(format!(
            "host is `{}`: use lower case letters, digits and hyphens",
            settings.host
        ));
    }
    if settings.keys.peer_key.expose().len() < MIN_PEER_KEY_BYTES {
        problems.push(format!("keys.peer_key is short: give at least {MIN_PEER_KEY_BYTES} bytes"));
    }
    for operator in &settings.keys.operators {
        if operator.key_hash.len() != HASH_LENGTH {
            problems.push(format!(
                "operator `{}` has no key hash: take the output of `dillspool hash-key`",
                operator.name
            ));
        }
    }
    problems
}
