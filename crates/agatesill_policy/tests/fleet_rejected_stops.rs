//! Stops that workers reject.

mod fleet_support;

use agatesill_policy::fleet::{Order, OrderKind, OrderOutcome, Step};
use fleet_support::{Harness, entry, job, step};

fn two_workers(step: Step) -> Harness {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(job("price", vec![step]), harness.now_us);
    harness
}

fn is_start(order: &Order) -> bool {
    matches!(order.kind, OrderKind::Start { .. })
}

/// Guards against a second run of a task whose first start is carried out late, after the stop that
/// should have barred it was rejected.
#[test]
fn rejected_stop_does_not_prove_that_a_run_is_barred() {
    let outcomes = [OrderOutcome::Refused, OrderOutcome::Malformed, OrderOutcome::Late];
    let twice: Vec<OrderOutcome> = outcomes
        .into_iter()
        .filter(|outcome| {
            let mut harness = two_workers(step(1));
            let start = harness.plan().remove(0);
            harness.advance_ms(2_600);
            harness.poll_all();
            let stop = harness.plan().remove(0);
            assert_eq!(stop.kind, OrderKind::Stop, "the start is given up");
            harness.fleet.order_answered(&stop, *outcome, harness.now_us);
            harness.advance_ms(5);
            harness.poll_all();
            harness.advance_ms(1_100);
            harness.poll_all();
            let orders = harness.plan();
            orders.iter().filter(|order| is_start(order)).for_each(|order| harness.execute(order));
            harness.execute_unanswered(&start);
            harness.present("price").len() > 1
        })
        .collect();
    assert!(twice.is_empty(), "two runs at a time after a stop answered by {twice:?}");
}
