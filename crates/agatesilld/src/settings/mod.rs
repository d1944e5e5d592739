//! Settings of one daemon, read from a YAML file whose sections these structs mirror.

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
    /// The whole file.
    pub struct Settings {
        /// Name of this instance, unique among the daemons.
        pub instance: String,
        /// Availability zone of this instance.
        pub zone: String,
        /// Entry for callers.
        pub entry: EntrySettings,
        /// Entry for operators.
        pub admin: AdminSettings,
        /// Links to the other daemons.
        pub peers: PeerSettings,
        /// The platform's key-value service.
        pub store: StoreSettings,
        /// Pools of upstreams by name.
        #[serde(default)]
        pub pools: BTreeMap<String, Vec<UpstreamSettings>>,
        /// Cells of workers by name.
        #[serde(default)]
        pub cells: BTreeMap<String, CellSettings>,
        /// Connections to upstreams.
        #[serde(default)]
        pub upstreams: UpstreamLimits,
        /// Records of non-repeatable requests.
        #[serde(default)]
        pub records: RecordSettings,
        /// Logs.
        #[serde(default)]
        pub log: LogSettings,
    }
}

value_type! {
    /// Entry for callers.
    pub struct EntrySettings {
        /// Where callers connect.
        pub addr: SocketAddr,
        /// Threads that relay requests.
        #[serde(default = "default_relay_threads")]
        pub relay_threads: usize,
        /// How long in-flight requests may take to finish at a planned stop.
        #[serde(default = "default_drain_ms")]
        pub drain_ms: u64,
        /// How long the balancer may take to see that this instance is no longer ready; callers
        /// are accepted for that long after a planned stop began.
        #[serde(default = "default_balancer_lag_ms")]
        pub balancer_lag_ms: u64,
        /// Connections of callers at once.
        #[serde(default = "default_max_connections")]
        pub max_connections: usize,
        /// How long a caller may take over a head, and how long an idle connection is kept.
        #[serde(default = "default_head_ms")]
        pub head_ms: u64,
        /// How long a caller may take over the buffered part of a body.
        #[serde(default = "default_body_ms")]
        pub body_ms: u64,
        /// How long a caller may take nothing of an answer that waits for it.
        #[serde(default = "default_stall_ms")]
        pub stall_ms: u64,
        /// Largest body of a request.
        #[serde(default = "default_max_body_bytes")]
        pub max_body_bytes: u64,
        /// Bodies up to this are held, so that a repeatable request can be sent again; larger ones
        /// are passed on as they arrive.
        #[serde(default = "default_buffer_bytes")]
        pub buffer_bytes: usize,
    }
}

value_type! {
    /// Connections to upstreams.
    pub struct UpstreamLimits {
        /// Connections to one upstream, shared by all live daemons.
        #[serde(default = "default_connections")]
        pub connections: usize,
        /// How long a connection may take to open.
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
        /// How long the outcome of one is kept for repeats.
        #[serde(default = "default_keep_ms")]
        pub keep_ms: u64,
        /// Memory for kept answers.
        #[serde(default = "default_record_bytes")]
        pub max_bytes: usize,
        /// How long one may run on after its caller's deadline, so that its outcome is known.
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
    /// Entry for operators.
    pub struct AdminSettings {
        /// Where operators connect; loopback unless set otherwise.
        pub addr: SocketAddr,
        /// Tokens by operator's name; empty means that names alone are believed.
        /// Never written out again, so that `--check` shows no secret.
        #[serde(default, skip_serializing)]
        pub tokens: BTreeMap<String, String>,
        /// Whether a change that sells more than the floor holds is refused, not only warned of.
        #[serde(default)]
        pub refuse_beyond_floor: bool,
    }
}

value_type! {
    /// Links to the other daemons.
    pub struct PeerSettings {
        /// Where peers connect.
        pub addr: SocketAddr,
        /// The other daemons by instance name.
        #[serde(default)]
        pub members: BTreeMap<String, SocketAddr>,
        /// Their availability zones. Slots are owned by zone only where that of every member is
        /// named, and all daemons must name the same.
        #[serde(default)]
        pub zones: BTreeMap<String, String>,
        /// Time between heartbeats.
        #[serde(default = "default_heartbeat_ms")]
        pub heartbeat_ms: u64,
        /// Silence after which a peer counts as gone.
        #[serde(default = "default_suspect_ms")]
        pub suspect_ms: u64,
    }
}

value_type! {
    /// The platform's key-value service.
    pub struct StoreSettings {
        /// Where it answers.
        pub addr: SocketAddr,
        /// Time to live of this instance's lease.
        #[serde(default = "default_lease_ms")]
        pub lease_ms: u64,
        /// Time between renewals.
        #[serde(default = "default_renew_ms")]
        pub renew_ms: u64,
        /// Time over which ledger changes are gathered into one write.
        #[serde(default = "default_commit_ms")]
        pub commit_ms: u64,
        /// Calls a second that this daemon may make.
        #[serde(default = "default_calls_per_s")]
        pub calls_per_s: u32,
    }
}

value_type! {
    /// One upstream of a pool.
    pub struct UpstreamSettings {
        /// Identity within the pool.
        pub id: UpstreamId,
        /// Where it answers.
        pub addr: SocketAddr,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Its availability zone.
        pub zone: String,
    }
}

value_type! {
    /// One cell of workers.
    pub struct CellSettings {
        /// Where the platform's interface to these workers answers.
        pub addr: SocketAddr,
        /// Lease of an attempt.
        #[serde(default = "default_attempt_lease_ms")]
        pub attempt_lease_ms: u64,
        /// Time between calls to one worker.
        #[serde(default = "default_poll_ms")]
        pub poll_ms: u64,
        /// How long an owner that the store cannot confirm goes on renewing what runs; a successor
        /// waits that long for a worker that it cannot reach before it takes its attempts for lost.
        #[serde(default = "default_outage_renew_ms")]
        pub outage_renew_ms: u64,
        /// The workers.
        pub workers: Vec<WorkerSpec>,
    }
}

value_type! {
    /// Logs.
    pub struct LogSettings {
        /// Least level that is written: error, warn, info, debug or off.
        pub level: String,
        /// File to append to; empty means standard error.
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
