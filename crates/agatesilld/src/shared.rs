//! State shared by the threads of one daemon, such as the active configuration and counters.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use agatesill_policy::prelude::UpstreamId;
use agatesill_wire::api::{CellStatus, ServiceStatus, VersionedConfig};
use tokio::sync::watch;

use crate::relay::record::{Claim, Records, RunOutcome};
use crate::settings::RecordSettings;

/// A counter that several threads increment.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    /// Increments the counter.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of increments since the start.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Requests, calls and connections rejected by the rings and limits of one daemon since its start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests refused because the ring to the decision thread was full.
    pub decide_ring_full: Count,
    /// Calls refused because the ring to the cell manager was full.
    pub cell_ring_full: Count,
    /// Connections refused because `entry.max_connections` was reached.
    pub connections_refused: Count,
    /// Connections closed because no complete request head was received in time.
    pub heads_timed_out: Count,
}

/// Cells and their owners as known to this daemon. Only a hint; the store is authoritative.
#[derive(Debug, Default)]
pub struct Owners {
    /// All cells of the settings.
    pub all: BTreeSet<String>,
    /// Cells that this instance owns.
    pub own: BTreeSet<String>,
    /// Cells of each peer, from its latest heartbeat.
    pub peers: BTreeMap<String, BTreeSet<String>>,
}

impl Owners {
    /// The peer that reported in its heartbeat that it owns `cell`.
    pub fn peer_of(&self, cell: &str) -> Option<String> {
        let owner = self.peers.iter().find(|(_, cells)| cells.contains(cell));
        owner.map(|(instance, _)| instance.clone())
    }

    /// Cells that neither this instance nor a peer reports as owned.
    pub fn unowned(&self) -> Vec<String> {
        let is_owned = |cell: &&String| {
            self.own.contains(*cell) || self.peers.values().any(|cells| cells.contains(*cell))
        };
        self.all.iter().filter(|cell| !is_owned(cell)).cloned().collect()
    }
}

/// State shared by the threads of one daemon; clones refer to the same state.
#[derive(Clone, Debug)]
pub struct Shared {
    config: Arc<watch::Sender<Arc<VersionedConfig>>>,
    services: Arc<Mutex<BTreeMap<String, ServiceStatus>>>,
    cells: Arc<Mutex<BTreeMap<String, CellStatus>>>,
    owners: Arc<Mutex<Owners>>,
    peers: Arc<Mutex<Vec<String>>>,
    stopping: Arc<AtomicBool>,
    served_version: Arc<AtomicU64>,
    accepted_version: Arc<AtomicU64>,
    leaving: Arc<Mutex<BTreeSet<UpstreamId>>>,
    records: Arc<Mutex<Records>>,
    counters: Arc<Counters>,
    started: Instant,
}

impl Shared {
    /// Creates the state without an active configuration. `records` limits the retention time and
    /// the total size of the records of requests.
    pub fn new(records: &RecordSettings) -> Self {
        Self {
            leaving: Arc::default(),
            records: Arc::new(Mutex::new(Records::new(records.keep_ms, records.max_bytes))),
            counters: Arc::default(),
            started: Instant::now(),
            config: Arc::new(watch::Sender::new(Arc::default())),
            services: Arc::default(),
            cells: Arc::default(),
            owners: Arc::default(),
            peers: Arc::default(),
            stopping: Arc::default(),
            served_version: Arc::default(),
            accepted_version: Arc::default(),
        }
    }

    /// Counters of rejected requests, calls and connections.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Upstreams that announced to this daemon directly that they are leaving.
    pub fn leaving(&self) -> MutexGuard<'_, BTreeSet<UpstreamId>> {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the record of a first attempt; see [`Records::begin`].
    pub fn begin_record(&self, key: &str, fingerprint: u64) -> Claim {
        self.records().begin(key, fingerprint, self.now_ms())
    }

    /// Claims the record for a later attempt; see [`Records::claim`].
    pub fn claim_record(&self, key: &str, fingerprint: u64) -> Claim {
        self.records().claim(key, fingerprint, self.now_ms())
    }

    /// Opens a record for a granted attempt; see [`Records::adopt`].
    pub fn adopt_record(&self, key: &str, fingerprint: u64) -> bool {
        self.records().adopt(key, fingerprint)
    }

    /// Records the outcome of a run; see [`Records::settle`].
    pub fn settle_record(&self, key: &str, outcome: RunOutcome) {
        self.records().settle(key, outcome, self.now_ms());
    }

    /// Records of non-repeatable requests.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The active configuration.
    pub fn config(&self) -> Arc<VersionedConfig> {
        self.config.borrow().clone()
    }

    /// Subscribes to changes of the active configuration.
    pub fn config_changes(&self) -> watch::Receiver<Arc<VersionedConfig>> {
        self.config.subscribe()
    }

    /// Activates a configuration if it is newer than the active one; returns whether it was.
    ///
    /// The active version only increases, so that a stale read or a delayed push cannot restore an
    /// earlier configuration, for example an earlier latency objective.
    pub fn apply_config(&self, next: VersionedConfig) -> bool {
        self.config.send_if_modified(|current| {
            if next.version <= current.version {
                return false;
            }
            *current = Arc::new(next);
            true
        })
    }

    /// Status and counters by service.
    pub fn services(&self) -> MutexGuard<'_, BTreeMap<String, ServiceStatus>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Status of the cells that this instance owns, by name.
    pub fn cells(&self) -> MutexGuard<'_, BTreeMap<String, CellStatus>> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Owners of the cells, as reported by heartbeats.
    pub fn owners(&self) -> MutexGuard<'_, Owners> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Instance names of the live peers.
    pub fn peers(&self) -> MutexGuard<'_, Vec<String>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Configuration version that the decision thread uses; 0 before the first one.
    pub fn served_version(&self) -> u64 {
        self.served_version.load(Ordering::Relaxed)
    }

    /// Records that the decision thread uses configuration `version`.
    pub fn set_served_version(&self, version: u64) {
        self.served_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Newest configuration version that was accepted at this daemon; 0 if there is none.
    pub fn accepted_version(&self) -> u64 {
        self.accepted_version.load(Ordering::Acquire)
    }

    /// Records that configuration `version` was accepted at this daemon. Must be called before the
    /// version is activated.
    pub fn set_accepted_version(&self, version: u64) {
        self.accepted_version.fetch_max(version, Ordering::AcqRel);
    }

    /// Begins a graceful shutdown.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
