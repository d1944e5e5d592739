//! The schedulers that a scenario compares: the product's policy and simple baselines.

use std::collections::{BTreeMap, BTreeSet};

use agatesill_policy::prelude::*;

use super::sim::Truth;

/// A scheduler's name and kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerKind {
    /// The product's own policy.
    Agatesill,
    /// First worker with room for the declared size, first come first served.
    FirstFit,
    /// Tightest worker with room for the declared size, first come first served.
    BestFit,
    /// Tightest worker, earliest declared deadline first; knows nothing of interference.
    NoInterference,
    /// The product's policy with the services' measurements kept from it.
    Unaware,
    /// First fit; where a report shows a promise missed, the newest batch task is evicted.
    EvictNewest,
    /// First come first served with the true interference at hand, without any lag.
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
            SchedulerKind::Unaware => "agatesill_unmeasured",
            SchedulerKind::EvictNewest => "evict_newest",
            SchedulerKind::Oracle => "oracle",
        }
    }
}

/// Placements in one plan.
const PLACEMENTS_PER_PLAN: usize = 256;

/// Waiting tasks that a baseline tries before it gives up for this round.
const MISSES: usize = 64;

/// Failures of one task after which a baseline gives its job up.
const MOST_FAILURES: u32 = 8;

/// Tail, as a logarithm, that the oracle allows a placement to bring about.
const ORACLE_LIMIT: f64 = -0.1;

/// Tail, as a logarithm, above which the oracle throttles.
const ORACLE_RISK: f64 = -0.01;

/// Share that a throttled task keeps.
const THROTTLE_PERCENT: u32 = 25;

/// A scheduler at work.
pub struct Scheduler {
    kind: SchedulerKind,
    policy: BatchPolicy,
    config: BatchConfig,
    waiting: BTreeSet<(bool, u64, TaskId)>,
    sequence: u64,
    newest: BTreeMap<WorkerId, Vec<(TaskId, Attempt)>>,
    missed: BTreeSet<WorkerId>,
    failed: Vec<String>,
    throttled: BTreeSet<(WorkerId, TaskId, Attempt)>,
}

impl Scheduler {
    /// Prepares a scheduler for a cell.
    pub fn new(kind: SchedulerKind, doc: &ConfigDoc, cell: &Cell) -> Self {
        let mut policy = BatchPolicy::default();
        policy.rebuild(0, cell);
        Self {
            kind,
            policy,
            config: BatchConfig::new(doc, PLACEMENTS_PER_PLAN),
            waiting: BTreeSet::new(),
            sequence: 0,
            newest: BTreeMap::new(),
            missed: BTreeSet::new(),
            failed: Vec::new(),
            throttled: BTreeSet::new(),
        }
    }

    fn is_own(&self) -> bool {
        matches!(self.kind, SchedulerKind::Agatesill | SchedulerKind::Unaware)
    }

    /// Applies a committed delta.
    pub fn apply(&mut self, now_ms: u64, cell: &mut Cell, delta: &CellDelta) -> Vec<CellEffect> {
        if self.is_own() {
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
                self.newest.entry(*worker).or_default().push((task.clone(), *attempt));
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
        self.newest.values_mut().for_each(|tasks| tasks.retain(|(held, _)| held != task));
        let Some((job, index)) = cell.locate(task) else { return };
        let view = &job.tasks[index];
        if view.failures + view.overruns >= MOST_FAILURES {
            self.failed.push(job.spec.id.clone());
        } else if matches!(view.state, TaskState::Waiting { .. }) {
            self.enqueue(cell, task);
        }
    }

    /// Takes in a worker's late report.
    pub fn observe(&mut self, now_ms: u64, cell: &Cell, worker: WorkerId, report: &UsageReport) {
        match self.kind {
            SchedulerKind::Agatesill => self.policy.observe(now_ms, cell, worker, report),
            SchedulerKind::Unaware => {
                let blind = UsageReport { services: Vec::new(), ..report.clone() };
                self.policy.observe(now_ms, cell, worker, &blind);
            }
            _ => {
                if report.services.iter().any(|service| service.pressure_percent > 100) {
                    self.missed.insert(worker);
                }
            }
        }
    }

    /// Proposes changes.
    pub fn plan(&mut self, now_ms: u64, cell: &Cell, truth: &Truth<'_>) -> Plan {
        if self.is_own() {
            return self.policy.plan(now_ms, cell, &self.config);
        }
        let mut plan = Plan::default();
        for job in std::mem::take(&mut self.failed) {
            plan.deltas.push(CellDelta::Fail { job, reason: "it failed too often".to_owned() });
        }
        let missed = std::mem::take(&mut self.missed);
        if self.kind == SchedulerKind::EvictNewest {
            for worker in missed {
                let newest = self.newest.get_mut(&worker).and_then(Vec::pop);
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

    fn place(&mut self, cell: &Cell, truth: &Truth<'_>, plan: &mut Plan) {
        let mut free: BTreeMap<WorkerId, Resources> = cell
            .workers()
            .filter(|worker| worker.is_schedulable())
            .map(|worker| (worker.spec.id, worker.free()))
            .collect();
        let mut misses = 0;
        let mut placed = 0;
        let mut full: Vec<Resources> = Vec::new();
        let mut extra: BTreeMap<WorkerId, Vec<(usize, f64)>> = BTreeMap::new();
        let mut gone = Vec::new();
        for entry in &self.waiting {
            if misses >= MISSES || placed >= PLACEMENTS_PER_PLAN {
                break;
            }
            let Some((job, index)) = cell.locate(&entry.2) else { continue };
            let waits = matches!(job.tasks[index].state, TaskState::Waiting { .. });
            if !waits {
                gone.push(entry.clone());
                continue;
            }
            let need = job.spec.need;
            if !job.is_runnable() || full.iter().any(|full| need.holds(full)) {
                misses += 1;
                continue;
            }
            let Some(worker) = self.choose(&free, &need, &entry.2, truth, &extra) else {
                misses += 1;
                if self.kind != SchedulerKind::Oracle {
                    full.push(need);
                }
                continue;
            };
            if let Some(free) = free.get_mut(&worker) {
                *free = free.minus(&need);
            }
            if self.kind == SchedulerKind::Oracle {
                extra.entry(worker).or_default().push(truth.class_use(&entry.2));
            }
            placed += 1;
            gone.push(entry.clone());
            plan.deltas.push(CellDelta::Place {
                task: entry.2.clone(),
                attempt: job.tasks[index].attempt + 1,
                worker,
                reserve: need,
            });
        }
        for entry in gone {
            self.waiting.remove(&entry);
        }
    }

    fn choose(
        &self,
        free: &BTreeMap<WorkerId, Resources>,
        need: &Resources,
        task: &str,
        truth: &Truth<'_>,
        extra: &BTreeMap<WorkerId, Vec<(usize, f64)>>,
    ) -> Option<WorkerId> {
        let mut fits =
            free.iter().filter(|(_, free)| free.holds(need)).map(|(id, free)| (*id, free));
        match self.kind {
            SchedulerKind::BestFit | SchedulerKind::NoInterference => {
                fits.min_by_key(|(id, free)| (free.cpu_milli, *id)).map(|(id, _)| id)
            }
            SchedulerKind::Oracle => fits
                .map(|(id, _)| {
                    let mut added = extra.get(&id).cloned().unwrap_or_default();
                    let before = truth.worst_ln(id, &added);
                    added.push(truth.class_use(task));
                    let after = truth.worst_ln(id, &added);
                    (id, after, after - before)
                })
                .filter(|(_, after, _)| *after <= ORACLE_LIMIT)
                .min_by(|a, b| (a.1 + a.2).total_cmp(&(b.1 + b.2)))
                .map(|(id, _, _)| id),
            _ => fits.next().map(|(id, _)| id),
        }
    }

    /// Slows the worst neighbours of a service at risk at once, and lets them go when it is calm.
    fn oracle_throttles(&mut self, cell: &Cell, truth: &Truth<'_>, plan: &mut Plan) {
        for worker in cell.workers() {
            let id = worker.spec.id;
            let held: Vec<_> =
                self.throttled.iter().filter(|(on, _, _)| *on == id).cloned().collect();
            let now = truth.worst_ln(id, &[]);
            if now > ORACLE_RISK {
                let offers = worker.live.iter().filter(|task| {
                    truth.is_batch(task) && !held.iter().any(|(_, held, _)| held == *task)
                });
                let worst = offers
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
                } else if now + 0.75 * truth.contribution(id, &entry.1) < ORACLE_LIMIT {
                    self.throttled.remove(&entry);
                    let (worker, task, attempt) = entry;
                    plan.throttles.push(Throttle { worker, task, attempt, percent: 100 });
                    break;
                }
            }
        }
    }
}
