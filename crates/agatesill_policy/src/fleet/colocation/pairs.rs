//! Number of workers on which each serving image is colocated with each best-effort image.
//!
//! The counts are updated whenever a task is allocated or released, because choosing a worker reads
//! them for each serving image of each examined worker. Counting on demand makes one choice
//! quadratic in the number of workers, and the planner of a large fleet then fails to renew its
//! lease in time.

use std::collections::HashMap;

use crate::fleet::images::{ImageCounts, ImageId};

/// Number of workers by pair of a serving and a best-effort image.
#[derive(Debug, Default)]
pub struct PairCounts {
    workers: HashMap<(ImageId, ImageId), u32>,
}

impl PairCounts {
    /// Number of workers on which the pair runs now.
    pub fn of(&self, serving: ImageId, filling: ImageId) -> u32 {
        self.workers.get(&(serving, filling)).copied().unwrap_or(0)
    }

    /// Counts the first task of a serving image on a worker with these best-effort images.
    pub fn serving_added(&mut self, serving: ImageId, filling: &ImageCounts) {
        filling.iter().for_each(|filling| self.increment(serving, filling));
    }

    /// Counts the first task of a best-effort image on a worker with these serving images.
    pub fn filling_added(&mut self, filling: ImageId, serving: &ImageCounts) {
        serving.iter().for_each(|serving| self.increment(serving, filling));
    }

    /// Uncounts the last task of a serving image on a worker with these best-effort images.
    pub fn serving_removed(&mut self, serving: ImageId, filling: &ImageCounts) {
        filling.iter().for_each(|filling| self.decrement(serving, filling));
    }

    /// Uncounts the last task of a best-effort image on a worker with these serving images.
    pub fn filling_removed(&mut self, filling: ImageId, serving: &ImageCounts) {
        serving.iter().for_each(|serving| self.decrement(serving, filling));
    }

    fn increment(&mut self, serving: ImageId, filling: ImageId) {
        *self.workers.entry((serving, filling)).or_default() += 1;
    }

    fn decrement(&mut self, serving: ImageId, filling: ImageId) {
        if let Some(count) = self.workers.get_mut(&(serving, filling)) {
            *count -= 1;
            if *count == 0 {
                self.workers.remove(&(serving, filling));
            }
        }
    }
}
