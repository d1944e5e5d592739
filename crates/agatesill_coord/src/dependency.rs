//! What a process believes about a service that it depends on, and the lines that say so.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Failures in a row from which a service counts as lost: a single one may be a connection that
/// was closed for want of use.
pub const FAILURES_TO_LOSE: u32 = 2;

/// A service, such as the store or the daemon that plans.
///
/// Each change of belief gives one log line, `dependency_lost` or `dependency_back`, however many
/// calls fail in between.
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

/// How what is believed about a service has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belief {
    /// As before.
    Unchanged,
    /// It counts as lost from now on.
    Lost,
    /// It answers again, this many milliseconds after the first call that failed.
    Back {
        /// Time without an answer.
        away_ms: u64,
    },
}

impl Dependency {
    /// A service that is not lost.
    pub const fn new(name: &'static str) -> Self {
        let state = State { failures: 0, first_failure: None, answered: None };
        Self { name, state: Mutex::new(state) }
    }

    /// A call that was sent at `sent` was answered.
    ///
    /// Guards against a waiting call from before the loss, as a watch is, whose answer says nothing of
    /// the service as it is now: the belief would change to and fro in one outage.
    pub fn answered(&self, sent: Instant) -> Belief {
        let now = Instant::now();
        let mut state = self.lock();
        let is_lost = state.failures >= FAILURES_TO_LOSE;
        if is_lost && state.first_failure.is_some_and(|first| sent <= first) {
            return Belief::Unchanged;
        }
        state.answered = Some(now);
        let failures = std::mem::take(&mut state.failures);
        let first_failure = state.first_failure.take();
        drop(state);
        if failures < FAILURES_TO_LOSE {
            return Belief::Unchanged;
        }
        let away_ms = first_failure.map_or(0, |first| (now - first).as_millis() as u64);
        log::info!(event = "dependency_back", dependency = self.name, failures = failures,
            away_ms = away_ms; "");
        Belief::Back { away_ms }
    }

    /// A call was not answered, or answered with a failure of the service.
    pub fn failed(&self, why: &str) -> Belief {
        let now = Instant::now();
        let mut state = self.lock();
        state.failures = state.failures.saturating_add(1);
        state.first_failure.get_or_insert(now);
        let is_lost_now = state.failures == FAILURES_TO_LOSE;
        let answered = state.answered;
        drop(state);
        if !is_lost_now {
            return Belief::Unchanged;
        }
        let answered_ms_ago = answered.map_or(0, |answered| (now - answered).as_millis() as u64);
        log::warn!(event = "dependency_lost", dependency = self.name,
            failures = FAILURES_TO_LOSE, has_answered = answered.is_some(),
            answered_ms_ago = answered_ms_ago; "{why}");
        Belief::Lost
    }

    /// Calls that failed since the last one that was answered.
    pub fn consecutive_failures(&self) -> u32 {
        self.lock().failures
    }

    /// Whether the service counts as lost.
    pub fn is_unavailable(&self) -> bool {
        self.consecutive_failures() >= FAILURES_TO_LOSE
    }

    /// How long the service has been lost; zero while it is not.
    pub fn unavailable_for(&self) -> Duration {
        let state = self.lock();
        let first = state.first_failure.filter(|_| state.failures >= FAILURES_TO_LOSE);
        first.map_or(Duration::ZERO, |first| first.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
