//! Diagnostics: the tasks that have waited, or been in transition to or from a run, for longest.

use std::collections::BTreeMap;

use super::US_PER_MS;
use super::job::{JobId, JobPhase, Step, TaskRef, TaskState};
use super::state::{Fleet, TaskGroup};
use super::usage::TaskKind;
use super::worker::{Worker, WorkerIndex, WorkerStanding};

/// Why the planner does not try to place a waiting task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// Placement is attempted.
    None,
    /// The task was preempted and leaves its capacity to urgent steps.
    HeldBack,
    /// The task backs off after crashes of its workers.
    BackingOff,
    /// The task waits for a worker without other crash suspects.
    AwaitsSeparation,
    /// The task needs advice on which workers may run it.
    AwaitsAdvice,
    /// Other members of its gang are not ready to start.
    AwaitsGang,
    /// Too many starts of less urgent queues are in progress.
    StartsInProgress,
    /// The store rejects the record of the job.
    AwaitsRecord,
    /// An equal or smaller demand fitted no worker in the last planning round.
    KnownNotToFit,
}

impl Deferral {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Deferral::None => "none",
            Deferral::HeldBack => "held_back",
            Deferral::BackingOff => "backing_off",
            Deferral::AwaitsSeparation => "awaits_separation",
            Deferral::AwaitsAdvice => "awaits_advice",
            Deferral::AwaitsGang => "awaits_gang",
            Deferral::StartsInProgress => "starts_in_progress",
            Deferral::AwaitsRecord => "awaits_record",
            Deferral::KnownNotToFit => "known_not_to_fit",
        }
    }
}

/// Number of workers with capacity for a task, by whether they accept tasks now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FittingWorkers {
    /// Workers that accept tasks.
    pub open: u32,
    /// Workers that are closed temporarily, because they failed or rejected starts or are slow.
    pub closed: u32,
    /// Workers that are unresponsive, leaving, not registered or in a closed zone.
    pub unavailable: u32,
}

impl FittingWorkers {
    /// Counts one worker with capacity.
    pub(super) fn count(&mut self, is_available: bool, is_open: bool) {
        let count = match (is_available, is_open) {
            (false, _) => &mut self.unavailable,
            (true, false) => &mut self.closed,
            (true, true) => &mut self.open,
        };
        *count += 1;
    }
}

/// The waiting task of one kind that has been without a run for longest.
#[derive(Clone, Debug, PartialEq)]
pub struct LongestWait {
    /// Kind of the task.
    pub kind: TaskKind,
    /// Job of the task.
    pub job: JobId,
    /// Step within the job, from 0.
    pub step: u32,
    /// Index among the job's tasks.
    pub task: u32,
    /// Time since its newest run ended or, before the first run, since its step became runnable.
    pub waited_ms: u64,
    /// Number of starts since then that were not carried out.
    pub failed_starts: u32,
    /// Why placement is not attempted now.
    pub deferral: Deferral,
    /// CPU that the task would allocate.
    pub cpu_milli: u64,
    /// Memory that the task would allocate.
    pub memory_mb: u64,
    /// Workers with capacity for the task.
    pub fitting: FittingWorkers,
    /// Largest free CPU of an open worker.
    pub most_free_milli: u64,
    /// Largest CPU of an open worker that is free or reserved by tasks that end by themselves.
    pub most_free_or_plain_milli: u64,
}

/// The task that has been in one transitional state for longest: between its choice and its run, or
/// between its stop and its end.
#[derive(Clone, Debug, PartialEq)]
pub struct LongestTransition {
    /// State of the task: `chosen`, `ordered` or `stopping`.
    pub state: &'static str,
    /// Number of tasks in this state.
    pub tasks: u32,
    /// Job of the task.
    pub job: JobId,
    /// Index among the job's tasks.
    pub task: u32,
    /// Worker of the task.
    pub worker: String,
    /// Standing of the worker.
    pub standing: WorkerStanding,
    /// Whether the registry lists the worker.
    pub is_listed: bool,
    /// Time that the task has been in this state.
    pub for_ms: u64,
}

impl Fleet {
    /// Returns, for each of the states chosen, ordered and stopping, the task that has been in it
    /// for longest.
    pub fn longest_transitions(&self, now_us: u64) -> Vec<LongestTransition> {
        let mut longest: BTreeMap<&'static str, (u32, u64, TaskRef, WorkerIndex)> = BTreeMap::new();
        for (index, worker) in self.live_workers() {
            for task_ref in &worker.tasks {
                let Some(job) = self.job(task_ref.job) else { continue };
                let task = &job.tasks[task_ref.task as usize];
                let state = match task.state {
                    TaskState::Chosen(_) => "chosen",
                    TaskState::Ordered(_) => "ordered",
                    TaskState::Stopping(_) => "stopping",
                    _ => continue,
                };
                let for_us = now_us.saturating_sub(task.since_us);
                let entry = longest.entry(state).or_insert((0, for_us, *task_ref, index));
                entry.0 += 1;
                if for_us > entry.1 {
                    *entry = (entry.0, for_us, *task_ref, index);
                }
            }
        }
        longest
            .into_iter()
            .map(|(state, (tasks, for_us, task_ref, index))| {
                let worker = &self.workers[index as usize];
                LongestTransition {
                    state,
                    tasks,
                    job: self.job_id(task_ref.job).to_owned(),
                    task: task_ref.task,
                    worker: worker.entry.id.clone(),
                    standing: worker.standing,
                    is_listed: worker.is_listed,
                    for_ms: for_us / US_PER_MS,
                }
            })
            .collect()
    }

    /// Returns the longest waiting task of each kind.
    pub fn longest_waits(&self, now_us: u64) -> Vec<LongestWait> {
        [TaskKind::LongRunning, TaskKind::Plain, TaskKind::BestEffort]
            .into_iter()
            .filter_map(|kind| self.longest_wait(kind, now_us))
            .collect()
    }

    fn longest_wait(&self, kind: TaskKind, now_us: u64) -> Option<LongestWait> {
        let (group, task, waited_us) = self
            .waiting
            .iter()
            .filter_map(|group| self.longest_wait_in_group(*group, kind, now_us))
            .max_by_key(|(_, _, waited_us)| *waited_us)?;
        let job = self.job(group.job)?;
        let step = &job.spec.steps[group.step as usize];
        let allocation = step.allocation();
        let mut wait = LongestWait {
            kind,
            job: job.spec.id.clone(),
            step: group.step,
            task,
            waited_ms: waited_us / US_PER_MS,
            failed_starts: job.tasks[task as usize].failed_starts,
            deferral: self.deferral(group, task, now_us),
            cpu_milli: allocation.cpu_milli,
            memory_mb: allocation.memory_mb,
            fitting: FittingWorkers::default(),
            most_free_milli: 0,
            most_free_or_plain_milli: 0,
        };
        let service = &self.terms(job).service;
        let serves = |worker: &&Worker| {
            worker.entry.service == *service && has_label(step, &worker.entry.labels)
        };
        for (_, worker) in self.live_workers().filter(|(_, worker)| serves(worker)) {
            wait.add_worker(worker, step, now_us);
        }
        Some(wait)
    }

    fn longest_wait_in_group(
        &self,
        group: TaskGroup,
        kind: TaskKind,
        now_us: u64,
    ) -> Option<(TaskGroup, u32, u64)> {
        let job = self.job(group.job).filter(|job| job.phase == JobPhase::Active)?;
        if TaskKind::of(&job.spec.steps[group.step as usize]) != kind {
            return None;
        }
        job.tasks_of(group.occurrence, group.step)
            .filter(|task| job.tasks[*task as usize].state == TaskState::Waiting)
            .map(|task| (group, task, job.tasks[task as usize].idle_us(now_us)))
            .max_by_key(|(_, _, waited_us)| *waited_us)
    }

    pub(super) fn deferral(&self, group: TaskGroup, task: u32, now_us: u64) -> Deferral {
        let Some(job) = self.job(group.job) else { return Deferral::None };
        let step = &job.spec.steps[group.step as usize];
        let is_ready = |task: u32| {
            let task = &job.tasks[task as usize];
            task.state == TaskState::Waiting && !task.is_backing_off(now_us)
        };
        if job.tasks[task as usize].is_backing_off(now_us) {
            Deferral::BackingOff
        } else if self.are_starts_limited(self.terms(job).priority) {
            Deferral::StartsInProgress
        } else if job.awaits_record() {
            Deferral::AwaitsRecord
        } else if step.is_gang && !job.tasks_of(group.occurrence, group.step).all(is_ready) {
            Deferral::AwaitsGang
        } else if step.is_lasting && self.is_held_back(group, now_us) {
            Deferral::HeldBack
        } else if self.awaits_separation(TaskRef { job: group.job, task }, now_us) {
            Deferral::AwaitsSeparation
        } else if self.terms(job).needs_advice {
            Deferral::AwaitsAdvice
        } else if self.is_known_not_to_fit(job, group.step, &self.unplaced) {
            Deferral::KnownNotToFit
        } else {
            Deferral::None
        }
    }
}

impl LongestWait {
    fn add_worker(&mut self, worker: &Worker, step: &Step, now_us: u64) {
        let is_open = worker.is_open(now_us);
        if worker.has_capacity_for(&step.allocation()) {
            self.fitting.count(worker.is_available(), is_open);
        }
        if is_open {
            let free_milli = worker.free().cpu_milli;
            let plain_milli = worker.plain_cpu_milli();
            self.most_free_milli = self.most_free_milli.max(free_milli);
            self.most_free_or_plain_milli =
                self.most_free_or_plain_milli.max(free_milli + plain_milli);
        }
    }
}

fn has_label(step: &Step, labels: &[String]) -> bool {
    step.label.is_empty() || labels.contains(&step.label)
}
