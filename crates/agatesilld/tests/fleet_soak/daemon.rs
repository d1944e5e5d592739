//! A daemon as a separate process, with a proxy between it and the store.

use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hyper::Method;
use tokio_util::sync::CancellationToken;

use crate::support::caller::call;
use crate::support::proxy::Proxy;
use crate::support::settings::{self, ListenAddrs};

/// Number of the termination signal.
const SIGTERM: i32 = 15;

/// How long a planned stop may take before the process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// Memory limit of a daemon.
const MEMORY_MB: u64 = 128;

/// The same in kilobytes.
const MAX_MEMORY_KB: u64 = MEMORY_MB << 10;

/// Limit of a daemon's descriptors.
const MAX_FDS: usize = 1_000;

pub struct Daemon {
    pub name: String,
    pub listen_addrs: ListenAddrs,
    /// Proxy between this daemon and the store.
    pub store: Proxy,
    folder: PathBuf,
    metrics_port: u16,
    /// Mode of load control; the default without one.
    load_control: Option<&'static str>,
    child: Mutex<Option<Child>>,
    /// Number of processes started.
    starts: AtomicU64,
    /// When processes were killed.
    kills: Mutex<Vec<Instant>>,
    /// Whether the process was asked to stop.
    was_asked_to_stop: AtomicBool,
    /// Failures of the process itself.
    problems: Mutex<Vec<String>>,
}

impl Daemon {
    /// Writes the settings. The process is not started yet.
    pub async fn prepare(
        folder: &Path,
        name: &str,
        store: SocketAddr,
        cpu_share: f64,
        load_control: Option<&'static str>,
        stop: &CancellationToken,
    ) -> Self {
        let listen_addrs = ListenAddrs::allocate().await;
        let store = Proxy::start(store, stop).await;
        let metrics_port = crate::support::free_addr().await.port();
        let limits = format!("cpuShare: {cpu_share}, memoryMb: {MEMORY_MB}, maxFds: {MAX_FDS}");
        let text = settings::daemon_with_limits(name, &listen_addrs, store.addr, &limits);
        std::fs::write(folder.join(format!("{name}.yaml")), text).unwrap();
        Self {
            name: name.to_owned(),
            listen_addrs,
            store,
            folder: folder.to_owned(),
            metrics_port,
            load_control,
            child: Mutex::new(None),
            starts: AtomicU64::new(0),
            kills: Mutex::default(),
            was_asked_to_stop: AtomicBool::new(false),
            problems: Mutex::default(),
        }
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    /// Starts the process unless it runs.
    pub fn start(&self) {
        let mut child = self.child();
        if child.is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(self.log_path()).unwrap();
        let errors = log.try_clone().unwrap();
        let process = Command::new(program())
            .args(["--platform", "--metrics-port", &self.metrics_port.to_string()])
            .args(self.load_control.iter().flat_map(|mode| ["--load-control", mode]))
            .env("AGATESILL_NODE_FILE", self.folder.join(format!("{}.yaml", self.name)))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap();
        self.was_asked_to_stop.store(false, Relaxed);
        self.starts.fetch_add(1, Relaxed);
        *child = Some(process);
    }

    /// Whether an owner key of the store names this daemon.
    pub fn is_named_in(&self, owner: &str) -> bool {
        owner.contains(&format!("\"{}\"", self.name))
    }

    /// Identifies the present process: the number of processes started so far.
    pub fn lifetime(&self) -> u64 {
        self.starts.load(Relaxed)
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&self) {
        let taken = self.child().take();
        if let Some(mut child) = taken {
            self.kills.lock().unwrap().push(Instant::now());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// When processes were killed so far.
    pub fn kills(&self) -> Vec<Instant> {
        self.kills.lock().unwrap().clone()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = self.child().as_ref() {
            let id = child.id().to_string();
            let _ = Command::new("kill").arg(format!("-{name}")).arg(id).status();
        }
    }

    /// Stops the process as a release does and waits for it; false if it had to be killed.
    pub async fn terminate(&self) -> bool {
        let Some(id) = self.id() else { return true };
        self.was_asked_to_stop.store(true, Relaxed);
        self.signal("TERM");
        let until = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < until {
            // Another stop that overlaps with this one may have started the next process.
            if self.is_stopped() || self.id() != Some(id) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.kill();
        false
    }

    /// Whether no process runs. An ended process is reaped and its failure recorded.
    pub fn is_stopped(&self) -> bool {
        let mut child = self.child();
        let Some(process) = child.as_mut() else { return true };
        let Ok(Some(status)) = process.try_wait() else { return false };
        *child = None;
        drop(child);
        // A process that is stopped before it has installed its signal handlers is terminated by
        // the signal. It has read no request, and its log does not report that it served.
        let is_our_signal =
            status.signal() == Some(SIGTERM) && self.was_asked_to_stop.swap(false, Relaxed);
        if !status.success() && !is_our_signal {
            self.problems.lock().unwrap().push(format!("{} exited with {status}", self.name));
        }
        true
    }

    pub async fn is_ready(&self) -> bool {
        let asked = call(self.listen_addrs.ready, Method::GET, "/agatesill/readyz", "").await;
        asked.is_some_and(|(status, ..)| status == 200)
    }

    /// Lines of its log with this event.
    pub fn log_lines(&self, event: &str) -> Vec<serde_json::Value> {
        let text = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        text.lines()
            .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
            .filter(|line| line["event"] == event)
            .collect()
    }

    /// Failures of the process: it exited by itself, panicked or exceeded its memory limit.
    pub fn problems(&self) -> Vec<String> {
        let _ = self.is_stopped();
        let text = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        let panics = text.lines().filter(|line| line.contains("panicked"));
        let mut problems: Vec<String> =
            panics.map(|line| format!("{}: {line}", self.name)).collect();
        problems.extend(self.problems.lock().unwrap().clone());
        problems.extend(
            self.peak_memory_kb()
                .filter(|memory_kb| *memory_kb > MAX_MEMORY_KB)
                .map(|memory_kb| format!("{} used {} MB", self.name, memory_kb >> 10)),
        );
        problems
    }

    /// Highest resident memory of the present process so far.
    fn peak_memory_kb(&self) -> Option<u64> {
        let id = self.id()?;
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().split(' ').next()?.parse().ok()
    }

    fn id(&self) -> Option<u32> {
        self.child().as_ref().map(Child::id)
    }

    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap()
    }
}

/// The daemon's program: `FLEET_SOAK_DAEMON`, such as that of an earlier version, or else the present
/// one.
fn program() -> PathBuf {
    let present = env!("CARGO_BIN_EXE_agatesilld");
    std::env::var_os("FLEET_SOAK_DAEMON").map_or_else(|| PathBuf::from(present), PathBuf::from)
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
