//! Starvation of long-running and urgent tasks on a fleet of 1,100 workers that is nearly full.

mod fleet_support;

use fleet_support::full_fleet::{WORKERS, filling, submit_long_running, urgent};
use fleet_support::simulation::{Conditions, S, Simulation};

/// Simulates `seconds` of a nearly full fleet. Urgent and batch jobs are submitted all the time,
/// and some workers leave at second 29. In the tests the store is unavailable from second 31 to
/// 35.5.
fn simulate(conditions: Conditions, seconds: u64) -> Simulation {
    let mut simulation = Simulation::new(WORKERS, conditions);
    submit_long_running(&mut simulation);
    let begin_us = simulation.now_us;
    simulation.advance_until(begin_us + 8 * S);
    let mut urgents = 0;
    for tick in 0..seconds * 20 {
        let at_us = begin_us + 8 * S + tick * S / 20;
        urgents += 1;
        simulation.submit(urgent(urgents));
        simulation.submit(filling(urgents * 2));
        simulation.submit(filling(urgents * 2 + 1));
        if at_us == 29 * S {
            simulation.announce_leaving(0, 40, 4 * S);
        }
        simulation.advance_until(at_us + S / 20);
    }
    simulation
}

const NO_FAULTS: Conditions = Conditions {
    turn_ms: 25,
    commit_ms: 60,
    store_outage_ms: (0, 0),
    planner_stops_ms: u64::MAX / 4_000,
};

/// Guards against long-running tasks that a successor assumes to run on workers that have left.
#[test]
fn long_running_tasks_restart_after_a_takeover_during_an_outage() {
    let conditions =
        Conditions { store_outage_ms: (31_000, 35_500), planner_stops_ms: 32_100, ..NO_FAULTS };
    let simulation = simulate(conditions, 35);
    assert!(
        simulation.missing.is_empty(),
        "{} missing: {:?}",
        simulation.missing.len(),
        &simulation.missing[0]
    );
}

/// Guards against long-running tasks that a successor assumes to run on workers that have left,
/// with a planner whose turns take four times as long.
#[test]
fn long_running_tasks_restart_after_a_takeover_with_slow_planning() {
    let conditions = Conditions {
        turn_ms: 100,
        commit_ms: 200,
        store_outage_ms: (31_000, 35_500),
        planner_stops_ms: 32_100,
    };
    let simulation = simulate(conditions, 35);
    assert!(
        simulation.missing.is_empty(),
        "{} missing: {:?}",
        simulation.missing.len(),
        &simulation.missing[0]
    );
}
