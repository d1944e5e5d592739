//! Growth of state, messages, processor time and memory by role, for `docs/CAPACITY.md`.
//!
//! Each role runs the production code at several sizes. Store calls and bytes come from the
//! counters of the store stand-in. Bytes and calls are exact for a seed; times and memory depend on
//! the machine.

mod configuration;
mod heartbeats;
mod ledger;
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
    let mut policies = vec![ledger::replay_and_memory(), heartbeats::measure()];
    if let Ok(runtime) = runtime {
        policies.push(runtime.block_on(ledger::group_commit()));
        policies.push(runtime.block_on(configuration::changes()));
    }
    SeedResult { policies, ..SeedResult::default() }
}

/// An empty result for a role.
fn result_for_role(name: &str) -> PolicyResult {
    PolicyResult { policy: name.to_owned(), figures: Default::default(), series: Vec::new() }
}
