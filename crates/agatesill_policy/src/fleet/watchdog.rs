//! Stalled tasks, and tasks on workers that leave.

use super::US_PER_MS;
use super::job::{TaskRef, TaskState};
use super::state::Fleet;
use super::worker::WorkerIndex;

/// Time without progress after which a task is stalled. Progress is reported in percent of the
/// work, so even a long task that was slowed advances several times within it.
const STALL_TIMEOUT_US: u64 = 2_500 * US_PER_MS;

/// Time after which a long-running task that is not ready is restarted. A start takes about a
/// second.
const READY_TIMEOUT_US: u64 = 4_000 * US_PER_MS;

/// Longest remaining run time with which a task stays on a leaving worker, in percent of the time
/// left. Estimates can be off by more than the margin that this leaves.
const MAX_REMAINING_PERCENT: u64 = 60;

impl Fleet {
    /// Stops the stalled tasks of a worker; they start again elsewhere.
    pub(super) fn stop_stalled(&mut self, index: WorkerIndex, now_us: u64) {
        let stalled: Vec<TaskRef> = self.workers[index as usize]
            .tasks
            .iter()
            .copied()
            .filter(|task_ref| self.is_stalled(*task_ref, now_us))
            .collect();
        for task_ref in stalled {
            log::warn!(event = "task_still", job = self.job_id(task_ref.job),
                task = self.task_name(task_ref),
                worker = self.workers[index as usize].entry.id.as_str(); "stopped");
            self.stop(task_ref, now_us);
            self.suspect_worker(index, task_ref.job, now_us);
        }
    }

    fn is_stalled(&self, task_ref: TaskRef, now_us: u64) -> bool {
        let Some(job) = self.job(task_ref.job) else { return false };
        let task = &job.tasks[task_ref.task as usize];
        let step = job.step(task_ref.task);
        if !matches!(task.state, TaskState::Running(_)) || step.is_gang || task.pace_percent == 0 {
            return false;
        }
        let stalled_us = now_us.saturating_sub(task.progress_us.max(task.since_us));
        if step.is_lasting {
            return task.percent < 100 && stalled_us > READY_TIMEOUT_US;
        }
        stalled_us * u64::from(task.pace_percent) / 100 > STALL_TIMEOUT_US
    }

    /// Moves tasks off a leaving worker where staying would lose more than moving: long-running
    /// tasks at once, others if they can resume and would not finish in time.
    pub(super) fn evacuate(&mut self, index: WorkerIndex, now_us: u64) {
        let worker = &self.workers[index as usize];
        let leaves_in_ms = worker.entry.leaves_in_ms;
        let moving: Vec<TaskRef> = worker
            .tasks
            .iter()
            .copied()
            .filter(|task_ref| self.should_move(*task_ref, leaves_in_ms))
            .collect();
        moving.into_iter().for_each(|task_ref| self.stop(task_ref, now_us));
    }

    fn should_move(&self, task_ref: TaskRef, leaves_in_ms: u64) -> bool {
        let Some(job) = self.job(task_ref.job) else { return false };
        let task = &job.tasks[task_ref.task as usize];
        let step = job.step(task_ref.task);
        if !matches!(task.state, TaskState::Running(_)) || step.is_gang {
            return false;
        }
        let remaining_ms = step.estimate_ms * u64::from(100 - task.percent.min(100)) / 100;
        step.is_lasting
            || (step.saves_progress && remaining_ms * 100 > leaves_in_ms * MAX_REMAINING_PERCENT)
    }
}
