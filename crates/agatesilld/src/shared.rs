//! What the threads of one daemon share: the configuration in force and counters.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agatesill_wire::api::{CellStatus, ServiceStatus, VersionedConfig};
use tokio::sync::watch;

/// State that several threads of one daemon read; clones share it.
#[derive(Clone, Debug)]
pub struct Shared {
    config: Arc<watch::Sender<Arc<VersionedConfig>>>,
    services: Arc<Mutex<BTreeMap<String, ServiceStatus>>>,
    cells: Arc<Mutex<BTreeMap<String, CellStatus>>>,
    peers: Arc<Mutex<Vec<String>>>,
    stopping: Arc<AtomicBool>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            config: Arc::new(watch::Sender::new(Arc::default())),
            services: Arc::default(),
            cells: Arc::default(),
            peers: Arc::default(),
            stopping: Arc::default(),
        }
    }
}

impl Shared {
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

    /// Peers that are heard.
    pub fn peers(&self) -> MutexGuard<'_, Vec<String>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
