//! Lasting tasks that are preempted for urgent steps, within the allowance that their step states.
//!
//! Load pattern: lasting tasks have reserved every processor, and short urgent steps keep coming. Room
//! that a lasting task has taken never comes back, so most urgent tasks start at once in what other
//! urgent tasks leave, and the last task of a step waits for many times its own run time while hundreds
//! of lasting tasks run. Without preemption whole urgent jobs are late for want of one task.
//!
//! A step that lasts may say how many of its tasks may be away. One of them at a time is stopped for
//! an urgent step that can still be in time, so that many steps miss one task in place of some missing
//! all. It waits for a moment before it takes room again: else each gap between two urgent steps would
//! cost a stop and a start.

use std::collections::BTreeMap;

use super::US_PER_MS;
use super::job::{Job, Step, Task, TaskRef, TaskState};
use super::ranking::IN_TIME_DENSITY;
use super::state::{Fleet, TaskGroup};
use super::usage::TaskKind;
use super::worker::WorkerIndex;

/// How long an urgent task waits for room that frees itself. Urgent tasks run for two thirds of a
/// second, so within this time a sixth of their room is handed on.
const PATIENCE_US: u64 = 100 * US_PER_MS;

/// How long a lasting task works before it may be preempted: a start takes about a second, which should
/// stay a small part.
const LEAST_AT_WORK_US: u64 = 5_000 * US_PER_MS;

/// How long a preempted task leaves its room to others. Half of the six seconds for which it
/// may be missing are left for finding a place and starting.
const HOLD_US: u64 = 2_000 * US_PER_MS;

/// Time between two rounds of preemption: what was stopped in one needs as long to free its room.
const ROUND_US: u64 = 50 * US_PER_MS;

/// Workers whose tasks are weighed in one round; the next goes on after them, so that a round costs
/// the same on a large fleet.
const WORKERS_A_ROUND: usize = 256;

/// Tasks that may be away of a step that states no allowance and has at least [`LEAST_TASKS`]: its
/// users lose a fourth of it at most.
const USUAL_ALLOWANCE: u32 = 1;

/// Tasks of a step below which it gives none up unless it says so.
const LEAST_TASKS: u32 = 4;

/// What preemption keeps from round to round.
#[derive(Debug, Default)]
pub(super) struct Preemption {
    /// Tasks that were stopped to make room and still hold it, with their processors.
    pub freeing: BTreeMap<TaskRef, u64>,
    /// When the last round was.
    weighed_us: u64,
    /// The worker with which the next round begins.
    next_worker: WorkerIndex,
}

/// A lasting task that may be preempted.
struct Candidate {
    at: TaskRef,
    worker: WorkerIndex,
    cpu_milli: u64,
    /// Serving tasks of its image on the worker; the highest number where no other image serves there.
    of_its_image: u32,
}

impl Fleet {
    /// Stops lasting tasks where urgent steps that can still be in time wait for reserved room.
    pub(super) fn preempt_for_urgent(&mut self, waiting: &[(TaskGroup, f64)], now_us: u64) {
        let wanted_milli: u64 = waiting
            .iter()
            .filter(|(_, density)| *density >= IN_TIME_DENSITY)
            .map(|(group, _)| self.wanted_milli(*group, now_us))
            .sum();
        if wanted_milli == 0 || now_us.saturating_sub(self.preemption.weighed_us) < ROUND_US {
            return;
        }
        self.preemption.weighed_us = now_us;
        let mut short_milli = wanted_milli.saturating_sub(self.freeing_milli());
        if short_milli == 0 {
            return;
        }
        for candidate in self.candidates(now_us) {
            // Another task of its step may have been preempted just now.
            if !self.may_be_preempted(candidate.at, now_us) {
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
        log::info!(event = "task_preempted", job = self.job_id(candidate.at.job),
            task = candidate.at.task, worker = worker.entry.id.as_str(),
            cpu_milli = candidate.cpu_milli, short_milli = short_milli,
            answer_age_ms = now_us.saturating_sub(worker.answered_us) / US_PER_MS; "");
        self.stop(candidate.at, now_us);
        self.preemption.freeing.insert(candidate.at, candidate.cpu_milli);
        self.counts.preempted += 1;
        if let Some(job) = self.jobs[candidate.at.job as usize].as_mut() {
            job.tasks[candidate.at.task as usize].preempted = true;
        }
    }

    /// Whether all waiting tasks of a lasting step still leave the room that they gave up to others.
    pub(super) fn is_held_back(&self, group: TaskGroup, now_us: u64) -> bool {
        let Some(job) = self.job(group.job) else { return false };
        let is_held = |task: &Task| task.preempted && task.idle_us(now_us) < HOLD_US;
        self.is_within_allowance(job, group)
            && job
                .tasks_of(group.occurrence, group.step)
                .map(|task| &job.tasks[task as usize])
                .filter(|task| task.state == TaskState::Waiting)
                .all(is_held)
    }

    /// Whether a lasting step misses no more tasks than it may, so that it can wait for urgent ones.
    pub(super) fn is_within_allowance(&self, job: &Job, group: TaskGroup) -> bool {
        let allowance = allowance(&job.spec.steps[group.step as usize]);
        allowance > 0 && away(job, group) <= allowance
    }

    /// Processors for which the tasks of a plain step have waited in vain.
    fn wanted_milli(&self, group: TaskGroup, now_us: u64) -> u64 {
        let Some(job) = self.job(group.job) else { return 0 };
        let step = &job.spec.steps[group.step as usize];
        if TaskKind::of(step) != TaskKind::Plain || step.is_gang || !step.label.is_empty() {
            return 0;
        }
        job.tasks_of(group.occurrence, group.step)
            .map(|task| &job.tasks[task as usize])
            .filter(|task| task.state == TaskState::Waiting)
            .filter(|task| task.idle_us(now_us) >= PATIENCE_US)
            .map(|_| step.need.cpu_milli)
            .sum()
    }

    /// Processors of lasting tasks that were stopped to make room and still hold it.
    fn freeing_milli(&self) -> u64 {
        self.preemption.freeing.values().sum()
    }

    /// The lasting tasks that may be preempted now. Those that share a worker with more tasks of another
    /// image go first, as each image that is gone from a worker opens it to work that fills, and small
    /// ones before big ones: chosen by size alone, tasks that return mix ever more images.
    fn candidates(&mut self, now_us: u64) -> Vec<Candidate> {
        let from = self.preemption.next_worker as usize % self.workers.len().max(1);
        let count = self.workers.len().min(WORKERS_A_ROUND);
        self.preemption.next_worker = (from + count) as WorkerIndex;
        let mut candidates: Vec<Candidate> = (0..count)
            .map(|offset| ((from + offset) % self.workers.len()) as WorkerIndex)
            .map(|index| (index, &self.workers[index as usize]))
            .filter(|(_, worker)| worker.is_open(now_us))
            .inspect(|(_, worker)| self.effort.count_tasks_weighed(worker.tasks.len()))
            .flat_map(|(index, worker)| worker.tasks.iter().map(move |at| (index, *at)))
            .filter(|(_, at)| self.may_be_preempted(*at, now_us))
            .filter_map(|(worker, at)| self.as_candidate(worker, at))
            .collect();
        candidates.sort_by_key(|candidate| (candidate.of_its_image, candidate.cpu_milli));
        candidates
    }

    fn as_candidate(&self, worker: WorkerIndex, at: TaskRef) -> Option<Candidate> {
        let job = self.job(at.job)?;
        let serving = &self.workers[worker as usize].serving;
        let is_mixed = serving.iter().count() > 1;
        let of_its_image = if is_mixed { serving.of(job.image(at.task)) } else { u32::MAX };
        Some(Candidate { at, worker, cpu_milli: job.step(at.task).need.cpu_milli, of_its_image })
    }

    fn may_be_preempted(&self, at: TaskRef, now_us: u64) -> bool {
        let Some(job) = self.job(at.job) else { return false };
        let (occurrence, step, _) = job.locate(at.task);
        let task = &job.tasks[at.task as usize];
        let group = TaskGroup { job: at.job, occurrence, step };
        let allowance = allowance(&job.spec.steps[step as usize]);
        job.spec.steps[step as usize].is_lasting
            && is_at_work(job, at.task)
            && now_us.saturating_sub(task.since_us) >= LEAST_AT_WORK_US
            && allowance > 0
            && away(job, group) == 0
    }
}

/// Tasks of a lasting step that may be away at once.
fn allowance(step: &Step) -> u32 {
    let usual = if step.count >= LEAST_TASKS { USUAL_ALLOWANCE } else { 0 };
    step.may_miss.unwrap_or(usual)
}

/// Tasks of a lasting step that are not at work.
fn away(job: &Job, group: TaskGroup) -> u32 {
    job.tasks_of(group.occurrence, group.step).filter(|task| !is_at_work(job, *task)).count() as u32
}

fn is_at_work(job: &Job, task: u32) -> bool {
    let task = &job.tasks[task as usize];
    matches!(task.state, TaskState::Running(_)) && task.percent >= 100
}
