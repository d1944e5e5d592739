//! Scenarios of requests under a virtual clock: generators, daemons with partial views, baselines.

use crate::scenario::Scenario;

/// The scenarios of this module.
pub const SCENARIOS: &[Scenario] = &[];
