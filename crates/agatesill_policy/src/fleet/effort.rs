//! Counters of planning work, in items examined rather than in time.
//!
//! A planner that examines every worker for every task keeps up with fifty workers and fails at a
//! thousand. These counters show such growth on any machine and at any load, before planning
//! becomes slow.

use std::cell::Cell;

/// Items examined by the planner since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effort {
    /// Workers examined for a task, whether or not they could take it.
    pub workers_examined: u64,
    /// Waiting steps ranked for placement.
    pub steps_ranked: u64,
    /// Tasks examined as candidates for preemption.
    pub tasks_weighed: u64,
}

/// Counter with interior mutability, because the searches that it counts only borrow the ledger.
#[derive(Debug, Default)]
pub(super) struct EffortCounter {
    effort: Cell<Effort>,
}

impl EffortCounter {
    /// Returns a copy of the counts.
    pub fn get(&self) -> Effort {
        self.effort.get()
    }

    pub fn count_workers_examined(&self, workers: usize) {
        self.update(|effort| effort.workers_examined += workers as u64);
    }

    pub fn count_steps_ranked(&self, steps: usize) {
        self.update(|effort| effort.steps_ranked += steps as u64);
    }

    pub fn count_tasks_weighed(&self, tasks: usize) {
        self.update(|effort| effort.tasks_weighed += tasks as u64);
    }

    fn update(&self, change: impl FnOnce(&mut Effort)) {
        let mut effort = self.effort.get();
        change(&mut effort);
        self.effort.set(effort);
    }
}
