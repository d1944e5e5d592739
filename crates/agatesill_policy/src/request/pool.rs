//! The upstreams of one pool, and load balancing over those with free capacity.
//!
//! A daemon knows the load of an upstream only in part. A choice by local load alone selects
//! upstreams that the other daemons have filled, and a choice by reported loads sends all daemons
//! to the same upstream. A daemon therefore uses only the slots that it owns (see
//! [`super::shares`]), so it cannot overload an upstream. Among the upstreams with a free slot it
//! uses the power of two random choices, by recent latency, reported load and zone. Two draws cost
//! the same at 50 and at 2,000 upstreams, and don't send all requests to the upstream that was last
//! the fastest.

use std::collections::HashMap;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::health::{EjectionCause, Health, max_ejected};
use super::shares::{Member, OwnershipTable, UpstreamSlots};
use super::{UpstreamId, UpstreamSpec};

/// Maximum draws to find two upstreams that may receive the request now.
const MAX_DRAWS: usize = 6;

/// Weight of the newest sample in the mean latency of an upstream, which thus covers about its last
/// eight requests.
const LATENCY_WEIGHT: f32 = 0.125;

/// Value of `available_index` for an upstream that is not in `available`.
const NOT_AVAILABLE: u32 = u32::MAX;

/// One upstream as this daemon sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Description from the settings or the platform.
    pub spec: UpstreamSpec,
    /// Slots that this daemon owns.
    pub share: u32,
    /// This daemon's requests in flight at the upstream.
    pub in_flight: u32,
    /// The other daemons' requests in flight at the upstream, as last reported.
    pub peer_in_flight: u32,
    /// Whether the upstream is draining and receives no new requests.
    pub leaving: bool,
    /// Health, from failures and slowness.
    pub health: Health,
    listed: bool,
    same_zone: bool,
    latency_us: f32,
    available_index: u32,
}

impl Upstream {
    fn slots(&self) -> UpstreamSlots<'_> {
        UpstreamSlots { upstream: self.spec.id, zone: &self.spec.zone, slots: self.spec.slots }
    }

    fn has_free_slot(&self) -> bool {
        !self.leaving && !self.health.is_ejected() && self.in_flight < self.share
    }

    /// Expected latency, which increases with the load of the upstream; lower is better. On a tie,
    /// an upstream in this daemon's zone is preferred.
    fn cost(&self) -> f32 {
        let load = (self.in_flight + self.peer_in_flight) as f32 / self.spec.slots.max(1) as f32;
        let zone = if self.same_zone { 1.0 } else { 1.05 };
        self.latency_us.max(1.0) * (1.0 + load) * zone
    }
}

/// The upstreams of one pool, with an index of those that have a free slot.
#[derive(Debug)]
pub struct Pool {
    upstreams: Vec<Upstream>,
    index: HashMap<UpstreamId, u32>,
    available: Vec<u32>,
    ejected: Vec<u32>,
    zone: String,
    in_flight: u32,
    share: u32,
    slots: u32,
    ejected_share: u32,
    peer_in_flight: u32,
    usable: usize,
}

impl Pool {
    /// Creates an empty pool for a daemon in `zone`.
    pub fn new(zone: &str) -> Self {
        Self {
            upstreams: Vec::new(),
            index: HashMap::new(),
            available: Vec::new(),
            ejected: Vec::new(),
            zone: zone.to_owned(),
            in_flight: 0,
            share: 0,
            slots: 0,
            ejected_share: 0,
            peer_in_flight: 0,
            usable: 0,
        }
    }

    /// Replaces the upstreams. Removed ones stay as leaving until their requests end.
    pub fn set_upstreams(
        &mut self,
        specs: &[UpstreamSpec],
        members: &[Member],
        own_position: usize,
    ) {
        for upstream in &mut self.upstreams {
            upstream.leaving = true;
            upstream.listed = false;
        }
        for spec in specs {
            if let Some(position) = self.index.get(&spec.id) {
                let upstream = &mut self.upstreams[*position as usize];
                upstream.spec = spec.clone();
                upstream.leaving = false;
                upstream.listed = true;
            } else {
                self.index.insert(spec.id, self.upstreams.len() as u32);
                self.upstreams.push(Upstream {
                    spec: spec.clone(),
                    share: 0,
                    in_flight: 0,
                    peer_in_flight: 0,
                    leaving: false,
                    listed: true,
                    health: Health::default(),
                    same_zone: spec.zone == self.zone,
                    latency_us: 0.0,
                    available_index: NOT_AVAILABLE,
                });
            }
        }
        self.upstreams.retain(|upstream| upstream.listed || upstream.in_flight > 0);
        self.index = (0u32..)
            .zip(&self.upstreams)
            .map(|(position, upstream)| (upstream.spec.id, position))
            .collect();
        self.set_members(members, own_position);
    }

    /// Recomputes the slots that this daemon owns; `own_position` is its position in `members`.
    pub fn set_members(&mut self, members: &[Member], own_position: usize) {
        let shares: Vec<u32> = {
            let listed = self.upstreams.iter().filter(|upstream| upstream.listed);
            let table = OwnershipTable::new(members, listed.map(Upstream::slots));
            self.upstreams
                .iter()
                .map(|upstream| table.share(own_position, upstream.slots()))
                .collect()
        };
        for (upstream, share) in self.upstreams.iter_mut().zip(shares) {
            upstream.share = share;
        }
        self.rebuild_counts();
    }

    /// Marks an upstream as leaving; it receives no new requests until it is listed again.
    pub fn set_leaving(&mut self, id: UpstreamId) {
        if let Some(position) = self.position(id) {
            self.upstreams[position].leaving = true;
            self.rebuild_counts();
        }
    }

    fn rebuild_counts(&mut self) {
        self.available.clear();
        self.ejected.clear();
        for (position, upstream) in (0u32..).zip(&mut self.upstreams) {
            upstream.available_index = NOT_AVAILABLE;
            if upstream.has_free_slot() {
                upstream.available_index = self.available.len() as u32;
                self.available.push(position);
            }
            if upstream.health.is_ejected() && !upstream.leaving {
                self.ejected.push(position);
            }
        }
        let usable = || self.upstreams.iter().filter(|upstream| !upstream.leaving);
        self.usable = usable().count();
        self.share = usable().map(|upstream| upstream.share).sum();
        self.slots = usable().map(|upstream| upstream.spec.slots).sum();
        self.peer_in_flight = self.upstreams.iter().map(|upstream| upstream.peer_in_flight).sum();
        self.ejected_share =
            self.ejected.iter().map(|position| self.upstreams[*position as usize].share).sum();
    }

    /// Returns the position of an upstream, valid until the next [`Pool::set_upstreams`].
    pub fn position(&self, id: UpstreamId) -> Option<usize> {
        self.index.get(&id).map(|position| *position as usize)
    }

    /// Returns the upstream at a position.
    pub fn get(&self, position: usize) -> &Upstream {
        &self.upstreams[position]
    }

    /// Returns all upstreams, including those that are leaving.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter()
    }

    /// Number of upstreams that are not leaving.
    pub fn usable(&self) -> usize {
        self.usable
    }

    /// Number of upstreams with a free slot that this daemon owns.
    pub fn available(&self) -> usize {
        self.available.len()
    }

    /// Number of ejected upstreams.
    pub fn ejected(&self) -> usize {
        self.ejected.len()
    }

    /// This daemon's requests in flight at all upstreams.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots that serve this daemon's requests: the slots that it owns at upstreams that are not
    /// ejected, or all slots of the pool if it owns none.
    pub fn serving_slots(&self) -> u32 {
        if self.share == 0 {
            return self.slots;
        }
        self.share.saturating_sub(self.ejected_share).max(1)
    }

    /// Adds `delta` to the other daemons' requests at an upstream.
    pub fn add_peer_load(&mut self, id: UpstreamId, delta: i64) {
        if let Some(position) = self.position(id) {
            let upstream = &mut self.upstreams[position];
            let before = upstream.peer_in_flight;
            upstream.peer_in_flight = before.saturating_add_signed(delta as i32);
            let after = upstream.peer_in_flight;
            self.peer_in_flight = (self.peer_in_flight + after).saturating_sub(before);
        }
    }

    /// Returns an ejected upstream that is due for a probe.
    pub fn probe(&self, now_us: u64) -> Option<usize> {
        self.ejected.iter().map(|position| *position as usize).find(|position| {
            let upstream = &self.upstreams[*position];
            upstream.in_flight < upstream.share.max(1) && upstream.health.probe_due(now_us)
        })
    }

    /// Returns the better of two random upstreams with a free slot. `avoid` is returned only if no
    /// other upstream is found.
    pub fn pick(
        &self,
        now_us: u64,
        rng: &mut Pcg64Mcg,
        avoid: Option<UpstreamId>,
    ) -> Option<usize> {
        if self.available.is_empty() {
            return None;
        }
        let (mut best, mut fallback): (Option<usize>, Option<usize>) = (None, None);
        for _ in 0..MAX_DRAWS {
            let drawn = self.available[rng.random_range(0..self.available.len())] as usize;
            let upstream = &self.upstreams[drawn];
            if !upstream.health.admits(now_us) {
                continue;
            }
            if Some(upstream.spec.id) == avoid {
                fallback = Some(drawn);
                continue;
            }
            match best {
                None => best = Some(drawn),
                Some(prev) if upstream.cost() < self.upstreams[prev].cost() => return Some(drawn),
                Some(_) => return best,
            }
        }
        best.or(fallback)
    }

    /// Returns an upstream with a slot that appears free, for a daemon that owns no slots.
    ///
    /// A daemon that owns slots never borrows. Load reports are older than the duration of most
    /// requests, so several borrowers and the owner would use the same slot at once.
    pub fn borrow(&self, rng: &mut Pcg64Mcg) -> Option<usize> {
        if self.share > 0 || self.upstreams.is_empty() {
            return None;
        }
        (0..MAX_DRAWS).map(|_| rng.random_range(0..self.upstreams.len())).find(|position| {
            let upstream = &self.upstreams[*position];
            let load = upstream.in_flight + upstream.peer_in_flight;
            !upstream.leaving && !upstream.health.is_ejected() && load < upstream.spec.slots
        })
    }

    /// Records that a request is sent to the upstream.
    pub fn request_started(&mut self, position: usize, now_us: u64, mean_us: f64) {
        let upstream = &mut self.upstreams[position];
        upstream.in_flight += 1;
        upstream.health.sent(now_us, mean_us / f64::from(upstream.share.max(1)));
        self.in_flight += 1;
        self.update_availability(position);
    }

    /// Records that a request at the upstream has ended.
    pub fn request_finished(&mut self, position: usize) {
        self.upstreams[position].in_flight -= 1;
        self.in_flight -= 1;
        self.update_availability(position);
    }

    /// Records the duration of an answered exchange.
    pub fn record_latency(&mut self, position: usize, took_us: u64) {
        let latency_us = &mut self.upstreams[position].latency_us;
        if *latency_us == 0.0 {
            *latency_us = took_us as f32;
        }
        *latency_us += (took_us as f32 - *latency_us) * LATENCY_WEIGHT;
    }

    /// Records whether an exchange was slow, and ejects or readmits the upstream accordingly.
    pub fn record_timing(&mut self, position: usize, now_us: u64, slow: bool) {
        let health = &mut self.upstreams[position].health;
        let was_ejected = health.is_ejected();
        let cause_to_eject = health.record_timing(now_us, slow);
        if was_ejected && !health.is_ejected() {
            self.readmit(position);
        }
        self.eject_if_allowed(position, now_us, cause_to_eject);
    }

    /// Records whether an exchange failed, and ejects the upstream if it fails too often.
    pub fn ended(&mut self, position: usize, now_us: u64, failed: bool) {
        let health = &mut self.upstreams[position].health;
        let cause_to_eject = if failed {
            health.failed(now_us)
        } else {
            health.succeeded();
            None
        };
        self.eject_if_allowed(position, now_us, cause_to_eject);
    }

    fn eject_if_allowed(
        &mut self,
        position: usize,
        now_us: u64,
        cause_to_eject: Option<EjectionCause>,
    ) {
        let Some(cause) = cause_to_eject else { return };
        let upstream = &mut self.upstreams[position];
        if upstream.leaving || self.ejected.len() >= max_ejected(cause, self.usable) {
            return upstream.health.reset_scores();
        }
        upstream.health.eject(now_us, cause);
        self.ejected_share += upstream.share;
        self.ejected.push(position as u32);
        self.update_availability(position);
    }

    fn readmit(&mut self, position: usize) {
        if let Some(place) = self.ejected.iter().position(|other| *other as usize == position) {
            self.ejected.swap_remove(place);
            self.ejected_share -= self.upstreams[position].share;
        }
        self.update_availability(position);
    }

    fn update_availability(&mut self, position: usize) {
        let (has_free_slot, available_index) =
            (self.upstreams[position].has_free_slot(), self.upstreams[position].available_index);
        if has_free_slot && available_index == NOT_AVAILABLE {
            self.upstreams[position].available_index = self.available.len() as u32;
            self.available.push(position as u32);
        } else if !has_free_slot && available_index != NOT_AVAILABLE {
            self.upstreams[position].available_index = NOT_AVAILABLE;
            self.available.swap_remove(available_index as usize);
            if let Some(moved) = self.available.get(available_index as usize) {
                self.upstreams[*moved as usize].available_index = available_index;
            }
        }
    }
}
