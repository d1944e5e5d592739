//! Reads a log from the store and verifies that no record or chunk is corrupted, missing or from
//! another log.

use std::collections::BTreeMap;

use agatesill_wire::prelude::*;
use serde::de::DeserializeOwned;

use super::pack::unpack;
use super::record::{Chunk, Record, SnapshotManifest, checksum, decode};
use super::{Replay, SLOTS, SLOTS_PER_READ, chunk_key, manifest_key};
use crate::store::Store;

/// Maximum number of attempts to read a log that appears inconsistent. One read takes several
/// calls, and an owner that still writes can change the log in between.
const MAX_READ_ATTEMPTS: usize = 3;

/// Position of a log, as read from the store.
#[derive(Debug, Default)]
pub struct LogPosition {
    /// Highest epoch in the log.
    pub epoch: u64,
    /// Sequence number of the newest record; 0 when there is none.
    pub last_seq: u64,
    /// Version of the key of each slot; 0 when the slot was never written.
    pub slot_versions: Vec<u64>,
    /// Version of the manifest's key; 0 when there is no snapshot.
    pub manifest_version: u64,
    /// Manifest of the newest snapshot.
    pub manifest: Option<SnapshotManifest>,
}

impl LogPosition {
    /// Sequence number of the newest record that the snapshot covers; 0 without a snapshot.
    pub fn snapshot_seq(&self) -> u64 {
        self.manifest.as_ref().map_or(0, |manifest| manifest.seq)
    }
}

/// Reads the log at `prefix`. [`ErrorKind::Protocol`] reports the key of a record that is
/// corrupted, missing or from another log; no part of such a log is returned.
pub async fn load<S: DeserializeOwned, D: DeserializeOwned>(
    store: &Store,
    prefix: &str,
) -> Result<(LogPosition, Replay<S, D>), Error> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match load_once(store, prefix).await {
            Err(error) if error.kind == ErrorKind::Protocol && attempts < MAX_READ_ATTEMPTS => {
                log::warn!(event = "log_reread", prefix = prefix; "{error}");
            }
            outcome => return outcome,
        }
    }
}

async fn load_once<S: DeserializeOwned, D: DeserializeOwned>(
    store: &Store,
    prefix: &str,
) -> Result<(LogPosition, Replay<S, D>), Error> {
    let (manifest, manifest_version) = read_manifest(store, prefix).await?;
    let snapshot = match &manifest {
        Some(manifest) => Some(read_snapshot(store, prefix, manifest).await?),
        None => None,
    };
    let (records, slot_versions) = read_slots(store, prefix).await?;
    let (_, manifest_version_after) = read_manifest(store, prefix).await?;
    if manifest_version_after != manifest_version {
        return Err(Error::new(
            ErrorKind::Protocol,
            format!("{prefix}: the snapshot was replaced during the read"),
        ));
    }
    let snapshot_seq = manifest.as_ref().map_or(0, |manifest| manifest.seq);
    let last_seq = records.keys().next_back().copied().unwrap_or(0).max(snapshot_seq);
    check_complete(prefix, &records, last_seq)?;
    let epoch = records
        .values()
        .map(|record| record.epoch)
        .chain(manifest.as_ref().map(|manifest| manifest.epoch))
        .max()
        .unwrap_or(0);
    let mut deltas = Vec::new();
    for record in records.range(snapshot_seq + 1..).map(|(_, record)| record) {
        let batch: Vec<D> = unpack(prefix, &record.payload)?;
        deltas.extend(batch);
    }
    let position = LogPosition { epoch, last_seq, slot_versions, manifest_version, manifest };
    Ok((position, Replay { snapshot, deltas }))
}

async fn read_manifest(
    store: &Store,
    prefix: &str,
) -> Result<(Option<SnapshotManifest>, u64), Error> {
    match store.get(&manifest_key(prefix)).await? {
        Some(entry) => Ok((Some(SnapshotManifest::parse(prefix, &entry)?), entry.version)),
        None => Ok((None, 0)),
    }
}

async fn read_snapshot<S: DeserializeOwned>(
    store: &Store,
    prefix: &str,
    manifest: &SnapshotManifest,
) -> Result<S, Error> {
    if manifest.chunks.is_empty() {
        return unpack(&manifest_key(prefix), &manifest.payload);
    }
    let mut payload = String::new();
    for (index, expected) in manifest.chunks.iter().enumerate() {
        let key = chunk_key(prefix, manifest.epoch, manifest.chunk_set, index);
        let missing = || Error::new(ErrorKind::Protocol, format!("{key}: chunk is missing"));
        let entry = store.get(&key).await?.ok_or_else(missing)?;
        let chunk: Chunk = decode(&key, &entry.value)?;
        if chunk.seq != manifest.seq || checksum(&[&chunk.piece]) != *expected {
            return Err(Error::new(
                ErrorKind::Protocol,
                format!("{key}: the chunk is corrupted or belongs to another snapshot"),
            ));
        }
        payload.push_str(&chunk.piece);
    }
    unpack(&manifest_key(prefix), &payload)
}

async fn read_slots(
    store: &Store,
    prefix: &str,
) -> Result<(BTreeMap<u64, Record>, Vec<u64>), Error> {
    let mut records = BTreeMap::new();
    let mut versions = vec![0; SLOTS as usize];
    for group in 0..SLOTS.div_ceil(SLOTS_PER_READ) {
        let slots_prefix = format!("{prefix}/log/");
        for entry in store.range(&format!("{slots_prefix}{group:03}")).await? {
            let record = Record::parse(prefix, &entry)?;
            let slot = entry.key.strip_prefix(&slots_prefix).and_then(|slot| slot.parse().ok());
            if slot != Some(record.seq % SLOTS) {
                let detail =
                    format!("{}: record {} belongs in another slot", entry.key, record.seq);
                return Err(Error::new(ErrorKind::Protocol, detail));
            }
            versions[(record.seq % SLOTS) as usize] = entry.version;
            records.insert(record.seq, record);
        }
    }
    Ok((records, versions))
}

/// Verifies that no record is missing in the lap of the ring that ends at `last_seq`. Slots are
/// never deleted, so each slot must hold the newest record that belongs in it, and epochs never
/// decrease along the log. Without this check, a deleted or restored slot would be replayed as a
/// history with a gap.
fn check_complete(
    prefix: &str,
    records: &BTreeMap<u64, Record>,
    last_seq: u64,
) -> Result<(), Error> {
    let first = last_seq.saturating_sub(SLOTS) + 1;
    let mut epoch = 0;
    for seq in first..=last_seq {
        let Some(record) = records.get(&seq) else {
            let detail = format!("{prefix}: record {seq} is missing");
            return Err(Error::new(ErrorKind::Protocol, detail));
        };
        if record.epoch < epoch {
            let detail = format!("{prefix}: record {seq} has epoch {} after {epoch}", record.epoch);
            return Err(Error::new(ErrorKind::Protocol, detail));
        }
        epoch = record.epoch;
    }
    Ok(())
}
