//! The batch scheduler: the ledger of one cell of workers and the policy that plans on it.
//!
//! A [`Cell`] changes only through [`CellDelta`]s. Each delta is committed before its effects are
//! carried out. A [`BatchPolicy`] holds the learned state and proposes deltas; after a takeover all
//! of it can be rebuilt from the ledger.

mod cell;
mod cell_transitions;
mod delta;
mod policy;
mod task;

pub use cell::{Cell, Worker};
pub use delta::{
    AttemptOutcome, CellDelta, CellEffect, EvictReason, FailureKind, JobOutcome, WorkerState,
};
pub use policy::{
    BatchConfig, BatchPolicy, Explanation, Plan, ServiceUsage, TaskUsage, Throttle, UsageReport,
    lost_attempt_outcome,
};
pub use task::{Job, Settled, TaskState, TaskView, split_task};

use crate::value_type;

/// Identifies a worker within its cell.
pub type WorkerId = u32;

/// Identifies a task: the job's identifier, a slash and the task's index.
pub type TaskId = String;

/// Number of an attempt of one task, counted from 1.
pub type Attempt = u32;

value_type! {
    /// Amounts of the three resources of a worker.
    #[derive(Copy, Eq, Default)]
    pub struct Resources {
        /// CPU in thousandths of a core.
        pub cpu_milli: u64,
        /// Memory in megabytes.
        pub memory_mb: u64,
        /// Number of whole accelerators.
        pub accelerators: u64,
    }
}

impl Resources {
    /// Whether `other` fits into these amounts in every dimension.
    pub fn holds(&self, other: &Resources) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// The sum of both amounts, saturating in each dimension.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference, saturating at zero in each dimension.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

value_type! {
    /// A worker as described by the settings or the platform's worker list.
    pub struct WorkerSpec {
        /// Identifier within the cell.
        pub id: WorkerId,
        /// Total resources.
        pub capacity: Resources,
        /// Rack, a failure domain.
        pub rack: String,
        /// Availability zone.
        pub zone: String,
    }
}

value_type! {
    /// A submitted job.
    #[serde(deny_unknown_fields)]
    pub struct JobSpec {
        /// Identifier chosen by the submitter. A second submission with the same identifier is the
        /// same job.
        pub id: String,
        /// Team whose share and quota the job uses.
        pub team: String,
        /// Name of a profile of the batch class.
        pub profile: String,
        /// Kind of work. Sizes and run times are learned per class.
        #[serde(default)]
        pub class: String,
        /// Number of tasks.
        pub tasks: u32,
        /// Declared resources of each task.
        pub need: Resources,
        /// Declared run time of each task.
        pub run_ms: u64,
        /// Time from submission by which all tasks should be done; 0 means no deadline.
        #[serde(default)]
        pub deadline_ms: u64,
        /// Whether the tasks run before all other batch tasks.
        #[serde(default)]
        pub urgent: bool,
        /// Jobs of the same cell that must be done before this one starts.
        #[serde(default)]
        pub after: Vec<String>,
    }
}
