//! The order in which records are stored.

mod fleet_support;

use agatesill_policy::fleet::EndCause;
use fleet_support::{Harness, entry, job, step};

/// Entries of a transaction.
const MOST_ENTRIES: usize = 31;

/// Guards against records of ends that are never stored while starts keep the store busy.
#[test]
fn the_record_of_an_end_is_stored_while_starts_keep_coming() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(job("watched", vec![step(2)]), rig.now_us);
    rig.settle();
    let (worker, task, run) = rig.present("watched").remove(0);
    rig.end(worker, &task, run, EndCause::Done);
    rig.poll_all();
    let mut is_stored = false;
    for round in 0..40 {
        for at in 0..20 {
            let mut spec = job(&format!("new{round}-{at}"), vec![step(1)]);
            spec.steps[0].need.cpu_milli = 1;
            spec.steps[0].need.memory_mb = 1;
            rig.fleet.accept(spec, rig.now_us);
        }
        rig.fleet.plan(rig.now_us, rig.now_us / fleet_support::MS);
        let writes = rig.fleet.take_writes(MOST_ENTRIES, rig.now_us);
        is_stored |= writes.iter().any(|write| write.job == "watched");
        writes.iter().for_each(|write| rig.fleet.committed(write, 1, rig.now_us));
        rig.advance_ms(25);
    }
    assert!(is_stored, "the end was not stored within a second");
}
