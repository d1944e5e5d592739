//! Chooses a worker for one task.
//!
//! Load pattern: long-running tasks reserve two thirds of the CPUs and use about half of their
//! reservation; short urgent tasks and wide batch steps share the rest. Long-running tasks are
//! packed tightly, which leaves whole workers to best-effort tasks. Only best-effort tasks that do
//! not fit there are colocated with long-running tasks, those of the least harmful images first.

use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};

use crate::batch::Resources;

use super::capacity_index::MAX_EXAMINED;
use super::failing_workers::Attempts;
use super::images::ImageId;
use super::job::{Step, TaskRef};
use super::refusals::{Refusal, Refusals, refuse_if};
use super::state::{Fleet, TaskGroup};
use super::worker::{Worker, WorkerIndex};

/// Requirements of a task that needs a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementRequest<'a> {
    /// Step of the task.
    pub step: &'a Step,
    /// Service whose workers may run the task.
    pub service: &'a str,
    /// Number of the task's image.
    pub image: ImageId,
    /// Number of tasks of the same step and occurrence on each worker.
    pub tasks_by_worker: &'a HashMap<WorkerIndex, u32>,
    /// The group of the task if only workers with a ticket for that group may run it.
    pub ticket_group: Option<TaskGroup>,
    /// Whether the task accepts a worker that is closed after failures if no open one fits.
    pub accepts_closed: bool,
    /// Whether the task is to be placed apart from other suspects.
    pub is_isolated: bool,
    /// Whether the task waits rather than share a worker with another suspect.
    pub awaits_separation: bool,
    /// Whether the best-effort task may be placed beside serving tasks that it harms, slowed.
    pub accepts_throttling: bool,
    /// Attempts of the tasks; `None` without load control.
    pub attempts: Option<Attempts<'a>>,
    /// Racks already used by the tasks of the step; only tracked if the step wants one rack.
    pub chosen_racks: &'a [String],
    /// Number of workers that the tasks may need at once: the size of a gang, or 1.
    pub workers_at_once: usize,
}

/// How a worker may take a task.
#[derive(Clone, Copy, Debug)]
struct Admission {
    is_open: bool,
    /// Whether the task is to try a distrusted worker.
    is_trial: bool,
}

/// Penalty of a worker outside the rack of the data, or outside the racks of the step if it wants
/// one rack. Such a run takes a multiple of the time, so any open worker on the rack is preferred.
const REMOTE_PENALTY: f64 = 100.0;

/// Penalty of a worker that is closed after failures. Any open worker is preferred.
const CLOSED_PENALTY: f64 = 1_000.0;

/// Penalty of a worker that is still cold. Tasks whose caller waits use such a worker only if no
/// other has free capacity; best-effort tasks have slack and are exempt.
const COLD_PENALTY: f64 = 10.0;

/// Penalty of a worker with an isolated task: if the worker crashes, tasks newly started there
/// become suspects as well. Lower than [`CLOSED_PENALTY`], so such a worker is still preferred to a
/// closed one.
const SUSPECT_PENALTY: f64 = 500.0;

/// Score of a trial of a distrusted worker: before all other workers, or the trial would wait until
/// they are full.
const TRIAL_SCORE: f64 = -1_000.0;

/// Candidate workers for the tasks of one step, ordered by score.
///
/// All tasks of a step have the same requirements, so the candidates are scored once and only the
/// chosen worker is scored again. Placing forty tasks costs little more than placing one.
#[derive(Debug)]
pub(super) struct WorkerSearch {
    candidates: Vec<WorkerIndex>,
    /// Score and index into `candidates`, lowest score first.
    by_score: BinaryHeap<Reverse<(Score, usize)>>,
}

/// A finite score with a total order; lower is better.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Score(f64);

impl Eq for Score {}

impl Ord for Score {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Fleet {
    /// Scores the candidate workers for the tasks of a step.
    pub(super) fn search(&self, request: &PlacementRequest<'_>, now_us: u64) -> WorkerSearch {
        let candidates = self.find_candidates(request, now_us);
        self.effort.count_workers_examined(candidates.len());
        let by_score = candidates
            .iter()
            .enumerate()
            .filter_map(|(place, index)| {
                Some(Reverse((self.evaluate(request, *index, now_us).ok()?, place)))
            })
            .collect();
        WorkerSearch { candidates, by_score }
    }

    /// Returns the candidate with the lowest score that may take one more task.
    pub(super) fn choose_worker(
        &mut self,
        request: &PlacementRequest<'_>,
        search: &mut WorkerSearch,
        now_us: u64,
    ) -> Option<WorkerIndex> {
        while let Some(Reverse((score, place))) = search.by_score.pop() {
            let index = search.candidates[place];
            // The score may be stale: the worker may have been chosen since, or its trial limit
            // reached.
            self.effort.count_workers_examined(1);
            match self.evaluate(request, index, now_us) {
                Ok(current) if current <= score => {
                    search.by_score.push(Reverse((score, place)));
                    return Some(index);
                }
                Ok(current) => search.by_score.push(Reverse((current, place))),
                Err(_) => {}
            }
        }
        let is_unrestricted = request.step.label.is_empty() && request.ticket_group.is_none();
        if request.step.fills && is_unrestricted {
            self.capacity_index.record_no_match(request.service, request.image);
        } else if search.candidates.is_empty() && is_unrestricted {
            self.capacity_index.record_no_capacity(request.service, &request.step.allocation());
        }
        None
    }

    /// Applies the rules that do not depend on tickets and on other tasks' share of the CPU. Searches
    /// apply them to each worker before they limit the number of candidates.
    fn admit(
        &self,
        request: &PlacementRequest<'_>,
        index: WorkerIndex,
        now_us: u64,
    ) -> Result<Admission, Refusal> {
        let worker = &self.workers[index as usize];
        let is_open = worker.is_open(now_us);
        refuse_if(!worker.is_available(), Refusal::Unavailable)?;
        let is_trial = self.may_try_distrusted(request, worker, now_us);
        let may_use =
            is_open || request.accepts_closed || is_trial || self.may_try(request, worker, now_us);
        refuse_if(!may_use, Refusal::Closed)?;
        refuse_if(worker.has_stray_runs, Refusal::StrayRuns)?;
        refuse_if(!worker.has_capacity_for(&request.step.allocation()), Refusal::Capacity)?;
        refuse_if(request.awaits_separation && worker.isolated_tasks > 0, Refusal::Separation)?;
        refuse_if(!meets_constraints(request, index, worker), Refusal::Constraint)?;
        Ok(Admission { is_open, is_trial })
    }

    /// Returns the score of a worker, or why the worker may not take the task.
    fn evaluate(
        &self,
        request: &PlacementRequest<'_>,
        index: WorkerIndex,
        now_us: u64,
    ) -> Result<Score, Refusal> {
        let worker = &self.workers[index as usize];
        let Admission { is_open, is_trial } = self.admit(request, index, now_us)?;
        let lacks_ticket = |group| self.ticket(group, index, now_us).is_none();
        refuse_if(request.ticket_group.is_some_and(lacks_ticket), Refusal::Ticket)?;
        if is_trial {
            return Ok(Score(TRIAL_SCORE + self.placement_score(request, worker)?));
        }
        let closed = if is_open { 0.0 } else { CLOSED_PENALTY };
        let penalty = |attempts| worker.failures.penalty(index, attempts, now_us);
        let failure = request.attempts.map_or(0.0, penalty);
        let cold = if worker.is_cold(now_us) && !request.step.fills { COLD_PENALTY } else { 0.0 };
        let suspect = if worker.isolated_tasks > 0 { SUSPECT_PENALTY } else { 0.0 };
        Ok(Score(closed + failure + cold + suspect + self.placement_score(request, worker)?))
    }

    /// Calls `f` with the requirements of one task alone; `None` if its job was retired.
    pub(super) fn with_request<T>(
        &self,
        task_ref: TaskRef,
        now_us: u64,
        f: impl FnOnce(&PlacementRequest<'_>) -> T,
    ) -> Option<T> {
        let job = self.job(task_ref.job)?;
        let (occurrence, step, _) = job.locate(task_ref.task);
        let group = TaskGroup { job: task_ref.job, occurrence, step };
        let terms = self.terms(job);
        let tasks_by_worker = self.count_tasks_by_worker(group);
        Some(f(&PlacementRequest {
            step: &job.spec.steps[step as usize],
            service: &terms.service,
            image: job.images[step as usize],
            tasks_by_worker: &tasks_by_worker,
            ticket_group: terms.needs_advice.then_some(group),
            accepts_closed: false,
            is_isolated: self.is_isolated(task_ref),
            awaits_separation: self.awaits_separation(task_ref, now_us),
            accepts_throttling: false,
            attempts: None,
            chosen_racks: &[],
            workers_at_once: 1,
        }))
    }

    /// Whether a task could be placed on a worker, apart from the CPU that other tasks leave unused. A
    /// worker that the advice service has approved counts, as its ticket can be renewed.
    pub(super) fn may_take(
        &self,
        request: &PlacementRequest<'_>,
        index: WorkerIndex,
        now_us: u64,
    ) -> bool {
        let is_approved = |group| self.is_approved(group, index, now_us);
        self.admit(request, index, now_us).is_ok() && request.ticket_group.is_none_or(is_approved)
    }

    /// Returns the score of a worker for a task; lower is better. `None` if it may not take the task.
    pub(super) fn placement_score_of(
        &self,
        request: &PlacementRequest<'_>,
        index: WorkerIndex,
        now_us: u64,
    ) -> Option<f64> {
        self.evaluate(request, index, now_us).ok().map(|score| score.0)
    }

    /// Counts the workers of the service by whether they would take the task now, and if not, why.
    pub(super) fn count_refusals(&self, request: &PlacementRequest<'_>, now_us: u64) -> Refusals {
        let mut refusals = Refusals::default();
        for (index, worker) in self.live_workers() {
            if worker.entry.service == request.service {
                refusals.count(self.evaluate(request, index, now_us).err());
            }
        }
        refusals
    }

    /// Returns the candidate workers in the order in which equally scored ones are preferred: the
    /// workers selected by tickets, a label or the rack of the data, plus a bounded number of best
    /// fits if neither tickets nor a label are required.
    fn find_candidates(&self, request: &PlacementRequest<'_>, now_us: u64) -> Vec<WorkerIndex> {
        let PlacementRequest { step, service, .. } = request;
        if let Some(group) = request.ticket_group {
            return self.workers_with_tickets(group);
        }
        let allocation = step.allocation();
        let may_take = |index: WorkerIndex| self.admit(request, index, now_us).is_ok();
        let limit = MAX_EXAMINED.max(request.workers_at_once);
        let with_label =
            |label| self.capacity_index.with_label(service, label, &allocation, limit, may_take);
        if !step.label.is_empty() {
            return with_label(&step.label);
        }
        let mut candidates = Vec::new();
        let data_rack = Some(&step.data_rack).filter(|rack| !rack.is_empty());
        for rack in data_rack.into_iter().chain(request.chosen_racks.last()) {
            candidates.extend(with_label(rack));
        }
        candidates.extend(if step.fills {
            self.capacity_index.least_crowded(service, request.image, limit)
        } else {
            self.tightest_fit(request, &allocation, limit, now_us)
        });
        candidates
    }

    /// Returns the best fits among the workers that may take the task, at first those without a
    /// crash suspect.
    ///
    /// If workers that may not take the task and those with suspects counted as candidates, enough of
    /// them could hide all others: tasks would wait, and suspects that must not share a worker would end
    /// up together on the tightest one.
    fn tightest_fit(
        &self,
        request: &PlacementRequest<'_>,
        allocation: &Resources,
        limit: usize,
        now_us: u64,
    ) -> Vec<WorkerIndex> {
        let may_take = |index: WorkerIndex| self.admit(request, index, now_us).is_ok();
        let has_no_suspect = |index: WorkerIndex| {
            self.workers[index as usize].isolated_tasks == 0 && may_take(index)
        };
        let service = request.service;
        let candidates =
            self.capacity_index.tightest_fit(service, allocation, limit, has_no_suspect);
        if candidates.is_empty() && !request.awaits_separation {
            return self.capacity_index.tightest_fit(service, allocation, limit, may_take);
        }
        candidates
    }

    fn placement_score(
        &self,
        request: &PlacementRequest<'_>,
        worker: &Worker,
    ) -> Result<f64, Refusal> {
        let step = request.step;
        let is_remote = !step.data_rack.is_empty() && step.data_rack != worker.entry.rack;
        let is_outside_chosen_racks = step.wants_one_rack
            && !request.chosen_racks.is_empty()
            && !request.chosen_racks.contains(&worker.entry.rack);
        let distance = if is_remote || is_outside_chosen_racks { REMOTE_PENALTY } else { 0.0 };
        let fit = if step.fills {
            self.best_effort_score(request, worker)?
        } else {
            packing_score(request, worker)
        };
        // Prefer workers with few tasks to limit the runs lost if the suspect crashes its worker.
        let tasks_at_risk = if request.is_isolated { worker.tasks.len() as f64 } else { 0.0 };
        Ok(distance + fit + tasks_at_risk)
    }
}

fn meets_constraints(request: &PlacementRequest<'_>, index: WorkerIndex, worker: &Worker) -> bool {
    let step = request.step;
    let is_below_step_limit = step.max_per_worker == 0
        || request.tasks_by_worker.get(&index).copied().unwrap_or(0) < step.max_per_worker;
    worker.entry.service == request.service
        && is_below_step_limit
        && (step.label.is_empty() || worker.entry.labels.contains(&step.label))
}

/// Penalty of a worker for a long-running task, for each other serving image on the worker. It
/// exceeds any difference in fit, so images are mixed only if no worker without long-running tasks
/// is left.
///
/// A best-effort image harms many of the serving images, so each additional serving image closes
/// the worker to more best-effort images.
const MIXED_IMAGE_PENALTY: f64 = 3.0;

/// Penalty of a worker without long-running tasks for a long-running task: higher than any fit on
/// a worker that serves only its own image, lower than the penalty for mixing images.
const EMPTY_WORKER_PENALTY: f64 = 0.3;

/// Best-fit score by free CPU. Long-running tasks are packed with other long-running tasks,
/// preferably of their own image: the fewer serving images a worker has, the more best-effort
/// images are harmless there.
fn packing_score(request: &PlacementRequest<'_>, worker: &Worker) -> f64 {
    let step = request.step;
    let capacity = worker.entry.capacity.cpu_milli.max(1) as f64;
    let free_after = worker.free().cpu_milli.saturating_sub(step.need.cpu_milli) as f64 / capacity;
    if !step.is_lasting {
        return free_after;
    }
    let other_images = worker.serving.iter().filter(|image| *image != request.image).count();
    let empty_worker = if worker.lasting == 0 { EMPTY_WORKER_PENALTY } else { 0.0 };
    free_after + other_images as f64 * MIXED_IMAGE_PENALTY + empty_worker
}
