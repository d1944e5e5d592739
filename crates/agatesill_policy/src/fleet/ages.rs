//! Ages of jobs and waits of tasks, preserved across planners whose wall clocks differ.
//!
//! Within one ledger, ages are measured on its monotonic clock, so a step of the wall clock changes
//! none of them. Records hold wall-clock times, from which a successor restores the ages.

use super::US_PER_MS;
use super::job::{JobPhase, TaskState};
use super::record::ProgressRecord;
use super::state::Fleet;

/// Converts a time on the ledger's monotonic clock to wall-clock time.
pub(super) fn wall_ms(monotonic_us: u64, offset_ms: i64) -> u64 {
    ((monotonic_us / US_PER_MS) as i64 + offset_ms).max(0) as u64
}

impl Fleet {
    /// Updates the offset between the wall clock and the ledger's monotonic clock.
    pub fn set_wall_clock(&mut self, now_us: u64, now_ms: u64) {
        self.wall_offset_ms = now_ms as i64 - (now_us / US_PER_MS) as i64;
    }

    /// Converts a wall-clock time to the ledger's monotonic clock. Times in the future, as clocks
    /// of other daemons may show, become `now_us`.
    pub(super) fn monotonic_us(&self, wall_ms: u64, now_us: u64) -> u64 {
        let wall_ms = i64::try_from(wall_ms).unwrap_or(i64::MAX);
        let ledger_ms = wall_ms.saturating_sub(self.wall_offset_ms);
        (ledger_ms.max(0) as u64).saturating_mul(US_PER_MS).min(now_us)
    }

    /// Restores the age of a job read from the store, and the waits of its tasks.
    pub(super) fn restore_ages(&mut self, slot: u32, record: Option<&ProgressRecord>, now_us: u64) {
        let Some(job) = self.job(slot).filter(|job| job.phase == JobPhase::Active) else { return };
        let accepted_us = self.monotonic_us(job.spec.accepted_at_ms, now_us);
        let to_monotonic = |at_ms: u64| (at_ms > 0).then(|| self.monotonic_us(at_ms, now_us));
        let runnable_us =
            record.and_then(|record| to_monotonic(record.turn_ms)).unwrap_or(accepted_us);
        let mut since_us = vec![runnable_us; job.tasks.len()];
        for task in record.into_iter().flat_map(|record| &record.tasks) {
            if let Some(since) = since_us.get_mut(task.task as usize) {
                let has_worker = !task.worker.is_empty();
                *since = to_monotonic(task.waits_since_ms).unwrap_or(if has_worker {
                    0
                } else {
                    now_us
                });
            }
        }
        let has_schedule = job.spec.occurrences > 0;
        let Some(job) = self.job_mut(slot) else { return };
        job.accepted_us = accepted_us;
        job.runnable_us = runnable_us;
        if has_schedule {
            return;
        }
        for (task, since_us) in job.tasks.iter_mut().zip(since_us) {
            match task.state {
                TaskState::Waiting => {
                    task.since_us = since_us;
                    task.idle_since_us = since_us;
                    task.crashed_us = since_us;
                }
                // The task runs, or its start had been ordered.
                TaskState::Ordered(_) => task.idle_since_us = since_us,
                _ => {}
            }
        }
    }
}
