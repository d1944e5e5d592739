//! A log of deltas with snapshots, written by one owner at a time and fenced by epochs.
//!
//! Records stand in a ring of keys `PREFIX/log/SLOT`; record number `seq` goes to slot
//! `seq % SLOTS` by compare-and-swap on the version that the slot had one lap earlier. A successor
//! appends a takeover record with a higher epoch before it acts. A stale owner's next write then
//! meets a slot of another version and fails, however long it was paused: slots are never deleted,
//! so "absent" cannot come back.

use std::collections::BTreeMap;

use agatesill_policy::value_type;
use agatesill_wire::platform::{Entry, StoreCall};
use agatesill_wire::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::Store;

/// Slots of the ring; a snapshot must cover a record before its slot is used again.
pub const SLOTS: u64 = 64;

/// Records after which a snapshot is due.
pub const SNAPSHOT_EVERY: u64 = 32;

value_type! {
    /// One record as it stands in the store.
    struct Record {
        seq: u64,
        epoch: u64,
        operation_id: String,
        /// Deltas as JSON; checked by `checksum`.
        payload: String,
        checksum: u32,
    }
}

value_type! {
    /// A snapshot as it stands in the store.
    struct Snapshot {
        seq: u64,
        epoch: u64,
        payload: String,
        checksum: u32,
    }
}

/// What a takeover read.
#[derive(Debug)]
pub struct Replay<S, D> {
    /// The newest snapshot, if there is one.
    pub snapshot: Option<S>,
    /// Deltas after it, in order.
    pub deltas: Vec<D>,
}

/// The owner's end of a log.
#[derive(Debug)]
pub struct CommitLog {
    store: Store,
    prefix: String,
    instance: String,
    epoch: u64,
    next_seq: u64,
    snapshot_seq: u64,
    snapshot_version: u64,
    slot_versions: BTreeMap<u64, u64>,
}

impl CommitLog {
    /// Reads the log, appends a takeover record and returns the log with what it held.
    pub async fn take_over<S: DeserializeOwned, D: DeserializeOwned + Serialize>(
        store: Store,
        prefix: &str,
        instance: &str,
    ) -> Result<(Self, Replay<S, D>), Error> {
        let mut log = Self {
            store,
            prefix: prefix.to_owned(),
            instance: instance.to_owned(),
            epoch: 0,
            next_seq: 1,
            snapshot_seq: 0,
            snapshot_version: 0,
            slot_versions: BTreeMap::new(),
        };
        let replay = log.load().await?;
        log.epoch += 1;
        log.append::<D>(&[]).await?;
        Ok((log, replay))
    }

    /// The owner's epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether a snapshot is due.
    pub fn snapshot_due(&self) -> bool {
        self.next_seq - 1 - self.snapshot_seq >= SNAPSHOT_EVERY
    }

    /// Appends one record with `deltas`. [`ErrorKind::Conflict`] means that another owner has
    /// taken over; this one must stop acting.
    pub async fn append<D: Serialize>(&mut self, deltas: &[D]) -> Result<(), Error> {
        let payload = encode(deltas)?;
        let record = Record {
            seq: self.next_seq,
            epoch: self.epoch,
            operation_id: format!("{}-{}-{}", self.instance, self.epoch, self.next_seq),
            checksum: crc32fast::hash(payload.as_bytes()),
            payload,
        };
        let slot = record.seq % SLOTS;
        let expect_version = self.slot_versions.get(&slot).copied().unwrap_or(0);
        let key = format!("{}/log/{slot:04}", self.prefix);
        let reply = self.store.cas(&key, expect_version, encode(&record)?, 0).await?;
        let version = if reply.applied {
            reply.entries.first().map_or(reply.revision, |entry| entry.version)
        } else {
            self.own_write(&reply.entries, &record)?
        };
        self.slot_versions.insert(slot, version);
        self.next_seq += 1;
        Ok(())
    }

    /// Replaces the snapshot by `state`, which covers all records appended so far.
    pub async fn snapshot<S: Serialize>(&mut self, state: &S) -> Result<(), Error> {
        let payload = encode(state)?;
        let seq = self.next_seq - 1;
        let checksum = crc32fast::hash(payload.as_bytes());
        let value = encode(&Snapshot { seq, epoch: self.epoch, payload, checksum })?;
        let key = format!("{}/snapshot", self.prefix);
        let reply = self.store.cas(&key, self.snapshot_version, value, 0).await?;
        let version = reply.entries.first().map_or(0, |entry| entry.version);
        if !reply.applied {
            // An older owner's late snapshot stands in the way; the next try replaces it.
            self.snapshot_version = version;
            return Err(Error::new(
                ErrorKind::Conflict,
                format!("{key}: written by another owner"),
            ));
        }
        self.snapshot_version = version;
        self.snapshot_seq = seq;
        Ok(())
    }

    /// Guards against a lost answer: the retry meets its own record, recognised by operation id.
    fn own_write(&self, entries: &[Entry], record: &Record) -> Result<u64, Error> {
        entries
            .iter()
            .find_map(|entry| {
                let found: Record = serde_json::from_str(&entry.value).ok()?;
                (found == *record).then_some(entry.version)
            })
            .ok_or_else(|| {
                let what = format!("{}: another owner wrote record {}", self.prefix, record.seq);
                Error::new(ErrorKind::Conflict, what)
            })
    }

    async fn load<S: DeserializeOwned, D: DeserializeOwned>(
        &mut self,
    ) -> Result<Replay<S, D>, Error> {
        let prefix = format!("{}/", self.prefix);
        let reply = self.store.call(StoreCall::Range { prefix }).await?;
        let mut snapshot = None;
        let mut records = BTreeMap::new();
        for entry in &reply.entries {
            if entry.key.ends_with("/snapshot") {
                let found: Snapshot = decode(&entry.key, &entry.value)?;
                check(&entry.key, &found.payload, found.checksum)?;
                self.snapshot_seq = found.seq;
                self.snapshot_version = entry.version;
                self.epoch = self.epoch.max(found.epoch);
                snapshot = Some(decode(&entry.key, &found.payload)?);
            } else {
                let found: Record = decode(&entry.key, &entry.value)?;
                check(&entry.key, &found.payload, found.checksum)?;
                self.slot_versions.insert(found.seq % SLOTS, entry.version);
                records.insert(found.seq, found);
            }
        }
        let deltas = self.replay(records)?;
        Ok(Replay { snapshot, deltas })
    }

    fn replay<D: DeserializeOwned>(
        &mut self,
        records: BTreeMap<u64, Record>,
    ) -> Result<Vec<D>, Error> {
        let mut deltas = Vec::new();
        self.next_seq = self.snapshot_seq + 1;
        for (seq, record) in records.range(self.next_seq..) {
            if *seq != self.next_seq {
                let what = format!("{}: record {} is missing", self.prefix, self.next_seq);
                return Err(Error::new(ErrorKind::Protocol, what));
            }
            self.epoch = self.epoch.max(record.epoch);
            let batch: Vec<D> = decode(&self.prefix, &record.payload)?;
            deltas.extend(batch);
            self.next_seq += 1;
        }
        Ok(deltas)
    }
}

fn encode<T: Serialize + ?Sized>(value: &T) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))
}

fn decode<T: DeserializeOwned>(key: &str, text: &str) -> Result<T, Error> {
    serde_json::from_str(text)
        .map_err(|error| Error::new(ErrorKind::Protocol, format!("{key}: {error}")))
}

fn check(key: &str, payload: &str, checksum: u32) -> Result<(), Error> {
    if crc32fast::hash(payload.as_bytes()) == checksum {
        return Ok(());
    }
    Err(Error::new(ErrorKind::Protocol, format!("{key}: checksum does not match")))
}
