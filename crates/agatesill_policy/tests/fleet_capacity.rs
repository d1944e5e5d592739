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

fn end_runs(rig: &mut Harness, job: &str, count: usize) {
    for (worker, task, run) in rig.present(job).into_iter().take(count) {
        rig.end(worker, &task, run, EndCause::Done);
    }
    rig.poll_all();
}

/// Guards against starts on a worker whose runs already use its reduced capacity.
#[test]
fn reduced_capacity_delays_starts_until_running_tasks_fit() {
    let mut rig = Harness::new(vec![worker_with_cores("w1", 16)]);
    rig.fleet.accept(job("first", vec![step(12)]), rig.now_us);
    rig.settle();
    assert_eq!(rig.present("first").len(), 12);
    rig.list(worker_with_cores("w1", 8));
    rig.fleet.accept(job("second", vec![step(2)]), rig.now_us);
    rig.settle();
    end_runs(&mut rig, "first", 4);
    rig.settle();
    assert_eq!(rig.present("second").len(), 0, "eight of eight cores are in use");
    end_runs(&mut rig, "first", 1);
    rig.settle();
    assert_eq!(rig.present("second").len(), 1);
    rig.list(worker_with_cores("w1", 16));
    rig.settle();
    assert_eq!(rig.present("second").len(), 2, "the capacity has been restored");
}

/// Guards against checking only memory for tasks that reserve no CPU.
#[test]
fn filling_task_waits_while_worker_is_over_capacity() {
    let mut rig = Harness::new(vec![worker_with_cores("w1", 16)]);
    rig.fleet.accept(job("first", vec![step(12)]), rig.now_us);
    rig.settle();
    rig.list(worker_with_cores("w1", 8));
    let filling = Step { fills: true, ..step(1) };
    rig.fleet.accept(job("filling", vec![filling]), rig.now_us);
    rig.settle();
    assert_eq!(rig.present("filling").len(), 0);
    end_runs(&mut rig, "first", 6);
    rig.settle();
    assert_eq!(rig.present("filling").len(), 1);
}

/// Guards against starts whose records are stored after the capacity of the worker was reduced.
#[test]
fn choices_beyond_reduced_capacity_are_withdrawn() {
    let mut rig = Harness::new(vec![worker_with_cores("w1", 16)]);
    rig.fleet.accept(job("j", vec![step(12)]), rig.now_us);
    rig.fleet.plan(rig.now_us, rig.now_us / MS);
    let writes = rig.fleet.take_writes(15, rig.now_us);
    rig.list(worker_with_cores("w1", 8));
    rig.fleet.committed(&writes[0], 5, rig.now_us);
    let orders = rig.fleet.take_orders();
    assert!(count_starts(&orders) <= 8, "{} starts", count_starts(&orders));
    orders.iter().for_each(|order| rig.execute(order));
    rig.settle();
    assert_eq!(rig.present("j").len(), 8);
    while rig.fleet.state_of("j") != Some((JobPhase::Completed, true)) {
        end_runs(&mut rig, "j", 8);
        rig.settle();
    }
}

/// Guards against repeating an unanswered start on a worker that is now over its capacity.
#[test]
fn unanswered_start_is_barred_when_worker_is_over_capacity() {
    let mut rig = Harness::new(vec![worker_with_cores("w1", 16)]);
    rig.fleet.accept(job("first", vec![step(8)]), rig.now_us);
    rig.settle();
    rig.fleet.accept(job("second", vec![step(1)]), rig.now_us);
    let orders = rig.plan();
    assert_eq!(count_starts(&orders), 1);
    rig.list(worker_with_cores("w1", 8));
    rig.fleet.order_answered(&orders[0], OrderOutcome::Unanswered, rig.now_us);
    let next = rig.plan();
    assert_eq!(count_starts(&next), 0, "{next:?}");
    assert!(next.iter().any(|order| order.kind == OrderKind::Stop), "{next:?}");
}

/// Guards against treating the capacity used by a stray run as free while the run is being stopped.
#[test]
fn stray_run_blocks_starts_until_it_has_stopped() {
    let mut rig = Harness::new(vec![worker_with_cores("w1", 4)]);
    let stray = RunRow {
        task: TaskKey { job: "gone".to_owned(), occurrence: 0, step: 0, index: 0 },
        run: 3,
        saved: String::new(),
        percent: 50,
        figure: 0,
    };
    let poll_with = |rig: &Harness, running: Vec<RunRow>| Poll {
        sent_us: rig.now_us,
        lease_ms: 5_000,
        clock_ms: rig.now_us / MS,
        running,
        ended: Vec::new(),
    };
    rig.fleet.accept(job("j", vec![step(4)]), rig.now_us);
    let poll = poll_with(&rig, vec![stray]);
    rig.fleet.polled(0, &poll, rig.now_us);
    let orders = rig.plan();
    assert_eq!(count_starts(&orders), 0, "{orders:?}");
    assert!(orders.iter().any(|order| order.kind == OrderKind::Stop && order.run == 3));
    rig.advance_ms(500);
    let poll = poll_with(&rig, Vec::new());
    rig.fleet.polled(0, &poll, rig.now_us);
    assert_eq!(count_starts(&rig.plan()), 4);
}

/// Guards against a successor that starts more than a worker holds which shrank under the planner before.
#[test]
fn a_successor_keeps_to_a_capacity_that_shrank_before() {
    let mut rig = Harness::new(vec![worker_with_cores("w1", 16)]);
    let first = job("first", vec![step(12)]);
    let second = job("second", vec![step(4)]);
    rig.fleet.accept(first.clone(), rig.now_us);
    rig.settle();
    rig.list(worker_with_cores("w1", 8));
    rig.fleet = rig.successor(&[first, second], vec![worker_with_cores("w1", 8)]);
    rig.poll_all();
    rig.settle();
    assert_eq!(rig.present("second").len(), 0, "twelve cores run where eight are left");
    end_runs(&mut rig, "first", 6);
    rig.settle();
    assert_eq!(rig.present("second").len(), 2);
}
