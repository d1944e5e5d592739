//! How a version of the configuration spreads among daemons: real daemons in one process beside
//! simulated ones that fail in a given way.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use agatesill_platform::settings;
use agatesill_wire::fleet::{FleetAnswer, FleetCall, FleetQuestion};
use agatesill_wire::peer::{Body, Frame, FrameCodec};
use bytes::BytesMut;
use futures::future::join_all;
use futures::{SinkExt, StreamExt};
use hyper::Method;
use support::caller::{Connection, Outcome};
use support::proxy::{LinkFault, Proxy};
use support::settings::ListenAddrs;
use support::store::FakeStore;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Encoder, Framed};
use tokio_util::sync::CancellationToken;

/// Time within which a version has to be active after it was written.
const VERSION_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which daemons that run undisturbed know each other.
const ACQUAINTANCE_TIME: Duration = Duration::from_millis(2_500);

/// How the store turns a daemon away.
const REJECTIONS: [LinkFault; 4] =
    [LinkFault::Reset, LinkFault::Silent, LinkFault::BlocksReplies, LinkFault::Answers(503)];

/// How a simulated daemon treats calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PeerBehavior {
    /// Nothing listens at its address.
    Refuses,
    /// It closes each connection.
    Resets,
    /// Calls arrive, answers do not.
    DoesNotAnswer,
    /// It says that it applies the caller's version.
    IsUpToDate,
    /// It says that it applies no version.
    IsBehind,
}

/// A simulated daemon, with the number of calls that reached it.
struct FakePeer {
    addr: SocketAddr,
    calls: Arc<AtomicU64>,
}

impl FakePeer {
    async fn start(behavior: PeerBehavior, stop: &CancellationToken) -> Self {
        let (listener, addr) = support::listen().await;
        let calls = Arc::new(AtomicU64::new(0));
        if behavior != PeerBehavior::Refuses {
            let (stop, counted) = (stop.clone(), calls.clone());
            tokio::spawn(async move {
                stop.run_until_cancelled(accept(listener, behavior, counted)).await;
            });
        }
        Self { addr, calls }
    }

    /// Calls the daemon at `daemon`, which thus knows it.
    async fn call(&self, daemon: SocketAddr, question: FleetQuestion) -> FleetAnswer {
        let mut frames =
            Framed::new(TcpStream::connect(daemon).await.unwrap(), FrameCodec::default());
        let call = FleetCall {
            number: 1,
            question: Some(question),
            sender: self.addr.to_string(),
            ..FleetCall::default()
        };
        frames.send(Frame { body: Some(Body::FleetCall(call)) }).await.unwrap();
        match frames.next().await.unwrap().unwrap().body {
            Some(Body::FleetAnswer(answer)) => answer,
            other => panic!("{other:?} is no answer"),
        }
    }
}

async fn accept(listener: TcpListener, behavior: PeerBehavior, calls: Arc<AtomicU64>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        if behavior == PeerBehavior::Resets {
            stream.set_zero_linger().unwrap();
            continue;
        }
        tokio::spawn(answer_calls(stream, behavior, calls.clone()));
    }
}

async fn answer_calls(stream: TcpStream, behavior: PeerBehavior, calls: Arc<AtomicU64>) {
    let mut frames = Framed::new(stream, FrameCodec::default());
    while let Some(Ok(Frame { body: Some(Body::FleetCall(call)) })) = frames.next().await {
        calls.fetch_add(1, Ordering::Relaxed);
        let caller_revision = match call.question {
            Some(
                FleetQuestion::ConfigAfter(revision) | FleetQuestion::ConfigRevision(revision),
            ) => revision,
            _ => 0,
        };
        let config_revision = match behavior {
            PeerBehavior::IsUpToDate => caller_revision,
            _ => 0,
        };
        if behavior == PeerBehavior::DoesNotAnswer {
            continue;
        }
        let (number, is_known) = (call.number, true);
        let answer = FleetAnswer { number, is_known, config_revision, ..FleetAnswer::default() };
        if frames.send(Frame { body: Some(Body::FleetAnswer(answer)) }).await.is_err() {
            return;
        }
    }
}

struct Fleet {
    store: Arc<FakeStore>,
    store_addr: SocketAddr,
    stop: CancellationToken,
}

impl Fleet {
    async fn new() -> Self {
        let stop = CancellationToken::new();
        let (store, store_addr) = FakeStore::start(&stop).await;
        let fleet = Self { store, store_addr, stop };
        fleet.write(1, "first");
        fleet
    }

    /// Writes a version with one queue.
    fn write(&self, version: u64, queue: &str) {
        let queue = support::settings::queue(queue, 0);
        self.store.put("op/config", &support::settings::config(version, &[queue]));
    }

    /// Starts a daemon that reaches the store at `store`.
    async fn daemon(&self, name: &str, store: SocketAddr) -> ListenAddrs {
        let addrs = ListenAddrs::allocate().await;
        let text = support::settings::daemon(name, &addrs, store, 0.5);
        let settings = settings::decode(&text).unwrap();
        let stop = self.stop.clone();
        tokio::spawn(async move {
            agatesilld::fleet::serve_until(settings, 0, stop).await.unwrap();
        });
        await_queue(addrs.entry, "first", Duration::from_secs(10)).await.unwrap();
        addrs
    }

    async fn peers(&self, behavior: PeerBehavior, count: usize) -> Vec<FakePeer> {
        join_all((0..count).map(|_| FakePeer::start(behavior, &self.stop))).await
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Waits until a daemon knows a queue, and returns how long it took; `None` after `timeout`.
async fn await_queue(entry: SocketAddr, queue: &str, timeout: Duration) -> Option<Duration> {
    let started = Instant::now();
    let (host, path) = (format!("{queue}.example"), format!("/{queue}/"));
    while started.elapsed() < timeout {
        let outcome = Connection::new(entry).call(Method::GET, &host, &path, "").await;
        // A daemon without a configuration or a planner answers 503.
        if matches!(outcome, Outcome::Answered((200, ..))) {
            return Some(started.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}

/// Turns one daemon away and writes a version, while all but one of the daemons that it knows behave
/// in the given way.
async fn activation_delay(behavior: PeerBehavior, rejection: LinkFault) -> Option<Duration> {
    let fleet = Fleet::new().await;
    let informed = fleet.daemon("informed", fleet.store_addr).await;
    let proxy = Proxy::start(fleet.store_addr, &fleet.stop).await;
    let turned_away = fleet.daemon("turned-away", proxy.addr).await;
    for peer in fleet.peers(behavior, 12).await {
        peer.call(informed.peer, FleetQuestion::ConfigRevision(0)).await;
        peer.call(turned_away.peer, FleetQuestion::ConfigRevision(0)).await;
    }
    tokio::time::sleep(ACQUAINTANCE_TIME).await;
    proxy.set(rejection);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.write(2, "second");
    await_queue(turned_away.entry, "second", VERSION_TIMEOUT).await
}

/// Guards against a daemon that waits for peers which fail while another one has the version.
#[tokio::test]
async fn failing_peers_do_not_delay_a_version() {
    let behaviors = [PeerBehavior::Refuses, PeerBehavior::Resets, PeerBehavior::DoesNotAnswer];
    let cases = behaviors
        .iter()
        .flat_map(|behavior| REJECTIONS.iter().map(move |rejection| (*behavior, *rejection)));
    let delays = cases.map(async |case| (case, activation_delay(case.0, case.1).await));
    let late: Vec<_> = join_all(delays).await.into_iter().filter(|(_, it)| it.is_none()).collect();
    assert!(late.is_empty(), "later than {VERSION_TIMEOUT:?}: {late:?}");
}

/// Guards against announcements whose number grows with the daemons.
#[tokio::test]
async fn a_daemon_announces_a_version_to_a_bounded_number_of_others() {
    // Comparisons may coincide with the announcements.
    for (behavior, min_calls, max_calls) in
        [(PeerBehavior::IsUpToDate, 3, 3 + 2), (PeerBehavior::IsBehind, 32, 32 + 2)]
    {
        let fleet = Fleet::new().await;
        let daemon = fleet.daemon("daemon", fleet.store_addr).await;
        let peers = fleet.peers(behavior, 60).await;
        for peer in &peers {
            peer.call(daemon.peer, FleetQuestion::ConfigRevision(0)).await;
        }
        tokio::time::sleep(ACQUAINTANCE_TIME).await;
        let calls = || peers.iter().map(|peer| peer.calls.load(Ordering::Relaxed)).sum::<u64>();
        let calls_before = calls();
        fleet.write(2, "second");
        await_queue(daemon.entry, "second", VERSION_TIMEOUT).await.unwrap();
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        let announcements = calls() - calls_before;
        assert!(announcements >= min_calls, "{behavior:?}: {announcements} calls");
        assert!(announcements <= max_calls, "{behavior:?}: {announcements} calls");
    }
}

/// Guards against announcements and comparisons that carry the configuration.
#[tokio::test]
async fn a_comparison_does_not_transfer_the_configuration() {
    let fleet = Fleet::new().await;
    let queues: Vec<_> =
        (0..500).map(|index| support::settings::queue(&format!("queue{index}"), 0)).collect();
    let daemon = fleet.daemon("daemon", fleet.store_addr).await;
    let peers = fleet.peers(PeerBehavior::IsBehind, 8).await;
    for peer in &peers {
        peer.call(daemon.peer, FleetQuestion::ConfigRevision(0)).await;
    }
    fleet.store.put("op/config", &support::settings::config(2, &queues));
    await_queue(daemon.entry, "queue7", VERSION_TIMEOUT).await.unwrap();
    let compared = peers[0].call(daemon.peer, FleetQuestion::ConfigRevision(0)).await;
    assert!(compared.config_revision > 0 && compared.config.is_empty());
    let mut frame = BytesMut::new();
    let body = Some(Body::FleetAnswer(compared));
    FrameCodec::default().encode(Frame { body }, &mut frame).unwrap();
    assert!(frame.len() < 400, "{} bytes", frame.len());
    let fetched = peers[0].call(daemon.peer, FleetQuestion::ConfigAfter(0)).await;
    assert!(fetched.config.len() > 50_000, "{} bytes", fetched.config.len());
}
