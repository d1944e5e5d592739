//! Jobs and tasks as the ledger holds them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{Attempt, JobOutcome, JobSpec, Resources, TaskId, WorkerId};

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
    /// Asked to stop; still charged to its worker.
    Evicting {
        /// Where.
        worker: WorkerId,
    },
    /// Finished with success.
    Done,
    /// Given up.
    Failed,
    /// Cancelled.
    Cancelled,
}

impl TaskState {
    /// The worker that is charged for the task.
    pub fn worker(&self) -> Option<WorkerId> {
        match self {
            TaskState::Placed { worker } | TaskState::Evicting { worker } => Some(*worker),
            _ => None,
        }
    }

    /// Whether the task is over.
    pub fn is_closed(&self) -> bool {
        matches!(self, TaskState::Done | TaskState::Failed | TaskState::Cancelled)
    }
}

/// A task with its place in the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskView {
    /// The state.
    pub state: TaskState,
    /// Number of the newest attempt; 0 before the first.
    pub attempt: Attempt,
    /// Progress kept by the newest committed checkpoint.
    #[serde(default)]
    pub checkpoint_ms: u64,
    /// Amounts charged for the live attempt; zero when none is live.
    #[serde(default)]
    pub reserved: Resources,
    /// Attempts that failed by themselves.
    #[serde(default)]
    pub failures: u32,
    /// Attempts that were stopped for exceeding their memory.
    #[serde(default)]
    pub overruns: u32,
    /// Attempts that were evicted.
    #[serde(default)]
    pub evictions: u32,
    /// Consecutive attempts that may have crashed their workers.
    #[serde(default)]
    pub crashes: u32,
    /// What the task becomes once its live attempt has ended, when that is settled already.
    #[serde(default)]
    pub settled: Option<Settled>,
}

crate::value_type! {
    /// The end that awaits a task whose attempt is still being stopped.
    pub enum Settled {
        /// An earlier attempt reported success late.
        Done,
        /// Its job was given up.
        Failed,
        /// Its job was cancelled.
        Cancelled,
    }
}

impl TaskView {
    /// A task that has never been placed.
    pub fn fresh() -> Self {
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
    /// As submitted.
    pub spec: JobSpec,
    /// Time of acceptance.
    pub at_ms: u64,
    /// The one outcome, once there is one.
    pub outcome: Option<JobOutcome>,
    /// Why the job is parked.
    pub parked: Option<String>,
    /// The cell it moved to.
    pub forwarded: Option<String>,
    /// Jobs that must be done first.
    pub blocked_on: BTreeSet<String>,
    /// Its tasks.
    pub tasks: Vec<TaskView>,
    /// Tasks that are not over.
    #[serde(skip)]
    pub open_tasks: u32,
    /// Tasks with a live attempt.
    #[serde(skip)]
    pub live_tasks: u32,
}

impl Job {
    /// Whether a waiting task of the job may be placed.
    pub fn is_runnable(&self) -> bool {
        self.outcome.is_none()
            && self.parked.is_none()
            && self.forwarded.is_none()
            && self.blocked_on.is_empty()
    }

    /// Identifier of one task.
    pub fn task_id(&self, index: usize) -> TaskId {
        format!("{}/{index}", self.spec.id)
    }

    /// Indices of the tasks that wait.
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
