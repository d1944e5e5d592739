//! Randomised faults over real daemon processes between stand-ins that speak the platform's wire.
//!
//! `FLEET_SOAK_SEEDS=1-50 cargo test -p agatesilld --test fleet_soak -- --nocapture seeds_by_hand`
//! plays more; `docs/TESTING.md` says how a seed is traced.

#![allow(clippy::unwrap_used)] // A broken assumption of a test ends the test.

mod callers;
mod daemon;
mod faults;
mod gaps;
mod run;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

use std::time::Duration;

use futures::stream::{StreamExt, iter};

use self::gaps::{Loss, gap};
use self::run::{DAEMONS, Run, WORKERS, play};
use self::support::store::StoreFault;

/// Seeds of the short set: together they draw every kind of fault, seed 4 has maintenance alone, 1,001
/// closes a zone, 2,001 has tasks that crash their workers and workers with reduced capacity. Seed 46
/// once failed: a start that went unanswered, was rejected when it was sent again, and came late.
const SEEDS: [u64; 7] = [1, 2, 3, 4, 46, 1_001, 2_001];

/// Runs at once: each has three daemons that mostly wait.
const AT_ONCE: usize = 2;

/// Lines of a run's complaints that are shown.
const SHOWN: usize = 12;

/// Plays seeds and returns what went wrong in each.
async fn soak(seeds: impl IntoIterator<Item = u64>, at_once: usize) -> Vec<String> {
    let runs = iter(seeds).map(|seed| async move {
        let strikes = faults::schedule(seed, DAEMONS, WORKERS);
        let (wrong, folder) = play(seed, &strikes).await;
        if wrong.is_empty() {
            drop(std::fs::remove_dir_all(&folder));
            println!("seed {seed}: kept");
            return None;
        }
        let shown: Vec<&str> = wrong.iter().take(SHOWN).map(String::as_str).collect();
        let told = format!(
            "seed {seed}, logs in {}:\n  {} complaints:\n  {}\n  faults: {strikes:#?}",
            folder.display(),
            wrong.len(),
            shown.join("\n  ")
        );
        println!("{told}");
        Some(told)
    });
    runs.buffer_unordered(at_once).filter_map(|told| async { told }).collect().await
}

/// Daemons die, stand still and are stopped as planned, the store goes away, is slow, loses answers
/// and revokes keys, connections are cut one way or silent, workers die, leave, hang and carry orders
/// out late; alone, together and twice, while callers hand jobs in on connections that they keep.
/// No task may run twice at once or after its end, none may be lost, and each caller is told the
/// truth.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fixed_seeds_keep_every_promise() {
    let failed = soak(SEEDS, AT_ONCE).await;
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}

/// A daemon is stopped as planned. The engineer who asks why callers were sent elsewhere looks for its
/// last line; if the process ends before the line is written, a planned stop looks like a crash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_was_stopped_has_said_so() {
    let run = Run::start(9_001).await;
    assert!(run.daemons[1].terminate().await);
    for event in ["start", "stop", "stopped"] {
        assert_eq!(run.daemons[1].lines(event).len(), 1, "{event}");
    }
    drop(std::fs::remove_dir_all(&run.folder));
}

/// The store goes away for two seconds. Every daemon, also those that do not plan, has one line at the
/// loss and one at the return; a refused request is explained by the log of the daemon that refused it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_daemon_tells_once_that_the_store_is_lost_and_back() {
    let run = Run::start(9_002).await;
    run.store.set_fault(StoreFault::Refuses);
    tokio::time::sleep(Duration::from_secs(2)).await;
    run.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for daemon in &run.daemons {
        for event in ["dependency_lost", "dependency_back"] {
            let told = daemon.lines(event);
            let of_store = told.iter().filter(|line| line["dependency"] == "store").count();
            assert_eq!(of_store, 1, "{event} at {}: {told:?}", daemon.name);
        }
    }
    drop(std::fs::remove_dir_all(&run.folder));
}

/// The seeds that `FLEET_SOAK_SEEDS` names as `FIRST-LAST`; none if it is not set.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn seeds_by_hand() {
    let Ok(range) = std::env::var("FLEET_SOAK_SEEDS") else { return };
    let (first, last) = range.split_once('-').unwrap_or((&range, &range));
    let seeds = first.parse().unwrap()..=last.parse().unwrap();
    let failed = soak(seeds, AT_ONCE * 2).await;
    assert!(failed.is_empty(), "{} seeds failed", failed.len());
}

/// How many losses of each kind `FLEET_GAP_SEEDS` asks for; prints the spread of the time without a
/// start. None if it is not set.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn gaps_by_hand() {
    let Ok(count) = std::env::var("FLEET_GAP_SEEDS") else { return };
    let count: u64 = count.parse().unwrap();
    let only = std::env::var("FLEET_GAP_LOSS").unwrap_or_default();
    let is_wanted = |loss: &Loss| only.is_empty() || format!("{loss:?}") == only;
    for loss in Loss::ALL.into_iter().filter(is_wanted) {
        let runs = iter(1_000..1_000 + count).map(|seed| gap(seed, loss));
        let mut gaps: Vec<_> = runs.buffer_unordered(AT_ONCE * 3).collect().await;
        gaps.sort_unstable();
        let at = |percent: usize| gaps[(gaps.len() * percent / 100).min(gaps.len() - 1)];
        println!(
            "{loss:?}: {} losses, half within {:?}, 9 in 10 within {:?}, p99 {:?}, most {:?}",
            gaps.len(),
            at(50),
            at(90),
            at(99),
            gaps[gaps.len() - 1]
        );
    }
}
