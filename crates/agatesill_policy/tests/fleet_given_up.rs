//! Starts that are given up without an answer, by a planner that handles answers late.

mod fleet_support;

use agatesill_policy::fleet::{Order, OrderKind, OrderOutcome, Poll, Step};
use fleet_support::{Harness, MS, entry, job, step};

/// Longer than a start may stay without an answer.
const OVERDUE_MS: u64 = 2_600;

fn lasting() -> Step {
    Step { is_lasting: true, ..step(1) }
}

fn two_workers() -> Harness {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(job("watch", vec![lasting()]), harness.now_us);
    harness
}

fn of_kind(orders: &[Order], is_wanted: impl Fn(&OrderKind) -> bool) -> Vec<&Order> {
    orders.iter().filter(|order| is_wanted(&order.kind)).collect()
}

fn starts(orders: &[Order]) -> Vec<&Order> {
    of_kind(orders, |kind| matches!(kind, OrderKind::Start { .. }))
}

fn stops(orders: &[Order]) -> Vec<&Order> {
    of_kind(orders, |kind| *kind == OrderKind::Stop)
}

/// Guards against a rejected start whose task waits for a stop that has nothing to bar, because the
/// rejection was handled after the start had been given up.
#[test]
fn rejection_of_a_start_that_was_given_up_frees_its_task() {
    let outcomes = [
        OrderOutcome::Late,
        OrderOutcome::NoRoom,
        OrderOutcome::NoTicket,
        OrderOutcome::Refused,
        OrderOutcome::Withheld,
        OrderOutcome::Malformed,
    ];
    let waiting: Vec<OrderOutcome> = outcomes
        .into_iter()
        .filter(|outcome| {
            let mut harness = two_workers();
            let start = harness.plan().remove(0);
            harness.advance_ms(OVERDUE_MS);
            harness.poll_all();
            assert_eq!(stops(&harness.plan()).len(), 1, "the start is given up");
            harness.fleet.order_answered(&start, *outcome, harness.now_us);
            starts(&harness.plan()).is_empty()
        })
        .collect();
    assert!(waiting.is_empty(), "not started again after {waiting:?}");
}

/// Guards against a barred run whose absence is never proven, because each answer to a repeated
/// stop makes the polls sent before it worthless.
#[test]
fn first_answer_to_a_repeated_stop_counts() {
    let mut harness = two_workers();
    let start = harness.plan().remove(0);
    let mut repeated = Vec::new();
    for _ in 0..2 {
        harness.advance_ms(OVERDUE_MS);
        harness.poll_all();
        repeated.extend(stops(&harness.plan()).into_iter().cloned());
    }
    assert_eq!(repeated.len(), 2, "the stop is repeated: {repeated:?}");
    harness.fleet.order_answered(&repeated[0], OrderOutcome::Done, harness.now_us);
    harness.advance_ms(5);
    let sent_us = harness.now_us;
    harness.advance_ms(5);
    harness.fleet.order_answered(&repeated[1], OrderOutcome::Done, harness.now_us);
    harness.poll_sent(start.worker, sent_us);
    assert_eq!(starts(&harness.plan()).len(), 1, "the run was barred before the poll was sent");
}

/// Guards against a run that is stopped as overdue although its worker carries it out: the poll
/// that lacks it was sent before its start, and the answers of both wait to be handled.
#[test]
fn poll_sent_before_a_start_does_not_show_that_it_is_overdue() {
    let mut harness = two_workers();
    let sent_us = harness.now_us;
    harness.advance_ms(5);
    let start = harness.plan().remove(0);
    harness.execute_unanswered(&start);
    harness.advance_ms(OVERDUE_MS);
    let clock_ms = harness.now_us / MS;
    let poll = Poll { sent_us, lease_ms: 5_000, clock_ms, ..Poll::default() };
    harness.fleet.polled(start.worker, &poll, harness.now_us);
    let orders = harness.plan();
    assert!(stops(&orders).is_empty(), "{orders:?}");
}
