//! Where the time goes between the acceptance of a job and the starts of its tasks.

use super::US_PER_MS;
use super::job::{Job, Step, TaskRef, TaskState};
use super::orders::{Order, OrderKind, OrderOutcome};
use super::state::Fleet;

/// How soon a task is needed, which decides what is served first while the planner lacks processor
/// time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// Runs to completion, for a queue of the highest priority.
    Urgent,
    /// Runs until its job is cancelled.
    LongRunning,
    /// All other tasks.
    Deferrable,
}

impl Urgency {
    /// All urgencies, the highest first.
    pub const ALL: [Urgency; 3] = [Urgency::Urgent, Urgency::LongRunning, Urgency::Deferrable];

    /// Returns the urgency of a step's tasks in a queue of this priority.
    pub fn of(step: &Step, priority: u32) -> Self {
        if step.is_lasting {
            Urgency::LongRunning
        } else if priority == 0 {
            Urgency::Urgent
        } else {
            Urgency::Deferrable
        }
    }

    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Urgency::Urgent => "urgent",
            Urgency::LongRunning => "long_running",
            Urgency::Deferrable => "deferrable",
        }
    }
}

/// What a start waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartStage {
    /// From the acceptance of the job, by wall clocks, until the planner knows it.
    Acceptance,
    /// From when the task may be placed until a worker is chosen.
    Round,
    /// Until the record of the choice is part of a transaction.
    Record,
    /// Until the planner handles the answer of the store.
    Store,
    /// From the order until it is sent.
    Send,
    /// From sending until the answer of the worker arrives.
    Worker,
    /// Until the planner handles that answer. The run has begun before.
    Handling,
}

impl StartStage {
    /// All stages, in order.
    pub const ALL: [StartStage; 7] = [
        StartStage::Acceptance,
        StartStage::Round,
        StartStage::Record,
        StartStage::Store,
        StartStage::Send,
        StartStage::Worker,
        StartStage::Handling,
    ];

    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            StartStage::Acceptance => "acceptance",
            StartStage::Round => "round",
            StartStage::Record => "record",
            StartStage::Store => "store",
            StartStage::Send => "send",
            StartStage::Worker => "worker",
            StartStage::Handling => "handling",
        }
    }
}

/// Upper bounds of the buckets of a [`WaitHistogram`] in milliseconds; the last bucket has none.
const BUCKETS_MS: [u64; 12] = [2, 5, 10, 20, 35, 50, 75, 100, 200, 500, 1_000, 2_500];

/// Distribution of waits of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitHistogram {
    counts: [u64; BUCKETS_MS.len() + 1],
    sum_us: u64,
    longest_us: u64,
}

impl WaitHistogram {
    fn add(&mut self, waited_us: u64) {
        let bucket = BUCKETS_MS.partition_point(|bound_ms| bound_ms * US_PER_MS < waited_us);
        self.counts[bucket] += 1;
        self.sum_us += waited_us;
        self.longest_us = self.longest_us.max(waited_us);
    }

    fn merge(&mut self, other: &Self) {
        self.counts.iter_mut().zip(other.counts).for_each(|(count, other)| *count += other);
        self.sum_us += other.sum_us;
        self.longest_us = self.longest_us.max(other.longest_us);
    }

    /// Number of waits.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Sum of all waits in microseconds.
    pub fn sum_us(&self) -> u64 {
        self.sum_us
    }

    /// Upper bound in milliseconds of the shortest `percent` of the waits; 0 without any.
    pub fn percentile_ms(&self, percent: u64) -> u64 {
        let rank = (self.count() * percent).div_ceil(100);
        let mut seen = 0;
        for (count, bound_ms) in self.counts.iter().zip(BUCKETS_MS) {
            seen += count;
            if seen >= rank {
                return bound_ms.min(self.longest_us.div_ceil(US_PER_MS));
            }
        }
        self.longest_us.div_ceil(US_PER_MS)
    }
}

/// Waits of starts by urgency and stage.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartWaits([[WaitHistogram; StartStage::ALL.len()]; Urgency::ALL.len()]);

impl StartWaits {
    /// Waits of one urgency in one stage.
    pub fn of(&self, urgency: Urgency, stage: StartStage) -> &WaitHistogram {
        &self.0[urgency as usize][stage as usize]
    }

    fn add(&mut self, urgency: Urgency, stage: StartStage, waited_us: u64) {
        self.0[urgency as usize][stage as usize].add(waited_us);
    }

    fn merge(&mut self, other: &Self) {
        let pairs = self.0.iter_mut().flatten().zip(other.0.iter().flatten());
        pairs.for_each(|(waits, other)| waits.merge(other));
    }
}

/// Waits since the start of the planner, and since they were last taken.
#[derive(Debug, Default)]
pub(super) struct StartWaitCounter {
    total: StartWaits,
    recent: StartWaits,
}

impl Fleet {
    /// Waits since the planner started.
    pub fn start_waits(&self) -> StartWaits {
        let mut total = self.start_waits.total;
        total.merge(&self.start_waits.recent);
        total
    }

    /// Returns the waits since the last call.
    pub fn take_start_waits(&mut self) -> StartWaits {
        let recent = std::mem::take(&mut self.start_waits.recent);
        self.start_waits.total.merge(&recent);
        recent
    }

    fn count_wait(&mut self, task_ref: TaskRef, stage: StartStage, waited_us: u64) {
        if let Some(urgency) = self.job(task_ref.job).map(|job| self.urgency(job, task_ref.task)) {
            self.start_waits.recent.add(urgency, stage, waited_us);
        }
    }

    /// Urgency of a task.
    pub(super) fn urgency(&self, job: &Job, task: u32) -> Urgency {
        Urgency::of(job.step(task), self.terms(job).priority)
    }

    /// Counts the time from the acceptance of a job until now for each of its first tasks.
    pub(super) fn count_acceptance(&mut self, slot: u32, now_us: u64) {
        let Some(job) = self.job(slot) else { return };
        let waited_us = now_us.saturating_sub(job.accepted_us);
        let first = job.tasks.iter().position(|task| task.state == TaskState::Waiting);
        if let Some(task) = first {
            let task_ref = TaskRef { job: slot, task: task as u32 };
            self.count_wait(task_ref, StartStage::Acceptance, waited_us);
        }
    }

    /// Counts the wait of a task for which a worker has just been chosen.
    pub(super) fn count_round(&mut self, task_ref: TaskRef, waiting_since_us: u64, now_us: u64) {
        self.count_wait(task_ref, StartStage::Round, now_us.saturating_sub(waiting_since_us));
    }

    /// Counts the waits of a task whose choice is now stored, by a transaction that was formed at
    /// `taken_us`.
    pub(super) fn count_record(&mut self, task_ref: TaskRef, taken_us: u64, now_us: u64) {
        let Some(job) = self.job(task_ref.job) else { return };
        let chosen_us = job.tasks[task_ref.task as usize].since_us;
        self.count_wait(task_ref, StartStage::Record, taken_us.saturating_sub(chosen_us));
        self.count_wait(task_ref, StartStage::Store, now_us.saturating_sub(taken_us));
    }

    /// Counts the waits of a start that was carried out.
    pub(super) fn count_order(
        &mut self,
        order: &Order,
        outcome: OrderOutcome,
        answered_us: u64,
        now_us: u64,
    ) {
        let is_start = matches!(order.kind, OrderKind::Start { .. });
        if !is_start || outcome != OrderOutcome::Done || order.sent_us == 0 {
            return;
        }
        let waits = [
            (StartStage::Send, order.decided_us, order.sent_us),
            (StartStage::Worker, order.sent_us, answered_us),
            (StartStage::Handling, answered_us, now_us),
        ];
        for (stage, from_us, to_us) in waits {
            self.count_wait(order.task_ref, stage, to_us.saturating_sub(from_us));
        }
    }
}
