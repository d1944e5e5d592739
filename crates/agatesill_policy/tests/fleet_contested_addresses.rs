//! Addresses at which several incarnations are listed.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

mod fleet_support;

use agatesill_policy::fleet::{
    Fleet, ORPHAN_MS, Poll, RunRow, WorkerAddresses, WorkerEntry, WorkerIndex, WorkerStanding,
};
use fleet_support::{Harness, MS, bounds, entry, job, step};

/// Address of the former incarnation of `w1`, at which `w2` is alive now.
const FORMER_ADDRESS: &str = "10.0.0.1:80";

/// Address at which `w1` is alive.
const PRESENT_ADDRESS: &str = "10.0.0.2:80";

const FORMER_START_MS: u64 = 1_000;
const PRESENT_START_MS: u64 = 9_000;

fn listed(id: &str, address: &str, revision: u64, started_ms: u64) -> WorkerEntry {
    WorkerEntry { address: address.to_owned(), revision, started_ms, ..entry(id, "r1-1") }
}

fn former_entry() -> WorkerEntry {
    listed("w1", FORMER_ADDRESS, 30, FORMER_START_MS)
}

fn present_entry() -> WorkerEntry {
    listed("w1", PRESENT_ADDRESS, 20, PRESENT_START_MS)
}

fn other_entry() -> WorkerEntry {
    listed("w2", FORMER_ADDRESS, 10, FORMER_START_MS)
}

fn index_of(fleet: &Fleet, id: &str) -> Option<WorkerIndex> {
    fleet.live_workers().find(|(_, worker)| worker.entry.id == id).map(|(index, _)| index)
}

fn standing(harness: &Harness, worker: WorkerIndex) -> WorkerStanding {
    harness.fleet.worker(worker).standing
}

/// Handles a poll that reports what the worker runs.
fn answer(harness: &mut Harness, worker: WorkerIndex, started_ms: u64, sent_us: u64) {
    harness.advance_ms(1);
    let running: Vec<RunRow> = harness
        .workers
        .get(&worker)
        .map_or_else(Vec::new, |w| w.running.values().cloned().collect());
    let clock_ms = harness.now_us / MS;
    let poll = Poll { sent_us, lease_ms: 5_000, clock_ms, started_ms, running, ..Poll::default() };
    harness.fleet.polled(worker, &poll, harness.now_us);
}

/// A successor that has read these entries after tasks were started on both workers, and the indices
/// of these.
fn successor(entries: Vec<WorkerEntry>) -> (Harness, WorkerIndex, WorkerIndex) {
    let mut harness = Harness::new(vec![present_entry(), other_entry()]);
    let spec = job("j", vec![step(32)]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    harness.settle();
    assert!((0..2).all(|worker| !harness.workers[&worker].running.is_empty()));
    let (text, revision) = harness.stored["j"].clone();
    let addresses: WorkerAddresses = harness.fleet.worker_addresses();
    harness.fleet = Fleet::new(bounds());
    harness.fleet.restore_worker_addresses(addresses);
    let record = (serde_json::from_str(&text).unwrap(), revision);
    harness.fleet.restore(spec, Some(record), harness.now_us);
    harness.fleet.finish_restore(ORPHAN_MS, harness.now_us);
    for entry in entries {
        harness.fleet.worker_listed(entry, harness.now_us);
    }
    let moved = index_of(&harness.fleet, "w1").unwrap();
    let other = index_of(&harness.fleet, "w2").unwrap();
    let mut workers = std::mem::take(&mut harness.workers);
    harness.workers.insert(moved, workers.remove(&0).unwrap());
    harness.workers.insert(other, workers.remove(&1).unwrap());
    let spare = harness.list(entry("w333", "r1-1"));
    harness.poll(spare);
    harness.orders.clear();
    (harness, moved, other)
}

fn assert_both_live(harness: &mut Harness, workers: [(WorkerIndex, u64); 2]) {
    harness.advance_ms(5);
    for (worker, started_ms) in workers {
        let sent_us = harness.now_us;
        answer(harness, worker, started_ms, sent_us);
    }
    harness.settle();
    assert!(harness.orders.is_empty(), "{} tasks run twice", harness.orders.len());
    for (worker, _) in workers {
        assert_eq!(standing(harness, worker), WorkerStanding::Good);
    }
}

/// Guards against a live incarnation that counts as terminated by an answer of the former one, to a call
/// that was sent before the live one was listed.
#[test]
fn answer_to_a_call_from_before_an_entry_ends_no_incarnation() {
    let mut harness = Harness::new(vec![listed("w1", FORMER_ADDRESS, 10, 0)]);
    let sent_us = harness.now_us;
    harness.advance_ms(5);
    let next = harness.list(listed("w1-next", FORMER_ADDRESS, 20, 0));
    answer(&mut harness, 0, 0, sent_us);
    assert_eq!(standing(&harness, next), WorkerStanding::New);
    harness.advance_ms(5);
    let sent_us = harness.now_us;
    answer(&mut harness, 0, 0, sent_us);
    assert_eq!(standing(&harness, next), WorkerStanding::Gone, "a later answer decides");
}

/// Guards against a live incarnation that counts as terminated by an answer from an address at which it is
/// not listed any more.
#[test]
fn answer_ends_no_incarnation_that_is_listed_elsewhere_since() {
    let mut harness = Harness::new(vec![listed("w1", FORMER_ADDRESS, 10, 0)]);
    let moved = harness.list(listed("w2", FORMER_ADDRESS, 20, 0));
    harness.list(listed("w2", PRESENT_ADDRESS, 30, 0));
    harness.advance_ms(5);
    let sent_us = harness.now_us;
    answer(&mut harness, 0, 0, sent_us);
    assert_eq!(standing(&harness, moved), WorkerStanding::New);
}

/// Guards against tasks that run twice because a successor reads a late entry of a worker that has
/// restarted under its identifier elsewhere, and another worker answers at the former address.
#[test]
fn answer_at_a_former_address_ends_no_worker_that_has_moved() {
    let (mut harness, moved, other) = successor(vec![former_entry(), other_entry()]);
    assert_both_live(&mut harness, [(other, FORMER_START_MS), (moved, PRESENT_START_MS)]);
}

/// Guards against the same if the late entry arrives before the worker's first answer, which would end
/// the worker at the former address.
#[test]
fn late_entry_before_the_first_answer_ends_no_worker_at_the_former_address() {
    for is_moved_first in [true, false] {
        let (mut harness, moved, other) = successor(vec![present_entry(), other_entry()]);
        harness.fleet.worker_listed(former_entry(), harness.now_us);
        let mut workers = [(moved, PRESENT_START_MS), (other, FORMER_START_MS)];
        if !is_moved_first {
            workers.reverse();
        }
        assert_both_live(&mut harness, workers);
    }
}
