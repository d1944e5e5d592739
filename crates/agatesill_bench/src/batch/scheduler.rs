//! The schedulers that a scenario compares: the batch policy of this project and simple baselines.

use std::collections::{BTreeMap, BTreeSet};

use agatesill_policy::prelude::*;

use super::sim::GroundTruth;

/// The schedulers that can be simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerKind {
    /// The batch policy of this project.
    Agatesill,
    /// First worker with capacity for the declared size, first come first served.
    FirstFit,
    /// Worker with the least free capacity that fits the declared size, first come first served.
    BestFit,
    /// Best fit, earliest declared deadline first, without a model of interference.
    NoInterference,
    /// The batch policy of this project without the services' measurements.
    Unmeasured,
    /// First fit that evicts the newest batch task of a worker when a report shows a violated
    /// latency objective.
    EvictNewest,
    /// First come first served with the actual interference, known without delay.
    Oracle,
}

impl SchedulerKind {
    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            SchedulerKind::Agatesill => "agatesill",
            SchedulerKind::FirstFit => "first_fit",
            SchedulerKind::BestFit => "best_fit",
            SchedulerKind::NoInterference => "no_interference",
            SchedulerKind::Unmeasured => "agatesill_unmeasured",
            SchedulerKind::EvictNewest => "evict_newest",
            SchedulerKind::Oracle => "oracle",
        }
    }
}

/// Maximum number of placements in one plan.
const MAX_PLACEMENTS_PER_PLAN: usize = 256;

/// Waiting tasks that a baseline fails to place before it ends the planning round.
const MAX_MISSES: usize = 64;

/// Failures of one task after which a baseline fails its job.
const MAX_FAILURES: u32 = 8;

/// Logarithm of the highest ratio of tail latency to objective that an oracle placement may cause.
const ORACLE_MAX_TAIL_RATIO_LN: f64 = -0.1;

/// Logarithm of the ratio of tail latency to objective above which the oracle throttles.
const ORACLE_THROTTLE_TAIL_RATIO_LN: f64 = -0.01;

/// Processor share of a throttled task.
const THROTTLE_PERCENT: u32 = 25;

/// A scheduler with its state.
pub struct Scheduler {
    kind: SchedulerKind,
    policy: BatchPolicy,
    config: BatchConfig,
    waiting: BTreeSet<(bool, u64, TaskId)>,
    sequence: u64,
    live_by_worker: BTreeMap<WorkerId, Vec<(TaskId, Attempt)>>,
    violating_workers: BTreeSet<WorkerId>,
    failed: Vec<String>,
    throttled: BTreeSet<(WorkerId, TaskId, Attempt)>,
}

impl Scheduler {
    /// Creates a scheduler for a cell.
    pub fn new(kind: SchedulerKind, doc: &ConfigDoc, cell: &Cell) -> Self {
        let mut policy = BatchPolicy::default();
        policy.rebuild(0, cell);
        Self {
            kind,
            policy,
            config: BatchConfig::new(doc, MAX_PLACEMENTS_PER_PLAN),
            waiting: BTreeSet::new(),
            sequence: 0,
            live_by_worker: BTreeMap::new(),
            violating_workers: BTreeSet::new(),
            failed: Vec::new(),
            throttled: BTreeSet::new(),
        }
    }

    fn uses_batch_policy(&self) -> bool {
        matches!(self.kind, SchedulerKind::Agatesill | SchedulerKind::Unmeasured)
    }

    /// Applies a committed delta.
    pub fn apply(&mut self, now_ms: u64, cell: &mut Cell, delta: &CellDelta) -> Vec<CellEffect> {
        if self.uses_batch_policy() {
            return self.policy.apply(now_ms, cell, delta);
        }
        let effects = cell.apply(delta);
        match delta {
            CellDelta::Accept { job, .. } => {
                for index in 0..job.tasks {
                    self.enqueue(cell, &format!("{}/{index}", job.id));
                }
            }
            CellDelta::Place { task, attempt, worker, .. } if !effects.is_empty() => {
                self.live_by_worker.entry(*worker).or_default().push((task.clone(), *attempt));
            }
            CellDelta::End { task, .. } => self.ended(cell, task),
            _ => {}
        }
        effects
    }

    fn enqueue(&mut self, cell: &Cell, task: &str) {
        let Some((job, _)) = cell.locate(task) else { return };
        self.sequence += 1;
        let key = match (self.kind, job.spec.deadline_ms) {
            (SchedulerKind::NoInterference, 0) => u64::MAX,
            (SchedulerKind::NoInterference, limit_ms) => job.at_ms + limit_ms,
            _ => self.sequence,
        };
        self.waiting.insert((!job.spec.urgent, key, task.to_owned()));
    }

    fn ended(&mut self, cell: &Cell, task: &str) {
        self.live_by_worker.values_mut().for_each(|tasks| tasks.retain(|(held, _)| held != task));
        let Some((job, index)) = cell.locate(task) else { return };
        let view = &job.tasks[index];
        if view.failures + view.overruns >= MAX_FAILURES {
            self.failed.push(job.spec.id.clone());
        } else if matches!(view.state, TaskState::Waiting { .. }) {
            self.enqueue(cell, task);
        }
    }

    /// Processes a worker's usage report.
    pub fn observe(&mut self, now_ms: u64, cell: &Cell, worker: WorkerId, report: &UsageReport) {
        match self.kind {
            SchedulerKind::Agatesill => self.policy.observe(now_ms, cell, worker, report),
            SchedulerKind::Unmeasured => {
                let without_services = UsageReport { services: Vec::new(), ..report.clone() };
                self.policy.observe(now_ms, cell, worker, &without_services);
            }
            _ => {
                if report.services.iter().any(|service| service.pressure_percent > 100) {
                    self.violating_workers.insert(worker);
                }
            }
        }
    }

    /// Plans changes to the cell.
    pub fn plan(&mut self, now_ms: u64, cell: &Cell, truth: &GroundTruth<'_>) -> Plan {
        if self.uses_batch_policy() {
            return self.policy.plan(now_ms, cell, &self.config);
        }
        let mut plan = Plan::default();
        for job in std::mem::take(&mut self.failed) {
            plan.deltas
                .push(CellDelta::Fail { job, reason: "the task failed too many times".to_owned() });
        }
        let violating_workers = std::mem::take(&mut self.violating_workers);
        if self.kind == SchedulerKind::EvictNewest {
            for worker in violating_workers {
                let newest = self.live_by_worker.get_mut(&worker).and_then(Vec::pop);
                if let Some((task, attempt)) = newest {
                    let reason = EvictReason::Promise;
                    plan.deltas.push(CellDelta::Evict { task, attempt, reason });
                }
            }
        }
        if self.kind == SchedulerKind::Oracle {
            self.oracle_throttles(cell, truth, &mut plan);
        }
        self.place(cell, truth, &mut plan);
        plan
    }

    fn place(&mut self, cell: &Cell, truth: &GroundTruth<'_>, plan: &mut Plan) {
        let mut free: BTreeMap<WorkerId, Resources> = cell
            .workers()
            .filter(|worker| worker.is_schedulable())
            .map(|worker| (worker.spec.id, worker.free()))
            .collect();
        let mut misses = 0;
        let mut placed = 0;
        let mut unplaceable: Vec<Resources> = Vec::new();
        let mut added_by_worker: BTreeMap<WorkerId, Vec<(usize, f64)>> = BTreeMap::new();
        let mut to_remove = Vec::new();
        for entry in &self.waiting {
            if misses >= MAX_MISSES || placed >= MAX_PLACEMENTS_PER_PLAN {
                break;
            }
            let Some((job, index)) = cell.locate(&entry.2) else { continue };
            let waits = matches!(job.tasks[index].state, TaskState::Waiting { .. });
            if !waits {
                to_remove.push(entry.clone());
                continue;
            }
            let need = job.spec.need;
            if !job.is_runnable() || unplaceable.iter().any(|size| need.holds(size)) {
                misses += 1;
                continue;
            }
            let Some(worker) = self.choose(&free, &need, &entry.2, truth, &added_by_worker) else {
                misses += 1;
                if self.kind != SchedulerKind::Oracle {
                    unplaceable.push(need);
                }
                continue;
            };
            if let Some(free) = free.get_mut(&worker) {
                *free = free.minus(&need);
            }
            if self.kind == SchedulerKind::Oracle {
                added_by_worker.entry(worker).or_default().push(truth.class_use(&entry.2));
            }
            placed += 1;
            to_remove.push(entry.clone());
            plan.deltas.push(CellDelta::Place {
                task: entry.2.clone(),
                attempt: job.tasks[index].attempt + 1,
                worker,
                reserve: need,
            });
        }
        for entry in to_remove {
            self.waiting.remove(&entry);
        }
    }

    fn choose(
        &self,
        free: &BTreeMap<WorkerId, Resources>,
        need: &Resources,
        task: &str,
        truth: &GroundTruth<'_>,
        added_by_worker: &BTreeMap<WorkerId, Vec<(usize, f64)>>,
    ) -> Option<WorkerId> {
        let mut candidates =
            free.iter().filter(|(_, free)| free.holds(need)).map(|(id, free)| (*id, free));
        match self.kind {
            SchedulerKind::BestFit | SchedulerKind::NoInterference => {
                candidates.min_by_key(|(id, free)| (free.cpu_milli, *id)).map(|(id, _)| id)
            }
            SchedulerKind::Oracle => candidates
                .map(|(id, _)| {
                    let mut added = added_by_worker.get(&id).cloned().unwrap_or_default();
                    let before = truth.worst_tail_ratio_ln(id, &added);
                    added.push(truth.class_use(task));
                    let after = truth.worst_tail_ratio_ln(id, &added);
                    (id, after, after - before)
                })
                .filter(|(_, after, _)| *after <= ORACLE_MAX_TAIL_RATIO_LN)
                .min_by(|a, b| (a.1 + a.2).total_cmp(&(b.1 + b.2)))
                .map(|(id, _, _)| id),
            _ => candidates.next().map(|(id, _)| id),
        }
    }

    /// Throttles the batch task with the most interference on each worker where a service is close
    /// to its latency objective, and lifts throttles once the ratio stays low without them.
    fn oracle_throttles(&mut self, cell: &Cell, truth: &GroundTruth<'_>, plan: &mut Plan) {
        for worker in cell.workers() {
            let id = worker.spec.id;
            let held: Vec<_> =
                self.throttled.iter().filter(|(on, _, _)| *on == id).cloned().collect();
            let now = truth.worst_tail_ratio_ln(id, &[]);
            if now > ORACLE_THROTTLE_TAIL_RATIO_LN {
                let candidates = worker.live.iter().filter(|task| {
                    truth.is_batch(task) && !held.iter().any(|(_, held, _)| held == *task)
                });
                let worst = candidates
                    .max_by(|a, b| truth.contribution(id, a).total_cmp(&truth.contribution(id, b)));
                if let Some(task) = worst
                    && let Some((job, index)) = cell.locate(task)
                {
                    let attempt = job.tasks[index].attempt;
                    self.throttled.insert((id, task.clone(), attempt));
                    let (task, percent) = (task.clone(), THROTTLE_PERCENT);
                    plan.throttles.push(Throttle { worker: id, task, attempt, percent });
                }
                continue;
            }
            for entry in held {
                if !worker.live.contains(&entry.1) {
                    self.throttled.remove(&entry);
                } else if now + 0.75 * truth.contribution(id, &entry.1) < ORACLE_MAX_TAIL_RATIO_LN {
                    self.throttled.remove(&entry);
                    let (worker, task, attempt) = entry;
                    plan.throttles.push(Throttle { worker, task, attempt, percent: 100 });
                    break;
                }
            }
        }
    }
}
