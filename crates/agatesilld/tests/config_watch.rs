//! The watch on the operators' configuration while its calls fail.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use agatesill_platform::{config, settings, store};
use agatesilld::fleet::config_watch::watch_config;
use agatesilld::fleet::daemon_state::DaemonState;
use agatesilld::fleet::metrics::FleetMetrics;
use support::settings::ListenAddrs;
use support::store::FakeStore;
use tokio_util::sync::CancellationToken;

/// Time within which a version has to be active after it was written.
const VERSION_TIMEOUT: Duration = Duration::from_secs(2);

async fn await_version(daemon: &DaemonState, version: u64) {
    let started = Instant::now();
    while daemon.config().is_none_or(|config| config.version < version) {
        assert!(started.elapsed() < VERSION_TIMEOUT, "version {version} is not in force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a configuration that never arrives because the answer to the watch, which holds all
/// versions since the last one, is too long to arrive in time.
#[tokio::test]
async fn a_configuration_arrives_although_watches_are_not_answered() {
    let stop = CancellationToken::new();
    let (fake_store, store_addr) = FakeStore::start(&stop).await;
    fake_store.put(config::KEY, &support::settings::config(1, &[]));
    let addrs = ListenAddrs::allocate().await;
    let text = support::settings::daemon("d1", &addrs, store_addr, 0.5);
    let metrics = FleetMetrics::new().unwrap();
    let settings = settings::decode(&text).unwrap();
    let daemon = Arc::new(DaemonState::new(settings, store::store(store_addr), metrics));
    tokio::spawn(watch_config(daemon.clone(), stop.clone()));
    await_version(&daemon, 1).await;
    fake_store.stall_watches(config::KEY);
    fake_store.put(config::KEY, &support::settings::config(2, &[]));
    await_version(&daemon, 2).await;
    stop.cancel();
}
