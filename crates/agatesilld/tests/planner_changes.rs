//! Workers that are lost for good while the planner changes, with daemons as processes of their own.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

#[allow(dead_code)] // The soak test uses the rest.
#[path = "fleet_soak/daemon.rs"]
mod daemon;
#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use hyper::Method;
use tokio_util::sync::CancellationToken;

use daemon::Daemon;
use support::caller::{Connection, Outcome};
use support::proxy::{LinkFault, Proxy};
use support::settings::{self, Step, TaskFault};
use support::simulated_workers::SimulatedWorkers;
use support::store::FakeStore;
use support::wait_until;
use support::worker::FakeWorker;

const JOB: &str = "00000000000000e1";

const DAEMONS: usize = 3;
const WORKERS: usize = 8;
const LOST_WORKERS: usize = 3;

/// Long-running tasks, several on each worker.
const TASKS: u32 = 24;

/// Longest time without a run after the death of a worker while planners are restarted as planned.
const MAX_AWAY_PLANNED: Duration = Duration::from_secs(7);

/// The same if planners are killed or never come back.
const MAX_AWAY_UNPLANNED: Duration = Duration::from_secs(10);

/// Time for which a killed planner is down.
const DOWNTIME: Duration = Duration::from_millis(500);

/// Time after which the series of changes ends.
const SERIES_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which the tasks of lost workers are no longer waited for.
const MAX_OBSERVATION: Duration = Duration::from_secs(45);

/// What happens to the planner's process.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// It is stopped as planned and started again.
    Restarted,
    /// It is killed and started again after [`DOWNTIME`].
    Killed,
    /// It is killed for good, once.
    Gone,
    /// It makes no progress any more and its connections stay open, once.
    Frozen,
}

/// Workers that are lost for good, and changes of the planner after that.
#[derive(Clone, Copy, Debug)]
struct Series {
    change: Change,
    /// Time from the loss of the workers to the first change.
    first: Duration,
    /// Time from one change to the next.
    interval: Duration,
    /// How the addresses of the lost workers behave.
    workers: LinkFault,
}

impl Series {
    fn new(change: Change, first_ms: u64, interval_ms: u64, workers: LinkFault) -> Self {
        let [first, interval] = [first_ms, interval_ms].map(Duration::from_millis);
        Self { change, first, interval, workers }
    }

    fn max_away(&self) -> Duration {
        if self.change == Change::Restarted { MAX_AWAY_PLANNED } else { MAX_AWAY_UNPLANNED }
    }
}

struct Cluster {
    store: Arc<FakeStore>,
    daemons: Vec<Daemon>,
    state: Arc<SimulatedWorkers>,
    workers: Vec<(Arc<FakeWorker>, Proxy)>,
    folder: std::path::PathBuf,
    stop: CancellationToken,
}

impl Cluster {
    async fn start(name: &str) -> Self {
        let stop = CancellationToken::new();
        let (store, store_addr) = FakeStore::start(&stop).await;
        store.put("op/config", &settings::config(3, &[settings::queue("desk", 0)]));
        // No planner before the first one is waited for.
        store.put("planners", "[]");
        let folder = std::env::temp_dir().join(format!("planner-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let state = Arc::new(SimulatedWorkers::new(true));
        let mut workers = Vec::new();
        for number in 0..WORKERS {
            let id = format!("w{number}");
            let worker = FakeWorker::serve(&id, state.clone(), &stop).await;
            let link = Proxy::start(worker.addr, &stop).await;
            worker.register(&store, link.addr, "ready");
            workers.push((worker, link));
        }
        let mut daemons = Vec::new();
        for number in 1..=DAEMONS {
            let name = format!("entry-{number}");
            daemons.push(Daemon::prepare(&folder, &name, store_addr, 0.5, None, &stop).await);
        }
        daemons.iter().for_each(Daemon::start);
        for daemon in &daemons {
            wait_until("the daemon is ready", || daemon.is_ready()).await;
        }
        Self { store, daemons, state, workers, folder, stop }
    }

    async fn submit(&self) {
        let step = Step {
            count: TASKS,
            work_ms: 0,
            cpu_milli: 2_000,
            is_best_effort: false,
            after: Vec::new(),
        };
        self.state.submit(JOB, std::slice::from_ref(&step));
        let body = settings::job(&[step], TaskFault::None);
        let entry = self.daemons[0].listen_addrs.entry;
        wait_until("the job is accepted", || async {
            let mut connection = Connection::new(entry);
            let path = format!("/desk/{JOB}");
            let outcome = connection.call(Method::POST, "desk.example", &path, &body).await;
            matches!(outcome, Outcome::Answered((200, ..)))
        })
        .await;
        wait_until("all tasks run", || async { self.all_run() }).await;
    }

    fn all_run(&self) -> bool {
        self.state.running_tasks(JOB).len() == TASKS as usize
    }

    /// Ends workers with runs for good.
    fn lose_workers(&self, fault: LinkFault) {
        let with_runs =
            self.workers.iter().filter(|(w, _)| self.state.run_count(w.incarnation) > 0);
        for (worker, link) in with_runs.take(LOST_WORKERS) {
            worker.crash();
            link.set(fault);
            self.store.remove(&format!("servers/{}", worker.id));
        }
    }

    fn planner(&self) -> Option<&Daemon> {
        let owner = self.store.text("own/planner")?;
        self.daemons.iter().find(|daemon| daemon.is_named_in(&owner))
    }

    async fn change_planner(&self, change: Change) {
        let Some(planner) = self.planner() else { return };
        match change {
            Change::Restarted => {
                planner.terminate().await;
                planner.start();
            }
            Change::Killed => {
                planner.kill();
                tokio::time::sleep(DOWNTIME).await;
                planner.start();
            }
            Change::Gone => planner.kill(),
            Change::Frozen => planner.signal("STOP"),
        }
    }

    async fn run_series(&self, series: Series, lost_at: Instant) {
        let mut changes = Vec::new();
        let mut at = lost_at + series.first;
        while at < lost_at + SERIES_TIMEOUT {
            changes.push(async move {
                tokio::time::sleep_until(at.into()).await;
                self.change_planner(series.change).await;
            });
            if matches!(series.change, Change::Gone | Change::Frozen) {
                break;
            }
            at += series.interval;
        }
        join_all(changes).await;
        std::future::pending().await
    }
}

/// Time from the loss of workers until all tasks run again, while the planner changes.
async fn time_away(number: usize, series: Series) -> Duration {
    let name = format!("{:?}-{number}", series.change);
    let cluster = Cluster::start(&name).await;
    cluster.submit().await;
    // The planner has seen the runs for longer than a worker that crashes at their start would last.
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.lose_workers(series.workers);
    let lost_at = Instant::now();
    let all_run = async {
        while !cluster.all_run() && lost_at.elapsed() < MAX_OBSERVATION {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::select! {
        () = cluster.run_series(series, lost_at) => {}
        () = all_run => {}
    }
    let away = lost_at.elapsed();
    let double_runs = cluster.state.double_runs();
    assert!(double_runs.is_empty(), "{series:?}: {double_runs:?}");
    assert_eq!(cluster.state.violations(), Vec::<String>::new(), "{series:?}");
    cluster.stop.cancel();
    println!("{series:?}: away for {away:?}");
    if away <= series.max_away() {
        drop(std::fs::remove_dir_all(&cluster.folder));
    }
    away
}

async fn assert_back_in_time(series: &[Series]) {
    let runs = series.iter().enumerate().map(|(number, series)| time_away(number, *series));
    let away = join_all(runs).await;
    let late: Vec<_> =
        series.iter().zip(away).filter(|(series, away)| *away > series.max_away()).collect();
    assert!(late.is_empty(), "without a run for too long: {late:?}");
}

/// Guards against tasks of lost workers that wait anew for a lease at each planned restart of the planner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_restarts_of_the_planner_begin_the_wait_for_lost_workers_anew() {
    assert_back_in_time(&[
        Series::new(Change::Restarted, 2_000, 4_500, LinkFault::Refuses),
        Series::new(Change::Restarted, 500, 2_500, LinkFault::Silent),
        Series::new(Change::Restarted, 1_000, 1_500, LinkFault::Silent),
    ])
    .await;
}

/// Guards against tasks of lost workers that wait anew for a lease whenever the planner is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_planners_begin_the_wait_for_lost_workers_anew() {
    assert_back_in_time(&[
        Series::new(Change::Killed, 2_000, 4_500, LinkFault::Silent),
        Series::new(Change::Killed, 500, 2_500, LinkFault::Refuses),
        Series::new(Change::Killed, 200, 1_500, LinkFault::Silent),
    ])
    .await;
}

/// Guards against a successor that waits from its takeover on for the leases of a planner that is gone for
/// good, in place of from the last renewal of that planner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planner_that_is_gone_for_good_is_waited_for_from_the_takeover_on() {
    assert_back_in_time(&[
        Series::new(Change::Gone, 200, 0, LinkFault::Refuses),
        Series::new(Change::Gone, 1_000, 0, LinkFault::Silent),
        Series::new(Change::Frozen, 200, 0, LinkFault::Silent),
    ])
    .await;
}
