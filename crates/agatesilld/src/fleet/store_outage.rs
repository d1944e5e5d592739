//! Callers that this daemon refuses while the store is unavailable, and when they should return.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use agatesill_policy::admission::group_commit::MAX_GROUP_CREATES;
use agatesill_policy::fleet::{JobSpec, OutageReturns, retry_after_ms};

use super::daemon_state::DaemonState;

/// Share of the store's writes that acceptances may take when it is back. The planner needs the others
/// for starts and ends.
const ACCEPTANCE_SHARE: f64 = 0.5;

/// Callers refused while the store is unavailable.
#[derive(Debug, Default)]
pub struct StoreOutage {
    /// Refused callers of urgent jobs, under load control.
    pub refused_urgent: AtomicU64,
    /// Refused callers of other jobs, under load control.
    pub refused_others: AtomicU64,
    returns: Mutex<OutageReturns>,
}

impl StoreOutage {
    /// Retry-After of the caller of a job that was not stored. Without load control of its service it
    /// follows from the length of the outage alone.
    pub fn retry_after_ms(&self, daemon: &DaemonState, spec: &JobSpec) -> u32 {
        let away_ms = daemon.store.unavailable_for().as_millis() as u64;
        let most_urgent = daemon.controlled_priority(&spec.terms.service);
        match most_urgent.filter(|_| away_ms > 0) {
            Some(priority) => {
                let is_urgent = spec.terms.priority <= priority;
                self.refuse(&spec.id, is_urgent, away_ms, jobs_per_s(daemon))
            }
            None => retry_after_ms(away_ms),
        }
    }

    /// Counts a caller that is refused in an outage that has lasted for `away_ms`, and returns its
    /// Retry-After if this daemon can store `jobs_per_s` after the outage.
    pub fn refuse(&self, id: &str, is_urgent: bool, away_ms: u64, jobs_per_s: f64) -> u32 {
        let refused = if is_urgent { &self.refused_urgent } else { &self.refused_others };
        refused.fetch_add(1, Ordering::Relaxed);
        let mut returns = self.returns.lock().unwrap_or_else(PoisonError::into_inner);
        returns.refuse(id, is_urgent, away_ms, jobs_per_s)
    }
}

/// Jobs a second that this daemon can store, by its part of the writes that the platform allows.
fn jobs_per_s(daemon: &DaemonState) -> f64 {
    let daemons = daemon.load.held().map_or(1, |held| held.view.daemons.max(1));
    let writes_per_s = daemon.settings.store_writes_per_s as f64 / f64::from(daemons);
    writes_per_s * ACCEPTANCE_SHARE * MAX_GROUP_CREATES as f64
}
