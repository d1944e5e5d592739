//! What a job reserves for as long as it is not cancelled.

use crate::fleet::{JobSpec, Step};

/// The demand of one job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// CPU that its long-running tasks reserve; 0 if it has none.
    pub reserved_milli: u64,
    /// CPU of the largest of them.
    pub task_milli: u64,
}

impl Demand {
    /// Determines the demand of a job.
    pub fn of(job: &JobSpec) -> Self {
        let long_running = || job.steps.iter().filter(|step| step.is_lasting);
        Self {
            reserved_milli: long_running().map(cpu_milli).sum(),
            task_milli: long_running().map(|step| step.need.cpu_milli).max().unwrap_or(0),
        }
    }
}

fn cpu_milli(step: &Step) -> u64 {
    u64::from(step.count) * step.need.cpu_milli
}
