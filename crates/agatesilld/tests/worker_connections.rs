//! Connections to workers before a planner that does not handle their answers.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use agatesill_platform::{settings, store};
use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{Fleet, FleetBounds, WorkerEntry};
use agatesilld::fleet::daemon_state::DaemonState;
use agatesilld::fleet::metrics::FleetMetrics;
use agatesilld::fleet::planner::Answer;
use agatesilld::fleet::worker_connections::WorkerConnections;
use support::settings::ListenAddrs;
use support::store::FakeStore;
use support::worker::FakeWorker;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

struct Connected {
    answers: mpsc::Receiver<Answer>,
    stop: CancellationToken,
    _connections: WorkerConnections,
}

/// Opens the connections to one worker that answers polls.
async fn connect() -> Connected {
    let stop = CancellationToken::new();
    let (fake_store, store_addr) = FakeStore::start(&stop).await;
    let worker = FakeWorker::start("w1", &fake_store, &stop).await;
    let addrs = ListenAddrs::allocate().await;
    let text = support::settings::daemon("d1", &addrs, store_addr, 0.5);
    let settings = settings::decode(&text).unwrap();
    let metrics = FleetMetrics::new().unwrap();
    let daemon = Arc::new(DaemonState::new(settings, store::store(store_addr), metrics));
    // Only an owner whose ownership was confirmed renews leases.
    daemon.confirmed_us.store(daemon.clock.now_us(), Ordering::Release);
    let bounds = FleetBounds { lease_max_ms: 10_000, harm_ms: 5_000, drain_ms: 4_000 };
    let mut fleet = Fleet::new(bounds);
    let index = fleet.worker_listed(entry(&worker), daemon.clock.now_us());
    let (sender, answers) = mpsc::channel(1_024);
    let tasks = TaskTracker::new();
    let mut connections = WorkerConnections::new(daemon, 1, sender, stop.clone(), tasks);
    connections.open(index, fleet.worker(index));
    Connected { answers, stop, _connections: connections }
}

fn entry(worker: &FakeWorker) -> WorkerEntry {
    WorkerEntry {
        id: worker.id.clone(),
        address: worker.addr.to_string(),
        service: "pricing".to_owned(),
        zone: "a".to_owned(),
        rack: String::new(),
        labels: Vec::new(),
        capacity: Resources::default(),
        is_leaving: false,
        leaves_in_ms: 0,
        cold_ms: 0,
        revision: 1,
    }
}

/// Guards against answers to polls that pile up before a planner that lacks processor time, and
/// against leases that lapse meanwhile.
#[tokio::test]
async fn unhandled_answers_slow_down_polls_but_do_not_stop_them() {
    let Connected { mut answers, stop, _connections } = connect().await;
    let begin = Instant::now();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let elapsed_s = begin.elapsed().as_secs_f64();
    let count = answers.len();
    assert!(count as f64 <= 1.0 + elapsed_s, "{count} answers wait after {elapsed_s} s");
    assert!(count >= 3, "{count} answers wait after {elapsed_s} s");
    while answers.try_recv().is_ok() {}
    stop.cancel();
}

/// Guards against polls that wait although the planner has handled the answer before.
#[tokio::test]
async fn handled_answers_do_not_delay_polls() {
    let Connected { mut answers, stop, _connections } = connect().await;
    let begin = Instant::now();
    for _ in 0..5 {
        drop(answers.recv().await.unwrap());
    }
    // Five polls wait for an end for half a second each, at most.
    assert!(begin.elapsed() < Duration::from_millis(3_500), "{:?}", begin.elapsed());
    stop.cancel();
}

/// Guards against leases of a predecessor that lapse after a takeover: the first poll cannot request
/// a lease, and the second one waits until the planner has handled the first.
#[tokio::test]
async fn first_lease_is_requested_before_the_first_answer_is_handled() {
    let Connected { answers, stop, _connections } = connect().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(answers.len() >= 2, "{} answers after half a second", answers.len());
    stop.cancel();
}
