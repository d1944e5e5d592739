//! What counts as the end of an attempt: calls that arrive late, workers that restart or answer slowly.

use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_standin::faults::batch;
use agatesill_standin::workers::WorkerFaults;

use super::cluster::{Cluster, WAIT_TIMEOUT, job};

const WORKER_IDS: [WorkerId; 6] = [1, 2, 3, 101, 102, 103];

/// Delay of a start, far longer than a lease of the settings.
const START_DELAY_MS: u64 = 4_000;

fn set_all(cluster: &Cluster, faults: &WorkerFaults) {
    WORKER_IDS.iter().for_each(|id| cluster.harness.workers.set_faults(*id, faults.clone()));
}

async fn until(what: &str, mut is_true: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !is_true().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Submits a job of one task and returns its worker once the worker has been sent the start.
async fn submit_with_late_start(cluster: &Cluster, id: &str, delay_ms: u64) -> WorkerId {
    cluster.submit(0, &job("first", 1, 10)).await;
    cluster.await_outcome(0, "first").await;
    set_all(cluster, &WorkerFaults { delay_starts_ms: delay_ms, ..WorkerFaults::default() });
    cluster.submit(0, &job(id, 1, 6_000)).await;
    let mut worker = None;
    until("the task is placed", async || {
        worker = cluster.show(0, id).await.tasks[0].worker;
        worker.is_some()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    set_all(cluster, &WorkerFaults::default());
    worker.unwrap()
}

/// Guards against a task that is placed on the same unreachable worker again and again while others are
/// free.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_worker_gets_no_more_attempts() {
    let cluster = Cluster::start(1).await;
    let worker = submit_with_late_start(&cluster, "moved", START_DELAY_MS).await;
    let unreachable = WorkerFaults { unreachable: true, ..WorkerFaults::default() };
    cluster.harness.workers.set_faults(worker, unreachable);
    let status = cluster.await_outcome(0, "moved").await;
    assert!(status.tasks[0].attempt <= 3, "{status:?}");
}

/// Guards against a start that arrives after its attempt was declared lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_start_of_a_lost_attempt_does_not_run() {
    let cluster = Cluster::start(1).await;
    let worker = submit_with_late_start(&cluster, "late", START_DELAY_MS).await;
    let unreachable = WorkerFaults { unreachable: true, ..WorkerFaults::default() };
    cluster.harness.workers.set_faults(worker, unreachable);
    assert_eq!(cluster.await_outcome(0, "late").await.outcome, "done");
    let audit = cluster.harness.workers.audit();
    let first_attempts = audit.attempts["late/0"].iter().filter(|record| record.attempt == 1);
    assert_eq!((audit.double_runs, first_attempts.count()), (0, 0));
}

/// Guards against a start that arrives after its worker has restarted and forgotten that the attempt
/// was stopped.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_start_does_not_run_on_a_restarted_worker() {
    let cluster = Cluster::start(1).await;
    // The restarted worker's clock then reads less than that of the former process.
    tokio::time::sleep(Duration::from_millis(START_DELAY_MS)).await;
    let worker = submit_with_late_start(&cluster, "late", START_DELAY_MS).await;
    until("the next attempt is placed", async || {
        cluster.show(0, "late").await.tasks[0].attempt >= 2
    })
    .await;
    cluster.harness.workers.restart(worker);
    assert_eq!(cluster.await_outcome(0, "late").await.outcome, "done");
    let audit = cluster.harness.workers.audit();
    let first_attempts = audit.attempts["late/0"].iter().filter(|record| record.attempt == 1);
    assert_eq!((audit.double_runs, first_attempts.count()), (0, 0));
}

/// Guards against renewals that arrive late and extend a lease beyond the owner's reckoning.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_renewals_do_not_outlast_the_owners_reckoning() {
    let mut base = batch::settings();
    base.cells.values_mut().for_each(|cell| cell.attempt_lease_ms = 4_000);
    let cluster = Cluster::start_with(1, base).await;
    cluster.submit(0, &job("moved", 1, 20_000)).await;
    let mut worker = None;
    until("the task runs", async || {
        worker = cluster.show(0, "moved").await.tasks[0].worker;
        cluster.harness.workers.audit().starts == 1
    })
    .await;
    let late = WorkerFaults { delay_calls_ms: 3_600, ..WorkerFaults::default() };
    cluster.harness.workers.set_faults(worker.unwrap(), late);
    until("the task runs elsewhere", async || cluster.harness.workers.audit().starts == 2).await;
    assert_eq!(cluster.harness.workers.audit().double_runs, 0);
}

/// Guards against starts that wait behind slow answers of the same round until their attempts count as
/// lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn starts_behind_slow_answers_are_not_sent_late() {
    let cluster = Cluster::start(1).await;
    cluster.submit(0, &job("first", 1, 10)).await;
    cluster.await_outcome(0, "first").await;
    let slow = WorkerFaults { slow_ms: 500, ..WorkerFaults::default() };
    for id in [1, 101] {
        cluster.harness.workers.set_faults(id, slow.clone());
    }
    cluster.submit(0, &job("many", 24, 1_000)).await;
    assert_eq!(cluster.await_outcome(0, "many").await.outcome, "done");
    let audit = cluster.harness.workers.audit();
    assert_eq!((audit.double_runs, audit.overcommitted), (0, 0));
}
