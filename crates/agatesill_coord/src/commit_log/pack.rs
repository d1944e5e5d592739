//! Payloads as they stand in the store: JSON, deflated, in base64.
//!
//! The store's bytes are the scarce ones. Deltas and ledgers repeat names and keys, and JSON within
//! JSON escapes every quote; `agatesill-bench scale` measured 314 bytes for a start and its end as
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

/// Longest JSON that a payload may hold: ten times the longest ledger of the target size.
pub const UNPACKED_BYTES: u64 = 64 << 20;

/// Packs a value.
pub fn pack<T: Serialize + ?Sized>(value: &T) -> Result<String, Error> {
    let wrong = |error: &dyn std::fmt::Display| Error::new(ErrorKind::Protocol, error.to_string());
    let json = serde_json::to_vec(value).map_err(|error| wrong(&error))?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json).map_err(|error| wrong(&error))?;
    let deflated = encoder.finish().map_err(|error| wrong(&error))?;
    Ok(STANDARD_NO_PAD.encode(deflated))
}

/// Unpacks a value; `key` names it in errors.
///
/// Guards against a damaged or hostile payload that inflates without end: what lies beyond the
/// limit is never read, so the JSON ends short and is refused.
pub fn unpack<T: DeserializeOwned>(key: &str, text: &str) -> Result<T, Error> {
    let wrong = |error: &dyn std::fmt::Display| {
        Error::new(ErrorKind::Protocol, format!("{key}: payload: {error}"))
    };
    let deflated = STANDARD_NO_PAD.decode(text).map_err(|error| wrong(&error))?;
    let mut json = Vec::new();
    DeflateDecoder::new(deflated.as_slice())
        .take(UNPACKED_BYTES)
        .read_to_end(&mut json)
        .map_err(|error| wrong(&error))?;
    serde_json::from_slice(&json).map_err(|error| wrong(&error))
}
