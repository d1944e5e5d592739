//! Records that the store rejects.

mod fleet_support;

use agatesill_policy::fleet::Step;
use fleet_support::{Harness, MS, entry, job, step};

fn two_workers(step: Step) -> Harness {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(job("price", vec![step]), harness.now_us);
    harness
}

/// Guards against one record that the store rejects, and with it all records that are written in
/// the same transaction.
#[test]
fn one_record_that_is_never_stored_does_not_hold_back_others() {
    let mut harness = two_workers(step(1));
    harness.fleet.accept(job("bill", vec![step(1)]), harness.now_us);
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    for _ in 0..40 {
        harness.advance_ms(300);
        loop {
            let writes = harness.fleet.take_writes(31, harness.now_us);
            if writes.is_empty() {
                break;
            }
            if writes.iter().any(|write| write.job == "price") {
                let now_us = harness.now_us;
                writes.iter().for_each(|write| harness.fleet.not_committed(write, now_us));
                break;
            }
            let now_us = harness.now_us;
            writes.iter().for_each(|write| harness.fleet.committed(write, 7, now_us));
        }
        if harness.fleet.take_orders().iter().any(|order| order.task.job == "bill") {
            return;
        }
    }
    panic!("the start of another job was never ordered");
}
