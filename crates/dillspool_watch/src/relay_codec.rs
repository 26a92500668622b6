//! Encodes relay messages, with or without compression.
//!
//! The rows of a table are much alike and compress well; a host with a slow link would otherwise
//! send whole tables for seconds.

use std::io::{Read, Write};

use dillspool_schema::relay::RelayMessage;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use snafu::Snafu;

/// Maximum size of a message, also after decompression; several times a whole configuration.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Path that a host requests if it accepts compressed messages; hosts of earlier versions request
/// another.
const COMPRESSED_PATH: &str = "/packed";
/// Path prefix before the seed of a host that holds subsets of large tables.
const SUBSET_PATH: &str = "/packed/part/";
/// First byte of a compressed message. An uncompressed one starts with the CBOR header of a map,
/// which is never this byte.
const COMPRESSED_TAG: u8 = 0;
/// Minimum size of a message for compression to pay off, which is a few rows.
const MIN_COMPRESSED_BYTES: usize = 1024;

/// What a client asks of a relay, encoded in the request path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RelayOptions {
    /// Whether the client accepts compressed messages.
    pub(crate) is_compressed: bool,
    /// The seed that selects the client's rows; `None` for whole tables.
    pub(crate) subset_seed: Option<u64>,
}

impl RelayOptions {
    pub(crate) fn from_path(path: &str) -> Self {
        let seed = path.strip_prefix(SUBSET_PATH);
        let subset_seed = seed.and_then(|seed| u64::from_str_radix(seed, 16).ok());
        Self { is_compressed: subset_seed.is_some() || path == COMPRESSED_PATH, subset_seed }
    }

    pub(crate) fn path(self) -> String {
        match self.subset_seed {
            Some(seed) => format!("{SUBSET_PATH}{seed:016x}"),
            None => COMPRESSED_PATH.to_owned(),
        }
    }
}

/// An error while encoding or decoding a message.
#[derive(Debug, Snafu)]
#[snafu(display("malformed relay message: {reason}; all hosts must run one version"))]
pub(crate) struct CodecError {
    reason: String,
}

fn malformed(error: impl std::fmt::Display) -> CodecError {
    CodecError { reason: error.to_string() }
}

/// Encodes a message, compressed if the client accepts that and the message is large enough.
pub(crate) fn encode(message: &RelayMessage, is_compressed: bool) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut bytes).map_err(malformed)?;
    if !is_compressed || bytes.len() < MIN_COMPRESSED_BYTES {
        return Ok(bytes);
    }
    let packed = vec![COMPRESSED_TAG];
    let mut encoder = DeflateEncoder::new(packed, Compression::fast());
    encoder.write_all(&bytes).map_err(malformed)?;
    encoder.finish().map_err(malformed)
}

/// Decodes a message, compressed or not.
pub(crate) fn decode(bytes: &[u8]) -> Result<RelayMessage, CodecError> {
    let Some((&COMPRESSED_TAG, packed)) = bytes.split_first() else {
        return ciborium::from_reader(bytes).map_err(malformed);
    };
    // Bounds decompression, since a few bytes may expand to any size.
    let limit = u64::try_from(MAX_MESSAGE_BYTES).unwrap_or(u64::MAX);
    ciborium::from_reader(DeflateDecoder::new(packed).take(limit)).map_err(malformed)
}
