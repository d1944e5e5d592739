//! Batch work: the ledger of one cell of workers and the decisions on it.
//!
//! A [`Cell`] changes only through [`CellDelta`]s, each committed before its effects are carried
//! out. A [`BatchPolicy`] beside it holds what is learned and proposes deltas; all of it can be
//! rebuilt from the ledger after a takeover.

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

/// Counts the tries of one task, from 1.
pub type Attempt = u32;

value_type! {
    /// Amounts in the three dimensions that a worker has.
    #[derive(Copy, Eq, Default)]
    pub struct Resources {
        /// Processors, in thousandths.
        pub cpu_milli: u64,
        /// Memory.
        pub memory_mb: u64,
        /// Whole accelerators.
        pub accelerators: u64,
    }
}

impl Resources {
    /// Whether `other` fits inside.
    pub fn holds(&self, other: &Resources) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// The sum of both.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// What is left after taking `other` out, never below zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

value_type! {
    /// A worker as the settings or the platform's list describe it.
    pub struct WorkerSpec {
        /// Identity within the cell.
        pub id: WorkerId,
        /// What it can carry.
        pub capacity: Resources,
        /// Rack.
        pub rack: String,
        /// Availability zone.
        pub zone: String,
    }
}

value_type! {
    /// A job as submitted.
    #[serde(deny_unknown_fields)]
    pub struct JobSpec {
        /// Identity, chosen by the submitter; a second submission with the same one is the same job.
        pub id: String,
        /// Team that pays for it.
        pub team: String,
        /// Profile of the batch class.
        pub profile: String,
        /// Kind of work, the unit by which sizes and times are learned.
        #[serde(default)]
        pub class: String,
        /// Number of tasks.
        pub tasks: u32,
        /// Declared need of each task.
        pub need: Resources,
        /// Declared run time of each task.
        pub run_ms: u64,
        /// Time from submission by which all tasks should be done; 0 means none.
        #[serde(default)]
        pub deadline_ms: u64,
        /// Whether tasks go before all others.
        #[serde(default)]
        pub urgent: bool,
        /// Jobs of the same cell that must be done first.
        #[serde(default)]
        pub after: Vec<String>,
    }
}
