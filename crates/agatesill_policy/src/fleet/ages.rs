//! How long work has waited, told across daemons whose clocks differ.
//!
//! Within one ledger ages are counted on its own steady clock, so that a step of the time of day changes
//! none. Records hold the time of day, from which a successor takes them up.

use super::US_PER_MS;
use super::job::{JobPhase, TaskState};
use super::record::ProgressRecord;
use super::state::Fleet;

/// The time of day of a moment of the ledger.
pub(super) fn wall_ms(us: u64, offset_ms: i64) -> u64 {
    ((us / US_PER_MS) as i64 + offset_ms).max(0) as u64
}

impl Fleet {
    /// Takes in the time of day.
    pub fn set_wall_clock(&mut self, now_us: u64, now_ms: u64) {
        self.wall_offset_ms = now_ms as i64 - (now_us / US_PER_MS) as i64;
    }

    /// The moment of a time of day; one that lies ahead, as other clocks may show, is now.
    pub(super) fn monotonic_us(&self, wall_ms: u64, now_us: u64) -> u64 {
        let ledger_ms = wall_ms as i64 - self.wall_offset_ms;
        (ledger_ms.max(0) as u64).saturating_mul(US_PER_MS).min(now_us)
    }

    /// Gives a job that was read back, and what waits of it, the ages that they had.
    pub(super) fn restore_ages(&mut self, slot: u32, record: Option<&ProgressRecord>, now_us: u64) {
        let Some(job) = self.job(slot).filter(|job| job.phase == JobPhase::Active) else { return };
        let accepted_us = self.monotonic_us(job.spec.accepted_at_ms, now_us);
        let recorded = |at_ms: u64| (at_ms > 0).then(|| self.monotonic_us(at_ms, now_us));
        let runnable_us = record.and_then(|record| recorded(record.turn_ms)).unwrap_or(accepted_us);
        let mut since_us = vec![runnable_us; job.tasks.len()];
        for task in record.into_iter().flat_map(|record| &record.tasks) {
            if let Some(since) = since_us.get_mut(task.task as usize) {
                let runs = !task.worker.is_empty();
                *since = recorded(task.waits_since_ms).unwrap_or(if runs { 0 } else { now_us });
            }
        }
        let is_timed = job.spec.occurrences > 0;
        let Some(job) = self.job_mut(slot) else { return };
        job.accepted_us = accepted_us;
        job.runnable_us = runnable_us;
        if is_timed {
            return;
        }
        for (task, since_us) in job.tasks.iter_mut().zip(since_us) {
            match task.state {
                TaskState::Waiting => {
                    task.since_us = since_us;
                    task.idle_since_us = since_us;
                }
                // It runs, or was about to start.
                TaskState::Ordered(_) => task.idle_since_us = since_us,
                _ => {}
            }
        }
    }
}
