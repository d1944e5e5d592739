//! Diagnostics: long-running tasks that have been without a run for long, each with the reason.

use std::collections::HashMap;

use crate::batch::Resources;

use super::US_PER_MS;
use super::job::{JobId, JobPhase, Step, Task, TaskRef, TaskState};
use super::longest_wait::{Deferral, FittingWorkers};
use super::state::{Fleet, TaskGroup};
use super::worker::{WorkerIndex, WorkerStanding};

/// Time without a run after which a long-running task is reported. Its users tolerate six seconds.
const REPORTED_AFTER_US: u64 = 4_000 * US_PER_MS;

/// A task that has been without a run for seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingTask {
    /// Job of the task.
    pub job: JobId,
    /// Index among the job's tasks.
    pub task: u32,
    /// Number of the newest run.
    pub run: u32,
    /// State of the task: `waiting`, `chosen`, `ordered`, `running` or `stopping`.
    pub state: &'static str,
    /// Time since a run of the task was last known to be present.
    pub missing_ms: u64,
    /// Time that the task has been in its state.
    pub in_state_ms: u64,
    /// Starts that were not carried out since the newest run ended.
    pub failed_starts: u32,
    /// Age of the oldest change of the job that waits to be stored; `None` if none waits.
    pub record_age_ms: Option<u64>,
    /// Whether a record of the job is being stored.
    pub is_committing: bool,
    /// The worker of the task, unless the task waits for one.
    pub worker: Option<MissingTaskWorker>,
    /// Why no worker is chosen, if the task waits for one.
    pub wait: Option<PlacementWait>,
}

/// The worker of a missing task.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingTaskWorker {
    /// Identifier of the worker.
    pub id: String,
    /// Standing of the worker.
    pub standing: WorkerStanding,
    /// Whether the registry lists the worker.
    pub is_listed: bool,
    /// Time since the worker last answered a poll.
    pub answer_age_ms: u64,
    /// Whether an order about the run was answered.
    pub is_order_answered: bool,
    /// Unanswered orders about the run.
    pub unanswered_orders: u32,
}

/// Why a missing task has no worker.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementWait {
    /// Why placement is not attempted now.
    pub deferral: Deferral,
    /// CPU that the task would allocate.
    pub cpu_milli: u64,
    /// Memory that the task would allocate.
    pub memory_mb: u64,
    /// Workers with capacity for the task.
    pub fitting: FittingWorkers,
    /// Open workers that would have capacity for the task if no start were in progress there.
    pub fitting_without_starts: u32,
}

/// Resources allocated on each worker to tasks whose start is in progress.
pub(super) type StartsByWorker = HashMap<WorkerIndex, Resources>;

impl Fleet {
    /// Returns the number of long-running tasks that have been without a run for four seconds or
    /// more, and the `max` ones that have been so for longest.
    pub fn missing_tasks(&self, max: usize, now_us: u64) -> (usize, Vec<MissingTask>) {
        let mut missing: Vec<(u64, TaskRef)> = Vec::new();
        for (slot, job) in self.jobs.iter().enumerate() {
            let Some(job) = job.as_ref().filter(|job| job.phase == JobPhase::Active) else {
                continue;
            };
            if !job.spec.steps.iter().any(|step| step.is_lasting) {
                continue;
            }
            let tasks = job.tasks.iter().enumerate();
            missing.extend(
                tasks
                    .map(|(task, state)| (absent_us(state, now_us), task as u32))
                    .filter(|(absent_us, task)| {
                        *absent_us >= REPORTED_AFTER_US && job.step(*task).is_lasting
                    })
                    .map(|(absent_us, task)| (absent_us, TaskRef { job: slot as u32, task })),
            );
        }
        let count = missing.len();
        missing.sort_unstable_by(|a, b| b.cmp(a));
        missing.truncate(max);
        if missing.is_empty() {
            return (0, Vec::new());
        }
        let starting = self.starting_by_worker();
        let described = missing
            .iter()
            .filter_map(|(absent_us, task_ref)| {
                self.describe_missing(*task_ref, *absent_us, &starting, now_us)
            })
            .collect();
        (count, described)
    }

    /// Resources allocated on each worker to tasks whose start is in progress.
    pub(super) fn starting_by_worker(&self) -> StartsByWorker {
        let mut starting = StartsByWorker::new();
        for (index, worker) in self.live_workers() {
            for task_ref in &worker.tasks {
                let Some(job) = self.job(task_ref.job) else { continue };
                let state = job.tasks[task_ref.task as usize].state;
                if matches!(state, TaskState::Chosen(_) | TaskState::Ordered(_)) {
                    let allocated = starting.entry(index).or_default();
                    *allocated = allocated.plus(&job.step(task_ref.task).allocation());
                }
            }
        }
        starting
    }

    pub(super) fn describe_missing(
        &self,
        task_ref: TaskRef,
        absent_us: u64,
        starting: &StartsByWorker,
        now_us: u64,
    ) -> Option<MissingTask> {
        let job = self.job(task_ref.job)?;
        let task = &job.tasks[task_ref.task as usize];
        let (occurrence, step_index, _) = job.locate(task_ref.task);
        let group = TaskGroup { job: task_ref.job, occurrence, step: step_index };
        let step = &job.spec.steps[step_index as usize];
        let is_waiting = task.state == TaskState::Waiting;
        let record_age_ms = self
            .dirty
            .get(&task_ref.job)
            .map(|since_us| now_us.saturating_sub(*since_us) / US_PER_MS);
        Some(MissingTask {
            job: job.spec.id.clone(),
            task: task_ref.task,
            run: task.run,
            state: state_name(task.state),
            missing_ms: absent_us / US_PER_MS,
            in_state_ms: now_us.saturating_sub(task.since_us) / US_PER_MS,
            failed_starts: task.failed_starts,
            record_age_ms,
            is_committing: job.is_committing,
            worker: task.state.worker().map(|index| self.describe_worker(index, task, now_us)),
            wait: is_waiting.then(|| {
                let deferral = self.deferral(group, task_ref.task, now_us);
                self.describe_wait(step, &self.terms(job).service, deferral, starting, now_us)
            }),
        })
    }

    fn describe_worker(&self, index: WorkerIndex, task: &Task, now_us: u64) -> MissingTaskWorker {
        let worker = &self.workers[index as usize];
        MissingTaskWorker {
            id: worker.entry.id.clone(),
            standing: worker.standing,
            is_listed: worker.is_listed,
            answer_age_ms: now_us.saturating_sub(worker.answered_us) / US_PER_MS,
            is_order_answered: task.answered_us > 0,
            unanswered_orders: task.unanswered,
        }
    }

    fn describe_wait(
        &self,
        step: &Step,
        service: &str,
        deferral: Deferral,
        starting: &StartsByWorker,
        now_us: u64,
    ) -> PlacementWait {
        let allocation = step.allocation();
        let mut wait = PlacementWait {
            deferral,
            cpu_milli: allocation.cpu_milli,
            memory_mb: allocation.memory_mb,
            fitting: FittingWorkers::default(),
            fitting_without_starts: 0,
        };
        for (index, worker) in self.live_workers() {
            if worker.entry.service != service {
                continue;
            }
            let is_open = worker.is_open(now_us);
            if worker.has_capacity_for(&allocation) {
                wait.fitting.count(worker.is_available(), is_open);
            }
            let in_progress = starting.get(&index).copied().unwrap_or_default();
            let used = worker.used.minus(&in_progress);
            if is_open && worker.entry.capacity.holds(&used.plus(&allocation)) {
                wait.fitting_without_starts += 1;
            }
        }
        wait
    }
}

/// Time since a run of the task was last known to be present.
pub(super) fn absent_us(task: &Task, now_us: u64) -> u64 {
    match task.state {
        TaskState::Blocked | TaskState::Done => 0,
        _ if task.idle_since_us > 0 => task.idle_us(now_us),
        _ => now_us.saturating_sub(task.present_us),
    }
}

pub(super) fn state_name(state: TaskState) -> &'static str {
    match state {
        TaskState::Blocked => "blocked",
        TaskState::Waiting => "waiting",
        TaskState::Chosen(_) => "chosen",
        TaskState::Ordered(_) => "ordered",
        TaskState::Running(_) => "running",
        TaskState::Stopping(_) => "stopping",
        TaskState::Done => "done",
    }
}
