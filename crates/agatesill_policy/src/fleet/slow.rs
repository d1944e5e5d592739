//! Workers that turn slow without failing anything.
//!
//! Load pattern: a sixth of the workers run everything several times slower for some seconds, and go on
//! answering. A wide step nearly always has a task on one of them, so most urgent jobs are late though
//! five workers in six are sound. Nothing fails, so failures do not show it, and callers' estimates are
//! further off than the slowness. But the tasks of one step are alike: each is compared with the others.

use super::US_PER_MS;
use super::job::{Step, TaskRef, TaskState};
use super::state::Fleet;
use super::worker::{RunRow, WorkerIndex};

/// A task below this share of its step's mean speed is slow. Tasks of a step differ by less.
const SLOW_SHARE: f64 = 0.45;

/// Samples of a step's speed before tasks are compared with it.
const LEAST_SAMPLES: u32 = 4;

/// How long a task must have run before its progress tells its speed.
const LEAST_RUN_US: u64 = 200 * US_PER_MS;

/// Share of its processors that a task that fills must get for its progress to tell the worker's speed.
const LEAST_FED: f64 = 0.5;

/// Answers in a row with more slow tasks than others after which a worker counts as slow.
const SLOW_ANSWERS: u32 = 2;

/// Slow tasks in one answer, and no other, that show as much.
const SURELY_SLOW: u32 = 3;

/// How long a slow worker gets no tasks at first; each further time doubles it.
const PAUSE_US: u64 = 1_500 * US_PER_MS;

/// Doublings of that pause: such a worker is tried again before long.
const MOST_DOUBLINGS: u32 = 2;

/// Runs of a task after which it is left where it is: moving again and again would lose more.
const MOST_RUNS: u32 = 2;

/// By how much longer than anew a task must have to run for a move to be worth the work that is lost.
const MOVE_FACTOR: f64 = 1.5;

/// Time that a move costs: the stop has to be listed before the task may start elsewhere.
const MOVE_US: f64 = (500 * US_PER_MS) as f64;

/// How fast the tasks of one step have run, in parts of a task a microsecond. The mean of speeds, not
/// of times: a few slow tasks hardly move it.
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

    /// The mean, once it rests on enough samples.
    fn mean(self) -> Option<f64> {
        (self.samples >= LEAST_SAMPLES).then(|| self.sum / f64::from(self.samples))
    }
}

/// What the newest answer of a worker showed of its speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerSpeed {
    slow: u32,
    usual: u32,
    /// Answers in a row with more slow tasks than others.
    slow_answers: u32,
    /// Times in a row that it was closed for being slow.
    pauses: u32,
}

impl Fleet {
    /// Takes in how far a run has come.
    pub(super) fn sample_speed(
        &mut self,
        index: WorkerIndex,
        at: TaskRef,
        row: &RunRow,
        now_us: u64,
    ) {
        let Some(job) = self.job(at.job) else { return };
        let (step, task) = (job.step(at.task), &job.tasks[at.task as usize]);
        let ran_us = now_us.saturating_sub(task.measured_us);
        if ran_us < LEAST_RUN_US || !self.is_comparable(index, at) {
            return;
        }
        let fed =
            if step.fills { row.figure as f64 / step.need.cpu_milli.max(1) as f64 } else { 1.0 };
        if fed < LEAST_FED {
            return;
        }
        let done = f64::from(row.percent.min(100).saturating_sub(task.start_percent)) / 100.0;
        self.compare(index, at, done / ran_us as f64 / fed.min(1.0));
    }

    /// Takes in how long a run took that is done now.
    pub(super) fn sample_completed_run(&mut self, index: WorkerIndex, at: TaskRef, ran_us: u64) {
        let Some(job) = self.job(at.job) else { return };
        let done = f64::from(100 - job.tasks[at.task as usize].start_percent.min(100)) / 100.0;
        if !job.step(at.task).fills && ran_us > 0 && self.is_comparable(index, at) {
            self.compare(index, at, done / ran_us as f64);
        }
    }

    /// Whether a task's progress tells the speed of its worker; on one that is cold it does not.
    fn is_comparable(&self, index: WorkerIndex, at: TaskRef) -> bool {
        let Some(job) = self.job(at.job) else { return false };
        let (step, task) = (job.step(at.task), &job.tasks[at.task as usize]);
        task.state == TaskState::Running(index)
            && task.measured_us >= self.workers[index as usize].cold_until_us
            && !step.is_lasting
            && !step.is_gang
            && !step.wants_one_rack
            && task.pace_percent == 100
            && task.slowed_us == 0
            && is_near_data(step, &self.workers[index as usize].entry.rack)
    }

    fn compare(&mut self, index: WorkerIndex, at: TaskRef, speed: f64) {
        let Some(job) = self.job_mut(at.job) else { return };
        let (occurrence, step, _) = job.locate(at.task);
        let place = job.step_position(occurrence, step);
        let mean = job.speeds[place].mean();
        job.speeds[place].add(speed);
        let Some(mean) = mean else { return };
        let worker = &mut self.workers[index as usize].speed;
        if speed < mean * SLOW_SHARE {
            worker.slow += 1;
        } else {
            worker.usual += 1;
        }
    }

    /// Judges a worker by the samples of its newest answer. One that turned slow gets no new tasks for a
    /// while, and what would take too long there starts elsewhere.
    pub(super) fn detect_slow_worker(&mut self, index: WorkerIndex, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        let seen = &mut worker.speed;
        let (slow, usual) = (std::mem::take(&mut seen.slow), std::mem::take(&mut seen.usual));
        if slow + usual == 0 {
            return;
        }
        if slow <= usual {
            seen.slow_answers = 0;
            seen.pauses = 0;
            return;
        }
        seen.slow_answers += 1;
        let is_sure = slow >= SURELY_SLOW && usual == 0;
        if seen.slow_answers < SLOW_ANSWERS && !is_sure {
            return;
        }
        if now_us >= worker.closed_until_us {
            let pause_us = PAUSE_US << seen.pauses.min(MOST_DOUBLINGS);
            seen.pauses += 1;
            worker.closed_until_us = now_us + pause_us;
            self.counts.slow_workers += 1;
            log::warn!(event = "worker_slow", worker = worker.entry.id.as_str(), slow = slow,
                usual = usual, for_ms = pause_us / US_PER_MS; "no new tasks");
        }
        self.leave_slow(index, now_us);
    }

    /// Stops the tasks that end sooner if they start again elsewhere.
    fn leave_slow(&mut self, index: WorkerIndex, now_us: u64) {
        let tasks = &self.workers[index as usize].tasks;
        let moving: Vec<TaskRef> = tasks
            .iter()
            .copied()
            .filter(|at| self.ends_sooner_elsewhere(index, *at, now_us))
            .collect();
        for at in moving {
            log::info!(event = "task_moved", job = self.job_id(at.job), task = at.task,
                worker = self.workers[index as usize].entry.id.as_str(); "its worker is slow");
            self.stop(at, now_us);
        }
    }

    fn ends_sooner_elsewhere(&self, index: WorkerIndex, at: TaskRef, now_us: u64) -> bool {
        let Some(job) = self.job(at.job).filter(|_| self.is_comparable(index, at)) else {
            return false;
        };
        let (occurrence, step, _) = job.locate(at.task);
        let (step, place) = (&job.spec.steps[step as usize], job.step_position(occurrence, step));
        let task = &job.tasks[at.task as usize];
        let ran_us = now_us.saturating_sub(task.measured_us);
        let Some(mean) = job.speeds[place].mean().filter(|_| ran_us >= LEAST_RUN_US) else {
            return false;
        };
        let done = f64::from(task.percent.saturating_sub(task.start_percent)) / 100.0;
        let speed = done / ran_us as f64;
        let left = 1.0 - f64::from(task.percent.min(100)) / 100.0;
        let left_elsewhere = if step.saves_progress { left } else { 1.0 };
        let stays_us = left / speed.max(f64::EPSILON);
        let moves_us = left_elsewhere / mean * MOVE_FACTOR + MOVE_US;
        task.run <= MOST_RUNS && speed < mean * SLOW_SHARE && stays_us > moves_us
    }
}

fn is_near_data(step: &Step, rack: &str) -> bool {
    step.data_rack.is_empty() || step.data_rack == rack
}
