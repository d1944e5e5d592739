//! Diagnostics: jobs that have open tasks but no run, each with the reason.

use super::US_PER_MS;
use super::job::{Job, JobPhase, Task, TaskRef, TaskState};
use super::missing_tasks::{MissingTask, StartsByWorker, absent_us};
use super::place::PlacementRequest;
use super::refusals::Refusals;
use super::state::{Fleet, TaskGroup};

/// Time without a run after which a job with an open task is reported.
const REPORTED_AFTER_US: u64 = 3_000 * US_PER_MS;

/// Number of tasks of a job that could run or be about to, by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenTasks {
    /// Tasks that wait for a worker.
    pub waiting: u32,
    /// Tasks whose worker is chosen and whose record is not stored.
    pub chosen: u32,
    /// Tasks whose start is ordered and not known to have been carried out.
    pub ordered: u32,
    /// Tasks whose run is being stopped.
    pub stopping: u32,
}

/// A job with open tasks of which nothing has run for three seconds or more.
#[derive(Clone, Debug, PartialEq)]
pub struct IdleJob {
    /// Time since a run of the job was last known to be present or, before the first run, since its
    /// first step became runnable.
    pub idle_ms: u64,
    /// Its open tasks.
    pub open: OpenTasks,
    /// The open task that has been without a run for longest.
    pub task: MissingTask,
    /// Whether the planner considers the step of that task; false is a fault unless the task has a
    /// worker.
    pub is_queued: bool,
    /// The workers that would take the task now, and why the others would not; `None` if the task
    /// has a worker.
    pub refusals: Option<Refusals>,
}

impl Fleet {
    /// Returns the number of jobs with open tasks of which nothing has run for three seconds or
    /// more, and the `max` ones that have been so for longest.
    pub fn idle_jobs(&self, max: usize, now_us: u64) -> (usize, Vec<IdleJob>) {
        let mut idle: Vec<(u64, u32)> = self
            .jobs
            .iter()
            .enumerate()
            .filter_map(|(slot, job)| Some((job.as_deref()?.idle_us(now_us)?, slot as u32)))
            .filter(|(idle_us, _)| *idle_us >= REPORTED_AFTER_US)
            .collect();
        let count = idle.len();
        idle.sort_unstable_by(|a, b| b.cmp(a));
        idle.truncate(max);
        if idle.is_empty() {
            return (0, Vec::new());
        }
        let starting = self.starting_by_worker();
        let described = idle
            .into_iter()
            .filter_map(|(idle_us, slot)| self.describe_idle(slot, idle_us, &starting, now_us))
            .collect();
        (count, described)
    }

    fn describe_idle(
        &self,
        slot: u32,
        idle_us: u64,
        starting: &StartsByWorker,
        now_us: u64,
    ) -> Option<IdleJob> {
        let job = self.job(slot)?;
        let (task, task_idle_us) = job
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| is_open(task.state))
            .map(|(task, state)| (task as u32, absent_us(state, now_us)))
            .max_by_key(|(_, idle_us)| *idle_us)?;
        let task_ref = TaskRef { job: slot, task };
        let (occurrence, step, _) = job.locate(task);
        let group = TaskGroup { job: slot, occurrence, step };
        let is_waiting = job.tasks[task as usize].state == TaskState::Waiting;
        Some(IdleJob {
            idle_ms: idle_us / US_PER_MS,
            open: job.open_tasks(),
            task: self.describe_missing(task_ref, task_idle_us, starting, now_us)?,
            is_queued: self.waiting.contains(&group),
            refusals: is_waiting.then(|| self.refusals(task_ref, now_us)),
        })
    }

    fn refusals(&self, task_ref: TaskRef, now_us: u64) -> Refusals {
        let count = |request: &PlacementRequest<'_>| self.count_refusals(request, now_us);
        self.with_request(task_ref, now_us, count).unwrap_or_default()
    }
}

impl Job {
    /// Time for which nothing of the job has run although a task is open; `None` if a task runs or
    /// none is open.
    pub(super) fn idle_us(&self, now_us: u64) -> Option<u64> {
        if self.phase != JobPhase::Active || !self.tasks.iter().any(|task| is_open(task.state)) {
            return None;
        }
        let idle_us = |task: &Task| match task.state {
            TaskState::Running(_) | TaskState::Done => task.idle_us(now_us),
            // After a takeover, a run that was present by the record may have been lost since.
            _ => absent_us(task, now_us),
        };
        let begun = self.tasks.iter().filter(|task| task.state != TaskState::Blocked);
        begun.map(idle_us).min().filter(|idle_us| *idle_us > 0)
    }

    fn open_tasks(&self) -> OpenTasks {
        let mut open = OpenTasks::default();
        for task in &self.tasks {
            match task.state {
                TaskState::Waiting => open.waiting += 1,
                TaskState::Chosen(_) => open.chosen += 1,
                TaskState::Ordered(_) => open.ordered += 1,
                TaskState::Stopping(_) => open.stopping += 1,
                TaskState::Blocked | TaskState::Running(_) | TaskState::Done => {}
            }
        }
        open
    }
}

fn is_open(state: TaskState) -> bool {
    !matches!(state, TaskState::Blocked | TaskState::Running(_) | TaskState::Done)
}
