//! The edges of a daemon, and their shares of its memory and descriptors.

use std::sync::Arc;
use std::time::Duration;

use agatesill_platform::prelude::*;
use agatesill_policy::connections::{ProcessUse, Shares};
use agatesill_wire::listener::{Edge, EdgeLimits};
use tokio_util::sync::CancellationToken;

use super::daemon_state::DaemonState;

/// Interval between updates of the shares and limits.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// The edges of one daemon.
#[derive(Debug)]
pub struct Edges {
    /// Callers.
    pub callers: Edge,
    /// Other daemons. Their connections are idle for as long as there is nothing to say.
    pub peers: Edge,
    /// The readiness endpoint.
    pub ready: Edge,
    /// The metrics endpoint.
    pub metrics: Edge,
}

impl Edges {
    /// The edges of a starting daemon.
    pub fn new(settings: &NodeSettings) -> Self {
        let start = ProcessUse { own_bytes: 0, workers: 0 };
        let shares = Shares::new(settings.process_limits, start);
        let limits = EdgeLimits::default();
        let peer_limits = EdgeLimits { idle_timeout: None, ..limits };
        Self {
            callers: Edge::new("callers", limits, shares.callers),
            peers: Edge::new("peers", peer_limits, shares.peers),
            ready: Edge::new("ready", limits, shares.ready),
            metrics: Edge::new("metrics", limits, shares.metrics),
        }
    }

    /// All edges.
    pub fn all(&self) -> [&Edge; 4] {
        [&self.callers, &self.peers, &self.ready, &self.metrics]
    }

    /// Resident memory that the connections to all edges hold, by their counts.
    fn resident_bytes(&self) -> u64 {
        self.all().iter().map(|edge| edge.resident_bytes()).sum()
    }
}

/// Keeps the shares and the limits up to date with what the daemon needs itself and with the active
/// configuration, until `stop` is cancelled. `receive_buffer_bytes` is the size of the kernel's receive
/// buffers.
pub async fn keep_up_to_date(
    daemon: Arc<DaemonState>,
    receive_buffer_bytes: usize,
    stop: CancellationToken,
) {
    let mut updates = tokio::time::interval(UPDATE_INTERVAL);
    let mut is_first = true;
    while stop.run_until_cancelled(updates.tick()).await.is_some() {
        let limits = daemon.config().map(|config| config.limits).unwrap_or_default();
        daemon.edges.callers.set_limits(&caller_limits(&limits, receive_buffer_bytes));
        let used = ProcessUse {
            own_bytes: resident_bytes().unwrap_or(0).saturating_sub(daemon.edges.resident_bytes()),
            workers: daemon.planner_stats().workers as usize,
        };
        let callers = Shares::new(daemon.settings.process_limits, used).callers;
        daemon.edges.callers.set_share(callers);
        if std::mem::take(&mut is_first) {
            log::info!(event = "connection_shares", own_bytes = used.own_bytes,
                caller_connections = callers.connections, caller_bytes = callers.bytes,
                receive_buffer_bytes = receive_buffer_bytes; "");
        }
    }
}

/// The limits of callers' connections in a configuration.
fn caller_limits(limits: &RequestLimits, receive_buffer_bytes: usize) -> EdgeLimits {
    let default = EdgeLimits::default();
    EdgeLimits {
        receive_buffer_bytes,
        max_head_bytes: limits.max_header_bytes.unwrap_or(default.max_head_bytes),
        head_timeout: limits.header_timeout_ms.map_or(default.head_timeout, Duration::from_millis),
        idle_timeout: limits.idle_timeout_ms.map(Duration::from_millis).or(default.idle_timeout),
        ..default
    }
}

/// Resident memory of this process; `None` if the system does not tell.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().split(' ').next()?.parse().ok()?;
    Some(kilobytes << 10)
}
