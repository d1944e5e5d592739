//! One planning round.

use super::super::{Cell, CellDelta, JobSpec, Resources, TaskState};
use super::failures::HealthAction;
use super::{BatchConfig, BatchPolicy, Plan};

impl BatchPolicy {
    /// Proposes deltas to commit, and throttles, which need no commit.
    ///
    /// Placements and evictions that are not committed are proposed again, since only
    /// [`BatchPolicy::apply`] records them. Quarantines, releases and failed jobs are proposed
    /// once, so a caller whose commit failed keeps its deltas and commits them later.
    pub fn plan(&mut self, now_ms: u64, cell: &Cell, config: &BatchConfig) -> Plan {
        self.workers.undo(cell);
        if self.config != *config {
            self.set_config(now_ms, cell, config);
        }
        let mut plan = Plan::default();
        self.return_delayed(now_ms, cell);
        self.evaluate_failures(now_ms, cell, &mut plan);
        self.check_fit(cell, &mut plan);
        self.protect(now_ms, cell, &mut plan);
        self.place(now_ms, cell, &mut plan);
        plan
    }

    /// Applies a new configuration. Priority tiers depend on its profiles, so the queue is rebuilt
    /// when these change.
    fn set_config(&mut self, now_ms: u64, cell: &Cell, config: &BatchConfig) {
        let tiers_changed = self.config.critical_profiles != config.critical_profiles;
        self.config = config.clone();
        self.workers.set_closed_zones(&config.closed_zones, cell);
        if tiers_changed {
            for job in cell.jobs() {
                self.enqueue(now_ms, job);
            }
        }
    }

    fn return_delayed(&mut self, now_ms: u64, cell: &Cell) {
        for task in self.queue.take_due_delays(now_ms) {
            let Some((job, index)) = cell.locate(&task) else { continue };
            if matches!(job.tasks[index].state, TaskState::Waiting { .. }) {
                let run = self.estimates.learned_run_ms(&job.spec);
                self.queue.requeue(job, self.tier(job), index as u32, run, now_ms);
            }
        }
    }

    fn evaluate_failures(&mut self, now_ms: u64, cell: &Cell, plan: &mut Plan) {
        let worker_count = cell.workers().len();
        let actions = self.failures.evaluate(now_ms, worker_count);
        // The ledger would refuse a placement on a worker that is quarantined in this round, or of
        // a job that fails in it.
        for action in &actions {
            match action {
                HealthAction::Quarantine(worker) => self.workers.exclude(*worker),
                HealthAction::FailJob(job, _) => self.queue.remove(job),
                HealthAction::Release(_) => {}
            }
        }
        plan.deltas.extend(actions.into_iter().map(|action| match action {
            HealthAction::Quarantine(worker) => CellDelta::Quarantine { worker },
            HealthAction::Release(worker) => CellDelta::Release { worker },
            HealthAction::FailJob(job, reason) => CellDelta::Fail { job, reason },
        }));
    }

    /// Parks jobs that fit on no worker, and unparks them once a changed worker can hold them.
    fn check_fit(&mut self, cell: &Cell, plan: &mut Plan) {
        if std::mem::take(&mut self.workers_changed) {
            self.jobs_to_check.extend(self.queue.jobs().map(|(id, _)| id.to_owned()));
            self.jobs_to_check.extend(self.parked.iter().cloned());
        }
        for id in std::mem::take(&mut self.jobs_to_check) {
            let Some(job) = cell.job(&id).filter(|job| job.outcome.is_none()) else { continue };
            match (cell.impossible_now(&job.spec), &job.parked) {
                (Some(reason), None) => {
                    self.queue.remove(&id);
                    plan.deltas.push(CellDelta::Park { job: id, reason });
                }
                (None, Some(_)) => plan.deltas.push(CellDelta::Unpark { job: id }),
                _ => {}
            }
        }
    }

    /// Resources to reserve for a task: the learned size, or the declared one if no worker could
    /// hold the learned size.
    pub(super) fn reserve(&self, cell: &Cell, spec: &JobSpec, overruns: u32) -> Resources {
        let reserve = self.estimates.reserve(spec, overruns);
        if cell.fits_active_worker(&reserve) { reserve } else { spec.need }
    }
}
