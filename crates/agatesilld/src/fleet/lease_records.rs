//! The stored record of the leases of workers, which planners hand over.
//!
//! All daemons see its versions by the watch on the owners' keys, so that each can tell how long ago a version
//! had been written at the least.

use std::time::Duration;

use agatesill_coord::lease::{Owner, owner_key};
use agatesill_coord::store::CallTiming;
use agatesill_policy::fleet::{LeaseRecord, SeenLeaseRecord, US_PER_MS};
use agatesill_wire::platform::{Entry, KeyVersion, Put, StoreCall};
use agatesill_wire::prelude::*;
use serde::Serialize;

use super::daemon_state::DaemonState;
use super::keys::{self, PLANNER};

/// Timeout of a write. The next one follows at once.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between writes. All leases end a fixed time after the last one, also while the store is away.
const WRITE_INTERVAL_US: u64 = 500 * US_PER_MS;

/// Delay after a failed write.
const RETRY_BACKOFF_US: u64 = 100 * US_PER_MS;

/// Attempts of one write that meets another version of the record: an earlier write of the same planner whose
/// answer was lost.
const MAX_ATTEMPTS: usize = 2;

/// Time for which the first record of a new planner waits for the first answers of workers. It names those that
/// have not answered, and no lease is requested before it is stored.
const FIRST_ANSWERS_US: u64 = 100 * US_PER_MS;

/// A record whose write was confirmed.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    /// The record.
    pub record: LeaseRecord,
    /// Its version.
    pub version: u64,
    /// When the write was sent.
    pub sent_us: u64,
}

/// Outcome of a write.
#[derive(Debug)]
pub enum LeaseWrite {
    /// The record is stored.
    Stored(StoredRecord),
    /// It is not known whether the record is stored.
    Failed,
    /// Another daemon owns the range.
    Superseded,
}

/// What a planner that has ended hands over.
#[derive(Debug)]
pub struct LastLeases {
    /// Version of the record that it replaces.
    pub version: u64,
    /// The record.
    pub record: LeaseRecord,
    /// Earlier planners that may still renew leases.
    pub planners: Vec<Owner>,
}

impl LastLeases {
    /// Stores that the planner of `epoch` requests no leases any more.
    pub async fn store(self, daemon: &DaemonState, epoch: u64) {
        let written = store(daemon, epoch, self.version, self.record, &self.planners).await;
        log::info!(event = "leases_handed_over", epoch = epoch,
            is_stored = matches!(written, LeaseWrite::Stored(_)); "");
    }
}

/// Which record is stored, and when the next one is due.
#[derive(Debug)]
pub struct LeaseRecords {
    started_us: u64,
    version: u64,
    /// The newest record that is known to be stored; `None` while the one is that this planner began with.
    stored: Option<LeaseRecord>,
    is_writing: bool,
    /// Time before which nothing is written, because a write has failed.
    earliest_us: u64,
    /// Time at which the stored record has become old.
    next_us: u64,
}

impl LeaseRecords {
    /// Continues after the announcement of this planner, which has this version.
    pub fn start(version: u64, now_us: u64) -> Self {
        Self {
            started_us: now_us,
            version,
            stored: None,
            is_writing: false,
            earliest_us: 0,
            next_us: 0,
        }
    }

    /// Whether a stored record allows this planner to request leases.
    pub fn allows_leases(&self) -> bool {
        self.stored.is_some()
    }

    /// Version of the newest record that is known to be stored.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether workers that have not answered yet count as silent.
    pub fn is_first_wait_over(&self, now_us: u64) -> bool {
        now_us >= self.started_us + FIRST_ANSWERS_US
    }

    /// Whether `record` is to be stored now: it names other workers than the stored one, or the stored one
    /// has become old.
    pub fn is_due(&self, record: &LeaseRecord, now_us: u64) -> bool {
        let names_same = self
            .stored
            .as_ref()
            .is_some_and(|stored| record.silent.keys().eq(stored.silent.keys()));
        !self.is_writing && now_us >= self.earliest_us && (!names_same || now_us >= self.next_us)
    }

    /// Begins a write. Returns the version that it replaces.
    pub fn begin(&mut self, now_us: u64) -> u64 {
        self.is_writing = true;
        self.next_us = now_us + WRITE_INTERVAL_US;
        self.version
    }

    /// Applies the outcome of a write.
    pub fn written(&mut self, write: &LeaseWrite, now_us: u64) {
        self.is_writing = false;
        match write {
            LeaseWrite::Stored(stored) => {
                self.version = stored.version;
                self.stored = Some(stored.record.clone());
            }
            LeaseWrite::Failed => {
                self.earliest_us = now_us + RETRY_BACKOFF_US;
                self.next_us = self.earliest_us;
            }
            LeaseWrite::Superseded => {}
        }
    }
}

fn put(key: &str, value: &(impl Serialize + ?Sized)) -> Result<Put, Error> {
    let value = serde_json::to_string(value)
        .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))?;
    Ok(Put { key: key.to_owned(), value, lease_id: 0 })
}

/// Stores a record in place of the one of `version`, with the list of planners, if this daemon still owns the
/// range under `epoch`.
///
/// Each write names the version that it replaces, so that one whose answer was lost can't take effect after a
/// later one.
pub async fn store(
    daemon: &DaemonState,
    epoch: u64,
    version: u64,
    record: LeaseRecord,
    planners: &[Owner],
) -> LeaseWrite {
    let puts = match (put(keys::LEASES, &record), put(keys::PLANNERS, planners)) {
        (Ok(leases), Ok(planners)) => vec![leases, planners],
        (Err(error), _) | (_, Err(error)) => {
            log::error!(event = "lease_record_unencodable"; "{error}");
            return LeaseWrite::Failed;
        }
    };
    let owner = KeyVersion { key: owner_key(PLANNER), version: epoch };
    let mut replaced = version;
    for _ in 0..MAX_ATTEMPTS {
        let leases = KeyVersion { key: keys::LEASES.to_owned(), version: replaced };
        let expected = vec![owner.clone(), leases];
        let txn = StoreCall::Txn { expected, puts: puts.clone(), deletes: Vec::new() };
        let sent_us = daemon.clock.now_us();
        let reply = match daemon
            .store
            .call_promptly(txn, WRITE_TIMEOUT, &mut CallTiming::default())
            .await
        {
            Ok(reply) => reply,
            Err(error) => {
                log::info!(event = "lease_record_unsaved", epoch = epoch; "{error}");
                return LeaseWrite::Failed;
            }
        };
        if reply.applied {
            return LeaseWrite::Stored(StoredRecord { record, version: reply.revision, sent_us });
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

/// Decodes the record of an entry that had been written at `seen_us`. One that can't be read is empty.
pub fn decode(entry: &Entry, seen_us: u64) -> SeenLeaseRecord {
    let mut record: LeaseRecord = serde_json::from_str(&entry.value).unwrap_or_else(|error| {
        log::error!(event = "lease_record_unreadable"; "{error}");
        LeaseRecord::default()
    });
    record.reduce_numbers();
    SeenLeaseRecord { record, seen_us }
}
