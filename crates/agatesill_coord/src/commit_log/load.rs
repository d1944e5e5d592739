//! Reads a log from the store and checks that nothing in it is torn, missing or foreign.

use std::collections::BTreeMap;

use agatesill_wire::prelude::*;
use serde::de::DeserializeOwned;

use super::pack::unpack;
use super::record::{Chunk, Record, SnapshotHead, checksum, decode};
use super::{Replay, SLOTS, SLOTS_PER_READ, chunk_key, head_key};
use crate::store::Store;

/// Times that a reading is repeated when it makes no sense: an owner that still writes can move
/// the log between two of the calls that one reading takes.
const READ_TRIES: usize = 3;

/// Position of a log as read.
#[derive(Debug, Default)]
pub struct Position {
    /// Highest epoch seen.
    pub epoch: u64,
    /// Newest record; 0 when there is none.
    pub last_seq: u64,
    /// Version of each slot; 0 when it was never written.
    pub slot_versions: Vec<u64>,
    /// Version of the snapshot's head; 0 when there is none.
    pub head_version: u64,
    /// The snapshot's head.
    pub head: Option<SnapshotHead>,
}

impl Position {
    /// Newest record that the snapshot covers.
    pub fn snapshot_seq(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.seq)
    }
}

/// Reads the log at `prefix`. [`ErrorKind::Protocol`] reports a record that is torn, missing or
/// foreign, by key; nothing of such a log is returned.
pub async fn load<S: DeserializeOwned, D: DeserializeOwned>(
    store: &Store,
    prefix: &str,
) -> Result<(Position, Replay<S, D>), Error> {
    let mut tries = 0;
    loop {
        tries += 1;
        match load_once(store, prefix).await {
            Err(error) if error.kind == ErrorKind::Protocol && tries < READ_TRIES => {
                log::warn!(event = "log_reread", prefix = prefix; "{error}");
            }
            outcome => return outcome,
        }
    }
}

async fn load_once<S: DeserializeOwned, D: DeserializeOwned>(
    store: &Store,
    prefix: &str,
) -> Result<(Position, Replay<S, D>), Error> {
    let (head, head_version) = read_head(store, prefix).await?;
    let snapshot = match &head {
        Some(head) => Some(read_snapshot(store, prefix, head).await?),
        None => None,
    };
    let (records, slot_versions) = read_slots(store, prefix).await?;
    let (_, head_version_after) = read_head(store, prefix).await?;
    if head_version_after != head_version {
        return Err(Error::new(ErrorKind::Protocol, format!("{prefix}: snapshot moved on")));
    }
    let snapshot_seq = head.as_ref().map_or(0, |head| head.seq);
    let last_seq = records.keys().next_back().copied().unwrap_or(0).max(snapshot_seq);
    complete(prefix, &records, last_seq)?;
    let epoch = records
        .values()
        .map(|record| record.epoch)
        .chain(head.as_ref().map(|head| head.epoch))
        .max()
        .unwrap_or(0);
    let mut deltas = Vec::new();
    for record in records.range(snapshot_seq + 1..).map(|(_, record)| record) {
        let batch: Vec<D> = unpack(prefix, &record.payload)?;
        deltas.extend(batch);
    }
    let position = Position { epoch, last_seq, slot_versions, head_version, head };
    Ok((position, Replay { snapshot, deltas }))
}

async fn read_head(store: &Store, prefix: &str) -> Result<(Option<SnapshotHead>, u64), Error> {
    match store.get(&head_key(prefix)).await? {
        Some(entry) => Ok((Some(SnapshotHead::open(prefix, &entry)?), entry.version)),
        None => Ok((None, 0)),
    }
}

async fn read_snapshot<S: DeserializeOwned>(
    store: &Store,
    prefix: &str,
    head: &SnapshotHead,
) -> Result<S, Error> {
    if head.chunks.is_empty() {
        return unpack(&head_key(prefix), &head.payload);
    }
    let mut payload = String::new();
    for (index, expected) in head.chunks.iter().enumerate() {
        let key = chunk_key(prefix, head.epoch, head.chunk_set, index);
        let missing = || Error::new(ErrorKind::Protocol, format!("{key}: chunk is missing"));
        let entry = store.get(&key).await?.ok_or_else(missing)?;
        let chunk: Chunk = decode(&key, &entry.value)?;
        if chunk.seq != head.seq || checksum(&[&chunk.piece]) != *expected {
            return Err(Error::new(ErrorKind::Protocol, format!("{key}: foreign or torn chunk")));
        }
        payload.push_str(&chunk.piece);
    }
    unpack(&head_key(prefix), &payload)
}

async fn read_slots(
    store: &Store,
    prefix: &str,
) -> Result<(BTreeMap<u64, Record>, Vec<u64>), Error> {
    let mut records = BTreeMap::new();
    let mut versions = vec![0; SLOTS as usize];
    for group in 0..SLOTS.div_ceil(SLOTS_PER_READ) {
        let folder = format!("{prefix}/log/");
        for entry in store.range(&format!("{folder}{group:03}")).await? {
            let record = Record::open(prefix, &entry)?;
            let slot = entry.key.strip_prefix(&folder).and_then(|slot| slot.parse().ok());
            if slot != Some(record.seq % SLOTS) {
                let what = format!("{}: holds record {} of another slot", entry.key, record.seq);
                return Err(Error::new(ErrorKind::Protocol, what));
            }
            versions[(record.seq % SLOTS) as usize] = entry.version;
            records.insert(record.seq, record);
        }
    }
    Ok((records, versions))
}

/// Guards against a record that vanished: slots are never deleted, so each has to hold the newest
/// record up to `last_seq` that belongs in it, and epochs never fall along the log. Without this a
/// deleted or restored slot would replay as a history with a hole.
fn complete(prefix: &str, records: &BTreeMap<u64, Record>, last_seq: u64) -> Result<(), Error> {
    let first = last_seq.saturating_sub(SLOTS) + 1;
    let mut epoch = 0;
    for seq in first..=last_seq {
        let Some(record) = records.get(&seq) else {
            let what = format!("{prefix}: record {seq} is missing");
            return Err(Error::new(ErrorKind::Protocol, what));
        };
        if record.epoch < epoch {
            let what = format!("{prefix}: record {seq} has epoch {} after {epoch}", record.epoch);
            return Err(Error::new(ErrorKind::Protocol, what));
        }
        epoch = record.epoch;
    }
    Ok(())
}
