//! Daemons that keep an outdated configuration: each test makes one source of new versions fail.

use std::sync::Arc;
use std::time::Duration;

use crate::faults::{Fault, ScheduledFault};
use crate::run::SoakRun;
use crate::support::store::StoreFault;

/// Time after which all daemons have a planner and open connections.
const WARM_UP: Duration = Duration::from_secs(2);

/// Runs `scenario` and checks what the daemons answered, from the beginning until some time after
/// the last fault.
async fn assert_configuration_is_current(seed: u64, scenario: impl AsyncFnOnce(&Arc<SoakRun>)) {
    let run = SoakRun::start_without_versions(seed).await;
    let traffic = tokio::spawn({
        let run = run.clone();
        async move { run.traffic(Duration::from_secs(6)).await }
    });
    tokio::time::sleep(WARM_UP).await;
    scenario(&run).await;
    traffic.await.unwrap();
    let violations = run.settle().await;
    let shown: Vec<&str> = violations.iter().take(6).map(String::as_str).collect();
    assert!(
        violations.is_empty(),
        "{} violations, logs in {}:\n  {}",
        violations.len(),
        run.folder.display(),
        shown.join("\n  ")
    );
    drop(std::fs::remove_dir_all(&run.folder));
}

async fn inject(run: &Arc<SoakRun>, fault: Fault, duration: Duration) {
    run.clone().inject(ScheduledFault { at: Duration::ZERO, duration, fault }).await;
}

/// Watches report nothing while a version is written, and then go on after it. Guards against a
/// version that the watch skips, so that the daemon keeps the older one until the next is written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_that_the_watch_skips_is_applied() {
    assert_configuration_is_current(9_101, async |run| {
        let writing = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            run.operator.write_next();
        };
        let deaf = Fault::Store(StoreFault::DeafWatches);
        tokio::join!(inject(run, deaf, Duration::from_millis(1_700)), writing);
    })
    .await;
}

/// The store resets the connections of one daemon and serves the others and the operator. Guards
/// against a daemon that answers by an older version for as long as the store turns it away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_the_store_turns_away_applies_new_versions() {
    assert_configuration_is_current(9_102, async |run| {
        let writing = async {
            for _ in 0..3 {
                tokio::time::sleep(Duration::from_millis(700)).await;
                run.operator.write_next();
            }
        };
        tokio::join!(inject(run, Fault::TurnAway(1), Duration::from_secs(12)), writing);
    })
    .await;
}

/// The open connections to the store go silent. Guards against calls that wait for one of them after
/// the other, so that a version arrives later than a new connection would deliver it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_do_not_delay_a_version() {
    assert_configuration_is_current(9_103, async |run| {
        for _ in 0..3 {
            inject(run, Fault::SilenceOpenConnections, Duration::ZERO).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            run.operator.write_next();
            tokio::time::sleep(Duration::from_millis(4_500)).await;
        }
    })
    .await;
}

/// A watch gets no reply while no other call fails. Guards against timeouts that add up to more than
/// the time allowed for a version to become active.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_reply_to_a_watch_does_not_delay_a_version() {
    assert_configuration_is_current(9_104, async |run| {
        for _ in 0..4 {
            run.store.stall_watches("op/config");
            tokio::time::sleep(Duration::from_millis(300)).await;
            run.operator.write_next();
            tokio::time::sleep(Duration::from_millis(3_500)).await;
            run.store.stall_watches("");
            tokio::time::sleep(Duration::from_millis(1_500)).await;
        }
    })
    .await;
}
