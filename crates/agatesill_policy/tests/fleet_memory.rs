//! Placement on a large fleet where most workers have free CPU but too little memory.

mod fleet_support;

use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{Step, WorkerEntry};
use fleet_support::{Harness, entry, job, step};

fn worker(number: usize, cores: u64, memory_mb: u64) -> WorkerEntry {
    let capacity = Resources { cpu_milli: cores * 1_000, memory_mb, accelerators: 0 };
    let address = format!("10.0.{}.{}:80", number / 200, number % 200);
    WorkerEntry {
        address,
        capacity,
        ..entry(&format!("w{number}"), &format!("r{}-1", number / 20))
    }
}

/// Guards against tasks that wait because workers with too little memory use up the limit on workers
/// examined for one task.
#[test]
fn workers_without_memory_do_not_use_up_the_search_limit() {
    let without_memory = (0..300).map(|number| worker(number, 8, 500));
    let with_capacity = (300..310).map(|number| worker(number, 16, 64_000));
    let mut harness = Harness::new(without_memory.chain(with_capacity).collect());
    harness
        .fleet
        .accept(job("lasting", vec![Step { is_lasting: true, ..step(6) }]), harness.now_us);
    harness.fleet.accept(job("finite", vec![step(6)]), harness.now_us);
    harness.settle();
    assert_eq!(harness.present("lasting").len(), 6);
    assert_eq!(harness.present("finite").len(), 6);
}

/// Guards against searches that scan the same workers each time on a fleet larger than one scan.
#[test]
fn repeated_searches_reach_workers_beyond_one_scan() {
    let without_memory = (0..9_000).map(|number| worker(number, 8, 500));
    let with_capacity = (9_000..9_010).map(|number| worker(number, 16, 64_000));
    let mut harness = Harness::new(without_memory.chain(with_capacity).collect());
    harness.fleet.accept(job("finite", vec![step(6)]), harness.now_us);
    for _ in 0..4 {
        harness.advance_ms(50);
        harness.settle();
    }
    assert_eq!(harness.present("finite").len(), 6);
}
