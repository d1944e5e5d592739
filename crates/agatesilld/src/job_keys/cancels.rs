//! Stores cancels.
//!
//! An answered cancel holds for every write of its job, also for one that takes effect later. A
//! cancel of a stored job has a key of its own, which the planner watches. If the job is not stored, a
//! record occupies its key: a create that is under way finds the key, a replacement of an earlier
//! record finds another version, and a submission that arrives later finds that the job was
//! cancelled. The record vanishes with its lease, which is longer than a write can be late.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use agatesill_coord::store::Store;
use agatesill_policy::admission::cancel_records::CancelRecords;
use agatesill_wire::fleet::FleetWrite;
use agatesill_wire::platform::Entry;

use super::guarded::{Guarded, GuardedTxn, read_in_time, write_all_guarded};
use super::record_lease::RecordLease;
use super::refusal_record::RefusalRecord;
use crate::store_keys as keys;

/// Attempts to store one cancel. Each but the last finds that another daemon wrote the job's key, or
/// that a lease ended.
const MAX_ATTEMPTS: usize = 4;

/// Lease of the records of cancelled jobs. A daemon that was suspended with a submission in hand may
/// store the job when it resumes.
const RECORD_TTL: Duration = Duration::from_secs(60);

/// Stores the cancels of one daemon.
#[derive(Debug)]
pub struct CancelWriter {
    store: Store,
    lease: RecordLease,
    records: Mutex<CancelRecords>,
}

/// Result of one attempt to store a cancel.
enum Attempt {
    Ended(FleetWrite),
    /// The key of the job holds this now, or does not exist. The attempt's write may still take effect
    /// if `is_unknown`.
    Changed {
        found: Option<Entry>,
        is_unknown: bool,
    },
}

impl CancelWriter {
    /// Writes cancels to `store`.
    pub fn new(store: Store) -> Self {
        Self { store, lease: RecordLease::new(RECORD_TTL), records: Mutex::default() }
    }

    /// Stores the cancel of a job. [`FleetWrite::NoSuchJob`] means that the job does not exist and that
    /// no write of it under way can take effect. `now_ms` is the wall clock.
    pub async fn cancel(&self, id: &str, now_us: u64, now_ms: u64) -> FleetWrite {
        if self.store.is_unavailable() {
            return FleetWrite::NotStored;
        }
        let mut found = match self.store.get(&keys::job(id)).await {
            Ok(found) => found,
            Err(error) => {
                log::debug!(event = "cancel_unread", job = id; "{error}");
                return FleetWrite::NotStored;
            }
        };
        let mut is_unknown = false;
        for _ in 0..MAX_ATTEMPTS {
            let record = found.as_ref().and_then(|entry| RefusalRecord::decode(&entry.value));
            let attempt = match (&found, &record) {
                (Some(job), None) => self.cancel_stored(id, job).await,
                _ => {
                    let cancelled = RefusalRecord::cancelled(record.as_ref(), now_ms);
                    self.occupy(id, found.as_ref(), &cancelled, now_us).await
                }
            };
            match attempt {
                Attempt::Ended(write) => {
                    log_written(id, found.as_ref(), record.as_ref(), write);
                    let may_be_stored = is_unknown && write == FleetWrite::NotStored;
                    return if may_be_stored { FleetWrite::Unknown } else { write };
                }
                Attempt::Changed { found: now_found, is_unknown: now_unknown } => {
                    found = now_found;
                    is_unknown |= now_unknown;
                }
            }
        }
        if is_unknown { FleetWrite::Unknown } else { FleetWrite::NotStored }
    }

    /// Stores the cancel of a stored job.
    ///
    /// Guards against a create whose answer is lost: it may have taken effect, or may still do so. The
    /// key is read back, and the caller never gets the answer that the cancel was not accepted.
    async fn cancel_stored(&self, id: &str, job: &Entry) -> Attempt {
        let (job_key, cancel_key) = (keys::job(id), keys::cancel(id));
        let expected = [(job_key.as_str(), job.version), (cancel_key.as_str(), 0)];
        let puts = [(cancel_key.as_str(), keys::CANCEL_VALUE)];
        match write_all_guarded(&self.store, &expected, &puts).await {
            GuardedTxn::Applied => Attempt::Ended(FleetWrite::Stored),
            GuardedTxn::Conflict(entries) if entries.iter().any(|e| e.key == cancel_key) => {
                Attempt::Ended(FleetWrite::Existed)
            }
            GuardedTxn::Conflict(entries) => {
                Attempt::Changed { found: entries.into_iter().next(), is_unknown: false }
            }
            GuardedTxn::NotWritten => Attempt::Ended(FleetWrite::NotStored),
            GuardedTxn::Unknown => match read_in_time(&self.store, &cancel_key).await {
                Some(_) => Attempt::Ended(FleetWrite::Stored),
                None => Attempt::Ended(FleetWrite::Unknown),
            },
        }
    }

    /// Occupies the key of a job that is not stored. An earlier record of a cancel is replaced as well,
    /// because its lease may end before a write that is under way takes effect.
    async fn occupy(
        &self,
        id: &str,
        found: Option<&Entry>,
        cancelled: &RefusalRecord,
        now_us: u64,
    ) -> Attempt {
        if !self.records.lock().unwrap_or_else(PoisonError::into_inner).admit(now_us) {
            return Attempt::Ended(FleetWrite::Throttled);
        }
        let key = keys::job(id);
        let version = found.map_or(0, |entry| entry.version);
        match self.lease.write(&self.store, &key, version, cancelled, now_us).await {
            Guarded::Applied => Attempt::Ended(FleetWrite::NoSuchJob),
            Guarded::Conflict(found) => Attempt::Changed { found, is_unknown: false },
            Guarded::NotWritten => Attempt::Ended(FleetWrite::NotStored),
            Guarded::Unknown => match read_in_time(&self.store, &key).await {
                Some(entry) if entry.version != version => {
                    match RefusalRecord::decode(&entry.value) {
                        Some(record) if record.is_cancelled => {
                            Attempt::Ended(FleetWrite::NoSuchJob)
                        }
                        _ => Attempt::Changed { found: Some(entry), is_unknown: true },
                    }
                }
                _ => Attempt::Ended(FleetWrite::Unknown),
            },
        }
    }
}

fn log_written(id: &str, found: Option<&Entry>, record: Option<&RefusalRecord>, write: FleetWrite) {
    let found = match (found, record) {
        (None, _) => "nothing",
        (Some(_), None) => "job",
        (Some(_), Some(record)) if record.is_cancelled => "cancel",
        (Some(_), Some(_)) => "refusal",
    };
    log::info!(event = "cancel_written", job = id, found = found, outcome:? = write; "");
}
