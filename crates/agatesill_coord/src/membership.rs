//! Which peers are there, from direct heartbeats.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What is known of one peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Sequence of its newest heartbeat.
    pub sequence: u64,
    /// When that arrived.
    pub heard: Instant,
    /// Version of the configuration in force there.
    pub config_version: u64,
    /// Whether it said that it is stopping.
    pub stopping: bool,
}

/// The peers heard lately.
#[derive(Debug)]
pub struct Membership {
    peers: BTreeMap<String, Peer>,
    suspect_after: Duration,
}

impl Membership {
    /// Peers silent for `suspect_after` are no longer live.
    pub fn new(suspect_after: Duration) -> Self {
        Self { peers: BTreeMap::new(), suspect_after }
    }

    /// Records a heartbeat.
    pub fn heard(&mut self, instance: &str, peer: Peer) {
        self.peers.insert(instance.to_owned(), peer);
    }

    /// Peers that are live at `now`, in order of name.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&str, &Peer)> {
        let limit = self.suspect_after;
        self.peers
            .iter()
            .filter(move |(_, peer)| !peer.stopping && now.duration_since(peer.heard) < limit)
            .map(|(name, peer)| (name.as_str(), peer))
    }
}
