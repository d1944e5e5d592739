//! The short fixed set of randomised fault runs over real daemon processes.
//!
//! `agatesill-bench faults --seeds A-B` runs long sets; `docs/TESTING.md` says how to replay one.

use std::path::Path;

use agatesill_standin::faults::{Schedule, batch};
use futures::stream::{StreamExt, iter};

/// Seeds of the fixed set: together they draw every kind of fault.
const SEEDS: [u64; 10] = [1, 2, 3, 5, 7, 8, 10, 13, 15, 18];

/// Runs at once; each has three daemons that mostly wait.
const AT_ONCE: usize = 3;

/// Daemons die, are paused and cut off, the store goes away, answers are lost and leases end early,
/// alone, together or twice, while jobs are submitted, cancelled, throttled and evicted. Afterwards
/// the workers' books must show no task in two places, no worker beyond its capacity, evicted work
/// resumed once, and every accepted job with one outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fixed_seeds_keep_every_invariant() {
    let binary = Path::new(env!("CARGO_BIN_EXE_agatesilld"));
    let limits = batch::limits();
    let runs = iter(SEEDS).map(|seed| {
        let schedule = Schedule::generate(seed, &limits);
        async move {
            let report = batch::run(binary, schedule.clone()).await;
            (report.violations.is_empty(), report.text(&schedule))
        }
    });
    let failed: Vec<String> = runs
        .buffer_unordered(AT_ONCE)
        .filter_map(|(good, text)| async move { (!good).then_some(text) })
        .collect()
        .await;
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}
