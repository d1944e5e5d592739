//! Directory of the workers by free capacity, with their load and newest measurements.

use std::collections::{BTreeMap, BTreeSet};

use super::super::{Cell, Resources, TaskId, Worker, WorkerId};
use super::interference::{ClassLoad, MAX_CLASSES};

/// The newest measurement of a service on a worker.
#[derive(Clone, Debug)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Decaying peak of its CPU use, in cores.
    pub load: f64,
    /// Smoothed natural logarithm of the ratio of tail latency to latency target.
    pub pressure: f64,
    /// Smoothed difference between the measured pressure and the model's prediction on this worker.
    pub residual: f64,
}

/// State of one worker that the ledger does not hold.
#[derive(Clone, Debug, Default)]
pub struct WorkerLoad {
    /// Index of its rack.
    pub rack: u32,
    /// Index of its zone.
    pub zone: u32,
    pub has_accelerators: bool,
    /// CPU use of batch tasks by class, in cores: the estimated use within their reservations,
    /// reduced by throttles.
    pub classes: ClassLoad,
    /// Services measured on the worker.
    pub services: Vec<ServiceLoad>,
    /// Time of the newest measurement.
    pub measured_ms: u64,
    /// Number of starts in the second that began at `start_second_ms`.
    pub starts: u32,
    /// Start of the second that `starts` counts.
    pub start_second_ms: u64,
    /// A waiting task for which the worker accepts no other tasks.
    pub held_for: Option<TaskId>,
}

/// All workers. The schedulable ones are ordered by free CPU and by free memory.
#[derive(Debug, Default)]
pub struct WorkerDirectory {
    loads: BTreeMap<WorkerId, WorkerLoad>,
    by_cpu: BTreeSet<(u64, WorkerId)>,
    by_memory: BTreeSet<(u64, WorkerId)>,
    with_accelerators: BTreeSet<WorkerId>,
    free: BTreeMap<WorkerId, Resources>,
    tentative: Vec<(WorkerId, usize, f64)>,
    location_indices: BTreeMap<String, u32>,
    closed_zones: BTreeSet<String>,
    unreachable: BTreeSet<WorkerId>,
    total: Resources,
}

/// Maximum starts per second on one worker. Images and inputs are transferred over the link that
/// the worker's services use.
pub const MAX_STARTS_PER_WORKER_S: u32 = 16;

impl WorkerLoad {
    /// Whether the worker has reached the maximum number of starts in the current second.
    pub fn is_at_start_limit(&self, now_ms: u64) -> bool {
        now_ms < self.start_second_ms + 1_000 && self.starts >= MAX_STARTS_PER_WORKER_S
    }

    /// Highest pressure of a service on the worker.
    pub fn worst_pressure(&self) -> f64 {
        self.services.iter().map(|service| service.pressure).fold(f64::MIN, f64::max)
    }
}

impl WorkerDirectory {
    /// Updates one worker from the ledger.
    pub fn sync(&mut self, worker: &Worker) {
        let id = worker.spec.id;
        let rack = self.name(&worker.spec.rack);
        let zone = self.name(&worker.spec.zone);
        let load = self.loads.entry(id).or_default();
        load.rack = rack;
        load.zone = zone;
        load.has_accelerators = worker.spec.capacity.accelerators > 0;
        let is_schedulable = worker.is_schedulable()
            && !worker.is_over_capacity()
            && !self.closed_zones.contains(&worker.spec.zone)
            && !self.unreachable.contains(&id);
        self.set_free(id, is_schedulable.then(|| worker.free()));
    }

    /// Sets the availability zones whose workers accept no new tasks.
    pub fn set_closed_zones(&mut self, zones: &BTreeSet<String>, cell: &Cell) {
        if self.closed_zones == *zones {
            return;
        }
        self.closed_zones.clone_from(zones);
        cell.workers().for_each(|worker| self.sync(worker));
    }

    /// Sets the workers that cannot be reached and accept no new tasks.
    pub fn set_unreachable(&mut self, workers: BTreeSet<WorkerId>, cell: &Cell) {
        let before = std::mem::replace(&mut self.unreachable, workers);
        let changed: Vec<WorkerId> =
            before.symmetric_difference(&self.unreachable).copied().collect();
        changed.iter().filter_map(|id| cell.worker(*id)).for_each(|worker| self.sync(worker));
    }

    /// Sets the free capacity of a worker, or removes the worker from the directory.
    fn set_free(&mut self, id: WorkerId, free: Option<Resources>) {
        if let Some(old) = self.free.remove(&id) {
            self.by_cpu.remove(&(old.cpu_milli, id));
            self.by_memory.remove(&(old.memory_mb, id));
            self.with_accelerators.remove(&id);
        }
        if let Some(free) = free {
            self.free.insert(id, free);
            self.by_cpu.insert((free.cpu_milli, id));
            self.by_memory.insert((free.memory_mb, id));
            if free.accelerators > 0 {
                self.with_accelerators.insert(id);
            }
        }
    }

    /// Reserves capacity for a proposal that uses `cpus` cores of a class, until
    /// [`WorkerDirectory::undo`].
    pub fn reserve_tentatively(
        &mut self,
        id: WorkerId,
        reserve: &Resources,
        class: Option<usize>,
        cpus: f64,
    ) {
        if let Some(free) = self.free.get(&id).copied() {
            self.set_free(id, Some(free.minus(reserve)));
            let cpus = if class.is_some() { cpus } else { 0.0 };
            self.add_class(id, class.unwrap_or_default(), cpus);
            self.tentative.push((id, class.unwrap_or_default(), cpus));
        }
    }

    /// Reverts the effects of proposals, since only committed placements count.
    pub fn undo(&mut self, cell: &Cell) {
        for (id, class, cpus) in std::mem::take(&mut self.tentative) {
            self.add_class(id, class, -cpus);
            if let Some(worker) = cell.worker(id) {
                self.sync(worker);
            }
        }
    }

    /// Removes a worker from the directory for this round, because a proposal quarantines it.
    pub fn exclude(&mut self, id: WorkerId) {
        self.set_free(id, None);
        self.tentative.push((id, 0, 0.0));
    }

    /// Up to `limit` workers, those with the most free CPU first.
    pub fn most_free(&self, limit: usize) -> impl Iterator<Item = WorkerId> + '_ {
        self.by_cpu.iter().rev().take(limit).map(|(_, id)| *id)
    }

    /// Counts a start on the worker in the current second.
    pub fn count_start(&mut self, id: WorkerId, now_ms: u64) {
        if let Some(load) = self.loads.get_mut(&id) {
            if now_ms >= load.start_second_ms + 1_000 {
                load.start_second_ms = now_ms;
                load.starts = 0;
            }
            load.starts += 1;
        }
    }

    /// Free capacity of a schedulable worker.
    pub fn free(&self, id: WorkerId) -> Option<&Resources> {
        self.free.get(&id)
    }

    /// Load of a worker.
    pub fn load(&self, id: WorkerId) -> Option<&WorkerLoad> {
        self.loads.get(&id)
    }

    /// Mutable load of a worker.
    pub fn load_mut(&mut self, id: WorkerId) -> Option<&mut WorkerLoad> {
        self.loads.get_mut(&id)
    }

    /// Number of schedulable workers.
    pub fn schedulable_count(&self) -> usize {
        self.free.len()
    }

    /// Total capacity, as computed by [`WorkerDirectory::set_total`].
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Recomputes the total capacity of the active workers that are not quarantined, including
    /// those in closed zones. Called when workers change.
    pub fn set_total(&mut self, cell: &Cell) {
        self.total = cell
            .workers()
            .filter(|worker| worker.is_schedulable())
            .fold(Resources::default(), |sum, worker| sum.plus(&worker.spec.capacity));
    }

    /// Collects workers that can hold `need`: up to `limit` with the least and `limit` with the
    /// most free capacity, ordered by the dimension in which `need` is relatively largest. The
    /// bound keeps the cost of a placement on 2,000 workers equal to that on 50, apart from a
    /// logarithmic term.
    pub fn candidates(&self, need: &Resources, limit: usize, out: &mut Vec<WorkerId>) {
        out.clear();
        let fits = |id: &WorkerId| self.free.get(id).is_some_and(|free| free.holds(need));
        if need.accelerators > 0 {
            out.extend(self.with_accelerators.iter().copied().filter(fits).take(2 * limit));
            return;
        }
        let by_memory =
            need.memory_mb * self.total.cpu_milli > need.cpu_milli * self.total.memory_mb;
        let (order, minimum) = if by_memory {
            (&self.by_memory, need.memory_mb)
        } else {
            (&self.by_cpu, need.cpu_milli)
        };
        let range = || order.range((minimum, 0)..).map(|(_, id)| *id);
        // The scans are bounded as well. If the other dimension is scarce on all workers, an
        // unbounded scan would visit all of them for each waiting task.
        out.extend(range().take(4 * limit).filter(fits).take(limit));
        out.extend(range().rev().take(4 * limit).filter(fits).take(limit));
        out.sort_unstable();
        out.dedup();
    }

    /// Adds CPU use of a class to a worker, in cores; a negative value removes it.
    pub fn add_class(&mut self, id: WorkerId, class: usize, cpus: f64) {
        if let Some(load) = self.loads.get_mut(&id) {
            let place = &mut load.classes[class.min(MAX_CLASSES - 1)];
            *place = (*place + cpus).max(0.0);
        }
    }

    fn name(&mut self, name: &str) -> u32 {
        if let Some(index) = self.location_indices.get(name) {
            return *index;
        }
        let index = self.location_indices.len() as u32;
        self.location_indices.insert(name.to_owned(), index);
        index
    }
}
