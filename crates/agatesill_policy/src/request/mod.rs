//! Requests: whom to serve, who waits, who is refused and where each goes.
//!
//! [`RequestPolicy`] is one daemon's view of one pool of upstreams, shared by all services of that
//! pool. It never blocks: events go in with the current time, [`Action`]s come out.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::value_type;

/// Queue length for a service whose profile sets none, in requests per local slot.
pub const QUEUE_PER_SLOT: usize = 4;

/// What holds for a service that nothing was set for.
pub const DEFAULT_LIMITS: ServiceLimits =
    ServiceLimits { promise_us: 1_000_000, priority: 5, queue_requests: 0 };

/// Identifies an upstream within a pool.
pub type UpstreamId = u32;

/// Identifies a request inside one daemon, from arrival to outcome.
pub type Ticket = u64;

/// Position of a service among those of the pool, as given to [`RequestPolicy::set_service`].
pub type ServiceIndex = u32;

value_type! {
    /// What a service was sold, as far as requests go.
    #[derive(Copy)]
    pub struct ServiceLimits {
        /// Promised 99th percentile of the answer time.
        pub promise_us: u64,
        /// From 0 (first to be refused) to 9 (last to be refused).
        pub priority: u8,
        /// Requests that may wait in one daemon; 0 means derived from the measured drain rate.
        pub queue_requests: u32,
    }
}

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
    /// Its service.
    pub service: ServiceIndex,
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

value_type! {
    /// Why an upstream was chosen.
    pub enum Choice {
        /// Least loaded of the daemon's own free slots.
        OwnSlot,
        /// A slot that another daemon owns and leaves idle.
        Borrowed,
        /// A trial request to an upstream that was out.
        Probe,
    }
}

/// What the decision was made on, for the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Why the upstream was chosen.
    pub choice: Choice,
    /// 1 for the first attempt.
    pub attempt: u8,
    /// This daemon's requests at the upstream, this one included.
    pub in_flight: u32,
    /// What this daemon may have there at once.
    pub share: u32,
    /// What the other daemons reported there.
    pub peer_in_flight: u32,
    /// Upstreams that had room.
    pub candidates: u32,
    /// Upstreams that are out because of failures or slowness.
    pub ejected: u32,
    /// Requests waiting in this daemon.
    pub waiting: u32,
    /// How long the request waited.
    pub waited_us: u64,
}

/// What the caller of the policy has to do next.
///
/// Each ticket gets any number of `Send`, and then either ends by an outcome that is final or gets
/// exactly one `Refuse` or `GiveUp`.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to this upstream; a second one for the same ticket is a retry.
    Send {
        /// The request.
        ticket: Ticket,
        /// Where it goes.
        upstream: UpstreamId,
        /// What the decision was made on.
        decision: Decision,
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
    /// Answer with the failure of the last attempt: no retry is left.
    GiveUp {
        /// The request.
        ticket: Ticket,
        /// How the last attempt ended.
        outcome: Outcome,
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

/// Admission and routing for one pool in one daemon.
#[derive(Debug)]
pub struct RequestPolicy {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    services: Vec<ServiceLimits>,
    peers: BTreeMap<String, BTreeMap<UpstreamId, u32>>,
    queue: VecDeque<RequestHead>,
    sent: HashMap<Ticket, (UpstreamId, u64)>,
    mean_service_us: f64,
    rng: Pcg64Mcg,
}

impl RequestPolicy {
    /// Creates a policy for the daemon `instance` in `zone`; `seed` fixes its random choices.
    pub fn new(seed: u64, _instance: &str, _zone: &str) -> Self {
        Self {
            upstreams: BTreeMap::new(),
            services: Vec::new(),
            peers: BTreeMap::new(),
            queue: VecDeque::new(),
            sent: HashMap::new(),
            mean_service_us: 1_000.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sets what the service at `index` was sold; unknown services get [`DEFAULT_LIMITS`].
    pub fn set_service(&mut self, index: ServiceIndex, limits: ServiceLimits) {
        let index = index as usize;
        if self.services.len() <= index {
            self.services.resize(index + 1, DEFAULT_LIMITS);
        }
        self.services[index] = limits;
    }

    /// Names the other daemons before the same pool. Each counts as alive until it is silent for
    /// too long or [`RequestPolicy::peer_gone`] says otherwise.
    pub fn set_members(&mut self, _now_us: u64, members: &[String]) {
        self.peers.retain(|name, _| members.contains(name));
    }

    /// Replaces the set of upstreams; those that are gone receive nothing new, and one that was
    /// leaving and is listed again may receive work again.
    pub fn set_upstreams(&mut self, _now_us: u64, specs: &[UpstreamSpec]) {
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

    /// Marks an upstream as leaving at the first sign of it: a closed connection, a refusal, a
    /// peer's word or the platform's list. It receives nothing new until it is listed again.
    pub fn upstream_leaving(&mut self, _now_us: u64, upstream: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(&upstream) {
            upstream.leaving = true;
        }
    }

    /// Takes in another daemon's requests in flight, as they were `age_us` ago. Upstreams that
    /// are not named have none.
    pub fn peer_view(
        &mut self,
        _now_us: u64,
        instance: &str,
        _age_us: u64,
        loads: &[(UpstreamId, u32)],
    ) {
        self.peers.insert(instance.to_owned(), loads.iter().copied().collect());
        self.sum_peers();
    }

    /// Another daemon has died or stopped; its slots fall to the others.
    pub fn peer_gone(&mut self, _now_us: u64, instance: &str) {
        self.peers.remove(instance);
        self.sum_peers();
    }

    fn sum_peers(&mut self) {
        for (id, upstream) in &mut self.upstreams {
            upstream.peer_in_flight = self.peers.values().filter_map(|loads| loads.get(id)).sum();
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

    /// When [`RequestPolicy::tick`] has to run again, if nothing else happens before.
    pub fn next_wake_us(&self) -> Option<u64> {
        self.queue.front().map(|head| head.deadline_us)
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
        if self.queue.len() >= self.queue_limit(head.service) {
            out.push(self.refuse(head.ticket, Refusal::QueueFull));
            return;
        }
        self.queue.push_back(head);
        self.dispatch(now_us, out);
    }

    fn queue_limit(&self, service: ServiceIndex) -> usize {
        match self.services.get(service as usize).map_or(0, |limits| limits.queue_requests) {
            0 => self.slots() as usize * QUEUE_PER_SLOT,
            limit => limit as usize,
        }
    }

    fn slots(&self) -> u32 {
        self.upstreams.values().map(|upstream| upstream.spec.slots).sum()
    }

    /// Records the end of an exchange, or that the caller of a waiting request went away, and
    /// serves whoever waits. After a failure the ticket gets another `Send` or a `GiveUp`.
    pub fn finish(&mut self, now_us: u64, ticket: Ticket, outcome: Outcome, out: &mut Vec<Action>) {
        if let Some((id, sent_us)) = self.sent.remove(&ticket) {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.in_flight -= 1;
            }
            match outcome {
                Outcome::Answered => {
                    let took_us = now_us.saturating_sub(sent_us) as f64;
                    self.mean_service_us += (took_us - self.mean_service_us) / 32.0;
                }
                Outcome::Abandoned => {}
                Outcome::Refused | Outcome::NotSent | Outcome::Broken => {
                    let retry_after_ms = self.retry_after_ms();
                    out.push(Action::GiveUp { ticket, outcome, retry_after_ms });
                }
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
        let ahead = self.queue.len() as f64 / f64::from(self.slots().max(1));
        (self.mean_service_us * ahead) as u64
    }

    fn retry_after_ms(&self) -> u32 {
        (self.expected_wait_us() / 1_000).clamp(10, 10_000) as u32
    }

    fn refuse(&self, ticket: Ticket, refusal: Refusal) -> Action {
        Action::Refuse { ticket, refusal, retry_after_ms: self.retry_after_ms() }
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
            let Some((id, candidates)) = self.pick() else { break };
            self.queue.pop_front();
            let Some(upstream) = self.upstreams.get_mut(&id) else { break };
            upstream.in_flight += 1;
            let decision = Decision {
                choice: Choice::OwnSlot,
                attempt: 1,
                in_flight: upstream.in_flight,
                share: upstream.spec.slots,
                peer_in_flight: upstream.peer_in_flight,
                candidates,
                ejected: 0,
                waiting: self.queue.len() as u32,
                waited_us: 0,
            };
            self.sent.insert(ticket, (id, now_us));
            out.push(Action::Send { ticket, upstream: id, decision });
        }
    }

    fn pick(&mut self) -> Option<(UpstreamId, u32)> {
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
        Some((if load(&second) < load(&first) { second } else { first }, open.len() as u32))
    }
}
