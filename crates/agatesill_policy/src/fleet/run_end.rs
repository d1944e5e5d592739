//! Proofs that a run is over or has never begun. Without one, its task does not start again.
//!
//! Three sources prove it: the incarnation that ran the task or was to run it, the end of the last
//! lease that it can have been granted, and the answer of another incarnation in its place. What is
//! observed at this end of a connection (silence, a refused connection, an entry of the registry)
//! proves nothing about the other end.

use super::US_PER_MS;
use super::job::{ANSWERED_BEFORE_EPOCH_US, JobPhase, Task, TaskRef, TaskState};
use super::orders::{NO_TASK, Order, OrderKind, OrderOutcome};
use super::start_waits::Urgency;
use super::state::{Fleet, TaskGroup};
use super::worker::{UnbarredRun, Worker, WorkerIndex};

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

/// A proof that a run is over or has never begun. Each constructor checks the conditions of its proof.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunEnd {
    proof: EndProof,
    as_of_us: u64,
}

impl RunEnd {
    /// The worker listed the end in its answer to a poll sent at `sent_us`.
    pub fn listed(sent_us: u64) -> Self {
        Self { proof: EndProof::Listed, as_of_us: sent_us }
    }

    /// The run is missing from a complete answer to a poll sent at `sent_us`. That proves nothing
    /// unless an order about the run was answered before: the order may have overtaken the poll, or
    /// be carried out later.
    pub fn absent(task: &Task, sent_us: u64) -> Option<Self> {
        let may_be_present = matches!(
            task.state,
            TaskState::Ordered(_) | TaskState::Running(_) | TaskState::Stopping(_)
        );
        if !may_be_present || task.answered_us == 0 || task.answered_us >= sent_us {
            return None;
        }
        let is_inherited = task.answered_us == ANSWERED_BEFORE_EPOCH_US;
        let proof = if is_inherited { EndProof::AbsentInEpoch } else { EndProof::Absent };
        Some(Self { proof, as_of_us: sent_us })
    }

    /// The worker of the run is lost: another incarnation has answered in its place, or the last
    /// lease that it can have been granted ended before `as_of_us`. Silence and refused connections
    /// prove nothing.
    pub fn lost(task: &Task, worker: &Worker, as_of_us: u64, now_us: u64) -> Option<Self> {
        if worker.is_superseded {
            return Some(Self { proof: EndProof::Superseded, as_of_us: worker.superseded_us });
        }
        if as_of_us > worker.lease_until_us {
            return Some(Self { proof: EndProof::LeasePassed, as_of_us: worker.lease_until_us });
        }
        Self::not_ordered(task, now_us)
    }

    /// The worker did not accept the start, or the start was not sent. That proves nothing if
    /// another start of the run is unanswered, which may be carried out later.
    pub fn rejected(
        outcome: OrderOutcome,
        answered_us: u64,
        has_unanswered_start: bool,
    ) -> Option<Self> {
        let proof = match outcome {
            OrderOutcome::Late
            | OrderOutcome::NoRoom
            | OrderOutcome::NoTicket
            | OrderOutcome::Refused
            | OrderOutcome::Malformed => EndProof::Rejected,
            OrderOutcome::Undelivered | OrderOutcome::Withheld => EndProof::NotSent,
            OrderOutcome::Done
            | OrderOutcome::Old
            | OrderOutcome::Fenced
            | OrderOutcome::Unexplained
            | OrderOutcome::OtherIncarnation
            | OrderOutcome::Unanswered => return None,
        };
        (!has_unanswered_start).then_some(Self { proof, as_of_us: answered_us })
    }

    /// The start of the chosen run has not been ordered.
    pub fn not_ordered(task: &Task, now_us: u64) -> Option<Self> {
        let is_chosen = matches!(task.state, TaskState::Chosen(_));
        is_chosen.then_some(Self { proof: EndProof::NotOrdered, as_of_us: now_us })
    }

    /// Name of the proof in logs.
    pub fn name(&self) -> &'static str {
        self.proof.name()
    }

    /// Age of the evidence: since when the call was sent whose answer is the proof, or since the end
    /// of the lease.
    pub fn age_ms(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.as_of_us) / US_PER_MS
    }
}

/// The end of a run, as it is logged with the run that follows.
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
        if end.proof == EndProof::LeasePassed {
            self.remember_unbarred(task_ref);
        }
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

    /// Remembers a run that is given up with the lease of its worker if its start may still arrive.
    ///
    /// Guards against a task that runs twice: a lease that has passed ends what runs, but a start that
    /// is still under way begins the run once the worker has its next lease.
    fn remember_unbarred(&mut self, task_ref: TaskRef) {
        let Some(job) = self.job(task_ref.job) else { return };
        let task = &job.tasks[task_ref.task as usize];
        let (TaskState::Ordered(worker) | TaskState::Stopping(worker)) = task.state else { return };
        if task.answered_us > 0 {
            return;
        }
        let run = UnbarredRun { task: job.key(task_ref.task), run: task.run, is_stopping: false };
        self.workers[worker as usize].unbarred.push(run);
    }

    /// Stops the runs that were given up with the lease of a worker which answers again.
    pub(super) fn bar_lost_starts(&mut self, index: WorkerIndex, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        for lost in worker.unbarred.iter_mut().filter(|lost| !lost.is_stopping) {
            lost.is_stopping = true;
            log::info!(event = "lost_start_barred", job = lost.task.job.as_str(), task:% = lost.task,
                run = lost.run, worker = worker.entry.id.as_str(); "");
            self.orders.push(Order {
                worker: index,
                task_ref: NO_TASK,
                task: lost.task.clone(),
                run: lost.run,
                kind: OrderKind::Stop,
                decided_us: now_us,
                sent_us: 0,
            });
        }
    }

    /// Applies the outcome of a stop that bars the start of a run which was given up. Without the
    /// worker's consent it is repeated after the next answer to a poll.
    pub(super) fn lost_start_answered(&mut self, order: &Order, outcome: OrderOutcome) {
        let worker = &mut self.workers[order.worker as usize];
        let is_barred = matches!(outcome, OrderOutcome::Done | OrderOutcome::Old);
        let is_same = |lost: &UnbarredRun| lost.run == order.run && lost.task == order.task;
        if is_barred {
            worker.unbarred.retain(|lost| !is_same(lost));
        }
        for lost in worker.unbarred.iter_mut().filter(|lost| is_same(lost)) {
            lost.is_stopping = false;
        }
        self.worker_changed(order.worker);
    }

    /// Withdraws a choice whose start has not been ordered.
    pub(super) fn withdraw_choice(&mut self, task_ref: TaskRef, state: TaskState, now_us: u64) {
        let end = self
            .job(task_ref.job)
            .and_then(|job| RunEnd::not_ordered(&job.tasks[task_ref.task as usize], now_us));
        if let Some(end) = end {
            self.end_run(task_ref, state, end, now_us);
        }
    }

    /// Undoes a choice that has no run number yet.
    pub(super) fn undo_choice(&mut self, task_ref: TaskRef, now_us: u64) {
        if matches!(self.task_state(task_ref), TaskState::Chosen(_)) {
            self.release(task_ref, TaskState::Waiting, now_us);
        }
    }

    /// Frees the resources allocated to a task and moves the task to another state. The callers have
    /// the proof that its newest run is over.
    fn release(&mut self, task_ref: TaskRef, state: TaskState, now_us: u64) {
        let Some(job) = self.jobs[task_ref.job as usize].as_mut() else { return };
        let previous_state = job.tasks[task_ref.task as usize].state;
        let was_isolated = job.tasks[task_ref.task as usize].is_isolated();
        let (occurrence, step_index, _) = job.locate(task_ref.task);
        let step = &job.spec.steps[step_index as usize];
        self.preemption.freeing.remove(&task_ref);
        let is_active = job.phase == JobPhase::Active;
        let terms = self.queues.get(&job.spec.queue).unwrap_or(&job.spec.terms);
        if let Some(meters) = self.load_meters.get_mut(&terms.service) {
            meters.released(step, state == TaskState::Done, is_active);
        }
        if let Some(index) = previous_state.worker() {
            let worker = &mut self.workers[index as usize];
            worker.used = worker.used.minus(&step.allocation());
            let image = job.images[step_index as usize];
            let is_serving = step.target_ms > 0;
            if is_serving && worker.serving.remove(image) {
                self.pairs.serving_removed(image, &worker.filling);
            } else if step.fills && !is_serving && worker.filling.remove(image) {
                self.pairs.filling_removed(image, &worker.serving);
            }
            if step.fills {
                worker.best_effort_cpu_milli =
                    worker.best_effort_cpu_milli.saturating_sub(step.need.cpu_milli);
            }
            if Urgency::of(step, terms.priority) == Urgency::Urgent {
                worker.urgent = worker.urgent.saturating_sub(1);
            }
            if step.is_lasting {
                worker.lasting = worker.lasting.saturating_sub(1);
                worker.long_running_cpu_milli =
                    worker.long_running_cpu_milli.saturating_sub(step.need.cpu_milli);
            }
            worker.tasks.retain(|other| *other != task_ref);
            worker.isolated_tasks = worker.isolated_tasks.saturating_sub(u32::from(was_isolated));
            self.capacity_index.update(index, worker);
        }
        let state =
            if state == TaskState::Waiting && !is_active { TaskState::Blocked } else { state };
        let task = &mut job.tasks[task_ref.task as usize];
        task.state = state;
        task.since_us = now_us;
        self.starting -= u32::from(std::mem::take(&mut task.is_starting));
        if task.idle_since_us == 0 {
            task.idle_since_us = now_us;
        } else if previous_state.worker().is_some() {
            task.failed_starts += 1;
        }
        task.unanswered = 0;
        task.has_undelivered_order = false;
        task.answered_us = 0;
        task.pace_percent = 100;
        task.is_throttled = false;
        task.slowed_us = 0;
        if state == TaskState::Waiting {
            self.waiting.insert(TaskGroup { job: task_ref.job, occurrence, step: step_index });
        }
    }
}
