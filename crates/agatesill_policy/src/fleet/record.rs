//! Persistent progress of a job.

use crate::value_type;

use super::job::{Job, JobPhase, TaskState};
use super::worker::Worker;

value_type! {
    /// Persistent state of a task that has been started at least once.
    #[serde(default)]
    #[derive(Default)]
    pub struct TaskRecord {
        /// Index among the job's tasks.
        #[serde(rename = "i")]
        pub task: u32,
        /// Number of the newest run.
        #[serde(rename = "r")]
        pub run: u32,
        /// Failed runs.
        #[serde(rename = "f", skip_serializing_if = "is_zero")]
        pub failures: u32,
        /// Newest run of the task's gang that is counted among the failed runs.
        #[serde(rename = "l", skip_serializing_if = "is_zero")]
        pub counted_run: u32,
        /// Consecutive runs lost in worker crashes during probation.
        #[serde(rename = "c", skip_serializing_if = "is_zero")]
        pub crashes: u32,
        /// Number of these crashes that have no other known cause and in which the task was the
        /// only suspect.
        #[serde(rename = "u", skip_serializing_if = "is_zero")]
        pub unexplained_crashes: u32,
        /// Whether the task is done.
        #[serde(rename = "d", skip_serializing_if = "is_false")]
        pub is_done: bool,
        /// Worker incarnation on which the newest run may be present; empty if the run has ended.
        #[serde(rename = "w", skip_serializing_if = "String::is_empty")]
        pub worker: String,
        /// Newest checkpoint known when the record was built.
        #[serde(rename = "s", skip_serializing_if = "String::is_empty")]
        pub saved: String,
        /// Wall-clock time since which the task has not run; 0 while it runs.
        #[serde(rename = "a", skip_serializing_if = "is_zero64")]
        pub waits_since_ms: u64,
    }
}

impl TaskRecord {
    /// Whether the record proves that a run has begun. An ordered run may not have begun.
    pub fn has_begun(&self) -> bool {
        self.is_done || self.failures > 0 || !self.saved.is_empty()
    }
}

#[allow(clippy::trivially_copy_pass_by_ref)] // Signature required by serde.
fn is_zero(value: &u32) -> bool {
    *value == 0
}

#[allow(clippy::trivially_copy_pass_by_ref)] // Signature required by serde.
fn is_zero64(value: &u64) -> bool {
    *value == 0
}

#[allow(clippy::trivially_copy_pass_by_ref)] // Signature required by serde.
fn is_false(value: &bool) -> bool {
    !*value
}

value_type! {
    /// Persistent state of a job.
    pub struct ProgressRecord {
        /// Lifecycle phase.
        #[serde(rename = "p")]
        pub phase: JobPhase,
        /// Whether any task has been started, or is about to be: its order follows this record.
        #[serde(rename = "b", default)]
        pub is_started: bool,
        /// Wall-clock time at which the newest step became runnable.
        #[serde(rename = "o", default, skip_serializing_if = "is_zero64")]
        pub turn_ms: u64,
        /// Tasks that have been started; empty once the job has ended and none of its tasks may
        /// run.
        #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
        pub tasks: Vec<TaskRecord>,
    }
}

impl ProgressRecord {
    /// Builds the record of a job; `wall_ms` converts ledger time to wall-clock time.
    pub fn of(job: &Job, workers: &[Worker], wall_ms: impl Fn(u64) -> u64) -> Self {
        let is_final = job.phase != JobPhase::Active;
        let tasks = job
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.run > 0 && (!is_final || task.state.worker().is_some()))
            .map(|(index, task)| TaskRecord {
                task: index as u32,
                run: task.run,
                failures: task.failures,
                counted_run: task.counted_run,
                crashes: task.crashes,
                unexplained_crashes: task.unexplained_crashes,
                is_done: task.state == TaskState::Done,
                worker: task
                    .state
                    .worker()
                    .map(|worker| workers[worker as usize].entry.id.clone())
                    .unwrap_or_default(),
                saved: task.saved.clone(),
                waits_since_ms: match (task.state, task.idle_since_us) {
                    (TaskState::Done | TaskState::Blocked, _) | (_, 0) => 0,
                    (_, since_us) => wall_ms(since_us),
                },
            })
            .collect();
        let is_started = job.tasks.iter().any(|task| task.run > 0);
        let turn_ms = if is_final { 0 } else { wall_ms(job.runnable_us) };
        Self { phase: job.phase, is_started, turn_ms, tasks }
    }
}
