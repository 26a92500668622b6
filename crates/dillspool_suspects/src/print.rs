//! What makes two requests the same one.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of a print. Among a billion different requests two have the same one with a chance of some
/// 10^-21.
const PRINT_BYTES: usize = 16;

type Hasher = Hmac<Sha256>;

/// The fleet's key for prints: without it nobody can tell from a print whether a guessed body is the one
/// that was sent.
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
    /// A key; all hosts need the same one.
    pub fn new(key: &str) -> Self {
        // The library takes keys of any length and pads or hashes them.
        let keyed = Hasher::new_from_slice(key.as_bytes()).expect("a key of any length is taken");
        Self { keyed }
    }
}

impl Default for FingerprintKey {
    fn default() -> Self {
        Self::new("dillspool")
    }
}

/// What a print is made of.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    /// Who sent the request, as far as it says so: its workspace.
    pub caller: &'a str,
    /// Its host name, lower case.
    pub host: &'a str,
    /// Its path and query.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

/// Stands for a request's caller, host name, path and body.
///
/// Two copies of a request have the same print whatever their ids are; the body cannot be read from it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint([u8; PRINT_BYTES]);

impl RequestFingerprint {
    /// The print of a request.
    pub fn of(key: &FingerprintKey, parts: &FingerprintInput<'_>) -> Self {
        let mut hasher = key.keyed.clone();
        for part in [parts.caller.as_bytes(), parts.host.as_bytes(), parts.path.as_bytes()] {
            // The length keeps the end of one part apart from the start of the next.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        hasher.update(parts.body);
        let whole = hasher.finalize().into_bytes();
        let mut print = [0; PRINT_BYTES];
        print.copy_from_slice(&whole[..PRINT_BYTES]);
        Self(print)
    }
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

/// A text that is no print.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FingerprintError;

impl fmt::Display for FingerprintError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a print has {} hexadecimal digits", PRINT_BYTES * 2)
    }
}

impl std::error::Error for FingerprintError {}

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut print = [0; PRINT_BYTES];
        if text.len() != PRINT_BYTES * 2 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(FingerprintError);
        }
        for (byte, at) in print.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&text[at..at + 2], 16).map_err(|_error| FingerprintError)?;
        }
        Ok(Self(print))
    }
}
