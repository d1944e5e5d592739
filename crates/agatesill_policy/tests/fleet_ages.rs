//! Ages of jobs and waits of tasks across takeovers and steps of wall clocks.

mod fleet_support;

use agatesill_policy::fleet::{EndCause, OrderOutcome, Step};
use fleet_support::{Harness, MS, entry, job, step};

fn accepted_now(harness: &Harness, id: &str, steps: Vec<Step>) -> agatesill_policy::fleet::JobSpec {
    agatesill_policy::fleet::JobSpec { accepted_at_ms: harness.now_us / MS, ..job(id, steps) }
}

/// Guards against a successor that measures waits from its own start.
#[test]
fn waits_survive_a_takeover() {
    let mut harness = Harness::new(vec![entry("w", "r1-1")]);
    let lasting = Step { is_lasting: true, ..step(16) };
    let holder = accepted_now(&harness, "holder", vec![lasting.clone()]);
    harness.fleet.accept(holder.clone(), harness.now_us);
    harness.settle();
    let never_started = accepted_now(&harness, "unbegun", vec![step(1)]);
    harness.fleet.accept(never_started.clone(), harness.now_us);
    harness.advance_ms(2_000);
    let (worker, task, run) = harness.present("holder").remove(0);
    harness.end(worker, &task, run, EndCause::Failed);
    let one_task = Step { count: 1, ..lasting };
    let other = accepted_now(&harness, "other", vec![one_task]);
    harness.fleet.accept(other.clone(), harness.now_us);
    harness.settle();
    harness.poll_all();
    harness.commit();
    harness.advance_ms(3_000);
    let before = harness.fleet.usage(harness.now_us);
    let fleet = harness.successor(&[holder, never_started, other], Vec::new());
    let after = fleet.usage(harness.now_us);
    assert!(before.lasting.longest_ms >= 3_000, "{before:?}");
    assert!(after.lasting.longest_ms.abs_diff(before.lasting.longest_ms) <= 10, "{after:?}");
    assert!(after.plain.longest_ms.abs_diff(before.plain.longest_ms) <= 10, "{after:?}");
}

/// Guards against a takeover that resets the wait of a step that became runnable after its job was
/// accepted.
#[test]
fn wait_of_a_later_step_survives_a_takeover() {
    let mut harness = Harness::new(vec![entry("w", "r1-1")]);
    let spec = accepted_now(
        &harness,
        "j",
        vec![step(1), Step { after: vec![0], label: "none".to_owned(), ..step(1) }],
    );
    harness.fleet.accept(spec.clone(), harness.now_us);
    harness.settle();
    harness.advance_ms(1_000);
    let (worker, task, run) = harness.present("j").remove(0);
    harness.end(worker, &task, run, EndCause::Done);
    harness.poll_all();
    harness.settle();
    harness.advance_ms(4_000);
    let before = harness.fleet.usage(harness.now_us).plain.longest_ms;
    let after = harness.successor(&[spec], Vec::new()).usage(harness.now_us).plain.longest_ms;
    assert!(before.abs_diff(4_000) <= 10 && after.abs_diff(before) <= 10, "{before} {after}");
}

/// Returns the start order of two jobs that compete for one core if the planner's wall clock steps
/// by `step_ms`.
fn start_order_with_clock_step(step_ms: i64) -> String {
    let mut harness = Harness::new(vec![entry("w", "r1-1")]);
    harness.fleet.accept(accepted_now(&harness, "holder", vec![step(16)]), harness.now_us);
    harness.settle();
    harness.fleet.accept(accepted_now(&harness, "aged", vec![step(1)]), harness.now_us);
    harness.advance_ms(1_500);
    let stepped_ms = (harness.now_us / MS) as i64 + step_ms;
    harness.fleet.accept(accepted_now(&harness, "fresh", vec![step(1)]), harness.now_us);
    let (worker, task, run) = harness.present("holder").remove(0);
    harness.end(worker, &task, run, EndCause::Done);
    harness.poll_all();
    harness.fleet.plan(harness.now_us, stepped_ms.max(0) as u64);
    harness.commit();
    let orders = harness.fleet.take_orders();
    orders.iter().map(|order| order.task.job.clone()).collect()
}

/// Guards against a step of the planner's wall clock that makes jobs look late or late jobs look
/// new.
#[test]
fn step_of_the_planners_clock_does_not_change_the_order() {
    let without = start_order_with_clock_step(0);
    assert!(!without.is_empty());
    assert_eq!(start_order_with_clock_step(20_000), without);
    assert_eq!(start_order_with_clock_step(-9_000), without);
}

/// Guards against a job whose age is off by more than the step of the wall clock of the daemon that
/// accepted it.
#[test]
fn step_of_the_accepting_daemons_clock_changes_the_age_by_no_more() {
    for (step_ms, is_in_time) in [(1_000, true), (0, true), (-1_000, true), (-2_500, false)] {
        let mut harness = Harness::new(vec![entry("w", "r1-1")]);
        harness.fleet.accept(accepted_now(&harness, "holder", vec![step(16)]), harness.now_us);
        harness.settle();
        // The objective is three seconds after acceptance; the job runs for one of them.
        let mut stepped = accepted_now(&harness, "stepped", vec![step(1)]);
        stepped.accepted_at_ms = (stepped.accepted_at_ms as i64 + step_ms) as u64;
        harness.fleet.accept(stepped, harness.now_us);
        let late = agatesill_policy::fleet::JobSpec {
            accepted_at_ms: harness.now_us / MS - 2_500,
            ..job("late", vec![step(1)])
        };
        harness.fleet.accept(late, harness.now_us);
        let (worker, task, run) = harness.present("holder").remove(0);
        harness.end(worker, &task, run, EndCause::Done);
        harness.poll_all();
        let first = harness.plan().remove(0).task.job;
        assert!(!is_in_time || first == "stepped", "{step_ms} ms: {first}");
    }
}

/// Guards against ages that are off by more than the difference between the clocks of two planners.
#[test]
fn successor_with_another_clock_errs_by_no_more_than_the_difference() {
    for step_ms in [-2_000_i64, 0, 2_000] {
        let mut harness = Harness::new(vec![entry("w", "r1-1")]);
        let spec = accepted_now(&harness, "j", vec![Step { label: "none".to_owned(), ..step(1) }]);
        harness.fleet.accept(spec.clone(), harness.now_us);
        harness.advance_ms(5_000);
        let mut fleet = agatesill_policy::fleet::Fleet::new(fleet_support::bounds());
        let wall_ms = (harness.now_us / MS) as i64 + step_ms;
        fleet.set_wall_clock(harness.now_us, wall_ms as u64);
        fleet.restore(spec, None, harness.now_us);
        let waited_ms = fleet.usage(harness.now_us).plain.longest_ms as i64;
        assert!((waited_ms - 5_000 - step_ms).abs() <= 10, "{waited_ms}");
    }
}

/// Guards against a successor that counts the wait before a run as part of the wait after it.
#[test]
fn end_of_a_run_that_only_the_predecessor_saw_begins_a_new_wait() {
    let mut harness = Harness::new(vec![entry("w", "r1-1")]);
    let spec = accepted_now(&harness, "watch", vec![Step { is_lasting: true, ..step(1) }]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    harness.advance_ms(5_000);
    harness.settle();
    harness.advance_ms(9_000);
    let (worker, task, run) = harness.present("watch").remove(0);
    harness.end(worker, &task, run, EndCause::Failed);
    harness.fleet = harness.successor(&[spec], vec![entry("w", "r1-1")]);
    harness.poll_all();
    let waited_ms = harness.fleet.usage(harness.now_us).lasting.longest_ms;
    assert!(waited_ms <= 10, "{waited_ms}");
}

/// Guards against rejected starts that reset the wait of a long-running task.
#[test]
fn rejected_start_does_not_reset_the_wait() {
    let mut harness = Harness::new(vec![entry("w", "r1-1")]);
    let spec = accepted_now(&harness, "watch", vec![Step { is_lasting: true, ..step(1) }]);
    harness.fleet.accept(spec, harness.now_us);
    for _ in 0..4 {
        for order in harness.plan() {
            harness.fleet.order_answered(&order, OrderOutcome::NoRoom, harness.now_us);
        }
        harness.advance_ms(1_000);
        harness.poll_all();
    }
    let waited_ms = harness.fleet.usage(harness.now_us).lasting.longest_ms;
    assert!(waited_ms >= 4_000, "{waited_ms}");
}

/// Guards against a successor that resets the wait of a task whose start was ordered but not
/// carried out.
#[test]
fn wait_of_a_task_with_an_ordered_start_survives_a_takeover() {
    let mut harness = Harness::new(vec![entry("w", "r1-1")]);
    let spec = accepted_now(&harness, "watch", vec![Step { is_lasting: true, ..step(1) }]);
    harness.fleet.worker_silent(0, harness.now_us);
    harness.fleet.accept(spec.clone(), harness.now_us);
    harness.advance_ms(5_000);
    harness.poll_all();
    assert_eq!(harness.plan().len(), 1, "the start is ordered but not carried out");
    harness.fleet = harness.successor(&[spec], vec![entry("w", "r1-1")]);
    harness.poll_all();
    let waited_ms = harness.fleet.usage(harness.now_us).lasting.longest_ms;
    assert!(waited_ms >= 5_000, "{waited_ms}");
}
