//! Retention of ended jobs.
//!
//! Callers query the state of a job for minutes after its end, while thousands of jobs end. If
//! ended jobs were kept whole until then, they would take most of the planner's memory, and each
//! count would iterate over them.

use super::job::{JobId, TaskState};
use super::state::Fleet;

impl Fleet {
    /// Reduces ended jobs to their phase once none of their tasks may run and their record is
    /// stored.
    pub fn retire_ended(&mut self) {
        for (ended_us, slot) in std::mem::take(&mut self.ended_jobs) {
            if !self.can_retire(slot) {
                self.ended_jobs.push((ended_us, slot));
                continue;
            }
            let Some(job) = self.jobs[slot as usize].take() else { continue };
            self.by_id.remove(&job.spec.id);
            self.pending_cancels.remove(&job.spec.id);
            self.retired.insert(job.spec.id, (job.phase, ended_us));
        }
    }

    fn can_retire(&self, slot: u32) -> bool {
        let is_released = |state: TaskState| state.worker().is_none();
        self.job(slot).is_none_or(|job| {
            job.committed == job.version
                && !job.is_committing
                && job.unacked_workers.is_empty()
                && job.tasks.iter().all(|task| is_released(task.state))
        })
    }

    /// Removes jobs that ended before `before_us`, and older cancels of jobs that are still unknown. Returns their identifiers; their keys may be
    /// deleted.
    pub fn forget_ended(&mut self, before_us: u64) -> Vec<JobId> {
        self.retire_ended();
        self.pending_cancels.retain(|_, since_us| *since_us >= before_us);
        let mut forgotten: Vec<JobId> = Vec::new();
        self.retired.retain(|id, (_, ended_us)| {
            let is_kept = *ended_us >= before_us;
            if !is_kept {
                forgotten.push(id.clone());
            }
            is_kept
        });
        forgotten
    }
}
