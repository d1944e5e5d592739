//! Limits the calls of one process to the service: a rate limit, a bound on calls in flight,
//! priority for urgent calls, and an exponential, jittered back-off while calls fail.
//!
//! Without the back-off, every daemon's ledger would retry its commit every 100 ms during an
//! outage, and all ledgers would retry at once when the service recovers. With it, one call at a
//! time probes the service; the others wait for the outcome of the probe, and then for the rate
//! limit.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatesill_wire::prelude::*;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::dependency::Dependency;

/// Maximum number of calls in flight, not counting watches. At 2 ms per call this is far above any
/// rate limit; only a slow service reaches it.
const MAX_IN_FLIGHT_CALLS: u32 = 32;

/// Maximum number of waiting callers; further calls are rejected immediately.
const MAX_WAITING_CALLS: u32 = 256;

/// Maximum wait before a call is sent; after a longer wait the caller has given up.
const WAIT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Back-off after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Minimum wait for the rate limit, so that rounding cannot cause a busy loop.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Maximum back-off before jitter. A lease of 5 s must survive an outage of 2 s, so recovery has to
/// be detected well within the remaining second.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// The service counts as available when a call was answered within this time.
const RECENT_ANSWER: Duration = Duration::from_millis(300);

/// Unused rate limit that may accumulate for a burst, in seconds.
const MAX_BURST_S: f64 = 2.0;

/// Rate limit that urgent calls may use in advance, in seconds, so that a burst of reads never
/// costs a lease.
const URGENT_OVERDRAFT_S: f64 = 1.0;

/// Scheduling class of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallClass {
    /// Leases and ledger records, which keep running work in place.
    Urgent,
    /// All other calls.
    Normal,
    /// A watch: it counts against the rate limit, but not as a call in flight.
    Watch,
    /// A call of a loop that limits its own rate, also while calls fail, and whose result has a
    /// deadline: nothing delays it.
    Prompt,
}

impl CallClass {
    /// Whether calls of this class are limited in number and wait for the outcome of a probe.
    fn is_pooled(self) -> bool {
        matches!(self, Self::Urgent | Self::Normal)
    }
}

#[derive(Debug)]
struct State {
    tokens: f64,
    refilled_at: Instant,
    in_flight: u32,
    waiting: u32,
    urgent_waiting: u32,
    answered: Option<Instant>,
    /// When a call last failed.
    failed: Instant,
    backoff_until: Instant,
    is_probing: bool,
}

/// The call limiter of one process.
#[derive(Debug)]
pub(super) struct CallLimiter {
    calls_per_s: f64,
    state: Mutex<State>,
    changed: Notify,
    service: Dependency,
}

/// Permission to make one call. The caller reports the outcome with [`Permit::done`].
#[derive(Debug)]
pub(super) struct Permit<'a> {
    limiter: &'a CallLimiter,
    class: CallClass,
    is_probe: bool,
    sent: Instant,
}

/// Counts a waiting caller until it stops waiting, also by cancellation.
struct Waiter<'a> {
    limiter: &'a CallLimiter,
    class: CallClass,
}

impl CallLimiter {
    /// A limiter with a rate limit of `calls_per_s`.
    pub(super) fn new(calls_per_s: u32) -> Self {
        let calls_per_s = f64::from(calls_per_s);
        let now = Instant::now();
        let state = State {
            tokens: calls_per_s * MAX_BURST_S,
            refilled_at: now,
            in_flight: 0,
            waiting: 0,
            urgent_waiting: 0,
            answered: None,
            failed: now,
            backoff_until: now,
            is_probing: false,
        };
        Self {
            calls_per_s,
            state: Mutex::new(state),
            changed: Notify::new(),
            service: Dependency::new("store"),
        }
    }

    /// Waits until a call of this class may be sent.
    pub(super) async fn acquire(&self, class: CallClass) -> Result<Permit<'_>, Error> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let _waiter = self.start_waiting(class)?;
        loop {
            let changed = self.changed.notified();
            let wait = match self.try_acquire(class) {
                Ok(permit) => return Ok(permit),
                Err(wait) => wait,
            };
            let now = Instant::now();
            if now >= deadline {
                let detail = "not sent: the service is failing or the rate limit is exhausted";
                return Err(Error::new(ErrorKind::StoreUnavailable, detail).retry_after(1_000));
            }
            let next = (now + wait).min(deadline);
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(next) => {}
            }
        }
    }

    fn start_waiting(&self, class: CallClass) -> Result<Waiter<'_>, Error> {
        let mut state = self.lock();
        if state.waiting >= MAX_WAITING_CALLS && class != CallClass::Prompt {
            let detail = format!("not sent: {MAX_WAITING_CALLS} calls are already waiting");
            return Err(Error::new(ErrorKind::StoreUnavailable, detail).retry_after(1_000));
        }
        state.waiting += 1;
        state.urgent_waiting += u32::from(class == CallClass::Urgent);
        Ok(Waiter { limiter: self, class })
    }

    /// Returns a permit, or how long to wait before the next attempt.
    fn try_acquire(&self, class: CallClass) -> Result<Permit<'_>, Duration> {
        let now = Instant::now();
        let mut state = self.lock();
        let elapsed_s = now.saturating_duration_since(state.refilled_at).as_secs_f64();
        state.tokens =
            (state.tokens + elapsed_s * self.calls_per_s).min(self.calls_per_s * MAX_BURST_S);
        state.refilled_at = now;
        if now < state.backoff_until && class != CallClass::Prompt {
            return Err(state.backoff_until - now);
        }
        let min_tokens = match class {
            CallClass::Urgent => 1.0 - URGENT_OVERDRAFT_S * self.calls_per_s,
            CallClass::Prompt => f64::NEG_INFINITY,
            CallClass::Normal | CallClass::Watch => 1.0,
        };
        if state.tokens < min_tokens {
            let wait = Duration::from_secs_f64((min_tokens - state.tokens) / self.calls_per_s);
            return Err(wait.max(MIN_WAIT));
        }
        let is_probe = self.service.consecutive_failures() > 0 && class.is_pooled();
        let must_yield = class == CallClass::Normal && state.urgent_waiting > 0;
        let at_capacity = class.is_pooled() && state.in_flight >= MAX_IN_FLIGHT_CALLS;
        if (is_probe && state.is_probing) || must_yield || at_capacity {
            return Err(WAIT_TIMEOUT);
        }
        state.tokens -= 1.0;
        state.in_flight += u32::from(class.is_pooled());
        state.is_probing |= is_probe;
        Ok(Permit { limiter: self, class, is_probe, sent: now })
    }

    /// Shortens the current back-off to the initial one, when another process has reported that the
    /// service is available again. It does not end immediately, because many processes may report
    /// so while only this process is disconnected.
    pub(super) fn shorten_backoff(&self) {
        let mut state = self.lock();
        state.backoff_until = state.backoff_until.min(state.failed + INITIAL_BACKOFF);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Availability of the service as seen by this process.
    pub(super) fn service(&self) -> &Dependency {
        &self.service
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit<'_> {
    /// Reports the outcome: `failure` is set if the service did not answer. `jitter` is between 0
    /// and 1 and spreads the back-off.
    pub(super) fn done(self, failure: Option<&str>, jitter: f64) {
        let mut state = self.limiter.lock();
        let now = Instant::now();
        let Some(failure) = failure else {
            self.limiter.service.answered(self.sent);
            state.answered = Some(now);
            return;
        };
        // A service that loses only some of the answers is available; a back-off would stop the
        // calls that still succeed.
        if state.answered.is_some_and(|answered| now - answered < RECENT_ANSWER) {
            return;
        }
        let backoff = INITIAL_BACKOFF * (1 << self.limiter.service.consecutive_failures().min(8));
        self.limiter.service.failed(failure);
        if self.class == CallClass::Prompt {
            // Such calls are not held back, so they would extend the back-off of the others for ever.
            return;
        }
        state.failed = now;
        state.backoff_until = now + backoff.min(MAX_BACKOFF).mul_f64(0.5 + jitter);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.in_flight -= u32::from(self.class.is_pooled());
        if self.is_probe {
            state.is_probing = false;
        }
        drop(state);
        self.limiter.changed.notify_waiters();
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.waiting -= 1;
        state.urgent_waiting -= u32::from(self.class == CallClass::Urgent);
        drop(state);
        self.limiter.changed.notify_waiters();
    }
}
