//! Share of the jobs of one kind that is accepted under shortage.
//!
//! Load pattern: hundreds of daemons with the same view, which is as old as the queue of urgent work
//! is long. If each accepted everything below a limit and nothing above it, the queue would empty
//! and overflow in turn. Each daemon therefore derives the same share from the same views. The share
//! falls while the queue grows or is too long, and rises while it shrinks or is too short. The
//! growth is what damps it: the share settles where as much work is accepted as ends. Jobs that
//! return as they were asked to are accepted with a larger share; they too let the queue grow, and
//! thereby leave less for newcomers.

use super::KindLoad;

/// Decrease of the share's logarithm per second of drain by which the queue grows. The reaction to a
/// view arrives one view later, so a larger value would not settle.
const GROWTH_GAIN: f64 = 2.0;

/// Change of the share's logarithm per second while the queue is empty.
const LENGTH_GAIN: f64 = 0.6;

/// Largest relative excess of the queue that is considered. One view that shows a jam does not
/// close the door for long.
const MAX_EXCESS: f64 = 3.0;

/// Smallest share. Some jobs are always tried, so that a wrong forecast is noticed.
const MIN_SHARE: f64 = 0.02;

/// Longest time between two views whose difference says how the queue grows.
const MAX_VIEW_GAP_MS: f64 = 2_000.0;

/// Weight of a new job in the mean aim.
const AIM_WEIGHT: f64 = 0.1;

/// Time by which a refused job's chance grows as if it were one more caller.
const SENIORITY_MS: f64 = 4_000.0;

/// The share of accepted jobs of one kind at one service.
#[derive(Clone, Debug, Default)]
pub(super) struct AcceptShare {
    /// Logarithm of the share; 0 while all jobs are accepted.
    log_share: f64,
    /// Mean aim and mean queue length of the jobs offered lately; 0 before the first.
    aim_ms: f64,
    queue_ms: f64,
    /// Epoch, time and queue length of the last view.
    last: Option<(u64, u64, f64)>,
}

impl AcceptShare {
    /// Takes the aim of an offered job into account.
    pub fn offered(&mut self, aim_ms: f64, queue_ms: f64) {
        let weight = if self.aim_ms > 0.0 { AIM_WEIGHT } else { 1.0 };
        self.aim_ms += (aim_ms - self.aim_ms) * weight;
        self.queue_ms += (queue_ms - self.queue_ms) * weight;
    }

    /// Adapts the share to a new view.
    pub fn view_received(&mut self, load: &KindLoad, epoch: u64, as_of_us: u64) {
        let ahead_core_ms = load.ahead_core_ms as f64;
        let last = self.last.replace((epoch, as_of_us, ahead_core_ms));
        if load.drain_milli == 0 || self.aim_ms <= 0.0 {
            self.log_share = 0.0;
            return;
        }
        let drain_cores = load.drain_milli as f64 / 1_000.0;
        let forecast_ms = ahead_core_ms / drain_cores;
        if self.log_share >= 0.0 && forecast_ms <= self.aim_ms {
            return;
        }
        let Some((last_epoch, last_us, last_core_ms)) = last else { return };
        let gap_ms = as_of_us.saturating_sub(last_us) as f64 / 1_000.0;
        if last_epoch != epoch || gap_ms > MAX_VIEW_GAP_MS {
            return;
        }
        let growth_s = (ahead_core_ms - last_core_ms) / drain_cores / 1_000.0;
        let excess = (forecast_ms / self.queue_ms - 1.0).min(MAX_EXCESS);
        let change = -GROWTH_GAIN * growth_s - LENGTH_GAIN * excess * gap_ms / 1_000.0;
        self.log_share = (self.log_share + change).clamp(MIN_SHARE.ln(), 0.0);
    }

    /// Share of newcomers that are accepted.
    pub fn of_newcomers(&self) -> f64 {
        self.log_share.exp()
    }

    /// Share of jobs that are accepted among those that return as they were asked to.
    pub fn of_returning(&self, since_first_refusal_ms: u64) -> f64 {
        (self.log_share / (1.0 + since_first_refusal_ms as f64 / SENIORITY_MS)).exp()
    }
}
