//! Long-running tasks without a run on a fleet of 1,100 workers whose planner is starved.

mod fleet_support;

use fleet_support::full_fleet::{WORKERS, filling, submit_long_running, urgent};
use fleet_support::simulation::{Conditions, Faults, S, Simulation};

/// Seeds of the faults of orders.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Time for the start of the long-running tasks, before other work arrives.
const SETTLING_US: u64 = 8 * S;

/// Time for which other work arrives.
const LOADED_US: u64 = 25 * S;

/// Interval at which urgent and best-effort jobs are submitted.
const TICK_US: u64 = S / 20;

/// Urgent jobs submitted at once, and as many best-effort jobs.
const JOBS_PER_TICK: u64 = 2;

/// Simulates 25 seconds of a fleet whose long-running tasks reserve nine tenths of the CPU, while
/// more urgent work arrives than the rest can carry. The faults begin with that work.
fn simulate(conditions: Conditions, faults: Faults) -> Simulation {
    let mut simulation = Simulation::new(WORKERS, conditions);
    submit_long_running(&mut simulation);
    let begin_us = simulation.now_us + SETTLING_US;
    simulation.advance_until(begin_us);
    simulation.faults = faults;
    for tick in 0..LOADED_US / TICK_US {
        for number in tick * JOBS_PER_TICK..(tick + 1) * JOBS_PER_TICK {
            simulation.submit(urgent(number + 1));
            simulation.submit(filling(number + 1));
        }
        simulation.advance_until(begin_us + (tick + 1) * TICK_US);
    }
    simulation
}

fn assert_none_missing(simulation: &Simulation) {
    let states = &simulation.states;
    let missing = &simulation.missing;
    assert!(missing.is_empty(), "{} missing, states {states:?}: {}", missing.len(), missing[0]);
}

/// A planner with turns of 100 ms and a store that answers within 300 ms.
const SLOW: Conditions = Conditions {
    turn_ms: 100,
    commit_ms: 300,
    store_outage_ms: (0, 0),
    planner_stops_ms: u64::MAX / 4_000,
};

/// Guards against a simulation that reports missing tasks without a fault.
#[test]
fn long_running_tasks_return_after_preemption_with_a_slow_planner() {
    let simulation = simulate(SLOW, Faults::default());
    assert!(simulation.fleet.counts().preempted > 0);
    assert_none_missing(&simulation);
}

/// Guards against long-running tasks that wait for capacity held by choices whose records wait.
#[test]
fn long_running_tasks_return_while_records_are_stored_slowly() {
    let conditions = Conditions { turn_ms: 400, commit_ms: 500, ..SLOW };
    assert_none_missing(&simulate(conditions, Faults::default()));
}

/// Guards against starts of long-running tasks whose records wait behind those of other jobs, which
/// a successor has read before.
#[test]
fn long_running_tasks_return_after_a_takeover_while_records_are_stored_slowly() {
    let conditions = Conditions { commit_ms: 600, planner_stops_ms: 22_000, ..SLOW };
    let faults = Faults { excuses_takeover: true, ..Faults::default() };
    assert_none_missing(&simulate(conditions, faults));
}

/// Guards against long-running tasks that wait for many times the age of the answers after a start
/// that was lost.
#[test]
fn long_running_tasks_return_after_lost_starts_while_answers_wait() {
    for seed in SEEDS {
        let faults = Faults { seed, answers_per_turn: 400, lost_permille: 20, ..Faults::default() };
        assert_none_missing(&simulate(SLOW, faults));
    }
}

/// Guards against long-running tasks that wait for many times the age of the answers after a start
/// that was refused.
#[test]
fn long_running_tasks_return_after_refused_starts_while_answers_wait() {
    for seed in SEEDS {
        let faults =
            Faults { seed, answers_per_turn: 300, refused_permille: 20, ..Faults::default() };
        assert_none_missing(&simulate(SLOW, faults));
    }
}
