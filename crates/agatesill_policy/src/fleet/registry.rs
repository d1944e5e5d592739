//! Registered workers, and the succession of their incarnations.

use crate::batch::Resources;

use super::US_PER_MS;
use super::job::{TaskRef, TaskState};
use super::state::Fleet;
use super::worker::{Worker, WorkerEntry, WorkerIndex, WorkerStanding};

impl Fleet {
    /// Applies one entry of the registry.
    pub fn worker_listed(&mut self, entry: WorkerEntry, now_us: u64) -> WorkerIndex {
        if let Some(index) = self.incarnation_of(&entry, now_us) {
            if self.workers[index as usize].order_of(entry.started_ms).is_lt() {
                return index;
            }
            self.reinstate(index, &entry);
            let worker = &mut self.workers[index as usize];
            if worker.entry.service != entry.service || worker.entry.labels != entry.labels {
                self.capacity_index.withdraw(index, worker);
            }
            // A worker known only from job records claims its address now.
            let is_first_entry = worker.entry.service.is_empty();
            let has_new_address = (is_first_entry || worker.entry.address != entry.address)
                && worker.standing != WorkerStanding::Gone;
            let began_to_leave = entry.is_leaving && !worker.entry.is_leaving;
            worker.is_zone_closed = self.closed_zones.contains_key(&entry.zone);
            worker.cold_until_us = cold_until_us(&entry, now_us);
            let previous_capacity = std::mem::replace(&mut worker.entry, entry).capacity;
            worker.is_listed = true;
            self.worker_changed(index);
            self.apply_capacity_change(index, &previous_capacity, now_us);
            if has_new_address {
                self.claim_address(index, now_us);
            }
            let worker = &self.workers[index as usize];
            if began_to_leave {
                log::info!(event = "worker_leaving", worker = worker.entry.id.as_str(),
                    tasks = worker.tasks.len(), leaves_in_ms = worker.entry.leaves_in_ms; "");
                self.evacuate(index, now_us);
            }
            return index;
        }
        let index = self.workers.len() as WorkerIndex;
        self.worker_by_id.insert(entry.id.clone(), index);
        let mut worker = Worker::new(entry);
        worker.is_zone_closed = self.closed_zones.contains_key(&worker.entry.zone);
        worker.cold_until_us = cold_until_us(&worker.entry, now_us);
        self.workers.push(worker);
        self.claim_address(index, now_us);
        index
    }

    /// Returns the known worker that an entry describes, or that is a later incarnation than the entry's.
    ///
    /// A worker that restarts under its identifier holds nothing of before and numbers its ends from
    /// one again. If it counted as the same, its first ends would be skipped as already applied.
    fn incarnation_of(&mut self, entry: &WorkerEntry, now_us: u64) -> Option<WorkerIndex> {
        let index = self.worker_by_id.get(&entry.id).copied()?;
        if self.workers[index as usize].order_of(entry.started_ms).is_gt() {
            self.worker_gone(index, "it restarted under its identifier", now_us);
            return None;
        }
        Some(index)
    }

    /// Assigns a worker's address to it unless a newer incarnation holds that address, and marks
    /// the older of the two as terminated. The older incarnation last wrote its entry before the
    /// newer one started, so the lower revision identifies it, even while the registry still lists
    /// both.
    ///
    /// Prevents duplicate runs: if listing order decided, a stale entry could mark the live worker
    /// as terminated, and its tasks would also be started elsewhere.
    fn claim_address(&mut self, index: WorkerIndex, now_us: u64) {
        let entry = &self.workers[index as usize].entry;
        let other = self.live_worker_at(&entry.address).filter(|other| *other != index);
        let is_older =
            |other: WorkerIndex| entry.revision < self.workers[other as usize].entry.revision;
        let superseded = match other {
            Some(other) if is_older(other) => Some(index),
            _ => {
                self.worker_by_address.insert(entry.address.clone(), index);
                other
            }
        };
        if let Some(superseded) = superseded {
            self.worker_gone(superseded, "another incarnation at its address", now_us);
        }
    }

    /// Logs a change of a worker's capacity and withdraws the latest choices while the allocations
    /// exceed the new capacity.
    fn apply_capacity_change(&mut self, index: WorkerIndex, previous: &Resources, now_us: u64) {
        let worker = &self.workers[index as usize];
        // A worker known only from job records has no capacity until it registers.
        if worker.entry.capacity == *previous || *previous == Resources::default() {
            return;
        }
        log::info!(event = "worker_capacity", worker = worker.entry.id.as_str(),
            cpu_milli = worker.entry.capacity.cpu_milli, before_cpu_milli = previous.cpu_milli,
            memory_mb = worker.entry.capacity.memory_mb, before_memory_mb = previous.memory_mb,
            used_cpu_milli = worker.used.cpu_milli, used_memory_mb = worker.used.memory_mb; "");
        let chosen: Vec<TaskRef> = worker
            .tasks
            .iter()
            .rev()
            .copied()
            .filter(|task_ref| matches!(self.task_state(*task_ref), TaskState::Chosen(_)))
            .collect();
        for task_ref in chosen {
            if self.workers[index as usize].is_over_capacity() {
                self.withdraw(task_ref, now_us);
            }
        }
    }

    /// Reinstates a terminated incarnation that registers again: it was partitioned for longer than
    /// its lease but is still running, and would otherwise never get a task again. A stale entry of
    /// an incarnation with a successor, or one that has not been written since, changes nothing.
    fn reinstate(&mut self, index: WorkerIndex, entry: &WorkerEntry) {
        let worker = &self.workers[index as usize];
        let is_gone = worker.standing == WorkerStanding::Gone;
        let is_rewritten = entry.revision == 0 || entry.revision > worker.entry.revision;
        if is_gone && is_rewritten && self.live_worker_at(&entry.address).is_none() {
            log::info!(event = "worker_back", worker = entry.id.as_str(); "");
            let worker = &mut self.workers[index as usize];
            worker.standing = WorkerStanding::New;
            worker.refused_polls = 0;
            self.worker_by_address.insert(entry.address.clone(), index);
        }
    }

    /// Returns the newest worker at an address, unless it has terminated.
    fn live_worker_at(&self, address: &str) -> Option<WorkerIndex> {
        let index = self.worker_by_address.get(address).copied()?;
        let is_live = self.workers[index as usize].standing != WorkerStanding::Gone;
        is_live.then_some(index)
    }

    /// Records that the registry no longer lists a worker. Its runs may still be present.
    pub fn worker_unlisted(&mut self, id: &str) {
        let Some(index) = self.worker_by_id.get(id).copied() else { return };
        let worker = &mut self.workers[index as usize];
        worker.is_listed = false;
        self.worker_changed(index);
    }

    /// Counts the tasks whose newest run may be on a worker that the registry does not list, and
    /// these workers.
    pub fn tasks_on_unlisted_workers(&self) -> (usize, usize) {
        let unlisted = self.live_workers().map(|(_, worker)| worker).filter(|w| !w.is_listed);
        unlisted
            .filter(|worker| !worker.tasks.is_empty())
            .fold((0, 0), |(tasks, workers), worker| (tasks + worker.tasks.len(), workers + 1))
    }

    /// Identifiers of the workers that the registry is known to list.
    pub fn listed_workers(&self) -> Vec<String> {
        self.workers
            .iter()
            .filter(|worker| worker.is_listed && worker.standing != WorkerStanding::Gone)
            .map(|worker| worker.entry.id.clone())
            .collect()
    }
}

fn cold_until_us(entry: &WorkerEntry, now_us: u64) -> u64 {
    if entry.cold_ms == 0 { 0 } else { now_us + entry.cold_ms * US_PER_MS }
}
