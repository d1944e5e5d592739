//! Workers as the registry describes them and as they answer.

use std::collections::VecDeque;

use crate::batch::Resources;
use crate::value_type;

use super::images::ImageCounts;
use super::job::{TaskKey, TaskRef};
use super::slow::WorkerSpeed;

/// Place of a worker in the ledger. Never used again within one ledger.
pub type WorkerIndex = u32;

value_type! {
    /// One incarnation of a worker, as it registers itself.
    pub struct WorkerEntry {
        /// Identity of this incarnation.
        pub id: String,
        /// Where its calls go.
        pub address: String,
        /// Service that it belongs to.
        pub service: String,
        /// Availability zone.
        pub zone: String,
        /// Rack; empty if it names none.
        pub rack: String,
        /// All labels, the rack among them.
        pub labels: Vec<String>,
        /// What it can carry.
        pub capacity: Resources,
        /// Whether it has announced that it leaves.
        pub is_leaving: bool,
        /// Least time until it leaves; only while it is leaving.
        pub leaves_in_ms: u64,
        /// How much longer it runs everything slower than usual, as after its start.
        #[serde(default)]
        pub cold_ms: u64,
        /// Store revision at which the entry was last written; 0 if unknown.
        #[serde(default)]
        pub revision: u64,
    }
}

value_type! {
    /// How a run ended.
    pub enum EndCause {
        /// It finished.
        Done,
        /// It failed, by its own fault or the worker's.
        Failed,
        /// It was stopped.
        Stopped,
        /// Its lease ran out.
        Lapsed,
        /// Another member of its gang ended.
        Broken,
        /// The other members of its gang did not come in time.
        Alone,
        /// A cause that this program does not know.
        Unknown,
    }
}

/// A run that ended, as its worker lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndRow {
    /// Counts ends within one incarnation of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Its run.
    pub run: u32,
    /// How it ended.
    pub cause: EndCause,
    /// Newest checkpoint; empty if there is none.
    pub saved: String,
}

/// A run that is present at its worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRow {
    /// The task.
    pub task: TaskKey,
    /// Its run.
    pub run: u32,
    /// Newest checkpoint; empty if there is none.
    pub saved: String,
    /// Progress; of a lasting task 100 means that it is at work.
    pub percent: u32,
    /// For a task that serves the tail answer time in milliseconds, else the processors used in
    /// thousandths, both over the last half second.
    pub figure: u64,
}

/// What a worker answered when it was polled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Poll {
    /// When the call was sent.
    pub sent_us: u64,
    /// Lease that the call asked for, counted from when it was sent.
    pub lease_ms: u64,
    /// The worker's clock.
    pub clock_ms: u64,
    /// Runs present.
    pub running: Vec<RunRow>,
    /// Ends that are not acknowledged.
    pub ended: Vec<EndRow>,
}

/// How far a worker can be counted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStanding {
    /// Registered, but not polled yet under the present epoch: what runs there is not known.
    New,
    /// It answers.
    Good,
    /// It did not answer the newest call.
    Silent,
    /// Its incarnation is over; nothing runs there.
    Gone,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// As it registers itself.
    pub entry: WorkerEntry,
    /// Whether the registry lists it.
    pub is_listed: bool,
    /// How far it can be counted on.
    pub standing: WorkerStanding,
    /// Charged for tasks that run, may run or were chosen.
    pub used: Resources,
    /// Processors wanted by the tasks that fill there.
    pub best_effort_cpu_milli: u64,
    /// Lasting tasks there.
    pub lasting: u32,
    /// Processors reserved by them.
    pub long_running_cpu_milli: u64,
    /// Serving tasks by image.
    pub(super) serving: ImageCounts,
    /// Tasks that fill, by image.
    pub(super) filling: ImageCounts,
    /// Highest tail over target among its serving tasks at the last poll.
    pub worst_tail: f64,
    /// The mean of these tails; 0 before the first poll.
    pub mean_tail: f64,
    /// When its figures were last taken in.
    pub sampled_us: u64,
    /// Tasks that are charged.
    pub tasks: Vec<TaskRef>,
    /// Newest end that was taken into the ledger.
    pub seen_end: u64,
    /// Newest end whose effect is committed: the worker may forget up to here.
    pub acked_end: u64,
    /// Ends between the two: number, job slot and the job's version that holds the effect.
    pub unacked: VecDeque<(u64, u32, u64)>,
    /// Its clock less ours, in milliseconds, when it last answered.
    pub clock_offset_ms: i64,
    /// Latest moment, on our clock, to which any lease that was asked of it may reach.
    pub lease_until_us: u64,
    /// When it last answered.
    pub answered_us: u64,
    /// Calls in a row without an answer.
    pub silent_calls: u32,
    /// Whether its zone takes no new work.
    pub is_zone_closed: bool,
    /// Whether its last poll reported stray runs. They are not part of `used`, but take up capacity
    /// until they have stopped.
    pub has_stray_runs: bool,
    /// Until when it runs everything slower than usual.
    pub cold_until_us: u64,
    /// No new tasks before this moment.
    pub closed_until_us: u64,
    /// Failed ends in a row, and the jobs that they were of.
    pub failed_in_a_row: Vec<u32>,
    /// Times that it was closed for failing.
    pub quarantines: u32,
    /// Number of its tasks that are to be placed apart from other suspects.
    pub isolated_tasks: u32,
    /// How fast its tasks were seen to run.
    pub(super) speed: WorkerSpeed,
    /// Serving tasks there that were over their target, since when.
    pub over_since_us: u64,
}

impl Worker {
    /// A worker that has just been listed.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            is_listed: true,
            standing: WorkerStanding::New,
            used: Resources::default(),
            best_effort_cpu_milli: 0,
            lasting: 0,
            long_running_cpu_milli: 0,
            serving: ImageCounts::default(),
            filling: ImageCounts::default(),
            worst_tail: 0.0,
            mean_tail: 0.0,
            sampled_us: 0,
            tasks: Vec::new(),
            seen_end: 0,
            acked_end: 0,
            unacked: VecDeque::new(),
            clock_offset_ms: 0,
            lease_until_us: 0,
            answered_us: 0,
            silent_calls: 0,
            is_zone_closed: false,
            has_stray_runs: false,
            cold_until_us: 0,
            closed_until_us: 0,
            failed_in_a_row: Vec::new(),
            quarantines: 0,
            isolated_tasks: 0,
            speed: WorkerSpeed::default(),
            over_since_us: 0,
        }
    }

    /// Whether new tasks may be sent there.
    pub fn is_open(&self, now_us: u64) -> bool {
        self.is_available() && now_us >= self.closed_until_us
    }

    /// Whether it answers, is registered, stays and lies in an open zone; it may be closed for
    /// failing what it starts.
    pub fn is_available(&self) -> bool {
        self.standing == WorkerStanding::Good && self.is_listed && self.takes_starts()
    }

    /// Whether starts may still be sent there: it does not leave, and its zone takes work.
    pub fn takes_starts(&self) -> bool {
        !self.entry.is_leaving && !self.is_zone_closed
    }

    /// Whether it still runs everything slower than usual.
    pub fn is_cold(&self, now_us: u64) -> bool {
        now_us < self.cold_until_us
    }

    /// Whether one more task with this charge fits its present capacity in every dimension. False while
    /// stray runs take up an unknown part of it.
    pub fn has_capacity_for(&self, charge: &Resources) -> bool {
        !self.has_stray_runs && self.entry.capacity.holds(&self.used.plus(charge))
    }

    /// Whether the charges of its tasks exceed its capacity, which can shrink at run time.
    pub fn is_over_capacity(&self) -> bool {
        !self.entry.capacity.holds(&self.used)
    }

    /// Processors reserved by tasks that end by themselves.
    pub fn plain_cpu_milli(&self) -> u64 {
        self.used.cpu_milli.saturating_sub(self.long_running_cpu_milli)
    }

    /// What is not charged.
    pub fn free(&self) -> Resources {
        self.entry.capacity.minus(&self.used)
    }
}
