//! What stands between the callers of one process and the service: a call budget, a bound on calls
//! under way, urgent calls first, and a growing, jittered pause while calls fail.
//!
//! Without the pause, every daemon's ledger tries its commit again at each interval of 100 ms
//! through an outage, and all of them at the moment when the service returns. With it one call at
//! a time probes the service; the others wait for its outcome, and then for the budget.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatesill_wire::prelude::*;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::dependency::Dependency;

/// Calls under way at once, watches aside. At 2 ms a call this is far above any budget; a slow
/// service meets it first.
const IN_FLIGHT_CALLS: u32 = 32;

/// Callers that may wait; beyond this a call is refused at once.
const WAITING_CALLS: u32 = 256;

/// Longest wait before a call; longer ones would answer nobody who still listens.
const WAIT_LIMIT: Duration = Duration::from_millis(1_500);

/// Pause after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Shortest wait for the budget: rounding must not turn waiting into a busy loop.
const SHORTEST_PAUSE: Duration = Duration::from_millis(1);

/// Longest pause before jitter. A lease of 5 s must survive an outage of 2 s, so the service's
/// return has to be noticed well within the second that is left.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// A call that was answered this shortly ago shows that the service is there.
const LATELY: Duration = Duration::from_millis(300);

/// Seconds of budget that may be saved up for a burst.
const BURST_S: f64 = 2.0;

/// Seconds of budget that urgent calls may borrow, so that a burst of reads never costs a lease.
const BORROW_S: f64 = 1.0;

/// How a call goes through the gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Class {
    /// Leases and ledger records: what keeps running work as it is.
    Urgent,
    /// Everything else.
    Normal,
    /// A waiting watch; it counts as a call and occupies nothing.
    Watch,
}

#[derive(Debug)]
struct State {
    tokens: f64,
    filled: Instant,
    in_flight: u32,
    waiting: u32,
    urgent_waiting: u32,
    answered: Option<Instant>,
    /// When a call failed last.
    failed: Instant,
    paused_until: Instant,
    is_probing: bool,
}

/// The gate of one process.
#[derive(Debug)]
pub(super) struct Gate {
    calls_per_s: f64,
    state: Mutex<State>,
    changed: Notify,
    service: Dependency,
}

/// Leave to make one call; say how it ended with [`Permit::done`].
#[derive(Debug)]
pub(super) struct Permit<'a> {
    gate: &'a Gate,
    class: Class,
    is_probe: bool,
    sent: Instant,
}

/// Counts a waiting caller for as long as it waits, also when it is cancelled.
struct Waiter<'a> {
    gate: &'a Gate,
    class: Class,
}

impl Gate {
    /// A gate that lets `calls_per_s` through.
    pub(super) fn new(calls_per_s: u32) -> Self {
        let calls_per_s = f64::from(calls_per_s);
        let now = Instant::now();
        let state = State {
            tokens: calls_per_s * BURST_S,
            filled: now,
            in_flight: 0,
            waiting: 0,
            urgent_waiting: 0,
            answered: None,
            failed: now,
            paused_until: now,
            is_probing: false,
        };
        Self {
            calls_per_s,
            state: Mutex::new(state),
            changed: Notify::new(),
            service: Dependency::new("store"),
        }
    }

    /// Waits for leave to make a call.
    pub(super) async fn enter(&self, class: Class) -> Result<Permit<'_>, Error> {
        let until = Instant::now() + WAIT_LIMIT;
        let _waiter = self.start_waiting(class)?;
        loop {
            let changed = self.changed.notified();
            let pause = match self.try_enter(class) {
                Ok(permit) => return Ok(permit),
                Err(pause) => pause,
            };
            let now = Instant::now();
            if now >= until {
                let what = "not sent: the service fails or the call budget is used up";
                return Err(Error::new(ErrorKind::StoreUnavailable, what).retry_after(1_000));
            }
            let next = (now + pause).min(until);
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(next) => {}
            }
        }
    }

    fn start_waiting(&self, class: Class) -> Result<Waiter<'_>, Error> {
        let mut state = self.lock();
        if state.waiting >= WAITING_CALLS {
            let what = format!("not sent: {WAITING_CALLS} calls wait already");
            return Err(Error::new(ErrorKind::StoreUnavailable, what).retry_after(1_000));
        }
        state.waiting += 1;
        state.urgent_waiting += u32::from(class == Class::Urgent);
        Ok(Waiter { gate: self, class })
    }

    /// A permit, or how long to wait before asking again.
    fn try_enter(&self, class: Class) -> Result<Permit<'_>, Duration> {
        let now = Instant::now();
        let mut state = self.lock();
        let since_s = now.saturating_duration_since(state.filled).as_secs_f64();
        state.tokens = (state.tokens + since_s * self.calls_per_s).min(self.calls_per_s * BURST_S);
        state.filled = now;
        if now < state.paused_until {
            return Err(state.paused_until - now);
        }
        let least = match class {
            Class::Urgent => 1.0 - BORROW_S * self.calls_per_s,
            Class::Normal | Class::Watch => 1.0,
        };
        if state.tokens < least {
            let pause = Duration::from_secs_f64((least - state.tokens) / self.calls_per_s);
            return Err(pause.max(SHORTEST_PAUSE));
        }
        let is_probe = self.service.consecutive_failures() > 0 && class != Class::Watch;
        let is_behind = class == Class::Normal && state.urgent_waiting > 0;
        let is_full = class != Class::Watch && state.in_flight >= IN_FLIGHT_CALLS;
        if (is_probe && state.is_probing) || is_behind || is_full {
            return Err(WAIT_LIMIT);
        }
        state.tokens -= 1.0;
        state.in_flight += u32::from(class != Class::Watch);
        state.is_probing |= is_probe;
        Ok(Permit { gate: self, class, is_probe, sent: now })
    }

    /// Shortens the pause after a failure to the first one: somebody else says that the service is back.
    /// It does not end at once, as many may say so while only this process is cut off.
    pub(super) fn shorten_pause(&self) {
        let mut state = self.lock();
        state.paused_until = state.paused_until.min(state.failed + FIRST_PAUSE);
        drop(state);
        self.changed.notify_waiters();
    }

    /// What is believed about the service.
    pub(super) fn service(&self) -> &Dependency {
        &self.service
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit<'_> {
    /// Says why the service did not answer, if so; `jitter` from 0 to 1 spreads the pause then.
    pub(super) fn done(self, failure: Option<&str>, jitter: f64) {
        let mut state = self.gate.lock();
        let now = Instant::now();
        let Some(failure) = failure else {
            self.gate.service.answered(self.sent);
            state.answered = Some(now);
            return;
        };
        // A service that loses some answers and gives others is not away; pausing would stop what
        // it still does.
        if state.answered.is_some_and(|answered| now - answered < LATELY) {
            return;
        }
        let pause = FIRST_PAUSE * (1 << self.gate.service.consecutive_failures().min(8));
        self.gate.service.failed(failure);
        state.failed = now;
        state.paused_until = now + pause.min(LONGEST_PAUSE).mul_f64(0.5 + jitter);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.in_flight -= u32::from(self.class != Class::Watch);
        if self.is_probe {
            state.is_probing = false;
        }
        drop(state);
        self.gate.changed.notify_waiters();
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.waiting -= 1;
        state.urgent_waiting -= u32::from(self.class == Class::Urgent);
        drop(state);
        self.gate.changed.notify_waiters();
    }
}
