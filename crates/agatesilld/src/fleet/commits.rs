//! Writes job records to the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use agatesill_coord::lease::owner_key;
use agatesill_platform::zones;
use agatesill_policy::fleet::{
    ClosedZone, JobId, JobPhase, JobWrite, LearnedInterference, ProgressRecord, WorkerAddresses,
};
use agatesill_wire::platform::{Entry, KeyVersion, Put, StoreCall};
use agatesill_wire::prelude::*;
use tokio::time::Instant;

use super::daemon_state::DaemonState;
use super::keys::{self, PLANNER};

/// Job records in one transaction. The store takes 32 entries, and one of them guards the
/// ownership.
pub const MAX_RECORDS_PER_TXN: usize = 31;

/// Timeout of one transaction. The store answers within 10 ms, a slow one within 300 ms. A
/// transaction whose answer is lost blocks its jobs until this timeout; the next attempt finds out
/// whether it took effect.
const TXN_TIMEOUT: Duration = Duration::from_millis(600);

/// Rate of the slowest link over which a large record is stored, in bytes of the record per
/// millisecond.
const MIN_LINK_BYTES_PER_MS: usize = 90;

/// Jobs deleted in one transaction. Each job has three keys.
const MAX_JOBS_PER_DELETE: usize = 10;

/// Outcome of writing a group of records.
#[derive(Debug)]
pub enum Committed {
    /// The records are stored at this revision. The listed zones were found closed and accept no
    /// further starts.
    Stored(Vec<JobWrite>, u64, Vec<ClosedZone>),
    /// The store found other revisions, which the records now carry, or the listed zones closed. The
    /// records must be written again, those of starts in the closed zones after the starts have been
    /// placed elsewhere.
    Conflict(Vec<JobWrite>, Vec<ClosedZone>),
    /// The store answered that it does not accept the transaction. The records must be written
    /// again.
    Rejected(Vec<JobWrite>),
    /// The store did not answer, or did not serve the call. The records must be written again.
    Failed(Vec<JobWrite>),
    /// Another daemon owns the range.
    Superseded,
}

/// Stores a group of records if this daemon still owns the range.
///
/// Guards against a transaction whose answer is lost and which takes effect late: the transaction
/// names the revision that each record must have, so it cannot overwrite a newer record. The next
/// attempt finds the changed revision and recognises its own record.
///
/// Guards against a start in a zone that was closed a moment ago, before the update has reached
/// this daemon: the transaction takes effect only while the zones of its starts are open.
pub async fn commit(daemon: &DaemonState, epoch: u64, writes: Vec<JobWrite>) -> Committed {
    let records = match writes.iter().map(record_put).collect::<Result<Vec<_>, Error>>() {
        Ok(puts) => puts,
        Err(error) => {
            log::error!(event = "record_unencodable"; "{error}");
            return Committed::Rejected(writes);
        }
    };
    let owner = owner_key(PLANNER);
    let mut expected = vec![KeyVersion { key: owner.clone(), version: epoch }];
    expected.extend(
        writes.iter().map(|w| KeyVersion { key: keys::progress(&w.job), version: w.revision }),
    );
    expected.extend(zones_of(&writes).map(|zone| KeyVersion { key: zones::key(zone), version: 0 }));
    let ended =
        writes.iter().filter(|write| write.record.phase != JobPhase::Active).map(ended_job_put);
    let puts = records.iter().cloned().chain(ended).collect();
    let timeout = timeout_of(&records);
    let txn = StoreCall::Txn { expected, puts, deletes: Vec::new() };
    let started = Instant::now();
    let answer = tokio::time::timeout(timeout, daemon.store.call(txn)).await;
    let answer = answer.unwrap_or_else(|_| {
        let detail = format!("no answer within {} ms", timeout.as_millis());
        Err(Error::new(ErrorKind::StoreUnavailable, detail))
    });
    let outcome = match &answer {
        Ok(reply) if reply.applied => "stored",
        Ok(_) => "conflict",
        Err(_) => "failed",
    };
    daemon.metrics.commit(outcome, started.elapsed());
    match answer {
        Ok(reply) if reply.applied => Committed::Stored(writes, reply.revision, Vec::new()),
        Ok(reply) => resolve_conflict(&owner, epoch, writes, &records, &reply.entries),
        Err(error) => {
            let first_job = writes.first().map(|write| write.job.as_str()).unwrap_or_default();
            log::warn!(event = "commit_failed", jobs = writes.len(), first_job = first_job,
                kind = error.kind.row().name; "{error}");
            match error.kind {
                ErrorKind::BadRequest | ErrorKind::TooLarge => Committed::Rejected(writes),
                _ => Committed::Failed(writes),
            }
        }
    }
}

/// Timeout of a transaction. A single record cannot be split, so it gets the time that its transfer
/// takes over a slow link; several records are written in smaller transactions instead.
fn timeout_of(records: &[Put]) -> Duration {
    match records {
        [record] => {
            let transfer_ms = record.value.len() / MIN_LINK_BYTES_PER_MS;
            TXN_TIMEOUT + Duration::from_millis(transfer_ms as u64)
        }
        _ => TXN_TIMEOUT,
    }
}

/// Finds out why a transaction met an unexpected revision.
fn resolve_conflict(
    owner: &str,
    epoch: u64,
    mut writes: Vec<JobWrite>,
    puts: &[Put],
    found: &[Entry],
) -> Committed {
    let is_owned = found.iter().any(|entry| entry.key == owner && entry.version == epoch);
    if !is_owned {
        return Committed::Superseded;
    }
    let closed: Vec<ClosedZone> = found.iter().filter_map(zones::decode).collect();
    let mut is_stored = true;
    let mut revision = 0;
    for (write, put) in writes.iter_mut().zip(puts) {
        let entry = found.iter().find(|entry| entry.key == put.key);
        is_stored &= entry.is_some_and(|entry| entry.value == put.value);
        // An earlier attempt of this daemon took effect. The next attempt overwrites its record.
        write.revision = entry.map_or(0, |entry| entry.version);
        revision = revision.max(write.revision);
    }
    if is_stored {
        return Committed::Stored(writes, revision, closed);
    }
    Committed::Conflict(writes, closed)
}

/// Zones in which any of the records is followed by a start.
fn zones_of(writes: &[JobWrite]) -> impl Iterator<Item = &String> {
    let zones: BTreeSet<&String> = writes.iter().flat_map(|write| &write.zones).collect();
    zones.into_iter()
}

fn record_put(write: &JobWrite) -> Result<Put, Error> {
    let value = encode(&write.record)?;
    Ok(Put { key: keys::progress(&write.job), value, lease_id: 0 })
}

/// Replaces the specification of an ended job with a marker, so that the key continues to exist.
fn ended_job_put(write: &JobWrite) -> Put {
    Put { key: keys::job(&write.job), value: keys::ENDED_JOB.to_owned(), lease_id: 0 }
}

fn encode(record: &ProgressRecord) -> Result<String, Error> {
    serde_json::to_string(record)
        .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))
}

/// Deletes all keys of jobs that ended long ago and are no longer queried.
pub async fn forget(daemon: Arc<DaemonState>, jobs: Vec<JobId>) {
    for chunk in jobs.chunks(MAX_JOBS_PER_DELETE) {
        let deletes = chunk
            .iter()
            .flat_map(|id| [keys::job(id), keys::cancel(id), keys::progress(id)])
            .collect();
        if let Err(error) = daemon.store.txn(Vec::new(), Vec::new(), deletes).await {
            log::warn!(event = "forget_failed", jobs = chunk.len(); "{error}");
        }
    }
}

/// Stores the addresses of the workers if this daemon still owns the range. Returns false if the
/// write is to be repeated. A successor waits for the leases of terminated workers whose addresses
/// it does not know.
pub async fn save_worker_addresses(
    daemon: &DaemonState,
    epoch: u64,
    addresses: &WorkerAddresses,
) -> bool {
    let value = match serde_json::to_string(addresses) {
        Ok(value) => value,
        Err(error) => {
            log::error!(event = "addresses_unencodable"; "{error}");
            return true;
        }
    };
    let expected = vec![KeyVersion { key: owner_key(PLANNER), version: epoch }];
    let put = Put { key: keys::WORKERS.to_owned(), value, lease_id: 0 };
    match daemon.store.txn(expected, vec![put], Vec::new()).await {
        Ok(_) => true,
        Err(error) => {
            log::info!(event = "addresses_unsaved"; "{error}");
            false
        }
    }
}

/// Stores the learned interference between images if this daemon still owns the range. If the write
/// is lost, a successor spends some seconds learning it again; nothing else depends on it.
pub async fn save_learned(daemon: Arc<DaemonState>, epoch: u64, learned: LearnedInterference) {
    let value = match serde_json::to_string(&learned) {
        Ok(value) => value,
        Err(error) => return log::error!(event = "learned_unencodable"; "{error}"),
    };
    let expected = vec![KeyVersion { key: owner_key(PLANNER), version: epoch }];
    let put = Put { key: keys::LEARNED.to_owned(), value, lease_id: 0 };
    if let Err(error) = daemon.store.txn(expected, vec![put], Vec::new()).await {
        log::debug!(event = "learned_unsaved"; "{error}");
    }
}
