//! Answers of workers to polls: present runs, ended runs and terminated incarnations.

use std::cmp::Ordering;
use std::collections::HashSet;

use super::US_PER_MS;
use super::job::{JobPhase, TaskKey, TaskRef, TaskState};
use super::lease_record::Silence;
use super::missing_tasks::state_name;
use super::orders::{NO_TASK, Order, OrderKind};
use super::run_end::RunEnd;
use super::state::Fleet;
use super::worker::{EndCause, EndRow, Poll, RunRow, WorkerIndex, WorkerStanding};

/// Maximum number of ends in one answer. A full list does not prove that a run missing from it is
/// absent.
const MAX_ENDS: usize = 500;

/// Consecutive failed runs, of at least two jobs, after which a worker counts as faulty. Runs that
/// fail by their own fault rarely follow one another so often.
const QUARANTINE_FAILURES: usize = 3;

/// Time after which the stop of a run that is still present is repeated; longer than a stop may
/// take.
const STOP_RETRY_INTERVAL_US: u64 = 1_200 * US_PER_MS;

/// Time after which a start that was neither answered nor carried out is given up.
const START_TIMEOUT_US: u64 = 2_500 * US_PER_MS;

/// First quarantine of a faulty worker. Each further one is twice as long.
const INITIAL_QUARANTINE_US: u64 = 4_000 * US_PER_MS;

/// Maximum quarantine, so that a faulty worker is tried again eventually.
const MAX_QUARANTINE_US: u64 = 30_000 * US_PER_MS;

/// A run that a worker reports and that the ledger expects there.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedRun<'a> {
    /// Location of the task.
    pub task_ref: TaskRef,
    /// What the worker reports.
    pub row: &'a RunRow,
}

impl Fleet {
    /// Applies a worker's answer to a poll.
    pub fn polled(&mut self, index: WorkerIndex, poll: &Poll, now_us: u64) {
        let lease_us = self.lease_us();
        let worker = &mut self.workers[index as usize];
        if worker.standing == WorkerStanding::Gone {
            return;
        }
        match worker.order_of(poll.started_ms) {
            Ordering::Less => return,
            Ordering::Greater => {
                let why = "it restarted under its identifier";
                return self.worker_superseded(index, why, poll.sent_us, now_us);
            }
            Ordering::Equal => worker.started_ms = poll.started_ms.max(worker.started_ms),
        }
        self.supersede_rivals(index, poll.sent_us, now_us);
        let worker = &mut self.workers[index as usize];
        if worker.standing == WorkerStanding::New {
            // The worker ignores previous owners from here on. Any lease that they requested ends
            // no later than one lease from now.
            worker.lease_until_us = now_us + lease_us;
        }
        let was_silent = worker.standing == WorkerStanding::Silent;
        worker.standing = WorkerStanding::Good;
        worker.unanswered_calls = 0;
        worker.refused_polls = 0;
        worker.silence = Silence::default();
        worker.answered_us = now_us;
        worker.reported_us = worker.clock.reported_us(poll, now_us);
        if was_silent {
            self.avoid_flapping_worker(index, now_us);
        }
        self.worker_changed(index);
        self.lease_requested(index, poll.sent_us);
        for end in &poll.ended {
            self.run_ended(index, end, poll.sent_us, now_us);
        }
        self.bar_lost_starts(index, now_us);
        self.repeat_undelivered_orders(index, now_us);
        let reported = self.apply_runs(index, &poll.running, now_us);
        if poll.ended.len() < MAX_ENDS && !poll.is_incomplete {
            self.release_absent(index, &reported, poll.sent_us, now_us);
        }
        self.review_failures(index, now_us);
        self.sample_long_running(index, &reported, now_us);
        self.detect_slow_worker(index, now_us);
        self.evacuate_slow_workers(now_us);
        self.stop_stalled(index, now_us);
        if self.workers[index as usize].entry.is_leaving {
            self.evacuate(index, now_us);
        }
        self.update_pacing(index, &reported, now_us);
        self.worker_changed(index);
    }

    /// Newest end that the worker may discard.
    pub fn acked_end(&self, worker: WorkerIndex) -> u64 {
        self.workers[worker as usize].acked_end
    }

    /// Records that a call sent at `sent_us` requested a lease. The call may have arrived even if
    /// it was not answered.
    pub fn lease_requested(&mut self, index: WorkerIndex, sent_us: u64) {
        let until_us = sent_us + self.lease_us();
        let worker = &mut self.workers[index as usize];
        worker.lease_until_us = worker.lease_until_us.max(until_us);
    }

    /// Records that a call to a worker was not answered.
    pub fn worker_silent(&mut self, index: WorkerIndex, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        if worker.standing == WorkerStanding::Gone {
            return;
        }
        worker.unanswered_calls += 1;
        worker.silence.begin(now_us);
        if worker.standing == WorkerStanding::Good {
            worker.standing = WorkerStanding::Silent;
            worker.silences.add(now_us);
            log::warn!(event = "worker_silent", worker = worker.entry.id.as_str(),
                last_answer_ms = now_us.saturating_sub(worker.answered_us) / US_PER_MS,
                is_refused = worker.refused_polls > 0, tasks = worker.tasks.len(); "");
            self.record_unresponsive_worker(index, now_us);
            self.worker_changed(index);
        }
    }

    /// Records that the worker's address refused the connection for a poll.
    ///
    /// That does not prove that the incarnation has terminated: a partition may reject connections
    /// while the worker behind it runs on.
    pub fn connection_refused(&mut self, index: WorkerIndex, now_us: u64) {
        self.workers[index as usize].refused_polls += 1;
        self.worker_silent(index, now_us);
    }

    /// Marks a worker as terminated and releases its tasks, which start elsewhere.
    ///
    /// All answers received before `as_of_us` have been applied.
    pub(super) fn worker_gone(
        &mut self,
        index: WorkerIndex,
        why: &str,
        as_of_us: u64,
        now_us: u64,
    ) {
        let worker = &mut self.workers[index as usize];
        if worker.standing == WorkerStanding::Gone {
            return;
        }
        worker.standing = WorkerStanding::Gone;
        worker.is_listed = false;
        self.terminated.push(index);
        let evidence_us =
            if worker.is_superseded { worker.superseded_us } else { worker.lease_until_us };
        log::warn!(event = "worker_gone", worker = worker.entry.id.as_str(), why = why,
            revision = worker.entry.revision, started_ms = worker.started_ms,
            evidence_ms = now_us.saturating_sub(evidence_us) / US_PER_MS,
            answer_age_ms = now_us.saturating_sub(worker.answered_us) / US_PER_MS,
            silent_ms = worker.silence.total_ms(now_us),
            planners_before = worker.silence.planners_before,
            refused_polls = worker.refused_polls, tasks = worker.tasks.len(); "");
        self.worker_changed(index);
        self.release_lost_runs(index, true, as_of_us, now_us);
    }

    /// Returns the workers that have terminated since the last call.
    pub fn take_terminated(&mut self) -> Vec<WorkerIndex> {
        std::mem::take(&mut self.terminated)
    }

    /// Terminates workers that are not listed and have been unresponsive past every lease that they
    /// could have been granted. All answers received before `as_of_us` have been applied.
    ///
    /// Guards against a planner that lags: an answer that waits to be applied may have renewed a
    /// lease.
    pub fn expire_workers(&mut self, as_of_us: u64, now_us: u64) {
        let expired: Vec<WorkerIndex> = self
            .live_workers()
            .filter(|(_, worker)| {
                let is_unresponsive = worker.standing != WorkerStanding::Good;
                is_unresponsive && !worker.is_listed && as_of_us > worker.lease_until_us
            })
            .map(|(index, _)| index)
            .collect();
        for index in expired {
            self.worker_gone(index, "silent past its lease and not registered", as_of_us, now_us);
        }
        self.release_lapsed(as_of_us, now_us);
    }

    /// Releases the tasks of workers that are registered but unresponsive past their lease. Their
    /// runs have lapsed, although the workers may still be running.
    fn release_lapsed(&mut self, as_of_us: u64, now_us: u64) {
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
                silent_ms = worker.silence.total_ms(now_us),
                planners_before = worker.silence.planners_before, refused_polls = worker.refused_polls, tasks = worker.tasks.len(); "");
            self.release_lost_runs(index, false, as_of_us, now_us);
            self.follow_to_other_address(index, as_of_us, now_us);
        }
    }

    pub(super) fn find(&self, task: &TaskKey) -> Option<TaskRef> {
        let slot = self.by_id.get(&task.job).copied()?;
        let place = self.job(slot)?.find(task.occurrence, task.step, task.index)?;
        Some(TaskRef { job: slot, task: place })
    }

    fn run_ended(&mut self, index: WorkerIndex, end: &EndRow, sent_us: u64, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        if end.number <= worker.applied_end {
            return;
        }
        worker.applied_end = end.number;
        let Some(task_ref) = self.find(&end.task) else {
            // No state in the ledger depends on this end.
            self.track_end(index, end.number, None);
            return;
        };
        let changed = self.apply_end(index, task_ref, end, sent_us, now_us);
        if changed {
            self.mark_dirty(task_ref.job, now_us);
        }
        self.track_end(index, end.number, Some(task_ref.job));
    }

    /// Records that an end may be acknowledged once the current version of the job is stored.
    fn track_end(&mut self, index: WorkerIndex, number: u64, slot: Option<u32>) {
        let version = slot.and_then(|slot| self.job(slot)).map_or(0, |job| job.version);
        self.workers[index as usize].unacked.push_back((number, slot.unwrap_or(0), version));
        self.advance_ack(index);
        let is_acked = self.workers[index as usize].acked_end >= number;
        if let Some(job) = slot.filter(|_| !is_acked).and_then(|slot| self.job_mut(slot)) {
            if !job.unacked_workers.contains(&index) {
                job.unacked_workers.push(index);
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

    /// Acknowledges the ends of a job whose effect is stored.
    pub(super) fn acknowledge_ends(&mut self, slot: u32) {
        let Some(job) = self.job_mut(slot) else { return };
        let mut workers = std::mem::take(&mut job.unacked_workers);
        workers.iter().for_each(|index| self.advance_ack(*index));
        workers.retain(|index| {
            self.workers[*index as usize].unacked.iter().any(|(_, job_slot, _)| *job_slot == slot)
        });
        if let Some(job) = self.job_mut(slot) {
            job.unacked_workers = workers;
        }
    }

    /// Returns the workers whose newest acknowledged end has changed since the last call.
    pub fn take_acked(&mut self) -> Vec<WorkerIndex> {
        let mut acked = std::mem::take(&mut self.acked);
        acked.sort_unstable();
        acked.dedup();
        acked
    }

    /// Applies an end to its task. Returns false if the end concerns an older run.
    fn apply_end(
        &mut self,
        index: WorkerIndex,
        task_ref: TaskRef,
        end: &EndRow,
        sent_us: u64,
        now_us: u64,
    ) -> bool {
        let Some(job) = self.jobs[task_ref.job as usize].as_mut() else { return false };
        let step = job.step(task_ref.task);
        let (is_lasting, is_gang) = (step.is_lasting, step.is_gang);
        let task = &mut job.tasks[task_ref.task as usize];
        let is_allocated_here = task.state.worker() == Some(index);
        let is_unstarted = matches!(task.state, TaskState::Waiting | TaskState::Chosen(_));
        // A run that was given up after its lease and had already finished counts as done. Any
        // other end of a run without an allocation here was applied before: a worker reports ends
        // until they are acknowledged, to each planner in turn, and a failure must count once.
        let is_relevant = is_allocated_here || (is_unstarted && end.cause == EndCause::Done);
        if end.run != task.run || !is_relevant {
            return false;
        }
        job.is_started = true;
        if !end.saved.is_empty() {
            task.saved = end.saved.clone();
        }
        // An end proves that the run was present, also if no poll has shown it.
        self.starting -= u32::from(task.mark_running(now_us));
        let ran_us = now_us.saturating_sub(task.since_us);
        let listed = RunEnd::listed(sent_us);
        let worker = &self.workers[index as usize];
        log::info!(event = "run_ended", job = end.task.job.as_str(), task:% = end.task, run = end.run,
            worker = worker.entry.id.as_str(), worker_started_ms = worker.started_ms,
            cause:? = end.cause, ran_ms = ran_us / US_PER_MS, proof = listed.name(),
            evidence_ms = listed.age_ms(now_us); "");
        if end.cause == EndCause::Done {
            self.sample_completed_run(index, task_ref);
        }
        if matches!(end.cause, EndCause::Done | EndCause::Failed) {
            self.clear_crashes(task_ref);
        }
        match end.cause {
            EndCause::Done if !is_lasting => self.task_done(task_ref, is_gang, listed, now_us),
            EndCause::Failed => {
                self.task_failed(index, task_ref, listed, now_us);
            }
            _ => self.end_run(task_ref, TaskState::Waiting, listed, now_us),
        }
        if end.cause == EndCause::Done {
            self.workers[index as usize].consecutive_failures.clear();
            self.workers[index as usize].quarantines = 0;
            self.note_completed_run(index, now_us);
        }
        true
    }

    fn task_done(&mut self, task_ref: TaskRef, is_gang: bool, end: RunEnd, now_us: u64) {
        let Some(job) = self.job(task_ref.job) else { return };
        let (occurrence, step, _) = job.locate(task_ref.task);
        let members: Vec<u32> =
            if is_gang { job.tasks_of(occurrence, step).collect() } else { vec![task_ref.task] };
        for task in members {
            let task_ref = TaskRef { job: task_ref.job, task };
            if self.task_state(task_ref) == TaskState::Done {
                continue;
            }
            self.end_run(task_ref, TaskState::Done, end, now_us);
            self.counts.done += 1;
            if let Some(job) = self.jobs[task_ref.job as usize].as_mut() {
                let position = job.step_position(occurrence, step);
                job.remaining[position] -= 1;
                job.remaining_total -= 1;
            }
        }
        let Some(job) = self.job(task_ref.job) else { return };
        if job.remaining_total == 0 {
            self.job_outcomes.add(false, now_us);
            self.finish(task_ref.job, JobPhase::Completed, now_us);
        } else if job.remaining[job.step_position(occurrence, step)] == 0 {
            self.open_occurrence(task_ref.job, occurrence, now_us);
        }
    }

    fn task_failed(&mut self, index: WorkerIndex, task_ref: TaskRef, end: RunEnd, now_us: u64) {
        self.counts.failed += 1;
        let is_attributed = self.controls_load(&self.workers[index as usize].entry.service);
        if !is_attributed {
            self.suspect_worker(index, task_ref.job, now_us);
        }
        let Some(job) = self.jobs[task_ref.job as usize].as_mut() else { return };
        let step = job.step(task_ref.task);
        let (is_lasting, is_gang) = (step.is_lasting, step.is_gang);
        let is_new = job.count_failure(task_ref.task);
        let failures = job.tasks[task_ref.task as usize].failures;
        let max_attempts =
            self.job(task_ref.job).map_or(u32::MAX, |job| self.terms(job).max_attempts.max(1));
        if is_gang {
            self.log_gang_failure(task_ref, is_new, max_attempts);
        }
        self.end_run(task_ref, TaskState::Waiting, end, now_us);
        if is_attributed {
            self.attribute_failure(index, task_ref, now_us);
        }
        if !is_lasting && failures >= max_attempts {
            self.finish(task_ref.job, JobPhase::Failed, now_us);
        }
    }

    fn log_gang_failure(&self, task_ref: TaskRef, is_new: bool, max_attempts: u32) {
        let Some(job) = self.job(task_ref.job) else { return };
        let task = &job.tasks[task_ref.task as usize];
        log::info!(event = "gang_failed", job = job.spec.id.as_str(),
            task:% = job.key(task_ref.task), run = task.run, is_new = is_new,
            failures = task.failures, max_attempts = max_attempts; "");
    }

    /// Counts a failure against a worker and quarantines it after [`QUARANTINE_FAILURES`] in a row.
    /// At least two jobs must have failed there, because one job that fails everywhere is no
    /// evidence against its workers.
    pub(super) fn suspect_worker(&mut self, index: WorkerIndex, slot: u32, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        worker.consecutive_failures.push(slot);
        let jobs: HashSet<u32> = worker.consecutive_failures.iter().copied().collect();
        if worker.consecutive_failures.len() < QUARANTINE_FAILURES || jobs.len() < 2 {
            return;
        }
        let quarantine_us =
            (INITIAL_QUARANTINE_US << worker.quarantines.min(3)).min(MAX_QUARANTINE_US);
        worker.quarantines += 1;
        if !worker.failures.is_distrusted {
            worker.closed_until_us = now_us + quarantine_us;
        }
        worker.consecutive_failures.clear();
        self.counts.quarantines += 1;
        log::warn!(event = "worker_closed", worker = worker.entry.id.as_str(),
            for_ms = quarantine_us / US_PER_MS; "quarantined after consecutive failures");
    }

    /// Applies the reported runs and returns those that the ledger expects on the worker. All others are
    /// stopped.
    fn apply_runs<'a>(
        &mut self,
        index: WorkerIndex,
        rows: &'a [RunRow],
        now_us: u64,
    ) -> Vec<ReportedRun<'a>> {
        let mut reported = Vec::with_capacity(rows.len());
        self.workers[index as usize].has_stray_runs = false;
        for row in rows {
            match self
                .find(&row.task)
                .filter(|task_ref| self.is_expected(index, *task_ref, row.run))
            {
                Some(task_ref) => {
                    reported.push(ReportedRun { task_ref, row });
                    self.apply_run(index, task_ref, row, now_us);
                }
                None => self.stop_stray(index, row, now_us),
            }
        }
        reported
    }

    fn is_expected(&self, index: WorkerIndex, task_ref: TaskRef, run: u32) -> bool {
        self.job(task_ref.job).is_some_and(|job| {
            let task = &job.tasks[task_ref.task as usize];
            task.run == run && task.state.worker() == Some(index)
        })
    }

    fn apply_run(&mut self, index: WorkerIndex, task_ref: TaskRef, row: &RunRow, now_us: u64) {
        let reported_us = self.workers[index as usize].reported_us;
        let Some(job) = self.jobs[task_ref.job as usize].as_mut() else { return };
        job.is_started = true;
        let task = &mut job.tasks[task_ref.task as usize];
        if !row.saved.is_empty() && row.saved != task.saved {
            task.saved.clone_from(&row.saved);
        }
        self.starting -= u32::from(task.mark_running(now_us));
        if matches!(task.state, TaskState::Stopping(_)) {
            self.repeat_stop(task_ref, now_us);
            return;
        }
        // The progress of a run that resumes, or that a previous planner started, is measured from
        // its first report.
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
            task.measured_us = reported_us;
            self.throttle(index, task_ref, now_us);
        } else if is_first && !row.saved.is_empty() {
            task.start_percent = row.percent;
            task.measured_us = reported_us;
        }
        self.update_probation(task_ref, now_us);
        self.sample_speed(index, task_ref, row);
    }

    /// Repeats the stop of a run that is still present. The first stop may have been lost because
    /// the worker was not registered, and the run of a cancelled job would continue.
    fn repeat_stop(&mut self, task_ref: TaskRef, now_us: u64) {
        let Some(job) = self.job(task_ref.job) else { return };
        let task = &job.tasks[task_ref.task as usize];
        if now_us.saturating_sub(task.since_us) > STOP_RETRY_INTERVAL_US {
            self.stop(task_ref, now_us);
        }
    }

    /// Stops a run that the ledger does not expect on the worker: its job was cancelled, or its
    /// start was carried out after it had been given up.
    fn stop_stray(&mut self, index: WorkerIndex, row: &RunRow, now_us: u64) {
        let worker = &self.workers[index as usize];
        log::warn!(event = "stray_run", job = row.task.job.as_str(), task:% = row.task, run = row.run,
            worker = worker.entry.id.as_str(), worker_started_ms = worker.started_ms; "stopped");
        self.workers[index as usize].has_stray_runs = true;
        self.orders.push(Order {
            worker: index,
            task_ref: NO_TASK,
            task: row.task.clone(),
            run: row.run,
            kind: OrderKind::Stop,
            decided_us: now_us,
            sent_us: 0,
        });
    }

    /// Releases the tasks that are missing from a worker's answer although the worker answered the
    /// order about them before the poll was sent.
    fn release_absent(
        &mut self,
        index: WorkerIndex,
        reported: &[ReportedRun<'_>],
        sent_us: u64,
        now_us: u64,
    ) {
        let mut present: Vec<TaskRef> = reported.iter().map(|run| run.task_ref).collect();
        present.sort_unstable();
        let is_absent = |task_ref: &TaskRef| present.binary_search(task_ref).is_err();
        let absent: Vec<(TaskRef, RunEnd)> = self.workers[index as usize]
            .tasks
            .iter()
            .filter(|task_ref| is_absent(task_ref))
            .filter_map(|task_ref| {
                let job = self.job(task_ref.job)?;
                let end = RunEnd::absent(&job.tasks[task_ref.task as usize], sent_us)?;
                Some((*task_ref, end))
            })
            .collect();
        for (task_ref, end) in absent {
            self.log_absent_run(index, task_ref, end, now_us);
            self.mark_dirty(task_ref.job, now_us);
            self.end_run(task_ref, TaskState::Waiting, end, now_us);
        }
        self.bar_overdue_starts(index, is_absent, sent_us, now_us);
    }

    /// Bars starts that were neither answered nor carried out within [`START_TIMEOUT_US`] when the
    /// poll was sent. The order may be lost, or arrive seconds late.
    ///
    /// Guards against a planner that handles answers late and stops runs whose answers still wait:
    /// answers are handled in the order in which they arrive, so one that arrived before the poll
    /// was sent has been handled.
    fn bar_overdue_starts(
        &mut self,
        index: WorkerIndex,
        is_absent: impl Fn(&TaskRef) -> bool,
        sent_us: u64,
        now_us: u64,
    ) {
        let overdue: Vec<TaskRef> = self.workers[index as usize]
            .tasks
            .iter()
            .copied()
            .filter(|task_ref| is_absent(task_ref) && self.is_overdue(*task_ref, sent_us))
            .collect();
        for task_ref in overdue {
            log::info!(event = "order_overdue", job = self.job_id(task_ref.job),
                task = self.task_name(task_ref), state:? = self.task_state(task_ref),
                worker = self.workers[index as usize].entry.id.as_str(); "stopping the run");
            self.stop(task_ref, now_us);
        }
    }

    fn is_overdue(&self, task_ref: TaskRef, sent_us: u64) -> bool {
        self.job(task_ref.job).is_some_and(|job| {
            let task = &job.tasks[task_ref.task as usize];
            let is_unanswered =
                matches!(task.state, TaskState::Ordered(_) | TaskState::Stopping(_))
                    && task.answered_us == 0;
            is_unanswered && sent_us.saturating_sub(task.since_us) > START_TIMEOUT_US
        })
    }

    fn log_absent_run(&self, index: WorkerIndex, task_ref: TaskRef, end: RunEnd, now_us: u64) {
        let Some(job) = self.job(task_ref.job) else { return };
        let task = &job.tasks[task_ref.task as usize];
        let worker = &self.workers[index as usize];
        log::info!(event = "run_absent", job = job.spec.id.as_str(),
            task:% = job.key(task_ref.task), run = task.run, state = state_name(task.state),
            worker = worker.entry.id.as_str(), worker_started_ms = worker.started_ms,
            proof = end.name(),
            evidence_ms = end.age_ms(now_us),
            order_answer_ms = now_us.saturating_sub(task.answered_us) / US_PER_MS; "");
    }

    /// Name of a task in logs, as on the wire.
    pub(super) fn task_name(&self, task_ref: TaskRef) -> String {
        self.job(task_ref.job).map_or_else(String::new, |job| job.key(task_ref.task).to_string())
    }

    pub(super) fn job_id(&self, slot: u32) -> &str {
        self.job(slot).map_or("", |job| job.spec.id.as_str())
    }
}
