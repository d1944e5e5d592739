//! Workers as described by the registry and by their answers to polls.

use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};

use crate::batch::Resources;
use crate::value_type;

use super::failing_workers::WorkerFailures;
use super::flapping::Silences;
use super::images::ImageCounts;
use super::job::{TaskKey, TaskRef};
use super::lease_record::Silence;
use super::report_clock::ReportClock;
use super::slow::WorkerSpeed;

/// Index of a worker in the ledger; never reused within one ledger.
pub type WorkerIndex = u32;

/// Addresses of worker incarnations by their identifiers.
pub type WorkerAddresses = BTreeMap<String, String>;

value_type! {
    /// Registration of one worker incarnation.
    pub struct WorkerEntry {
        /// Identifier of the incarnation.
        pub id: String,
        /// Address for calls to the worker.
        pub address: String,
        /// Service to which the worker belongs.
        pub service: String,
        /// Availability zone.
        pub zone: String,
        /// Rack; empty if unknown.
        pub rack: String,
        /// All labels, including the rack.
        pub labels: Vec<String>,
        /// Total resources.
        pub capacity: Resources,
        /// Whether the worker has announced that it is leaving.
        pub is_leaving: bool,
        /// Minimum time until the worker leaves; set only while it is leaving.
        pub leaves_in_ms: u64,
        /// Remaining time for which the worker runs all tasks slower than usual, as after its
        /// start.
        #[serde(default)]
        pub cold_ms: u64,
        /// Store revision at which the entry was last written; 0 if unknown.
        #[serde(default)]
        pub revision: u64,
        /// When the incarnation started, by the wall clock; 0 if unknown. A worker may start again
        /// under the same identifier.
        #[serde(default)]
        pub started_ms: u64,
    }
}

value_type! {
    /// Cause of the end of a run.
    pub enum EndCause {
        /// The run finished.
        Done,
        /// The run failed, by a fault of the task or of the worker.
        Failed,
        /// The run was stopped.
        Stopped,
        /// The lease of the run expired.
        Lapsed,
        /// Another member of the gang ended.
        Broken,
        /// The other members of the gang did not start in time.
        Alone,
        /// The cause is unknown to this program.
        Unknown,
    }
}

/// An ended run, as reported by its worker.
#[derive(Clone, Debug, PartialEq)]
pub struct EndRow {
    /// Sequence number of the end within one worker incarnation.
    pub number: u64,
    /// Key of the task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Cause of the end.
    pub cause: EndCause,
    /// Newest checkpoint; empty if there is none.
    pub saved: String,
}

/// A run that is present at its worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRow {
    /// Key of the task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Newest checkpoint; empty if there is none.
    pub saved: String,
    /// Progress. A long-running task is ready at 100.
    pub percent: u32,
    /// Tail response time in milliseconds for a serving task, otherwise CPU use in thousandths of a
    /// core; both over the last half second.
    pub figure: u64,
}

/// Answer of a worker to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Poll {
    /// When the poll was sent.
    pub sent_us: u64,
    /// Lease requested by the poll, counted from when it was sent.
    pub lease_ms: u64,
    /// Clock of the worker.
    pub clock_ms: u64,
    /// When the incarnation that answered started, by the wall clock; 0 if unknown.
    pub started_ms: u64,
    /// Whether rows that can't be read are missing from the lists below.
    pub is_incomplete: bool,
    /// Runs present at the worker.
    pub running: Vec<RunRow>,
    /// Ends that are not acknowledged yet.
    pub ended: Vec<EndRow>,
}

/// Liveness of a worker, as known to the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStanding {
    /// Registered but not polled yet in the current epoch, so its runs are unknown.
    New,
    /// The worker answers calls.
    Good,
    /// The worker did not answer the newest call.
    Silent,
    /// The incarnation has terminated; no run is present on it.
    Gone,
}

/// A run that was given up with the lease of its worker, and whose start may still arrive.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct UnbarredRun {
    /// Key of the task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Whether a stop has been ordered that is not answered yet.
    pub is_stopping: bool,
}

/// State of one worker incarnation.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Registration of the worker.
    pub entry: WorkerEntry,
    /// When the incarnation started, by its own answers; 0 before the first one, or if its answers
    /// don't tell.
    pub started_ms: u64,
    /// Entry that names a later start than the worker's answers, until an answer decides.
    pub(super) successor: Option<Box<WorkerEntry>>,
    /// Whether an entry has replaced the address. The connections may lead to the former one.
    pub(super) has_moved: bool,
    /// Other incarnations that have been listed at the worker's address.
    pub(super) rivals: Vec<WorkerIndex>,
    /// When the newest entry of the worker was applied.
    pub(super) listed_us: u64,
    /// Whether another incarnation has answered in place of this one, which has thus terminated.
    pub(super) is_superseded: bool,
    /// When the call was sent whose answer came from another incarnation.
    pub(super) superseded_us: u64,
    /// Runs that were given up with the worker's lease and whose starts may still arrive.
    pub(super) unbarred: Vec<UnbarredRun>,
    /// Whether the registry lists the worker.
    pub is_listed: bool,
    /// Liveness of the worker.
    pub standing: WorkerStanding,
    /// Resources allocated to tasks that run, may run or were chosen.
    pub used: Resources,
    /// CPU requested by the best-effort tasks on the worker.
    pub best_effort_cpu_milli: u64,
    /// Number of long-running tasks on the worker.
    pub lasting: u32,
    /// Number of urgent tasks on the worker.
    pub urgent: u32,
    /// CPU reserved by the long-running tasks on the worker.
    pub long_running_cpu_milli: u64,
    /// Serving tasks by image.
    pub(super) serving: ImageCounts,
    /// Best-effort tasks by image.
    pub(super) filling: ImageCounts,
    /// Highest ratio of tail response time to target among the serving tasks at the last poll.
    pub worst_tail: f64,
    /// Mean of these ratios; 0 before the first poll.
    pub mean_tail: f64,
    /// When the reported figures were last evaluated.
    pub sampled_us: u64,
    /// Tasks with an allocation on the worker.
    pub tasks: Vec<TaskRef>,
    /// Newest end that was applied to the ledger.
    pub applied_end: u64,
    /// Newest end whose effect is committed. The worker may discard ends up to this one.
    pub acked_end: u64,
    /// Ends between these two: sequence number, job slot and the version of the job that holds the
    /// effect.
    pub unacked: VecDeque<(u64, u32, u64)>,
    /// Relation of the worker's clock to the local one.
    pub(super) clock: ReportClock,
    /// When the worker wrote its newest answer. The answer may be handled much later.
    pub reported_us: u64,
    /// Latest local time to which any requested lease may extend.
    pub lease_until_us: u64,
    /// When the worker last answered a poll.
    pub answered_us: u64,
    /// Silences by which the worker flaps.
    pub(super) silences: Silences,
    /// How long the worker has not answered.
    pub silence: Silence,
    /// Consecutive calls without an answer.
    pub unanswered_calls: u32,
    /// Polls since the last answer whose connection the worker's address refused.
    pub refused_polls: u32,
    /// Whether the zone of the worker is closed to new work.
    pub is_zone_closed: bool,
    /// Whether the last poll reported stray runs. They are not part of `used`, but occupy capacity
    /// until they have stopped.
    pub has_stray_runs: bool,
    /// Time until which the worker runs all tasks slower than usual.
    pub cold_until_us: u64,
    /// Time before which no new tasks are sent.
    pub closed_until_us: u64,
    /// Jobs of the consecutive runs that failed.
    pub consecutive_failures: Vec<u32>,
    /// Quarantines since the last run that completed.
    pub quarantines: u32,
    /// Failed runs by which the worker is distrusted; only kept under load control.
    pub(super) failures: WorkerFailures,
    /// Number of tasks to be placed apart from other suspects.
    pub isolated_tasks: u32,
    /// Observed speed of the tasks on the worker.
    pub(super) speed: WorkerSpeed,
    /// Since when a serving task has exceeded its target; 0 if none does.
    pub over_since_us: u64,
}

impl Worker {
    /// Creates the state of a worker that has just been listed.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            started_ms: 0,
            successor: None,
            has_moved: false,
            rivals: Vec::new(),
            listed_us: 0,
            is_superseded: false,
            superseded_us: 0,
            unbarred: Vec::new(),
            is_listed: true,
            standing: WorkerStanding::New,
            used: Resources::default(),
            best_effort_cpu_milli: 0,
            lasting: 0,
            urgent: 0,
            long_running_cpu_milli: 0,
            serving: ImageCounts::default(),
            filling: ImageCounts::default(),
            worst_tail: 0.0,
            mean_tail: 0.0,
            sampled_us: 0,
            tasks: Vec::new(),
            applied_end: 0,
            acked_end: 0,
            unacked: VecDeque::new(),
            clock: ReportClock::default(),
            reported_us: 0,
            lease_until_us: 0,
            answered_us: 0,
            silences: Silences::default(),
            silence: Silence::default(),
            unanswered_calls: 0,
            refused_polls: 0,
            is_zone_closed: false,
            has_stray_runs: false,
            cold_until_us: 0,
            closed_until_us: 0,
            consecutive_failures: Vec::new(),
            quarantines: 0,
            failures: WorkerFailures::default(),
            isolated_tasks: 0,
            speed: WorkerSpeed::default(),
            over_since_us: 0,
        }
    }

    /// Whether a start time is that of an earlier, this, or a later incarnation under the same
    /// identifier. An unknown one counts as that of this incarnation, and so does any before the
    /// worker's first answer.
    pub fn order_of(&self, started_ms: u64) -> Ordering {
        match (started_ms, self.started_ms) {
            (0, _) | (_, 0) => Ordering::Equal,
            (other, own) => other.cmp(&own),
        }
    }

    /// Whether other incarnations have been listed at the worker's address since its last answer.
    pub fn has_rivals(&self) -> bool {
        !self.rivals.is_empty()
    }

    /// Whether starts of runs that were given up may still arrive. The worker must not get a lease
    /// before they are barred.
    pub fn has_unbarred_runs(&self) -> bool {
        !self.unbarred.is_empty()
    }

    /// Whether new tasks may be sent to the worker.
    pub fn is_open(&self, now_us: u64) -> bool {
        self.is_available() && now_us >= self.closed_until_us
    }

    /// Whether the worker answers, may get leases, is registered, is not leaving and is in an open
    /// zone. It may still be quarantined.
    pub fn is_available(&self) -> bool {
        self.standing == WorkerStanding::Good
            && !self.has_unbarred_runs()
            && self.is_listed
            && self.takes_starts()
    }

    /// Whether starts may still be sent: the worker is not leaving, and its zone is open.
    pub fn takes_starts(&self) -> bool {
        !self.entry.is_leaving && !self.is_zone_closed
    }

    /// Whether the worker still runs all tasks slower than usual.
    pub fn is_cold(&self, now_us: u64) -> bool {
        now_us < self.cold_until_us
    }

    /// Whether one more allocation fits the current capacity in every dimension. False while stray
    /// runs occupy an unknown part of it.
    pub fn has_capacity_for(&self, allocation: &Resources) -> bool {
        !self.has_stray_runs && self.entry.capacity.holds(&self.used.plus(allocation))
    }

    /// Whether the allocations exceed the capacity, which can shrink at run time.
    pub fn is_over_capacity(&self) -> bool {
        !self.entry.capacity.holds(&self.used)
    }

    /// CPU reserved by tasks that run to completion.
    pub fn plain_cpu_milli(&self) -> u64 {
        self.used.cpu_milli.saturating_sub(self.long_running_cpu_milli)
    }

    /// Resources that are not allocated.
    pub fn free(&self) -> Resources {
        self.entry.capacity.minus(&self.used)
    }
}
