//! Takeover by a planner that knows only the stored records.

mod fleet_support;

use agatesill_policy::fleet::{
    EndCause, JobPhase, OrderKind, Poll, Step, WorkerEntry, WorkerStanding,
};
use fleet_support::{Harness, MS, entry, job, step};

/// Guards against a second run when the planner terminates while a task runs. The successor must
/// adopt the run that the worker reports.
#[test]
fn successor_adopts_present_runs() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let spec = job("j", vec![step(1)]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    harness.settle();
    harness.fleet = harness.successor(&[spec], vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.orders.clear();
    harness.poll_all();
    harness.settle();
    assert!(harness.orders.is_empty(), "{:?}", harness.orders);
    let (worker, task, run) = harness.present("j").remove(0);
    harness.end(worker, &task, run, EndCause::Done);
    harness.poll_all();
    harness.settle();
    assert_eq!(harness.fleet.state_of("j"), Some((JobPhase::Completed, true)));
}

/// Guards against a task that never starts because the planner terminates between its record and
/// the order. The first poll in the higher epoch of the successor shows no run and bars the old
/// order permanently, so the task starts again at once.
#[test]
fn recorded_but_unsent_start_is_repeated_after_the_first_poll() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("j", vec![step(1)]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    assert_eq!(harness.plan().len(), 1, "this order is lost with the planner");
    harness.fleet = harness.successor(&[spec], vec![entry("w1", "r1-1")]);
    assert!(harness.plan().is_empty(), "the worker has not been polled yet");
    harness.poll_all();
    let orders = harness.plan();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].run, 2);
}

/// Guards against two runs when the planner terminates while a worker is partitioned. The old owner
/// may have renewed the lease of that worker until shortly before, so the task may start elsewhere
/// only after the longest possible lease.
#[test]
fn task_on_an_unresponsive_worker_waits_for_the_longest_previous_lease() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let spec = job("j", vec![step(1)]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    harness.settle();
    let (silent, ..) = harness.present("j").remove(0);
    let silent_id = harness.fleet.worker(silent).entry.id.clone();
    let taken_us = harness.now_us;
    let reachable = if silent_id == "w1" { entry("w22", "r1-1") } else { entry("w1", "r1-1") };
    harness.fleet = harness.successor(&[spec], vec![reachable.clone()]);
    let index = harness.fleet.worker_listed(reachable, harness.now_us);
    let poll = Poll { sent_us: harness.now_us, clock_ms: 1, ..Poll::default() };
    harness.fleet.polled(index, &poll, harness.now_us);
    harness.now_us = taken_us + 12_900 * MS;
    harness.fleet.polled(index, &Poll { sent_us: harness.now_us, ..poll.clone() }, harness.now_us);
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    assert!(harness.plan().is_empty());
    harness.now_us = taken_us + 13_600 * MS;
    harness.fleet.polled(index, &Poll { sent_us: harness.now_us, ..poll }, harness.now_us);
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    assert_eq!(harness.plan().len(), 1);
}

/// Guards against long-running tasks that are missing for thirteen seconds, when their worker
/// answers the new planner and then terminates without notice. From the first answer on, their runs
/// are bounded by one lease instead of the long wait after a takeover.
#[test]
fn first_answer_shortens_the_wait_to_one_lease() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let spec = job("j", vec![Step { is_lasting: true, ..step(1) }]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    harness.settle();
    harness.fleet = harness.successor(&[spec], vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.poll_all();
    let (worker, ..) = harness.present("j").remove(0);
    let id = harness.fleet.worker(worker).entry.id.clone();
    harness.fleet.worker_unlisted(&id);
    harness.fleet.worker_silent(worker, harness.now_us);
    harness.advance_ms(5_600);
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    let orders = harness.plan();
    assert!(orders.iter().any(|order| matches!(order.kind, OrderKind::Start { .. })), "{orders:?}");
}

/// Guards against a run of a cancelled job that continues after a takeover. The successor reads the
/// final phase from the record and must still stop the run.
#[test]
fn successor_stops_runs_of_a_cancelled_job() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("j", vec![step(1)]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    harness.settle();
    harness.fleet.cancel("j", harness.now_us);
    harness.commit();
    harness.fleet = harness.successor(&[spec], vec![entry("w1", "r1-1")]);
    harness.poll_all();
    harness.advance_ms(2_000);
    harness.poll_all();
    let orders = harness.plan();
    assert!(orders.iter().any(|order| order.kind == OrderKind::Stop));
    assert_eq!(harness.fleet.state_of("j"), Some((JobPhase::Cancelled, true)));
}

/// Guards against a failure that counts twice. If the planner terminates before an end is
/// acknowledged, the worker reports the end to the successor again, and the job would fail after
/// two of its three attempts.
#[test]
fn repeated_failure_report_counts_once() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("j", vec![step(1)]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    harness.settle();
    let (worker, task, run) = harness.present("j").remove(0);
    harness.end(worker, &task, run, EndCause::Failed);
    harness.poll_all();
    harness.commit();
    for _ in 0..3 {
        harness.fleet = harness.successor(std::slice::from_ref(&spec), vec![entry("w1", "r1-1")]);
        harness.poll_all();
        harness.commit();
    }
    assert_eq!(harness.fleet.state_of("j"), Some((JobPhase::Active, true)));
}

/// Guards against a successor that treats the stale entry of a crashed worker as the newer
/// incarnation at an address, and restarts tasks that still run on the live worker.
#[test]
fn newer_incarnation_at_an_address_stays_live_in_any_listing_order() {
    for crashed_first in [true, false] {
        let crashed = WorkerEntry { revision: 10, ..entry("w1", "r1-1") };
        let current = WorkerEntry { id: "w1-again".to_owned(), revision: 20, ..crashed.clone() };
        let unrelated = WorkerEntry { revision: 15, ..entry("w22", "r1-1") };
        let mut harness = Harness::new(vec![current.clone()]);
        let spec = job("j", vec![step(1)]);
        harness.fleet.accept(spec.clone(), harness.now_us);
        harness.settle();
        let mut entries = vec![current.clone(), crashed, unrelated];
        if crashed_first {
            entries.swap(0, 1);
        }
        harness.fleet = harness.successor(&[spec], entries);
        let (index, _) =
            harness.fleet.live_workers().find(|(_, worker)| worker.entry.id == current.id).unwrap();
        let fake_worker = harness.workers.remove(&0).unwrap();
        harness.workers.insert(index, fake_worker);
        harness.orders.clear();
        harness.poll(index);
        harness.settle();
        assert!(harness.orders.is_empty(), "crashed first: {crashed_first}, {:?}", harness.orders);
        let live_count = harness.fleet.live_workers().count();
        assert_eq!(live_count, 2, "crashed first: {crashed_first}");
    }
}

/// Guards against a lease that is treated as expired while an answer that may have renewed it has
/// not been applied yet.
#[test]
fn lease_does_not_expire_while_older_answers_are_unapplied() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    harness.settle();
    harness.poll_all();
    harness.fleet.worker_unlisted("w1");
    harness.fleet.worker_silent(0, harness.now_us);
    let as_of_us = harness.now_us;
    harness.advance_ms(20_000);
    harness.fleet.expire_workers(as_of_us, harness.now_us);
    assert_eq!(harness.fleet.worker(0).standing, WorkerStanding::Silent);
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    assert_eq!(harness.fleet.worker(0).standing, WorkerStanding::Gone);
}
