//! The other daemons that serve the same pool: their reported load and their liveness.

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

/// This daemon and its peers.
#[derive(Debug)]
pub struct Peers {
    peers: Vec<Peer>,
    members: Vec<Member>,
    own_position: usize,
    own_zone: String,
}

impl Peers {
    /// Creates the set with this daemon as its only member.
    pub fn new(instance: &str, zone: &str) -> Self {
        let own_member = Member { hash: member_hash(instance), zone: zone.to_owned(), live: true };
        Self {
            peers: Vec::new(),
            members: vec![own_member],
            own_position: 0,
            own_zone: zone.to_owned(),
        }
    }

    /// All daemons including this one, in an order that is the same in every daemon.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Position of this daemon in [`Peers::members`].
    pub fn own_position(&self) -> usize {
        self.own_position
    }

    /// Replaces the peers. A new peer counts as live. This daemon's own name is ignored.
    pub fn set_peer_names(&mut self, names: &[String], pool: &mut Pool) {
        for position in 0..self.peers.len() {
            if !names.contains(&self.peers[position].name) {
                self.add_loads(position, -1, pool);
            }
        }
        self.peers.retain(|peer| names.contains(&peer.name));
        let own_hash = self.members[self.own_position].hash;
        for name in names.iter().filter(|name| member_hash(name) != own_hash) {
            self.position(name);
        }
        self.rebuild_members();
    }

    /// Sets the availability zone of a peer; returns whether it changed.
    pub fn set_zone(&mut self, instance: &str, zone: &str) -> bool {
        let position = self.position(instance);
        let changed = self.peers[position].zone != zone;
        if changed {
            zone.clone_into(&mut self.peers[position].zone);
            self.rebuild_members();
        }
        changed
    }

    /// Records a load report; returns whether the peer was unknown or not live before.
    pub fn heard(&mut self, instance: &str, loads: &[(UpstreamId, u32)], pool: &mut Pool) -> bool {
        let known_peers = self.peers.len();
        let position = self.position(instance);
        self.add_loads(position, -1, pool);
        let peer = &mut self.peers[position];
        peer.loads.clear();
        peer.loads.extend_from_slice(loads);
        let is_new_or_recovered =
            !std::mem::replace(&mut peer.live, true) || position == known_peers;
        self.add_loads(position, 1, pool);
        if is_new_or_recovered {
            self.rebuild_members();
        }
        is_new_or_recovered
    }

    /// Marks a peer as not live after it crashed or stopped, and removes its load.
    pub fn terminated(&mut self, instance: &str, pool: &mut Pool) {
        let position = self.position(instance);
        self.add_loads(position, -1, pool);
        self.peers[position].loads.clear();
        self.peers[position].live = false;
        self.rebuild_members();
    }

    fn position(&mut self, instance: &str) -> usize {
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

    fn add_loads(&self, position: usize, sign: i64, pool: &mut Pool) {
        for (id, in_flight) in &self.peers[position].loads {
            pool.add_peer_load(*id, sign * i64::from(*in_flight));
        }
    }

    /// Rebuilds the members in an order that all daemons share, so that they compute the same
    /// ownership table.
    ///
    /// Zones are used only if the zone of every member is known, which is the same for all daemons
    /// as it depends on the settings. Otherwise the tables would differ by each daemon's knowledge
    /// of the others' zones: two daemons would own the same slot, and requests would queue inside
    /// the upstream.
    fn rebuild_members(&mut self) {
        let hash = self.members[self.own_position].hash;
        let own_member = Member { hash, zone: self.own_zone.clone(), live: true };
        self.members.clear();
        self.members.push(own_member);
        self.members.extend(self.peers.iter().map(|peer| Member {
            hash: member_hash(&peer.name),
            zone: peer.zone.clone(),
            live: peer.live,
        }));
        self.members.sort_by_key(|member| member.hash);
        if self.members.iter().any(|member| member.zone.is_empty()) {
            self.members.iter_mut().for_each(|member| member.zone.clear());
        }
        self.own_position = self.members.iter().position(|member| member.hash == hash).unwrap_or(0);
    }
}
