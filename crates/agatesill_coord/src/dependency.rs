//! Availability of a service that a process depends on, as seen by that process, with log lines for
//! each change.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures after which a service counts as unavailable. A single one may be caused by
/// an idle connection that the service closed.
pub const FAILURES_UNTIL_UNAVAILABLE: u32 = 2;

/// A service, such as the store or the daemon that runs the planner.
///
/// Each change of availability writes one log line, `dependency_lost` or `dependency_back`, however
/// many calls fail in between.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    failures: u32,
    first_failure: Option<Instant>,
    answered: Option<Instant>,
}

/// Effect of the outcome of a call on the availability of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvailabilityChange {
    /// No change.
    Unchanged,
    /// The service counts as unavailable from now on.
    Lost,
    /// The service answers again.
    Recovered {
        /// Time since the first call that failed.
        away_ms: u64,
    },
}

impl Dependency {
    /// A service that counts as available; `name` appears in log lines.
    pub const fn new(name: &'static str) -> Self {
        let state = State { failures: 0, first_failure: None, answered: None };
        Self { name, state: Mutex::new(state) }
    }

    /// Records that a call sent at `sent` was answered.
    ///
    /// The answer to a call that was sent before the first failure, such as a waiting watch, is not
    /// evidence that the service has recovered; it would make the availability flap during one
    /// outage.
    pub fn answered(&self, sent: Instant) -> AvailabilityChange {
        let now = Instant::now();
        let mut state = self.lock();
        let is_unavailable = state.failures >= FAILURES_UNTIL_UNAVAILABLE;
        if is_unavailable && state.first_failure.is_some_and(|first| sent <= first) {
            return AvailabilityChange::Unchanged;
        }
        state.answered = Some(now);
        let failures = std::mem::take(&mut state.failures);
        let first_failure = state.first_failure.take();
        drop(state);
        if failures < FAILURES_UNTIL_UNAVAILABLE {
            return AvailabilityChange::Unchanged;
        }
        let away_ms = first_failure.map_or(0, |first| (now - first).as_millis() as u64);
        log::info!(event = "dependency_back", dependency = self.name, failures = failures,
            away_ms = away_ms; "");
        AvailabilityChange::Recovered { away_ms }
    }

    /// Records that a call was not answered, or was answered with a failure of the service.
    pub fn failed(&self, why: &str) -> AvailabilityChange {
        let now = Instant::now();
        let mut state = self.lock();
        state.failures = state.failures.saturating_add(1);
        state.first_failure.get_or_insert(now);
        let becomes_unavailable = state.failures == FAILURES_UNTIL_UNAVAILABLE;
        let answered = state.answered;
        drop(state);
        if !becomes_unavailable {
            return AvailabilityChange::Unchanged;
        }
        let answered_ms_ago = answered.map_or(0, |answered| (now - answered).as_millis() as u64);
        log::warn!(event = "dependency_lost", dependency = self.name,
            failures = FAILURES_UNTIL_UNAVAILABLE, has_answered = answered.is_some(),
            answered_ms_ago = answered_ms_ago; "{why}");
        AvailabilityChange::Lost
    }

    /// Number of failed calls since the last answered one.
    pub fn consecutive_failures(&self) -> u32 {
        self.lock().failures
    }

    /// Whether the service counts as unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.consecutive_failures() >= FAILURES_UNTIL_UNAVAILABLE
    }

    /// How long the service has been unavailable; zero while it is available.
    pub fn unavailable_for(&self) -> Duration {
        let state = self.lock();
        let first = state.first_failure.filter(|_| state.failures >= FAILURES_UNTIL_UNAVAILABLE);
        first.map_or(Duration::ZERO, |first| first.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
