//! What decisions cost, counted in things looked at rather than in time.
//!
//! A planner that examines every worker for every task keeps up at fifty workers and collapses at a
//! thousand. These counters show it on any machine, at any load, before it costs anything.

use std::cell::Cell;

/// Things that decisions have looked at since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effort {
    /// Workers examined for a task, whether they could take it or not.
    pub workers_examined: u64,
    /// Waiting steps that were sorted into their order.
    pub steps_ranked: u64,
    /// Lasting tasks weighed for preemption.
    pub tasks_weighed: u64,
}

/// Counts behind a shared borrow: the searches that they count only read the ledger.
#[derive(Debug, Default)]
pub(super) struct EffortCounter {
    effort: Cell<Effort>,
}

impl EffortCounter {
    /// The counts so far.
    pub fn get(&self) -> Effort {
        self.effort.get()
    }

    /// Counts workers that were examined.
    pub fn count_workers_examined(&self, workers: usize) {
        self.add(|effort| effort.workers_examined += workers as u64);
    }

    /// Counts steps that were ranked.
    pub fn count_steps_ranked(&self, steps: usize) {
        self.add(|effort| effort.steps_ranked += steps as u64);
    }

    /// Counts tasks that were weighed for preemption.
    pub fn count_tasks_weighed(&self, tasks: usize) {
        self.add(|effort| effort.tasks_weighed += tasks as u64);
    }

    fn add(&self, change: impl FnOnce(&mut Effort)) {
        let mut effort = self.effort.get();
        change(&mut effort);
        self.effort.set(effort);
    }
}
