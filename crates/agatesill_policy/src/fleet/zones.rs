//! Availability zones closed to new work.
//!
//! Operators evacuate a zone while jobs arrive and starts are in flight to its workers. Runs in the
//! zone end by themselves, and all new work goes to the other zones.

use std::collections::{BTreeMap, BTreeSet};

use super::job::{TaskRef, TaskState};
use super::state::{Fleet, TaskGroup};
use super::worker::WorkerIndex;

/// A zone closed to new work, as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClosedZone {
    /// Name of the availability zone.
    pub zone: String,
    /// Store revision at which the zone was closed.
    pub revision: u64,
}

/// Closed zones, each with the newest revision at which it was seen closed.
pub(super) type ClosedZones = BTreeMap<String, u64>;

impl Fleet {
    /// Whether a zone is closed to new work.
    pub fn is_zone_closed(&self, zone: &str) -> bool {
        self.closed_zones.contains_key(zone)
    }

    /// Closes a zone to new work and withdraws the choices of its workers.
    pub fn close_zone(&mut self, closed: &ClosedZone, now_us: u64) {
        let newest_revision =
            self.closed_zones.entry(closed.zone.clone()).or_insert(closed.revision);
        *newest_revision = closed.revision.max(*newest_revision);
        let workers = self.set_zone_closed(&closed.zone, true);
        if workers.is_empty() {
            return;
        }
        let tasks: Vec<TaskRef> = workers
            .iter()
            .flat_map(|index| self.workers[*index as usize].tasks.iter().copied())
            .filter(|task_ref| matches!(self.task_state(*task_ref), TaskState::Chosen(_)))
            .collect();
        log::info!(event = "zone_closed", zone = closed.zone.as_str(), revision = closed.revision,
            workers = workers.len(), withdrawn = tasks.len(); "zone closed to new work");
        tasks.into_iter().for_each(|task_ref| self.withdraw(task_ref, now_us));
    }

    /// Opens a zone again, as of a store revision. Updates older than the closing are ignored.
    pub fn open_zone(&mut self, zone: &str, revision: u64) {
        if self.closed_zones.get(zone).is_none_or(|closed| *closed > revision) {
            return;
        }
        self.closed_zones.remove(zone);
        let workers = self.set_zone_closed(zone, false);
        log::info!(event = "zone_opened", zone = zone, revision = revision,
            workers = workers.len(); "zone open to new work");
    }

    /// Applies a complete list of the closed zones, read at a store revision.
    pub fn set_closed_zones(&mut self, closed: &[ClosedZone], revision: u64, now_us: u64) {
        let is_closed = |zone: &String| closed.iter().any(|entry| entry.zone == *zone);
        let opened: Vec<String> =
            self.closed_zones.keys().filter(|zone| !is_closed(zone)).cloned().collect();
        opened.iter().for_each(|zone| self.open_zone(zone, revision));
        closed.iter().for_each(|entry| self.close_zone(entry, now_us));
    }

    /// Sets the mark on the workers of a zone. Returns the workers whose mark changed.
    fn set_zone_closed(&mut self, zone: &str, is_closed: bool) -> Vec<WorkerIndex> {
        let changed: Vec<WorkerIndex> = self
            .live_workers()
            .filter(|(_, worker)| worker.entry.zone == zone && worker.is_zone_closed != is_closed)
            .map(|(index, _)| index)
            .collect();
        for index in &changed {
            self.workers[*index as usize].is_zone_closed = is_closed;
            self.worker_changed(*index);
        }
        changed
    }

    /// Withdraws a choice whose start has not been ordered yet; for a gang, all choices of the
    /// step.
    pub(super) fn withdraw(&mut self, task_ref: TaskRef, now_us: u64) {
        let Some(job) = self.job(task_ref.job) else { return };
        let (occurrence, step, _) = job.locate(task_ref.task);
        let members: Vec<u32> = if job.spec.steps[step as usize].is_gang {
            job.tasks_of(occurrence, step).collect()
        } else {
            vec![task_ref.task]
        };
        for task in members {
            let task_ref = TaskRef { job: task_ref.job, task };
            if matches!(self.task_state(task_ref), TaskState::Chosen(_)) {
                self.withdraw_choice(task_ref, TaskState::Waiting, now_us);
            }
        }
        self.waiting.insert(TaskGroup { job: task_ref.job, occurrence, step });
        self.mark_urgent(task_ref.job, now_us);
    }

    /// Returns the zones in which starts wait for a job's record.
    pub(super) fn zones_awaiting_starts(&self, slot: u32) -> BTreeSet<String> {
        let Some(job) = self.job(slot) else { return BTreeSet::new() };
        let chosen = job.tasks.iter().filter_map(|task| match task.state {
            TaskState::Chosen(worker) => Some(&self.workers[worker as usize].entry.zone),
            _ => None,
        });
        chosen.filter(|zone| !zone.is_empty()).cloned().collect()
    }
}
