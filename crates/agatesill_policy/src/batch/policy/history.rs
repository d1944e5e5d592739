//! Recent events of each job, for `explain`.

use std::collections::{BTreeMap, VecDeque};

use super::super::{Attempt, AttemptOutcome, EvictReason, WorkerId};

/// Number of events kept per job. The oldest are dropped first.
const MAX_EVENTS_PER_JOB: usize = 24;

/// An event in the history of a job.
#[derive(Clone, Debug)]
pub enum HistoryEvent {
    /// A task was placed.
    Placed {
        /// Index of the task.
        task: u32,
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: WorkerId,
    },
    /// A task was asked to save its progress and stop.
    Evicted {
        /// Index of the task.
        task: u32,
        /// The worker that it ran on.
        worker: WorkerId,
        /// Why it was evicted.
        reason: EvictReason,
    },
    /// An attempt ended without success.
    Ended {
        /// Index of the task.
        task: u32,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A throttle was set or lifted.
    Throttled {
        /// Index of the task.
        task: u32,
        /// Share of CPU time left, in percent.
        percent: u32,
    },
}

/// The events of all jobs.
#[derive(Debug, Default)]
pub struct History {
    jobs: BTreeMap<String, VecDeque<(u64, HistoryEvent)>>,
}

impl History {
    /// Adds an event.
    pub fn add(&mut self, now_ms: u64, job: &str, event: HistoryEvent) {
        if !self.jobs.contains_key(job) {
            self.jobs.insert(job.to_owned(), VecDeque::new());
        }
        let Some(history) = self.jobs.get_mut(job) else { return };
        if history.len() == MAX_EVENTS_PER_JOB {
            history.pop_front();
        }
        history.push_back((now_ms, event));
    }

    /// Drops the events of a job.
    pub fn forget(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// The events of a job as text, oldest first.
    pub fn lines(&self, job: &str) -> Vec<String> {
        let history = self.jobs.get(job);
        history.into_iter().flatten().map(|(at_ms, event)| format_event(*at_ms, event)).collect()
    }
}

fn format_event(at_ms: u64, event: &HistoryEvent) -> String {
    match event {
        HistoryEvent::Placed { task, attempt, worker } => {
            format!("{at_ms} ms: task {task} attempt {attempt} placed on worker {worker}")
        }
        HistoryEvent::Evicted { task, worker, reason } => {
            let why = match reason {
                EvictReason::Promise => "a service on the worker missed its latency target",
                EvictReason::Urgent => "an urgent task needed the capacity",
                EvictReason::Share => "a team below its share needed the capacity",
                EvictReason::Drain => "the worker accepts no more tasks",
            };
            format!("{at_ms} ms: task {task} evicted from worker {worker}: {why}")
        }
        HistoryEvent::Ended { task, worker, outcome } => {
            let how = match outcome {
                AttemptOutcome::Done => "done".to_owned(),
                AttemptOutcome::Failed { kind } => format!("failed ({kind:?})"),
                AttemptOutcome::Stopped { checkpoint_ms } => {
                    format!("stopped with {checkpoint_ms} ms of work saved")
                }
                AttemptOutcome::LeaseEnded => "lost: its lease expired without a report".to_owned(),
                AttemptOutcome::WorkerCrashed => {
                    "lost with its worker soon after its start".to_owned()
                }
            };
            format!("{at_ms} ms: task {task} on worker {worker} {how}")
        }
        HistoryEvent::Throttled { task, percent } => {
            format!("{at_ms} ms: task {task} runs at {percent}% of its CPU time")
        }
    }
}
