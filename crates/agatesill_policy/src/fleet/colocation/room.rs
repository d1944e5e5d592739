//! Where a task that fills may go, and what it would find there.

use std::collections::BTreeMap;

use crate::fleet::job::{Step, TaskRef};
use crate::fleet::state::Fleet;
use crate::fleet::worker::{Worker, WorkerIndex};

use super::pressure::HARMFUL;

/// Share of the reserved processors that lasting tasks use: they declare about twice their load.
const USED_SHARE: f64 = 0.55;

/// Added for a worker with lasting tasks: a crowded free worker is as good up to this much.
const BESIDE_SERVING: f64 = 0.35;

/// Added for each serving image beside which the filling image has not been seen yet.
const UNKNOWN_PAIR: f64 = 0.25;

/// A worker whose serving tasks have tails above this share of their target takes no more.
const NEAR_TARGET: f64 = 0.95;

/// Beside lasting tasks no more than this part of the processors that they leave is given away:
/// their load swings by half, and tails rise as soon as the worker is full.
const MOST_CROWDED_BESIDE: f64 = 0.85;

/// Tasks of one image that may run beside a serving image before the pair is known.
const TRIAL_TASKS: usize = 1;

/// A worker on which tasks that fill would get less than this part of their processors takes no
/// more: the work waits better than it crawls.
const MOST_CROWDED: f64 = 2.5;

impl Fleet {
    /// How well a task that fills goes to a worker; infinite where it must not.
    ///
    /// Crowding is the processors wanted over those left; on it come a step for workers with
    /// lasting tasks and one for pairs that are not known. A pair known to be harmful is out of
    /// the question: one serving task over its target for two seconds costs what three month-end
    /// tasks are worth.
    pub(in crate::fleet) fn filling_score(
        &self,
        step: &Step,
        index: WorkerIndex,
        worker: &Worker,
    ) -> f64 {
        let capacity = worker.entry.capacity.cpu_milli as f64;
        let wanted = (worker.filling_cpu_milli + step.need.cpu_milli) as f64;
        let lasting = worker.lasting_cpu_milli as f64;
        let plain = worker.used.cpu_milli as f64 - lasting;
        let crowding = wanted / (capacity - plain - lasting * USED_SHARE).max(1.0);
        if crowding > MOST_CROWDED && worker.filling_cpu_milli > 0 {
            return f64::INFINITY;
        }
        if worker.lasting == 0 {
            return crowding;
        }
        if worker.worst_tail > NEAR_TARGET || crowding > MOST_CROWDED_BESIDE {
            return f64::INFINITY;
        }
        let mut score = crowding + BESIDE_SERVING;
        let mut is_trial = false;
        for image in self.serving_images(index).keys() {
            if self.pressure.weight(image, &step.image) >= HARMFUL {
                return f64::INFINITY;
            }
            if !self.pressure.is_known(image, &step.image) {
                score += UNKNOWN_PAIR;
                is_trial = true;
            }
        }
        if is_trial && self.tasks_of_image(worker, &step.image) >= TRIAL_TASKS {
            return f64::INFINITY;
        }
        score
    }

    fn tasks_of_image(&self, worker: &Worker, image: &str) -> usize {
        let is_of_image = |at: &&TaskRef| {
            self.job(at.job).is_some_and(|job| job.step(at.task).image == image)
        };
        worker.tasks.iter().filter(is_of_image).count()
    }

    /// The serving images on a worker, with their tasks.
    pub(in crate::fleet) fn serving_images(&self, index: WorkerIndex) -> BTreeMap<&str, u32> {
        let mut images = BTreeMap::new();
        for at in &self.workers[index as usize].tasks {
            let Some(job) = self.job(at.job) else { continue };
            let step = job.step(at.task);
            if step.target_ms > 0 {
                *images.entry(step.image.as_str()).or_default() += 1;
            }
        }
        images
    }
}
