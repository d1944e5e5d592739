//! Choice of a worker for one task.
//!
//! Services and batch tasks of many sizes share workers. Some workers have accelerators, and racks
//! fail as a whole. First fit would place tasks next to the services that they slow down, fragment
//! the free capacity into pieces too small for large tasks, and lose a whole job with one rack.
//! docs/BATCH.md has the results of the `noisy-neighbour` and `rack-loss` benchmarks.

use super::super::{Resources, WorkerId};
use super::interference::InterferenceModel;
use super::workers::{WorkerDirectory, WorkerLoad};

/// Number of workers considered from each end of the order by free capacity. Sixteen from each end
/// find a worker whose score is within a few percent of a full search, at a cost that does not
/// depend on the number of workers.
pub const CANDIDATES_PER_END: usize = 16;

/// Maximum predicted pressure after a placement: 0.85 of the latency target. The rest is a margin
/// for the model's error and a rise of the load.
pub const MAX_PRESSURE_AFTER_PLACEMENT: f64 = -0.16;

/// Pressure above which a placement adds to the score: 0.6 of the latency target.
const PRESSURE_COST_THRESHOLD: f64 = -0.5;

/// Factor of a prediction's standard deviation that is added to the pressure. It makes placements
/// next to an unknown service cautious, but does not rule them out.
const DEVIATION_WEIGHT: f64 = 0.5;

/// Uncertainty of the added pressure above which a placement counts as exploration.
pub const EXPLORATION_DEVIATION: f64 = 0.25;

/// Weights of the terms of a placement score.
const WEIGHT_PRESSURE: f64 = 4.0;
const WEIGHT_ADDED_PRESSURE: f64 = 1.0;
const WEIGHT_IMBALANCE: f64 = 0.3;
const WEIGHT_FREE_CPU: f64 = 0.2;
const WEIGHT_RACK: f64 = 0.5;
const WEIGHT_ZONE: f64 = 0.3;
const WEIGHT_ACCELERATOR: f64 = 2.0;

/// A task to place.
pub struct PlacementRequest<'a> {
    /// Resources to reserve.
    pub reserve: Resources,
    /// Index of its class; `None` for latency-critical tasks.
    pub class: Option<usize>,
    /// Whether to avoid a worker, for example because the job failed there.
    pub avoid: &'a dyn Fn(WorkerId) -> bool,
    /// Number of the job's live tasks by rack.
    pub racks: &'a [(u32, u32)],
    /// Number of the job's live tasks by zone.
    pub zones: &'a [(u32, u32)],
    /// Whether to use workers that are held for another task.
    pub ignores_holds: bool,
    /// Identifier of the task, which may use the worker that is held for it.
    pub task: &'a str,
}

/// Why no worker was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementError {
    /// No schedulable worker has enough free capacity.
    InsufficientCapacity,
    /// On the workers with enough free capacity, a service's latency target would be at risk.
    Promise,
    /// The workers with enough free capacity are excluded: the job failed there, they are held for
    /// another task, or they are limited in their starts.
    Excluded,
}

/// A chosen worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChosenWorker {
    pub worker: WorkerId,
    /// Whether the interference on this worker is uncertain.
    pub explores: bool,
}

/// Chooses the worker with the lowest score among a bounded number of candidates.
pub fn choose_worker(
    request: &PlacementRequest<'_>,
    workers: &WorkerDirectory,
    interference: &InterferenceModel,
    may_explore: &dyn Fn(WorkerId) -> bool,
    scratch: &mut Vec<WorkerId>,
) -> Result<ChosenWorker, PlacementError> {
    workers.candidates(&request.reserve, CANDIDATES_PER_END, scratch);
    let mut best: Option<(f64, ChosenWorker)> = None;
    let mut refused = PlacementError::InsufficientCapacity;
    for id in scratch.iter().copied() {
        let Some(load) = workers.load(id) else { continue };
        let held = load.held_for.as_ref().is_some_and(|task| task != request.task);
        if (held && !request.ignores_holds) || (request.avoid)(id) {
            refused = refused.max(PlacementError::Excluded);
            continue;
        }
        let Some((score, explores)) = score(request, id, load, workers, interference) else {
            refused = PlacementError::Promise;
            continue;
        };
        if explores && !may_explore(id) {
            refused = PlacementError::Promise;
            continue;
        }
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, ChosenWorker { worker: id, explores }));
        }
    }
    best.map(|(_, choice)| choice).ok_or(refused)
}

/// Score of a worker for the task, where lower is better, and whether the placement is an
/// exploration. `None` if a service's latency target would be at risk.
fn score(
    request: &PlacementRequest<'_>,
    id: WorkerId,
    load: &WorkerLoad,
    workers: &WorkerDirectory,
    interference: &InterferenceModel,
) -> Option<(f64, bool)> {
    let mut score = 0.0;
    let mut explores = false;
    if let Some(class) = request.class {
        let cpus = request.reserve.cpu_milli as f64 / 1_000.0;
        for service in &load.services {
            let slowdown = interference.slowdown(&service.service, service.load, class);
            let current = interference.predict(&service.service, service.load, &load.classes);
            let added = slowdown.mean * cpus;
            let uncertainty = slowdown.deviation * cpus;
            let after = current
                + service.residual
                + added.max(0.0)
                + DEVIATION_WEIGHT * uncertainty.min(0.6);
            if after > MAX_PRESSURE_AFTER_PLACEMENT && added + DEVIATION_WEIGHT * uncertainty > 0.01
            {
                return None;
            }
            explores |= uncertainty > EXPLORATION_DEVIATION
                && current + service.residual + 2.0 * uncertainty > 0.0;
            score += WEIGHT_PRESSURE * (after - PRESSURE_COST_THRESHOLD).max(0.0).powi(2);
            score += WEIGHT_ADDED_PRESSURE * added.max(0.0);
        }
    }
    let free = workers.free(id)?;
    let total = workers.total();
    let remaining = free.minus(&request.reserve);
    let cpu_average = total.cpu_milli as f64 / workers.schedulable_count().max(1) as f64;
    let cpu_remaining = remaining.cpu_milli as f64 / cpu_average.max(1.0);
    let memory_average = total.memory_mb as f64 / workers.schedulable_count().max(1) as f64;
    let memory_remaining = remaining.memory_mb as f64 / memory_average.max(1.0);
    score += WEIGHT_IMBALANCE * (cpu_remaining - memory_remaining).abs()
        + WEIGHT_FREE_CPU * cpu_remaining;
    score += WEIGHT_RACK * share(request.racks, load.rack);
    score += WEIGHT_ZONE * share(request.zones, load.zone);
    if load.has_accelerators && request.reserve.accelerators == 0 {
        score += WEIGHT_ACCELERATOR;
    }
    Some((score, explores))
}

/// Share of the job's live tasks that are in this rack or zone.
fn share(counts: &[(u32, u32)], place: u32) -> f64 {
    let all: u32 = counts.iter().map(|(_, count)| count).sum();
    let here = counts.iter().find(|(at, _)| *at == place).map_or(0, |(_, count)| *count);
    f64::from(here) / f64::from(all.max(1))
}
