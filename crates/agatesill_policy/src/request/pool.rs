//! The upstreams of one pool and the choice among those that have room.
//!
//! Load pattern: steady load over upstreams whose load this daemon knows only in part. A choice by
//! local load alone sends to upstreams that the other daemons have filled; a choice by the
//! reported loads sends all daemons to the same one. Here a daemon fills only slots that are its
//! own (see [`super::shares`]), so a choice can't overfill, and among them takes the better of two
//! drawn at random: by recent latency, reported load and zone. Two draws cost the same at 50 and
//! at 2,000 upstreams and don't send everything to the one that was fastest last.

use std::collections::HashMap;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::health::{Cause, Health, most_out};
use super::shares::{Member, OwnershipTable, UpstreamSlots};
use super::{UpstreamId, UpstreamSpec};

/// Draws until two upstreams are found that may receive the request now.
const DRAWS: usize = 6;

/// Weight of the newest answer in an upstream's mean latency: about its last eight requests.
const LATENCY_WEIGHT: f32 = 0.125;

/// Position in `open` of an upstream that is not in it.
const NOT_OPEN: u32 = u32::MAX;

/// One upstream as this daemon sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Settings.
    pub spec: UpstreamSpec,
    /// Slots that are this daemon's own.
    pub share: u32,
    /// This daemon's requests there.
    pub in_flight: u32,
    /// The other daemons' requests there, as last reported.
    pub peer_in_flight: u32,
    /// Whether it receives nothing new.
    pub leaving: bool,
    /// Failures and slowness.
    pub health: Health,
    listed: bool,
    same_zone: bool,
    latency_us: f32,
    open_at: u32,
}

impl Upstream {
    fn slots(&self) -> UpstreamSlots<'_> {
        UpstreamSlots { upstream: self.spec.id, zone: &self.spec.zone, slots: self.spec.slots }
    }

    fn has_room(&self) -> bool {
        !self.leaving && !self.health.is_out() && self.in_flight < self.share
    }

    /// Expected latency, higher the fuller the upstream is; lower is better. At equal figures the
    /// own zone wins.
    fn cost(&self) -> f32 {
        let load = (self.in_flight + self.peer_in_flight) as f32 / self.spec.slots.max(1) as f32;
        let zone = if self.same_zone { 1.0 } else { 1.05 };
        self.latency_us.max(1.0) * (1.0 + load) * zone
    }
}

/// The upstreams, with those that have room at hand.
#[derive(Debug)]
pub struct Pool {
    upstreams: Vec<Upstream>,
    index: HashMap<UpstreamId, u32>,
    open: Vec<u32>,
    out: Vec<u32>,
    zone: String,
    in_flight: u32,
    share: u32,
    slots: u32,
    out_share: u32,
    peer_in_flight: u32,
    usable: usize,
}

impl Pool {
    /// An empty pool seen from `zone`.
    pub fn new(zone: &str) -> Self {
        Self {
            upstreams: Vec::new(),
            index: HashMap::new(),
            open: Vec::new(),
            out: Vec::new(),
            zone: zone.to_owned(),
            in_flight: 0,
            share: 0,
            slots: 0,
            out_share: 0,
            peer_in_flight: 0,
            usable: 0,
        }
    }

    /// Replaces the upstreams; those that are gone stay as leaving until their requests end.
    pub fn set_upstreams(&mut self, specs: &[UpstreamSpec], members: &[Member], own: usize) {
        for upstream in &mut self.upstreams {
            upstream.leaving = true;
            upstream.listed = false;
        }
        for spec in specs {
            if let Some(at) = self.index.get(&spec.id) {
                let upstream = &mut self.upstreams[*at as usize];
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
                    open_at: NOT_OPEN,
                });
            }
        }
        self.upstreams.retain(|upstream| upstream.listed || upstream.in_flight > 0);
        self.index = (0u32..).zip(&self.upstreams).map(|(at, one)| (one.spec.id, at)).collect();
        self.set_members(members, own);
    }

    /// Computes the own slots anew; this daemon is the one at `own`.
    pub fn set_members(&mut self, members: &[Member], own: usize) {
        let shares: Vec<u32> = {
            let listed = self.upstreams.iter().filter(|upstream| upstream.listed);
            let table = OwnershipTable::new(members, listed.map(Upstream::slots));
            self.upstreams.iter().map(|upstream| table.share(own, upstream.slots())).collect()
        };
        for (upstream, share) in self.upstreams.iter_mut().zip(shares) {
            upstream.share = share;
        }
        self.recount();
    }

    /// Marks an upstream as leaving.
    pub fn set_leaving(&mut self, id: UpstreamId) {
        if let Some(at) = self.at(id) {
            self.upstreams[at].leaving = true;
            self.recount();
        }
    }

    fn recount(&mut self) {
        self.open.clear();
        self.out.clear();
        for (at, upstream) in (0u32..).zip(&mut self.upstreams) {
            upstream.open_at = NOT_OPEN;
            if upstream.has_room() {
                upstream.open_at = self.open.len() as u32;
                self.open.push(at);
            }
            if upstream.health.is_out() && !upstream.leaving {
                self.out.push(at);
            }
        }
        let usable = || self.upstreams.iter().filter(|upstream| !upstream.leaving);
        self.usable = usable().count();
        self.share = usable().map(|upstream| upstream.share).sum();
        self.slots = usable().map(|upstream| upstream.spec.slots).sum();
        self.peer_in_flight = self.upstreams.iter().map(|upstream| upstream.peer_in_flight).sum();
        self.out_share = self.out.iter().map(|at| self.upstreams[*at as usize].share).sum();
    }

    /// Position of an upstream, valid until the next [`Pool::set_upstreams`].
    pub fn at(&self, id: UpstreamId) -> Option<usize> {
        self.index.get(&id).map(|at| *at as usize)
    }

    /// The upstream at a position.
    pub fn get(&self, at: usize) -> &Upstream {
        &self.upstreams[at]
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter()
    }

    /// Upstreams that are not leaving.
    pub fn usable(&self) -> usize {
        self.usable
    }

    /// Upstreams that have room of this daemon's own.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Upstreams that are out.
    pub fn out(&self) -> usize {
        self.out.len()
    }

    /// This daemon's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots that serve this daemon's requests: its own, without those of upstreams that are out;
    /// all of the pool's when it owns none.
    pub fn serving_slots(&self) -> u32 {
        if self.share == 0 {
            return self.slots;
        }
        self.share.saturating_sub(self.out_share).max(1)
    }

    /// Changes what the other daemons have at an upstream.
    pub fn add_peer_load(&mut self, id: UpstreamId, change: i64) {
        if let Some(at) = self.at(id) {
            let upstream = &mut self.upstreams[at];
            let before = upstream.peer_in_flight;
            upstream.peer_in_flight = before.saturating_add_signed(change as i32);
            let after = upstream.peer_in_flight;
            self.peer_in_flight = (self.peer_in_flight + after).saturating_sub(before);
        }
    }

    /// An upstream that a probe may go to.
    pub fn probe(&self, now_us: u64) -> Option<usize> {
        self.out.iter().map(|at| *at as usize).find(|at| {
            let upstream = &self.upstreams[*at];
            upstream.in_flight < upstream.share.max(1) && upstream.health.probe_due(now_us)
        })
    }

    /// The better of two upstreams with room, drawn at random; `avoid` only if there is no other.
    pub fn pick(
        &self,
        now_us: u64,
        rng: &mut Pcg64Mcg,
        avoid: Option<UpstreamId>,
    ) -> Option<usize> {
        if self.open.is_empty() {
            return None;
        }
        let (mut best, mut fallback): (Option<usize>, Option<usize>) = (None, None);
        for _ in 0..DRAWS {
            let at = self.open[rng.random_range(0..self.open.len())] as usize;
            let upstream = &self.upstreams[at];
            if !upstream.health.admits(now_us) {
                continue;
            }
            if Some(upstream.spec.id) == avoid {
                fallback = Some(at);
                continue;
            }
            match best {
                None => best = Some(at),
                Some(other) if upstream.cost() < self.upstreams[other].cost() => return Some(at),
                Some(_) => return best,
            }
        }
        best.or(fallback)
    }

    /// A slot that looks free, for a daemon that owns none.
    ///
    /// A daemon with slots of its own never borrows: reports are older than most requests run, so
    /// several borrowers would fill the same "free" slot, and its owner too.
    pub fn borrow(&self, rng: &mut Pcg64Mcg) -> Option<usize> {
        if self.share > 0 || self.upstreams.is_empty() {
            return None;
        }
        (0..DRAWS).map(|_| rng.random_range(0..self.upstreams.len())).find(|at| {
            let upstream = &self.upstreams[*at];
            let load = upstream.in_flight + upstream.peer_in_flight;
            !upstream.leaving && !upstream.health.is_out() && load < upstream.spec.slots
        })
    }

    /// Notes a request on its way to the upstream.
    pub fn enter(&mut self, at: usize, now_us: u64, mean_us: f64) {
        let upstream = &mut self.upstreams[at];
        upstream.in_flight += 1;
        upstream.health.sent(now_us, mean_us / f64::from(upstream.share.max(1)));
        self.in_flight += 1;
        self.reopen(at);
    }

    /// Notes the end of a request.
    pub fn leave(&mut self, at: usize) {
        self.upstreams[at].in_flight -= 1;
        self.in_flight -= 1;
        self.reopen(at);
    }

    /// Takes in the duration of an answered exchange.
    pub fn record_latency(&mut self, at: usize, took_us: u64) {
        let latency_us = &mut self.upstreams[at].latency_us;
        if *latency_us == 0.0 {
            *latency_us = took_us as f32;
        }
        *latency_us += (took_us as f32 - *latency_us) * LATENCY_WEIGHT;
    }

    /// Takes in whether an exchange was slow.
    pub fn timed(&mut self, at: usize, now_us: u64, slow: bool) {
        let health = &mut self.upstreams[at].health;
        let was_out = health.is_out();
        let verdict = health.timed(now_us, slow);
        if was_out && !health.is_out() {
            self.readmit(at);
        }
        self.judge(at, now_us, verdict);
    }

    /// Takes in whether an exchange failed.
    pub fn ended(&mut self, at: usize, now_us: u64, failed: bool) {
        let health = &mut self.upstreams[at].health;
        let verdict = if failed {
            health.failed(now_us)
        } else {
            health.succeeded();
            None
        };
        self.judge(at, now_us, verdict);
    }

    fn judge(&mut self, at: usize, now_us: u64, verdict: Option<Cause>) {
        let Some(cause) = verdict else { return };
        let upstream = &mut self.upstreams[at];
        if upstream.leaving || self.out.len() >= most_out(cause, self.usable) {
            return upstream.health.pardon();
        }
        upstream.health.eject(now_us, cause);
        self.out_share += upstream.share;
        self.out.push(at as u32);
        self.reopen(at);
    }

    fn readmit(&mut self, at: usize) {
        if let Some(place) = self.out.iter().position(|out| *out as usize == at) {
            self.out.swap_remove(place);
            self.out_share -= self.upstreams[at].share;
        }
        self.reopen(at);
    }

    fn reopen(&mut self, at: usize) {
        let (room, open_at) = (self.upstreams[at].has_room(), self.upstreams[at].open_at);
        if room && open_at == NOT_OPEN {
            self.upstreams[at].open_at = self.open.len() as u32;
            self.open.push(at as u32);
        } else if !room && open_at != NOT_OPEN {
            self.upstreams[at].open_at = NOT_OPEN;
            self.open.swap_remove(open_at as usize);
            if let Some(moved) = self.open.get(open_at as usize) {
                self.upstreams[*moved as usize].open_at = open_at;
            }
        }
    }
}
