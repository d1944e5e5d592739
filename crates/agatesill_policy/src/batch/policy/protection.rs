//! Keeping a service's promise against the batch tasks beside it.
//!
//! Load pattern: a service's load rises, or a noisy task lands beside it, and the worker's
//! measurement shows it seconds later. Without it the promise stays missed until the task ends;
//! evicting the newest task instead hits whatever came last. docs/BATCH.md gives the figures of
//! `noisy-neighbour`.
//!
//! First the tasks that hurt most are throttled, which costs no progress and needs no commit.
//! When a measurement taken after that still shows the promise missed, the task whose removal
//! helps most per lost work is saved and evicted, within its profile's budget.

use super::super::{EvictReason, TaskId, WorkerId};

/// Tail, as a logarithm of its ratio to the promise, from which a worker is relieved: 0.95 of
/// the promise, since the measurement is seconds old when it is seen.
pub const AT_RISK: f64 = -0.05;

/// Tail that relief aims for: 0.8 of the promise.
pub const RELIEVED: f64 = -0.22;

/// Tail below which a throttle may be lifted: 0.7 of the promise. The gap to `AT_RISK` is the
/// hysteresis: with less, a throttle that works lifts itself.
pub const CALM: f64 = -0.36;

/// A measurement counts as taken after an action when it is this much younger: the time a
/// throttle or stop takes to arrive and to show in a tail.
pub const EFFECT_MS: u64 = 1_500;

/// Highest tail that lifting a throttle may bring about by the model: 0.85 of the promise.
pub const PRESSURE_AFTER_LIFT: f64 = -0.16;

/// Least time between relief and lifting a throttle.
pub const CALM_MS: u64 = 8_000;

/// Time after which a task that is still throttled is moved, since its room earns little.
pub const THROTTLED_MS: u64 = 15_000;

/// Cost of an eviction beyond its lost progress: saving, starting and warming up elsewhere.
pub const RESTART_MS: u64 = 3_000;

/// A task this close to its end is not worth moving.
pub const NEARLY_DONE_MS: u64 = 4_000;

/// Evictions a second over the cell, as a share of its open workers, and the burst: a wave that
/// hits every worker at once takes over ten seconds to evict one task from each.
pub const EVICTIONS_PER_WORKER_S: f64 = 0.08;

/// Most evictions at one time.
pub const EVICTION_BURST: f64 = 4.0;

/// Least contribution, in logarithms, for which a task is thought to be the cause.
const LEAST_CONTRIBUTION: f64 = 0.01;

/// A batch attempt beside a service at risk.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// The task.
    pub task: TaskId,
    /// How much its presence raises the logarithm of the tail, unthrottled.
    pub contribution: f64,
    /// Share of processor time that it has now.
    pub percent: u32,
    /// Share that its profile leaves it when throttled.
    pub throttle_percent: u32,
    /// Whether its profile allows an eviction now.
    pub may_evict: bool,
    /// Work that an eviction loses.
    pub lost_ms: u64,
    /// Run time likely left.
    pub left_ms: u64,
}

/// What to do about one task.
#[derive(Clone, Debug, PartialEq)]
pub enum Relief {
    /// Set its share of processor time.
    Throttle(TaskId, u32),
    /// Save and move it.
    Evict(TaskId, EvictReason),
}

/// What is remembered of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Guard {
    /// Time of the newest action.
    pub acted_ms: u64,
}

/// Whether the worker's newest measurement shows the effect of the newest action.
pub fn is_settled(guard: &Guard, measured_ms: u64) -> bool {
    guard.acted_ms == 0 || measured_ms >= guard.acted_ms + EFFECT_MS
}

/// Chooses what relieves a worker whose worst service stands at `pressure`; `evictions` bounds
/// how many tasks may be evicted.
pub fn relieve(pressure: f64, suspects: &mut [Suspect], evictions: usize) -> Vec<Relief> {
    let mut wanted = pressure - RELIEVED;
    let mut out = Vec::new();
    suspects.sort_by(|a, b| b.contribution.total_cmp(&a.contribution));
    for suspect in suspects.iter() {
        if wanted <= 0.0 {
            return out;
        }
        let known = suspect.contribution >= LEAST_CONTRIBUTION;
        if suspect.percent > suspect.throttle_percent && (known || out.is_empty()) {
            let saved = f64::from(suspect.percent - suspect.throttle_percent) / 100.0;
            wanted -= suspect.contribution * saved;
            out.push(Relief::Throttle(suspect.task.clone(), suspect.throttle_percent));
        }
    }
    if !out.is_empty() {
        return out;
    }
    let gain =
        |suspect: &Suspect| suspect.contribution.max(0.0) / (suspect.lost_ms + RESTART_MS) as f64;
    suspects.sort_by(|a, b| gain(b).total_cmp(&gain(a)));
    let movable = |suspect: &&Suspect| suspect.may_evict && suspect.left_ms > NEARLY_DONE_MS;
    for suspect in suspects.iter().filter(movable).take(evictions) {
        if wanted <= 0.0 {
            break;
        }
        wanted -= suspect.contribution * f64::from(suspect.percent) / 100.0;
        out.push(Relief::Evict(suspect.task.clone(), EvictReason::Promise));
    }
    out
}

/// A worker's identity with the state of its guard.
pub type Guards = std::collections::BTreeMap<WorkerId, Guard>;
