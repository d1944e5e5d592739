//! A short fixed set of randomised fault runs with real daemon processes.
//!
//! `agatesill-bench faults --seeds A-B` runs larger sets; `docs/TESTING.md` describes how to
//! reproduce one.

use std::path::Path;

use agatesill_standin::faults::{Schedule, batch};
use futures::stream::{StreamExt, iter};

/// Seeds that together cover every kind of fault.
const SEEDS: [u64; 10] = [1, 2, 3, 5, 7, 8, 10, 13, 15, 18];

/// Concurrent runs; each has three daemons that are mostly idle.
const MAX_CONCURRENT_RUNS: usize = 3;

/// Daemons are killed, paused and partitioned, the store is unavailable, answers are lost and
/// leases end early, alone, together or twice, while jobs are submitted, cancelled, throttled and
/// evicted. Afterwards the workers' audit log must show no task in two places, no worker beyond its
/// capacity, evicted work resumed once, and one outcome for every accepted job.
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
        .buffer_unordered(MAX_CONCURRENT_RUNS)
        .filter_map(|(good, text)| async move { (!good).then_some(text) })
        .collect()
        .await;
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}
