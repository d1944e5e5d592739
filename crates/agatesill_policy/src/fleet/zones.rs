//! Availability zones that take no new work.
//!
//! Load pattern: operators evacuate a zone while work arrives and starts are on their way to its
//! workers; what runs there ends by itself and everything new goes to the other zones.

use std::collections::{BTreeMap, BTreeSet};

use super::job::{TaskRef, TaskState};
use super::state::{Fleet, TaskGroup};
use super::worker::WorkerIndex;

/// A zone that takes no new work, as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClosedZone {
    /// Name of the availability zone.
    pub zone: String,
    /// Revision of the store at which it was closed.
    pub revision: u64,
}

/// Closed zones, each with the newest revision at which it was seen closed.
pub(super) type ClosedZones = BTreeMap<String, u64>;

impl Fleet {
    /// Whether a zone takes no new work.
    pub fn is_zone_closed(&self, zone: &str) -> bool {
        self.closed_zones.contains_key(zone)
    }

    /// Takes in that a zone takes no new work.
    pub fn close_zone(&mut self, closed: &ClosedZone, now_us: u64) {
        let known = self.closed_zones.entry(closed.zone.clone()).or_insert(closed.revision);
        *known = closed.revision.max(*known);
        let workers = self.mark_zone(&closed.zone, true);
        if workers.is_empty() {
            return;
        }
        let tasks: Vec<TaskRef> = workers
            .iter()
            .flat_map(|index| self.workers[*index as usize].tasks.iter().copied())
            .filter(|at| matches!(self.task_state(*at), TaskState::Chosen(_)))
            .collect();
        log::info!(event = "zone_closed", zone = closed.zone.as_str(), revision = closed.revision,
            workers = workers.len(), withdrawn = tasks.len(); "takes no new work");
        tasks.into_iter().for_each(|at| self.withdraw(at, now_us));
    }

    /// Takes in that a zone takes work again, as of a revision of the store. News that is older than
    /// the closing changes nothing.
    pub fn open_zone(&mut self, zone: &str, revision: u64) {
        if self.closed_zones.get(zone).is_none_or(|closed| *closed > revision) {
            return;
        }
        self.closed_zones.remove(zone);
        let workers = self.mark_zone(zone, false);
        log::info!(event = "zone_opened", zone = zone, revision = revision,
            workers = workers.len(); "takes work again");
    }

    /// Takes in a whole reading of the closed zones at a revision of the store.
    pub fn set_closed_zones(&mut self, closed: &[ClosedZone], revision: u64, now_us: u64) {
        let is_closed = |zone: &String| closed.iter().any(|entry| entry.zone == *zone);
        let opened: Vec<String> =
            self.closed_zones.keys().filter(|zone| !is_closed(zone)).cloned().collect();
        opened.iter().for_each(|zone| self.open_zone(zone, revision));
        closed.iter().for_each(|entry| self.close_zone(entry, now_us));
    }

    /// Marks the workers of a zone; returns those for which that is new.
    fn mark_zone(&mut self, zone: &str, is_closed: bool) -> Vec<WorkerIndex> {
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

    /// Takes a choice back whose start was not ordered yet; of a gang, all choices of the step.
    pub(super) fn withdraw(&mut self, at: TaskRef, now_us: u64) {
        let Some(job) = self.job(at.job) else { return };
        let (occurrence, step, _) = job.locate(at.task);
        let members: Vec<u32> = if job.spec.steps[step as usize].is_gang {
            job.tasks_of(occurrence, step).collect()
        } else {
            vec![at.task]
        };
        for task in members {
            let at = TaskRef { job: at.job, task };
            if matches!(self.task_state(at), TaskState::Chosen(_)) {
                self.release(at, TaskState::Waiting, now_us);
            }
        }
        self.waiting.insert(TaskGroup { job: at.job, occurrence, step });
        self.mark_urgent(at.job, now_us);
    }

    /// The zones in which starts wait for a job's record.
    pub(super) fn zones_of_choices(&self, slot: u32) -> BTreeSet<String> {
        let Some(job) = self.job(slot) else { return BTreeSet::new() };
        let chosen = job.tasks.iter().filter_map(|task| match task.state {
            TaskState::Chosen(worker) => Some(&self.workers[worker as usize].entry.zone),
            _ => None,
        });
        chosen.filter(|zone| !zone.is_empty()).cloned().collect()
    }
}
