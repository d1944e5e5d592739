//! Protection of a service's latency target against the batch tasks on the same worker.
//!
//! A service's load can rise, or a task with high interference can start on its worker, and the
//! worker's measurement shows it only seconds later. Without mitigation, the target is missed until
//! the task ends. Evicting the newest task instead would hit whichever task came last.
//! docs/BATCH.md has the results of the `noisy-neighbour` benchmark.
//!
//! The tasks with the largest contribution are throttled first, which loses no progress and needs
//! no commit. If a measurement taken after that still misses the target, the task whose removal
//! helps most per lost work is checkpointed and evicted, within the eviction budget of its profile.

use super::super::{EvictReason, TaskId, WorkerId};

/// Pressure above which a worker is mitigated: a tail latency of 0.95 of the target, because a
/// measurement is seconds old when it arrives. Pressure is the natural logarithm of the ratio of
/// tail latency to target.
pub const AT_RISK_PRESSURE: f64 = -0.05;

/// Pressure that a mitigation aims for: 0.8 of the target.
pub const TARGET_PRESSURE: f64 = -0.22;

/// Pressure below which a throttle may be lifted: 0.7 of the target. The gap to
/// [`AT_RISK_PRESSURE`] is the hysteresis; with a smaller gap, the effect of a throttle would lift
/// the throttle itself.
pub const LIFT_THROTTLE_PRESSURE: f64 = -0.36;

/// Minimum time between an action and a measurement that shows its effect. A throttle or stop takes
/// this long to reach the worker and to affect the tail latency.
pub const EFFECT_DELAY_MS: u64 = 1_500;

/// Maximum pressure predicted by the model after a throttle is lifted: 0.85 of the target.
pub const MAX_PRESSURE_AFTER_LIFT: f64 = -0.16;

/// Minimum time between a throttle and a measurement that may lift it.
pub const MIN_THROTTLE_MS: u64 = 8_000;

/// Time after which a task that is still throttled is moved, since it makes little use of its
/// reservation.
pub const MAX_THROTTLE_MS: u64 = 15_000;

/// Cost of an eviction in addition to the lost progress: the checkpoint, the start on another
/// worker and the warm-up.
pub const RESTART_COST_MS: u64 = 3_000;

/// Minimum remaining run time for an eviction. A task closer to its end is not worth moving.
pub const MIN_REMAINING_MS: u64 = 4_000;

/// Maximum evictions per second in the cell, per schedulable worker. With the burst, an overload of
/// all workers at once takes over ten seconds to evict one task from each.
pub const MAX_EVICTIONS_PER_WORKER_S: f64 = 0.08;

/// Maximum number of evictions at one time.
pub const EVICTION_BURST: f64 = 4.0;

/// Minimum contribution to the pressure for which a task is considered a cause.
const MIN_CONTRIBUTION: f64 = 0.01;

/// A batch attempt on the worker of a service at risk.
#[derive(Clone, Debug)]
pub struct MitigationCandidate {
    pub task: TaskId,
    /// Pressure that the attempt adds when it is not throttled.
    pub contribution: f64,
    /// Its current share of CPU time, in percent.
    pub percent: u32,
    /// Share of CPU time that its profile leaves it when throttled, in percent.
    pub throttle_percent: u32,
    /// Whether its profile allows an eviction now.
    pub may_evict: bool,
    /// Estimated work that an eviction loses.
    pub lost_ms: u64,
    /// Estimated remaining run time.
    pub remaining_ms: u64,
}

/// An action on one task.
#[derive(Clone, Debug, PartialEq)]
pub enum Mitigation {
    /// Sets its share of CPU time, in percent.
    Throttle(TaskId, u32),
    /// Checkpoints and evicts it.
    Evict(TaskId, EvictReason),
}

/// State of the mitigations on one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct MitigationState {
    /// Time of the newest action; 0 before the first.
    pub last_action_ms: u64,
}

/// Whether the worker's newest measurement shows the effect of the newest action.
pub fn is_effect_measured(state: &MitigationState, measured_ms: u64) -> bool {
    state.last_action_ms == 0 || measured_ms >= state.last_action_ms + EFFECT_DELAY_MS
}

/// Chooses the mitigations for a worker whose worst service has this pressure. `evictions` is the
/// maximum number of tasks to evict.
pub fn choose_mitigations(
    pressure: f64,
    candidates: &mut [MitigationCandidate],
    evictions: usize,
) -> Vec<Mitigation> {
    let mut excess = pressure - TARGET_PRESSURE;
    let mut mitigations = Vec::new();
    candidates.sort_by(|a, b| b.contribution.total_cmp(&a.contribution));
    for candidate in candidates.iter() {
        if excess <= 0.0 {
            return mitigations;
        }
        let known = candidate.contribution >= MIN_CONTRIBUTION;
        if candidate.percent > candidate.throttle_percent && (known || mitigations.is_empty()) {
            let saved = f64::from(candidate.percent - candidate.throttle_percent) / 100.0;
            excess -= candidate.contribution * saved;
            mitigations
                .push(Mitigation::Throttle(candidate.task.clone(), candidate.throttle_percent));
        }
    }
    if !mitigations.is_empty() {
        return mitigations;
    }
    let benefit = |candidate: &MitigationCandidate| {
        candidate.contribution.max(0.0) / (candidate.lost_ms + RESTART_COST_MS) as f64
    };
    candidates.sort_by(|a, b| benefit(b).total_cmp(&benefit(a)));
    let is_movable = |candidate: &&MitigationCandidate| {
        candidate.may_evict && candidate.remaining_ms > MIN_REMAINING_MS
    };
    for candidate in candidates.iter().filter(is_movable).take(evictions) {
        if excess <= 0.0 {
            break;
        }
        excess -= candidate.contribution * f64::from(candidate.percent) / 100.0;
        mitigations.push(Mitigation::Evict(candidate.task.clone(), EvictReason::Promise));
    }
    mitigations
}

/// Mitigation state of each worker.
pub type MitigationStates = std::collections::BTreeMap<WorkerId, MitigationState>;
