//! Reaction to reported tails: updates the interference model and the pace of best-effort tasks.
//!
//! The pace is the percentage of its CPU that a best-effort task may use. Tail ratios are tail
//! latencies over their targets.

use crate::fleet::US_PER_MS;
use crate::fleet::images::ImageId;
use crate::fleet::job::{TaskRef, TaskState};
use crate::fleet::orders::OrderKind;
use crate::fleet::polls::ReportedRun;
use crate::fleet::state::Fleet;
use crate::fleet::worker::WorkerIndex;

use super::capacity::best_effort_cores;
use super::interference::{HARMFUL_WEIGHT, MAX_IMAGES, PairClass, Usage, usage_units};

/// Minimum time between two samples of a worker. Reported figures cover half a second, so earlier
/// polls return the same figures again.
const SAMPLE_INTERVAL_US: u64 = 450 * US_PER_MS;

/// Tail ratio above which the most harmful tasks are slowed.
const SLOWING_TAIL_RATIO: f64 = 1.0;

/// Tail ratio below which slowed tasks are sped up again.
const RECOVERED_TAIL_RATIO: f64 = 0.85;

/// Tail ratio that slowing aims at.
pub(super) const TARGET_TAIL_RATIO: f64 = 0.75;

/// Mean tail ratio above which a worker may be close to saturation.
const LOADED_MEAN_TAIL_RATIO: f64 = 0.5;

/// Factor by which best-effort tasks may exceed their capacity before they are slowed, so that
/// tasks placed after one poll are not slowed after the next.
const CROWDING_TOLERANCE: f64 = 1.25;

/// Tasks whose effect is below this share of the largest effect are not slowed yet: images that ran
/// together share the blame until one of them is removed.
const MIN_BLAME_SHARE: f64 = 0.5;

/// Increases of the pace per poll while a task is sped up again, the preferred one first. With the
/// larger one alone, a paused task that harms serving tasks might never continue.
const SPEED_UP_STEPS_PERCENT: [u32; 2] = [50, 25];

/// Pace of all best-effort tasks of a worker when the cause of its high tails is unknown; also the
/// granularity of slowing to the available capacity.
const SLOWED_PACE_PERCENT: u32 = 25;

/// Pace at which a task starts beside a serving task that it harms. It is sped up as far as the tails
/// allow.
pub(super) const THROTTLED_PACE_PERCENT: u32 = 25;

/// Percentage of the allowed time over target after which all best-effort tasks of the worker are
/// paced to zero. Half of the time is left for the order, for the pace to take effect and for a
/// lost answer.
const PAUSE_ALL_AFTER_PERCENT: u64 = 40;

/// Percentage of the allowed time over target after which all best-effort tasks of the worker are
/// slowed to a quarter, whatever the model says of their images.
const SLOW_ALL_AFTER_PERCENT: u64 = 20;

/// Time a task is slowed before it is moved: three polls, after which tails have come down if the
/// task was the cause. A move costs a stop and a resumption, about a second.
const MAX_SLOWED_US: u64 = 1_600 * US_PER_MS;

/// Time for which a job whose task was moved away from serving tasks that it harmed is not placed
/// beside such tasks again. Without it, tails that rise and fall would stop and start the task each
/// time.
const HARM_BACKOFF_US: u64 = 5_000 * US_PER_MS;

/// A best-effort task on a worker.
struct BestEffortTask {
    task_ref: TaskRef,
    image: ImageId,
    /// Number of CPUs in use.
    cores: f64,
    /// CPU in use in the unit of the interference model, 1/32 of the worker.
    usage: f64,
    pace_percent: u32,
    saves_progress: bool,
    percent: u32,
    slowed_us: u64,
    is_throttled: bool,
}

/// A serving task on a worker.
struct ServingTask {
    image: ImageId,
    ratio: f64,
}

impl Fleet {
    /// Updates the interference model and the pace of best-effort tasks from a worker's poll.
    pub(in crate::fleet) fn update_pacing(
        &mut self,
        index: WorkerIndex,
        reported: &[ReportedRun<'_>],
        now_us: u64,
    ) {
        let (serving, best_effort) = self.classify_runs(index, reported);
        self.log_colocation(index, &serving, &best_effort);
        let worst = serving.iter().map(|serving_task| serving_task.ratio).fold(0.0, f64::max);
        let worker = &mut self.workers[index as usize];
        worker.worst_tail = worst;
        let sum: f64 = serving.iter().map(|serving_task| serving_task.ratio).sum();
        worker.mean_tail = sum / serving.len().max(1) as f64;
        if serving.is_empty() {
            worker.over_since_us = 0;
            // Nothing is left to harm. If serving tasks are about to start, their tails decide.
            if worker.lasting == 0 {
                worker.sampled_us = now_us;
                self.speed_up(index, &serving, &best_effort, worst);
            }
            return;
        }
        if now_us.saturating_sub(worker.sampled_us) < SAMPLE_INTERVAL_US {
            return;
        }
        worker.sampled_us = now_us;
        if !worker.speed.is_slow {
            self.learn(&serving, &best_effort);
        }
        if worst > SLOWING_TAIL_RATIO {
            if !self.slow_harmful_tasks(index, &serving, &best_effort) {
                self.slow_to_capacity(index, &best_effort);
            }
        } else if self.is_crowded(index, &best_effort) {
            self.slow_to_capacity(index, &best_effort);
        } else if worst < RECOVERED_TAIL_RATIO {
            self.speed_up(index, &serving, &best_effort, worst);
        }
        self.limit_harm(index, &best_effort, worst, now_us);
        self.move_long_slowed(index, &best_effort, now_us);
    }

    /// Moves tasks that have been slowed for too long and can resume from a checkpoint. Beside a
    /// serving task at its own peak load they would be paused for seconds.
    fn move_long_slowed(
        &mut self,
        index: WorkerIndex,
        best_effort: &[BestEffortTask],
        now_us: u64,
    ) {
        let is_movable = |task: &&BestEffortTask| {
            task.slowed_us > 0
                && task.saves_progress
                && !(task.is_throttled && task.pace_percent > 0)
                && now_us - task.slowed_us > MAX_SLOWED_US
        };
        best_effort.iter().filter(is_movable).for_each(|task| self.move_or_pause(index, task));
    }

    /// Slows a run that has just begun beside a serving task that it harms.
    pub(in crate::fleet) fn throttle(
        &mut self,
        index: WorkerIndex,
        task_ref: TaskRef,
        now_us: u64,
    ) {
        let Some(job) = self.job_mut(task_ref.job) else { return };
        let task = &mut job.tasks[task_ref.task as usize];
        if task.is_throttled && task.pace_percent == 100 && task.slowed_us == 0 {
            task.pace_percent = THROTTLED_PACE_PERCENT;
            self.counts.paced += 1;
            let percent = THROTTLED_PACE_PERCENT;
            self.push_order(task_ref, index, OrderKind::Pace { percent }, now_us);
        }
    }

    fn classify_runs(
        &self,
        index: WorkerIndex,
        reported: &[ReportedRun<'_>],
    ) -> (Vec<ServingTask>, Vec<BestEffortTask>) {
        let worker = &self.workers[index as usize];
        let (mut serving, mut best_effort) = (Vec::new(), Vec::new());
        for ReportedRun { task_ref, row } in reported.iter().copied() {
            let Some(job) = self.job(task_ref.job) else { continue };
            let (step, task) = (job.step(task_ref.task), &job.tasks[task_ref.task as usize]);
            if task.state != TaskState::Running(index) {
                continue;
            }
            if step.target_ms > 0 && row.percent >= 100 {
                let ratio = row.figure as f64 / step.target_ms as f64;
                serving.push(ServingTask { image: job.image(task_ref.task), ratio });
            } else if step.fills {
                best_effort.push(BestEffortTask {
                    task_ref,
                    image: job.image(task_ref.task),
                    cores: row.figure as f64 / 1_000.0,
                    usage: usage_units(worker, row.figure as f64),
                    pace_percent: task.pace_percent,
                    saves_progress: step.saves_progress,
                    percent: row.percent,
                    slowed_us: task.slowed_us,
                    is_throttled: task.is_throttled,
                });
            }
        }
        (serving, best_effort)
    }

    fn log_colocation(
        &self,
        index: WorkerIndex,
        serving: &[ServingTask],
        best_effort: &[BestEffortTask],
    ) {
        if serving.is_empty() || !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let tails: Vec<String> =
            serving.iter().map(|task| format!("{}:{:.2}", task.image, task.ratio)).collect();
        let beside: Vec<String> = best_effort
            .iter()
            .map(|task| format!("{}:{}:{:.1}", task.image, task.pace_percent, task.cores))
            .collect();
        let worker = &self.workers[index as usize];
        log::debug!(event = "beside", worker = worker.entry.id.as_str(),
            capacity_milli = worker.entry.capacity.cpu_milli,
            used_milli = worker.used.cpu_milli, lasting_milli = worker.long_running_cpu_milli,
            filling_milli = worker.best_effort_cpu_milli,
            tails = tails.join(" ").as_str(), filling = beside.join(" ").as_str(); "");
    }

    fn learn(&mut self, serving: &[ServingTask], best_effort: &[BestEffortTask]) {
        let mut usage: Usage = [0.0; MAX_IMAGES];
        for task in best_effort {
            usage[self.interference.place(task.image)] += task.usage;
        }
        for serving_task in serving {
            self.interference.learn(serving_task.image, &usage, serving_task.ratio);
        }
    }

    /// Slows the tasks that raise tails above [`SLOWING_TAIL_RATIO`], those with the largest effect
    /// first, until the tails are expected to drop to [`TARGET_TAIL_RATIO`]. Tasks of harmful pairs
    /// are moved instead.
    ///
    /// Returns false if no running task is known to raise the tails: the worker itself is saturated
    /// then.
    fn slow_harmful_tasks(
        &mut self,
        index: WorkerIndex,
        serving: &[ServingTask],
        best_effort: &[BestEffortTask],
    ) -> bool {
        let over_target: Vec<&ServingTask> =
            serving.iter().filter(|serving_task| serving_task.ratio > SLOWING_TAIL_RATIO).collect();
        let mut excess = over_target
            .iter()
            .map(|serving_task| (serving_task.ratio / TARGET_TAIL_RATIO).ln())
            .fold(0.0, f64::max);
        let mut blamed: Vec<(f64, &BestEffortTask)> = best_effort
            .iter()
            .map(|task| {
                let weight = |serving_task: &&ServingTask| {
                    self.interference.weight(serving_task.image, task.image).unwrap_or(0.0)
                };
                (over_target.iter().map(weight).fold(0.0, f64::max), task)
            })
            .filter(|(weight, task)| *weight >= HARMFUL_WEIGHT / 2.0 && task.pace_percent > 0)
            .collect();
        blamed.sort_by(|a, b| (b.0 * b.1.usage).total_cmp(&(a.0 * a.1.usage)));
        let found_cause = !blamed.is_empty();
        let max_effect = blamed.first().map_or(0.0, |(weight, task)| weight * task.usage);
        for (weight, task) in blamed {
            if excess <= 0.0 || weight * task.usage < max_effect * MIN_BLAME_SHARE {
                break;
            }
            excess -= weight * task.usage;
            let is_harmful = |serving_task: &&ServingTask| {
                self.interference.classify(serving_task.image, task.image) == PairClass::Harmful
            };
            if over_target.iter().any(is_harmful) {
                self.move_or_pause(index, task);
            } else {
                self.set_pace(index, task.task_ref, 0);
            }
        }
        found_cause
    }

    /// Whether the worker is close to saturation: tails are still within their targets, but would
    /// double if the load of its long-running tasks rose further.
    fn is_crowded(&self, index: WorkerIndex, best_effort: &[BestEffortTask]) -> bool {
        let cores: f64 = best_effort.iter().map(|task| task.cores).sum();
        let worker = &self.workers[index as usize];
        worker.mean_tail > LOADED_MEAN_TAIL_RATIO
            && cores > best_effort_cores(worker) * CROWDING_TOLERANCE
    }

    /// Slows all best-effort tasks of a worker alike, to the capacity that is left for them.
    fn slow_to_capacity(&mut self, index: WorkerIndex, best_effort: &[BestEffortTask]) {
        let cores: f64 = best_effort.iter().map(|task| task.cores).sum();
        let headroom = best_effort_cores(&self.workers[index as usize]).max(0.0);
        let steps = (headroom / cores.max(0.1) * f64::from(100 / SLOWED_PACE_PERCENT)) as u32;
        let percent = (steps * SLOWED_PACE_PERCENT).max(SLOWED_PACE_PERCENT);
        for task in best_effort {
            self.set_pace(index, task.task_ref, task.pace_percent.min(percent));
        }
    }

    /// Stops a harmful task so that it restarts elsewhere, if little work is lost; otherwise paces
    /// it to zero.
    fn move_or_pause(&mut self, index: WorkerIndex, task: &BestEffortTask) {
        if task.saves_progress || task.percent < 30 {
            log::info!(event = "task_moved", job = self.job_id(task.task_ref.job),
                task = self.task_name(task.task_ref), image = task.image,
                worker = self.workers[index as usize].entry.id.as_str();
                "moving task that harms serving tasks");
            self.set_pace(index, task.task_ref, 0);
            let now_us = self.workers[index as usize].sampled_us;
            self.stop(task.task_ref, now_us);
            if let Some(job) = self.job_mut(task.task_ref.job) {
                job.throttled_search_from_us = now_us + HARM_BACKOFF_US;
            }
        } else {
            self.set_pace(index, task.task_ref, 0);
        }
    }

    /// Speeds up slowed tasks, one step per poll, if the tails are expected to stay within their
    /// targets.
    fn speed_up(
        &mut self,
        index: WorkerIndex,
        serving: &[ServingTask],
        best_effort: &[BestEffortTask],
        worst: f64,
    ) {
        let mut headroom = (TARGET_TAIL_RATIO / worst.max(0.05)).ln();
        let in_use: f64 = best_effort.iter().map(|task| task.cores).sum();
        let mut cores_left = best_effort_cores(&self.workers[index as usize]) - in_use;
        for task in best_effort.iter().filter(|task| task.pace_percent < 100) {
            let weight = serving
                .iter()
                .map(|serving_task| {
                    self.interference.weight(serving_task.image, task.image).unwrap_or(0.0)
                })
                .fold(0.0, f64::max);
            let requested = self.requested_cores(task.task_ref);
            let cores_of = |step_percent: u32| f64::from(step_percent) / 100.0 * requested;
            let worker = &self.workers[index as usize];
            let effect_of =
                |step_percent| weight * usage_units(worker, cores_of(step_percent) * 1_000.0);
            let fits = |step_percent: &u32| {
                effect_of(*step_percent) <= headroom && cores_of(*step_percent) <= cores_left
            };
            let Some(step_percent) = SPEED_UP_STEPS_PERCENT.into_iter().find(fits) else {
                continue;
            };
            headroom -= effect_of(step_percent);
            cores_left -= cores_of(step_percent);
            let percent = (task.pace_percent + step_percent).min(100);
            self.set_pace(index, task.task_ref, percent);
        }
    }

    fn requested_cores(&self, task_ref: TaskRef) -> f64 {
        self.job(task_ref.job)
            .map_or(0.0, |job| job.step(task_ref.task).need.cpu_milli as f64 / 1_000.0)
    }

    /// Limits the harm regardless of the model: slows and finally pauses all best-effort tasks of a
    /// worker with a serving task that has been over its target for too long.
    fn limit_harm(
        &mut self,
        index: WorkerIndex,
        best_effort: &[BestEffortTask],
        worst: f64,
        now_us: u64,
    ) {
        let limit_us = self.bounds.harm_ms * US_PER_MS;
        let worker = &mut self.workers[index as usize];
        if worst <= 1.0 {
            worker.over_since_us = 0;
            return;
        }
        if worker.over_since_us == 0 {
            worker.over_since_us = now_us;
        }
        let over_us = now_us - worker.over_since_us;
        let max_pace = if over_us * 100 > limit_us * PAUSE_ALL_AFTER_PERCENT {
            0
        } else if over_us * 100 > limit_us * SLOW_ALL_AFTER_PERCENT {
            SLOWED_PACE_PERCENT
        } else {
            return;
        };
        for task in best_effort {
            self.set_pace(index, task.task_ref, task.pace_percent.min(max_pace));
        }
    }

    fn set_pace(&mut self, index: WorkerIndex, task_ref: TaskRef, percent: u32) {
        let Some(job) = self.jobs[task_ref.job as usize].as_mut() else { return };
        let task = &mut job.tasks[task_ref.task as usize];
        if percent == task.pace_percent || task.state != TaskState::Running(index) {
            return;
        }
        let now_us = self.workers[index as usize].sampled_us;
        if percent > task.pace_percent {
            // The time at the lower pace is no evidence of a stall at the higher one.
            task.progress_us = now_us;
        }
        task.pace_percent = percent;
        task.slowed_us = match (percent, task.slowed_us) {
            (100, _) => 0,
            (_, 0) => now_us,
            (_, since_us) => since_us,
        };
        self.counts.paced += 1;
        self.push_order(task_ref, index, OrderKind::Pace { percent }, now_us);
    }
}
