//! Telling a worker that fails everything from a job that fails everywhere.
//!
//! Load pattern: a few workers that fail each task within a second, and so draw ever more tasks,
//! beside jobs that fail wherever they run. Without it the bad workers fail most of the floor's
//! jobs, and a simple failure count takes good workers out because of bad jobs; docs/BATCH.md
//! gives the figures of `poison-worker`.
//!
//! Evidence against a worker is the number of different jobs that failed on it since its last
//! success; evidence against a job is the number of different workers that it failed on. A job
//! that fails on several workers on which others succeed does not count against workers, and a
//! worker that is held back does not count against jobs.

use std::collections::{BTreeMap, BTreeSet};

use super::super::{AttemptOutcome, FailureKind, WorkerId};

/// Different jobs that fail in a row before a worker is held back. With one job in twenty failing
/// everywhere, four in a row on a good worker come once in 160,000 tasks.
const JOBS_AGAINST_WORKER: usize = 4;

/// Different good workers on which a job may fail before it no longer counts against workers.
const WORKERS_TO_SUSPECT_JOB: usize = 2;

/// Different good workers on which a job may fail before it is given up.
const WORKERS_AGAINST_JOB: usize = 3;

/// Failures of one task, on whatever worker, before its job is given up.
const MOST_FAILURES: u32 = 8;

/// Share of the floor, in percent, that may be held back at once: more failing workers than
/// that point to a common cause, which holding back would not mend.
const QUARANTINE_PERCENT: usize = 10;

/// First time in quarantine; doubles with each failed probe. Short, so that a good worker held
/// back by mistake returns within a minute.
const QUARANTINE_MS: u64 = 20_000;

/// Longest time in quarantine.
const MOST_QUARANTINE_MS: u64 = 600_000;

/// Consecutive attempts of a task that may have crashed their workers, after which its job is given
/// up.
const MOST_CRASHES: u32 = 5;

/// Running time of an attempt after which the loss of its worker no longer counts as a crash.
const PROBATION_MS: u64 = 2_000;

/// Backoff after a task's own error: first and longest.
const TASK_BACKOFF_MS: (u64, u64) = (1_000, 60_000);

/// Backoff after a worker's error: another worker is tried soon.
const WORKER_BACKOFF_MS: (u64, u64) = (200, 10_000);

/// Outcome of an attempt that was lost with its worker, by how long it was seen running; `None` if
/// no answer of the worker listed it as running.
pub fn lost_attempt_outcome(seen_for_ms: Option<u64>) -> AttemptOutcome {
    match seen_for_ms {
        Some(seen_for_ms) if seen_for_ms >= PROBATION_MS => AttemptOutcome::LeaseEnded,
        _ => AttemptOutcome::WorkerCrashed,
    }
}

/// Backoff after an attempt that may have crashed its worker: first and longest.
const CRASH_BACKOFF_MS: (u64, u64) = (200, 2_000);

/// How a worker stands.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// Jobs that failed on it since its last success.
    pub failed_jobs: BTreeSet<String>,
    /// End of its quarantine.
    pub quarantined_until_ms: Option<u64>,
    /// Whether it is on trial with one task at a time.
    pub probing: bool,
    strikes: u32,
}

/// How a job stands.
#[derive(Clone, Debug, Default)]
pub struct JobHealth {
    /// Workers on which it failed.
    pub failed_on: BTreeSet<WorkerId>,
    /// Whether any of its tasks succeeded.
    pub succeeded: bool,
    /// Why it must be given up.
    pub fatal: Option<String>,
}

/// A change for the ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Hold the worker back.
    Quarantine(WorkerId),
    /// Let the worker take work again.
    Release(WorkerId),
    /// Give the job up.
    GiveUp(String, String),
}

/// Evidence against workers and jobs.
#[derive(Debug, Default)]
pub struct Failures {
    workers: BTreeMap<WorkerId, WorkerHealth>,
    jobs: BTreeMap<String, JobHealth>,
    suspects: BTreeSet<WorkerId>,
    doomed: BTreeSet<String>,
}

impl Failures {
    /// Notes a worker that the ledger holds back, after a takeover.
    pub fn restore_quarantine(&mut self, worker: WorkerId, now_ms: u64) {
        let health = self.workers.entry(worker).or_default();
        health.quarantined_until_ms = Some(now_ms + QUARANTINE_MS);
        health.strikes = 1;
        self.suspects.insert(worker);
    }

    /// Takes in a success.
    pub fn succeeded(&mut self, job: &str, worker: WorkerId) {
        if let Some(health) = self.workers.get_mut(&worker)
            && health.quarantined_until_ms.is_none()
        {
            *health = WorkerHealth::default();
            self.suspects.remove(&worker);
        }
        self.jobs.entry(job.to_owned()).or_default().succeeded = true;
    }

    /// Takes in a failure and returns how long the task should wait; `failures` and `overruns`
    /// are the ledger's counts for the task, this one included.
    pub fn failed(
        &mut self,
        job: &str,
        worker: WorkerId,
        kind: FailureKind,
        failures: u32,
        overruns: u32,
    ) -> u64 {
        let health = self.jobs.entry(job.to_owned()).or_default();
        match kind {
            FailureKind::BadInput => {
                health.fatal = Some("its input is missing or invalid".to_owned());
            }
            FailureKind::MemoryOverrun if overruns > 1 => {
                health.fatal = Some("it exceeded its memory again with twice the size".to_owned());
            }
            FailureKind::MemoryOverrun => return 0,
            FailureKind::TaskError | FailureKind::WorkerError => {
                health.failed_on.insert(worker);
                if failures >= MOST_FAILURES {
                    health.fatal = Some(format!("one of its tasks failed {failures} times"));
                }
                let against = self.workers.entry(worker).or_default();
                against.failed_jobs.insert(job.to_owned());
                self.suspects.insert(worker);
            }
        }
        self.doomed.insert(job.to_owned());
        let (first_ms, most_ms) = match kind {
            FailureKind::WorkerError => WORKER_BACKOFF_MS,
            _ => TASK_BACKOFF_MS,
        };
        (first_ms << (2 * failures.saturating_sub(1)).min(12)).min(most_ms)
    }

    /// Records that an attempt may have crashed its worker and returns how long the task should
    /// wait; `crashes` is the ledger's count of such attempts in a row, this one included.
    ///
    /// Guards against unlimited retries of a task that crashes its workers: a crashed worker
    /// reports no failure.
    pub fn crashed(&mut self, job: &str, crashes: u32) -> u64 {
        if crashes >= MOST_CRASHES {
            let health = self.jobs.entry(job.to_owned()).or_default();
            health.fatal = Some(format!("one of its tasks lost {crashes} workers in a row"));
            self.doomed.insert(job.to_owned());
        }
        let (first_ms, most_ms) = CRASH_BACKOFF_MS;
        (first_ms << crashes.saturating_sub(1).min(8)).min(most_ms)
    }

    /// Forgets a closed job.
    pub fn closed(&mut self, job: &str) {
        self.doomed.remove(job);
        if let Some(health) = self.jobs.get(job)
            && health.failed_on.is_empty()
        {
            self.jobs.remove(job);
        }
    }

    /// How a job stands.
    pub fn job(&self, job: &str) -> Option<&JobHealth> {
        self.jobs.get(job)
    }

    /// Whether a worker is on trial with one task at a time.
    pub fn is_probing(&self, worker: WorkerId) -> bool {
        self.workers.get(&worker).is_some_and(|health| health.probing)
    }

    /// What the evidence asks for now; `floor` is the number of workers.
    pub fn judge(&mut self, now_ms: u64, floor: usize) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let held = |health: &WorkerHealth| health.quarantined_until_ms.is_some();
        let mut held_back = self.workers.values().filter(|health| held(health)).count();
        let most = (floor * QUARANTINE_PERCENT / 100).max(1);
        for worker in self.suspects.clone() {
            let against = self.evidence(worker);
            let Some(health) = self.workers.get_mut(&worker) else { continue };
            let limit = if health.probing { 1 } else { JOBS_AGAINST_WORKER };
            match health.quarantined_until_ms {
                None if against >= limit && held_back < most => {
                    let time_ms = (QUARANTINE_MS << health.strikes.min(5)).min(MOST_QUARANTINE_MS);
                    health.quarantined_until_ms = Some(now_ms + time_ms);
                    health.strikes += 1;
                    held_back += 1;
                    verdicts.push(Verdict::Quarantine(worker));
                }
                Some(until_ms) if until_ms <= now_ms => {
                    health.quarantined_until_ms = None;
                    health.failed_jobs.clear();
                    health.probing = true;
                    held_back -= 1;
                    verdicts.push(Verdict::Release(worker));
                }
                _ => {}
            }
        }
        verdicts.extend(self.give_up());
        verdicts
    }

    fn give_up(&mut self) -> Vec<Verdict> {
        let mut given_up = Vec::new();
        for job in std::mem::take(&mut self.doomed) {
            let Some(health) = self.jobs.get(&job) else { continue };
            let everywhere =
                !health.succeeded && self.good_failed_on(health) >= WORKERS_AGAINST_JOB;
            let reason = match (&health.fatal, everywhere) {
                (Some(reason), _) => reason.clone(),
                (None, true) => format!("it failed on {} workers", health.failed_on.len()),
                (None, false) => continue,
            };
            given_up.push(Verdict::GiveUp(job, reason));
        }
        given_up
    }

    /// Workers that the job failed on and that do not fail other jobs.
    fn good_failed_on(&self, job: &JobHealth) -> usize {
        let is_good = |worker: &&WorkerId| {
            self.workers.get(worker).is_none_or(|health| {
                !health.probing
                    && health.quarantined_until_ms.is_none()
                    && health.failed_jobs.len() < JOBS_AGAINST_WORKER - 1
            })
        };
        job.failed_on.iter().filter(is_good).count()
    }

    /// Different jobs that count against a worker.
    fn evidence(&self, worker: WorkerId) -> usize {
        let Some(health) = self.workers.get(&worker) else { return 0 };
        let counts = |job: &&String| {
            self.jobs.get(*job).is_none_or(|job| {
                job.succeeded || self.good_failed_on(job) < WORKERS_TO_SUSPECT_JOB
            })
        };
        health.failed_jobs.iter().filter(counts).count()
    }
}
