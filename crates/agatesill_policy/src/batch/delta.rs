//! What may change in a cell's ledger, and what follows from a change.

use serde::{Deserialize, Serialize};

use super::{Attempt, JobSpec, Resources, TaskId, TaskView, WorkerId, WorkerSpec};
use crate::value_type;

value_type! {
    /// Why an attempt failed, as far as the worker can tell.
    pub enum FailureKind {
        /// The task ended with an error of its own.
        TaskError,
        /// The task used more memory than was reserved and was stopped by the worker.
        MemoryOverrun,
        /// The worker could not run the task: image, disk, device or network of the worker.
        WorkerError,
        /// The task's input is missing or invalid: another try cannot help.
        BadInput,
    }
}

value_type! {
    /// Why a running attempt is stopped.
    pub enum EvictReason {
        /// A latency-critical task beside it misses its promise.
        Promise,
        /// Room is needed for urgent work.
        Urgent,
        /// Room is needed for a team below its share.
        Share,
        /// The worker is leaving or in quarantine.
        Drain,
    }
}

/// How an attempt ended. Each variant is certain: the worker confirmed it, or its lease ran out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// Finished its work.
    Done,
    /// Failed by itself.
    Failed {
        /// Why.
        kind: FailureKind,
    },
    /// Confirmed as stopped by the worker.
    Stopped {
        /// Progress kept by the checkpoint taken before the stop.
        checkpoint_ms: u64,
    },
    /// Not heard of again, and its lease has certainly ended.
    LeaseEnded,
    /// Lost with its worker during probation: it may have crashed the worker.
    WorkerCrashed,
}

/// The one outcome of a job; the first recorded stays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// All tasks done.
    Done,
    /// Given up.
    Failed {
        /// Why, for the submitter.
        reason: String,
    },
    /// Cancelled by its submitter.
    Cancelled,
}

value_type! {
    /// Whether a worker may be used.
    pub enum WorkerState {
        /// Takes new work.
        Active,
        /// Takes no new work; its attempts are moved.
        Leaving,
        /// Not heard of; its attempts stay charged until their leases have ended.
        Lost,
    }
}

/// A change of the ledger. Every variant is safe to replay in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CellDelta {
    /// A job is accepted.
    Accept {
        /// The job.
        job: JobSpec,
        /// Time of acceptance.
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
        /// Amounts reserved for this attempt.
        reserve: Resources,
    },
    /// The attempt is asked to save its progress and stop; its reservation stays until its end.
    Evict {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Why.
        reason: EvictReason,
    },
    /// The attempt's end is certain; its reservation is free.
    End {
        /// The task.
        task: TaskId,
        /// The attempt that ended.
        attempt: Attempt,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The job is cancelled: nothing of it starts any more.
    Cancel {
        /// The job.
        job: String,
    },
    /// The job is given up.
    Fail {
        /// The job.
        job: String,
        /// Why, for the submitter.
        reason: String,
    },
    /// The job cannot run on the workers there are; it waits for a change.
    Park {
        /// The job.
        job: String,
        /// The nearest limit, for the submitter.
        reason: String,
    },
    /// A parked job may run again.
    Unpark {
        /// The job.
        job: String,
    },
    /// The worker takes no new work until it is released.
    Quarantine {
        /// The worker.
        worker: WorkerId,
    },
    /// The worker takes new work again.
    Release {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker joins, or returns after it was leaving or lost.
    AddWorker {
        /// The worker.
        worker: WorkerSpec,
    },
    /// A worker is leaving or lost.
    SetWorkerState {
        /// The worker.
        worker: WorkerId,
        /// Its state.
        state: WorkerState,
    },
    /// The job moves to another cell, which imports it; nothing of it starts here any more.
    Forward {
        /// The job, which must have no live attempt.
        job: String,
        /// The other cell.
        cell: String,
    },
    /// A job arrives from another cell with its progress.
    Import {
        /// The job.
        job: JobSpec,
        /// Time of its first acceptance.
        at_ms: u64,
        /// Its tasks as the other cell recorded them.
        tasks: Vec<TaskView>,
    },
    /// A closed or forwarded job is dropped from the ledger.
    Forget {
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
        /// Amounts reserved.
        reserve: Resources,
    },
    /// Tell the worker to stop the attempt.
    Stop {
        /// Where.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Whether to save progress first.
        checkpoint: bool,
    },
    /// The job has its one outcome.
    JobClosed {
        /// The job.
        job: String,
        /// The outcome.
        outcome: JobOutcome,
    },
}
