//! Starts whose rejection waits before the planner handles it.

mod fleet_support;

use agatesill_policy::fleet::{OrderKind, OrderOutcome};
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

/// Guards against a task that runs twice because its first start was rejected for an unknown reason, by
/// a worker on which an earlier order has begun the run.
#[test]
fn start_rejected_for_an_unknown_reason_is_barred_before_the_task_runs_elsewhere() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w333", "r1-2")]);
    harness.fleet.accept(job("price", vec![step(1)]), harness.now_us);
    let start = harness.plan().remove(0);
    harness.execute(&start);
    harness.fleet.order_answered(&start, OrderOutcome::Unexplained, harness.now_us);
    let orders = harness.plan();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!((&orders[0].kind, orders[0].worker), (&OrderKind::Stop, start.worker));
    harness.execute(&orders[0]);
    assert!(harness.plan().is_empty(), "the run has not ended yet");
    harness.advance_ms(10);
    harness.poll_all();
    let next = harness.plan();
    assert_eq!((next.len(), next[0].run), (1, start.run + 1), "{next:?}");
}
