//! Queue length limits, and detection of requests that cannot finish in time.
//!
//! Handles bursts and sustained overload. Without a bound the queue grows until every response is
//! late and the slots run requests whose callers no longer wait.
//!
//! The queue is short enough that the queueing delay fits between the service time and the latency
//! objective, and that a refusal reaches its caller at once. A short queue suffices: with many
//! slots, requests finish all the time, so a few queued requests are enough to refill a free slot.

use super::ServiceLimits;
use super::histogram::Histogram;

/// Fraction of the slack between the latency objective and the 99th percentile of exchanges that
/// the longest queueing delay may use. Under overload every request waits that long; the remaining
/// slack covers the error of the measured percentile.
const MAX_WAIT_PER_SLACK: f64 = 0.5;

/// Network round trip between client and daemon: 3 ms each way in both target deployments. The
/// latency objective applies at the client.
const CLIENT_ROUND_TRIP_US: u64 = 6_000;

/// Minimum queue length.
const MIN_QUEUE_REQUESTS: usize = 4;

/// Minimum queue length as a multiple of the square root of the slots. That root is about the
/// standard deviation of the arrivals during one exchange. A queue of three times that refuses
/// fewer than 1 in 200 arrivals at 80% load, even if a few long requests slow the drain.
const MIN_QUEUE_PER_SQRT_SLOTS: f64 = 3.0;

/// Divisor of the latency objective that gives the assumed duration of an exchange until enough
/// exchanges are measured.
const UNMEASURED_DURATION_DIVISOR: u64 = 8;

/// Samples needed before the measured durations replace the assumed ones.
const MIN_SAMPLES: u32 = 16;

/// Samples between two updates of the quantiles. An update costs about 200 ns, which is 3 ns per
/// request.
const QUANTILE_UPDATE_SAMPLES: u32 = 64;

/// Statistics of the durations of answered exchanges.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    histogram: Histogram,
    samples_since_update: u32,
    median_us: u64,
    p95_us: u64,
    p99_us: u64,
}

impl Durations {
    /// Records the duration of one answered exchange.
    pub fn record(&mut self, took_us: u64) {
        self.histogram.record(took_us);
        self.samples_since_update += 1;
        let is_warming_up = self.histogram.samples() < QUANTILE_UPDATE_SAMPLES;
        if self.samples_since_update >= QUANTILE_UPDATE_SAMPLES || is_warming_up {
            self.samples_since_update = 0;
            self.median_us = self.histogram.quantile_us(0.5);
            self.p95_us = self.histogram.quantile_us(0.95);
            self.p99_us = self.histogram.quantile_us(0.99);
        }
    }

    /// Whether at least `samples` durations are recorded.
    pub fn has_samples(&self, samples: u32) -> bool {
        self.histogram.samples() >= samples
    }

    /// Median duration; derived from the latency objective until enough exchanges are measured.
    pub fn median_us(&self, promise_us: u64) -> u64 {
        if self.has_samples(MIN_SAMPLES) {
            self.median_us
        } else {
            promise_us / UNMEASURED_DURATION_DIVISOR
        }
    }

    /// 95th percentile of the durations; meaningful only with enough samples.
    pub fn p95_us(&self) -> u64 {
        self.p95_us
    }

    fn mean_us(&self, promise_us: u64) -> f64 {
        if self.has_samples(MIN_SAMPLES) {
            self.histogram.mean_us()
        } else {
            (promise_us / UNMEASURED_DURATION_DIVISOR) as f64
        }
    }

    fn p99_us(&self) -> u64 {
        if self.has_samples(MIN_SAMPLES) { self.p99_us } else { 0 }
    }
}

/// Maximum queueing delay of the last request in the queue.
pub fn max_wait_us(durations: &Durations, promise_us: u64) -> f64 {
    let slack_us = promise_us.saturating_sub(durations.p99_us() + CLIENT_ROUND_TRIP_US);
    slack_us as f64 * MAX_WAIT_PER_SLACK
}

/// Maximum queue length if `slots` slots serve the queue.
pub fn queue_limit(durations: &Durations, limits: &ServiceLimits, slots: u32) -> usize {
    if limits.queue_requests > 0 {
        return limits.queue_requests as usize;
    }
    let wait_us = max_wait_us(durations, limits.promise_us);
    let requests = wait_us * f64::from(slots) / durations.mean_us(limits.promise_us).max(1.0);
    let min_queue = f64::from(slots).sqrt() * MIN_QUEUE_PER_SQRT_SLOTS;
    (requests.max(min_queue) as usize).max(MIN_QUEUE_REQUESTS)
}

/// Expected queueing delay behind `ahead` requests if `slots` slots serve the queue.
pub fn expected_wait_us(
    durations: &Durations,
    limits: &ServiceLimits,
    ahead: usize,
    slots: u32,
) -> u64 {
    let mean_us = durations.mean_us(limits.promise_us);
    (mean_us * ahead as f64 / f64::from(slots.max(1))) as u64
}

/// Time at which a request that arrives now is refused if it is still queued.
///
/// The time leaves a median exchange before the latency objective and the deadline, so that a
/// served request finishes in time and a refused caller can still react.
pub fn expires_us(
    durations: &Durations,
    limits: &ServiceLimits,
    now_us: u64,
    deadline_us: u64,
) -> u64 {
    let promise_us = limits.promise_us;
    let median_us = durations.median_us(promise_us);
    let objective_expiry_us = now_us + promise_us.saturating_sub(median_us).max(promise_us / 4);
    objective_expiry_us.min(deadline_us.saturating_sub(median_us).max(now_us))
}
