//! Rebuilding of the ledger from the stored records after a takeover.

use super::colocation::LearnedInterference;
use super::job::{ANSWERED_BEFORE_EPOCH_US, Job, JobPhase, JobSpec, TaskRef, TaskState};
use super::record::{ProgressRecord, TaskRecord};
use super::state::Fleet;
use super::worker::{Worker, WorkerAddresses, WorkerEntry, WorkerIndex};

/// How long an owner that has lost contact with the store may continue to renew leases. The
/// successor of an owner without a record of leases waits for this time plus one lease before it counts a
/// task on an unresponsive worker as ended.
pub const ORPHAN_MS: u64 = 8_000;

impl Fleet {
    /// Restores a stored job and its progress, a record with its revision.
    pub fn restore(&mut self, spec: JobSpec, progress: Option<(ProgressRecord, u64)>, now_us: u64) {
        if self.by_id.contains_key(&spec.id) {
            return;
        }
        let mut job = Job::new(spec, now_us);
        let Some((record, revision)) = progress else {
            let slot = self.insert(job);
            self.open_occurrences(slot, now_us);
            self.restore_ages(slot, None, now_us);
            return;
        };
        job.revision = revision;
        job.phase = record.phase;
        job.committed_phase = record.phase;
        job.is_started = record.tasks.iter().any(TaskRecord::has_begun);
        job.ended_us = now_us;
        let slot = self.insert(job);
        for task in &record.tasks {
            self.restore_task(slot, task, now_us);
        }
        if record.phase == JobPhase::Active {
            self.open_occurrences(slot, now_us);
            self.restore_ages(slot, Some(&record), now_us);
        } else {
            self.ended_jobs.push((now_us, slot));
        }
    }

    /// Restores a stored job that has ended. Runs that are still present are stopped as stray runs.
    pub fn restore_ended(&mut self, id: &str, phase: JobPhase, now_us: u64) {
        self.retired.insert(id.to_owned(), (phase, now_us));
    }

    /// Keeps a stored job that can't be read out of planning. It is shown as active until it is
    /// cancelled, and runs of it that are still present are stopped as stray runs.
    pub fn set_aside(&mut self, id: &str, is_started: bool) {
        self.set_aside.insert(id.to_owned(), is_started);
    }

    /// Number of stored jobs that are kept out of planning.
    pub fn jobs_set_aside(&self) -> usize {
        self.set_aside.len()
    }

    fn restore_task(&mut self, slot: u32, record: &TaskRecord, now_us: u64) {
        let Some(job) = self.jobs[slot as usize].as_mut() else { return };
        // A second entry for the same task would count its effects twice.
        if job.tasks.get(record.task as usize).is_none_or(|task| task.run > 0) {
            return;
        }
        let (occurrence, step, _) = job.locate(record.task);
        let position = job.step_position(occurrence, step);
        let phase = job.phase;
        let task = &mut job.tasks[record.task as usize];
        task.run = record.run;
        task.failures = record.failures;
        task.counted_run = record.counted_run;
        task.crashes = record.crashes;
        task.unexplained_crashes = record.unexplained_crashes;
        task.saved.clone_from(&record.saved);
        task.since_us = now_us;
        task.present_us = now_us;
        if record.is_done {
            task.state = TaskState::Done;
            job.remaining[position] -= 1;
            job.remaining_total -= 1;
        } else if !record.worker.is_empty() {
            let worker = self.worker_or_placeholder(&record.worker);
            let task_ref = TaskRef { job: slot, task: record.task };
            self.allocate(task_ref, worker, TaskState::Ordered(worker));
            if let Some(job) = self.jobs[slot as usize].as_mut() {
                let task = &mut job.tasks[record.task as usize];
                // Most of these runs are present, some on workers that do not answer.
                self.starting -= u32::from(std::mem::take(&mut task.is_starting));
                // The first poll in the new epoch bars all older orders, so a run missing from its
                // answer is absent and never starts.
                task.answered_us = ANSWERED_BEFORE_EPOCH_US;
            }
            if phase != JobPhase::Active {
                self.stop(task_ref, now_us);
            }
        }
    }

    /// Returns the worker with this identifier, or adds a placeholder for one that is no longer
    /// registered.
    fn worker_or_placeholder(&mut self, id: &str) -> WorkerIndex {
        if let Some(index) = self.worker_by_id.get(id) {
            return *index;
        }
        let index = self.workers.len() as WorkerIndex;
        self.worker_by_id.insert(id.to_owned(), index);
        let address = self.previous_addresses.get(id).cloned().unwrap_or_default();
        let mut worker = Worker::new(WorkerEntry {
            id: id.to_owned(),
            address,
            service: String::new(),
            zone: String::new(),
            rack: String::new(),
            labels: Vec::new(),
            capacity: crate::batch::Resources::default(),
            is_leaving: false,
            leaves_in_ms: 0,
            cold_ms: 0,
            revision: 0,
            started_ms: 0,
        });
        worker.is_listed = false;
        self.workers.push(worker);
        index
    }

    /// Returns the addresses of all workers that may run tasks, for the next planner.
    pub fn worker_addresses(&self) -> WorkerAddresses {
        self.live_workers()
            .filter(|(_, worker)| !worker.entry.address.is_empty())
            .map(|(_, worker)| (worker.entry.id.clone(), worker.entry.address.clone()))
            .collect()
    }

    /// Restores the addresses that the previous planner knew, before any job is restored.
    ///
    /// Guards against a successor that waits for a lease on a worker that has terminated: the
    /// registry no longer lists the worker, and without its address nothing can show that another
    /// incarnation has taken its place.
    pub fn restore_worker_addresses(&mut self, addresses: WorkerAddresses) {
        self.previous_addresses = addresses;
    }

    /// Workers that have tasks by the restored records and are not registered.
    pub fn unlisted_workers_with_tasks(&self) -> Vec<WorkerIndex> {
        self.live_workers()
            .filter(|(_, worker)| !worker.is_listed && !worker.tasks.is_empty())
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the learned behaviour of images, for the next planner. Without it each takeover
    /// would try all harmful pairs again.
    pub fn learned(&self) -> LearnedInterference {
        self.interference.learned(&self.images)
    }

    /// Restores the behaviour of images learned by the previous planner.
    pub fn restore_learned(&mut self, learned: &LearnedInterference) {
        self.interference.restore(learned, &mut self.images);
    }

    /// Completes the restore. Runs on unresponsive workers may continue until the longest lease that a
    /// previous owner could have requested. `orphan_ms` is 0 if all previous owners are certain to have
    /// stopped, or else how long one whose record can't be relied on may still request leases.
    pub fn finish_restore(&mut self, orphan_ms: u64, now_us: u64) {
        self.restore_leases(orphan_ms, now_us);
    }
}
