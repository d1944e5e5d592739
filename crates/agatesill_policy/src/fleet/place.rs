//! The choice of a worker for one task.
//!
//! Load pattern: lasting tasks reserve two thirds of the processors and use about half of what they
//! reserve; short urgent tasks and wide batch steps share the rest. Lasting tasks are packed
//! tightly, which leaves whole workers to the tasks that fill; only what these workers cannot hold
//! goes beside lasting tasks, the least harmful images first.

use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};

use super::images::ImageId;
use super::job::Step;
use super::state::{Fleet, TaskGroup};
use super::worker::{Worker, WorkerIndex};

/// A task that needs a worker.
#[derive(Debug)]
pub(super) struct Request<'a> {
    /// Its step.
    pub step: &'a Step,
    /// Service whose workers may run it.
    pub service: &'a str,
    /// Number of its image.
    pub image: ImageId,
    /// Tasks of the same step and occurrence on each worker.
    pub beside: &'a HashMap<WorkerIndex, u32>,
    /// The step, if only workers with a ticket may run it.
    pub advised: Option<TaskGroup>,
    /// Whether a worker that is closed for failing is better than none.
    pub takes_closed: bool,
    /// Whether the task is to be placed apart from other suspects.
    pub is_isolated: bool,
    /// Whether the task waits rather than share a worker with another suspect.
    pub awaits_separation: bool,
    /// Racks that the step's tasks use already.
    pub chosen_racks: &'a [String],
}

/// Added to the score of a worker off the rack where the data lies: such a run takes a multiple of
/// the time, so any worker on the rack is better.
const REMOTE_SCORE: f64 = 100.0;

/// Added for a worker that is closed for failing: any open one is better.
const CLOSED_SCORE: f64 = 1_000.0;

/// Added for a worker that is still cold, except for tasks that fill: they have slack, and a task
/// whose caller waits goes there only where no other worker has room.
const COLD_SCORE: f64 = 10.0;

/// Added for a worker with an isolated task: if it crashes, tasks newly started there become suspects as
/// well. Lower than [`CLOSED_SCORE`]: such a worker is still preferred to a closed one.
const SUSPECT_SCORE: f64 = 500.0;

/// The workers examined for the tasks of one step, the best first.
///
/// Tasks of a step are alike, so the workers are examined once for all of them; only the one that was
/// chosen is weighed again. A step of forty tasks costs little more than one of one.
#[derive(Debug)]
pub(super) struct Search {
    candidates: Vec<WorkerIndex>,
    /// Score and place among the candidates.
    best: BinaryHeap<Reverse<(Score, usize)>>,
}

/// A finite score that can be compared.
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
    /// Examines workers for the tasks of a step.
    pub(super) fn search(&self, request: &Request<'_>, now_us: u64) -> Search {
        let candidates = self.to_examine(request);
        self.effort.count_workers_examined(candidates.len());
        let best = candidates
            .iter()
            .enumerate()
            .filter_map(|(place, index)| {
                Some(Reverse((self.weigh(request, *index, now_us)?, place)))
            })
            .collect();
        Search { candidates, best }
    }

    /// The worker with the lowest score among those examined that may take one more task.
    pub(super) fn choose_worker(
        &mut self,
        request: &Request<'_>,
        search: &mut Search,
        now_us: u64,
    ) -> Option<WorkerIndex> {
        while let Some(Reverse((score, place))) = search.best.pop() {
            let index = search.candidates[place];
            // It may have been chosen since it was weighed, or tried enough.
            self.effort.count_workers_examined(1);
            match self.weigh(request, index, now_us) {
                Some(now) if now <= score => {
                    search.best.push(Reverse((score, place)));
                    return Some(index);
                }
                Some(now) => search.best.push(Reverse((now, place))),
                None => {}
            }
        }
        if request.step.fills {
            self.capacity_index.record_no_match(request.service, request.image, &search.candidates);
        } else if search.candidates.is_empty() && request.step.label.is_empty() {
            self.capacity_index.record_no_capacity(request.service, &request.step.allocation());
        }
        None
    }

    /// The score of a worker, unless it may not take the task.
    fn weigh(&self, request: &Request<'_>, index: WorkerIndex, now_us: u64) -> Option<Score> {
        let worker = &self.workers[index as usize];
        let is_open = worker.is_open(now_us);
        let may_take = (is_open || (request.takes_closed && worker.is_available()))
            && worker.has_capacity_for(&request.step.allocation())
            && !(request.awaits_separation && worker.isolated_tasks > 0)
            && may_run(request, index, worker)
            && request.advised.is_none_or(|group| self.ticket(group, index, now_us).is_some());
        if !may_take {
            return None;
        }
        let closed = if is_open { 0.0 } else { CLOSED_SCORE };
        let cold = if worker.is_cold(now_us) && !request.step.fills { COLD_SCORE } else { 0.0 };
        let suspect = if worker.isolated_tasks > 0 { SUSPECT_SCORE } else { 0.0 };
        let score = closed + cold + suspect + self.score(request, worker);
        score.is_finite().then_some(Score(score))
    }

    /// The workers worth examining, in the order in which equal ones are preferred: those that a
    /// ticket, a label or the place of the data narrows the choice to, else a bounded number of those
    /// that fit best.
    fn to_examine(&self, request: &Request<'_>) -> Vec<WorkerIndex> {
        let Request { step, service, .. } = request;
        if let Some(group) = request.advised {
            return self.with_tickets(group);
        }
        let charge = step.allocation();
        if !step.label.is_empty() {
            return self.capacity_index.with_label(service, &step.label, &charge);
        }
        let mut candidates = Vec::new();
        let data_rack = Some(&step.data_rack).filter(|rack| !rack.is_empty());
        for rack in data_rack.into_iter().chain(request.chosen_racks.last()) {
            candidates.extend(self.capacity_index.with_label(service, rack, &charge));
        }
        candidates.extend(if step.fills {
            self.capacity_index.least_crowded(service, request.image)
        } else {
            self.capacity_index.tightest_fit(service, &charge)
        });
        candidates
    }

    fn score(&self, request: &Request<'_>, worker: &Worker) -> f64 {
        let step = request.step;
        let is_remote = !step.data_rack.is_empty() && step.data_rack != worker.entry.rack;
        let is_off_rack = step.wants_one_rack
            && !request.chosen_racks.is_empty()
            && !request.chosen_racks.contains(&worker.entry.rack);
        let distance = if is_remote || is_off_rack { REMOTE_SCORE } else { 0.0 };
        let room = if step.fills {
            self.filling_score(request, worker)
        } else {
            packing_score(request, worker)
        };
        // Prefer workers with few tasks, to limit the runs lost if the suspect crashes its worker.
        let tasks_at_risk = if request.is_isolated { worker.tasks.len() as f64 } else { 0.0 };
        distance + room + tasks_at_risk
    }
}

fn may_run(request: &Request<'_>, index: WorkerIndex, worker: &Worker) -> bool {
    let step = request.step;
    let is_spread = step.max_per_worker == 0
        || request.beside.get(&index).copied().unwrap_or(0) < step.max_per_worker;
    worker.entry.service == request.service
        && is_spread
        && (step.label.is_empty() || worker.entry.labels.contains(&step.label))
}

/// Added to the score of a lasting task for each serving image on the worker that is not its own:
/// more than any fit, so that images are mixed only when no worker without lasting tasks is left. An
/// image that fills harms many of the serving images, and each one more on a worker closes it to more
/// of what fills.
const OTHER_IMAGE: f64 = 3.0;

/// The same for a worker without lasting tasks: dearer than any fit beside tasks of the own image,
/// cheaper than mixing.
const EMPTY_WORKER: f64 = 0.3;

/// Best fit on processors. Lasting tasks go beside others of their kind first, those of their own
/// image before all: the fewer serving images a worker has, the more images that fill are harmless
/// there.
fn packing_score(request: &Request<'_>, worker: &Worker) -> f64 {
    let step = request.step;
    let capacity = worker.entry.capacity.cpu_milli.max(1) as f64;
    let left = worker.free().cpu_milli.saturating_sub(step.need.cpu_milli) as f64 / capacity;
    if !step.is_lasting {
        return left;
    }
    let others = worker.serving.iter().filter(|image| *image != request.image).count();
    let is_empty = if worker.lasting == 0 { EMPTY_WORKER } else { 0.0 };
    left + others as f64 * OTHER_IMAGE + is_empty
}
