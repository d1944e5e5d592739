//! Index of the workers of each service, in the order in which a search for free capacity examines
//! them.
//!
//! Hundreds of steps wait on a thousand workers that are nearly full, and thousands of tasks start
//! each second. If every worker were examined for every task, the cost of planning would grow with
//! workers times starts. A search examines a bounded number of workers instead, best fit first.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::batch::Resources;

use super::colocation::crowding_milli;
use super::images::ImageId;
use super::worker::{Worker, WorkerIndex};

/// Usual maximum number of workers examined for one task.
pub(super) const MAX_EXAMINED: usize = 128;

/// Maximum number of workers whose free resources are compared with an allocation in one search.
const MAX_SCANNED: usize = 4_096;

/// If at most this many workers have a label, all of them are examined.
const MAX_RARE_LABEL_WORKERS: usize = 512;

/// Sort keys of a worker among the workers of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Place {
    service: usize,
    free: Resources,
    /// How crowded the worker is for best-effort tasks; `None` while it takes none.
    crowding: Option<u32>,
}

#[derive(Debug, Default)]
struct ServiceWorkers {
    by_free: BTreeSet<(u64, WorkerIndex)>,
    by_crowding: BTreeSet<(u32, WorkerIndex)>,
    by_label: HashMap<String, BTreeSet<WorkerIndex>>,
    /// Position from which searches for reserved CPU begin.
    reserved_cursor: Option<(u64, WorkerIndex)>,
    /// Position from which searches for each best-effort image begin.
    best_effort_cursors: HashMap<ImageId, (u32, WorkerIndex)>,
    /// These positions in the next round, if a search has failed in this one; `None` for the
    /// beginning.
    next_reserved_cursor: Option<Option<(u64, WorkerIndex)>>,
    next_best_effort_cursors: HashMap<ImageId, Option<(u32, WorkerIndex)>>,
}

/// Available workers by service and free capacity.
#[derive(Debug, Default)]
pub(super) struct CapacityIndex {
    service_numbers: BTreeMap<String, usize>,
    services: Vec<ServiceWorkers>,
    places: Vec<Option<Place>>,
}

impl CapacityIndex {
    /// Updates the position of a worker. Must be called after every change of its free capacity,
    /// tail response times or liveness.
    pub fn update(&mut self, index: WorkerIndex, worker: &Worker) {
        let place = worker.is_available().then(|| self.place_of(worker));
        if self.places.len() <= index as usize {
            self.places.resize(index as usize + 1, None);
        }
        let previous = std::mem::replace(&mut self.places[index as usize], place);
        if previous == place {
            return;
        }
        if let Some(previous) = previous {
            self.remove(index, previous);
        }
        if let Some(place) = place {
            self.insert(index, place);
        }
        match (previous, place) {
            (None, Some(place)) => self.services[place.service].label(index, worker),
            (Some(previous), None) => self.services[previous.service].unlabel(index, worker),
            _ => {}
        }
    }

    /// Removes a worker from the index, before a change of the entry fields that determine its
    /// position.
    pub fn withdraw(&mut self, index: WorkerIndex, worker: &Worker) {
        let place = self.places.get_mut(index as usize).and_then(Option::take);
        if let Some(place) = place {
            self.remove(index, place);
            self.services[place.service].unlabel(index, worker);
        }
    }

    fn place_of(&mut self, worker: &Worker) -> Place {
        let service = match self.service_numbers.get(&worker.entry.service) {
            Some(number) => *number,
            None => {
                self.services.push(ServiceWorkers::default());
                self.service_numbers.insert(worker.entry.service.clone(), self.services.len() - 1);
                self.services.len() - 1
            }
        };
        Place { service, free: worker.free(), crowding: crowding_milli(worker) }
    }

    fn insert(&mut self, index: WorkerIndex, place: Place) {
        let service = &mut self.services[place.service];
        service.by_free.insert((place.free.cpu_milli, index));
        if let Some(crowding) = place.crowding {
            service.by_crowding.insert((crowding, index));
        }
    }

    fn remove(&mut self, index: WorkerIndex, place: Place) {
        let service = &mut self.services[place.service];
        service.by_free.remove(&(place.free.cpu_milli, index));
        if let Some(crowding) = place.crowding {
            service.by_crowding.remove(&(crowding, index));
        }
    }

    fn service(&self, name: &str) -> Option<&ServiceWorkers> {
        self.service_numbers.get(name).map(|number| &self.services[*number])
    }

    /// Begins a planning round: searches continue after the workers that failed searches of the last
    /// round examined.
    ///
    /// All searches of a round begin at the same position. If each failed search moved it, the
    /// demands that wait would divide the workers among them, and one that always comes after the
    /// same number of others would see the same part in every round.
    pub fn begin_round(&mut self) {
        for service in &mut self.services {
            if let Some(next) = service.next_reserved_cursor.take() {
                service.reserved_cursor = next;
            }
            for (image, next) in service.next_best_effort_cursors.drain() {
                match next {
                    Some(place) => drop(service.best_effort_cursors.insert(image, place)),
                    None => drop(service.best_effort_cursors.remove(&image)),
                }
            }
        }
    }

    /// Returns at most `limit` workers that `may_take` accepts and that have capacity for `allocation`,
    /// those with the least free CPU first, from where the searches of the last round gave up. All
    /// others are skipped, since they could otherwise use up the limit.
    pub fn tightest_fit(
        &self,
        service: &str,
        allocation: &Resources,
        limit: usize,
        may_take: impl Fn(WorkerIndex) -> bool,
    ) -> Vec<WorkerIndex> {
        let Some(service) = self.service(service) else { return Vec::new() };
        let fits =
            |index: &WorkerIndex| self.has_capacity_for(*index, allocation) && may_take(*index);
        let scanned =
            service.workers_to_scan(allocation).take(MAX_SCANNED).map(|(_, index)| *index);
        scanned.filter(fits).take(limit).collect()
    }

    /// Returns the worker with the least free CPU that `may_take` accepts and that has capacity for
    /// `allocation`.
    pub fn tightest(
        &self,
        service: &str,
        allocation: &Resources,
        may_take: impl Fn(WorkerIndex) -> bool,
    ) -> Option<WorkerIndex> {
        let by_free = &self.service(service)?.by_free;
        let scanned = by_free.range((allocation.cpu_milli, 0)..).take(MAX_SCANNED);
        scanned
            .map(|(_, index)| *index)
            .find(|index| self.has_capacity_for(*index, allocation) && may_take(*index))
    }

    fn has_capacity_for(&self, index: WorkerIndex, allocation: &Resources) -> bool {
        self.places[index as usize].is_some_and(|place| place.free.holds(allocation))
    }

    /// Records that no worker was found for an allocation. Searches of the next round continue after
    /// the scanned workers and wrap around after the last.
    pub fn record_no_capacity(&mut self, service: &str, allocation: &Resources) {
        let Some(number) = self.service_numbers.get(service) else { return };
        let service = &mut self.services[*number];
        let next = service.workers_to_scan(allocation).nth(MAX_SCANNED).copied();
        service.next_reserved_cursor.get_or_insert(next);
    }

    /// Returns at most `limit` workers that take best-effort tasks, the least crowded first, from where
    /// the searches of the last round for this image gave up.
    pub fn least_crowded(&self, service: &str, image: ImageId, limit: usize) -> Vec<WorkerIndex> {
        let Some(service) = self.service(service) else { return Vec::new() };
        let from = service.best_effort_cursors.get(&image).copied().unwrap_or((0, 0));
        service.by_crowding.range(from..).map(|(_, index)| *index).take(limit).collect()
    }

    /// Records that none of the workers returned by [`CapacityIndex::least_crowded`] takes a task of
    /// the image. Searches of the next round continue after them and wrap around after the last.
    ///
    /// Guards against an image that harms the serving tasks on the emptiest workers: they stay the
    /// emptiest, and a search that always began with them would never reach another worker.
    pub fn record_no_match(&mut self, service: &str, image: ImageId) {
        let Some(number) = self.service_numbers.get(service) else { return };
        let service = &mut self.services[*number];
        let from = service.best_effort_cursors.get(&image).copied().unwrap_or_default();
        let by_crowding = &service.by_crowding;
        service
            .next_best_effort_cursors
            .entry(image)
            .or_insert_with(|| by_crowding.range(from..).nth(MAX_EXAMINED).copied());
    }

    /// Returns workers with a label; if many have it, at most `limit` that `may_take` accepts, those with
    /// the tightest fit.
    pub fn with_label(
        &self,
        service: &str,
        label: &str,
        allocation: &Resources,
        limit: usize,
        may_take: impl Fn(WorkerIndex) -> bool,
    ) -> Vec<WorkerIndex> {
        let Some(service) = self.service(service) else { return Vec::new() };
        let Some(labelled) = service.by_label.get(label) else { return Vec::new() };
        if labelled.len() <= MAX_RARE_LABEL_WORKERS {
            return labelled.iter().copied().collect();
        }
        let by_free = service.by_free.range((allocation.cpu_milli, 0)..).map(|(_, index)| *index);
        by_free
            .filter(|index| labelled.contains(index) && self.has_capacity_for(*index, allocation))
            .filter(|index| may_take(*index))
            .take(limit)
            .collect()
    }
}

impl ServiceWorkers {
    /// Iterates over workers with enough free CPU for `allocation`, the least free first, from
    /// where the last search gave up.
    fn workers_to_scan(&self, allocation: &Resources) -> impl Iterator<Item = &(u64, WorkerIndex)> {
        let from = self.reserved_cursor.unwrap_or_default().max((allocation.cpu_milli, 0));
        self.by_free.range(from..)
    }

    fn label(&mut self, index: WorkerIndex, worker: &Worker) {
        for label in &worker.entry.labels {
            self.by_label.entry(label.clone()).or_default().insert(index);
        }
    }

    fn unlabel(&mut self, index: WorkerIndex, worker: &Worker) {
        for label in &worker.entry.labels {
            if let Some(labelled) = self.by_label.get_mut(label) {
                labelled.remove(&index);
            }
        }
    }
}
