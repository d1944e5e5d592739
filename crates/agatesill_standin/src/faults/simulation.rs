//! Real daemons between the stand-ins, each with gates of its own.

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

use super::schedule::{SHORT_LEASE_PERCENT, SLOW_MS};
use super::{DaemonProcess, Fault, FaultKind, Trace};
use crate::addresses::fresh_address;
use crate::gate::{Gate, GateMode};
use crate::store::{StoreFaults, StoreStandin};
use crate::upstreams::{UpstreamFaults, UpstreamStandin, start_upstream};
use crate::workers::{WorkersStandin, start_workers_behind};

/// Longest wait for a daemon that was started.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Longest wait for one answer of a daemon.
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// How much slower a slow upstream is: its answers come after the callers' patience.
const UPSTREAM_SLOWNESS: u32 = 300;

/// Numbers the worlds of one process, for their folders.
static WORLDS: AtomicU64 = AtomicU64::new(0);

/// What a world is built from.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// The `agatesilld` program.
    pub binary: PathBuf,
    /// Settings of every daemon; instance, addresses and members are filled in.
    pub base: Settings,
    /// Number of daemons.
    pub daemons: usize,
}

/// Daemons and stand-ins of one run.
#[derive(Debug)]
pub struct Simulation {
    /// The store.
    pub store: StoreStandin,
    /// All workers.
    pub workers: WorkersStandin,
    /// All upstreams, in the order of the settings.
    pub upstreams: Vec<UpstreamStandin>,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// What happened.
    pub trace: Trace,
    worker_ids: Vec<WorkerId>,
    folder: PathBuf,
    stop: CancellationToken,
}

impl Simulation {
    /// Starts the stand-ins and the daemons and waits until every daemon answers.
    pub async fn start(options: &SimulationOptions) -> Result<Self, Error> {
        let number = WORLDS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("agatesill-faults-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let specs: Vec<WorkerSpec> =
            options.base.cells.values().flat_map(|cell| cell.workers.iter().cloned()).collect();
        let mut world = Self {
            store: StoreStandin::default(),
            workers: WorkersStandin::new(&specs),
            upstreams: Vec::new(),
            daemons: Vec::new(),
            trace: Trace::default(),
            worker_ids: specs.iter().map(|spec| spec.id).collect(),
            folder,
            stop: CancellationToken::new(),
        };
        let peers = addresses(options.daemons)?;
        let mut options = options.clone();
        world.start_upstreams(&mut options.base).await?;
        for nth in 0..options.daemons {
            let daemon = world.prepare(&options, &peers, nth).await?;
            daemon.start()?;
            world.daemons.push(daemon);
        }
        for daemon in &world.daemons {
            world.await_answer(daemon).await?;
        }
        Ok(world)
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
        let (store_gate, workers_gate) = (Gate::default(), Gate::default());
        let mut settings = options.base.clone();
        settings.instance = instance(nth);
        settings.entry.addr = fresh_address();
        settings.admin.addr = fresh_address();
        settings.peers.addr = peers[&settings.instance];
        settings.peers.members = peers.clone();
        settings.peers.members.remove(&settings.instance);
        settings.store.addr = self.serve_store(store_gate.clone()).await?;
        let workers_addr =
            start_workers_behind(&self.workers, loopback(), &workers_gate, &self.stop).await?;
        settings.cells.values_mut().for_each(|cell| cell.addr = workers_addr);
        DaemonProcess::prepare(&options.binary, &self.folder, &settings, store_gate, workers_gate)
    }

    async fn serve_store(&self, gate: Gate) -> Result<SocketAddr, Error> {
        let listener = TcpListener::bind(loopback()).await?;
        let addr = listener.local_addr()?;
        let store = self.store.clone();
        tokio::spawn(serve(listener, self.stop.clone(), move |request| {
            let (store, gate) = (store.clone(), gate.clone());
            async move {
                let call = match read_json(request.into_body()).await {
                    Ok(call) => call,
                    Err(error) => return respond::<()>(Err(error)),
                };
                let silent = || Err(Error::new(ErrorKind::Unreachable, "store"));
                respond(gate.pass(store.call(call)).await.unwrap_or_else(silent))
            }
        }));
        Ok(addr)
    }

    async fn await_answer(&self, daemon: &DaemonProcess) -> Result<(), Error> {
        let client = JsonClient::default();
        let asked = async {
            loop {
                let answer: Result<String, Error> =
                    client.call(Method::GET, daemon.admin_addr, "/healthz", &(), CALL_LIMIT).await;
                if answer.is_ok() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(START_LIMIT, asked).await.map_err(|_| {
            let why = daemon.ended().unwrap_or_default();
            Error::new(ErrorKind::Unreachable, format!("{} does not answer; {why}", daemon.name))
        })
    }

    /// Lets a fault begin.
    pub async fn begin(&self, fault: Fault) {
        let daemon = &self.daemons[fault.target % self.daemons.len()];
        let worker = self.worker_ids.get(fault.target % self.worker_ids.len().max(1)).copied();
        self.trace.note(format_args!("begin {:?} {}", fault.kind, self.struck(fault)));
        match fault.kind {
            FaultKind::KillDaemon => daemon.kill(),
            FaultKind::PauseDaemon => daemon.pause(),
            FaultKind::CutStore => daemon.store_gate.set(GateMode::Cut),
            FaultKind::CutWorkers => daemon.workers_gate.set(GateMode::Cut),
            FaultKind::LoseStoreAnswers => daemon.store_gate.set(GateMode::LoseAnswers),
            FaultKind::LoseWorkerAnswers => daemon.workers_gate.set(GateMode::LoseAnswers),
            FaultKind::SlowWorkers => {
                daemon.workers_gate.set(GateMode::SlowAnswers { delay_ms: SLOW_MS });
            }
            FaultKind::StoreOutage | FaultKind::SlowStore | FaultKind::ShortLeases => {
                self.store.set_faults(store_faults(fault.kind));
            }
            FaultKind::WorkerUnreachable | FaultKind::WorkerFailsAll => {
                self.set_worker(worker, fault.kind, true);
            }
            FaultKind::UpstreamDies
            | FaultKind::UpstreamLosesAnswers
            | FaultKind::UpstreamLeaves
            | FaultKind::UpstreamSlow => self.set_upstream(fault, true),
        }
    }

    /// Ends a fault.
    pub async fn end(&self, fault: Fault) {
        let daemon = &self.daemons[fault.target % self.daemons.len()];
        let worker = self.worker_ids.get(fault.target % self.worker_ids.len().max(1)).copied();
        self.trace.note(format_args!("end   {:?} {}", fault.kind, self.struck(fault)));
        match fault.kind {
            FaultKind::KillDaemon => self.restart(daemon),
            FaultKind::PauseDaemon => daemon.resume(),
            FaultKind::CutStore | FaultKind::LoseStoreAnswers => {
                daemon.store_gate.set(GateMode::Open);
            }
            FaultKind::CutWorkers | FaultKind::LoseWorkerAnswers | FaultKind::SlowWorkers => {
                daemon.workers_gate.set(GateMode::Open);
            }
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

    /// Ends whatever still goes wrong and starts the daemons that are down.
    pub async fn heal(&self) {
        self.store.set_faults(StoreFaults::default());
        for daemon in &self.daemons {
            daemon.resume();
            daemon.store_gate.set(GateMode::Open);
            daemon.workers_gate.set(GateMode::Open);
            self.restart(daemon);
        }
        for worker in &self.worker_ids {
            self.set_worker(Some(*worker), FaultKind::WorkerUnreachable, false);
            self.set_worker(Some(*worker), FaultKind::WorkerFailsAll, false);
        }
        for upstream in &self.upstreams {
            upstream.set_faults(UpstreamFaults::default());
        }
        self.trace.note("all faults over");
    }

    /// Daemons that ended by themselves, with the reason; none should.
    pub fn panics(&self) -> Vec<String> {
        self.daemons.iter().filter_map(DaemonProcess::ended).collect()
    }

    fn restart(&self, daemon: &DaemonProcess) {
        if let Err(error) = daemon.start() {
            self.trace.note(format_args!("{} could not start: {error}", daemon.name));
        }
    }

    fn set_upstream(&self, fault: Fault, on: bool) {
        let index = fault.target % self.upstreams.len().max(1);
        let Some(upstream) = self.upstreams.get(index) else { return };
        let none = UpstreamFaults::default();
        upstream.set_faults(match fault.kind {
            _ if !on => none,
            FaultKind::UpstreamDies => UpstreamFaults { die_mid_answer_percent: 50, ..none },
            FaultKind::UpstreamLosesAnswers => UpstreamFaults { lose_answer_percent: 50, ..none },
            FaultKind::UpstreamLeaves => UpstreamFaults { leaving: true, ..none },
            _ => UpstreamFaults { slowness: UPSTREAM_SLOWNESS, ..none },
        });
    }

    fn set_worker(&self, worker: Option<WorkerId>, kind: FaultKind, on: bool) {
        let Some(worker) = worker else { return };
        let mut faults = self.workers.faults(worker);
        match kind {
            FaultKind::WorkerUnreachable => faults.unreachable = on,
            _ => faults.fail_all = on,
        }
        self.workers.set_faults(worker, faults);
    }

    fn struck(&self, fault: Fault) -> String {
        match fault.kind {
            FaultKind::StoreOutage | FaultKind::SlowStore | FaultKind::ShortLeases => String::new(),
            FaultKind::WorkerUnreachable | FaultKind::WorkerFailsAll => {
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
    let none = StoreFaults::default();
    match kind {
        FaultKind::StoreOutage => StoreFaults { outage: true, ..none },
        FaultKind::SlowStore => StoreFaults { delay_ms: SLOW_MS, ..none },
        _ => StoreFaults { lease_percent: SHORT_LEASE_PERCENT, ..none },
    }
}

fn instance(nth: usize) -> String {
    format!("entry-{}", nth + 1)
}

fn addresses(daemons: usize) -> Result<BTreeMap<String, SocketAddr>, Error> {
    (0..daemons).map(|nth| Ok((instance(nth), fresh_address()))).collect()
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// The program `agatesilld` beside the running one, where a build puts both.
pub fn sibling_daemon_binary() -> Option<PathBuf> {
    let this = std::env::current_exe().ok()?;
    let folder: &Path = this.parent()?;
    Some(folder.join("agatesilld")).filter(|path| path.is_file())
}
