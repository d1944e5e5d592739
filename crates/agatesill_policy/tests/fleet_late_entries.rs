//! Entries of former incarnations that the store carries out late.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

mod fleet_support;

use agatesill_policy::fleet::{WorkerEntry, WorkerIndex, WorkerStanding};
use fleet_support::{Harness, entry, job, step};

const FORMER: &str = "w1";
const LIVE: &str = "w1-next";

fn listed(id: &str, revision: u64) -> WorkerEntry {
    WorkerEntry { id: id.to_owned(), revision, ..entry(FORMER, "r1-1") }
}

fn other(revision: u64) -> WorkerEntry {
    WorkerEntry { revision, ..entry("w333", "r1-2") }
}

fn index_of(harness: &Harness, id: &str) -> WorkerIndex {
    harness.fleet.live_workers().find(|(_, worker)| worker.entry.id == id).unwrap().0
}

/// A fleet in which a task runs on the live incarnation at an address. The former one is unknown.
fn fleet_with_a_run() -> (Harness, WorkerIndex) {
    let mut harness = Harness::new(vec![listed(LIVE, 20)]);
    harness.fleet.accept(job("j", vec![step(4)]), harness.now_us);
    harness.settle();
    let spare = harness.list(other(25));
    harness.poll(spare);
    assert_eq!(harness.present("j").len(), 4);
    (harness, 0)
}

/// Replaces the planner by a successor that reads these entries.
fn take_over(harness: &mut Harness, entries: Vec<WorkerEntry>) {
    let live = harness.workers.remove(&0).unwrap();
    harness.fleet = harness.successor(&[job("j", vec![step(4)])], entries);
    harness.workers.clear();
    let index = index_of(harness, LIVE);
    harness.workers.insert(index, live);
    let spare = index_of(harness, "w333");
    harness.workers.entry(spare).or_default();
    harness.orders.clear();
}

fn assert_nothing_restarts(harness: &mut Harness, case: &str) {
    for _ in 0..3 {
        harness.poll_all();
        harness.settle();
        harness.advance_ms(200);
        harness.fleet.expire_workers(harness.now_us, harness.now_us);
    }
    assert!(harness.orders.is_empty(), "{case}: {:?}", harness.orders);
    let live = index_of(harness, LIVE);
    assert_eq!(harness.fleet.worker(live).standing, WorkerStanding::Good, "{case}");
}

/// Guards against tasks that run twice because a late entry of the former incarnation at an address, by
/// its revision the newer one, ends the live incarnation.
#[test]
fn late_entry_of_a_former_incarnation_ends_no_live_worker() {
    for revision in [10, 30] {
        let case = format!("late entry of revision {revision}");
        let (mut harness, _) = fleet_with_a_run();
        harness.orders.clear();
        harness.fleet.worker_listed(listed(FORMER, revision), harness.now_us);
        assert_nothing_restarts(&mut harness, &case);
        assert!(harness.fleet.live_workers().all(|(_, worker)| worker.entry.id != FORMER));
    }
}

/// Guards against the same after a takeover, by a planner that knows nothing but the entries.
#[test]
fn successor_keeps_the_live_worker_whatever_the_order_of_entries() {
    for (former, live) in [(10, 20), (30, 20)] {
        for is_former_first in [true, false] {
            let case = format!("former {former}, live {live}, former first {is_former_first}");
            let (mut harness, _) = fleet_with_a_run();
            let mut entries = vec![listed(LIVE, live), listed(FORMER, former), other(25)];
            if is_former_first {
                entries.swap(0, 1);
            }
            take_over(&mut harness, entries);
            assert_nothing_restarts(&mut harness, &case);
        }
    }
}

/// Guards against a late entry that arrives at each stage of a takeover.
#[test]
fn late_entry_after_a_takeover_ends_no_live_worker() {
    for is_live_polled in [true, false] {
        let case = format!("live worker polled first: {is_live_polled}");
        let (mut harness, _) = fleet_with_a_run();
        take_over(&mut harness, vec![listed(LIVE, 20), other(25)]);
        if is_live_polled {
            harness.poll_all();
        }
        harness.fleet.worker_listed(listed(FORMER, 30), harness.now_us);
        assert_nothing_restarts(&mut harness, &case);
        // The next entry of the live incarnation has a higher revision again.
        harness.fleet.worker_listed(listed(LIVE, 40), harness.now_us);
        harness.fleet.worker_listed(listed(FORMER, 50), harness.now_us);
        assert_nothing_restarts(&mut harness, &case);
    }
}

/// Guards against tasks of a terminated worker that wait although another incarnation has answered at its
/// address, whichever entry was written last.
#[test]
fn tasks_of_a_terminated_worker_restart_once_another_incarnation_answers() {
    for (former, next) in [(20, 30), (30, 20)] {
        let mut harness = Harness::new(vec![listed(FORMER, former)]);
        harness.fleet.accept(job("j", vec![step(4)]), harness.now_us);
        harness.settle();
        harness.workers.clear();
        harness.advance_ms(300);
        let live = harness.list(listed(LIVE, next));
        harness.poll(live);
        harness.settle();
        let present = harness.present("j");
        assert_eq!(present.len(), 4, "former {former}, next {next}");
        assert!(present.iter().all(|(worker, _, run)| (*worker, *run) == (live, 2)));
    }
}
