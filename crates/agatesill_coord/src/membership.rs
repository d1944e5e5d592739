//! Membership: the state of each peer daemon, derived from four kinds of evidence.
//!
//! - direct heartbeats, the fastest source;
//! - heartbeats received by other peers, which distinguish a broken connection from a dead process;
//! - the store lease of each daemon, which ends when the daemon cannot renew it;
//! - the platform's list of instances, which lags but shows which instances were removed.
//!
//! A peer without recent heartbeats is only *suspected*. It counts as *dead* when two sources
//! agree: no peer receives its heartbeats, and its lease has ended or the platform no longer lists
//! it. With a single source, a pause, a one-way network failure or an outage of the store would
//! move cells back and forth.
//!
//! The result is only a hint as to which daemon should claim a range; the store decides (see
//! [`crate::lease`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_policy::value_type;

/// Prefix of the platform's list in the store: one key per instance, with the value `live` or
/// `leaving`.
pub const PLATFORM_PREFIX: &str = "platform/instances/";

/// Consecutive heartbeats after which a new or suspected peer counts as live. A terminating process
/// or a flapping connection may still deliver a single one.
const MIN_CONSECUTIVE_HEARTBEATS: u32 = 2;

value_type! {
    /// State of a peer as seen by this daemon.
    pub enum PeerState {
        /// Heartbeats arrive, but too few consecutive ones so far.
        Joining,
        /// Heartbeats arrive regularly.
        Live,
        /// No recent heartbeat arrived here, but there is no second source that it is dead.
        Suspected,
        /// The peer announced that it is stopping, or the platform lists it as leaving.
        Leaving,
        /// Two sources agree that the process has terminated.
        Dead,
    }
}

value_type! {
    /// State of one peer, with the evidence.
    pub struct PeerReport {
        /// Name of the instance.
        pub instance: String,
        /// State derived from the evidence below.
        pub state: PeerState,
        /// Time since its last heartbeat; absent when none was received.
        pub silent_ms: Option<u64>,
        /// Other peers that receive its heartbeats.
        pub heard_by: Vec<String>,
        /// Whether it holds a store lease; absent when the store was not read recently.
        pub has_lease: Option<bool>,
        /// Its value in the platform's list; absent when it is not listed or the list is unknown.
        pub platform: Option<String>,
        /// Version of its active configuration.
        pub config_version: u64,
    }
}

/// Content of the last heartbeat of a peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// When the heartbeat arrived.
    pub heard: Instant,
    /// Version of the peer's active configuration.
    pub config_version: u64,
    /// Whether the peer announced that it is stopping.
    pub stopping: bool,
}

#[derive(Debug)]
struct TrackedPeer {
    peer: Peer,
    consecutive_heartbeats: u32,
}

/// A list with the time at which it was read.
#[derive(Debug)]
struct Observed<T> {
    read_at: Instant,
    entries: T,
}

/// The evidence that one daemon has about its peers.
#[derive(Debug)]
pub struct Membership {
    peers: BTreeMap<String, TrackedPeer>,
    /// By reporting peer: the instances whose heartbeats it receives.
    peer_reports: BTreeMap<String, Observed<BTreeSet<String>>>,
    leases: Option<Observed<BTreeSet<String>>>,
    platform: Option<Observed<BTreeMap<String, String>>>,
    suspect_after: Duration,
}

impl Membership {
    /// A peer is no longer live when no heartbeat arrived for `suspect_after`.
    pub fn new(suspect_after: Duration) -> Self {
        Self {
            peers: BTreeMap::new(),
            peer_reports: BTreeMap::new(),
            leases: None,
            platform: None,
            suspect_after,
        }
    }

    /// Records a heartbeat.
    pub fn heard(&mut self, instance: &str, peer: Peer) {
        let consecutive_heartbeats = self.peers.get(instance).map_or(0, |tracked| {
            let gap = peer.heard.saturating_duration_since(tracked.peer.heard);
            if gap < self.suspect_after { tracked.consecutive_heartbeats } else { 0 }
        });
        let tracked =
            TrackedPeer { peer, consecutive_heartbeats: consecutive_heartbeats.saturating_add(1) };
        self.peers.insert(instance.to_owned(), tracked);
    }

    /// Records the instances whose heartbeats `reporter` receives.
    pub fn heard_by(&mut self, reporter: &str, instances: BTreeSet<String>, now: Instant) {
        self.peer_reports
            .insert(reporter.to_owned(), Observed { read_at: now, entries: instances });
    }

    /// Records the instances that hold a store lease.
    pub fn update_leases(&mut self, instances: BTreeSet<String>, now: Instant) {
        self.leases = Some(Observed { read_at: now, entries: instances });
    }

    /// Records the platform's list; an empty list is no evidence.
    pub fn update_platform_list(&mut self, instances: BTreeMap<String, String>, now: Instant) {
        self.platform = Some(Observed { read_at: now, entries: instances });
    }

    /// Peers that are live at `now`, ordered by name.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&str, &Peer)> {
        self.peers.iter().filter_map(move |(name, tracked)| {
            let is_live = self.state_of(name, now) == PeerState::Live;
            is_live.then_some((name.as_str(), &tracked.peer))
        })
    }

    /// Peers with a direct heartbeat within `suspect_after`, to be reported to other peers.
    pub fn recent_peers(&self, now: Instant) -> Vec<String> {
        let is_recent = |tracked: &&TrackedPeer| self.is_fresh(tracked.peer.heard, now);
        let peers = self.peers.iter().filter(|(_, tracked)| is_recent(tracked));
        peers.map(|(name, _)| name.clone()).collect()
    }

    /// Peers that may own ranges: those that are live or suspected.
    pub fn candidates(&self, now: Instant) -> Vec<String> {
        let is_eligible = |state| matches!(state, PeerState::Live | PeerState::Suspected);
        self.peers.keys().filter(|name| is_eligible(self.state_of(name, now))).cloned().collect()
    }

    /// State of `instance` at `now`.
    pub fn state_of(&self, instance: &str, now: Instant) -> PeerState {
        let platform = self.platform_status(instance, now);
        let Some(tracked) = self.peers.get(instance) else {
            let is_gone = platform.is_none() && self.has_lease(instance, now) == Some(false);
            return if is_gone { PeerState::Dead } else { PeerState::Suspected };
        };
        let is_reachable = self.is_fresh(tracked.peer.heard, now);
        if is_reachable && (tracked.peer.stopping || platform == Some("leaving")) {
            return PeerState::Leaving;
        }
        if is_reachable {
            let is_regular = tracked.consecutive_heartbeats >= MIN_CONSECUTIVE_HEARTBEATS;
            return if is_regular { PeerState::Live } else { PeerState::Joining };
        }
        if !self.reporters_of(instance, now).is_empty() {
            return PeerState::Suspected;
        }
        let lease_ended = self.has_lease(instance, now) == Some(false);
        let is_removed = self.platform_lists_others(instance, now) && platform.is_none();
        if lease_ended || is_removed || tracked.peer.stopping {
            PeerState::Dead
        } else {
            PeerState::Suspected
        }
    }

    /// Every peer with its evidence.
    pub fn report(&self, now: Instant) -> Vec<PeerReport> {
        self.peers
            .iter()
            .map(|(name, tracked)| PeerReport {
                instance: name.clone(),
                state: self.state_of(name, now),
                silent_ms: Some(
                    now.saturating_duration_since(tracked.peer.heard).as_millis() as u64
                ),
                heard_by: self.reporters_of(name, now),
                has_lease: self.has_lease(name, now),
                platform: self.platform_status(name, now).map(str::to_owned),
                config_version: tracked.peer.config_version,
            })
            .collect()
    }

    fn reporters_of(&self, instance: &str, now: Instant) -> Vec<String> {
        self.peer_reports
            .iter()
            .filter(|(_, list)| self.is_fresh(list.read_at, now) && list.entries.contains(instance))
            .map(|(reporter, _)| reporter.clone())
            .collect()
    }

    /// `None` if the leases were last read too long ago. An outage of the store would otherwise
    /// look as if all peers had lost their leases.
    fn has_lease(&self, instance: &str, now: Instant) -> Option<bool> {
        let leases = self.leases.as_ref()?;
        let max_age =
            self.suspect_after.max(Duration::from_millis(3 * crate::store::WATCH_TIMEOUT_MS));
        (now.saturating_duration_since(leases.read_at) < max_age)
            .then(|| leases.entries.contains(instance))
    }

    fn platform_status(&self, instance: &str, now: Instant) -> Option<&str> {
        let list = self.platform.as_ref()?;
        let max_age = Duration::from_millis(3 * crate::store::WATCH_TIMEOUT_MS);
        let is_fresh = now.saturating_duration_since(list.read_at) < max_age;
        if is_fresh { list.entries.get(instance).map(String::as_str) } else { None }
    }

    /// Whether the platform's list is recent and has other instances, so that absence from it is
    /// evidence.
    fn platform_lists_others(&self, instance: &str, now: Instant) -> bool {
        let Some(list) = &self.platform else { return false };
        let max_age = Duration::from_millis(3 * crate::store::WATCH_TIMEOUT_MS);
        now.saturating_duration_since(list.read_at) < max_age
            && list.entries.keys().any(|name| name != instance)
    }

    fn is_fresh(&self, at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) < self.suspect_after
    }
}
