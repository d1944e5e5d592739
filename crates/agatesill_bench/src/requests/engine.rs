//! Discrete-event simulation of callers, a random load balancer, daemons with delayed peer views
//! and upstreams.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;

use agatesill_policy::prelude::*;

use super::baseline::{Baseline, BaselineKind};
use super::load::{Arrival, Deployment, Load, SLOTS, UPSTREAMS};

/// Heartbeat interval, as in the examples' settings.
const HEARTBEAT_INTERVAL_US: u64 = 200_000;

/// Time without a heartbeat after which a daemon is considered dead, as in the examples' settings.
const SUSPECT_TIMEOUT_US: u64 = 2_000_000;

/// Tick interval of the policy, as in the daemon.
const TICK_INTERVAL_US: u64 = 5_000;

/// Deadline of a request as a multiple of the latency objective.
const DEADLINE_OBJECTIVES: u64 = 8;

/// Time after which a failing upstream breaks an exchange.
const FAILURE_DELAY_US: u64 = 1_000;

/// Policy that routes the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The request policy of this project in every daemon.
    Agatesill,
    /// The same policy in one daemon that receives every request and is local to every zone: an
    /// upper bound that no real deployment reaches.
    Central,
    /// A baseline in every daemon.
    Baseline(BaselineKind),
}

/// A change of the system during the run.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Sets the factor by which the upstreams with a lower id than this one are slowed down.
    Slowdown(u32, f64),
    /// The upstreams with a lower id than this one fail every request, all others none.
    FailingBelow(u32),
    /// Kills this daemon.
    Kill(usize),
    /// Delays the peer views that this daemon receives, in microseconds.
    DelayViews(usize, u64),
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// Complete answer.
    Answered,
    /// Refusal.
    Refused,
    /// Failure.
    Failed,
    /// Connection lost with the daemon.
    Lost,
}

/// A finished request.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRequest {
    /// The request as sent.
    pub arrival: Arrival,
    /// When the caller received the outcome.
    pub at_us: u64,
    /// The outcome.
    pub ended: CallerOutcome,
    /// Number of attempts sent to upstreams.
    pub attempts: u8,
    /// Bit set of the upstreams that received an attempt.
    pub reached: u64,
    /// Whether a refusal reported `not run` for a request that was sent, or a non-repeatable
    /// request was sent again after it may have run.
    pub violates_at_most_once: bool,
}

impl FinishedRequest {
    /// Latency as the caller measures it.
    pub fn latency_us(&self) -> u64 {
        self.at_us - self.arrival.sent_us
    }
}

/// Measurements of the engine.
#[derive(Clone, Debug, Default)]
pub struct EngineStats {
    /// Highest number of requests at one upstream, in service or queued.
    pub peak_requests: u32,
    /// Requests queued in daemons and upstreams, sampled every 10 ms.
    pub waiting: Vec<u32>,
    /// Attempts in each tenth of a second.
    pub attempts: Vec<u32>,
    /// Upstreams ejected by the routing daemon, summed over all attempts.
    pub ejected: u64,
}

/// Interval between two samples of the queued requests.
pub const SAMPLE_INTERVAL_US: u64 = 10_000;

/// Width of a bucket of [`EngineStats::attempts`].
pub const ATTEMPTS_BUCKET_US: u64 = 100_000;

#[derive(Clone, Debug)]
enum Event {
    AtUpstream(u32, u32),
    Done(u32, u32),
    AttemptEnded(u32, Outcome),
    Tick(usize),
    Heartbeat(usize),
    View(usize, usize, Rc<Vec<(UpstreamId, u32)>>),
    Sample,
    Fault(usize),
}

#[derive(Debug)]
struct TimedEvent {
    at_us: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}

#[derive(Debug)]
enum DaemonPolicy {
    Product(Box<RequestPolicy>),
    Baseline(Box<Baseline>),
}

#[derive(Debug)]
struct Daemon {
    name: String,
    zone: usize,
    policy: DaemonPolicy,
    alive: bool,
    last_contact_us: Vec<u64>,
    view_delay_us: u64,
}

#[derive(Clone, Debug, Default)]
struct Server {
    busy: u32,
    queue: VecDeque<u32>,
    slowness: f64,
    failing: bool,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    arrival: Arrival,
    daemon: usize,
    attempts: u8,
    reached: u64,
    upstream: u32,
    violates_at_most_once: bool,
    broken: bool,
}

/// A run of one policy under one load.
pub struct Engine<'a> {
    deployment: Deployment,
    ignores_zones: bool,
    load: Load,
    faults: Vec<(u64, Fault)>,
    end_us: u64,
    now_us: u64,
    sequence: u64,
    heap: BinaryHeap<Reverse<TimedEvent>>,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    free: Vec<u32>,
    actions: Vec<Action>,
    stats: EngineStats,
    finished: &'a mut dyn FnMut(&FinishedRequest),
}

fn zone_of(index: usize, deployment: &Deployment) -> usize {
    index % deployment.zones
}

fn specs(deployment: &Deployment) -> Vec<UpstreamSpec> {
    (0..UPSTREAMS)
        .map(|id| UpstreamSpec {
            id,
            slots: SLOTS,
            zone: format!("zone-{}", zone_of(id as usize, deployment)),
        })
        .collect()
}

fn daemon(
    index: usize,
    names: &[String],
    seed: u64,
    policy_kind: PolicyKind,
    to: &Deployment,
) -> Daemon {
    let name = names[index].clone();
    let zone = zone_of(index, to);
    let others: Vec<String> = names.iter().filter(|other| **other != name).cloned().collect();
    let seed = seed.wrapping_mul(1_000) + index as u64;
    let policy = match policy_kind {
        PolicyKind::Baseline(kind) => {
            let baseline = Baseline::new(kind, seed, &name, &others, &specs(to));
            DaemonPolicy::Baseline(Box::new(baseline))
        }
        PolicyKind::Agatesill | PolicyKind::Central => {
            let mut policy = RequestPolicy::new(seed, &name, &format!("zone-{zone}"));
            policy.set_members(0, &others);
            for (index, name) in names.iter().enumerate().filter(|(_, other)| **other != name) {
                policy.set_member_zone(0, name, &format!("zone-{}", zone_of(index, to)));
            }
            policy.set_upstreams(0, &specs(to));
            let promise_us = to.promise_us;
            policy.set_service(0, ServiceLimits { promise_us, priority: 7, queue_requests: 0 });
            DaemonPolicy::Product(Box::new(policy))
        }
    };
    Daemon {
        name,
        zone,
        policy,
        alive: true,
        last_contact_us: vec![0; names.len()],
        view_delay_us: 0,
    }
}

impl<'a> Engine<'a> {
    /// Creates a run that ends at `end_us` and calls `finished` for each finished request.
    pub fn new(
        seed: u64,
        policy_kind: PolicyKind,
        deployment: &Deployment,
        load: Load,
        faults: &[(u64, Fault)],
        end_us: u64,
        finished: &'a mut dyn FnMut(&FinishedRequest),
    ) -> Self {
        let count = if policy_kind == PolicyKind::Central { 1 } else { deployment.daemons };
        let names: Vec<String> = (0..count).map(|index| format!("entry-{index}")).collect();
        let server = Server { slowness: 1.0, ..Server::default() };
        Self {
            deployment: *deployment,
            load,
            faults: faults.to_vec(),
            end_us,
            now_us: 0,
            sequence: 0,
            heap: BinaryHeap::new(),
            ignores_zones: policy_kind == PolicyKind::Central,
            daemons: (0..count)
                .map(|index| daemon(index, &names, seed, policy_kind, deployment))
                .collect(),
            servers: vec![server; UPSTREAMS as usize],
            requests: Vec::new(),
            free: Vec::new(),
            actions: Vec::new(),
            stats: EngineStats::default(),
            finished,
        }
    }

    /// Runs to the end. Requests that are still in flight then are not reported.
    pub fn run(mut self) -> EngineStats {
        for index in 0..self.daemons.len() {
            self.schedule(TICK_INTERVAL_US + index as u64, Event::Tick(index));
            let phase_us = HEARTBEAT_INTERVAL_US * index as u64 / self.daemons.len() as u64;
            self.schedule(phase_us, Event::Heartbeat(index));
        }
        self.schedule(SAMPLE_INTERVAL_US, Event::Sample);
        for index in 0..self.faults.len() {
            self.schedule(self.faults[index].0, Event::Fault(index));
        }
        let mut arrival = self.load.next_arrival();
        loop {
            let next_us = self.heap.peek().map_or(u64::MAX, |Reverse(timed)| timed.at_us);
            let arrives_us = arrival.sent_us + self.deployment.caller_delay_us;
            self.now_us = next_us.min(arrives_us);
            if self.now_us >= self.end_us {
                return self.stats;
            }
            if arrives_us <= next_us {
                self.arrive(arrival);
                arrival = self.load.next_arrival();
            } else if let Some(Reverse(timed)) = self.heap.pop() {
                self.handle(timed.event);
            }
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(TimedEvent { at_us, sequence: self.sequence, event }));
    }

    fn arrive(&mut self, arrival: Arrival) {
        let alive = self.daemons.iter().filter(|daemon| daemon.alive).count() as u64;
        let alive_index = (arrival.balancer % alive) as usize;
        let live = self.daemons.iter().enumerate().filter(|(_, daemon)| daemon.alive);
        let Some((daemon, _)) = live.into_iter().nth(alive_index) else { return };
        let request = Request {
            arrival,
            daemon,
            attempts: 0,
            reached: 0,
            upstream: 0,
            violates_at_most_once: false,
            broken: false,
        };
        let index = match self.free.pop() {
            Some(index) => {
                self.requests[index as usize] = request;
                index
            }
            None => {
                self.requests.push(request);
                (self.requests.len() - 1) as u32
            }
        };
        let deadline_after_us = DEADLINE_OBJECTIVES * self.deployment.promise_us;
        let head = RequestHead {
            ticket: u64::from(index),
            service: 0,
            caller: arrival.caller,
            key: arrival.key,
            deadline_us: self.now_us + deadline_after_us,
            repeatable: arrival.repeatable,
        };
        let now_us = self.now_us;
        self.run_policy(daemon, |policy, out| match policy {
            DaemonPolicy::Product(policy) => policy.arrive(now_us, head, out),
            DaemonPolicy::Baseline(baseline) => baseline.arrive(head, out),
        });
    }

    fn run_policy(
        &mut self,
        daemon: usize,
        event: impl FnOnce(&mut DaemonPolicy, &mut Vec<Action>),
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        event(&mut self.daemons[daemon].policy, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { ticket, upstream, decision } => {
                    self.stats.ejected += u64::from(decision.ejected);
                    self.send(ticket as u32, upstream);
                }
                Action::Refuse { ticket, .. } => self.end(ticket as u32, CallerOutcome::Refused),
                Action::GiveUp { ticket, .. } => self.end(ticket as u32, CallerOutcome::Failed),
            }
        }
        self.actions = actions;
    }

    fn send(&mut self, index: u32, upstream: u32) {
        let zone = self.daemons[self.requests[index as usize].daemon].zone;
        let request = &mut self.requests[index as usize];
        request.violates_at_most_once |= request.broken && !request.arrival.repeatable;
        request.attempts += 1;
        request.reached |= 1 << upstream;
        request.upstream = upstream;
        let bucket = (self.now_us / ATTEMPTS_BUCKET_US) as usize;
        if self.stats.attempts.len() <= bucket {
            self.stats.attempts.resize(bucket + 1, 0);
        }
        self.stats.attempts[bucket] += 1;
        let one_way_us = self.one_way_us(zone, upstream);
        self.schedule(self.now_us + one_way_us, Event::AtUpstream(index, upstream));
    }

    fn one_way_us(&self, zone: usize, upstream: u32) -> u64 {
        let to = zone_of(upstream as usize, &self.deployment);
        self.deployment.one_way_us(if self.ignores_zones { to } else { zone }, to)
    }

    fn end(&mut self, index: u32, ended: CallerOutcome) {
        let request = self.requests[index as usize];
        (self.finished)(&FinishedRequest {
            arrival: request.arrival,
            at_us: self.now_us + self.deployment.caller_delay_us,
            ended,
            attempts: request.attempts,
            reached: request.reached,
            violates_at_most_once: request.violates_at_most_once
                || (ended == CallerOutcome::Refused && request.attempts > 0),
        });
        self.free.push(index);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::AtUpstream(index, upstream) => self.at_upstream(index, upstream),
            Event::Done(index, upstream) => self.done(index, upstream),
            Event::AttemptEnded(index, outcome) => self.attempt_ended(index, outcome),
            Event::Tick(daemon) => self.tick(daemon),
            Event::Heartbeat(daemon) => self.heartbeat(daemon),
            Event::View(to, from, loads) => self.view(to, from, &loads),
            Event::Sample => self.sample(),
            Event::Fault(index) => self.fault(self.faults[index].1),
        }
    }

    fn at_upstream(&mut self, index: u32, upstream: u32) {
        let server = &mut self.servers[upstream as usize];
        if server.failing {
            let at_us = self.now_us + FAILURE_DELAY_US;
            return self.schedule(at_us, Event::AttemptEnded(index, Outcome::Broken));
        }
        server.queue.push_back(index);
        let requests_present = server.busy + server.queue.len() as u32;
        self.stats.peak_requests = self.stats.peak_requests.max(requests_present);
        self.serve(upstream);
    }

    fn serve(&mut self, upstream: u32) {
        let server = &mut self.servers[upstream as usize];
        if server.busy >= SLOTS {
            return;
        }
        let Some(index) = server.queue.pop_front() else { return };
        server.busy += 1;
        let service_us = self.requests[index as usize].arrival.service_us as f64;
        let at_us = self.now_us + (service_us * server.slowness) as u64;
        self.schedule(at_us, Event::Done(index, upstream));
    }

    fn done(&mut self, index: u32, upstream: u32) {
        self.servers[upstream as usize].busy -= 1;
        let zone = self.daemons[self.requests[index as usize].daemon].zone;
        let one_way_us = self.one_way_us(zone, upstream);
        self.schedule(self.now_us + one_way_us, Event::AttemptEnded(index, Outcome::Answered));
        self.serve(upstream);
    }

    fn attempt_ended(&mut self, index: u32, outcome: Outcome) {
        let daemon = self.requests[index as usize].daemon;
        if !self.daemons[daemon].alive {
            return self.end(index, CallerOutcome::Lost);
        }
        if outcome == Outcome::Answered {
            self.end(index, CallerOutcome::Answered);
        } else {
            self.requests[index as usize].broken = true;
        }
        let (now_us, ticket) = (self.now_us, u64::from(index));
        self.run_policy(daemon, |policy, out| match policy {
            DaemonPolicy::Product(policy) => policy.finish(now_us, ticket, outcome, out),
            DaemonPolicy::Baseline(baseline) => baseline.finish(ticket, outcome, out),
        });
    }

    fn tick(&mut self, daemon: usize) {
        if !self.daemons[daemon].alive {
            return;
        }
        let now_us = self.now_us;
        self.run_policy(daemon, |policy, out| {
            if let DaemonPolicy::Product(policy) = policy {
                policy.tick(now_us, out);
            }
        });
        self.suspect(daemon);
        self.schedule(now_us + TICK_INTERVAL_US, Event::Tick(daemon));
    }

    fn suspect(&mut self, daemon: usize) {
        for other in 0..self.daemons.len() {
            let last_contact_us = self.daemons[daemon].last_contact_us[other];
            let timed_out =
                last_contact_us != u64::MAX && self.now_us > last_contact_us + SUSPECT_TIMEOUT_US;
            if other == daemon || !timed_out || self.now_us < SUSPECT_TIMEOUT_US {
                continue;
            }
            let name = self.daemons[other].name.clone();
            let now_us = self.now_us;
            let state = &mut self.daemons[daemon];
            state.last_contact_us[other] = u64::MAX;
            match &mut state.policy {
                DaemonPolicy::Product(policy) => policy.peer_terminated(now_us, &name),
                DaemonPolicy::Baseline(baseline) => baseline.peer_terminated(&name),
            }
        }
    }

    fn heartbeat(&mut self, daemon: usize) {
        let state = &self.daemons[daemon];
        if !state.alive {
            return;
        }
        let loads: Vec<(UpstreamId, u32)> = match &state.policy {
            DaemonPolicy::Product(policy) => policy.local_load().collect(),
            DaemonPolicy::Baseline(baseline) => baseline.local_load(),
        };
        let loads = Rc::new(loads);
        let zone = state.zone;
        for other in (0..self.daemons.len()).filter(|other| *other != daemon) {
            let one_way_us = self.deployment.one_way_us(zone, self.daemons[other].zone);
            let at_us = self.now_us + one_way_us + self.daemons[other].view_delay_us;
            self.schedule(at_us, Event::View(other, daemon, Rc::clone(&loads)));
        }
        self.schedule(self.now_us + HEARTBEAT_INTERVAL_US, Event::Heartbeat(daemon));
    }

    fn view(&mut self, to: usize, from: usize, loads: &[(UpstreamId, u32)]) {
        let name = self.daemons[from].name.clone();
        let now_us = self.now_us;
        let state = &mut self.daemons[to];
        // A view sent before the delay began must not move the time of last contact backwards.
        let last_contact_us = state.last_contact_us[from];
        state.last_contact_us[from] =
            if last_contact_us == u64::MAX { now_us } else { last_contact_us.max(now_us) };
        match &mut state.policy {
            DaemonPolicy::Product(policy) => {
                policy.update_peer_loads(now_us, &name, state.view_delay_us, loads)
            }
            DaemonPolicy::Baseline(baseline) => baseline.update_peer_loads(&name, loads),
        }
    }

    fn sample(&mut self) {
        let queued_in_daemons: usize = self
            .daemons
            .iter()
            .map(|daemon| match &daemon.policy {
                DaemonPolicy::Product(policy) => policy.waiting(),
                DaemonPolicy::Baseline(baseline) => baseline.waiting(),
            })
            .sum();
        let queued_at_upstreams: usize = self.servers.iter().map(|server| server.queue.len()).sum();
        self.stats.waiting.push((queued_in_daemons + queued_at_upstreams) as u32);
        self.schedule(self.now_us + SAMPLE_INTERVAL_US, Event::Sample);
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slowdown(below, slowness) => {
                let servers = self.servers.iter_mut().take(below as usize);
                servers.for_each(|server| server.slowness = slowness);
            }
            Fault::FailingBelow(below) => {
                for (index, server) in (0u32..).zip(&mut self.servers) {
                    server.failing = index < below;
                }
            }
            Fault::Kill(daemon) => self.daemons[daemon].alive = false,
            Fault::DelayViews(daemon, view_delay_us) => {
                self.daemons[daemon].view_delay_us = view_delay_us;
                let now_us = self.now_us;
                let heard = self.daemons[daemon].last_contact_us.iter_mut();
                heard.for_each(|last_contact_us| *last_contact_us = now_us + view_delay_us);
            }
        }
    }
}
