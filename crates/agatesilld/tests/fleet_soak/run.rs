//! One run with daemons, workers, callers and faults, and the verification at its end.

use std::collections::HashSet;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::future::join_all;
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio_util::sync::CancellationToken;

use crate::callers::{Callers, RequestOutcome, Submission};
use crate::config_probe::{CALM_PERIOD, ConfigProbe};
use crate::crowds::crowd;
use crate::daemon::Daemon;
use crate::faults::{self, Fault, Restart, ScheduledFault};
use crate::history::FaultHistory;
use crate::operator::Operator;
use crate::refusals;
use crate::support::proxy::{LinkFault, Proxy};
use crate::support::settings;
use crate::support::simulated_workers::{CPU_MILLI, SimulatedWorkers, WorkerFault};
use crate::support::store::{FakeStore, StoreFault};
use crate::support::worker::FakeWorker;
use crate::withdrawals;

/// Processor shares of the daemons, in turn. One is smaller, so that planning also moves for that
/// reason.
const CPU_SHARES: [f64; 3] = [0.5, 0.1, 0.5];

const WORKERS: usize = 6;

/// Number of workers of runs in which workers restart while idle.
const WORKERS_WITH_IDLE_ONES: usize = 12;

/// Number of workers of the run of a seed.
pub fn worker_count(seed: u64) -> usize {
    if faults::has_live_workers(seed) { WORKERS_WITH_IDLE_ONES } else { WORKERS }
}

/// Number of daemons of a run: `FLEET_SOAK_DAEMONS`, or one for each processor share.
pub fn daemon_count() -> usize {
    std::env::var("FLEET_SOAK_DAEMONS").map_or(CPU_SHARES.len(), |count| count.parse().unwrap())
}

/// Maximum time until everything is in order after the last fault. The planner waits for a worker
/// that was cut off until its longest lease of ten seconds has expired.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Additional settling time of runs with tasks that crash their workers: such a task may be started
/// five times, and each lost run is released only after the worker's lease of five seconds.
const CRASH_SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the last renewal at which a worker's entry is removed from the store.
const ENTRY_TTL: Duration = Duration::from_millis(1_500);

/// Delay after which a worker that was crashed by a task is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Interval between checks for workers that were crashed by tasks.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Milliseconds between two versions of the configuration. After a long interval a version that a
/// daemon has missed is not made up for by the next one.
const SHORT_VERSION_INTERVAL_MS: std::ops::Range<u64> = 300..2_500;
const LONG_VERSION_INTERVAL_MS: std::ops::Range<u64> = 4_000..9_000;

/// Interval between versions in quick succession.
const RAPID_VERSION_INTERVAL: Duration = Duration::from_millis(330);

/// Time for which the load lasts after the last fault of a run with load control: until a planner knows
/// whether all daemons can refuse jobs, and some more.
const LOAD_AFTER_FAULTS: Duration = Duration::from_secs(5);

/// Jobs submitted per second.
pub const JOBS_PER_S: u32 = 8;

/// Durations for which the address of a worker refuses and accepts connections by turns.
const FLAP_REFUSED: Duration = Duration::from_millis(600);
const FLAP_ACCEPTED: Duration = Duration::from_millis(300);

/// Times of the steps in which an incarnation of a worker follows another one.
#[derive(Clone, Copy)]
struct Succession {
    downtime: Duration,
    /// From the start of the new incarnation to its first entry.
    entry_delay: Duration,
    /// From that entry until the former one is written once more, if it is.
    late_entry_delay: Option<Duration>,
    /// Whether open connections are closed at once, as when a process ends on a host that runs on.
    closes_connections: bool,
}

impl Succession {
    /// The steps spread over a time, with a late entry.
    fn within(duration: Duration) -> Self {
        Self {
            downtime: duration / 4,
            entry_delay: duration / 4,
            late_entry_delay: Some(duration / 2),
            closes_connections: false,
        }
    }

    /// Like [`Succession::within`], with a process that is back soon.
    fn quick_within(duration: Duration) -> Self {
        Self {
            downtime: duration / 16,
            entry_delay: duration / 16,
            late_entry_delay: Some(duration * 7 / 8),
            closes_connections: true,
        }
    }
}

/// A slot for consecutive incarnations of a worker, each behind its own proxy.
struct WorkerSlot {
    name: String,
    incarnations: AtomicU64,
    current: Mutex<(Arc<FakeWorker>, Arc<Proxy>)>,
}

pub struct SoakRun {
    pub seed: u64,
    pub folder: PathBuf,
    pub daemons: Vec<Arc<Daemon>>,
    pub store: Arc<FakeStore>,
    pub simulated_workers: Arc<SimulatedWorkers>,
    pub callers: Arc<Callers>,
    pub history: Arc<FaultHistory>,
    pub operator: Arc<Operator>,
    config_probe: Arc<ConfigProbe>,
    slots: Vec<WorkerSlot>,
    stop: CancellationToken,
    problems: Mutex<Vec<String>>,
    /// Number of jobs submitted that fit no worker.
    extreme_jobs: AtomicU64,
}

impl SoakRun {
    /// Starts everything, waits until all daemons are ready, and lets an operator write versions of
    /// the configuration.
    pub async fn start(seed: u64) -> Arc<Self> {
        let run = Self::start_without_versions(seed, daemon_count()).await;
        tokio::spawn(run.clone().write_versions());
        run
    }

    /// Starts everything, with this number of daemons, and waits until all daemons are ready.
    pub async fn start_without_versions(seed: u64, daemon_count: usize) -> Arc<Self> {
        let stop = CancellationToken::new();
        let name = format!("agatesill-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let (store, store_addr) = FakeStore::start(&stop).await;
        let simulated_workers = Arc::new(SimulatedWorkers::new(true));
        if faults::has_live_workers(seed) {
            simulated_workers.use_own_clocks();
        }
        if faults::has_crashing_tasks(seed) {
            simulated_workers.allow_overcommit();
        }
        let history = Arc::new(FaultHistory::default());
        let mut daemons = Vec::new();
        for index in 0..daemon_count {
            let share = CPU_SHARES[index % CPU_SHARES.len()];
            let name = format!("entry-{index}");
            let mode = faults::load_control(seed, index, daemon_count);
            let daemon = Daemon::prepare(&folder, &name, store_addr, share, mode, &stop).await;
            daemons.push(Arc::new(daemon));
        }
        let mut slots = Vec::new();
        for index in 0..worker_count(seed) {
            slots.push(
                WorkerSlot::start(&format!("w{index}"), &simulated_workers, &store, &stop).await,
            );
        }
        let operator = Arc::new(Operator::start(seed, store.clone()));
        let config_probe =
            Arc::new(ConfigProbe::new(seed, &daemons, operator.clone(), history.clone()));
        let callers = Arc::new(Callers::new(&daemons, simulated_workers.clone(), history.clone()));
        let run = Arc::new(Self {
            seed,
            folder,
            daemons,
            store,
            simulated_workers,
            callers,
            history,
            operator,
            config_probe,
            slots,
            stop,
            problems: Mutex::default(),
            extreme_jobs: AtomicU64::new(0),
        });
        run.daemons.iter().for_each(|daemon| daemon.start());
        run.wait_until_ready().await;
        run.config_probe.spawn();
        tokio::spawn(run.callers.clone().check_readiness());
        tokio::spawn(run.clone().restart_crashed_workers());
        run
    }

    /// Restarts workers that were crashed by tasks, until the run is over. The entry of a crashed
    /// incarnation stays listed next to that of its successor until [`ENTRY_TTL`] has passed.
    async fn restart_crashed_workers(self: Arc<Self>) {
        let mut restarted = HashSet::new();
        while !self.history.is_finished() {
            tokio::time::sleep(RESTART_CHECK_INTERVAL).await;
            for index in 0..self.slots.len() {
                let crashed = self.slots[index].worker();
                let is_crashed = self.simulated_workers.was_crashed_by_task(crashed.incarnation);
                if is_crashed && restarted.insert(crashed.incarnation) {
                    tokio::spawn(self.clone().restart_worker(index, crashed));
                }
            }
        }
    }

    async fn restart_worker(self: Arc<Self>, slot: usize, crashed: Arc<FakeWorker>) {
        tokio::time::sleep(RESTART_DELAY).await;
        self.slots[slot].replace(&crashed, &self.simulated_workers, &self.store, &self.stop).await;
        tokio::time::sleep(ENTRY_TTL).await;
        self.remove_entry(&self.slots[slot], &crashed);
    }

    /// Removes the entry of a worker, unless it is that of a successor under the same identifier.
    fn remove_entry(&self, slot: &WorkerSlot, worker: &FakeWorker) {
        let current = slot.worker();
        if current.id != worker.id || current.incarnation == worker.incarnation {
            self.store.remove(&format!("servers/{}", worker.id));
        }
    }

    /// Crashes a worker and starts another incarnation at its address, under `id` or the identifier
    /// that it had.
    async fn succeed_worker(&self, slot: &WorkerSlot, id: Option<String>, succession: Succession) {
        let (worker, proxy) = slot.current.lock().unwrap().clone();
        let id = id.unwrap_or_else(|| worker.id.clone());
        worker.crash();
        if succession.closes_connections {
            proxy.close_open_connections();
        }
        tokio::time::sleep(succession.downtime).await;
        if slot.worker().incarnation != worker.incarnation {
            return;
        }
        let workers = self.simulated_workers.clone();
        let next = FakeWorker::serve_at(&id, worker.addr, workers, &self.stop).await;
        let is_current = {
            let mut current = slot.current.lock().unwrap();
            let is_current = current.0.incarnation == worker.incarnation;
            if is_current {
                *current = (next.clone(), proxy.clone());
            }
            is_current
        };
        if !is_current {
            return next.crash();
        }
        tokio::time::sleep(succession.entry_delay).await;
        next.register(&self.store, proxy.addr, "ready");
        let Some(delay) = succession.late_entry_delay else { return };
        tokio::time::sleep(delay).await;
        worker.register(&self.store, proxy.addr, "ready");
        tokio::time::sleep(ENTRY_TTL).await;
        self.remove_entry(slot, &worker);
        if slot.worker().incarnation == next.incarnation {
            next.register(&self.store, proxy.addr, "ready");
        }
    }

    /// Restarts several workers at once under their identifiers, and returns them.
    async fn restart_workers(&self, restart: Restart) -> Vec<&WorkerSlot> {
        let run_count = |slot: &&WorkerSlot| {
            let runs = self.simulated_workers.run_count(slot.worker().incarnation) as i64;
            if restart.is_idle { runs } else { -runs }
        };
        let mut slots: Vec<&WorkerSlot> = self.slots.iter().collect();
        slots.sort_by_key(run_count);
        slots.truncate(restart.workers);
        let Restart { downtime, entry_delay, .. } = restart;
        let succession =
            Succession { downtime, entry_delay, late_entry_delay: None, closes_connections: true };
        join_all(slots.iter().map(|slot| self.succeed_worker(slot, None, succession))).await;
        slots
    }

    /// Lets the connections to a worker fail in the given way for some time.
    async fn cut_worker(&self, slot: &WorkerSlot, fault: LinkFault, duration: Duration) {
        let (_, proxy) = slot.current.lock().unwrap().clone();
        proxy.set(fault);
        tokio::time::sleep(duration).await;
        proxy.set(LinkFault::None);
    }

    /// Lets the address of a worker refuse and accept connections by turns.
    async fn flap_worker(&self, slot: &WorkerSlot, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.cut_worker(slot, LinkFault::Refuses, FLAP_REFUSED).await;
            tokio::time::sleep(FLAP_ACCEPTED).await;
        }
    }

    /// Submits a job that fits no worker, and writes an entry of another writer.
    async fn write_extreme_numbers(&self) {
        self.store.put("servers/unknown", settings::EXTREME_ENTRY);
        let id = format!(
            "{:016x}",
            0x00ff_0000_0000_0000 | self.extreme_jobs.fetch_add(1, Ordering::Relaxed)
        );
        let outcome =
            self.callers.send_request(0, Method::POST, "desk", &id, settings::EXTREME_JOB).await;
        if matches!(&outcome, RequestOutcome::Answer(status, _) if (400..429).contains(status)) {
            self.add_problem(format!("a job with numbers at their limits is refused: {outcome:?}"));
        }
    }

    /// Crashes the workers with the most long-running tasks, and verifies that these run elsewhere in time.
    async fn lose_workers(&self, count: usize, fault: LinkFault, max_away: Duration) {
        let tasks_of = |slot: &WorkerSlot| {
            self.simulated_workers.long_running_tasks(slot.worker().incarnation)
        };
        let mut slots: Vec<&WorkerSlot> = self.slots.iter().collect();
        slots.sort_by_key(|slot| std::cmp::Reverse(tasks_of(slot).len()));
        slots.truncate(count);
        let tasks: Vec<String> = slots.iter().flat_map(|slot| tasks_of(slot)).collect();
        if tasks.is_empty() {
            self.add_problem("no long-running task was on a lost worker".to_owned());
        }
        let lost_at = Instant::now();
        let lost: Vec<_> = slots.iter().map(|slot| slot.current.lock().unwrap().clone()).collect();
        for (worker, proxy) in &lost {
            worker.crash();
            proxy.set(fault);
        }
        tokio::time::sleep(ENTRY_TTL).await;
        slots.iter().zip(&lost).for_each(|(slot, (worker, _))| self.remove_entry(slot, worker));
        tokio::time::sleep_until((lost_at + max_away).into()).await;
        for task in tasks.iter().filter(|task| self.simulated_workers.running(task) == 0) {
            let job = task.split('.').next().unwrap_or_default();
            let known_jobs = self.callers.known_jobs.lock().unwrap();
            if known_jobs.get(job).is_some_and(|job| !job.is_cancelled) {
                self.add_problem(format!("{task} has no run {max_away:?} after its worker died"));
            }
        }
        for (slot, (worker, _)) in slots.iter().zip(&lost) {
            slot.replace(worker, &self.simulated_workers, &self.store, &self.stop).await;
        }
    }

    /// Crashes a worker and restarts it once its entry has been removed.
    async fn crash_worker(&self, slot: usize) {
        let slot = &self.slots[slot];
        let worker = slot.worker();
        worker.crash();
        tokio::time::sleep(ENTRY_TTL).await;
        self.remove_entry(slot, &worker);
        slot.replace(&worker, &self.simulated_workers, &self.store, &self.stop).await;
    }

    async fn wait_until_ready(&self) {
        for daemon in &self.daemons {
            let until = Instant::now() + SETTLE_TIMEOUT;
            while !daemon.is_ready().await {
                if Instant::now() > until {
                    return self.add_problem(format!("{} is not ready", daemon.name));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    fn add_problem(&self, what: String) {
        self.problems.lock().unwrap().push(what);
    }

    /// Writes versions of the configuration until the run is over.
    async fn write_versions(self: Arc<Self>) {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ 0x0001_0a7e);
        while !self.history.is_finished() {
            let interval_ms = match random.random_bool(0.5) {
                true => random.random_range(SHORT_VERSION_INTERVAL_MS),
                false => random.random_range(LONG_VERSION_INTERVAL_MS),
            };
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            self.operator.write_next();
        }
    }

    /// Submits jobs until `span` has passed.
    pub async fn traffic(self: &Arc<Self>, span: Duration) {
        let count = (span.as_millis() as u32 * JOBS_PER_S) / 1_000;
        let jobs_per_burst = if faults::has_live_workers(self.seed) { JOBS_PER_S } else { 1 };
        let burst_interval = Duration::from_secs(1) * jobs_per_burst / JOBS_PER_S;
        let mut ticks = tokio::time::interval(burst_interval);
        let mut jobs = tokio::task::JoinSet::new();
        for number in 0..count {
            if number % jobs_per_burst == 0 {
                ticks.tick().await;
            }
            let callers = self.callers.clone();
            match withdrawals::is_withdrawn(self.seed, number) {
                true => jobs.spawn(callers.withdraw(self.seed, number)),
                false => jobs.spawn(callers.live(self.seed, number)),
            };
        }
        self.callers.load_over.cancel();
        tokio::spawn(async move { while jobs.join_next().await.is_some() {} });
    }

    /// The daemon that owns the planner's range according to the store.
    pub fn planner(&self) -> Option<Arc<Daemon>> {
        let owner = self.store.text("own/planner")?;
        self.daemons.iter().find(|daemon| daemon.is_named_in(&owner)).cloned()
    }

    /// Name of the daemon that sent orders with a fencing token, according to the store.
    fn sender(&self, fencing_token: u64) -> String {
        let owner = self.store.owner_at(fencing_token).unwrap_or_default();
        let sender = self.daemons.iter().find(|daemon| daemon.is_named_in(&owner));
        sender.map_or_else(|| "an unknown daemon".to_owned(), |daemon| daemon.name.clone())
    }

    /// Injects one fault, from its start to its end.
    pub async fn inject(self: Arc<Self>, scheduled: ScheduledFault) {
        tokio::time::sleep(scheduled.at).await;
        let fault = match scheduled.fault {
            Fault::KillPlanner => self.planner_index().map_or(Fault::RevokePlanner, Fault::Kill),
            Fault::PausePlanner => self.planner_index().map_or(Fault::RevokePlanner, Fault::Pause),
            Fault::TerminatePlanner => {
                self.planner_index().map_or(Fault::RevokePlanner, Fault::Terminate)
            }
            Fault::CutPlanner => self.planner_index().map_or(Fault::RevokePlanner, |daemon| {
                Fault::StoreConnection(daemon, LinkFault::Silent)
            }),
            fault => fault,
        };
        let entry = self.history.begin(fault.scope(), fault.is_planned());
        self.apply(ScheduledFault { fault, ..scheduled }).await;
        self.history.end(entry);
    }

    fn planner_index(&self) -> Option<usize> {
        let planner = self.planner()?;
        self.daemons.iter().position(|daemon| daemon.name == planner.name)
    }

    async fn apply(&self, ScheduledFault { duration, fault, .. }: ScheduledFault) {
        match fault {
            Fault::Kill(daemon) => restart(&self.daemons[daemon], duration).await,
            Fault::KillAll => {
                self.daemons.iter().for_each(|daemon| daemon.kill());
                tokio::time::sleep(duration).await;
                self.daemons.iter().for_each(|daemon| daemon.start());
            }
            Fault::Pause(daemon) => pause(&self.daemons[daemon], duration).await,
            Fault::Terminate(daemon) => self.terminate(&self.daemons[daemon]).await,
            Fault::RollingRestart => {
                for daemon in &self.daemons {
                    self.terminate(daemon).await;
                }
            }
            Fault::Hangup(daemon) => self.daemons[daemon].signal("HUP"),
            Fault::Configure => self.operator.write_next(),
            Fault::ConfigureRapidly => {
                let until = Instant::now() + duration;
                while Instant::now() < until {
                    self.operator.write_next();
                    tokio::time::sleep(RAPID_VERSION_INTERVAL).await;
                }
            }
            Fault::ConfigureLarge => self.operator.write_large(),
            Fault::SilenceOpenConnections => {
                self.daemons.iter().for_each(|daemon| daemon.store.silence_open_connections());
            }
            Fault::StallConfigWatches => {
                self.store.stall_watches("op/config");
                tokio::time::sleep(duration).await;
                self.store.stall_watches("");
            }
            Fault::Store(fault) => {
                self.store.set_fault(fault);
                tokio::time::sleep(duration).await;
                self.store.set_fault(StoreFault::None);
            }
            Fault::CompactHistory => self.store.compact_history(),
            Fault::CloseZone => {
                self.store.put("op/evacuate/b", "{}");
                self.simulated_workers.set_closed_zone(Some("b"));
                tokio::time::sleep(duration).await;
                self.simulated_workers.set_closed_zone(None);
                self.store.remove("op/evacuate/b");
            }
            Fault::RevokePlanner => self.store.remove("own/planner"),
            Fault::StoreConnection(daemon, fault) | Fault::TurnAway(daemon, fault) => {
                let proxy = &self.daemons[daemon].store;
                proxy.set(fault);
                tokio::time::sleep(duration).await;
                proxy.set(LinkFault::None);
            }
            Fault::KillPlanner
            | Fault::PausePlanner
            | Fault::TerminatePlanner
            | Fault::CutPlanner => {
                self.add_problem(format!("{fault:?} names no daemon"));
            }
            _ => self.apply_to_worker(fault, duration).await,
        }
    }

    async fn apply_to_worker(&self, fault: Fault, duration: Duration) {
        match fault {
            Fault::CrashWorker(slot) => self.crash_worker(slot).await,
            Fault::RestartWorker(slot) => {
                self.succeed_worker(&self.slots[slot], None, Succession::within(duration)).await;
            }
            Fault::RestartWorkers(restart) => drop(self.restart_workers(restart).await),
            Fault::RestartAndCutWorkers(restart, delay, fault) => {
                let slots = self.restart_workers(restart).await;
                tokio::time::sleep(delay).await;
                join_all(slots.into_iter().map(|slot| self.cut_worker(slot, fault, duration)))
                    .await;
            }
            Fault::FlapWorker(slot) => self.flap_worker(&self.slots[slot], duration).await,
            Fault::WorkerConnection(slot, fault) if faults::has_live_workers(self.seed) => {
                self.cut_worker(&self.slots[slot], fault, duration).await;
            }
            Fault::SucceedWorker(slot) => {
                let slot = &self.slots[slot];
                let incarnation = slot.incarnations.fetch_add(1, Ordering::Relaxed) + 1;
                let id = format!("{}-{incarnation}", slot.name);
                let succession = match faults::has_live_workers(self.seed) {
                    true => Succession::quick_within(duration),
                    false => Succession::within(duration),
                };
                self.succeed_worker(slot, Some(id), succession).await;
            }
            Fault::ExtremeNumbers => self.write_extreme_numbers().await,
            Fault::CrashTwoWorkers(slot) => {
                let next = (slot + 1) % self.slots.len();
                tokio::join!(self.crash_worker(slot), self.crash_worker(next));
            }
            Fault::LoseWorkers(count, fault, max_away) => {
                self.lose_workers(count, fault, max_away).await;
            }
            Fault::ReduceCapacity(slot) => {
                let (worker, proxy) = self.slots[slot].current.lock().unwrap().clone();
                self.simulated_workers.set_capacity(worker.incarnation, CPU_MILLI / 4);
                worker.register(&self.store, proxy.addr, "ready");
                tokio::time::sleep(duration).await;
                self.simulated_workers.set_capacity(worker.incarnation, CPU_MILLI);
                if self.slots[slot].worker().incarnation == worker.incarnation {
                    worker.register(&self.store, proxy.addr, "ready");
                }
            }
            Fault::WorkerConnection(slot, fault) => {
                let (worker, proxy) = self.slots[slot].current.lock().unwrap().clone();
                proxy.set(fault);
                tokio::time::sleep(duration).await;
                proxy.set(LinkFault::None);
                worker.register(&self.store, proxy.addr, "ready");
            }
            Fault::LeaveWorker(slot) => {
                let slot = &self.slots[slot];
                let (worker, proxy) = slot.current.lock().unwrap().clone();
                worker.register(&self.store, proxy.addr, "draining");
                tokio::time::sleep(duration + ENTRY_TTL).await;
                worker.crash();
                self.remove_entry(slot, &worker);
                slot.replace(&worker, &self.simulated_workers, &self.store, &self.stop).await;
            }
            Fault::Crowd(daemon, kind) => {
                crowd(self.daemons[daemon].listen_addrs.entry, kind, duration).await;
            }
            Fault::Worker(slot, fault) => {
                let incarnation = self.slots[slot].worker().incarnation;
                if fault == WorkerFault::FailsAll {
                    self.history.add_failing_worker();
                }
                self.simulated_workers.set_fault(incarnation, fault);
                tokio::time::sleep(duration).await;
                self.simulated_workers.set_fault(incarnation, WorkerFault::None);
            }
            other => self.add_problem(format!("{other:?} is not a fault of a worker")),
        }
    }

    async fn terminate(&self, daemon: &Daemon) {
        let since = Instant::now();
        let is_ended = daemon.terminate().await;
        if !is_ended && self.history.was_fault_free(since) {
            self.add_problem(format!("{} did not stop in time", daemon.name));
        }
        daemon.start();
        tokio::time::sleep(Duration::from_millis(500)).await;
    }

    /// Waits until all accepted jobs are in the expected state, and returns all violations.
    pub async fn settle(self: &Arc<Self>) -> Vec<String> {
        self.daemons.iter().for_each(|daemon| daemon.signal("CONT"));
        for daemon in &self.daemons {
            if daemon.is_stopped() {
                daemon.start();
            }
        }
        self.wait_until_ready().await;
        let has_crashes = faults::has_crashing_tasks(self.seed);
        let extra = if has_crashes { CRASH_SETTLE_TIMEOUT } else { Duration::ZERO };
        let until = Instant::now() + SETTLE_TIMEOUT + extra;
        let mut outstanding = self.outstanding().await;
        while !outstanding.is_empty() && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(200)).await;
            outstanding = self.outstanding().await;
        }
        if faults::has_load_control(self.seed) {
            tokio::join!(
                tokio::time::sleep(CALM_PERIOD),
                self.callers.check_refusals_end(self.seed)
            );
        } else {
            tokio::time::sleep(CALM_PERIOD).await;
        }
        self.history.finish();
        let mut violations = outstanding;
        violations.extend(self.config_probe.violations.lock().unwrap().clone());
        violations.extend(self.simulated_workers.violations());
        let started_at = self.simulated_workers.started_at();
        violations.extend(
            self.simulated_workers
                .double_runs()
                .iter()
                .map(|runs| runs.line(started_at, |token| self.sender(token))),
        );
        violations.extend(self.callers.violations.lock().unwrap().clone());
        violations.extend(self.problems.lock().unwrap().clone());
        violations.extend(self.daemons.iter().flat_map(|daemon| daemon.problems()));
        violations.extend(self.starts_of_refused_jobs());
        violations.extend(self.missing_crashes());
        violations.extend(self.wrong_refusals());
        violations
    }

    /// Outstanding work: accepted jobs must end, long-running tasks must run exactly once, and
    /// tasks of cancelled jobs must not run.
    async fn outstanding(&self) -> Vec<String> {
        let known_jobs = self.callers.known_jobs.lock().unwrap().clone();
        let mut outstanding = Vec::new();
        for (index, (id, job)) in known_jobs.iter().enumerate() {
            if !matches!(job.submission, Submission::Accepted(_)) {
                continue;
            }
            let is_lasting = job.steps.iter().any(|step| step.work_ms == 0);
            if job.is_cancelled {
                let running = self.simulated_workers.running_tasks(id);
                outstanding.extend(
                    running
                        .iter()
                        .map(|task| format!("{task} still runs although its job is cancelled")),
                );
            } else if is_lasting {
                let tasks = (0..job.steps[0].count).map(|index| format!("{id}.0.0.{index}"));
                let missing = tasks.filter(|task| self.simulated_workers.running(task) != 1);
                outstanding.extend(missing.map(|task| format!("{task} does not run exactly once")));
            } else if !matches!(job.last_state.as_str(), "completed" | "failed") {
                let daemon = index % self.daemons.len();
                let outcome =
                    self.callers.send_request(daemon, Method::GET, job.queue, id, "").await;
                let is_final = match &outcome {
                    RequestOutcome::Answer(200, body) => self.callers.record_state(id, body),
                    _ => false,
                };
                if !is_final {
                    outstanding.push(format!("{id} is not finished: {outcome:?}"));
                }
            }
        }
        outstanding
    }

    /// Guards against a run whose crashing tasks never crashed a worker, and which thus does not
    /// test them.
    fn missing_crashes(&self) -> Option<String> {
        let is_missing =
            faults::has_crashing_tasks(self.seed) && self.simulated_workers.crashes_by_tasks() == 0;
        is_missing.then(|| "no task crashed its worker".to_owned())
    }

    /// Violations of what callers may expect of a refusal. Without any, a run with load control does
    /// not test them.
    fn wrong_refusals(&self) -> Vec<String> {
        let answers = self.callers.answers.lock().unwrap();
        let mut violations =
            refusals::runs_of_refused_jobs(&answers, &self.simulated_workers.starts());
        violations.extend(refusals::refusals_after_acceptance(&answers));
        violations.extend(refusals::refusals_without_delay(&answers));
        for (index, daemon) in self.daemons.iter().enumerate() {
            let lines = daemon.log_lines("job_refused");
            let logged: Vec<String> =
                lines.iter().filter_map(|line| Some(line["job"].as_str()?.to_owned())).collect();
            let kills = daemon.kills();
            violations.extend(refusals::refusals_without_line(&answers, index, &logged, &kills));
        }
        if faults::has_load_control(self.seed) {
            let count = refusals::count(&answers);
            println!("seed {}: {count} refusals", self.seed);
            if count == 0 && !faults::has_both_modes(self.seed) {
                violations.push("no job was refused".to_owned());
            }
        }
        violations
    }

    fn starts_of_refused_jobs(&self) -> Vec<String> {
        let known_jobs = self.callers.known_jobs.lock().unwrap();
        let is_refused = |task: &str| {
            let id = task.split('.').next().unwrap_or_default();
            known_jobs.get(id).is_some_and(|job| job.submission == Submission::Refused)
        };
        let starts = self.simulated_workers.starts();
        let violations = starts.iter().filter(|(_, task)| is_refused(task));
        violations.map(|(_, task)| format!("{task} started although its job was refused")).collect()
    }
}

impl Drop for SoakRun {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl WorkerSlot {
    async fn start(
        name: &str,
        simulated_workers: &Arc<SimulatedWorkers>,
        store: &FakeStore,
        stop: &CancellationToken,
    ) -> Self {
        let current = start_incarnation(&format!("{name}-1"), simulated_workers, store, stop).await;
        Self {
            name: name.to_owned(),
            incarnations: AtomicU64::new(1),
            current: Mutex::new(current),
        }
    }

    /// Replaces an incarnation with a new one, unless it has already been replaced.
    async fn replace(
        &self,
        replaced: &FakeWorker,
        simulated_workers: &Arc<SimulatedWorkers>,
        store: &FakeStore,
        stop: &CancellationToken,
    ) {
        if self.worker().incarnation != replaced.incarnation {
            return;
        }
        let incarnation = self.incarnations.fetch_add(1, Ordering::Relaxed) + 1;
        let next = start_incarnation(
            &format!("{}-{incarnation}", self.name),
            simulated_workers,
            store,
            stop,
        )
        .await;
        *self.current.lock().unwrap() = next;
    }

    fn worker(&self) -> Arc<FakeWorker> {
        self.current.lock().unwrap().0.clone()
    }
}

async fn start_incarnation(
    id: &str,
    simulated_workers: &Arc<SimulatedWorkers>,
    store: &FakeStore,
    stop: &CancellationToken,
) -> (Arc<FakeWorker>, Arc<Proxy>) {
    let worker = FakeWorker::serve(id, simulated_workers.clone(), stop).await;
    let proxy = Arc::new(Proxy::start(worker.addr, stop).await);
    worker.register(store, proxy.addr, "ready");
    (worker, proxy)
}

async fn restart(daemon: &Daemon, duration: Duration) {
    daemon.kill();
    tokio::time::sleep(duration / 2).await;
    daemon.start();
}

async fn pause(daemon: &Daemon, duration: Duration) {
    daemon.signal("STOP");
    tokio::time::sleep(duration).await;
    daemon.signal("CONT");
}

/// Runs a schedule of faults over `period` and returns all violations and the folder with the logs.
pub async fn run_schedule(
    seed: u64,
    scheduled_faults: &[ScheduledFault],
    period: Duration,
) -> (Vec<String>, PathBuf) {
    let run = SoakRun::start(seed).await;
    let injections: Vec<_> = scheduled_faults
        .iter()
        .map(|scheduled| tokio::spawn(run.clone().inject(*scheduled)))
        .collect();
    let faults_end =
        scheduled_faults.iter().map(|scheduled| scheduled.at + scheduled.duration).max();
    let span = match faults_end.filter(|_| faults::has_load_control(seed)) {
        Some(faults_end) => period.max(faults_end) + LOAD_AFTER_FAULTS,
        None => period + Duration::from_secs(1),
    };
    run.traffic(span).await;
    for injection in injections {
        if let Err(error) = injection.await {
            run.add_problem(format!("a fault was not injected: {error}"));
        }
    }
    let violations = run.settle().await;
    (violations, run.folder.clone())
}
