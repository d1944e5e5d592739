//! Detection of tasks that crash their workers.
//!
//! Load pattern: a task crashes every worker that starts it, and each crash loses a dozen runs of
//! other tasks. With unlimited retries, the task crashes one worker after another. Most crashes are
//! not caused by a task, and the failure of a rack or a zone can hit the same tasks several times.
//!
//! A run is a suspect until it has been observed running for [`PROBATION_US`]. If its worker is
//! lost before that, the crash counts against the task; a run that lasts longer, or that ends by
//! itself, resets the task's counts. The suspects of one crash are restarted on different workers
//! where possible, and new starts avoid these workers, so that the next crash has a single suspect.
//! Such a crash is stronger evidence against a task, so fewer of them are allowed. Repeat suspects
//! back off between runs and wait for a limited time for a worker without another suspect.

use super::US_PER_MS;
use super::job::{JobPhase, Task, TaskRef, TaskState};
use super::missing_tasks::state_name;
use super::run_end::RunEnd;
use super::state::Fleet;
use super::worker::{WorkerIndex, WorkerStanding};

/// Run time after which a crash of the worker no longer counts against the task.
const PROBATION_US: u64 = 2_000 * US_PER_MS;

/// Number of consecutive crashes with the task as the only suspect after which it is given up.
const MAX_UNEXPLAINED_CRASHES: u32 = 3;

/// Number of consecutive crashes of any cause after which a task is given up.
const MAX_CRASHES: u32 = 5;

/// Number of consecutive crashes from which a task is a repeat suspect.
const REPEAT_SUSPECT_CRASHES: u32 = 2;

/// Initial backoff of a repeat suspect; it doubles with each further crash.
const INITIAL_BACKOFF_US: u64 = 500 * US_PER_MS;

/// Maximum backoff of a repeat suspect.
const MAX_BACKOFF_US: u64 = 2_000 * US_PER_MS;

/// Time after its backoff for which a repeat suspect waits for a worker without another suspect.
const SEPARATION_TIMEOUT_US: u64 = 2_000 * US_PER_MS;

/// Number of workers becoming unresponsive within [`CORRELATION_WINDOW_US`] of a crashed worker,
/// itself included, from which the crash is attributed to a shared cause such as a power failure of
/// a rack.
const MIN_CORRELATED_WORKERS: usize = 2;

/// Largest difference between the last answers of workers whose failures are correlated.
const CORRELATION_WINDOW_US: u64 = 1_000 * US_PER_MS;

/// Time after its last answer for which an unresponsive worker is considered for correlation.
const UNRESPONSIVE_RETENTION_US: u64 = 30_000 * US_PER_MS;

impl Task {
    /// Whether the task is to be placed apart from other suspects: its last run may have caused the
    /// crash in which it was lost, or it is a repeat suspect, and no newer run has passed its
    /// probation.
    pub(super) fn is_isolated(&self) -> bool {
        let is_repeat_suspect = self.crashes >= REPEAT_SUSPECT_CRASHES;
        (self.is_crash_suspect || is_repeat_suspect) && !self.is_past_probation
    }

    /// Whether the next run of the task is delayed because of earlier crashes.
    pub(super) fn is_backing_off(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.crashed_us) < self.backoff_us()
    }

    /// Whether the task still waits for a worker without another suspect. After the wait it may
    /// share one.
    pub(super) fn awaits_separation(&self, now_us: u64) -> bool {
        let wait_us = self.backoff_us() + SEPARATION_TIMEOUT_US;
        self.crashes >= REPEAT_SUSPECT_CRASHES && now_us.saturating_sub(self.crashed_us) < wait_us
    }

    fn backoff_us(&self) -> u64 {
        match self.crashes.checked_sub(REPEAT_SUSPECT_CRASHES) {
            Some(doublings) => (INITIAL_BACKOFF_US << doublings.min(4)).min(MAX_BACKOFF_US),
            None => 0,
        }
    }
}

impl Fleet {
    pub(super) fn is_isolated(&self, task_ref: TaskRef) -> bool {
        self.job(task_ref.job).is_some_and(|job| job.tasks[task_ref.task as usize].is_isolated())
    }

    pub(super) fn awaits_separation(&self, task_ref: TaskRef, now_us: u64) -> bool {
        self.job(task_ref.job)
            .is_some_and(|job| job.tasks[task_ref.task as usize].awaits_separation(now_us))
    }

    /// Releases all tasks of a worker whose runs are lost, and counts a crash against those still
    /// on probation. `is_crash` is false if the worker may still be up; the crash then counts as
    /// explained.
    ///
    /// All answers received before `as_of_us` have been applied.
    pub(super) fn release_lost_runs(
        &mut self,
        index: WorkerIndex,
        is_crash: bool,
        as_of_us: u64,
        now_us: u64,
    ) {
        let is_attributable = is_crash && !self.has_other_cause(index);
        let tasks = self.workers[index as usize].tasks.clone();
        let suspects = tasks.iter().filter(|task_ref| self.is_suspect(**task_ref)).count();
        let is_unexplained = is_attributable && suspects == 1;
        for task_ref in tasks {
            let is_suspect = self.is_suspect(task_ref);
            let Some(end) = self.loss_of(index, task_ref, as_of_us, now_us) else { continue };
            let lost = self.describe_lost_run(task_ref, suspects, end, now_us);
            let lost_since_us = self.lost_since_us(index, task_ref);
            self.counts.lost += 1;
            self.mark_dirty(task_ref.job, now_us);
            self.end_run(task_ref, TaskState::Waiting, end, now_us);
            if is_suspect {
                self.count_crash(task_ref, is_attributable, is_unexplained, lost_since_us);
            }
            self.log_lost_run(index, task_ref, &lost, is_suspect, is_unexplained, now_us);
            self.give_up_after_crashes(task_ref, now_us);
        }
    }

    /// What proves that a run on a lost worker is over. A run without a proof keeps its allocation.
    fn loss_of(
        &self,
        index: WorkerIndex,
        task_ref: TaskRef,
        as_of_us: u64,
        now_us: u64,
    ) -> Option<RunEnd> {
        let worker = &self.workers[index as usize];
        let task = &self.job(task_ref.job)?.tasks[task_ref.task as usize];
        let end = RunEnd::lost(task, worker, as_of_us, now_us);
        if end.is_none() {
            log::error!(event = "end_unproved", job = self.job_id(task_ref.job),
                task = self.task_name(task_ref), run = task.run, worker = worker.entry.id.as_str(),
                lease_left_ms = worker.lease_until_us.saturating_sub(as_of_us) / US_PER_MS; "");
        }
        end
    }

    /// Records the last answer of a worker that became unresponsive, for correlation with other
    /// failures.
    pub(super) fn record_unresponsive_worker(&mut self, index: WorkerIndex, now_us: u64) {
        let answered_us = self.workers[index as usize].answered_us;
        self.lost_contacts_us.push_back(answered_us);
        while self
            .lost_contacts_us
            .front()
            .is_some_and(|at_us| at_us + UNRESPONSIVE_RETENTION_US < now_us)
        {
            self.lost_contacts_us.pop_front();
        }
    }

    /// Ends the probation of a run reported by its worker once it has run for [`PROBATION_US`].
    pub(super) fn update_probation(&mut self, task_ref: TaskRef, now_us: u64) {
        let Some(job) = self.job_mut(task_ref.job) else { return };
        let task = &mut job.tasks[task_ref.task as usize];
        let is_past_probation = matches!(task.state, TaskState::Running(_))
            && now_us.saturating_sub(task.since_us) >= PROBATION_US;
        if !is_past_probation || task.is_past_probation {
            return;
        }
        let was_suspect = task.crashes > 0;
        self.clear_crashes(task_ref);
        if let Some(job) = self.job_mut(task_ref.job) {
            job.tasks[task_ref.task as usize].is_past_probation = true;
        }
        if was_suspect {
            self.mark_dirty(task_ref.job, now_us);
        }
    }

    /// Resets the crash counts of a task after a run that did not crash its worker.
    pub(super) fn clear_crashes(&mut self, task_ref: TaskRef) {
        let Some(job) = self.job_mut(task_ref.job) else { return };
        let task = &mut job.tasks[task_ref.task as usize];
        let suspect_worker = task.state.worker().filter(|_| task.is_isolated());
        task.crashes = 0;
        task.unexplained_crashes = 0;
        task.is_crash_suspect = false;
        if let Some(worker) = suspect_worker {
            let worker = &mut self.workers[worker as usize];
            worker.isolated_tasks = worker.isolated_tasks.saturating_sub(1);
        }
    }

    /// Whether a run may have caused the crash of its worker: its start was ordered, and it is
    /// still on probation.
    fn is_suspect(&self, task_ref: TaskRef) -> bool {
        self.job(task_ref.job).is_some_and(|job| {
            let task = &job.tasks[task_ref.task as usize];
            !task.is_past_probation && !matches!(task.state, TaskState::Chosen(_))
        })
    }

    /// Whether the loss of a worker has, or may have, a cause other than its tasks. This includes a
    /// worker that never answered this planner, because it is unknown how long its runs had lasted.
    fn has_other_cause(&self, index: WorkerIndex) -> bool {
        let worker = &self.workers[index as usize];
        let is_correlated =
            |at_us: &&u64| at_us.abs_diff(worker.answered_us) <= CORRELATION_WINDOW_US;
        worker.answered_us == 0
            || worker.entry.is_leaving
            || self
                .lost_contacts_us
                .iter()
                .filter(is_correlated)
                .take(MIN_CORRELATED_WORKERS)
                .count()
                == MIN_CORRELATED_WORKERS
    }

    /// Earliest time at which a run can have been lost: when its worker last answered, or when the
    /// run entered its state.
    fn lost_since_us(&self, index: WorkerIndex, task_ref: TaskRef) -> u64 {
        let entered_us =
            self.job(task_ref.job).map_or(0, |job| job.tasks[task_ref.task as usize].since_us);
        entered_us.max(self.workers[index as usize].answered_us)
    }

    fn count_crash(
        &mut self,
        task_ref: TaskRef,
        is_attributable: bool,
        is_unexplained: bool,
        crashed_us: u64,
    ) {
        let Some(job) = self.job_mut(task_ref.job) else { return };
        let task = &mut job.tasks[task_ref.task as usize];
        task.crashes += 1;
        task.crashed_us = crashed_us;
        task.unexplained_crashes += u32::from(is_unexplained);
        task.is_crash_suspect = is_attributable;
    }

    fn give_up_after_crashes(&mut self, task_ref: TaskRef, now_us: u64) {
        let Some(job) = self.job(task_ref.job).filter(|job| job.phase == JobPhase::Active) else {
            return;
        };
        let task = &job.tasks[task_ref.task as usize];
        if task.crashes < MAX_CRASHES && task.unexplained_crashes < MAX_UNEXPLAINED_CRASHES {
            return;
        }
        log::warn!(event = "task_given_up", job = job.spec.id.as_str(),
            task:% = job.key(task_ref.task), run = task.run, crashes = task.crashes, unexplained = task.unexplained_crashes;
            "too many worker crashes during its runs");
        self.counts.given_up += 1;
        self.finish(task_ref.job, JobPhase::Failed, now_us);
    }

    fn describe_lost_run(
        &self,
        task_ref: TaskRef,
        suspects: usize,
        end: RunEnd,
        now_us: u64,
    ) -> LostRun {
        let Some(job) = self.job(task_ref.job) else { return LostRun::default() };
        let task = &job.tasks[task_ref.task as usize];
        LostRun {
            proof: end.name(),
            evidence_ms: end.age_ms(now_us),
            state: state_name(task.state),
            in_state_ms: now_us.saturating_sub(task.since_us) / US_PER_MS,
            suspects,
            unanswered_starts: task.unanswered_starts,
            undelivered_starts: task.undelivered_starts,
        }
    }

    fn log_lost_run(
        &self,
        index: WorkerIndex,
        task_ref: TaskRef,
        lost: &LostRun,
        is_suspect: bool,
        is_unexplained: bool,
        now_us: u64,
    ) {
        let Some(job) = self.job(task_ref.job) else { return };
        let task = &job.tasks[task_ref.task as usize];
        let worker = &self.workers[index as usize];
        log::info!(event = "run_lost", job = job.spec.id.as_str(),
            task:% = job.key(task_ref.task), run = task.run, worker = worker.entry.id.as_str(),
            worker_started_ms = worker.started_ms, proof = lost.proof,
            evidence_ms = lost.evidence_ms, is_gone = worker.standing == WorkerStanding::Gone,
            answer_age_ms = now_us.saturating_sub(worker.answered_us) / US_PER_MS,
            state = lost.state, in_state_ms = lost.in_state_ms,
            unanswered_starts = lost.unanswered_starts,
            undelivered_starts = lost.undelivered_starts, is_suspect = is_suspect,
            suspects = lost.suspects, is_unexplained = is_unexplained, crashes = task.crashes; "");
    }
}

/// What was known of a run before it was lost with its worker.
#[derive(Debug, Default)]
struct LostRun {
    proof: &'static str,
    /// Age of the proof.
    evidence_ms: u64,
    state: &'static str,
    in_state_ms: u64,
    /// Number of runs that may have caused the loss of the worker.
    suspects: usize,
    unanswered_starts: u32,
    undelivered_starts: u32,
}
