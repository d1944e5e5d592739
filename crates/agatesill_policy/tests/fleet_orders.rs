//! Lost, late and superseded orders, and the runs that they concern.

mod fleet_support;

use agatesill_policy::fleet::{
    EndCause, JobPhase, Order, OrderKind, OrderOutcome, Step, WorkerStanding,
};
use fleet_support::{Harness, MS, entry, job, step};

fn starts(orders: &[Order]) -> Vec<&Order> {
    orders.iter().filter(|order| matches!(order.kind, OrderKind::Start { .. })).collect()
}

#[test]
fn steps_run_in_dependency_order() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let second = Step { after: vec![0], ..step(1) };
    harness.fleet.accept(job("j", vec![step(2), second]), harness.now_us);
    harness.settle();
    assert_eq!(harness.present("j").len(), 2, "only the first step is runnable");
    for (worker, task, run) in harness.present("j") {
        harness.end(worker, &task, run, EndCause::Done);
    }
    harness.poll_all();
    harness.settle();
    let runs = harness.present("j");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].1.step, 1);
    harness.end(runs[0].0, &runs[0].1, runs[0].2, EndCause::Done);
    harness.poll_all();
    harness.settle();
    assert_eq!(harness.fleet.state_of("j"), Some((JobPhase::Completed, true)));
}

/// Guards against a second run after a takeover. If a start is sent before its record is stored, a
/// successor reads a ledger without the run and starts the task again.
#[test]
fn start_is_sent_only_after_its_record_is_stored() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    let writes = harness.fleet.take_writes(15, harness.now_us);
    assert_eq!(writes.len(), 1);
    assert!(harness.fleet.take_orders().is_empty());
    harness.fleet.not_committed(&writes[0], harness.now_us);
    assert!(harness.fleet.take_orders().is_empty());
    assert_eq!(starts(&harness.plan()).len(), 1);
}

/// Guards against a cancelled job that starts. After a gap in the store's history both keys are
/// read again, the cancel before the job, and the ledger must remember the cancel of a job that it
/// does not know.
#[test]
fn cancel_received_before_its_job_is_applied() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.cancel("j", harness.now_us);
    harness.fleet.accept(job("j", vec![step(2)]), harness.now_us);
    harness.settle();
    assert!(harness.orders.is_empty(), "{:?}", harness.orders);
    assert_eq!(harness.fleet.state_of("j"), Some((JobPhase::Cancelled, false)));
}

/// Guards against a second run after a lost answer. The start is sent again with the same run
/// number, which the worker recognises; a new number on another worker would run the task twice.
#[test]
fn unanswered_start_is_repeated_with_the_same_worker_and_run_number() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    let orders = harness.plan();
    harness.execute_unanswered(&orders[0]);
    harness.fleet.order_answered(&orders[0], OrderOutcome::Unanswered, harness.now_us);
    let again = harness.plan();
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].worker, again[0].run), (orders[0].worker, orders[0].run));
    harness.execute(&again[0]);
    harness.poll_all();
    harness.settle();
    assert_eq!(harness.present("j").len(), 1);
}

/// Guards against two runs of a task when a worker leaves a start unanswered twice and carries it
/// out three seconds later. A stop must bar the first run before the task starts elsewhere.
#[test]
fn start_unanswered_twice_is_barred_before_the_task_moves() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    let first = harness.plan().remove(0);
    harness.fleet.order_answered(&first, OrderOutcome::Unanswered, harness.now_us);
    let second = harness.plan().remove(0);
    harness.fleet.order_answered(&second, OrderOutcome::Unanswered, harness.now_us);
    let bar = harness.plan();
    assert_eq!(bar.len(), 1, "no start elsewhere before the run is barred: {bar:?}");
    assert_eq!((bar[0].worker, &bar[0].kind), (first.worker, &OrderKind::Stop));
    harness.execute(&bar[0]);
    harness.advance_ms(5);
    harness.poll_all();
    let elsewhere = harness.plan();
    assert_eq!(starts(&elsewhere).len(), 1);
    assert!(elsewhere[0].run > first.run);
}

/// Guards against two runs of a task when a start is unanswered, then rejected for lack of
/// capacity, and the first order is carried out three seconds later. By then the task has run
/// elsewhere and its end is acknowledged, so a stop must bar the first run before that.
#[test]
fn start_rejected_after_being_unanswered_is_barred() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    let first = harness.plan().remove(0);
    harness.fleet.order_answered(&first, OrderOutcome::Unanswered, harness.now_us);
    let second = harness.plan().remove(0);
    harness.fleet.order_answered(&second, OrderOutcome::NoRoom, harness.now_us);
    let bar = harness.plan();
    assert!(starts(&bar).is_empty(), "the first order may still be carried out: {bar:?}");
    assert_eq!((bar[0].worker, &bar[0].kind), (first.worker, &OrderKind::Stop));
    harness.execute(&bar[0]);
    harness.advance_ms(5);
    harness.poll_all();
    let elsewhere = harness.plan();
    assert_eq!(starts(&elsewhere).len(), 1);
    assert!(elsewhere[0].run > first.run);
}

/// Guards against a finished task that runs again. The answer that a run is old, because it has
/// ended, can overtake the list of ends; the task must not start under a higher number before that
/// list arrives.
#[test]
fn run_reported_as_old_waits_for_its_end() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    let start = harness.plan().remove(0);
    harness.execute_unanswered(&start);
    harness.end(start.worker, &start.task, start.run, EndCause::Done);
    harness.fleet.order_answered(&start, OrderOutcome::Old, harness.now_us);
    assert!(starts(&harness.plan()).is_empty());
    harness.advance_ms(5);
    harness.poll_all();
    harness.settle();
    assert_eq!(harness.fleet.state_of("j"), Some((JobPhase::Completed, true)));
}

/// Guards against two runs of a task for 200 ms. The answer to a poll is lost when the network to a
/// worker fails, but the poll has renewed the lease, so the lease counts from the last request and
/// not from the last answer.
#[test]
fn lease_counts_from_the_last_request_even_if_unanswered() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    harness.settle();
    let worker = harness.present("j")[0].0;
    harness.poll_all();
    harness.advance_ms(500);
    let asked_us = harness.now_us;
    harness.fleet.lease_requested(worker, asked_us);
    harness.fleet.worker_silent(worker, harness.now_us + 1_200 * MS);
    harness.now_us = asked_us + 5_050 * MS;
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    assert!(starts(&harness.plan()).is_empty(), "the lease of a slow clock has not ended yet");
    harness.now_us = asked_us + 5_500 * MS;
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

/// Guards against a task that runs on for hours after its cancel. The stop is lost because the
/// worker is not registered, as after a store outage, and must be repeated when the worker returns.
#[test]
fn stop_is_repeated_while_the_run_is_present() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    harness.settle();
    harness.poll_all();
    harness.fleet.cancel("j", harness.now_us);
    let lost = harness.plan();
    assert!(lost.iter().any(|order| order.kind == OrderKind::Stop));
    harness.advance_ms(2_000);
    harness.poll_all();
    let again = harness.plan();
    assert!(again.iter().any(|order| order.kind == OrderKind::Stop), "{again:?}");
    again.iter().for_each(|order| harness.execute(order));
    harness.poll_all();
    assert!(harness.present("j").is_empty());
}

/// Guards against five seconds without a run. When another incarnation answers at the address of a
/// terminated worker, the runs of the old one have ended, and waiting for their lease is useless.
#[test]
fn new_incarnation_at_an_address_terminates_the_old_one() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    harness.settle();
    let old = harness.present("j")[0].0;
    let mut restarted = entry("w1", "r1-1");
    restarted.id = "w1-reborn".to_owned();
    let new = harness.list(restarted);
    assert_eq!(harness.fleet.take_unverified(), vec![old], "a call must show which one is alive");
    harness.poll(new);
    assert_eq!(harness.fleet.worker(old).standing, WorkerStanding::Gone);
    let orders = harness.plan();
    assert_eq!(starts(&orders).len(), 1);
    assert_eq!((orders[0].worker, orders[0].run), (new, 2));
}

/// Guards against repeated rejections. A start that follows a rejection for lack of capacity at
/// once is rejected as well, and each rejection has a cost.
#[test]
fn worker_without_capacity_gets_no_starts_for_a_moment() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    let start = harness.plan().remove(0);
    harness.fleet.order_answered(&start, OrderOutcome::NoRoom, harness.now_us);
    assert!(starts(&harness.plan()).is_empty());
    harness.advance_ms(500);
    assert_eq!(starts(&harness.plan())[0].run, 2);
}

/// Guards against a task that runs again after a crash of the planner. An end that is acknowledged
/// before its effect is stored is lost with the process.
#[test]
fn end_is_acknowledged_after_its_record_is_stored() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    harness.settle();
    let (worker, task, run) = harness.present("j").remove(0);
    harness.end(worker, &task, run, EndCause::Done);
    harness.poll(worker);
    assert_eq!(harness.fleet.acked_end(worker), 0);
    harness.commit();
    assert_eq!(harness.fleet.acked_end(worker), 1);
}

/// Guards against a healthy worker that is quarantined because one job fails on it. The job fails
/// after the queue's maximum number of attempts.
#[test]
fn failing_job_does_not_quarantine_its_worker() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    for _ in 0..3 {
        harness.settle();
        let (worker, task, run) = harness.present("j").remove(0);
        harness.end(worker, &task, run, EndCause::Failed);
        harness.poll_all();
    }
    harness.settle();
    assert_eq!(harness.fleet.state_of("j"), Some((JobPhase::Failed, true)));
    harness.fleet.accept(job("k", vec![step(1)]), harness.now_us);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

/// Guards against a faulty worker that uses up the attempts of every job in the queue.
#[test]
fn worker_that_fails_several_jobs_is_quarantined() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    for id in ["j", "k", "l"] {
        harness.fleet.accept(job(id, vec![step(1)]), harness.now_us);
    }
    harness.settle();
    for id in ["j", "k", "l"] {
        let (worker, task, run) = harness.present(id).remove(0);
        harness.end(worker, &task, run, EndCause::Failed);
    }
    harness.poll_all();
    assert!(starts(&harness.plan()).is_empty());
    harness.advance_ms(4_500);
    harness.poll_all();
    assert_eq!(starts(&harness.plan()).len(), 3, "the worker is tried again after its quarantine");
}

/// Guards against long-running tasks that are missing for the time of a lease. They must move when
/// their worker announces that it is leaving, and no start may go there after that.
#[test]
fn long_running_tasks_move_off_a_leaving_worker() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let watch = Step { is_lasting: true, ..step(1) };
    harness.fleet.accept(job("j", vec![watch]), harness.now_us);
    harness.settle();
    harness.poll_all();
    let (worker, ..) = harness.present("j").remove(0);
    let mut leaving = harness.fleet.worker(worker).entry.clone();
    leaving.is_leaving = true;
    leaving.leaves_in_ms = 2_000;
    harness.list(leaving);
    harness.settle();
    harness.poll_all();
    harness.settle();
    let runs = harness.present("j");
    assert_eq!(runs.len(), 1);
    assert_ne!(runs[0].0, worker);
    assert_eq!(runs[0].2, 2);
}

/// Guards against wasted capacity. The members of a gang that starts only in part, here three of
/// four, wait for the others and end alone.
#[test]
fn gang_starts_completely_or_not_at_all() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let mut gang = Step { is_gang: true, ..step(4) };
    gang.need.cpu_milli = 5_000;
    harness.fleet.accept(job("j", vec![gang]), harness.now_us);
    assert!(starts(&harness.plan()).is_empty());
    harness.list(entry("w22", "r1-1"));
    harness.poll_all();
    let orders = harness.plan();
    let runs: Vec<u32> = starts(&orders).iter().map(|order| order.run).collect();
    assert_eq!(runs, [1, 1, 1, 1]);
}

/// Guards against a cancelled task that runs until its stop arrives. A start that waits to be sent
/// again when its job is cancelled could overtake the stop, and must be dropped.
#[test]
fn cancel_drops_a_start_that_waits_to_be_repeated() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    let start = harness.plan().remove(0);
    harness.fleet.order_answered(&start, OrderOutcome::Unanswered, harness.now_us);
    harness.fleet.cancel("j", harness.now_us);
    let orders = harness.plan();
    assert!(starts(&orders).is_empty(), "{orders:?}");
    assert!(orders.iter().any(|order| order.kind == OrderKind::Stop));
}

/// Guards against a long-running task without a run for up to half a minute. If only a quarantined
/// worker has capacity, the task goes back there, because it has no attempts to lose.
#[test]
fn long_running_task_uses_a_quarantined_worker_as_last_resort() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let watch = Step { is_lasting: true, ..step(1) };
    harness.fleet.accept(job("watch", vec![watch]), harness.now_us);
    for id in ["j", "k", "l"] {
        harness.fleet.accept(job(id, vec![step(1)]), harness.now_us);
    }
    harness.settle();
    for id in ["watch", "j", "k", "l"] {
        let (worker, task, run) = harness.present(id).remove(0);
        harness.end(worker, &task, run, EndCause::Failed);
    }
    harness.poll_all();
    assert!(starts(&harness.plan()).is_empty(), "another worker may get free capacity");
    harness.advance_ms(1_600);
    harness.poll_all();
    let orders = harness.plan();
    let names: Vec<&str> = starts(&orders).iter().map(|o| o.task.job.as_str()).collect();
    assert_eq!(names, ["watch"]);
}

/// Guards against callers that are told too low a number of waiting jobs, four instead of
/// twenty-seven. Orders can lag behind the choice of a worker by seconds, so a job waits until one
/// of its runs is known to have begun.
#[test]
fn job_with_an_unconfirmed_start_is_pending() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j1", vec![step(2)]), harness.now_us);
    let orders = harness.plan();
    assert_eq!(orders.len(), 2);
    assert_eq!(harness.fleet.pending("desk"), 1, "no start is confirmed yet");
    harness.execute(&orders[0]);
    assert_eq!(harness.fleet.pending("desk"), 0);
}

/// Guards against a successor that takes a recorded start for a run. The start was ordered or about
/// to be ordered, so the job counts as waiting until a worker reports the run.
#[test]
fn job_with_an_unconfirmed_start_is_pending_after_a_takeover() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("j1", vec![step(1)]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    let orders = harness.plan();
    let mut next = harness.successor(&[spec], vec![entry("w1", "r1-1")]);
    assert_eq!(next.pending("desk"), 1);
    harness.execute_unanswered(&orders[0]);
    let running = harness.workers[&0].running.values().cloned().collect();
    let poll = agatesill_policy::fleet::Poll {
        sent_us: harness.now_us,
        lease_ms: 5_000,
        clock_ms: harness.now_us / MS,
        started_ms: 0,
        is_incomplete: false,
        running,
        ended: Vec::new(),
    };
    next.polled(0, &poll, harness.now_us + MS);
    assert_eq!(next.pending("desk"), 0);
}

/// Guards against a retired job that runs again or changes its phase, when its caller submits it
/// again after a lost answer and cancels it late.
#[test]
fn retired_job_never_runs_again() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("j1", vec![step(1)]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    harness.settle();
    let (worker, task, run) = harness.present("j1")[0].clone();
    harness.end(worker, &task, run, EndCause::Done);
    harness.poll_all();
    harness.fleet.retire_ended();
    assert_eq!(harness.fleet.state_of("j1"), Some((JobPhase::Active, true)), "not stored yet");
    harness.commit();
    harness.fleet.retire_ended();
    harness.fleet.accept(spec, harness.now_us);
    harness.fleet.cancel("j1", harness.now_us);
    assert!(harness.plan().is_empty());
    assert_eq!(harness.fleet.state_of("j1"), Some((JobPhase::Completed, true)));
    assert_eq!(harness.fleet.forget_ended(harness.now_us + MS), vec!["j1".to_owned()]);
    assert_eq!(harness.fleet.state_of("j1"), None);
}

/// Guards against a ledger that grows with each cancel of a job that never becomes known.
#[test]
fn cancels_of_unknown_jobs_are_forgotten_with_the_ended_jobs() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.cancel("j1", harness.now_us);
    harness.fleet.forget_ended(harness.now_us);
    assert_eq!(harness.fleet.pending_cancels(), 1, "its job may be read next");
    harness.fleet.forget_ended(harness.now_us + MS);
    assert_eq!(harness.fleet.pending_cancels(), 0);
}
