//! Waits of tasks whose runs were lost in crashes of their workers.

mod fleet_support;

use agatesill_policy::fleet::{Order, OrderOutcome, WorkerEntry};
use fleet_support::{Harness, MS, entry, job, step};

/// Backoff after the second crash.
const BACKOFF_MS: u64 = 500;

/// A fleet of four workers whose only task lost its first two runs with their workers.
fn repeat_suspect() -> Harness {
    let mut harness = Harness::new(
        ["w1", "w22", "w333", "w4444"].map(|id| entry(id, "r1-1")).into_iter().collect(),
    );
    harness.fleet.accept(job("price", vec![step(1)]), harness.now_us);
    for _ in 0..2 {
        harness.settle();
        crash(&mut harness);
        harness.advance_ms(10);
    }
    harness
}

/// Crashes the worker of the task. It leaves, so the crash does not count as caused by the task.
fn crash(harness: &mut Harness) {
    let (worker, ..) = harness.present("price").remove(0);
    let entry = harness.fleet.worker(worker).entry.clone();
    harness.list(WorkerEntry { is_leaving: true, ..entry });
    harness.workers.remove(&worker);
    harness.fleet.worker_superseded(worker, "crashed", harness.now_us, harness.now_us);
}

fn only_order(harness: &mut Harness) -> Order {
    let mut orders = harness.plan();
    assert_eq!(orders.len(), 1, "{orders:?}");
    orders.remove(0)
}

/// Guards against a repeat suspect that backs off again after each rejected start although no
/// worker has crashed since.
#[test]
fn rejected_start_does_not_begin_the_backoff_anew() {
    let mut harness = repeat_suspect();
    assert!(harness.plan().is_empty(), "the task backs off");
    harness.advance_ms(BACKOFF_MS);
    let order = only_order(&mut harness);
    harness.fleet.order_answered(&order, OrderOutcome::NoRoom, harness.now_us);
    harness.advance_ms(10);
    let next = only_order(&mut harness);
    assert_eq!((next.run, next.worker == order.worker), (order.run + 1, false));
}

/// Guards against a repeat suspect that starts at once after a crash because an earlier backoff has
/// passed.
#[test]
fn next_crash_begins_the_backoff_anew() {
    let mut harness = repeat_suspect();
    harness.advance_ms(BACKOFF_MS);
    harness.settle();
    crash(&mut harness);
    harness.advance_ms(2 * BACKOFF_MS - 10);
    assert!(harness.plan().is_empty(), "the task backs off for twice as long");
    harness.now_us += 20 * MS;
    only_order(&mut harness);
}

/// Guards against waits of a repeat suspect that add up: the time until the crash is known, the
/// backoff and the wait for a worker without another suspect.
#[test]
fn backoff_includes_the_time_until_the_crash_is_known() {
    let mut harness = repeat_suspect();
    harness.advance_ms(BACKOFF_MS);
    harness.settle();
    // The worker of the third run answers for the last time, and counts as terminated later.
    harness.poll_all();
    harness.advance_ms(2 * BACKOFF_MS);
    crash(&mut harness);
    only_order(&mut harness);
}
