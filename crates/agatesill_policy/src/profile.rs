//! Profiles, services and teams: what operators promise and who picks which promise.

use std::collections::{BTreeMap, BTreeSet};

use snafu::{Snafu, ensure};

use crate::value_type;

/// The longest answer time that a profile may promise.
pub const MAX_ANSWER_MS: u32 = 600_000;

value_type! {
    /// Which kind of work a profile describes.
    pub enum ProfileClass {
        /// Requests that a caller waits for.
        LatencyCritical,
        /// Tasks that run to completion on a worker.
        Batch,
    }
}

value_type! {
    /// A named promise. Zero or absent limits mean the documented default.
    #[serde(deny_unknown_fields)]
    pub struct Profile {
        /// Whether the profile covers requests or batch tasks.
        pub class: ProfileClass,
        /// Promised 99th percentile of the answer time; only for latency-critical profiles.
        #[serde(default)]
        pub answer_ms: u32,
        /// Priority from 0 (first to be refused) to 9 (last to be refused).
        #[serde(default = "default_priority")]
        pub priority: u8,
        /// How many requests may wait in one daemon; 0 means derived from the slots.
        #[serde(default)]
        pub queue_requests: u32,
        /// How many times one task of this profile may be evicted in an hour.
        #[serde(default = "default_evictions")]
        pub evictions_per_hour: u32,
        /// Share of a worker's processor time that a throttled task keeps, in percent.
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
    /// A service and the profile it picked.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Name of the profile that the service was sold.
        pub profile: String,
        /// Pool of upstreams that answers the service's requests.
        pub pool: String,
        /// Methods and paths that must run at most once, as `METHOD /path-prefix`.
        #[serde(default)]
        pub non_repeatable: Vec<String>,
    }
}

value_type! {
    /// An availability zone that takes no new work. What runs there ends by itself.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Evacuation {
        /// Why, for whoever asks.
        #[serde(default)]
        pub reason: String,
    }
}

value_type! {
    /// A team and its share of the batch floor.
    #[serde(deny_unknown_fields)]
    pub struct Team {
        /// Relative weight when teams compete.
        pub weight: u32,
        /// Upper bound on processors in use at once, in thousandths; 0 means none.
        #[serde(default)]
        pub quota_cpu_milli: u64,
    }
}

value_type! {
    /// The whole configuration that operators change, one document with one version.
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
        /// Availability zones whose workers take no new work, by name.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub evacuations: BTreeMap<String, Evacuation>,
    }
}

/// Why a configuration document is not acceptable.
#[derive(Debug, Snafu, PartialEq)]
pub enum ConfigError {
    /// A value lies outside its range.
    #[snafu(display("{key}: {value} is outside {range}"))]
    Range {
        /// Path of the key within the document.
        key: String,
        /// The value found.
        value: String,
        /// The allowed range.
        range: String,
    },
    /// A service names a profile that does not exist.
    #[snafu(display("services.{service}.profile: no profile named {profile}"))]
    NoProfile {
        /// The service.
        service: String,
        /// The missing profile.
        profile: String,
    },
    /// A profile cannot be retired while services use it.
    #[snafu(display("profile {profile} is used by {}", services.join(", ")))]
    InUse {
        /// The profile.
        profile: String,
        /// The services that use it.
        services: Vec<String>,
    },
}

impl ConfigDoc {
    /// Checks ranges and references; the first problem found is returned.
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

    /// Names of the services that use `profile`.
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
