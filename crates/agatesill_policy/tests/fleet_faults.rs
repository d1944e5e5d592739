//! Runs of the whole scheduler under random faults, then calm.
//!
//! `FLEET_SEEDS` sets the number of seeds, `FLEET_SEED` runs a single one, `FLEET_WORKERS` sets the
//! number of workers, and `FLEET_WITHOUT` lists kinds of faults to leave out. `FLEET_CRASHES_LAST`
//! keeps the crashing tasks until the end, `FLEET_STRICT` does not excuse waits for the leases of lost
//! workers, and `FLEET_TRACE` prints what happens.

mod fleet_support;

use std::env;

use fleet_support::faults::{FaultKinds, FaultSimulation, S};

/// Number of seeds in a regular run; hundreds are run manually.
const DEFAULT_SEEDS: u64 = 30;

/// Number of workers in a regular run.
const DEFAULT_WORKERS: u32 = 40;

/// Time after the end of all faults for which jobs are checked.
const CALM_US: u64 = 14 * S;

fn number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

fn kinds() -> FaultKinds {
    let without = env::var("FLEET_WITHOUT").unwrap_or_default();
    let has = |name| !without.split(',').any(|other| other == name);
    FaultKinds {
        crashes: has("crashes"),
        crashes_last: env::var_os("FLEET_CRASHES_LAST").is_some(),
        moves: has("moves"),
        other_crashes: has("other_crashes"),
        shrinks: has("shrinks"),
        cuts: has("cuts"),
        orders: has("orders"),
        transactions: has("transactions"),
        outages: has("outages"),
        takeovers: has("takeovers"),
        orphans: has("orphans"),
    }
}

/// Guards against an accepted job that could run and does not once all faults have ended, and
/// against duplicate runs and failures without a cause until then.
#[test]
fn accepted_jobs_run_once_all_faults_have_ended() {
    let seeds = match number("FLEET_SEED") {
        Some(seed) => seed..seed + 1,
        None => {
            let from = number("FLEET_FROM").unwrap_or(1);
            from..from + number("FLEET_SEEDS").unwrap_or(DEFAULT_SEEDS)
        }
    };
    let workers = number("FLEET_WORKERS").map_or(DEFAULT_WORKERS, |workers| workers as u32);
    let mut broken = Vec::new();
    for seed in seeds {
        let mut simulation = FaultSimulation::new(seed, workers, kinds());
        simulation.is_traced = env::var_os("FLEET_TRACE").is_some();
        simulation.excuses_leases = env::var_os("FLEET_STRICT").is_none();
        simulation.run(CALM_US);
        broken.extend(simulation.broken.iter().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(broken.is_empty(), "{} broken:\n{}", broken.len(), broken.join("\n"));
}
