//! Real daemon processes, each connected to the stand-ins through its own fault injectors.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use agatesill_policy::prelude::*;
use agatesill_wire::http::{JsonClient, read_json, respond, serve};
use agatesill_wire::prelude::*;
use agatesilld::prelude::Settings;
use hyper::Method;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::schedule::{LATE_MS, SHORT_LEASE_PERCENT, SLOW_MS};
use super::{DaemonProcess, Fault, FaultKind, Trace};
use crate::addresses::fresh_address;
use crate::fault_injector::{FaultInjector, FaultMode};
use crate::store::{StoreFaults, StoreStandin};
use crate::upstreams::{UpstreamFaults, UpstreamStandin, start_upstream};
use crate::workers::{WorkersStandin, start_workers_with_injector};

/// Timeout for a started daemon to answer.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of one call to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Service time factor of a slow upstream. Its responses arrive after the callers' deadlines.
const UPSTREAM_SLOWNESS: u32 = 300;

/// Counts the simulations of this process, to give each its own folder.
static SIMULATIONS: AtomicU64 = AtomicU64::new(0);

/// Options of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Path of the `agatesilld` executable.
    pub binary: PathBuf,
    /// Settings common to all daemons; instance, addresses and members are filled in.
    pub base: Settings,
    /// Number of daemons.
    pub daemons: usize,
}

/// Daemons and stand-ins of one run.
#[derive(Debug)]
pub struct Simulation {
    /// Store.
    pub store: StoreStandin,
    /// Workers of all cells.
    pub workers: WorkersStandin,
    /// Upstreams in the order of the settings.
    pub upstreams: Vec<UpstreamStandin>,
    /// Daemon processes.
    pub daemons: Vec<DaemonProcess>,
    /// Event trace of the run.
    pub trace: Trace,
    worker_ids: Vec<WorkerId>,
    folder: PathBuf,
    stop: CancellationToken,
}

impl Simulation {
    /// Starts the stand-ins and the daemons and waits until every daemon answers.
    pub async fn start(options: &SimulationOptions) -> Result<Self, Error> {
        let number = SIMULATIONS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("agatesill-faults-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let specs: Vec<WorkerSpec> =
            options.base.cells.values().flat_map(|cell| cell.workers.iter().cloned()).collect();
        let mut simulation = Self {
            store: StoreStandin::default(),
            workers: WorkersStandin::new(&specs),
            upstreams: Vec::new(),
            daemons: Vec::new(),
            trace: Trace::default(),
            worker_ids: specs.iter().map(|spec| spec.id).collect(),
            folder,
            stop: CancellationToken::new(),
        };
        let peers = peer_addresses(options.daemons)?;
        let mut options = options.clone();
        simulation.start_upstreams(&mut options.base).await?;
        for nth in 0..options.daemons {
            let daemon = simulation.prepare(&options, &peers, nth).await?;
            daemon.start()?;
            simulation.daemons.push(daemon);
        }
        for daemon in &simulation.daemons {
            simulation.await_healthy(daemon).await?;
        }
        Ok(simulation)
    }

    async fn start_upstreams(&mut self, base: &mut Settings) -> Result<(), Error> {
        for upstream in base.pools.values_mut().flatten() {
            let standin = UpstreamStandin::new(upstream.slots as usize, UpstreamFaults::default());
            upstream.addr = start_upstream(&standin, loopback(), &self.stop).await?;
            self.upstreams.push(standin);
        }
        Ok(())
    }

    async fn prepare(
        &self,
        options: &SimulationOptions,
        peers: &BTreeMap<String, SocketAddr>,
        nth: usize,
    ) -> Result<DaemonProcess, Error> {
        let (store_injector, workers_injector) =
            (FaultInjector::default(), FaultInjector::default());
        let mut settings = options.base.clone();
        settings.instance = instance(nth);
        settings.entry.addr = fresh_address();
        settings.admin.addr = fresh_address();
        settings.peers.addr = peers[&settings.instance];
        settings.peers.members = peers.clone();
        settings.peers.members.remove(&settings.instance);
        settings.store.addr = self.serve_store(store_injector.clone()).await?;
        let workers_addr =
            start_workers_with_injector(&self.workers, loopback(), &workers_injector, &self.stop)
                .await?;
        settings.cells.values_mut().for_each(|cell| cell.addr = workers_addr);
        DaemonProcess::prepare(
            &options.binary,
            &self.folder,
            &settings,
            store_injector,
            workers_injector,
        )
    }

    async fn serve_store(&self, injector: FaultInjector) -> Result<SocketAddr, Error> {
        let listener = TcpListener::bind(loopback()).await?;
        let addr = listener.local_addr()?;
        let store = self.store.clone();
        tokio::spawn(serve(listener, self.stop.clone(), move |request| {
            let (store, injector) = (store.clone(), injector.clone());
            async move {
                let call = match read_json(request.into_body()).await {
                    Ok(call) => call,
                    Err(error) => return respond::<()>(Err(error)),
                };
                let unreachable_error = || Err(Error::new(ErrorKind::Unreachable, "store"));
                let served = async move { store.call(call).await };
                respond(injector.apply(served).await.unwrap_or_else(unreachable_error))
            }
        }));
        Ok(addr)
    }

    async fn await_healthy(&self, daemon: &DaemonProcess) -> Result<(), Error> {
        let client = JsonClient::default();
        let asked = async {
            loop {
                let response: Result<String, Error> = client
                    .call(Method::GET, daemon.admin_addr, "/healthz", &(), CALL_TIMEOUT)
                    .await;
                if response.is_ok() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(START_TIMEOUT, asked).await.map_err(|_| {
            let why = daemon.ended().unwrap_or_default();
            Error::new(ErrorKind::Unreachable, format!("{} does not answer; {why}", daemon.name))
        })
    }

    /// Injects a fault.
    pub async fn begin(&self, fault: Fault) {
        let daemon = &self.daemons[fault.target % self.daemons.len()];
        let worker = self.worker_ids.get(fault.target % self.worker_ids.len().max(1)).copied();
        self.trace.note(format_args!("begin {:?} {}", fault.kind, self.target_name(fault)));
        match fault.kind {
            FaultKind::KillDaemon => daemon.kill(),
            FaultKind::PauseDaemon => daemon.pause(),
            FaultKind::CutStore => daemon.store_injector.set(FaultMode::Cut),
            FaultKind::CutWorkers => daemon.workers_injector.set(FaultMode::Cut),
            FaultKind::LoseStoreAnswers => daemon.store_injector.set(FaultMode::DropResponses),
            FaultKind::LoseWorkerAnswers => daemon.workers_injector.set(FaultMode::DropResponses),
            FaultKind::SlowWorkers => {
                daemon.workers_injector.set(FaultMode::DelayResponses { delay_ms: SLOW_MS });
            }
            FaultKind::LateWorkerCalls => {
                daemon.workers_injector.set(FaultMode::DelayCalls { delay_ms: LATE_MS });
            }
            FaultKind::StoreOutage | FaultKind::SlowStore | FaultKind::ShortLeases => {
                self.store.set_faults(store_faults(fault.kind));
            }
            FaultKind::WorkerRestarts => worker.into_iter().for_each(|id| self.workers.restart(id)),
            FaultKind::WorkerUnreachable | FaultKind::WorkerFailsAll => {
                self.set_worker(worker, fault.kind, true);
            }
            FaultKind::UpstreamDies
            | FaultKind::UpstreamLosesAnswers
            | FaultKind::UpstreamLeaves
            | FaultKind::UpstreamSlow => self.set_upstream(fault, true),
        }
    }

    /// Ends an injected fault.
    pub async fn end(&self, fault: Fault) {
        let daemon = &self.daemons[fault.target % self.daemons.len()];
        let worker = self.worker_ids.get(fault.target % self.worker_ids.len().max(1)).copied();
        self.trace.note(format_args!("end   {:?} {}", fault.kind, self.target_name(fault)));
        match fault.kind {
            FaultKind::KillDaemon => self.restart(daemon),
            FaultKind::PauseDaemon => daemon.resume(),
            FaultKind::CutStore | FaultKind::LoseStoreAnswers => {
                daemon.store_injector.set(FaultMode::PassThrough);
            }
            FaultKind::CutWorkers
            | FaultKind::LoseWorkerAnswers
            | FaultKind::SlowWorkers
            | FaultKind::LateWorkerCalls => {
                daemon.workers_injector.set(FaultMode::PassThrough);
            }
            FaultKind::WorkerRestarts => {}
            FaultKind::StoreOutage | FaultKind::SlowStore | FaultKind::ShortLeases => {
                self.store.set_faults(StoreFaults::default());
            }
            FaultKind::WorkerUnreachable | FaultKind::WorkerFailsAll => {
                self.set_worker(worker, fault.kind, false);
            }
            FaultKind::UpstreamDies
            | FaultKind::UpstreamLosesAnswers
            | FaultKind::UpstreamLeaves
            | FaultKind::UpstreamSlow => self.set_upstream(fault, false),
        }
    }

    /// Ends all faults, resumes paused daemons and restarts those that are down.
    pub async fn end_all_faults(&self) {
        self.store.set_faults(StoreFaults::default());
        for daemon in &self.daemons {
            daemon.resume();
            daemon.store_injector.set(FaultMode::PassThrough);
            daemon.workers_injector.set(FaultMode::PassThrough);
            self.restart(daemon);
        }
        for worker in &self.worker_ids {
            self.set_worker(Some(*worker), FaultKind::WorkerUnreachable, false);
            self.set_worker(Some(*worker), FaultKind::WorkerFailsAll, false);
        }
        for upstream in &self.upstreams {
            upstream.set_faults(UpstreamFaults::default());
        }
        self.trace.note("all faults ended");
    }

    /// Returns a violation for each daemon that exited by itself, with the reason.
    pub fn unexpected_exits(&self) -> Vec<String> {
        self.daemons.iter().filter_map(DaemonProcess::ended).collect()
    }

    fn restart(&self, daemon: &DaemonProcess) {
        if let Err(error) = daemon.start() {
            self.trace.note(format_args!("{} failed to start: {error}", daemon.name));
        }
    }

    fn set_upstream(&self, fault: Fault, is_active: bool) {
        let index = fault.target % self.upstreams.len().max(1);
        let Some(upstream) = self.upstreams.get(index) else { return };
        let no_faults = UpstreamFaults::default();
        upstream.set_faults(match fault.kind {
            _ if !is_active => no_faults,
            FaultKind::UpstreamDies => UpstreamFaults { die_mid_answer_percent: 50, ..no_faults },
            FaultKind::UpstreamLosesAnswers => {
                UpstreamFaults { lose_answer_percent: 50, ..no_faults }
            }
            FaultKind::UpstreamLeaves => UpstreamFaults { leaving: true, ..no_faults },
            _ => UpstreamFaults { slowness: UPSTREAM_SLOWNESS, ..no_faults },
        });
    }

    fn set_worker(&self, worker: Option<WorkerId>, kind: FaultKind, is_active: bool) {
        let Some(worker) = worker else { return };
        let mut faults = self.workers.faults(worker);
        match kind {
            FaultKind::WorkerUnreachable => faults.unreachable = is_active,
            _ => faults.fail_all = is_active,
        }
        self.workers.set_faults(worker, faults);
    }

    fn target_name(&self, fault: Fault) -> String {
        match fault.kind {
            FaultKind::StoreOutage | FaultKind::SlowStore | FaultKind::ShortLeases => String::new(),
            FaultKind::WorkerUnreachable
            | FaultKind::WorkerFailsAll
            | FaultKind::WorkerRestarts => {
                let index = fault.target % self.worker_ids.len().max(1);
                format!("worker {}", self.worker_ids.get(index).copied().unwrap_or_default())
            }
            FaultKind::UpstreamDies
            | FaultKind::UpstreamLosesAnswers
            | FaultKind::UpstreamLeaves
            | FaultKind::UpstreamSlow => {
                format!("upstream {}", fault.target % self.upstreams.len().max(1) + 1)
            }
            _ => self.daemons[fault.target % self.daemons.len()].name.clone(),
        }
    }
}

impl Drop for Simulation {
    fn drop(&mut self) {
        self.stop.cancel();
        self.daemons.iter().for_each(DaemonProcess::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn store_faults(kind: FaultKind) -> StoreFaults {
    let no_faults = StoreFaults::default();
    match kind {
        FaultKind::StoreOutage => StoreFaults { outage: true, ..no_faults },
        FaultKind::SlowStore => StoreFaults { delay_ms: SLOW_MS, ..no_faults },
        _ => StoreFaults { lease_percent: SHORT_LEASE_PERCENT, ..no_faults },
    }
}

fn instance(nth: usize) -> String {
    format!("entry-{}", nth + 1)
}

fn peer_addresses(daemons: usize) -> Result<BTreeMap<String, SocketAddr>, Error> {
    (0..daemons).map(|nth| Ok((instance(nth), fresh_address()))).collect()
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Returns the `agatesilld` executable in the directory of the running program, where a build
/// places both.
pub fn sibling_daemon_binary() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    let folder: &Path = program.parent()?;
    Some(folder.join("agatesilld")).filter(|path| path.is_file())
}
