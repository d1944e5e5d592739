//! Jobs that have ended: what is kept of them, and for how long.
//!
//! Load pattern: callers ask for a job's state for minutes after its end, while thousands of jobs end.
//! Kept whole until then, ended jobs hold most of the planner's memory, and each count goes over them.

use super::job::{JobId, TaskState};
use super::state::Fleet;

impl Fleet {
    /// Keeps only the phase of ended jobs of which nothing runs and whose record is stored.
    pub fn retire_ended(&mut self) {
        for (ended_us, slot) in std::mem::take(&mut self.ended_jobs) {
            if !self.is_settled_job(slot) {
                self.ended_jobs.push((ended_us, slot));
                continue;
            }
            let Some(job) = self.jobs[slot as usize].take() else { continue };
            self.by_id.remove(&job.spec.id);
            self.cancelled_early.remove(&job.spec.id);
            self.ended_before.insert(job.spec.id, (job.phase, ended_us));
        }
    }

    fn is_settled_job(&self, slot: u32) -> bool {
        let is_free = |state: TaskState| state.worker().is_none();
        self.job(slot).is_none_or(|job| {
            job.committed == job.version
                && !job.is_committing
                && job.unacked_at.is_empty()
                && job.tasks.iter().all(|task| is_free(task.state))
        })
    }

    /// Drops what is left of jobs that ended before `before_us`; their keys may be deleted.
    pub fn forget_ended(&mut self, before_us: u64) -> Vec<JobId> {
        self.retire_ended();
        let mut forgotten: Vec<JobId> = Vec::new();
        self.ended_before.retain(|id, (_, ended_us)| {
            let is_kept = *ended_us >= before_us;
            if !is_kept {
                forgotten.push(id.clone());
            }
            is_kept
        });
        forgotten
    }
}
