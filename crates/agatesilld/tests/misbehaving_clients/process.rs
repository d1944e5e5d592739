//! One daemon process with lowered limits, and what the kernel counts for it.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use hyper::Method;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::support::caller::call;
use crate::support::settings::{self, ListenAddrs, queue};
use crate::support::store::FakeStore;
use crate::support::{free_addr, wait_until};

/// Memory of the daemon's machine.
pub const MEMORY_MB: u64 = 64;

/// Descriptors of the daemon's process.
pub const MAX_FDS: usize = 1_000;

/// Descriptors that the platform reserves for files; the others are shared by sockets and pipes.
const FILE_FDS: usize = 200;

/// Kilobytes in a megabyte.
const KB_PER_MB: u64 = 1_024;

/// A daemon between a simulated store and the clients of a test.
pub struct DaemonProcess {
    pub addrs: ListenAddrs,
    pub metrics: SocketAddr,
    child: Child,
    folder: PathBuf,
    stop: CancellationToken,
}

impl DaemonProcess {
    /// Starts the store and the daemon, and waits until the daemon is ready.
    pub async fn start() -> Self {
        let stop = CancellationToken::new();
        let (store, store_addr) = FakeStore::start(&stop).await;
        let mut desk = queue("desk", 0);
        desk["prefix"] = json!("/q/");
        let limits = json!({"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000});
        let config = json!({"version": 1, "routes": [desk], "services": [], "limits": limits});
        store.put("op/config", &config.to_string());

        let addrs = ListenAddrs::allocate().await;
        let metrics = free_addr().await;
        let name = format!("daemon-{}", addrs.entry.port());
        let folder = std::env::temp_dir().join(format!("misbehaving-{}", addrs.entry.port()));
        std::fs::create_dir_all(&folder).unwrap();
        let limits = format!("cpuShare: 0.5, memoryMb: {MEMORY_MB}, maxFds: {MAX_FDS}");
        let text = settings::daemon_with_limits(&name, &addrs, store_addr, &limits);
        let path = folder.join("settings.yaml");
        std::fs::write(&path, text).unwrap();
        let log = File::create(folder.join("daemon.log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_agatesilld"))
            .args(["--platform", "--metrics-port", &metrics.port().to_string()])
            .env("AGATESILL_NODE_FILE", path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let daemon = Self { addrs, metrics, child, folder, stop };
        wait_until("the daemon is ready", || daemon.is_ready()).await;
        daemon
    }

    pub async fn is_ready(&self) -> bool {
        let reply = call(self.addrs.ready, Method::GET, "/agatesill/readyz", "").await;
        reply.is_some_and(|(status, ..)| status == 200)
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Highest resident memory of the process so far.
    pub fn peak_resident_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(u64::MAX)
    }

    /// Open sockets and pipes of the process.
    pub fn socket_fds(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.child.id());
        let Ok(entries) = std::fs::read_dir(folder) else { return usize::MAX };
        let targets = entries.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
        targets.filter(|target| !target.starts_with("/")).count()
    }

    /// Bytes that the kernel has received on the daemon's ports and that the process has not read.
    pub fn unread_kb(&self) -> u64 {
        let ListenAddrs { entry, ready, peer } = self.addrs;
        let ports = [entry, ready, peer, self.metrics].map(|addr| addr.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let unread: u64 = table.lines().skip(1).filter_map(|line| unread_bytes(line, &ports)).sum();
        unread / KB_PER_MB
    }

    /// Most sockets and pipes that the process may have open.
    pub fn max_socket_fds() -> usize {
        MAX_FDS - FILE_FDS
    }

    /// Most memory that the process may use, unread bytes included.
    pub fn max_memory_kb() -> u64 {
        MEMORY_MB * KB_PER_MB
    }
}

/// Unread bytes of an established connection to one of `ports`, as a line of the kernel's table.
fn unread_bytes(line: &str, ports: &[u16]) -> Option<u64> {
    const ESTABLISHED: &str = "01";
    let columns: Vec<&str> = line.split_whitespace().collect();
    let (local, state, queues) = (columns.get(1)?, columns.get(3)?, columns.get(4)?);
    let port = u16::from_str_radix(local.split(':').nth(1)?, 16).ok()?;
    let received = u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()?;
    (*state == ESTABLISHED && ports.contains(&port)).then_some(received)
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.stop.cancel();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
