//! Where a task that fills may go, and what it would find there.

use crate::fleet::images::ImageId;
use crate::fleet::place::Request;
use crate::fleet::state::Fleet;
use crate::fleet::worker::Worker;

use super::interference::Pair;

/// Share of the reserved processors that lasting tasks use: they declare about twice their load.
const USED_SHARE: f64 = 0.55;

/// Added for a worker with lasting tasks, for each mean tail over target: a crowded worker without any
/// is as good up to this much. Of two workers the one whose lasting tasks have less load now is better
/// by far, as tails rise steeply with load.
const TAIL_WEIGHT: f64 = 0.6;

/// Added for each serving image beside which the filling image has not been seen yet.
const UNKNOWN_PAIR: f64 = 0.25;

/// A worker whose serving tasks have tails above this share of their target takes no more.
const NEAR_TARGET: f64 = 0.8;

/// Part of a worker with lasting tasks that may be asked for when their mean tail is [`LOW_TAIL`].
/// Work that fills takes only what others leave, so asking for somewhat more than there is costs the
/// serving tasks nothing.
const FULL_AT_LOW_TAIL: f64 = 1.25;

/// Mean tail over target of lasting tasks at the low end of their load.
const LOW_TAIL: f64 = 0.3;

/// By how much less of the worker may be asked for for each mean tail above that. The load of lasting
/// tasks swings by half within seconds.
const LESS_FOR_TAIL: f64 = 1.0;

/// Tasks of one image that may run on one worker beside a serving image before the pair is known.
const TRIAL_TASKS: u32 = 1;

/// Workers on which an image runs at once beside a serving image before the pair is known. One more
/// sample tells a pair that harms; tried wherever its serving image runs, each harmful pair would press
/// many workers at once. Fewer learn too slowly while work waits.
const TRIAL_WORKERS: u32 = 3;

/// A worker on which tasks that fill would get less than this part of their processors takes no
/// more: the work waits better than it crawls.
const MOST_CROWDED: f64 = 2.5;

/// Processors that tasks that fill may use on a worker with lasting tasks at their present load.
pub(super) fn cores_for_filling(worker: &Worker) -> f64 {
    let capacity = worker.entry.capacity.cpu_milli as f64;
    let lasting = worker.long_running_cpu_milli as f64;
    let plain = worker.used.cpu_milli as f64 - lasting;
    let most = FULL_AT_LOW_TAIL - (worker.mean_tail - LOW_TAIL) * LESS_FOR_TAIL;
    (capacity * most - plain - lasting * USED_SHARE) / 1_000.0
}

/// Processors wanted by tasks that fill over those left to them, and a step for a worker with lasting
/// tasks; infinite where no more may come.
fn crowding(worker: &Worker, more_milli: u64) -> f64 {
    let capacity = worker.entry.capacity.cpu_milli as f64;
    let wanted = (worker.best_effort_cpu_milli + more_milli) as f64;
    let lasting = worker.long_running_cpu_milli as f64;
    let plain = worker.used.cpu_milli as f64 - lasting;
    let crowding = wanted / (capacity - plain - lasting * USED_SHARE).max(1.0);
    if crowding > MOST_CROWDED && worker.best_effort_cpu_milli > 0 {
        return f64::INFINITY;
    }
    if worker.lasting == 0 {
        return crowding;
    }
    if worker.worst_tail > NEAR_TARGET || wanted > cores_for_filling(worker) * 1_000.0 {
        return f64::INFINITY;
    }
    crowding + worker.mean_tail * TAIL_WEIGHT
}

/// Steps of the order of workers by crowding in one processor asked for each processor left.
const CROWDING_STEPS: f64 = 1_000.0;

/// How crowded a worker is for tasks that fill, in thousandths; `None` if it takes no more.
pub fn crowding_milli(worker: &Worker) -> Option<u32> {
    let crowding = crowding(worker, 0);
    crowding.is_finite().then_some((crowding * CROWDING_STEPS) as u32)
}

impl Fleet {
    /// How well a task that fills goes to a worker; infinite where it must not.
    ///
    /// To how crowded it is comes a step for each pair of images that is not known. A pair known to be
    /// harmful is out of the question: a serving task that is late to its own callers costs more than
    /// the work beside it is worth.
    pub(in crate::fleet) fn filling_score(&self, request: &Request<'_>, worker: &Worker) -> f64 {
        let mut score = crowding(worker, request.step.need.cpu_milli);
        if worker.lasting == 0 || !score.is_finite() {
            return score;
        }
        for serving in worker.serving.iter() {
            match self.interference.pair(serving, request.image) {
                Pair::Harmful => return f64::INFINITY,
                Pair::Harmless => {}
                Pair::Unsure if !self.may_try(worker, serving, request.image) => {
                    return f64::INFINITY;
                }
                Pair::Unsure => score += UNKNOWN_PAIR,
            }
        }
        score
    }

    /// Whether one more task of an image may run beside a serving image of which it is not known
    /// yet whether it harms it.
    fn may_try(&self, worker: &Worker, serving: ImageId, filling: ImageId) -> bool {
        worker.filling.of(filling) < TRIAL_TASKS && self.pairs.of(serving, filling) < TRIAL_WORKERS
    }
}
