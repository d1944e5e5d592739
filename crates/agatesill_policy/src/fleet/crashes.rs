//! Detection of tasks that crash their workers.
//!
//! Load pattern: a task crashes every worker that starts it, and each crash loses a dozen runs of other
//! tasks. With unlimited retries, the task crashes one worker after another. Most crashes are not caused
//! by a task, and the failure of a rack or a zone can hit the same tasks several times.
//!
//! A run is a suspect until it has been observed running for [`PROBATION_US`]. If its worker is lost
//! before that, the crash counts against the task; a run that lasts longer, or that ends by itself,
//! resets the task's counts. Repeat suspects back off between runs and, where possible, are placed on
//! workers without other repeat suspects, which new starts then avoid. The next crash thus has fewer
//! possible causes.

use super::US_PER_MS;
use super::job::{JobPhase, Task, TaskRef, TaskState};
use super::state::Fleet;
use super::worker::{WorkerIndex, WorkerStanding};

/// Running time after which a crash of the worker no longer counts against the task.
const PROBATION_US: u64 = 2_000 * US_PER_MS;

/// Consecutive crashes without another known cause after which a task is given up.
const MOST_UNEXPLAINED_CRASHES: u32 = 3;

/// Consecutive crashes, whatever their cause, after which a task is given up.
const MOST_CRASHES: u32 = 5;

/// Consecutive crashes that make a task a repeat suspect.
const REPEAT_SUSPECT_CRASHES: u32 = 2;

/// Initial backoff of a repeat suspect; doubles with each further crash.
const FIRST_BACKOFF_US: u64 = 500 * US_PER_MS;

/// Upper limit of the backoff.
const LONGEST_BACKOFF_US: u64 = 2_000 * US_PER_MS;

/// Number of workers going silent within [`CORRELATION_WINDOW_US`] of a crashed worker, itself included,
/// from which the crash is attributed to a shared cause such as a power failure of a rack.
const CORRELATED_WORKERS: usize = 4;

/// Largest difference between the last answers of workers whose failures are correlated.
const CORRELATION_WINDOW_US: u64 = 1_000 * US_PER_MS;

/// How long after its last answer a silent worker is considered for correlation.
const SILENCE_RETENTION_US: u64 = 30_000 * US_PER_MS;

impl Task {
    /// Whether it crashed workers repeatedly and its newest run is still on probation.
    pub(super) fn is_repeat_suspect(&self) -> bool {
        self.crashes >= REPEAT_SUSPECT_CRASHES && !self.is_past_probation
    }

    /// Whether its next run is delayed because of earlier crashes.
    pub(super) fn is_backing_off(&self, now_us: u64) -> bool {
        let Some(doublings) = self.crashes.checked_sub(REPEAT_SUSPECT_CRASHES) else {
            return false;
        };
        let backoff_us = (FIRST_BACKOFF_US << doublings.min(4)).min(LONGEST_BACKOFF_US);
        now_us.saturating_sub(self.since_us) < backoff_us
    }
}

impl Fleet {
    pub(super) fn is_repeat_suspect(&self, at: TaskRef) -> bool {
        self.job(at.job).is_some_and(|job| job.tasks[at.task as usize].is_repeat_suspect())
    }

    /// Releases all tasks of a worker whose runs are lost, and counts a crash against those still on
    /// probation. `is_crash` is false if the worker may still be up; the crash is then not unexplained.
    pub(super) fn release_lost_runs(&mut self, index: WorkerIndex, is_crash: bool, now_us: u64) {
        let is_unexplained = is_crash && self.is_unexplained(index);
        for at in std::mem::take(&mut self.workers[index as usize].tasks) {
            let is_suspect = self.is_suspect(at);
            self.counts.lost += 1;
            self.mark(at.job, now_us);
            self.release(at, TaskState::Waiting, now_us);
            if is_suspect {
                self.count_crash(at, is_unexplained);
            }
            self.log_lost_run(index, at, is_suspect, is_unexplained);
            self.give_up_after_crashes(at, now_us);
        }
    }

    /// Records the last answer of a worker that went silent, for correlation with other failures.
    pub(super) fn record_silence(&mut self, index: WorkerIndex, now_us: u64) {
        let answered_us = self.workers[index as usize].answered_us;
        self.silences_us.push_back(answered_us);
        while self.silences_us.front().is_some_and(|at_us| at_us + SILENCE_RETENTION_US < now_us) {
            self.silences_us.pop_front();
        }
    }

    /// Ends the probation of a run reported by its worker once it has run for [`PROBATION_US`].
    pub(super) fn update_probation(&mut self, at: TaskRef, now_us: u64) {
        let Some(job) = self.job_mut(at.job) else { return };
        let task = &mut job.tasks[at.task as usize];
        let is_past_probation = matches!(task.state, TaskState::Running(_))
            && now_us.saturating_sub(task.since_us) >= PROBATION_US;
        if !is_past_probation || task.is_past_probation {
            return;
        }
        let was_suspect = task.crashes > 0;
        self.clear_crashes(at);
        if let Some(job) = self.job_mut(at.job) {
            job.tasks[at.task as usize].is_past_probation = true;
        }
        if was_suspect {
            self.mark(at.job, now_us);
        }
    }

    /// Resets the crash counts of a task after a run that did not crash its worker.
    pub(super) fn clear_crashes(&mut self, at: TaskRef) {
        let Some(job) = self.job_mut(at.job) else { return };
        let task = &mut job.tasks[at.task as usize];
        let suspect_worker = task.state.worker().filter(|_| task.is_repeat_suspect());
        task.crashes = 0;
        task.unexplained_crashes = 0;
        if let Some(worker) = suspect_worker {
            self.remove_repeat_suspect(worker);
        }
    }

    pub(super) fn remove_repeat_suspect(&mut self, index: WorkerIndex) {
        let worker = &mut self.workers[index as usize];
        worker.repeat_suspects = worker.repeat_suspects.saturating_sub(1);
    }

    /// Whether a run may have caused the crash of its worker: its start was ordered, and it is still on
    /// probation.
    fn is_suspect(&self, at: TaskRef) -> bool {
        self.job(at.job).is_some_and(|job| {
            let task = &job.tasks[at.task as usize];
            !task.is_past_probation && !matches!(task.state, TaskState::Chosen(_))
        })
    }

    /// Whether a worker crashed without a known cause other than its tasks. A worker that never answered
    /// this planner is excluded, because it is unknown how long its runs had lasted.
    fn is_unexplained(&self, index: WorkerIndex) -> bool {
        let worker = &self.workers[index as usize];
        let is_correlated =
            |at_us: &&u64| at_us.abs_diff(worker.answered_us) <= CORRELATION_WINDOW_US;
        worker.answered_us > 0
            && !worker.entry.is_leaving
            && self.silences_us.iter().filter(is_correlated).take(CORRELATED_WORKERS).count()
                < CORRELATED_WORKERS
    }

    fn count_crash(&mut self, at: TaskRef, is_unexplained: bool) {
        let Some(job) = self.job_mut(at.job) else { return };
        let task = &mut job.tasks[at.task as usize];
        task.crashes += 1;
        task.unexplained_crashes += u32::from(is_unexplained);
    }

    fn give_up_after_crashes(&mut self, at: TaskRef, now_us: u64) {
        let Some(job) = self.job(at.job).filter(|job| job.phase == JobPhase::Active) else {
            return;
        };
        let task = &job.tasks[at.task as usize];
        if task.crashes < MOST_CRASHES && task.unexplained_crashes < MOST_UNEXPLAINED_CRASHES {
            return;
        }
        log::warn!(event = "task_given_up", job = job.spec.id.as_str(), task = at.task,
            run = task.run, crashes = task.crashes, unexplained = task.unexplained_crashes;
            "too many worker crashes during its runs");
        self.counts.given_up += 1;
        self.finish(at.job, JobPhase::Failed, now_us);
    }

    fn log_lost_run(
        &self,
        index: WorkerIndex,
        at: TaskRef,
        is_suspect: bool,
        is_unexplained: bool,
    ) {
        let Some(job) = self.job(at.job) else { return };
        let task = &job.tasks[at.task as usize];
        let worker = &self.workers[index as usize];
        log::info!(event = "run_lost", job = job.spec.id.as_str(), task = at.task, run = task.run,
            worker = worker.entry.id.as_str(), is_gone = worker.standing == WorkerStanding::Gone,
            is_suspect = is_suspect, is_unexplained = is_unexplained, crashes = task.crashes; "");
    }
}
