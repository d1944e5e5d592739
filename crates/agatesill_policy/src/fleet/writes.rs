//! Records on their way to the store, and the starts that wait for them.

use std::collections::BTreeSet;

use super::US_PER_MS;
use super::ages::wall_ms;
use super::job::{Job, JobPhase, TaskRef, TaskState};
use super::orders::{JobWrite, OrderKind};
use super::record::ProgressRecord;
use super::state::{Fleet, TaskGroup};
use super::worker::{WorkerIndex, WorkerStanding};

/// How long a record may wait for company. An end of a task whose step goes on is nothing that
/// anybody waits for: its worker lists it until it is stored. Writing each at once would
/// cost a transaction for nearly every end.
const RECORD_WAIT_US: u64 = 200 * US_PER_MS;

/// How long a record may wait before it is overdue. A takeover trusts the records: while the store lacks an
/// end, a successor takes the run for one that may still be there.
const OVERDUE_US: u64 = 500 * US_PER_MS;

/// Entries of a transaction that a record takes: the revision it replaces and its value. The record of
/// a job that has ended takes one more, which clears the job.
const ENTRIES_A_RECORD: usize = 2;

impl Fleet {
    /// Records that wait to be written, and how long the oldest of them has waited.
    pub fn records_waiting(&self, now_us: u64) -> (usize, u64) {
        let oldest_us = self.dirty.values().min().copied().unwrap_or(now_us);
        (self.dirty.len(), now_us.saturating_sub(oldest_us) / US_PER_MS)
    }

    /// Marks a job as changed, so that its record is written before long.
    pub(super) fn mark_dirty(&mut self, slot: u32, now_us: u64) {
        if let Some(job) = self.jobs[slot as usize].as_mut() {
            job.touch();
            self.dirty.entry(slot).or_insert(now_us);
        }
    }

    /// The same for a change that something waits for: a start, or the end of the job.
    pub(super) fn mark_urgent(&mut self, slot: u32, now_us: u64) {
        self.mark_dirty(slot, now_us);
        self.urgent.insert(slot);
    }

    /// The records to write together in a transaction of at most `most_entries`, one at least: those
    /// that something waits for, urgent queues first, and with them as many others as fit. Without any
    /// of the first kind, others are written once they have waited for a moment. Up to half of a
    /// transaction goes to records that are overdue. Each job has one record on its way at most, so that a
    /// later one never meets an earlier one of unknown outcome.
    pub fn take_writes(&mut self, most_entries: usize, now_us: u64) -> Vec<JobWrite> {
        let is_due = !self.urgent.is_empty()
            || self.dirty.values().any(|since_us| now_us - since_us > RECORD_WAIT_US);
        if !is_due {
            return Vec::new();
        }
        let slots = self.slots_to_write(most_entries / ENTRIES_A_RECORD / 2, now_us);
        let mut writes = Vec::new();
        let mut zones = BTreeSet::new();
        let mut entries = 0;
        for slot in slots {
            let of_job = self.zones_of_choices(slot);
            let is_final = self.job(slot).is_some_and(|job| job.phase != JobPhase::Active);
            let own = ENTRIES_A_RECORD + usize::from(is_final);
            let new_zones = of_job.iter().filter(|zone| !zones.contains(*zone)).count();
            if !writes.is_empty() && entries + own + new_zones > most_entries {
                break;
            }
            entries += own + new_zones;
            zones.extend(of_job.iter().cloned());
            writes.extend(self.take_write(slot, of_job));
        }
        writes
    }

    /// Jobs with a record to write, in the order in which they are written: the `most_overdue` that have been
    /// overdue for longest, then all others.
    fn slots_to_write(&self, most_overdue: usize, now_us: u64) -> Vec<u32> {
        let mut overdue = Vec::new();
        let mut others = Vec::new();
        for (slot, since_us) in &self.dirty {
            let Some(job) = self.job(*slot).filter(|job| !job.is_committing) else { continue };
            if now_us.saturating_sub(*since_us) >= OVERDUE_US {
                overdue.push((*since_us, *slot));
            }
            others.push((!self.urgent.contains(slot), self.terms(job).priority, *slot));
        }
        overdue.sort_unstable();
        overdue.truncate(most_overdue);
        let first: BTreeSet<u32> = overdue.iter().map(|(_, slot)| *slot).collect();
        others.retain(|(.., slot)| !first.contains(slot));
        others.sort_unstable();
        let others = others.into_iter().map(|(.., slot)| slot);
        overdue.into_iter().map(|(_, slot)| slot).chain(others).collect()
    }

    fn take_write(&mut self, slot: u32, zones: BTreeSet<String>) -> Option<JobWrite> {
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
        })
    }

    /// Takes in that a record is stored at `revision`, and lets the starts out that it names.
    pub fn committed(&mut self, write: &JobWrite, revision: u64, now_us: u64) {
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
            self.order_start(TaskRef { job: write.slot, task }, worker, now_us);
        }
        self.acknowledge_ends(write.slot);
    }

    /// A record could not be stored for now; it is taken again later.
    pub fn not_committed(&mut self, write: &JobWrite, now_us: u64) {
        if let Some(job) = self.jobs[write.slot as usize].as_mut() {
            job.is_committing = false;
            job.revision = write.revision;
            self.dirty.entry(write.slot).or_insert(now_us);
            self.urgent.insert(write.slot);
        }
    }

    /// Orders the chosen worker to start the task, unless its incarnation has ended, it no longer takes
    /// starts, or its charges exceed its capacity.
    fn order_start(&mut self, at: TaskRef, worker: WorkerIndex, now_us: u64) {
        let target = &self.workers[worker as usize];
        let is_gone = target.standing == WorkerStanding::Gone;
        if is_gone || !target.takes_starts() || target.is_over_capacity() {
            self.release(at, TaskState::Waiting, now_us);
            return;
        }
        self.set_state(at, TaskState::Ordered(worker), now_us);
        self.send_start(at, worker, now_us);
    }

    pub(super) fn send_start(&mut self, at: TaskRef, worker: WorkerIndex, now_us: u64) {
        let Some(job) = self.jobs[at.job as usize].as_mut() else { return };
        let payload = job.spec.payload.clone();
        let saved = saved_for(job, at.task);
        let (occurrence, step, _) = job.locate(at.task);
        let task = &mut job.tasks[at.task as usize];
        task.start_percent = 0;
        task.percent = 0;
        task.progress_us = now_us;
        self.counts.chosen += 1;
        let group = TaskGroup { job: at.job, occurrence, step };
        let ticket = self.ticket(group, worker, now_us).unwrap_or_default().to_owned();
        self.push_order(at, worker, OrderKind::Start { payload, saved, ticket }, now_us);
    }
}

/// The checkpoint that a start resumes from. The members of a gang carry the same one; checkpoints
/// begin with the work that they hold, so the greatest is the newest.
fn saved_for(job: &Job, task: u32) -> String {
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
