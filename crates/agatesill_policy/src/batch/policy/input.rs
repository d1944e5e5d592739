//! Inputs and outputs of the batch policy.

use std::collections::{BTreeMap, BTreeSet};

use super::super::{Attempt, CellDelta, TaskId, WorkerId};
use crate::profile::{ConfigDoc, Profile, ProfileClass, Team};
use crate::value_type;

value_type! {
    /// Load of one latency-critical service on one worker.
    pub struct ServiceUsage {
        /// Name of the service. Interference is learned per service.
        pub service: String,
        /// CPU time used per second, in thousandths of a core.
        pub cpu_milli: u64,
        /// Tail latency in percent of the latency target; a value over 100 means that the target is
        /// missed.
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
        /// CPU time used per second, in thousandths of a core.
        pub cpu_milli: u64,
        /// Peak memory use so far.
        pub memory_mb: u64,
        /// Work done so far, in milliseconds of run time without throttling or interference.
        pub progress_ms: u64,
    }
}

value_type! {
    /// A worker's report on its load, received after the measurement.
    pub struct UsageReport {
        /// Time of the measurement, on the caller's own clock.
        pub measured_ms: u64,
        /// Latency-critical services.
        pub services: Vec<ServiceUsage>,
        /// Batch attempts.
        pub tasks: Vec<TaskUsage>,
    }
}

/// Evictions per hour allowed to a task whose profile is not configured; equals the default of a
/// profile.
const DEFAULT_EVICTIONS_PER_HOUR: usize = 4;

/// Share of CPU time kept by a throttled task whose profile is not configured; equals the default
/// of a profile.
const DEFAULT_THROTTLE_PERCENT: u32 = 25;

/// The part of the operators' configuration that concerns batch jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BatchConfig {
    /// Batch profiles by name.
    pub profiles: BTreeMap<String, Profile>,
    /// Names of the latency-critical profiles.
    pub critical_profiles: BTreeSet<String>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Availability zones whose workers accept no new tasks.
    pub closed_zones: BTreeSet<String>,
    /// Maximum number of placements in one plan. Bounds the time of a plan and the size of a
    /// commit.
    pub max_placements_per_plan: usize,
}

impl BatchConfig {
    /// Extracts the batch part of a configuration document.
    pub fn new(doc: &ConfigDoc, max_placements_per_plan: usize) -> Self {
        let batch = |(_, profile): &(&String, &Profile)| profile.class == ProfileClass::Batch;
        let profiles = doc.profiles.iter().filter(batch);
        let critical_profiles = doc.profiles.iter().filter(|entry| !batch(entry));
        Self {
            critical_profiles: critical_profiles.map(|(name, _)| name.clone()).collect(),
            profiles: profiles.map(|(name, profile)| (name.clone(), profile.clone())).collect(),
            teams: doc.teams.clone(),
            closed_zones: doc.evacuations.keys().cloned().collect(),
            max_placements_per_plan,
        }
    }

    /// Weight of a team; 1 if the team is not configured.
    pub fn weight(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(1.0, |team| f64::from(team.weight.max(1)))
    }

    /// Maximum CPU that a team may have reserved, in thousandths of a core.
    pub fn quota_cpu_milli(&self, team: &str) -> u64 {
        match self.teams.get(team).map(|team| team.quota_cpu_milli) {
            None | Some(0) => u64::MAX,
            Some(quota) => quota,
        }
    }

    /// How often a task of the profile may be evicted per hour.
    pub fn evictions_per_hour(&self, profile: &str) -> usize {
        let limit = self.profiles.get(profile).map(|profile| profile.evictions_per_hour);
        limit.map_or(DEFAULT_EVICTIONS_PER_HOUR, |limit| limit as usize)
    }

    /// Share of CPU time that a throttled task of the profile keeps, in percent.
    pub fn throttle_percent(&self, profile: &str) -> u32 {
        self.profiles
            .get(profile)
            .map_or(DEFAULT_THROTTLE_PERCENT, |profile| profile.throttle_percent)
    }
}

/// A change of an attempt's CPU share. Needs no commit.
#[derive(Clone, Debug, PartialEq)]
pub struct Throttle {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// Share of CPU time in percent; 100 lifts the throttle.
    pub percent: u32,
}

/// The changes proposed by the policy.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Changes to commit, in order.
    pub deltas: Vec<CellDelta>,
    /// Throttles to send.
    pub throttles: Vec<Throttle>,
}
