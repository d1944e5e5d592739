//! The planning loop: places waiting tasks in rank order and chooses a worker for each.
//!
//! Load pattern: many tasks wait for workers that are full, all of them or those of one rack. A
//! demand that fitted nowhere is not tried again in the same round, so that the cost of a round does
//! not grow with the number of waiting tasks.

use std::collections::HashMap;

use crate::batch::Resources;

use super::US_PER_MS;
use super::colocation::THROTTLED_SEARCH_INTERVAL_US;
use super::failing_workers::Attempts;
use super::images::ImageId;
use super::job::{Job, JobPhase, Step, TaskRef, TaskState};
use super::place::{PlacementRequest, WorkerSearch};
use super::state::{Fleet, TaskGroup};
use super::usage::TaskKind;
use super::worker::WorkerIndex;

/// Time a long-running task waits for a healthy worker before it accepts one that is closed after
/// failures.
///
/// A long-running task may be without a run for six seconds in total, including its start.
const HEALTHY_WORKER_TIMEOUT_US: u64 = 1_500 * US_PER_MS;

/// Number of starting tasks from which tasks of non-urgent queues are no longer placed.
///
/// Without this limit, a planner that lacks CPU time would choose workers faster than starts are
/// carried out. Records and orders of urgent and long-running tasks would wait for seconds behind
/// those of thousands of batch tasks, and starts would be given up before they are sent.
const MAX_STARTING_TASKS: u32 = 1_024;

/// A demand that fitted no worker in this planning round; equal or larger demands are skipped.
#[derive(Debug)]
pub(super) struct UnplacedDemand {
    service: String,
    /// Resources requested, including the CPU that a best-effort task requests without reserving
    /// it: the task that fitted nowhere may have lacked CPU.
    need: Resources,
    /// Image of a best-effort task; `None` for other tasks. An image that harms serving tasks on a
    /// worker is not placed there, but another image may be.
    fills: Option<ImageId>,
    /// Label that the worker must have. Demands with a label are only kept under load control.
    label: String,
}

/// Placement parameters shared by the tasks of one group.
#[derive(Clone, Copy, Debug)]
struct GroupContext<'a> {
    step: &'a Step,
    image: ImageId,
    service: &'a str,
    /// The group if only workers with a ticket for it may run its tasks.
    ticket_group: Option<TaskGroup>,
    /// Whether the tasks accept a worker that is closed after failures if no open one fits.
    accepts_closed: bool,
    /// Whether the first task may be placed beside serving tasks that it harms, slowed.
    accepts_throttling: bool,
}

impl Fleet {
    /// Chooses workers for as many waiting tasks as fit. `now_ms` is the wall clock.
    ///
    /// The start of a chosen task is ordered only after the record of the choice is committed.
    pub fn plan(&mut self, now_us: u64, now_ms: u64) {
        self.set_wall_clock(now_us, now_ms);
        if self.waiting.is_empty() {
            return;
        }
        self.capacity_index.begin_round();
        let mut unplaced = Vec::new();
        let mut still_waiting = Vec::new();
        for ranked in self.ranked(now_us, now_ms) {
            self.place_group(ranked.group, &mut unplaced, now_us);
            if self.waiting.contains(&ranked.group) {
                still_waiting.push((ranked.group, ranked.density));
            }
        }
        self.unplaced = unplaced;
        self.preempt_for_urgent(&still_waiting, now_us);
    }

    /// Whether no further task of a queue of this priority is placed because of the starts in progress.
    pub(super) fn are_starts_limited(&self, priority: u32) -> bool {
        priority > 0 && self.starting >= MAX_STARTING_TASKS
    }

    /// Whether a demand of a planning round that fitted no worker shows that the tasks of a step do
    /// not fit either.
    pub(super) fn is_known_not_to_fit(
        &self,
        job: &Job,
        step: u32,
        unplaced: &[UnplacedDemand],
    ) -> bool {
        let image = job.images[step as usize];
        let step = &job.spec.steps[step as usize];
        let fills = step.fills.then_some(image);
        let service = &self.terms(job).service;
        unplaced.iter().any(|demand| {
            demand.fills == fills
                && step.need.holds(&demand.need)
                && demand.label == step.label
                && demand.service == *service
        })
    }

    fn place_group(&mut self, group: TaskGroup, unplaced: &mut Vec<UnplacedDemand>, now_us: u64) {
        let Some(job) = self.job(group.job) else {
            self.waiting.remove(&group);
            return;
        };
        let is_limited = self.are_starts_limited(self.terms(job).priority);
        if job.phase == JobPhase::Active && (is_limited || job.awaits_record()) {
            return;
        }
        let step = &job.spec.steps[group.step as usize];
        let waiting: Vec<u32> = job
            .tasks_of(group.occurrence, group.step)
            .filter(|task| job.tasks[*task as usize].state == TaskState::Waiting)
            .collect();
        let is_ready = |task: &u32| !job.tasks[*task as usize].is_backing_off(now_us);
        let tasks: Vec<u32> = waiting.iter().copied().filter(is_ready).collect();
        if tasks.is_empty() && !waiting.is_empty() && job.phase == JobPhase::Active {
            return;
        }
        if tasks.is_empty() || job.phase != JobPhase::Active {
            self.waiting.remove(&group);
            return;
        }
        if step.is_gang && tasks.len() < step.count as usize {
            // Some members are not ready to start yet, and a gang starts only as a whole.
            return;
        }
        if step.is_lasting && self.is_held_back(group, now_us) {
            return;
        }
        // If only a closed worker has capacity, a long-running task is placed there after a short
        // wait, instead of being without a run until that worker reopens. Long-running tasks have
        // no limit on attempts.
        let wait_us =
            tasks.iter().map(|task| job.tasks[*task as usize].idle_us(now_us)).max().unwrap_or(0);
        let accepts_closed = step.is_lasting && wait_us > HEALTHY_WORKER_TIMEOUT_US;
        let image = job.images[group.step as usize];
        let fills = step.fills.then_some(image);
        let accepts_throttling = step.fills && job.accepts_throttling(now_us);
        if !accepts_closed
            && !accepts_throttling
            && self.is_known_not_to_fit(job, group.step, unplaced)
        {
            return;
        }
        let step = step.clone();
        let terms = self.terms(job);
        let service = terms.service.clone();
        let ticket_group = terms.needs_advice.then_some(group);
        let context = GroupContext {
            step: &step,
            image,
            service: &service,
            ticket_group,
            accepts_closed,
            accepts_throttling,
        };
        // A task suspected of crashing workers waits for a worker without other suspected tasks. It
        // may remain unplaced despite free capacity, so other groups may still fit.
        let awaits_separation = tasks
            .iter()
            .any(|task| self.awaits_separation(TaskRef { job: group.job, task: *task }, now_us));
        if let Some(job) = self.job_mut(group.job).filter(|_| accepts_throttling) {
            job.throttled_search_from_us = now_us + THROTTLED_SEARCH_INTERVAL_US;
        }
        let placed = self.place_tasks(group, &context, &tasks, now_us);
        if placed == waiting.len() {
            self.waiting.remove(&group);
        } else if placed == tasks.len() {
            // The remaining tasks are backing off; the group stays waiting.
        } else if !awaits_separation
            && ticket_group.is_none()
            && (step.label.is_empty() || self.controls_load(&service))
            && step.max_per_worker == 0
            && !step.is_gang
        {
            unplaced.push(UnplacedDemand { service, need: step.need, fills, label: step.label });
        }
    }

    /// Chooses workers for the tasks of one group and returns how many tasks were placed. A gang is
    /// placed as a whole or not at all.
    fn place_tasks(
        &mut self,
        group: TaskGroup,
        context: &GroupContext<'_>,
        tasks: &[u32],
        now_us: u64,
    ) -> usize {
        let mut tasks_by_worker = self.count_tasks_by_worker(group);
        let mut racks: Vec<String> = Vec::new();
        let mut chosen: Vec<TaskRef> = Vec::with_capacity(tasks.len());
        let mut search: Option<WorkerSearch> = None;
        let GroupContext { step, image, service, ticket_group, accepts_closed, .. } = *context;
        let failed_workers =
            self.job(group.job).map_or_else(Vec::new, |job| job.failed_workers.clone());
        let attempts = self.controls_load(service).then(|| Attempts {
            failed_workers: &failed_workers,
            is_last: self.is_last_attempt(group, tasks),
            needs_care: self.has_failing_workers(now_us),
        });
        for task in tasks {
            let task_ref = TaskRef { job: group.job, task: *task };
            let is_isolated = self.is_isolated(task_ref);
            let awaits_separation = self.awaits_separation(task_ref, now_us);
            // One run ends the wait of the job.
            let accepts_throttling = context.accepts_throttling && chosen.is_empty();
            let request = PlacementRequest {
                step,
                service,
                image,
                tasks_by_worker: &tasks_by_worker,
                ticket_group,
                accepts_closed,
                is_isolated,
                awaits_separation,
                accepts_throttling,
                attempts,
                chosen_racks: &racks,
                workers_at_once: if step.is_gang { tasks.len() } else { 1 },
            };
            // An isolated task is scored differently, so its search is not shared with other tasks.
            let mut worker_search = match search.take().filter(|_| !is_isolated) {
                Some(worker_search) => worker_search,
                None => self.search(&request, now_us),
            };
            let Some(worker) = self.choose_worker(&request, &mut worker_search, now_us) else {
                if ticket_group.is_some() {
                    let missing = tasks.len() - chosen.len();
                    self.request_advice(group, &request, missing, now_us);
                }
                match awaits_separation {
                    true => continue,
                    false => break,
                }
            };
            *tasks_by_worker.entry(worker).or_default() += 1;
            if step.wants_one_rack {
                // The chosen racks change the score of every worker, so the next task needs a new
                // search.
                racks.push(self.workers[worker as usize].entry.rack.clone());
            } else if !is_isolated {
                search = Some(worker_search);
            }
            if accepts_throttling {
                self.throttle_if_harmful(task_ref, image, worker);
            }
            self.allocate(task_ref, worker, TaskState::Chosen(worker));
            chosen.push(task_ref);
        }
        if chosen.len() < tasks.len() && context.step.is_gang {
            chosen.iter().for_each(|task_ref| self.undo_choice(*task_ref, now_us));
            return 0;
        }
        if !chosen.is_empty() {
            self.assign_run_numbers(group, &chosen, context.step.is_gang, now_us);
        }
        chosen.len()
    }

    /// Assigns each chosen task its next run number; the members of a gang share one.
    fn assign_run_numbers(
        &mut self,
        group: TaskGroup,
        chosen: &[TaskRef],
        is_gang: bool,
        now_us: u64,
    ) {
        self.mark_urgent(group.job, now_us);
        for task_ref in chosen {
            let waiting_since_us =
                self.job(group.job).map(|job| job.tasks[task_ref.task as usize].since_us);
            self.count_round(*task_ref, waiting_since_us.unwrap_or(now_us), now_us);
        }
        let Some(job) = self.jobs[group.job as usize].as_mut() else { return };
        let version = job.version;
        let highest_run =
            chosen.iter().map(|task_ref| job.tasks[task_ref.task as usize].run).max().unwrap_or(0);
        let waited_ms =
            chosen.iter().map(|task_ref| job.tasks[task_ref.task as usize].since_us).min();
        let waited_ms = now_us.saturating_sub(waited_ms.unwrap_or(now_us)) / US_PER_MS;
        for task_ref in chosen {
            let task = &mut job.tasks[task_ref.task as usize];
            task.run = if is_gang { highest_run } else { task.run } + 1;
            task.chosen_version = version;
            task.preempted = false;
            task.unanswered_starts = 0;
            task.undelivered_starts = 0;
            task.since_us = now_us;
            task.progress_us = now_us;
        }
        self.log_choices(group, chosen, waited_ms);
    }

    fn log_choices(&self, group: TaskGroup, chosen: &[TaskRef], waited_ms: u64) {
        let Some(job) = self.job(group.job) else { return };
        let step = &job.spec.steps[group.step as usize];
        for task_ref in chosen {
            let task = &job.tasks[task_ref.task as usize];
            let Some(worker) = task.state.worker() else { continue };
            self.log_run_before(job, *task_ref);
            let worker = &self.workers[worker as usize];
            log::info!(event = "task_placed", job = job.spec.id.as_str(),
                task:% = job.key(task_ref.task), run = task.run, worker = worker.entry.id.as_str(),
                kind = TaskKind::of(step).name(), cpu_milli = step.need.cpu_milli,
                waited_ms = waited_ms,
                without_run_ms = task.idle_us(task.since_us) / US_PER_MS,
                failed_starts = task.failed_starts,
                used_cpu_milli = worker.used.cpu_milli, filling_milli = worker.best_effort_cpu_milli,
                used_memory_mb = worker.used.memory_mb, lasting = worker.lasting,
                answer_age_ms = task.since_us.saturating_sub(worker.answered_us) / 1_000; "");
        }
    }

    /// Logs what proved the end of the run that a run follows.
    fn log_run_before(&self, job: &Job, task_ref: TaskRef) {
        let task = &job.tasks[task_ref.task as usize];
        if task.run <= 1 {
            return;
        }
        let Some(ended) = task.last_end else {
            return log::info!(event = "run_follows", job = job.spec.id.as_str(),
                task:% = job.key(task_ref.task), run = task.run, proof = "record";
                "an earlier planner recorded the end of the run before");
        };
        let worker = &self.workers[ended.worker as usize];
        log::info!(event = "run_follows", job = job.spec.id.as_str(),
            task:% = job.key(task_ref.task), run = task.run, after_run = ended.run,
            proof = ended.proof.name(), worker = worker.entry.id.as_str(),
            worker_started_ms = worker.started_ms,
            evidence_ms = ended.applied_us.saturating_sub(ended.as_of_us) / US_PER_MS,
            ended_ms = task.since_us.saturating_sub(ended.applied_us) / US_PER_MS; "");
    }

    /// Number of tasks of the group on each worker.
    pub(super) fn count_tasks_by_worker(&self, group: TaskGroup) -> HashMap<WorkerIndex, u32> {
        let mut members = HashMap::new();
        if let Some(job) = self.job(group.job) {
            job.tasks_of(group.occurrence, group.step)
                .filter_map(|task| job.tasks[task as usize].state.worker())
                .for_each(|worker| *members.entry(worker).or_default() += 1);
        }
        members
    }
}
