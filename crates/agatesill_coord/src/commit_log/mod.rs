//! A log of deltas with snapshots, written by one owner at a time and fenced by epochs.
//!
//! Records stand in a ring of keys `PREFIX/log/SLOT`; record number `seq` goes to slot
//! `seq % SLOTS` by compare-and-swap on the version that the slot had one lap earlier. A successor
//! appends a takeover record with a higher epoch before it acts. A stale owner's next write then
//! meets a slot of another version and fails, however long it was paused: versions never come
//! back and slots are never deleted, so "absent" cannot come back either.
//!
//! A write whose answer was lost leaves the log *pending*: whether the record stands is not known.
//! Nothing may follow from it and nothing may be appended until [`CommitLog::resolve`] has written
//! the same record again, with the same operation id, and learned its fate.
//!
//! ```no_run
//! # use agatesill_coord::prelude::*;
//! # async fn example(store: Store) -> Result<(), agatesill_wire::error::Error> {
//! let (mut log, replay) =
//!     CommitLog::take_over::<u64, i64>(store, "counter/a", "instance-1").await?;
//! let mut total = replay.snapshot.unwrap_or(0);
//! total = replay.deltas.iter().fold(total, |sum, delta| sum.wrapping_add_signed(*delta));
//! log.append(&[5_i64]).await?;
//! total += 5;
//! if log.snapshot_due() {
//!     log.snapshot(&total).await?;
//! }
//! # Ok(())
//! # }
//! ```

mod load;
mod pack;
mod record;
mod snapshot;

use std::collections::BTreeMap;

use agatesill_wire::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

use self::load::load;
use self::pack::pack;
pub use self::record::{Chunk, Record, SnapshotHead};
use self::record::{Put, encode, put};
use self::snapshot::PendingHead;
pub use self::snapshot::{CHUNK_BYTES, INLINE_BYTES};
use crate::store::Store;

/// Slots of the ring; a snapshot must cover a record before its slot is used again.
pub const SLOTS: u64 = 128;

/// Records after which a snapshot is due in any case; three quarters of the ring, so that a slow
/// snapshot stops nothing.
pub const SNAPSHOT_EVERY: u64 = 96;

/// Bytes of records below which no snapshot is due, however short the last one was: a replay of
/// this length costs a successor a few milliseconds.
const LEAST_LOG_BYTES: usize = 32 << 10;

/// Slots read by one call.
const SLOTS_PER_READ: u64 = 10;

/// Longest record as stored; ten of them must stay below the body limit of 2 MB in one answer.
pub const RECORD_BYTES: usize = 96 << 10;

/// Room in a record for all but its deltas.
const ENVELOPE_BYTES: usize = 1 << 10;

/// Times that a takeover is tried again when the present owner is still writing.
const TAKE_OVER_TRIES: usize = 8;

/// What a takeover read.
#[derive(Debug)]
pub struct Replay<S, D> {
    /// The newest snapshot, if there is one.
    pub snapshot: Option<S>,
    /// Deltas after it, in order.
    pub deltas: Vec<D>,
}

#[derive(Debug)]
struct Pending {
    seq: u64,
    value: String,
}

/// The owner's end of a log.
#[derive(Debug)]
pub struct CommitLog {
    store: Store,
    prefix: String,
    /// Instance and a number drawn at random: a restarted instance is another writer.
    writer: String,
    epoch: u64,
    first_seq: u64,
    next_seq: u64,
    slot_versions: Vec<u64>,
    pending: Option<Pending>,
    snapshot_seq: u64,
    /// Bytes of records since the last snapshot.
    log_bytes: usize,
    /// Bytes of the last snapshot; 0 when this owner wrote none.
    snapshot_bytes: usize,
    head_version: u64,
    pending_head: Option<PendingHead>,
    chunk_set: u64,
    chunk_versions: BTreeMap<String, u64>,
    sweep_epochs: Vec<u64>,
    fenced: bool,
    unsafe_without_fence: bool,
}

impl CommitLog {
    /// Reads the log, appends a takeover record and returns the log with what it held.
    ///
    /// [`ErrorKind::Protocol`] reports a torn, missing or foreign record; the log stays as it is.
    pub async fn take_over<S: DeserializeOwned, D: DeserializeOwned + Serialize>(
        store: Store,
        prefix: &str,
        instance: &str,
    ) -> Result<(Self, Replay<S, D>), Error> {
        let writer = format!("{instance}-{:016x}", rand::random::<u64>());
        for _ in 0..TAKE_OVER_TRIES {
            let (position, replay) = load::<S, D>(&store, prefix).await?;
            let snapshot_epoch = position.head.as_ref().map_or(0, |head| head.epoch);
            let mut log = Self {
                store: store.clone(),
                prefix: prefix.to_owned(),
                writer: writer.clone(),
                epoch: position.epoch + 1,
                first_seq: position.last_seq + 1,
                next_seq: position.last_seq + 1,
                snapshot_seq: position.snapshot_seq(),
                log_bytes: 0,
                snapshot_bytes: 0,
                slot_versions: position.slot_versions,
                pending: None,
                head_version: position.head_version,
                pending_head: None,
                chunk_set: 0,
                chunk_versions: BTreeMap::new(),
                sweep_epochs: (snapshot_epoch.max(1)..=position.epoch).collect(),
                fenced: false,
                unsafe_without_fence: false,
            };
            match log.append::<D>(&[]).await {
                Ok(()) => return Ok((log, replay)),
                Err(error) if error.kind == ErrorKind::Conflict => {}
                Err(error) => return Err(error),
            }
        }
        let what = format!("{prefix}: the present owner keeps writing");
        Err(Error::new(ErrorKind::Conflict, what).retry_after(500))
    }

    /// The owner's epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of the newest record known to be committed.
    pub fn last_seq(&self) -> u64 {
        self.next_seq - 1
    }

    /// Whether a snapshot is due: when the records since the last one are as long as it was, so
    /// that snapshots at most double the bytes written, or when the ring fills up.
    pub fn snapshot_due(&self) -> bool {
        self.last_seq() - self.snapshot_seq >= SNAPSHOT_EVERY
            || self.log_bytes >= self.snapshot_bytes.max(LEAST_LOG_BYTES)
    }

    /// Whether it is not known yet if the last record stands; see [`CommitLog::resolve`].
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Whether another owner is known to have taken over.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// How many of the first `deltas` fit into one record.
    pub fn count_fitting<D: Serialize>(deltas: &[D]) -> Result<usize, Error> {
        let mut used_bytes = ENVELOPE_BYTES;
        for (count, delta) in deltas.iter().enumerate() {
            used_bytes += encode(&encode(delta)?)?.len();
            if used_bytes > RECORD_BYTES {
                return Ok(count);
            }
        }
        Ok(deltas.len())
    }

    /// Appends one record with `deltas`; they are committed when this returns `Ok`.
    ///
    /// - [`ErrorKind::Conflict`]: another owner has taken over; this one must stop acting. Whether
    ///   the deltas stand is for the new owner to say.
    /// - [`ErrorKind::StoreUnavailable`]: not known; keep the deltas and [`CommitLog::resolve`].
    /// - [`ErrorKind::RingFull`]: a snapshot is due first; nothing was written.
    /// - [`ErrorKind::TooLarge`]: see [`CommitLog::count_fitting`]; nothing was written.
    pub async fn append<D: Serialize>(&mut self, deltas: &[D]) -> Result<(), Error> {
        self.check_owner()?;
        self.check_settled()?;
        // Guards against losing a record: its slot comes round again while no snapshot covers it,
        // and a successor would find a hole.
        if self.next_seq > self.snapshot_seq + SLOTS {
            let what = format!("{}: record {} waits for a snapshot", self.prefix, self.next_seq);
            return Err(Error::new(ErrorKind::RingFull, what).retry_after(100));
        }
        let seq = self.next_seq;
        let operation_id = format!("{}-{seq}", self.writer);
        let payload = pack(deltas)?;
        let value = encode(&Record::seal(&self.prefix, seq, self.epoch, operation_id, payload))?;
        if value.len() > RECORD_BYTES {
            let what = format!("{}: record of {} bytes", self.prefix, value.len());
            return Err(Error::new(ErrorKind::TooLarge, what));
        }
        self.pending = Some(Pending { seq, value });
        self.resolve().await
    }

    /// Writes the pending record again until its fate is known; `Ok` means that it is committed.
    /// Errors are those of [`CommitLog::append`].
    pub async fn resolve(&mut self) -> Result<(), Error> {
        self.check_owner()?;
        let Some(pending) = &self.pending else { return Ok(()) };
        let slot = (pending.seq % SLOTS) as usize;
        let key = slot_key(&self.prefix, slot);
        match put(&self.store, &key, self.slot_versions[slot], &pending.value).await? {
            Put::Written(version) => {
                self.slot_versions[slot] = version;
                self.next_seq = pending.seq + 1;
                self.log_bytes += pending.value.len();
                self.pending = None;
                Ok(())
            }
            Put::Found(Some(entry)) if self.unsafe_without_fence => {
                self.slot_versions[slot] = entry.version;
                Err(Error::new(ErrorKind::StoreUnavailable, "fence is off"))
            }
            Put::Found(_) => {
                self.fenced = true;
                let what = format!("{}: another owner wrote record {}", self.prefix, pending.seq);
                Err(Error::new(ErrorKind::Conflict, what))
            }
        }
    }

    /// Turns the fence off, so that tests can show that they would notice.
    #[doc(hidden)]
    pub fn break_fence(&mut self) {
        self.unsafe_without_fence = true;
    }

    fn check_owner(&self) -> Result<(), Error> {
        if !self.fenced {
            return Ok(());
        }
        Err(Error::new(ErrorKind::Conflict, format!("{}: another owner took over", self.prefix)))
    }

    fn check_settled(&self) -> Result<(), Error> {
        let Some(pending) = &self.pending else { return Ok(()) };
        let what = format!("{}: record {} is not resolved", self.prefix, pending.seq);
        Err(Error::new(ErrorKind::StoreUnavailable, what).retry_after(100))
    }
}

fn slot_key(prefix: &str, slot: usize) -> String {
    format!("{prefix}/log/{slot:04}")
}

fn head_key(prefix: &str) -> String {
    format!("{prefix}/snapshot")
}

fn chunk_key(prefix: &str, epoch: u64, chunk_set: u64, index: usize) -> String {
    format!("{prefix}/chunk/{epoch}-{chunk_set}/{index}")
}
