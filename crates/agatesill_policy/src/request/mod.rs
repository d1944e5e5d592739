//! Requests: whom to serve, who waits, who is refused and where each goes.
//!
//! [`RequestPolicy`] is one daemon's view of one service. It never blocks: events go in with the
//! current time, [`Action`]s come out.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::value_type;

/// Queue length for a service whose profile sets none, in requests per local slot.
pub const QUEUE_PER_SLOT: usize = 4;

/// Identifies an upstream within a pool.
pub type UpstreamId = u32;

/// Identifies a request inside one daemon, from arrival to outcome.
pub type Ticket = u64;

value_type! {
    /// What the settings or the platform's list say of one upstream.
    pub struct UpstreamSpec {
        /// Identity, stable over address changes.
        pub id: UpstreamId,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Availability zone.
        pub zone: String,
    }
}

/// What the policy needs to know of an arriving request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identifies the request inside this daemon.
    pub ticket: Ticket,
    /// Hash of the caller's identity.
    pub caller: u64,
    /// Hash of the key that the request is about.
    pub key: u64,
    /// Latest useful answer time on the daemon's clock, in microseconds.
    pub deadline_us: u64,
    /// Whether it may be sent again after a failure.
    pub repeatable: bool,
}

value_type! {
    /// Why a request is refused without having run.
    pub enum Refusal {
        /// The queue is full.
        QueueFull,
        /// It cannot finish before its deadline.
        TooLate,
        /// No upstream may receive work.
        NoUpstream,
    }
}

/// What the caller of the policy has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to this upstream.
    Send {
        /// The request.
        ticket: Ticket,
        /// Where it goes.
        upstream: UpstreamId,
    },
    /// Refuse the request; no byte of it has left.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        refusal: Refusal,
        /// When the caller may come back.
        retry_after_ms: u32,
    },
}

/// How an exchange with an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer arrived.
    Answered,
    /// The upstream refused and says that it did not run the request.
    Refused,
    /// The exchange failed before a byte of the request left.
    NotSent,
    /// The exchange failed after a byte may have left.
    Broken,
    /// The caller went away or the deadline passed.
    Abandoned,
}

#[derive(Debug)]
struct Upstream {
    spec: UpstreamSpec,
    in_flight: u32,
    peer_in_flight: u32,
    leaving: bool,
}

impl Upstream {
    fn load(&self) -> u32 {
        self.in_flight + self.peer_in_flight
    }

    fn has_room(&self) -> bool {
        !self.leaving && self.load() < self.spec.slots
    }
}

/// Admission and routing for one service in one daemon.
#[derive(Debug)]
pub struct RequestPolicy {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    queue: VecDeque<RequestHead>,
    sent: HashMap<Ticket, (UpstreamId, u64)>,
    queue_limit: usize,
    mean_service_us: f64,
    rng: Pcg64Mcg,
}

impl RequestPolicy {
    /// Creates a policy; `seed` fixes its random choices.
    pub fn new(seed: u64, queue_limit: usize) -> Self {
        Self {
            upstreams: BTreeMap::new(),
            queue: VecDeque::new(),
            sent: HashMap::new(),
            queue_limit,
            mean_service_us: 1_000.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Replaces the set of upstreams; those that are gone receive nothing new.
    pub fn set_upstreams(&mut self, specs: &[UpstreamSpec]) {
        self.upstreams.retain(|id, upstream| {
            upstream.in_flight > 0 || specs.iter().any(|spec| spec.id == *id)
        });
        for upstream in self.upstreams.values_mut() {
            upstream.leaving = true;
        }
        for spec in specs {
            self.upstreams
                .entry(spec.id)
                .and_modify(|upstream| {
                    upstream.spec = spec.clone();
                    upstream.leaving = false;
                })
                .or_insert_with(|| Upstream {
                    spec: spec.clone(),
                    in_flight: 0,
                    peer_in_flight: 0,
                    leaving: false,
                });
        }
    }

    /// Marks an upstream as leaving at the first sign of it.
    pub fn upstream_leaving(&mut self, upstream: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(&upstream) {
            upstream.leaving = true;
        }
    }

    /// Records how many requests the other daemons have at an upstream.
    pub fn peer_load(&mut self, upstream: UpstreamId, in_flight: u32) {
        if let Some(upstream) = self.upstreams.get_mut(&upstream) {
            upstream.peer_in_flight = in_flight;
        }
    }

    /// This daemon's own requests in flight, by upstream.
    pub fn local_load(&self) -> impl Iterator<Item = (UpstreamId, u32)> + '_ {
        self.upstreams.iter().map(|(id, upstream)| (*id, upstream.in_flight))
    }

    /// Requests waiting in this daemon.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes a request in: sends, queues or refuses it.
    pub fn arrive(&mut self, now_us: u64, head: RequestHead, out: &mut Vec<Action>) {
        if self.upstreams.values().all(|upstream| upstream.leaving) {
            out.push(self.refuse(head.ticket, Refusal::NoUpstream));
            return;
        }
        if now_us + self.expected_wait_us() > head.deadline_us {
            out.push(self.refuse(head.ticket, Refusal::TooLate));
            return;
        }
        if self.queue.len() >= self.queue_limit {
            out.push(self.refuse(head.ticket, Refusal::QueueFull));
            return;
        }
        self.queue.push_back(head);
        self.dispatch(now_us, out);
    }

    /// Records the end of an exchange and serves whoever waits.
    pub fn finish(&mut self, now_us: u64, ticket: Ticket, outcome: Outcome, out: &mut Vec<Action>) {
        if let Some((id, sent_us)) = self.sent.remove(&ticket) {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.in_flight -= 1;
            }
            if outcome == Outcome::Answered {
                let took_us = now_us.saturating_sub(sent_us) as f64;
                self.mean_service_us += (took_us - self.mean_service_us) / 32.0;
            }
        } else {
            self.queue.retain(|head| head.ticket != ticket);
        }
        self.dispatch(now_us, out);
    }

    /// Lets time pass: refuses what has become too late.
    pub fn tick(&mut self, now_us: u64, out: &mut Vec<Action>) {
        self.dispatch(now_us, out);
    }

    fn expected_wait_us(&self) -> u64 {
        let slots: u32 = self.upstreams.values().map(|upstream| upstream.spec.slots).sum();
        let ahead = self.queue.len() as f64 / f64::from(slots.max(1));
        (self.mean_service_us * ahead) as u64
    }

    fn refuse(&self, ticket: Ticket, refusal: Refusal) -> Action {
        let retry_after_ms = (self.expected_wait_us() / 1_000).clamp(10, 10_000) as u32;
        Action::Refuse { ticket, refusal, retry_after_ms }
    }

    fn dispatch(&mut self, now_us: u64, out: &mut Vec<Action>) {
        while let Some((ticket, deadline_us)) =
            self.queue.front().map(|head| (head.ticket, head.deadline_us))
        {
            if now_us >= deadline_us {
                out.push(self.refuse(ticket, Refusal::TooLate));
                self.queue.pop_front();
                continue;
            }
            let Some(id) = self.pick() else { break };
            self.queue.pop_front();
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.in_flight += 1;
            }
            self.sent.insert(ticket, (id, now_us));
            out.push(Action::Send { ticket, upstream: id });
        }
    }

    fn pick(&mut self) -> Option<UpstreamId> {
        let open: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.has_room())
            .map(|(id, _)| *id)
            .collect();
        if open.is_empty() {
            return None;
        }
        let first = open[self.rng.random_range(0..open.len())];
        let second = open[self.rng.random_range(0..open.len())];
        let load = |id: &UpstreamId| self.upstreams.get(id).map_or(u32::MAX, Upstream::load);
        Some(if load(&second) < load(&first) { second } else { first })
    }
}
