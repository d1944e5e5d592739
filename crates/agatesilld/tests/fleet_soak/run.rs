//! One run: daemons, workers, callers and faults, and the judgement at its end.

use std::collections::HashSet;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::Method;
use tokio_util::sync::CancellationToken;

use crate::callers::{Callers, Handing, Told};
use crate::daemon::Daemon;
use crate::faults::{self, Fault, SPAN, Strike};
use crate::support::proxy::{LinkFault, Proxy};
use crate::support::settings;
use crate::support::simulated_workers::{CPU_MILLI, SimulatedWorkers, WorkerFault};
use crate::support::store::{FakeStore, StoreFault};
use crate::support::worker::FakeWorker;

pub const DAEMONS: usize = 3;

/// Their shares of a processor: one is smaller, so that the planner also moves for that.
const SHARES: [f64; DAEMONS] = [0.5, 0.1, 0.5];

pub const WORKERS: usize = 6;

/// How long after an unplanned fault callers may still notice it.
const AFTERMATH: Duration = Duration::from_secs(3);

/// How long everything may take to be in order once all is mended: a worker that was cut off is
/// waited for until its longest lease of ten seconds has ended.
const SETTLING: Duration = Duration::from_secs(30);

/// Additional settling time of runs with tasks that crash their workers: such a task may be started five
/// times, and each lost run is released only after the worker's lease of five seconds.
const CRASH_SETTLING: Duration = Duration::from_secs(30);

/// Silence after which a worker's entry leaves the store.
const ENTRY_LIFE: Duration = Duration::from_millis(1_500);

/// Delay after which a worker that was crashed by a task is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Interval between checks for workers that were crashed by tasks.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Jobs handed in a second.
const JOBS_PER_S: u32 = 8;

/// What was amiss and when.
pub struct History {
    unplanned: Mutex<Vec<(Instant, Option<Instant>)>>,
    bad_workers: AtomicBool,
    over: CancellationToken,
}

impl History {
    /// Whether nothing unplanned was amiss from shortly before `since` until now.
    pub fn was_calm(&self, since: Instant) -> bool {
        let is_near = |ended: &Option<Instant>| ended.is_none_or(|ended| ended + AFTERMATH > since);
        !self.unplanned.lock().unwrap().iter().any(|(_, ended)| is_near(ended))
    }

    /// Whether workers failed what they started.
    pub fn has_bad_workers(&self) -> bool {
        self.bad_workers.load(Ordering::Relaxed)
    }

    pub fn is_over(&self) -> bool {
        self.over.is_cancelled()
    }

    fn begin(&self) -> usize {
        let mut unplanned = self.unplanned.lock().unwrap();
        unplanned.push((Instant::now(), None));
        unplanned.len() - 1
    }

    fn end(&self, fault: usize) {
        self.unplanned.lock().unwrap()[fault].1 = Some(Instant::now());
    }
}

/// A worker's place: the lives that follow one another behind one proxy each.
struct Seat {
    name: String,
    lives: AtomicU64,
    present: Mutex<(Arc<FakeWorker>, Arc<Proxy>)>,
}

pub struct Run {
    pub seed: u64,
    pub folder: PathBuf,
    pub daemons: Vec<Arc<Daemon>>,
    pub store: Arc<FakeStore>,
    pub floor: Arc<SimulatedWorkers>,
    pub callers: Arc<Callers>,
    pub history: Arc<History>,
    seats: Vec<Seat>,
    version: AtomicU64,
    stop: CancellationToken,
    troubles: Mutex<Vec<String>>,
}

impl Run {
    /// Starts everything and waits until all daemons are ready.
    pub async fn start(seed: u64) -> Arc<Self> {
        let stop = CancellationToken::new();
        let name = format!("agatesill-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let (store, store_addr) = FakeStore::start(&stop).await;
        let floor = Arc::new(SimulatedWorkers::new(true));
        if faults::has_crashing_tasks(seed) {
            floor.allow_overcommit();
        }
        let history = Arc::new(History {
            unplanned: Mutex::default(),
            bad_workers: AtomicBool::new(false),
            over: CancellationToken::new(),
        });
        let mut daemons = Vec::new();
        for (at, share) in SHARES.into_iter().enumerate() {
            let name = format!("entry-{at}");
            let daemon = Daemon::prepare(&folder, &name, store_addr, share, &stop).await;
            daemons.push(Arc::new(daemon));
        }
        let mut seats = Vec::new();
        for at in 0..WORKERS {
            seats.push(Seat::take(&format!("w{at}"), &floor, &store, &stop).await);
        }
        let callers = Arc::new(Callers::new(&daemons, floor.clone(), history.clone()));
        let run = Arc::new(Self {
            seed,
            folder,
            daemons,
            store,
            floor,
            callers,
            history,
            seats,
            version: AtomicU64::new(1),
            stop,
            troubles: Mutex::default(),
        });
        run.configure();
        run.daemons.iter().for_each(|daemon| daemon.start());
        run.until_ready().await;
        tokio::spawn(run.callers.clone().balance());
        tokio::spawn(run.clone().restart_crashed_workers());
        run
    }

    /// Restarts workers that were crashed by tasks, until the run is over. The entry of a crashed incarnation
    /// stays listed beside its successor's until [`ENTRY_LIFE`] has passed.
    async fn restart_crashed_workers(self: Arc<Self>) {
        let mut restarted = HashSet::new();
        while !self.history.is_over() {
            tokio::time::sleep(RESTART_CHECK_INTERVAL).await;
            for at in 0..self.seats.len() {
                let crashed = self.seats[at].worker();
                let is_crashed = self.floor.was_crashed_by_task(crashed.incarnation);
                if is_crashed && restarted.insert(crashed.incarnation) {
                    tokio::spawn(self.clone().restart_worker(at, crashed));
                }
            }
        }
    }

    async fn restart_worker(self: Arc<Self>, seat: usize, crashed: Arc<FakeWorker>) {
        tokio::time::sleep(RESTART_DELAY).await;
        self.seats[seat].reseat(&crashed, &self.floor, &self.store, &self.stop).await;
        tokio::time::sleep(ENTRY_LIFE).await;
        self.store.remove(&format!("servers/{}", crashed.id));
    }

    /// Crashes a worker and restarts it once its entry has been removed.
    async fn crash_worker(&self, seat: usize) {
        let seat = &self.seats[seat];
        let worker = seat.worker();
        worker.crash();
        tokio::time::sleep(ENTRY_LIFE).await;
        self.store.remove(&format!("servers/{}", worker.id));
        seat.reseat(&worker, &self.floor, &self.store, &self.stop).await;
    }

    async fn until_ready(&self) {
        for daemon in &self.daemons {
            let until = Instant::now() + SETTLING;
            while !daemon.is_ready().await {
                if Instant::now() > until {
                    return self.trouble(format!("{} is not ready", daemon.name));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    fn trouble(&self, what: String) {
        self.troubles.lock().unwrap().push(what);
    }

    /// Puts the next configuration into the store: the two queues and one that no job uses.
    fn configure(&self) {
        let version = self.version.fetch_add(3, Ordering::Relaxed);
        let extra = format!("extra{version}");
        let queues =
            [settings::queue("desk", 0), settings::queue("month", 2), settings::queue(&extra, 1)];
        self.store.put("op/config", &settings::config(version, &queues));
    }

    /// Hands jobs in until `span` has passed.
    pub async fn traffic(self: &Arc<Self>, span: Duration) {
        let count = (span.as_millis() as u32 * JOBS_PER_S) / 1_000;
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / JOBS_PER_S);
        let mut jobs = tokio::task::JoinSet::new();
        for number in 0..count {
            ticks.tick().await;
            jobs.spawn(self.callers.clone().live(self.seed, number));
        }
        tokio::spawn(async move { while jobs.join_next().await.is_some() {} });
    }

    /// Who plans, as the store has it.
    pub fn planner(&self) -> Option<Arc<Daemon>> {
        let owner = self.store.text("own/planner")?;
        self.daemons.iter().find(|daemon| owner.contains(&daemon.name)).cloned()
    }

    /// Does one fault from its beginning to its end.
    pub async fn strike(self: Arc<Self>, strike: Strike) {
        tokio::time::sleep(strike.at).await;
        let entry = (!strike.fault.is_planned()).then(|| self.history.begin());
        self.inflict(strike).await;
        if let Some(entry) = entry {
            self.history.end(entry);
        }
    }

    async fn inflict(&self, Strike { lasts, fault, .. }: Strike) {
        match fault {
            Fault::Kill(daemon) => restart(&self.daemons[daemon], lasts).await,
            Fault::KillPlanner => {
                if let Some(planner) = self.planner() {
                    restart(&planner, lasts).await;
                }
            }
            Fault::KillAll => {
                self.daemons.iter().for_each(|daemon| daemon.kill());
                tokio::time::sleep(lasts).await;
                self.daemons.iter().for_each(|daemon| daemon.start());
            }
            Fault::Pause(daemon) => pause(&self.daemons[daemon], lasts).await,
            Fault::PausePlanner => {
                if let Some(planner) = self.planner() {
                    pause(&planner, lasts).await;
                }
            }
            Fault::Terminate(daemon) => self.terminate(&self.daemons[daemon]).await,
            Fault::Roll => {
                for daemon in &self.daemons {
                    self.terminate(daemon).await;
                }
            }
            Fault::Hangup(daemon) => self.daemons[daemon].signal("HUP"),
            Fault::Configure => self.configure(),
            Fault::Store(fault) => {
                self.store.set_fault(fault);
                tokio::time::sleep(lasts).await;
                self.store.set_fault(StoreFault::None);
            }
            Fault::ForgetHistory => self.store.compact_history(),
            Fault::CloseZone => {
                self.store.put("op/evacuate/b", "{}");
                self.floor.set_closed_zone(Some("b"));
                tokio::time::sleep(lasts).await;
                self.floor.set_closed_zone(None);
                self.store.remove("op/evacuate/b");
            }
            Fault::RevokePlanner => self.store.remove("own/planner"),
            Fault::StoreLink(daemon, fault) => {
                let link = &self.daemons[daemon].store;
                link.set(fault);
                tokio::time::sleep(lasts).await;
                link.set(LinkFault::None);
            }
            _ => self.inflict_on_worker(fault, lasts).await,
        }
    }

    async fn inflict_on_worker(&self, fault: Fault, lasts: Duration) {
        match fault {
            Fault::CrashWorker(seat) => self.crash_worker(seat).await,
            Fault::CrashTwoWorkers(seat) => {
                let next = (seat + 1) % self.seats.len();
                tokio::join!(self.crash_worker(seat), self.crash_worker(next));
            }
            Fault::ReduceCapacity(seat) => {
                let (worker, link) = self.seats[seat].present.lock().unwrap().clone();
                self.floor.set_capacity(worker.incarnation, CPU_MILLI / 4);
                worker.register(&self.store, link.addr, "ready");
                tokio::time::sleep(lasts).await;
                self.floor.set_capacity(worker.incarnation, CPU_MILLI);
                if self.seats[seat].worker().incarnation == worker.incarnation {
                    worker.register(&self.store, link.addr, "ready");
                }
            }
            Fault::WorkerLink(seat, fault) => {
                let (worker, link) = self.seats[seat].present.lock().unwrap().clone();
                link.set(fault);
                tokio::time::sleep(lasts).await;
                link.set(LinkFault::None);
                worker.register(&self.store, link.addr, "ready");
            }
            Fault::LeaveWorker(seat) => {
                let seat = &self.seats[seat];
                let (worker, link) = seat.present.lock().unwrap().clone();
                worker.register(&self.store, link.addr, "draining");
                tokio::time::sleep(lasts + ENTRY_LIFE).await;
                worker.crash();
                self.store.remove(&format!("servers/{}", worker.id));
                seat.reseat(&worker, &self.floor, &self.store, &self.stop).await;
            }
            Fault::Worker(seat, fault) => {
                let incarnation = self.seats[seat].worker().incarnation;
                if fault == WorkerFault::FailsAll {
                    self.history.bad_workers.store(true, Ordering::Relaxed);
                }
                self.floor.set_fault(incarnation, fault);
                tokio::time::sleep(lasts).await;
                self.floor.set_fault(incarnation, WorkerFault::None);
            }
            other => self.trouble(format!("{other:?} is no fault of a worker")),
        }
    }

    async fn terminate(&self, daemon: &Daemon) {
        let since = Instant::now();
        let is_ended = daemon.terminate().await;
        if !is_ended && self.history.was_calm(since) {
            self.trouble(format!("{} did not end in time", daemon.name));
        }
        daemon.start();
        tokio::time::sleep(Duration::from_millis(500)).await;
    }

    /// Waits until every promise is kept, and says which are not.
    pub async fn settle(self: &Arc<Self>) -> Vec<String> {
        self.daemons.iter().for_each(|daemon| daemon.signal("CONT"));
        for daemon in &self.daemons {
            if daemon.is_over() {
                daemon.start();
            }
        }
        self.until_ready().await;
        let has_crashes = faults::has_crashing_tasks(self.seed);
        let extra = if has_crashes { CRASH_SETTLING } else { Duration::ZERO };
        let until = Instant::now() + SETTLING + extra;
        let mut open = self.open().await;
        while !open.is_empty() && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(200)).await;
            open = self.open().await;
        }
        self.history.over.cancel();
        let mut wrong = open;
        wrong.extend(self.floor.violations());
        wrong.extend(self.callers.violations.lock().unwrap().clone());
        wrong.extend(self.troubles.lock().unwrap().clone());
        wrong.extend(self.daemons.iter().flat_map(|daemon| daemon.troubles()));
        wrong.extend(self.started_though_refused());
        wrong.extend(self.missing_crashes());
        wrong
    }

    /// What is still to happen: accepted jobs end, lasting tasks run once, cancelled ones not.
    async fn open(&self) -> Vec<String> {
        let known = self.callers.known.lock().unwrap().clone();
        let mut open = Vec::new();
        for (at, (id, job)) in known.iter().enumerate() {
            if !matches!(job.handing, Handing::Accepted(_)) {
                continue;
            }
            let is_lasting = job.steps.iter().any(|step| step.work_ms == 0);
            if job.is_cancelled {
                let running = self.floor.running_tasks(id);
                open.extend(running.iter().map(|task| format!("{task} runs on, cancelled")));
            } else if is_lasting {
                let tasks = (0..job.steps[0].count).map(|index| format!("{id}.0.0.{index}"));
                let missing = tasks.filter(|task| self.floor.running(task) != 1);
                open.extend(missing.map(|task| format!("{task} does not run once")));
            } else if !matches!(job.shown.as_str(), "completed" | "failed") {
                let daemon = at % self.daemons.len();
                let told = self.callers.ask(daemon, Method::GET, job.queue, id, "").await;
                let is_final = match &told {
                    Told::Answer(200, body) => self.callers.shown(id, body),
                    _ => false,
                };
                if !is_final {
                    open.push(format!("{id} is not done: {told:?}"));
                }
            }
        }
        open
    }

    /// Guards against a run whose crashing tasks never crashed a worker and that thus tests nothing of them.
    fn missing_crashes(&self) -> Option<String> {
        let is_missing =
            faults::has_crashing_tasks(self.seed) && self.floor.crashes_by_tasks() == 0;
        is_missing.then(|| "no task has crashed its worker".to_owned())
    }

    fn started_though_refused(&self) -> Vec<String> {
        let known = self.callers.known.lock().unwrap();
        let is_refused = |task: &str| {
            let id = task.split('.').next().unwrap_or_default();
            known.get(id).is_some_and(|job| job.handing == Handing::Refused)
        };
        let starts = self.floor.starts();
        let wrong = starts.iter().filter(|(_, task)| is_refused(task));
        wrong.map(|(_, task)| format!("{task} started though its job was refused")).collect()
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Seat {
    async fn take(
        name: &str,
        floor: &Arc<SimulatedWorkers>,
        store: &FakeStore,
        stop: &CancellationToken,
    ) -> Self {
        let present = new_life(&format!("{name}-1"), floor, store, stop).await;
        Self { name: name.to_owned(), lives: AtomicU64::new(1), present: Mutex::new(present) }
    }

    /// Replaces an incarnation with a new one, unless it has already been replaced.
    async fn reseat(
        &self,
        replaced: &FakeWorker,
        floor: &Arc<SimulatedWorkers>,
        store: &FakeStore,
        stop: &CancellationToken,
    ) {
        if self.worker().incarnation != replaced.incarnation {
            return;
        }
        let incarnation = self.lives.fetch_add(1, Ordering::Relaxed) + 1;
        let next = new_life(&format!("{}-{incarnation}", self.name), floor, store, stop).await;
        *self.present.lock().unwrap() = next;
    }

    fn worker(&self) -> Arc<FakeWorker> {
        self.present.lock().unwrap().0.clone()
    }
}

async fn new_life(
    id: &str,
    floor: &Arc<SimulatedWorkers>,
    store: &FakeStore,
    stop: &CancellationToken,
) -> (Arc<FakeWorker>, Arc<Proxy>) {
    let worker = FakeWorker::serve(id, floor.clone(), stop).await;
    let link = Arc::new(Proxy::start(worker.addr, stop).await);
    worker.register(store, link.addr, "ready");
    (worker, link)
}

async fn restart(daemon: &Daemon, lasts: Duration) {
    daemon.kill();
    tokio::time::sleep(lasts / 2).await;
    daemon.start();
}

async fn pause(daemon: &Daemon, lasts: Duration) {
    daemon.signal("STOP");
    tokio::time::sleep(lasts).await;
    daemon.signal("CONT");
}

/// Plays a schedule and returns what went wrong.
pub async fn play(seed: u64, strikes: &[Strike]) -> (Vec<String>, PathBuf) {
    let run = Run::start(seed).await;
    let struck: Vec<_> =
        strikes.iter().map(|strike| tokio::spawn(run.clone().strike(*strike))).collect();
    run.traffic(SPAN + Duration::from_secs(1)).await;
    for strike in struck {
        if let Err(error) = strike.await {
            run.trouble(format!("a fault was not done: {error}"));
        }
    }
    let wrong = run.settle().await;
    (wrong, run.folder.clone())
}
