//! Registered workers, and the succession of their incarnations.
//!
//! An entry of the registry never ends an incarnation. A store that is slow or cut off may carry out
//! the last write of a former incarnation after the first one of its successor, so neither the
//! revisions of the entries nor the start times in them tell which of the two is alive. Only the
//! process at the address can tell, by its answer to a call. An entry that contradicts the ledger
//! has the connection to the known incarnation verified at once, so that a worker which has really
//! terminated is detected without delay.

use std::cmp::Ordering;

use crate::batch::Resources;

use super::US_PER_MS;
use super::job::{TaskRef, TaskState};
use super::state::Fleet;
use super::worker::{Worker, WorkerEntry, WorkerIndex, WorkerStanding};

impl Fleet {
    /// Applies one entry of the registry. Returns the worker that it describes, or the known
    /// incarnation under its identifier if the entry describes an earlier one, or a later one whose
    /// start has not been confirmed yet.
    pub fn worker_listed(&mut self, entry: WorkerEntry, now_us: u64) -> WorkerIndex {
        let known = self.worker_by_id.get(&entry.id).copied();
        let Some(index) = known else { return self.add_worker(entry, now_us) };
        let worker = &self.workers[index as usize];
        match worker.order_of(entry.started_ms) {
            Ordering::Less => {}
            Ordering::Equal if self.is_listed_elsewhere(index, &entry) => {
                self.await_successor(index, entry);
            }
            Ordering::Equal => self.entry_changed(index, entry, now_us),
            Ordering::Greater if worker.standing == WorkerStanding::Gone => {
                return self.add_worker(entry, now_us);
            }
            Ordering::Greater => self.await_successor(index, entry),
        }
        index
    }

    /// Whether an entry names another address than the one at which a worker with tasks is known to
    /// this planner or was known to its predecessor. The answers at the known address decide.
    ///
    /// Prevents duplicate runs: a late entry of a worker that has restarted elsewhere under its
    /// identifier would have the live one taken for terminated, as another one answers at the former
    /// address.
    fn is_listed_elsewhere(&self, index: WorkerIndex, entry: &WorkerEntry) -> bool {
        let worker = &self.workers[index as usize];
        let known = &worker.entry.address;
        !known.is_empty() && *known != entry.address && !worker.tasks.is_empty()
    }

    fn add_worker(&mut self, entry: WorkerEntry, now_us: u64) -> WorkerIndex {
        let index = self.workers.len() as WorkerIndex;
        self.worker_by_id.insert(entry.id.clone(), index);
        let mut worker = Worker::new(entry);
        worker.is_zone_closed = self.closed_zones.contains_key(&worker.entry.zone);
        worker.cold_until_us = cold_until_us(&worker.entry, now_us);
        worker.listed_us = now_us;
        self.workers.push(worker);
        self.claim_address(index);
        index
    }

    fn entry_changed(&mut self, index: WorkerIndex, entry: WorkerEntry, now_us: u64) {
        self.reinstate(index, &entry);
        let worker = &mut self.workers[index as usize];
        worker.successor = None;
        worker.listed_us = now_us;
        if worker.entry.service != entry.service || worker.entry.labels != entry.labels {
            self.capacity_index.withdraw(index, worker);
        }
        // A worker known only from job records claims its address now.
        let is_first_entry = worker.entry.service.is_empty();
        let has_new_address = (is_first_entry || worker.entry.address != entry.address)
            && worker.standing != WorkerStanding::Gone;
        let is_replaced = !worker.entry.address.is_empty() && worker.entry.address != entry.address;
        worker.has_moved |= is_replaced;
        let began_to_leave = entry.is_leaving && !worker.entry.is_leaving;
        worker.is_zone_closed = self.closed_zones.contains_key(&entry.zone);
        worker.cold_until_us = cold_until_us(&entry, now_us);
        let previous_capacity = std::mem::replace(&mut worker.entry, entry).capacity;
        worker.is_listed = true;
        self.worker_changed(index);
        self.apply_capacity_change(index, &previous_capacity, now_us);
        if has_new_address {
            self.claim_address(index);
        }
        let worker = &self.workers[index as usize];
        if began_to_leave {
            log::info!(event = "worker_leaving", worker = worker.entry.id.as_str(),
                tasks = worker.tasks.len(), leaves_in_ms = worker.entry.leaves_in_ms; "");
            self.evacuate(index, now_us);
        }
    }

    /// Keeps an entry that names a later start of a known worker until the worker's own answer
    /// confirms that it has restarted.
    fn await_successor(&mut self, index: WorkerIndex, entry: WorkerEntry) {
        let worker = &mut self.workers[index as usize];
        if worker.successor.is_none() {
            log::info!(event = "restart_listed", worker = entry.id.as_str(),
                revision = entry.revision, started_ms = entry.started_ms,
                known_revision = worker.entry.revision, known_started_ms = worker.started_ms,
                standing:? = worker.standing, tasks = worker.tasks.len(); "");
            self.unverified.push(index);
        }
        worker.successor = Some(Box::new(entry));
    }

    /// Ends an incarnation in whose place another one has answered, and adds its successor under the
    /// same identifier if the entry of that is known. The planner then opens the connections to it.
    ///
    /// The answer was to a call sent at `sent_us`.
    pub fn worker_superseded(&mut self, index: WorkerIndex, why: &str, sent_us: u64, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        worker.is_superseded = true;
        worker.superseded_us = sent_us;
        worker.unbarred.clear();
        self.worker_gone(index, why, sent_us, now_us);
        let worker = &mut self.workers[index as usize];
        if let Some(entry) = worker.successor.take() {
            let successor = if entry.address == worker.entry.address {
                self.worker_listed(*entry, now_us)
            } else {
                self.add_worker(*entry, now_us)
            };
            self.succeeded.push(successor);
        }
    }

    /// Ends a worker that has lost its lease at its known address, and adds it at the one that it has
    /// been listed at since.
    pub(super) fn follow_to_other_address(
        &mut self,
        index: WorkerIndex,
        as_of_us: u64,
        now_us: u64,
    ) {
        let worker = &mut self.workers[index as usize];
        let own_address = worker.entry.address.clone();
        let is_elsewhere = |entry: &mut Box<WorkerEntry>| entry.address != own_address;
        let Some(entry) = worker.successor.take_if(is_elsewhere) else { return };
        self.worker_gone(index, "silent past its lease and listed elsewhere", as_of_us, now_us);
        let successor = self.add_worker(*entry, now_us);
        self.succeeded.push(successor);
    }

    /// Returns the workers added since the last call because they succeed a restarted incarnation.
    pub fn take_succeeded(&mut self) -> Vec<WorkerIndex> {
        std::mem::take(&mut self.succeeded)
    }

    /// Returns the workers that an entry of another incarnation contradicts, since the last call. A
    /// call over a new connection shows which incarnation is alive.
    pub fn take_unverified(&mut self) -> Vec<WorkerIndex> {
        std::mem::take(&mut self.unverified)
    }

    /// Records a worker as the last one listed at its address, and has the previous one there
    /// verified. Both stay live until an answer from the address decides.
    ///
    /// Prevents duplicate runs: if the order of the two entries decided, a late entry of a former
    /// incarnation would end the live one in the ledger, and its tasks would also start elsewhere.
    fn claim_address(&mut self, index: WorkerIndex) {
        let entry = &self.workers[index as usize].entry;
        let previous = self.worker_by_address.insert(entry.address.clone(), index);
        let Some(other) = previous.filter(|other| *other != index) else { return };
        let known = &self.workers[other as usize];
        if known.standing == WorkerStanding::Gone {
            return;
        }
        log::info!(event = "address_contested", worker = entry.id.as_str(),
            revision = entry.revision, started_ms = entry.started_ms,
            known = known.entry.id.as_str(), known_revision = known.entry.revision,
            known_started_ms = known.started_ms, standing:? = known.standing,
            is_listed = known.is_listed, tasks = known.tasks.len(); "");
        self.unverified.push(other);
        self.workers[index as usize].rivals.push(other);
        self.workers[other as usize].rivals.push(index);
    }

    /// Ends the other incarnations listed at a worker's address, now that the worker has answered a
    /// call sent at `sent_us`. One that has been listed since may have started after the answer. A worker
    /// whose entry names another address than before may have answered from either.
    pub(super) fn supersede_rivals(&mut self, index: WorkerIndex, sent_us: u64, now_us: u64) {
        if self.workers[index as usize].has_moved {
            return;
        }
        let rivals = std::mem::take(&mut self.workers[index as usize].rivals);
        for other in rivals {
            let worker = &self.workers[index as usize];
            let rival = &self.workers[other as usize];
            if rival.entry.address != worker.entry.address {
                continue;
            }
            if rival.listed_us <= sent_us {
                self.worker_superseded(other, "another incarnation answers", sent_us, now_us);
            } else if rival.standing != WorkerStanding::Gone {
                self.workers[index as usize].rivals.push(other);
            }
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

    /// Reinstates an incarnation that was given up as unreachable and registers again: it was
    /// partitioned for longer than its lease but is still running, and would otherwise never get a
    /// task again. An entry that has not been written since changes nothing, nor does one of an
    /// incarnation in whose place another one has answered.
    fn reinstate(&mut self, index: WorkerIndex, entry: &WorkerEntry) {
        let worker = &mut self.workers[index as usize];
        let is_gone = worker.standing == WorkerStanding::Gone;
        let is_rewritten = entry.revision == 0 || entry.revision > worker.entry.revision;
        let is_superseded = worker.is_superseded
            && worker.entry.address == entry.address
            && worker.entry.started_ms >= entry.started_ms;
        if is_gone && is_rewritten && !is_superseded {
            log::info!(event = "worker_back", worker = entry.id.as_str(),
                revision = entry.revision, known_revision = worker.entry.revision; "");
            worker.standing = WorkerStanding::New;
            worker.is_superseded = false;
            worker.refused_polls = 0;
            self.claim_address(index);
        }
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
