//! Scheduling decisions for multi-step jobs on a fleet of shared workers, as a state machine.
//!
//! [`Fleet`] consumes events (a job was accepted, a worker answered a poll, a record was committed)
//! and produces actions: records to commit ([`JobWrite`]) and [`Order`]s for workers. A start is
//! ordered only after the record that names it is committed. The module uses no network, clock or
//! store. All times are microseconds on the caller's monotonic clock unless a name says otherwise.

mod advice;
mod ages;
mod call_queue;
mod capacity_index;
mod colocation;
mod crashes;
mod drain;
mod effort;
mod failing_workers;
mod flapping;
mod idle_jobs;
mod images;
mod job;
mod job_faults;
mod lease_record;
mod limits;
mod load;
mod longest_wait;
mod missing_tasks;
mod order_outcomes;
mod orders;
mod outage_returns;
mod place;
mod plan;
mod polls;
mod preempt;
mod ranking;
mod record;
mod refusals;
mod registry;
mod report_clock;
mod retention;
mod retry_after;
mod run_end;
mod serving_tails;
mod slow;
mod slow_evacuation;
mod slow_trials;
mod speed;
mod start_waits;
mod state;
mod takeover;
mod usage;
mod watchdog;
mod worker;
mod write_failures;
mod writes;
mod zones;

pub use advice::AdviceQuestion;
pub use call_queue::{CallClass, CallQueue};
pub use colocation::{LearnedImage, LearnedInterference};
pub use effort::Effort;
pub use flapping::Silences;
pub use idle_jobs::{IdleJob, OpenTasks};
pub use job::{
    Job, JobId, JobPhase, JobSpec, MAX_STEPS, QueueTerms, Step, Task, TaskKey, TaskRef, TaskState,
};
pub use job_faults::{JobOutcomes, is_job_at_fault};
pub use lease_record::{
    LEASE_HORIZON_MS, LeaseRecord, LossWait, SeenLeaseRecord, Silence, SilentWorker, Tenure,
    UnansweringWorker,
};
pub use limits::{MAX_AMOUNT, MAX_DURATION_MS, MAX_WALL_MS};
pub use longest_wait::{Deferral, FittingWorkers, LongestTransition, LongestWait};
pub use missing_tasks::{MissingTask, MissingTaskWorker, PlacementWait};
pub use orders::{JobWrite, Order, OrderKind, OrderOutcome};
pub use outage_returns::OutageReturns;
pub use record::{ProgressRecord, TaskRecord};
pub use refusals::{Refusal, Refusals};
pub use retry_after::retry_after_ms;
pub use run_end::{EndCounts, EndProof, EndedRun};
pub use slow_evacuation::SlowWorker;
pub use speed::SpeedEstimate;
pub use start_waits::{StartStage, StartWaits, Urgency, WaitHistogram};
pub use state::{Counts, Fleet};
pub use takeover::ORPHAN_MS;
pub use usage::{FleetUsage, TaskKind, Waiting};
pub use worker::{
    EndCause, EndRow, Poll, RunRow, Worker, WorkerAddresses, WorkerEntry, WorkerIndex,
    WorkerStanding,
};
pub use zones::ClosedZone;

use crate::value_type;

value_type! {
    /// Limits set by the platform, within which all decisions stay.
    pub struct FleetBounds {
        /// Longest lease that a worker grants.
        pub lease_max_ms: u64,
        /// How long a serving task may exceed its latency target beside best-effort tasks.
        pub harm_ms: u64,
        /// How long a worker may still receive starts after it announced that it is leaving.
        pub drain_ms: u64,
        /// How long a worker may take to stop a task; 0 if the platform states no limit.
        #[serde(default)]
        pub stop_grace_ms: u64,
    }
}

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;
