//! The daemon on the users' platform: callers hand jobs to any daemon, one daemon plans.
//!
//! All duties share the one thread that a fraction of a core can use; they are tasks joined by
//! bounded rings. `docs/DESIGN.md` walks a job through them.

mod advice_client;
mod clock;
mod commits;
mod config_watch;
mod daemon_state;
mod front;
mod job_store;
mod keys;
mod metrics;
mod ownership;
mod peer_connection;
mod planner;
mod predecessors;
mod ready;
mod recovery;
mod store_watchers;
mod worker_connections;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatesill_platform::prelude::*;
use agatesill_platform::store;
use agatesill_wire::http::serve;
use agatesill_wire::prelude::*;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::daemon_state::Site;
use self::metrics::FleetMetrics;

/// Store calls a second that one daemon may make, for each write a second that the platform allows
/// to all: the planner makes nearly all writes, and about as many reads and watches.
const STORE_CALLS_FOR_WRITE: f64 = 1.25;

/// Calls a second that a daemon has in any case, where the platform states no rate.
const LEAST_BUDGET: f64 = 100.0;

/// How long a planned stop waits, not ready but serving, until the balancer sends no one any more:
/// it asks once a second and believes the second miss.
const LEAVING: Duration = Duration::from_millis(2_400);

/// How long open requests may take after that; less where the platform gives less time.
const LAST_REQUESTS: Duration = Duration::from_millis(1_500);

/// Runs the daemon until it gets SIGTERM; metrics are served on `metrics_port` of its address.
pub fn run(settings: NodeSettings, metrics_port: u16) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let stop = CancellationToken::new();
        let mut terminate = signal(SignalKind::terminate())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let stopping = stop.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = terminate.recv() => return stopping.cancel(),
                    // Nothing of this daemon's settings can change while it runs.
                    _ = hangup.recv() => log::info!(event = "reload"; "read at the next start"),
                }
            }
        });
        serve_until(settings, metrics_port, stop).await
    })
}

/// Serves until `stop` is cancelled, then leaves as at a planned stop.
pub async fn serve_until(
    settings: NodeSettings,
    metrics_port: u16,
    stop: CancellationToken,
) -> Result<(), Error> {
    log::info!(event = "start", instance = settings.instance.as_str(),
        zone = settings.zone.as_str(), store = settings.store_addr.to_string(),
        version = env!("CARGO_PKG_VERSION"); "");
    let entry = bind(settings.entry_addr).await?;
    let ready = bind(settings.ready_addr).await?;
    let peers = bind(settings.peer_addr).await?;
    let figures = bind(SocketAddr::new(settings.entry_addr.ip(), metrics_port)).await?;
    let budget = (settings.store_writes_per_s as f64 * STORE_CALLS_FOR_WRITE).max(LEAST_BUDGET);
    let store = store::store(settings.store_addr).with_rate_limit(budget as u32);
    let instruments = FleetMetrics::new()
        .map_err(|error| Error::new(ErrorKind::Settings, format!("metrics: {error}")))?;
    let site = Arc::new(Site::new(settings, store, instruments));
    site.metrics.observe(&site);
    let tasks = TaskTracker::new();
    let stop_entry = CancellationToken::new();
    // Whoever drops this future ends the daemon as a crash does: nothing runs on, nothing is given
    // up.
    let alive = CancellationToken::new();
    let _dropped = (stop_entry.clone().drop_guard(), alive.clone().drop_guard());
    tasks.spawn(config_watch::follow(site.clone(), stop_entry.clone()));
    tasks.spawn(ownership::run(site.clone(), stop.clone(), alive));
    tasks.spawn(peer_connection::serve(site.clone(), peers, stop_entry.clone()));
    tasks.spawn(serve(ready, stop_entry.clone(), {
        let site = site.clone();
        move |request| ready::answer(site.clone(), request)
    }));
    tasks.spawn(serve(figures, stop_entry.clone(), {
        let site = site.clone();
        move |request| metrics::answer(site.clone(), request)
    }));
    tasks.spawn(serve(entry, stop_entry.clone(), {
        let site = site.clone();
        move |request| front::answer(site.clone(), request)
    }));
    stop.cancelled().await;
    leave(&site, &stop_entry, &tasks).await;
    Ok(())
}

/// A planned stop: the planner's range passes on, callers go elsewhere, open requests end.
async fn leave(site: &Site, stop_entry: &CancellationToken, tasks: &TaskTracker) {
    log::info!(event = "stop", is_planner = site.planner().is_some(); "");
    site.begin_stop();
    tokio::time::sleep(LEAVING).await;
    stop_entry.cancel();
    tasks.close();
    let limit = Duration::from_millis(site.settings.stop_timeout_ms).saturating_sub(LEAVING) / 2;
    if tokio::time::timeout(LAST_REQUESTS.min(limit), tasks.wait()).await.is_err() {
        log::warn!(event = "stop_cut_short", tasks = tasks.len(); "");
    }
    log::info!(event = "stopped"; "");
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.map_err(|error| {
        Error::new(ErrorKind::Settings, format!("cannot listen on {addr}: {error}"))
    })
}
