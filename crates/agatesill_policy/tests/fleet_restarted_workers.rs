//! Workers that start again under the identifier that they had.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

mod fleet_support;

use agatesill_policy::fleet::{
    EndCause, EndRow, OrderOutcome, Poll, RunRow, TaskKey, WorkerEntry, WorkerIndex, WorkerStanding,
};
use fleet_support::{Harness, MS, entry, job, step};

/// Start of the first incarnation, by the wall clock.
const FIRST_START_MS: u64 = 1_000;

/// Start of the second one.
const SECOND_START_MS: u64 = 9_000;

fn started(revision: u64, started_ms: u64) -> WorkerEntry {
    WorkerEntry { revision, started_ms, ..entry("w1", "r1-1") }
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

fn done(number: u64, task: &TaskKey, run: u32) -> EndRow {
    EndRow { number, task: task.clone(), run, cause: EndCause::Done, saved: String::new() }
}

/// One worker that has ended ten tasks, all acknowledged, and runs another.
fn busy_worker() -> (Harness, WorkerIndex) {
    let mut harness = Harness::new(vec![started(10, FIRST_START_MS)]);
    harness.fleet.accept(job("before", vec![step(10)]), harness.now_us);
    harness.settle();
    let ended: Vec<EndRow> = harness
        .present("before")
        .iter()
        .enumerate()
        .map(|(place, (_, task, run))| done(place as u64 + 1, task, *run))
        .collect();
    let report = poll(&harness, FIRST_START_MS, Vec::new(), ended);
    answer(&mut harness, 0, &report);
    harness.workers.clear();
    harness.commit();
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    harness.settle();
    assert_eq!(harness.fleet.acked_end(0), 10);
    (harness, 0)
}

/// Lists the next incarnation of a worker, which then answers. Returns its index.
fn restart_listed_first(harness: &mut Harness, old: WorkerIndex) -> WorkerIndex {
    assert_eq!(harness.list(started(20, SECOND_START_MS)), old);
    assert_eq!(harness.fleet.take_unverified(), vec![old], "a call shows which one is alive");
    let report = poll(harness, SECOND_START_MS, Vec::new(), Vec::new());
    answer(harness, old, &report);
    assert_eq!(harness.fleet.worker(old).standing, WorkerStanding::Gone);
    let succeeded = harness.fleet.take_succeeded();
    assert_eq!(succeeded.len(), 1);
    assert_ne!(succeeded[0], old);
    succeeded[0]
}

/// The run that was ordered on the worker last.
fn present_row(harness: &mut Harness) -> RunRow {
    let order = harness.orders.last().unwrap();
    let (task, run) = (order.task.clone(), order.run);
    RunRow { task, run, saved: String::new(), percent: 1, figure: 0 }
}

/// Guards against a task that runs twice: the first ends of a restarted worker have numbers that were
/// already applied, and a task that has ended there would count as lost.
#[test]
fn ends_of_a_restarted_worker_are_applied() {
    let (mut harness, old) = busy_worker();
    let new = restart_listed_first(&mut harness, old);
    let report = poll(&harness, SECOND_START_MS, Vec::new(), Vec::new());
    answer(&mut harness, new, &report);
    let orders = harness.plan();
    assert_eq!((orders.len(), orders[0].worker, orders[0].run), (1, new, 2));
    harness.execute(&orders[0]);
    let ended = vec![done(1, &orders[0].task, 2)];
    let report = poll(&harness, SECOND_START_MS, Vec::new(), ended);
    answer(&mut harness, new, &report);
    harness.commit();
    assert!(harness.plan().is_empty(), "the task has ended and must not run again");
    assert_eq!(harness.fleet.acked_end(new), 1);
}

/// Guards against ends that a restarted worker forgets unseen, since the acknowledgement of the former
/// incarnation covers their numbers.
#[test]
fn restarted_worker_is_detected_by_its_own_answer() {
    let (mut harness, old) = busy_worker();
    let report = poll(&harness, SECOND_START_MS, Vec::new(), Vec::new());
    answer(&mut harness, old, &report);
    assert_eq!(harness.fleet.worker(old).standing, WorkerStanding::Gone);
    assert_eq!(harness.fleet.take_terminated(), vec![old]);
    let new = harness.list(started(20, SECOND_START_MS));
    assert_ne!(new, old);
    assert_eq!(harness.fleet.acked_end(new), 0);
}

/// Guards against a stale entry or a delayed answer that makes a live worker count as terminated.
#[test]
fn earlier_incarnation_under_the_identifier_changes_nothing() {
    let (mut harness, old) = busy_worker();
    let new = restart_listed_first(&mut harness, old);
    let report = poll(&harness, SECOND_START_MS, Vec::new(), Vec::new());
    answer(&mut harness, new, &report);
    assert_eq!(harness.list(started(15, FIRST_START_MS)), new);
    let report = poll(&harness, FIRST_START_MS, Vec::new(), Vec::new());
    answer(&mut harness, new, &report);
    assert_eq!(harness.fleet.worker(new).standing, WorkerStanding::Good);
    assert_eq!(harness.fleet.worker(new).started_ms, SECOND_START_MS);
    assert_eq!(harness.fleet.worker(new).entry.started_ms, SECOND_START_MS);
}

/// Guards against an entry with a later start that ends a live worker, whose tasks would run twice: an
/// entry may come from another writer.
#[test]
fn entry_with_a_later_start_ends_no_worker_that_answers() {
    let (mut harness, worker) = busy_worker();
    assert_eq!(harness.list(started(20, u64::MAX)), worker);
    assert_eq!(harness.fleet.take_unverified(), vec![worker], "a call shows which one is alive");
    let row = RunRow { percent: 10, ..present_row(&mut harness) };
    let report = poll(&harness, FIRST_START_MS, vec![row], Vec::new());
    answer(&mut harness, worker, &report);
    assert_eq!(harness.fleet.worker(worker).standing, WorkerStanding::Good);
    assert!(harness.plan().is_empty(), "the task still runs on the worker");
    let leaving = WorkerEntry { is_leaving: true, ..started(30, FIRST_START_MS) };
    assert_eq!(harness.list(leaving), worker);
    assert!(harness.fleet.worker(worker).entry.is_leaving, "its own entries are still applied");
}

/// Guards against a worker that is never used because the first entry read of it had a wrong start.
#[test]
fn first_answer_decides_over_the_start_in_the_entry() {
    let mut harness = Harness::new(Vec::new());
    let worker = harness.list(started(10, u64::MAX));
    let report = poll(&harness, FIRST_START_MS, Vec::new(), Vec::new());
    answer(&mut harness, worker, &report);
    assert_eq!(harness.fleet.worker(worker).standing, WorkerStanding::Good);
    assert_eq!(harness.list(started(20, FIRST_START_MS)), worker);
    assert_eq!(harness.fleet.worker(worker).entry.revision, 20);
}

/// Guards against a task that runs twice because the list of an earlier incarnation, on which it is missing,
/// counts as that of its worker.
#[test]
fn list_of_an_earlier_incarnation_proves_no_absence() {
    let (mut harness, worker) = busy_worker();
    harness.advance_ms(5);
    let report = poll(&harness, FIRST_START_MS - 500, Vec::new(), Vec::new());
    answer(&mut harness, worker, &report);
    assert_eq!(harness.fleet.worker(worker).tasks.len(), 1);
    assert!(harness.plan().is_empty());
}

/// Guards against tasks that wait for a lease although an order was answered by another incarnation in place
/// of their worker.
#[test]
fn order_that_another_incarnation_answers_ends_the_worker() {
    let (mut harness, worker) = busy_worker();
    harness.fleet.accept(job("next", vec![step(1)]), harness.now_us);
    let orders = harness.plan();
    assert_eq!((orders.len(), orders[0].worker), (1, worker));
    let outcome = OrderOutcome::OtherIncarnation;
    harness.fleet.order_answered(&orders[0], outcome, harness.now_us);
    assert_eq!(harness.fleet.worker(worker).standing, WorkerStanding::Gone);
    assert!(harness.fleet.worker(worker).tasks.is_empty());
    let next = harness.list(started(20, SECOND_START_MS));
    let report = poll(&harness, SECOND_START_MS, Vec::new(), Vec::new());
    answer(&mut harness, next, &report);
    assert_eq!(harness.plan().len(), 2, "both tasks start again");
}

/// Guards against tasks that never run again because their worker has restarted with a clock that was set
/// back: its answers name an earlier start and are ignored, although no lease is renewed.
#[test]
fn tasks_restart_after_the_lease_if_answers_name_an_earlier_start() {
    let (mut harness, worker) = busy_worker();
    for _ in 0..80 {
        harness.advance_ms(250);
        let report = poll(&harness, FIRST_START_MS - 500, Vec::new(), Vec::new());
        answer(&mut harness, worker, &report);
        harness.fleet.expire_workers(harness.now_us, harness.now_us);
    }
    assert!(harness.fleet.worker(worker).tasks.is_empty(), "the lease ended 14 s ago");
}
