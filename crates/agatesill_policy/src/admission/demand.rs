//! What a job asks for, and until when a start still helps its caller.

use crate::fleet::{
    JobSpec, LATE_OBJECTIVE_FACTOR, Step, TaskKind, critical_path_ms, work_core_ms,
};

/// Share of the longest wait that counts as reachable. The rest covers the error of the forecast,
/// which rests on the estimates of callers.
const FORECAST_SHARE: f64 = 0.75;

/// The demand of one job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Kind of task that decides where the job waits.
    pub kind: TaskKind,
    /// CPU that its long-running tasks reserve.
    pub reserved_milli: u64,
    /// CPU of its largest task.
    pub task_milli: u64,
    /// Work of its other tasks by the caller's estimates.
    pub core_ms: f64,
    /// Mean run time of these tasks, weighted by their CPU.
    pub task_ms: f64,
    /// Longest expected wait with which the job is accepted.
    pub limit_ms: f64,
}

impl Demand {
    /// Determines the demand of a job. It may wait for as long as a late result still counts for its
    /// caller: the planner, which knows all jobs, decides better than a daemon which of them are late.
    pub fn of(job: &JobSpec) -> Self {
        let terms = &job.terms;
        let critical_path_ms = critical_path_ms(&job.steps, |_| true);
        let objective_ms = terms.stretch * critical_path_ms + terms.target_ms as f64;
        let late_slack_ms = objective_ms * LATE_OBJECTIVE_FACTOR - critical_path_ms;
        let kind = kind_of(&job.steps);
        let is_long_running = |step: &&Step| step.is_lasting;
        let short_steps = || job.steps.iter().filter(|step| !step.is_lasting);
        let core_ms: f64 =
            short_steps().map(|step| f64::from(step.count) * work_core_ms(step)).sum();
        let cores = short_steps().map(cpu_milli).sum::<u64>() as f64 / 1_000.0;
        Self {
            kind,
            reserved_milli: job.steps.iter().filter(is_long_running).map(cpu_milli).sum(),
            task_milli: job.steps.iter().map(|step| step.need.cpu_milli).max().unwrap_or(0),
            core_ms,
            task_ms: core_ms / cores.max(0.001),
            limit_ms: late_slack_ms.max(0.0) * FORECAST_SHARE,
        }
    }
}

fn cpu_milli(step: &Step) -> u64 {
    u64::from(step.count) * step.need.cpu_milli
}

fn kind_of(steps: &[Step]) -> TaskKind {
    if steps.iter().any(|step| step.is_lasting) {
        TaskKind::LongRunning
    } else if steps.iter().all(|step| step.fills) {
        TaskKind::BestEffort
    } else {
        TaskKind::Plain
    }
}
