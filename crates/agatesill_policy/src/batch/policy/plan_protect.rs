//! Relief of workers whose services are at risk, and the way back to calm.

use super::super::{Cell, CellDelta, EvictReason, Job, TaskState, WorkerId};
use super::protection::{
    AT_RISK, CALM, CALM_MS, EVICTION_BURST, EVICTIONS_PER_WORKER_S, PRESSURE_AFTER_LIFT, Relief,
    Suspect, THROTTLED_MS, is_settled, relieve,
};
use super::{BatchPolicy, Lane, Note, Plan, Throttle, split_task};

/// Time over which a profile's eviction budget counts.
const BUDGET_MS: u64 = 3_600_000;

/// Least time between two evictions of one task, so that it gets some work done in between.
const EVICTION_GAP_MS: u64 = 30_000;

impl BatchPolicy {
    pub(super) fn protect(&mut self, now_ms: u64, cell: &Cell, plan: &mut Plan) {
        let rate = EVICTIONS_PER_WORKER_S * self.workers.open_count() as f64;
        let mut evictions = self.evictions.refill(now_ms, rate, EVICTION_BURST);
        let at_hand = evictions;
        for worker in self.at_risk.clone() {
            self.relieve_worker(now_ms, cell, worker, &mut evictions, plan);
        }
        self.lift_throttles(now_ms, cell, &mut evictions, plan);
        self.drain(now_ms, cell, &mut evictions, plan);
        self.evictions.spend(at_hand - evictions);
    }

    fn relieve_worker(
        &mut self,
        now_ms: u64,
        cell: &Cell,
        worker: WorkerId,
        evictions: &mut usize,
        plan: &mut Plan,
    ) {
        let Some(load) = self.workers.load(worker) else { return };
        let guard = self.guards.get(&worker).copied().unwrap_or_default();
        if !is_settled(&guard, load.measured_ms) {
            return;
        }
        let pressure = load.worst_pressure();
        let mut suspects = self.suspects(now_ms, cell, worker);
        let reliefs = relieve(pressure, &mut suspects, *evictions);
        if reliefs.is_empty() {
            return;
        }
        self.guards.entry(worker).or_default().acted_ms = now_ms;
        for relief in reliefs {
            match relief {
                Relief::Throttle(task, percent) => self.throttle(now_ms, &task, percent, plan),
                Relief::Evict(task, reason) => {
                    *evictions -= 1;
                    self.propose_eviction(&task, reason, plan);
                }
            }
        }
    }

    fn propose_eviction(&self, task: &str, reason: EvictReason, plan: &mut Plan) {
        if let Some(running) = self.running.get(task) {
            let attempt = running.attempt;
            plan.deltas.push(CellDelta::Evict { task: task.to_owned(), attempt, reason });
        }
    }

    fn throttle(&mut self, now_ms: u64, task: &str, percent: u32, plan: &mut Plan) {
        let Some(running) = self.running.get_mut(task) else { return };
        let change = (f64::from(percent) - f64::from(running.percent)) / 100.0 * running.cpus;
        running.percent = percent;
        running.throttled_ms = now_ms;
        let (worker, attempt) = (running.worker, running.attempt);
        if let Some(class) = running.class {
            self.workers.add_class(worker, class, change);
        }
        if percent < 100 {
            self.throttled.insert(task.to_owned());
        } else {
            self.throttled.remove(task);
        }
        plan.throttles.push(Throttle { worker, task: task.to_owned(), attempt, percent });
        if let Some((job, index)) = split_task(task) {
            self.notes.add(now_ms, job, Note::Throttled { task: index as u32, percent });
        }
    }

    /// The worker's batch tasks that could be throttled or moved.
    fn suspects(&self, now_ms: u64, cell: &Cell, worker: WorkerId) -> Vec<Suspect> {
        let Some(on) = cell.worker(worker) else { return Vec::new() };
        let suspect = |task: &String| {
            let (job, index) = cell.locate(task)?;
            let running = self.running.get(task)?;
            if !matches!(job.tasks[index].state, TaskState::Placed { .. }) {
                return None;
            }
            let class = running.class?;
            Some(Suspect {
                task: task.clone(),
                contribution: self.contribution(worker, class) * running.cpus,
                percent: running.percent,
                throttle_percent: self.config.throttle_percent(&job.spec.profile),
                may_evict: self.may_evict(job, task, now_ms),
                lost_ms: self.lost_ms(task),
                left_ms: self.left_ms(task, now_ms),
            })
        };
        on.live.iter().filter_map(suspect).collect()
    }

    /// How much one processor of a class raises the worst service of a worker.
    fn contribution(&self, worker: WorkerId, class: usize) -> f64 {
        let Some(load) = self.workers.load(worker) else { return 0.0 };
        let at_risk = load.services.iter().filter(|service| service.pressure > AT_RISK);
        at_risk
            .map(|service| self.interference.slowdown(&service.service, service.load, class).mean)
            .fold(0.0, f64::max)
    }

    /// Whether the task's profile allows another eviction now.
    pub(super) fn may_evict(&self, job: &Job, task: &str, now_ms: u64) -> bool {
        let Some(evicted_ms) = self.evicted_ms.get(task) else {
            return self.config.evictions_per_hour(&job.spec.profile) > 0;
        };
        let lately = evicted_ms.iter().filter(|at_ms| **at_ms + BUDGET_MS > now_ms).count();
        lately < self.config.evictions_per_hour(&job.spec.profile)
            && evicted_ms.iter().all(|at_ms| *at_ms + EVICTION_GAP_MS <= now_ms)
    }

    /// Work that an eviction may lose: all since the last checkpoint, were the new one to fail.
    /// One part in ten of it stands for that risk.
    pub(super) fn lost_ms(&self, task: &str) -> u64 {
        self.running
            .get(task)
            .map_or(0, |running| running.progress_ms.saturating_sub(running.checkpoint_ms) / 10)
    }

    fn left_ms(&self, task: &str, now_ms: u64) -> u64 {
        self.running.get(task).map_or(0, |running| {
            let ran_ms = now_ms.saturating_sub(running.started_ms);
            running.expected_ms.saturating_sub(ran_ms)
        })
    }

    /// Lifts throttles where the worker is calm and stays so by the model, and moves tasks that
    /// have been throttled for long.
    fn lift_throttles(&mut self, now_ms: u64, cell: &Cell, evictions: &mut usize, plan: &mut Plan) {
        let mut lifted = std::collections::BTreeSet::new();
        for task in self.throttled.clone() {
            let Some(running) = self.running.get(&task) else { continue };
            let (worker, class) = (running.worker, running.class.unwrap_or_default());
            let added = running.cpus * f64::from(100 - running.percent) / 100.0;
            let since_ms = now_ms.saturating_sub(running.throttled_ms);
            let Some(load) = self.workers.load(worker) else { continue };
            let settled = load.measured_ms >= running.throttled_ms + CALM_MS;
            let stays_calm = load.services.iter().all(|service| {
                let one = self.interference.slowdown(&service.service, service.load, class);
                let rise = one.mean.max(0.0) * added;
                service.pressure < CALM && service.pressure + rise < PRESSURE_AFTER_LIFT
            });
            if settled && stays_calm && lifted.insert(worker) {
                self.throttle(now_ms, &task, 100, plan);
            } else if since_ms > THROTTLED_MS && *evictions > 0 && !stays_calm {
                self.move_throttled(now_ms, cell, &task, evictions, plan);
            }
        }
    }

    fn move_throttled(
        &self,
        now_ms: u64,
        cell: &Cell,
        task: &str,
        evictions: &mut usize,
        plan: &mut Plan,
    ) {
        let Some((job, index)) = cell.locate(task) else { return };
        let placed = matches!(job.tasks[index].state, TaskState::Placed { .. });
        if placed && self.may_evict(job, task, now_ms) {
            *evictions -= 1;
            self.propose_eviction(task, EvictReason::Promise, plan);
        }
    }

    /// Moves the tasks of workers that are leaving, at the pace of evictions.
    fn drain(&mut self, now_ms: u64, cell: &Cell, evictions: &mut usize, plan: &mut Plan) {
        for worker in &self.draining {
            let Some(on) = cell.worker(*worker) else { continue };
            for task in &on.live {
                let Some((job, index)) = cell.locate(task) else { continue };
                let placed = matches!(job.tasks[index].state, TaskState::Placed { .. });
                let moves = self.lane(job) == Lane::Critical || self.may_evict(job, task, now_ms);
                if placed && moves && *evictions > 0 {
                    *evictions -= 1;
                    self.propose_eviction(task, EvictReason::Drain, plan);
                }
            }
        }
    }
}
