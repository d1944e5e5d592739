//! The state of one owned cell.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_coord::commit_log::Replay;
use agatesill_coord::prelude::*;
use agatesill_policy::prelude::*;
use agatesill_wire::api::JobStatus;
use agatesill_wire::prelude::*;

use super::links::Link;
use super::now_ms;
use crate::settings::CellSettings;

/// How long a submission or cancellation waits for its commit before it is answered otherwise.
const COMMIT_WAIT: Duration = Duration::from_millis(2_000);

/// Time between two looks at a cell for the status page.
const STATUS_EVERY: Duration = Duration::from_millis(250);

/// Where the answer to a call about one job goes.
pub(super) type JobReply = Box<dyn FnOnce(Result<JobStatus, Error>) + Send>;

/// What a caller waits to see committed.
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

/// One owned cell.
pub(super) struct Owned {
    /// The log; away while a write is under way.
    pub(super) log: Option<CommitLog>,
    pub(super) epoch: u64,
    pub(super) cell: Cell,
    pub(super) policy: BatchPolicy,
    /// Deltas for the next records.
    pub(super) pending: Vec<CellDelta>,
    /// Deltas of the record whose fate is not known yet.
    pub(super) in_flight: Vec<CellDelta>,
    /// Ends that stand in one of the two lists above.
    pub(super) ending: BTreeSet<(TaskId, Attempt)>,
    pub(super) waiters: Vec<Waiter>,
    pub(super) links: BTreeMap<WorkerId, Link>,
    pub(super) taken: Instant,
    /// When the store last confirmed that this instance owns the cell.
    pub(super) confirmed: Instant,
    /// No write is tried before this moment.
    pub(super) write_after: Instant,
    pub(super) snapshot_wanted: bool,
    status_at: Option<Instant>,
}

impl Owned {
    /// The cell as the log has it; the ledger's workers are brought in line with the settings.
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
            links: BTreeMap::new(),
            taken: now,
            confirmed: now,
            write_after: now,
            snapshot_wanted: false,
            status_at: None,
        }
    }

    /// Queues the end of an attempt once.
    pub(super) fn push_end(&mut self, task: &str, attempt: Attempt, outcome: AttemptOutcome) {
        if self.ending.insert((task.to_owned(), attempt)) {
            self.pending.push(CellDelta::End { task: task.to_owned(), attempt, outcome });
        }
    }

    /// Queues the ends of attempts whose lease has certainly ended without a word of them.
    ///
    /// Guards against running a task in two places: a worker that cannot be reached may still run
    /// it. Its reservation stays until the lease is over by this process's own clock, counted from
    /// the last renewal sent, with the margins that [`Link::lease_over`] adds.
    pub(super) fn end_lapsed(&mut self, settings: &CellSettings) {
        let now = Instant::now();
        let over: Vec<(TaskId, Attempt, WorkerId)> = self
            .cell
            .placed()
            .filter(|(task, attempt, worker)| {
                !self.ending.contains(&(task.clone(), *attempt))
                    && self.links.get(worker).is_some_and(|link| {
                        link.lease_over(task, *attempt, self.taken, settings, now)
                    })
            })
            .collect();
        for (task, attempt, worker) in over {
            self.end_lost_attempt(&task, attempt, worker);
        }
    }

    /// Queues the end of an attempt that was lost with its worker.
    pub(super) fn end_lost_attempt(&mut self, task: &str, attempt: Attempt, worker: WorkerId) {
        let seen_for_ms = self.links.get(&worker).and_then(|link| link.seen_for_ms(task, attempt));
        let outcome = lost_attempt_outcome(seen_for_ms);
        log::warn!(event = "attempt_lost", task = task, attempt = attempt, worker = worker,
            seen_for_ms = seen_for_ms.unwrap_or(0), outcome:? = outcome; "");
        self.push_end(task, attempt, outcome);
    }

    /// Answers those whose commit takes too long. An acceptance that was not written yet is taken
    /// back, so that the refusal is true; for one that may stand the answer says so.
    pub(super) fn expire_waiters(&mut self) {
        let now = Instant::now();
        let (late, waiting): (Vec<Waiter>, Vec<Waiter>) =
            self.waiters.drain(..).partition(|waiter| waiter.until <= now);
        self.waiters = waiting;
        for waiter in late {
            self.dismiss(waiter);
        }
    }

    /// Answers all who wait, because this instance stops acting on the cell.
    pub(super) fn dismiss_waiters(mut self) {
        for waiter in std::mem::take(&mut self.waiters) {
            self.dismiss(waiter);
        }
    }

    fn dismiss(&mut self, waiter: Waiter) {
        let is_wanted = |delta: &CellDelta| match (delta, waiter.awaited) {
            (CellDelta::Accept { job, .. }, Awaited::Accept) => job.id == waiter.job,
            (CellDelta::Cancel { job }, Awaited::Cancel) => *job == waiter.job,
            _ => false,
        };
        let may_stand = self.in_flight.iter().any(is_wanted);
        let shared = self
            .waiters
            .iter()
            .any(|other| other.job == waiter.job && other.awaited == waiter.awaited);
        if !may_stand && !shared {
            self.pending.retain(|delta| !is_wanted(delta));
        }
        let error = if may_stand {
            let what = format!("job {}: the store has not confirmed it; ask again", waiter.job);
            Error::new(ErrorKind::OutcomeUnknown, what)
        } else {
            let what = format!("job {}: the store does not answer", waiter.job);
            Error::new(ErrorKind::StoreUnavailable, what)
        };
        (waiter.reply)(Err(error.retry_after(1_000)));
    }

    /// Lets a caller wait for a commit.
    pub(super) fn wait(&mut self, job: &str, awaited: Awaited, reply: JobReply) {
        let until = Instant::now() + COMMIT_WAIT;
        self.waiters.push(Waiter { job: job.to_owned(), awaited, until, reply });
    }

    /// Whether the status page is due for a look; true at most every quarter of a second.
    pub(super) fn status_due(&mut self) -> bool {
        let due = self.status_at.is_none_or(|at| at.elapsed() >= STATUS_EVERY);
        if due {
            self.status_at = Some(Instant::now());
        }
        due
    }
}
