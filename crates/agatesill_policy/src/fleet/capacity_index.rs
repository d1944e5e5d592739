//! The workers of each service in the order in which a task looks for room.
//!
//! Load pattern: hundreds of steps wait on a thousand workers that are nearly full, and thousands of
//! tasks start each second. Were every worker examined for every task, planning would cost workers
//! times starts. A bounded number of workers is examined instead, those that fit best first.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::batch::Resources;

use super::colocation::crowding_now;
use super::images::ImageId;
use super::worker::{Worker, WorkerIndex};

/// Most workers that are examined for one task.
pub(super) const MOST_EXAMINED: usize = 128;

/// Most workers whose free resources are compared with the charge of a task in one search.
const MOST_SCANNED: usize = 4_096;

/// A label that no more workers than this have is searched worker by worker.
const RARE_LABEL: usize = 512;

/// Where a worker stands in the orders of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Place {
    service: usize,
    free: Resources,
    /// How crowded it is for tasks that fill; `None` while it takes none.
    crowding: Option<u32>,
}

#[derive(Debug, Default)]
struct ServiceRooms {
    by_free: BTreeSet<(u64, WorkerIndex)>,
    by_crowding: BTreeSet<(u32, WorkerIndex)>,
    by_label: HashMap<String, BTreeSet<WorkerIndex>>,
    /// Where the search for tasks with reserved processors goes on after one that found nothing.
    resume_reserved: Option<(u64, WorkerIndex)>,
    /// Where the search for each filling image goes on after one that found nothing.
    resume: HashMap<ImageId, (u32, WorkerIndex)>,
}

/// The workers that answer, are registered and stay, by service and room.
#[derive(Debug, Default)]
pub(super) struct CapacityIndex {
    numbers: BTreeMap<String, usize>,
    services: Vec<ServiceRooms>,
    places: Vec<Option<Place>>,
}

impl CapacityIndex {
    /// Takes in a worker as it is now; called after every change of its room, tails or standing.
    pub fn update(&mut self, index: WorkerIndex, worker: &Worker) {
        let place = worker.is_available().then(|| self.place_of(worker));
        if self.places.len() <= index as usize {
            self.places.resize(index as usize + 1, None);
        }
        let before = std::mem::replace(&mut self.places[index as usize], place);
        if before == place {
            return;
        }
        if let Some(before) = before {
            self.remove(index, before);
        }
        if let Some(place) = place {
            self.insert(index, place);
        }
        match (before, place) {
            (None, Some(place)) => self.services[place.service].label(index, worker),
            (Some(before), None) => self.services[before.service].unlabel(index, worker),
            _ => {}
        }
    }

    /// Takes a worker out of all orders, before its entry changes in what it is ordered by.
    pub fn withdraw(&mut self, index: WorkerIndex, worker: &Worker) {
        let place = self.places.get_mut(index as usize).and_then(Option::take);
        if let Some(place) = place {
            self.remove(index, place);
            self.services[place.service].unlabel(index, worker);
        }
    }

    fn place_of(&mut self, worker: &Worker) -> Place {
        let service = match self.numbers.get(&worker.entry.service) {
            Some(number) => *number,
            None => {
                self.services.push(ServiceRooms::default());
                self.numbers.insert(worker.entry.service.clone(), self.services.len() - 1);
                self.services.len() - 1
            }
        };
        Place { service, free: worker.free(), crowding: crowding_now(worker) }
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

    fn service(&self, name: &str) -> Option<&ServiceRooms> {
        self.numbers.get(name).map(|number| &self.services[*number])
    }

    /// Workers with room for `charge`, those with the fewest free processors first, from where the
    /// last search gave up. Workers that lack memory or accelerators are skipped, since they could
    /// otherwise make up all of the [`MOST_EXAMINED`].
    pub fn tightest_fit(&self, service: &str, charge: &Resources) -> Vec<WorkerIndex> {
        let Some(service) = self.service(service) else { return Vec::new() };
        let has_capacity_for = |index: &WorkerIndex| self.has_capacity_for(*index, charge);
        let scanned = service.workers_to_scan(charge).take(MOST_SCANNED).map(|(_, index)| *index);
        scanned.filter(has_capacity_for).take(MOST_EXAMINED).collect()
    }

    fn has_capacity_for(&self, index: WorkerIndex, charge: &Resources) -> bool {
        self.places[index as usize].is_some_and(|place| place.free.holds(charge))
    }

    /// Notes that no worker was found for a task with this charge: the next search goes on after
    /// those that were scanned, and begins anew after the last.
    pub fn record_no_capacity(&mut self, service: &str, charge: &Resources) {
        let Some(number) = self.numbers.get(service) else { return };
        let service = &mut self.services[*number];
        let next = service.workers_to_scan(charge).nth(MOST_SCANNED).copied();
        service.resume_reserved = next;
    }

    /// Workers that take tasks that fill, the least crowded first, from where the last search for this
    /// image gave up.
    pub fn least_crowded(&self, service: &str, image: ImageId) -> Vec<WorkerIndex> {
        let Some(service) = self.service(service) else { return Vec::new() };
        let from = service.resume.get(&image).copied().unwrap_or((0, 0));
        service.by_crowding.range(from..).map(|(_, index)| *index).take(MOST_EXAMINED).collect()
    }

    /// Notes that none of these workers takes a task of the image: the next search goes on after
    /// them, and begins anew after the last.
    ///
    /// Guards against an image that harms what serves on the emptiest workers: they stay the
    /// emptiest, and a search that always began with them would never see another.
    pub fn record_no_match(&mut self, service: &str, image: ImageId, examined: &[WorkerIndex]) {
        let Some(number) = self.numbers.get(service) else { return };
        let last = examined.last().filter(|_| examined.len() == MOST_EXAMINED);
        let place = last.and_then(|index| Some((*index, self.places[*index as usize]?.crowding?)));
        let resume = &mut self.services[*number].resume;
        match place {
            Some((index, crowding)) => drop(resume.insert(image, (crowding, index + 1))),
            None => drop(resume.remove(&image)),
        }
    }

    /// Workers with a label. Where most have it, the tightest among them.
    pub fn with_label(&self, service: &str, label: &str, charge: &Resources) -> Vec<WorkerIndex> {
        let Some(service) = self.service(service) else { return Vec::new() };
        let Some(labelled) = service.by_label.get(label) else { return Vec::new() };
        if labelled.len() <= RARE_LABEL {
            return labelled.iter().copied().collect();
        }
        let by_free = service.by_free.range((charge.cpu_milli, 0)..).map(|(_, index)| *index);
        by_free
            .filter(|index| labelled.contains(index) && self.has_capacity_for(*index, charge))
            .take(MOST_EXAMINED)
            .collect()
    }
}

impl ServiceRooms {
    /// Workers with enough free processors for `charge`, the fewest first, from where the last
    /// search gave up.
    fn workers_to_scan(&self, charge: &Resources) -> impl Iterator<Item = &(u64, WorkerIndex)> {
        let from = self.resume_reserved.unwrap_or_default().max((charge.cpu_milli, 0));
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
