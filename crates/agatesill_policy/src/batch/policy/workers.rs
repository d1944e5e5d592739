//! Workers as placement sees them: ordered by room, with their residents and late measurements.

use std::collections::{BTreeMap, BTreeSet};

use super::super::{Cell, Resources, TaskId, Worker, WorkerId};
use super::interference::{ClassLoad, MAX_CLASSES};

/// A service's last measurement on a worker.
#[derive(Clone, Debug)]
pub struct ServiceLoad {
    /// The service.
    pub service: String,
    /// Processors used, the highest lately.
    pub load: f64,
    /// Logarithm of the tail answer time over the promise.
    pub pressure: f64,
    /// How much worse this worker is than the model says.
    pub residual: f64,
}

/// What is known about one worker beyond the ledger.
#[derive(Clone, Debug, Default)]
pub struct WorkerLoad {
    /// Index of its rack.
    pub rack: u32,
    /// Index of its zone.
    pub zone: u32,
    /// Whether it has accelerators.
    pub accelerated: bool,
    /// Processors of batch work by class, as reserved and not throttled.
    pub classes: ClassLoad,
    /// Services measured on it.
    pub services: Vec<ServiceLoad>,
    /// When the newest measurement was taken.
    pub measured_ms: u64,
    /// Starts in the second that began at `start_second_ms`.
    pub starts: u32,
    /// See `starts`.
    pub start_second_ms: u64,
    /// A task that the worker is kept free for.
    pub held_for: Option<TaskId>,
}

/// All workers, with the open ones ordered by free processors and by free memory.
#[derive(Debug, Default)]
pub struct Workers {
    loads: BTreeMap<WorkerId, WorkerLoad>,
    by_cpu: BTreeSet<(u64, WorkerId)>,
    by_memory: BTreeSet<(u64, WorkerId)>,
    with_accelerators: BTreeSet<WorkerId>,
    room: BTreeMap<WorkerId, Resources>,
    tentative: Vec<(WorkerId, usize, f64)>,
    names: BTreeMap<String, u32>,
    closed_zones: BTreeSet<String>,
    total: Resources,
}

/// Most starts a second on one worker: images and inputs arrive over the same link that its
/// services use.
pub const STARTS_PER_WORKER_S: u32 = 16;

impl WorkerLoad {
    /// Whether the worker had its starts for this second.
    pub fn is_starting_much(&self, now_ms: u64) -> bool {
        now_ms < self.start_second_ms + 1_000 && self.starts >= STARTS_PER_WORKER_S
    }

    /// The service that stands worst, as a logarithm of its tail over the promise.
    pub fn worst_pressure(&self) -> f64 {
        self.services.iter().map(|service| service.pressure).fold(f64::MIN, f64::max)
    }
}

impl Workers {
    /// Brings one worker in line with the ledger.
    pub fn sync(&mut self, worker: &Worker) {
        let id = worker.spec.id;
        let rack = self.name(&worker.spec.rack);
        let zone = self.name(&worker.spec.zone);
        let load = self.loads.entry(id).or_default();
        load.rack = rack;
        load.zone = zone;
        load.accelerated = worker.spec.capacity.accelerators > 0;
        let is_open = worker.is_schedulable()
            && !worker.is_over_capacity()
            && !self.closed_zones.contains(&worker.spec.zone);
        self.set_room(id, is_open.then(|| worker.free()));
    }

    /// Sets the availability zones whose workers take no new work.
    pub fn set_closed_zones(&mut self, zones: &BTreeSet<String>, cell: &Cell) {
        if self.closed_zones == *zones {
            return;
        }
        self.closed_zones.clone_from(zones);
        cell.workers().for_each(|worker| self.sync(worker));
    }

    /// Sets what is free on a worker, or takes it out of the order.
    fn set_room(&mut self, id: WorkerId, room: Option<Resources>) {
        if let Some(old) = self.room.remove(&id) {
            self.by_cpu.remove(&(old.cpu_milli, id));
            self.by_memory.remove(&(old.memory_mb, id));
            self.with_accelerators.remove(&id);
        }
        if let Some(free) = room {
            self.room.insert(id, free);
            self.by_cpu.insert((free.cpu_milli, id));
            self.by_memory.insert((free.memory_mb, id));
            if free.accelerators > 0 {
                self.with_accelerators.insert(id);
            }
        }
    }

    /// Takes room for a proposal of `cpus` processors of a class, until [`Workers::undo`].
    pub fn take(&mut self, id: WorkerId, reserve: &Resources, class: Option<usize>, cpus: f64) {
        if let Some(free) = self.room.get(&id).copied() {
            self.set_room(id, Some(free.minus(reserve)));
            let cpus = if class.is_some() { cpus } else { 0.0 };
            self.add_class(id, class.unwrap_or_default(), cpus);
            self.tentative.push((id, class.unwrap_or_default(), cpus));
        }
    }

    /// Gives back what proposals took: only committed placements count.
    pub fn undo(&mut self, cell: &Cell) {
        for (id, class, cpus) in std::mem::take(&mut self.tentative) {
            self.add_class(id, class, -cpus);
            if let Some(worker) = cell.worker(id) {
                self.sync(worker);
            }
        }
    }

    /// Takes a worker out of the order for this round, because a proposal closes it.
    pub fn close(&mut self, id: WorkerId) {
        self.set_room(id, None);
        self.tentative.push((id, 0, 0.0));
    }

    /// Workers with most free processors first, at most `few`.
    pub fn roomiest(&self, few: usize) -> impl Iterator<Item = WorkerId> + '_ {
        self.by_cpu.iter().rev().take(few).map(|(_, id)| *id)
    }

    /// Counts a start on the worker within the running second.
    pub fn count_start(&mut self, id: WorkerId, now_ms: u64) {
        if let Some(load) = self.loads.get_mut(&id) {
            if now_ms >= load.start_second_ms + 1_000 {
                load.start_second_ms = now_ms;
                load.starts = 0;
            }
            load.starts += 1;
        }
    }

    /// What is free on a worker that takes work.
    pub fn room(&self, id: WorkerId) -> Option<&Resources> {
        self.room.get(&id)
    }

    /// One worker's load.
    pub fn load(&self, id: WorkerId) -> Option<&WorkerLoad> {
        self.loads.get(&id)
    }

    /// One worker's load, to be changed.
    pub fn load_mut(&mut self, id: WorkerId) -> Option<&mut WorkerLoad> {
        self.loads.get_mut(&id)
    }

    /// Workers that take work.
    pub fn open_count(&self) -> usize {
        self.room.len()
    }

    /// All that the open workers and the closed ones have; set by [`Workers::set_total`].
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Recomputes the sum of capacities; called when workers change.
    pub fn set_total(&mut self, cell: &Cell) {
        self.total = cell
            .workers()
            .filter(|worker| worker.is_schedulable())
            .fold(Resources::default(), |sum, worker| sum.plus(&worker.spec.capacity));
    }

    /// Workers that hold `need`: the `few` tightest and the `few` with most room, in the order of
    /// the dimension that `need` asks most of. A bound, so that a placement costs the same on
    /// 2,000 workers as on 50 but for the logarithm.
    pub fn candidates(&self, need: &Resources, few: usize, out: &mut Vec<WorkerId>) {
        out.clear();
        let fits = |id: &WorkerId| self.room.get(id).is_some_and(|free| free.holds(need));
        if need.accelerators > 0 {
            out.extend(self.with_accelerators.iter().copied().filter(fits).take(2 * few));
            return;
        }
        let by_memory =
            need.memory_mb * self.total.cpu_milli > need.cpu_milli * self.total.memory_mb;
        let (order, least) = if by_memory {
            (&self.by_memory, need.memory_mb)
        } else {
            (&self.by_cpu, need.cpu_milli)
        };
        let range = || order.range((least, 0)..).map(|(_, id)| *id);
        // Scans are bounded too: where the other dimension is short everywhere, looking further
        // would cost a scan of all workers for each task that waits.
        out.extend(range().take(4 * few).filter(fits).take(few));
        out.extend(range().rev().take(4 * few).filter(fits).take(few));
        out.sort_unstable();
        out.dedup();
    }

    /// Adds processors of a class to a worker, or takes them off.
    pub fn add_class(&mut self, id: WorkerId, class: usize, cpus: f64) {
        if let Some(load) = self.loads.get_mut(&id) {
            let place = &mut load.classes[class.min(MAX_CLASSES - 1)];
            *place = (*place + cpus).max(0.0);
        }
    }

    fn name(&mut self, name: &str) -> u32 {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let index = self.names.len() as u32;
        self.names.insert(name.to_owned(), index);
        index
    }
}
