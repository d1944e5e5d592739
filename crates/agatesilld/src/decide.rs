//! The deciding thread: one [`RequestPolicy`] for each service, fed over a bounded ring.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_wire::api::VersionedConfig;
use agatesill_wire::prelude::*;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use tokio::sync::oneshot;

use crate::settings::Settings;

/// Events that may wait for the deciding thread; one that finds no room is refused.
pub const DECIDE_RING_EVENTS: usize = 8_192;

/// Longest time between two looks at deadlines.
const TICK: Duration = Duration::from_millis(5);

/// What the policy said to one request.
pub type Verdict = Result<UpstreamId, Error>;

/// An event for the deciding thread.
#[derive(Debug)]
pub enum DecideEvent {
    /// A request arrived.
    Arrive {
        /// Its service.
        service: String,
        /// What the policy needs to know.
        head: RequestHead,
        /// Where the verdict goes.
        verdict: oneshot::Sender<Verdict>,
    },
    /// An exchange ended.
    Finish {
        /// Its service.
        service: String,
        /// The request.
        ticket: Ticket,
        /// How it ended.
        outcome: Outcome,
    },
    /// Another configuration is in force.
    Config(Arc<VersionedConfig>),
    /// Another daemon's requests in flight, by upstream.
    PeerLoads {
        /// That daemon.
        instance: String,
        /// Its requests in flight.
        loads: Vec<(UpstreamId, u32)>,
    },
    /// Asks for this daemon's own requests in flight.
    Loads(oneshot::Sender<Vec<(UpstreamId, u32)>>),
}

/// The sending end of the ring.
#[derive(Clone, Debug)]
pub struct Decider {
    ring: Sender<DecideEvent>,
    started: Instant,
}

impl Decider {
    /// Starts the thread; it ends when every sender is gone.
    pub fn start(settings: &Settings) -> std::io::Result<Self> {
        let (ring, events) = bounded(DECIDE_RING_EVENTS);
        let started = Instant::now();
        let mut state = State::new(settings, started);
        std::thread::Builder::new().name("decide".to_owned()).spawn(move || state.run(&events))?;
        Ok(Self { ring, started })
    }

    /// Time on the clock that deadlines are given in.
    pub fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Offers an event; a full ring is a typed refusal.
    pub fn offer(&self, event: DecideEvent) -> Result<(), Error> {
        self.ring.try_send(event).map_err(|error| match error {
            TrySendError::Full(_) => {
                Error::new(ErrorKind::RingFull, "ring to the deciding thread").retry_after(100)
            }
            TrySendError::Disconnected(_) => Error::new(ErrorKind::Stopping, "deciding thread"),
        })
    }

    /// Delivers an event that must not be lost; waits for room.
    pub fn deliver(&self, event: DecideEvent) {
        let _ = self.ring.send(event);
    }
}

struct ServiceState {
    pool: String,
    policy: RequestPolicy,
    verdicts: HashMap<Ticket, oneshot::Sender<Verdict>>,
}

struct State {
    pools: BTreeMap<String, Vec<UpstreamSpec>>,
    services: BTreeMap<String, ServiceState>,
    instance: String,
    zone: String,
    config_version: u64,
    started: Instant,
}

impl State {
    fn new(settings: &Settings, started: Instant) -> Self {
        let spec = |upstream: &crate::settings::UpstreamSettings| UpstreamSpec {
            id: upstream.id,
            slots: upstream.slots,
            zone: upstream.zone.clone(),
        };
        let pools = settings
            .pools
            .iter()
            .map(|(name, pool)| (name.clone(), pool.iter().map(spec).collect()))
            .collect();
        Self {
            pools,
            services: BTreeMap::new(),
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            config_version: 0,
            started,
        }
    }

    fn run(&mut self, events: &Receiver<DecideEvent>) {
        let mut actions = Vec::new();
        loop {
            match events.recv_timeout(TICK) {
                Ok(event) => self.handle(event, &mut actions),
                Err(RecvTimeoutError::Timeout) => self.tick(&mut actions),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn handle(&mut self, event: DecideEvent, actions: &mut Vec<Action>) {
        let now_us = self.now_us();
        match event {
            DecideEvent::Arrive { service, head, verdict } => {
                let Some(state) = self.services.get_mut(&service) else {
                    let what = format!("service {service}");
                    let _ = verdict.send(Err(Error::new(ErrorKind::NotFound, what)));
                    return;
                };
                state.verdicts.insert(head.ticket, verdict);
                state.policy.arrive(now_us, head, actions);
                carry_out(&service, self.config_version, state, actions);
            }
            DecideEvent::Finish { service, ticket, outcome } => {
                if let Some(state) = self.services.get_mut(&service) {
                    state.verdicts.remove(&ticket);
                    state.policy.finish(now_us, ticket, outcome, actions);
                    carry_out(&service, self.config_version, state, actions);
                }
            }
            DecideEvent::Config(config) => self.configure(&config),
            DecideEvent::PeerLoads { instance, loads } => self.peer_loads(&instance, &loads),
            DecideEvent::Loads(reply) => {
                let loads =
                    self.services.values().flat_map(|state| state.policy.local_load()).collect();
                let _ = reply.send(loads);
            }
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        let now_us = self.now_us();
        for (name, state) in &mut self.services {
            state.policy.tick(now_us, actions);
            carry_out(name, self.config_version, state, actions);
        }
    }

    fn configure(&mut self, config: &VersionedConfig) {
        self.config_version = config.version;
        self.services.retain(|name, _| config.doc.services.contains_key(name));
        for (name, service) in &config.doc.services {
            let Some(profile) = config.doc.profiles.get(&service.profile) else { continue };
            let pool = self.pools.get(&service.pool).cloned().unwrap_or_default();
            let now_us = self.now_us();
            let limits = ServiceLimits {
                promise_us: u64::from(profile.answer_ms) * 1_000,
                priority: profile.priority,
                queue_requests: profile.queue_requests,
            };
            let state = self.services.entry(name.clone()).or_insert_with(|| ServiceState {
                pool: service.pool.clone(),
                policy: RequestPolicy::new(
                    xxhash_rust::xxh3::xxh3_64(name.as_bytes()),
                    &self.instance,
                    &self.zone,
                ),
                verdicts: HashMap::new(),
            });
            state.pool.clone_from(&service.pool);
            state.policy.set_service(0, limits);
            state.policy.set_upstreams(now_us, &pool);
        }
    }

    fn peer_loads(&mut self, instance: &str, loads: &[(UpstreamId, u32)]) {
        let now_us = self.now_us();
        for state in self.services.values_mut() {
            state.policy.peer_view(now_us, instance, 0, loads);
        }
    }
}

fn carry_out(service: &str, version: u64, state: &mut ServiceState, actions: &mut Vec<Action>) {
    let waiting = state.policy.waiting();
    for action in actions.drain(..) {
        match action {
            Action::Send { ticket, upstream, .. } => {
                log::info!(
                    event = "route", service = service, request = ticket, upstream = upstream,
                    waiting = waiting, config_version = version; ""
                );
                if let Some(verdict) = state.verdicts.remove(&ticket) {
                    let _ = verdict.send(Ok(upstream));
                }
            }
            Action::GiveUp { .. } => {}
            Action::Refuse { ticket, refusal, retry_after_ms } => {
                let kind = match refusal {
                    Refusal::QueueFull => ErrorKind::Overloaded,
                    Refusal::TooLate => ErrorKind::TooLate,
                    Refusal::NoUpstream => ErrorKind::NoUpstream,
                };
                log::info!(
                    event = "refuse", service = service, request = ticket,
                    reason = kind.row().name, waiting = waiting, config_version = version; ""
                );
                if let Some(verdict) = state.verdicts.remove(&ticket) {
                    let error = Error::new(kind, format!("service {service}"));
                    let _ = verdict.send(Err(error.retry_after(retry_after_ms)));
                }
            }
        }
    }
}
