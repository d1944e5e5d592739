//! Starvation of long-running and urgent tasks on a fleet of 1,100 workers that is nearly full.

mod fleet_support;

use agatesill_policy::fleet::{JobSpec, Step};
use fleet_support::simulation::{Conditions, S, Simulation};
use fleet_support::{job, step};

const WORKERS: usize = 1_100;

/// Fraction of the CPU that long-running tasks reserve.
const RESERVED_SHARE: f64 = 0.9;

fn lasting(number: usize) -> JobSpec {
    let mut watch = step(24);
    watch.is_lasting = true;
    watch.image = format!("watch{}", number % 16);
    watch.target_ms = 100;
    watch.may_miss = Some(2);
    watch.need.cpu_milli = 1_900 + (number as u64 * 13 % 9) * 400;
    watch.need.memory_mb = 4_000;
    job(&format!("watch-{number}"), vec![watch])
}

fn urgent(number: u64) -> JobSpec {
    let mut price: Step = step(6 + (number * 5 % 15) as u32);
    price.need.cpu_milli = 1_200 + (number * 7 % 11) * 500;
    price.need.memory_mb = 3_000;
    price.estimate_ms = 640;
    let second = Step { after: vec![0], ..price.clone() };
    let steps = if number % 5 < 3 { vec![price, second] } else { vec![price] };
    job(&format!("price-{number}"), steps)
}

fn filling(number: u64) -> JobSpec {
    let mut bill = step(10 + (number * 11 % 40) as u32);
    bill.fills = true;
    bill.saves_progress = true;
    bill.image = format!("bill{}", number % 30);
    bill.need.cpu_milli = 1_800;
    bill.need.memory_mb = 1_200;
    bill.estimate_ms = 2_200;
    let second = Step { after: vec![0], ..bill.clone() };
    let mut spec = job(&format!("bill-{number}"), vec![bill, second]);
    spec.queue = "month-end".to_owned();
    spec.terms.priority = 2;
    spec
}

/// Simulates `seconds` of a nearly full fleet. Urgent and batch jobs are submitted all the time,
/// and some workers leave at second 29. In the tests the store is unavailable from second 31 to
/// 35.5.
fn simulate(conditions: Conditions, seconds: u64) -> Simulation {
    let mut simulation = Simulation::new(WORKERS, conditions);
    let capacity_milli: f64 = WORKERS as f64 * 20_000.0;
    let mut reserved_milli = 0.0;
    let mut number = 0;
    while reserved_milli < capacity_milli * RESERVED_SHARE {
        let spec = lasting(number);
        reserved_milli += 24.0 * spec.steps[0].need.cpu_milli as f64;
        simulation.submit(spec);
        number += 1;
    }
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
