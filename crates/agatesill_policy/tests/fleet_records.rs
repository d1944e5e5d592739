//! The order in which records are stored.

mod fleet_support;

use agatesill_policy::fleet::EndCause;
use fleet_support::{Harness, entry, job, step};

/// Maximum number of entries in a transaction.
const MAX_ENTRIES: usize = 31;

/// Guards against records of ends that are never stored while a steady load of starts keeps the
/// store busy.
#[test]
fn record_of_an_end_is_stored_under_a_steady_load_of_starts() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("watched", vec![step(2)]), harness.now_us);
    harness.settle();
    let (worker, task, run) = harness.present("watched").remove(0);
    harness.end(worker, &task, run, EndCause::Done);
    harness.poll_all();
    let mut is_stored = false;
    for round in 0..40 {
        for number in 0..20 {
            let mut spec = job(&format!("new{round}-{number}"), vec![step(1)]);
            spec.steps[0].need.cpu_milli = 1;
            spec.steps[0].need.memory_mb = 1;
            harness.fleet.accept(spec, harness.now_us);
        }
        harness.fleet.plan(harness.now_us, harness.now_us / fleet_support::MS);
        let writes = harness.fleet.take_writes(MAX_ENTRIES, harness.now_us);
        is_stored |= writes.iter().any(|write| write.job == "watched");
        writes.iter().for_each(|write| harness.fleet.committed(write, 1, harness.now_us));
        harness.advance_ms(25);
    }
    assert!(is_stored, "the end was not stored within a second");
}
