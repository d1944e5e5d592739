//! The stored record of the leases of workers that do not answer, which planners hand over.

use std::time::Duration;

use agatesill_coord::lease::owner_key;
use agatesill_policy::fleet::{LeaseRecord, SeenLeaseRecord, US_PER_MS};
use agatesill_wire::platform::{Entry, KeyVersion, Put, StoreCall};
use agatesill_wire::prelude::*;

use super::daemon_state::DaemonState;
use super::keys::{self, PLANNER};

/// Timeout of a write. The next one follows at once.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between writes while workers do not answer. A daemon that starts after a write counts from its
/// own start.
const WRITE_INTERVAL_US: u64 = 1_000 * US_PER_MS;

/// Delay after a failed write.
const RETRY_BACKOFF_US: u64 = 150 * US_PER_MS;

/// Attempts of one write that meets another version of the record: an earlier write of the same planner whose
/// answer was lost.
const MAX_ATTEMPTS: usize = 2;

/// Outcome of a write.
#[derive(Debug)]
pub enum LeaseWrite {
    /// The record is stored at this version.
    Stored(LeaseRecord, u64),
    /// It is not known whether the record is stored.
    Failed,
    /// Another daemon owns the range.
    Superseded,
}

/// Which record is stored, and when the next one is due.
#[derive(Debug)]
pub struct LeaseRecords {
    version: u64,
    stored: LeaseRecord,
    is_writing: bool,
    next_write_us: u64,
}

impl LeaseRecords {
    /// Continues after the record of the previous planner, which has this version.
    pub fn after(version: u64) -> Self {
        let stored = LeaseRecord::default();
        Self { version, stored, is_writing: false, next_write_us: 0 }
    }

    /// Whether `record` is to be stored now: it names other workers than the stored one, or the stored one
    /// has become old.
    pub fn is_due(&self, record: &LeaseRecord, now_us: u64) -> bool {
        let is_empty = record.silent.is_empty() && self.stored.silent.is_empty();
        let is_changed = !record.silent.keys().eq(self.stored.silent.keys());
        !self.is_writing && !is_empty && (is_changed || now_us >= self.next_write_us)
    }

    /// Begins a write. Returns the version that it replaces.
    pub fn begin(&mut self, now_us: u64) -> u64 {
        self.is_writing = true;
        self.next_write_us = now_us + WRITE_INTERVAL_US;
        self.version
    }

    /// Applies the outcome of a write.
    pub fn written(&mut self, write: &LeaseWrite, now_us: u64) {
        self.is_writing = false;
        match write {
            LeaseWrite::Stored(record, version) => {
                self.version = *version;
                self.stored = record.clone();
            }
            LeaseWrite::Failed => self.next_write_us = now_us + RETRY_BACKOFF_US,
            LeaseWrite::Superseded => {}
        }
    }
}

/// Stores a record in place of the one of `version`, if this daemon still owns the range.
///
/// Each write names the version that it replaces, so that one whose answer was lost can't take effect after a
/// later one.
pub async fn store(
    daemon: &DaemonState,
    epoch: u64,
    version: u64,
    record: LeaseRecord,
) -> LeaseWrite {
    let value = match serde_json::to_string(&record) {
        Ok(value) => value,
        Err(error) => {
            log::error!(event = "lease_record_unencodable"; "{error}");
            return LeaseWrite::Failed;
        }
    };
    let owner = KeyVersion { key: owner_key(PLANNER), version: epoch };
    let mut replaced = version;
    for _ in 0..MAX_ATTEMPTS {
        let expected =
            vec![owner.clone(), KeyVersion { key: keys::LEASES.to_owned(), version: replaced }];
        let put = Put { key: keys::LEASES.to_owned(), value: value.clone(), lease_id: 0 };
        let txn = StoreCall::Txn { expected, puts: vec![put], deletes: Vec::new() };
        let answer = tokio::time::timeout(WRITE_TIMEOUT, daemon.store.call(txn)).await;
        let reply = match answer {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => {
                log::info!(event = "lease_record_unsaved"; "{error}");
                return LeaseWrite::Failed;
            }
            Err(_) => {
                log::info!(event = "lease_record_unsaved"; "no answer in time");
                return LeaseWrite::Failed;
            }
        };
        if reply.applied {
            return LeaseWrite::Stored(record, reply.revision);
        }
        let version_of = |key: &str| {
            reply.entries.iter().find(|entry| entry.key == key).map_or(0, |entry| entry.version)
        };
        if version_of(&owner.key) != epoch {
            return LeaseWrite::Superseded;
        }
        replaced = version_of(keys::LEASES);
    }
    LeaseWrite::Failed
}

/// Decodes the record among the entries of a read that was answered at `read_us`. Also returns its version.
pub fn decode(entries: &[Entry], read_us: u64) -> (SeenLeaseRecord, u64) {
    let Some(entry) = entries.iter().find(|entry| entry.key == keys::LEASES) else {
        return (SeenLeaseRecord::default(), 0);
    };
    let record = serde_json::from_str(&entry.value).unwrap_or_else(|error| {
        log::error!(event = "lease_record_unreadable"; "{error}");
        LeaseRecord::default()
    });
    (SeenLeaseRecord { record, seen_us: read_us }, entry.version)
}
