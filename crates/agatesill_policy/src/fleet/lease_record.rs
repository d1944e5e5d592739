//! What a planner hands over to its successors about the leases of workers.
//!
//! Load pattern: workers are lost for good, and the planner changes every few seconds. Each planner has to
//! wait for the leases that may still run at these workers. If it began the wait anew, tasks would be
//! without a run for as long as planners change.
//!
//! The record holds durations that count from its write. A reader counts them from when it first saw that
//! version of the record, which is never before the write. So no two clocks are compared.
//!
//! The durations hold because of what a planner refrains from:
//!
//! - It requests no lease before a record says so ([`Tenure::Renewing`]), and none that ends later than
//!   [`LEASE_HORIZON_MS`] after the last record whose write was confirmed.
//! - It requests no lease at a worker that a record names as silent, until a record without that worker is
//!   confirmed. Such a worker is *withheld*, also while the outcome of a write is unknown.

use std::collections::{BTreeMap, BTreeSet};

use crate::value_type;

use super::US_PER_MS;
use super::limits::MAX_DURATION_MS;
use super::state::{Fleet, LEASE_SLACK_MS};
use super::worker::{Worker, WorkerIndex, WorkerStanding};

/// Maximum number of workers in a record, so that its size stays small beside the other records.
const MAX_SILENT_WORKERS: usize = 256;

/// Maximum time until the end of leases. Those of planners without a record are over far sooner.
const MAX_LEFT_MS: u64 = 60_000;

/// Maximum number of planners that are counted.
const MAX_PLANNERS: u32 = 1_000_000;

value_type! {
    /// A worker that may have runs and gets no leases.
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

/// Time from the last record of a planner until all leases that it requests have ended, whatever becomes of
/// the planner. Tasks live on for so long while the store is away, and a successor waits for so long for a
/// planner that is gone for good.
const LEASES_END_MS: u64 = 8_600;

/// Time from the sending of the last confirmed record until the latest lease end that its planner requests, on
/// the clock of a worker. With two percent for a slow clock and the time that a call may be in flight, such
/// a lease has ended after `LEASES_END_MS`.
pub const LEASE_HORIZON_MS: u64 = (LEASES_END_MS - LEASE_SLACK_MS) * 100 / 102;

/// Time after a takeover before which no task is given up, unless its worker is known to be silent: workers that
/// live have answered by then.
const FIRST_ANSWER_US: u64 = 500 * US_PER_MS;

/// Which leases the writer of a record may request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tenure {
    /// It has not requested any, and does not before another record is stored.
    Starting,
    /// It requests leases at all workers that the record does not name as silent.
    Renewing,
    /// It requests none any more.
    Stopped,
}

value_type! {
    /// The leases of workers as one planner hands them over. All times count from the write.
    #[serde(default)]
    #[derive(Default)]
    pub struct LeaseRecord {
        /// Epoch of the planner that wrote the record; 0 in an empty record.
        pub epoch: u64,
        /// Time after which all leases have ended that the writer has requested, unless it writes another
        /// record.
        pub own_left_ms: u64,
        /// The same for all planners before the writer.
        pub earlier_left_ms: u64,
        /// Workers at which the writer requests no leases, by identifier: those that do not answer, and any
        /// once it has stopped. The other two times do not apply to them.
        pub silent: BTreeMap<String, SilentWorker>,
    }
}

impl LeaseRecord {
    /// Reduces numbers that no planner writes, so that sums of them can't overflow and no wait is endless.
    pub fn reduce_numbers(&mut self) {
        let reduce = |left_ms: &mut u64| *left_ms = (*left_ms).min(MAX_LEFT_MS);
        reduce(&mut self.own_left_ms);
        reduce(&mut self.earlier_left_ms);
        for worker in self.silent.values_mut() {
            reduce(&mut worker.left_ms);
            worker.silent_ms = worker.silent_ms.min(MAX_DURATION_MS);
            worker.planners = worker.planners.min(MAX_PLANNERS);
        }
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

impl SeenLeaseRecord {
    /// Whether the times of the record can be relied on.
    pub fn is_reliable(&self) -> bool {
        self.record.epoch > 0
    }

    /// When all leases have ended at workers that the record does not name as silent.
    fn ends_us(&self) -> u64 {
        let left_ms = self.record.own_left_ms.max(self.record.earlier_left_ms);
        self.seen_us + left_ms * US_PER_MS
    }

    /// The first record of a planner that takes over. If the previous planner is certain to have stopped,
    /// its leases end within `lease_us` from now.
    pub fn restated(
        &self,
        epoch: u64,
        has_stopped: bool,
        lease_us: u64,
        now_us: u64,
    ) -> LeaseRecord {
        let passed_ms = now_us.saturating_sub(self.seen_us) / US_PER_MS;
        let left_ms = |left_ms: u64| left_ms.saturating_sub(passed_ms);
        let own_left_ms = match has_stopped {
            true => left_ms(self.record.own_left_ms).min(lease_us.div_ceil(US_PER_MS)),
            false => left_ms(self.record.own_left_ms),
        };
        let silent = self.record.silent.iter().map(|(id, worker)| {
            let (left_ms, silent_ms) = (left_ms(worker.left_ms), worker.silent_ms + passed_ms);
            (id.clone(), SilentWorker { left_ms, silent_ms, ..worker.clone() })
        });
        LeaseRecord {
            epoch,
            own_left_ms: 0,
            earlier_left_ms: own_left_ms.max(left_ms(self.record.earlier_left_ms)),
            silent: silent.collect(),
        }
    }
}

/// What the ledger knows of the leases of earlier planners, and where it requests none.
#[derive(Debug, Default)]
pub(super) struct LeaseBook {
    /// The record that this planner has taken over.
    handed_over: SeenLeaseRecord,
    /// When all leases of earlier planners have ended at workers that `handed_over` does not name.
    earlier_until_us: u64,
    /// Workers at which no lease may be requested, by identifier: those that a record in the store may name
    /// as silent.
    withheld: BTreeSet<String>,
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
        self.leases.withheld = seen.record.silent.keys().cloned().collect();
        self.leases.handed_over = seen;
    }

    /// Whether no lease may be requested at the worker with this identifier.
    pub fn is_withheld(&self, id: &str) -> bool {
        self.leases.withheld.contains(id)
    }

    /// Whether a worker with tasks has not answered this planner yet, nor failed to.
    pub fn awaits_first_answers(&self) -> bool {
        self.unanswering_workers().any(|(_, worker)| {
            worker.standing == WorkerStanding::New && worker.unanswered_calls == 0
        })
    }

    /// Workers that do not answer, may have runs and are not withheld yet. Those that have not been called
    /// in vain yet are among them if `includes_uncalled` is true.
    pub fn workers_to_withhold(&self, includes_uncalled: bool) -> Vec<WorkerIndex> {
        self.unanswering_workers()
            .filter(|(_, worker)| worker.unanswered_calls > 0 || includes_uncalled)
            .filter(|(_, worker)| !self.is_withheld(&worker.entry.id))
            .map(|(index, _)| index)
            .take(self.room_to_withhold())
            .collect()
    }

    /// Workers that may have runs and are not withheld yet.
    pub fn workers_with_runs(&self) -> Vec<WorkerIndex> {
        self.live_workers()
            .filter(|(_, worker)| !worker.tasks.is_empty() && !self.is_withheld(&worker.entry.id))
            .map(|(index, _)| index)
            .collect()
    }

    /// Number of workers that may be withheld beside those that are.
    pub fn room_to_withhold(&self) -> usize {
        MAX_SILENT_WORKERS.saturating_sub(self.leases.withheld.len())
    }

    /// Withholds leases from a worker. The last one was requested at `requested_us`, if any was.
    pub fn withhold(&mut self, index: WorkerIndex, requested_us: Option<u64>) {
        if let Some(requested_us) = requested_us {
            self.lease_requested(index, requested_us);
        }
        let id = self.workers[index as usize].entry.id.clone();
        self.leases.withheld.insert(id);
    }

    /// The record for a successor. Names the withheld workers that still do not answer, and those that do as
    /// well if no leases are requested any more.
    pub fn lease_record(&self, epoch: u64, tenure: Tenure, now_us: u64) -> LeaseRecord {
        let silent = self
            .live_workers()
            .map(|(_, worker)| worker)
            .filter(|worker| self.is_withheld(&worker.entry.id) && !worker.tasks.is_empty())
            .filter(|worker| worker.is_loss_awaited() || tenure == Tenure::Stopped)
            .map(|worker| (worker.entry.id.clone(), silent_worker(worker, now_us)))
            .collect();
        let own_left_ms = match tenure {
            Tenure::Starting => 0,
            Tenure::Renewing => LEASES_END_MS,
            Tenure::Stopped => self.lease_us().div_ceil(US_PER_MS),
        };
        let earlier_left_ms = left_ms(self.leases.earlier_until_us, now_us);
        LeaseRecord { epoch, own_left_ms, earlier_left_ms, silent }
    }

    /// Applies that a record is stored and replaces all earlier ones. Returns the workers at which leases may
    /// be requested again.
    pub fn lease_record_stored(&mut self, record: &LeaseRecord) -> Vec<WorkerIndex> {
        let is_silent = |id: &String| {
            let index = self.worker_by_id.get(id);
            index.is_some_and(|index| self.workers[*index as usize].is_loss_awaited())
        };
        let dropped: Vec<String> = self
            .leases
            .withheld
            .iter()
            .filter(|id| !record.silent.contains_key(*id) && !is_silent(id))
            .cloned()
            .collect();
        self.leases.withheld.retain(|id| !dropped.contains(id));
        dropped.iter().filter_map(|id| self.worker_by_id.get(id).copied()).collect()
    }

    /// When all leases of earlier planners have ended at a restored worker. Planners whose record can't be
    /// relied on may renew leases for `orphan_ms` more.
    fn earlier_leases_end_us(&self, orphan_ms: u64, now_us: u64) -> u64 {
        let handed_over = &self.leases.handed_over;
        if !handed_over.is_reliable() {
            return now_us + self.lease_us() + orphan_ms * US_PER_MS;
        }
        match orphan_ms {
            0 => handed_over.ends_us().min(now_us + self.lease_us()),
            _ => handed_over.ends_us(),
        }
    }

    /// Sets when the leases of earlier planners have ended at each restored worker.
    pub(super) fn restore_leases(&mut self, orphan_ms: u64, now_us: u64) {
        let all_end_us = self.earlier_leases_end_us(orphan_ms, now_us);
        self.leases.earlier_until_us = all_end_us;
        for index in 0..self.workers.len() as WorkerIndex {
            self.restore_silence(index, now_us);
            let worker = &mut self.workers[index as usize];
            let handed_over = &self.leases.handed_over;
            let ends_us = match handed_over.record.silent.get(&worker.entry.id) {
                Some(silent) => handed_over.seen_us + silent.left_ms * US_PER_MS,
                None => all_end_us.max(now_us + FIRST_ANSWER_US),
            };
            worker.lease_until_us = worker.lease_until_us.max(ends_us);
        }
    }

    /// Records that no previous owner requests leases any more: none ends later than one lease from
    /// now.
    pub fn predecessors_stopped(&mut self, now_us: u64) {
        let until_us = now_us + self.lease_us();
        self.leases.earlier_until_us = self.leases.earlier_until_us.min(until_us);
        for worker in &mut self.workers {
            worker.lease_until_us = worker.lease_until_us.min(until_us);
        }
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
    fn restore_silence(&mut self, index: WorkerIndex, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        worker.silence.begin(now_us);
        let Some(handed) = self.leases.handed_over.record.silent.get(&worker.entry.id) else {
            return;
        };
        let unrecorded_us = now_us.saturating_sub(self.leases.handed_over.seen_us);
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

/// Time until `until_us`, rounded up.
fn left_ms(until_us: u64, now_us: u64) -> u64 {
    until_us.saturating_sub(now_us).div_ceil(US_PER_MS)
}

fn silent_worker(worker: &Worker, now_us: u64) -> SilentWorker {
    SilentWorker {
        left_ms: left_ms(worker.lease_until_us, now_us),
        silent_ms: worker.silence.total_ms(now_us),
        planners: worker.silence.planners_before + u32::from(worker.silence.since_us > 0),
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
