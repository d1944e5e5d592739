//! Tasks that stand still, and workers that leave.

use super::US_PER_MS;
use super::job::{TaskRef, TaskState};
use super::state::Fleet;
use super::worker::WorkerIndex;

/// A task without progress for this long stands still. Progress comes in hundredths of the work, so
/// even a long task that was slowed moves several times within it.
const STILL_US: u64 = 2_500 * US_PER_MS;

/// A lasting task that is not at work for this long is started again; a start takes about a second.
const IDLE_US: u64 = 4_000 * US_PER_MS;

/// Share of the time left that a task may need to be left to finish on a leaving worker; estimates
/// are off by more than the rest.
const LEAVE_SHARE_PERCENT: u64 = 60;

impl Fleet {
    /// Stops the tasks of a worker that stand still; they start again elsewhere.
    pub(super) fn watch_progress(&mut self, index: WorkerIndex, now_us: u64) {
        let still: Vec<TaskRef> = self.workers[index as usize]
            .tasks
            .iter()
            .copied()
            .filter(|at| self.stands_still(*at, now_us))
            .collect();
        for at in still {
            log::warn!(event = "task_still", job = self.job_id(at.job), task = at.task,
                worker = self.workers[index as usize].entry.id.as_str(); "stopped");
            self.stop(at, now_us);
            self.doubt(index, at.job, now_us);
        }
    }

    fn stands_still(&self, at: TaskRef, now_us: u64) -> bool {
        let Some(job) = self.job(at.job) else { return false };
        let task = &job.tasks[at.task as usize];
        let step = job.step(at.task);
        if !matches!(task.state, TaskState::Running(_)) || step.is_gang || task.pace_percent == 0 {
            return false;
        }
        let still_us = now_us.saturating_sub(task.progress_us.max(task.since_us));
        if step.is_lasting {
            return task.percent < 100 && still_us > IDLE_US;
        }
        still_us * u64::from(task.pace_percent) / 100 > STILL_US
    }

    /// Takes tasks off a worker that has announced that it leaves, where staying would lose more
    /// than moving: lasting tasks at once, others if they can resume and would not finish in time.
    pub(super) fn evacuate(&mut self, index: WorkerIndex, now_us: u64) {
        let worker = &self.workers[index as usize];
        let leaves_in_ms = worker.entry.leaves_in_ms;
        let moving: Vec<TaskRef> =
            worker.tasks.iter().copied().filter(|at| self.should_move(*at, leaves_in_ms)).collect();
        moving.into_iter().for_each(|at| self.stop(at, now_us));
    }

    fn should_move(&self, at: TaskRef, leaves_in_ms: u64) -> bool {
        let Some(job) = self.job(at.job) else { return false };
        let task = &job.tasks[at.task as usize];
        let step = job.step(at.task);
        if !matches!(task.state, TaskState::Running(_)) || step.is_gang {
            return false;
        }
        let left_ms = step.estimate_ms * u64::from(100 - task.percent.min(100)) / 100;
        step.is_lasting
            || (step.saves_progress && left_ms * 100 > leaves_in_ms * LEAVE_SHARE_PERCENT)
    }
}
