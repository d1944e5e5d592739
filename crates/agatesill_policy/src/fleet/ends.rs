//! What workers answer: runs that are there, runs that ended, and the lives that are over.

use std::collections::HashSet;

use super::US_PER_MS;
use super::job::{JobPhase, TaskKey, TaskRef, TaskState};
use super::orders::{Order, OrderKind};
use super::state::Fleet;
use super::worker::{EndCause, EndRow, Poll, RunRow, WorkerIndex, WorkerStanding};

/// Most ends in one answer of a worker; a full list says nothing about what is not on it.
const MOST_ENDS: usize = 500;

/// Failed ends in a row, of at least two jobs, after which a worker is held to be broken: runs that
/// fail by their own fault rarely follow one another so often.
const FAILURES_TO_CLOSE: usize = 3;

/// Time after which a stop of a run that is still there is repeated: longer than a stop may take.
const STOP_AGAIN_US: u64 = 1_200 * US_PER_MS;

/// Time after which a start that was neither answered nor carried out is given up.
const START_LIMIT_US: u64 = 2_500 * US_PER_MS;

/// How long a broken worker gets no tasks at first; each further time doubles it.
const QUARANTINE_US: u64 = 4_000 * US_PER_MS;

/// Longest time without tasks: it must be tried again some time.
const LONGEST_QUARANTINE_US: u64 = 30_000 * US_PER_MS;

impl Fleet {
    /// Takes in a worker's answer.
    pub fn polled(&mut self, index: WorkerIndex, poll: &Poll, now_us: u64) {
        let lease_us = self.lease_us();
        let worker = &mut self.workers[index as usize];
        if worker.standing == WorkerStanding::Gone {
            return;
        }
        if worker.standing == WorkerStanding::New {
            // From here on the worker obeys no owner before: what that one may have asked for ends
            // no later than a lease from now.
            worker.lease_until_us = now_us + lease_us;
        }
        worker.standing = WorkerStanding::Good;
        worker.silent_calls = 0;
        worker.answered_us = now_us;
        worker.clock_offset_ms = poll.clock_ms as i64 - (now_us / US_PER_MS) as i64;
        self.worker_changed(index);
        self.lease_requested(index, poll.sent_us);
        for end in &poll.ended {
            self.run_ended(index, end, now_us);
        }
        let present = self.runs_present(index, &poll.running, now_us);
        if poll.ended.len() < MOST_ENDS {
            self.resolve_absent(index, &present, poll.sent_us, now_us);
        }
        self.watch_speed(index, now_us);
        self.watch_progress(index, now_us);
        if self.workers[index as usize].entry.is_leaving {
            self.evacuate(index, now_us);
        }
        self.balance(index, &poll.running, now_us);
        self.worker_changed(index);
    }

    /// The worker's newest end that it may forget.
    pub fn acked_end(&self, worker: WorkerIndex) -> u64 {
        self.workers[worker as usize].acked_end
    }

    /// Notes that a call asked a worker for a lease at `sent_us`. It may have arrived, answered or
    /// not.
    pub fn lease_requested(&mut self, index: WorkerIndex, sent_us: u64) {
        let until_us = sent_us + self.lease_us();
        let worker = &mut self.workers[index as usize];
        worker.lease_until_us = worker.lease_until_us.max(until_us);
    }

    /// Takes in that a call to a worker was not answered.
    pub fn worker_silent(&mut self, index: WorkerIndex, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        if worker.standing == WorkerStanding::Gone {
            return;
        }
        worker.silent_calls += 1;
        if worker.standing == WorkerStanding::Good {
            worker.standing = WorkerStanding::Silent;
            log::warn!(event = "worker_silent", worker = worker.entry.id.as_str(),
                last_answer_ms = now_us.saturating_sub(worker.answered_us) / US_PER_MS,
                tasks = worker.tasks.len(); "");
            self.record_silence(index, now_us);
            self.worker_changed(index);
        }
    }

    /// Takes in that a worker's incarnation is over: nothing runs there, and what did starts elsewhere.
    pub fn worker_gone(&mut self, index: WorkerIndex, why: &str, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        if worker.standing == WorkerStanding::Gone {
            return;
        }
        worker.standing = WorkerStanding::Gone;
        worker.is_listed = false;
        self.gone.push(index);
        log::warn!(event = "worker_gone", worker = worker.entry.id.as_str(), why = why,
            tasks = worker.tasks.len(); "");
        self.worker_changed(index);
        self.release_lost_runs(index, true, now_us);
    }

    /// Workers whose incarnation has ended since this was last asked.
    pub fn take_terminated(&mut self) -> Vec<WorkerIndex> {
        std::mem::take(&mut self.gone)
    }

    /// Ends the lives that must be over: silent past every lease that could have been granted. All that workers
    /// answered before `as_of_us` has been taken in.
    ///
    /// Guards against a planner that lags: an answer that waits to be taken in may have renewed a lease.
    pub fn expire_workers(&mut self, as_of_us: u64, now_us: u64) {
        let expired: Vec<WorkerIndex> = self
            .live_workers()
            .filter(|(_, worker)| {
                let is_silent = worker.standing != WorkerStanding::Good;
                is_silent && !worker.is_listed && as_of_us > worker.lease_until_us
            })
            .map(|(index, _)| index)
            .collect();
        for index in expired {
            self.worker_gone(index, "silent past its lease and not registered", now_us);
        }
        self.free_lapsed(as_of_us, now_us);
    }

    /// Frees the tasks of workers that are registered but silent past their lease: their runs have
    /// lapsed, though the worker lives.
    fn free_lapsed(&mut self, as_of_us: u64, now_us: u64) {
        let lapsed: Vec<WorkerIndex> = self
            .live_workers()
            .filter(|(_, worker)| {
                worker.standing != WorkerStanding::Good
                    && as_of_us > worker.lease_until_us
                    && !worker.tasks.is_empty()
            })
            .map(|(index, _)| index)
            .collect();
        for index in lapsed {
            let worker = &self.workers[index as usize];
            log::warn!(event = "worker_lapsed", worker = worker.entry.id.as_str(),
                tasks = worker.tasks.len(); "");
            self.release_lost_runs(index, false, now_us);
        }
    }

    fn find(&self, task: &TaskKey) -> Option<TaskRef> {
        let slot = self.by_id.get(&task.job).copied()?;
        let place = self.job(slot)?.find(task.occurrence, task.step, task.index)?;
        Some(TaskRef { job: slot, task: place })
    }

    fn run_ended(&mut self, index: WorkerIndex, end: &EndRow, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        if end.number <= worker.seen_end {
            return;
        }
        worker.seen_end = end.number;
        let Some(at) = self.find(&end.task) else {
            // Nothing in the ledger depends on it.
            self.note_end(index, end.number, None);
            return;
        };
        let changed = self.apply_end(index, at, end, now_us);
        if changed {
            self.mark_dirty(at.job, now_us);
        }
        self.note_end(index, end.number, Some(at.job));
    }

    /// Remembers that an end may be acknowledged once the job's present version is stored.
    fn note_end(&mut self, index: WorkerIndex, number: u64, slot: Option<u32>) {
        let version = slot.and_then(|slot| self.job(slot)).map_or(0, |job| job.version);
        self.workers[index as usize].unacked.push_back((number, slot.unwrap_or(0), version));
        self.advance_ack(index);
        let is_acked = self.workers[index as usize].acked_end >= number;
        if let Some(job) = slot.filter(|_| !is_acked).and_then(|slot| self.job_mut(slot)) {
            if !job.unacked_at.contains(&index) {
                job.unacked_at.push(index);
            }
        }
    }

    fn advance_ack(&mut self, index: WorkerIndex) {
        while let Some((number, slot, version)) =
            self.workers[index as usize].unacked.front().copied()
        {
            let committed = self.job(slot).map_or(u64::MAX, |job| job.committed);
            if version > committed {
                return;
            }
            let worker = &mut self.workers[index as usize];
            worker.unacked.pop_front();
            worker.acked_end = number;
            self.acked.push(index);
        }
    }

    /// Lets workers forget the ends of a job whose effect is stored.
    pub(super) fn acknowledge_ends(&mut self, slot: u32) {
        let Some(job) = self.job_mut(slot) else { return };
        let mut workers = std::mem::take(&mut job.unacked_at);
        workers.iter().for_each(|index| self.advance_ack(*index));
        workers.retain(|index| {
            self.workers[*index as usize].unacked.iter().any(|(_, of, _)| *of == slot)
        });
        if let Some(job) = self.job_mut(slot) {
            job.unacked_at = workers;
        }
    }

    /// Workers that may forget more ends than when this was last asked.
    pub fn take_acked(&mut self) -> Vec<WorkerIndex> {
        let mut acked = std::mem::take(&mut self.acked);
        acked.sort_unstable();
        acked.dedup();
        acked
    }

    /// Applies an end to its task; false if it concerns an older run.
    fn apply_end(&mut self, index: WorkerIndex, at: TaskRef, end: &EndRow, now_us: u64) -> bool {
        let Some(job) = self.jobs[at.job as usize].as_mut() else { return false };
        let step = job.step(at.task);
        let (is_lasting, is_gang) = (step.is_lasting, step.is_gang);
        let task = &mut job.tasks[at.task as usize];
        let is_here = task.state.worker() == Some(index);
        let is_free = matches!(task.state, TaskState::Waiting | TaskState::Chosen(_));
        // A run that was given up after its lease and had in fact finished before is done. Any other
        // end of a run that is not charged here was taken in before: a worker lists ends until they
        // are acknowledged, to each planner in turn, and a failure must count once.
        let counts = is_here || (is_free && end.cause == EndCause::Done);
        if end.run != task.run || !counts {
            return false;
        }
        job.is_started = true;
        if !end.saved.is_empty() {
            task.saved = end.saved.clone();
        }
        let ran_us = now_us.saturating_sub(task.since_us);
        let measured_us = now_us.saturating_sub(task.measured_us);
        log::info!(event = "run_ended", job = end.task.job.as_str(),
            step = end.task.step, index = end.task.index, run = end.run,
            worker = self.workers[index as usize].entry.id.as_str(), cause:? = end.cause,
            ran_ms = ran_us / US_PER_MS; "");
        if end.cause == EndCause::Done {
            self.sample_end(index, at, measured_us);
        }
        if matches!(end.cause, EndCause::Done | EndCause::Failed) {
            self.clear_crashes(at);
        }
        match end.cause {
            EndCause::Done if !is_lasting => self.task_done(at, is_gang, now_us),
            EndCause::Failed => self.task_failed(index, at, is_lasting, is_gang, now_us),
            _ => self.release(at, TaskState::Waiting, now_us),
        }
        if end.cause == EndCause::Done {
            self.workers[index as usize].failed_in_a_row.clear();
            self.workers[index as usize].quarantines = 0;
        }
        true
    }

    fn task_done(&mut self, at: TaskRef, is_gang: bool, now_us: u64) {
        let Some(job) = self.job(at.job) else { return };
        let (occurrence, step, _) = job.locate(at.task);
        let members: Vec<u32> =
            if is_gang { job.tasks_of(occurrence, step).collect() } else { vec![at.task] };
        for task in members {
            let at = TaskRef { job: at.job, task };
            if self.task_state(at) == TaskState::Done {
                continue;
            }
            self.release(at, TaskState::Done, now_us);
            self.counts.done += 1;
            if let Some(job) = self.jobs[at.job as usize].as_mut() {
                let left = job.step_position(occurrence, step);
                job.left[left] -= 1;
                job.left_total -= 1;
            }
        }
        let Some(job) = self.job(at.job) else { return };
        if job.left_total == 0 {
            self.finish(at.job, JobPhase::Completed, now_us);
        } else if job.left[job.step_position(occurrence, step)] == 0 {
            self.open_round(at.job, occurrence, now_us);
        }
    }

    fn task_failed(
        &mut self,
        index: WorkerIndex,
        at: TaskRef,
        is_lasting: bool,
        is_gang: bool,
        now_us: u64,
    ) {
        self.counts.failed += 1;
        self.doubt(index, at.job, now_us);
        let Some(job) = self.jobs[at.job as usize].as_mut() else { return };
        let (occurrence, step, _) = job.locate(at.task);
        let members = if is_gang { job.tasks_of(occurrence, step) } else { at.task..at.task + 1 };
        for member in members {
            job.tasks[member as usize].failures += 1;
        }
        let failures = job.tasks[at.task as usize].failures;
        let most = self.job(at.job).map_or(u32::MAX, |job| self.terms(job).max_attempts.max(1));
        self.release(at, TaskState::Waiting, now_us);
        if !is_lasting && failures >= most {
            self.finish(at.job, JobPhase::Failed, now_us);
        }
    }

    /// Closes a worker that fails what it starts. One job that fails everywhere is no evidence
    /// against the workers it ran on, so two jobs at least must have failed there.
    pub(super) fn doubt(&mut self, index: WorkerIndex, slot: u32, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        worker.failed_in_a_row.push(slot);
        let jobs: HashSet<u32> = worker.failed_in_a_row.iter().copied().collect();
        if worker.failed_in_a_row.len() < FAILURES_TO_CLOSE || jobs.len() < 2 {
            return;
        }
        let pause_us = (QUARANTINE_US << worker.quarantines.min(3)).min(LONGEST_QUARANTINE_US);
        worker.quarantines += 1;
        worker.closed_until_us = now_us + pause_us;
        worker.failed_in_a_row.clear();
        self.counts.quarantines += 1;
        log::warn!(event = "worker_closed", worker = worker.entry.id.as_str(),
            for_ms = pause_us / US_PER_MS; "it fails what it starts");
    }

    /// Takes in the runs that are present; what the ledger does not want there is stopped.
    fn runs_present(
        &mut self,
        index: WorkerIndex,
        rows: &[RunRow],
        now_us: u64,
    ) -> HashSet<TaskRef> {
        let mut present = HashSet::with_capacity(rows.len());
        self.workers[index as usize].has_stray_runs = false;
        for row in rows {
            match self.find(&row.task).filter(|at| self.is_wanted(index, *at, row.run)) {
                Some(at) => {
                    present.insert(at);
                    self.run_present(index, at, row, now_us);
                }
                None => self.stop_stray(index, row, now_us),
            }
        }
        present
    }

    fn is_wanted(&self, index: WorkerIndex, at: TaskRef, run: u32) -> bool {
        self.job(at.job).is_some_and(|job| {
            let task = &job.tasks[at.task as usize];
            task.run == run && task.state.worker() == Some(index)
        })
    }

    fn run_present(&mut self, index: WorkerIndex, at: TaskRef, row: &RunRow, now_us: u64) {
        let Some(job) = self.jobs[at.job as usize].as_mut() else { return };
        job.is_started = true;
        let task = &mut job.tasks[at.task as usize];
        if !row.saved.is_empty() && row.saved != task.saved {
            task.saved.clone_from(&row.saved);
        }
        self.starting -= u32::from(task.began_to_run());
        if matches!(task.state, TaskState::Stopping(_)) {
            self.stop_again(at, now_us);
            return;
        }
        // A run that resumes, or that a planner before has started, begins with what it shows first.
        let is_first = task.percent == 0;
        if row.percent != task.percent {
            task.percent = row.percent;
            task.progress_us = now_us;
        }
        if matches!(task.state, TaskState::Ordered(_) | TaskState::Chosen(_)) {
            task.state = TaskState::Running(index);
            task.since_us = now_us;
            task.progress_us = now_us;
            task.start_percent = row.percent;
            task.measured_us = now_us;
        } else if is_first && !row.saved.is_empty() {
            task.start_percent = row.percent;
            task.measured_us = now_us;
        }
        self.update_probation(at, now_us);
        self.sample_speed(index, at, row, now_us);
    }

    /// Repeats a stop for a run that is still there. The first may have been lost on the way to a
    /// worker that was not registered then, and a job that was cancelled would run on.
    fn stop_again(&mut self, at: TaskRef, now_us: u64) {
        let Some(job) = self.job(at.job) else { return };
        let task = &job.tasks[at.task as usize];
        if now_us.saturating_sub(task.since_us) > STOP_AGAIN_US {
            self.stop(at, now_us);
        }
    }

    /// A run that the ledger does not know there: of a cancelled job, or from an order that was
    /// carried out after it had been given up.
    fn stop_stray(&mut self, index: WorkerIndex, row: &RunRow, now_us: u64) {
        log::warn!(event = "stray_run", job = row.task.job.as_str(), step = row.task.step,
            index = row.task.index, run = row.run,
            worker = self.workers[index as usize].entry.id.as_str(); "stopped");
        self.workers[index as usize].has_stray_runs = true;
        let at = TaskRef { job: u32::MAX, task: 0 };
        self.orders.push(Order {
            worker: index,
            at,
            task: row.task.clone(),
            run: row.run,
            kind: OrderKind::Stop,
            decided_us: now_us,
        });
    }

    /// Frees the tasks that a worker no longer has, though it answered the order about them before
    /// the poll was sent.
    fn resolve_absent(
        &mut self,
        index: WorkerIndex,
        present: &HashSet<TaskRef>,
        sent_us: u64,
        now_us: u64,
    ) {
        let absent: Vec<TaskRef> = self.workers[index as usize]
            .tasks
            .iter()
            .copied()
            .filter(|at| !present.contains(at) && self.is_settled(*at, sent_us))
            .collect();
        for at in absent {
            log::info!(event = "run_absent", job = self.job_id(at.job), task = at.task,
                worker = self.workers[index as usize].entry.id.as_str(); "it is started again");
            self.mark_dirty(at.job, now_us);
            self.release(at, TaskState::Waiting, now_us);
        }
        self.give_up_starts(index, present, now_us);
    }

    /// Bars the starts that were neither answered nor carried out for long: the order may be lost,
    /// or come seconds late.
    fn give_up_starts(&mut self, index: WorkerIndex, present: &HashSet<TaskRef>, now_us: u64) {
        let overdue: Vec<TaskRef> = self.workers[index as usize]
            .tasks
            .iter()
            .copied()
            .filter(|at| !present.contains(at) && self.is_overdue(*at, now_us))
            .collect();
        overdue.into_iter().for_each(|at| self.stop(at, now_us));
    }

    fn is_overdue(&self, at: TaskRef, now_us: u64) -> bool {
        self.job(at.job).is_some_and(|job| {
            let task = &job.tasks[at.task as usize];
            let is_unanswered =
                matches!(task.state, TaskState::Ordered(_) | TaskState::Stopping(_))
                    && task.answered_us == 0;
            is_unanswered && now_us.saturating_sub(task.since_us) > START_LIMIT_US
        })
    }

    fn is_settled(&self, at: TaskRef, sent_us: u64) -> bool {
        let Some(job) = self.job(at.job) else { return true };
        let task = &job.tasks[at.task as usize];
        let is_answered = task.answered_us > 0 && task.answered_us < sent_us;
        match task.state {
            TaskState::Running(_) | TaskState::Ordered(_) | TaskState::Stopping(_) => is_answered,
            _ => false,
        }
    }

    pub(super) fn job_id(&self, slot: u32) -> &str {
        self.job(slot).map_or("", |job| job.spec.id.as_str())
    }
}
