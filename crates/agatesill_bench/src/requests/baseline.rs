//! Rejected routing policies, kept as baselines.

use std::collections::{BTreeMap, VecDeque};

use agatesill_policy::prelude::*;
use agatesill_policy::request::shares::{Member, OwnershipTable, UpstreamSlots, member_hash};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Connections that an upstream accepts from all daemons together.
const CONNECTIONS_PER_UPSTREAM: u32 = 60;

/// Maximum attempts of a repeatable request; there is no retry budget.
const MAX_ATTEMPTS: u8 = 3;

/// Routing policy of a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// Upstreams in rotation; no admission control.
    RoundRobin,
    /// Upstream with the fewest requests in flight from this daemon; no admission control.
    LeastLocal,
    /// The less loaded of two random upstreams by own and reported load; no admission control.
    TwoChoices,
    /// Own slots, then any that peers report idle; a FIFO queue of one request for each own slot.
    SlotsLending,
    /// Own slots only, with an unbounded FIFO queue.
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

/// One daemon that runs a baseline policy.
#[derive(Debug)]
pub struct Baseline {
    kind: BaselineKind,
    targets: Vec<Target>,
    max_in_flight: u32,
    queue: VecDeque<(RequestHead, u8)>,
    sent: BTreeMap<Ticket, (usize, RequestHead, u8)>,
    views: BTreeMap<String, Vec<(UpstreamId, u32)>>,
    own_hash: u64,
    terminated: Vec<String>,
    names: Vec<String>,
    next_index: usize,
    rng: Pcg64Mcg,
}

impl Baseline {
    /// Creates the daemon `instance` beside `others`.
    pub fn new(
        kind: BaselineKind,
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
            kind,
            targets,
            max_in_flight: CONNECTIONS_PER_UPSTREAM / (others.len() as u32 + 1),
            queue: VecDeque::new(),
            sent: BTreeMap::new(),
            views: BTreeMap::new(),
            own_hash: member_hash(instance),
            terminated: Vec::new(),
            names: others.to_vec(),
            next_index: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        baseline.assign_shares();
        baseline
    }

    /// Assigns slots by the ownership table without zones, so that the baselines do not gain from
    /// zone locality.
    fn assign_shares(&mut self) {
        let dead = |name: &String| self.terminated.contains(name);
        let hashes = self.names.iter().map(|name| (member_hash(name), !dead(name)));
        let mut members: Vec<Member> = std::iter::once((self.own_hash, true))
            .chain(hashes)
            .map(|(hash, live)| Member { hash, zone: String::new(), live })
            .collect();
        members.sort_by_key(|member| member.hash);
        let own_index = members.iter().position(|member| member.hash == self.own_hash).unwrap_or(0);
        let slots =
            |target: &Target| UpstreamSlots { upstream: target.id, zone: "", slots: target.slots };
        let table = OwnershipTable::new(&members, self.targets.iter().map(slots));
        let shares: Vec<u32> =
            self.targets.iter().map(|target| table.share(own_index, slots(target))).collect();
        for (target, share) in self.targets.iter_mut().zip(shares) {
            target.share = share;
        }
    }

    /// Removes a terminated peer and reassigns its slots.
    pub fn peer_terminated(&mut self, instance: &str) {
        self.terminated.push(instance.to_owned());
        self.views.remove(instance);
        self.assign_shares();
        self.sum_views();
    }

    /// Replaces the loads that a peer reported.
    pub fn update_peer_loads(&mut self, instance: &str, loads: &[(UpstreamId, u32)]) {
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

    /// This daemon's requests in flight at each upstream.
    pub fn local_load(&self) -> Vec<(UpstreamId, u32)> {
        self.targets.iter().map(|target| (target.id, target.local)).collect()
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Handles a new request.
    pub fn arrive(&mut self, head: RequestHead, out: &mut Vec<Action>) {
        let own_slots: usize = self.targets.iter().map(|target| target.share as usize).sum();
        if self.kind == BaselineKind::SlotsLending && self.queue.len() >= own_slots {
            let refusal = Refusal::QueueFull;
            return out.push(Action::Refuse { ticket: head.ticket, refusal, retry_after_ms: 100 });
        }
        self.queue.push_back((head, 0));
        self.dispatch(out);
    }

    /// Handles the end of an attempt.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome, out: &mut Vec<Action>) {
        let Some((index, head, attempts)) = self.sent.remove(&ticket) else { return };
        self.targets[index].local -= 1;
        if outcome == Outcome::Broken {
            if head.repeatable && attempts < MAX_ATTEMPTS {
                self.queue.push_front((head, attempts));
            } else {
                out.push(Action::GiveUp { ticket, outcome, retry_after_ms: 100 });
            }
        }
        self.dispatch(out);
    }

    fn dispatch(&mut self, out: &mut Vec<Action>) {
        while !self.queue.is_empty() {
            let Some(index) = self.choose_upstream() else { return };
            let Some((head, attempts)) = self.queue.pop_front() else { return };
            let target = &mut self.targets[index];
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
            self.sent.insert(head.ticket, (index, head, attempts + 1));
        }
    }

    fn choose_upstream(&mut self) -> Option<usize> {
        let count = self.targets.len();
        let has_free_connection = |target: &Target| target.local < self.max_in_flight;
        match self.kind {
            BaselineKind::RoundRobin => {
                let found = (0..count)
                    .map(|step| (self.next_index + step) % count)
                    .find(|index| has_free_connection(&self.targets[*index]))?;
                self.next_index = found + 1;
                Some(found)
            }
            BaselineKind::LeastLocal => {
                let start = self.rng.random_range(0..count);
                (0..count)
                    .map(|step| (start + step) % count)
                    .filter(|index| has_free_connection(&self.targets[*index]))
                    .min_by_key(|index| self.targets[*index].local)
            }
            BaselineKind::TwoChoices => {
                let draws = [self.rng.random_range(0..count), self.rng.random_range(0..count)];
                draws
                    .into_iter()
                    .filter(|index| has_free_connection(&self.targets[*index]))
                    .min_by_key(|index| self.targets[*index].local + self.targets[*index].peer)
            }
            BaselineKind::SlotsLending | BaselineKind::NoAdmission => self.choose_slot(),
        }
    }

    fn choose_slot(&mut self) -> Option<usize> {
        let count = self.targets.len();
        let start = self.rng.random_range(0..count);
        let indices = || (0..count).map(|step| (start + step) % count);
        let own_slot =
            indices().find(|index| self.targets[*index].local < self.targets[*index].share);
        if own_slot.is_some() || self.kind == BaselineKind::NoAdmission {
            return own_slot;
        }
        indices().find(|index| {
            let target = &self.targets[*index];
            target.local + target.peer < target.slots
        })
    }
}
