//! The ways that lost, kept for comparison.

use std::collections::{BTreeMap, VecDeque};

use agatesill_policy::prelude::*;
use agatesill_policy::request::shares::{Member, OwnershipTable, UpstreamSlots, member_hash};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Connections that an upstream accepts in all.
const CONNECTIONS: u32 = 60;

/// Attempts for a repeatable request, without any budget.
const ATTEMPTS: u8 = 3;

/// Which way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each upstream in turn; no admission control.
    RoundRobin,
    /// Least in flight from this daemon; no admission control.
    LeastLocal,
    /// The better of two by own and reported load; no admission control.
    TwoChoices,
    /// Own slots, then any that peers report idle; a FIFO of one request for each own slot.
    SlotsLending,
    /// Own slots only, before an unbounded FIFO.
    NoAdmission,
}

#[derive(Debug)]
struct Target {
    id: UpstreamId,
    slots: u32,
    share: u32,
    local: u32,
    peer: u32,
}

/// One daemon that decides by one of the ways.
#[derive(Debug)]
pub struct Baseline {
    way: Way,
    targets: Vec<Target>,
    most: u32,
    queue: VecDeque<(RequestHead, u8)>,
    sent: BTreeMap<Ticket, (usize, RequestHead, u8)>,
    views: BTreeMap<String, Vec<(UpstreamId, u32)>>,
    own: u64,
    gone: Vec<String>,
    names: Vec<String>,
    turn: usize,
    rng: Pcg64Mcg,
}

impl Baseline {
    /// Creates the daemon `instance` beside `others`.
    pub fn new(
        way: Way,
        seed: u64,
        instance: &str,
        others: &[String],
        specs: &[UpstreamSpec],
    ) -> Self {
        let targets = specs
            .iter()
            .map(|spec| Target { id: spec.id, slots: spec.slots, share: 0, local: 0, peer: 0 })
            .collect();
        let mut baseline = Self {
            way,
            targets,
            most: CONNECTIONS / (others.len() as u32 + 1),
            queue: VecDeque::new(),
            sent: BTreeMap::new(),
            views: BTreeMap::new(),
            own: member_hash(instance),
            gone: Vec::new(),
            names: others.to_vec(),
            turn: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        baseline.share_out();
        baseline
    }

    /// The product's table without zones, so that the baselines don't have its gain from them.
    fn share_out(&mut self) {
        let dead = |name: &String| self.gone.contains(name);
        let hashes = self.names.iter().map(|name| (member_hash(name), !dead(name)));
        let mut members: Vec<Member> = std::iter::once((self.own, true))
            .chain(hashes)
            .map(|(hash, live)| Member { hash, zone: String::new(), live })
            .collect();
        members.sort_by_key(|member| member.hash);
        let own = members.iter().position(|member| member.hash == self.own).unwrap_or(0);
        let slots =
            |target: &Target| UpstreamSlots { upstream: target.id, zone: "", slots: target.slots };
        let table = OwnershipTable::new(&members, self.targets.iter().map(slots));
        let shares: Vec<u32> =
            self.targets.iter().map(|target| table.share(own, slots(target))).collect();
        for (target, share) in self.targets.iter_mut().zip(shares) {
            target.share = share;
        }
    }

    /// Another daemon is gone.
    pub fn peer_gone(&mut self, instance: &str) {
        self.gone.push(instance.to_owned());
        self.views.remove(instance);
        self.share_out();
        self.sum_views();
    }

    /// Another daemon's loads.
    pub fn peer_view(&mut self, instance: &str, loads: &[(UpstreamId, u32)]) {
        self.views.insert(instance.to_owned(), loads.to_vec());
        self.sum_views();
    }

    fn sum_views(&mut self) {
        self.targets.iter_mut().for_each(|target| target.peer = 0);
        for (id, in_flight) in self.views.values().flatten() {
            if let Some(target) = self.targets.get_mut(*id as usize) {
                target.peer += in_flight;
            }
        }
    }

    /// This daemon's requests in flight.
    pub fn local_load(&self) -> Vec<(UpstreamId, u32)> {
        self.targets.iter().map(|target| (target.id, target.local)).collect()
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// A request arrives.
    pub fn arrive(&mut self, head: RequestHead, out: &mut Vec<Action>) {
        let own: usize = self.targets.iter().map(|target| target.share as usize).sum();
        if self.way == Way::SlotsLending && self.queue.len() >= own {
            let refusal = Refusal::QueueFull;
            return out.push(Action::Refuse { ticket: head.ticket, refusal, retry_after_ms: 100 });
        }
        self.queue.push_back((head, 0));
        self.dispatch(out);
    }

    /// An exchange ends.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome, out: &mut Vec<Action>) {
        let Some((at, head, attempts)) = self.sent.remove(&ticket) else { return };
        self.targets[at].local -= 1;
        if outcome == Outcome::Broken {
            if head.repeatable && attempts < ATTEMPTS {
                self.queue.push_front((head, attempts));
            } else {
                out.push(Action::GiveUp { ticket, outcome, retry_after_ms: 100 });
            }
        }
        self.dispatch(out);
    }

    fn dispatch(&mut self, out: &mut Vec<Action>) {
        while !self.queue.is_empty() {
            let Some(at) = self.pick() else { return };
            let Some((head, attempts)) = self.queue.pop_front() else { return };
            let target = &mut self.targets[at];
            target.local += 1;
            let decision = Decision {
                choice: Choice::OwnSlot,
                attempt: attempts + 1,
                in_flight: target.local,
                share: target.share,
                peer_in_flight: target.peer,
                candidates: 0,
                ejected: 0,
                waiting: 0,
                waited_us: 0,
            };
            out.push(Action::Send { ticket: head.ticket, upstream: target.id, decision });
            self.sent.insert(head.ticket, (at, head, attempts + 1));
        }
    }

    fn pick(&mut self) -> Option<usize> {
        let count = self.targets.len();
        let room = |target: &Target| target.local < self.most;
        match self.way {
            Way::RoundRobin => {
                let found = (0..count)
                    .map(|step| (self.turn + step) % count)
                    .find(|at| room(&self.targets[*at]))?;
                self.turn = found + 1;
                Some(found)
            }
            Way::LeastLocal => {
                let start = self.rng.random_range(0..count);
                (0..count)
                    .map(|step| (start + step) % count)
                    .filter(|at| room(&self.targets[*at]))
                    .min_by_key(|at| self.targets[*at].local)
            }
            Way::TwoChoices => {
                let draws = [self.rng.random_range(0..count), self.rng.random_range(0..count)];
                draws
                    .into_iter()
                    .filter(|at| room(&self.targets[*at]))
                    .min_by_key(|at| self.targets[*at].local + self.targets[*at].peer)
            }
            Way::SlotsLending | Way::NoAdmission => self.pick_slot(),
        }
    }

    fn pick_slot(&mut self) -> Option<usize> {
        let count = self.targets.len();
        let start = self.rng.random_range(0..count);
        let turn = || (0..count).map(|step| (start + step) % count);
        let own = turn().find(|at| self.targets[*at].local < self.targets[*at].share);
        if own.is_some() || self.way == Way::NoAdmission {
            return own;
        }
        turn().find(|at| {
            let target = &self.targets[*at];
            target.local + target.peer < target.slots
        })
    }
}
