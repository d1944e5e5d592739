//! Encoding of stored payloads: deflated JSON in base64.
//!
//! Bytes written to the store are the scarce resource. Deltas and ledgers repeat names and keys,
//! and JSON nested in JSON escapes every quote: the start and the end of a task take 314 bytes as
//! plain JSON.

use std::io::{Read, Write};

use agatesill_wire::prelude::*;
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of the JSON in a payload: ten times the largest ledger at the target size.
pub const MAX_UNPACKED_BYTES: u64 = 64 << 20;

/// Maximum size of the payload of `json_bytes` of JSON, apart from a few bytes for each 30 kB: deflate
/// stores incompressible blocks as they are, and base64 encodes three bytes in four characters.
pub fn max_packed_bytes(json_bytes: usize) -> usize {
    json_bytes.div_ceil(3) * 4
}

/// Encodes `value` as a payload.
pub fn pack<T: Serialize + ?Sized>(value: &T) -> Result<String, Error> {
    let protocol_error =
        |error: &dyn std::fmt::Display| Error::new(ErrorKind::Protocol, error.to_string());
    let json = serde_json::to_vec(value).map_err(|error| protocol_error(&error))?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json).map_err(|error| protocol_error(&error))?;
    let deflated = encoder.finish().map_err(|error| protocol_error(&error))?;
    Ok(STANDARD_NO_PAD.encode(deflated))
}

/// Decodes a payload; errors name `key`.
///
/// A damaged or hostile payload could inflate without bound. Bytes beyond
/// [`MAX_UNPACKED_BYTES`] are never read, so that the truncated JSON fails to parse.
pub fn unpack<T: DeserializeOwned>(key: &str, payload: &str) -> Result<T, Error> {
    let protocol_error = |error: &dyn std::fmt::Display| {
        Error::new(ErrorKind::Protocol, format!("{key}: payload: {error}"))
    };
    let deflated = STANDARD_NO_PAD.decode(payload).map_err(|error| protocol_error(&error))?;
    let mut json = Vec::new();
    DeflateDecoder::new(deflated.as_slice())
        .take(MAX_UNPACKED_BYTES)
        .read_to_end(&mut json)
        .map_err(|error| protocol_error(&error))?;
    serde_json::from_slice(&json).map_err(|error| protocol_error(&error))
}
