//! The load as this daemon knows it, for operators.

use std::sync::atomic::Ordering;

use agatesill_policy::admission::MAX_VIEW_AGE_MS;
use agatesill_wire::api::{HeldLoad, LoadStatus};

use super::daemon_state::DaemonState;
use super::load_state::RefusedBecause;

/// Returns the newest view of the load and the refusals since the start.
pub fn load_status(daemon: &DaemonState) -> LoadStatus {
    let now_us = daemon.clock.now_us();
    let counts = &daemon.load.counts;
    let held = daemon.load.held().map(|held| {
        let age_ms = held.age_ms(now_us);
        HeldLoad { view: held.view, age_ms, is_old: age_ms > MAX_VIEW_AGE_MS }
    });
    let refused = RefusedBecause::ALL
        .into_iter()
        .map(|because| (because.name().to_owned(), counts.refusals(because)))
        .collect();
    LoadStatus {
        instance: daemon.settings.instance.clone(),
        held,
        refused,
        returns_accepted: counts.returns_accepted.load(Ordering::Relaxed),
        returns_refused: counts.returns_refused.load(Ordering::Relaxed),
    }
}
