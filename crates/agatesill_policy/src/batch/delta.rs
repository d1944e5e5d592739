//! Changes of a cell's ledger and their effects.

use serde::{Deserialize, Serialize};

use super::{Attempt, JobSpec, Resources, TaskId, TaskView, WorkerId, WorkerSpec};
use crate::value_type;

value_type! {
    /// Why an attempt failed, as far as the worker can tell.
    pub enum FailureKind {
        /// The task ended with its own error.
        TaskError,
        /// The worker stopped the task because it used more memory than was reserved.
        MemoryOverrun,
        /// The worker could not run the task, for example because of its image, disk, device or
        /// network.
        WorkerError,
        /// The task's input is missing or invalid, so a retry cannot succeed.
        BadInput,
    }
}

value_type! {
    /// Why a running attempt is evicted.
    pub enum EvictReason {
        /// A latency-critical service on the same worker misses its latency target.
        Promise,
        /// An urgent task needs the capacity.
        Urgent,
        /// A team below its share needs the capacity.
        Share,
        /// The worker is leaving or in quarantine.
        Drain,
    }
}

/// How an attempt ended. The end is certain for each variant: the worker confirmed it, or its lease
/// expired.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The attempt completed its work.
    Done,
    /// The attempt failed by an error of the task or its worker.
    Failed {
        /// The kind of failure.
        kind: FailureKind,
    },
    /// The worker confirmed the stop.
    Stopped {
        /// Progress saved by the checkpoint taken before the stop.
        checkpoint_ms: u64,
    },
    /// The worker stopped reporting the attempt, and the attempt's lease has certainly expired.
    LeaseEnded,
    /// The attempt was lost with its worker during its probation, so it may have crashed the
    /// worker.
    WorkerCrashed,
}

/// The final outcome of a job. The first recorded outcome stays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// All tasks are done.
    Done,
    /// The job failed and is not retried.
    Failed {
        /// Reason reported to the submitter.
        reason: String,
    },
    /// The submitter cancelled the job.
    Cancelled,
}

value_type! {
    /// Lifecycle state of a worker.
    pub enum WorkerState {
        /// Accepts new tasks.
        Active,
        /// Accepts no new tasks; its attempts are moved.
        Leaving,
        /// Unresponsive. Its resources stay allocated until the leases of its attempts have
        /// expired.
        Lost,
    }
}

/// A change of the ledger. Every variant can be replayed safely in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CellDelta {
    /// Accepts a job.
    Accept {
        /// The accepted job.
        job: JobSpec,
        /// Time of acceptance.
        at_ms: u64,
    },
    /// Reserves resources on a worker; the attempt may start.
    Place {
        /// The task.
        task: TaskId,
        /// Number of the new attempt.
        attempt: Attempt,
        /// Worker of the attempt.
        worker: WorkerId,
        /// Resources reserved for this attempt.
        reserve: Resources,
    },
    /// Asks an attempt to save its progress and stop. Its reservation stays until the attempt has
    /// ended.
    Evict {
        /// The task.
        task: TaskId,
        /// The live attempt.
        attempt: Attempt,
        /// Why the attempt is evicted.
        reason: EvictReason,
    },
    /// Records the certain end of an attempt and releases its reservation.
    End {
        /// The task.
        task: TaskId,
        /// The attempt that ended.
        attempt: Attempt,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// Cancels a job; none of its tasks starts afterwards.
    Cancel {
        /// The job's identifier.
        job: String,
    },
    /// Fails a job, which is not retried.
    Fail {
        /// The job's identifier.
        job: String,
        /// Reason reported to the submitter.
        reason: String,
    },
    /// Parks a job that no current worker can hold until the workers change.
    Park {
        /// The job's identifier.
        job: String,
        /// The nearest limit, reported to the submitter.
        reason: String,
    },
    /// Makes a parked job runnable again.
    Unpark {
        /// The job's identifier.
        job: String,
    },
    /// Excludes a worker from new tasks until it is released.
    Quarantine {
        /// The worker.
        worker: WorkerId,
    },
    /// Releases a worker from quarantine.
    Release {
        /// The worker.
        worker: WorkerId,
    },
    /// Adds a worker, or reactivates one that was leaving or lost.
    AddWorker {
        /// The worker's description.
        worker: WorkerSpec,
    },
    /// Marks a worker as leaving or lost.
    SetWorkerState {
        /// The worker.
        worker: WorkerId,
        /// The new state.
        state: WorkerState,
    },
    /// Moves a job to another cell, which imports it. None of its tasks starts here afterwards.
    Forward {
        /// The job's identifier. The job must have no live attempt.
        job: String,
        /// The other cell.
        cell: String,
    },
    /// Accepts a job from another cell with its progress.
    Import {
        /// The job.
        job: JobSpec,
        /// Time of the job's first acceptance.
        at_ms: u64,
        /// The job's tasks as recorded by the other cell.
        tasks: Vec<TaskView>,
    },
    /// Removes a closed or forwarded job from the ledger.
    Forget {
        /// The job's identifier.
        job: String,
    },
}

/// An action that follows from a committed delta.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEffect {
    /// Ask the worker to run the attempt.
    Start {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Progress to resume from.
        checkpoint_ms: u64,
        /// Reserved resources.
        reserve: Resources,
    },
    /// Ask the worker to stop the attempt.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Whether the worker saves the progress first.
        checkpoint: bool,
    },
    /// The job reached its final outcome.
    JobClosed {
        /// The job's identifier.
        job: String,
        /// The outcome.
        outcome: JobOutcome,
    },
}
