//! Ids of placements and of the engine streams they own.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Separates the parts of a stream id in text.
const SEPARATOR: char = '.';

/// Names one attempt at one answer, with the host that owns it.
///
/// The incarnation tells a restarted host from its predecessor, so that a late cancel can never
/// hit a newer stream: no id is ever used twice. See `docs/design/orphans.md`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamId {
    /// Host that owns the stream.
    pub host: Name,
    /// Start of that host's process, in milliseconds of Unix time.
    pub incarnation: u64,
    /// Count within the process.
    pub sequence: u64,
}

/// A stream id that does not have three parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseStreamIdError {
    text: String,
}

impl fmt::Display for ParseStreamIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is no stream id; expected HOST.INCARNATION.SEQUENCE", self.text)
    }
}

impl std::error::Error for ParseStreamIdError {}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SEPARATOR}{}{SEPARATOR}{}", self.host, self.incarnation, self.sequence)
    }
}

impl FromStr for StreamId {
    type Err = ParseStreamIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseStreamIdError { text: text.to_owned() };
        let mut parts = text.split(SEPARATOR);
        let (Some(host), Some(incarnation), Some(sequence), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(error());
        };
        if host.is_empty() {
            return Err(error());
        }
        Ok(Self {
            host: host.into(),
            incarnation: incarnation.parse().map_err(|_ignored| error())?,
            sequence: sequence.parse().map_err(|_ignored| error())?,
        })
    }
}

impl Serialize for StreamId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for StreamId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
