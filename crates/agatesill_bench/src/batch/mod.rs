//! Scenarios of batch work under a virtual clock: floors, hidden interference, baselines.

use crate::scenario::Scenario;

/// The scenarios of this module.
pub const SCENARIOS: &[Scenario] = &[];
