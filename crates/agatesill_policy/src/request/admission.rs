//! How many requests may wait, and which cannot finish in time.
//!
//! Load pattern: bursts and lasting overload. Without a bound the queue grows until every answer
//! is late and the slots are spent on work that nobody waits for any more.
//!
//! The queue is kept so short that its wait fits between what the service takes and what was
//! promised, and that whoever is refused learns it at once. A short queue is enough: many slots
//! finish requests all the time, so a free one is always refilled from a few waiting requests.

use super::ServiceLimits;
use super::histogram::Histogram;

/// Part of the slack between the promise and the 99th percentile of exchanges that the longest
/// wait may use. Under overload every request waits that long; the rest covers the error of the
/// measured percentile.
const WAIT_PER_SLACK: f64 = 0.5;

/// Way between client and daemon, there and back: 3 ms each in both deployments of the brief. The
/// promise is measured at the client.
const CLIENT_WAYS_US: u64 = 6_000;

/// Requests that may wait at least.
const MIN_QUEUE: usize = 4;

/// Requests that may wait at least, over the square root of the slots: arrivals during one
/// exchange vary by about that much, and a queue of three times that loses less than 1 in 200 of them
/// at 80% load even where a few long requests make the drain slow.
const MIN_QUEUE_PER_DEVIATION: f64 = 3.0;

/// Assumed duration of an exchange before any was measured, as part of the promise.
const UNMEASURED_PER_PROMISE: u64 = 8;

/// Samples from which the measured durations are used.
const MIN_SAMPLES: u32 = 16;

/// Samples between two looks at the quantiles: a look costs about 200 ns, 3 ns a request.
const LOOK_EVERY_SAMPLES: u32 = 64;

/// What is known of the durations of exchanges.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    histogram: Histogram,
    since_look: u32,
    median_us: u64,
    p95_us: u64,
    p99_us: u64,
}

impl Durations {
    /// Takes in one answered exchange.
    pub fn record(&mut self, took_us: u64) {
        self.histogram.record(took_us);
        self.since_look += 1;
        let few = self.histogram.samples() < LOOK_EVERY_SAMPLES;
        if self.since_look >= LOOK_EVERY_SAMPLES || few {
            self.since_look = 0;
            self.median_us = self.histogram.quantile_us(0.5);
            self.p95_us = self.histogram.quantile_us(0.95);
            self.p99_us = self.histogram.quantile_us(0.99);
        }
    }

    /// Whether enough was measured to judge by.
    pub fn measured(&self, samples: u32) -> bool {
        self.histogram.samples() >= samples
    }

    /// Median duration; assumed from the promise before enough was measured.
    pub fn median_us(&self, promise_us: u64) -> u64 {
        if self.measured(MIN_SAMPLES) {
            self.median_us
        } else {
            promise_us / UNMEASURED_PER_PROMISE
        }
    }

    /// 95th percentile; only meaningful once measured.
    pub fn p95_us(&self) -> u64 {
        self.p95_us
    }

    fn mean_us(&self, promise_us: u64) -> f64 {
        if self.measured(MIN_SAMPLES) {
            self.histogram.mean_us()
        } else {
            (promise_us / UNMEASURED_PER_PROMISE) as f64
        }
    }

    fn p99_us(&self) -> u64 {
        if self.measured(MIN_SAMPLES) { self.p99_us } else { 0 }
    }
}

/// How long the last request in the queue may have to wait.
pub fn wait_budget_us(durations: &Durations, promise_us: u64) -> f64 {
    let slack_us = promise_us.saturating_sub(durations.p99_us() + CLIENT_WAYS_US);
    slack_us as f64 * WAIT_PER_SLACK
}

/// How many requests may wait when `slots` serve them.
pub fn queue_limit(durations: &Durations, limits: &ServiceLimits, slots: u32) -> usize {
    if limits.queue_requests > 0 {
        return limits.queue_requests as usize;
    }
    let wait_us = wait_budget_us(durations, limits.promise_us);
    let requests = wait_us * f64::from(slots) / durations.mean_us(limits.promise_us).max(1.0);
    let least = f64::from(slots).sqrt() * MIN_QUEUE_PER_DEVIATION;
    (requests.max(least) as usize).max(MIN_QUEUE)
}

/// Expected wait behind `ahead` requests when `slots` serve them.
pub fn expected_wait_us(
    durations: &Durations,
    limits: &ServiceLimits,
    ahead: usize,
    slots: u32,
) -> u64 {
    let mean_us = durations.mean_us(limits.promise_us);
    (mean_us * ahead as f64 / f64::from(slots.max(1))) as u64
}

/// When a request that arrives now is refused if it still waits: late enough to be served in
/// time, early enough that the refusal is of use.
pub fn expires_us(
    durations: &Durations,
    limits: &ServiceLimits,
    now_us: u64,
    deadline_us: u64,
) -> u64 {
    let promise_us = limits.promise_us;
    let median_us = durations.median_us(promise_us);
    let by_promise_us = now_us + promise_us.saturating_sub(median_us).max(promise_us / 4);
    by_promise_us.min(deadline_us.saturating_sub(median_us).max(now_us))
}
