//! Stores a submitted job, or a record that it is refused.
//!
//! Refused means that the job never runs unless its caller submits it again. A write of the job whose
//! outcome is unknown may take effect seconds later, from any daemon. So a job counts as refused only
//! once a guarded write has occupied its key with a [`RefusalRecord`]: a create finds the key, and a
//! replacement finds another revision.
//!
//! A job that was cancelled before it is stored is stored together with its cancel, so that it never
//! runs.

use agatesill_policy::admission::{Refusal, Return, Verdict};
use agatesill_policy::fleet::JobSpec;
use agatesill_wire::platform::Entry;

use super::clock::wall_ms;
use super::daemon_state::DaemonState;
use super::keys;
use super::load_state::RefusedBecause;
use crate::job_keys::guarded::{
    Guarded, GuardedTxn, read_in_time, write_all_guarded, write_guarded,
};
use crate::job_keys::refusal_record::RefusalRecord;

/// Attempts to write the key of one job. Each but the last finds that another daemon wrote it, or that
/// a lease ended.
const MAX_ATTEMPTS: usize = 4;

/// A refused job, as its caller is told.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusedJob {
    /// Why it was refused.
    pub because: RefusedBecause,
    /// Time after which its caller should return, in whole seconds.
    pub retry_after_ms: u32,
    /// The decision; `None` if the caller returned too early for one.
    pub refusal: Option<Refusal>,
    /// Whether the job was refused before.
    pub is_return: bool,
}

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Submission {
    /// The job was stored now; `is_return` if it had been refused before.
    Stored {
        /// Whether the job was refused before.
        is_return: bool,
    },
    /// The job was stored before, or was cancelled before and is stored as such.
    Existed,
    /// The job is refused and can't run unless it is submitted again.
    Refused(RefusedJob),
    /// The job may have been stored, or may still be.
    Unknown,
    /// The job was not stored, and no write of it by this daemon can take effect later.
    NotStored,
}

/// How the key of a job is created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobCreate {
    /// By a call of its own.
    Alone,
    /// In a transaction with other jobs that are accepted meanwhile.
    Grouped {
        /// Whether the job is of a most urgent queue of its service.
        is_urgent: bool,
    },
}

/// A record of a refused job as found in the store.
#[derive(Clone, Copy, Debug)]
struct FoundRecord {
    record: RefusalRecord,
    version: u64,
}

/// What is to be written under the key of a job.
enum PlannedWrite {
    Job,
    /// The job and its cancel.
    CancelledJob,
    Record(RefusalRecord, RefusedJob),
}

/// Stores a job as `json`, or refuses it by the load that this daemon knows of if load control is
/// active for its service.
pub async fn submit_by_load(daemon: &DaemonState, spec: &JobSpec, json: &str) -> Submission {
    let most_urgent = daemon.controlled_priority(&spec.terms.service);
    let controls_load = most_urgent.is_some();
    let create = most_urgent.map_or(JobCreate::Alone, |priority| JobCreate::Grouped {
        is_urgent: spec.terms.priority <= priority,
    });
    let mut decide = |returning: Option<Return>| match controls_load {
        true => daemon.load.decide(spec, returning, daemon.clock.now_us()),
        false => Verdict::Accept,
    };
    let submission = submit(daemon, spec, json, create, &mut decide).await;
    if controls_load && matches!(submission, Submission::Stored { .. }) {
        daemon.load.accepted(spec, daemon.clock.now_us());
    }
    submission
}

/// Stores a job as `json`, or refuses it as `decide` says, which is asked again for each record that is
/// found under the job's key.
pub async fn submit(
    daemon: &DaemonState,
    spec: &JobSpec,
    json: &str,
    create: JobCreate,
    decide: &mut (dyn FnMut(Option<Return>) -> Verdict + Send),
) -> Submission {
    if daemon.store.is_unavailable() {
        return Submission::NotStored;
    }
    let key = keys::job(&spec.id);
    let mut found: Option<FoundRecord> = None;
    let mut is_unknown = false;
    // A cancel holds also if its record vanishes before the next attempt.
    let mut is_cancelled = false;
    for _ in 0..MAX_ATTEMPTS {
        is_cancelled |= found.is_some_and(|found| found.record.is_cancelled);
        let planned = match is_cancelled {
            true => PlannedWrite::CancelledJob,
            false => plan(spec, found.as_ref(), decide),
        };
        let expect_version = found.map_or(0, |found| found.version);
        let write = match &planned {
            PlannedWrite::Job => match create {
                JobCreate::Grouped { is_urgent } if expect_version == 0 => {
                    daemon.group_commit.create(&key, json, is_urgent).await
                }
                _ => write_guarded(&daemon.store, &key, expect_version, json, 0).await,
            },
            PlannedWrite::CancelledJob => {
                store_cancelled(daemon, &spec.id, json, expect_version).await
            }
            PlannedWrite::Record(record, _) => {
                let now_us = daemon.clock.now_us();
                let lease = &daemon.record_lease;
                lease.write(&daemon.store, &key, expect_version, record, now_us).await
            }
        };
        let entry = match write {
            Guarded::Applied => return planned.applied(found.is_some()),
            Guarded::Conflict(entry) => entry,
            Guarded::NotWritten => break,
            Guarded::Unknown if is_unknown => return Submission::Unknown,
            Guarded::Unknown => {
                is_unknown = true;
                match read_in_time(&daemon.store, &key).await {
                    Some(entry) => Some(entry),
                    None => return Submission::Unknown,
                }
            }
        };
        let is_return = found.is_some();
        found = entry.as_ref().and_then(FoundRecord::decode);
        if entry.is_some() && found.is_none() {
            let is_new = is_unknown && matches!(planned, PlannedWrite::Job);
            return if is_new { Submission::Stored { is_return } } else { Submission::Existed };
        }
    }
    if is_unknown { Submission::Unknown } else { Submission::NotStored }
}

impl FoundRecord {
    fn decode(entry: &Entry) -> Option<Self> {
        let record = RefusalRecord::decode(&entry.value)?;
        Some(Self { record, version: entry.version })
    }
}

impl PlannedWrite {
    /// The outcome once the write has taken effect.
    fn applied(self, is_return: bool) -> Submission {
        match self {
            PlannedWrite::Job => Submission::Stored { is_return },
            PlannedWrite::CancelledJob => Submission::Existed,
            PlannedWrite::Record(_, refused) => Submission::Refused(refused),
        }
    }
}

/// Decides what to write. A request that may be a copy of the refused one is refused as that was:
/// its caller may have had the refusal from another daemon, and need not return.
fn plan(
    spec: &JobSpec,
    found: Option<&FoundRecord>,
    decide: &mut (dyn FnMut(Option<Return>) -> Verdict + Send),
) -> PlannedWrite {
    let arrived_ms = spec.accepted_at_ms;
    let before = found.map(|found| &found.record);
    if let Some(record) = before.filter(|record| record.may_precede(arrived_ms)) {
        let retry_after_ms = record.remaining_ms(arrived_ms);
        let because = RefusedBecause::Early;
        let refused = RefusedJob { because, retry_after_ms, refusal: None, is_return: true };
        return PlannedWrite::Record(*record, refused);
    }
    match decide(before.map(|record| record.returning(arrived_ms))) {
        Verdict::Accept => PlannedWrite::Job,
        Verdict::Refuse(refusal) => {
            let now_ms = wall_ms();
            let record = RefusalRecord::new(before, now_ms, refusal.retry_after_ms);
            let refused = RefusedJob {
                because: refusal.cause.into(),
                retry_after_ms: record.remaining_ms(now_ms),
                refusal: Some(refusal),
                is_return: before.is_some(),
            };
            PlannedWrite::Record(record, refused)
        }
    }
}

/// Stores a job together with its cancel if its key has the expected version.
async fn store_cancelled(
    daemon: &DaemonState,
    id: &str,
    json: &str,
    expect_version: u64,
) -> Guarded {
    let (job_key, cancel_key) = (keys::job(id), keys::cancel(id));
    let expected = [(job_key.as_str(), expect_version)];
    let puts = [(job_key.as_str(), json), (cancel_key.as_str(), keys::CANCEL_VALUE)];
    let write = write_all_guarded(&daemon.store, &expected, &puts).await;
    log::info!(event = "job_stored_cancelled", job = id, is_stored = write == GuardedTxn::Applied;
        "it was cancelled before it was stored");
    match write {
        GuardedTxn::Applied => Guarded::Applied,
        GuardedTxn::Conflict(entries) => Guarded::Conflict(entries.into_iter().next()),
        GuardedTxn::NotWritten => Guarded::NotWritten,
        GuardedTxn::Unknown => Guarded::Unknown,
    }
}
