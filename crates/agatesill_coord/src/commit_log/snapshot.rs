//! Writes snapshots: chunks first where the state is long, the head last.

use agatesill_wire::prelude::*;
use serde::Serialize;

use super::pack::pack;
use super::record::{Chunk, Put, SnapshotHead, checksum, encode, put};
use super::{CommitLog, chunk_key, head_key};

/// Longest packed state that stands in the head itself.
pub const INLINE_BYTES: usize = 256 << 10;

/// Longest piece of a chunk, far below the service's 1 MB limit for a value.
pub const CHUNK_BYTES: usize = 384 << 10;

/// Times that a head or chunk is written again over what an older owner left.
const OVERWRITE_TRIES: usize = 8;

/// A head whose fate is not known yet.
#[derive(Debug)]
pub(super) struct PendingHead {
    head: SnapshotHead,
    value: String,
}

impl CommitLog {
    /// Replaces the snapshot by `state`, which must hold exactly the deltas committed so far.
    ///
    /// [`ErrorKind::Conflict`]: another owner has taken over. [`ErrorKind::StoreUnavailable`]: not
    /// known to be written; call again, with the state of then.
    pub async fn snapshot<S: Serialize>(&mut self, state: &S) -> Result<(), Error> {
        self.check_owner()?;
        self.check_settled()?;
        self.settle_head().await?;
        let payload = pack(state)?;
        self.snapshot_bytes = payload.len();
        let seq = self.next_seq - 1;
        let operation_id = format!("{}-snapshot-{seq}", self.writer);
        let mut head = SnapshotHead {
            seq,
            epoch: self.epoch,
            operation_id,
            chunk_set: 1 - self.chunk_set,
            chunks: Vec::new(),
            payload,
            checksum: 0,
        };
        if head.payload.len() > INLINE_BYTES {
            head.chunks = self.write_chunks(&head).await?;
            head.payload.clear();
        }
        let head = head.seal(&self.prefix);
        let value = encode(&head)?;
        self.pending_head = Some(PendingHead { head, value });
        self.settle_head().await
    }

    /// Guards against a head that lands late: were its chunks already overwritten by the next
    /// snapshot, a successor would read a torn one. So the same head is written until its fate is
    /// known, and only then may its set of chunks be used again.
    pub(super) async fn settle_head(&mut self) -> Result<(), Error> {
        let Some(pending) = &self.pending_head else { return Ok(()) };
        let key = head_key(&self.prefix);
        for _ in 0..OVERWRITE_TRIES {
            match put(&self.store, &key, self.head_version, &pending.value).await? {
                Put::Written(version) => {
                    self.head_version = version;
                    self.snapshot_seq = pending.head.seq;
                    self.log_bytes = 0;
                    self.chunk_set = pending.head.chunk_set;
                    self.pending_head = None;
                    return Ok(());
                }
                Put::Found(found) => {
                    let Some(entry) = found else { break };
                    let other = SnapshotHead::open(&self.prefix, &entry)?;
                    if other.epoch > self.epoch {
                        self.fenced = true;
                        break;
                    }
                    // A late snapshot of an older owner: true, but it covers less.
                    self.head_version = entry.version;
                }
            }
        }
        self.fenced = true;
        Err(Error::new(ErrorKind::Conflict, format!("{key}: written by another owner")))
    }

    /// Guards against chunks overwritten under a committed head: their keys carry the writer's
    /// epoch, which no other process has, and one writer alternates between two sets.
    async fn write_chunks(&mut self, head: &SnapshotHead) -> Result<Vec<u32>, Error> {
        let mut sums = Vec::new();
        let mut rest = head.payload.as_str();
        while !rest.is_empty() {
            let mut end = rest.len().min(CHUNK_BYTES);
            while !rest.is_char_boundary(end) {
                end -= 1;
            }
            let (piece, tail) = rest.split_at(end);
            let key = chunk_key(&self.prefix, head.epoch, head.chunk_set, sums.len());
            let value = encode(&Chunk { seq: head.seq, piece: piece.to_owned() })?;
            self.write_chunk(key, &value).await?;
            sums.push(checksum(&[piece]));
            rest = tail;
        }
        Ok(sums)
    }

    async fn write_chunk(&mut self, key: String, value: &str) -> Result<(), Error> {
        let mut version = self.chunk_versions.get(&key).copied().unwrap_or(0);
        for _ in 0..OVERWRITE_TRIES {
            match put(&self.store, &key, version, value).await? {
                Put::Written(written) => {
                    self.chunk_versions.insert(key, written);
                    return Ok(());
                }
                Put::Found(found) => version = found.map_or(0, |entry| entry.version),
            }
        }
        Err(Error::new(ErrorKind::StoreUnavailable, format!("{key}: keeps changing")))
    }

    /// Removes the chunks that owners before this one left. Call it after this owner's first
    /// snapshot: from then on no head can name them.
    pub async fn delete_stale_chunks(&mut self) -> Result<u64, Error> {
        if self.snapshot_seq < self.first_seq || self.pending_head.is_some() {
            return Ok(0);
        }
        let mut removed = 0;
        while let Some(epoch) = self.sweep_epochs.first().copied() {
            for chunk_set in 0..2 {
                for index in 0.. {
                    let key = chunk_key(&self.prefix, epoch, chunk_set, index);
                    let Some(entry) = self.store.get(&key).await? else { break };
                    self.store.delete(&key, entry.version).await?;
                    removed += 1;
                }
            }
            self.sweep_epochs.remove(0);
        }
        Ok(removed)
    }
}
