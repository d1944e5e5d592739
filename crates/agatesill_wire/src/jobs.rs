//! Job calls between daemons. Request and response are JSON, each inside a single peer frame.

use agatesill_policy::prelude::*;
use agatesill_policy::value_type;
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::api::{ErrorBody, JobExplanation, JobStatus};

/// A job request from one daemon to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobCall {
    /// Submits a job to a cell; idempotent by job ID.
    Submit {
        /// Target cell; the call must reach its owner.
        cell: String,
        /// Specification of the job.
        job: JobSpec,
    },
    /// Returns the status of one job.
    Show {
        /// ID of the job.
        id: String,
    },
    /// Returns the status of all jobs in the cells that the receiving daemon owns.
    List,
    /// Cancels a job.
    Cancel {
        /// ID of the job.
        id: String,
    },
    /// Explains the scheduling state of a job.
    Explain {
        /// ID of the job.
        id: String,
    },
}

/// Response to a [`JobCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobAnswer {
    /// Status of one job.
    Job(JobStatus),
    /// Status of all requested jobs.
    Jobs(Vec<JobStatus>),
    /// Explanation of a job's scheduling state.
    Explanation(JobExplanation),
    /// The call was rejected.
    Refused(ErrorBody),
}

/// Peer frame body that carries a [`JobCall`].
#[derive(Clone, PartialEq, Message)]
pub struct PeerJobCall {
    /// The [`JobCall`] encoded as JSON.
    #[prost(string, tag = "1")]
    pub json: String,
}

/// Peer frame body that carries a [`JobAnswer`].
#[derive(Clone, PartialEq, Message)]
pub struct PeerJobAnswer {
    /// The [`JobAnswer`] encoded as JSON.
    #[prost(string, tag = "1")]
    pub json: String,
}

value_type! {
    /// Limits that a submitted job is validated against.
    #[derive(Copy)]
    pub struct JobBounds {
        /// Maximum number of tasks per job.
        pub max_tasks: u32,
        /// Maximum declared run time of a task.
        pub max_run_ms: u64,
        /// Maximum deadline.
        pub max_deadline_ms: u64,
        /// Maximum length of a job ID.
        pub max_id_bytes: usize,
    }
}

/// Limits for submitted jobs.
///
/// A job of 10,000 tasks is half of all batch tasks at the target cluster size. A run time of 7
/// days and a deadline of 31 days far exceed the longest batch run.
pub const JOB_BOUNDS: JobBounds = JobBounds {
    max_tasks: 10_000,
    max_run_ms: 7 * 86_400_000,
    max_deadline_ms: 31 * 86_400_000,
    max_id_bytes: 128,
};
