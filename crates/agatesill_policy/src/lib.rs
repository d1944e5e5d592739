//! Scheduling and admission policies, independent of network, clock and threads.
//!
//! Every module takes the current time as an argument (microseconds on the caller's monotonic
//! clock) and returns actions for the caller to perform. The same code thus runs in the daemon and
//! under the virtual clock of the benchmarks.

pub mod admission;
pub mod advice;
pub mod batch;
pub mod connections;
pub mod fleet;
pub mod profile;
pub mod request;
mod token_bucket;

/// Commonly used types of this crate.
pub mod prelude {
    pub use crate::batch::{
        Attempt, AttemptOutcome, BatchConfig, BatchPolicy, Cell, CellDelta, CellEffect,
        EvictReason, FailureKind, Job, JobOutcome, JobSpec, Plan, Resources, ServiceUsage, TaskId,
        TaskState, TaskUsage, TaskView, Throttle, UsageReport, Worker, WorkerId, WorkerSpec,
        WorkerState, lost_attempt_outcome,
    };
    pub use crate::profile::{ConfigDoc, Evacuation, Profile, ProfileClass, Service, Team};
    pub use crate::request::{
        Action, Choice, Decision, Outcome, Refusal, RequestHead, RequestPolicy, ServiceIndex,
        ServiceLimits, Ticket, UpstreamId, UpstreamSpec,
    };
}

/// Declares a plain data type with the derives that all such types of the workspace share.
#[macro_export]
macro_rules! value_type {
    ($(#[$meta:meta])* $vis:vis struct $name:ident { $($body:tt)* }) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])*
        $vis struct $name { $($body)* }
    };
    ($(#[$meta:meta])* $vis:vis enum $name:ident { $($body:tt)* }) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "snake_case")]
        $(#[$meta])*
        $vis enum $name { $($body)* }
    };
}
