//! Starts the threads of one daemon and joins them.

use std::future::Future;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use agatesill_coord::prelude::*;
use agatesill_wire::api::ServiceStatus;
use agatesill_wire::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::admin::Admin;
use crate::cells::{CELL_RING_CALLS, CellManager};
use crate::decide::{DecideEvent, Decider};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::relay::Relay;
use crate::settings::Settings;
use crate::shared::Shared;

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Address on which callers connect.
    pub entry_addr: SocketAddr,
    /// Address on which operators connect.
    pub admin_addr: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Waits until every thread has ended.
    pub fn join(self) {
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Starts a daemon; cancelling `stop` starts a graceful shutdown.
pub fn start(settings: &Settings, stop: &CancellationToken) -> Result<Daemon, Error> {
    let entry = bind("entry.addr", settings.entry.addr)?;
    let admin = bind("admin.addr", settings.admin.addr)?;
    let peer = bind("peers.addr", settings.peers.addr)?;
    let entry_addr = entry.local_addr()?;
    let admin_addr = admin.local_addr()?;
    let shared = Shared::new(&settings.records);
    let metrics = Metrics::new()
        .map_err(|error| Error::new(ErrorKind::Settings, format!("metrics: {error}")))?;
    let decider = Decider::start(settings, &shared)?;
    let store = Store::over_http(settings.store.addr).with_rate_limit(settings.store.calls_per_s);
    metrics.observe(&shared, &decider, &store);
    let (calls, cell_calls) = mpsc::channel(CELL_RING_CALLS);
    let halt = CancellationToken::new();

    let relay = Relay::new(settings, decider.clone(), shared.clone(), metrics.clone());
    let peers = Peers::new(settings, store.clone(), shared.clone(), decider.clone(), calls.clone());
    let cells = CellManager::new(settings, store.clone(), shared.clone());
    let admin_interface =
        Admin::new(settings, store.clone(), shared.clone(), metrics, calls, stop.clone());

    let mut threads = Vec::new();
    let (drain, cut) = (CancellationToken::new(), CancellationToken::new());
    let (accept, cut_off) = (drain.clone(), cut.clone());
    let (drained, all_drained) = oneshot::channel();
    threads.push(spawn_thread("relay", settings.entry.relay_threads, async move {
        if let Some(listener) = listen(entry) {
            relay.run(listener, accept, cut_off).await;
        }
        let _ = drained.send(());
    })?);
    let token = halt.clone();
    let follower = crate::config::follow(store, shared.clone(), halt.clone());
    threads.push(spawn_thread("store", 1, async move {
        tokio::join!(follower, cells.run(cell_calls, token));
    })?);
    let token = halt.clone();
    threads.push(spawn_thread("peers", 1, async move {
        if let Some(listener) = listen(peer) {
            peers.run(listener, token).await;
        }
    })?);
    let token = halt.clone();
    let shutdown = GracefulShutdown {
        stop: stop.clone(),
        drain,
        cut,
        halt,
        all_drained,
        balancer_lag: Duration::from_millis(settings.entry.balancer_lag_ms),
        drain_timeout: Duration::from_millis(settings.entry.drain_ms),
    };
    threads.push(spawn_thread("admin", 1, async move {
        let Some(listener) = listen(admin) else { return };
        let supervisor = supervise(shared, decider, shutdown);
        tokio::join!(admin_interface.run(listener, token), supervisor);
    })?);
    Ok(Daemon { entry_addr, admin_addr, threads })
}

/// Cancellation tokens and timeouts of a graceful shutdown.
struct GracefulShutdown {
    stop: CancellationToken,
    drain: CancellationToken,
    cut: CancellationToken,
    halt: CancellationToken,
    all_drained: oneshot::Receiver<()>,
    balancer_lag: Duration,
    drain_timeout: Duration,
}

async fn supervise(shared: Shared, decider: Decider, shutdown: GracefulShutdown) {
    let mut changes = shared.config_changes();
    // Guards against missing a version that arrived before the subscription: the daemon would
    // answer `not_found` for every service until the next change.
    changes.mark_changed();
    loop {
        tokio::select! {
            () = shutdown.stop.cancelled() => break,
            changed = changes.changed() => if changed.is_err() { break },
        }
        let config = changes.borrow_and_update().clone();
        refresh_services(&shared, &config.doc);
        let version = config.version;
        decider.send(DecideEvent::Config(config));
        // The queue preserves order: an answer to a later event means that this configuration is
        // active.
        let (reply, answered) = oneshot::channel();
        decider.send(DecideEvent::LocalLoads(reply));
        if answered.await.is_ok() {
            shared.set_served_version(version);
        }
    }
    shared.begin_stop();
    log::info!(event = "stopping", phase = "not_ready"; "");
    let late_changes = async {
        while changes.changed().await.is_ok() {
            let config = changes.borrow_and_update().clone();
            decider.send(DecideEvent::Config(config));
        }
    };
    tokio::select! {
        () = shut_down(shutdown) => {}
        () = late_changes => {}
    }
}

/// Guards against a shutdown that cuts requests off. Readiness has been withdrawn before; callers
/// that the load balancer still sends are served until it has noticed, then the listener closes.
/// The other components stop only after the last exchange or the drain timeout.
async fn shut_down(shutdown: GracefulShutdown) {
    tokio::time::sleep(shutdown.balancer_lag).await;
    log::info!(event = "stopping", phase = "listener_closed"; "");
    shutdown.drain.cancel();
    let drained = tokio::time::timeout(shutdown.drain_timeout, shutdown.all_drained).await;
    log::info!(event = "stopping", phase = "drained", in_time = drained.is_ok(); "");
    shutdown.cut.cancel();
    shutdown.halt.cancel();
}

fn refresh_services(shared: &Shared, doc: &agatesill_policy::prelude::ConfigDoc) {
    let mut services = shared.services();
    services.retain(|name, _| doc.services.contains_key(name));
    for (name, service) in &doc.services {
        let promise_ms = doc.profiles.get(&service.profile).map_or(0, |profile| profile.answer_ms);
        let status = services.entry(name.clone()).or_insert_with(|| ServiceStatus {
            name: name.clone(),
            profile: String::new(),
            promise_ms: 0,
            requests: 0,
            answered: 0,
            refused: 0,
            late: 0,
            waiting: 0,
        });
        status.profile.clone_from(&service.profile);
        status.promise_ms = promise_ms;
    }
}

fn bind(key: &str, addr: SocketAddr) -> Result<std::net::TcpListener, Error> {
    let listener = std::net::TcpListener::bind(addr).map_err(|error| {
        Error::new(ErrorKind::Settings, format!("{key}: cannot listen on {addr}: {error}"))
    })?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn listen(listener: std::net::TcpListener) -> Option<TcpListener> {
    TcpListener::from_std(listener)
        .map_err(|error| log::error!(event = "listen_failed"; "{error}"))
        .ok()
}

fn spawn_thread(
    name: &str,
    threads: usize,
    work: impl Future<Output = ()> + Send + 'static,
) -> Result<JoinHandle<()>, Error> {
    let mut builder = if threads > 1 {
        tokio::runtime::Builder::new_multi_thread()
    } else {
        tokio::runtime::Builder::new_current_thread()
    };
    let runtime = builder.worker_threads(threads).thread_name(name).enable_all().build()?;
    let thread =
        std::thread::Builder::new().name(name.to_owned()).spawn(move || runtime.block_on(work))?;
    Ok(thread)
}

/// Cancels `stop` at the first SIGTERM or SIGINT and exits immediately at the second.
pub fn stop_on_signals(stop: CancellationToken) -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (mut term, mut int) = {
        let _guard = runtime.enter();
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?)
    };
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        runtime.block_on(async {
            for nth in 1.. {
                tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
                if nth > 1 {
                    std::process::exit(1);
                }
                stop.cancel();
            }
        });
    })?;
    Ok(())
}
