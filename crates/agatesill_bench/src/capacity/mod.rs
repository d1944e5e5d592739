//! Slopes of state, messages, processor time and memory by role, for `docs/CAPACITY.md`.
//!
//! Each role is measured at several sizes with the product's own code and, where the store takes
//! part, against the stand-in's own books. Bytes and calls are exact for a seed; times and memory
//! are those of the machine.

mod configuration;
mod ledger;
mod links;
mod slope;

use crate::result::{PolicyResult, SeedResult};
use crate::scenario::{Kind, Scenario};

/// The scenarios of this module.
pub const SCENARIOS: &[Scenario] = &[Scenario {
    name: "scale",
    pattern: "each role at several sizes: group commit at 25-400 starts/s, ledgers of 1,000-16,000 \
              tasks, heartbeats of 8-128 daemons, configurations of 50-800 entries",
    bounds: "none; figures and slopes for docs/CAPACITY.md",
    kind: Kind::Real(run),
}];

fn run(_seed: u64) -> SeedResult {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let mut policies = vec![ledger::replay_and_memory(), links::heartbeats()];
    if let Ok(runtime) = runtime {
        policies.push(runtime.block_on(ledger::group_commit()));
        policies.push(runtime.block_on(configuration::changes()));
    }
    SeedResult { policies, ..SeedResult::default() }
}

/// An empty result for a role.
fn role(name: &str) -> PolicyResult {
    PolicyResult { policy: name.to_owned(), figures: Default::default(), series: Vec::new() }
}
