//! Building the ledger from the stored records after ownership has passed.

use super::US_PER_MS;
use super::colocation::Learned;
use super::job::{Job, JobPhase, JobSpec, TaskRef, TaskState};
use super::record::{ProgressRecord, TaskRecord};
use super::state::Fleet;
use super::worker::{Worker, WorkerEntry, WorkerIndex};

/// How long an owner that has lost touch with the store may go on renewing leases. A successor of one that may
/// do so waits this long, and a lease more, before it counts a task on a silent worker as ended.
pub const ORPHAN_MS: u64 = 8_000;

impl Fleet {
    /// Takes in a stored job with its progress; `revision` is that of the progress record.
    pub fn restore(&mut self, spec: JobSpec, progress: Option<(ProgressRecord, u64)>, now_us: u64) {
        if self.by_id.contains_key(&spec.id) {
            return;
        }
        let mut job = Job::new(spec, now_us);
        let Some((record, revision)) = progress else {
            let slot = self.insert(job);
            self.open_rounds(slot, now_us);
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
            self.open_rounds(slot, now_us);
            self.restore_ages(slot, Some(&record), now_us);
        } else {
            self.ended_jobs.push((now_us, slot));
        }
    }

    /// Takes in a stored job that has ended. What may still run of it is stopped as a run that the
    /// ledger does not know.
    pub fn restore_ended(&mut self, id: &str, phase: JobPhase, now_us: u64) {
        self.ended_before.insert(id.to_owned(), (phase, now_us));
    }

    fn restore_task(&mut self, slot: u32, record: &TaskRecord, now_us: u64) {
        let Some(job) = self.jobs[slot as usize].as_mut() else { return };
        if record.task as usize >= job.tasks.len() {
            return;
        }
        let (occurrence, step, _) = job.locate(record.task);
        let left = job.step_position(occurrence, step);
        let phase = job.phase;
        let task = &mut job.tasks[record.task as usize];
        task.run = record.run;
        task.failures = record.failures;
        task.crashes = record.crashes;
        task.unexplained_crashes = record.unexplained_crashes;
        task.saved.clone_from(&record.saved);
        task.since_us = now_us;
        if record.is_done {
            task.state = TaskState::Done;
            job.left[left] -= 1;
            job.left_total -= 1;
        } else if !record.worker.is_empty() {
            let worker = self.known_worker(&record.worker);
            let at = TaskRef { job: slot, task: record.task };
            self.allocate(at, worker, TaskState::Ordered(worker));
            if let Some(job) = self.jobs[slot as usize].as_mut() {
                let task = &mut job.tasks[record.task as usize];
                // Most of them run, some on workers that do not answer.
                self.starting -= u32::from(std::mem::take(&mut task.is_starting));
                // The first poll under the new epoch bars all older orders, so a run that it does
                // not show is not there and never will be.
                task.answered_us = 1;
            }
            if phase != JobPhase::Active {
                self.stop(at, now_us);
            }
        }
    }

    /// The worker of that incarnation, or a placeholder for one that is not registered any more.
    fn known_worker(&mut self, id: &str) -> WorkerIndex {
        if let Some(index) = self.worker_by_id.get(id) {
            return *index;
        }
        let index = self.workers.len() as WorkerIndex;
        self.worker_by_id.insert(id.to_owned(), index);
        let mut worker = Worker::new(WorkerEntry {
            id: id.to_owned(),
            address: String::new(),
            service: String::new(),
            zone: String::new(),
            rack: String::new(),
            labels: Vec::new(),
            capacity: crate::batch::Resources::default(),
            is_leaving: false,
            leaves_in_ms: 0,
            cold_ms: 0,
            revision: 0,
        });
        worker.is_listed = false;
        self.workers.push(worker);
        index
    }

    /// What is learned about images, for the next planner. Without it each takeover would try all
    /// harmful pairs anew.
    pub fn learned(&self) -> Learned {
        self.pressure.learned(&self.images)
    }

    /// Takes in what the planner before has learned.
    pub fn restore_learned(&mut self, learned: &Learned) {
        self.pressure.restore(learned, &mut self.images);
    }

    /// Ends the rebuilding: what runs on silent workers may run until the longest lease that an owner before
    /// could have asked for; `orphan_ms` is how long one of them may still ask.
    pub fn finish_restore(&mut self, orphan_ms: u64, now_us: u64) {
        let until_us = now_us + self.lease_us() + orphan_ms * US_PER_MS;
        for worker in &mut self.workers {
            worker.lease_until_us = worker.lease_until_us.max(until_us);
        }
    }
}
