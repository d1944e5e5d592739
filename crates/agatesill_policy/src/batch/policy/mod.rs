//! Decisions on a cell's ledger: what runs where, what is throttled, moved, held back or given up.
//!
//! The policy's state is soft: it is rebuilt from the ledger after a takeover, and what was learned
//! comes back with the workers' reports. Nothing here is needed to keep the ledger right.

mod explain;
mod failures;
mod input;
mod interference;
mod learning;
mod notes;
mod observe;
mod pace;
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
use failures::Failures;
use interference::Interference;
use learning::{Learning, class_of};
use notes::{Note, Notes};
use pace::Pace;
use placement::NoPlace;
use protection::Guards;
use queue::{Lane, Queue};
use workers::Workers;

/// A live attempt, beyond what the ledger says.
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

/// Live tasks of one job by place.
#[derive(Clone, Debug, Default)]
struct Spread {
    racks: Vec<(u32, u32)>,
    zones: Vec<(u32, u32)>,
}

/// A worker that is kept free for a task.
#[derive(Clone, Copy, Debug)]
struct Hold {
    worker: WorkerId,
    since_ms: u64,
}

/// Learned state and proposals beside one [`Cell`].
#[derive(Debug, Default)]
pub struct BatchPolicy {
    config: BatchConfig,
    queue: Queue,
    workers: Workers,
    learning: Learning,
    interference: Interference,
    failures: Failures,
    notes: Notes,
    running: BTreeMap<TaskId, Running>,
    spread: BTreeMap<String, Spread>,
    evicted_ms: BTreeMap<TaskId, Vec<u64>>,
    holds: BTreeMap<TaskId, Hold>,
    waits: BTreeMap<String, NoPlace>,
    guards: Guards,
    at_risk: BTreeSet<WorkerId>,
    throttled: BTreeSet<TaskId>,
    draining: BTreeSet<WorkerId>,
    exploring_until_ms: BTreeMap<WorkerId, u64>,
    unchecked: BTreeSet<String>,
    parked: BTreeSet<String>,
    workers_changed: bool,
    starts: Pace,
    evictions: Pace,
}

impl BatchPolicy {
    /// Rebuilds what follows from the ledger, after a takeover.
    ///
    /// Times of starts and evictions are not in the ledger: live attempts count as started now,
    /// and all evictions of a task as made now, so that no budget is exceeded by a takeover.
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
                self.note_start(now_ms, job, index, task.attempt, worker);
            }
        }
    }

    /// Applies a committed delta to the ledger and notes what it teaches.
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
                self.accepted(now_ms, cell, &job.id);
            }
            CellDelta::Place { task, attempt, worker, .. } if !effects.is_empty() => {
                self.placed(now_ms, cell, task, *attempt, *worker);
            }
            CellDelta::Evict { task, reason, .. } if !effects.is_empty() => {
                self.evict_asked(now_ms, task, before, *reason);
            }
            CellDelta::End { task, attempt, outcome } => {
                self.ended(now_ms, cell, task, *attempt, before, outcome);
                waiting.iter().for_each(|job| self.accepted(now_ms, cell, job));
            }
            CellDelta::Park { job, .. } => {
                self.queue.remove(job);
                self.parked.insert(job.clone());
            }
            CellDelta::Unpark { job } => {
                self.parked.remove(job);
                self.accepted(now_ms, cell, job);
            }
            CellDelta::Forward { job, .. } => self.queue.remove(job),
            CellDelta::Forget { job } => {
                self.notes.forget(job);
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
                self.closed(cell, job);
            }
        }
        effects
    }

    fn accepted(&mut self, now_ms: u64, cell: &Cell, id: &str) {
        if let Some(job) = cell.job(id) {
            self.enqueue(now_ms, job);
            self.unchecked.insert(id.to_owned());
        }
    }

    fn enqueue(&mut self, now_ms: u64, job: &Job) {
        let run = self.learning.sure_run_ms(&job.spec);
        self.queue.put(job, self.lane(job), run, now_ms);
    }

    fn lane(&self, job: &Job) -> Lane {
        if self.config.critical.contains(&job.spec.profile) {
            Lane::Critical
        } else if job.spec.urgent {
            Lane::Urgent
        } else {
            Lane::Shared
        }
    }

    fn placed(&mut self, now_ms: u64, cell: &Cell, task: &str, attempt: Attempt, worker: WorkerId) {
        let Some((job, index)) = cell.locate(task) else { return };
        self.queue.take(&job.spec.id, index as u32);
        self.release_hold(task);
        self.waits.remove(&job.spec.id);
        self.sync_worker(cell, worker);
        self.workers.count_start(worker, now_ms);
        self.note_start(now_ms, job, index, attempt, worker);
        let note = Note::Placed { task: index as u32, attempt, worker };
        self.notes.add(now_ms, &job.spec.id, note);
    }

    /// Books a live attempt: its class on the worker, its place and its team's account.
    fn note_start(&mut self, now_ms: u64, job: &Job, index: usize, attempt: Attempt, on: WorkerId) {
        let view = &job.tasks[index];
        let spec = &job.spec;
        let lane = self.lane(job);
        let class = (lane != Lane::Critical).then(|| self.interference.class_index(class_of(spec)));
        let cpus = self.learning.cpus(spec).min(view.reserved.cpu_milli as f64 / 1_000.0);
        if let Some(class) = class {
            self.workers.add_class(on, class, cpus);
        }
        let expected_ms =
            self.learning.run_ms(spec).saturating_sub(view.checkpoint_ms).max(MIN_EXPECTED_MS);
        let cpu_milli = view.reserved.cpu_milli;
        let team = (lane != Lane::Critical).then(|| spec.team.clone());
        if let Some(team) = &team {
            let cost = cpu_milli as f64 * expected_ms as f64 / self.config.weight(team);
            self.queue.charge(team, cpu_milli, cost, now_ms);
        }
        let place = self.workers.load(on).map(|load| (load.rack, load.zone));
        if let Some((rack, zone)) = place {
            let spread = self.spread.entry(spec.id.clone()).or_default();
            count(&mut spread.racks, rack, 1);
            count(&mut spread.zones, zone, 1);
        }
        let running = Running {
            attempt,
            worker: on,
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

    fn evict_asked(
        &mut self,
        now_ms: u64,
        task: &str,
        live: Option<(Attempt, WorkerId)>,
        reason: EvictReason,
    ) {
        self.evicted_ms.entry(task.to_owned()).or_default().push(now_ms);
        if let (Some((job, index)), Some((_, worker))) = (split_task(task), live) {
            self.notes.add(now_ms, job, Note::Evicted { task: index as u32, worker, reason });
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
            self.queue.take(&job.spec.id, index as u32);
            self.evicted_ms.remove(task);
            self.release_hold(task);
        }
        let Some((_, worker)) = before.filter(|(live, _)| *live == attempt) else { return };
        let Some(running) = self.running.remove(task) else { return };
        self.free(cell, job, &running, now_ms);
        self.throttled.remove(task);
        if *outcome != AttemptOutcome::Done {
            let note = Note::Ended { task: index as u32, worker, outcome: outcome.clone() };
            self.notes.add(now_ms, &job.spec.id, note);
        }
        let delay_ms = self.learn_end(now_ms, cell, job, index, &running, outcome);
        if matches!(job.tasks[index].state, TaskState::Waiting { .. }) {
            if delay_ms > 0 {
                self.queue.delay(task.to_owned(), now_ms + delay_ms);
            } else {
                let run = self.learning.sure_run_ms(&job.spec);
                self.queue.put_back(job, self.lane(job), index as u32, run, now_ms);
            }
        }
    }

    /// Takes an ended attempt off its worker, its places and its team's account.
    fn free(&mut self, cell: &Cell, job: &Job, running: &Running, now_ms: u64) {
        if let Some(class) = running.class {
            let kept = running.cpus * f64::from(running.percent) / 100.0;
            self.workers.add_class(running.worker, class, -kept);
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
            let wrong_ms = ran_ms - running.expected_ms as f64;
            let correction = running.cpu_milli as f64 * wrong_ms / self.config.weight(team);
            self.queue.settle(team, running.cpu_milli, correction);
        }
    }

    /// Learns from an end; returns how long the task has to wait before its next attempt.
    fn learn_end(
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
                if self.learning.finished(now_ms, &job.spec, run_ms) {
                    self.reorder(now_ms, cell, class_of(&job.spec));
                }
                0
            }
            AttemptOutcome::Failed { kind } => {
                let task = &job.tasks[index];
                let overruns = task.overruns;
                if *kind == FailureKind::MemoryOverrun {
                    self.learning.overran(&job.spec, running.memory_mb);
                }
                self.failures.failed(id, running.worker, *kind, task.failures, overruns)
            }
            AttemptOutcome::WorkerCrashed => self.failures.crashed(id, job.tasks[index].crashes),
            AttemptOutcome::Stopped { .. } | AttemptOutcome::LeaseEnded => 0,
        }
    }

    /// Orders the waiting jobs of a class anew after its run time was learned to be different.
    fn reorder(&mut self, now_ms: u64, cell: &Cell, class: &str) {
        let of_class = |(id, _): (&str, _)| {
            cell.job(id).filter(|job| class_of(&job.spec) == class).map(|_| id.to_owned())
        };
        let ids: Vec<String> = self.queue.jobs().filter_map(of_class).collect();
        for job in ids.iter().filter_map(|id| cell.job(id)) {
            let run = self.learning.sure_run_ms(&job.spec);
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

    fn closed(&mut self, cell: &Cell, id: &str) {
        self.queue.remove(id);
        self.failures.closed(id);
        self.waits.remove(id);
        self.parked.remove(id);
        self.unchecked.remove(id);
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

/// Least run time that a start is charged with, however wrong its class's estimate.
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
