//! Orders of which no part reached the worker.

mod fleet_support;

use agatesill_policy::fleet::{JobPhase, Order, OrderKind, OrderOutcome, WorkerIndex};
use fleet_support::{Harness, entry, job, name, step};

/// Time from a crash of a worker until it is known.
const DETECTION_MS: u64 = 3_000;

/// A fleet with a job of one task.
fn fleet(workers: usize) -> Harness {
    let entries = (0..workers).map(|at| entry(&format!("w{at:02}"), "r1-1")).collect();
    let mut harness = Harness::new(entries);
    harness.fleet.accept(job("price", vec![step(1)]), harness.now_us);
    harness
}

fn only_start(harness: &mut Harness) -> Order {
    let mut starts = harness.plan();
    starts.retain(|order| matches!(order.kind, OrderKind::Start { .. }));
    assert_eq!(starts.len(), 1, "{starts:?}");
    starts.remove(0)
}

fn answer(harness: &mut Harness, order: &Order, outcome: OrderOutcome) {
    harness.fleet.order_answered(order, outcome, harness.now_us);
}

fn phase(harness: &Harness) -> Option<JobPhase> {
    harness.fleet.state_of("price").map(|(phase, _)| phase)
}

fn crash(harness: &mut Harness, worker: WorkerIndex) {
    harness.workers.remove(&worker);
    harness.fleet.worker_superseded(worker, "crashed", harness.now_us, harness.now_us);
    harness.commit();
}

/// Guards against a healthy job that fails because its workers crash before its starts reach them.
#[test]
fn crashes_before_the_start_is_sent_do_not_count_against_the_task() {
    let mut harness = fleet(8);
    for run in 1..=7 {
        let start = only_start(&mut harness);
        assert_eq!(start.run, run);
        answer(&mut harness, &start, OrderOutcome::Undelivered);
        harness.advance_ms(10);
        crash(&mut harness, start.worker);
    }
    harness.settle();
    assert_eq!(harness.present("price").len(), 1);
    assert_eq!(phase(&harness), Some(JobPhase::Active));
}

/// Guards against a task that waits for the loss of a worker which its start never reached.
#[test]
fn undelivered_start_moves_to_another_worker_at_once() {
    let mut harness = fleet(4);
    let first = only_start(&mut harness);
    answer(&mut harness, &first, OrderOutcome::Undelivered);
    harness.advance_ms(10);
    let second = only_start(&mut harness);
    assert_eq!((second.run, second.worker == first.worker), (first.run + 1, false));
    assert!(harness.orders.iter().all(|order| order.kind != OrderKind::Stop), "nothing to bar");
    harness.execute(&second);
    assert_eq!(harness.present("price").len(), 1);
}

/// Guards against two runs of a task whose first start may have been received although the repeated
/// one was not sent.
#[test]
fn start_that_may_have_been_received_is_barred_after_an_undelivered_one() {
    let mut harness = fleet(4);
    let first = only_start(&mut harness);
    harness.execute_unanswered(&first);
    answer(&mut harness, &first, OrderOutcome::Unanswered);
    let repeated = only_start(&mut harness);
    assert_eq!((repeated.run, repeated.worker), (first.run, first.worker));
    answer(&mut harness, &repeated, OrderOutcome::Undelivered);
    let orders = harness.plan();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!((&orders[0].kind, orders[0].worker), (&OrderKind::Stop, first.worker));
    answer(&mut harness, &orders[0], OrderOutcome::Undelivered);
    harness.advance_ms(DETECTION_MS);
    let starts = harness.plan();
    assert!(starts.iter().all(|order| order.kind == OrderKind::Stop), "{starts:?}");
}

/// Guards against a crashing task that is never given up because its worker crashes before it
/// answers the start, and the repeated start is not sent.
#[test]
fn crash_after_a_start_that_may_have_been_received_counts_against_the_task() {
    let mut harness = fleet(8);
    let mut starts = 0;
    while phase(&harness) == Some(JobPhase::Active) {
        let start = only_start(&mut harness);
        starts += 1;
        assert!(starts <= 5, "{} started {starts} times", name(&start.task));
        answer(&mut harness, &start, OrderOutcome::Unanswered);
        let repeated = only_start(&mut harness);
        answer(&mut harness, &repeated, OrderOutcome::Undelivered);
        harness.plan();
        crash(&mut harness, start.worker);
        harness.advance_ms(5_000);
    }
    assert_eq!(phase(&harness), Some(JobPhase::Failed));
}

/// Guards against a stop that is sent hundreds of times to a worker that refuses connections, or
/// never again once it answers.
#[test]
fn undelivered_stop_is_repeated_once_the_worker_answers() {
    let mut harness = fleet(4);
    harness.settle();
    let (worker, ..) = harness.present("price").remove(0);
    harness.fleet.cancel("price", harness.now_us);
    let stops = harness.plan();
    assert_eq!(stops.len(), 1, "{stops:?}");
    answer(&mut harness, &stops[0], OrderOutcome::Undelivered);
    assert_eq!(harness.plan(), Vec::new());
    harness.advance_ms(100);
    harness.poll(worker);
    let repeated = harness.plan();
    assert_eq!(repeated.len(), 1, "{repeated:?}");
    assert_eq!((&repeated[0].kind, repeated[0].worker), (&OrderKind::Stop, worker));
    harness.execute(&repeated[0]);
    harness.advance_ms(10);
    harness.poll(worker);
    assert!(harness.present("price").is_empty());
    assert_eq!(harness.plan(), Vec::new());
}
