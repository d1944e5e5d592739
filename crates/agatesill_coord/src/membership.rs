//! Which daemons are there, from four kinds of evidence.
//!
//! - direct heartbeats, the quickest;
//! - what other peers heard, which tells a broken link from a dead process;
//! - the store lease of each daemon, which ends when it can't renew;
//! - the platform's list of instances, which lags but knows what was taken away.
//!
//! A silent peer is only *suspected*. It counts as *dead* when two sources agree: nobody hears it,
//! and its lease has ended or the platform no longer lists it. With one source alone, a pause, a
//! one-way link or an outage of the store would move cells to and fro.
//!
//! The list is a hint for who should claim what; the store decides (see [`crate::lease`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_policy::value_type;

/// Prefix of the platform's list in the store: one key an instance, with `live` or `leaving`.
pub const PLATFORM_PREFIX: &str = "platform/instances/";

/// Heartbeats in a row after which a peer that is new, or was suspected, counts as live. One alone
/// may be what a dying process or a flapping link still got through.
const STEADY_HEARTBEATS: u32 = 2;

value_type! {
    /// Where a peer stands.
    pub enum PeerState {
        /// Heard, but not steadily yet.
        Joining,
        /// Heard steadily.
        Live,
        /// Not heard here; not known to be dead.
        Suspected,
        /// Said that it stops, or the platform says so.
        Leaving,
        /// Two sources say that it is gone.
        Dead,
    }
}

value_type! {
    /// One peer as it is judged, with the evidence.
    pub struct PeerReport {
        /// The instance.
        pub instance: String,
        /// Where it stands.
        pub state: PeerState,
        /// Time since its newest heartbeat; absent when none was heard.
        pub silent_ms: Option<u64>,
        /// Other peers that hear it.
        pub heard_by: Vec<String>,
        /// Whether its store lease is held; absent when the store was not read lately.
        pub has_lease: Option<bool>,
        /// What the platform's list says of it; absent when it is not listed or not known.
        pub platform: Option<String>,
        /// Version of the configuration in force there.
        pub config_version: u64,
    }
}

/// What a heartbeat says of its sender.
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

#[derive(Debug)]
struct Known {
    peer: Peer,
    in_a_row: u32,
}

/// A list read from the store, with the time of the reading.
#[derive(Debug)]
struct Listed<T> {
    read: Instant,
    entries: T,
}

/// All evidence of one daemon.
#[derive(Debug)]
pub struct Membership {
    peers: BTreeMap<String, Known>,
    /// By reporter: whom it heard, and when it said so.
    second_hand: BTreeMap<String, Listed<BTreeSet<String>>>,
    leases: Option<Listed<BTreeSet<String>>>,
    platform: Option<Listed<BTreeMap<String, String>>>,
    suspect_after: Duration,
}

impl Membership {
    /// Peers silent for `suspect_after` are no longer live.
    pub fn new(suspect_after: Duration) -> Self {
        Self {
            peers: BTreeMap::new(),
            second_hand: BTreeMap::new(),
            leases: None,
            platform: None,
            suspect_after,
        }
    }

    /// Records a heartbeat.
    pub fn heard(&mut self, instance: &str, peer: Peer) {
        let in_a_row = self.peers.get(instance).map_or(0, |known| {
            let gap = peer.heard.saturating_duration_since(known.peer.heard);
            if gap < self.suspect_after { known.in_a_row } else { 0 }
        });
        let known = Known { peer, in_a_row: in_a_row.saturating_add(1) };
        self.peers.insert(instance.to_owned(), known);
    }

    /// Records whom `reporter` hears.
    pub fn heard_by(&mut self, reporter: &str, instances: BTreeSet<String>, now: Instant) {
        self.second_hand.insert(reporter.to_owned(), Listed { read: now, entries: instances });
    }

    /// Records who holds a store lease.
    pub fn update_leases(&mut self, instances: BTreeSet<String>, now: Instant) {
        self.leases = Some(Listed { read: now, entries: instances });
    }

    /// Records the platform's list; an empty one says nothing.
    pub fn update_platform_list(&mut self, instances: BTreeMap<String, String>, now: Instant) {
        self.platform = Some(Listed { read: now, entries: instances });
    }

    /// Peers that are live at `now`, in order of name.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&str, &Peer)> {
        self.peers.iter().filter_map(move |(name, known)| {
            let is_live = self.judge(name, now) == PeerState::Live;
            is_live.then_some((name.as_str(), &known.peer))
        })
    }

    /// Peers heard directly within the time limit, for telling others.
    pub fn recent_peers(&self, now: Instant) -> Vec<String> {
        let lately = |known: &&Known| self.is_fresh(known.peer.heard, now);
        let peers = self.peers.iter().filter(|(_, known)| lately(known));
        peers.map(|(name, _)| name.clone()).collect()
    }

    /// Peers that may own ranges: all that are neither leaving nor dead.
    pub fn candidates(&self, now: Instant) -> Vec<String> {
        let able = |state| matches!(state, PeerState::Live | PeerState::Suspected);
        self.peers.keys().filter(|name| able(self.judge(name, now))).cloned().collect()
    }

    /// Where `instance` stands at `now`.
    pub fn judge(&self, instance: &str, now: Instant) -> PeerState {
        let platform = self.platform_word(instance, now);
        let Some(known) = self.peers.get(instance) else {
            let is_gone = platform.is_none() && self.has_lease(instance, now) == Some(false);
            return if is_gone { PeerState::Dead } else { PeerState::Suspected };
        };
        let is_heard = self.is_fresh(known.peer.heard, now);
        if is_heard && (known.peer.stopping || platform == Some("leaving")) {
            return PeerState::Leaving;
        }
        if is_heard {
            let is_steady = known.in_a_row >= STEADY_HEARTBEATS;
            return if is_steady { PeerState::Live } else { PeerState::Joining };
        }
        if !self.hearers(instance, now).is_empty() {
            return PeerState::Suspected;
        }
        let lease_ended = self.has_lease(instance, now) == Some(false);
        let was_removed = self.lists_others(instance, now) && platform.is_none();
        if lease_ended || was_removed || known.peer.stopping {
            PeerState::Dead
        } else {
            PeerState::Suspected
        }
    }

    /// Every peer with its evidence.
    pub fn report(&self, now: Instant) -> Vec<PeerReport> {
        self.peers
            .iter()
            .map(|(name, known)| PeerReport {
                instance: name.clone(),
                state: self.judge(name, now),
                silent_ms: Some(now.saturating_duration_since(known.peer.heard).as_millis() as u64),
                heard_by: self.hearers(name, now),
                has_lease: self.has_lease(name, now),
                platform: self.platform_word(name, now).map(str::to_owned),
                config_version: known.peer.config_version,
            })
            .collect()
    }

    fn hearers(&self, instance: &str, now: Instant) -> Vec<String> {
        self.second_hand
            .iter()
            .filter(|(_, list)| self.is_fresh(list.read, now) && list.entries.contains(instance))
            .map(|(reporter, _)| reporter.clone())
            .collect()
    }

    /// Guards against an outage of the store read as a mass death: a reading older than the time
    /// limit says nothing.
    fn has_lease(&self, instance: &str, now: Instant) -> Option<bool> {
        let leases = self.leases.as_ref()?;
        let limit = self.suspect_after.max(Duration::from_millis(3 * crate::store::WATCH_MS));
        (now.saturating_duration_since(leases.read) < limit)
            .then(|| leases.entries.contains(instance))
    }

    fn platform_word(&self, instance: &str, now: Instant) -> Option<&str> {
        let list = self.platform.as_ref()?;
        let limit = Duration::from_millis(3 * crate::store::WATCH_MS);
        let is_fresh = now.saturating_duration_since(list.read) < limit;
        if is_fresh { list.entries.get(instance).map(String::as_str) } else { None }
    }

    /// Whether the platform's list is in use and fresh, so that not being on it means something.
    fn lists_others(&self, instance: &str, now: Instant) -> bool {
        let Some(list) = &self.platform else { return false };
        let limit = Duration::from_millis(3 * crate::store::WATCH_MS);
        now.saturating_duration_since(list.read) < limit
            && list.entries.keys().any(|name| name != instance)
    }

    fn is_fresh(&self, at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) < self.suspect_after
    }
}
