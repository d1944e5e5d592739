//! Fewer requests in flight while contention at the upstreams breaks the promise.
//!
//! Load pattern: batch work beside the upstreams makes every slot slower the more of them are
//! busy, so that the declared slots promise more than the floor holds. Without a limit the daemon
//! keeps all slots busy and every answer is late.
//!
//! The limit falls only where both signs show: the window's tail is beyond the promise, and its
//! median is well above the usual one. A few long requests raise the tail but not the median, and
//! a service that is simply slower than it was sold does not get faster by cutting.

use super::histogram::Histogram;

/// Length of a window: some hundred answers at the brief's rates, and four to a second, so that
/// a limit is halved in about 2 s.
const WINDOW_US: u64 = 250_000;

/// Answers below which a window says nothing: a 95th percentile needs at least two beyond it.
const MIN_SAMPLES: u32 = 40;

/// Median over the usual median from which contention is assumed. The median of 40 lognormal
/// answers (sigma 0.8) is beyond 1.6 times the true one in about 1 window of 5,000.
const CONTENDED_RATIO: f64 = 1.6;

/// Ratio below which the limit grows again; the gap to the other is the hysteresis.
const RELAXED_RATIO: f64 = 1.3;

/// Contended windows in a row before a cut.
const WINDOWS_BEFORE_CUT: u8 = 2;

/// Factor of one cut and step of one growth.
const CUT: f64 = 0.9;
const GROWTH: f64 = 0.05;

/// Least share of the slots that stays in use. Batch work is throttled within seconds; until then
/// half of the slots at their usual speed serve more than all of them at half of it.
const LEAST: f64 = 0.5;

/// The share of the daemon's slots that may be in use.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    share: f64,
    window: Histogram,
    window_ends_us: u64,
    usual_median_us: f64,
    contended: u8,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            share: 1.0,
            window: Histogram::default(),
            window_ends_us: 0,
            usual_median_us: 0.0,
            contended: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Share of the slots that may be in use, from 0.5 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Takes in the duration of one answered exchange.
    pub fn record(&mut self, now_us: u64, took_us: u64, promise_us: u64) {
        if now_us >= self.window_ends_us {
            self.close_window(promise_us);
            self.window_ends_us = now_us + WINDOW_US;
        }
        self.window.record(took_us);
    }

    fn close_window(&mut self, promise_us: u64) {
        if self.window.samples() < MIN_SAMPLES {
            return;
        }
        let median_us = self.window.quantile_us(0.5) as f64;
        let late = self.window.quantile_us(0.95) > promise_us;
        self.window.clear();
        if self.usual_median_us == 0.0 {
            self.usual_median_us = median_us;
        }
        let ratio = median_us / self.usual_median_us;
        self.contended = if late && ratio > CONTENDED_RATIO { self.contended + 1 } else { 0 };
        if self.contended >= WINDOWS_BEFORE_CUT {
            self.share = (self.share * CUT).max(LEAST);
            self.contended = 0;
        } else if ratio < RELAXED_RATIO {
            self.share = (self.share + GROWTH).min(1.0);
        }
        // The usual median follows a faster floor at once and a slower one over minutes.
        let pace = if ratio < 1.0 { 0.1 } else { 0.002 };
        self.usual_median_us += (median_us - self.usual_median_us) * pace;
    }
}
