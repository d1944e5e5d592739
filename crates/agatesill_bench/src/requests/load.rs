//! Deployments at the brief's sizes and the arrivals that callers offer them.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64Mcg;

/// Upstreams of a deployment.
pub const UPSTREAMS: u32 = 50;

/// Slots of each upstream.
pub const SLOTS: u32 = 8;

/// Spread of the lognormal service times; the 99th percentile is 4.7 times the mean.
const SIGMA: f64 = 0.8;

/// Share of requests that may not be repeated.
const NON_REPEATABLE: f64 = 0.2;

/// Callers and keys of an ordinary load.
pub const CALLERS: u64 = 20;
/// Keys of an ordinary load.
pub const KEYS: u64 = 20;

/// One of the two deployments.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in figures and checks.
    pub name: &'static str,
    /// Entry instances, each with one daemon.
    pub daemons: usize,
    /// Availability zones.
    pub zones: usize,
    /// One way between two zones.
    pub between_zones_us: u64,
    /// One way inside a zone.
    pub within_zone_us: u64,
    /// One way between clients and daemons.
    pub to_clients_us: u64,
    /// Mean time that a request holds a slot.
    pub mean_service_us: f64,
    /// Promised 99th percentile as the caller sees it.
    pub promise_us: u64,
}

impl Deployment {
    /// Requests/s that all slots serve when none is ever idle.
    pub fn capacity(&self) -> f64 {
        f64::from(UPSTREAMS * SLOTS) / (self.mean_service_us / 1e6)
    }

    /// One way between two zones or within one.
    pub fn way_us(&self, from: usize, to: usize) -> u64 {
        if from == to { self.within_zone_us } else { self.between_zones_us }
    }
}

/// Billfold: 3 zones, and the promise of `examples/billfold/config.yaml`.
pub const BILLFOLD: Deployment = Deployment {
    name: "billfold",
    daemons: 6,
    zones: 3,
    between_zones_us: 1_500,
    within_zone_us: 100,
    to_clients_us: 3_000,
    mean_service_us: 45_000.0,
    promise_us: 250_000,
};

/// Carpatia: 4 zones, and the promise of `examples/carpatia/config.yaml`.
pub const CARPATIA: Deployment = Deployment {
    name: "carpatia",
    daemons: 8,
    zones: 4,
    between_zones_us: 500,
    within_zone_us: 100,
    to_clients_us: 3_000,
    mean_service_us: 25_000.0,
    promise_us: 150_000,
};

/// Both deployments.
pub const DEPLOYMENTS: [Deployment; 2] = [BILLFOLD, CARPATIA];

/// Load from a moment on, over capacity.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// When it begins.
    pub from_us: u64,
    /// Offered work over capacity, without what `Shape` adds.
    pub load: f64,
}

/// What is special about the arrivals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// Every caller and key alike.
    Even,
    /// Caller 0 sends ten times its share between the two times.
    HotCaller(u64, u64),
    /// Key 0 is asked for ten times its share between the two times.
    HotKey(u64, u64),
    /// 5% of requests take 50 times as long; the phases' load includes them.
    Long,
    /// The same short requests as `Long` without the long ones.
    LongLeftOut,
}

/// How much more a hot caller or key asks for.
const HOT_FACTOR: f64 = 10.0;

/// Share of long requests and how much longer they take.
const LONG_SHARE: f64 = 0.05;
const LONG_FACTOR: f64 = 50.0;

/// One request as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the caller sends it.
    pub sent_us: u64,
    /// The caller.
    pub caller: u64,
    /// The key.
    pub key: u64,
    /// Time that it holds a slot at a healthy upstream.
    pub service_us: u64,
    /// Whether it is one of the long ones.
    pub long: bool,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Draw of the balancer.
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
    /// Prepares the arrivals.
    pub fn new(seed: u64, deployment: &Deployment, phases: &[Phase], shape: Shape) -> Self {
        let mu = deployment.mean_service_us.ln() - SIGMA * SIGMA / 2.0;
        let service = LogNormal::new(mu, SIGMA).unwrap_or_else(|_| unreachable!("sigma is finite"));
        let stretch = match shape {
            Shape::Long | Shape::LongLeftOut => 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0),
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

    /// The next request.
    pub fn next_arrival(&mut self) -> Arrival {
        loop {
            let arrival = self.draw();
            if !(arrival.long && self.shape == Shape::LongLeftOut) {
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
        let extra_one = hot && self.rng.random_bool(extra / (1.0 + extra));
        let (mut caller, mut key) =
            (self.rng.random_range(0..CALLERS), self.rng.random_range(0..KEYS));
        if extra_one {
            match self.shape {
                Shape::HotCaller(..) => caller = 0,
                _ => key = 0,
            }
        }
        let long = matches!(self.shape, Shape::Long | Shape::LongLeftOut)
            && self.rng.random_bool(LONG_SHARE);
        let factor = if long { LONG_FACTOR } else { 1.0 };
        Arrival {
            sent_us: self.now_us as u64,
            caller,
            key,
            service_us: (self.service.sample(&mut self.rng) * factor) as u64,
            long,
            repeatable: !self.rng.random_bool(NON_REPEATABLE),
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
