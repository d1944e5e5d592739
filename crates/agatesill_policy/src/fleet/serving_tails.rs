//! Speed of a worker by its long-running tasks: by their tails, and by how fast they start.
//!
//! Load pattern: long-running tasks reserve most CPUs, so on many workers nothing else shows that
//! the worker has become slow. A slow worker raises the tails of all its serving tasks at once. An
//! image that harms some of them, or one task at its own peak load, does not.

use std::collections::HashMap;

use super::US_PER_MS;
use super::images::ImageId;
use super::job::{TaskRef, TaskState};
use super::polls::ReportedRun;
use super::speed::RecentMean;
use super::state::Fleet;
use super::worker::{RunRow, WorkerIndex};

/// Minimum time between two samples of a worker. Reported tails cover half a second.
const SAMPLE_INTERVAL_US: u64 = 450 * US_PER_MS;

/// Share of a worker that best-effort tasks use above which they may have raised its tails.
const MAX_BEST_EFFORT_SHARE: f64 = 0.05;

/// Weight of high tails that best-effort tasks may have raised.
const AMBIGUOUS_WEIGHT: f64 = 0.3;

/// Weight for each serving task of a worker, up to [`MAX_WEIGHTED_TASKS`]. A single task may be at
/// its peak load; several are not at once.
const WEIGHT_PER_TASK: f64 = 0.5;

/// Number of serving tasks above which more do not make a sample clearer.
const MAX_WEIGHTED_TASKS: u32 = 4;

/// Minimum time since its start before a task's progress is a measure of its speed.
const MIN_START_US: u64 = 250 * US_PER_MS;

/// Recent speeds of the long-running tasks of one image.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ImageLevel {
    /// Targets over tails.
    tails: RecentMean,
    /// Progress of starts, in percent per microsecond.
    starts: RecentMean,
}

/// Usual speeds of long-running tasks, by image.
pub(super) type ImageLevels = HashMap<ImageId, ImageLevel>;

impl Fleet {
    /// Samples the speed of a worker from its long-running tasks, each compared with the other tasks
    /// of its image. The task that is affected least decides.
    pub(super) fn sample_long_running(
        &mut self,
        index: WorkerIndex,
        reported: &[ReportedRun<'_>],
        now_us: u64,
    ) {
        let worker = &self.workers[index as usize];
        if !self.controls_load(&worker.entry.service)
            || now_us.saturating_sub(worker.speed.tails_sampled_us) < SAMPLE_INTERVAL_US
        {
            return;
        }
        self.workers[index as usize].speed.tails_sampled_us = now_us;
        let (mut tasks, mut speed, mut best_effort_milli) = (0_u32, 0.0_f64, 0);
        for ReportedRun { task_ref, row } in reported.iter().copied() {
            if self.task_state(task_ref) != TaskState::Running(index) {
                continue;
            }
            let relative = self
                .relative_tail_speed(task_ref, row, now_us)
                .or_else(|| self.relative_start_speed(index, task_ref, row));
            if let Some(relative) = relative {
                tasks += 1;
                speed = speed.max(relative);
            } else if self.job(task_ref.job).is_some_and(|job| job.step(task_ref.task).fills) {
                best_effort_milli += row.figure;
            }
        }
        if tasks == 0 {
            return;
        }
        let worker = &mut self.workers[index as usize];
        let capacity_milli = worker.entry.capacity.cpu_milli.max(1) as f64;
        let is_ambiguous = best_effort_milli as f64 > capacity_milli * MAX_BEST_EFFORT_SHARE;
        let ambiguity = if is_ambiguous && speed < 1.0 { AMBIGUOUS_WEIGHT } else { 1.0 };
        let weight = f64::from(tasks.min(MAX_WEIGHTED_TASKS)) * WEIGHT_PER_TASK;
        worker.speed.add_sample(speed, weight * ambiguity, now_us);
    }

    /// Speed of a serving task that is ready, as a fraction of the mean of its image. Tails within
    /// their target show the usual speed.
    fn relative_tail_speed(&mut self, task_ref: TaskRef, row: &RunRow, now_us: u64) -> Option<f64> {
        let job = self.job_mut(task_ref.job)?;
        let step = job.step(task_ref.task);
        if step.target_ms == 0 || row.percent < 100 {
            return None;
        }
        let tail_ratio = (row.figure as f64 / step.target_ms as f64).max(0.01);
        job.tasks[task_ref.task as usize].tail_ratio = tail_ratio;
        let image = job.image(task_ref.task);
        let level = self.image_levels.entry(image).or_default();
        let mean = level.tails.mean();
        level.tails.add(1.0 / tail_ratio, now_us);
        if tail_ratio <= 1.0 {
            return Some(1.0);
        }
        mean.map(|mean| (1.0 / tail_ratio / mean).min(1.0))
    }

    /// Speed of a long-running task that starts, as a fraction of the mean of its image.
    fn relative_start_speed(
        &mut self,
        index: WorkerIndex,
        task_ref: TaskRef,
        row: &RunRow,
    ) -> Option<f64> {
        let reported_us = self.workers[index as usize].reported_us;
        let job = self.job(task_ref.job)?;
        let task = &job.tasks[task_ref.task as usize];
        let ran_us = reported_us.saturating_sub(task.measured_us);
        if !job.step(task_ref.task).is_lasting || row.percent >= 100 || ran_us < MIN_START_US {
            return None;
        }
        let done_percent = row.percent.saturating_sub(task.start_percent);
        let speed = f64::from(done_percent) / ran_us as f64;
        let level = self.image_levels.entry(job.image(task_ref.task)).or_default();
        let mean = level.starts.mean();
        level.starts.add(speed, reported_us);
        mean.filter(|mean| *mean > 0.0).map(|mean| (speed / mean).min(1.0))
    }
}
