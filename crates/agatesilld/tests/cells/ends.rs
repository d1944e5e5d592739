//! What counts as the end of an attempt, and where the next one runs.

use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
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
