//! Stored formats: records and snapshot manifests with a checksum each, and snapshot chunks.

use agatesill_policy::value_type;
use agatesill_wire::platform::Entry;
use agatesill_wire::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::Store;

value_type! {
    /// One record, as stored in its slot.
    pub struct Record {
        /// Sequence number; the first record has 1.
        pub seq: u64,
        /// Epoch of the owner that wrote it.
        pub epoch: u64,
        /// Unique per process and record, so that a writer recognises its own write.
        pub operation_id: String,
        /// Deltas as deflated JSON in base64.
        pub payload: String,
        /// CRC-32 of the log's prefix and all fields above.
        pub checksum: u32,
    }
}

value_type! {
    /// Manifest of a snapshot. It is written after the chunks, so that the chunks that it refers to
    /// exist.
    pub struct SnapshotManifest {
        /// Newest record that the snapshot covers.
        pub seq: u64,
        /// Epoch of the owner that wrote it.
        pub epoch: u64,
        /// Unique per process and snapshot.
        pub operation_id: String,
        /// Which of the writer's two chunk sets holds the snapshot, 0 or 1.
        pub chunk_set: u64,
        /// Checksums of the chunks in order; empty when the payload is inline.
        pub chunks: Vec<u32>,
        /// State as deflated JSON in base64, if short enough to be inline; otherwise empty.
        pub payload: String,
        /// CRC-32 of the log's prefix and all fields above.
        pub checksum: u32,
    }
}

value_type! {
    /// One piece of a snapshot that is too long to be inline.
    pub struct Chunk {
        /// Newest record that the snapshot covers.
        pub seq: u64,
        /// A substring of the encoded state.
        pub piece: String,
    }
}

impl Record {
    /// Creates a record of the log at `prefix`, with its checksum.
    pub fn new(prefix: &str, seq: u64, epoch: u64, operation_id: String, payload: String) -> Self {
        let mut record = Self { seq, epoch, operation_id, payload, checksum: 0 };
        record.checksum = record.compute_checksum(prefix);
        record
    }

    /// Decodes a record and verifies that it is intact and belongs to `prefix`.
    pub fn parse(prefix: &str, entry: &Entry) -> Result<Self, Error> {
        let record: Self = decode(&entry.key, &entry.value)?;
        verify_checksum(&entry.key, record.compute_checksum(prefix), record.checksum)?;
        Ok(record)
    }

    fn compute_checksum(&self, prefix: &str) -> u32 {
        let seq = self.seq.to_string();
        let epoch = self.epoch.to_string();
        checksum(&[prefix, &seq, &epoch, &self.operation_id, &self.payload])
    }
}

impl SnapshotManifest {
    /// Sets the checksum for the log at `prefix`.
    pub fn with_checksum(mut self, prefix: &str) -> Self {
        self.checksum = self.compute_checksum(prefix);
        self
    }

    /// Decodes a manifest and verifies that it is intact and belongs to `prefix`.
    pub fn parse(prefix: &str, entry: &Entry) -> Result<Self, Error> {
        let manifest: Self = decode(&entry.key, &entry.value)?;
        verify_checksum(&entry.key, manifest.compute_checksum(prefix), manifest.checksum)?;
        Ok(manifest)
    }

    fn compute_checksum(&self, prefix: &str) -> u32 {
        let numbers = format!("{} {} {} {:?}", self.seq, self.epoch, self.chunk_set, self.chunks);
        checksum(&[prefix, &numbers, &self.operation_id, &self.payload])
    }
}

/// Outcome of a compare-and-swap.
#[derive(Debug)]
pub enum CasOutcome {
    /// The value is stored; the version of the key.
    Written(u64),
    /// The key has another value, or is absent.
    Conflict(Option<Entry>),
}

/// Writes `value` if `key` has version `expect_version`; safe to retry.
///
/// After a lost answer, the retry finds the key changed and would report a conflict with the
/// writer's own write. Values carry an operation id, so that an equal value is the writer's own.
pub async fn idempotent_cas(
    store: &Store,
    key: &str,
    expect_version: u64,
    value: &str,
) -> Result<CasOutcome, Error> {
    let reply = store.cas(key, expect_version, value.to_owned(), 0).await?;
    if reply.applied {
        let version = reply.entries.first().map_or(reply.revision, |entry| entry.version);
        return Ok(CasOutcome::Written(version));
    }
    let conflicting = reply.entries.into_iter().find(|entry| entry.key == key);
    let found = match conflicting {
        Some(entry) => Some(entry),
        None => store.get(key).await?,
    };
    match found {
        Some(entry) if entry.value == value => Ok(CasOutcome::Written(entry.version)),
        found => Ok(CasOutcome::Conflict(found)),
    }
}

/// Encodes `value` as JSON.
pub fn encode<T: Serialize + ?Sized>(value: &T) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))
}

/// Decodes the JSON stored at `key`; errors name the key.
pub fn decode<T: DeserializeOwned>(key: &str, text: &str) -> Result<T, Error> {
    serde_json::from_str(text)
        .map_err(|error| Error::new(ErrorKind::Protocol, format!("{key}: {error}")))
}

/// CRC-32 of `parts`, each followed by a zero byte.
pub fn checksum(parts: &[&str]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.finalize()
}

fn verify_checksum(key: &str, found: u32, expected: u32) -> Result<(), Error> {
    if found == expected {
        return Ok(());
    }
    Err(Error::new(ErrorKind::Protocol, format!("{key}: checksum does not match")))
}
