//! How long work has waited, across takeovers and steps of clocks.

mod fleet_support;

use agatesill_policy::fleet::{EndCause, OrderOutcome, Step};
use fleet_support::{Harness, MS, entry, job, step};

fn accepted_now(rig: &Harness, id: &str, steps: Vec<Step>) -> agatesill_policy::fleet::JobSpec {
    agatesill_policy::fleet::JobSpec { accepted_at_ms: rig.now_us / MS, ..job(id, steps) }
}

/// Guards against a successor that counts waits from its own start.
#[test]
fn waits_survive_a_takeover() {
    let mut rig = Harness::new(vec![entry("w", "r1-1")]);
    let lasting = Step { is_lasting: true, ..step(16) };
    let holder = accepted_now(&rig, "holder", vec![lasting.clone()]);
    rig.fleet.accept(holder.clone(), rig.now_us);
    rig.settle();
    let unbegun = accepted_now(&rig, "unbegun", vec![step(1)]);
    rig.fleet.accept(unbegun.clone(), rig.now_us);
    rig.advance_ms(2_000);
    let (worker, task, run) = rig.present("holder").remove(0);
    rig.end(worker, &task, run, EndCause::Failed);
    let full = Step { count: 1, ..lasting };
    let other = accepted_now(&rig, "other", vec![full]);
    rig.fleet.accept(other.clone(), rig.now_us);
    rig.settle();
    rig.poll_all();
    rig.commit();
    rig.advance_ms(3_000);
    let before = rig.fleet.usage(rig.now_us);
    let fleet = rig.successor(&[holder, unbegun, other], Vec::new());
    let after = fleet.usage(rig.now_us);
    assert!(before.lasting.longest_ms >= 3_000, "{before:?}");
    assert!(after.lasting.longest_ms.abs_diff(before.lasting.longest_ms) <= 10, "{after:?}");
    assert!(after.plain.longest_ms.abs_diff(before.plain.longest_ms) <= 10, "{after:?}");
}

/// Guards against a later step whose wait begins anew with each planner.
#[test]
fn the_turn_of_a_later_step_survives_a_takeover() {
    let mut rig = Harness::new(vec![entry("w", "r1-1")]);
    let spec = accepted_now(
        &rig,
        "j",
        vec![step(1), Step { after: vec![0], label: "none".to_owned(), ..step(1) }],
    );
    rig.fleet.accept(spec.clone(), rig.now_us);
    rig.settle();
    rig.advance_ms(1_000);
    let (worker, task, run) = rig.present("j").remove(0);
    rig.end(worker, &task, run, EndCause::Done);
    rig.poll_all();
    rig.settle();
    rig.advance_ms(4_000);
    let before = rig.fleet.usage(rig.now_us).plain.longest_ms;
    let after = rig.successor(&[spec], Vec::new()).usage(rig.now_us).plain.longest_ms;
    assert!(before.abs_diff(4_000) <= 10 && after.abs_diff(before) <= 10, "{before} {after}");
}

/// The order in which two jobs that compete for one core start, when the clock that plans steps.
fn order_with_step(step_ms: i64) -> String {
    let mut rig = Harness::new(vec![entry("w", "r1-1")]);
    rig.fleet.accept(accepted_now(&rig, "holder", vec![step(16)]), rig.now_us);
    rig.settle();
    rig.fleet.accept(accepted_now(&rig, "aged", vec![step(1)]), rig.now_us);
    rig.advance_ms(1_500);
    let stepped_ms = (rig.now_us / MS) as i64 + step_ms;
    rig.fleet.accept(accepted_now(&rig, "fresh", vec![step(1)]), rig.now_us);
    let (worker, task, run) = rig.present("holder").remove(0);
    rig.end(worker, &task, run, EndCause::Done);
    rig.poll_all();
    rig.fleet.plan(rig.now_us, stepped_ms.max(0) as u64);
    rig.commit();
    let orders = rig.fleet.take_orders();
    orders.iter().map(|order| order.task.job.clone()).collect()
}

/// Guards against a planner whose clock steps and to which work in time looks late, or late work fresh.
#[test]
fn a_step_of_the_planners_clock_changes_no_order() {
    let without = order_with_step(0);
    assert!(!without.is_empty());
    assert_eq!(order_with_step(20_000), without);
    assert_eq!(order_with_step(-9_000), without);
}

/// Guards against a job that counts as older, or younger, by more than its daemon's clock has stepped.
#[test]
fn a_step_of_the_accepting_daemons_clock_ages_a_job_by_no_more() {
    for (step_ms, is_in_time) in [(1_000, true), (0, true), (-1_000, true), (-2_500, false)] {
        let mut rig = Harness::new(vec![entry("w", "r1-1")]);
        rig.fleet.accept(accepted_now(&rig, "holder", vec![step(16)]), rig.now_us);
        rig.settle();
        // Three seconds from acceptance to its objective, of which it runs for one.
        let mut stepped = accepted_now(&rig, "stepped", vec![step(1)]);
        stepped.accepted_at_ms = (stepped.accepted_at_ms as i64 + step_ms) as u64;
        rig.fleet.accept(stepped, rig.now_us);
        let late = agatesill_policy::fleet::JobSpec {
            accepted_at_ms: rig.now_us / MS - 2_500,
            ..job("late", vec![step(1)])
        };
        rig.fleet.accept(late, rig.now_us);
        let (worker, task, run) = rig.present("holder").remove(0);
        rig.end(worker, &task, run, EndCause::Done);
        rig.poll_all();
        let first = rig.plan().remove(0).task.job;
        assert!(!is_in_time || first == "stepped", "{step_ms} ms: {first}");
    }
}

/// Guards against ages beyond the step that was seen when a successor's clock is ahead or behind.
#[test]
fn a_successor_with_another_clock_errs_by_no_more_than_the_step() {
    for step_ms in [-2_000_i64, 0, 2_000] {
        let mut rig = Harness::new(vec![entry("w", "r1-1")]);
        let spec = accepted_now(&rig, "j", vec![Step { label: "none".to_owned(), ..step(1) }]);
        rig.fleet.accept(spec.clone(), rig.now_us);
        rig.advance_ms(5_000);
        let mut fleet = agatesill_policy::fleet::Fleet::new(fleet_support::bounds());
        let wall_ms = (rig.now_us / MS) as i64 + step_ms;
        fleet.set_wall_clock(rig.now_us, wall_ms as u64);
        fleet.restore(spec, None, rig.now_us);
        let waited_ms = fleet.usage(rig.now_us).plain.longest_ms as i64;
        assert!((waited_ms - 5_000 - step_ms).abs() <= 10, "{waited_ms}");
    }
}

/// Guards against lasting tasks whose wait begins anew with each start that their worker rejects.
#[test]
fn a_rejected_start_does_not_restart_the_wait() {
    let mut rig = Harness::new(vec![entry("w", "r1-1")]);
    let spec = accepted_now(&rig, "watch", vec![Step { is_lasting: true, ..step(1) }]);
    rig.fleet.accept(spec, rig.now_us);
    for _ in 0..4 {
        for order in rig.plan() {
            rig.fleet.order_answered(&order, OrderOutcome::NoRoom, rig.now_us);
        }
        rig.advance_ms(1_000);
        rig.poll_all();
    }
    let waited_ms = rig.fleet.usage(rig.now_us).lasting.longest_ms;
    assert!(waited_ms >= 4_000, "{waited_ms}");
}

/// Guards against a successor that forgets how long a task waited whose start was not carried out.
#[test]
fn the_wait_of_a_task_that_was_about_to_start_survives_a_takeover() {
    let mut rig = Harness::new(vec![entry("w", "r1-1")]);
    let spec = accepted_now(&rig, "watch", vec![Step { is_lasting: true, ..step(1) }]);
    rig.fleet.worker_silent(0, rig.now_us);
    rig.fleet.accept(spec.clone(), rig.now_us);
    rig.advance_ms(5_000);
    rig.poll_all();
    assert_eq!(rig.plan().len(), 1, "ordered, and not carried out");
    rig.fleet = rig.successor(&[spec], vec![entry("w", "r1-1")]);
    rig.poll_all();
    let waited_ms = rig.fleet.usage(rig.now_us).lasting.longest_ms;
    assert!(waited_ms >= 5_000, "{waited_ms}");
}
