//! Decisions on a cell's ledger: what runs where, what is throttled, moved, held back or given up.
//!
//! The policy's state is soft: it is rebuilt from the ledger after a takeover, and what was learned
//! comes back with the workers' reports. Nothing here is needed to keep the ledger right.

mod input;

pub use input::{BatchConfig, Plan, ServiceUsage, TaskUsage, Throttle, UsageReport};

use super::{Cell, CellDelta, CellEffect, WorkerId};

/// Why a job is where it is, for its submitter and for operators.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Explanation {
    /// Why waiting tasks wait; empty when none does.
    pub waits: Vec<String>,
    /// Where tasks ran, and why they moved, oldest first.
    pub history: Vec<String>,
    /// What was learned about jobs of this class.
    pub learned: Vec<String>,
    /// Likely time until the next waiting task starts; absent when nothing is known.
    pub likely_start_ms: Option<u64>,
}

/// Learned state and proposals beside one [`Cell`].
#[derive(Debug, Default)]
pub struct BatchPolicy {}

impl BatchPolicy {
    /// Rebuilds what follows from the ledger, after a takeover.
    pub fn rebuild(&mut self, _now_ms: u64, _cell: &Cell) {}

    /// Applies a committed delta to the ledger and notes what it teaches.
    pub fn apply(&mut self, _now_ms: u64, cell: &mut Cell, delta: &CellDelta) -> Vec<CellEffect> {
        cell.apply(delta)
    }

    /// Takes in a worker's report on its load.
    pub fn observe(
        &mut self,
        _now_ms: u64,
        _cell: &Cell,
        _worker: WorkerId,
        _report: &UsageReport,
    ) {
    }

    /// Proposes changes to be committed, and throttles, which need no commit.
    pub fn plan(&mut self, _now_ms: u64, cell: &Cell, config: &BatchConfig) -> Plan {
        let mut free: Vec<_> =
            cell.workers().filter(|w| w.is_open()).map(|w| (w.spec.id, w.free())).collect();
        let mut plan = Plan::default();
        for job in cell.jobs().filter(|job| job.is_runnable()) {
            for index in job.waiting() {
                if plan.deltas.len() >= config.placements_per_plan {
                    return plan;
                }
                let need = job.spec.need;
                let fits = free.iter_mut().filter(|(_, free)| free.holds(&need));
                let Some((worker, free)) = fits.max_by_key(|(_, free)| free.cpu_milli) else {
                    continue;
                };
                *free = free.minus(&need);
                plan.deltas.push(CellDelta::Place {
                    task: job.task_id(index),
                    attempt: job.tasks[index].attempt + 1,
                    worker: *worker,
                    reserve: need,
                });
            }
        }
        plan
    }

    /// Says why a job waits, where it ran, why it moved and what was learned.
    pub fn explain(&self, _now_ms: u64, cell: &Cell, job: &str) -> Option<Explanation> {
        cell.job(job).map(|_| Explanation::default())
    }
}
