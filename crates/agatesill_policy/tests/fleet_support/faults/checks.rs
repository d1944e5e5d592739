//! What really happened in a simulation, and the rules that are checked against it.

use std::collections::{BTreeMap, HashMap, HashSet};

use agatesill_policy::fleet::{EndCause, EndRow, JobPhase, Order, Step, TaskKey};

use super::lives::Life;
use super::{FaultSimulation, MS, S, TURN_US};

/// Time after the end of all faults from which jobs must run.
const CALM_AFTER_US: u64 = 4 * S;

/// Time for which a job may be without a run although there is capacity.
const IDLE_US: u64 = 3 * S;

/// Time for which a long-running task may be without a run.
const MISSING_US: u64 = 6 * S;

/// Longest time from the last call to a worker until its lease has ended on any clock.
const LEASE_END_US: u64 = 5_400 * MS;

/// What is known about an end `done`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DoneEnd {
    /// The worker reports it.
    Listed,
    /// It was acknowledged.
    Noted,
    /// Its worker crashed, or its lease lapsed, before it was acknowledged.
    Lost,
}

/// Ends and waits, independent of the ledger.
#[derive(Debug, Default)]
pub struct Truth {
    done: HashMap<TaskKey, DoneEnd>,
    /// Tasks that started after an end `done` that was not acknowledged yet.
    restarted: HashSet<TaskKey>,
    restarted_after_noted: Vec<TaskKey>,
    /// Since when each job, or task of a long-running step, has had no run although it could.
    idle_since_us: BTreeMap<(String, Option<u32>), u64>,
    last_run_us: HashMap<(String, u32), u64>,
    /// Worker of the newest run of each task.
    worker_of: HashMap<TaskKey, String>,
    /// When each lost worker crashed.
    crashed_us: HashMap<String, u64>,
    reported: HashSet<(String, Option<u32>)>,
    has_failed: HashSet<String>,
}

impl Truth {
    /// Records the end of a run.
    pub fn run_ended(&mut self, end: &EndRow) {
        if end.cause == EndCause::Done {
            self.done.insert(end.task.clone(), DoneEnd::Listed);
        }
    }

    /// Records that an end was acknowledged.
    pub fn end_noted(&mut self, end: &EndRow) {
        if end.cause != EndCause::Done || self.done.get(&end.task) == Some(&DoneEnd::Lost) {
            return;
        }
        if self.restarted.contains(&end.task) {
            self.restarted_after_noted.push(end.task.clone());
        }
        self.done.insert(end.task.clone(), DoneEnd::Noted);
    }

    /// Records that ends will not be acknowledged in time: the lease of the worker lapsed.
    pub fn ends_lost(&mut self, life: &Life) {
        for end in life.ended.iter().filter(|end| end.cause == EndCause::Done) {
            self.done.insert(end.task.clone(), DoneEnd::Lost);
        }
    }

    /// Records that a worker crashed.
    pub fn worker_crashed(&mut self, life: &Life, now_us: u64) {
        self.ends_lost(life);
        self.crashed_us.insert(life.entry.id.clone(), now_us);
    }

    fn is_done(&self, key: &TaskKey) -> bool {
        self.done.get(key).is_some_and(|end| *end != DoneEnd::Lost)
    }
}

impl FaultSimulation {
    /// Checks a run that has just begun on a machine.
    pub(super) fn check_start(&mut self, order: &Order, position: usize) {
        let is_present = |life: &Life| life.runs.iter().any(|run| run.task == order.task);
        let elsewhere: Vec<String> = self
            .machines
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != position)
            .filter_map(|(_, machine)| machine.life.as_ref())
            .filter(|life| is_present(life))
            .map(|life| life.entry.id.clone())
            .collect();
        let here = self.machines[position]
            .life
            .as_ref()
            .map_or(0, |life| life.runs.iter().filter(|run| run.task == order.task).count());
        if !elsewhere.is_empty() || here > 1 {
            self.report(format!("TWICE {:?} run {} also at {elsewhere:?}", order.task, order.run));
        }
        if let Some(life) = &self.machines[position].life {
            self.truth.worker_of.insert(order.task.clone(), life.entry.id.clone());
        }
        match self.truth.done.get(&order.task) {
            Some(DoneEnd::Noted) => {
                self.report(format!("DONE {:?} starts again, run {}", order.task, order.run));
            }
            Some(DoneEnd::Listed) => drop(self.truth.restarted.insert(order.task.clone())),
            Some(DoneEnd::Lost) | None => {}
        }
    }

    fn report(&mut self, text: String) {
        let text = format!(
            "{} ms (calm since {} ms): {text}",
            self.now_us / MS,
            self.faults_until_us / MS
        );
        self.broken.push(text);
    }

    /// Checks all rules at the end of a turn.
    pub(super) fn check(&mut self) {
        let restarted = std::mem::take(&mut self.truth.restarted_after_noted);
        for task in restarted {
            self.report(format!("DONE {task:?} started again after an end that was noted later"));
        }
        self.note_runs();
        if self.now_us % (10 * TURN_US) == 0 {
            self.check_failed();
        }
        if self.now_us >= self.faults_until_us + CALM_AFTER_US {
            self.check_idle();
        }
    }

    fn note_runs(&mut self) {
        let now_us = self.now_us;
        for life in self.machines.iter().filter_map(|machine| machine.life.as_ref()) {
            for run in life.runs.iter().filter(|run| run.step.is_lasting) {
                let key = (run.task.job.clone(), run.task.index);
                self.truth.last_run_us.insert(key, now_us);
            }
        }
    }

    fn check_failed(&mut self) {
        let failed: Vec<String> = self
            .store
            .records
            .iter()
            .filter(|(id, (record, _))| {
                record.phase == JobPhase::Failed
                    && !id.starts_with("bad-")
                    && !self.truth.has_failed.contains(*id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in failed {
            self.report(format!("FAILED {id}"));
            self.truth.has_failed.insert(id);
        }
    }

    /// Whether the newest run of a task may still be present as far as the planner can know: its
    /// worker, or the one that the record names, is lost, and its lease may not have ended.
    fn may_be_present(&self, key: &TaskKey) -> bool {
        let record = self.store.records.get(&key.job).map(|(record, _)| record);
        let task = self.task_number(&key.job, key.step, key.index);
        let recorded = record.and_then(|record| record.tasks.iter().find(|t| t.task == task));
        let workers = self.truth.worker_of.get(key).into_iter().chain(recorded.map(|t| &t.worker));
        let since_us = self.planner_since_us + self.orphan_ms * MS;
        workers
            .filter_map(|id| self.truth.crashed_us.get(id))
            .any(|crashed_us| self.now_us < since_us.max(*crashed_us) + LEASE_END_US)
    }

    fn task_number(&self, id: &str, step: u32, index: u32) -> u32 {
        let steps = &self.jobs[id].steps[..step as usize];
        steps.iter().map(|step| step.count).sum::<u32>() + index
    }

    /// Whether the stored record says that a task is done. Its worker may have crashed after that and
    /// before the end was acknowledged.
    fn is_recorded_done(&self, id: &str, step: u32, index: u32) -> bool {
        let task = self.task_number(id, step, index);
        self.store.records.get(id).is_some_and(|(record, _)| {
            record.tasks.iter().any(|other| other.task == task && other.is_done)
        })
    }

    /// Tasks of a job that could run now, with their steps.
    fn open_tasks(&self, id: &str) -> Vec<(u32, &Step)> {
        let steps = &self.jobs[id].steps;
        let key = |step: u32, index| TaskKey { job: id.to_owned(), occurrence: 0, step, index };
        let is_done = |step: u32, index: u32| {
            self.truth.is_done(&key(step, index)) || self.is_recorded_done(id, step, index)
        };
        let is_step_done =
            |step: &u32| (0..steps[*step as usize].count).all(|index| is_done(*step, index));
        let unblocked =
            steps.iter().enumerate().filter(|(_, step)| step.after.iter().all(is_step_done));
        unblocked
            .flat_map(|(number, step)| {
                (0..step.count).map(move |index| (number as u32, index, step))
            })
            .filter(|(number, index, step)| {
                // A gang starts only as a whole.
                let members = if step.is_gang { 0..step.count } else { *index..*index + 1 };
                let may_be_present = |index| self.may_be_present(&key(*number, index));
                let is_excused = self.excuses_leases && members.into_iter().any(may_be_present);
                !is_excused && !is_done(*number, *index)
            })
            .map(|(_, index, step)| (index, step))
            .collect()
    }

    fn check_idle(&mut self) {
        let now_us = self.now_us;
        let lives: Vec<&Life> = self
            .machines
            .iter()
            .filter_map(|machine| machine.life.as_ref())
            .filter(|life| self.store.entries.contains_key(&life.entry.id))
            .collect();
        let whole: u64 = lives.iter().map(|life| life.entry.capacity.cpu_milli).sum();
        let used: u64 = lives.iter().map(|life| life.cpu_milli()).sum();
        // Capacity counts only if it is there twice over; all members of a gang need it.
        let has_room = |step: &Step| {
            let wanted = if step.is_gang { 2 * step.count as usize } else { 2 };
            let has_label =
                |life: &&&Life| step.label.is_empty() || life.entry.labels.contains(&step.label);
            let allocation = step.allocation();
            let fitting =
                lives.iter().filter(has_label).filter(|l| l.has_capacity_for(&allocation));
            used * 2 < whole && fitting.count() >= wanted
        };
        let running: HashSet<(&str, u32, u32)> = lives
            .iter()
            .flat_map(|life| &life.runs)
            .map(|run| (run.task.job.as_str(), run.task.step, run.task.index))
            .collect();
        let running_jobs: HashSet<&str> = running.iter().map(|(id, ..)| *id).collect();
        let mut idle: HashSet<(String, Option<u32>)> = HashSet::new();
        for id in self.jobs.keys() {
            let phase = self.store.records.get(id).map_or(JobPhase::Active, |(r, _)| r.phase);
            if phase != JobPhase::Active || self.cancelled.contains(id) {
                continue;
            }
            let open = self.open_tasks(id);
            for (index, step) in open.iter().filter(|(_, step)| step.is_lasting) {
                if !running.contains(&(id.as_str(), 0, *index)) && has_room(step) {
                    idle.insert((id.clone(), Some(*index)));
                }
            }
            let could_run = open.iter().any(|(_, step)| has_room(step));
            if !running_jobs.contains(id.as_str()) && could_run {
                idle.insert((id.clone(), None));
            }
        }
        self.truth.idle_since_us.retain(|key, _| idle.contains(key));
        for key in idle {
            let since_us = *self.truth.idle_since_us.entry(key.clone()).or_insert(now_us);
            let last_run_us = key
                .1
                .and_then(|index| self.truth.last_run_us.get(&(key.0.clone(), index)).copied());
            let accepted_us = self.jobs[&key.0].accepted_at_ms * MS;
            let missing_us = now_us - last_run_us.unwrap_or(accepted_us);
            let is_missing = key.1.is_none() || missing_us >= MISSING_US;
            if now_us - since_us >= IDLE_US && is_missing && self.truth.reported.insert(key.clone())
            {
                let state = self.describe(&key.0, key.1);
                self.report(format!("LOST {key:?} idle for {} ms: {state}", missing_us / MS));
            }
        }
    }

    fn describe(&self, id: &str, task: Option<u32>) -> String {
        let Some(planner) = &self.planner else { return "no planner".to_owned() };
        let (_, missing) = planner.fleet.missing_tasks(usize::MAX, self.now_us);
        let (_, idle) = planner.fleet.idle_jobs(usize::MAX, self.now_us);
        let missing = missing.iter().find(|m| m.job == id && Some(m.task) == task);
        let idle = idle.iter().find(|idle| idle.task.job == id);
        match (missing, idle) {
            (Some(missing), _) => format!("{missing:?}"),
            (None, Some(idle)) => format!("{idle:?}"),
            (None, None) => format!("not idle by the ledger, {:?}", planner.fleet.state_of(id)),
        }
    }
}
