//! The ledger of one cell: jobs, attempts and reservations, changed by committed deltas only.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    Attempt, CellDelta, CellEffect, Job, JobSpec, Resources, TaskId, TaskState, WorkerId,
    WorkerSpec, WorkerState, split_task,
};

/// A worker in the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// As described by the settings or the platform's list.
    pub spec: WorkerSpec,
    /// Whether it may be used.
    pub state: WorkerState,
    /// Whether the failure policy holds it back.
    pub quarantined: bool,
    /// Capacity under which its reservations were made. Larger than the capacity in
    /// [`Worker::spec`] while the reservations exceed a reduced capacity.
    #[serde(default)]
    pub granted: Resources,
    /// Sum of the reservations that it carries.
    #[serde(skip)]
    pub used: Resources,
    /// Tasks with a live attempt on it.
    #[serde(skip)]
    pub live: BTreeSet<TaskId>,
}

impl Worker {
    /// What is left of its capacity.
    pub fn free(&self) -> Resources {
        self.spec.capacity.minus(&self.used)
    }

    /// Whether one more reservation fits its present capacity.
    pub fn has_room(&self, reserve: &Resources) -> bool {
        self.spec.capacity.holds(&self.used.plus(reserve))
    }

    /// Whether its reservations exceed its present capacity, which may have been reduced since they
    /// were made.
    pub fn is_over_capacity(&self) -> bool {
        !self.spec.capacity.holds(&self.used)
    }

    /// Sets [`Worker::granted`] to the present capacity if the reservations fit it.
    pub(super) fn update_granted(&mut self) {
        if !self.is_over_capacity() {
            self.granted = self.spec.capacity;
        }
    }

    /// Whether it takes new work.
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
    /// Jobs that wait for a job, by that job.
    #[serde(skip)]
    pub(super) dependents: BTreeMap<String, BTreeSet<String>>,
    /// Number of workers by capacity, for the question whether a need can ever be met.
    #[serde(skip)]
    pub(super) shapes: BTreeMap<(u64, u64, u64), u32>,
    /// The same for lost workers, which may return.
    #[serde(skip)]
    pub(super) lost_shapes: BTreeMap<(u64, u64, u64), u32>,
}

/// The stored form of a [`Cell`]; what is derived is rebuilt when it is read.
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
    /// Creates a ledger over `workers`.
    pub fn new(workers: &[WorkerSpec]) -> Self {
        let mut cell = Self::default();
        for worker in workers {
            cell.apply(&CellDelta::AddWorker { worker: worker.clone() });
        }
        cell
    }

    /// The deltas that bring the ledger's workers in line with `workers`, a list from the
    /// settings or the platform: those missing are added, those gone are leaving.
    pub fn worker_deltas(&self, workers: &[WorkerSpec]) -> Vec<CellDelta> {
        let listed: BTreeSet<WorkerId> = workers.iter().map(|worker| worker.id).collect();
        let changed = workers.iter().filter(|spec| {
            self.workers
                .get(&spec.id)
                .is_none_or(|worker| worker.spec != **spec || worker.state != WorkerState::Active)
        });
        let added = changed.map(|spec| CellDelta::AddWorker { worker: spec.clone() });
        let gone = self
            .workers
            .iter()
            .filter(|(id, worker)| !listed.contains(id) && worker.state == WorkerState::Active);
        let leaving = gone
            .map(|(id, _)| CellDelta::SetWorkerState { worker: *id, state: WorkerState::Leaving });
        added.chain(leaving).collect()
    }

    /// One job.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// All jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// One worker.
    pub fn worker(&self, id: WorkerId) -> Option<&Worker> {
        self.workers.get(&id)
    }

    /// All workers.
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

    /// Whether an attempt is placed on a worker and is not being stopped.
    pub fn is_placed(&self, task: &str, attempt: Attempt, worker: WorkerId) -> bool {
        self.locate(task).is_some_and(|(job, index)| {
            let view = &job.tasks[index];
            view.attempt == attempt && view.state == TaskState::Placed { worker }
        })
    }

    /// Open jobs that wait for `id`.
    pub fn dependents(&self, id: &str) -> Vec<String> {
        self.dependents.get(id).into_iter().flatten().cloned().collect()
    }

    /// Whether any active worker could hold `need` when empty.
    pub fn holds_somewhere(&self, need: &Resources) -> bool {
        self.shapes.keys().any(|shape| from_shape(*shape).holds(need))
    }

    /// Why `job` could never run here, naming the nearest limit, or `None` when it could. Lost
    /// workers count, since they may return.
    pub fn impossible(&self, job: &JobSpec) -> Option<String> {
        let shapes = || self.shapes.keys().chain(self.lost_shapes.keys());
        if shapes().any(|shape| from_shape(*shape).holds(&job.need)) {
            return None;
        }
        Some(nearest_limit(&job.need, shapes().map(|shape| from_shape(*shape))))
    }

    /// Why `job` cannot run on the workers that are there now, or `None` when it can.
    pub fn impossible_now(&self, job: &JobSpec) -> Option<String> {
        if self.holds_somewhere(&job.need) {
            return None;
        }
        Some(nearest_limit(&job.need, self.shapes.keys().map(|shape| from_shape(*shape))))
    }

    /// The job and index that `task` names.
    pub fn locate(&self, task: &str) -> Option<(&Job, usize)> {
        let (id, index) = split_task(task)?;
        let job = self.jobs.get(id)?;
        (index < job.tasks.len()).then_some((job, index))
    }

    /// Applies a committed delta and returns what has to be done because of it.
    ///
    /// Deltas that no longer fit the state (a second end of the same attempt, a placement of a
    /// cancelled task, one on a worker without room) change nothing, so that a replay is
    /// idempotent and two proposals made from one state cannot break the ledger.
    ///
    /// # Panics
    ///
    /// When a worker would be charged beyond its capacity or a reservation would be freed twice:
    /// a wrong ledger must stop before it sends a start.
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

    /// Recomputes all that is derived from the stored state.
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
            for on in &job.blocked_on {
                self.dependents.entry(on.clone()).or_default().insert(id.clone());
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

/// Guards against overcommitment by a wrong or doubled placement: it would show as a worker
/// charged beyond the capacity under which its reservations were made. It runs at every transition
/// of a worker, in release builds too.
pub(super) fn assert_capacity(worker: &Worker) {
    assert!(
        worker.granted.holds(&worker.used),
        "worker {} committed beyond its capacity: {:?} of {:?}",
        worker.spec.id,
        worker.used,
        worker.granted
    );
}

/// Counts a worker in or out of the shapes that its state belongs to.
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

/// Names the dimension that `need` misses by the smallest ratio on the worker that comes closest.
fn nearest_limit(need: &Resources, capacities: impl Iterator<Item = Resources>) -> String {
    let ratio = |wanted: u64, have: u64| wanted as f64 / (have as f64).max(0.001);
    let worst = |have: &Resources| {
        [
            ("cpu_milli", need.cpu_milli, have.cpu_milli),
            ("memory_mb", need.memory_mb, have.memory_mb),
            ("accelerators", need.accelerators, have.accelerators),
        ]
        .into_iter()
        .max_by(|a, b| ratio(a.1, a.2).total_cmp(&ratio(b.1, b.2)))
        .unwrap_or(("cpu_milli", need.cpu_milli, 0))
    };
    let nearest = capacities
        .map(|have| worst(&have))
        .min_by(|a, b| ratio(a.1, a.2).total_cmp(&ratio(b.1, b.2)));
    match nearest {
        Some((name, wanted, have)) => {
            format!("need.{name} {wanted} is beyond the nearest worker's {have}")
        }
        None => "the cell has no workers".to_owned(),
    }
}
