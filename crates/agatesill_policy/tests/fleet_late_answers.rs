//! Answers of workers that wait before the planner handles them.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

mod fleet_support;

use agatesill_policy::fleet::{Order, OrderKind, OrderOutcome, Poll, RunRow, Step};
use fleet_support::{Harness, MS, entry, job, step};

/// Time for which answers wait before they are handled.
const LAG_MS: u64 = 4_200;

fn two_workers(step: Step) -> Harness {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(job("price", vec![step]), harness.now_us);
    harness
}

/// Guards against a run that is stopped as stalled for the time that the answer to its start, and
/// the answer to a poll sent before it, have waited for the planner.
#[test]
fn waiting_answers_do_not_make_a_run_stalled() {
    for step in [step(1), Step { is_lasting: true, ..step(1) }] {
        let mut harness = two_workers(step);
        let sent_us = harness.now_us;
        harness.advance_ms(5);
        let start = harness.plan().remove(0);
        harness.execute_unanswered(&start);
        let answered_us = harness.now_us;
        harness.advance_ms(LAG_MS);
        let now_us = harness.now_us;
        harness.fleet.order_answered_at(&start, OrderOutcome::Done, answered_us, now_us);
        let poll = Poll { sent_us, lease_ms: 5_000, clock_ms: answered_us / MS, ..Poll::default() };
        harness.fleet.polled(start.worker, &poll, harness.now_us);
        let orders = harness.plan();
        assert!(orders.iter().all(|order| order.kind != OrderKind::Stop), "{orders:?}");
    }
}

/// Guards against a healthy worker that is closed as slow because the answers that show the
/// progress of its runs have waited longer than those of other workers.
#[test]
fn waiting_answers_do_not_make_a_worker_slow() {
    let names = ["w1", "w22", "w333", "w4444", "w55555", "w666666"];
    let mut harness = Harness::new(names.map(|id| entry(id, "r1-1")).to_vec());
    let spread = Step { max_per_worker: 1, ..step(names.len() as u32) };
    harness.fleet.accept(job("price", vec![spread]), harness.now_us);
    let starts = harness.plan();
    let begin_us = harness.now_us;
    for start in &starts {
        harness.execute_unanswered(start);
        harness.fleet.order_answered(start, OrderOutcome::Done, begin_us);
    }
    // All runs make a tenth of their progress in 100 ms.
    let poll = |order: &Order, ran_ms: u64| Poll {
        sent_us: begin_us + ran_ms * MS - 1,
        lease_ms: 5_000,
        clock_ms: begin_us / MS + ran_ms,
        started_ms: 0,
        is_incomplete: false,
        running: vec![RunRow {
            task: order.task.clone(),
            run: order.run,
            saved: String::new(),
            percent: ran_ms as u32 / 10,
            figure: 0,
        }],
        ended: Vec::new(),
    };
    let (last, others) = starts.split_last().unwrap();
    harness.advance_ms(300);
    for start in others {
        harness.fleet.polled(start.worker, &poll(start, 300), harness.now_us);
    }
    harness.advance_ms(1_400);
    for ran_ms in [300, 400] {
        harness.fleet.polled(last.worker, &poll(last, ran_ms), harness.now_us);
    }
    assert_eq!(harness.fleet.counts().slow_workers, 0, "a worker was closed as slow");
}

/// Guards against a task that runs twice because its run is missing from a list with rows that could not
/// be read.
#[test]
fn run_missing_from_an_incomplete_list_is_not_absent() {
    for is_incomplete in [true, false] {
        let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
        harness.fleet.accept(job("price", vec![step(1)]), harness.now_us);
        harness.settle();
        harness.advance_ms(100);
        let sent_us = harness.now_us;
        harness.advance_ms(5);
        let poll = Poll { sent_us, clock_ms: 1, is_incomplete, ..Poll::default() };
        harness.fleet.polled(0, &poll, harness.now_us);
        assert_eq!(harness.plan().is_empty(), is_incomplete, "incomplete: {is_incomplete}");
    }
}
