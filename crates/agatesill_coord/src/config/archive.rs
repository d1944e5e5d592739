//! Archived history: entries that were trimmed from the head, stored in segments.
//!
//! A segment is written before the head is trimmed. Its key is derived from its first version, and
//! its bytes are the same for every writer. A crash between the two writes therefore leaves the
//! entries in both places, never in neither; readers merge them by version.

use std::collections::BTreeMap;

use agatesill_wire::api::{HistoryEntry, VersionedConfig};
use agatesill_wire::prelude::*;

use crate::store::Store;

/// Entries per segment, and the minimum number of entries that a head keeps after trimming.
pub const SEGMENT_ENTRIES: usize = 64;

/// Maximum number of segments. They hold 4,096 changes, a day and a half at 2,600 changes a day. A
/// retry that arrives later than that is no longer recognised.
pub const MAX_SEGMENTS: u64 = 64;

/// Cache of the segments read so far; a stored segment never changes.
#[derive(Debug, Default)]
pub struct Archive {
    segments: BTreeMap<u64, Vec<HistoryEntry>>,
}

impl Archive {
    /// All cached entries, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.segments.values().flatten()
    }

    /// Whether a cached entry has this operation id, so that the change was already accepted.
    pub fn contains_operation(&self, operation_id: &str) -> bool {
        self.entries().any(|entry| entry.operation_id == operation_id)
    }

    /// Reads the retained segments before `head` that are not cached yet.
    pub async fn load_missing_segments(
        &mut self,
        store: &Store,
        head: &VersionedConfig,
    ) -> Result<(), Error> {
        let size = SEGMENT_ENTRIES as u64;
        let head_start = head.history.first().map_or(1, |entry| entry.version);
        let mut start = head_start;
        for _ in 0..MAX_SEGMENTS {
            let Some(prev) = start.checked_sub(size).filter(|version| *version > 0) else { break };
            start = prev;
            if self.segments.contains_key(&start) {
                continue;
            }
            let Some(entry) = store.get(&segment_key(start)).await? else { break };
            let entries: Vec<HistoryEntry> =
                serde_json::from_str(&entry.value).map_err(|error| {
                    Error::new(ErrorKind::Protocol, format!("{}: {error}", entry.key))
                })?;
            self.segments.insert(start, entries);
        }
        let oldest = head_start.saturating_sub(size * MAX_SEGMENTS);
        self.segments.retain(|version, _| *version >= oldest);
        Ok(())
    }
}

/// Moves the oldest entries of `next` into a segment once its history is two segments long.
pub async fn trim_history(store: &Store, next: &mut VersionedConfig) -> Result<(), Error> {
    if next.history.len() < 2 * SEGMENT_ENTRIES {
        return Ok(());
    }
    let oldest = &next.history[..SEGMENT_ENTRIES];
    let first = oldest[0].version;
    let value = serde_json::to_string(oldest)
        .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))?;
    let key = segment_key(first);
    let reply = store.cas(&key, 0, value.clone(), 0).await?;
    if !reply.applied && !reply.entries.iter().any(|entry| entry.value == value) {
        let detail = format!("{key}: the segment already holds different entries");
        return Err(Error::new(ErrorKind::Protocol, detail));
    }
    next.history.drain(..SEGMENT_ENTRIES);
    delete_expired_segment(store, first).await;
    Ok(())
}

/// Best effort: a segment that is not deleted takes up space but has no other effect.
async fn delete_expired_segment(store: &Store, first: u64) {
    let Some(expired) = first.checked_sub(SEGMENT_ENTRIES as u64 * MAX_SEGMENTS) else { return };
    if let Ok(Some(entry)) = store.get(&segment_key(expired)).await {
        let _ = store.delete(&entry.key, entry.version).await;
    }
}

fn segment_key(first_version: u64) -> String {
    format!("config/archive/{first_version:012}")
}
