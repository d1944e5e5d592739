//! Settings of one daemon, read from a YAML file. The structs mirror its sections.

mod check;
mod keys;
mod read;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use agatesill_policy::prelude::*;
use agatesill_policy::value_type;

pub use keys::known_keys;
pub use read::{SettingsError, parse, read};

value_type! {
    /// The settings file.
    pub struct Settings {
        /// Name of this instance, unique among the daemons.
        pub instance: String,
        /// Availability zone of this instance.
        pub zone: String,
        /// Listener for callers.
        pub entry: EntrySettings,
        /// Admin interface for operators.
        pub admin: AdminSettings,
        /// Connections to the other daemons.
        pub peers: PeerSettings,
        /// The platform's key-value service.
        pub store: StoreSettings,
        /// Upstream pools by name.
        #[serde(default)]
        pub pools: BTreeMap<String, Vec<UpstreamSettings>>,
        /// Worker cells by name.
        #[serde(default)]
        pub cells: BTreeMap<String, CellSettings>,
        /// Connections to upstreams.
        #[serde(default)]
        pub upstreams: UpstreamLimits,
        /// Records of non-repeatable requests.
        #[serde(default)]
        pub records: RecordSettings,
        /// Logging.
        #[serde(default)]
        pub log: LogSettings,
    }
}

value_type! {
    /// Listener for callers.
    pub struct EntrySettings {
        /// Address on which callers connect.
        pub addr: SocketAddr,
        /// Number of threads that relay requests.
        #[serde(default = "default_relay_threads")]
        pub relay_threads: usize,
        /// Time that in-flight requests get to finish during a graceful shutdown.
        #[serde(default = "default_drain_ms")]
        pub drain_ms: u64,
        /// Time until the load balancer notices that this instance is no longer ready. Callers are
        /// accepted for that long after a graceful shutdown has begun.
        #[serde(default = "default_balancer_lag_ms")]
        pub balancer_lag_ms: u64,
        /// Maximum number of concurrent caller connections.
        #[serde(default = "default_max_connections")]
        pub max_connections: usize,
        /// Timeout for receiving a request head, and for idle connections.
        #[serde(default = "default_head_ms")]
        pub head_ms: u64,
        /// Timeout for receiving the buffered part of a body.
        #[serde(default = "default_body_ms")]
        pub body_ms: u64,
        /// Timeout for a caller that reads nothing of a pending answer.
        #[serde(default = "default_stall_ms")]
        pub stall_ms: u64,
        /// Maximum size of a request body.
        #[serde(default = "default_max_body_bytes")]
        pub max_body_bytes: u64,
        /// Bodies up to this size are buffered, so that a repeatable request can be retried. Larger
        /// bodies are streamed.
        #[serde(default = "default_buffer_bytes")]
        pub buffer_bytes: usize,
    }
}

value_type! {
    /// Connections to upstreams.
    pub struct UpstreamLimits {
        /// Maximum number of connections to one upstream, shared by all live daemons.
        #[serde(default = "default_connections")]
        pub connections: usize,
        /// Connect timeout.
        #[serde(default = "default_connect_ms")]
        pub connect_ms: u64,
    }
}

impl Default for UpstreamLimits {
    fn default() -> Self {
        Self { connections: default_connections(), connect_ms: default_connect_ms() }
    }
}

value_type! {
    /// Records of non-repeatable requests.
    pub struct RecordSettings {
        /// Time for which an outcome is kept for repeated requests.
        #[serde(default = "default_keep_ms")]
        pub keep_ms: u64,
        /// Maximum memory for recorded answers.
        #[serde(default = "default_record_bytes")]
        pub max_bytes: usize,
        /// Time for which a request may continue after its caller's deadline, so that its outcome
        /// becomes known.
        #[serde(default = "default_settle_ms")]
        pub settle_ms: u64,
    }
}

impl Default for RecordSettings {
    fn default() -> Self {
        Self {
            keep_ms: default_keep_ms(),
            max_bytes: default_record_bytes(),
            settle_ms: default_settle_ms(),
        }
    }
}

value_type! {
    /// Admin interface for operators.
    pub struct AdminSettings {
        /// Address on which operators connect. Use a loopback address unless operators connect
        /// remotely.
        pub addr: SocketAddr,
        /// Tokens by operator name. If empty, names are accepted without authentication.
        /// Never serialised, so that `--check` shows no secret.
        #[serde(default, skip_serializing)]
        pub tokens: BTreeMap<String, String>,
        /// Whether a configuration change that promises more than the capacity of the workers and
        /// upstreams is rejected. Otherwise it only causes a warning.
        #[serde(default)]
        pub refuse_beyond_floor: bool,
    }
}

value_type! {
    /// Connections to the other daemons.
    pub struct PeerSettings {
        /// Address on which peers connect.
        pub addr: SocketAddr,
        /// Addresses of the daemons by instance name.
        #[serde(default)]
        pub members: BTreeMap<String, SocketAddr>,
        /// Availability zones of the daemons. Slots are owned by zone only if the zone of every
        /// member is listed. The list must be the same on all daemons.
        #[serde(default)]
        pub zones: BTreeMap<String, String>,
        /// Interval between heartbeats.
        #[serde(default = "default_heartbeat_ms")]
        pub heartbeat_ms: u64,
        /// Time without a heartbeat after which a peer counts as disconnected.
        #[serde(default = "default_suspect_ms")]
        pub suspect_ms: u64,
    }
}

value_type! {
    /// The platform's key-value service.
    pub struct StoreSettings {
        /// Address of the store.
        pub addr: SocketAddr,
        /// Time to live of this instance's lease.
        #[serde(default = "default_lease_ms")]
        pub lease_ms: u64,
        /// Interval between lease renewals.
        #[serde(default = "default_renew_ms")]
        pub renew_ms: u64,
        /// Interval of group commits, over which ledger changes are collected into one write.
        #[serde(default = "default_commit_ms")]
        pub commit_ms: u64,
        /// Maximum number of calls a second from this daemon.
        #[serde(default = "default_calls_per_s")]
        pub calls_per_s: u32,
    }
}

value_type! {
    /// One upstream of a pool.
    pub struct UpstreamSettings {
        /// Id of the upstream, unique over all pools.
        pub id: UpstreamId,
        /// Address of the upstream.
        pub addr: SocketAddr,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
        /// Its availability zone.
        pub zone: String,
    }
}

value_type! {
    /// One cell of workers.
    pub struct CellSettings {
        /// Address of the platform's interface to these workers.
        pub addr: SocketAddr,
        /// Duration of an attempt's lease.
        #[serde(default = "default_attempt_lease_ms")]
        pub attempt_lease_ms: u64,
        /// Interval between calls to one worker.
        #[serde(default = "default_poll_ms")]
        pub poll_ms: u64,
        /// Time for which an owner keeps renewing running attempts while the store cannot confirm
        /// its ownership. A new owner waits that long for an unreachable worker before it declares
        /// the worker's attempts lost.
        #[serde(default = "default_outage_renew_ms")]
        pub outage_renew_ms: u64,
        /// The workers.
        pub workers: Vec<WorkerSpec>,
    }
}

value_type! {
    /// Logging.
    pub struct LogSettings {
        /// Minimum level that is logged: error, warn, info, debug or off.
        pub level: String,
        /// File to append to; empty for standard error.
        #[serde(default)]
        pub path: String,
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), path: String::new() }
    }
}

fn default_relay_threads() -> usize {
    2
}

fn default_drain_ms() -> u64 {
    10_000
}

fn default_balancer_lag_ms() -> u64 {
    2_000
}

fn default_max_connections() -> usize {
    2_048
}

fn default_head_ms() -> u64 {
    10_000
}

fn default_body_ms() -> u64 {
    10_000
}

fn default_stall_ms() -> u64 {
    10_000
}

fn default_max_body_bytes() -> u64 {
    8 << 20
}

fn default_buffer_bytes() -> usize {
    16 << 10
}

fn default_connections() -> usize {
    60
}

fn default_connect_ms() -> u64 {
    500
}

fn default_keep_ms() -> u64 {
    600_000
}

fn default_record_bytes() -> usize {
    32 << 20
}

fn default_settle_ms() -> u64 {
    30_000
}

fn default_heartbeat_ms() -> u64 {
    200
}

fn default_suspect_ms() -> u64 {
    2_000
}

fn default_lease_ms() -> u64 {
    5_000
}

fn default_renew_ms() -> u64 {
    1_000
}

fn default_calls_per_s() -> u32 {
    agatesill_coord::store::DEFAULT_CALLS_PER_S
}

fn default_commit_ms() -> u64 {
    100
}

fn default_attempt_lease_ms() -> u64 {
    15_000
}

fn default_outage_renew_ms() -> u64 {
    600_000
}

fn default_poll_ms() -> u64 {
    500
}
