//! Starts of urgent jobs while the planner lacks processor time.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Method;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use support::caller::{Connection, Outcome, call};
use support::jobs;
use support::light_workers::{self, Calls};
use support::settings::{ListenAddrs, config, daemon as daemon_settings, queue};
use support::store::FakeStore;
use support::wait_until;

/// Number of workers, each of which the planner has to poll.
const WORKERS: u32 = 1_100;

/// Tasks of each best-effort job.
const BATCH_TASKS: u64 = 200;

/// Best-effort tasks that always wait: more than the planner can start.
const BACKLOG_TASKS: u64 = 20_000;

/// Starts after which the backlog keeps the planner busy.
const BUSY_STARTS: u64 = 4_000;

/// Urgent jobs, submitted one after the other.
const URGENT_JOBS: usize = 21;

/// Calls for other work between the submission of an urgent job and its first start, for half of the
/// jobs: what a planner of a thousand calls a second makes in the objective of their queue.
const MAX_OTHER_CALLS: u64 = 250;

/// A daemon as a process of its own, so that its one thread is all the processor time it has.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

impl Daemon {
    async fn start(store: SocketAddr) -> (Self, SocketAddr) {
        let addrs = ListenAddrs::allocate().await;
        let settings = daemon_settings("planner", &addrs, store, 0.5)
            .replace("writesPerS: 400", "writesPerS: 3200");
        let path = std::env::temp_dir().join(format!("urgent-starts-{}.yaml", addrs.entry.port()));
        std::fs::write(&path, settings).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_agatesilld"))
            .args(["--platform", "--metrics-port", "0"])
            .env("AGATESILL_NODE_FILE", &path)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let daemon = Self(process);
        wait_until("the daemon is ready", || async {
            let reply = call(addrs.ready, Method::GET, "/agatesill/readyz", "").await;
            reply.is_some_and(|(status, ..)| status == 200)
        })
        .await;
        std::fs::remove_file(&path).unwrap();
        (daemon, addrs.entry)
    }
}

async fn submit(entry: SocketAddr, host: &str, id: &str, body: &str) {
    let outcome = Connection::new(entry).call(Method::POST, host, &format!("/q/{id}"), body).await;
    assert!(matches!(outcome, Outcome::Answered((200, ..))), "{id}: {outcome:?}");
}

/// Keeps [`BACKLOG_TASKS`] best-effort tasks waiting until `stop` is cancelled.
async fn submit_batch(entry: SocketAddr, calls: Arc<Calls>, stop: CancellationToken) {
    let job = jobs::best_effort(BATCH_TASKS, 300);
    let mut jobs = 0;
    while !stop.is_cancelled() {
        if jobs * BATCH_TASKS < calls.starts.load(Ordering::Relaxed) + BACKLOG_TASKS {
            submit(entry, "bills.example", &format!("b{jobs:015x}"), &job).await;
            jobs += 1;
        } else {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Submits urgent jobs one after the other. Returns the other calls before the first start of each,
/// in ascending order.
async fn calls_before_urgent_starts(entry: SocketAddr, calls: &Arc<Calls>) -> Vec<u64> {
    let job = jobs::urgent(8, 100);
    for number in 0..URGENT_JOBS {
        let id = format!("d{number:015x}");
        calls.submitted(&id);
        submit(entry, "desk.example", &id, &job).await;
        wait_until("the urgent job starts", || async { calls.first_starts('d').len() > number })
            .await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let mut calls: Vec<u64> = calls.first_starts('d').iter().map(|first| first.calls).collect();
    calls.sort_unstable();
    calls
}

/// Guards against urgent starts that wait behind the calls for all other work of a planner that lacks
/// processor time.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_starts_wait_behind_other_calls_of_a_busy_planner() {
    let stop = CancellationToken::new();
    let (store, store_addr) = FakeStore::start(&stop).await;
    let mut bills = queue("bills", 2);
    bills["prefix"] = json!("/q/");
    let mut desk = queue("desk", 0);
    desk["prefix"] = json!("/q/");
    store.put("op/config", &config(3, &[desk, bills]));
    let calls = light_workers::start(WORKERS, &store).await;
    let (daemon, entry) = Daemon::start(store_addr).await;
    let feeding = stop.child_token();
    let feeder = tokio::spawn(submit_batch(entry, calls.clone(), feeding.clone()));
    wait_until("the planner is busy", || async {
        calls.starts.load(Ordering::Relaxed) > BUSY_STARTS
    })
    .await;
    let before = calls_before_urgent_starts(entry, &calls).await;
    feeding.cancel();
    feeder.await.unwrap();
    drop(daemon);
    stop.cancel();
    println!("calls before the first starts: {before:?}");
    let half = before[before.len() / 2];
    assert!(half <= MAX_OTHER_CALLS, "{half} calls before half of the first starts");
}
