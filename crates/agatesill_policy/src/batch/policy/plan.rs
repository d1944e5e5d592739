//! One planning round.

use super::super::{Cell, CellDelta, JobSpec, Resources, TaskState, WorkerId};
use super::failures::HealthAction;
use super::{BatchConfig, BatchPolicy, Plan};

/// What a proposed change is about. A newer change replaces an older one with the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ChangeSubject {
    /// The quarantine of a worker.
    Quarantine(WorkerId),
    /// The failure of a job.
    Failure(String),
    /// The parking of a job.
    Parking(String),
}

impl BatchPolicy {
    /// Proposes deltas to commit, and throttles, which need no commit.
    ///
    /// Everything that is not committed is proposed again: only [`BatchPolicy::apply`] records
    /// placements and evictions, and the other changes are proposed until the ledger shows them.
    pub fn plan(&mut self, now_ms: u64, cell: &Cell, config: &BatchConfig) -> Plan {
        self.workers.undo(cell);
        if self.config != *config {
            self.set_config(now_ms, cell, config);
        }
        let mut plan = Plan::default();
        self.return_delayed(now_ms, cell);
        self.uncommitted.retain(|_, delta| !is_reflected(cell, delta));
        self.evaluate_failures(now_ms, cell);
        self.check_fit(now_ms, cell);
        self.propose_uncommitted(&mut plan);
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

    fn evaluate_failures(&mut self, now_ms: u64, cell: &Cell) {
        let worker_count = cell.workers().len();
        for action in self.failures.evaluate(now_ms, worker_count) {
            let (subject, delta) = match action {
                HealthAction::Quarantine(worker) => {
                    (ChangeSubject::Quarantine(worker), CellDelta::Quarantine { worker })
                }
                HealthAction::Release(worker) => {
                    (ChangeSubject::Quarantine(worker), CellDelta::Release { worker })
                }
                HealthAction::FailJob(job, reason) => {
                    (ChangeSubject::Failure(job.clone()), CellDelta::Fail { job, reason })
                }
            };
            self.uncommitted.insert(subject, delta);
        }
    }

    /// Parks jobs that fit on no worker, and unparks them once a changed worker can hold them.
    fn check_fit(&mut self, now_ms: u64, cell: &Cell) {
        if std::mem::take(&mut self.workers_changed) {
            self.jobs_to_check.extend(self.queue.jobs().map(|(id, _)| id.to_owned()));
            self.jobs_to_check.extend(self.parked.iter().cloned());
            let parking = self.uncommitted.keys().filter_map(|subject| match subject {
                ChangeSubject::Parking(job) => Some(job.clone()),
                _ => None,
            });
            self.jobs_to_check.extend(parking);
        }
        for id in std::mem::take(&mut self.jobs_to_check) {
            let Some(job) = cell.job(&id).filter(|job| job.outcome.is_none()) else { continue };
            let subject = ChangeSubject::Parking(id.clone());
            match (cell.impossible_now(&job.spec), &job.parked) {
                (Some(reason), None) => {
                    self.uncommitted.insert(subject, CellDelta::Park { job: id, reason });
                }
                (None, Some(_)) => {
                    self.uncommitted.insert(subject, CellDelta::Unpark { job: id });
                }
                (None, None) if self.uncommitted.remove(&subject).is_some() => {
                    self.enqueue(now_ms, job);
                }
                _ => {
                    self.uncommitted.remove(&subject);
                }
            }
        }
    }

    /// Proposes the changes that the ledger does not show yet. The ledger would refuse a placement
    /// on a worker that is quarantined in this round, or of a job that fails or is parked in it.
    fn propose_uncommitted(&mut self, plan: &mut Plan) {
        for delta in self.uncommitted.values() {
            match delta {
                CellDelta::Quarantine { worker } => self.workers.exclude(*worker),
                CellDelta::Fail { job, .. } | CellDelta::Park { job, .. } => self.queue.remove(job),
                _ => {}
            }
            plan.deltas.push(delta.clone());
        }
    }

    /// Resources to reserve for a task: the learned size, or the declared one if no worker could
    /// hold the learned size.
    pub(super) fn reserve(&self, cell: &Cell, spec: &JobSpec, overruns: u32) -> Resources {
        let reserve = self.estimates.reserve(spec, overruns);
        if cell.fits_active_worker(&reserve) { reserve } else { spec.need }
    }
}

/// Whether the ledger shows a proposed change or can no longer take it.
fn is_reflected(cell: &Cell, delta: &CellDelta) -> bool {
    let is_quarantined = |id: &WorkerId| cell.worker(*id).map(|worker| worker.quarantined);
    let open_job =
        |id: &str| cell.job(id).filter(|job| job.outcome.is_none() && job.forwarded.is_none());
    match delta {
        CellDelta::Quarantine { worker } => is_quarantined(worker) != Some(false),
        CellDelta::Release { worker } => is_quarantined(worker) != Some(true),
        CellDelta::Fail { job, .. } => open_job(job).is_none(),
        CellDelta::Park { job, .. } => open_job(job).is_none_or(|job| job.parked.is_some()),
        CellDelta::Unpark { job } => open_job(job).is_none_or(|job| job.parked.is_none()),
        _ => true,
    }
}
