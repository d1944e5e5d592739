//! Mitigation of workers whose services are at risk, lifting of throttles, and draining of workers.

use super::super::{Cell, CellDelta, EvictReason, Job, TaskState, WorkerId};
use super::protection::{
    AT_RISK_PRESSURE, EVICTION_BURST, LIFT_THROTTLE_PRESSURE, MAX_EVICTIONS_PER_WORKER_S,
    MAX_PRESSURE_AFTER_LIFT, MAX_THROTTLE_MS, MIN_THROTTLE_MS, Mitigation, MitigationCandidate,
    choose_mitigations, is_effect_measured,
};
use super::{BatchPolicy, HistoryEvent, Plan, PriorityTier, Throttle, split_task};

/// Time window of a profile's eviction budget.
const EVICTION_BUDGET_WINDOW_MS: u64 = 3_600_000;

/// Minimum time between two evictions of one task, so that it makes progress in between.
const MIN_EVICTION_INTERVAL_MS: u64 = 30_000;

impl BatchPolicy {
    pub(super) fn protect(&mut self, now_ms: u64, cell: &Cell, plan: &mut Plan) {
        let rate = MAX_EVICTIONS_PER_WORKER_S * self.workers.schedulable_count() as f64;
        let mut evictions = self.evictions.refill(now_ms, rate, EVICTION_BURST);
        let available = evictions;
        for worker in self.at_risk.clone() {
            self.mitigate_worker(now_ms, cell, worker, &mut evictions, plan);
        }
        self.lift_throttles(now_ms, cell, &mut evictions, plan);
        self.drain(now_ms, cell, &mut evictions, plan);
        self.evictions.spend(available - evictions);
    }

    fn mitigate_worker(
        &mut self,
        now_ms: u64,
        cell: &Cell,
        worker: WorkerId,
        evictions: &mut usize,
        plan: &mut Plan,
    ) {
        let Some(load) = self.workers.load(worker) else { return };
        let state = self.mitigation_states.get(&worker).copied().unwrap_or_default();
        if !is_effect_measured(&state, load.measured_ms) {
            return;
        }
        let pressure = load.worst_pressure();
        let mut candidates = self.candidates(now_ms, cell, worker);
        let mitigations = choose_mitigations(pressure, &mut candidates, *evictions);
        if mitigations.is_empty() {
            return;
        }
        self.mitigation_states.entry(worker).or_default().last_action_ms = now_ms;
        for mitigation in mitigations {
            match mitigation {
                Mitigation::Throttle(task, percent) => self.throttle(now_ms, &task, percent, plan),
                Mitigation::Evict(task, reason) => {
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
            self.history.add(now_ms, job, HistoryEvent::Throttled { task: index as u32, percent });
        }
    }

    /// The worker's batch tasks that could be throttled or evicted.
    fn candidates(&self, now_ms: u64, cell: &Cell, worker: WorkerId) -> Vec<MitigationCandidate> {
        let Some(ledger_worker) = cell.worker(worker) else { return Vec::new() };
        let candidate = |task: &String| {
            let (job, index) = cell.locate(task)?;
            let running = self.running.get(task)?;
            if !matches!(job.tasks[index].state, TaskState::Placed { .. }) {
                return None;
            }
            let class = running.class?;
            Some(MitigationCandidate {
                task: task.clone(),
                contribution: self.contribution(worker, class) * running.cpus,
                percent: running.percent,
                throttle_percent: self.config.throttle_percent(&job.spec.profile),
                may_evict: self.may_evict(job, task, now_ms),
                lost_ms: self.lost_ms(task),
                remaining_ms: self.remaining_ms(task, now_ms),
            })
        };
        ledger_worker.live.iter().filter_map(candidate).collect()
    }

    /// Highest pressure that one core of a class adds to a service at risk on the worker.
    fn contribution(&self, worker: WorkerId, class: usize) -> f64 {
        let Some(load) = self.workers.load(worker) else { return 0.0 };
        let at_risk = load.services.iter().filter(|service| service.pressure > AT_RISK_PRESSURE);
        at_risk
            .map(|service| self.interference.slowdown(&service.service, service.load, class).mean)
            .fold(0.0, f64::max)
    }

    /// Whether the task's profile allows another eviction now.
    pub(super) fn may_evict(&self, job: &Job, task: &str, now_ms: u64) -> bool {
        let Some(evicted_ms) = self.evicted_ms.get(task) else {
            return self.config.evictions_per_hour(&job.spec.profile) > 0;
        };
        let recent =
            evicted_ms.iter().filter(|at_ms| **at_ms + EVICTION_BUDGET_WINDOW_MS > now_ms).count();
        recent < self.config.evictions_per_hour(&job.spec.profile)
            && evicted_ms.iter().all(|at_ms| *at_ms + MIN_EVICTION_INTERVAL_MS <= now_ms)
    }

    /// Expected work lost by an eviction. All progress since the last checkpoint would be lost if
    /// the checkpoint of the eviction failed; a tenth of it accounts for that risk.
    pub(super) fn lost_ms(&self, task: &str) -> u64 {
        self.running
            .get(task)
            .map_or(0, |running| running.progress_ms.saturating_sub(running.checkpoint_ms) / 10)
    }

    fn remaining_ms(&self, task: &str, now_ms: u64) -> u64 {
        self.running.get(task).map_or(0, |running| {
            let ran_ms = now_ms.saturating_sub(running.started_ms);
            running.expected_ms.saturating_sub(ran_ms)
        })
    }

    /// Lifts throttles on workers whose pressure is low and stays low by the model, and evicts
    /// tasks that have been throttled for long.
    fn lift_throttles(&mut self, now_ms: u64, cell: &Cell, evictions: &mut usize, plan: &mut Plan) {
        let mut lifted = std::collections::BTreeSet::new();
        for task in self.throttled.clone() {
            let Some(running) = self.running.get(&task) else { continue };
            let (worker, class) = (running.worker, running.class.unwrap_or_default());
            let added = running.cpus * f64::from(100 - running.percent) / 100.0;
            let throttled_for_ms = now_ms.saturating_sub(running.throttled_ms);
            let Some(load) = self.workers.load(worker) else { continue };
            let settled = load.measured_ms >= running.throttled_ms + MIN_THROTTLE_MS;
            let may_lift = load.services.iter().all(|service| {
                let slowdown = self.interference.slowdown(&service.service, service.load, class);
                let rise = slowdown.mean.max(0.0) * added;
                service.pressure < LIFT_THROTTLE_PRESSURE
                    && service.pressure + rise < MAX_PRESSURE_AFTER_LIFT
            });
            if settled && may_lift && lifted.insert(worker) {
                self.throttle(now_ms, &task, 100, plan);
            } else if throttled_for_ms > MAX_THROTTLE_MS && *evictions > 0 && !may_lift {
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

    /// Evicts the tasks of leaving workers, within the eviction rate.
    fn drain(&mut self, now_ms: u64, cell: &Cell, evictions: &mut usize, plan: &mut Plan) {
        for worker in &self.draining {
            let Some(ledger_worker) = cell.worker(*worker) else { continue };
            for task in &ledger_worker.live {
                let Some((job, index)) = cell.locate(task) else { continue };
                let placed = matches!(job.tasks[index].state, TaskState::Placed { .. });
                let may_move =
                    self.tier(job) == PriorityTier::Critical || self.may_evict(job, task, now_ms);
                if placed && may_move && *evictions > 0 {
                    *evictions -= 1;
                    self.propose_eviction(task, EvictReason::Drain, plan);
                }
            }
        }
    }
}
