//! On how many workers each serving image has each filling image beside it.
//!
//! Kept with every task that is charged or released, because the choice of a worker asks for it for
//! each serving image of each worker that it examines: counting anew each time made one choice cost
//! workers times workers, and the planner of a large fleet missed its lease.

use std::collections::HashMap;

use crate::fleet::images::{ImageCounts, ImageId};

/// Workers by pair of a serving and a filling image.
#[derive(Debug, Default)]
pub struct PairCounts {
    workers: HashMap<(ImageId, ImageId), u32>,
}

impl PairCounts {
    /// Workers on which the pair runs now.
    pub fn of(&self, serving: ImageId, filling: ImageId) -> u32 {
        self.workers.get(&(serving, filling)).copied().unwrap_or(0)
    }

    /// Takes in the first task of a serving image on a worker that fills with these images.
    pub fn serving_added(&mut self, serving: ImageId, filling: &ImageCounts) {
        filling.iter().for_each(|filling| self.came(serving, filling));
    }

    /// Takes in the first task of a filling image on a worker that serves with these images.
    pub fn filling_added(&mut self, filling: ImageId, serving: &ImageCounts) {
        serving.iter().for_each(|serving| self.came(serving, filling));
    }

    /// Takes in that the last task of a serving image has left such a worker.
    pub fn serving_removed(&mut self, serving: ImageId, filling: &ImageCounts) {
        filling.iter().for_each(|filling| self.left(serving, filling));
    }

    /// Takes in that the last task of a filling image has left such a worker.
    pub fn filling_removed(&mut self, filling: ImageId, serving: &ImageCounts) {
        serving.iter().for_each(|serving| self.left(serving, filling));
    }

    fn came(&mut self, serving: ImageId, filling: ImageId) {
        *self.workers.entry((serving, filling)).or_default() += 1;
    }

    fn left(&mut self, serving: ImageId, filling: ImageId) {
        if let Some(count) = self.workers.get_mut(&(serving, filling)) {
            *count -= 1;
            if *count == 0 {
                self.workers.remove(&(serving, filling));
            }
        }
    }
}
