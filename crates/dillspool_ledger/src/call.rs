//! Keys and requests of non-idempotent calls.

use dillspool_schema::Name;
use sha2::{Digest, Sha256};

/// Prefix of the keys of all ledger rows.
pub(crate) const ROW_PREFIX: &str = "call/";

/// Identifies a non-idempotent call by its group and the caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey {
    row: Name,
}

impl CallKey {
    /// Builds the key of a group's call. The caller's key is hashed to bound its length.
    pub fn new(group: &str, idempotency_key: &str) -> Self {
        let digest = hex::encode(Sha256::digest(idempotency_key.as_bytes()));
        Self { row: format!("{ROW_PREFIX}{group}/{digest}").into() }
    }

    /// Key of the call's row in the table.
    pub fn row_key(&self) -> &Name {
        &self.row
    }
}

/// The identity of a call, as the ledger compares it.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Key of the call.
    pub key: CallKey,
    /// Digest of method, path and body. It tells a client retry from a different call with the same
    /// key.
    pub fingerprint: Name,
}

impl CallRequest {
    /// Computes the fingerprint of a call.
    pub fn new(key: CallKey, method: &str, path: &str, body: &[u8]) -> Self {
        let mut digest = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            digest.update(part.len().to_be_bytes());
            digest.update(part);
        }
        Self { key, fingerprint: hex::encode(digest.finalize()).into() }
    }
}
