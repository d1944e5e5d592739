//! History beyond the head: segments of entries that were trimmed from it.
//!
//! A segment is written before the head is trimmed, under a key made from its first version, and
//! has the same bytes whoever writes it. So a crash between the two writes leaves entries in both
//! places, which readers join by version, and never in none.

use std::collections::BTreeMap;

use agatesill_wire::api::{HistoryEntry, VersionedConfig};
use agatesill_wire::prelude::*;

use crate::store::Store;

/// Entries of a segment, and the least that a head keeps once it was trimmed.
pub const HISTORY_KEPT: usize = 64;

/// Segments kept: 4,096 changes, a day and a half at 2,600 a day. A retry that comes later than
/// that is no longer recognised.
pub const SEGMENTS_KEPT: u64 = 64;

/// Segments read so far; they never change.
#[derive(Debug, Default)]
pub struct Archive {
    segments: BTreeMap<u64, Vec<HistoryEntry>>,
}

impl Archive {
    /// All entries read, in order.
    pub fn entries(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.segments.values().flatten()
    }

    /// Whether the change with `operation_id` was accepted long ago.
    pub fn knows(&self, operation_id: &str) -> bool {
        self.entries().any(|entry| entry.operation_id == operation_id)
    }

    /// Reads the segments before `head` that are kept and were not read yet.
    pub async fn complete(&mut self, store: &Store, head: &VersionedConfig) -> Result<(), Error> {
        let kept = HISTORY_KEPT as u64;
        let first = head.history.first().map_or(1, |entry| entry.version);
        let mut at = first;
        for _ in 0..SEGMENTS_KEPT {
            let Some(previous) = at.checked_sub(kept).filter(|version| *version > 0) else { break };
            at = previous;
            if self.segments.contains_key(&at) {
                continue;
            }
            let Some(entry) = store.get(&segment_key(at)).await? else { break };
            let entries: Vec<HistoryEntry> =
                serde_json::from_str(&entry.value).map_err(|error| {
                    Error::new(ErrorKind::Protocol, format!("{}: {error}", entry.key))
                })?;
            self.segments.insert(at, entries);
        }
        let oldest = first.saturating_sub(kept * SEGMENTS_KEPT);
        self.segments.retain(|version, _| *version >= oldest);
        Ok(())
    }
}

/// Moves the oldest entries of `next` into a segment when it has grown enough.
pub async fn trim(store: &Store, next: &mut VersionedConfig) -> Result<(), Error> {
    if next.history.len() < 2 * HISTORY_KEPT {
        return Ok(());
    }
    let oldest = &next.history[..HISTORY_KEPT];
    let first = oldest[0].version;
    let value = serde_json::to_string(oldest)
        .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))?;
    let key = segment_key(first);
    let reply = store.cas(&key, 0, value.clone(), 0).await?;
    if !reply.applied && !reply.entries.iter().any(|entry| entry.value == value) {
        let what = format!("{key}: holds another history");
        return Err(Error::new(ErrorKind::Protocol, what));
    }
    next.history.drain(..HISTORY_KEPT);
    drop_oldest(store, first).await;
    Ok(())
}

/// Best effort: a segment that stays costs room and nothing else.
async fn drop_oldest(store: &Store, first: u64) {
    let Some(old) = first.checked_sub(HISTORY_KEPT as u64 * SEGMENTS_KEPT) else { return };
    if let Ok(Some(entry)) = store.get(&segment_key(old)).await {
        let _ = store.delete(&entry.key, entry.version).await;
    }
}

fn segment_key(first_version: u64) -> String {
    format!("config/archive/{first_version:012}")
}
