//! The ledger of one cell: jobs, attempts and reservations. Only committed deltas change it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    Attempt, CellDelta, CellEffect, Job, JobSpec, Resources, TaskId, TaskState, WorkerId,
    WorkerSpec, WorkerState, split_task,
};

/// A worker in the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Description from the settings or the platform's worker list.
    pub spec: WorkerSpec,
    /// Lifecycle state.
    pub state: WorkerState,
    /// Whether the failure policy excludes the worker from new tasks.
    pub quarantined: bool,
    /// Capacity under which its reservations were made. It is larger than the capacity in
    /// [`Worker::spec`] while the reservations exceed a reduced capacity.
    #[serde(default)]
    pub granted: Resources,
    /// Sum of the reservations on the worker.
    #[serde(skip)]
    pub used: Resources,
    /// Tasks with a live attempt on the worker.
    #[serde(skip)]
    pub live: BTreeSet<TaskId>,
}

impl Worker {
    /// Unreserved capacity.
    pub fn free(&self) -> Resources {
        self.spec.capacity.minus(&self.used)
    }

    /// Whether another reservation fits into the current capacity.
    pub fn has_capacity_for(&self, reserve: &Resources) -> bool {
        self.spec.capacity.holds(&self.used.plus(reserve))
    }

    /// Whether the reservations exceed the current capacity, which may have been reduced since they
    /// were made.
    pub fn is_over_capacity(&self) -> bool {
        !self.spec.capacity.holds(&self.used)
    }

    /// Sets [`Worker::granted`] to the current capacity if the reservations fit into it.
    pub(super) fn update_granted(&mut self) {
        if !self.is_over_capacity() {
            self.granted = self.spec.capacity;
        }
    }

    /// Whether the worker accepts new tasks.
    pub fn is_schedulable(&self) -> bool {
        self.state == WorkerState::Active && !self.quarantined
    }
}

/// The ledger of one cell.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "CellDoc")]
pub struct Cell {
    pub(super) jobs: BTreeMap<String, Job>,
    pub(super) workers: BTreeMap<WorkerId, Worker>,
    /// Jobs that depend on a job, by the identifier of that job.
    #[serde(skip)]
    pub(super) dependents: BTreeMap<String, BTreeSet<String>>,
    /// Number of active workers by capacity, to find out whether a request can ever be satisfied.
    #[serde(skip)]
    pub(super) shapes: BTreeMap<(u64, u64, u64), u32>,
    /// Number of lost workers by capacity. They may return.
    #[serde(skip)]
    pub(super) lost_shapes: BTreeMap<(u64, u64, u64), u32>,
}

/// The stored form of a [`Cell`]. Derived state is rebuilt when it is read.
#[derive(Deserialize)]
struct CellDoc {
    jobs: BTreeMap<String, Job>,
    workers: BTreeMap<WorkerId, Worker>,
}

impl From<CellDoc> for Cell {
    fn from(doc: CellDoc) -> Self {
        let mut cell = Cell { jobs: doc.jobs, workers: doc.workers, ..Cell::default() };
        cell.rebuild();
        cell
    }
}

impl Cell {
    /// Creates a ledger with these workers.
    pub fn new(workers: &[WorkerSpec]) -> Self {
        let mut cell = Self::default();
        for worker in workers {
            cell.apply(&CellDelta::AddWorker { worker: worker.clone() });
        }
        cell
    }

    /// Deltas that align the ledger's workers with a list from the settings or the platform:
    /// missing workers are added, and workers that are no longer listed are marked as leaving.
    pub fn worker_deltas(&self, workers: &[WorkerSpec]) -> Vec<CellDelta> {
        let listed: BTreeSet<WorkerId> = workers.iter().map(|worker| worker.id).collect();
        let changed = workers.iter().filter(|spec| {
            self.workers
                .get(&spec.id)
                .is_none_or(|worker| worker.spec != **spec || worker.state != WorkerState::Active)
        });
        let added = changed.map(|spec| CellDelta::AddWorker { worker: spec.clone() });
        let removed = self
            .workers
            .iter()
            .filter(|(id, worker)| !listed.contains(id) && worker.state == WorkerState::Active);
        let leaving = removed
            .map(|(id, _)| CellDelta::SetWorkerState { worker: *id, state: WorkerState::Leaving });
        added.chain(leaving).collect()
    }

    /// The job with this identifier.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// All jobs, ordered by identifier.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// The worker with this identifier.
    pub fn worker(&self, id: WorkerId) -> Option<&Worker> {
        self.workers.get(&id)
    }

    /// All workers, ordered by identifier.
    pub fn workers(&self) -> impl ExactSizeIterator<Item = &Worker> {
        self.workers.values()
    }

    /// All attempts that hold a reservation.
    pub fn placed(&self) -> impl Iterator<Item = (TaskId, Attempt, WorkerId)> + '_ {
        self.workers.iter().flat_map(move |(id, worker)| {
            worker.live.iter().filter_map(move |task| {
                let (job, index) = self.locate(task)?;
                Some((task.clone(), job.tasks[index].attempt, *id))
            })
        })
    }

    /// Whether the attempt is placed on this worker and is not being stopped.
    pub fn is_placed(&self, task: &str, attempt: Attempt, worker: WorkerId) -> bool {
        self.locate(task).is_some_and(|(job, index)| {
            let view = &job.tasks[index];
            view.attempt == attempt && view.state == TaskState::Placed { worker }
        })
    }

    /// Open jobs that depend on job `id`.
    pub fn dependents(&self, id: &str) -> Vec<String> {
        self.dependents.get(id).into_iter().flatten().cloned().collect()
    }

    /// Whether `need` fits into the total capacity of any active worker.
    pub fn fits_active_worker(&self, need: &Resources) -> bool {
        self.shapes.keys().any(|shape| from_shape(*shape).holds(need))
    }

    /// Why `job` could never run in this cell, with the nearest limit, or `None` if it could. Lost
    /// workers count, since they may return.
    pub fn impossible(&self, job: &JobSpec) -> Option<String> {
        let shapes = || self.shapes.keys().chain(self.lost_shapes.keys());
        if shapes().any(|shape| from_shape(*shape).holds(&job.need)) {
            return None;
        }
        Some(nearest_limit(&job.need, shapes().map(|shape| from_shape(*shape))))
    }

    /// Why `job` cannot run on the current active workers, or `None` if it can.
    pub fn impossible_now(&self, job: &JobSpec) -> Option<String> {
        if self.fits_active_worker(&job.need) {
            return None;
        }
        Some(nearest_limit(&job.need, self.shapes.keys().map(|shape| from_shape(*shape))))
    }

    /// The job and the task index that `task` identifies.
    pub fn locate(&self, task: &str) -> Option<(&Job, usize)> {
        let (id, index) = split_task(task)?;
        let job = self.jobs.get(id)?;
        (index < job.tasks.len()).then_some((job, index))
    }

    /// Applies a committed delta and returns its effects.
    ///
    /// A delta that no longer matches the state changes nothing, such as a second end of the same
    /// attempt, a placement of a cancelled task, or one on a worker without enough free capacity.
    /// Replays are therefore idempotent, and two proposals made from the same state cannot corrupt
    /// the ledger.
    ///
    /// # Panics
    ///
    /// Panics if a worker would be allocated beyond its capacity or a reservation would be released
    /// twice, so that an incorrect ledger stops before it sends a start.
    pub fn apply(&mut self, delta: &CellDelta) -> Vec<CellEffect> {
        match delta {
            CellDelta::Accept { job, at_ms } => self.accept(job, *at_ms, None),
            CellDelta::Import { job, at_ms, tasks } => self.accept(job, *at_ms, Some(tasks)),
            CellDelta::Place { task, attempt, worker, reserve } => {
                self.place(task, *attempt, *worker, reserve)
            }
            CellDelta::Evict { task, attempt, .. } => self.evict(task, *attempt),
            CellDelta::End { task, attempt, outcome } => self.end(task, *attempt, outcome),
            CellDelta::Cancel { job } => self.cancel(job),
            CellDelta::Fail { job, reason } => self.fail(job, reason),
            CellDelta::Park { job, reason } => self.set_parked(job, Some(reason.clone())),
            CellDelta::Unpark { job } => self.set_parked(job, None),
            CellDelta::Quarantine { worker } => self.set_quarantined(*worker, true),
            CellDelta::Release { worker } => self.set_quarantined(*worker, false),
            CellDelta::AddWorker { worker } => self.add_worker(worker),
            CellDelta::SetWorkerState { worker, state } => self.set_worker_state(*worker, *state),
            CellDelta::Forward { job, cell } => self.forward(job, cell),
            CellDelta::Forget { job } => self.forget(job),
        }
    }

    /// Recomputes all state that is derived from the stored state.
    fn rebuild(&mut self) {
        for worker in self.workers.values() {
            match worker.state {
                WorkerState::Active => count_shape(&mut self.shapes, worker, 1),
                WorkerState::Lost => count_shape(&mut self.lost_shapes, worker, 1),
                WorkerState::Leaving => {}
            }
        }
        for (id, job) in &mut self.jobs {
            job.open_tasks = job.tasks.iter().filter(|task| !task.state.is_closed()).count() as u32;
            job.live_tasks = 0;
            for dependency in &job.blocked_on {
                self.dependents.entry(dependency.clone()).or_default().insert(id.clone());
            }
            for (index, task) in job.tasks.iter().enumerate() {
                let Some(worker) = task.state.worker() else { continue };
                job.live_tasks += 1;
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.used = worker.used.plus(&task.reserved);
                    worker.live.insert(format!("{id}/{index}"));
                }
            }
        }
        self.workers.values_mut().for_each(Worker::update_granted);
        self.workers.values().for_each(assert_capacity);
    }
}

/// Asserts that a worker's reservations fit the capacity under which they were made, since an
/// incorrect or duplicate placement would exceed it. Runs at every transition of a worker, also in
/// release builds.
pub(super) fn assert_capacity(worker: &Worker) {
    assert!(
        worker.granted.holds(&worker.used),
        "worker {} committed beyond its capacity: {:?} of {:?}",
        worker.spec.id,
        worker.used,
        worker.granted
    );
}

/// Adds `by` to the number of workers with this worker's capacity.
pub(super) fn count_shape(shapes: &mut BTreeMap<(u64, u64, u64), u32>, worker: &Worker, by: i32) {
    let count = shapes.entry(shape(&worker.spec.capacity)).or_default();
    *count = count.saturating_add_signed(by);
    shapes.retain(|_, count| *count > 0);
}

fn shape(capacity: &Resources) -> (u64, u64, u64) {
    (capacity.accelerators, capacity.cpu_milli, capacity.memory_mb)
}

fn from_shape((accelerators, cpu_milli, memory_mb): (u64, u64, u64)) -> Resources {
    Resources { cpu_milli, memory_mb, accelerators }
}

/// The limiting dimension of the worker whose capacity is nearest to `need` by ratio.
fn nearest_limit(need: &Resources, capacities: impl Iterator<Item = Resources>) -> String {
    let ratio = |needed: u64, available: u64| needed as f64 / (available as f64).max(0.001);
    let worst = |available: &Resources| {
        [
            ("cpu_milli", need.cpu_milli, available.cpu_milli),
            ("memory_mb", need.memory_mb, available.memory_mb),
            ("accelerators", need.accelerators, available.accelerators),
        ]
        .into_iter()
        .max_by(|a, b| ratio(a.1, a.2).total_cmp(&ratio(b.1, b.2)))
        .unwrap_or(("cpu_milli", need.cpu_milli, 0))
    };
    let nearest = capacities
        .map(|available| worst(&available))
        .min_by(|a, b| ratio(a.1, a.2).total_cmp(&ratio(b.1, b.2)));
    match nearest {
        Some((name, needed, available)) => {
            format!("need.{name} {needed} is beyond the nearest worker's {available}")
        }
        None => "the cell has no workers".to_owned(),
    }
}
