//! Scenarios of configuration, ownership and control cost with real daemons.

use crate::scenario::Scenario;

/// The scenarios of this module.
pub const SCENARIOS: &[Scenario] = &[];
