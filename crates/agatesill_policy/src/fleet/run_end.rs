//! Proofs that a run is over or has never begun. Without one, its task does not start again.

use super::job::{ANSWERED_BEFORE_EPOCH_US, TaskRef, TaskState};
use super::state::Fleet;
use super::worker::{Worker, WorkerIndex};

/// What proves that a run is over or has never begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndProof {
    /// The worker listed the end of the run, or of another member of its gang.
    Listed,
    /// The run is missing from the worker's answer to a poll that was sent after an order about the
    /// run had been answered.
    Absent,
    /// The run is missing from the worker's first answer under this epoch. From that poll on, the
    /// worker rejects the orders of earlier planners.
    AbsentInEpoch,
    /// Every lease that the worker can have been granted has passed.
    LeasePassed,
    /// Another incarnation has answered in place of the one that ran it.
    Superseded,
    /// The worker rejected the start, and no other start of the run is unanswered.
    Rejected,
    /// No part of any start of the run was sent.
    NotSent,
    /// The start was not ordered yet.
    NotOrdered,
}

impl EndProof {
    /// All proofs.
    pub const ALL: [EndProof; 8] = [
        EndProof::Listed,
        EndProof::Absent,
        EndProof::AbsentInEpoch,
        EndProof::LeasePassed,
        EndProof::Superseded,
        EndProof::Rejected,
        EndProof::NotSent,
        EndProof::NotOrdered,
    ];

    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndProof::Listed => "listed",
            EndProof::Absent => "absent",
            EndProof::AbsentInEpoch => "absent_in_epoch",
            EndProof::LeasePassed => "lease_passed",
            EndProof::Superseded => "superseded",
            EndProof::Rejected => "rejected",
            EndProof::NotSent => "not_sent",
            EndProof::NotOrdered => "not_ordered",
        }
    }
}

/// Number of runs that ended by each proof.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndCounts([u64; EndProof::ALL.len()]);

impl EndCounts {
    /// Number of runs that ended by a proof.
    pub fn of(&self, proof: EndProof) -> u64 {
        self.0[proof as usize]
    }

    fn add(&mut self, proof: EndProof) {
        self.0[proof as usize] += 1;
    }
}

/// A proof and the time from which it is known.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunEnd {
    pub proof: EndProof,
    /// Time as of which the evidence holds: when the call was sent whose answer is the proof, or
    /// when the lease ended.
    pub as_of_us: u64,
}

/// A run that has ended, for the log line of the run that follows it.
#[derive(Clone, Copy, Debug)]
pub struct EndedRun {
    /// Run number.
    pub run: u32,
    /// Worker on which it ran, or was to run.
    pub worker: WorkerIndex,
    /// What proved its end.
    pub proof: EndProof,
    /// Time as of which the evidence holds.
    pub as_of_us: u64,
    /// When the ledger applied the proof.
    pub applied_us: u64,
}

impl Fleet {
    /// Ends the newest run of a task by a proof and moves the task to another state.
    pub(super) fn end_run(
        &mut self,
        task_ref: TaskRef,
        state: TaskState,
        end: RunEnd,
        now_us: u64,
    ) {
        let Some(job) = self.job_mut(task_ref.job) else { return };
        let task = &mut job.tasks[task_ref.task as usize];
        if let Some(worker) = task.state.worker() {
            task.last_end = Some(EndedRun {
                run: task.run,
                worker,
                proof: end.proof,
                as_of_us: end.as_of_us,
                applied_us: now_us,
            });
            self.counts.ends.add(end.proof);
        }
        self.release(task_ref, state, now_us);
    }

    /// Withdraws a choice whose start has not been ordered.
    pub(super) fn withdraw_choice(&mut self, task_ref: TaskRef, state: TaskState, now_us: u64) {
        let end = RunEnd { proof: EndProof::NotOrdered, as_of_us: now_us };
        self.end_run(task_ref, state, end, now_us);
    }

    /// What the absence of a run from an answer to a poll proves. The ledger of a successor takes an
    /// order of an earlier planner for answered before all of its own polls.
    pub(super) fn absence_of(&self, task_ref: TaskRef, sent_us: u64) -> RunEnd {
        let answered_us =
            self.job(task_ref.job).map_or(0, |job| job.tasks[task_ref.task as usize].answered_us);
        let is_inherited = answered_us == ANSWERED_BEFORE_EPOCH_US;
        let proof = if is_inherited { EndProof::AbsentInEpoch } else { EndProof::Absent };
        RunEnd { proof, as_of_us: sent_us }
    }

    /// What proves that a run on a lost worker is over, or has not been ordered yet.
    pub(super) fn loss_of(&self, index: WorkerIndex, task_ref: TaskRef, now_us: u64) -> RunEnd {
        let worker: &Worker = &self.workers[index as usize];
        if matches!(self.task_state(task_ref), TaskState::Chosen(_)) {
            RunEnd { proof: EndProof::NotOrdered, as_of_us: now_us }
        } else if worker.is_superseded {
            RunEnd { proof: EndProof::Superseded, as_of_us: worker.superseded_us }
        } else {
            RunEnd { proof: EndProof::LeasePassed, as_of_us: worker.lease_until_us }
        }
    }
}
