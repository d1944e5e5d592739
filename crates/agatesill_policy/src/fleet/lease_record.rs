//! What a planner hands over to its successors about the leases of workers that do not answer.
//!
//! Load pattern: workers are lost for good, and the planner changes every few seconds. Each planner has to
//! wait for the leases that may still run at these workers. If it began the wait anew, tasks would be
//! without a run for as long as planners change.
//!
//! The record holds durations that count from its write. A reader counts them from when it, or another
//! daemon, first saw that version of the record, which is never before the write. So no two clocks are
//! compared, and what is lost at a takeover is the time from the write until a daemon that still lives has
//! seen it.

use std::collections::BTreeMap;

use crate::value_type;

use super::US_PER_MS;
use super::state::Fleet;
use super::worker::{Worker, WorkerIndex, WorkerStanding};

/// Maximum number of workers in a record, so that its size stays small beside the other records.
const MAX_SILENT_WORKERS: usize = 256;

value_type! {
    /// A worker that does not answer and may have runs.
    pub struct SilentWorker {
        /// Time after which all leases have ended that any planner has requested at the worker.
        #[serde(rename = "l")]
        pub left_ms: u64,
        /// Time since the worker last answered a planner, or since the first takeover after that.
        #[serde(rename = "s")]
        pub silent_ms: u64,
        /// Number of planners that have waited for it, the writer included.
        #[serde(rename = "p")]
        pub planners: u32,
    }
}

value_type! {
    /// The leases of workers as one planner hands them over.
    #[serde(default)]
    #[derive(Default)]
    pub struct LeaseRecord {
        /// Epoch of the planner that wrote the record.
        pub epoch: u64,
        /// Workers that do not answer, by identifier.
        pub silent: BTreeMap<String, SilentWorker>,
    }
}

/// A record of an earlier planner, and when it was seen first.
#[derive(Clone, Debug, Default)]
pub struct SeenLeaseRecord {
    /// The record; empty if there is none that can be relied on.
    pub record: LeaseRecord,
    /// Time at which this daemon knows that the record had been written.
    pub seen_us: u64,
}

/// What is known of the silence of a worker that does not answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Silence {
    /// Since when this planner has had no answer; 0 if the worker answers.
    pub since_us: u64,
    /// Time for which earlier planners had no answer before.
    pub before_ms: u64,
    /// Number of these planners.
    pub planners_before: u32,
}

impl Silence {
    /// Begins a silence, unless one has begun.
    pub(super) fn begin(&mut self, now_us: u64) {
        if self.since_us == 0 {
            self.since_us = now_us;
        }
    }

    /// Total time without an answer, including that of earlier planners.
    pub fn total_ms(&self, now_us: u64) -> u64 {
        match self.since_us {
            0 => 0,
            since_us => self.before_ms + now_us.saturating_sub(since_us) / US_PER_MS,
        }
    }
}

/// What the loss of a worker that does not answer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossWait {
    /// The end of a lease that this planner has requested.
    OwnLease,
    /// The end of the leases that earlier planners may have requested. The worker has not answered this
    /// planner.
    EarlierLeases,
}

impl LossWait {
    /// All of them.
    pub const ALL: [LossWait; 2] = [LossWait::OwnLease, LossWait::EarlierLeases];

    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            LossWait::OwnLease => "own_lease",
            LossWait::EarlierLeases => "earlier_leases",
        }
    }
}

/// A worker that does not answer and may have runs, for log lines.
#[derive(Clone, Debug, PartialEq)]
pub struct UnansweringWorker {
    /// Identifier of the worker.
    pub id: String,
    /// Tasks that may run there.
    pub tasks: usize,
    /// What its loss waits for.
    pub wait: LossWait,
    /// Time until that.
    pub left_ms: u64,
    /// Time for which this planner has had no answer.
    pub since_ms: u64,
    /// Time for which earlier planners had no answer before.
    pub before_ms: u64,
    /// Number of these planners.
    pub planners_before: u32,
    /// Whether the registry lists the worker.
    pub is_listed: bool,
    /// Polls whose connection was refused.
    pub refused_polls: u32,
}

impl Fleet {
    /// Takes over what earlier planners recorded, before any job is restored.
    pub fn take_over_leases(&mut self, seen: SeenLeaseRecord) {
        self.handed_over = seen;
    }

    /// The record for a successor.
    pub fn lease_record(&self, epoch: u64, now_us: u64) -> LeaseRecord {
        let silent = self
            .unanswering_workers()
            .take(MAX_SILENT_WORKERS)
            .map(|(_, worker)| (worker.entry.id.clone(), silent_worker(worker, now_us)))
            .collect();
        LeaseRecord { epoch, silent }
    }

    /// Workers that do not answer and may have runs.
    fn unanswering_workers(&self) -> impl Iterator<Item = (WorkerIndex, &Worker)> {
        self.live_workers().filter(|(_, worker)| worker.is_loss_awaited())
    }

    /// Describes at most `most` of the workers that do not answer and may have runs, those that have been
    /// silent for longest first, and counts all of them by what their losses wait for.
    pub fn describe_unanswering(
        &self,
        most: usize,
        now_us: u64,
    ) -> (Vec<UnansweringWorker>, [u64; LossWait::ALL.len()]) {
        let mut workers: Vec<&Worker> =
            self.unanswering_workers().map(|(_, worker)| worker).collect();
        let mut counts = [0; LossWait::ALL.len()];
        workers.iter().for_each(|worker| counts[loss_wait(worker) as usize] += 1);
        workers.sort_by_key(|worker| std::cmp::Reverse(worker.silence.total_ms(now_us)));
        let described =
            workers.into_iter().take(most).map(|worker| describe(worker, now_us)).collect();
        (described, counts)
    }

    /// Longest time for which a worker that may have runs has not answered any planner.
    pub fn longest_silence_ms(&self, now_us: u64) -> u64 {
        let silences = self.unanswering_workers().map(|(_, w)| w.silence.total_ms(now_us));
        silences.max().unwrap_or(0)
    }

    /// Begins the silence of a restored worker, whose answers this planner has yet to get.
    pub(super) fn restore_silence(&mut self, index: WorkerIndex, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        worker.silence.begin(now_us);
        let Some(handed) = self.handed_over.record.silent.get(&worker.entry.id) else { return };
        let unrecorded_us = now_us.saturating_sub(self.handed_over.seen_us);
        worker.silence.before_ms = handed.silent_ms + unrecorded_us / US_PER_MS;
        worker.silence.planners_before = handed.planners;
    }
}

impl Worker {
    /// Whether the worker does not answer and may have runs, which are lost once its leases have ended.
    fn is_loss_awaited(&self) -> bool {
        !matches!(self.standing, WorkerStanding::Good | WorkerStanding::Gone)
            && !self.tasks.is_empty()
    }
}

fn silent_worker(worker: &Worker, now_us: u64) -> SilentWorker {
    SilentWorker {
        left_ms: worker.lease_until_us.saturating_sub(now_us).div_ceil(US_PER_MS),
        silent_ms: worker.silence.total_ms(now_us),
        planners: worker.silence.planners_before + 1,
    }
}

fn loss_wait(worker: &Worker) -> LossWait {
    if worker.standing == WorkerStanding::New {
        LossWait::EarlierLeases
    } else {
        LossWait::OwnLease
    }
}

fn describe(worker: &Worker, now_us: u64) -> UnansweringWorker {
    UnansweringWorker {
        id: worker.entry.id.clone(),
        tasks: worker.tasks.len(),
        wait: loss_wait(worker),
        left_ms: worker.lease_until_us.saturating_sub(now_us) / US_PER_MS,
        since_ms: now_us.saturating_sub(worker.silence.since_us) / US_PER_MS,
        before_ms: worker.silence.before_ms,
        planners_before: worker.silence.planners_before,
        is_listed: worker.is_listed,
        refused_polls: worker.refused_polls,
    }
}
