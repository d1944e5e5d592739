//! Which failed runs count against their worker, and when a failing worker is trusted again.
//!
//! Load pattern: a fifth of the workers fail most of what they start. They are free again at once,
//! so they get the next tasks and use up the attempts of healthy jobs. Beside them, a hundred jobs a
//! second fail wherever they run, which makes healthy workers look alike. Few failed runs of sound jobs
//! close a worker, and of unknown jobs the more, the more are at fault. A distrusted worker gets one
//! task at a time until some in a row complete. Last attempts go to workers that have completed runs
//! and on which no sound job failed.

use std::collections::HashSet;

use super::US_PER_MS;
use super::job::{Job, JobPhase, TaskRef};
use super::place::PlacementRequest;
use super::state::{Fleet, TaskGroup};
use super::worker::{Worker, WorkerIndex};

/// Runs of sound jobs that must fail on a worker, beyond those that complete there, before it is
/// distrusted.
const MIN_FAILED_RUNS: usize = 3;

/// Number of jobs of which these runs must be.
const MIN_SOUND_JOBS: usize = 2;

/// Number of failed runs that are kept for each worker.
const MAX_FAILED_RUNS: usize = 64;

/// Failed runs, beyond those that complete, from which a worker is avoided by tasks that can spare an
/// attempt. A few runs of a hundred fail on sound workers too, and avoiding these would spread tasks
/// over workers that are packed well.
const MIN_AVOIDED_FAILURES: usize = 2;

/// Time for which a failure makes other workers preferable although its worker is still trusted, and
/// for which a completed run makes a worker preferable for last attempts.
const MEMORY_US: u64 = 5_000 * US_PER_MS;

/// Penalty of a worker on which runs fail, or on which runs of the same job failed. Higher than that
/// of a worker off the data rack, since a failed run costs an attempt as well as its time.
const FAILURE_PENALTY: f64 = 200.0;

/// Time for which last attempts are placed with care after a worker was distrusted or failed a trial.
/// Without failing workers, runs fail by chance, and care would only crowd the proven workers.
const CARE_US: u64 = 10_000 * US_PER_MS;

/// Completed runs in a row from which a worker is preferred for last attempts.
const PROVEN_RUNS: u32 = 3;

/// Penalty, for last attempts, of a worker on which few runs have completed of late.
const UNPROVEN_PENALTY: f64 = 20.0;

/// Penalty of a worker on which runs failed whose jobs may be at fault.
const UNEXPLAINED_FAILURE_PENALTY: f64 = 50.0;

/// Time before the first trial of a distrusted worker; it doubles with each trial that fails.
const TRIAL_INTERVAL_US: u64 = 1_000 * US_PER_MS;

/// Trials that must complete in a row before a distrusted worker is trusted.
const REQUIRED_TRIALS: u32 = 4;

/// Maximum number of doublings of [`TRIAL_INTERVAL_US`].
const MAX_TRIAL_DOUBLINGS: u32 = 2;

/// Time for which the first trial waits for a best-effort task. After it, any task that can spare an attempt
/// tries the worker.
const BEST_EFFORT_TRIAL_US: u64 = 4_000 * US_PER_MS;

/// End of the closure of a distrusted worker, which only a completed run ends.
const UNTIL_TRUSTED_US: u64 = u64::MAX;

/// Attempts of the tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempts<'a> {
    /// Workers on which runs of the job failed.
    pub failed_workers: &'a [WorkerIndex],
    /// Whether one more failed run fails the job.
    pub is_last: bool,
    /// Whether workers are known to fail runs, so that last attempts are placed with care.
    pub needs_care: bool,
}

/// Failed and completed runs on a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerFailures {
    /// Slots of the jobs of the failed runs, without those at fault; a completed run removes the
    /// oldest.
    jobs: Vec<u32>,
    /// How many of these runs are of sound jobs.
    sound_runs: usize,
    /// When a run last failed; 0 if none has.
    failed_us: u64,
    /// When a sound job was last among those whose runs failed; 0 if none was.
    sound_failed_us: u64,
    /// When a run last completed; 0 if none has.
    completed_us: u64,
    /// Completed runs since a run of a sound job failed.
    completed_in_row: u32,
    /// Whether the worker gets only trials.
    pub(super) is_distrusted: bool,
    /// Trials that failed in a row.
    failed_trials: u32,
    /// Trials that completed in a row.
    completed_trials: u32,
    /// When a task may next be placed to try the worker.
    next_trial_us: u64,
}

impl WorkerFailures {
    /// Penalty of the worker for a task.
    pub(super) fn penalty(&self, index: WorkerIndex, attempts: Attempts<'_>, now_us: u64) -> f64 {
        let is_recent = |at_us: u64| at_us > 0 && now_us.saturating_sub(at_us) < MEMORY_US;
        let has_failed = is_recent(self.sound_failed_us);
        let is_proven = self.completed_in_row >= PROVEN_RUNS;
        let is_careful = attempts.is_last && attempts.needs_care;
        let is_failing = has_failed && (is_careful || self.sound_runs >= MIN_AVOIDED_FAILURES);
        if is_failing || attempts.failed_workers.contains(&index) {
            FAILURE_PENALTY
        } else if is_recent(self.failed_us) && self.jobs.len() >= MIN_AVOIDED_FAILURES {
            UNEXPLAINED_FAILURE_PENALTY
        } else if is_careful && !(is_proven && is_recent(self.completed_us)) {
            UNPROVEN_PENALTY
        } else {
            0.0
        }
    }
}

/// Numbers of the jobs whose runs failed on a worker.
#[derive(Clone, Copy, Debug, Default)]
struct FailedJobs {
    /// Failed runs of sound jobs.
    sound_runs: usize,
    sound: usize,
    not_at_fault: usize,
}

impl Fleet {
    /// Counts a failed run against its job or its worker, and distrusts a worker on which too many
    /// jobs failed that are not at fault.
    pub(super) fn attribute_failure(&mut self, index: WorkerIndex, task_ref: TaskRef, now_us: u64) {
        self.note_failed_worker(index, task_ref, now_us);
        let failures = &mut self.workers[index as usize].failures;
        if !failures.is_distrusted && now_us.saturating_sub(failures.failed_us) >= MEMORY_US {
            failures.jobs.clear();
        }
        failures.failed_us = now_us;
        if failures.jobs.len() == MAX_FAILED_RUNS {
            failures.jobs.remove(0);
        }
        failures.jobs.push(task_ref.job);
        if failures.is_distrusted {
            let doublings = failures.failed_trials.min(MAX_TRIAL_DOUBLINGS);
            failures.next_trial_us = now_us + (TRIAL_INTERVAL_US << doublings);
            failures.failed_trials += 1;
            failures.completed_trials = 0;
            self.distrusted_us = now_us;
        }
        self.review_failures(index, now_us);
    }

    /// Judges a worker by the jobs whose runs failed there and by what is known of them by now.
    pub(super) fn review_failures(&mut self, index: WorkerIndex, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        if worker.failures.jobs.is_empty() {
            worker.failures.sound_runs = 0;
            return;
        }
        if !self.controls_load(&self.workers[index as usize].entry.service) {
            self.trust_failed_worker(index, "load control is off", now_us);
            return;
        }
        let counts = self.sort_failed_jobs(index, now_us);
        let is_failing = (counts.sound >= MIN_SOUND_JOBS && counts.sound_runs >= MIN_FAILED_RUNS)
            || counts.not_at_fault >= self.job_outcomes.required_failed_jobs();
        let failures = &self.workers[index as usize].failures;
        if failures.is_distrusted && failures.jobs.is_empty() {
            self.trust_failed_worker(index, "its jobs fail elsewhere too", now_us);
        } else if !failures.is_distrusted && is_failing {
            self.distrust_worker(index, now_us);
        }
    }

    /// Drops the jobs that have failed by their own fault from those whose runs failed on a worker,
    /// and counts the others.
    fn sort_failed_jobs(&mut self, index: WorkerIndex, now_us: u64) -> FailedJobs {
        let mut jobs = std::mem::take(&mut self.workers[index as usize].failures.jobs);
        let has_failed = |job: &Job| job.is_at_fault && job.phase == JobPhase::Failed;
        jobs.retain(|slot| !self.job(*slot).is_some_and(has_failed));
        let is_sound = |slot: &u32| self.job(*slot).is_some_and(Job::is_sound);
        let may_be_at_fault = |slot: &u32| self.job(*slot).is_none_or(|job| job.is_at_fault);
        let sound_runs = jobs.iter().filter(|slot| is_sound(slot)).count();
        let distinct: HashSet<u32> = jobs.iter().copied().collect();
        let counts = FailedJobs {
            sound_runs,
            sound: distinct.iter().filter(|slot| is_sound(slot)).count(),
            not_at_fault: distinct
                .iter()
                .filter(|slot| is_sound(slot) || !may_be_at_fault(slot))
                .count(),
        };
        let failures = &mut self.workers[index as usize].failures;
        if sound_runs > failures.sound_runs {
            failures.sound_failed_us = now_us;
            failures.completed_in_row = 0;
        }
        failures.sound_runs = sound_runs;
        failures.jobs = jobs;
        counts
    }

    fn distrust_worker(&mut self, index: WorkerIndex, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        worker.failures.is_distrusted = true;
        worker.failures.failed_trials = 0;
        worker.failures.completed_trials = 0;
        worker.failures.next_trial_us = now_us + TRIAL_INTERVAL_US;
        worker.closed_until_us = UNTIL_TRUSTED_US;
        self.distrusted_us = now_us;
        self.counts.quarantines += 1;
        log::warn!(event = "worker_distrusted", worker = worker.entry.id.as_str(),
            failed_runs = worker.failures.jobs.len(), sound_runs = worker.failures.sound_runs;
            "runs of healthy jobs fail; placing one task at a time to try the worker");
    }

    /// Records that a run has completed on a worker.
    pub(super) fn note_completed_run(&mut self, index: WorkerIndex, now_us: u64) {
        let failures = &mut self.workers[index as usize].failures;
        failures.completed_us = now_us;
        failures.completed_in_row += 1;
        if !failures.is_distrusted {
            failures.jobs.drain(..failures.jobs.len().min(1));
            return;
        }
        failures.completed_trials += 1;
        failures.next_trial_us = now_us;
        if failures.completed_trials >= REQUIRED_TRIALS {
            self.trust_failed_worker(index, "trials completed", now_us);
            // Last attempts still go elsewhere for a while.
            self.workers[index as usize].failures.sound_failed_us = now_us;
        }
    }

    fn trust_failed_worker(&mut self, index: WorkerIndex, why: &str, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        let completed_us = worker.failures.completed_us;
        worker.failures = WorkerFailures { completed_us, ..WorkerFailures::default() };
        if worker.closed_until_us == UNTIL_TRUSTED_US {
            worker.closed_until_us = now_us;
        }
        log::info!(event = "worker_trusted", worker = worker.entry.id.as_str(), why = why;
            "placing tasks on the worker again");
    }

    /// Whether workers are known to fail runs.
    pub(super) fn has_failing_workers(&self, now_us: u64) -> bool {
        self.distrusted_us > 0 && now_us.saturating_sub(self.distrusted_us) < CARE_US
    }

    /// Whether some of these tasks fail their job if they fail once more. Long-running tasks have no
    /// limit on attempts.
    pub(super) fn is_last_attempt(&self, group: TaskGroup, tasks: &[u32]) -> bool {
        self.job(group.job).is_some_and(|job| {
            let max_attempts = self.terms(job).max_attempts;
            let fails_job = |task: &u32| job.tasks[*task as usize].failures + 1 >= max_attempts;
            !job.spec.steps[group.step as usize].is_lasting && tasks.iter().any(fails_job)
        })
    }

    /// Whether a task may be placed on a distrusted worker to try it: a best-effort task, or after
    /// some time any other that runs to completion and can spare an attempt.
    pub(super) fn may_try_distrusted(
        &self,
        request: &PlacementRequest<'_>,
        worker: &Worker,
        now_us: u64,
    ) -> bool {
        let (step, failures) = (request.step, &worker.failures);
        let spares_attempt =
            request.attempts.is_some_and(|attempts| !attempts.is_last && !step.is_lasting);
        let wait_us = if failures.completed_trials > 0 { 0 } else { BEST_EFFORT_TRIAL_US };
        let any_from_us = failures.next_trial_us.saturating_add(wait_us);
        failures.is_distrusted
            && worker.closed_until_us == UNTIL_TRUSTED_US
            && spares_attempt
            && !step.is_gang
            && now_us >= if step.fills { failures.next_trial_us } else { any_from_us }
            && worker.tasks.len() == worker.lasting as usize
    }
}
