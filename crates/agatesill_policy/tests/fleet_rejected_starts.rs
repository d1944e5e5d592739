//! Starts whose rejection waits before the planner handles it.

mod fleet_support;

use agatesill_policy::fleet::OrderOutcome;
use fleet_support::{Harness, entry, job, step};

/// Guards against starts that are sent at once, one after another, to a worker without capacity
/// because its rejections have waited for longer than the backoff.
#[test]
fn backoff_holds_after_a_rejection_that_waited() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("price", vec![step(1)]), harness.now_us);
    let start = harness.plan().remove(0);
    let answered_us = harness.now_us;
    harness.advance_ms(1_000);
    let now_us = harness.now_us;
    harness.fleet.order_answered_at(&start, OrderOutcome::NoRoom, answered_us, now_us);
    let orders = harness.plan();
    assert!(orders.is_empty(), "{orders:?}");
}
