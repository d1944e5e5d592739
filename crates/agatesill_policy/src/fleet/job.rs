//! Jobs, their steps and tasks.

use crate::batch::Resources;
use crate::value_type;

use super::images::{ImageId, NO_IMAGE};
use super::slow::StepSpeed;
use super::worker::WorkerIndex;

/// Identifies a job; chosen by the caller.
pub type JobId = String;

value_type! {
    /// One step of a job: tasks that are alike.
    #[serde(default)]
    #[derive(Default)]
    pub struct Step {
        /// Number of tasks.
        pub count: u32,
        /// Need of each task.
        pub need: Resources,
        /// The caller's estimate of a task's run time; may be far off.
        pub estimate_ms: u64,
        /// Steps whose tasks must all be done first.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub after: Vec<u32>,
        /// Whether a stopped task can resume from a checkpoint.
        #[serde(skip_serializing_if = "is_false")]
        pub saves_progress: bool,
        /// Whether the tasks run only all together.
        #[serde(skip_serializing_if = "is_false")]
        pub is_gang: bool,
        /// Whether the tasks are slower on more than one rack.
        #[serde(skip_serializing_if = "is_false")]
        pub wants_one_rack: bool,
        /// Label that the worker must have; empty means any.
        #[serde(skip_serializing_if = "String::is_empty")]
        pub label: String,
        /// Rack where the data lies; empty means anywhere.
        #[serde(skip_serializing_if = "String::is_empty")]
        pub data_rack: String,
        /// Most tasks of the step on one worker; 0 means any number.
        #[serde(skip_serializing_if = "is_zero")]
        pub max_per_worker: u32,
        /// Whether several copies of a task may run at once.
        #[serde(skip_serializing_if = "is_false")]
        pub allows_copies: bool,
        /// Whether the tasks run until the job is cancelled.
        #[serde(skip_serializing_if = "is_false")]
        pub is_lasting: bool,
        /// What the tasks run; tasks of one image behave alike.
        #[serde(skip_serializing_if = "String::is_empty")]
        pub image: String,
        /// Tail answer time that a serving task should keep below; 0 means that it serves nobody.
        #[serde(skip_serializing_if = "is_zero64")]
        pub target_ms: u64,
        /// Whether the tasks run on processor time that others leave unused, without a reservation.
        #[serde(skip_serializing_if = "is_false")]
        pub fills: bool,
        /// Tasks that may be away at once by the scheduler's own doing; only lasting steps state it.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub may_miss: Option<u32>,
    }
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature that serde asks for.
fn is_false(value: &bool) -> bool {
    !*value
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature that serde asks for.
fn is_zero(value: &u32) -> bool {
    *value == 0
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature that serde asks for.
fn is_zero64(value: &u64) -> bool {
    *value == 0
}

impl Step {
    /// What a worker's capacity is charged for one task: work that fills reserves no processors.
    pub fn allocation(&self) -> Resources {
        let cpu_milli = if self.fills { 0 } else { self.need.cpu_milli };
        Resources { cpu_milli, ..self.need }
    }
}

value_type! {
    /// What the configuration says of a queue.
    pub struct QueueTerms {
        /// Service whose workers run the queue's tasks.
        pub service: String,
        /// 0 goes first.
        pub priority: u32,
        /// Failed runs of one task after which its job has failed.
        pub max_attempts: u32,
        /// Factor on the longest chain of work within which a job should be complete.
        pub stretch: f64,
        /// Added to that.
        pub target_ms: u64,
        /// Whether the advice service must name the workers that may run a step.
        #[serde(default)]
        pub needs_advice: bool,
    }
}

value_type! {
    /// A job as it is stored when it is accepted.
    pub struct JobSpec {
        /// Identity.
        pub id: JobId,
        /// Queue, by host and path prefix.
        pub queue: String,
        /// The queue's terms at acceptance; they hold while the configuration does not name it.
        pub terms: QueueTerms,
        /// What each task is told to do.
        pub payload: String,
        /// Steps.
        pub steps: Vec<Step>,
        /// When the first occurrence is due, on the wall clock; 0 means at once.
        #[serde(default)]
        pub first_due_ms: u64,
        /// Time between occurrences.
        #[serde(default)]
        pub interval_ms: u64,
        /// Times that the steps run; 0 means once, without a timetable.
        #[serde(default)]
        pub occurrences: u32,
        /// When the job was accepted, on the wall clock.
        pub accepted_at_ms: u64,
    }
}

impl JobSpec {
    /// Times that the steps run.
    pub fn rounds(&self) -> u32 {
        self.occurrences.max(1)
    }

    /// Tasks of one occurrence.
    pub fn tasks_per_occurrence(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// When an occurrence is due, on the wall clock; 0 means at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.occurrences == 0 {
            return 0;
        }
        self.first_due_ms + u64::from(occurrence) * self.interval_ms
    }

    /// What is wrong with the job, if anything: it could never be carried out as written.
    pub fn fault(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("a job needs a step");
        }
        let is_out_of_order =
            |(index, step): (usize, &Step)| step.after.iter().any(|after| *after as usize >= index);
        if self.steps.iter().enumerate().any(is_out_of_order) {
            return Some("a step waits for itself or for a later step");
        }
        None
    }
}

value_type! {
    /// Names a task towards workers and in logs.
    #[derive(Eq, Hash)]
    pub struct TaskKey {
        /// The job.
        pub job: JobId,
        /// Occurrence, from 0.
        pub occurrence: u32,
        /// Step, from 0.
        pub step: u32,
        /// Task within the step, from 0.
        pub index: u32,
    }
}

/// A task by its place in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskRef {
    /// Slot of the job.
    pub job: u32,
    /// Place among the job's tasks: occurrences, then steps, then indices.
    pub task: u32,
}

value_type! {
    /// Where a job stands.
    pub enum JobPhase {
        /// Tasks wait or run.
        Active,
        /// All tasks are done.
        Completed,
        /// A task failed too often.
        Failed,
        /// The caller cancelled it.
        Cancelled,
    }
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskState {
    /// Its step's turn has not come.
    Blocked,
    /// It may be placed.
    Waiting,
    /// A worker was chosen; the order is not sent before the record is committed.
    Chosen(WorkerIndex),
    /// The order was given to the worker, and may have been carried out.
    Ordered(WorkerIndex),
    /// It runs.
    Running(WorkerIndex),
    /// A stop was ordered; it may still run.
    Stopping(WorkerIndex),
    /// All its work is done.
    Done,
}

impl TaskState {
    /// The worker that is charged for it.
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

/// One task.
#[derive(Clone, Debug)]
pub struct Task {
    /// Where it stands.
    pub state: TaskState,
    /// Number of its newest run; 0 before the first.
    pub run: u32,
    /// Runs that failed by their own fault.
    pub failures: u32,
    /// Newest checkpoint; empty if there is none.
    pub saved: String,
    /// When it entered its state.
    pub since_us: u64,
    /// Since when it has not run: its step's turn came, or its newest run ended. Starts that were not carried
    /// out do not change it. 0 while it runs.
    pub idle_since_us: u64,
    /// Starts since then that were not carried out.
    pub failed_starts: u32,
    /// Since when it has been slowed; 0 while it is not.
    pub slowed_us: u64,
    /// Progress of its newest run when its speed was first measured, and when that was.
    pub start_percent: u32,
    /// See [`Task::start_percent`].
    pub measured_us: u64,
    /// Progress that the worker reported last.
    pub percent: u32,
    /// When that progress last rose.
    pub progress_us: u64,
    /// Share of processor time that it may use.
    pub pace_percent: u32,
    /// Whether this planner chose a worker, and the start is neither known to be carried out nor given up.
    pub is_starting: bool,
    /// Orders to start the newest run that were not answered.
    pub unanswered: u32,
    /// When the newest answer to an order about it came; 0 while none has.
    pub answered_us: u64,
    /// The job's version that holds the choice of its newest worker.
    pub chosen_version: u64,
    /// Whether its newest run was stopped to make room for urgent steps.
    pub preempted: bool,
    /// Consecutive runs lost with their worker during probation.
    pub crashes: u32,
    /// Those of the crashes that have no other known cause and in which it was the only suspect.
    pub unexplained_crashes: u32,
    /// Whether its last lost run was a suspect in a crash without another known cause.
    pub is_crash_suspect: bool,
    /// Whether its newest run has lasted long enough not to be blamed for a crash of its worker.
    pub is_past_probation: bool,
}

impl Task {
    /// How long it has been without a run.
    pub fn idle_us(&self, now_us: u64) -> u64 {
        match self.idle_since_us {
            0 => 0,
            since_us => now_us.saturating_sub(since_us),
        }
    }

    /// Notes that its newest run is present at its worker; whether it was starting until now.
    pub(super) fn began_to_run(&mut self) -> bool {
        self.idle_since_us = 0;
        self.failed_starts = 0;
        std::mem::take(&mut self.is_starting)
    }

    fn new(state: TaskState, now_us: u64) -> Self {
        Self {
            state,
            run: 0,
            failures: 0,
            saved: String::new(),
            since_us: now_us,
            idle_since_us: now_us,
            failed_starts: 0,
            slowed_us: 0,
            start_percent: 0,
            measured_us: now_us,
            percent: 0,
            progress_us: now_us,
            pace_percent: 100,
            is_starting: false,
            unanswered: 0,
            answered_us: 0,
            chosen_version: 0,
            preempted: false,
            crashes: 0,
            unexplained_crashes: 0,
            is_crash_suspect: false,
            is_past_probation: false,
        }
    }
}

/// One job in the ledger.
#[derive(Clone, Debug)]
pub struct Job {
    /// What was accepted.
    pub spec: JobSpec,
    /// Where it stands.
    pub phase: JobPhase,
    /// Image of each step.
    pub(super) images: Vec<ImageId>,
    /// Tasks: occurrences, then steps, then indices.
    pub tasks: Vec<Task>,
    /// Tasks not yet done, by occurrence and step.
    pub left: Vec<u32>,
    /// Speed of the tasks, by occurrence and step.
    pub(super) speeds: Vec<StepSpeed>,
    /// Tasks not yet done in all.
    pub left_total: u32,
    /// Counts changes; a record carries the version that it was made of.
    pub version: u64,
    /// Newest version that is in the store.
    pub committed: u64,
    /// Phase that is in the store.
    pub committed_phase: JobPhase,
    /// Revision of the record's key; 0 while there is none.
    pub revision: u64,
    /// Whether a record is on its way to the store.
    pub is_committing: bool,
    /// Whether a run of any task is known to have begun. A choice or an order is not enough: while
    /// orders lag, callers would be told that nothing waits.
    pub is_started: bool,
    /// Workers that list ends of this job whose effect is not stored yet.
    pub(super) unacked_at: Vec<WorkerIndex>,
    /// When the job reached its final phase.
    pub ended_us: u64,
    /// When it was accepted.
    pub accepted_us: u64,
    /// When the turn of its newest step came.
    pub runnable_us: u64,
}

impl Job {
    /// A job without progress.
    pub fn new(spec: JobSpec, now_us: u64) -> Self {
        let a_round = spec.tasks_per_occurrence();
        let total = a_round * spec.rounds();
        let left: Vec<u32> =
            (0..spec.rounds()).flat_map(|_| spec.steps.iter().map(|s| s.count)).collect();
        Self {
            images: vec![NO_IMAGE; spec.steps.len()],
            tasks: vec![Task::new(TaskState::Blocked, now_us); total as usize],
            speeds: vec![StepSpeed::default(); left.len()],
            left,
            left_total: total,
            phase: JobPhase::Active,
            version: 0,
            committed: 0,
            committed_phase: JobPhase::Active,
            revision: 0,
            is_committing: false,
            is_started: false,
            unacked_at: Vec::new(),
            ended_us: 0,
            accepted_us: now_us,
            runnable_us: now_us,
            spec,
        }
    }

    /// Occurrence and step of a task, and its index within the step.
    pub fn locate(&self, task: u32) -> (u32, u32, u32) {
        let a_round = self.spec.tasks_per_occurrence().max(1);
        let mut rest = task % a_round;
        for (index, step) in self.spec.steps.iter().enumerate() {
            if rest < step.count {
                return (task / a_round, index as u32, rest);
            }
            rest -= step.count;
        }
        (task / a_round, 0, rest)
    }

    /// The step of a task.
    pub fn step(&self, task: u32) -> &Step {
        &self.spec.steps[self.locate(task).1 as usize]
    }

    /// The image of a task.
    pub(super) fn image(&self, task: u32) -> ImageId {
        self.images[self.locate(task).1 as usize]
    }

    /// Place of the first task of a step.
    pub fn first_of(&self, occurrence: u32, step: u32) -> u32 {
        let before: u32 = self.spec.steps[..step as usize].iter().map(|step| step.count).sum();
        occurrence * self.spec.tasks_per_occurrence() + before
    }

    /// Places of all tasks of a step.
    pub fn tasks_of(&self, occurrence: u32, step: u32) -> std::ops::Range<u32> {
        let first = self.first_of(occurrence, step);
        first..first + self.spec.steps[step as usize].count
    }

    /// The place of a task, if the job has it.
    pub fn find(&self, occurrence: u32, step: u32, index: u32) -> Option<u32> {
        let count = self.spec.steps.get(step as usize)?.count;
        (index < count && occurrence < self.spec.rounds())
            .then(|| self.first_of(occurrence, step) + index)
    }

    /// The name of a task.
    pub fn key(&self, task: u32) -> TaskKey {
        let (occurrence, step, index) = self.locate(task);
        TaskKey { job: self.spec.id.clone(), occurrence, step, index }
    }

    /// Place of an occurrence's step in [`Job::left`].
    pub fn step_position(&self, occurrence: u32, step: u32) -> usize {
        occurrence as usize * self.spec.steps.len() + step as usize
    }

    /// Whether all steps that `step` waits for are done.
    pub fn is_unblocked(&self, occurrence: u32, step: u32) -> bool {
        self.spec.steps[step as usize]
            .after
            .iter()
            .all(|after| self.left[self.step_position(occurrence, *after)] == 0)
    }

    /// Marks the job as changed.
    pub fn touch(&mut self) {
        self.version += 1;
    }
}
