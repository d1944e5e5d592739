//! Daemon processes that share one store, and the control calls of the scenarios.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use agatesill_policy::prelude::{Resources, Team, WorkerSpec};
use agatesill_standin::harness::{DaemonProcess, Harness, HarnessSizes};
use agatesill_standin::store::StoreFaults;
use agatesill_wire::api::{ConfigChange, StatusReport, VersionedConfig};
use agatesill_wire::http::JsonClient;
use agatesill_wire::prelude::*;
use agatesilld::prelude::Settings;
use agatesilld::settings::CellSettings;
use futures::future::join_all;
use hyper::Method;

use crate::wire::binary;

/// Answer time of the store without faults.
pub const STORE_DELAY_MS: u64 = 2;

/// Timeout of a control call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two status calls to a daemon.
const STATUS_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout until a configuration version is active.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Daemon processes that share one store.
pub struct DaemonGroup {
    pub harness: Harness,
    pub daemons: Vec<DaemonProcess>,
    pub client: JsonClient,
    folder: PathBuf,
}

impl DaemonGroup {
    /// Starts `daemons` processes and activates an initial configuration.
    pub async fn start(daemons: usize, adjust: impl Fn(&mut Settings)) -> Result<Self, Error> {
        let unique = format!("agatesill-control-{}-{daemons}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder)?;
        let sizes = HarnessSizes { daemons, upstreams: 8, slots: 8, service_us: 0 };
        let harness = Harness::start(sizes, adjust).await?;
        harness.upstreams.iter().for_each(|upstream| upstream.disable_request_audit());
        let mut group =
            Self { harness, daemons: Vec::new(), client: JsonClient::default(), folder };
        group.clear_faults();
        for nth in 0..daemons {
            let daemon = group.spawn(nth)?;
            group.daemons.push(daemon);
        }
        group.harness.configure().await?;
        Ok(group)
    }

    /// Starts the process of one daemon.
    pub fn spawn(&self, nth: usize) -> Result<DaemonProcess, Error> {
        DaemonProcess::start(&binary()?, &self.harness.settings[nth], &self.folder)
    }

    /// Kills the process of one daemon and starts another in its place.
    pub fn replace(&mut self, nth: usize) -> Result<(), Error> {
        // Dropping the old process deletes its settings file, so it precedes the start of the new
        // one.
        drop(self.daemons.remove(nth));
        let daemon = self.spawn(nth)?;
        self.daemons.insert(nth, daemon);
        Ok(())
    }

    /// Removes all faults from the store.
    pub fn clear_faults(&self) {
        self.faults(StoreFaults::default());
    }

    /// Sets faults of the store in addition to its answer time.
    pub fn faults(&self, faults: StoreFaults) {
        self.harness.store.set_faults(StoreFaults { delay_ms: STORE_DELAY_MS, ..faults });
    }

    /// Submits a configuration change to one daemon.
    pub async fn change(
        &self,
        nth: usize,
        change: &ConfigChange,
    ) -> Result<VersionedConfig, Error> {
        let addr = self.harness.settings[nth].admin.addr;
        self.client.call(Method::POST, addr, "/v1/config", change, CALL_TIMEOUT).await
    }

    /// Status of one daemon.
    pub async fn status(&self, nth: usize) -> Result<StatusReport, Error> {
        let addr = self.harness.settings[nth].admin.addr;
        self.client.call(Method::GET, addr, "/v1/status", &(), CALL_TIMEOUT).await
    }

    /// Waits until `version` or a later one is active in all daemons.
    pub async fn wait_active(&self, version: u64) -> Result<(), Error> {
        let all = join_all((0..self.daemons.len()).map(|nth| self.wait_active_at(nth, version)));
        all.await.into_iter().collect()
    }

    /// Waits until `version` or a later one is active in one daemon.
    pub async fn wait_active_at(&self, nth: usize, version: u64) -> Result<(), Error> {
        let started = Instant::now();
        while started.elapsed() < ACTIVATION_TIMEOUT {
            if self.status(nth).await.is_ok_and(|status| status.config_version >= version) {
                return Ok(());
            }
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
        let message = format!("version {version} did not become active at daemon {nth} in time");
        Err(Error::new(ErrorKind::Unreachable, message))
    }
}

impl Drop for DaemonGroup {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A change of one team's weight, without a base version.
pub fn weight(operation_id: &str, team: &str, weight: u32) -> ConfigChange {
    ConfigChange {
        operation_id: operation_id.to_owned(),
        base_version: 0,
        author: "bench".to_owned(),
        reason: "bench".to_owned(),
        profiles: Default::default(),
        services: Default::default(),
        teams: [(team.to_owned(), Some(Team { weight, quota_cpu_milli: 0 }))].into(),
        evacuations: Default::default(),
    }
}

/// Cells of equal size with `workers` workers in total: a function from the workers' address to the
/// settings, and the workers.
pub fn cells_of_equal_size(
    cells: usize,
    workers: usize,
) -> (impl Fn(SocketAddr) -> BTreeMap<String, CellSettings> + Copy, Vec<WorkerSpec>) {
    let spec = move |id: usize| WorkerSpec {
        id: id as u32 + 1,
        capacity: Resources { cpu_milli: 16_000, memory_mb: 60_000, accelerators: 0 },
        rack: format!("rack-{}", id / 8),
        zone: format!("zone-{}", id % cells % 3),
    };
    let settings = move |addr| {
        let one = |cell: usize| {
            let workers = (0..workers).filter(|id| id % cells == cell).map(spec).collect();
            let settings = CellSettings {
                addr,
                attempt_lease_ms: 15_000,
                poll_ms: 500,
                outage_renew_ms: 600_000,
                workers,
            };
            (format!("cell-{cell:03}"), settings)
        };
        (0..cells).map(one).collect()
    };
    (settings, (0..workers).map(spec).collect())
}
