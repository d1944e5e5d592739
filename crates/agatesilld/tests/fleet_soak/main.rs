//! Randomised faults on real daemon processes with a fake store and fake workers that speak the
//! platform's protocol.
//!
//! `FLEET_SOAK_SEEDS=1-50 cargo test -p agatesilld --test fleet_soak -- --nocapture seeds_by_hand`
//! runs more seeds; `docs/TESTING.md` says how to trace a seed.

#![allow(clippy::unwrap_used)] // Tests panic when an assumption does not hold.

mod callers;
mod config_probe;
mod crowds;
mod daemon;
mod double_runs;
mod faults;
mod gaps;
mod history;
mod load_callers;
mod operator;
mod refusals;
mod run;
mod stale_config;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;
mod withdrawals;

use std::time::Duration;

use futures::stream::{StreamExt, iter};

use self::faults::{FAULT_PERIOD, long_schedule};
use self::gaps::{Loss, longest_start_gap};
use self::run::{SoakRun, daemon_count, run_schedule, worker_count};
use self::support::store::StoreFault;

/// Seeds of the short set. Together they draw every kind of fault: seed 4 has planned maintenance
/// only, 1,001 closes a zone, 2,001 has tasks that crash their workers and workers with reduced
/// capacity, 3,001 and 3,002 have faults of the watches on the store, 4,002 one daemon that the store
/// serves alone, 5,005 more long-running jobs than the workers hold, 10,001 and 10,003 workers that are
/// back under their identifier or at their address, late entries and numbers at their limits, 11,002
/// to 11,004 workers that live on behind cuts, flap, or restart unnoticed, beside changes of the
/// planner, 12,000 to 12,003 workers that are lost for good beside planners that are restarted as planned,
/// killed, suspended and cut off in series, 13,001 and 13,002 clients outside the limits of the interface, 14,000 to 14,002 callers that leave
/// and cancel while the store is slow or late. Seed 46 covers a start that is unanswered, rejected when it is sent again, and executed
/// late.
const SEEDS: [u64; 24] = [
    1, 2, 3, 4, 46, 1_001, 2_001, 3_001, 3_002, 4_002, 5_005, 10_001, 10_003, 11_002, 11_003,
    11_004, 12_000, 12_001, 12_003, 13_001, 13_002, 14_000, 14_001, 14_002,
];

/// Concurrent runs. Each has three daemons that are mostly idle.
const CONCURRENT_RUNS: usize = 4;

/// Concurrent losses of the planner whose effect is measured.
const CONCURRENT_LOSSES: usize = 6;

/// Maximum number of violations shown for one run.
const MAX_SHOWN_VIOLATIONS: usize = 12;

/// Runs the schedules of the seeds and returns a report of each failed run.
async fn soak(seeds: impl IntoIterator<Item = u64>, concurrent_runs: usize) -> Vec<String> {
    let runs = iter(seeds).map(|seed| async move {
        let scheduled_faults = faults::schedule(seed, daemon_count(), worker_count(seed));
        let (violations, folder) = run_schedule(seed, &scheduled_faults, FAULT_PERIOD).await;
        if violations.is_empty() {
            drop(std::fs::remove_dir_all(&folder));
            println!("seed {seed}: passed");
            return None;
        }
        let shown: Vec<&str> =
            violations.iter().take(MAX_SHOWN_VIOLATIONS).map(String::as_str).collect();
        let report = format!(
            "seed {seed}, logs in {}:\n  {} violations:\n  {}\n  faults: {scheduled_faults:#?}",
            folder.display(),
            violations.len(),
            shown.join("\n  ")
        );
        println!("{report}");
        Some(report)
    });
    runs.buffer_unordered(concurrent_runs).filter_map(|report| async { report }).collect().await
}

/// Daemons are killed, paused and stopped as planned; the store is unavailable or slow, loses
/// answers and revokes keys; connections are reset or silent in one or both directions; workers
/// crash, leave, hang and execute orders late. Faults occur alone, together and repeatedly, while
/// callers submit jobs on persistent connections. No task may run twice at once or after its end,
/// none may be lost, and each caller must get correct answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fixed_seeds_cause_no_violations() {
    let failed = soak(SEEDS, CONCURRENT_RUNS).await;
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}

/// A daemon is stopped as planned. Guards against a process that ends before its last log line is
/// written: a planned stop would look like a crash to an engineer who looks for the reason why
/// callers were sent to other daemons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_daemon_logs_start_stop_and_stopped_once() {
    let run = SoakRun::start(9_001).await;
    assert!(run.daemons[1].terminate().await);
    for event in ["start", "stop", "stopped"] {
        assert_eq!(run.daemons[1].log_lines(event).len(), 1, "{event}");
    }
    drop(std::fs::remove_dir_all(&run.folder));
}

/// The store is unavailable for two seconds. Every daemon, also those that do not plan, must log
/// the loss and the return exactly once each, so that a refused request can be explained by the log
/// of the daemon that refused it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_daemon_logs_loss_and_return_of_the_store_once() {
    let run = SoakRun::start(9_002).await;
    run.store.set_fault(StoreFault::Refuses);
    tokio::time::sleep(Duration::from_secs(2)).await;
    run.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for daemon in &run.daemons {
        for event in ["dependency_lost", "dependency_back"] {
            let logged = daemon.log_lines(event);
            let of_store = logged.iter().filter(|line| line["dependency"] == "store").count();
            assert_eq!(of_store, 1, "{event} at {}: {logged:?}", daemon.name);
        }
    }
    drop(std::fs::remove_dir_all(&run.folder));
}

/// Runs the seeds that `FLEET_SOAK_SEEDS` names as `FIRST-LAST`; does nothing if it is not set.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn seeds_by_hand() {
    let Ok(range) = std::env::var("FLEET_SOAK_SEEDS") else { return };
    let (first, last) = range.split_once('-').unwrap_or((&range, &range));
    let seeds = first.parse().unwrap()..=last.parse().unwrap();
    let failed = soak(seeds, CONCURRENT_RUNS).await;
    assert!(failed.is_empty(), "{} seeds failed", failed.len());
}

/// Runs `FLEET_SOAK_ROUNDS` rounds of faults one after the other on the same daemons, from the seed
/// `FLEET_SOAK_SEEDS` on; does nothing if it is not set.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rounds_by_hand() {
    let Ok(rounds) = std::env::var("FLEET_SOAK_ROUNDS") else { return };
    let first = std::env::var("FLEET_SOAK_SEEDS").map_or(3_000, |first| first.parse().unwrap());
    let (scheduled_faults, period) =
        long_schedule(first, rounds.parse().unwrap(), daemon_count(), worker_count(first));
    let (violations, folder) = run_schedule(first, &scheduled_faults, period).await;
    let shown = violations.join("\n  ");
    assert!(violations.is_empty(), "seed {first}, logs in {}:\n  {shown}", folder.display());
}

/// Runs as many losses of each kind as `FLEET_GAP_SEEDS` says, and prints the distribution of the
/// time without a start; does nothing if it is not set. `FLEET_GAP_LOSS` selects one kind.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn gaps_by_hand() {
    let Ok(count) = std::env::var("FLEET_GAP_SEEDS") else { return };
    let count: u64 = count.parse().unwrap();
    let only = std::env::var("FLEET_GAP_LOSS").unwrap_or_default();
    let is_wanted = |loss: &Loss| only.is_empty() || format!("{loss:?}") == only;
    for loss in Loss::ALL.into_iter().filter(is_wanted) {
        let runs = iter(1_000..1_000 + count).map(|seed| longest_start_gap(seed, loss));
        let mut gaps: Vec<_> = runs.buffer_unordered(CONCURRENT_LOSSES).collect().await;
        gaps.sort_unstable();
        let at = |percent: usize| gaps[(gaps.len() * percent / 100).min(gaps.len() - 1)];
        println!(
            "{loss:?}: {} losses, p50 {:?}, p90 {:?}, p99 {:?}, max {:?}",
            gaps.len(),
            at(50),
            at(90),
            at(99),
            gaps[gaps.len() - 1]
        );
    }
}
