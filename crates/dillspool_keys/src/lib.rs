//! Keys of callers and operators, known by their hashes alone.
//!
//! A key is hashed as soon as it is read, and only the hash is kept, compared and looked up: no log
//! line, error or dump can show a key, and the time of a look-up tells nothing of one. Both ways
//! into dillspool, the `OpenAI` forms and the prepared platform, use these types.

use std::fmt;

use dillspool_schema::Name;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a hash in hexadecimal, as configuration files hold it.
pub const HASH_LENGTH: usize = 64;
/// Bytes of a SHA-256.
const DIGEST_BYTES: usize = 32;

/// The hash of a key, in hexadecimal, as configuration and settings hold it.
pub fn hash_key(key: &str) -> Name {
    hex::encode(KeyDigest::from_key(key).0).into()
}

/// The SHA-256 of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key's text.
    pub fn from_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Reads the hexadecimal form; `None` if it is none.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut digest = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut digest).ok()?;
        Some(Self(digest))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(redacted)")
    }
}

/// A key as a caller presented it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerKey {
    digest: KeyDigest,
}

impl CallerKey {
    /// Takes the key from its text; `None` if it is empty.
    pub fn new(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self { digest: KeyDigest::from_key(text) })
    }

    /// Takes the key from an `Authorization: Bearer` value.
    pub fn from_bearer(value: &str) -> Option<Self> {
        Self::new(value.strip_prefix("Bearer ")?.trim())
    }

    /// The hash by which the key is looked up.
    pub fn digest(&self) -> &KeyDigest {
        &self.digest
    }

    /// Compares with a hash in hexadecimal, in constant time.
    pub fn matches(&self, stored: &str) -> bool {
        KeyDigest::from_hex(stored).is_some_and(|stored| self.digest.0.ct_eq(&stored.0).into())
    }
}

/// What a request says of its caller's key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// It names none.
    #[default]
    Missing,
    /// It names several, or something that is no text; which one holds cannot be told.
    Malformed,
    /// It names one.
    One(CallerKey),
}
