//! Workers whose addresses refuse connections.

mod fleet_support;

use agatesill_policy::fleet::{WorkerAddresses, WorkerEntry, WorkerIndex, WorkerStanding};
use fleet_support::{Harness, entry, job, step};

/// Polls in a row that are refused: they take less than a lease.
const REFUSED_POLLS: u32 = 12;

/// Longest lease of the harness and the time by which a worker's clock may be behind.
const LEASE_WITH_MARGIN_MS: u64 = 6_500;

/// Delay between polls of a worker that does not answer.
const POLL_BACKOFF_MS: u64 = 250;

fn listed(id: &str, revision: u64) -> WorkerEntry {
    WorkerEntry { revision, ..entry(id, "r1-1") }
}

/// Two workers, on one of which the only task runs.
fn fleet() -> (Harness, WorkerIndex) {
    let mut harness = Harness::new(vec![listed("w1", 10), listed("w22", 11)]);
    harness.fleet.accept(job("price", vec![step(1)]), harness.now_us);
    harness.settle();
    let (worker, ..) = harness.present("price").remove(0);
    (harness, worker)
}

fn refuse(harness: &mut Harness, worker: WorkerIndex, polls: u32) {
    for _ in 0..polls {
        harness.advance_ms(POLL_BACKOFF_MS);
        harness.fleet.connection_refused(worker, harness.now_us);
    }
}

fn standing(harness: &Harness, worker: WorkerIndex) -> WorkerStanding {
    harness.fleet.worker(worker).standing
}

/// Guards against two runs of a task whose worker runs it behind a partition that refuses connections.
#[test]
fn live_worker_that_refuses_connections_keeps_its_tasks() {
    let (mut harness, worker) = fleet();
    refuse(&mut harness, worker, REFUSED_POLLS);
    assert_eq!(standing(&harness, worker), WorkerStanding::Silent);
    harness.settle();
    assert_eq!(harness.present("price").len(), 1);
    harness.poll(worker);
    harness.settle();
    assert_eq!(harness.present("price").len(), 1);
    assert_eq!(harness.present("price")[0].0, worker);
}

/// Guards against tasks that never start elsewhere although the worker's lease has expired.
#[test]
fn tasks_of_a_worker_that_refuses_connections_restart_after_its_lease() {
    let (mut harness, worker) = fleet();
    harness.workers.remove(&worker);
    refuse(&mut harness, worker, REFUSED_POLLS);
    harness.advance_ms(LEASE_WITH_MARGIN_MS);
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    harness.settle();
    let present = harness.present("price");
    assert_eq!(present.len(), 1);
    assert_ne!(present[0].0, worker);
}

/// Guards against two runs of a task when a worker that still runs it refuses one connection, or does
/// not answer for a time.
#[test]
fn worker_that_answers_between_refusals_keeps_its_tasks() {
    let (mut harness, worker) = fleet();
    for _ in 0..5 {
        refuse(&mut harness, worker, 1);
        assert_eq!(standing(&harness, worker), WorkerStanding::Silent);
        harness.poll(worker);
        assert_eq!(standing(&harness, worker), WorkerStanding::Good);
    }
    for _ in 0..8 {
        harness.advance_ms(POLL_BACKOFF_MS);
        harness.fleet.worker_silent(worker, harness.now_us);
    }
    harness.settle();
    assert_eq!(harness.present("price").len(), 1);
    assert_eq!(standing(&harness, worker), WorkerStanding::Silent);
}

/// Guards against a worker that registers before it listens and counts as terminated.
#[test]
fn worker_that_has_never_listened_is_not_terminated() {
    let (mut harness, _) = fleet();
    let starting = harness.list(listed("w333", 20));
    refuse(&mut harness, starting, 4);
    assert_eq!(standing(&harness, starting), WorkerStanding::New);
    harness.poll(starting);
    assert_eq!(standing(&harness, starting), WorkerStanding::Good);
}

/// Guards against a terminated worker that comes back by its last entry in the registry, and against
/// one that registers anew and gets no tasks.
#[test]
fn only_a_rewritten_entry_reinstates_a_terminated_worker() {
    let (mut harness, worker) = fleet();
    let id = harness.fleet.worker(worker).entry.id.clone();
    let revision = harness.fleet.worker(worker).entry.revision;
    harness.fleet.worker_unlisted(&id);
    harness.fleet.worker_silent(worker, harness.now_us);
    harness.advance_ms(20_000);
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    assert_eq!(standing(&harness, worker), WorkerStanding::Gone);
    harness.list(listed(&id, revision));
    assert_eq!(standing(&harness, worker), WorkerStanding::Gone);
    harness.list(listed(&id, 30));
    assert_eq!(standing(&harness, worker), WorkerStanding::New);
}

/// Guards against a late entry that reinstates a worker in whose place another one has answered.
#[test]
fn superseded_worker_stays_terminated_when_its_entry_is_written_late() {
    let (mut harness, worker) = fleet();
    let id = harness.fleet.worker(worker).entry.id.clone();
    let now_us = harness.now_us;
    harness.fleet.worker_superseded(worker, "its successor answers", now_us, now_us);
    harness.list(listed(&id, 30));
    assert_eq!(standing(&harness, worker), WorkerStanding::Gone);
    // A later start under the identifier is another incarnation.
    harness.list(WorkerEntry { started_ms: 9_000, ..listed(&id, 40) });
    assert_eq!(standing(&harness, worker), WorkerStanding::New);
}

/// Guards against a successor that starts a recorded task again while its worker runs it behind a
/// partition that refuses connections.
#[test]
fn successor_does_not_restart_tasks_of_recorded_workers_that_refuse_connections() {
    let (mut harness, worker) = fleet();
    let spec = job("price", vec![step(1)]);
    let crashed = harness.fleet.worker(worker).entry.clone();
    let other = harness.fleet.worker(1 - worker).entry.clone();
    let record = &harness.stored["price"];
    let record = (serde_json::from_str(&record.0).ok(), record.1);
    harness.fleet = agatesill_policy::fleet::Fleet::new(fleet_support::bounds());
    let addresses = WorkerAddresses::from([(crashed.id.clone(), crashed.address)]);
    harness.fleet.restore_worker_addresses(addresses);
    let record = record.0.map(|progress| (progress, record.1));
    harness.fleet.restore(spec, record, harness.now_us);
    harness.fleet.finish_restore(agatesill_policy::fleet::ORPHAN_MS, harness.now_us);
    let healthy = harness.list(other);
    harness.poll(healthy);
    let unlisted = harness.fleet.unlisted_workers_with_tasks();
    assert_eq!(unlisted.len(), 1);
    refuse(&mut harness, unlisted[0], REFUSED_POLLS);
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    harness.settle();
    assert!(harness.present("price").iter().all(|(index, ..)| *index != healthy));
}
