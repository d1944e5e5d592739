//! Daemons as processes around one store, and the calls that the scenarios make.

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

/// The store's own answer time: it answers in milliseconds.
pub const STORE_DELAY_MS: u64 = 2;

/// Longest wait for one control call.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Time between two looks at the daemons.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// Longest wait for something to come into force.
const FORCE_LIMIT: Duration = Duration::from_secs(30);

/// Daemon processes around one store.
pub struct Fleet {
    pub rig: Harness,
    pub daemons: Vec<DaemonProcess>,
    pub client: JsonClient,
    folder: PathBuf,
}

impl Fleet {
    /// Starts `daemons` processes and puts a first configuration in force.
    pub async fn start(daemons: usize, adjust: impl Fn(&mut Settings)) -> Result<Self, Error> {
        let unique = format!("agatesill-control-{}-{daemons}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder)?;
        let sizes = HarnessSizes { daemons, upstreams: 8, slots: 8, service_us: 0 };
        let rig = Harness::start(sizes, adjust).await?;
        rig.upstreams.iter().for_each(|one| one.disable_request_audit());
        let mut fleet = Self { rig, daemons: Vec::new(), client: JsonClient::default(), folder };
        fleet.well();
        for nth in 0..daemons {
            let daemon = fleet.spawn(nth)?;
            fleet.daemons.push(daemon);
        }
        fleet.rig.configure().await?;
        Ok(fleet)
    }

    /// Starts the process of one daemon.
    pub fn spawn(&self, nth: usize) -> Result<DaemonProcess, Error> {
        DaemonProcess::start(&binary()?, &self.rig.settings[nth], &self.folder)
    }

    /// Kills the process of one daemon and starts another in its place.
    pub fn replace(&mut self, nth: usize) -> Result<(), Error> {
        // The old one's settings file goes with it, so it has to go first.
        drop(self.daemons.remove(nth));
        let daemon = self.spawn(nth)?;
        self.daemons.insert(nth, daemon);
        Ok(())
    }

    /// The store answers in its usual time.
    pub fn well(&self) {
        self.faults(StoreFaults::default());
    }

    /// Sets faults on top of the store's usual time.
    pub fn faults(&self, faults: StoreFaults) {
        self.rig.store.set_faults(StoreFaults { delay_ms: STORE_DELAY_MS, ..faults });
    }

    /// Changes a team's weight through one daemon.
    pub async fn change(
        &self,
        nth: usize,
        change: &ConfigChange,
    ) -> Result<VersionedConfig, Error> {
        let addr = self.rig.settings[nth].admin.addr;
        self.client.call(Method::POST, addr, "/v1/config", change, CALL_LIMIT).await
    }

    /// One daemon's status.
    pub async fn status(&self, nth: usize) -> Result<StatusReport, Error> {
        let addr = self.rig.settings[nth].admin.addr;
        self.client.call(Method::GET, addr, "/v1/status", &(), CALL_LIMIT).await
    }

    /// Waits until `version` is in force in all daemons.
    pub async fn in_force(&self, version: u64) -> Result<(), Error> {
        let all = join_all((0..self.daemons.len()).map(|nth| self.in_force_at(nth, version)));
        all.await.into_iter().collect()
    }

    /// Waits until `version` is in force in one daemon.
    pub async fn in_force_at(&self, nth: usize, version: u64) -> Result<(), Error> {
        let started = Instant::now();
        while started.elapsed() < FORCE_LIMIT {
            if self.status(nth).await.is_ok_and(|status| status.config_version >= version) {
                return Ok(());
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        let what = format!("version {version} is not in force at daemon {nth}");
        Err(Error::new(ErrorKind::Unreachable, what))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A change of one team's weight.
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

/// Cells of equal size over `workers`, as settings once the workers' address is known.
pub fn floor(
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
