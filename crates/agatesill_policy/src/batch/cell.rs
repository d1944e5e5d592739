//! The ledger of one cell: jobs, attempts and reservations, changed by committed deltas only.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Attempt, JobSpec, Resources, TaskId, WorkerId, WorkerSpec};

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Not placed; a later attempt resumes from the checkpoint.
    Waiting {
        /// Progress kept by the newest committed checkpoint.
        checkpoint_ms: u64,
    },
    /// Placed: a worker holds it or will.
    Placed {
        /// Where.
        worker: WorkerId,
    },
    /// Finished with success.
    Done,
    /// Cancelled.
    Cancelled,
}

/// A change of the ledger. Every variant is safe to replay in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CellDelta {
    /// A job is accepted.
    Accept {
        /// The job.
        job: JobSpec,
        /// Time of acceptance, for reports only.
        at_ms: u64,
    },
    /// A reservation is made and an attempt may start.
    Place {
        /// The task.
        task: TaskId,
        /// The attempt's number.
        attempt: Attempt,
        /// Where.
        worker: WorkerId,
    },
    /// The attempt's end is certain; its reservation is free.
    End {
        /// The task.
        task: TaskId,
        /// The attempt that ended.
        attempt: Attempt,
        /// Whether it finished its work.
        done: bool,
        /// Progress that a checkpoint kept.
        checkpoint_ms: u64,
    },
    /// The job is cancelled: nothing of it starts any more.
    Cancel {
        /// The job.
        job: String,
    },
}

/// What follows from a committed delta.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEffect {
    /// Tell the worker to run the attempt.
    Start {
        /// Where.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Progress to resume from.
        checkpoint_ms: u64,
    },
    /// Tell the worker to stop the attempt.
    Stop {
        /// Where.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
}

/// A task with its place in the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskView {
    /// The state.
    pub state: TaskState,
    /// Number of the newest attempt; 0 before the first.
    pub attempt: Attempt,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Job {
    spec: JobSpec,
    at_ms: u64,
    cancelled: bool,
    tasks: Vec<TaskView>,
}

/// The ledger of one cell.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Cell {
    jobs: BTreeMap<String, Job>,
    #[serde(skip)]
    workers: BTreeMap<WorkerId, WorkerSpec>,
    #[serde(skip)]
    used: BTreeMap<WorkerId, Resources>,
    #[serde(skip)]
    waiting: BTreeSet<(bool, u64, TaskId)>,
}

/// Splits a task's identifier into its job and index.
pub fn split_task(task: &str) -> Option<(&str, usize)> {
    let (job, index) = task.rsplit_once('/')?;
    Some((job, index.parse().ok()?))
}

impl Cell {
    /// Creates a ledger over `workers`.
    pub fn new(workers: &[WorkerSpec]) -> Self {
        let mut cell = Self::default();
        cell.set_workers(workers);
        cell
    }

    /// Replaces the workers and recomputes all that is derived, as after a replay.
    pub fn set_workers(&mut self, workers: &[WorkerSpec]) {
        self.workers = workers.iter().map(|worker| (worker.id, worker.clone())).collect();
        self.used.clear();
        self.waiting.clear();
        let jobs = std::mem::take(&mut self.jobs);
        for job in jobs.values() {
            for (index, task) in job.tasks.iter().enumerate() {
                match task.state {
                    TaskState::Placed { worker } => self.charge(worker, &job.spec.need),
                    TaskState::Waiting { .. } if !job.cancelled => {
                        self.waiting.insert(order_key(job, index));
                    }
                    _ => {}
                }
            }
        }
        self.jobs = jobs;
    }

    /// The job as submitted, with the state of its tasks.
    pub fn job(&self, id: &str) -> Option<(&JobSpec, &[TaskView])> {
        self.jobs.get(id).map(|job| (&job.spec, job.tasks.as_slice()))
    }

    /// All jobs with their tasks.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobSpec, &[TaskView])> {
        self.jobs.values().map(|job| (&job.spec, job.tasks.as_slice()))
    }

    /// All attempts that hold a reservation.
    pub fn placed(&self) -> impl Iterator<Item = (TaskId, Attempt, WorkerId)> + '_ {
        self.jobs.iter().flat_map(|(id, job)| {
            job.tasks.iter().enumerate().filter_map(move |(index, task)| match task.state {
                TaskState::Placed { worker } => {
                    Some((format!("{id}/{index}"), task.attempt, worker))
                }
                _ => None,
            })
        })
    }

    /// Why `job` could never run here, or `None` when it could.
    pub fn impossible(&self, job: &JobSpec) -> Option<String> {
        if self.workers.values().any(|worker| worker.capacity.holds(&job.need)) {
            return None;
        }
        let largest = self.workers.values().map(|worker| worker.capacity).fold(
            Resources::default(),
            |most, next| Resources {
                cpu_milli: most.cpu_milli.max(next.cpu_milli),
                memory_mb: most.memory_mb.max(next.memory_mb),
                accelerators: most.accelerators.max(next.accelerators),
            },
        );
        Some(format!(
            "no worker holds {:?}; the largest has cpu_milli {}, memory_mb {}, accelerators {}",
            job.need, largest.cpu_milli, largest.memory_mb, largest.accelerators
        ))
    }

    /// Proposes at most `limit` placements.
    pub fn plan(&self, limit: usize) -> Vec<CellDelta> {
        let mut free: BTreeMap<WorkerId, Resources> = self
            .workers
            .iter()
            .map(|(id, worker)| {
                (*id, worker.capacity.minus(&self.used.get(id).copied().unwrap_or_default()))
            })
            .collect();
        let mut deltas = Vec::new();
        for (_, _, task) in &self.waiting {
            if deltas.len() >= limit {
                break;
            }
            let Some((job, index)) = self.locate(task) else { continue };
            let need = job.spec.need;
            let best = free
                .iter()
                .filter(|(_, free)| free.holds(&need))
                .max_by_key(|(_, free)| free.cpu_milli)
                .map(|(id, _)| *id);
            if let Some(worker) = best {
                if let Some(free) = free.get_mut(&worker) {
                    *free = free.minus(&need);
                }
                deltas.push(CellDelta::Place {
                    task: task.clone(),
                    attempt: job.tasks[index].attempt + 1,
                    worker,
                });
            }
        }
        deltas
    }

    /// Applies a committed delta and returns what has to be done because of it.
    ///
    /// Deltas that no longer fit the state (a second end of the same attempt, a placement of a
    /// cancelled task) change nothing, so that a replay is idempotent.
    pub fn apply(&mut self, delta: &CellDelta) -> Vec<CellEffect> {
        let effects = match delta {
            CellDelta::Accept { job, at_ms } => self.accept(job, *at_ms),
            CellDelta::Place { task, attempt, worker } => self.place(task, *attempt, *worker),
            CellDelta::End { task, attempt, done, checkpoint_ms } => {
                self.end(task, *attempt, *done, *checkpoint_ms)
            }
            CellDelta::Cancel { job } => self.cancel(job),
        };
        self.assert_capacity();
        effects
    }

    fn locate(&self, task: &str) -> Option<(&Job, usize)> {
        let (id, index) = split_task(task)?;
        let job = self.jobs.get(id)?;
        (index < job.tasks.len()).then_some((job, index))
    }

    fn charge(&mut self, worker: WorkerId, need: &Resources) {
        let used = self.used.entry(worker).or_default();
        *used = used.plus(need);
    }

    fn release(&mut self, worker: WorkerId, need: &Resources) {
        if let Some(used) = self.used.get_mut(&worker) {
            *used = used.minus(need);
        }
    }

    fn accept(&mut self, spec: &JobSpec, at_ms: u64) -> Vec<CellEffect> {
        if self.jobs.contains_key(&spec.id) {
            return Vec::new();
        }
        let fresh = TaskView { state: TaskState::Waiting { checkpoint_ms: 0 }, attempt: 0 };
        let tasks = vec![fresh; spec.tasks as usize];
        let job = Job { spec: spec.clone(), at_ms, cancelled: false, tasks };
        self.waiting.extend((0..job.tasks.len()).map(|index| order_key(&job, index)));
        self.jobs.insert(spec.id.clone(), job);
        Vec::new()
    }

    fn place(&mut self, task: &str, attempt: Attempt, worker: WorkerId) -> Vec<CellEffect> {
        let Some((job, index)) = self.locate(task) else { return Vec::new() };
        let TaskState::Waiting { checkpoint_ms } = job.tasks[index].state else {
            return Vec::new();
        };
        if job.cancelled || attempt != job.tasks[index].attempt + 1 {
            return Vec::new();
        }
        let (need, key, id) = (job.spec.need, order_key(job, index), job.spec.id.clone());
        self.waiting.remove(&key);
        self.charge(worker, &need);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.tasks[index] = TaskView { state: TaskState::Placed { worker }, attempt };
        }
        vec![CellEffect::Start { worker, task: task.to_owned(), attempt, checkpoint_ms }]
    }

    fn end(&mut self, task: &str, attempt: Attempt, done: bool, kept_ms: u64) -> Vec<CellEffect> {
        let Some((job, index)) = self.locate(task) else { return Vec::new() };
        let TaskState::Placed { worker } = job.tasks[index].state else { return Vec::new() };
        if job.tasks[index].attempt != attempt {
            return Vec::new();
        }
        let (need, id, cancelled) = (job.spec.need, job.spec.id.clone(), job.cancelled);
        let state = match (done, cancelled) {
            (true, _) => TaskState::Done,
            (false, true) => TaskState::Cancelled,
            (false, false) => TaskState::Waiting { checkpoint_ms: kept_ms },
        };
        let waits = matches!(state, TaskState::Waiting { .. });
        let key = order_key(job, index);
        self.release(worker, &need);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.tasks[index].state = state;
        }
        if waits {
            self.waiting.insert(key);
        }
        Vec::new()
    }

    fn cancel(&mut self, id: &str) -> Vec<CellEffect> {
        let Some(job) = self.jobs.get_mut(id) else { return Vec::new() };
        job.cancelled = true;
        let mut effects = Vec::new();
        let mut gone = Vec::new();
        for index in 0..job.tasks.len() {
            match job.tasks[index].state {
                TaskState::Waiting { .. } => {
                    gone.push(order_key(job, index));
                    job.tasks[index].state = TaskState::Cancelled;
                }
                TaskState::Placed { worker } => effects.push(CellEffect::Stop {
                    worker,
                    task: format!("{id}/{index}"),
                    attempt: job.tasks[index].attempt,
                }),
                TaskState::Done | TaskState::Cancelled => {}
            }
        }
        for key in gone {
            self.waiting.remove(&key);
        }
        effects
    }

    /// Guards against overcommitment by a wrong or doubled placement: it would show as a worker
    /// charged beyond its capacity. It runs at every transition, in release builds too, because
    /// a ledger that is wrong must stop before it sends a start.
    fn assert_capacity(&self) {
        for (id, used) in &self.used {
            if let Some(worker) = self.workers.get(id) {
                assert!(
                    worker.capacity.holds(used),
                    "worker {id} committed beyond its capacity: {used:?} of {:?}",
                    worker.capacity
                );
            }
        }
    }
}

fn order_key(job: &Job, index: usize) -> (bool, u64, TaskId) {
    let due_ms = match job.spec.deadline_ms {
        0 => u64::MAX,
        limit_ms => job.at_ms + limit_ms,
    };
    (!job.spec.urgent, due_ms, format!("{}/{index}", job.spec.id))
}
