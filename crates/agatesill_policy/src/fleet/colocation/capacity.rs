//! Capacity of workers for best-effort tasks, and the placement score of best-effort tasks.

use crate::fleet::US_PER_MS;
use crate::fleet::images::ImageId;
use crate::fleet::job::{Job, TaskRef};
use crate::fleet::place::PlacementRequest;
use crate::fleet::refusals::{Refusal, refuse_if};
use crate::fleet::state::Fleet;
use crate::fleet::worker::{Worker, WorkerIndex};

use super::interference::{HARMFUL_WEIGHT, PairClass, usage_units};
use super::pacing::{TARGET_TAIL_RATIO, THROTTLED_PACE_PERCENT};

/// Share of their reserved CPU that long-running tasks use; they reserve about twice their load.
pub(in crate::fleet) const LONG_RUNNING_USED_SHARE: f64 = 0.55;

/// Penalty of a worker with long-running tasks, per unit of their mean tail ratio (tail latency
/// over target).
///
/// A worker without long-running tasks is preferred until it is more crowded by this much. Of two
/// workers with long-running tasks, the one with less load is clearly preferred, because tails rise
/// steeply with load.
const MEAN_TAIL_PENALTY: f64 = 0.6;

/// Penalty for each serving image on the worker whose pair with the best-effort image is not
/// classified yet.
const UNKNOWN_PAIR_PENALTY: f64 = 0.25;

/// Tail ratio of any serving task above which its worker accepts no further best-effort tasks.
const MAX_TAIL_RATIO: f64 = 0.8;

/// Share of a worker with long-running tasks that may be requested in total at a mean tail ratio of
/// [`LOW_TAIL_RATIO`].
///
/// Best-effort tasks only use CPU that others leave unused, so requesting somewhat more than the
/// worker has does not affect the serving tasks.
const SHARE_AT_LOW_TAIL: f64 = 1.25;

/// Mean tail ratio of long-running tasks at the low end of their load.
const LOW_TAIL_RATIO: f64 = 0.3;

/// Decrease of the share that may be requested, per unit of mean tail ratio above
/// [`LOW_TAIL_RATIO`]. The load of long-running tasks varies by half within seconds.
const SHARE_DECREASE_PER_TAIL: f64 = 1.0;

/// Maximum number of tasks of an image on one worker beside a serving image while the pair is not
/// classified.
const MAX_TRIAL_TASKS: u32 = 1;

/// Maximum number of workers with a pair at once while the pair is not classified.
///
/// One more sample identifies a harmful pair. Without a limit, each harmful pair would affect all
/// workers of its serving image at once. With fewer workers, pairs are classified too slowly while
/// work waits.
const MAX_TRIAL_WORKERS: u32 = 3;

/// Penalty of a worker where the task has to run slowed beside a serving task that it harms. Any
/// worker where it is harmless is preferred.
const THROTTLED_PENALTY: f64 = 100.0;

/// Time without a run after which a best-effort job accepts a worker where it has to run slowed.
///
/// Without a limit, a job whose image harms an image that every worker serves would never run, and
/// a pair that was classified wrongly would never be observed again.
const MAX_IDLE_US: u64 = 1_500 * US_PER_MS;

/// Minimum time between two searches for such a worker by one job.
pub(in crate::fleet) const THROTTLED_SEARCH_INTERVAL_US: u64 = 500 * US_PER_MS;

impl Job {
    /// Whether the next task may be placed beside serving tasks that it harms.
    pub(in crate::fleet) fn accepts_throttling(&self, now_us: u64) -> bool {
        now_us >= self.throttled_search_from_us
            && self.idle_us(now_us).is_some_and(|idle_us| idle_us >= MAX_IDLE_US)
    }
}

/// Maximum ratio of the CPU requested by best-effort tasks to the CPU left for them. Beyond it a
/// worker accepts no more, because tasks that get so little CPU are better left waiting.
const MAX_CROWDING: f64 = 2.5;

/// Number of CPUs that best-effort tasks may request on a worker with long-running tasks, given the
/// current load of these tasks.
pub(super) fn best_effort_cores(worker: &Worker) -> f64 {
    let capacity = worker.entry.capacity.cpu_milli as f64;
    let lasting = worker.long_running_cpu_milli as f64;
    let plain = worker.used.cpu_milli as f64 - lasting;
    let max_share =
        SHARE_AT_LOW_TAIL - (worker.mean_tail - LOW_TAIL_RATIO) * SHARE_DECREASE_PER_TAIL;
    (capacity * max_share - plain - lasting * LONG_RUNNING_USED_SHARE) / 1_000.0
}

/// Ratio of the CPU requested by best-effort tasks to the CPU left for them, plus a penalty for the
/// load of long-running tasks. Infinite if the worker accepts no more.
fn crowding(worker: &Worker, added_milli: u64) -> f64 {
    let capacity = worker.entry.capacity.cpu_milli as f64;
    let requested = (worker.best_effort_cpu_milli + added_milli) as f64;
    let lasting = worker.long_running_cpu_milli as f64;
    let plain = worker.used.cpu_milli as f64 - lasting;
    let crowding = requested / (capacity - plain - lasting * LONG_RUNNING_USED_SHARE).max(1.0);
    if crowding > MAX_CROWDING && worker.best_effort_cpu_milli > 0 {
        return f64::INFINITY;
    }
    if worker.lasting == 0 {
        return crowding;
    }
    if worker.worst_tail > MAX_TAIL_RATIO || requested > best_effort_cores(worker) * 1_000.0 {
        return f64::INFINITY;
    }
    crowding + worker.mean_tail * MEAN_TAIL_PENALTY
}

/// Integer steps per unit of crowding in the ordering of workers.
const CROWDING_SCALE: f64 = 1_000.0;

/// Returns the crowding of a worker in thousandths, or `None` if the worker accepts no more
/// best-effort tasks.
pub fn crowding_milli(worker: &Worker) -> Option<u32> {
    let crowding = crowding(worker, 0);
    crowding.is_finite().then_some((crowding * CROWDING_SCALE) as u32)
}

impl Fleet {
    /// Returns the score of a worker for a best-effort task, or why the worker must not run it.
    ///
    /// The score is the crowding of the worker plus a penalty for each pair of images that is not
    /// classified. Workers with a harmful pair are excluded, because a serving task that misses its
    /// target costs more than the work beside it is worth.
    pub(in crate::fleet) fn best_effort_score(
        &self,
        request: &PlacementRequest<'_>,
        worker: &Worker,
    ) -> Result<f64, Refusal> {
        let mut score = crowding(worker, request.step.need.cpu_milli);
        refuse_if(!score.is_finite(), Refusal::Crowded)?;
        if worker.lasting == 0 {
            return Ok(score);
        }
        for serving in worker.serving.iter() {
            match self.interference.classify(serving, request.image) {
                PairClass::Harmless => {}
                PairClass::Unknown if self.may_run_trial(worker, serving, request.image) => {
                    score += UNKNOWN_PAIR_PENALTY;
                }
                class => {
                    let is_allowed = request.accepts_throttling
                        && self.may_run_throttled(worker, serving, request);
                    let is_harmful = class == PairClass::Harmful;
                    refuse_if(!is_allowed && is_harmful, Refusal::HarmfulPair)?;
                    refuse_if(!is_allowed, Refusal::TrialLimit)?;
                    score += THROTTLED_PENALTY;
                }
            }
        }
        Ok(score)
    }

    /// Whether one task of a best-effort image may run slowed beside a serving image that it harms,
    /// or may harm: it is the only task of its image there, and the tails are expected to stay
    /// within their targets.
    fn may_run_throttled(
        &self,
        worker: &Worker,
        serving: ImageId,
        request: &PlacementRequest<'_>,
    ) -> bool {
        let weight = self.interference.weight(serving, request.image).unwrap_or(HARMFUL_WEIGHT);
        let cpu_milli = request.step.need.cpu_milli as f64;
        let usage = usage_units(worker, cpu_milli) * f64::from(THROTTLED_PACE_PERCENT) / 100.0;
        let tail = worker.worst_tail.max(LOW_TAIL_RATIO) * (weight * usage).exp();
        worker.filling.of(request.image) == 0 && tail <= TARGET_TAIL_RATIO
    }

    /// Marks a task that is about to be placed on a worker if it may harm a serving task there, so
    /// that its run starts slowed.
    pub(in crate::fleet) fn throttle_if_harmful(
        &mut self,
        task_ref: TaskRef,
        image: ImageId,
        worker: WorkerIndex,
    ) {
        let target = &self.workers[worker as usize];
        let is_harmless =
            target.serving.iter().all(|serving| match self.interference.classify(serving, image) {
                PairClass::Harmless => true,
                PairClass::Harmful => false,
                PairClass::Unknown => self.may_run_trial(target, serving, image),
            });
        if let Some(job) = self.job_mut(task_ref.job).filter(|_| !is_harmless) {
            job.tasks[task_ref.task as usize].is_throttled = true;
        }
    }

    /// Whether one more task of a best-effort image may be started beside a serving image while the
    /// pair is not classified.
    fn may_run_trial(&self, worker: &Worker, serving: ImageId, filling: ImageId) -> bool {
        worker.filling.of(filling) < MAX_TRIAL_TASKS
            && self.pairs.of(serving, filling) < MAX_TRIAL_WORKERS
    }
}
