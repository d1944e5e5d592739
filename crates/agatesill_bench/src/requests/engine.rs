//! A small event loop: callers, a random balancer, daemons with delayed views, upstreams.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;

use agatesill_policy::prelude::*;

use super::baseline::{Baseline, Way};
use super::load::{Arrival, Deployment, Load, SLOTS, UPSTREAMS};

/// Pause between two heartbeats, as in the examples' settings.
const HEARTBEAT_US: u64 = 200_000;

/// Silence after which a daemon is taken for dead, as in the examples' settings.
const SUSPECT_US: u64 = 2_000_000;

/// Pause between two ticks of a daemon, as in the daemon.
const TICK_US: u64 = 5_000;

/// Patience of callers, in promises.
const PATIENCE: u64 = 8;

/// Time in which a failing upstream breaks an exchange.
const FAILING_US: u64 = 1_000;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decides {
    /// The product's policy in every daemon.
    Agatesill,
    /// The product's policy in one daemon that gets every request and is in every zone: what fits.
    Central,
    /// A baseline in every daemon.
    Baseline(Way),
}

/// Something that happens to the system at a time.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// These upstreams take so many times as long from now on.
    Speed(u32, f64),
    /// Upstreams below this one fail every request from now on.
    FailingBelow(u32),
    /// This daemon dies.
    Kill(usize),
    /// Views reach this daemon so much later from now on.
    LateViews(usize, u64),
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With a whole answer.
    Answered,
    /// With a refusal.
    Refused,
    /// With a failure.
    Failed,
    /// With its daemon's death.
    Lost,
}

/// One request at its end.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// The request.
    pub arrival: Arrival,
    /// When the caller knew.
    pub at_us: u64,
    /// How.
    pub ended: Ended,
    /// Attempts sent.
    pub attempts: u8,
    /// Bit set of upstreams that it was sent to.
    pub met: u64,
    /// Whether a refusal said `not run` of a request that was sent, or one that may not be
    /// repeated was sent again after it may have run.
    pub untrue: bool,
}

impl Finished {
    /// Latency as the caller sees it.
    pub fn latency_us(&self) -> u64 {
        self.at_us - self.arrival.sent_us
    }
}

/// What the engine itself saw.
#[derive(Clone, Debug, Default)]
pub struct Watched {
    /// Most requests present at one upstream at once.
    pub peak_present: u32,
    /// Requests waiting in daemons and upstreams, sampled every 10 ms.
    pub waiting: Vec<u32>,
    /// Sends, by tenth of a second.
    pub attempts: Vec<u32>,
    /// Upstreams that were out in the deciding daemon, summed over all sends.
    pub ejected: u64,
}

/// Pause between two samples of what waits.
pub const SAMPLE_US: u64 = 10_000;

/// Width of the buckets of attempts.
pub const ATTEMPTS_US: u64 = 100_000;

#[derive(Clone, Debug)]
enum Event {
    AtUpstream(u32, u32),
    Done(u32, u32),
    Back(u32, Outcome),
    Tick(usize),
    Heartbeat(usize),
    View(usize, usize, Rc<Vec<(UpstreamId, u32)>>),
    Sample,
    Fault(usize),
}

#[derive(Debug)]
struct Timed {
    at_us: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}

#[derive(Debug)]
enum Decider {
    Product(Box<RequestPolicy>),
    Other(Box<Baseline>),
}

#[derive(Debug)]
struct Daemon {
    name: String,
    zone: usize,
    decider: Decider,
    alive: bool,
    heard_us: Vec<u64>,
    late_us: u64,
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
    met: u64,
    upstream: u32,
    untrue: bool,
    broken: bool,
}

/// A run of one policy over one load.
pub struct Engine<'a> {
    deployment: Deployment,
    nowhere_far: bool,
    load: Load,
    faults: Vec<(u64, Fault)>,
    ends_us: u64,
    now_us: u64,
    sequence: u64,
    heap: BinaryHeap<Reverse<Timed>>,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    free: Vec<u32>,
    actions: Vec<Action>,
    watched: Watched,
    finished: &'a mut dyn FnMut(&Finished),
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

fn daemon(index: usize, names: &[String], seed: u64, decides: Decides, to: &Deployment) -> Daemon {
    let name = names[index].clone();
    let zone = zone_of(index, to);
    let others: Vec<String> = names.iter().filter(|other| **other != name).cloned().collect();
    let seed = seed.wrapping_mul(1_000) + index as u64;
    let decider = match decides {
        Decides::Baseline(way) => {
            let baseline = Baseline::new(way, seed, &name, &others, &specs(to));
            Decider::Other(Box::new(baseline))
        }
        Decides::Agatesill | Decides::Central => {
            let mut policy = RequestPolicy::new(seed, &name, &format!("zone-{zone}"));
            policy.set_members(0, &others);
            for (index, name) in names.iter().enumerate().filter(|(_, other)| **other != name) {
                policy.set_member_zone(0, name, &format!("zone-{}", zone_of(index, to)));
            }
            policy.set_upstreams(0, &specs(to));
            let promise_us = to.promise_us;
            policy.set_service(0, ServiceLimits { promise_us, priority: 7, queue_requests: 0 });
            Decider::Product(Box::new(policy))
        }
    };
    Daemon { name, zone, decider, alive: true, heard_us: vec![0; names.len()], late_us: 0 }
}

impl<'a> Engine<'a> {
    /// Prepares a run that ends at `ends_us`; `finished` sees every request at its end.
    pub fn new(
        seed: u64,
        decides: Decides,
        deployment: &Deployment,
        load: Load,
        faults: &[(u64, Fault)],
        ends_us: u64,
        finished: &'a mut dyn FnMut(&Finished),
    ) -> Self {
        let count = if decides == Decides::Central { 1 } else { deployment.daemons };
        let names: Vec<String> = (0..count).map(|index| format!("entry-{index}")).collect();
        let server = Server { slowness: 1.0, ..Server::default() };
        Self {
            deployment: *deployment,
            load,
            faults: faults.to_vec(),
            ends_us,
            now_us: 0,
            sequence: 0,
            heap: BinaryHeap::new(),
            nowhere_far: decides == Decides::Central,
            daemons: (0..count)
                .map(|index| daemon(index, &names, seed, decides, deployment))
                .collect(),
            servers: vec![server; UPSTREAMS as usize],
            requests: Vec::new(),
            free: Vec::new(),
            actions: Vec::new(),
            watched: Watched::default(),
            finished,
        }
    }

    /// Runs to the end. Requests that are still under way then are not reported.
    pub fn run(mut self) -> Watched {
        for index in 0..self.daemons.len() {
            self.at(TICK_US + index as u64, Event::Tick(index));
            let phase_us = HEARTBEAT_US * index as u64 / self.daemons.len() as u64;
            self.at(phase_us, Event::Heartbeat(index));
        }
        self.at(SAMPLE_US, Event::Sample);
        for index in 0..self.faults.len() {
            self.at(self.faults[index].0, Event::Fault(index));
        }
        let mut arrival = self.load.next_arrival();
        loop {
            let next_us = self.heap.peek().map_or(u64::MAX, |Reverse(timed)| timed.at_us);
            let arrives_us = arrival.sent_us + self.deployment.to_clients_us;
            self.now_us = next_us.min(arrives_us);
            if self.now_us >= self.ends_us {
                return self.watched;
            }
            if arrives_us <= next_us {
                self.arrive(arrival);
                arrival = self.load.next_arrival();
            } else if let Some(Reverse(timed)) = self.heap.pop() {
                self.handle(timed.event);
            }
        }
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(Timed { at_us, sequence: self.sequence, event }));
    }

    fn arrive(&mut self, arrival: Arrival) {
        let alive = self.daemons.iter().filter(|daemon| daemon.alive).count() as u64;
        let turn = (arrival.balancer % alive) as usize;
        let live = self.daemons.iter().enumerate().filter(|(_, daemon)| daemon.alive);
        let Some((daemon, _)) = live.into_iter().nth(turn) else { return };
        let request = Request {
            arrival,
            daemon,
            attempts: 0,
            met: 0,
            upstream: 0,
            untrue: false,
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
        let patience_us = PATIENCE * self.deployment.promise_us;
        let head = RequestHead {
            ticket: u64::from(index),
            service: 0,
            caller: arrival.caller,
            key: arrival.key,
            deadline_us: self.now_us + patience_us,
            repeatable: arrival.repeatable,
        };
        let now_us = self.now_us;
        self.decide(daemon, |decider, out| match decider {
            Decider::Product(policy) => policy.arrive(now_us, head, out),
            Decider::Other(baseline) => baseline.arrive(head, out),
        });
    }

    fn decide(&mut self, daemon: usize, event: impl FnOnce(&mut Decider, &mut Vec<Action>)) {
        let mut actions = std::mem::take(&mut self.actions);
        event(&mut self.daemons[daemon].decider, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { ticket, upstream, decision } => {
                    self.watched.ejected += u64::from(decision.ejected);
                    self.send(ticket as u32, upstream);
                }
                Action::Refuse { ticket, .. } => self.end(ticket as u32, Ended::Refused),
                Action::GiveUp { ticket, .. } => self.end(ticket as u32, Ended::Failed),
            }
        }
        self.actions = actions;
    }

    fn send(&mut self, index: u32, upstream: u32) {
        let zone = self.daemons[self.requests[index as usize].daemon].zone;
        let request = &mut self.requests[index as usize];
        request.untrue |= request.broken && !request.arrival.repeatable;
        request.attempts += 1;
        request.met |= 1 << upstream;
        request.upstream = upstream;
        let bucket = (self.now_us / ATTEMPTS_US) as usize;
        if self.watched.attempts.len() <= bucket {
            self.watched.attempts.resize(bucket + 1, 0);
        }
        self.watched.attempts[bucket] += 1;
        let way_us = self.way_us(zone, upstream);
        self.at(self.now_us + way_us, Event::AtUpstream(index, upstream));
    }

    fn way_us(&self, zone: usize, upstream: u32) -> u64 {
        let to = zone_of(upstream as usize, &self.deployment);
        self.deployment.way_us(if self.nowhere_far { to } else { zone }, to)
    }

    fn end(&mut self, index: u32, ended: Ended) {
        let request = self.requests[index as usize];
        (self.finished)(&Finished {
            arrival: request.arrival,
            at_us: self.now_us + self.deployment.to_clients_us,
            ended,
            attempts: request.attempts,
            met: request.met,
            untrue: request.untrue || (ended == Ended::Refused && request.attempts > 0),
        });
        self.free.push(index);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::AtUpstream(index, upstream) => self.at_upstream(index, upstream),
            Event::Done(index, upstream) => self.done(index, upstream),
            Event::Back(index, outcome) => self.back(index, outcome),
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
            let at_us = self.now_us + FAILING_US;
            return self.at(at_us, Event::Back(index, Outcome::Broken));
        }
        server.queue.push_back(index);
        let present = server.busy + server.queue.len() as u32;
        self.watched.peak_present = self.watched.peak_present.max(present);
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
        self.at(at_us, Event::Done(index, upstream));
    }

    fn done(&mut self, index: u32, upstream: u32) {
        self.servers[upstream as usize].busy -= 1;
        let zone = self.daemons[self.requests[index as usize].daemon].zone;
        let way_us = self.way_us(zone, upstream);
        self.at(self.now_us + way_us, Event::Back(index, Outcome::Answered));
        self.serve(upstream);
    }

    fn back(&mut self, index: u32, outcome: Outcome) {
        let daemon = self.requests[index as usize].daemon;
        if !self.daemons[daemon].alive {
            return self.end(index, Ended::Lost);
        }
        if outcome == Outcome::Answered {
            self.end(index, Ended::Answered);
        } else {
            self.requests[index as usize].broken = true;
        }
        let (now_us, ticket) = (self.now_us, u64::from(index));
        self.decide(daemon, |decider, out| match decider {
            Decider::Product(policy) => policy.finish(now_us, ticket, outcome, out),
            Decider::Other(baseline) => baseline.finish(ticket, outcome, out),
        });
    }

    fn tick(&mut self, daemon: usize) {
        if !self.daemons[daemon].alive {
            return;
        }
        let now_us = self.now_us;
        self.decide(daemon, |decider, out| {
            if let Decider::Product(policy) = decider {
                policy.tick(now_us, out);
            }
        });
        self.suspect(daemon);
        self.at(now_us + TICK_US, Event::Tick(daemon));
    }

    fn suspect(&mut self, daemon: usize) {
        for other in 0..self.daemons.len() {
            let heard_us = self.daemons[daemon].heard_us[other];
            let silent = heard_us != u64::MAX && self.now_us > heard_us + SUSPECT_US;
            if other == daemon || !silent || self.now_us < SUSPECT_US {
                continue;
            }
            let name = self.daemons[other].name.clone();
            let now_us = self.now_us;
            let state = &mut self.daemons[daemon];
            state.heard_us[other] = u64::MAX;
            match &mut state.decider {
                Decider::Product(policy) => policy.peer_terminated(now_us, &name),
                Decider::Other(baseline) => baseline.peer_gone(&name),
            }
        }
    }

    fn heartbeat(&mut self, daemon: usize) {
        let state = &self.daemons[daemon];
        if !state.alive {
            return;
        }
        let loads: Vec<(UpstreamId, u32)> = match &state.decider {
            Decider::Product(policy) => policy.local_load().collect(),
            Decider::Other(baseline) => baseline.local_load(),
        };
        let loads = Rc::new(loads);
        let zone = state.zone;
        for other in (0..self.daemons.len()).filter(|other| *other != daemon) {
            let way_us = self.deployment.way_us(zone, self.daemons[other].zone);
            let at_us = self.now_us + way_us + self.daemons[other].late_us;
            self.at(at_us, Event::View(other, daemon, Rc::clone(&loads)));
        }
        self.at(self.now_us + HEARTBEAT_US, Event::Heartbeat(daemon));
    }

    fn view(&mut self, to: usize, from: usize, loads: &[(UpstreamId, u32)]) {
        let name = self.daemons[from].name.clone();
        let now_us = self.now_us;
        let state = &mut self.daemons[to];
        // A view that was on its way before the delay began must not bring the last sign of life
        // back to its own time.
        let heard_us = state.heard_us[from];
        state.heard_us[from] = if heard_us == u64::MAX { now_us } else { heard_us.max(now_us) };
        match &mut state.decider {
            Decider::Product(policy) => {
                policy.update_peer_loads(now_us, &name, state.late_us, loads)
            }
            Decider::Other(baseline) => baseline.peer_view(&name, loads),
        }
    }

    fn sample(&mut self) {
        let inside: usize = self
            .daemons
            .iter()
            .map(|daemon| match &daemon.decider {
                Decider::Product(policy) => policy.waiting(),
                Decider::Other(baseline) => baseline.waiting(),
            })
            .sum();
        let outside: usize = self.servers.iter().map(|server| server.queue.len()).sum();
        self.watched.waiting.push((inside + outside) as u32);
        self.at(self.now_us + SAMPLE_US, Event::Sample);
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Speed(below, slowness) => {
                let servers = self.servers.iter_mut().take(below as usize);
                servers.for_each(|server| server.slowness = slowness);
            }
            Fault::FailingBelow(below) => {
                for (index, server) in (0u32..).zip(&mut self.servers) {
                    server.failing = index < below;
                }
            }
            Fault::Kill(daemon) => self.daemons[daemon].alive = false,
            Fault::LateViews(daemon, late_us) => {
                self.daemons[daemon].late_us = late_us;
                let now_us = self.now_us;
                let heard = self.daemons[daemon].heard_us.iter_mut();
                heard.for_each(|heard_us| *heard_us = now_us + late_us);
            }
        }
    }
}
