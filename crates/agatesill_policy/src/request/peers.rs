//! The other daemons before the same pool: what they reported, and who counts as alive.

use super::UpstreamId;
use super::pool::Pool;
use super::shares::{Member, member_hash};

#[derive(Debug)]
struct Peer {
    name: String,
    zone: String,
    live: bool,
    loads: Vec<(UpstreamId, u32)>,
}

/// This daemon and the others.
#[derive(Debug)]
pub struct Peers {
    peers: Vec<Peer>,
    members: Vec<Member>,
    own: usize,
    own_zone: String,
}

impl Peers {
    /// This daemon alone.
    pub fn new(instance: &str, zone: &str) -> Self {
        let own = Member { hash: member_hash(instance), zone: zone.to_owned(), live: true };
        Self { peers: Vec::new(), members: vec![own], own: 0, own_zone: zone.to_owned() }
    }

    /// All daemons, in the same order in each of them.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Position of this daemon among them.
    pub fn own(&self) -> usize {
        self.own
    }

    /// Replaces the others; a new one counts as alive. This daemon's own name is passed over.
    pub fn set_names(&mut self, names: &[String], pool: &mut Pool) {
        for at in 0..self.peers.len() {
            if !names.contains(&self.peers[at].name) {
                self.add_loads(at, -1, pool);
            }
        }
        self.peers.retain(|peer| names.contains(&peer.name));
        let own = self.members[self.own].hash;
        for name in names.iter().filter(|name| member_hash(name) != own) {
            self.at(name);
        }
        self.sort();
    }

    /// Sets a daemon's zone; returns whether it changed.
    pub fn set_zone(&mut self, instance: &str, zone: &str) -> bool {
        let at = self.at(instance);
        let changed = self.peers[at].zone != zone;
        if changed {
            zone.clone_into(&mut self.peers[at].zone);
            self.sort();
        }
        changed
    }

    /// Takes in a report; returns whether the daemon was not known to be alive.
    pub fn heard(&mut self, instance: &str, loads: &[(UpstreamId, u32)], pool: &mut Pool) -> bool {
        let known = self.peers.len();
        let at = self.at(instance);
        self.add_loads(at, -1, pool);
        let peer = &mut self.peers[at];
        peer.loads.clear();
        peer.loads.extend_from_slice(loads);
        let back = !std::mem::replace(&mut peer.live, true) || at == known;
        self.add_loads(at, 1, pool);
        if back {
            self.sort();
        }
        back
    }

    /// A daemon is dead or has stopped.
    pub fn gone(&mut self, instance: &str, pool: &mut Pool) {
        let at = self.at(instance);
        self.add_loads(at, -1, pool);
        self.peers[at].loads.clear();
        self.peers[at].live = false;
        self.sort();
    }

    fn at(&mut self, instance: &str) -> usize {
        let found = self.peers.iter().position(|peer| peer.name == instance);
        found.unwrap_or_else(|| {
            self.peers.push(Peer {
                name: instance.to_owned(),
                zone: String::new(),
                live: true,
                loads: Vec::new(),
            });
            self.peers.len() - 1
        })
    }

    fn add_loads(&self, at: usize, sign: i64, pool: &mut Pool) {
        for (id, in_flight) in &self.peers[at].loads {
            pool.add_peer_load(*id, sign * i64::from(*in_flight));
        }
    }

    /// Puts the members into an order that all daemons share, so that they compute one table.
    ///
    /// Guards against tables that differ by what each daemon knows of the others' zones: two
    /// daemons would own the same slot, and an upstream would queue. Zones count only where the
    /// zone of every member is known, which the settings decide for all daemons alike.
    fn sort(&mut self) {
        let hash = self.members[self.own].hash;
        let own = Member { hash, zone: self.own_zone.clone(), live: true };
        self.members.clear();
        self.members.push(own);
        self.members.extend(self.peers.iter().map(|peer| Member {
            hash: member_hash(&peer.name),
            zone: peer.zone.clone(),
            live: peer.live,
        }));
        self.members.sort_by_key(|member| member.hash);
        if self.members.iter().any(|member| member.zone.is_empty()) {
            self.members.iter_mut().for_each(|member| member.zone.clear());
        }
        self.own = self.members.iter().position(|member| member.hash == hash).unwrap_or(0);
    }
}
