//! Records being written to the store, and the starts that wait for them.

use std::collections::BTreeSet;

use super::US_PER_MS;
use super::ages::wall_ms;
use super::job::{Job, JobPhase, TaskRef, TaskState};
use super::orders::{JobWrite, OrderKind};
use super::record::ProgressRecord;
use super::state::{Fleet, TaskGroup};
use super::worker::{WorkerIndex, WorkerStanding};

/// How long a record may wait to be written together with others. The end of one task of a step is
/// not urgent, because the worker reports it until it is stored. Writing each end immediately would
/// cost a transaction for nearly every one.
const BATCHING_DELAY_US: u64 = 200 * US_PER_MS;

/// Waiting time after which a record is overdue. A takeover relies on the records: while the store
/// lacks an end, a successor assumes that the run may still be present.
const OVERDUE_AFTER_US: u64 = 500 * US_PER_MS;

/// Entries of a transaction per record: the check of the revision that it replaces, and its value.
/// The record of an ended job takes one more, which clears the job.
const ENTRIES_PER_RECORD: usize = 2;

impl Fleet {
    /// Returns the number of records that wait to be written, and how long the oldest has waited.
    pub fn records_waiting(&self, now_us: u64) -> (usize, u64) {
        let oldest_us = self.dirty.values().min().copied().unwrap_or(now_us);
        (self.dirty.len(), now_us.saturating_sub(oldest_us) / US_PER_MS)
    }

    /// Marks a job as changed, so that its record is written soon.
    pub(super) fn mark_dirty(&mut self, slot: u32, now_us: u64) {
        if let Some(job) = self.jobs[slot as usize].as_mut() {
            job.bump_version();
            self.dirty.entry(slot).or_insert(now_us);
        }
    }

    /// Like [`Fleet::mark_dirty`], for a change that something waits for: a start, or the end of
    /// the job.
    pub(super) fn mark_urgent(&mut self, slot: u32, now_us: u64) {
        self.mark_dirty(slot, now_us);
        self.urgent.insert(slot);
    }

    /// Returns the records to write together in a transaction of at most `max_entries` entries. A
    /// single record may exceed the limit. Records that have failed are written apart, in smaller
    /// transactions. Up to half of the transaction goes to overdue records.
    /// Urgent records follow by queue priority, then as many others as fit. Without urgent records,
    /// others are returned once one of them has waited for the batching delay. Each job has at most
    /// one record in flight, so that a later one never meets an earlier one of unknown outcome.
    pub fn take_writes(&mut self, max_entries: usize, now_us: u64) -> Vec<JobWrite> {
        let slots = self.slots_to_write(max_entries / ENTRIES_PER_RECORD / 2, now_us);
        let mut writes = Vec::new();
        let mut zones = BTreeSet::new();
        let mut entries = 0;
        let (max_group, is_retry) =
            slots.first().map_or((0, false), |slot| self.write_group(*slot));
        for slot in slots {
            if writes.len() >= max_group {
                break;
            }
            if self.write_group(slot) != (max_group, is_retry) {
                continue;
            }
            let job_zones = self.zones_awaiting_starts(slot);
            let is_final = self.job(slot).is_some_and(|job| job.phase != JobPhase::Active);
            let record_entries = ENTRIES_PER_RECORD + usize::from(is_final);
            let new_zones = job_zones.iter().filter(|zone| !zones.contains(*zone)).count();
            if !writes.is_empty() && entries + record_entries + new_zones > max_entries {
                break;
            }
            entries += record_entries + new_zones;
            zones.extend(job_zones.iter().cloned());
            writes.extend(self.take_write(slot, job_zones, now_us));
        }
        let group = writes.len();
        writes.iter_mut().for_each(|write| write.group = group);
        writes
    }

    /// Returns the jobs to write, in order: the `max_overdue` ones that have been overdue for
    /// longest, then all others.
    fn slots_to_write(&self, max_overdue: usize, now_us: u64) -> Vec<u32> {
        let mut overdue = Vec::new();
        let mut others = Vec::new();
        for (slot, since_us) in &self.dirty {
            let Some(job) = self.job(*slot).filter(|job| !job.is_committing) else { continue };
            let is_due =
                self.urgent.contains(slot) || now_us.saturating_sub(*since_us) > BATCHING_DELAY_US;
            if !is_due || self.is_write_delayed(*slot, now_us) {
                continue;
            }
            if now_us.saturating_sub(*since_us) >= OVERDUE_AFTER_US {
                overdue.push((*since_us, *slot));
            }
            let failed_us = self.write_failed_us(job);
            let priority = self.terms(job).priority;
            others.push((!self.urgent.contains(slot), failed_us, priority, *slot));
        }
        overdue.sort_unstable();
        overdue.truncate(max_overdue);
        let first: BTreeSet<u32> = overdue.iter().map(|(_, slot)| *slot).collect();
        others.retain(|(.., slot)| !first.contains(slot));
        others.sort_unstable();
        let others = others.into_iter().map(|(.., slot)| slot);
        overdue.into_iter().map(|(_, slot)| slot).chain(others).collect()
    }

    fn take_write(&mut self, slot: u32, zones: BTreeSet<String>, now_us: u64) -> Option<JobWrite> {
        self.write_taken(slot);
        self.dirty.remove(&slot);
        self.urgent.remove(&slot);
        let offset_ms = self.wall_offset_ms;
        let job = self.jobs[slot as usize].as_mut()?;
        job.is_committing = true;
        Some(JobWrite {
            job: job.spec.id.clone(),
            slot,
            version: job.version,
            revision: job.revision,
            record: ProgressRecord::of(job, &self.workers, |us| wall_ms(us, offset_ms)),
            zones: zones.into_iter().collect(),
            taken_us: now_us,
            group: 1,
        })
    }

    /// Records that a write was stored at `revision`, and orders the starts that the record names.
    pub fn committed(&mut self, write: &JobWrite, revision: u64, now_us: u64) {
        self.write_succeeded(write, now_us);
        let Some(job) = self.jobs[write.slot as usize].as_mut() else { return };
        job.is_committing = false;
        job.revision = revision;
        job.committed = write.version;
        job.committed_phase = write.record.phase;
        if job.version > write.version {
            self.dirty.entry(write.slot).or_insert(now_us);
        }
        let chosen: Vec<(u32, WorkerIndex)> = job
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.chosen_version <= write.version)
            .filter_map(|(index, task)| match task.state {
                TaskState::Chosen(worker) => Some((index as u32, worker)),
                _ => None,
            })
            .collect();
        for (task, worker) in chosen {
            self.count_record(TaskRef { job: write.slot, task }, write.taken_us, now_us);
            self.order_start(TaskRef { job: write.slot, task }, worker, now_us);
        }
        self.acknowledge_ends(write.slot);
    }

    /// Orders the chosen worker to start the task, unless the worker has terminated, takes no more
    /// starts or is over capacity.
    fn order_start(&mut self, task_ref: TaskRef, worker: WorkerIndex, now_us: u64) {
        let target = &self.workers[worker as usize];
        let is_gone = target.standing == WorkerStanding::Gone;
        if is_gone || !target.takes_starts() || target.is_over_capacity() {
            self.withdraw_choice(task_ref, TaskState::Waiting, now_us);
            return;
        }
        self.log_start_ordered(task_ref, worker, now_us);
        self.set_state(task_ref, TaskState::Ordered(worker), now_us);
        self.send_start(task_ref, worker, now_us);
    }

    /// Logs the start of a long-running task whose record is stored, with the time since its choice.
    fn log_start_ordered(&self, task_ref: TaskRef, worker: WorkerIndex, now_us: u64) {
        let Some(job) = self.job(task_ref.job).filter(|job| job.step(task_ref.task).is_lasting)
        else {
            return;
        };
        let task = &job.tasks[task_ref.task as usize];
        log::info!(event = "start_ordered", job = job.spec.id.as_str(),
            task:% = job.key(task_ref.task), run = task.run, worker = self.workers[worker as usize].entry.id.as_str(),
            chosen_ms = now_us.saturating_sub(task.since_us) / US_PER_MS,
            without_run_ms = task.idle_us(now_us) / US_PER_MS; "");
    }

    pub(super) fn send_start(&mut self, task_ref: TaskRef, worker: WorkerIndex, now_us: u64) {
        let Some(job) = self.jobs[task_ref.job as usize].as_mut() else { return };
        let payload = job.spec.payload.clone();
        let saved = checkpoint_for(job, task_ref.task);
        let (occurrence, step, _) = job.locate(task_ref.task);
        let task = &mut job.tasks[task_ref.task as usize];
        task.start_percent = 0;
        task.percent = 0;
        task.progress_us = now_us;
        self.counts.chosen += 1;
        let group = TaskGroup { job: task_ref.job, occurrence, step };
        let ticket = self.ticket(group, worker, now_us).unwrap_or_default().to_owned();
        self.push_order(task_ref, worker, OrderKind::Start { payload, saved, ticket }, now_us);
    }
}

/// Returns the checkpoint from which a start resumes. The members of a gang share one. A checkpoint
/// begins with the amount of work that it holds, so the greatest is the newest.
fn checkpoint_for(job: &Job, task: u32) -> String {
    let (occurrence, step, _) = job.locate(task);
    if !job.spec.steps[step as usize].is_gang {
        return job.tasks[task as usize].saved.clone();
    }
    job.tasks_of(occurrence, step)
        .map(|member| &job.tasks[member as usize].saved)
        .max()
        .cloned()
        .unwrap_or_default()
}
