//! Deployments and the requests that callers send to them.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64Mcg;

/// Number of upstreams of a deployment.
pub const UPSTREAMS: u32 = 50;

/// Concurrent requests that each upstream serves.
pub const SLOTS: u32 = 8;

/// Sigma of the lognormal service times; the 99th percentile is 4.7 times the mean.
const SIGMA: f64 = 0.8;

/// Share of requests that may not be repeated.
const NON_REPEATABLE_SHARE: f64 = 0.2;

/// Number of callers.
pub const CALLERS: u64 = 20;
/// Number of keys.
pub const KEYS: u64 = 20;

/// One of the two deployments.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in figures and checks.
    pub name: &'static str,
    /// Number of entry instances, each with one daemon.
    pub daemons: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// One-way network delay between two zones.
    pub between_zones_us: u64,
    /// One-way network delay within a zone.
    pub within_zone_us: u64,
    /// One-way network delay between callers and daemons.
    pub caller_delay_us: u64,
    /// Mean time that a request holds a slot.
    pub mean_service_us: f64,
    /// Latency objective: 99th percentile at the caller.
    pub promise_us: u64,
}

impl Deployment {
    /// Requests/s that all slots serve when none is idle.
    pub fn capacity(&self) -> f64 {
        f64::from(UPSTREAMS * SLOTS) / (self.mean_service_us / 1e6)
    }

    /// One-way network delay between two zones or within one.
    pub fn one_way_us(&self, from: usize, to: usize) -> u64 {
        if from == to { self.within_zone_us } else { self.between_zones_us }
    }
}

/// Billfold: 3 zones, and the latency objective of `examples/billfold/config.yaml`.
pub const BILLFOLD: Deployment = Deployment {
    name: "billfold",
    daemons: 6,
    zones: 3,
    between_zones_us: 1_500,
    within_zone_us: 100,
    caller_delay_us: 3_000,
    mean_service_us: 45_000.0,
    promise_us: 250_000,
};

/// Carpatia: 4 zones, and the latency objective of `examples/carpatia/config.yaml`.
pub const CARPATIA: Deployment = Deployment {
    name: "carpatia",
    daemons: 8,
    zones: 4,
    between_zones_us: 500,
    within_zone_us: 100,
    caller_delay_us: 3_000,
    mean_service_us: 25_000.0,
    promise_us: 150_000,
};

/// Both deployments.
pub const DEPLOYMENTS: [Deployment; 2] = [BILLFOLD, CARPATIA];

/// Offered load from a time on.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Start of the phase.
    pub from_us: u64,
    /// Ratio of offered work to capacity, without the extra requests of a hot caller or key.
    pub load: f64,
}

/// Distribution of the arrivals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// Every caller and key has the same rate.
    Even,
    /// Caller 0 sends ten times its share between the two times.
    HotCaller(u64, u64),
    /// Key 0 is requested ten times its share between the two times.
    HotKey(u64, u64),
    /// 5% of requests take 50 times as long; the load of a phase includes them.
    Long,
    /// The short requests of `Long` without the long ones.
    ShortOnly,
}

/// Rate of a hot caller or key as a multiple of its share.
const HOT_FACTOR: f64 = 10.0;

/// Share of long requests, and their service time as a multiple of the ordinary one.
const LONG_SHARE: f64 = 0.05;
const LONG_FACTOR: f64 = 50.0;

/// A request as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time at which the caller sends it.
    pub sent_us: u64,
    /// The caller.
    pub caller: u64,
    /// The key.
    pub key: u64,
    /// Service time at a healthy upstream.
    pub service_us: u64,
    /// Whether it is a long request.
    pub long: bool,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Random number with which the load balancer picks a daemon.
    pub balancer: u64,
}

/// Arrivals of a seed, the same for every policy.
#[derive(Debug)]
pub struct Load {
    rng: Pcg64Mcg,
    service: LogNormal<f64>,
    capacity: f64,
    phases: Vec<Phase>,
    shape: Shape,
    now_us: f64,
}

impl Load {
    /// Creates the arrivals of a seed.
    pub fn new(seed: u64, deployment: &Deployment, phases: &[Phase], shape: Shape) -> Self {
        let mu = deployment.mean_service_us.ln() - SIGMA * SIGMA / 2.0;
        let service = LogNormal::new(mu, SIGMA).unwrap_or_else(|_| unreachable!("SIGMA is finite"));
        let stretch = match shape {
            Shape::Long | Shape::ShortOnly => 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0),
            _ => 1.0,
        };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            service,
            capacity: deployment.capacity() / stretch,
            phases: phases.to_vec(),
            shape,
            now_us: 0.0,
        }
    }

    /// Returns the next request.
    pub fn next_arrival(&mut self) -> Arrival {
        loop {
            let arrival = self.draw();
            if !(arrival.long && self.shape == Shape::ShortOnly) {
                return arrival;
            }
        }
    }

    fn draw(&mut self) -> Arrival {
        let at_us = self.now_us as u64;
        let hot = self.hot(at_us);
        let extra = if hot { (HOT_FACTOR - 1.0) / CALLERS as f64 } else { 0.0 };
        let load = self
            .phases
            .iter()
            .rev()
            .find(|phase| phase.from_us <= at_us)
            .map_or(0.0, |phase| phase.load);
        let rate = self.capacity * load * (1.0 + extra);
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.now_us += gap / rate * 1e6;
        let is_extra = hot && self.rng.random_bool(extra / (1.0 + extra));
        let (mut caller, mut key) =
            (self.rng.random_range(0..CALLERS), self.rng.random_range(0..KEYS));
        if is_extra {
            match self.shape {
                Shape::HotCaller(..) => caller = 0,
                _ => key = 0,
            }
        }
        let long = matches!(self.shape, Shape::Long | Shape::ShortOnly)
            && self.rng.random_bool(LONG_SHARE);
        let factor = if long { LONG_FACTOR } else { 1.0 };
        Arrival {
            sent_us: self.now_us as u64,
            caller,
            key,
            service_us: (self.service.sample(&mut self.rng) * factor) as u64,
            long,
            repeatable: !self.rng.random_bool(NON_REPEATABLE_SHARE),
            balancer: self.rng.random(),
        }
    }

    fn hot(&self, at_us: u64) -> bool {
        match self.shape {
            Shape::HotCaller(from_us, to_us) | Shape::HotKey(from_us, to_us) => {
                (from_us..to_us).contains(&at_us)
            }
            _ => false,
        }
    }
}
