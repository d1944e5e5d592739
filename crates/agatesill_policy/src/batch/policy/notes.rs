//! What happened to each job, kept short for `explain`.

use std::collections::{BTreeMap, VecDeque};

use super::super::{Attempt, AttemptOutcome, EvictReason, WorkerId};

/// Entries kept for each job; the newest stay.
const ENTRIES: usize = 24;

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Note {
    /// A task was placed.
    Placed {
        /// Index of the task.
        task: u32,
        /// The attempt.
        attempt: Attempt,
        /// Where.
        worker: WorkerId,
    },
    /// A task was asked to move.
    Evicted {
        /// Index of the task.
        task: u32,
        /// From where.
        worker: WorkerId,
        /// Why.
        reason: EvictReason,
    },
    /// An attempt ended other than by success.
    Ended {
        /// Index of the task.
        task: u32,
        /// Where.
        worker: WorkerId,
        /// How.
        outcome: AttemptOutcome,
    },
    /// A task was throttled, or no longer is.
    Throttled {
        /// Index of the task.
        task: u32,
        /// Share of processor time left.
        percent: u32,
    },
}

/// The notes of all jobs.
#[derive(Debug, Default)]
pub struct Notes {
    jobs: BTreeMap<String, VecDeque<(u64, Note)>>,
}

impl Notes {
    /// Adds a note.
    pub fn add(&mut self, now_ms: u64, job: &str, note: Note) {
        if !self.jobs.contains_key(job) {
            self.jobs.insert(job.to_owned(), VecDeque::new());
        }
        let Some(notes) = self.jobs.get_mut(job) else { return };
        if notes.len() == ENTRIES {
            notes.pop_front();
        }
        notes.push_back((now_ms, note));
    }

    /// Drops a job's notes.
    pub fn forget(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// A job's notes in words, oldest first.
    pub fn lines(&self, job: &str) -> Vec<String> {
        let notes = self.jobs.get(job);
        notes.into_iter().flatten().map(|(at_ms, note)| line(*at_ms, note)).collect()
    }
}

fn line(at_ms: u64, note: &Note) -> String {
    match note {
        Note::Placed { task, attempt, worker } => {
            format!("{at_ms} ms: task {task} attempt {attempt} placed on worker {worker}")
        }
        Note::Evicted { task, worker, reason } => {
            let why = match reason {
                EvictReason::Promise => "a service beside it missed its promise",
                EvictReason::Urgent => "urgent work needed the room",
                EvictReason::Share => "a team below its share needed the room",
                EvictReason::Drain => "the worker takes no more work",
            };
            format!("{at_ms} ms: task {task} moved from worker {worker}: {why}")
        }
        Note::Ended { task, worker, outcome } => {
            let how = match outcome {
                AttemptOutcome::Done => "done".to_owned(),
                AttemptOutcome::Failed { kind } => format!("failed ({kind:?})"),
                AttemptOutcome::Stopped { checkpoint_ms } => {
                    format!("stopped with {checkpoint_ms} ms of work saved")
                }
                AttemptOutcome::LeaseEnded => "lost: its lease ended unheard".to_owned(),
                AttemptOutcome::WorkerCrashed => {
                    "lost with its worker soon after its start".to_owned()
                }
            };
            format!("{at_ms} ms: task {task} on worker {worker} {how}")
        }
        Note::Throttled { task, percent } => {
            format!("{at_ms} ms: task {task} runs at {percent}% of its processors")
        }
    }
}
