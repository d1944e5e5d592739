//! The batch policy: placement, throttling, eviction, quarantine and failing of jobs.
//!
//! The policy's state is soft. After a takeover it is rebuilt from the ledger, and estimates are
//! learned again from the workers' reports. The ledger stays correct without any of it.

mod estimates;
mod explain;
mod failures;
mod history;
mod input;
mod interference;
mod observe;
mod placement;
mod plan;
mod plan_place;
mod plan_protect;
mod protection;
mod queue;
mod workers;

use std::collections::{BTreeMap, BTreeSet};

pub use explain::Explanation;
pub use failures::lost_attempt_outcome;
pub use input::{BatchConfig, Plan, ServiceUsage, TaskUsage, Throttle, UsageReport};

use super::{
    Attempt, AttemptOutcome, Cell, CellDelta, CellEffect, EvictReason, FailureKind, Job, TaskId,
    TaskState, WorkerId, WorkerState, split_task,
};
use crate::token_bucket::TokenBucket;
use estimates::{ClassEstimates, class_of};
use failures::FailureTracker;
use history::{History, HistoryEvent};
use interference::InterferenceModel;
use placement::PlacementError;
use plan::ChangeSubject;
use protection::MitigationStates;
use queue::{PriorityTier, Queue};
use workers::WorkerDirectory;

/// A live attempt, with the data that the ledger does not hold.
#[derive(Clone, Debug)]
struct Running {
    attempt: Attempt,
    worker: WorkerId,
    class: Option<usize>,
    cpus: f64,
    cpu_milli: u64,
    memory_mb: u64,
    started_ms: u64,
    checkpoint_ms: u64,
    expected_ms: u64,
    progress_ms: u64,
    percent: u32,
    throttled_ms: u64,
    team: Option<String>,
}

/// Number of a job's live tasks per rack and per zone.
#[derive(Clone, Debug, Default)]
struct Spread {
    racks: Vec<(u32, u32)>,
    zones: Vec<(u32, u32)>,
}

/// A worker that is held for a waiting task. Only latency-critical tasks ignore the hold.
#[derive(Clone, Copy, Debug)]
struct WorkerHold {
    worker: WorkerId,
    since_ms: u64,
}

/// Learned state and planner of one [`Cell`].
#[derive(Debug, Default)]
pub struct BatchPolicy {
    config: BatchConfig,
    queue: Queue,
    workers: WorkerDirectory,
    estimates: ClassEstimates,
    interference: InterferenceModel,
    failures: FailureTracker,
    history: History,
    running: BTreeMap<TaskId, Running>,
    spread: BTreeMap<String, Spread>,
    evicted_ms: BTreeMap<TaskId, Vec<u64>>,
    holds: BTreeMap<TaskId, WorkerHold>,
    waits: BTreeMap<String, PlacementError>,
    /// For each team with more jobs than the misses of a round, the last job that was tried.
    resume_after: BTreeMap<String, (bool, u64, String)>,
    mitigation_states: MitigationStates,
    at_risk: BTreeSet<WorkerId>,
    throttled: BTreeSet<TaskId>,
    draining: BTreeSet<WorkerId>,
    exploring_until_ms: BTreeMap<WorkerId, u64>,
    jobs_to_check: BTreeSet<String>,
    parked: BTreeSet<String>,
    /// Proposed changes that the ledger does not show yet, other than placements and evictions.
    uncommitted: BTreeMap<ChangeSubject, CellDelta>,
    workers_changed: bool,
    starts: TokenBucket,
    evictions: TokenBucket,
}

impl BatchPolicy {
    /// Sets the workers that cannot be reached and get no new tasks until they answer.
    pub fn set_unreachable(&mut self, workers: BTreeSet<WorkerId>, cell: &Cell) {
        self.workers.set_unreachable(workers, cell);
    }

    /// Rebuilds the policy's state from the ledger after a takeover.
    ///
    /// The ledger does not hold the times of starts and evictions. Live attempts count as started
    /// now and all evictions of a task as made now, so that a takeover exceeds no budget.
    pub fn rebuild(&mut self, now_ms: u64, cell: &Cell) {
        *self = Self { config: std::mem::take(&mut self.config), ..Self::default() };
        for worker in cell.workers() {
            self.workers.sync(worker);
            if worker.quarantined {
                self.failures.restore_quarantine(worker.spec.id, now_ms);
            }
            if worker.state == WorkerState::Leaving {
                self.draining.insert(worker.spec.id);
            }
        }
        self.workers.set_total(cell);
        self.workers_changed = true;
        for job in cell.jobs().filter(|job| job.outcome.is_none() || job.live_tasks > 0) {
            self.restore_job(now_ms, job);
        }
    }

    fn restore_job(&mut self, now_ms: u64, job: &Job) {
        self.enqueue(now_ms, job);
        if job.parked.is_some() {
            self.parked.insert(job.spec.id.clone());
        }
        for (index, task) in job.tasks.iter().enumerate() {
            if task.crashes > 0 && !task.state.is_closed() {
                self.failures.crashed(&job.spec.id, task.crashes);
            }
            if task.evictions > 0 && !task.state.is_closed() {
                let evictions = vec![now_ms; task.evictions as usize];
                self.evicted_ms.insert(job.task_id(index), evictions);
            }
            if let Some(worker) = task.state.worker() {
                self.record_start(now_ms, job, index, task.attempt, worker);
            }
        }
    }

    /// Applies a committed delta to the ledger and updates the policy's state.
    pub fn apply(&mut self, now_ms: u64, cell: &mut Cell, delta: &CellDelta) -> Vec<CellEffect> {
        let before = match delta {
            CellDelta::End { task, .. } | CellDelta::Evict { task, .. } => live_attempt(cell, task),
            _ => None,
        };
        let waiting = match delta {
            CellDelta::End { task, .. } => {
                split_task(task).map(|(job, _)| cell.dependents(job)).unwrap_or_default()
            }
            _ => Vec::new(),
        };
        let effects = cell.apply(delta);
        match delta {
            CellDelta::Accept { job, .. } | CellDelta::Import { job, .. } => {
                self.job_accepted(now_ms, cell, &job.id);
            }
            CellDelta::Place { task, attempt, worker, .. } if !effects.is_empty() => {
                self.placed(now_ms, cell, task, *attempt, *worker);
            }
            CellDelta::Evict { task, reason, .. } if !effects.is_empty() => {
                self.eviction_requested(now_ms, task, before, *reason);
            }
            CellDelta::End { task, attempt, outcome } => {
                self.ended(now_ms, cell, task, *attempt, before, outcome);
                waiting.iter().for_each(|job| self.job_accepted(now_ms, cell, job));
            }
            CellDelta::Park { job, .. } => {
                self.queue.remove(job);
                self.parked.insert(job.clone());
            }
            CellDelta::Unpark { job } => {
                self.parked.remove(job);
                self.job_accepted(now_ms, cell, job);
            }
            CellDelta::Forward { job, .. } => self.queue.remove(job),
            CellDelta::Forget { job } => {
                self.history.forget(job);
                self.waits.remove(job);
            }
            CellDelta::Quarantine { worker } | CellDelta::Release { worker } => {
                self.worker_changed(cell, *worker);
            }
            CellDelta::AddWorker { worker } => self.worker_changed(cell, worker.id),
            CellDelta::SetWorkerState { worker, .. } => self.worker_changed(cell, *worker),
            _ => {}
        }
        for effect in &effects {
            if let CellEffect::JobClosed { job, .. } = effect {
                self.job_closed(cell, job);
            }
        }
        effects
    }

    fn job_accepted(&mut self, now_ms: u64, cell: &Cell, id: &str) {
        if let Some(job) = cell.job(id) {
            self.enqueue(now_ms, job);
            self.jobs_to_check.insert(id.to_owned());
        }
    }

    fn enqueue(&mut self, now_ms: u64, job: &Job) {
        let run = self.estimates.learned_run_ms(&job.spec);
        self.queue.insert(job, self.tier(job), run, now_ms);
    }

    fn tier(&self, job: &Job) -> PriorityTier {
        if self.config.critical_profiles.contains(&job.spec.profile) {
            PriorityTier::Critical
        } else if job.spec.urgent {
            PriorityTier::Urgent
        } else {
            PriorityTier::Shared
        }
    }

    fn placed(&mut self, now_ms: u64, cell: &Cell, task: &str, attempt: Attempt, worker: WorkerId) {
        let Some((job, index)) = cell.locate(task) else { return };
        self.queue.remove_task(&job.spec.id, index as u32);
        self.release_hold(task);
        self.waits.remove(&job.spec.id);
        self.sync_worker(cell, worker);
        self.workers.count_start(worker, now_ms);
        self.record_start(now_ms, job, index, attempt, worker);
        let event = HistoryEvent::Placed { task: index as u32, attempt, worker };
        self.history.add(now_ms, &job.spec.id, event);
    }

    /// Records a live attempt: its class's load on the worker, its rack and zone, and its team's
    /// usage.
    fn record_start(
        &mut self,
        now_ms: u64,
        job: &Job,
        index: usize,
        attempt: Attempt,
        worker_id: WorkerId,
    ) {
        let view = &job.tasks[index];
        let spec = &job.spec;
        let tier = self.tier(job);
        let class =
            (tier != PriorityTier::Critical).then(|| self.interference.class_index(class_of(spec)));
        let cpus = self.estimates.cpus(spec).min(view.reserved.cpu_milli as f64 / 1_000.0);
        if let Some(class) = class {
            self.workers.add_class(worker_id, class, cpus);
        }
        let expected_ms =
            self.estimates.run_ms(spec).saturating_sub(view.checkpoint_ms).max(MIN_EXPECTED_MS);
        let cpu_milli = view.reserved.cpu_milli;
        let team = (tier != PriorityTier::Critical).then(|| spec.team.clone());
        if let Some(team) = &team {
            let cost = cpu_milli as f64 * expected_ms as f64 / self.config.weight(team);
            self.queue.add_usage(team, cpu_milli, cost, now_ms);
        }
        let place = self.workers.load(worker_id).map(|load| (load.rack, load.zone));
        if let Some((rack, zone)) = place {
            let spread = self.spread.entry(spec.id.clone()).or_default();
            count(&mut spread.racks, rack, 1);
            count(&mut spread.zones, zone, 1);
        }
        let running = Running {
            attempt,
            worker: worker_id,
            class,
            cpus,
            cpu_milli,
            memory_mb: view.reserved.memory_mb,
            started_ms: now_ms,
            checkpoint_ms: view.checkpoint_ms,
            expected_ms,
            progress_ms: view.checkpoint_ms,
            percent: 100,
            throttled_ms: 0,
            team,
        };
        self.running.insert(job.task_id(index), running);
    }

    fn eviction_requested(
        &mut self,
        now_ms: u64,
        task: &str,
        live: Option<(Attempt, WorkerId)>,
        reason: EvictReason,
    ) {
        self.evicted_ms.entry(task.to_owned()).or_default().push(now_ms);
        if let (Some((job, index)), Some((_, worker))) = (split_task(task), live) {
            self.history.add(
                now_ms,
                job,
                HistoryEvent::Evicted { task: index as u32, worker, reason },
            );
        }
    }

    fn ended(
        &mut self,
        now_ms: u64,
        cell: &Cell,
        task: &str,
        attempt: Attempt,
        before: Option<(Attempt, WorkerId)>,
        outcome: &AttemptOutcome,
    ) {
        let Some((job, index)) = cell.locate(task) else { return };
        if job.tasks[index].state.is_closed() {
            self.queue.remove_task(&job.spec.id, index as u32);
            self.evicted_ms.remove(task);
            self.release_hold(task);
        }
        let Some((_, worker)) = before.filter(|(live, _)| *live == attempt) else { return };
        let Some(running) = self.running.remove(task) else { return };
        self.release_attempt(cell, job, &running, now_ms);
        self.throttled.remove(task);
        if *outcome != AttemptOutcome::Done {
            let event =
                HistoryEvent::Ended { task: index as u32, worker, outcome: outcome.clone() };
            self.history.add(now_ms, &job.spec.id, event);
        }
        let delay_ms = self.record_outcome(now_ms, cell, job, index, &running, outcome);
        if matches!(job.tasks[index].state, TaskState::Waiting { .. }) {
            if delay_ms > 0 {
                self.queue.delay(task.to_owned(), now_ms + delay_ms);
            } else {
                let run = self.estimates.learned_run_ms(&job.spec);
                self.queue.requeue(job, self.tier(job), index as u32, run, now_ms);
            }
        }
    }

    /// Removes an ended attempt from its worker's load, its rack and zone, and its team's usage.
    fn release_attempt(&mut self, cell: &Cell, job: &Job, running: &Running, now_ms: u64) {
        if let Some(class) = running.class {
            let current_cpus = running.cpus * f64::from(running.percent) / 100.0;
            self.workers.add_class(running.worker, class, -current_cpus);
        }
        self.sync_worker(cell, running.worker);
        let place = self.workers.load(running.worker).map(|load| (load.rack, load.zone));
        if let (Some((rack, zone)), Some(spread)) = (place, self.spread.get_mut(&job.spec.id)) {
            count(&mut spread.racks, rack, -1);
            count(&mut spread.zones, zone, -1);
            if spread.racks.is_empty() {
                self.spread.remove(&job.spec.id);
            }
        }
        if let Some(team) = &running.team {
            let ran_ms = now_ms.saturating_sub(running.started_ms) as f64;
            let error_ms = ran_ms - running.expected_ms as f64;
            let correction = running.cpu_milli as f64 * error_ms / self.config.weight(team);
            self.queue.settle_usage(team, running.cpu_milli, correction);
        }
    }

    /// Learns from the end of an attempt. Returns the delay in milliseconds before the task's next
    /// attempt.
    fn record_outcome(
        &mut self,
        now_ms: u64,
        cell: &Cell,
        job: &Job,
        index: usize,
        running: &Running,
        outcome: &AttemptOutcome,
    ) -> u64 {
        let id = &job.spec.id;
        match outcome {
            AttemptOutcome::Done => {
                self.failures.succeeded(id, running.worker);
                let run_ms = running.checkpoint_ms + now_ms.saturating_sub(running.started_ms);
                if self.estimates.finished(now_ms, &job.spec, run_ms) {
                    self.reorder(now_ms, cell, class_of(&job.spec));
                }
                0
            }
            AttemptOutcome::Failed { kind } => {
                let task = &job.tasks[index];
                let overruns = task.overruns;
                if *kind == FailureKind::MemoryOverrun {
                    self.estimates.record_overrun(&job.spec, running.memory_mb);
                }
                self.failures.failed(id, running.worker, *kind, task.failures, overruns)
            }
            AttemptOutcome::WorkerCrashed => self.failures.crashed(id, job.tasks[index].crashes),
            AttemptOutcome::Stopped { .. } | AttemptOutcome::LeaseEnded => 0,
        }
    }

    /// Reorders the waiting jobs of a class after its estimated run time changed.
    fn reorder(&mut self, now_ms: u64, cell: &Cell, class: &str) {
        let of_class = |(id, _): (&str, _)| {
            cell.job(id).filter(|job| class_of(&job.spec) == class).map(|_| id.to_owned())
        };
        let ids: Vec<String> = self.queue.jobs().filter_map(of_class).collect();
        for job in ids.iter().filter_map(|id| cell.job(id)) {
            let run = self.estimates.learned_run_ms(&job.spec);
            self.queue.reorder(job, run, now_ms);
        }
    }

    fn worker_changed(&mut self, cell: &Cell, id: WorkerId) {
        self.sync_worker(cell, id);
        self.workers.set_total(cell);
        self.workers_changed = true;
        let leaving = cell.worker(id).is_some_and(|worker| worker.state == WorkerState::Leaving);
        if leaving {
            self.draining.insert(id);
        } else {
            self.draining.remove(&id);
        }
    }

    fn sync_worker(&mut self, cell: &Cell, id: WorkerId) {
        if let Some(worker) = cell.worker(id) {
            self.workers.sync(worker);
        }
    }

    fn job_closed(&mut self, cell: &Cell, id: &str) {
        self.queue.remove(id);
        self.failures.job_closed(id);
        self.waits.remove(id);
        self.parked.remove(id);
        self.jobs_to_check.remove(id);
        if let Some(job) = cell.job(id) {
            for index in 0..job.tasks.len() {
                let task = job.task_id(index);
                self.release_hold(&task);
                self.evicted_ms.remove(&task);
            }
        }
    }

    fn release_hold(&mut self, task: &str) {
        if let Some(hold) = self.holds.remove(task)
            && let Some(load) = self.workers.load_mut(hold.worker)
        {
            load.held_for = None;
        }
    }
}

/// Minimum run time that is added to a team's usage at a start, however wrong the estimate of its
/// class is.
const MIN_EXPECTED_MS: u64 = 500;

fn live_attempt(cell: &Cell, task: &str) -> Option<(Attempt, WorkerId)> {
    let (job, index) = cell.locate(task)?;
    let view = &job.tasks[index];
    view.state.worker().map(|worker| (view.attempt, worker))
}

fn count(counts: &mut Vec<(u32, u32)>, place: u32, by: i64) {
    let known = counts.iter_mut().find(|(at, _)| *at == place);
    match known {
        Some((_, count)) => *count = count.saturating_add_signed(by as i32),
        None if by > 0 => counts.push((place, by as u32)),
        None => {}
    }
    counts.retain(|(_, count)| *count > 0);
}
