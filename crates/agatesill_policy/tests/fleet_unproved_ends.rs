//! Addresses, starts and rows that prove no end of a run.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

mod fleet_support;

use agatesill_policy::fleet::{
    EndCause, EndRow, Order, OrderKind, OrderOutcome, Poll, RunRow, WorkerEntry, WorkerIndex,
    WorkerStanding,
};
use fleet_support::{Harness, MS, entry, job, step};

/// Address at which another worker has been started after `w1` had left it.
const FORMER_ADDRESS: &str = "10.0.1.1:80";

/// Address at which `w1` was started again.
const NEXT_ADDRESS: &str = "10.0.1.2:80";

/// Start of the first incarnation of `w1`, by the wall clock.
const FIRST_START_MS: u64 = 5_000;

/// Start of the second one.
const SECOND_START_MS: u64 = 9_000;

fn at(id: &str, address: &str, revision: u64, started_ms: u64) -> WorkerEntry {
    WorkerEntry { address: address.to_owned(), revision, started_ms, ..entry(id, "r1-1") }
}

fn poll(harness: &Harness, started_ms: u64, running: Vec<RunRow>, ended: Vec<EndRow>) -> Poll {
    Poll {
        sent_us: harness.now_us,
        lease_ms: 5_000,
        clock_ms: harness.now_us / MS,
        started_ms,
        is_incomplete: false,
        running,
        ended,
    }
}

fn answer(harness: &mut Harness, worker: WorkerIndex, poll: &Poll) {
    harness.advance_ms(1);
    harness.fleet.polled(worker, poll, harness.now_us);
}

fn row(order: &Order) -> RunRow {
    RunRow { task: order.task.clone(), run: order.run, saved: String::new(), percent: 1, figure: 0 }
}

fn done(number: u64, order: &Order) -> EndRow {
    EndRow {
        number,
        task: order.task.clone(),
        run: order.run,
        cause: EndCause::Done,
        saved: String::new(),
    }
}

fn starts(orders: &[Order]) -> Vec<&Order> {
    orders.iter().filter(|order| matches!(order.kind, OrderKind::Start { .. })).collect()
}

/// Guards against a task that runs twice: a worker whose late entry names a former address answers from
/// its present one, and ends the worker that is alive at the former.
#[test]
fn answer_from_another_address_than_the_entry_names_ends_no_worker() {
    let mut harness = Harness::new(vec![at("w9", FORMER_ADDRESS, 10, FIRST_START_MS + 1)]);
    let live = 0;
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    harness.settle();
    assert_eq!(harness.present("j").len(), 1);
    harness.orders.clear();
    // The planner opens the connections to the address in the entry, and never to another one.
    let again =
        harness.fleet.worker_listed(at("w1", NEXT_ADDRESS, 20, SECOND_START_MS), harness.now_us);
    harness.advance_ms(10);
    let late = at("w1", FORMER_ADDRESS, 21, FIRST_START_MS);
    assert_eq!(harness.fleet.worker_listed(late, harness.now_us), again);
    harness.advance_ms(10);
    let report = poll(&harness, SECOND_START_MS, Vec::new(), Vec::new());
    answer(&mut harness, again, &report);
    let orders = harness.plan();
    assert_eq!(
        harness.fleet.worker(live).standing,
        WorkerStanding::Good,
        "w9 lives at its address"
    );
    assert!(starts(&orders).is_empty(), "the task runs on w9: {orders:?}");
}

/// Guards against the same for the tasks of the worker with the late entry, after a takeover.
#[test]
fn worker_that_answers_is_not_ended_by_the_one_at_an_address_in_a_late_entry() {
    let mut harness = Harness::new(vec![at("w1", NEXT_ADDRESS, 20, SECOND_START_MS)]);
    let spec = job("j", vec![step(1)]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    let start = harness.plan().remove(0);
    harness.fleet.order_answered(&start, OrderOutcome::Done, harness.now_us);
    harness.fleet = harness.successor(
        &[spec],
        vec![
            at("w1", NEXT_ADDRESS, 20, SECOND_START_MS),
            at("w9", FORMER_ADDRESS, 10, FIRST_START_MS + 1),
        ],
    );
    let index = |harness: &Harness, id: &str| {
        harness.fleet.live_workers().find(|(_, worker)| worker.entry.id == id).unwrap().0
    };
    let (again, other) = (index(&harness, "w1"), index(&harness, "w9"));
    harness.orders.clear();
    harness.fleet.worker_listed(at("w1", FORMER_ADDRESS, 21, FIRST_START_MS), harness.now_us);
    harness.advance_ms(10);
    let report = poll(&harness, 0, Vec::new(), Vec::new());
    answer(&mut harness, other, &report);
    let report = poll(&harness, SECOND_START_MS, vec![row(&start)], Vec::new());
    answer(&mut harness, again, &report);
    let orders = harness.plan();
    assert_eq!(harness.fleet.worker(again).standing, WorkerStanding::Good, "w1 answers");
    assert!(starts(&orders).is_empty(), "the task runs on w1: {orders:?}");
}

/// Guards against a worker that is never used again because its clock was set back before it restarted.
#[test]
fn worker_that_restarted_with_an_earlier_start_is_used_again() {
    let mut harness = Harness::new(vec![at("w1", NEXT_ADDRESS, 10, SECOND_START_MS)]);
    let report = poll(&harness, SECOND_START_MS, Vec::new(), Vec::new());
    answer(&mut harness, 0, &report);
    harness.fleet.worker_superseded(
        0,
        "another incarnation answers",
        harness.now_us,
        harness.now_us,
    );
    harness.advance_ms(1_500);
    let index =
        harness.fleet.worker_listed(at("w1", NEXT_ADDRESS, 20, FIRST_START_MS), harness.now_us);
    assert_ne!(harness.fleet.worker(index).standing, WorkerStanding::Gone);
}

/// Guards against a task that runs again after its end, which could not be read, was acknowledged with a
/// later one.
#[test]
fn end_that_could_not_be_read_is_not_forgotten_and_taken_for_absence() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(2)]), harness.now_us);
    let orders = harness.plan();
    assert_eq!(orders.len(), 2);
    for order in &orders {
        harness.fleet.order_answered(order, OrderOutcome::Done, harness.now_us);
    }
    harness.advance_ms(100);
    // End 1 is that of the first run, as done, and can't be read.
    let report =
        Poll { is_incomplete: true, ..poll(&harness, 0, Vec::new(), vec![done(2, &orders[1])]) };
    answer(&mut harness, 0, &report);
    harness.commit();
    let acked = harness.fleet.acked_end(0);
    harness.advance_ms(100);
    // The worker has forgotten the ends up to the acknowledged one.
    let report = Poll {
        is_incomplete: acked < 1,
        ..poll(
            &harness,
            0,
            Vec::new(),
            if acked < 2 { vec![done(2, &orders[1])] } else { Vec::new() },
        )
    };
    answer(&mut harness, 0, &report);
    let orders = harness.plan();
    assert!(starts(&orders).is_empty(), "run 1 has ended as done; acknowledged: {acked}");
}

/// Guards against a task that waits for ever because a worker always lists a row that can't be read.
#[test]
fn task_with_an_unsent_start_runs_although_the_worker_always_lists_an_unreadable_row() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("j", vec![step(1)]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    assert_eq!(harness.plan().len(), 1, "this order is lost with the planner");
    harness.fleet = harness.successor(&[spec], vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let mut orders = Vec::new();
    for _ in 0..120 {
        harness.advance_ms(500);
        for worker in [0, 1] {
            let report =
                Poll { is_incomplete: worker == 0, ..poll(&harness, 0, Vec::new(), Vec::new()) };
            answer(&mut harness, worker, &report);
        }
        harness.fleet.expire_workers(harness.now_us, harness.now_us);
        let issued = harness.plan();
        for order in issued.iter().filter(|order| order.kind == OrderKind::Stop) {
            harness.fleet.order_answered(order, OrderOutcome::Done, harness.now_us);
        }
        orders.extend(issued);
    }
    assert!(!starts(&orders).is_empty(), "no second run within a minute");
}
