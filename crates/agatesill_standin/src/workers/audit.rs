//! Audit log of the workers, recorded independently of the reports that they send.

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;
use agatesill_policy::value_type;
use agatesill_wire::platform::AttemptState;

value_type! {
    /// Audit record of one attempt.
    pub struct AttemptRecord {
        /// Attempt number.
        pub attempt: Attempt,
        /// Worker on which the attempt ran.
        pub worker: WorkerId,
        /// Epoch of the owner that started the attempt.
        pub epoch: u64,
        /// Checkpointed progress from which the attempt started.
        pub from_checkpoint_ms: u64,
        /// Start time, relative to the start of the stand-in.
        pub started_ms: u64,
        /// Current or final state.
        pub state: AttemptState,
        /// Progress saved by its last checkpoint.
        pub checkpoint_ms: u64,
        /// Whether a stop call ended the attempt, as opposed to lease expiry.
        pub stopped_by_call: bool,
    }
}

value_type! {
    /// Audit log of all workers.
    #[derive(Default)]
    pub struct WorkerAudit {
        /// Started attempts.
        pub starts: u64,
        /// Finished tasks with the number of times that each finished.
        pub finished: BTreeMap<TaskId, u32>,
        /// Starts of a task while another attempt of it was running.
        pub double_runs: u64,
        /// Starts after which the running attempts of a worker exceeded its capacity.
        pub overcommitted: u64,
        /// Attempts that started from a checkpoint.
        pub resumed: u64,
        /// Attempts stopped by a call.
        pub stopped: u64,
        /// Attempts ended by lease expiry.
        pub lapsed: u64,
        /// Worker crashes.
        pub crashes: u64,
        /// Attempts that failed on their own.
        pub failed: u64,
        /// Starts refused because a stop of the same attempt had arrived first.
        pub refused_starts: u64,
        /// Starts of a task whose success the owner had already acknowledged.
        pub starts_after_success: u64,
        /// Starts and renewals without effect because they arrived too late or were for an earlier
        /// incarnation of the worker.
        pub late_calls: u64,
        /// Calls refused because a call with a newer epoch had arrived before.
        pub fenced_calls: u64,
        /// Attempts by task, in start order.
        pub attempts: BTreeMap<TaskId, Vec<AttemptRecord>>,
        /// Epochs that each worker observed, in order.
        pub epochs: BTreeMap<WorkerId, Vec<u64>>,
    }
}

impl WorkerAudit {
    /// Returns a violation for each task that was stopped with a checkpoint and never resumed, and
    /// for each task with an attempt that started twice. Tasks for which `is_cancelled` returns
    /// true may stay stopped.
    pub fn resume_violations(&self, is_cancelled: impl Fn(&str) -> bool) -> Vec<String> {
        let mut violations = Vec::new();
        for (task, attempts) in &self.attempts {
            let mut numbers: Vec<Attempt> =
                attempts.iter().map(|attempt| attempt.attempt).collect();
            numbers.sort_unstable();
            if numbers.windows(2).any(|pair| pair[0] == pair[1]) {
                violations.push(format!("{task}: one attempt started twice: {numbers:?}"));
            }
            let last_evicted = attempts.last().filter(|last| is_evicted(last));
            if let Some(last) = last_evicted.filter(|_| !is_cancelled(task)) {
                violations.push(format!("{task}: attempt {} never resumed", last.attempt));
            }
        }
        violations
    }

    /// Counts attempts that started from less progress than the previous attempt had saved. This
    /// is legitimate when the worker could not report its checkpoint before the lease of the
    /// attempt expired.
    pub fn lost_checkpoints(&self) -> u64 {
        let lost = |pair: &&[AttemptRecord]| {
            is_evicted(&pair[0]) && pair[1].from_checkpoint_ms < pair[0].checkpoint_ms
        };
        self.attempts.values().flat_map(|attempts| attempts.windows(2)).filter(lost).count() as u64
    }
}

fn is_evicted(record: &AttemptRecord) -> bool {
    record.stopped_by_call && record.checkpoint_ms > 0
}
