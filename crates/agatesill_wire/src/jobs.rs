//! Calls about jobs from one daemon to another: JSON inside one frame each way.

use agatesill_policy::prelude::*;
use agatesill_policy::value_type;
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::api::{ErrorBody, JobExplanation, JobStatus};

/// A call about jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobCall {
    /// Accept a job into a cell; idempotent by the job's identity.
    Submit {
        /// The cell; its owner has to be asked.
        cell: String,
        /// The job.
        job: JobSpec,
    },
    /// Report on a job.
    Show {
        /// The job.
        id: String,
    },
    /// Report on all jobs of the cells owned there.
    List,
    /// Cancel a job.
    Cancel {
        /// The job.
        id: String,
    },
    /// Say why a job is where it is.
    Explain {
        /// The job.
        id: String,
    },
}

/// The answer to a [`JobCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobAnswer {
    /// One job.
    Job(JobStatus),
    /// All jobs asked for.
    Jobs(Vec<JobStatus>),
    /// Why a job is where it is.
    Explanation(JobExplanation),
    /// A refusal.
    Refused(ErrorBody),
}

/// Carries a [`JobCall`] as JSON.
#[derive(Clone, PartialEq, Message)]
pub struct PeerJobCall {
    /// The call.
    #[prost(string, tag = "1")]
    pub json: String,
}

/// Carries a [`JobAnswer`] as JSON.
#[derive(Clone, PartialEq, Message)]
pub struct PeerJobAnswer {
    /// The answer.
    #[prost(string, tag = "1")]
    pub json: String,
}

value_type! {
    /// Bounds of a submitted job, for validation and its messages.
    #[derive(Copy)]
    pub struct JobBounds {
        /// Most tasks of one job.
        pub max_tasks: u32,
        /// Longest declared run time of a task.
        pub max_run_ms: u64,
        /// Longest deadline.
        pub max_deadline_ms: u64,
        /// Longest identity.
        pub max_id_bytes: usize,
    }
}

/// The bounds in force: a job of 10,000 tasks is half of all batch tasks at the target size, a week
/// and a month are far beyond the longest month end.
pub const JOB_BOUNDS: JobBounds = JobBounds {
    max_tasks: 10_000,
    max_run_ms: 7 * 86_400_000,
    max_deadline_ms: 31 * 86_400_000,
    max_id_bytes: 128,
};
