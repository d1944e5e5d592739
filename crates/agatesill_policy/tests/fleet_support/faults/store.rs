//! Simulated store: records under guarded transactions, and the registry with a watch.

use std::collections::{BTreeMap, HashMap, VecDeque};

use agatesill_policy::fleet::{JobId, JobWrite, ProgressRecord, WorkerEntry};

/// A change of the registry.
#[derive(Clone, Debug)]
pub enum Change {
    /// An entry was written.
    Listed(Box<WorkerEntry>),
    /// An entry was removed.
    Unlisted(String),
}

/// Result of a transaction.
pub enum Applied {
    /// Stored at a revision.
    Stored(Vec<JobWrite>, u64),
    /// Not stored; the writes name the revisions found.
    Conflict(Vec<JobWrite>),
    /// A newer epoch owns the range.
    Superseded,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    /// Records with their revisions.
    pub records: HashMap<JobId, (ProgressRecord, u64)>,
    /// Registry entries, each with the time of its removal unless it is written again.
    pub entries: BTreeMap<String, (WorkerEntry, u64)>,
    /// Epoch that owns the range.
    pub epoch: u64,
    /// Until when the store is unavailable.
    pub away_until_us: u64,
    /// Changes on the way to the planner, with the times of their arrival.
    pub watch: VecDeque<(u64, Change)>,
    revision: u64,
}

impl Store {
    /// Whether the store answers.
    pub fn is_available(&self, now_us: u64) -> bool {
        now_us >= self.away_until_us
    }

    /// Writes the entry of a worker. The watch reports it at `at_us` or after earlier changes.
    pub fn write_entry(&mut self, mut entry: WorkerEntry, expires_us: u64, at_us: u64) {
        self.revision += 1;
        entry.revision = self.revision;
        self.entries.insert(entry.id.clone(), (entry.clone(), expires_us));
        self.report(Change::Listed(Box::new(entry)), at_us);
    }

    /// Removes the entries that have expired.
    pub fn expire_entries(&mut self, now_us: u64, at_us: u64) {
        let is_expired =
            |(_, (_, expires_us)): &(&String, &(WorkerEntry, u64))| *expires_us <= now_us;
        let expired: Vec<String> =
            self.entries.iter().filter(is_expired).map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.entries.remove(&id);
            self.report(Change::Unlisted(id), at_us);
        }
    }

    fn report(&mut self, change: Change, at_us: u64) {
        let last_us = self.watch.back().map_or(0, |(at_us, _)| *at_us);
        self.watch.push_back((at_us.max(last_us), change));
    }

    /// Applies a transaction if its conditions hold.
    pub fn apply(&mut self, epoch: u64, mut writes: Vec<JobWrite>) -> Applied {
        if epoch != self.epoch {
            return Applied::Superseded;
        }
        let revision_of = |store: &Self, write: &JobWrite| {
            store.records.get(&write.job).map_or(0, |(_, revision)| *revision)
        };
        if writes.iter().all(|write| revision_of(self, write) == write.revision) {
            self.revision += 1;
            for write in &writes {
                self.records.insert(write.job.clone(), (write.record.clone(), self.revision));
            }
            return Applied::Stored(writes, self.revision);
        }
        let mut is_stored = true;
        let mut newest = 0;
        for write in &mut writes {
            let found = self.records.get(&write.job);
            is_stored &= found.is_some_and(|(record, _)| *record == write.record);
            write.revision = found.map_or(0, |(_, revision)| *revision);
            newest = newest.max(write.revision);
        }
        if is_stored { Applied::Stored(writes, newest) } else { Applied::Conflict(writes) }
    }
}
