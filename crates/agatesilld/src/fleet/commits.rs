//! Records on their way to the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use agatesill_coord::lease::owner_key;
use agatesill_platform::zones;
use agatesill_policy::fleet::{
    ClosedZone, JobId, JobPhase, JobWrite, LearnedInterference, ProgressRecord,
};
use agatesill_wire::platform::{Entry, KeyVersion, Put, StoreCall};
use agatesill_wire::prelude::*;
use tokio::time::Instant;

use super::daemon_state::Site;
use super::keys::{self, PLANNER};

/// Entries for records in one transaction: the store takes 32, and one guards the ownership.
pub const MOST_ENTRIES: usize = 31;

/// How long a transaction may take. The store answers within 10 ms, a slow one within 300; each that
/// waits for a lost answer holds up its jobs, and the next try finds out what became of it.
const LIMIT: Duration = Duration::from_millis(600);

/// Keys deleted in one transaction: three of each job.
const MOST_FORGOTTEN: usize = 10;

/// How a group of records fared.
#[derive(Debug)]
pub enum Committed {
    /// They are stored, at this revision. The zones that were found closed take no start that follows.
    Stored(Vec<JobWrite>, u64, Vec<ClosedZone>),
    /// They are not stored now; they are to be taken again. So are records of starts in the zones that
    /// were found closed, once the starts are placed elsewhere.
    Failed(Vec<JobWrite>, Vec<ClosedZone>),
    /// Another daemon owns the range.
    Superseded,
}

/// Stores a group of records, if this daemon still owns the range.
///
/// Guards against a transaction whose answer is lost and which takes effect late: it names the
/// revision that each record must have, so it can't undo a newer one; and the next try recognises
/// its own record when it finds that revision changed.
///
/// Guards against a start in a zone that was closed a moment ago, when the news has not come here yet:
/// the transaction takes effect only while the zones of its starts are open.
pub async fn commit(site: &Site, epoch: u64, writes: Vec<JobWrite>) -> Committed {
    let records = match writes.iter().map(put).collect::<Result<Vec<_>, Error>>() {
        Ok(puts) => puts,
        Err(error) => {
            log::error!(event = "record_unencodable"; "{error}");
            return Committed::Failed(writes, Vec::new());
        }
    };
    let owner = owner_key(PLANNER);
    let mut expected = vec![KeyVersion { key: owner.clone(), version: epoch }];
    expected.extend(
        writes.iter().map(|w| KeyVersion { key: keys::progress(&w.job), version: w.revision }),
    );
    expected.extend(zones_of(&writes).map(|zone| KeyVersion { key: zones::key(zone), version: 0 }));
    let ended = writes.iter().filter(|write| write.record.phase != JobPhase::Active).map(clear);
    let puts = records.iter().cloned().chain(ended).collect();
    let txn = StoreCall::Txn { expected, puts, deletes: Vec::new() };
    let begun = Instant::now();
    let answer = tokio::time::timeout(LIMIT, site.store.call(txn)).await;
    let answer = answer.unwrap_or_else(|_| {
        let what = format!("no answer within {} ms", LIMIT.as_millis());
        Err(Error::new(ErrorKind::StoreUnavailable, what))
    });
    let outcome = match &answer {
        Ok(reply) if reply.applied => "stored",
        Ok(_) => "conflict",
        Err(_) => "failed",
    };
    site.metrics.commit(outcome, begun.elapsed());
    match answer {
        Ok(reply) if reply.applied => Committed::Stored(writes, reply.revision, Vec::new()),
        Ok(reply) => resolve(&owner, epoch, writes, &records, &reply.entries),
        Err(error) => {
            log::warn!(event = "commit_failed", jobs = writes.len(); "{error}");
            Committed::Failed(writes, Vec::new())
        }
    }
}

/// What it means that a revision was not as expected.
fn resolve(
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
        // An earlier try of this daemon took effect; the record is written again over it.
        write.revision = entry.map_or(0, |entry| entry.version);
        revision = revision.max(write.revision);
    }
    if is_stored {
        return Committed::Stored(writes, revision, closed);
    }
    Committed::Failed(writes, closed)
}

/// The zones in which starts follow any of the records.
fn zones_of(writes: &[JobWrite]) -> impl Iterator<Item = &String> {
    let zones: BTreeSet<&String> = writes.iter().flat_map(|write| &write.zones).collect();
    zones.into_iter()
}

fn put(write: &JobWrite) -> Result<Put, Error> {
    let value = encode(&write.record)?;
    Ok(Put { key: keys::progress(&write.job), value, lease_id: 0 })
}

/// Replaces a job that has ended by the mark that it was there.
fn clear(write: &JobWrite) -> Put {
    Put { key: keys::job(&write.job), value: keys::ENDED_JOB.to_owned(), lease_id: 0 }
}

fn encode(record: &ProgressRecord) -> Result<String, Error> {
    serde_json::to_string(record)
        .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))
}

/// Deletes all keys of jobs that nobody asks for any more.
pub async fn forget(site: Arc<Site>, jobs: Vec<JobId>) {
    for chunk in jobs.chunks(MOST_FORGOTTEN) {
        let deletes = chunk
            .iter()
            .flat_map(|id| [keys::job(id), keys::cancel(id), keys::progress(id)])
            .collect();
        if let Err(error) = site.store.txn(Vec::new(), Vec::new(), deletes).await {
            log::warn!(event = "forget_failed", jobs = chunk.len(); "{error}");
        }
    }
}

/// Stores what is learned about images, if this daemon still owns the range. A loss costs the
/// successor some seconds of learning and nothing else.
pub async fn save_learned(site: Arc<Site>, epoch: u64, learned: LearnedInterference) {
    let value = match serde_json::to_string(&learned) {
        Ok(value) => value,
        Err(error) => return log::error!(event = "learned_unencodable"; "{error}"),
    };
    let expected = vec![KeyVersion { key: owner_key(PLANNER), version: epoch }];
    let put = Put { key: keys::LEARNED.to_owned(), value, lease_id: 0 };
    if let Err(error) = site.store.txn(expected, vec![put], Vec::new()).await {
        log::debug!(event = "learned_unsaved"; "{error}");
    }
}
