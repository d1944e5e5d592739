//! The peer duty: heartbeats with loads, and configurations pushed to whoever is behind.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use agatesill_coord::membership::{Membership, Peer};
use agatesill_wire::peer::{
    Body, ConfigPush, Frame, FrameCodec, Heartbeat, Hello, PROTOCOL_VERSION, UpstreamLoad,
};
use agatesill_wire::prelude::*;
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::decide::{DecideEvent, Decider};
use crate::settings::{PeerSettings, Settings};
use crate::shared::Shared;

/// Pause before a broken link is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// How long opening a link may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

type Link = Framed<TcpStream, FrameCodec>;

/// The links of one daemon; clones share one state.
#[derive(Clone, Debug)]
pub struct Peers {
    instance: String,
    zone: String,
    settings: PeerSettings,
    shared: Shared,
    decider: Decider,
    membership: Arc<Mutex<Membership>>,
}

impl Peers {
    /// Prepares the links.
    pub fn new(settings: &Settings, shared: Shared, decider: Decider) -> Self {
        let suspect_after = Duration::from_millis(settings.peers.suspect_ms);
        Self {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            settings: settings.peers.clone(),
            shared,
            decider,
            membership: Arc::new(Mutex::new(Membership::new(suspect_after))),
        }
    }

    /// Accepts links and keeps one to every member until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        for (name, addr) in self.settings.members.clone() {
            if name != self.instance {
                tokio::spawn(self.clone().keep_link(addr, stop.clone()));
            }
        }
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().listen(stream, stop.clone()));
                    }
                }
            }
        }
    }

    async fn keep_link(self, addr: SocketAddr, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let opened = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(addr)).await;
            if let Ok(Ok(stream)) = opened {
                let _ = stream.set_nodelay(true);
                let link = Framed::new(stream, FrameCodec::default());
                if let Err(error) = self.talk(link, &stop).await {
                    log::debug!(event = "peer_link_closed"; "{error}");
                }
            }
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(RECONNECT_PAUSE) => {}
            }
        }
    }

    async fn talk(&self, mut link: Link, stop: &CancellationToken) -> Result<(), Error> {
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            instance: self.instance.clone(),
            zone: self.zone.clone(),
        };
        link.send(frame(Body::Hello(hello))).await?;
        let mut beat = tokio::time::interval(Duration::from_millis(self.settings.heartbeat_ms));
        let mut changes = self.shared.config_changes();
        let mut sequence = 0;
        self.push_config(&mut link).await?;
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                _ = changes.changed() => self.push_config(&mut link).await?,
                _ = beat.tick() => {
                    sequence += 1;
                    let heartbeat = self.heartbeat(sequence).await;
                    link.send(frame(Body::Heartbeat(heartbeat))).await?;
                }
            }
        }
    }

    async fn push_config(&self, link: &mut Link) -> Result<(), Error> {
        let config = self.shared.config();
        if config.version == 0 {
            return Ok(());
        }
        let json = serde_json::to_string(&*config)
            .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))?;
        link.send(frame(Body::Config(ConfigPush { version: config.version, json }))).await
    }

    async fn heartbeat(&self, sequence: u64) -> Heartbeat {
        let (reply, loads) = oneshot::channel();
        let asked = self.decider.offer(DecideEvent::Loads(reply));
        let loads = match asked {
            Ok(()) => loads.await.unwrap_or_default(),
            Err(_) => Vec::new(),
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
        }
    }

    async fn listen(self, stream: TcpStream, stop: CancellationToken) {
        let mut link = Framed::new(stream, FrameCodec::default());
        let mut from = String::new();
        loop {
            let received = tokio::select! {
                () = stop.cancelled() => return,
                received = link.next() => received,
            };
            let Some(Ok(Frame { body: Some(body) })) = received else { return };
            match body {
                Body::Hello(hello) => {
                    let known = self.settings.members.contains_key(&hello.instance);
                    if !known || hello.protocol_version != PROTOCOL_VERSION {
                        log::warn!(event = "peer_refused", peer = hello.instance.as_str(); "");
                        return;
                    }
                    from = hello.instance;
                }
                _ if from.is_empty() => return,
                Body::Heartbeat(heartbeat) => self.heard(&from, &heartbeat),
                Body::Config(push) => self.config_pushed(&push),
                Body::ConfigWanted(_) | Body::RecordKnown(_) => {}
                Body::RecordWanted(wanted) => {
                    let known = crate::relay::answer_lookup(&self.shared, &wanted);
                    if link.send(frame(Body::RecordKnown(known))).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn heard(&self, from: &str, heartbeat: &Heartbeat) {
        let now = Instant::now();
        let peer = Peer {
            sequence: heartbeat.sequence,
            heard: now,
            config_version: heartbeat.config_version,
            stopping: heartbeat.stopping,
        };
        let live: Vec<String> = {
            let mut membership = self.membership.lock().unwrap_or_else(PoisonError::into_inner);
            membership.heard(from, peer);
            membership.live(now).map(|(name, _)| name.to_owned()).collect()
        };
        *self.shared.peers() = live;
        let loads: BTreeMap<u32, u32> =
            heartbeat.loads.iter().map(|load| (load.upstream, load.in_flight)).collect();
        let event = DecideEvent::PeerLoads {
            instance: from.to_owned(),
            loads: loads.into_iter().collect(),
        };
        let _ = self.decider.offer(event);
        if heartbeat.stopping {
            let _ = self.decider.offer(DecideEvent::PeerGone(from.to_owned()));
        }
        for upstream in heartbeat.leaving.iter().copied() {
            let _ = self.decider.offer(DecideEvent::Leaving { upstream, is_first_hand: false });
        }
    }

    fn config_pushed(&self, push: &ConfigPush) {
        match serde_json::from_str(&push.json) {
            Ok(config) => crate::config::apply(&self.shared, config),
            Err(error) => log::warn!(event = "config_push_malformed"; "{error}"),
        }
    }
}

fn frame(body: Body) -> Frame {
    Frame { body: Some(body) }
}
