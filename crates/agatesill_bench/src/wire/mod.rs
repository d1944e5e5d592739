//! Measurements of the request path with real daemons.

use crate::scenario::Scenario;

/// The scenarios of this module.
pub const SCENARIOS: &[Scenario] = &[];
