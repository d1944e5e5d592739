//! What the threads of one daemon share: the configuration in force and counters.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use agatesill_policy::prelude::UpstreamId;
use agatesill_wire::api::{CellStatus, ServiceStatus, VersionedConfig};
use tokio::sync::watch;

use crate::relay::record::{Claim, Records, RunOutcome};
use crate::settings::RecordSettings;

/// A count that several threads raise.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    /// Raises the count by one.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The count since the start.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// What the rings and limits of one daemon turned away since its start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests refused because the ring to the deciding thread was full.
    pub decide_ring_full: Count,
    /// Calls refused because the ring to the batch duty was full.
    pub cell_ring_full: Count,
    /// Connections refused because `entry.max_connections` was reached.
    pub connections_refused: Count,
    /// Connections closed because no whole head came in time.
    pub heads_timed_out: Count,
}

/// Cells and who owns them; a hint only, the store decides.
#[derive(Debug, Default)]
pub struct Owners {
    /// All cells of the settings.
    pub all: BTreeSet<String>,
    /// Cells owned here.
    pub own: BTreeSet<String>,
    /// Cells by the peer whose newest heartbeat names them.
    pub peers: BTreeMap<String, BTreeSet<String>>,
}

impl Owners {
    /// The peer that says it owns `cell`.
    pub fn peer_of(&self, cell: &str) -> Option<String> {
        let owner = self.peers.iter().find(|(_, cells)| cells.contains(cell));
        owner.map(|(instance, _)| instance.clone())
    }

    /// Cells of which nobody says that he owns them.
    pub fn unowned(&self) -> Vec<String> {
        let owned = |cell: &&String| {
            self.own.contains(*cell) || self.peers.values().any(|cells| cells.contains(*cell))
        };
        self.all.iter().filter(|cell| !owned(cell)).cloned().collect()
    }
}

/// State that several threads of one daemon read; clones share it.
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
    /// Nothing in force yet; records within the limits of `records`.
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

    /// What was turned away.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Upstreams that gave this daemon itself a sign of leaving.
    pub fn leaving(&self) -> MutexGuard<'_, BTreeSet<UpstreamId>> {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a first attempt in; see [`Records::begin`].
    pub fn begin_record(&self, key: &str, fingerprint: u64) -> Claim {
        self.records().begin(key, fingerprint, self.now_ms())
    }

    /// Answers a later attempt; see [`Records::claim`].
    pub fn claim_record(&self, key: &str, fingerprint: u64) -> Claim {
        self.records().claim(key, fingerprint, self.now_ms())
    }

    /// Opens a record for a granted attempt; see [`Records::adopt`].
    pub fn adopt_record(&self, key: &str, fingerprint: u64) -> bool {
        self.records().adopt(key, fingerprint)
    }

    /// Records how a run ended; see [`Records::settle`].
    pub fn settle_record(&self, key: &str, how: RunOutcome) {
        self.records().settle(key, how, self.now_ms());
    }

    /// Records of non-repeatable requests.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<VersionedConfig> {
        self.config.borrow().clone()
    }

    /// Notices of later configurations.
    pub fn config_changes(&self) -> watch::Receiver<Arc<VersionedConfig>> {
        self.config.subscribe()
    }

    /// Puts a configuration in force if it is newer; true when it was.
    ///
    /// Guards against a configuration that reverts, which would show as an old promise coming
    /// back after a stale read or a late push: versions in force only rise.
    pub fn apply_config(&self, next: VersionedConfig) -> bool {
        self.config.send_if_modified(|current| {
            if next.version <= current.version {
                return false;
            }
            *current = Arc::new(next);
            true
        })
    }

    /// Counters by service.
    pub fn services(&self) -> MutexGuard<'_, BTreeMap<String, ServiceStatus>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The cells owned here.
    pub fn cells(&self) -> MutexGuard<'_, BTreeMap<String, CellStatus>> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Who owns which cell, as far as heartbeats tell.
    pub fn owners(&self) -> MutexGuard<'_, Owners> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Peers that are heard.
    pub fn peers(&self) -> MutexGuard<'_, Vec<String>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Version by which the deciding thread serves; 0 before the first.
    pub fn served_version(&self) -> u64 {
        self.served_version.load(Ordering::Relaxed)
    }

    /// Records that the deciding thread serves by `version`.
    pub fn set_served_version(&self, version: u64) {
        self.served_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Newest version that was accepted at this daemon; 0 when none was.
    pub fn accepted_version(&self) -> u64 {
        self.accepted_version.load(Ordering::Acquire)
    }

    /// Records that `version` was accepted here; call it before the version is in force.
    pub fn set_accepted_version(&self, version: u64) {
        self.accepted_version.fetch_max(version, Ordering::AcqRel);
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
