//! [`RequestPolicy`]: handles the events of one daemon for one pool and emits actions.

use std::collections::{HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::admission::{Durations, expected_wait_us, expires_us, queue_limit};
use super::fair_queue::{FairQueue, Waiting, eviction_margin};
use super::limit::ConcurrencyLimit;
use super::peers::Peers;
use super::pool::Pool;
use super::retry::{MAX_ATTEMPTS, RetryBudget, is_retryable};
use super::{
    Action, Choice, DEFAULT_LIMITS, Decision, Outcome, Refusal, RequestHead, ServiceIndex,
    ServiceLimits, Ticket, UpstreamId, UpstreamSpec,
};

/// Interval between two dispatches of the queue while requests wait.
const QUEUE_POLL_INTERVAL_US: u64 = 5_000;

/// Samples of the pool needed to classify a request as slow: the 95th percentile then has ten
/// samples beyond it.
const MIN_SLOW_SAMPLES: u32 = 200;

/// Weight of the newest request in the share of refused requests, which thus covers about the last
/// 64 requests.
const REFUSED_SHARE_WEIGHT: f64 = 1.0 / 64.0;

/// Relative increase of Retry-After while all requests are refused.
const MAX_RETRY_AFTER_INCREASE: f64 = 8.0;

#[derive(Debug)]
struct Service {
    limits: ServiceLimits,
    durations: Durations,
    budget: RetryBudget,
}

impl Service {
    fn new(limits: ServiceLimits) -> Self {
        Self { limits, durations: Durations::default(), budget: RetryBudget::default() }
    }
}

#[derive(Debug)]
struct Exchange {
    head: RequestHead,
    arrived_us: u64,
    upstream: UpstreamId,
    sent_us: u64,
    attempts: u8,
    worst: Option<Outcome>,
    counted_slow: bool,
}

#[derive(Debug)]
enum Place {
    Waiting(u32),
    Sent(Exchange),
}

/// Admission control and routing for one pool in one daemon.
#[derive(Debug)]
pub struct RequestPolicy {
    pool: Pool,
    services: Vec<Service>,
    peers: Peers,
    queue: FairQueue,
    tickets: HashMap<Ticket, Place>,
    slow_checks: VecDeque<(u64, Ticket, u64)>,
    durations: Durations,
    limit: ConcurrencyLimit,
    refused_share: f64,
    expired: Vec<u32>,
    next_expiry_us: u64,
    last_dispatch_us: u64,
    rng: Pcg64Mcg,
}

impl RequestPolicy {
    /// Creates a policy for the daemon `instance` in `zone`; `seed` makes its random choices
    /// reproducible.
    pub fn new(seed: u64, instance: &str, zone: &str) -> Self {
        Self {
            pool: Pool::new(zone),
            services: Vec::new(),
            peers: Peers::new(instance, zone),
            queue: FairQueue::default(),
            tickets: HashMap::new(),
            slow_checks: VecDeque::new(),
            durations: Durations::default(),
            limit: ConcurrencyLimit::default(),
            refused_share: 0.0,
            expired: Vec::new(),
            next_expiry_us: u64::MAX,
            last_dispatch_us: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sets the limits of the service at `index`; other services have [`DEFAULT_LIMITS`].
    pub fn set_service(&mut self, index: ServiceIndex, limits: ServiceLimits) {
        self.service(index).limits = limits;
    }

    /// Sets the other daemons that serve the same pool. Each counts as live and keeps its slots
    /// until [`RequestPolicy::peer_terminated`] is called for it.
    pub fn set_members(&mut self, _now_us: u64, members: &[String]) {
        self.peers.set_peer_names(members, &mut self.pool);
        self.update_shares();
    }

    /// Sets the availability zone of another daemon. While the zone of any daemon is unknown, the
    /// ownership of slots ignores zones.
    pub fn set_member_zone(&mut self, _now_us: u64, instance: &str, zone: &str) {
        if self.peers.set_zone(instance, zone) {
            self.update_shares();
        }
    }

    /// Replaces the set of upstreams. Removed upstreams receive no new requests. An upstream that
    /// was leaving and is listed again may receive requests again.
    pub fn set_upstreams(&mut self, _now_us: u64, specs: &[UpstreamSpec]) {
        self.pool.set_upstreams(specs, self.peers.members(), self.peers.own_position());
    }

    /// Marks an upstream as leaving, at the first indication: a closed connection, a refusal, a
    /// peer's report or the platform's list. It receives no new requests until it is listed again.
    pub fn upstream_leaving(&mut self, _now_us: u64, upstream: UpstreamId) {
        self.pool.set_leaving(upstream);
    }

    /// Records another daemon's requests in flight, as of `age_us` ago. Upstreams that are not in
    /// `loads` have none. A daemon that had terminated counts as live and owns its slots again.
    pub fn update_peer_loads(
        &mut self,
        _now_us: u64,
        instance: &str,
        _age_us: u64,
        loads: &[(UpstreamId, u32)],
    ) {
        if self.peers.heard(instance, loads, &mut self.pool) {
            self.update_shares();
        }
    }

    /// Records that another daemon crashed or stopped; its slots pass to the live daemons.
    pub fn peer_terminated(&mut self, _now_us: u64, instance: &str) {
        self.peers.terminated(instance, &mut self.pool);
        self.update_shares();
    }

    /// This daemon's requests in flight, by upstream.
    pub fn local_load(&self) -> impl Iterator<Item = (UpstreamId, u32)> + '_ {
        self.pool.iter().map(|upstream| (upstream.spec.id, upstream.in_flight))
    }

    /// Slots that this daemon owns, by upstream.
    pub fn local_share(&self) -> impl Iterator<Item = (UpstreamId, u32)> + '_ {
        self.pool.iter().map(|upstream| (upstream.spec.id, upstream.share))
    }

    /// Number of requests queued in this daemon.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Time at which [`RequestPolicy::tick`] must run unless another event occurs earlier.
    pub fn next_wake_us(&self) -> Option<u64> {
        let slow_check_us = self.slow_checks.front().map(|(due_us, _, _)| *due_us);
        let queue_us = (!self.queue.is_empty())
            .then(|| self.next_expiry_us.min(self.last_dispatch_us + QUEUE_POLL_INTERVAL_US));
        slow_check_us.into_iter().chain(queue_us).min()
    }

    /// Handles an arriving request: sends, queues or refuses it.
    pub fn arrive(&mut self, now_us: u64, head: RequestHead, out: &mut Vec<Action>) {
        let service = head.service;
        let limits = self.service(service).limits;
        let median_us = self.service(service).durations.median_us(limits.promise_us);
        if self.pool.usable() == 0 {
            return self.refuse(service, head.ticket, Refusal::NoUpstream, out);
        }
        if now_us + median_us > head.deadline_us {
            return self.refuse(service, head.ticket, Refusal::TooLate, out);
        }
        self.dispatch(now_us, out);
        let tag = self.queue.tag(&head);
        let expires_us =
            expires_us(&self.service(service).durations, &limits, now_us, head.deadline_us);
        let waiting = Waiting {
            head,
            arrived_us: now_us,
            expires_us,
            attempts: 0,
            avoid: None,
            worst: None,
            tag,
        };
        if self.queue.is_empty()
            && let Some((position, choice)) = self.choose(now_us, &waiting)
        {
            self.queue.charge(&waiting.head, limits.priority);
            return self.send(now_us, position, choice, waiting, out);
        }
        self.enqueue(now_us, waiting, limits, out);
    }

    fn enqueue(
        &mut self,
        now_us: u64,
        waiting: Waiting,
        limits: ServiceLimits,
        out: &mut Vec<Action>,
    ) {
        let (service, ticket) = (waiting.head.service, waiting.head.ticket);
        let slots = self.serving_slots();
        let wait_us = expected_wait_us(&self.durations, &limits, self.queue.len(), slots);
        let median_us = self.service(service).durations.median_us(limits.promise_us);
        if now_us + wait_us + median_us > waiting.head.deadline_us {
            return self.refuse(service, ticket, Refusal::TooLate, out);
        }
        let max_queued = queue_limit(&self.service(service).durations, &limits, slots);
        if self.queue.len() >= max_queued {
            let highest_tag = self.queue.highest_tag().unwrap_or(0);
            if highest_tag <= waiting.tag + eviction_margin(limits.priority) {
                return self.refuse(service, ticket, Refusal::QueueFull, out);
            }
            let services = &self.services;
            let evicted = self.queue.evict(|head| priority(services, head.service));
            if let Some(evicted) = evicted {
                self.end_wait(evicted, Refusal::QueueFull, out);
            }
        }
        self.queue.charge(&waiting.head, limits.priority);
        self.push_waiting(waiting);
    }

    fn push_waiting(&mut self, waiting: Waiting) {
        let ticket = waiting.head.ticket;
        self.next_expiry_us = self.next_expiry_us.min(waiting.expires_us);
        let place = self.queue.push(waiting);
        self.tickets.insert(ticket, Place::Waiting(place));
    }

    /// Records the end of an exchange, or the disconnection of the caller of a queued request, and
    /// dispatches the queue. After a failure the ticket gets another `Send` or a `GiveUp`.
    pub fn finish(&mut self, now_us: u64, ticket: Ticket, outcome: Outcome, out: &mut Vec<Action>) {
        match self.tickets.remove(&ticket) {
            None => return,
            Some(Place::Waiting(place)) => {
                self.queue.remove(place);
            }
            Some(Place::Sent(exchange)) => self.end_exchange(now_us, exchange, outcome, out),
        }
        self.dispatch(now_us, out);
    }

    fn end_exchange(
        &mut self,
        now_us: u64,
        exchange: Exchange,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let took_us = now_us.saturating_sub(exchange.sent_us);
        if let Some(position) = self.pool.position(exchange.upstream) {
            self.pool.request_finished(position);
            self.record_exchange(now_us, position, &exchange, outcome, took_us);
        }
        match outcome {
            Outcome::Answered => self.service(exchange.head.service).budget.deposit(),
            Outcome::Abandoned => {}
            Outcome::Refused | Outcome::NotSent | Outcome::Broken => {
                self.retry(now_us, exchange, outcome, out);
            }
        }
    }

    fn record_exchange(
        &mut self,
        now_us: u64,
        position: usize,
        exchange: &Exchange,
        outcome: Outcome,
        took_us: u64,
    ) {
        match outcome {
            Outcome::Abandoned => return,
            Outcome::Refused | Outcome::NotSent | Outcome::Broken => {
                return self.pool.ended(position, now_us, true);
            }
            Outcome::Answered => self.pool.ended(position, now_us, false),
        }
        let can_classify = self.durations.has_samples(MIN_SLOW_SAMPLES);
        let probe = self.pool.get(position).health.is_ejected();
        if !exchange.counted_slow {
            let slow = can_classify && took_us > self.durations.p95_us();
            self.pool.record_timing(position, now_us, slow);
        }
        self.pool.record_latency(position, took_us);
        if !probe {
            self.durations.record(took_us);
            let service = self.service(exchange.head.service);
            service.durations.record(took_us);
            let promise_us = service.limits.promise_us;
            self.limit.record(now_us, took_us, promise_us);
        }
    }

    fn retry(&mut self, now_us: u64, exchange: Exchange, outcome: Outcome, out: &mut Vec<Action>) {
        let Exchange { head, arrived_us, upstream, attempts, worst, .. } = exchange;
        let worst = more_severe(worst, outcome);
        let usable = self.pool.usable() > 0;
        let service = self.service(head.service);
        let median_us = service.durations.median_us(service.limits.promise_us);
        let can_retry = is_retryable(outcome, head.repeatable)
            && attempts < MAX_ATTEMPTS
            && usable
            && now_us + median_us <= head.deadline_us;
        if !can_retry || !service.budget.withdraw() {
            return self.give_up(head.service, head.ticket, worst, out);
        }
        let expires_us = expires_us(&service.durations, &service.limits, now_us, head.deadline_us);
        let avoid = Some(upstream);
        // Tag 0 puts the retry at the head of the queue: the request has already waited, and the
        // retry budget has paid for the attempt.
        let waiting =
            Waiting { head, arrived_us, expires_us, attempts, avoid, worst: Some(worst), tag: 0 };
        self.push_waiting(waiting);
    }

    /// Refuses expired requests and dispatches the queue.
    pub fn tick(&mut self, now_us: u64, out: &mut Vec<Action>) {
        self.dispatch(now_us, out);
    }

    fn dispatch(&mut self, now_us: u64, out: &mut Vec<Action>) {
        self.mark_overdue_slow(now_us);
        if self.queue.is_empty() {
            return;
        }
        self.last_dispatch_us = now_us;
        self.expire(now_us, out);
        while let Some(waiting) = self.queue.peek() {
            let (repeatable, attempts, avoid) =
                (waiting.head.repeatable, waiting.attempts, waiting.avoid);
            let Some((position, choice)) = self.choose_for(now_us, repeatable, attempts, avoid)
            else {
                break;
            };
            let Some(waiting) = self.queue.pop() else { break };
            self.queue.advance_virtual_time(waiting.tag);
            self.send(now_us, position, choice, waiting, out);
        }
    }

    fn choose(&mut self, now_us: u64, waiting: &Waiting) -> Option<(usize, Choice)> {
        self.choose_for(now_us, waiting.head.repeatable, waiting.attempts, waiting.avoid)
    }

    fn choose_for(
        &mut self,
        now_us: u64,
        repeatable: bool,
        attempts: u8,
        avoid: Option<UpstreamId>,
    ) -> Option<(usize, Choice)> {
        if repeatable
            && attempts == 0
            && let Some(position) = self.pool.probe(now_us)
        {
            return Some((position, Choice::Probe));
        }
        if self.pool.in_flight() >= self.serving_slots() {
            return None;
        }
        let own = self
            .pool
            .pick(now_us, &mut self.rng, avoid)
            .map(|position| (position, Choice::OwnSlot));
        own.or_else(|| self.pool.borrow(&mut self.rng).map(|position| (position, Choice::Borrowed)))
    }

    fn send(
        &mut self,
        now_us: u64,
        position: usize,
        choice: Choice,
        waiting: Waiting,
        out: &mut Vec<Action>,
    ) {
        let candidates = self.pool.available() as u32;
        let promise_us = self.service(waiting.head.service).limits.promise_us;
        self.pool.request_started(position, now_us, self.durations.median_us(promise_us) as f64);
        let upstream = self.pool.get(position);
        let decision = Decision {
            choice,
            attempt: waiting.attempts + 1,
            in_flight: upstream.in_flight,
            share: upstream.share,
            peer_in_flight: upstream.peer_in_flight,
            candidates,
            ejected: self.pool.ejected() as u32,
            waiting: self.queue.len() as u32,
            waited_us: now_us - waiting.arrived_us,
        };
        let (ticket, id) = (waiting.head.ticket, upstream.spec.id);
        let exchange = Exchange {
            head: waiting.head,
            arrived_us: waiting.arrived_us,
            upstream: id,
            sent_us: now_us,
            attempts: waiting.attempts + 1,
            worst: waiting.worst,
            counted_slow: false,
        };
        self.tickets.insert(ticket, Place::Sent(exchange));
        if self.durations.has_samples(MIN_SLOW_SAMPLES) {
            self.slow_checks.push_back((now_us + self.durations.p95_us(), ticket, now_us));
        }
        self.refused_share -= self.refused_share * REFUSED_SHARE_WEIGHT;
        out.push(Action::Send { ticket, upstream: id, decision });
    }

    /// Counts a request as slow as soon as it has taken longer than the pool's 95th percentile.
    ///
    /// An upstream that hangs never responds, so it would otherwise never be detected as slow.
    fn mark_overdue_slow(&mut self, now_us: u64) {
        while let Some((due_us, ticket, sent_us)) = self.slow_checks.front().copied() {
            if due_us > now_us {
                break;
            }
            self.slow_checks.pop_front();
            let Some(Place::Sent(exchange)) = self.tickets.get_mut(&ticket) else { continue };
            if exchange.sent_us != sent_us {
                continue;
            }
            exchange.counted_slow = true;
            if let Some(position) = self.pool.position(exchange.upstream) {
                self.pool.record_timing(position, now_us, true);
            }
        }
    }

    fn expire(&mut self, now_us: u64, out: &mut Vec<Action>) {
        let unusable = self.pool.usable() == 0;
        if now_us < self.next_expiry_us && !unusable {
            return;
        }
        let mut expired = std::mem::take(&mut self.expired);
        self.next_expiry_us = u64::MAX;
        for (place, waiting) in self.queue.iter() {
            if unusable || waiting.expires_us <= now_us {
                expired.push(place);
            } else {
                self.next_expiry_us = self.next_expiry_us.min(waiting.expires_us);
            }
        }
        let refusal = if unusable { Refusal::NoUpstream } else { Refusal::TooLate };
        for place in expired.drain(..) {
            if let Some(waiting) = self.queue.remove(place) {
                self.end_wait(waiting, refusal, out);
            }
        }
        self.expired = expired;
    }

    /// Ends a queued request without another attempt.
    ///
    /// A request that was sent before and is queued for a retry ends with the failure of its
    /// attempts. A refusal would report it as not run, although it may have run.
    fn end_wait(&mut self, waiting: Waiting, refusal: Refusal, out: &mut Vec<Action>) {
        let (service, ticket) = (waiting.head.service, waiting.head.ticket);
        self.tickets.remove(&ticket);
        match waiting.worst {
            Some(outcome) => self.give_up(service, ticket, outcome, out),
            None => self.refuse(service, ticket, refusal, out),
        }
    }

    fn give_up(
        &mut self,
        service: ServiceIndex,
        ticket: Ticket,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let retry_after_ms = self.retry_after_ms(service);
        out.push(Action::GiveUp { ticket, outcome, retry_after_ms });
    }

    fn refuse(
        &mut self,
        service: ServiceIndex,
        ticket: Ticket,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        self.refused_share += (1.0 - self.refused_share) * REFUSED_SHARE_WEIGHT;
        let retry_after_ms = self.retry_after_ms(service);
        out.push(Action::Refuse { ticket, refusal, retry_after_ms });
    }

    /// Retry-After: the latency objective, extended with the share of refused requests, with jitter
    /// so that callers that were refused together don't retry together.
    fn retry_after_ms(&mut self, service: ServiceIndex) -> u32 {
        let promise_us = self.service(service).limits.promise_us as f64;
        let jitter = self.rng.random_range(0.5..1.5);
        let retry_after_us =
            promise_us * (1.0 + self.refused_share * MAX_RETRY_AFTER_INCREASE) * jitter;
        ((retry_after_us / 1_000.0) as u32).clamp(10, 10_000)
    }

    fn serving_slots(&self) -> u32 {
        ((f64::from(self.pool.serving_slots()) * self.limit.share()) as u32).max(1)
    }

    fn service(&mut self, index: ServiceIndex) -> &mut Service {
        let index = index as usize;
        while self.services.len() <= index {
            self.services.push(Service::new(DEFAULT_LIMITS));
        }
        &mut self.services[index]
    }

    fn update_shares(&mut self) {
        self.pool.set_members(self.peers.members(), self.peers.own_position());
    }
}

fn priority(services: &[Service], service: ServiceIndex) -> u8 {
    services
        .get(service as usize)
        .map_or(DEFAULT_LIMITS.priority, |service| service.limits.priority)
}

/// Returns `Broken` if either outcome is: the request may then have run. Otherwise returns `now`.
fn more_severe(before: Option<Outcome>, now: Outcome) -> Outcome {
    if before == Some(Outcome::Broken) { Outcome::Broken } else { now }
}
