//! State of the decision thread: the policies of all pools and the pending requests.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_wire::api::VersionedConfig;
use agatesill_wire::prelude::*;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use super::{Arrival, DecideEvent, RouteResult};
use crate::settings::{Settings, UpstreamSettings};
use crate::shared::Shared;

/// Maximum interval between two checks of deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// How long an upstream counts as leaving after an indication. Longer than a process takes to
/// drain and exit, but short enough that an upstream that was restarted does not stay idle for
/// long.
const LEAVING_DURATION: Duration = Duration::from_secs(60);

struct Pool {
    name: String,
    upstreams: Vec<UpstreamSpec>,
    policy: RequestPolicy,
    services: Vec<String>,
}

struct ServiceEntry {
    pool: usize,
    index: ServiceIndex,
    profile: String,
}

/// A request that has arrived and not yet ended.
struct Pending {
    pool: usize,
    service: String,
    profile: String,
    request_id: String,
    reply: Option<oneshot::Sender<RouteResult>>,
}

pub(super) struct State {
    pools: Vec<Pool>,
    services: BTreeMap<String, ServiceEntry>,
    pending: HashMap<Ticket, Pending>,
    leaving: BTreeMap<UpstreamId, (u64, bool)>,
    config_version: u64,
    shared: Shared,
    started: Instant,
    actions: Vec<Action>,
}

impl State {
    pub(super) fn new(settings: &Settings, shared: Shared, started: Instant) -> Self {
        let members: Vec<String> = settings.peers.members.keys().cloned().collect();
        let spec = |upstream: &UpstreamSettings| UpstreamSpec {
            id: upstream.id,
            slots: upstream.slots,
            zone: upstream.zone.clone(),
        };
        let pool = |(name, upstreams): (&String, &Vec<UpstreamSettings>)| {
            let upstreams: Vec<UpstreamSpec> = upstreams.iter().map(spec).collect();
            let seed = xxh3_64(format!("{}/{name}", settings.instance).as_bytes());
            let mut policy = RequestPolicy::new(seed, &settings.instance, &settings.zone);
            policy.set_members(0, &members);
            for name in &members {
                let zone = settings.peers.zones.get(name).map_or("", String::as_str);
                policy.set_member_zone(0, name, zone);
            }
            policy.set_upstreams(0, &upstreams);
            Pool { name: name.clone(), upstreams, policy, services: Vec::new() }
        };
        Self {
            pools: settings.pools.iter().map(pool).collect(),
            services: BTreeMap::new(),
            pending: HashMap::new(),
            leaving: BTreeMap::new(),
            config_version: 0,
            shared,
            started,
            actions: Vec::new(),
        }
    }

    pub(super) fn run(&mut self, events: &Receiver<DecideEvent>) {
        let mut next_tick = Instant::now() + TICK_INTERVAL;
        loop {
            match events.recv_deadline(next_tick) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            if now >= next_tick {
                self.tick();
                next_tick = now + TICK_INTERVAL;
            }
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn handle(&mut self, event: DecideEvent) {
        let now_us = self.now_us();
        match event {
            DecideEvent::Arrive(arrival) => self.arrive(now_us, arrival),
            DecideEvent::Finish { ticket, outcome, retry_reply } => {
                self.finish(now_us, ticket, outcome, retry_reply);
            }
            DecideEvent::Config(config) => self.configure(&config),
            DecideEvent::PeerLoads { instance, loads } => {
                for pool in &mut self.pools {
                    pool.policy.update_peer_loads(now_us, &instance, 0, &loads);
                }
            }
            DecideEvent::PeerTerminated(instance) => {
                for pool in &mut self.pools {
                    pool.policy.peer_terminated(now_us, &instance);
                }
            }
            DecideEvent::Leaving { upstream, is_first_hand } => {
                self.mark_leaving(now_us, upstream, is_first_hand);
            }
            DecideEvent::LocalLoads(reply) => {
                let loads = self.pools.iter().flat_map(|pool| pool.policy.local_load()).collect();
                let _ = reply.send(loads);
            }
        }
    }

    fn arrive(&mut self, now_us: u64, arrival: Arrival) {
        let Arrival { service, request_id, mut head, reply } = arrival;
        let Some(place) = self.services.get(&service) else {
            let message = format!("no upstream pool for service {service}");
            let _ = reply.send(Err(Error::new(ErrorKind::NotFound, message)));
            return;
        };
        head.service = place.index;
        let (pool, profile, reply) = (place.pool, place.profile.clone(), Some(reply));
        self.pending.insert(head.ticket, Pending { pool, service, profile, request_id, reply });
        self.pools[pool].policy.arrive(now_us, head, &mut self.actions);
        self.execute_actions(now_us, pool);
    }

    fn finish(
        &mut self,
        now_us: u64,
        ticket: Ticket,
        outcome: Outcome,
        retry_reply: Option<oneshot::Sender<RouteResult>>,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        let pool = pending.pool;
        pending.reply = retry_reply;
        if matches!(outcome, Outcome::Answered | Outcome::Abandoned) {
            self.pending.remove(&ticket);
        }
        self.pools[pool].policy.finish(now_us, ticket, outcome, &mut self.actions);
        self.execute_actions(now_us, pool);
    }

    fn tick(&mut self) {
        let now_us = self.now_us();
        self.expire_leaving(now_us);
        for pool in 0..self.pools.len() {
            self.pools[pool].policy.tick(now_us, &mut self.actions);
            self.execute_actions(now_us, pool);
        }
    }

    fn configure(&mut self, config: &VersionedConfig) {
        self.config_version = config.version;
        self.services.clear();
        for (name, service) in &config.doc.services {
            let Some(profile) = config.doc.profiles.get(&service.profile) else { continue };
            let position = self.pools.iter().position(|pool| pool.name == service.pool);
            let Some(pool) = position else { continue };
            let limits = ServiceLimits {
                promise_us: u64::from(profile.answer_ms) * 1_000,
                priority: profile.priority,
                queue_requests: profile.queue_requests,
            };
            let services = &mut self.pools[pool].services;
            let index = services.iter().position(|existing| existing == name).unwrap_or_else(|| {
                services.push(name.clone());
                services.len() - 1
            }) as ServiceIndex;
            self.pools[pool].policy.set_service(index, limits);
            let place = ServiceEntry { pool, index, profile: service.profile.clone() };
            self.services.insert(name.clone(), place);
        }
    }

    /// Stops sending new requests to an upstream at the first indication that it is leaving. Only
    /// indications that this daemon observed itself are forwarded to the peers, so that none
    /// circulates between daemons forever.
    fn mark_leaving(&mut self, now_us: u64, upstream: UpstreamId, is_first_hand: bool) {
        let until_us = now_us + LEAVING_DURATION.as_micros() as u64;
        let previous = self.leaving.get(&upstream).copied();
        if previous.is_some_and(|(_, first_hand)| first_hand >= is_first_hand) {
            return;
        }
        self.leaving.insert(upstream, (until_us, is_first_hand));
        for pool in &mut self.pools {
            pool.policy.upstream_leaving(now_us, upstream);
        }
        log::info!(event = "upstream_leaving", upstream = upstream, first_hand = is_first_hand; "");
        self.publish_leaving();
    }

    fn expire_leaving(&mut self, now_us: u64) {
        if self.leaving.values().all(|(until_us, _)| *until_us > now_us) {
            return;
        }
        self.leaving.retain(|_, (until_us, _)| *until_us > now_us);
        for pool in &mut self.pools {
            pool.policy.set_upstreams(now_us, &pool.upstreams);
            for upstream in self.leaving.keys() {
                pool.policy.upstream_leaving(now_us, *upstream);
            }
        }
        self.publish_leaving();
    }

    fn publish_leaving(&self) {
        let first_hand = self.leaving.iter().filter(|(_, (_, first_hand))| *first_hand);
        *self.shared.leaving() = first_hand.map(|(upstream, _)| *upstream).collect();
    }

    fn execute_actions(&mut self, now_us: u64, pool: usize) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { ticket, upstream, decision } => {
                    self.send(now_us, pool, ticket, upstream, &decision);
                }
                Action::Refuse { ticket, refusal, retry_after_ms } => {
                    self.refuse(ticket, refusal, retry_after_ms);
                }
                Action::GiveUp { ticket, outcome, retry_after_ms } => {
                    self.give_up(ticket, outcome, retry_after_ms);
                }
            }
        }
        // Only a `Send` whose caller has disconnected adds actions while others are executed.
        actions.append(&mut self.actions);
        let has_more = !actions.is_empty();
        self.actions = actions;
        if has_more {
            self.execute_actions(now_us, pool);
        }
    }

    fn send(
        &mut self,
        now_us: u64,
        pool: usize,
        ticket: Ticket,
        upstream: UpstreamId,
        decision: &Decision,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else {
            self.pools[pool].policy.finish(now_us, ticket, Outcome::Abandoned, &mut self.actions);
            return;
        };
        let sent = pending.reply.take().map(|reply| reply.send(Ok(upstream)));
        if !matches!(sent, Some(Ok(()))) {
            self.pending.remove(&ticket);
            self.pools[pool].policy.finish(now_us, ticket, Outcome::Abandoned, &mut self.actions);
            return;
        }
        log::info!(
            event = "route", request = pending.request_id.as_str(),
            service = pending.service.as_str(), upstream = upstream,
            reason = choice_name(decision.choice), attempt = decision.attempt,
            candidates = decision.candidates, ejected = decision.ejected,
            in_flight = decision.in_flight, share = decision.share,
            peer_in_flight = decision.peer_in_flight, waiting = decision.waiting,
            waited_us = decision.waited_us, profile = pending.profile.as_str(),
            config_version = self.config_version; ""
        );
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal, retry_after_ms: u32) {
        let Some(pending) = self.pending.remove(&ticket) else { return };
        let kind = match refusal {
            Refusal::QueueFull => ErrorKind::Overloaded,
            Refusal::TooLate => ErrorKind::TooLate,
            Refusal::NoUpstream => ErrorKind::NoUpstream,
        };
        self.log_end("refuse", &pending, kind.row().name, retry_after_ms);
        if let Some(reply) = pending.reply {
            let error = Error::new(kind, format!("service {}", pending.service));
            let _ = reply.send(Err(error.retry_after(retry_after_ms)));
        }
    }

    fn give_up(&mut self, ticket: Ticket, outcome: Outcome, retry_after_ms: u32) {
        let Some(pending) = self.pending.remove(&ticket) else { return };
        let (kind, reason) = match outcome {
            Outcome::Refused => (ErrorKind::Overloaded, "refused"),
            Outcome::NotSent => (ErrorKind::NoUpstream, "not_sent"),
            _ => (ErrorKind::UpstreamFailed, "broken"),
        };
        self.log_end("give_up", &pending, reason, retry_after_ms);
        if let Some(reply) = pending.reply {
            let error = Error::new(kind, format!("service {}", pending.service));
            let _ = reply.send(Err(error.retry_after(retry_after_ms)));
        }
    }

    fn log_end(&self, event: &str, pending: &Pending, reason: &str, retry_after_ms: u32) {
        let waiting = self.pools[pending.pool].policy.waiting();
        log::info!(
            event = event, request = pending.request_id.as_str(),
            service = pending.service.as_str(), reason = reason,
            retry_after_ms = retry_after_ms, waiting = waiting,
            profile = pending.profile.as_str(), config_version = self.config_version; ""
        );
    }
}

fn choice_name(choice: Choice) -> &'static str {
    match choice {
        Choice::OwnSlot => "own_slot",
        Choice::Borrowed => "borrowed",
        Choice::Probe => "probe",
    }
}
