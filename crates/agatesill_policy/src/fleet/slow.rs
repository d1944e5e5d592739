//! Detection of workers that become slow without failing any task.
//!
//! Load pattern: a sixth of the workers run everything several times slower for some seconds and
//! keep answering. A wide step nearly always has a task on one of them, so most urgent jobs are
//! late although five workers in six are healthy. Failure counts do not show slow workers because
//! nothing fails, and the callers' estimates are less accurate than the slowdown is large. The
//! tasks of one step are alike, so each task is compared with the other tasks of its step.

use super::US_PER_MS;
use super::job::{Step, TaskRef, TaskState};
use super::speed::SpeedEstimate;
use super::state::Fleet;
use super::worker::{RunRow, WorkerIndex};

/// Ratio of a task's speed to the mean of its step below which the task is slow. Tasks of a step on
/// healthy workers differ by less.
const SLOW_SPEED_RATIO: f64 = 0.45;

/// Minimum number of speed samples of a step before tasks are compared with their mean.
const MIN_SAMPLES: u32 = 4;

/// Minimum run time before a task's progress is a measure of its speed.
const MIN_RUN_US: u64 = 200 * US_PER_MS;

/// Minimum fraction of its requested CPU that a best-effort task must get for its progress to be a
/// measure of the worker's speed.
const MIN_CPU_FRACTION: f64 = 0.5;

/// Number of consecutive polls with more slow tasks than others after which a worker is slow.
const SLOW_POLLS: u32 = 2;

/// Number of slow tasks in a single poll without any other task after which a worker is slow.
const CONCLUSIVE_SLOW_TASKS: u32 = 3;

/// Time a slow worker gets no tasks at first; it doubles with each further closure.
const INITIAL_CLOSURE_US: u64 = 1_500 * US_PER_MS;

/// Maximum number of doublings of [`INITIAL_CLOSURE_US`], so that a slow worker is tried again
/// before long.
const MAX_CLOSURE_DOUBLINGS: u32 = 2;

/// Highest run number at which a task is still moved; repeated moves would lose more than they
/// gain.
const MAX_MOVED_RUN: u32 = 2;

/// Factor by which the remaining time on the slow worker must exceed the time elsewhere for a move
/// to be worth the lost work.
const MIN_MOVE_GAIN: f64 = 1.5;

/// Cost of a move: the worker has to report the stop before the task may start elsewhere.
const MOVE_COST_US: f64 = (500 * US_PER_MS) as f64;

/// Speed samples of the tasks of one step, in fractions of a task per microsecond.
///
/// The mean is taken over speeds, not over run times, because a few slow tasks hardly change it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepSpeed {
    sum: f64,
    samples: u32,
}

impl StepSpeed {
    fn add(&mut self, speed: f64) {
        self.sum += speed;
        self.samples += 1;
    }

    /// Returns the mean speed once there are [`MIN_SAMPLES`] samples.
    fn mean(self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then(|| self.sum / f64::from(self.samples))
    }
}

/// Speed of a worker's tasks, as compared with the other tasks of their steps.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerSpeed {
    /// Slow samples since the last evaluation.
    slow: u32,
    /// Other samples since the last evaluation.
    usual: u32,
    /// Consecutive polls with more slow tasks than others.
    slow_polls: u32,
    /// Consecutive closures for being slow.
    closures: u32,
    /// Speed by all that runs on the worker; only kept under load control.
    pub(super) estimate: SpeedEstimate,
    /// Whether the newest sample showed the worker to be slow.
    pub(super) is_newest_sample_slow: bool,
    /// When tails were last sampled.
    pub(super) tails_sampled_us: u64,
    /// Whether the worker is avoided for being slow; only set under load control.
    pub(super) is_slow: bool,
    /// Since when no sample has shown anything of the speed while the worker is avoided.
    pub(super) last_evidence_us: u64,
    /// When a task may next be placed to try the worker.
    pub(super) next_trial_us: u64,
    /// End of the closure for being slow.
    pub(super) closed_until_us: u64,
}

impl WorkerSpeed {
    /// Adds a sample of the worker's speed as a fraction of the usual one.
    pub(super) fn add_sample(&mut self, speed: f64, weight: f64, now_us: u64) {
        self.estimate.add(speed, weight, now_us);
        self.is_newest_sample_slow = speed < SLOW_SPEED_RATIO;
    }

    /// Returns the numbers of slow and of other samples since the last evaluation.
    pub(super) fn take_samples(&mut self) -> (u32, u32) {
        (std::mem::take(&mut self.slow), std::mem::take(&mut self.usual))
    }
}

impl Fleet {
    /// Samples the speed of a running task from the progress that its worker's newest answer
    /// reports.
    pub(super) fn sample_speed(&mut self, index: WorkerIndex, task_ref: TaskRef, row: &RunRow) {
        let Some(job) = self.job(task_ref.job) else { return };
        let (step, task) = (job.step(task_ref.task), &job.tasks[task_ref.task as usize]);
        let reported_us = self.workers[index as usize].reported_us;
        let ran_us = reported_us.saturating_sub(task.measured_us);
        if ran_us < MIN_RUN_US || !self.is_comparable(index, task_ref) {
            return;
        }
        let cpu_fraction =
            if step.fills { row.figure as f64 / step.need.cpu_milli.max(1) as f64 } else { 1.0 };
        if cpu_fraction < MIN_CPU_FRACTION {
            return;
        }
        let done = f64::from(row.percent.min(100).saturating_sub(task.start_percent)) / 100.0;
        self.compare_with_step(index, task_ref, done / ran_us as f64 / cpu_fraction.min(1.0));
    }

    /// Samples the speed of a completed run that its worker's newest answer reports.
    pub(super) fn sample_completed_run(&mut self, index: WorkerIndex, task_ref: TaskRef) {
        let Some(job) = self.job(task_ref.job) else { return };
        let reported_us = self.workers[index as usize].reported_us;
        let ran_us = reported_us.saturating_sub(job.tasks[task_ref.task as usize].measured_us);
        let done =
            f64::from(100 - job.tasks[task_ref.task as usize].start_percent.min(100)) / 100.0;
        if !job.step(task_ref.task).fills && ran_us > 0 && self.is_comparable(index, task_ref) {
            self.compare_with_step(index, task_ref, done / ran_us as f64);
        }
    }

    /// Whether a task's progress is a measure of its worker's speed. It is not if measured on a
    /// cold worker, nor for tasks that are long-running, paced, off their data rack or dependent on
    /// other tasks of the step.
    fn is_comparable(&self, index: WorkerIndex, task_ref: TaskRef) -> bool {
        let Some(job) = self.job(task_ref.job) else { return false };
        let (step, task) = (job.step(task_ref.task), &job.tasks[task_ref.task as usize]);
        task.state == TaskState::Running(index)
            && task.measured_us >= self.workers[index as usize].cold_until_us
            && !step.is_lasting
            && !step.is_gang
            && !step.wants_one_rack
            && task.pace_percent == 100
            && task.slowed_us == 0
            && is_on_data_rack(step, &self.workers[index as usize].entry.rack)
    }

    fn compare_with_step(&mut self, index: WorkerIndex, task_ref: TaskRef, speed: f64) {
        let Some(job) = self.job_mut(task_ref.job) else { return };
        let (occurrence, step, _) = job.locate(task_ref.task);
        let place = job.step_position(occurrence, step);
        let mean = job.speeds[place].mean();
        job.speeds[place].add(speed);
        let Some(mean) = mean else { return };
        let worker = &mut self.workers[index as usize].speed;
        if speed < mean * SLOW_SPEED_RATIO {
            worker.slow += 1;
        } else {
            worker.usual += 1;
        }
        let reported_us = self.workers[index as usize].reported_us;
        self.workers[index as usize].speed.add_sample(speed / mean, 1.0, reported_us);
    }

    /// Evaluates the samples of a worker's newest poll. A worker that became slow gets no new tasks
    /// for some time, and tasks that would end sooner elsewhere are moved.
    pub(super) fn detect_slow_worker(&mut self, index: WorkerIndex, now_us: u64) {
        if self.controls_load(&self.workers[index as usize].entry.service) {
            self.avoid_slow_worker(index, now_us);
            return;
        }
        let worker = &mut self.workers[index as usize];
        let seen = &mut worker.speed;
        let (slow, usual) = seen.take_samples();
        if slow + usual == 0 {
            return;
        }
        if slow <= usual {
            seen.slow_polls = 0;
            seen.closures = 0;
            return;
        }
        seen.slow_polls += 1;
        let is_conclusive = slow >= CONCLUSIVE_SLOW_TASKS && usual == 0;
        if seen.slow_polls < SLOW_POLLS && !is_conclusive {
            return;
        }
        if now_us >= worker.closed_until_us {
            let closure_us = INITIAL_CLOSURE_US << seen.closures.min(MAX_CLOSURE_DOUBLINGS);
            seen.closures += 1;
            worker.closed_until_us = now_us + closure_us;
            self.counts.slow_workers += 1;
            log::warn!(event = "worker_slow", worker = worker.entry.id.as_str(), slow = slow,
                usual = usual, for_ms = closure_us / US_PER_MS;
                "worker is slow; placing no new tasks on it");
        }
        self.move_tasks_off_slow_worker(index, now_us);
    }

    /// Stops the tasks that end sooner if they are started again elsewhere.
    pub(super) fn move_tasks_off_slow_worker(&mut self, index: WorkerIndex, now_us: u64) {
        let tasks = &self.workers[index as usize].tasks;
        let tasks_to_move: Vec<TaskRef> = tasks
            .iter()
            .copied()
            .filter(|task_ref| self.ends_sooner_elsewhere(index, *task_ref))
            .collect();
        for task_ref in tasks_to_move {
            log::info!(event = "task_moved", job = self.job_id(task_ref.job),
                task = self.task_name(task_ref),
                worker = self.workers[index as usize].entry.id.as_str();
                "moving task off a slow worker");
            self.stop(task_ref, now_us);
        }
    }

    fn ends_sooner_elsewhere(&self, index: WorkerIndex, task_ref: TaskRef) -> bool {
        let Some(job) = self.job(task_ref.job).filter(|_| self.is_comparable(index, task_ref))
        else {
            return false;
        };
        let (occurrence, step, _) = job.locate(task_ref.task);
        let (step, place) = (&job.spec.steps[step as usize], job.step_position(occurrence, step));
        let task = &job.tasks[task_ref.task as usize];
        let reported_us = self.workers[index as usize].reported_us;
        let ran_us = reported_us.saturating_sub(task.measured_us);
        let Some(mean) = job.speeds[place].mean().filter(|_| ran_us >= MIN_RUN_US) else {
            return false;
        };
        let done = f64::from(task.percent.saturating_sub(task.start_percent)) / 100.0;
        let speed = done / ran_us as f64;
        let work_left = 1.0 - f64::from(task.percent.min(100)) / 100.0;
        let work_elsewhere = if step.saves_progress { work_left } else { 1.0 };
        let time_here_us = work_left / speed.max(f64::EPSILON);
        let time_elsewhere_us = work_elsewhere / mean * MIN_MOVE_GAIN + MOVE_COST_US;
        task.run <= MAX_MOVED_RUN
            && speed < mean * SLOW_SPEED_RATIO
            && time_here_us > time_elsewhere_us
    }
}

fn is_on_data_rack(step: &Step, rack: &str) -> bool {
    step.data_rack.is_empty() || step.data_rack == rack
}
