//! What really happened on the workers, written down apart from what they report.

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;
use agatesill_policy::value_type;
use agatesill_wire::platform::AttemptState;

value_type! {
    /// One attempt as it really ran.
    pub struct AttemptBook {
        /// Its number.
        pub attempt: Attempt,
        /// Where it ran.
        pub worker: WorkerId,
        /// Epoch of the owner that started it.
        pub epoch: u64,
        /// Progress that it started from.
        pub from_checkpoint_ms: u64,
        /// When it started, since the start of the stand-in.
        pub started_ms: u64,
        /// How it stands or ended.
        pub state: AttemptState,
        /// Progress kept by its last checkpoint.
        pub checkpoint_ms: u64,
        /// Whether a call stopped it, rather than its lease.
        pub stopped_by_call: bool,
    }
}

value_type! {
    /// What really happened on the workers.
    #[derive(Default)]
    pub struct WorkerAudit {
        /// Starts of attempts.
        pub starts: u64,
        /// Tasks that finished their work, with how often they did.
        pub finished: BTreeMap<TaskId, u32>,
        /// Moments at which a task ran in two places.
        pub double_runs: u64,
        /// Moments at which a worker ran more than it holds.
        pub overcommitted: u64,
        /// Attempts that started from a checkpoint.
        pub resumed: u64,
        /// Attempts stopped by a call.
        pub stopped: u64,
        /// Attempts whose lease ended.
        pub lapsed: u64,
        /// Worker crashes.
        pub crashes: u64,
        /// Attempts that failed by themselves.
        pub failed: u64,
        /// Starts refused because a stop of the same attempt had come first.
        pub refused_starts: u64,
        /// Starts of a task after its owner had acknowledged that an attempt of it finished.
        pub starts_after_success: u64,
        /// Calls refused because a later owner had called.
        pub fenced_calls: u64,
        /// Attempts by task, in order of their starts.
        pub attempts: BTreeMap<TaskId, Vec<AttemptBook>>,
        /// Epochs that acted on each worker, in order.
        pub epochs: BTreeMap<WorkerId, Vec<u64>>,
    }
}

impl WorkerAudit {
    /// Tasks that were stopped with a checkpoint and did not go on, or of which one attempt
    /// started twice. `over` says which tasks may stay stopped because they were cancelled.
    pub fn wrong_resumes(&self, over: impl Fn(&str) -> bool) -> Vec<String> {
        let mut wrong = Vec::new();
        for (task, attempts) in &self.attempts {
            let mut numbers: Vec<Attempt> = attempts.iter().map(|one| one.attempt).collect();
            numbers.sort_unstable();
            if numbers.windows(2).any(|pair| pair[0] == pair[1]) {
                wrong.push(format!("{task}: one attempt started twice: {numbers:?}"));
            }
            let last_evicted = attempts.last().filter(|last| is_evicted(last));
            if let Some(last) = last_evicted.filter(|_| !over(task)) {
                wrong.push(format!("{task}: attempt {} never resumed", last.attempt));
            }
        }
        wrong
    }

    /// Attempts that started from less than an earlier attempt had kept. It happens rightly when a
    /// worker cannot say what it kept until the lease of the attempt has ended.
    pub fn lost_checkpoints(&self) -> u64 {
        let lost = |pair: &&[AttemptBook]| {
            is_evicted(&pair[0]) && pair[1].from_checkpoint_ms < pair[0].checkpoint_ms
        };
        self.attempts.values().flat_map(|all| all.windows(2)).filter(lost).count() as u64
    }
}

fn is_evicted(book: &AttemptBook) -> bool {
    book.stopped_by_call && book.checkpoint_ms > 0
}
