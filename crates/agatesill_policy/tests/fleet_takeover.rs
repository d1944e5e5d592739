//! A planner that takes over from the stored records alone.

mod fleet_support;

use agatesill_policy::fleet::{
    EndCause, JobPhase, OrderKind, Poll, Step, WorkerEntry, WorkerStanding,
};
use fleet_support::{Harness, MS, entry, job, step};

/// The planner dies with a task running. Its successor finds the run on the worker's list and keeps
/// it; a second run elsewhere would send two limits to one policyholder.
#[test]
fn what_runs_is_adopted_and_not_started_again() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let spec = job("j", vec![step(1)]);
    rig.fleet.accept(spec.clone(), rig.now_us);
    rig.settle();
    rig.fleet = rig.successor(&[spec], vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    rig.orders.clear();
    rig.poll_all();
    rig.settle();
    assert!(rig.orders.is_empty(), "{:?}", rig.orders);
    let (worker, task, run) = rig.present("j").remove(0);
    rig.end(worker, &task, run, EndCause::Done);
    rig.poll_all();
    rig.settle();
    assert_eq!(rig.fleet.state_of("j"), Some((JobPhase::Completed, true)));
}

/// The planner dies between its record and the order. The first poll of the successor, under its
/// higher epoch, shows no run and bars the old order for good, so the task starts again at once.
#[test]
fn a_start_that_was_recorded_and_never_sent_is_made_good_after_the_first_look() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("j", vec![step(1)]);
    rig.fleet.accept(spec.clone(), rig.now_us);
    assert_eq!(rig.plan().len(), 1, "this order is lost with the planner");
    rig.fleet = rig.successor(&[spec], vec![entry("w1", "r1-1")]);
    assert!(rig.plan().is_empty(), "nothing is known of the worker yet");
    rig.poll_all();
    let orders = rig.plan();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].run, 2);
}

/// The planner dies while a worker is cut off. The old owner may have renewed that worker's lease
/// until shortly before; only after the longest one may its task start elsewhere.
#[test]
fn a_task_on_a_silent_worker_waits_for_the_longest_lease_of_the_owner_before() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let spec = job("j", vec![step(1)]);
    rig.fleet.accept(spec.clone(), rig.now_us);
    rig.settle();
    let (silent, ..) = rig.present("j").remove(0);
    let silent_id = rig.fleet.worker(silent).entry.id.clone();
    let taken_us = rig.now_us;
    let reachable = if silent_id == "w1" { entry("w22", "r1-1") } else { entry("w1", "r1-1") };
    rig.fleet = rig.successor(&[spec], vec![reachable.clone()]);
    let index = rig.fleet.worker_listed(reachable, rig.now_us);
    let poll = Poll { sent_us: rig.now_us, clock_ms: 1, ..Poll::default() };
    rig.fleet.polled(index, &poll, rig.now_us);
    rig.now_us = taken_us + 12_900 * MS;
    rig.fleet.polled(index, &Poll { sent_us: rig.now_us, ..poll.clone() }, rig.now_us);
    rig.fleet.expire_workers(rig.now_us, rig.now_us);
    assert!(rig.plan().is_empty());
    rig.now_us = taken_us + 13_600 * MS;
    rig.fleet.polled(index, &Poll { sent_us: rig.now_us, ..poll }, rig.now_us);
    rig.fleet.expire_workers(rig.now_us, rig.now_us);
    assert_eq!(rig.plan().len(), 1);
}

/// Watchers run on a worker that answers the new planner and then leaves without a word. Its bound
/// is a lease from the first answer, not the long one of the takeover: the watchers would be
/// missing for thirteen seconds.
#[test]
fn the_long_wait_ends_with_the_first_answer() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let spec = job("j", vec![Step { is_lasting: true, ..step(1) }]);
    rig.fleet.accept(spec.clone(), rig.now_us);
    rig.settle();
    rig.fleet = rig.successor(&[spec], vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    rig.poll_all();
    let (worker, ..) = rig.present("j").remove(0);
    let id = rig.fleet.worker(worker).entry.id.clone();
    rig.fleet.worker_unlisted(&id);
    rig.fleet.worker_silent(worker, rig.now_us);
    rig.advance_ms(5_600);
    rig.fleet.expire_workers(rig.now_us, rig.now_us);
    let orders = rig.plan();
    assert!(orders.iter().any(|order| matches!(order.kind, OrderKind::Start { .. })), "{orders:?}");
}

/// A job was cancelled and its task still runs when the planner dies. The successor reads the final
/// phase from the record and must still stop what runs.
#[test]
fn what_runs_of_a_cancelled_job_is_stopped_by_the_successor() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("j", vec![step(1)]);
    rig.fleet.accept(spec.clone(), rig.now_us);
    rig.settle();
    rig.fleet.cancel("j", rig.now_us);
    rig.commit();
    rig.fleet = rig.successor(&[spec], vec![entry("w1", "r1-1")]);
    rig.poll_all();
    rig.advance_ms(2_000);
    rig.poll_all();
    let orders = rig.plan();
    assert!(orders.iter().any(|order| order.kind == OrderKind::Stop));
    assert_eq!(rig.fleet.state_of("j"), Some((JobPhase::Cancelled, true)));
}

/// A task fails once; the end is recorded and not yet acknowledged when the planner dies. The worker
/// lists the end to the successor again. Counted twice, the job would be shown as failed after two
/// of its three attempts.
#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("j", vec![step(1)]);
    rig.fleet.accept(spec.clone(), rig.now_us);
    rig.settle();
    let (worker, task, run) = rig.present("j").remove(0);
    rig.end(worker, &task, run, EndCause::Failed);
    rig.poll_all();
    rig.commit();
    for _ in 0..3 {
        rig.fleet = rig.successor(std::slice::from_ref(&spec), vec![entry("w1", "r1-1")]);
        rig.poll_all();
        rig.commit();
    }
    assert_eq!(rig.fleet.state_of("j"), Some((JobPhase::Active, true)));
}

/// Guards against a successor that treats a crashed worker's stale entry as the newer incarnation at an
/// address and restarts tasks that are still running on the live worker.
#[test]
fn newer_incarnation_at_an_address_stays_live_in_any_listing_order() {
    for crashed_first in [true, false] {
        let crashed = WorkerEntry { revision: 10, ..entry("w1", "r1-1") };
        let current = WorkerEntry { id: "w1-again".to_owned(), revision: 20, ..crashed.clone() };
        let unrelated = WorkerEntry { revision: 15, ..entry("w22", "r1-1") };
        let mut rig = Harness::new(vec![current.clone()]);
        let spec = job("j", vec![step(1)]);
        rig.fleet.accept(spec.clone(), rig.now_us);
        rig.settle();
        let mut entries = vec![current.clone(), crashed, unrelated];
        if crashed_first {
            entries.swap(0, 1);
        }
        rig.fleet = rig.successor(&[spec], entries);
        let (index, _) =
            rig.fleet.live_workers().find(|(_, worker)| worker.entry.id == current.id).unwrap();
        let far = rig.workers.remove(&0).unwrap();
        rig.workers.insert(index, far);
        rig.orders.clear();
        rig.poll(index);
        rig.settle();
        assert!(rig.orders.is_empty(), "crashed first: {crashed_first}, {:?}", rig.orders);
        let live_count = rig.fleet.live_workers().count();
        assert_eq!(live_count, 2, "crashed first: {crashed_first}");
    }
}

/// Guards against leases taken for ended while an answer that may have renewed them waits.
#[test]
fn a_lease_is_not_over_while_older_answers_wait() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    rig.settle();
    rig.poll_all();
    rig.fleet.worker_unlisted("w1");
    rig.fleet.worker_silent(0, rig.now_us);
    let as_of_us = rig.now_us;
    rig.advance_ms(20_000);
    rig.fleet.expire_workers(as_of_us, rig.now_us);
    assert_eq!(rig.fleet.worker(0).standing, WorkerStanding::Silent);
    rig.fleet.expire_workers(rig.now_us, rig.now_us);
    assert_eq!(rig.fleet.worker(0).standing, WorkerStanding::Gone);
}
