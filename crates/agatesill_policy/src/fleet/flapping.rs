//! When a worker that answers and falls silent by turns is avoided.
//!
//! Load pattern: some workers are silent every other second. Tasks that are placed there in between
//! end while nobody can see it, and urgent jobs are late by as much. A worker that has fallen silent
//! repeatedly gets no new tasks until it has answered for some time. If many workers are silent at
//! once, the cause is not theirs, and avoiding them would leave the others overloaded.

use super::US_PER_MS;
use super::state::Fleet;
use super::worker::WorkerIndex;

/// Silences after which a worker flaps.
const MIN_SILENCES: u32 = 2;

/// Time between two silences after which the earlier ones no longer count.
const MEMORY_US: u64 = 10_000 * US_PER_MS;

/// Time since its last silence after which a flapping worker is no longer avoided.
const STEADY_US: u64 = 4_000 * US_PER_MS;

/// Divisor of the number of workers that gives how many may have fallen silent within
/// [`STEADY_US`] while those that flap are avoided.
const MAX_SILENT_DIVISOR: usize = 4;

/// Silences of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silences {
    count: u32,
    newest_us: u64,
}

impl Silences {
    /// Adds a silence that has just begun.
    pub fn add(&mut self, now_us: u64) {
        if now_us.saturating_sub(self.newest_us) >= MEMORY_US {
            self.count = 0;
        }
        self.count += 1;
        self.newest_us = now_us;
    }

    /// Time until which the worker is avoided; `None` if it does not flap.
    pub fn avoided_until_us(&self) -> Option<u64> {
        (self.count >= MIN_SILENCES).then(|| self.newest_us + STEADY_US)
    }
}

impl Fleet {
    /// Avoids a worker that answers again if it flaps. Without load control, every worker that
    /// answers gets tasks.
    pub(super) fn avoid_flapping_worker(&mut self, index: WorkerIndex, now_us: u64) {
        let worker = &self.workers[index as usize];
        let avoided_until_us = worker.silences.avoided_until_us().filter(|at_us| *at_us > now_us);
        let Some(until_us) = avoided_until_us else { return };
        if !self.controls_load(&worker.entry.service) || self.are_many_silent(now_us) {
            return;
        }
        let worker = &mut self.workers[index as usize];
        worker.closed_until_us = worker.closed_until_us.max(until_us);
        log::info!(event = "worker_flapping", worker = worker.entry.id.as_str(),
            silences = worker.silences.count, for_ms = (until_us - now_us) / US_PER_MS;
            "worker answers again after repeated silences; placing no new tasks on it for a while");
    }

    fn are_many_silent(&self, now_us: u64) -> bool {
        let limit = self.worker_by_id.len() / MAX_SILENT_DIVISOR;
        let is_recent = |at_us: &&u64| now_us.saturating_sub(**at_us) < STEADY_US;
        let recent = self.lost_contacts_us.iter().rev().take_while(is_recent);
        recent.take(limit + 1).count() > limit
    }
}
