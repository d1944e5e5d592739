//! The peer duty: heartbeats with loads, and configurations pushed to whoever is behind.
//!
//! A daemon keeps one link to every member and speaks on it; it listens on those that others keep
//! to it. A configuration goes out on a link when it comes into force here, and again whenever a
//! heartbeat shows its sender to be behind. So a daemon born in an outage of the store has the
//! newest version one heartbeat after it met a peer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatesill_coord::lease::{MEMBER_RANGE_PREFIX, OWNER_PREFIX};
use agatesill_coord::membership::{Membership, PLATFORM_PREFIX, Peer};
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

/// Pause before a broken link is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// How long opening a link may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// How long one frame may take to be sent; a paused peer's link is opened anew.
const SEND_LIMIT: Duration = Duration::from_secs(2);

/// How long a connection may take to say who it is.
const HELLO_LIMIT: Duration = Duration::from_secs(2);

/// How long a peer may take to send its configuration.
const FETCH_LIMIT: Duration = Duration::from_secs(2);

/// Shortest time between two pushes to a peer that stays behind.
const PUSH_PAUSE: Duration = Duration::from_secs(1);

/// Connections taken in for each member: its link, one that is about to be found dead, and its
/// questions about earlier attempts and about jobs, of which it asks at most 32 each at once.
const CONNECTIONS_PER_MEMBER: usize = 66;

/// Connections taken in besides, from strangers that have not yet said who they are.
const STRANGER_CONNECTIONS: usize = 8;

/// The links of one daemon; clones share one state.
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
    /// Wakes the link to a member that is behind.
    behind: Arc<BTreeMap<String, Notify>>,
    /// Version and digest of the document that was digested last.
    digested: Arc<Mutex<(u64, u64)>>,
    fetching: Arc<Semaphore>,
}

impl Peers {
    /// Prepares the links.
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
            fetching: Arc::new(Semaphore::new(1)),
            membership: Arc::new(Mutex::new(Membership::new(suspect_after))),
        }
    }

    /// Accepts links and keeps one to every member until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        for (name, addr) in self.settings.members.clone() {
            if name != self.instance {
                tokio::spawn(self.clone().keep_link(name, addr, stop.clone()));
            }
        }
        tokio::spawn(self.clone().follow_leases(stop.clone()));
        tokio::spawn(self.clone().follow_platform(stop.clone()));
        let most = self.settings.members.len() * CONNECTIONS_PER_MEMBER + STRANGER_CONNECTIONS;
        let room = Arc::new(Semaphore::new(most));
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted
                        && let Ok(permit) = room.clone().try_acquire_owned()
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
            let words = entries.iter().map(|entry| entry.value.clone());
            let names = names_under(PLATFORM_PREFIX, &entries);
            self.membership().update_platform_list(names.zip(words).collect(), Instant::now());
        })
        .await;
    }

    async fn keep_link(self, name: String, addr: SocketAddr, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let opened = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(addr)).await;
            if let Ok(Ok(stream)) = opened {
                let _ = stream.set_nodelay(true);
                let link = Framed::new(stream, FrameCodec::default());
                if let Err(error) = self.talk(&name, link, &stop).await {
                    log::debug!(event = "peer_link_closed", peer = name.as_str(); "{error}");
                }
            }
            let jitter = 0.5 + rand::random::<f64>();
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(RECONNECT_PAUSE.mul_f64(jitter)) => {}
            }
        }
    }

    async fn talk(
        &self,
        name: &str,
        mut link: PeerConnection,
        stop: &CancellationToken,
    ) -> Result<(), Error> {
        send(&mut link, Body::Hello(self.hello())).await?;
        let mut beat = tokio::time::interval(Duration::from_millis(self.settings.heartbeat_ms));
        beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changes = self.shared.config_changes();
        let mut sequence = 0;
        let mut pushed = Instant::now();
        self.push_config(&mut link).await?;
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                _ = changes.changed() => {
                    pushed = Instant::now();
                    if self.was_accepted_here() {
                        self.push_config(&mut link).await?;
                    }
                }
                () = self.wait_behind(name) => {
                    if pushed.elapsed() >= PUSH_PAUSE {
                        pushed = Instant::now();
                        self.push_config(&mut link).await?;
                    }
                }
                _ = beat.tick() => {
                    sequence += 1;
                    let heartbeat = self.heartbeat(sequence).await;
                    send(&mut link, Body::Heartbeat(heartbeat)).await?;
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

    /// Asks `from` for the configuration that its heartbeat names, one question at a time.
    fn fetch_newer(&self, from: &str) {
        let Some(addr) = self.settings.members.get(from).copied() else { return };
        let Ok(permit) = self.fetching.clone().try_acquire_owned() else { return };
        let peers = self.clone();
        let from = from.to_owned();
        tokio::spawn(async move {
            let have_version = peers.shared.config().version;
            match fetch_config(addr, peers.hello(), have_version, FETCH_LIMIT).await {
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
    /// show as 992 documents for one change: only the accepting daemon pushes at once. The others
    /// send it, [`PUSH_PAUSE`] after it came to them, to whoever is still behind.
    fn was_accepted_here(&self) -> bool {
        self.shared.accepted_version() == self.shared.config().version
    }

    async fn wait_behind(&self, name: &str) {
        match self.behind.get(name) {
            Some(behind) => behind.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Sends what is in force, with its last history entry only: peers need no more, and the whole
    /// history is some ten times the document.
    async fn push_config(&self, link: &mut PeerConnection) -> Result<(), Error> {
        let Some(push) = self.newer_than(0) else { return Ok(()) };
        send(link, Body::Config(push)).await
    }

    fn newer_than(&self, have_version: u64) -> Option<ConfigPush> {
        let config = self.shared.config();
        if config.version <= have_version {
            return None;
        }
        let brief = VersionedConfig {
            version: config.version,
            doc: config.doc.clone(),
            history: config.history.last().cloned().into_iter().collect(),
        };
        let json = serde_json::to_string(&brief).ok()?;
        Some(ConfigPush { version: config.version, json })
    }

    /// Digest of what is in force; a document is digested once and not with every heartbeat.
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
        let mut link = Framed::new(stream, FrameCodec::for_handshake());
        let hello = tokio::time::timeout(HELLO_LIMIT, link.next()).await;
        let Ok(Some(Ok(Frame { body: Some(Body::Hello(hello)) }))) = hello else { return };
        let known = self.settings.members.contains_key(&hello.instance);
        if !known || hello.protocol_version != PROTOCOL_VERSION {
            log::warn!(event = "peer_refused", peer = hello.instance.as_str(),
                protocol_version = hello.protocol_version; "");
            return;
        }
        link.codec_mut().allow_full_frames();
        if hello.for_calls {
            let peers = self.clone();
            tokio::select! {
                () = stop.cancelled() => {}
                () = serve_peer_calls(link, move |have_version| peers.newer_than(have_version)) => {}
            }
            return;
        }
        let from = hello.instance;
        loop {
            let received = tokio::select! {
                () = stop.cancelled() => return,
                received = link.next() => received,
            };
            match received {
                Some(Ok(Frame { body: Some(Body::Heartbeat(heartbeat)) })) => {
                    self.heard(&from, heartbeat);
                }
                Some(Ok(Frame { body: Some(Body::Config(push)) })) => self.config_pushed(&push),
                Some(Ok(Frame { body: Some(Body::ConfigWanted(_)) })) => self.wake(&from),
                Some(Ok(Frame { body: Some(Body::JobCall(call)) })) => {
                    let answer = crate::cells::answer_peer(&self.cells, &call).await;
                    if send(&mut link, Body::JobAnswer(answer)).await.is_err() {
                        return;
                    }
                }
                Some(Ok(Frame { body: Some(Body::RecordWanted(wanted)) })) => {
                    let known = crate::relay::answer_lookup(&self.shared, &wanted);
                    if send(&mut link, Body::RecordKnown(known)).await.is_err() {
                        return;
                    }
                }
                // A later release may send what this one does not know.
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
        self.compare(from, heartbeat.config_version, heartbeat.config_digest);
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

    /// Guards against a push that was lost with its link: the version in a heartbeat shows it, and
    /// whoever is behind gets the newest, by asking for it and by being sent it.
    fn compare(&self, from: &str, version: u64, digest: u64) {
        let config = self.shared.config();
        if version < config.version {
            self.wake(from);
        }
        if version > config.version {
            self.fetch_newer(from);
        }
        // 0: an earlier release that sends no digest.
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

async fn send(link: &mut PeerConnection, body: Body) -> Result<(), Error> {
    let sent = tokio::time::timeout(SEND_LIMIT, link.send(Frame { body: Some(body) })).await;
    sent.unwrap_or_else(|_| Err(Error::new(ErrorKind::Unreachable, "peer takes no frames")))
}

fn names_under<'a>(prefix: &'a str, entries: &'a [Entry]) -> impl Iterator<Item = String> + 'a {
    entries.iter().map(move |entry| entry.key.strip_prefix(prefix).unwrap_or_default().to_owned())
}
