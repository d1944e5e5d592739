//! Which jobs are at fault for their failed runs.
//!
//! Load pattern: a hundred jobs a second fail wherever they run, beside healthy ones. If their failed
//! runs counted against the workers, all workers would look alike. A job that has failed on several
//! workers while few of its tasks run well is at fault itself; one that has completed tasks is sound.

use super::US_PER_MS;
use super::job::{Job, JobPhase, TaskRef, TaskState};
use super::state::Fleet;
use super::worker::WorkerIndex;

/// Smallest number of jobs of unknown fault that must fail on a worker before it is distrusted.
const MIN_FAILED_JOBS: usize = 3;

/// Largest number of such jobs, whatever the share of jobs at fault.
const MAX_FAILED_JOBS: usize = 48;

/// Highest probability that all jobs that failed on a distrusted worker are at fault themselves.
const MAX_MISTAKE_PROBABILITY: f64 = 0.01;

/// Number of workers on which a job must have failed before it can be at fault.
const MIN_FAILED_WORKERS: usize = 2;

/// Number of workers kept of those on which a job failed.
const MAX_FAILED_WORKERS: usize = 8;

/// Time after which the weight of a job's outcome in the share of jobs at fault has halved.
const OUTCOME_HALF_LIFE_US: f64 = (2_000 * US_PER_MS) as f64;

/// Outcomes of the newest jobs; older ones fade.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobOutcomes {
    at_fault: f64,
    sound: f64,
    updated_us: u64,
}

impl JobOutcomes {
    /// Adds the outcome of a job.
    pub fn add(&mut self, is_at_fault: bool, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_us) as f64;
        let fading = (-elapsed_us / OUTCOME_HALF_LIFE_US).exp2();
        self.at_fault = self.at_fault * fading + f64::from(u8::from(is_at_fault));
        self.sound = self.sound * fading + f64::from(u8::from(!is_at_fault));
        self.updated_us = self.updated_us.max(now_us);
    }

    /// Number of jobs that must fail on a worker before it is distrusted: so many that all of them
    /// are hardly at fault themselves.
    pub fn required_failed_jobs(&self) -> usize {
        let share = self.at_fault / (self.at_fault + self.sound + 1.0);
        let required = MAX_MISTAKE_PROBABILITY.ln() / share.max(f64::MIN_POSITIVE).ln();
        (required.ceil() as usize).clamp(MIN_FAILED_JOBS, MAX_FAILED_JOBS)
    }
}

/// Whether a job is at fault for its failed runs, by the workers on which it failed and by how many
/// tasks of the step failed or run well.
pub fn is_job_at_fault(failed_workers: usize, failed_tasks: usize, sound_tasks: usize) -> bool {
    failed_workers >= MIN_FAILED_WORKERS && failed_tasks > sound_tasks
}

impl Job {
    /// Whether tasks of the job have completed, so that it is not at fault for failed runs.
    pub(super) fn is_sound(&self) -> bool {
        (self.remaining_total as usize) < self.tasks.len() && self.phase != JobPhase::Failed
    }

    /// Numbers of tasks of the same step that have failed, and that are done or run without a
    /// failure.
    fn count_outcomes(&self, task: u32) -> (usize, usize) {
        let (occurrence, step, _) = self.locate(task);
        let range = self.tasks_of(occurrence, step);
        let (first, last) = (range.start as usize, range.end as usize);
        let tasks = &self.tasks[first..last];
        let failed =
            tasks.iter().filter(|task| task.failures > 0 && task.state != TaskState::Done).count();
        let is_sound = |state| matches!(state, TaskState::Done | TaskState::Running(_));
        let sound = tasks
            .iter()
            .filter(|task| task.state == TaskState::Done || task.failures == 0)
            .filter(|task| is_sound(task.state))
            .count();
        (failed, sound)
    }
}

impl Fleet {
    /// Records on which workers a job failed, and whether it is at fault.
    pub(super) fn note_failed_worker(
        &mut self,
        index: WorkerIndex,
        task_ref: TaskRef,
        now_us: u64,
    ) {
        let Some(job) = self.job(task_ref.job) else { return };
        let mut failed_workers = job.failed_workers.clone();
        if !failed_workers.contains(&index) {
            failed_workers.truncate(MAX_FAILED_WORKERS - 1);
            failed_workers.insert(0, index);
        }
        let is_trusted =
            |index: &&WorkerIndex| !self.workers[**index as usize].failures.is_distrusted;
        let trusted_workers = failed_workers.iter().filter(is_trusted).count();
        let (failed, sound) = job.count_outcomes(task_ref.task);
        let is_at_fault = !job.is_sound() && is_job_at_fault(trusted_workers, failed, sound);
        let was_at_fault = job.is_at_fault;
        if let Some(job) = self.job_mut(task_ref.job) {
            job.failed_workers = failed_workers;
            job.is_at_fault = is_at_fault;
        }
        if is_at_fault && !was_at_fault {
            self.job_outcomes.add(true, now_us);
        }
    }
}
