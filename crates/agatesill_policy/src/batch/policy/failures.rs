//! Distinguishes workers that fail every task from jobs that fail on every worker.
//!
//! A few faulty workers that fail each task within a second attract more and more tasks, while some
//! jobs fail wherever they run. Without this distinction, the faulty workers would fail most jobs,
//! and a simple failure count would quarantine healthy workers because of faulty jobs.
//! docs/BATCH.md has the results of the `poison-worker` benchmark.
//!
//! The evidence against a worker is the number of different jobs that failed on it since its last
//! success. The evidence against a job is the number of different workers on which it failed. A job
//! that fails on several workers on which other jobs succeed does not count against workers, and a
//! quarantined worker does not count against jobs.

use std::collections::{BTreeMap, BTreeSet};

use super::super::{AttemptOutcome, FailureKind, WorkerId};

/// Number of different jobs that fail in a row before a worker is quarantined. If one job in twenty
/// fails everywhere, four in a row on a healthy worker occur once in 160,000 tasks.
const JOBS_TO_QUARANTINE_WORKER: usize = 4;

/// Number of different healthy workers on which a job fails before it no longer counts against
/// workers.
const WORKERS_TO_SUSPECT_JOB: usize = 2;

/// Number of different healthy workers on which a job fails before it is closed as failed.
const WORKERS_TO_FAIL_JOB: usize = 3;

/// Number of failures of one task, on any workers, before its job is closed as failed.
const MAX_FAILURES: u32 = 8;

/// Maximum share of the workers, in percent, that may be in quarantine at once. If more workers
/// fail, the cause is a common one that a quarantine would not remove.
const MAX_QUARANTINED_PERCENT: usize = 10;

/// First quarantine period, doubled with each failed probe. It is short so that a healthy worker
/// that was quarantined by mistake returns within a minute.
const INITIAL_QUARANTINE_MS: u64 = 20_000;

/// Maximum quarantine period.
const MAX_QUARANTINE_MS: u64 = 600_000;

/// Number of consecutive attempts of a task that may have crashed their workers before its job is
/// closed as failed.
const MAX_CRASHES: u32 = 5;

/// Running time of an attempt after which the loss of its worker does not count as a crash.
const PROBATION_MS: u64 = 2_000;

/// Initial and maximum back-off after a task's own error.
const TASK_BACKOFF_MS: (u64, u64) = (1_000, 60_000);

/// Initial and maximum back-off after an error of the worker. It is short because the next attempt
/// can use another worker.
const WORKER_BACKOFF_MS: (u64, u64) = (200, 10_000);

/// Outcome of an attempt that was lost with its worker. `seen_for_ms` is the time for which the
/// worker reported it as running, or `None` if no answer of the worker listed it as running.
pub fn lost_attempt_outcome(seen_for_ms: Option<u64>) -> AttemptOutcome {
    match seen_for_ms {
        Some(seen_for_ms) if seen_for_ms >= PROBATION_MS => AttemptOutcome::LeaseEnded,
        _ => AttemptOutcome::WorkerCrashed,
    }
}

/// Initial and maximum back-off after an attempt that may have crashed its worker.
const CRASH_BACKOFF_MS: (u64, u64) = (200, 2_000);

/// Failure history of a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// Jobs that failed on it since its last success.
    pub failed_jobs: BTreeSet<String>,
    /// End of its quarantine.
    pub quarantined_until_ms: Option<u64>,
    /// Whether it runs one task at a time as a probe.
    pub probing: bool,
    quarantine_count: u32,
}

/// Failure history of a job.
#[derive(Clone, Debug, Default)]
pub struct JobHealth {
    /// Workers on which it failed.
    pub failed_on: BTreeSet<WorkerId>,
    /// Whether any of its tasks succeeded.
    pub succeeded: bool,
    /// Why the job has to fail, if it has to.
    pub fatal_reason: Option<String>,
}

/// A change to propose for the ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthAction {
    /// Quarantine the worker.
    Quarantine(WorkerId),
    /// Release the worker from quarantine.
    Release(WorkerId),
    /// Close the job as failed, with the reason.
    FailJob(String, String),
}

/// Failure history of all workers and jobs.
#[derive(Debug, Default)]
pub struct FailureTracker {
    workers: BTreeMap<WorkerId, WorkerHealth>,
    jobs: BTreeMap<String, JobHealth>,
    suspected_workers: BTreeSet<WorkerId>,
    jobs_to_evaluate: BTreeSet<String>,
}

impl FailureTracker {
    /// Restores the quarantine of a worker from the ledger after a takeover.
    pub fn restore_quarantine(&mut self, worker: WorkerId, now_ms: u64) {
        let health = self.workers.entry(worker).or_default();
        health.quarantined_until_ms = Some(now_ms + INITIAL_QUARANTINE_MS);
        health.quarantine_count = 1;
        self.suspected_workers.insert(worker);
    }

    /// Records a success.
    pub fn succeeded(&mut self, job: &str, worker: WorkerId) {
        if let Some(health) = self.workers.get_mut(&worker)
            && health.quarantined_until_ms.is_none()
        {
            *health = WorkerHealth::default();
            self.suspected_workers.remove(&worker);
        }
        self.jobs.entry(job.to_owned()).or_default().succeeded = true;
    }

    /// Records a failure and returns the back-off of the task in milliseconds. `failures` and
    /// `overruns` are the ledger's counts for the task, including this failure.
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
                health.fatal_reason = Some("its input is missing or invalid".to_owned());
            }
            FailureKind::MemoryOverrun if overruns > 1 => {
                health.fatal_reason =
                    Some("it exceeded its memory again with twice the size".to_owned());
            }
            FailureKind::MemoryOverrun => return 0,
            FailureKind::TaskError | FailureKind::WorkerError => {
                health.failed_on.insert(worker);
                if failures >= MAX_FAILURES {
                    health.fatal_reason = Some(format!("one of its tasks failed {failures} times"));
                }
                let worker_health = self.workers.entry(worker).or_default();
                worker_health.failed_jobs.insert(job.to_owned());
                self.suspected_workers.insert(worker);
            }
        }
        self.jobs_to_evaluate.insert(job.to_owned());
        let (first_ms, max_ms) = match kind {
            FailureKind::WorkerError => WORKER_BACKOFF_MS,
            _ => TASK_BACKOFF_MS,
        };
        (first_ms << (2 * failures.saturating_sub(1)).min(12)).min(max_ms)
    }

    /// Records that an attempt may have crashed its worker and returns the back-off of the task in
    /// milliseconds. `crashes` is the ledger's count of consecutive such attempts, including this
    /// one.
    ///
    /// The count prevents unlimited retries of a task that crashes its workers, because a crashed
    /// worker reports no failure.
    pub fn crashed(&mut self, job: &str, crashes: u32) -> u64 {
        if crashes >= MAX_CRASHES {
            let health = self.jobs.entry(job.to_owned()).or_default();
            health.fatal_reason = Some(format!("one of its tasks lost {crashes} workers in a row"));
            self.jobs_to_evaluate.insert(job.to_owned());
        }
        let (first_ms, max_ms) = CRASH_BACKOFF_MS;
        (first_ms << crashes.saturating_sub(1).min(8)).min(max_ms)
    }

    /// Removes a closed job. The failure history stays if it failed on any worker, since it still
    /// counts there.
    pub fn job_closed(&mut self, job: &str) {
        self.jobs_to_evaluate.remove(job);
        if let Some(health) = self.jobs.get(job)
            && health.failed_on.is_empty()
        {
            self.jobs.remove(job);
        }
    }

    /// Failure history of a job.
    pub fn job(&self, job: &str) -> Option<&JobHealth> {
        self.jobs.get(job)
    }

    /// Whether a worker runs one task at a time as a probe.
    pub fn is_probing(&self, worker: WorkerId) -> bool {
        self.workers.get(&worker).is_some_and(|health| health.probing)
    }

    /// Evaluates the evidence and returns the changes to propose. `worker_count` is the number of
    /// workers in the cell.
    pub fn evaluate(&mut self, now_ms: u64, worker_count: usize) -> Vec<HealthAction> {
        let mut actions = Vec::new();
        let held = |health: &WorkerHealth| health.quarantined_until_ms.is_some();
        let mut held_back = self.workers.values().filter(|health| held(health)).count();
        let max_quarantined = (worker_count * MAX_QUARANTINED_PERCENT / 100).max(1);
        for worker in self.suspected_workers.clone() {
            let failed_job_count = self.evidence(worker);
            let Some(health) = self.workers.get_mut(&worker) else { continue };
            let limit = if health.probing { 1 } else { JOBS_TO_QUARANTINE_WORKER };
            match health.quarantined_until_ms {
                None if failed_job_count >= limit && held_back < max_quarantined => {
                    let quarantine_ms = (INITIAL_QUARANTINE_MS << health.quarantine_count.min(5))
                        .min(MAX_QUARANTINE_MS);
                    health.quarantined_until_ms = Some(now_ms + quarantine_ms);
                    health.quarantine_count += 1;
                    held_back += 1;
                    actions.push(HealthAction::Quarantine(worker));
                }
                Some(until_ms) if until_ms <= now_ms => {
                    health.quarantined_until_ms = None;
                    health.failed_jobs.clear();
                    health.probing = true;
                    held_back -= 1;
                    actions.push(HealthAction::Release(worker));
                }
                _ => {}
            }
        }
        actions.extend(self.give_up());
        actions
    }

    fn give_up(&mut self) -> Vec<HealthAction> {
        let mut given_up = Vec::new();
        for job in std::mem::take(&mut self.jobs_to_evaluate) {
            let Some(health) = self.jobs.get(&job) else { continue };
            let fails_everywhere =
                !health.succeeded && self.healthy_workers_failed_on(health) >= WORKERS_TO_FAIL_JOB;
            let reason = match (&health.fatal_reason, fails_everywhere) {
                (Some(reason), _) => reason.clone(),
                (None, true) => format!("it failed on {} workers", health.failed_on.len()),
                (None, false) => continue,
            };
            given_up.push(HealthAction::FailJob(job, reason));
        }
        given_up
    }

    /// Number of workers that the job failed on and that do not fail other jobs.
    fn healthy_workers_failed_on(&self, job: &JobHealth) -> usize {
        let is_healthy = |worker: &&WorkerId| {
            self.workers.get(worker).is_none_or(|health| {
                !health.probing
                    && health.quarantined_until_ms.is_none()
                    && health.failed_jobs.len() < JOBS_TO_QUARANTINE_WORKER - 1
            })
        };
        job.failed_on.iter().filter(is_healthy).count()
    }

    /// Number of different jobs that count against a worker.
    fn evidence(&self, worker: WorkerId) -> usize {
        let Some(health) = self.workers.get(&worker) else { return 0 };
        let counts = |job: &&String| {
            self.jobs.get(*job).is_none_or(|job| {
                job.succeeded || self.healthy_workers_failed_on(job) < WORKERS_TO_SUSPECT_JOB
            })
        };
        health.failed_jobs.iter().filter(counts).count()
    }
}
