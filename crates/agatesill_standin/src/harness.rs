//! Test harness for the request path: a store, upstreams and settings of daemons on loopback.
//! Daemons run in this process or as separate processes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_wire::api::{ConfigChange, VersionedConfig};
use agatesill_wire::http::JsonClient;
use agatesill_wire::prelude::*;
use agatesilld::prelude::Settings;
use agatesilld::settings::UpstreamSettings;
use hyper::Method;
use tokio_util::sync::CancellationToken;

use crate::addresses::fresh_address;
use crate::store::{StoreStandin, start_store};
use crate::upstreams::{UpstreamFaults, UpstreamStandin, start_upstream};

/// Service that the harness configures.
pub const SERVICE: &str = "limits";

/// Path whose `POST` and `PUT` requests are non-repeatable.
pub const NON_REPEATABLE_PATH: &str = "/decisions";

/// Timeout for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of one control call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sizes of a harness.
#[derive(Clone, Copy, Debug)]
pub struct HarnessSizes {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of upstreams, distributed over three zones.
    pub upstreams: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Service time of the upstreams.
    pub service_us: u64,
}

/// Running stand-ins and the settings of the daemons that use them.
#[derive(Debug)]
pub struct Harness {
    /// The store.
    pub store: StoreStandin,
    /// The upstreams.
    pub upstreams: Vec<UpstreamStandin>,
    /// Addresses of the upstreams, in the same order.
    pub upstream_addrs: Vec<SocketAddr>,
    /// Settings of each daemon.
    pub settings: Vec<Settings>,
    /// Stops the store and the upstreams when cancelled.
    pub stop: CancellationToken,
}

impl Harness {
    /// Starts the store and the upstreams, and builds settings that `adjust` may change.
    pub async fn start(sizes: HarnessSizes, adjust: impl Fn(&mut Settings)) -> Result<Self, Error> {
        let stop = CancellationToken::new();
        let store = StoreStandin::default();
        let store_addr = start_store(&store, loopback(), &stop).await?;
        let mut upstreams = Vec::new();
        let mut pool = Vec::new();
        for nth in 0..sizes.upstreams {
            let faults =
                UpstreamFaults { service_us: sizes.service_us, ..UpstreamFaults::default() };
            let standin = UpstreamStandin::new(sizes.slots as usize, faults);
            let addr = start_upstream(&standin, loopback(), &stop).await?;
            let zone = format!("zone-{}", nth % 3);
            pool.push(UpstreamSettings { id: nth as u32 + 1, addr, slots: sizes.slots, zone });
            upstreams.push(standin);
        }
        let upstream_addrs = pool.iter().map(|upstream| upstream.addr).collect();
        let mut settings = build_settings(sizes.daemons, store_addr, &pool)?;
        settings.iter_mut().for_each(adjust);
        Ok(Self { store, upstreams, upstream_addrs, settings, stop })
    }

    /// Submits a profile and the service to the first daemon, then waits until every daemon is
    /// ready.
    pub async fn configure(&self) -> Result<(), Error> {
        let client = JsonClient::default();
        let change = initial_config_change();
        let admin = |settings: &Settings| settings.admin.addr;
        wait_until(|| {
            let (client, change) = (client.clone(), change.clone());
            let addr = admin(&self.settings[0]);
            async move {
                let committed: Result<VersionedConfig, Error> =
                    client.call(Method::POST, addr, "/v1/config", &change, CALL_TIMEOUT).await;
                committed.is_ok()
            }
        })
        .await?;
        for settings in &self.settings {
            self.ready(settings).await?;
        }
        Ok(())
    }

    /// Waits until the daemon with these settings is ready.
    pub async fn ready(&self, settings: &Settings) -> Result<(), Error> {
        let client = JsonClient::default();
        let addr = settings.admin.addr;
        wait_until(|| {
            let client = client.clone();
            async move {
                let ready: Result<String, Error> =
                    client.call(Method::GET, addr, "/readyz", &(), CALL_TIMEOUT).await;
                ready.is_ok()
            }
        })
        .await
    }

    /// Returns the number of runs by request id, over all upstreams.
    pub fn ran(&self) -> BTreeMap<String, u32> {
        let mut ran = BTreeMap::new();
        for (id, times) in self.upstreams.iter().flat_map(|upstream| upstream.audit().ran) {
            *ran.entry(id).or_default() += times;
        }
        ran
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Polls until `done` returns true. Fails after `READY_TIMEOUT`.
pub async fn wait_until<F: Future<Output = bool>>(done: impl Fn() -> F) -> Result<(), Error> {
    let started = Instant::now();
    while !done().await {
        if started.elapsed() > READY_TIMEOUT {
            return Err(Error::new(ErrorKind::Unreachable, "condition not met before the timeout"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

fn initial_config_change() -> ConfigChange {
    let profile = Profile {
        class: ProfileClass::LatencyCritical,
        answer_ms: 500,
        priority: 7,
        queue_requests: 0,
        evictions_per_hour: 0,
        throttle_percent: 100,
    };
    let service = Service {
        profile: "quick".to_owned(),
        pool: "limits".to_owned(),
        non_repeatable: vec![
            format!("POST {NON_REPEATABLE_PATH}"),
            format!("PUT {NON_REPEATABLE_PATH}"),
        ],
    };
    ConfigChange {
        operation_id: "rig".to_owned(),
        base_version: 0,
        author: "rig".to_owned(),
        reason: "rig".to_owned(),
        profiles: [("quick".to_owned(), Some(profile))].into(),
        services: [(SERVICE.to_owned(), Some(service))].into(),
        teams: BTreeMap::new(),
        evacuations: BTreeMap::new(),
    }
}

fn build_settings(
    daemons: usize,
    store: SocketAddr,
    pool: &[UpstreamSettings],
) -> Result<Vec<Settings>, Error> {
    let peers = (0..daemons)
        .map(|nth| Ok((format!("entry-{nth}"), fresh_address())))
        .collect::<Result<BTreeMap<String, SocketAddr>, Error>>()?;
    let daemon_settings = |(nth, (name, addr)): (usize, (&String, &SocketAddr))| {
        let mut members = peers.clone();
        members.remove(name);
        let text = serde_json::json!({
            "instance": name,
            "zone": format!("zone-{}", nth % 3),
            "entry": { "addr": fresh_address(), "balancer_lag_ms": 100 },
            "admin": { "addr": fresh_address() },
            "peers": { "addr": addr, "members": members, "heartbeat_ms": 50, "suspect_ms": 500 },
            "store": { "addr": store, "lease_ms": 1_000, "renew_ms": 200 },
            "pools": { "limits": pool },
            "log": { "level": "off" },
        });
        serde_json::from_value(text)
            .map_err(|error| Error::new(ErrorKind::Settings, error.to_string()))
    };
    peers.iter().enumerate().map(daemon_settings).collect()
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Daemon in a separate process, killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    settings_file: PathBuf,
}

impl DaemonProcess {
    /// Starts `binary` with `settings`, which are written to a file in `folder`.
    pub fn start(binary: &Path, settings: &Settings, folder: &Path) -> Result<Self, Error> {
        let settings_file = folder.join(format!("{}.yaml", settings.instance));
        let text = serde_yaml_ng::to_string(settings)
            .map_err(|error| Error::new(ErrorKind::Settings, error.to_string()))?;
        std::fs::write(&settings_file, text)?;
        let child = Command::new(binary)
            .arg("--config")
            .arg(&settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { child, settings_file })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Returns the exit code once the process has exited by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().and_then(|status| status.code())
    }

    fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(signal).arg(self.id().to_string()).status();
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings_file);
    }
}
