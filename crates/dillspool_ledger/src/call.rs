//! Keys of unrepeatable calls.

use dillspool_schema::Name;
use sha2::{Digest, Sha256};

/// Prefix of all ledger rows.
pub(crate) const ROW_PREFIX: &str = "call/";

/// Names an unrepeatable call: a group and the caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey {
    row: Name,
}

impl CallKey {
    /// The key of a group's call; the caller's text is hashed, so that its length is bounded.
    pub fn new(group: &str, idempotency_key: &str) -> Self {
        let digest = hex::encode(Sha256::digest(idempotency_key.as_bytes()));
        Self { row: format!("{ROW_PREFIX}{group}/{digest}").into() }
    }

    /// Key of the call's row in the table.
    pub fn row(&self) -> &Name {
        &self.row
    }
}

/// A call as the ledger sees it.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// The key.
    pub key: CallKey,
    /// Digest of method, path and body, to tell a resend from another call with the same key.
    pub fingerprint: Name,
}

impl CallRequest {
    /// Digests a call.
    pub fn new(key: CallKey, method: &str, path: &str, body: &[u8]) -> Self {
        let mut digest = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            digest.update(part.len().to_be_bytes());
            digest.update(part);
        }
        Self { key, fingerprint: hex::encode(digest.finalize()).into() }
    }
}
