//! Rate at which a daemon accepts jobs of one kind under shortage.
//!
//! Load pattern: hundreds of daemons with the same view, which is as old as the queue of urgent work
//! is long. If each accepted everything below a limit and nothing above it, the queue would empty
//! and overflow in turn. Once the queue is longer than its aim, each daemon therefore accepts its
//! part of the work that ends, by a token bucket, and a little more or less as the queue is shorter
//! or longer than it should be. The view corrects the rate; it doesn't open or close the door.
//!
//! Callers that return as they were asked to take from the bucket what newcomers have to leave. Work
//! of a queue that is within its share overdraws it, so that others wait for that work.

use crate::batch::TokenBucket;

use crate::fleet::TaskKind;

use super::ServiceLoad;

/// Time in which an error of the queue's length is worked off. A view is delivered up to half a
/// second after what it shows, so a shorter time would not settle.
const CORRECTION_MS: f64 = 500.0;

/// Smallest and largest correction of the rate by the length of the queue.
const CORRECTION_RANGE: (f64, f64) = (-0.8, 0.3);

/// Change of the rate's logarithm per second while the queue is empty. An empty queue shows that
/// callers offer less than is expected, or that more work ends.
const GROWTH_PER_S: f64 = 0.2;

/// Change of the rate's logarithm per second while all CPU is free.
const FREE_GROWTH_PER_S: f64 = 0.4;

/// Share of free CPU from which a shortage ends also if refused callers are still to return.
const AMPLE_SHARE: f64 = 0.5;

/// Largest rate over the daemon's part of the drain. The shortage is over when it is reached and no
/// refused caller is still to return.
const MAX_RATE: f64 = 1.5;

/// Smallest rate over the daemon's part of the drain.
const MIN_RATE: f64 = 0.5;

/// Time for which an unused rate may be saved.
const BURST_S: f64 = 0.25;

/// Part of the burst that newcomers leave to callers that return as they were asked to.
const RESERVED_SHARE: f64 = 0.5;

/// Time for which a daemon that gets its first job remembers that the queue was too long.
const RECENT_S: f64 = 4.0;

/// Weight of a new job in the mean aim.
const AIM_WEIGHT: f64 = 0.1;

/// The rate of one kind of work at one service.
#[derive(Clone, Debug, Default)]
pub(super) struct AcceptRate {
    /// Present while work is short of CPU.
    limit: Option<RateLimit>,
    /// Mean aim and mean queue length of the jobs offered lately; 0 before the first.
    aim_ms: f64,
    queue_ms: f64,
    /// Longest queue of the last seconds without a job, decaying.
    recent_ms: f64,
    viewed_us: u64,
}

#[derive(Clone, Debug, Default)]
struct RateLimit {
    bucket: TokenBucket,
    is_bucket_primed: bool,
    /// Logarithm of the rate over the drain, without the correction.
    log_rate: f64,
    correction: f64,
}

impl AcceptRate {
    /// Takes the aim of an offered job into account.
    pub fn offered(&mut self, aim_ms: f64, queue_ms: f64) {
        let weight = if self.aim_ms > 0.0 { AIM_WEIGHT } else { 1.0 };
        self.aim_ms += (aim_ms - self.aim_ms) * weight;
        self.queue_ms += (queue_ms - self.queue_ms) * weight;
        self.limit_from(self.recent_ms);
        self.recent_ms = 0.0;
    }

    /// Adapts the rate to a new view.
    pub fn view_received(
        &mut self,
        service: &ServiceLoad,
        kind: TaskKind,
        is_any_promised: bool,
        as_of_us: u64,
    ) {
        let load = service.kind(kind);
        let free_share = service.free_share(kind);
        let elapsed_s = as_of_us.saturating_sub(self.viewed_us) as f64 / 1e6;
        self.viewed_us = as_of_us;
        if load.drain_milli == 0 {
            self.limit = None;
            return;
        }
        let forecast_ms = load.ahead_core_ms as f64 * 1_000.0 / load.drain_milli as f64;
        if self.aim_ms <= 0.0 {
            self.recent_ms = forecast_ms.max(self.recent_ms * (-elapsed_s / RECENT_S).exp());
            return;
        }
        let is_too_long = forecast_ms > self.aim_ms;
        self.limit_from(forecast_ms);
        let Some(limit) = &mut self.limit else { return };
        let shortfall = (1.0 - forecast_ms / self.queue_ms).max(-1.0);
        let growth_per_s = GROWTH_PER_S * shortfall + FREE_GROWTH_PER_S * free_share;
        limit.log_rate += growth_per_s * elapsed_s.min(1.0);
        let max_log_rate = if is_too_long { 0.0 } else { MAX_RATE.ln() };
        limit.log_rate = limit.log_rate.clamp(MIN_RATE.ln(), max_log_rate);
        let (min, max) = CORRECTION_RANGE;
        limit.correction = ((self.queue_ms - forecast_ms) / CORRECTION_MS).clamp(min, max);
        let is_over = !is_any_promised || free_share >= AMPLE_SHARE;
        if limit.log_rate >= MAX_RATE.ln() && is_over {
            self.limit = None;
        }
    }

    /// Limits the rate from now on if the queue is expected to be longer than its aim.
    pub fn limit_from(&mut self, forecast_ms: f64) {
        if self.limit.is_none() && forecast_ms > self.aim_ms {
            self.limit = Some(RateLimit::default());
        }
    }

    /// Whether the rate admits a job now. `drain_per_s` is the daemon's part of the drain in
    /// core-milliseconds per second, and `draw` spreads the first jobs of the daemons.
    pub fn admits(
        &mut self,
        core_ms: f64,
        drain_per_s: f64,
        is_returning: bool,
        draw: f64,
        now_us: u64,
    ) -> bool {
        let Some(limit) = &mut self.limit else { return true };
        let per_s = drain_per_s * limit.log_rate.exp() * (1.0 + limit.correction);
        let burst = (per_s * BURST_S).max(core_ms);
        limit.bucket.refill(now_us / 1_000, per_s, burst);
        if !limit.is_bucket_primed {
            limit.is_bucket_primed = true;
            limit.bucket.overdraw(burst * (1.0 - RESERVED_SHARE) + core_ms * draw);
        }
        let reserved = if is_returning { 0.0 } else { burst * RESERVED_SHARE };
        limit.bucket.balance() > reserved
    }

    /// Charges an accepted job.
    pub fn accepted(&mut self, core_ms: f64) {
        if let Some(limit) = &mut self.limit {
            limit.bucket.overdraw(core_ms);
        }
    }
}
