//! Preemption of long-running tasks for urgent steps, within the allowance of their step.
//!
//! Load pattern: long-running tasks have reserved every CPU, and short urgent steps keep arriving.
//! A long-running task never frees its capacity by itself. Most urgent tasks start at once in the
//! capacity freed by other urgent tasks, but the last task of a step waits for many times its run
//! time while hundreds of long-running tasks run. Without preemption, whole urgent jobs are late
//! because of one task.
//!
//! A long-running step may state how many of its tasks may be missing. Only one of them at a time
//! is stopped for an urgent step that can still meet its objective, so that many steps miss one
//! task each instead of a few steps missing all. A preempted task waits before it allocates
//! capacity again; otherwise each gap between two urgent steps would cost a stop and a start.

use std::collections::BTreeMap;

use super::US_PER_MS;
use super::job::{Job, Step, Task, TaskRef, TaskState};
use super::ranking::IN_TIME_DENSITY;
use super::state::{Fleet, TaskGroup};
use super::usage::TaskKind;
use super::worker::WorkerIndex;

/// Time an urgent task waits before it causes a preemption.
///
/// Urgent tasks run for two thirds of a second, so a sixth of their capacity is freed within this
/// time.
const PREEMPTION_DELAY_US: u64 = 100 * US_PER_MS;

/// Minimum time since its start before a long-running task may be preempted.
///
/// A start takes about a second, which should stay a small part of the run.
const MIN_RUN_US: u64 = 5_000 * US_PER_MS;

/// Time a preempted task waits before it competes for capacity again.
///
/// Of the six seconds for which a task may be missing, half remain for finding a worker and
/// starting.
const PREEMPTED_WAIT_US: u64 = 2_000 * US_PER_MS;

/// Minimum time between two preemption rounds; stopped tasks need as long to free their capacity.
const ROUND_INTERVAL_US: u64 = 50 * US_PER_MS;

/// Workers whose tasks are examined in one round. The next round continues after them, so the cost
/// of a round does not grow with the fleet.
const WORKERS_PER_ROUND: usize = 256;

/// Allowance of a step that states none and has at least [`MIN_TASKS_FOR_DEFAULT`] tasks. Its users
/// lose at most a fourth of the step.
const DEFAULT_ALLOWANCE: u32 = 1;

/// Number of tasks below which a step that states no allowance is not preempted.
const MIN_TASKS_FOR_DEFAULT: u32 = 4;

/// State kept between preemption rounds.
#[derive(Debug, Default)]
pub(super) struct Preemption {
    /// Preempted tasks that still hold their capacity, with their CPU in millicores.
    pub freeing: BTreeMap<TaskRef, u64>,
    /// Time of the last round.
    last_round_us: u64,
    /// Index of the first worker of the next round.
    next_worker: WorkerIndex,
}

/// A long-running task that may be preempted.
struct Candidate {
    task_ref: TaskRef,
    worker: WorkerIndex,
    cpu_milli: u64,
    /// Serving tasks of its image on the worker; `u32::MAX` if no other image serves there.
    same_image_tasks: u32,
}

impl Fleet {
    /// Stops long-running tasks if steps that can still meet their objective wait for reserved
    /// capacity.
    ///
    /// `waiting` holds the groups that were not fully placed, each with the density it was ranked
    /// by.
    pub(super) fn preempt_for_urgent(&mut self, waiting: &[(TaskGroup, f64)], now_us: u64) {
        let unmet_milli: u64 = waiting
            .iter()
            .filter(|(_, density)| *density >= IN_TIME_DENSITY)
            .map(|(group, _)| self.unmet_milli(*group, now_us))
            .sum();
        if unmet_milli == 0
            || now_us.saturating_sub(self.preemption.last_round_us) < ROUND_INTERVAL_US
        {
            return;
        }
        self.preemption.last_round_us = now_us;
        let mut short_milli = unmet_milli.saturating_sub(self.freeing_milli());
        if short_milli == 0 {
            return;
        }
        for candidate in self.candidates(now_us) {
            // Another task of the same step may have been preempted in this round.
            if !self.may_be_preempted(candidate.task_ref, now_us) {
                continue;
            }
            self.preempt(&candidate, short_milli, now_us);
            short_milli = short_milli.saturating_sub(candidate.cpu_milli);
            if short_milli == 0 {
                return;
            }
        }
    }

    fn preempt(&mut self, candidate: &Candidate, short_milli: u64, now_us: u64) {
        let worker = &self.workers[candidate.worker as usize];
        log::info!(event = "task_preempted", job = self.job_id(candidate.task_ref.job),
            task = self.task_name(candidate.task_ref), worker = worker.entry.id.as_str(),
            cpu_milli = candidate.cpu_milli, short_milli = short_milli,
            answer_age_ms = now_us.saturating_sub(worker.answered_us) / US_PER_MS; "");
        self.stop(candidate.task_ref, now_us);
        self.preemption.freeing.insert(candidate.task_ref, candidate.cpu_milli);
        self.counts.preempted += 1;
        if let Some(job) = self.jobs[candidate.task_ref.job as usize].as_mut() {
            job.tasks[candidate.task_ref.task as usize].preempted = true;
        }
    }

    /// Whether placement of a long-running step is deferred: all of its waiting tasks were
    /// preempted less than [`PREEMPTED_WAIT_US`] ago, and the step is within its allowance.
    pub(super) fn is_held_back(&self, group: TaskGroup, now_us: u64) -> bool {
        let Some(job) = self.job(group.job) else { return false };
        let is_recently_preempted =
            |task: &Task| task.preempted && task.idle_us(now_us) < PREEMPTED_WAIT_US;
        self.is_within_allowance(job, group)
            && job
                .tasks_of(group.occurrence, group.step)
                .map(|task| &job.tasks[task as usize])
                .filter(|task| task.state == TaskState::Waiting)
                .all(is_recently_preempted)
    }

    /// Whether a long-running step misses no more tasks than its allowance, so that urgent steps
    /// may go first.
    pub(super) fn is_within_allowance(&self, job: &Job, group: TaskGroup) -> bool {
        let allowance = allowance(&job.spec.steps[group.step as usize]);
        allowance > 0 && missing_tasks(job, group) <= allowance
    }

    /// Whether one more task of a long-running step may be stopped within its allowance.
    pub(super) fn may_miss_another(&self, job: &Job, group: TaskGroup) -> bool {
        missing_tasks(job, group) < allowance(&job.spec.steps[group.step as usize])
    }

    /// CPU requested by tasks of a plain step that have waited for at least
    /// [`PREEMPTION_DELAY_US`]. Gangs and steps that require a label do not cause preemptions.
    fn unmet_milli(&self, group: TaskGroup, now_us: u64) -> u64 {
        let Some(job) = self.job(group.job) else { return 0 };
        let step = &job.spec.steps[group.step as usize];
        if TaskKind::of(step) != TaskKind::Plain || step.is_gang || !step.label.is_empty() {
            return 0;
        }
        job.tasks_of(group.occurrence, group.step)
            .map(|task| &job.tasks[task as usize])
            .filter(|task| task.state == TaskState::Waiting)
            .filter(|task| task.idle_us(now_us) >= PREEMPTION_DELAY_US)
            .map(|_| step.need.cpu_milli)
            .sum()
    }

    /// CPU of preempted tasks that still hold their capacity.
    fn freeing_milli(&self) -> u64 {
        self.preemption.freeing.values().sum()
    }

    /// Returns the long-running tasks that may be preempted now, best candidates first.
    ///
    /// Tasks on workers with several serving images come first, those of the rarest image on their
    /// worker before others, because each image removed from a worker opens it to more best-effort
    /// work. Smaller tasks come before larger ones. Ordering by size alone would let returning
    /// tasks mix ever more images.
    fn candidates(&mut self, now_us: u64) -> Vec<Candidate> {
        let from = self.preemption.next_worker as usize % self.workers.len().max(1);
        let count = self.workers.len().min(WORKERS_PER_ROUND);
        self.preemption.next_worker = (from + count) as WorkerIndex;
        let mut candidates: Vec<Candidate> = (0..count)
            .map(|offset| ((from + offset) % self.workers.len()) as WorkerIndex)
            .map(|index| (index, &self.workers[index as usize]))
            .filter(|(_, worker)| worker.is_open(now_us))
            .inspect(|(_, worker)| self.effort.count_tasks_weighed(worker.tasks.len()))
            .flat_map(|(index, worker)| worker.tasks.iter().map(move |task_ref| (index, *task_ref)))
            .filter(|(_, task_ref)| self.may_be_preempted(*task_ref, now_us))
            .filter_map(|(worker, task_ref)| self.as_candidate(worker, task_ref))
            .collect();
        candidates.sort_by_key(|candidate| (candidate.same_image_tasks, candidate.cpu_milli));
        candidates
    }

    fn as_candidate(&self, worker: WorkerIndex, task_ref: TaskRef) -> Option<Candidate> {
        let job = self.job(task_ref.job)?;
        let serving = &self.workers[worker as usize].serving;
        let is_mixed = serving.iter().count() > 1;
        let same_image_tasks =
            if is_mixed { serving.of(job.image(task_ref.task)) } else { u32::MAX };
        Some(Candidate {
            task_ref,
            worker,
            cpu_milli: job.step(task_ref.task).need.cpu_milli,
            same_image_tasks,
        })
    }

    fn may_be_preempted(&self, task_ref: TaskRef, now_us: u64) -> bool {
        let Some(job) = self.job(task_ref.job) else { return false };
        let (occurrence, step, _) = job.locate(task_ref.task);
        let task = &job.tasks[task_ref.task as usize];
        let group = TaskGroup { job: task_ref.job, occurrence, step };
        let allowance = allowance(&job.spec.steps[step as usize]);
        job.spec.steps[step as usize].is_lasting
            && is_fully_started(job, task_ref.task)
            && now_us.saturating_sub(task.since_us) >= MIN_RUN_US
            && allowance > 0
            && missing_tasks(job, group) == 0
    }
}

/// Number of tasks of a long-running step that may be missing at once.
fn allowance(step: &Step) -> u32 {
    let usual = if step.count >= MIN_TASKS_FOR_DEFAULT { DEFAULT_ALLOWANCE } else { 0 };
    step.may_miss.unwrap_or(usual)
}

/// Number of tasks of a long-running step that are not fully started.
fn missing_tasks(job: &Job, group: TaskGroup) -> u32 {
    job.tasks_of(group.occurrence, group.step).filter(|task| !is_fully_started(job, *task)).count()
        as u32
}

fn is_fully_started(job: &Job, task: u32) -> bool {
    let task = &job.tasks[task as usize];
    matches!(task.state, TaskState::Running(_)) && task.percent >= 100
}
