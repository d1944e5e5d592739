//! Runs ten fixed seeds of random request faults; `agatesill-bench request-faults --seeds 1-200`
//! runs more.

use std::path::Path;

use agatesill_standin::faults::{requests, run_seed};

async fn run(seeds: std::ops::RangeInclusive<u64>) {
    let binary = Path::new(env!("CARGO_BIN_EXE_agatesilld"));
    for seed in seeds {
        let limits = requests::limits();
        let report = run_seed(seed, &limits, |schedule| requests::run(binary, schedule)).await;
        assert!(report.violations.is_empty(), "seed {seed}: {report:#?}");
    }
}

/// Daemons crash or pause, the store is unavailable, upstreams crash during a response, lose
/// responses or leave, and callers retry at the daemon that the load balancer picks. No decision
/// may run twice, no `not run` may be false, and no wrong or truncated response may look complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn decisions_run_at_most_once_under_faults() {
    run(1..=5).await;
}

/// Five more seeds of the at-most-once test above, run in parallel to its first five.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn decisions_run_at_most_once_under_faults_of_more_seeds() {
    run(6..=10).await;
}
