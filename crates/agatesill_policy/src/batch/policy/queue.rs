//! Order of the waiting tasks: by priority tier, by weighted share between teams, and by deadline
//! within a team.
//!
//! The expected load comes from 200 teams. A tenth of them submit far more than their share, with
//! deadlines within each team and urgent jobs in between. In first-come, first-served order, that
//! tenth would occupy all workers, and jobs with an early latest start would wait behind jobs that
//! have days to spare. docs/BATCH.md has the results of the `quota` and `month-end` benchmarks.

use std::collections::{BTreeMap, BTreeSet};

use super::super::{Job, TaskId};

/// Time after which a job without a deadline counts as due. The job overtakes newer work, but stays
/// behind the deadlines of a working day.
pub const AGING_MS: u64 = 3_600_000;

/// A deadline counts as infeasible once the latest start is missed by more than this fraction (one
/// in ten) of the run time, since a faster run may still meet it before that.
const LATE_START_DIVISOR: u64 = 10;

/// Priority across teams, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PriorityTier {
    /// Latency-critical tasks.
    Critical,
    /// Urgent batch tasks.
    Urgent,
    /// All other tasks, ordered by the shares of their teams.
    Shared,
}

/// A job with waiting tasks.
#[derive(Clone, Debug)]
pub struct QueuedJob {
    pub tier: PriorityTier,
    pub team: String,
    /// Its deadline, or the time at which a job without one counts as due. Orders jobs within a
    /// tier or team.
    pub due_ms: u64,
    pub has_deadline: bool,
    /// Whether its deadline can no longer be met.
    pub infeasible: bool,
    /// Indices of the tasks that may be placed now.
    pub ready: BTreeSet<u32>,
}

/// Waiting jobs and resource usage of a team.
#[derive(Clone, Debug, Default)]
pub struct TeamQueue {
    /// Its jobs: feasible ones first, then by due time and identifier.
    pub order: BTreeSet<(bool, u64, String)>,
    /// Used CPU time, in `cpu_milli` times milliseconds, divided by the team's weight. The team
    /// with the lowest value is served first.
    pub virtual_ms: f64,
    /// Currently reserved CPU, in thousandths of a core.
    pub used_cpu_milli: u64,
    /// Number of running tasks.
    pub running: u32,
    /// Smoothed time between two starts.
    pub start_interval_ms: f64,
    last_start_ms: u64,
}

/// All waiting tasks.
#[derive(Debug, Default)]
pub struct Queue {
    jobs: BTreeMap<String, QueuedJob>,
    prioritized: BTreeSet<(PriorityTier, u64, String)>,
    by_deadline: BTreeSet<(u64, String)>,
    teams: BTreeMap<String, TeamQueue>,
    delayed: BTreeSet<(u64, TaskId)>,
    min_virtual_ms: f64,
}

impl Queue {
    /// Adds a job's waiting tasks and replaces an existing entry of the job.
    pub fn insert(&mut self, job: &Job, tier: PriorityTier, learned_run_ms: u64, now_ms: u64) {
        self.remove(&job.spec.id);
        let ready: BTreeSet<u32> = job.waiting().map(|index| index as u32).collect();
        if ready.is_empty() || !job.is_runnable() {
            return;
        }
        let (infeasible, due_ms) = order(job, learned_run_ms, now_ms);
        let team = job.spec.team.clone();
        let has_deadline = job.spec.deadline_ms > 0;
        let queued = QueuedJob { tier, team, due_ms, has_deadline, infeasible, ready };
        self.index_job(&job.spec.id, &queued);
        self.jobs.insert(job.spec.id.clone(), queued);
    }

    /// Removes a job.
    pub fn remove(&mut self, id: &str) {
        if let Some(queued) = self.jobs.remove(id) {
            self.unindex_job(id, &queued);
        }
    }

    /// Updates the position of a job for a new run time. Its ready tasks stay.
    pub fn reorder(&mut self, job: &Job, learned_run_ms: u64, now_ms: u64) {
        let id = job.spec.id.as_str();
        let Some(mut queued) = self.jobs.remove(id) else { return };
        self.unindex_job(id, &queued);
        (queued.infeasible, queued.due_ms) = order(job, learned_run_ms, now_ms);
        self.index_job(id, &queued);
        self.jobs.insert(id.to_owned(), queued);
    }

    /// Removes a task that was placed or has ended.
    pub fn remove_task(&mut self, id: &str, index: u32) {
        let Some(queued) = self.jobs.get_mut(id) else { return };
        queued.ready.remove(&index);
        if queued.ready.is_empty() {
            self.remove(id);
        }
    }

    /// Adds a task that waits again. Its job keeps its position if it is still queued.
    pub fn requeue(
        &mut self,
        job: &Job,
        tier: PriorityTier,
        index: u32,
        learned_run_ms: u64,
        now_ms: u64,
    ) {
        if !job.is_runnable() {
            return;
        }
        if let Some(queued) = self.jobs.get_mut(&job.spec.id) {
            queued.ready.insert(index);
            return;
        }
        let (infeasible, due_ms) = order(job, learned_run_ms, now_ms);
        let team = job.spec.team.clone();
        let ready = BTreeSet::from([index]);
        let has_deadline = job.spec.deadline_ms > 0;
        let queued = QueuedJob { tier, team, due_ms, has_deadline, infeasible, ready };
        self.index_job(&job.spec.id, &queued);
        self.jobs.insert(job.spec.id.clone(), queued);
    }

    /// Keeps a task out of the queue until `not_before_ms`.
    pub fn delay(&mut self, task: TaskId, not_before_ms: u64) {
        self.delayed.insert((not_before_ms, task));
    }

    /// Removes and returns the tasks whose delay has expired.
    pub fn take_due_delays(&mut self, now_ms: u64) -> Vec<TaskId> {
        let later = self.delayed.split_off(&(now_ms + 1, String::new()));
        let due = std::mem::replace(&mut self.delayed, later);
        due.into_iter().map(|(_, task)| task).collect()
    }

    /// A queued job.
    pub fn job(&self, id: &str) -> Option<&QueuedJob> {
        self.jobs.get(id)
    }

    /// Jobs of the tiers above the teams' shares, in order.
    pub fn prioritized(&self) -> impl Iterator<Item = (&str, &QueuedJob)> {
        self.prioritized
            .iter()
            .filter_map(|(_, _, id)| self.jobs.get(id).map(|queued| (id.as_str(), queued)))
    }

    /// Jobs of all teams with a deadline before `before_ms`, earliest first, without those whose
    /// deadline is infeasible.
    pub fn due_before(&self, before_ms: u64) -> impl Iterator<Item = (&str, &QueuedJob)> {
        self.by_deadline
            .range(..(before_ms, String::new()))
            .filter_map(|(_, id)| self.jobs.get(id).map(|queued| (id.as_str(), queued)))
    }

    /// Whether a team may exceed its share: its usage is at most `credit` above that of the team
    /// with the lowest usage.
    pub fn has_credit(&self, team: &str, credit: f64) -> bool {
        let used = self.teams.get(team).map_or(0.0, |team| team.virtual_ms);
        used <= self.min_virtual_ms + credit
    }

    /// Number of teams with waiting or running tasks.
    pub fn busy_teams(&self) -> usize {
        self.teams.values().filter(|team| !team.order.is_empty() || team.running > 0).count()
    }

    /// Teams with waiting tasks.
    pub fn waiting_teams(&self) -> impl Iterator<Item = (&str, &TeamQueue)> {
        let waits = |(_, team): &(&String, &TeamQueue)| !team.order.is_empty();
        self.teams.iter().filter(waits).map(|(name, team)| (name.as_str(), team))
    }

    /// The queue of a team.
    pub fn team(&self, name: &str) -> Option<&TeamQueue> {
        self.teams.get(name)
    }

    /// All queued jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, &QueuedJob)> {
        self.jobs.iter().map(|(id, queued)| (id.as_str(), queued))
    }

    /// Adds a start to a team's usage. `cost` is its expected CPU time divided by the weight.
    pub fn add_usage(&mut self, team: &str, cpu_milli: u64, cost: f64, now_ms: u64) {
        let team = self.teams.entry(team.to_owned()).or_default();
        team.virtual_ms += cost;
        team.used_cpu_milli += cpu_milli;
        team.running += 1;
        let gap = now_ms.saturating_sub(team.last_start_ms) as f64;
        team.start_interval_ms += (gap - team.start_interval_ms) * 0.1;
        team.last_start_ms = now_ms;
    }

    /// Corrects a team's usage at the end of an attempt. `correction` is the actual minus the
    /// expected cost.
    pub fn settle_usage(&mut self, team: &str, cpu_milli: u64, correction: f64) {
        if let Some(team) = self.teams.get_mut(team) {
            team.virtual_ms += correction;
            team.used_cpu_milli = team.used_cpu_milli.saturating_sub(cpu_milli);
            team.running = team.running.saturating_sub(1);
        }
    }

    /// Raises the minimum usage to the lowest one among the waiting teams. A team that was idle
    /// restarts from this minimum; otherwise it would occupy all workers until its usage had caught
    /// up.
    pub fn update_min_virtual_time(&mut self) {
        let lowest = self.waiting_teams().map(|(_, team)| team.virtual_ms).fold(f64::MAX, f64::min);
        if lowest < f64::MAX {
            self.min_virtual_ms = lowest.max(self.min_virtual_ms);
        }
    }

    fn index_job(&mut self, id: &str, queued: &QueuedJob) {
        if queued.tier == PriorityTier::Shared {
            let minimum = self.min_virtual_ms;
            let team = self.teams.entry(queued.team.clone()).or_default();
            if team.order.is_empty() && team.running == 0 {
                team.virtual_ms = team.virtual_ms.max(minimum);
            }
            team.order.insert((queued.infeasible, queued.due_ms, id.to_owned()));
            if queued.has_deadline && !queued.infeasible {
                self.by_deadline.insert((queued.due_ms, id.to_owned()));
            }
        } else {
            self.prioritized.insert((queued.tier, queued.due_ms, id.to_owned()));
        }
    }

    fn unindex_job(&mut self, id: &str, queued: &QueuedJob) {
        if queued.tier == PriorityTier::Shared {
            self.by_deadline.remove(&(queued.due_ms, id.to_owned()));
            if let Some(team) = self.teams.get_mut(&queued.team) {
                team.order.remove(&(queued.infeasible, queued.due_ms, id.to_owned()));
            }
        } else {
            self.prioritized.remove(&(queued.tier, queued.due_ms, id.to_owned()));
        }
    }
}

/// Earliest deadline first. A job without remaining slack by its learned run time goes behind those
/// with slack, since serving it first would make the next job late as well, and so on.
fn order(job: &Job, learned_run_ms: u64, now_ms: u64) -> (bool, u64) {
    match job.spec.deadline_ms {
        0 => (false, job.at_ms + AGING_MS),
        limit_ms => {
            let due_ms = job.at_ms + limit_ms;
            let min_run_ms = learned_run_ms - learned_run_ms / LATE_START_DIVISOR;
            (due_ms < now_ms + min_run_ms, due_ms)
        }
    }
}
