//! Keys of callers and operators, stored only as hashes.
//!
//! A key is hashed as soon as it is read, and only the hash is kept, compared and looked up. No log
//! line, error or dump can therefore contain a key, and lookup times reveal nothing about one. Both
//! entry points of dillspool, the `OpenAI` API and the prepared platform, use these types.

use std::fmt;

use dillspool_schema::Name;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a key hash in hexadecimal digits, as written in configuration files.
pub const HASH_LENGTH: usize = 64;
/// Length of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// Hashes a key and returns the hexadecimal form used in configuration and settings files.
pub fn hash_key(key: &str) -> Name {
    hex::encode(KeyDigest::from_key(key).0).into()
}

/// The SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn from_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses the hexadecimal form; `None` if it is malformed.
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

/// A key that a caller presented, held as its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerKey {
    digest: KeyDigest,
}

impl CallerKey {
    /// Hashes the text of a key; `None` if it is empty.
    pub fn new(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self { digest: KeyDigest::from_key(text) })
    }

    /// Extracts the key from the value of an `Authorization: Bearer` header; `None` if there is none.
    pub fn from_bearer(value: &str) -> Option<Self> {
        Self::new(value.strip_prefix("Bearer ")?.trim())
    }

    /// The digest that lookups use.
    pub fn digest(&self) -> &KeyDigest {
        &self.digest
    }

    /// Compares the key with a hexadecimal hash, in constant time.
    pub fn matches(&self, stored: &str) -> bool {
        KeyDigest::from_hex(stored).is_some_and(|stored| self.digest.0.ct_eq(&stored.0).into())
    }
}

/// The caller key that a request contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request contains no key.
    #[default]
    Missing,
    /// The request contains several keys, or a value that isn't text, so the key is ambiguous.
    Malformed,
    /// The request contains exactly one key.
    One(CallerKey),
}
