//! Adaptive limit on the requests in flight while contention breaks the latency objective.
//!
//! Batch work colocated with the upstreams slows every slot, the more so the more slots are busy.
//! The declared slots then exceed the actual capacity of the machines. Without a limit the daemon
//! keeps all slots busy and every response is late.
//!
//! The limit decreases only if both conditions hold in a window: the tail latency exceeds the
//! objective, and the median is well above its baseline. A few long requests raise the tail but
//! not the median. A service that is always slower than its objective gains nothing from a limit.

use super::histogram::Histogram;

/// Length of a window. It holds a few hundred responses at the target request rates. At four
/// windows per second, the limit is halved in about 2 s.
const WINDOW_US: u64 = 250_000;

/// Minimum responses in a window; shorter windows are extended. A 95th percentile needs at least
/// two responses beyond it.
const MIN_WINDOW_SAMPLES: u32 = 40;

/// Ratio of the window's median to the baseline median above which contention is assumed. The
/// median of 40 lognormal durations (sigma 0.8) exceeds 1.6 times the true median in about 1 window
/// of 5,000.
const CONTENTION_RATIO: f64 = 1.6;

/// Ratio below which the limit increases again. The gap to [`CONTENTION_RATIO`] is the hysteresis.
const RECOVERY_RATIO: f64 = 1.3;

/// Consecutive contended windows before the limit decreases.
const CONTENDED_WINDOWS_BEFORE_DECREASE: u8 = 2;

/// Factor of one decrease of the limit.
const DECREASE_FACTOR: f64 = 0.9;

/// Step of one increase of the limit.
const INCREASE_STEP: f64 = 0.05;

/// Minimum share of the slots that stays usable. Batch work is throttled within seconds; until
/// then, half of the slots at normal speed serve more requests than all of them at half speed.
const MIN_SHARE: f64 = 0.5;

/// Additive-increase, multiplicative-decrease limit on the share of the daemon's slots in use.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    share: f64,
    window: Histogram,
    window_ends_us: u64,
    baseline_median_us: f64,
    contended_windows: u8,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            share: 1.0,
            window: Histogram::default(),
            window_ends_us: 0,
            baseline_median_us: 0.0,
            contended_windows: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Share of the slots that may be in use, from 0.5 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Records the duration of one answered exchange.
    pub fn record(&mut self, now_us: u64, took_us: u64, promise_us: u64) {
        if now_us >= self.window_ends_us {
            self.close_window(promise_us);
            self.window_ends_us = now_us + WINDOW_US;
        }
        self.window.record(took_us);
    }

    fn close_window(&mut self, promise_us: u64) {
        if self.window.samples() < MIN_WINDOW_SAMPLES {
            return;
        }
        let median_us = self.window.quantile_us(0.5) as f64;
        let late = self.window.quantile_us(0.95) > promise_us;
        self.window.clear();
        if self.baseline_median_us == 0.0 {
            self.baseline_median_us = median_us;
        }
        let ratio = median_us / self.baseline_median_us;
        self.contended_windows =
            if late && ratio > CONTENTION_RATIO { self.contended_windows + 1 } else { 0 };
        if self.contended_windows >= CONTENDED_WINDOWS_BEFORE_DECREASE {
            self.share = (self.share * DECREASE_FACTOR).max(MIN_SHARE);
            self.contended_windows = 0;
        } else if ratio < RECOVERY_RATIO {
            self.share = (self.share + INCREASE_STEP).min(1.0);
        }
        // The baseline follows a faster median quickly and a slower one over minutes.
        let weight = if ratio < 1.0 { 0.1 } else { 0.002 };
        self.baseline_median_us += (median_us - self.baseline_median_us) * weight;
    }
}
