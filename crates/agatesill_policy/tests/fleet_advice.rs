//! Queues whose steps only run on workers approved by the advice service.

mod fleet_support;

use agatesill_policy::fleet::{OrderKind, OrderOutcome};
use fleet_support::{Harness, entry, job, step};

fn advised_job(count: u32) -> agatesill_policy::fleet::JobSpec {
    let mut spec = job("j", vec![step(count)]);
    spec.terms.needs_advice = true;
    spec
}

/// Starts on workers that are not approved, or without the ticket, are rejected and still cost a
/// call.
#[test]
fn starts_wait_for_advice_and_carry_its_ticket() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(advised_job(2), harness.now_us);
    assert!(harness.plan().is_empty());
    let questions = harness.fleet.take_questions();
    assert_eq!(questions.len(), 1);
    assert_eq!(questions[0].workers.len(), 2);
    assert!(harness.plan().is_empty());
    assert!(harness.fleet.take_questions().is_empty(), "no second question while one is pending");
    let good = [("w22".to_owned(), "leave".to_owned())];
    harness.fleet.advice_answered(&questions[0], Some(&good), 3_000, harness.now_us);
    let orders = harness.plan();
    assert_eq!(orders.len(), 2);
    for order in &orders {
        assert_eq!(harness.fleet.worker(order.worker).entry.id, "w22");
        assert!(matches!(&order.kind, OrderKind::Start { ticket, .. } if ticket == "leave"));
    }
}

/// A step would never run if it used an expired ticket or waited forever for a lost answer. The
/// question must be asked again in both cases.
#[test]
fn expired_ticket_and_lost_answer_are_requested_again() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(advised_job(1), harness.now_us);
    harness.plan();
    let lost = harness.fleet.take_questions().remove(0);
    harness.fleet.advice_answered(&lost, None, 0, harness.now_us);
    harness.plan();
    let question = harness.fleet.take_questions().remove(0);
    let good = [("w1".to_owned(), "leave".to_owned())];
    harness.fleet.advice_answered(&question, Some(&good), 1_000, harness.now_us);
    harness.advance_ms(900);
    assert!(harness.plan().is_empty(), "the ticket is too close to its expiry");
    let renewal = harness.fleet.take_questions().remove(0);
    harness.fleet.advice_answered(&renewal, Some(&good), 1_000, harness.now_us);
    let start = harness.plan().remove(0);
    harness.fleet.order_answered(&start, OrderOutcome::Done, harness.now_us);
}
