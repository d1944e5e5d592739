//! What the policy is given and what it hands back.

use std::collections::BTreeMap;

use super::super::{Attempt, CellDelta, TaskId, WorkerId};
use crate::profile::{ConfigDoc, Profile, ProfileClass, Team};
use crate::value_type;

value_type! {
    /// Load of one latency-critical service on one worker.
    pub struct ServiceUsage {
        /// Name of the service, the unit by which interference is learned.
        pub service: String,
        /// Processor time used per second, in thousandths of a processor.
        pub cpu_milli: u64,
        /// Tail answer time in percent of the promise; over 100 means that it is missed.
        pub pressure_percent: u32,
    }
}

value_type! {
    /// Load of one batch attempt on one worker.
    pub struct TaskUsage {
        /// The task.
        pub task: TaskId,
        /// The attempt.
        pub attempt: Attempt,
        /// Processor time used per second, in thousandths of a processor.
        pub cpu_milli: u64,
        /// Most memory used so far.
        pub memory_mb: u64,
        /// Work done so far, in milliseconds of unhindered run time.
        pub progress_ms: u64,
    }
}

value_type! {
    /// A worker's late word on its load.
    pub struct UsageReport {
        /// When it was measured, on the caller's own clock.
        pub measured_ms: u64,
        /// Latency-critical services.
        pub services: Vec<ServiceUsage>,
        /// Batch attempts.
        pub tasks: Vec<TaskUsage>,
    }
}

/// The operators' configuration as far as batch work needs it.
#[derive(Clone, Debug)]
pub struct BatchConfig {
    /// Batch profiles by name.
    pub profiles: BTreeMap<String, Profile>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Most placements in one plan; bounds a plan's time and a commit's size.
    pub placements_per_plan: usize,
}

impl BatchConfig {
    /// Takes the batch part of a configuration document.
    pub fn new(doc: &ConfigDoc, placements_per_plan: usize) -> Self {
        let batch = |(_, profile): &(&String, &Profile)| profile.class == ProfileClass::Batch;
        let profiles = doc.profiles.iter().filter(batch);
        Self {
            profiles: profiles.map(|(name, profile)| (name.clone(), profile.clone())).collect(),
            teams: doc.teams.clone(),
            placements_per_plan,
        }
    }
}

/// A change of an attempt's processor share; needs no commit.
#[derive(Clone, Debug, PartialEq)]
pub struct Throttle {
    /// Where.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// Share of processor time kept; 100 lifts the throttle.
    pub percent: u32,
}

/// What the policy proposes.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Changes to commit, in order.
    pub deltas: Vec<CellDelta>,
    /// Throttles to send.
    pub throttles: Vec<Throttle>,
}
