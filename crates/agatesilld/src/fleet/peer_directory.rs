//! The other daemons of the fleet, as far as this one knows them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::Rng;
use rand::seq::IteratorRandom;

/// Number of other daemons that are remembered.
const MAX_PEERS: usize = 64;

/// Number of other daemons named in an answer.
const MAX_NAMED_PEERS: usize = 4;

/// Share of the choices that disregard failed calls, so that a daemon is found again that was
/// restarted and knows no other one.
const INDIFFERENT_CHOICES: f64 = 0.25;

/// What is known of one daemon.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Consecutive calls that it did not answer.
    failures: u32,
    /// Revision of the configuration that it applied when it was last heard of; 0 if unknown.
    config_revision: u64,
}

/// Other daemons of the fleet, as known from calls and answers.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    peers: Mutex<HashMap<SocketAddr, Peer>>,
}

impl PeerDirectory {
    /// Records a daemon that has made a call.
    pub fn called_by(&self, addr: &str) {
        self.add(addr);
        if let Ok(addr) = addr.parse() {
            self.answered(addr, true);
        }
    }

    /// Records a daemon that another one has named. In a full directory it takes the place of an
    /// unresponsive one, or of any.
    pub fn add(&self, addr: &str) {
        let Ok(addr) = addr.parse() else { return };
        let mut peers = self.lock();
        if peers.contains_key(&addr) {
            return;
        }
        if peers.len() >= MAX_PEERS {
            let mut random = rand::rng();
            let unresponsive = peers.iter().find(|(_, peer)| peer.failures > 0);
            let replaced = unresponsive.or_else(|| peers.iter().choose(&mut random));
            if let Some(replaced) = replaced.map(|(addr, _)| *addr) {
                peers.remove(&replaced);
            }
        }
        peers.insert(addr, Peer::default());
    }

    /// Some daemons other than `own`, for an answer.
    pub fn sample(&self, own: SocketAddr) -> Vec<String> {
        let peers = self.lock();
        let responsive = peers.iter().filter(|(addr, peer)| **addr != own && peer.failures == 0);
        let chosen = responsive.choose_multiple(&mut rand::rng(), MAX_NAMED_PEERS);
        chosen.into_iter().map(|(addr, _)| addr.to_string()).collect()
    }

    /// A daemon to call: mostly one of those that failed least often.
    pub fn choose(&self, own: SocketAddr) -> Option<SocketAddr> {
        let peers = self.lock();
        let mut random = rand::rng();
        let others = || peers.iter().filter(|(addr, _)| **addr != own);
        let fewest = match random.random_bool(INDIFFERENT_CHOICES) {
            true => u32::MAX,
            false => others().map(|(_, peer)| peer.failures).min()?,
        };
        others()
            .filter(|(_, peer)| peer.failures <= fewest)
            .choose(&mut random)
            .map(|(addr, _)| *addr)
    }

    /// Up to `count` daemons that are not known to apply the configuration of `revision` and are not
    /// among `except`. Those that answered the last call come first.
    pub fn choose_behind(
        &self,
        own: SocketAddr,
        revision: u64,
        except: &HashSet<SocketAddr>,
        count: usize,
    ) -> Vec<SocketAddr> {
        let peers = self.lock();
        let mut random = rand::rng();
        let mut choose = |is_responsive: bool, count: usize| {
            let candidates = peers.iter().filter(|(addr, peer)| {
                let is_behind = **addr != own && peer.config_revision < revision;
                is_behind && (peer.failures == 0) == is_responsive && !except.contains(*addr)
            });
            candidates.map(|(addr, _)| *addr).choose_multiple(&mut random, count)
        };
        let mut chosen = choose(true, count);
        chosen.extend(choose(false, count - chosen.len()));
        chosen
    }

    /// A daemon that applies a newer configuration than that of `revision` and is not among `except`:
    /// one of those that failed least often.
    pub fn choose_ahead(
        &self,
        own: SocketAddr,
        revision: u64,
        except: &HashSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        let peers = self.lock();
        let ahead = || {
            peers.iter().filter(|(addr, peer)| {
                **addr != own && peer.config_revision > revision && !except.contains(*addr)
            })
        };
        let fewest = ahead().map(|(_, peer)| peer.failures).min()?;
        ahead()
            .filter(|(_, peer)| peer.failures == fewest)
            .choose(&mut rand::rng())
            .map(|(addr, _)| *addr)
    }

    /// Records whether a daemon answered a call.
    pub fn answered(&self, addr: SocketAddr, is_answered: bool) {
        if let Some(peer) = self.lock().get_mut(&addr) {
            peer.failures = if is_answered { 0 } else { peer.failures + 1 };
        }
    }

    /// Records the revision of the configuration that a daemon says it applies.
    pub fn applies(&self, addr: SocketAddr, config_revision: u64) {
        if let Some(peer) = self.lock().get_mut(&addr) {
            peer.config_revision = config_revision;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
