//! Jobs, their steps and tasks.

use std::fmt;

use crate::batch::Resources;
use crate::value_type;

use super::images::{ImageId, NO_IMAGE};
use super::run_end::EndedRun;
use super::slow::StepSpeed;
use super::worker::WorkerIndex;
use super::write_failures::WriteFailures;

/// Identifier of a job, chosen by the caller.
pub type JobId = String;

value_type! {
    /// One step of a job: a number of similar tasks.
    #[serde(default)]
    #[derive(Default)]
    pub struct Step {
        /// Number of tasks.
        pub count: u32,
        /// Resources needed by each task.
        pub need: Resources,
        /// The caller's estimate of a task's run time, which may be far off.
        pub estimate_ms: u64,
        /// Indices of the steps that must be done first.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub after: Vec<u32>,
        /// Whether a stopped task can resume from a checkpoint.
        #[serde(skip_serializing_if = "is_false")]
        pub saves_progress: bool,
        /// Whether the tasks run only all together, as a gang.
        #[serde(skip_serializing_if = "is_false")]
        pub is_gang: bool,
        /// Whether the tasks run slower when spread over several racks.
        #[serde(skip_serializing_if = "is_false")]
        pub wants_one_rack: bool,
        /// Label that the worker must have; empty for any worker.
        #[serde(skip_serializing_if = "String::is_empty")]
        pub label: String,
        /// Rack that stores the input data; empty for any rack.
        #[serde(skip_serializing_if = "String::is_empty")]
        pub data_rack: String,
        /// Maximum number of tasks of the step on one worker; 0 for no limit.
        #[serde(skip_serializing_if = "is_zero")]
        pub max_per_worker: u32,
        /// Whether several copies of a task may run at once.
        #[serde(skip_serializing_if = "is_false")]
        pub allows_copies: bool,
        /// Whether the tasks are long-running: they run until the job is cancelled.
        #[serde(skip_serializing_if = "is_false")]
        pub is_lasting: bool,
        /// Program that the tasks run. Tasks of one image behave alike.
        #[serde(skip_serializing_if = "String::is_empty")]
        pub image: String,
        /// Tail response time that a serving task should stay below; 0 for tasks that serve no
        /// requests.
        #[serde(skip_serializing_if = "is_zero64")]
        pub target_ms: u64,
        /// Whether the tasks are best-effort: they run on CPU time that others leave unused,
        /// without a reservation.
        #[serde(skip_serializing_if = "is_false")]
        pub fills: bool,
        /// Number of tasks that the scheduler may keep from running at once. Only long-running
        /// steps set it.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub may_miss: Option<u32>,
    }
}

#[allow(clippy::trivially_copy_pass_by_ref)] // Signature required by serde.
fn is_false(value: &bool) -> bool {
    !*value
}

#[allow(clippy::trivially_copy_pass_by_ref)] // Signature required by serde.
fn is_zero(value: &u32) -> bool {
    *value == 0
}

#[allow(clippy::trivially_copy_pass_by_ref)] // Signature required by serde.
fn is_zero64(value: &u64) -> bool {
    *value == 0
}

impl Step {
    /// Resources allocated on a worker for one task. Best-effort tasks reserve no CPU.
    pub fn allocation(&self) -> Resources {
        let cpu_milli = if self.fills { 0 } else { self.need.cpu_milli };
        Resources { cpu_milli, ..self.need }
    }
}

value_type! {
    /// Settings of a queue in the configuration.
    pub struct QueueTerms {
        /// Service whose workers run the queue's tasks.
        pub service: String,
        /// Priority of the queue; 0 is the most urgent.
        pub priority: u32,
        /// Failed runs of one task after which its job fails.
        pub max_attempts: u32,
        /// Factor on the critical path of a job; with `target_ms` it gives the time in which the
        /// job should complete.
        pub stretch: f64,
        /// Time added to the stretched critical path.
        pub target_ms: u64,
        /// Whether steps run only on workers that the advice service names.
        #[serde(default)]
        pub needs_advice: bool,
    }
}

/// Maximum number of tasks of a job, over all steps and occurrences. The record of the progress of
/// more tasks could exceed the size of a value in the store, and the job could not be continued.
const MAX_TASKS: u64 = 8_192;

/// Maximum number of steps of a job: each has a task.
pub const MAX_STEPS: usize = MAX_TASKS as usize;

value_type! {
    /// A job as stored when it is accepted.
    pub struct JobSpec {
        /// Identifier of the job.
        pub id: JobId,
        /// Queue, by host and path prefix.
        pub queue: String,
        /// Terms of the queue at acceptance, used while the configuration does not name the queue.
        pub terms: QueueTerms,
        /// Instructions passed to each task.
        pub payload: String,
        /// Steps; each depends only on earlier ones.
        pub steps: Vec<Step>,
        /// Wall-clock time at which the first occurrence is due; 0 for immediately.
        #[serde(default)]
        pub first_due_ms: u64,
        /// Time between occurrences.
        #[serde(default)]
        pub interval_ms: u64,
        /// Number of occurrences; 0 for a single one without a schedule.
        #[serde(default)]
        pub occurrences: u32,
        /// Wall-clock time at which the job was accepted.
        pub accepted_at_ms: u64,
    }
}

impl JobSpec {
    /// Number of occurrences, at least 1.
    pub fn rounds(&self) -> u32 {
        self.occurrences.max(1)
    }

    /// Number of tasks in one occurrence.
    pub fn tasks_per_occurrence(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// Wall-clock time at which an occurrence is due; 0 for immediately.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.occurrences == 0 {
            return 0;
        }
        self.first_due_ms + u64::from(occurrence) * self.interval_ms
    }

    /// Returns why the job could never run as specified, or `None` if it is valid.
    pub fn fault(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("job has no steps");
        }
        if self.steps.len() > MAX_STEPS {
            return Some("job has too many steps");
        }
        let per_occurrence: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let tasks = per_occurrence.saturating_mul(u64::from(self.rounds()));
        if tasks == 0 {
            return Some("job has no tasks");
        }
        if tasks > MAX_TASKS {
            return Some("job has too many tasks");
        }
        let is_out_of_order =
            |(index, step): (usize, &Step)| step.after.iter().any(|after| *after as usize >= index);
        if self.steps.iter().enumerate().any(is_out_of_order) {
            return Some("a step depends on itself or on a later step");
        }
        self.number_fault()
    }
}

value_type! {
    /// Identifies a task in calls to workers and in logs.
    #[derive(Eq, Hash)]
    pub struct TaskKey {
        /// Identifier of the job.
        pub job: JobId,
        /// Index of the occurrence.
        pub occurrence: u32,
        /// Index of the step.
        pub step: u32,
        /// Index of the task within the step.
        pub index: u32,
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Location of a task in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskRef {
    /// Slot of the job.
    pub job: u32,
    /// Index among the job's tasks, which are ordered by occurrence, step and index.
    pub task: u32,
}

value_type! {
    /// Lifecycle phase of a job.
    pub enum JobPhase {
        /// Tasks wait or run.
        Active,
        /// All tasks are done.
        Completed,
        /// A task failed too often, or was given up after worker crashes.
        Failed,
        /// The caller cancelled the job.
        Cancelled,
    }
}

/// Lifecycle state of a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskState {
    /// The step is not runnable yet, or the job has ended.
    Blocked,
    /// The task may be placed.
    Waiting,
    /// A worker was chosen. The order is sent once the record is committed.
    Chosen(WorkerIndex),
    /// The start was ordered and may have been carried out.
    Ordered(WorkerIndex),
    /// The task runs.
    Running(WorkerIndex),
    /// A stop was ordered. The run may still be present.
    Stopping(WorkerIndex),
    /// The task is complete.
    Done,
}

impl TaskState {
    /// Returns the worker whose resources are allocated to the task.
    pub fn worker(self) -> Option<WorkerIndex> {
        match self {
            TaskState::Chosen(worker)
            | TaskState::Ordered(worker)
            | TaskState::Running(worker)
            | TaskState::Stopping(worker) => Some(worker),
            TaskState::Blocked | TaskState::Waiting | TaskState::Done => None,
        }
    }
}

/// Value of [`Task::answered_us`] for a run that an earlier planner ordered.
pub(super) const ANSWERED_BEFORE_EPOCH_US: u64 = 1;

/// State of one task.
#[derive(Clone, Debug)]
pub struct Task {
    /// Lifecycle state.
    pub state: TaskState,
    /// Number of the newest run; 0 before the first.
    pub run: u32,
    /// Failed runs, not counting runs lost with their worker. A run of a gang counts once for each
    /// member, whichever and how many of them failed.
    pub failures: u32,
    /// Newest run of the gang that is counted in [`Task::failures`]; 0 for a task without a gang.
    pub counted_run: u32,
    /// Newest checkpoint; empty if there is none.
    pub saved: String,
    /// When the task entered its state.
    pub since_us: u64,
    /// Since when the task has not run: its step became runnable, or its newest run ended. Starts
    /// that were not carried out do not change it. 0 while the task runs.
    pub idle_since_us: u64,
    /// When the newest run was last known to be present at its worker.
    pub present_us: u64,
    /// Starts since [`Task::idle_since_us`] that were not carried out.
    pub failed_starts: u32,
    /// Since when the task has been slowed; 0 while it is not.
    pub slowed_us: u64,
    /// Progress of the newest run at [`Task::measured_us`].
    pub start_percent: u32,
    /// When the speed of the newest run was first measured.
    pub measured_us: u64,
    /// Progress last reported by the worker.
    pub percent: u32,
    /// Newest tail that a serving task had while ready, as a ratio to its target; only kept under
    /// load control.
    pub tail_ratio: f64,
    /// When the reported progress last changed.
    pub progress_us: u64,
    /// Share of CPU time that the task may use.
    pub pace_percent: u32,
    /// Whether the newest run was placed beside serving tasks that it may harm, and starts slowed.
    pub is_throttled: bool,
    /// Whether this planner chose a worker and the start is neither confirmed nor given up.
    pub is_starting: bool,
    /// Unanswered orders about the newest run.
    pub unanswered: u32,
    /// Starts of the newest run that may have reached the worker and were not answered.
    pub unanswered_starts: u32,
    /// Starts of the newest run of which no part was sent.
    pub undelivered_starts: u32,
    /// Whether the newest stop or pace was not sent and is repeated once the worker answers.
    pub has_undelivered_order: bool,
    /// When the newest answer to an order about the task was received; 0 if there is none.
    pub answered_us: u64,
    /// Version of the job that holds the newest choice of a worker.
    pub chosen_version: u64,
    /// Whether the newest run was preempted for urgent steps.
    pub preempted: bool,
    /// Consecutive runs lost with their worker during probation.
    pub crashes: u32,
    /// Number of these crashes that have no other known cause and in which the task was the only
    /// suspect.
    pub unexplained_crashes: u32,
    /// Earliest time at which the newest of these crashes can have happened. The waits that follow
    /// a crash begin then, so that they do not add to the time until it is known.
    pub crashed_us: u64,
    /// Whether the last lost run was a suspect in a crash without another known cause.
    pub is_crash_suspect: bool,
    /// Whether the newest run has lasted long enough not to be suspected of a crash of its worker.
    pub is_past_probation: bool,
    /// The run before the next one; `None` if this planner has not seen one end.
    pub last_end: Option<EndedRun>,
}

impl Task {
    /// Time since the task last ran; 0 while it runs.
    pub fn idle_us(&self, now_us: u64) -> u64 {
        match self.idle_since_us {
            0 => 0,
            since_us => now_us.saturating_sub(since_us),
        }
    }

    /// Records that the newest run is present at its worker. Returns whether the task was starting.
    pub(super) fn mark_running(&mut self, now_us: u64) -> bool {
        self.idle_since_us = 0;
        self.present_us = now_us;
        self.failed_starts = 0;
        std::mem::take(&mut self.is_starting)
    }

    fn new(state: TaskState, now_us: u64) -> Self {
        Self {
            state,
            run: 0,
            failures: 0,
            counted_run: 0,
            saved: String::new(),
            since_us: now_us,
            idle_since_us: now_us,
            present_us: now_us,
            failed_starts: 0,
            slowed_us: 0,
            start_percent: 0,
            measured_us: now_us,
            tail_ratio: 0.0,
            percent: 0,
            progress_us: now_us,
            pace_percent: 100,
            is_throttled: false,
            is_starting: false,
            unanswered: 0,
            unanswered_starts: 0,
            undelivered_starts: 0,
            has_undelivered_order: false,
            answered_us: 0,
            chosen_version: 0,
            preempted: false,
            crashes: 0,
            unexplained_crashes: 0,
            crashed_us: 0,
            is_crash_suspect: false,
            is_past_probation: false,
            last_end: None,
        }
    }
}

/// State of one job in the ledger.
#[derive(Clone, Debug)]
pub struct Job {
    /// Specification as accepted.
    pub spec: JobSpec,
    /// Lifecycle phase.
    pub phase: JobPhase,
    /// Image of each step.
    pub(super) images: Vec<ImageId>,
    /// Tasks ordered by occurrence, step and index.
    pub tasks: Vec<Task>,
    /// Number of tasks in one occurrence.
    tasks_per_occurrence: u32,
    /// Number of tasks that are not done, by occurrence and step.
    pub remaining: Vec<u32>,
    /// Observed speed of the tasks, by occurrence and step.
    pub(super) speeds: Vec<StepSpeed>,
    /// Total number of tasks that are not done.
    pub remaining_total: u32,
    /// Number of changes. A record carries the version from which it was built.
    pub version: u64,
    /// Newest version in the store.
    pub committed: u64,
    /// Phase in the store.
    pub committed_phase: JobPhase,
    /// Revision of the record's key; 0 if there is none.
    pub revision: u64,
    /// Whether a record is being written to the store.
    pub is_committing: bool,
    /// Failed attempts to store the newest record.
    pub(super) write_failures: WriteFailures,
    /// Whether a run of any task is known to have begun. A choice or an order is not enough: while
    /// orders lag, callers would be told that no job waits.
    pub is_started: bool,
    /// Workers that still report ends of this job whose effect is not stored.
    pub(super) unacked_workers: Vec<WorkerIndex>,
    /// Workers on which runs failed, the newest first; only kept under load control.
    pub(super) failed_workers: Vec<WorkerIndex>,
    /// Whether the job is at fault for its failed runs; only set under load control.
    pub(super) is_at_fault: bool,
    /// When the job reached its final phase.
    pub ended_us: u64,
    /// When the job was accepted.
    pub accepted_us: u64,
    /// When the newest step became runnable.
    pub runnable_us: u64,
    /// Earliest time at which placement beside serving tasks that the job may harm is tried.
    pub throttled_search_from_us: u64,
}

impl Job {
    /// Creates a job without progress.
    pub fn new(spec: JobSpec, now_us: u64) -> Self {
        let per_occurrence = spec.tasks_per_occurrence();
        let total = per_occurrence * spec.rounds();
        let remaining: Vec<u32> =
            (0..spec.rounds()).flat_map(|_| spec.steps.iter().map(|s| s.count)).collect();
        Self {
            images: vec![NO_IMAGE; spec.steps.len()],
            tasks: vec![Task::new(TaskState::Blocked, now_us); total as usize],
            tasks_per_occurrence: per_occurrence,
            speeds: vec![StepSpeed::default(); remaining.len()],
            remaining,
            remaining_total: total,
            phase: JobPhase::Active,
            version: 0,
            committed: 0,
            committed_phase: JobPhase::Active,
            revision: 0,
            is_committing: false,
            write_failures: WriteFailures::default(),
            is_started: false,
            unacked_workers: Vec::new(),
            failed_workers: Vec::new(),
            is_at_fault: false,
            ended_us: 0,
            accepted_us: now_us,
            runnable_us: now_us,
            throttled_search_from_us: 0,
            spec,
        }
    }

    /// Returns the occurrence and step of a task and its index within the step.
    pub fn locate(&self, task: u32) -> (u32, u32, u32) {
        let per_occurrence = self.tasks_per_occurrence.max(1);
        let mut rest = task % per_occurrence;
        for (index, step) in self.spec.steps.iter().enumerate() {
            if rest < step.count {
                return (task / per_occurrence, index as u32, rest);
            }
            rest -= step.count;
        }
        (task / per_occurrence, 0, rest)
    }

    /// Returns the step of a task.
    pub fn step(&self, task: u32) -> &Step {
        &self.spec.steps[self.locate(task).1 as usize]
    }

    pub(super) fn image(&self, task: u32) -> ImageId {
        self.images[self.locate(task).1 as usize]
    }

    /// Index of the first task of a step.
    pub fn first_of(&self, occurrence: u32, step: u32) -> u32 {
        let before: u32 = self.spec.steps[..step as usize].iter().map(|step| step.count).sum();
        occurrence * self.tasks_per_occurrence + before
    }

    /// Indices of all tasks of a step.
    pub fn tasks_of(&self, occurrence: u32, step: u32) -> std::ops::Range<u32> {
        let first = self.first_of(occurrence, step);
        first..first + self.spec.steps[step as usize].count
    }

    /// Returns the index of a task, if the job has it.
    pub fn find(&self, occurrence: u32, step: u32, index: u32) -> Option<u32> {
        let count = self.spec.steps.get(step as usize)?.count;
        (index < count && occurrence < self.spec.rounds())
            .then(|| self.first_of(occurrence, step) + index)
    }

    /// Returns the key of a task.
    pub fn key(&self, task: u32) -> TaskKey {
        let (occurrence, step, index) = self.locate(task);
        TaskKey { job: self.spec.id.clone(), occurrence, step, index }
    }

    /// Position of an occurrence's step in [`Job::remaining`].
    pub fn step_position(&self, occurrence: u32, step: u32) -> usize {
        occurrence as usize * self.spec.steps.len() + step as usize
    }

    /// Whether all steps on which `step` depends are done.
    pub fn is_unblocked(&self, occurrence: u32, step: u32) -> bool {
        self.spec.steps[step as usize]
            .after
            .iter()
            .all(|after| self.remaining[self.step_position(occurrence, *after)] == 0)
    }

    /// Counts the failure of the newest run of a task, for all members of its gang if it has one. Returns
    /// false if the run was counted before, when another member failed in it.
    pub(super) fn count_failure(&mut self, task: u32) -> bool {
        if !self.step(task).is_gang {
            self.tasks[task as usize].failures += 1;
            return true;
        }
        let (occurrence, step, _) = self.locate(task);
        let run = self.tasks[task as usize].run;
        let mut is_new = false;
        for member in self.tasks_of(occurrence, step) {
            let member = &mut self.tasks[member as usize];
            if member.counted_run != run {
                member.counted_run = run;
                member.failures += 1;
                is_new = true;
            }
        }
        is_new
    }

    /// Increments the version after a change.
    pub fn bump_version(&mut self) {
        self.version += 1;
    }
}
