//! Changes of worker capacity at run time: no start may exceed the present capacity.

mod fleet_support;

use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{
    EndCause, JobPhase, Order, OrderKind, OrderOutcome, Poll, RunRow, Step, TaskKey, WorkerEntry,
};
use fleet_support::{Harness, MS, entry, job, step};

fn worker_with_cores(id: &str, cores: u64) -> WorkerEntry {
    let capacity = Resources { cpu_milli: cores * 1_000, ..entry(id, "r1-1").capacity };
    WorkerEntry { capacity, ..entry(id, "r1-1") }
}

fn count_starts(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order.kind, OrderKind::Start { .. })).count()
}

fn end_runs(harness: &mut Harness, job: &str, count: usize) {
    for (worker, task, run) in harness.present(job).into_iter().take(count) {
        harness.end(worker, &task, run, EndCause::Done);
    }
    harness.poll_all();
}

/// Guards against starts on a worker whose runs already use its reduced capacity.
#[test]
fn reduced_capacity_delays_starts_until_running_tasks_fit() {
    let mut harness = Harness::new(vec![worker_with_cores("w1", 16)]);
    harness.fleet.accept(job("first", vec![step(12)]), harness.now_us);
    harness.settle();
    assert_eq!(harness.present("first").len(), 12);
    harness.list(worker_with_cores("w1", 8));
    harness.fleet.accept(job("second", vec![step(2)]), harness.now_us);
    harness.settle();
    end_runs(&mut harness, "first", 4);
    harness.settle();
    assert_eq!(harness.present("second").len(), 0, "eight of eight cores are in use");
    end_runs(&mut harness, "first", 1);
    harness.settle();
    assert_eq!(harness.present("second").len(), 1);
    harness.list(worker_with_cores("w1", 16));
    harness.settle();
    assert_eq!(harness.present("second").len(), 2, "the capacity has been restored");
}

/// Guards against checking only memory for tasks that reserve no CPU.
#[test]
fn filling_task_waits_while_worker_is_over_capacity() {
    let mut harness = Harness::new(vec![worker_with_cores("w1", 16)]);
    harness.fleet.accept(job("first", vec![step(12)]), harness.now_us);
    harness.settle();
    harness.list(worker_with_cores("w1", 8));
    let filling = Step { fills: true, ..step(1) };
    harness.fleet.accept(job("filling", vec![filling]), harness.now_us);
    harness.settle();
    assert_eq!(harness.present("filling").len(), 0);
    end_runs(&mut harness, "first", 6);
    harness.settle();
    assert_eq!(harness.present("filling").len(), 1);
}

/// Guards against starts whose records are stored after the capacity of the worker was reduced.
#[test]
fn choices_beyond_reduced_capacity_are_withdrawn() {
    let mut harness = Harness::new(vec![worker_with_cores("w1", 16)]);
    harness.fleet.accept(job("j", vec![step(12)]), harness.now_us);
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    let writes = harness.fleet.take_writes(15, harness.now_us);
    harness.list(worker_with_cores("w1", 8));
    harness.fleet.committed(&writes[0], 5, harness.now_us);
    let orders = harness.fleet.take_orders();
    assert!(count_starts(&orders) <= 8, "{} starts", count_starts(&orders));
    orders.iter().for_each(|order| harness.execute(order));
    harness.settle();
    assert_eq!(harness.present("j").len(), 8);
    while harness.fleet.state_of("j") != Some((JobPhase::Completed, true)) {
        end_runs(&mut harness, "j", 8);
        harness.settle();
    }
}

/// Guards against repeating an unanswered start on a worker that is now over its capacity.
#[test]
fn unanswered_start_is_barred_when_worker_is_over_capacity() {
    let mut harness = Harness::new(vec![worker_with_cores("w1", 16)]);
    harness.fleet.accept(job("first", vec![step(8)]), harness.now_us);
    harness.settle();
    harness.fleet.accept(job("second", vec![step(1)]), harness.now_us);
    let orders = harness.plan();
    assert_eq!(count_starts(&orders), 1);
    harness.list(worker_with_cores("w1", 8));
    harness.fleet.order_answered(&orders[0], OrderOutcome::Unanswered, harness.now_us);
    let next = harness.plan();
    assert_eq!(count_starts(&next), 0, "{next:?}");
    assert!(next.iter().any(|order| order.kind == OrderKind::Stop), "{next:?}");
}

/// Guards against treating the capacity used by a stray run as free while the run is being stopped.
#[test]
fn stray_run_blocks_starts_until_it_has_stopped() {
    let mut harness = Harness::new(vec![worker_with_cores("w1", 4)]);
    let stray = RunRow {
        task: TaskKey { job: "gone".to_owned(), occurrence: 0, step: 0, index: 0 },
        run: 3,
        saved: String::new(),
        percent: 50,
        figure: 0,
    };
    let poll_with = |harness: &Harness, running: Vec<RunRow>| Poll {
        sent_us: harness.now_us,
        lease_ms: 5_000,
        clock_ms: harness.now_us / MS,
        started_ms: 0,
        is_incomplete: false,
        running,
        ended: Vec::new(),
    };
    harness.fleet.accept(job("j", vec![step(4)]), harness.now_us);
    let poll = poll_with(&harness, vec![stray]);
    harness.fleet.polled(0, &poll, harness.now_us);
    let orders = harness.plan();
    assert_eq!(count_starts(&orders), 0, "{orders:?}");
    assert!(orders.iter().any(|order| order.kind == OrderKind::Stop && order.run == 3));
    harness.advance_ms(500);
    let poll = poll_with(&harness, Vec::new());
    harness.fleet.polled(0, &poll, harness.now_us);
    assert_eq!(count_starts(&harness.plan()), 4);
}

/// Guards against a successor that ignores a capacity reduction which happened under the previous
/// planner.
#[test]
fn successor_respects_capacity_reduced_before_the_takeover() {
    let mut harness = Harness::new(vec![worker_with_cores("w1", 16)]);
    let first = job("first", vec![step(12)]);
    let second = job("second", vec![step(4)]);
    harness.fleet.accept(first.clone(), harness.now_us);
    harness.settle();
    harness.list(worker_with_cores("w1", 8));
    harness.fleet = harness.successor(&[first, second], vec![worker_with_cores("w1", 8)]);
    harness.poll_all();
    harness.settle();
    assert_eq!(
        harness.present("second").len(),
        0,
        "twelve cores are in use on a worker with eight"
    );
    end_runs(&mut harness, "first", 6);
    harness.settle();
    assert_eq!(harness.present("second").len(), 2);
}
