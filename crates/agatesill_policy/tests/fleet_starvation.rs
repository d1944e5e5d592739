//! Lasting and urgent tasks that wait without end on a fleet of 1,100 workers that is nearly full.

mod fleet_support;

use agatesill_policy::fleet::{JobSpec, Step};
use fleet_support::simulation::{Conditions, S, World};
use fleet_support::{job, step};

const WORKERS: usize = 1_100;

/// Part of the processors that lasting tasks reserve.
const RESERVED: f64 = 0.9;

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

/// Plays `seconds` of a nearly full fleet: urgent and batch jobs all the while, workers that leave at
/// second 29, a store that is away from 31 to 35.5.
fn play(conditions: Conditions, seconds: u64) -> World {
    let mut world = World::new(WORKERS, conditions);
    let capacity_milli: f64 = WORKERS as f64 * 20_000.0;
    let mut reserved_milli = 0.0;
    let mut number = 0;
    while reserved_milli < capacity_milli * RESERVED {
        let spec = lasting(number);
        reserved_milli += 24.0 * spec.steps[0].need.cpu_milli as f64;
        world.submit(spec);
        number += 1;
    }
    let begin_us = world.now_us;
    world.pass_until(begin_us + 8 * S);
    let mut urgents = 0;
    for tick in 0..seconds * 20 {
        let at_us = begin_us + 8 * S + tick * S / 20;
        urgents += 1;
        world.submit(urgent(urgents));
        world.submit(filling(urgents * 2));
        world.submit(filling(urgents * 2 + 1));
        if at_us == 29 * S {
            world.leave(0, 40, 4 * S);
        }
        world.pass_until(at_us + S / 20);
    }
    world
}

const CALM: Conditions = Conditions {
    turn_ms: 25,
    commit_ms: 60,
    store_away_ms: (0, 0),
    planner_stops_ms: u64::MAX / 4_000,
};

/// Guards against lasting tasks of workers that left, which a successor takes for running.
#[test]
fn lasting_tasks_return_after_a_takeover_amid_an_outage() {
    let conditions =
        Conditions { store_away_ms: (31_000, 35_500), planner_stops_ms: 32_100, ..CALM };
    let world = play(conditions, 35);
    assert!(world.missing.is_empty(), "{} missing: {:?}", world.missing.len(), &world.missing[0]);
}

/// Guards against the same with a planner whose turns take four times as long.
#[test]
fn lasting_tasks_return_after_a_takeover_when_planning_is_dear() {
    let conditions = Conditions {
        turn_ms: 100,
        commit_ms: 200,
        store_away_ms: (31_000, 35_500),
        planner_stops_ms: 32_100,
    };
    let world = play(conditions, 35);
    assert!(world.missing.is_empty(), "{} missing: {:?}", world.missing.len(), &world.missing[0]);
}
