//! The daemon on the users' platform: callers submit jobs to any daemon, and one daemon runs the
//! planner.
//!
//! All components run as tasks on one thread, since the daemon gets only a fraction of a core. They
//! are connected by bounded channels. `docs/DESIGN.md` follows a job through them.

pub mod active_config;
mod advice_client;
mod call_gate;
mod clock;
mod commits;
pub mod config_peers;
pub mod config_watch;
pub mod daemon_state;
pub mod edges;
mod front;
mod group_commit;
pub mod job_store;
mod lease_records;
pub use agatesill_wire::line_limit;
mod load_report;
pub mod load_state;
mod load_status;
pub mod metrics;
mod ownership;
mod peer_connection;
pub mod peer_directory;
pub mod planner;
mod planner_time;
mod predecessors;
mod ready;
mod recovery;
pub mod store_outage;
mod store_watchers;
pub mod submission;
pub mod submission_report;
pub mod supervision;
pub mod worker_connections;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatesill_platform::prelude::*;
use agatesill_platform::store;
use agatesill_wire::listener::{
    ConnectionHandle, Edge, Shutdown, limit_receive_buffer, no_response, serve,
};
use agatesill_wire::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::daemon_state::DaemonState;
use self::metrics::FleetMetrics;
use crate::store_keys as keys;

/// Store calls a second that one daemon may make, per write a second that the platform allows for
/// all daemons. The planner makes nearly all writes, and about as many reads and watches.
const STORE_CALLS_PER_WRITE: f64 = 1.25;

/// Minimum rate limit of store calls a second, used where the platform states no rate.
const MIN_CALLS_PER_S: f64 = 100.0;

/// How long a daemon being stopped serves while it reports that it is not ready. The load balancer
/// checks once a second and stops sending after the second failure.
const DRAIN_DURATION: Duration = Duration::from_millis(2_400);

/// Timeout of open requests after that. It is shorter if the platform gives less time.
const REQUEST_DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Runs the daemon until it receives SIGTERM. Metrics are served on `metrics_port` of its address.
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
                    // No setting of this daemon can change while it runs.
                    _ = hangup.recv() => log::info!(event = "reload";
                        "the settings are read only at the start of the process"),
                }
            }
        });
        serve_until(settings, metrics_port, stop).await
    })
}

/// Serves until `stop` is cancelled, then shuts down gracefully.
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
    let calls_per_s =
        (settings.store_writes_per_s as f64 * STORE_CALLS_PER_WRITE).max(MIN_CALLS_PER_S);
    let store = store::store(settings.store_addr).with_rate_limit(calls_per_s as u32);
    let instruments = FleetMetrics::new()
        .map_err(|error| Error::new(ErrorKind::Settings, format!("metrics: {error}")))?;
    let daemon = Arc::new(DaemonState::new(settings, store, instruments));
    let buffers = [&entry, &ready, &peers, &figures].map(limit_receive_buffer);
    let receive_buffer_bytes = buffers.into_iter().max().unwrap_or_default();
    daemon.metrics.observe(&daemon);
    let tasks = TaskTracker::new();
    let stop_entry = CancellationToken::new();
    // Dropping this future ends the daemon as a crash does: all tasks stop and no lease is
    // released.
    let abort = CancellationToken::new();
    let _guards = (stop_entry.clone().drop_guard(), abort.clone().drop_guard());
    tasks.spawn(config_watch::watch_config(daemon.clone(), stop_entry.clone()));
    tasks.spawn(config_peers::announce_versions(daemon.clone(), stop_entry.clone()));
    tasks.spawn(config_peers::compare_repeatedly(daemon.clone(), stop_entry.clone()));
    tasks.spawn(config_peers::fetch_versions(daemon.clone(), stop_entry.clone()));
    tasks.spawn(ownership::run(daemon.clone(), stop.clone(), abort));
    tasks.spawn(peer_connection::serve(daemon.clone(), peers, stop_entry.clone()));
    tasks.spawn(edges::keep_up_to_date(daemon.clone(), receive_buffer_bytes, stop_entry.clone()));
    tasks.spawn(serve_edge(ready, &daemon.edges.ready, &stop_entry, {
        let daemon = daemon.clone();
        move |request, _| ready::answer(daemon.clone(), request)
    }));
    tasks.spawn(serve_edge(figures, &daemon.edges.metrics, &stop_entry, {
        let daemon = daemon.clone();
        move |request, _| metrics::answer(daemon.clone(), request)
    }));
    tasks.spawn(serve_edge(entry, &daemon.edges.callers, &stop_entry, {
        let daemon = daemon.clone();
        move |request, connection| front::answer(daemon.clone(), request, connection)
    }));
    stop.cancelled().await;
    shut_down(&daemon, &stop_entry, &tasks).await;
    Ok(())
}

/// Shuts down gracefully: releases the planner's range, waits until callers use other daemons, and
/// finishes open requests.
async fn shut_down(daemon: &DaemonState, stop_entry: &CancellationToken, tasks: &TaskTracker) {
    log::info!(event = "stop", is_planner = daemon.planner().is_some(); "");
    daemon.begin_stop();
    tokio::time::sleep(DRAIN_DURATION).await;
    stop_entry.cancel();
    tasks.close();
    let timeout =
        Duration::from_millis(daemon.settings.stop_timeout_ms).saturating_sub(DRAIN_DURATION) / 2;
    if tokio::time::timeout(REQUEST_DRAIN_TIMEOUT.min(timeout), tasks.wait()).await.is_err() {
        log::warn!(event = "stop_cut_short", tasks = tasks.len(); "");
    }
    log::info!(event = "stopped"; "");
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(addr).await.map_err(|error| {
        Error::new(ErrorKind::Settings, format!("cannot listen on {addr}: {error}"))
    })?;
    Ok(listener)
}

/// Serves HTTP on one edge until `stop` is cancelled, then completes open requests.
fn serve_edge<H, F>(
    listener: TcpListener,
    edge: &Edge,
    stop: &CancellationToken,
    handler: H,
) -> impl Future<Output = ()> + Send + use<H, F>
where
    H: Fn(Request<Incoming>, ConnectionHandle) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let stop = Shutdown { drain: stop.clone(), ..Shutdown::default() };
    serve(listener, edge.clone(), stop, no_response, handler)
}
