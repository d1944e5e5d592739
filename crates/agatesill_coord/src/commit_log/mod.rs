//! A log of deltas with snapshots, written by one owner at a time and fenced by epochs.
//!
//! Records are stored in a ring of keys `PREFIX/log/SLOT`. Record `seq` is written to slot `seq %
//! SLOTS` by compare-and-swap on the version that the slot had one lap earlier. A successor appends
//! a takeover record with a higher epoch before it acts. The next write of a stale owner then finds
//! a slot with another version and fails, however long that owner was paused: versions are never
//! reused, and slots are never deleted, so that "absent" does not recur either.
//!
//! A write whose answer was lost leaves the log *pending*: it is unknown whether the record is
//! stored. The owner must not act on the record and cannot append another one until
//! [`CommitLog::resolve`] has written the same record again, with the same operation id, and
//! learned the outcome.
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
use self::pack::{max_packed_bytes, pack};
use self::record::{CasOutcome, encode, idempotent_cas};
pub use self::record::{Chunk, Record, SnapshotManifest};
use self::snapshot::PendingManifest;
pub use self::snapshot::{MAX_CHUNK_BYTES, MAX_INLINE_BYTES};
use crate::store::Store;

/// Number of slots in the ring. A snapshot must cover a record before its slot is reused.
pub const SLOTS: u64 = 128;

/// Maximum number of records between snapshots. It is three quarters of the ring, so that appends
/// continue during a slow snapshot.
pub const MAX_RECORDS_PER_SNAPSHOT: u64 = 96;

/// Minimum size of the records since the last snapshot before a snapshot is due, however short the
/// last one was. A successor replays this much in a few milliseconds.
const MIN_SNAPSHOT_LOG_BYTES: usize = 32 << 10;

/// Slots read with one call.
const SLOTS_PER_READ: u64 = 10;

/// Maximum size of a stored record. Ten of them must fit into one answer, which is limited to 2 MB.
pub const MAX_RECORD_BYTES: usize = 96 << 10;

/// Maximum size of a stored record without its deltas.
const RECORD_OVERHEAD_BYTES: usize = 1 << 10;

/// Size of the separator between two deltas in a record.
const SEPARATOR_BYTES: usize = 1;

/// Maximum number of takeover attempts while the current owner keeps writing.
const MAX_TAKEOVER_ATTEMPTS: usize = 8;

/// State that a takeover read from the log.
#[derive(Debug)]
pub struct Replay<S, D> {
    /// The newest snapshot, if there is one.
    pub snapshot: Option<S>,
    /// Deltas committed after the snapshot, in order.
    pub deltas: Vec<D>,
}

/// The last record while its outcome is unknown.
#[derive(Debug)]
struct Pending {
    seq: u64,
    value: String,
}

/// A log as seen by its owner.
#[derive(Debug)]
pub struct CommitLog {
    store: Store,
    prefix: String,
    /// Name of the instance and a random number, so that a restarted instance is another writer.
    writer: String,
    epoch: u64,
    first_seq: u64,
    next_seq: u64,
    slot_versions: Vec<u64>,
    pending: Option<Pending>,
    snapshot_seq: u64,
    /// Size of the records since the last snapshot.
    log_bytes: usize,
    /// Size of the last snapshot; 0 when this owner has written none.
    snapshot_bytes: usize,
    manifest_version: u64,
    pending_manifest: Option<PendingManifest>,
    chunk_set: u64,
    chunk_versions: BTreeMap<String, u64>,
    stale_epochs: Vec<u64>,
    fenced: bool,
    fencing_disabled: bool,
}

impl CommitLog {
    /// Reads the log, appends a takeover record and returns the log with its contents.
    ///
    /// [`ErrorKind::Protocol`] reports a record that is corrupted, missing or from another log; the
    /// log is left unchanged.
    pub async fn take_over<S: DeserializeOwned, D: DeserializeOwned + Serialize>(
        store: Store,
        prefix: &str,
        instance: &str,
    ) -> Result<(Self, Replay<S, D>), Error> {
        let writer = format!("{instance}-{:016x}", rand::random::<u64>());
        for _ in 0..MAX_TAKEOVER_ATTEMPTS {
            let (position, replay) = load::<S, D>(&store, prefix).await?;
            let snapshot_epoch = position.manifest.as_ref().map_or(0, |manifest| manifest.epoch);
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
                manifest_version: position.manifest_version,
                pending_manifest: None,
                chunk_set: 0,
                chunk_versions: BTreeMap::new(),
                stale_epochs: (snapshot_epoch.max(1)..=position.epoch).collect(),
                fenced: false,
                fencing_disabled: false,
            };
            match log.append::<D>(&[]).await {
                Ok(()) => return Ok((log, replay)),
                Err(error) if error.kind == ErrorKind::Conflict => {}
                Err(error) => return Err(error),
            }
        }
        let detail = format!("{prefix}: the current owner keeps writing");
        Err(Error::new(ErrorKind::Conflict, detail).retry_after(500))
    }

    /// Epoch of this owner.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Sequence number of the newest record known to be committed.
    pub fn last_seq(&self) -> u64 {
        self.next_seq - 1
    }

    /// Whether a snapshot is due: when the records since the last snapshot are as long as that
    /// snapshot, so that snapshots at most double the bytes written, or when the ring fills up.
    pub fn snapshot_due(&self) -> bool {
        self.last_seq() - self.snapshot_seq >= MAX_RECORDS_PER_SNAPSHOT
            || self.log_bytes >= self.snapshot_bytes.max(MIN_SNAPSHOT_LOG_BYTES)
    }

    /// Whether the outcome of the last write is still unknown; see [`CommitLog::resolve`].
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Whether another owner is known to have taken over.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Length of a prefix of `deltas` that fits into one record however badly it compresses; 0 only
    /// if the first delta does not fit alone, compressed or not.
    pub fn count_fitting<D: Serialize>(deltas: &[D]) -> Result<usize, Error> {
        let mut json_bytes = 0;
        for (count, delta) in deltas.iter().enumerate() {
            json_bytes += encode(delta)?.len() + SEPARATOR_BYTES;
            if RECORD_OVERHEAD_BYTES + max_packed_bytes(json_bytes) <= MAX_RECORD_BYTES {
                continue;
            }
            if count > 0 {
                return Ok(count);
            }
            let bytes = encode(&encode(delta)?)?.len().max(pack(&deltas[..1])?.len());
            return Ok(usize::from(RECORD_OVERHEAD_BYTES + bytes <= MAX_RECORD_BYTES));
        }
        Ok(deltas.len())
    }

    /// Appends one record with `deltas`; they are committed when this returns `Ok`.
    ///
    /// - [`ErrorKind::Conflict`]: another owner has taken over; this one must stop acting. The new
    ///   owner determines whether the deltas are committed.
    /// - [`ErrorKind::StoreUnavailable`]: the outcome is unknown; keep the deltas and call
    ///   [`CommitLog::resolve`].
    /// - [`ErrorKind::RingFull`]: a snapshot has to be written first; no record was written.
    /// - [`ErrorKind::TooLarge`]: see [`CommitLog::count_fitting`]; no record was written.
    pub async fn append<D: Serialize>(&mut self, deltas: &[D]) -> Result<(), Error> {
        self.check_owner()?;
        self.check_not_pending()?;
        // The slot still holds a record that no snapshot covers. Overwriting that record would
        // leave a gap for a successor.
        if self.next_seq > self.snapshot_seq + SLOTS {
            let detail =
                format!("{}: record {} requires a snapshot first", self.prefix, self.next_seq);
            return Err(Error::new(ErrorKind::RingFull, detail).retry_after(100));
        }
        let seq = self.next_seq;
        let operation_id = format!("{}-{seq}", self.writer);
        let payload = pack(deltas)?;
        let value = encode(&Record::new(&self.prefix, seq, self.epoch, operation_id, payload))?;
        if value.len() > MAX_RECORD_BYTES {
            let detail = format!("{}: record of {} bytes", self.prefix, value.len());
            return Err(Error::new(ErrorKind::TooLarge, detail));
        }
        self.pending = Some(Pending { seq, value });
        self.resolve().await
    }

    /// Writes the pending record again, if there is one; `Ok` means that it is committed. Errors
    /// are those of [`CommitLog::append`].
    pub async fn resolve(&mut self) -> Result<(), Error> {
        self.check_owner()?;
        let Some(pending) = &self.pending else { return Ok(()) };
        let slot = (pending.seq % SLOTS) as usize;
        let key = slot_key(&self.prefix, slot);
        match idempotent_cas(&self.store, &key, self.slot_versions[slot], &pending.value).await? {
            CasOutcome::Written(version) => {
                self.slot_versions[slot] = version;
                self.next_seq = pending.seq + 1;
                self.log_bytes += pending.value.len();
                self.pending = None;
                Ok(())
            }
            CasOutcome::Conflict(Some(entry)) if self.fencing_disabled => {
                self.slot_versions[slot] = entry.version;
                Err(Error::new(ErrorKind::StoreUnavailable, "fencing is disabled"))
            }
            CasOutcome::Conflict(_) => {
                self.fenced = true;
                let detail = format!("{}: another owner wrote record {}", self.prefix, pending.seq);
                Err(Error::new(ErrorKind::Conflict, detail))
            }
        }
    }

    /// Disables fencing, so that tests can show that they detect a missing fence.
    #[doc(hidden)]
    pub fn disable_fencing(&mut self) {
        self.fencing_disabled = true;
    }

    fn check_owner(&self) -> Result<(), Error> {
        if !self.fenced {
            return Ok(());
        }
        Err(Error::new(ErrorKind::Conflict, format!("{}: another owner took over", self.prefix)))
    }

    fn check_not_pending(&self) -> Result<(), Error> {
        let Some(pending) = &self.pending else { return Ok(()) };
        let detail = format!("{}: the outcome of record {} is unknown", self.prefix, pending.seq);
        Err(Error::new(ErrorKind::StoreUnavailable, detail).retry_after(100))
    }
}

fn slot_key(prefix: &str, slot: usize) -> String {
    format!("{prefix}/log/{slot:04}")
}

fn manifest_key(prefix: &str) -> String {
    format!("{prefix}/snapshot")
}

fn chunk_key(prefix: &str, epoch: u64, chunk_set: u64, index: usize) -> String {
    format!("{prefix}/chunk/{epoch}-{chunk_set}/{index}")
}
