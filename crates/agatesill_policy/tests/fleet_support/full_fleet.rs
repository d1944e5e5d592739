//! Load of a nearly full fleet of 1,100 workers: long-running tasks that reserve nine tenths of the
//! CPU, and urgent and best-effort jobs.

use agatesill_policy::fleet::{JobSpec, Step};

use super::simulation::Simulation;
use super::{job, step};

/// Number of workers.
pub const WORKERS: usize = 1_100;

/// Fraction of the CPU that long-running tasks reserve.
const RESERVED_SHARE: f64 = 0.9;

/// Submits long-running jobs up to [`RESERVED_SHARE`].
pub fn submit_long_running(simulation: &mut Simulation) {
    let capacity_milli: f64 = WORKERS as f64 * 20_000.0;
    let mut reserved_milli = 0.0;
    let mut number = 0;
    while reserved_milli < capacity_milli * RESERVED_SHARE {
        let spec = lasting(number);
        reserved_milli += 24.0 * spec.steps[0].need.cpu_milli as f64;
        simulation.submit(spec);
        number += 1;
    }
}

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

/// An urgent job of one or two steps.
pub fn urgent(number: u64) -> JobSpec {
    let mut price: Step = step(6 + (number * 5 % 15) as u32);
    price.need.cpu_milli = 1_200 + (number * 7 % 11) * 500;
    price.need.memory_mb = 3_000;
    price.estimate_ms = 640;
    let second = Step { after: vec![0], ..price.clone() };
    let steps = if number % 5 < 3 { vec![price, second] } else { vec![price] };
    job(&format!("price-{number}"), steps)
}

/// A best-effort job of two steps.
pub fn filling(number: u64) -> JobSpec {
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
