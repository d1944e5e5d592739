//! Evacuation of long-running tasks from slow workers.
//!
//! Load pattern: three workers in ten run everything several times slower for seconds. The serving
//! tasks there exceed their targets all the while, although other workers have free capacity. A
//! long-running task never leaves a worker by itself, and a move costs a stop and a start, during
//! which the task is missing. So the tasks that exceed their targets most leave first, within the
//! allowance of their steps, only as many as healthy workers have capacity for, and at a bounded
//! rate. If most workers are slow, a move gains nothing.

use std::collections::{HashMap, HashSet};

use super::US_PER_MS;
use super::job::{TaskRef, TaskState};
use super::state::{Fleet, TaskGroup};
use super::worker::{Worker, WorkerIndex};

/// Time between two rounds of evacuation.
const ROUND_INTERVAL_US: u64 = 100 * US_PER_MS;

/// Maximum number of tasks that leave in one round. Each move is a stop, a record and a start; the
/// starts of urgent tasks must not wait behind them.
const MAX_TASKS_PER_ROUND: usize = 10;

/// Maximum number of tasks that are without a run at once because of evacuation.
const MAX_TASKS_IN_TRANSIT: usize = 64;

/// Maximum number of searches for capacity in one round. A search examines every worker of the
/// service if none has capacity.
const MAX_SEARCHES_PER_ROUND: usize = 16;

/// Number of slow workers whose tasks are examined in one round.
const MAX_WORKERS_PER_ROUND: usize = 64;

/// Share of a service's workers above which most are slow.
const MOSTLY_SLOW_SHARE: f64 = 0.5;

/// Ratio of tail to target from which a move pays: the task is missing for a second or two, so it
/// should be far over its target.
const MIN_TAIL_RATIO: f64 = 1.5;

/// Progress up to which a task that starts on a slow worker starts sooner elsewhere.
const MAX_START_PERCENT: u32 = 50;

/// Minimum time between the start of a long-running task that is at work and its evacuation.
const MIN_RUN_US: u64 = 5_000 * US_PER_MS;

/// State kept between rounds.
#[derive(Debug, Default)]
pub(super) struct SlowEvacuation {
    last_round_us: u64,
    /// Index from which the next round examines slow workers.
    next_worker: WorkerIndex,
    /// Services most of whose workers are slow.
    mostly_slow: HashSet<String>,
    /// Evacuated tasks without a run, with the worker that had capacity for each.
    in_transit: HashMap<TaskRef, WorkerIndex>,
}

impl SlowEvacuation {
    pub fn is_mostly_slow(&self, service: &str) -> bool {
        self.mostly_slow.contains(service)
    }
}

/// A long-running task on a slow worker.
#[derive(Debug)]
struct Candidate {
    task_ref: TaskRef,
    worker: WorkerIndex,
    tail_ratio: f64,
}

/// Estimated speed of a slow worker, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowWorker {
    /// Identifier of the worker.
    pub id: String,
    /// Speed in percent of the usual one.
    pub speed_percent: u32,
    /// Confidence in the speed, in percent.
    pub confidence_percent: u32,
    /// Number of long-running tasks on the worker.
    pub long_running: u32,
}

impl Fleet {
    /// Stops long-running tasks on slow workers that healthy workers have capacity for, so that they
    /// start there.
    pub(super) fn evacuate_slow_workers(&mut self, now_us: u64) {
        if self.controlled_services.is_empty()
            || now_us.saturating_sub(self.slow_evacuation.last_round_us) < ROUND_INTERVAL_US
        {
            return;
        }
        self.slow_evacuation.last_round_us = now_us;
        let slow = self.count_slow_workers();
        self.forget_arrived();
        // Capacity that urgent steps wait for is not filled with long-running tasks.
        if slow.is_empty() || !self.preemption.freeing.is_empty() {
            return;
        }
        let in_transit = self.slow_evacuation.in_transit.len();
        let mut left = MAX_TASKS_PER_ROUND.min(MAX_TASKS_IN_TRANSIT.saturating_sub(in_transit));
        let mut searches = 0;
        for candidate in self.evacuation_candidates(&slow, now_us) {
            if left == 0 || searches == MAX_SEARCHES_PER_ROUND {
                return;
            }
            // Another task of the same step may have left in this round.
            if !self.may_leave(candidate.task_ref, now_us) {
                continue;
            }
            searches += 1;
            if let Some(target) = self.evacuation_target(candidate.task_ref, now_us) {
                self.evacuate_task(&candidate, target, now_us);
                left -= 1;
            }
        }
    }

    /// Returns the slow workers of services with few of them, and updates which services have mostly
    /// slow ones.
    ///
    /// Guards against tasks that leave the first of many workers that become slow together: the
    /// newest sample of each counts, which shows it before any worker is known to be slow.
    fn count_slow_workers(&mut self) -> Vec<WorkerIndex> {
        let mut counts: HashMap<&str, (usize, usize)> = HashMap::new();
        let mut slow = Vec::new();
        for (index, worker) in self.live_workers().filter(|(_, worker)| worker.is_available()) {
            let count = counts.entry(&worker.entry.service).or_default();
            count.1 += 1;
            count.0 += usize::from(worker.speed.is_slow || worker.speed.is_newest_sample_slow);
            if worker.speed.is_slow {
                slow.push(index);
            }
        }
        let is_mostly_slow =
            |(slow, all): (usize, usize)| slow as f64 > all as f64 * MOSTLY_SLOW_SHARE;
        let mostly_slow: HashSet<String> = counts
            .into_iter()
            .filter(|(_, count)| is_mostly_slow(*count))
            .map(|(service, _)| service.to_owned())
            .collect();
        slow.retain(|index| !mostly_slow.contains(&self.workers[*index as usize].entry.service));
        self.slow_evacuation.mostly_slow = mostly_slow;
        slow
    }

    /// Forgets the evacuated tasks that have a worker again or whose job has ended.
    fn forget_arrived(&mut self) {
        let mut in_transit = std::mem::take(&mut self.slow_evacuation.in_transit);
        in_transit.retain(|task_ref, _| {
            matches!(self.task_state(*task_ref), TaskState::Stopping(_) | TaskState::Waiting)
        });
        self.slow_evacuation.in_transit = in_transit;
    }

    /// Returns the tasks that may leave the slow workers, the most harmed first.
    fn evacuation_candidates(&mut self, slow: &[WorkerIndex], now_us: u64) -> Vec<Candidate> {
        let from = slow.partition_point(|index| *index < self.slow_evacuation.next_worker);
        let (before, after) = slow.split_at(from);
        let examined: Vec<WorkerIndex> =
            after.iter().chain(before).copied().take(MAX_WORKERS_PER_ROUND).collect();
        self.slow_evacuation.next_worker = examined.last().map_or(0, |index| index + 1);
        let mut candidates: Vec<Candidate> = examined
            .into_iter()
            .map(|index| (index, &self.workers[index as usize]))
            .inspect(|(_, worker)| self.effort.count_tasks_weighed(worker.tasks.len()))
            .flat_map(|(index, worker)| worker.tasks.iter().map(move |task_ref| (index, *task_ref)))
            .filter_map(|(worker, task_ref)| {
                let tail_ratio = self.harm(task_ref)?;
                let may_leave = self.may_leave(task_ref, now_us);
                may_leave.then_some(Candidate { task_ref, worker, tail_ratio })
            })
            .collect();
        candidates.sort_by(|a, b| b.tail_ratio.total_cmp(&a.tail_ratio));
        candidates
    }

    /// Ratio of tail to target of a long-running task that a move would serve better; infinite for a
    /// task that is far from ready.
    fn harm(&self, task_ref: TaskRef) -> Option<f64> {
        let job = self.job(task_ref.job)?;
        let task = &job.tasks[task_ref.task as usize];
        if task.percent < 100 {
            return (task.percent <= MAX_START_PERCENT).then_some(f64::INFINITY);
        }
        (task.tail_ratio >= MIN_TAIL_RATIO).then_some(task.tail_ratio)
    }

    /// Whether a long-running task may be stopped: while it starts, or within the allowance of its
    /// step.
    fn may_leave(&self, task_ref: TaskRef, now_us: u64) -> bool {
        let Some(job) = self.job(task_ref.job) else { return false };
        let (occurrence, step, _) = job.locate(task_ref.task);
        let task = &job.tasks[task_ref.task as usize];
        let group = TaskGroup { job: task_ref.job, occurrence, step };
        let is_starting = task.percent < 100;
        job.spec.steps[step as usize].is_lasting
            && matches!(task.state, TaskState::Running(_))
            && (is_starting
                || (now_us.saturating_sub(task.since_us) >= MIN_RUN_US
                    && self.may_miss_another(job, group)))
    }

    /// Returns a healthy worker with capacity for a task that no other evacuated task counts on.
    fn evacuation_target(&self, task_ref: TaskRef, now_us: u64) -> Option<WorkerIndex> {
        let is_claimed =
            |index| self.slow_evacuation.in_transit.values().any(|target| *target == index);
        let is_healthy = |worker: &Worker| {
            worker.is_open(now_us)
                && !worker.speed.is_slow
                && !worker.is_cold(now_us)
                && worker.isolated_tasks == 0
        };
        self.with_request(task_ref, now_us, |request| {
            let allocation = request.step.allocation();
            self.capacity_index.tightest(request.service, &allocation, |index| {
                is_healthy(&self.workers[index as usize])
                    && !is_claimed(index)
                    && self.may_take(request, index, now_us)
            })
        })?
    }

    fn evacuate_task(&mut self, candidate: &Candidate, target: WorkerIndex, now_us: u64) {
        let worker = &self.workers[candidate.worker as usize];
        log::info!(event = "task_evacuated", job = self.job_id(candidate.task_ref.job),
            task = self.task_name(candidate.task_ref), worker = worker.entry.id.as_str(),
            speed_percent = (worker.speed.estimate.speed(now_us) * 100.0) as u32,
            tail_percent = (candidate.tail_ratio * 100.0) as u64,
            has_capacity = self.workers[target as usize].entry.id.as_str(),
            answer_age_ms = now_us.saturating_sub(worker.reported_us) / US_PER_MS;
            "moving long-running task off a slow worker");
        self.stop(candidate.task_ref, now_us);
        self.slow_evacuation.in_transit.insert(candidate.task_ref, target);
        self.counts.evacuated += 1;
    }

    /// Returns the number of workers that are avoided for being slow, and the `max` slowest ones.
    pub fn slowest_workers(&self, max: usize, now_us: u64) -> (usize, Vec<SlowWorker>) {
        let mut slow: Vec<&Worker> = self
            .live_workers()
            .map(|(_, worker)| worker)
            .filter(|worker| worker.speed.is_slow)
            .collect();
        let speed_of = |worker: &Worker| worker.speed.estimate.speed(now_us);
        slow.sort_by(|a, b| speed_of(a).total_cmp(&speed_of(b)));
        let described = slow.iter().take(max).map(|worker| SlowWorker {
            id: worker.entry.id.clone(),
            speed_percent: (speed_of(worker) * 100.0) as u32,
            confidence_percent: (worker.speed.estimate.confidence(now_us) * 100.0) as u32,
            long_running: worker.lasting,
        });
        (slow.len(), described.collect())
    }
}
