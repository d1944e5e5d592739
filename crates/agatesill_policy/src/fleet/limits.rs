//! Limits of the numbers that callers, workers and other writers of the store provide.
//!
//! Within these limits no sum, product or conversion of units in the ledger exceeds its type. A new
//! job that exceeds one is refused. Values that are stored already, or that a worker reports, are
//! reduced to the limit where they are read: one record with an impossible number must not end the
//! planning of all others, and what was accepted is still answered for.

use crate::batch::Resources;

use super::job::{JobSpec, Step};
use super::record::{ProgressRecord, TaskRecord};
use super::worker::{Poll, WorkerEntry};

/// Maximum amount of one resource, of a task or a worker: thousandths of a core, megabytes or
/// accelerators.
pub const MAX_AMOUNT: u64 = 10_000_000_000;

/// Maximum duration, 31 years.
pub const MAX_DURATION_MS: u64 = 1_000_000_000_000;

/// Maximum time of the wall clock, in the year 5138.
pub const MAX_WALL_MS: u64 = 100_000_000_000_000;

/// Maximum number of runs, failures or crashes of a task in a record.
const MAX_RUNS: u32 = 1 << 30;

impl JobSpec {
    /// Returns which number exceeds its limit, or `None` if none does.
    pub(super) fn number_fault(&self) -> Option<&'static str> {
        let times = [
            (self.first_due_ms, MAX_WALL_MS, "the first due time is out of range"),
            (self.accepted_at_ms, MAX_WALL_MS, "the time of acceptance is out of range"),
            (self.interval_ms, MAX_DURATION_MS, "the interval is out of range"),
        ];
        let exceeded =
            |(value, limit, fault): (u64, u64, &'static str)| (value > limit).then_some(fault);
        times.into_iter().chain(self.steps.iter().flat_map(numbers)).find_map(exceeded)
    }

    /// Reduces each number that exceeds its limit. Returns whether any did.
    pub fn reduce_numbers(&mut self) -> bool {
        let is_exceeded = self.number_fault().is_some();
        self.first_due_ms = self.first_due_ms.min(MAX_WALL_MS);
        self.accepted_at_ms = self.accepted_at_ms.min(MAX_WALL_MS);
        self.interval_ms = self.interval_ms.min(MAX_DURATION_MS);
        for step in &mut self.steps {
            step.need = reduced(step.need);
            step.estimate_ms = step.estimate_ms.min(MAX_DURATION_MS);
            step.target_ms = step.target_ms.min(MAX_DURATION_MS);
        }
        is_exceeded
    }
}

/// The numbers of a step with their limits.
fn numbers(step: &Step) -> [(u64, u64, &'static str); 5] {
    [
        (step.need.cpu_milli, MAX_AMOUNT, "the CPU of a task is out of range"),
        (step.need.memory_mb, MAX_AMOUNT, "the memory of a task is out of range"),
        (step.need.accelerators, MAX_AMOUNT, "the accelerators of a task are out of range"),
        (step.estimate_ms, MAX_DURATION_MS, "the estimated run time is out of range"),
        (step.target_ms, MAX_DURATION_MS, "the target response time is out of range"),
    ]
}

fn reduced(amount: Resources) -> Resources {
    Resources {
        cpu_milli: amount.cpu_milli.min(MAX_AMOUNT),
        memory_mb: amount.memory_mb.min(MAX_AMOUNT),
        accelerators: amount.accelerators.min(MAX_AMOUNT),
    }
}

impl ProgressRecord {
    /// Reduces each number that exceeds its limit.
    pub fn reduce_numbers(&mut self) {
        self.turn_ms = self.turn_ms.min(MAX_WALL_MS);
        self.tasks.iter_mut().for_each(TaskRecord::reduce_numbers);
    }
}

impl TaskRecord {
    fn reduce_numbers(&mut self) {
        self.run = self.run.min(MAX_RUNS);
        self.failures = self.failures.min(MAX_RUNS);
        self.counted_run = self.counted_run.min(MAX_RUNS);
        self.crashes = self.crashes.min(MAX_RUNS);
        self.unexplained_crashes = self.unexplained_crashes.min(MAX_RUNS);
        self.waits_since_ms = self.waits_since_ms.min(MAX_WALL_MS);
    }
}

impl WorkerEntry {
    /// Reduces each number that exceeds its limit.
    #[must_use]
    pub fn with_reduced_numbers(self) -> Self {
        Self {
            capacity: reduced(self.capacity),
            leaves_in_ms: self.leaves_in_ms.min(MAX_DURATION_MS),
            cold_ms: self.cold_ms.min(MAX_DURATION_MS),
            ..self
        }
    }
}

impl Poll {
    /// Reduces each number that exceeds its limit.
    #[must_use]
    pub fn with_reduced_numbers(mut self) -> Self {
        self.clock_ms = self.clock_ms.min(MAX_WALL_MS);
        for row in &mut self.running {
            row.percent = row.percent.min(100);
            row.figure = row.figure.min(MAX_AMOUNT);
        }
        self
    }
}
