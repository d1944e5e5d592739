//! Ten fixed seeds of the request faults; `agatesill-bench request-faults --seeds 1-200` runs more.

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

/// Daemons die or pause, the store is out, upstreams die mid-answer, lose answers or leave, and
/// callers re-send to whichever daemon the balancer picks. No decision runs twice, no `not run`
/// is false, and no wrong or short answer looks whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn decisions_run_at_most_once_under_faults() {
    run(1..=5).await;
}

/// The same for five more seeds, beside the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn decisions_run_at_most_once_under_other_faults() {
    run(6..=10).await;
}
