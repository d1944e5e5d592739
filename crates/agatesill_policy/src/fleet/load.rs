//! Load of the services, summed up for the admission of jobs.
//!
//! Load pattern: callers submit more work than the workers can carry, while workers join, leave and
//! slow down. The sums are computed anew a few times per second in one pass over the workers and
//! one over the waiting steps. Only the drain is learned; a planner that has just taken over knows
//! it again within seconds.

use std::collections::{HashMap, HashSet};

use crate::admission::{
    HEADROOM_DECAY, KindLoad, LoadControl, ServiceLoad, calls_for_load_control,
};

use super::US_PER_MS;
use super::colocation::LONG_RUNNING_USED_SHARE;
use super::drain::{DrainMeter, FreedMeter, remaining_share};
use super::job::{Job, JobPhase, QueueTerms, Step, TaskState};
use super::ranking::{counts_in_time, elapsed_ms, work_core_ms};
use super::state::{Fleet, TaskGroup};
use super::usage::TaskKind;
use super::worker::Worker;

/// Largest share of the capacity that is kept free of long-running tasks.
const MAX_HEADROOM_SHARE: f64 = 0.35;

/// What is learned of the load of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceMeters {
    plain: DrainMeter,
    best_effort: DrainMeter,
    long_running: FreedMeter,
    /// Highest CPU demand of plain tasks, decaying.
    plain_demand_milli: f64,
    sampled_us: u64,
}

impl ServiceMeters {
    /// Records that a task released its worker.
    pub fn released(&mut self, step: &Step, is_done: bool, is_job_active: bool) {
        match TaskKind::of(step) {
            TaskKind::LongRunning if !is_job_active => {
                self.long_running.freed(step.need.cpu_milli);
            }
            TaskKind::Plain if is_done => self.plain.ended(work_core_ms(step)),
            TaskKind::BestEffort if is_done => self.best_effort.ended(work_core_ms(step)),
            _ => {}
        }
    }

    /// Sets the rates of a load whose sums are complete.
    fn sample(&mut self, load: &mut ServiceLoad, now_us: u64) {
        let capacity_milli = load.capacity_milli;
        let long_running_milli = load.long_running.placed_milli;
        let free_of_long_running = capacity_milli.saturating_sub(long_running_milli);
        let used_milli =
            load.plain.placed_milli as f64 + long_running_milli as f64 * LONG_RUNNING_USED_SHARE;
        let unused_milli = (capacity_milli as f64 - used_milli).max(0.0) as u64;
        let plain = &mut load.plain;
        plain.drain_milli = self.plain.sample(
            plain.placed_milli,
            free_of_long_running,
            plain.waiting_milli > 0,
            now_us,
        );
        let best_effort = &mut load.best_effort;
        best_effort.drain_milli = self.best_effort.sample(
            best_effort.placed_milli,
            unused_milli,
            best_effort.waiting_milli > 0,
            now_us,
        );
        load.long_running.drain_milli = self.long_running.sample(now_us);
        load.headroom_milli = self.headroom_milli(load, now_us);
        self.sampled_us = now_us;
    }

    /// CPU to keep free of long-running tasks: the highest recent demand of urgent tasks.
    fn headroom_milli(&mut self, load: &ServiceLoad, now_us: u64) -> u64 {
        let elapsed_us = now_us.saturating_sub(self.sampled_us);
        let demand_milli = (load.plain.placed_milli + load.plain.waiting_milli) as f64;
        let remembered_milli =
            self.plain_demand_milli * remaining_share(elapsed_us, HEADROOM_DECAY);
        self.plain_demand_milli = remembered_milli.max(demand_milli);
        self.plain_demand_milli.min(load.capacity_milli as f64 * MAX_HEADROOM_SHARE) as u64
    }
}

impl Fleet {
    /// Sets whether load control is active; by default the deployment's bounds decide.
    pub fn set_load_control(&mut self, control: LoadControl) {
        self.load_control = control;
        self.update_load_control();
    }

    /// Whether load control is active for a service.
    pub(super) fn controls_load(&self, service: &str) -> bool {
        self.controlled_services.contains(service)
    }

    /// Determines the services with load control from the queues and the bounds.
    pub(super) fn update_load_control(&mut self) {
        let services: HashSet<&str> =
            self.queues.values().map(|terms| terms.service.as_str()).collect();
        self.controlled_services = services
            .into_iter()
            .filter(|service| {
                calls_for_load_control(self.load_control, service, &self.queues, &self.bounds)
            })
            .map(str::to_owned)
            .collect();
        self.load_meters.retain(|service, _| self.controlled_services.contains(service));
    }

    /// Load of the services for which load control is active.
    ///
    /// The rates cover the time since the last call, so this is called a few times per second.
    pub fn service_loads(&mut self, now_us: u64) -> Vec<ServiceLoad> {
        let mut loads: HashMap<&str, ServiceLoad> = self
            .controlled_services
            .iter()
            .map(|service| (service.as_str(), new_load(service)))
            .collect();
        for worker in &self.workers {
            if let Some(load) = loads.get_mut(worker.entry.service.as_str()) {
                add_worker(load, worker, now_us);
            }
        }
        let urgent_priorities = self.urgent_priorities();
        for group in &self.waiting {
            let Some(job) = self.job(group.job).filter(|job| job.phase == JobPhase::Active) else {
                continue;
            };
            let terms = self.terms(job);
            if let Some(load) = loads.get_mut(terms.service.as_str()) {
                let is_urgent =
                    urgent_priorities.get(terms.service.as_str()) == Some(&terms.priority);
                self.add_waiting(load, job, terms, *group, is_urgent, now_us);
            }
        }
        let mut loads: Vec<ServiceLoad> = loads.into_values().collect();
        loads.sort_by(|a, b| a.service.cmp(&b.service));
        for load in &mut loads {
            self.load_meters.entry(load.service.clone()).or_default().sample(load, now_us);
        }
        loads
    }

    /// Priority of the most urgent queue of each service.
    fn urgent_priorities(&self) -> HashMap<&str, u32> {
        let mut priorities = HashMap::new();
        for terms in self.queues.values() {
            let priority = priorities.entry(terms.service.as_str()).or_insert(terms.priority);
            *priority = terms.priority.min(*priority);
        }
        priorities
    }

    /// Adds the waiting tasks of a group. Work is ahead of a newcomer if its job has begun or can
    /// still be in time; plain work of other than the most urgent queues waits behind a newcomer of
    /// these.
    fn add_waiting(
        &self,
        load: &mut ServiceLoad,
        job: &Job,
        terms: &QueueTerms,
        group: TaskGroup,
        is_urgent: bool,
        now_us: u64,
    ) {
        let step = &job.spec.steps[group.step as usize];
        let tasks = job
            .tasks_of(group.occurrence, group.step)
            .filter(|task| job.tasks[*task as usize].state == TaskState::Waiting)
            .count() as u64;
        let kind = TaskKind::of(step);
        let is_ahead = match kind {
            TaskKind::LongRunning => false,
            TaskKind::Plain => is_urgent && self.ranks_before_new(job, terms, group, now_us),
            TaskKind::BestEffort => self.ranks_before_new(job, terms, group, now_us),
        };
        let kind_load = kind_load_mut(load, kind);
        kind_load.waiting_milli += tasks * step.need.cpu_milli;
        if is_ahead {
            let ahead_core_ms = (tasks as f64 * work_core_ms(step)) as u64;
            kind_load.ahead_core_ms = kind_load.ahead_core_ms.saturating_add(ahead_core_ms);
        }
    }

    fn ranks_before_new(
        &self,
        job: &Job,
        terms: &QueueTerms,
        group: TaskGroup,
        now_us: u64,
    ) -> bool {
        let now_ms = ((now_us / US_PER_MS) as i64 + self.wall_offset_ms).max(0) as u64;
        let elapsed_ms = elapsed_ms(job, group.occurrence, now_us, now_ms);
        counts_in_time(job, group.occurrence, terms, elapsed_ms)
    }
}

fn new_load(service: &str) -> ServiceLoad {
    ServiceLoad { service: service.to_owned(), ..ServiceLoad::default() }
}

fn kind_load_mut(load: &mut ServiceLoad, kind: TaskKind) -> &mut KindLoad {
    match kind {
        TaskKind::LongRunning => &mut load.long_running,
        TaskKind::BestEffort => &mut load.best_effort,
        TaskKind::Plain => &mut load.plain,
    }
}

/// Adds an open worker. The long-running tasks of a worker that leaves are about to need others.
fn add_worker(load: &mut ServiceLoad, worker: &Worker, now_us: u64) {
    if worker.is_open(now_us) {
        load.capacity_milli += worker.entry.capacity.cpu_milli;
        load.largest_worker_milli = load.largest_worker_milli.max(worker.entry.capacity.cpu_milli);
        load.long_running.placed_milli += worker.long_running_cpu_milli;
        load.plain.placed_milli += worker.plain_cpu_milli();
        load.best_effort.placed_milli += worker.best_effort_cpu_milli;
    } else if !worker.takes_starts() {
        load.long_running.waiting_milli += worker.long_running_cpu_milli;
    }
}
