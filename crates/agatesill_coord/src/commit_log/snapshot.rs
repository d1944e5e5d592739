//! Writes snapshots: the chunks of a long state first, then the manifest.

use agatesill_wire::prelude::*;
use serde::Serialize;

use super::pack::pack;
use super::record::{CasOutcome, Chunk, SnapshotManifest, checksum, encode, idempotent_cas};
use super::{CommitLog, chunk_key, manifest_key};

/// Maximum size of an encoded state that is stored inline in the manifest.
pub const MAX_INLINE_BYTES: usize = 256 << 10;

/// Maximum size of the piece in a chunk, far below the service's limit of 1 MB per value.
pub const MAX_CHUNK_BYTES: usize = 384 << 10;

/// Maximum number of attempts to replace a manifest or chunk that an older owner left.
const MAX_OVERWRITE_ATTEMPTS: usize = 8;

/// A manifest whose write has an unknown outcome so far.
#[derive(Debug)]
pub(super) struct PendingManifest {
    manifest: SnapshotManifest,
    value: String,
}

impl CommitLog {
    /// Replaces the snapshot by `state`, which must contain exactly the deltas committed so far.
    ///
    /// [`ErrorKind::Conflict`]: another owner has taken over. [`ErrorKind::StoreUnavailable`]: the
    /// outcome is unknown; call again with the state at that time.
    pub async fn snapshot<S: Serialize>(&mut self, state: &S) -> Result<(), Error> {
        self.check_owner()?;
        self.check_not_pending()?;
        self.resolve_manifest().await?;
        let payload = pack(state)?;
        self.snapshot_bytes = payload.len();
        let seq = self.next_seq - 1;
        let operation_id = format!("{}-snapshot-{seq}", self.writer);
        let mut manifest = SnapshotManifest {
            seq,
            epoch: self.epoch,
            operation_id,
            chunk_set: 1 - self.chunk_set,
            chunks: Vec::new(),
            payload,
            checksum: 0,
        };
        if manifest.payload.len() > MAX_INLINE_BYTES {
            manifest.chunks = self.write_chunks(&manifest).await?;
            manifest.payload.clear();
        }
        let manifest = manifest.with_checksum(&self.prefix);
        let value = encode(&manifest)?;
        self.pending_manifest = Some(PendingManifest { manifest, value });
        self.resolve_manifest().await
    }

    /// Writes the pending manifest until its outcome is known; only then may its chunk set be
    /// reused. If the next snapshot had already overwritten the chunks when a delayed write of the
    /// manifest takes effect, a successor would read an inconsistent snapshot.
    pub(super) async fn resolve_manifest(&mut self) -> Result<(), Error> {
        let Some(pending) = &self.pending_manifest else { return Ok(()) };
        let key = manifest_key(&self.prefix);
        for _ in 0..MAX_OVERWRITE_ATTEMPTS {
            match idempotent_cas(&self.store, &key, self.manifest_version, &pending.value).await? {
                CasOutcome::Written(version) => {
                    self.manifest_version = version;
                    self.snapshot_seq = pending.manifest.seq;
                    self.log_bytes = 0;
                    self.chunk_set = pending.manifest.chunk_set;
                    self.pending_manifest = None;
                    return Ok(());
                }
                CasOutcome::Conflict(found) => {
                    let Some(entry) = found else { break };
                    let other = SnapshotManifest::parse(&self.prefix, &entry)?;
                    if other.epoch > self.epoch {
                        self.fenced = true;
                        break;
                    }
                    // A delayed snapshot of an older owner: valid, but it covers fewer records.
                    self.manifest_version = entry.version;
                }
            }
        }
        self.fenced = true;
        Err(Error::new(ErrorKind::Conflict, format!("{key}: written by another owner")))
    }

    /// Writes the chunks without overwriting those of a committed manifest: chunk keys contain the
    /// writer's epoch, which no other process has, and a writer alternates between two chunk sets.
    async fn write_chunks(&mut self, manifest: &SnapshotManifest) -> Result<Vec<u32>, Error> {
        let mut checksums = Vec::new();
        let mut rest = manifest.payload.as_str();
        while !rest.is_empty() {
            let mut end = rest.len().min(MAX_CHUNK_BYTES);
            while !rest.is_char_boundary(end) {
                end -= 1;
            }
            let (piece, tail) = rest.split_at(end);
            let key = chunk_key(&self.prefix, manifest.epoch, manifest.chunk_set, checksums.len());
            let value = encode(&Chunk { seq: manifest.seq, piece: piece.to_owned() })?;
            self.write_chunk(key, &value).await?;
            checksums.push(checksum(&[piece]));
            rest = tail;
        }
        Ok(checksums)
    }

    async fn write_chunk(&mut self, key: String, value: &str) -> Result<(), Error> {
        let mut version = self.chunk_versions.get(&key).copied().unwrap_or(0);
        for _ in 0..MAX_OVERWRITE_ATTEMPTS {
            match idempotent_cas(&self.store, &key, version, value).await? {
                CasOutcome::Written(written) => {
                    self.chunk_versions.insert(key, written);
                    return Ok(());
                }
                CasOutcome::Conflict(found) => version = found.map_or(0, |entry| entry.version),
            }
        }
        Err(Error::new(
            ErrorKind::StoreUnavailable,
            format!("{key}: gave up after too many concurrent writes"),
        ))
    }

    /// Deletes the chunks that earlier owners left and returns their number. It has no effect
    /// before this owner's first snapshot, after which no manifest can refer to them.
    pub async fn delete_stale_chunks(&mut self) -> Result<u64, Error> {
        if self.snapshot_seq < self.first_seq || self.pending_manifest.is_some() {
            return Ok(0);
        }
        let mut removed = 0;
        while let Some(epoch) = self.stale_epochs.first().copied() {
            for chunk_set in 0..2 {
                for index in 0.. {
                    let key = chunk_key(&self.prefix, epoch, chunk_set, index);
                    let Some(entry) = self.store.get(&key).await? else { break };
                    self.store.delete(&key, entry.version).await?;
                    removed += 1;
                }
            }
            self.stale_epochs.remove(0);
        }
        Ok(removed)
    }
}
