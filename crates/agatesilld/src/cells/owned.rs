//! The state of one owned cell.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_coord::commit_log::Replay;
use agatesill_coord::prelude::*;
use agatesill_policy::prelude::*;
use agatesill_wire::api::JobStatus;
use agatesill_wire::prelude::*;

use super::connections::WorkerConnection;
use super::now_ms;
use crate::settings::CellSettings;

/// How long a submission or cancellation waits for its commit before it is answered with an error.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Interval between two status updates of a cell.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Receives the answer to a call about one job.
pub(super) type JobReply = Box<dyn FnOnce(Result<JobStatus, Error>) + Send>;

/// The change that a caller waits to see committed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Awaited {
    Accept,
    Cancel,
}

/// A caller that waits for a commit.
pub(super) struct Waiter {
    pub(super) job: String,
    pub(super) awaited: Awaited,
    pub(super) until: Instant,
    pub(super) reply: JobReply,
}

/// State of one owned cell.
pub(super) struct OwnedCell {
    /// The commit log; `None` while a write is in progress.
    pub(super) log: Option<CommitLog>,
    pub(super) epoch: u64,
    pub(super) cell: Cell,
    pub(super) policy: BatchPolicy,
    /// Deltas to be written with the next records.
    pub(super) pending: Vec<CellDelta>,
    /// Deltas of the record that is being written or whose outcome is unknown.
    pub(super) in_flight: Vec<CellDelta>,
    /// Attempts whose end is in `pending` or `in_flight`.
    pub(super) ending: BTreeSet<(TaskId, Attempt)>,
    pub(super) waiters: Vec<Waiter>,
    pub(super) connections: BTreeMap<WorkerId, WorkerConnection>,
    pub(super) taken_over_at: Instant,
    /// When the store last confirmed that this instance owns the cell.
    pub(super) confirmed: Instant,
    /// Earliest time of the next write.
    pub(super) write_after: Instant,
    pub(super) snapshot_wanted: bool,
    status_at: Option<Instant>,
}

impl OwnedCell {
    /// Rebuilds the cell from the log and queues the deltas that bring its workers in line with the
    /// settings.
    pub(super) fn new(
        log: CommitLog,
        replay: Replay<Cell, CellDelta>,
        settings: &CellSettings,
    ) -> Self {
        let mut cell: Cell = replay.snapshot.unwrap_or_default();
        for delta in &replay.deltas {
            cell.apply(delta);
        }
        let mut policy = BatchPolicy::default();
        policy.rebuild(now_ms(), &cell);
        let now = Instant::now();
        Self {
            epoch: log.epoch(),
            log: Some(log),
            pending: cell.worker_deltas(&settings.workers),
            cell,
            policy,
            in_flight: Vec::new(),
            ending: BTreeSet::new(),
            waiters: Vec::new(),
            connections: BTreeMap::new(),
            taken_over_at: now,
            confirmed: now,
            write_after: now,
            snapshot_wanted: false,
            status_at: None,
        }
    }

    /// Queues the end of an attempt, at most once.
    pub(super) fn push_end(&mut self, task: &str, attempt: Attempt, outcome: AttemptOutcome) {
        if self.ending.insert((task.to_owned(), attempt)) {
            self.pending.push(CellDelta::End { task: task.to_owned(), attempt, outcome });
        }
    }

    /// Queues the ends of attempts whose lease has certainly expired without a report on them.
    ///
    /// Guards against running a task in two places: an unreachable worker may still run it. The
    /// attempt keeps its reservation until the lease has expired by this process's own clock,
    /// counted from the last renewal sent and extended by the margins of
    /// [`WorkerConnection::lease_expired`].
    pub(super) fn end_expired_attempts(&mut self, settings: &CellSettings) {
        let now = Instant::now();
        let expired: Vec<(TaskId, Attempt, WorkerId)> = self
            .cell
            .placed()
            .filter(|(task, attempt, worker)| {
                !self.ending.contains(&(task.clone(), *attempt))
                    && self.connections.get(worker).is_some_and(|connection| {
                        connection.lease_expired(task, *attempt, self.taken_over_at, settings, now)
                    })
            })
            .collect();
        for (task, attempt, worker) in expired {
            self.end_lost_attempt(&task, attempt, worker);
        }
    }

    /// Workers that have not answered for a whole lease.
    ///
    /// Guards against tasks that are placed on the same unreachable worker again and again.
    pub(super) fn unresponsive_workers(&self, settings: &CellSettings) -> BTreeSet<WorkerId> {
        let now = Instant::now();
        let is_unresponsive = |connection: &WorkerConnection| {
            connection.is_unresponsive(self.taken_over_at, settings, now)
        };
        let unresponsive = self.connections.iter().filter(|(_, one)| is_unresponsive(one));
        unresponsive.map(|(id, _)| *id).collect()
    }

    /// Queues the end of an attempt that was lost with its worker.
    pub(super) fn end_lost_attempt(&mut self, task: &str, attempt: Attempt, worker: WorkerId) {
        let seen_for_ms = self
            .connections
            .get(&worker)
            .and_then(|connection| connection.seen_for_ms(task, attempt));
        let may_have_started = self
            .connections
            .get(&worker)
            .is_none_or(|connection| connection.may_have_started(task, attempt));
        let outcome = match may_have_started {
            true => lost_attempt_outcome(seen_for_ms),
            false => AttemptOutcome::LeaseEnded,
        };
        log::warn!(event = "attempt_lost", task = task, attempt = attempt, worker = worker,
            seen_for_ms = seen_for_ms.unwrap_or(0), outcome:? = outcome; "");
        self.push_end(task, attempt, outcome);
    }

    /// Answers callers whose commit takes too long. An acceptance that has not been written is
    /// withdrawn, so the refusal is definite. If the record may have been committed, the answer
    /// reports an unknown outcome.
    pub(super) fn expire_waiters(&mut self) {
        let now = Instant::now();
        let (late, waiting): (Vec<Waiter>, Vec<Waiter>) =
            self.waiters.drain(..).partition(|waiter| waiter.until <= now);
        self.waiters = waiting;
        for waiter in late {
            self.fail_waiter(waiter);
        }
    }

    /// Answers all waiting callers, because this instance stops acting on the cell.
    pub(super) fn fail_waiters(mut self) {
        for waiter in std::mem::take(&mut self.waiters) {
            self.fail_waiter(waiter);
        }
    }

    fn fail_waiter(&mut self, waiter: Waiter) {
        let is_awaited = |delta: &CellDelta| match (delta, waiter.awaited) {
            (CellDelta::Accept { job, .. }, Awaited::Accept) => job.id == waiter.job,
            (CellDelta::Cancel { job }, Awaited::Cancel) => *job == waiter.job,
            _ => false,
        };
        let may_be_committed = self.in_flight.iter().any(is_awaited);
        let shared = self
            .waiters
            .iter()
            .any(|other| other.job == waiter.job && other.awaited == waiter.awaited);
        if !may_be_committed && !shared {
            self.pending.retain(|delta| !is_awaited(delta));
        }
        let error = if may_be_committed {
            let message = format!("job {}: the commit is not confirmed yet; retry", waiter.job);
            Error::new(ErrorKind::OutcomeUnknown, message)
        } else {
            let message = format!("job {}: the store did not answer in time", waiter.job);
            Error::new(ErrorKind::StoreUnavailable, message)
        };
        (waiter.reply)(Err(error.retry_after(1_000)));
    }

    /// Registers a caller that waits for a commit.
    pub(super) fn wait(&mut self, job: &str, awaited: Awaited, reply: JobReply) {
        let until = Instant::now() + COMMIT_TIMEOUT;
        self.waiters.push(Waiter { job: job.to_owned(), awaited, until, reply });
    }

    /// Whether the cell's status is due for an update; true at most every 250 ms.
    pub(super) fn status_due(&mut self) -> bool {
        let due = self.status_at.is_none_or(|at| at.elapsed() >= STATUS_INTERVAL);
        if due {
            self.status_at = Some(Instant::now());
        }
        due
    }
}
