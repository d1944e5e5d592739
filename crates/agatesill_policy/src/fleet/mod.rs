//! Jobs of several steps on a fleet of shared workers: the decisions, as a state machine.
//!
//! [`Fleet`] takes in what happened (a job was accepted, a worker answered, a record was committed)
//! and gives out what to do: records to commit ([`JobWrite`]) and [`Order`]s to workers, a start only
//! after the record that names it is committed. It knows no network, clock or store; all times are microseconds on the caller's
//! monotonic clock unless a name says otherwise.

mod advice;
mod ages;
mod answers;
mod capacity_index;
mod colocation;
mod comeback;
mod crashes;
mod effort;
mod ended;
mod ends;
mod images;
mod job;
mod longest_wait;
mod orders;
mod place;
mod plan;
mod preempt;
mod ranking;
mod record;
mod registry;
mod slow;
mod state;
mod takeover;
mod usage;
mod watchdog;
mod worker;
mod writes;
mod zones;

pub use advice::AdviceQuestion;
pub use colocation::{Learned, LearnedImage};
pub use comeback::comeback_ms;
pub use effort::Effort;
pub use job::{Job, JobId, JobPhase, JobSpec, QueueTerms, Step, Task, TaskKey, TaskRef, TaskState};
pub use longest_wait::{Deferral, Fitting, LongestTransition, LongestWait};
pub use orders::{JobWrite, Order, OrderKind, OrderOutcome};
pub use record::{ProgressRecord, TaskRecord};
pub use state::{Counts, Fleet};
pub use takeover::ORPHAN_MS;
pub use usage::{FleetUsage, TaskKind, Waiting};
pub use worker::{
    EndCause, EndRow, Poll, RunRow, Worker, WorkerEntry, WorkerIndex, WorkerStanding,
};
pub use zones::ClosedZone;

use crate::value_type;

value_type! {
    /// Bounds that the platform states; the decisions keep within them.
    pub struct FleetBounds {
        /// Longest lease that a worker grants.
        pub lease_max_ms: u64,
        /// How long a serving task may stay over its target beside tasks that fill.
        pub harm_ms: u64,
        /// How long after a worker announced that it leaves it may still get starts.
        pub drain_ms: u64,
    }
}

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;
