//! Order in which refused callers return.
//!
//! Load pattern: for half a minute, more callers are refused than accepted, and each tries about
//! four more times. With a constant Retry-After all of them return at once, and with a random one
//! the last to come is as likely to be served as the first. Each refused caller is asked to return
//! when the work that was refused before it, and that is not larger, can have been done.
//!
//! A daemon knows only its own refusals and extrapolates from them what the fleet refused.

use std::collections::VecDeque;

/// Shortest Retry-After: a caller that returns within the age of a view would meet the same load.
pub(super) const MIN_RETRY_AFTER_MS: f64 = 1_000.0;

/// Longest Retry-After. A caller that tries four more times thus covers half a minute.
pub(super) const MAX_RETRY_AFTER_MS: f64 = 8_000.0;

/// Share of a Retry-After by which callers are spread.
const SPREAD: f64 = 0.25;

/// Number of callers remembered. Beyond it the earliest are forgotten.
const MAX_PROMISES: usize = 1_024;

/// A caller that was asked to return.
#[derive(Clone, Copy, Debug)]
struct Promise {
    due_us: u64,
    amount: f64,
}

/// The callers that were asked to return for one kind of work at one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Promises {
    promises: VecDeque<Promise>,
}

impl Promises {
    /// Returns when a refused caller should return, in milliseconds, and remembers it.
    /// `time_until_served_ms` tells when its job fits if an amount, in a number of jobs, returns before
    /// it, and `position` places the caller within the spread, from 0 to 1.
    pub fn ask_to_return(
        &mut self,
        amount: f64,
        time_until_served_ms: impl Fn(f64, f64) -> f64,
        position: f64,
        now_us: u64,
    ) -> u32 {
        self.promises.retain(|promise| promise.due_us > now_us);
        let (before, before_jobs) = self
            .amounts()
            .filter(|other| *other <= amount)
            .fold((0.0, 0.0), |(sum, jobs), other| (sum + other, jobs + 1.0));
        let max_ms = MAX_RETRY_AFTER_MS / (1.0 + SPREAD);
        let base_ms = time_until_served_ms(before, before_jobs).clamp(MIN_RETRY_AFTER_MS, max_ms);
        let retry_after_ms = base_ms * (1.0 + SPREAD * position);
        if self.promises.len() == MAX_PROMISES {
            self.promises.pop_front();
        }
        let due_us = now_us + (retry_after_ms * 1_000.0) as u64;
        self.promises.push_back(Promise { due_us, amount });
        retry_after_ms as u32
    }

    /// Amount that callers will return with until a time.
    pub fn due_until(&self, now_us: u64, until_us: u64) -> f64 {
        let is_due = |promise: &&Promise| promise.due_us > now_us && promise.due_us <= until_us;
        self.promises.iter().filter(is_due).map(|promise| promise.amount).sum()
    }

    fn amounts(&self) -> impl Iterator<Item = f64> {
        self.promises.iter().map(|promise| promise.amount)
    }
}
