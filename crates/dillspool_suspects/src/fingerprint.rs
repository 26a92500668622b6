//! Request fingerprints, which identify copies of the same request.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of a fingerprint in bytes. Among a billion different requests, the probability of a
/// collision is about 10^-21.
const FINGERPRINT_BYTES: usize = 16;

type Hasher = Hmac<Sha256>;

/// First bytes of the fingerprints of prompt parts; no request has them. The kind is part of the
/// value, so that hosts of earlier builds store and relay it like any other fingerprint.
const PART_PREFIX: [u8; 4] = *b"part";

/// Secret key for fingerprints. Without it, nobody can use a fingerprint to test whether a guessed
/// body is the one that was sent.
#[derive(Clone)]
pub struct FingerprintKey {
    keyed: Hasher,
}

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PrintKey")
    }
}

impl FingerprintKey {
    /// Creates a key; all hosts must use the same one.
    pub fn new(key: &str) -> Self {
        // HMAC accepts keys of any length and pads or hashes them.
        let keyed =
            Hasher::new_from_slice(key.as_bytes()).expect("HMAC accepts a key of any length");
        Self { keyed }
    }
}

impl Default for FingerprintKey {
    fn default() -> Self {
        Self::new("dillspool")
    }
}

/// The parts of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    /// The authenticated sender: its workspace.
    pub caller: &'a str,
    /// Host name in lower case.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Keyed hash of a request's caller, host name, path and body, or of the ID of a prompt part.
///
/// All copies of a request have the same fingerprint, whatever their IDs, and so have all
/// occurrences of a part; the body or ID cannot be recovered from it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(key: &FingerprintKey, parts: &FingerprintInput<'_>) -> Self {
        let mut hasher = key.keyed.clone();
        for part in [parts.caller.as_bytes(), parts.host.as_bytes(), parts.path.as_bytes()] {
            // The length prefix keeps adjacent parts apart.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        hasher.update(parts.body);
        let mut fingerprint = first_bytes(hasher);
        if fingerprint.starts_with(&PART_PREFIX) {
            fingerprint[0] = !fingerprint[0];
        }
        Self(fingerprint)
    }

    /// Computes the fingerprint of a prompt part from its ID.
    pub fn of_part(key: &FingerprintKey, part_id: &str) -> Self {
        let mut hasher = key.keyed.clone();
        hasher.update(part_id.as_bytes());
        let mut fingerprint = first_bytes(hasher);
        fingerprint[..PART_PREFIX.len()].copy_from_slice(&PART_PREFIX);
        Self(fingerprint)
    }

    /// Whether it stands for a prompt part rather than for a request.
    pub fn is_part(&self) -> bool {
        self.0.starts_with(&PART_PREFIX)
    }
}

fn first_bytes(hasher: Hasher) -> [u8; FINGERPRINT_BYTES] {
    let digest = hasher.finalize().into_bytes();
    let mut first = [0; FINGERPRINT_BYTES];
    first.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
    first
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The text is not a valid fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FingerprintError;

impl fmt::Display for FingerprintError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a request fingerprint has {} hexadecimal digits", FINGERPRINT_BYTES * 2)
    }
}

impl std::error::Error for FingerprintError {}

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        if text.len() != FINGERPRINT_BYTES * 2 || !text.bytes().all(|byte| byte.is_ascii_hexdigit())
        {
            return Err(FingerprintError);
        }
        for (byte, at) in fingerprint.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&text[at..at + 2], 16).map_err(|_error| FingerprintError)?;
        }
        Ok(Self(fingerprint))
    }
}

/// Fingerprints as a log field.
pub fn join_fingerprints(fingerprints: &[RequestFingerprint]) -> String {
    let shown = fingerprints.iter().map(ToString::to_string);
    shown.collect::<Vec<_>>().join(",")
}
