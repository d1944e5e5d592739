//! Jobs and tasks in the ledger.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{Attempt, JobOutcome, JobSpec, Resources, TaskId, WorkerId};

/// State of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Not placed. The next attempt resumes from the checkpoint.
    Waiting {
        /// Progress saved by the newest committed checkpoint.
        checkpoint_ms: u64,
    },
    /// Placed on a worker, which may not have received the attempt yet.
    Placed {
        /// Worker of the live attempt.
        worker: WorkerId,
    },
    /// Asked to stop. Its resources stay allocated on the worker.
    Evicting {
        /// Worker of the live attempt.
        worker: WorkerId,
    },
    /// Completed successfully.
    Done,
    /// Its job failed.
    Failed,
    /// Its job was cancelled.
    Cancelled,
}

impl TaskState {
    /// The worker on which the task's resources are allocated.
    pub fn worker(&self) -> Option<WorkerId> {
        match self {
            TaskState::Placed { worker } | TaskState::Evicting { worker } => Some(*worker),
            _ => None,
        }
    }

    /// Whether the task has reached a final state.
    pub fn is_closed(&self) -> bool {
        matches!(self, TaskState::Done | TaskState::Failed | TaskState::Cancelled)
    }
}

/// A task with its attempts, reservation and failure counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskView {
    /// Current state.
    pub state: TaskState,
    /// Number of the newest attempt; 0 before the first.
    pub attempt: Attempt,
    /// Progress saved by the newest committed checkpoint.
    #[serde(default)]
    pub checkpoint_ms: u64,
    /// Resources allocated to the live attempt; zero without one.
    #[serde(default)]
    pub reserved: Resources,
    /// Number of attempts that failed by an error of the task or its worker.
    #[serde(default)]
    pub failures: u32,
    /// Number of attempts that were stopped for exceeding their memory.
    #[serde(default)]
    pub overruns: u32,
    /// Number of attempts that were evicted.
    #[serde(default)]
    pub evictions: u32,
    /// Number of consecutive attempts that may have crashed their workers.
    #[serde(default)]
    pub crashes: u32,
    /// Final state of the task once its live attempt has ended, if already decided.
    #[serde(default)]
    pub settled: Option<Settled>,
}

crate::value_type! {
    /// Final state of a task whose live attempt is still being stopped.
    pub enum Settled {
        /// An earlier attempt reported its success late.
        Done,
        /// Its job failed.
        Failed,
        /// Its job was cancelled.
        Cancelled,
    }
}

impl TaskView {
    /// Creates a task that has never been placed.
    pub fn unplaced() -> Self {
        Self {
            state: TaskState::Waiting { checkpoint_ms: 0 },
            attempt: 0,
            checkpoint_ms: 0,
            reserved: Resources::default(),
            failures: 0,
            overruns: 0,
            evictions: 0,
            crashes: 0,
            settled: None,
        }
    }
}

/// A job in the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Specification as submitted.
    pub spec: JobSpec,
    /// Time of acceptance.
    pub at_ms: u64,
    /// Final outcome; `None` while the job is open.
    pub outcome: Option<JobOutcome>,
    /// Why the job is parked, if it is.
    pub parked: Option<String>,
    /// The cell that the job moved to, if any.
    pub forwarded: Option<String>,
    /// Unfinished jobs that this job depends on.
    pub blocked_on: BTreeSet<String>,
    /// Tasks by index.
    pub tasks: Vec<TaskView>,
    /// Number of tasks that have not reached a final state.
    #[serde(skip)]
    pub open_tasks: u32,
    /// Number of tasks with a live attempt.
    #[serde(skip)]
    pub live_tasks: u32,
}

impl Job {
    /// Whether the job's waiting tasks may be placed.
    pub fn is_runnable(&self) -> bool {
        self.outcome.is_none()
            && self.parked.is_none()
            && self.forwarded.is_none()
            && self.blocked_on.is_empty()
    }

    /// Identifier of the task with this index.
    pub fn task_id(&self, index: usize) -> TaskId {
        format!("{}/{index}", self.spec.id)
    }

    /// Indices of the waiting tasks.
    pub fn waiting(&self) -> impl Iterator<Item = usize> + '_ {
        self.tasks.iter().enumerate().filter_map(|(index, task)| {
            matches!(task.state, TaskState::Waiting { .. }).then_some(index)
        })
    }
}

/// Splits a task's identifier into its job and index.
pub fn split_task(task: &str) -> Option<(&str, usize)> {
    let (job, index) = task.rsplit_once('/')?;
    Some((job, index.parse().ok()?))
}
