//! Queues whose steps only run where the advice service says so.

mod fleet_support;

use agatesill_policy::fleet::{OrderKind, OrderOutcome};
use fleet_support::{Harness, entry, job, step};

fn advised_job(count: u32) -> agatesill_policy::fleet::JobSpec {
    let mut spec = job("j", vec![step(count)]);
    spec.terms.needs_advice = true;
    spec
}

/// A limit review may run on some workers only. Sent to another one, or without the ticket, every
/// start is rejected and paid for.
#[test]
fn starts_wait_for_the_answer_and_carry_its_ticket() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    rig.fleet.accept(advised_job(2), rig.now_us);
    assert!(rig.plan().is_empty());
    let questions = rig.fleet.take_questions();
    assert_eq!(questions.len(), 1);
    assert_eq!(questions[0].workers.len(), 2);
    assert!(rig.plan().is_empty());
    assert!(rig.fleet.take_questions().is_empty(), "one question at a time");
    let good = [("w22".to_owned(), "leave".to_owned())];
    rig.fleet.advice_answered(&questions[0], Some(&good), 3_000, rig.now_us);
    let orders = rig.plan();
    assert_eq!(orders.len(), 2);
    for order in &orders {
        assert_eq!(rig.fleet.worker(order.worker).entry.id, "w22");
        assert!(matches!(&order.kind, OrderKind::Start { ticket, .. } if ticket == "leave"));
    }
}

/// A ticket has run out while the step waited for room, or the service did not answer. Used all the
/// same, or waited for without end, the step would never run.
#[test]
fn a_ticket_that_ran_out_and_a_lost_answer_are_asked_for_again() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(advised_job(1), rig.now_us);
    rig.plan();
    let lost = rig.fleet.take_questions().remove(0);
    rig.fleet.advice_answered(&lost, None, 0, rig.now_us);
    rig.plan();
    let question = rig.fleet.take_questions().remove(0);
    let good = [("w1".to_owned(), "leave".to_owned())];
    rig.fleet.advice_answered(&question, Some(&good), 1_000, rig.now_us);
    rig.advance_ms(900);
    assert!(rig.plan().is_empty(), "too little of its time is left");
    let again = rig.fleet.take_questions().remove(0);
    rig.fleet.advice_answered(&again, Some(&good), 1_000, rig.now_us);
    let start = rig.plan().remove(0);
    rig.fleet.order_answered(&start, OrderOutcome::Done, rig.now_us);
}
