//! Daemons that keep an outdated configuration: each test makes one source of new versions fail.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use crate::faults::{Fault, ScheduledFault};
use crate::run::{SoakRun, daemon_count};
use crate::support::proxy::LinkFault;
use crate::support::store::StoreFault;

/// Time after which all daemons have a planner and open connections.
const WARM_UP: Duration = Duration::from_secs(2);

/// Time after the end of a fault from which a daemon counts as in contact again.
const TIME_TO_CONTACT: Duration = Duration::from_millis(3_500);

/// Runs `scenario` with a few daemons and checks what they answered.
async fn assert_configuration_is_current(seed: u64, scenario: impl AsyncFnOnce(&Arc<SoakRun>)) {
    assert_configuration_is_current_on(daemon_count(), seed, scenario).await;
}

/// Runs `scenario` and checks what the daemons answered, from the beginning until some time after
/// the last fault.
async fn assert_configuration_is_current_on(
    daemons: usize,
    seed: u64,
    scenario: impl AsyncFnOnce(&Arc<SoakRun>),
) {
    let run = SoakRun::start_without_versions(seed, daemons).await;
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
        let turn_away = Fault::TurnAway(1, LinkFault::Reset);
        let writing = async {
            for _ in 0..3 {
                tokio::time::sleep(Duration::from_millis(700)).await;
                run.operator.write_next();
            }
        };
        tokio::join!(inject(run, turn_away, Duration::from_secs(12)), writing);
    })
    .await;
}

/// The store turns all daemons but one away while another one is suspended. Guards against a version
/// that spreads among the daemons more slowly than it has to become active.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_reaches_all_daemons_that_the_store_turns_away() {
    const DAEMONS: usize = 8;
    assert_configuration_is_current_on(DAEMONS, 9_105, async |run| {
        let rejections = [
            LinkFault::Reset,
            LinkFault::Silent,
            LinkFault::BlocksReplies,
            LinkFault::Answers(503),
        ];
        for rejection in rejections {
            let duration = Duration::from_millis(4_500);
            let turned_away = (1..DAEMONS - 1)
                .map(|daemon| inject(run, Fault::TurnAway(daemon, rejection), duration));
            let suspended = inject(run, Fault::Pause(DAEMONS - 1), duration);
            let writing = async {
                for delay_ms in [200, 1_000] {
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    run.operator.write_next();
                }
            };
            tokio::join!(join_all(turned_away), suspended, writing);
            tokio::time::sleep(TIME_TO_CONTACT).await;
        }
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
