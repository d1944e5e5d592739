//! Clients that send what no ordinary caller sends, and the checks of the daemon beside them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use futures::stream::{StreamExt, iter};
use hyper::Method;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::process::DaemonProcess;
use crate::support::caller::call;
use crate::support::settings::{Step, TaskFault, job};
use crate::support::wait_until;

/// Connections that the clients open at the same time, so that the listener's queue does not overflow.
const CONCURRENT_CONNECTS: usize = 64;

/// Time after which a client gives up the opening of its connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without progress after which a client stops writing and holds its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between samples of the daemon's memory and descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which the daemon is observed after the last client has written.
const OBSERVATION: Duration = Duration::from_secs(2);

/// A crowd of equal clients.
pub struct Crowd {
    pub clients: usize,
    /// Written one after the other by each client, which then holds its connection.
    pub pieces: Vec<Arc<[u8]>>,
    /// Pause after each piece, so that each arrives in a packet of its own.
    pub pause: Duration,
}

impl Crowd {
    /// A crowd that writes without pauses.
    pub fn new(clients: usize, pieces: Vec<Vec<u8>>) -> Self {
        let pieces = pieces.into_iter().map(Arc::from).collect();
        Self { clients, pieces, pause: Duration::ZERO }
    }

    /// Connects all clients, then lets all of them write at once. Returns the connections that the
    /// daemon has not closed.
    async fn attack(self, addr: SocketAddr) -> Vec<TcpStream> {
        let connecting = (0..self.clients).map(|_| tokio::spawn(connect(addr)));
        let connecting = iter(connecting).buffer_unordered(CONCURRENT_CONNECTS);
        let connected = connecting.filter_map(|stream| async { stream.ok().flatten() });
        let connected: Vec<TcpStream> = connected.collect().await;
        let writing = connected
            .into_iter()
            .map(|stream| tokio::spawn(write(stream, self.pieces.clone(), self.pause)));
        join_all(writing).await.into_iter().filter_map(|stream| stream.ok().flatten()).collect()
    }
}

/// Opens a connection; `None` if the daemon accepts none.
async fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Writes the pieces, or those that the daemon reads; `None` if it closes the connection.
async fn write(
    mut stream: TcpStream,
    pieces: Vec<Arc<[u8]>>,
    pause: Duration,
) -> Option<TcpStream> {
    for piece in pieces {
        match timeout(WRITE_TIMEOUT, stream.write_all(&piece)).await {
            Ok(written) => written.ok()?,
            Err(_) => return Some(stream),
        }
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
    Some(stream)
}

/// Most memory and descriptors that samples have shown.
#[derive(Default)]
struct Peaks {
    unread_kb: u64,
    socket_fds: usize,
}

impl Peaks {
    async fn sample_until(&mut self, daemon: &DaemonProcess, until: Option<Instant>) {
        while until.is_none_or(|until| Instant::now() < until) {
            self.unread_kb = self.unread_kb.max(daemon.unread_kb());
            self.socket_fds = self.socket_fds.max(daemon.socket_fds());
            sleep(SAMPLE_INTERVAL).await;
        }
    }
}

/// Runs a crowd against the daemon's address that `target` selects. The daemon must live, stay
/// within its limits and answer an ordinary request while the crowd's connections are still open.
pub async fn check(crowd: Crowd, target: fn(&DaemonProcess) -> SocketAddr) {
    let mut daemon = DaemonProcess::start().await;
    let mut peaks = Peaks::default();
    let addr = target(&daemon);
    let held = tokio::select! {
        held = crowd.attack(addr) => held,
        () = peaks.sample_until(&daemon, None) => Vec::new(),
    };
    peaks.sample_until(&daemon, Some(Instant::now() + OBSERVATION)).await;

    assert!(daemon.is_running(), "the daemon has ended");
    wait_until("an ordinary request is answered", || is_accepted(daemon.addrs.entry)).await;
    wait_until("the daemon is ready", || daemon.is_ready()).await;
    peaks.sample_until(&daemon, Some(Instant::now() + SAMPLE_INTERVAL)).await;
    assert!(daemon.is_running(), "the daemon has ended");
    let resident_kb = daemon.peak_resident_kb();
    println!(
        "resident {resident_kb} kB, unread {} kB, sockets {}, connections held {}",
        peaks.unread_kb,
        peaks.socket_fds,
        held.len()
    );
    let memory_kb = resident_kb + peaks.unread_kb;
    let max_memory_kb = DaemonProcess::max_memory_kb();
    assert!(memory_kb <= max_memory_kb, "memory: {memory_kb} kB of {max_memory_kb} kB");
    let max_socket_fds = DaemonProcess::max_socket_fds();
    assert!(
        peaks.socket_fds <= max_socket_fds,
        "sockets: {} of {max_socket_fds}",
        peaks.socket_fds
    );
}

/// Submits a job on a new connection.
async fn is_accepted(entry: SocketAddr) -> bool {
    let (is_best_effort, after) = (false, Vec::new());
    let step = Step { count: 1, work_ms: 100, cpu_milli: 1_000, is_best_effort, after };
    let body = job(&[step], TaskFault::None);
    let reply = call(entry, Method::POST, "/q/00000000000000aa", &body);
    matches!(timeout(Duration::from_secs(3), reply).await, Ok(Some((200, ..))))
}
