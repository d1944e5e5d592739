//! Workers that can take a task and are hidden from its search by others that can't.

mod fleet_support;

use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{OrderOutcome, Step, WorkerEntry};
use fleet_support::{Harness, entry, job, step};

/// More workers than a search examines.
const TIGHT_WORKERS: usize = 140;

const EMPTY_WORKERS: usize = 10;

/// A fleet in which most workers have capacity for one task of four cores, and few for more.
fn fleet_with_tight_workers() -> Harness {
    let entries = (0..TIGHT_WORKERS + EMPTY_WORKERS).map(|position| WorkerEntry {
        address: format!("10.0.{}.{}:80", position / 250, position % 250),
        capacity: Resources {
            cpu_milli: if position < TIGHT_WORKERS { 4_000 } else { 16_000 },
            ..entry("w", "r1-1").capacity
        },
        ..entry(&format!("w{position}"), "r1-1")
    });
    Harness::new(entries.collect())
}

fn of_four_cores(count: u32) -> Step {
    let need = Resources { cpu_milli: 4_000, memory_mb: 1_000, accelerators: 0 };
    Step { need, ..step(count) }
}

/// Guards against a task that waits because the best fits, as many as a search examines, are all
/// closed after they rejected starts.
#[test]
fn closed_workers_do_not_hide_open_ones() {
    let mut harness = fleet_with_tight_workers();
    harness
        .fleet
        .accept(job("rejected", vec![of_four_cores(TIGHT_WORKERS as u32)]), harness.now_us);
    for order in harness.plan() {
        harness.fleet.order_answered(&order, OrderOutcome::Refused, harness.now_us);
    }
    harness.fleet.cancel("rejected", harness.now_us);
    harness.advance_ms(100);
    harness.fleet.accept(job("price", vec![of_four_cores(4)]), harness.now_us);
    harness.settle();
    assert_eq!(harness.present("price").len(), 4);
}
