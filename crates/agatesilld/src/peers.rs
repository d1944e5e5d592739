//! Peer connections: heartbeats with loads, and configuration pushes to peers that are behind.
//!
//! A daemon opens one connection to every member and sends on it; it receives on the connections
//! that the members open to it. A configuration is sent when it is accepted here, and again
//! whenever a heartbeat shows that the sender is behind. A daemon that starts during a store outage
//! therefore has the newest version one heartbeat after it has connected to a peer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatesill_coord::lease::{MEMBER_RANGE_PREFIX, OWNER_PREFIX};
use agatesill_coord::membership::{Membership, PLATFORM_PREFIX, Peer, PeerState};
use agatesill_coord::peer_calls::{PeerConnection, fetch_config, serve_peer_calls};
use agatesill_coord::prelude::*;
use agatesill_coord::store;
use agatesill_wire::api::VersionedConfig;
use agatesill_wire::peer::{
    Body, ConfigPush, Frame, FrameCodec, Heartbeat, Hello, PROTOCOL_VERSION, UpstreamLoad,
};
use agatesill_wire::platform::Entry;
use agatesill_wire::prelude::*;
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};
use tokio::time::MissedTickBehavior;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::cells::CellCall;
use crate::decide::{DecideEvent, Decider};
use crate::settings::{PeerSettings, Settings};
use crate::shared::Shared;

/// Back-off before a broken connection is opened again.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for sending one frame. The connection to a paused peer is then opened again.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for receiving the hello frame on a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for fetching a peer's configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum interval between two pushes to a peer that stays behind.
const MIN_PUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Accepted connections for each member: its peer connection, a dead one that has not been detected
/// yet, and its calls about earlier attempts and about jobs, of which it makes at most 32 each at a
/// time.
const MAX_CONNECTIONS_PER_MEMBER: usize = 66;

/// Additional accepted connections, for peers that have not identified themselves yet.
const MAX_UNIDENTIFIED_CONNECTIONS: usize = 8;

/// The peer connections of one daemon; clones share one state.
#[derive(Clone, Debug)]
pub struct Peers {
    instance: String,
    zone: String,
    settings: PeerSettings,
    shared: Shared,
    decider: Decider,
    store: Store,
    cells: mpsc::Sender<CellCall>,
    membership: Arc<Mutex<Membership>>,
    /// Wakes the connection to a member that is behind.
    behind: Arc<BTreeMap<String, Notify>>,
    /// Version and digest of the last digested document.
    digested: Arc<Mutex<(u64, u64)>>,
    fetch_permit: Arc<Semaphore>,
}

impl Peers {
    /// Creates the state of the peer connections; [`Peers::run`] opens them.
    pub fn new(
        settings: &Settings,
        store: Store,
        shared: Shared,
        decider: Decider,
        cells: mpsc::Sender<CellCall>,
    ) -> Self {
        let members = settings.peers.members.keys();
        let suspect_after = Duration::from_millis(settings.peers.suspect_ms);
        Self {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            settings: settings.peers.clone(),
            shared,
            decider,
            store,
            behind: Arc::new(members.map(|name| (name.clone(), Notify::new())).collect()),
            digested: Arc::default(),
            cells,
            fetch_permit: Arc::new(Semaphore::new(1)),
            membership: Arc::new(Mutex::new(Membership::new(suspect_after))),
        }
    }

    /// Accepts connections and keeps one to every member until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        for (name, addr) in self.settings.members.clone() {
            if name != self.instance {
                tokio::spawn(self.clone().keep_connected(name, addr, stop.clone()));
            }
        }
        tokio::spawn(self.clone().follow_leases(stop.clone()));
        tokio::spawn(self.clone().follow_platform(stop.clone()));
        tokio::spawn(self.clone().report_dead_members(stop.clone()));
        let max_accepted =
            self.settings.members.len() * MAX_CONNECTIONS_PER_MEMBER + MAX_UNIDENTIFIED_CONNECTIONS;
        let permits = Arc::new(Semaphore::new(max_accepted));
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted
                        && let Ok(permit) = permits.clone().try_acquire_owned()
                    {
                        let peers = self.clone();
                        let stop = stop.clone();
                        tokio::spawn(async move {
                            peers.listen(stream, stop).await;
                            drop(permit);
                        });
                    }
                }
            }
        }
    }

    async fn follow_leases(self, stop: CancellationToken) {
        let prefix = format!("{OWNER_PREFIX}{MEMBER_RANGE_PREFIX}");
        store::watch_prefix(self.store.clone(), &prefix, stop, |entries| {
            let instances = names_under(&prefix, &entries).collect();
            self.membership().update_leases(instances, Instant::now());
        })
        .await;
    }

    async fn follow_platform(self, stop: CancellationToken) {
        store::watch_prefix(self.store.clone(), PLATFORM_PREFIX, stop, |entries| {
            let states = entries.iter().map(|entry| entry.value.clone());
            let names = names_under(PLATFORM_PREFIX, &entries);
            self.membership().update_platform_list(names.zip(states).collect(), Instant::now());
        })
        .await;
    }

    /// Reports members that have died to the decision thread, so that their slots pass to the live
    /// daemons. A crashed process sends no heartbeat that says so.
    async fn report_dead_members(self, stop: CancellationToken) {
        let mut checks = tokio::time::interval(Duration::from_millis(self.settings.heartbeat_ms));
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reported = BTreeSet::new();
        while stop.run_until_cancelled(checks.tick()).await.is_some() {
            let now = Instant::now();
            for name in self.settings.members.keys().filter(|name| **name != self.instance) {
                if self.membership().state_of(name, now) != PeerState::Dead {
                    reported.remove(name);
                } else if !reported.contains(name)
                    && self.decider.try_send(DecideEvent::PeerTerminated(name.clone())).is_ok()
                {
                    log::info!(event = "peer_dead", peer = name.as_str(); "");
                    reported.insert(name.clone());
                }
            }
        }
    }

    async fn keep_connected(self, name: String, addr: SocketAddr, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
            if let Ok(Ok(stream)) = opened {
                let _ = stream.set_nodelay(true);
                let connection = Framed::new(stream, FrameCodec::default());
                if let Err(error) = self.run_connection(&name, connection, &stop).await {
                    log::debug!(event = "peer_link_closed", peer = name.as_str(); "{error}");
                }
            }
            let jitter = 0.5 + rand::random::<f64>();
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(RECONNECT_BACKOFF.mul_f64(jitter)) => {}
            }
        }
    }

    async fn run_connection(
        &self,
        name: &str,
        mut connection: PeerConnection,
        stop: &CancellationToken,
    ) -> Result<(), Error> {
        send(&mut connection, Body::Hello(self.hello())).await?;
        let mut heartbeats =
            tokio::time::interval(Duration::from_millis(self.settings.heartbeat_ms));
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changes = self.shared.config_changes();
        let mut sequence = 0;
        let mut pushed = Instant::now();
        self.push_config(&mut connection).await?;
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                _ = changes.changed() => {
                    pushed = Instant::now();
                    if self.was_accepted_here() {
                        self.push_config(&mut connection).await?;
                    }
                }
                () = self.wait_behind(name) => {
                    if pushed.elapsed() >= MIN_PUSH_INTERVAL {
                        pushed = Instant::now();
                        self.push_config(&mut connection).await?;
                    }
                }
                _ = heartbeats.tick() => {
                    sequence += 1;
                    let heartbeat = self.heartbeat(sequence).await;
                    send(&mut connection, Body::Heartbeat(heartbeat)).await?;
                }
            }
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol_version: PROTOCOL_VERSION,
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            for_calls: false,
        }
    }

    /// Fetches the configuration that a heartbeat of `from` announced, one fetch at a time.
    fn fetch_newer(&self, from: &str) {
        let Some(addr) = self.settings.members.get(from).copied() else { return };
        let Ok(permit) = self.fetch_permit.clone().try_acquire_owned() else { return };
        let peers = self.clone();
        let from = from.to_owned();
        tokio::spawn(async move {
            let have_version = peers.shared.config().version;
            match fetch_config(addr, peers.hello(), have_version, FETCH_TIMEOUT).await {
                Ok(Some(push)) => peers.config_pushed(&push),
                Ok(None) => {}
                Err(error) => {
                    log::debug!(event = "config_fetch_failed", peer = from.as_str(); "{error}");
                }
            }
            drop(permit);
        });
    }

    /// Guards against every daemon pushing every version to every other, which at 32 daemons would
    /// send 992 documents for one change. Only the daemon that accepted the change pushes it
    /// immediately; the others push it to peers that are still behind, at least
    /// [`MIN_PUSH_INTERVAL`] after they received it.
    fn was_accepted_here(&self) -> bool {
        self.shared.accepted_version() == self.shared.config().version
    }

    async fn wait_behind(&self, name: &str) {
        match self.behind.get(name) {
            Some(behind) => behind.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Sends the active configuration with only its last history entry: peers need no more, and the
    /// whole history is about ten times the size of the document.
    async fn push_config(&self, connection: &mut PeerConnection) -> Result<(), Error> {
        let Some(push) = self.newer_than(0) else { return Ok(()) };
        send(connection, Body::Config(push)).await
    }

    fn newer_than(&self, have_version: u64) -> Option<ConfigPush> {
        let config = self.shared.config();
        if config.version <= have_version {
            return None;
        }
        let latest = VersionedConfig {
            version: config.version,
            doc: config.doc.clone(),
            history: config.history.last().cloned().into_iter().collect(),
        };
        let json = serde_json::to_string(&latest).ok()?;
        Some(ConfigPush { version: config.version, json })
    }

    /// Digest of the active configuration, computed once per version rather than for every
    /// heartbeat.
    fn digest(&self) -> u64 {
        let config = self.shared.config();
        let mut digested = self.digested.lock().unwrap_or_else(PoisonError::into_inner);
        if digested.0 != config.version {
            *digested = (config.version, crate::config::digest(&config));
        }
        digested.1
    }

    async fn heartbeat(&self, sequence: u64) -> Heartbeat {
        let (reply, loads) = oneshot::channel();
        let asked = self.decider.try_send(DecideEvent::LocalLoads(reply));
        let loads = match asked {
            Ok(()) => loads.await.unwrap_or_default(),
            Err(_) => Vec::new(),
        };
        let now = Instant::now();
        let heard = {
            let membership = self.membership();
            *self.shared.peers() = membership.live(now).map(|(name, _)| name.to_owned()).collect();
            membership.recent_peers(now)
        };
        Heartbeat {
            sequence,
            config_version: self.shared.config().version,
            loads: loads
                .into_iter()
                .filter(|(_, in_flight)| *in_flight > 0)
                .map(|(upstream, in_flight)| UpstreamLoad { upstream, in_flight })
                .collect(),
            leaving: self.shared.leaving().iter().copied().collect(),
            stopping: self.shared.is_stopping(),
            config_digest: self.digest(),
            heard,
            cells: self.shared.owners().own.iter().cloned().collect(),
        }
    }

    async fn listen(self, stream: TcpStream, stop: CancellationToken) {
        let mut connection = Framed::new(stream, FrameCodec::for_handshake());
        let hello = tokio::time::timeout(HELLO_TIMEOUT, connection.next()).await;
        let Ok(Some(Ok(Frame { body: Some(Body::Hello(hello)) }))) = hello else { return };
        let known = self.settings.members.contains_key(&hello.instance);
        if !known || hello.protocol_version != PROTOCOL_VERSION {
            log::warn!(event = "peer_refused", peer = hello.instance.as_str(),
                protocol_version = hello.protocol_version; "");
            return;
        }
        connection.codec_mut().allow_full_frames();
        if hello.for_calls {
            let peers = self.clone();
            tokio::select! {
                () = stop.cancelled() => {}
                () = serve_peer_calls(connection, move |have_version| peers.newer_than(have_version)) => {}
            }
            return;
        }
        let from = hello.instance;
        loop {
            let received = tokio::select! {
                () = stop.cancelled() => return,
                received = connection.next() => received,
            };
            match received {
                Some(Ok(Frame { body: Some(Body::Heartbeat(heartbeat)) })) => {
                    self.heard(&from, heartbeat);
                }
                Some(Ok(Frame { body: Some(Body::Config(push)) })) => self.config_pushed(&push),
                Some(Ok(Frame { body: Some(Body::ConfigWanted(_)) })) => self.wake(&from),
                Some(Ok(Frame { body: Some(Body::JobCall(call)) })) => {
                    let answer = crate::cells::answer_peer(&self.cells, &call).await;
                    if send(&mut connection, Body::JobAnswer(answer)).await.is_err() {
                        return;
                    }
                }
                Some(Ok(Frame { body: Some(Body::RecordWanted(wanted)) })) => {
                    let known = crate::relay::answer_lookup(&self.shared, &wanted);
                    if send(&mut connection, Body::RecordKnown(known)).await.is_err() {
                        return;
                    }
                }
                // A later release may send frames that this one does not know.
                Some(Ok(_)) => {}
                Some(Err(error)) => {
                    log::warn!(event = "peer_frame_refused", peer = from.as_str(); "{error}");
                    return;
                }
                None => return,
            }
        }
    }

    fn heard(&self, from: &str, heartbeat: Heartbeat) {
        let now = Instant::now();
        let peer = Peer {
            sequence: heartbeat.sequence,
            heard: now,
            config_version: heartbeat.config_version,
            stopping: heartbeat.stopping,
        };
        let heard: BTreeSet<String> = heartbeat.heard.into_iter().collect();
        let live: Vec<String> = {
            let mut membership = self.membership();
            membership.heard(from, peer);
            membership.heard_by(from, heard, now);
            membership.live(now).map(|(name, _)| name.to_owned()).collect()
        };
        {
            let mut owners = self.shared.owners();
            owners.peers.insert(from.to_owned(), heartbeat.cells.iter().cloned().collect());
            owners.peers.retain(|peer, _| live.contains(peer));
        }
        *self.shared.peers() = live;
        self.compare_versions(from, heartbeat.config_version, heartbeat.config_digest);
        let loads: BTreeMap<u32, u32> =
            heartbeat.loads.iter().map(|load| (load.upstream, load.in_flight)).collect();
        let event = DecideEvent::PeerLoads {
            instance: from.to_owned(),
            loads: loads.into_iter().collect(),
        };
        let _ = self.decider.try_send(event);
        if heartbeat.stopping {
            let _ = self.decider.try_send(DecideEvent::PeerTerminated(from.to_owned()));
        }
        for upstream in heartbeat.leaving.iter().copied() {
            let _ = self.decider.try_send(DecideEvent::Leaving { upstream, is_first_hand: false });
        }
    }

    /// Guards against a push that was lost with its connection: the version in a heartbeat reveals
    /// it. The daemon that is behind then fetches the newest version and is sent it as well.
    fn compare_versions(&self, from: &str, version: u64, digest: u64) {
        let config = self.shared.config();
        if version < config.version {
            self.wake(from);
        }
        if version > config.version {
            self.fetch_newer(from);
        }
        // Earlier releases send no digest, which is read as 0.
        if version == config.version && digest != 0 && digest != self.digest() {
            log::error!(event = "config_digest_differs", peer = from, config_version = version; "");
        }
    }

    fn wake(&self, name: &str) {
        if let Some(behind) = self.behind.get(name) {
            behind.notify_one();
        }
    }

    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn config_pushed(&self, push: &ConfigPush) {
        match serde_json::from_str(&push.json) {
            Ok(config) => crate::config::apply(&self.shared, config),
            Err(error) => log::warn!(event = "config_push_malformed"; "{error}"),
        }
    }
}

async fn send(connection: &mut PeerConnection, body: Body) -> Result<(), Error> {
    let sent =
        tokio::time::timeout(SEND_TIMEOUT, connection.send(Frame { body: Some(body) })).await;
    sent.unwrap_or_else(|_| {
        Err(Error::new(ErrorKind::Unreachable, "timed out sending a frame to the peer"))
    })
}

fn names_under<'a>(prefix: &'a str, entries: &'a [Entry]) -> impl Iterator<Item = String> + 'a {
    entries.iter().map(move |entry| entry.key.strip_prefix(prefix).unwrap_or_default().to_owned())
}
