//! Configuration of profiles, services and teams: latency objectives and their assignment.

use std::collections::{BTreeMap, BTreeSet};

use snafu::{Snafu, ensure};

use crate::value_type;

/// Maximum response time, in milliseconds, that a profile may promise.
pub const MAX_ANSWER_MS: u32 = 600_000;

value_type! {
    /// Kind of work that a profile applies to.
    pub enum ProfileClass {
        /// Requests whose callers wait for the response.
        LatencyCritical,
        /// Tasks that run to completion on a worker.
        Batch,
    }
}

value_type! {
    /// Named service objectives and limits. A zero or absent limit has its documented default.
    #[serde(deny_unknown_fields)]
    pub struct Profile {
        /// Whether the profile applies to requests or to batch tasks.
        pub class: ProfileClass,
        /// Promised 99th percentile of the response time; used by latency-critical profiles only.
        #[serde(default)]
        pub answer_ms: u32,
        /// Priority from 0 (refused first) to 9 (refused last).
        #[serde(default = "default_priority")]
        pub priority: u8,
        /// Maximum requests queued in one daemon; 0 derives it from the slots.
        #[serde(default)]
        pub queue_requests: u32,
        /// Maximum evictions of one task of this profile per hour.
        #[serde(default = "default_evictions")]
        pub evictions_per_hour: u32,
        /// Share of a worker's CPU time that a throttled task keeps, in percent.
        #[serde(default = "default_throttle")]
        pub throttle_percent: u32,
    }
}

fn default_priority() -> u8 {
    5
}

fn default_evictions() -> u32 {
    4
}

fn default_throttle() -> u32 {
    25
}

value_type! {
    /// A service and its profile.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Name of the profile that applies to the service.
        pub profile: String,
        /// Pool of upstreams that serves the requests of the service.
        pub pool: String,
        /// Requests that must run at most once, each as `METHOD /path-prefix`.
        #[serde(default)]
        pub non_repeatable: Vec<String>,
    }
}

value_type! {
    /// An availability zone that accepts no new work. Running work continues until it ends.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Evacuation {
        /// Reason, for display to operators.
        #[serde(default)]
        pub reason: String,
    }
}

value_type! {
    /// A team and its share of the batch worker pool.
    #[serde(deny_unknown_fields)]
    pub struct Team {
        /// Relative weight in the division of capacity between teams.
        pub weight: u32,
        /// Maximum CPU in use at once, in thousandths of a core; 0 means unlimited.
        #[serde(default)]
        pub quota_cpu_milli: u64,
    }
}

value_type! {
    /// The complete configuration that operators change: one document with one version.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct ConfigDoc {
        /// Profiles by name.
        #[serde(default)]
        pub profiles: BTreeMap<String, Profile>,
        /// Services by name.
        #[serde(default)]
        pub services: BTreeMap<String, Service>,
        /// Teams by name.
        #[serde(default)]
        pub teams: BTreeMap<String, Team>,
        /// Availability zones whose workers accept no new work, by name.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub evacuations: BTreeMap<String, Evacuation>,
    }
}

/// Error that makes a configuration document invalid.
#[derive(Debug, Snafu, PartialEq)]
pub enum ConfigError {
    /// A value is outside its allowed range.
    #[snafu(display("{key}: {value} is outside {range}"))]
    Range {
        /// Path of the key in the document.
        key: String,
        /// Value in the document.
        value: String,
        /// Allowed range.
        range: String,
    },
    /// A service names a profile that does not exist.
    #[snafu(display("services.{service}.profile: no profile named {profile}"))]
    NoProfile {
        /// Name of the service.
        service: String,
        /// Name of the missing profile.
        profile: String,
    },
    /// A profile is still in use by services and cannot be removed.
    #[snafu(display("profile {profile} is used by {}", services.join(", ")))]
    InUse {
        /// Name of the profile.
        profile: String,
        /// Names of the services that use the profile.
        services: Vec<String>,
    },
}

impl ConfigDoc {
    /// Checks ranges and references; returns the first error found.
    pub fn validate(&self) -> Result<(), ConfigError> {
        for (name, profile) in &self.profiles {
            validate_profile(name, profile)?;
        }
        for (name, service) in &self.services {
            ensure!(
                self.profiles.contains_key(&service.profile),
                NoProfileSnafu { service: name, profile: &service.profile }
            );
        }
        for (name, team) in &self.teams {
            ensure!(
                (1..=1_000_000).contains(&team.weight),
                RangeSnafu {
                    key: format!("teams.{name}.weight"),
                    value: team.weight.to_string(),
                    range: "1..=1000000",
                }
            );
        }
        Ok(())
    }

    /// Returns the names of the services that use `profile`.
    pub fn services_using(&self, profile: &str) -> BTreeSet<&str> {
        self.services
            .iter()
            .filter(|(_, service)| service.profile == profile)
            .map(|(name, _)| name.as_str())
            .collect()
    }
}

fn validate_profile(name: &str, profile: &Profile) -> Result<(), ConfigError> {
    if profile.class == ProfileClass::LatencyCritical {
        ensure!(
            (1..=MAX_ANSWER_MS).contains(&profile.answer_ms),
            RangeSnafu {
                key: format!("profiles.{name}.answer_ms"),
                value: profile.answer_ms.to_string(),
                range: format!("1..={MAX_ANSWER_MS}"),
            }
        );
    }
    ensure!(
        profile.priority <= 9,
        RangeSnafu {
            key: format!("profiles.{name}.priority"),
            value: profile.priority.to_string(),
            range: "0..=9",
        }
    );
    ensure!(
        (1..=100).contains(&profile.throttle_percent),
        RangeSnafu {
            key: format!("profiles.{name}.throttle_percent"),
            value: profile.throttle_percent.to_string(),
            range: "1..=100",
        }
    );
    Ok(())
}
