//! Failed runs of gangs, of which several members may fail.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

mod fleet_support;

use std::collections::BTreeMap;

use agatesill_policy::fleet::{EndCause, JobPhase, JobSpec, Step, TaskKey, WorkerEntry};
use fleet_support::{Harness, entry, job, step};

const MEMBERS: u32 = 6;

const MAX_ATTEMPTS: u32 = 3;

/// A gang with a member on each worker.
fn gang() -> JobSpec {
    let mut spec =
        job("j", vec![Step { is_gang: true, max_per_worker: 1, saves_progress: true, ..step(6) }]);
    spec.terms.max_attempts = MAX_ATTEMPTS;
    spec
}

fn workers() -> Vec<WorkerEntry> {
    let worker = |number: u32| WorkerEntry {
        address: format!("10.0.0.{number}:80"),
        ..entry(&format!("w{number}"), "r1-1")
    };
    (0..MEMBERS).map(worker).collect()
}

fn harness() -> Harness {
    let mut harness = Harness::new(workers());
    harness.fleet.accept(gang(), harness.now_us);
    harness.settle();
    harness
}

/// The members that run, by their index.
fn members(harness: &Harness) -> Vec<(u32, TaskKey, u32)> {
    let mut members = harness.present("j");
    assert_eq!(members.len(), MEMBERS as usize);
    members.sort_by_key(|(_, task, _)| task.index);
    members
}

/// Ends the run of the gang: some members have failed, the others are broken off.
fn fail_run(harness: &mut Harness, failed: &[u32]) {
    for (worker, task, run) in members(harness) {
        let has_failed = failed.contains(&task.index);
        let cause = if has_failed { EndCause::Failed } else { EndCause::Broken };
        harness.end(worker, &task, run, cause);
    }
}

fn phase(harness: &Harness) -> JobPhase {
    harness.fleet.state_of("j").unwrap().0
}

/// Has a successor take over with what is stored. It numbers the workers in another order.
fn take_over(harness: &mut Harness) {
    let states = std::mem::take(&mut harness.workers);
    let id_of = |index| harness.fleet.worker(index).entry.id.clone();
    let mut by_id: BTreeMap<String, _> =
        states.into_iter().map(|(index, state)| (id_of(index), state)).collect();
    harness.fleet = harness.successor(&[gang()], workers());
    let indexed = harness.fleet.live_workers();
    let indexed = indexed.map(|(index, worker)| (index, by_id.remove(&worker.entry.id).unwrap()));
    harness.workers = indexed.collect();
}

/// Guards against a job that is given up after fewer failed runs of its gang than it may have, because
/// each member that fails in a run counts as a failed run.
#[test]
fn a_run_in_which_several_members_fail_is_one_attempt() {
    let mut harness = harness();
    for _ in 1..MAX_ATTEMPTS {
        fail_run(&mut harness, &[0, 2, 5]);
        harness.poll_all();
        harness.settle();
        assert_eq!(phase(&harness), JobPhase::Active);
    }
    fail_run(&mut harness, &[1, 2]);
    harness.poll_all();
    harness.settle();
    assert_eq!(phase(&harness), JobPhase::Failed);
    assert!(harness.present("j").is_empty());
}

/// Guards against a successor that counts a run of a gang again when it reads the ends of the members
/// that its predecessor had not read.
#[test]
fn a_successor_counts_the_rest_of_a_failed_run_with_it() {
    let mut harness = harness();
    for _ in 1..MAX_ATTEMPTS {
        let first = members(&harness)[0].0;
        fail_run(&mut harness, &[0, 3, 4]);
        harness.poll(first);
        harness.commit();
        take_over(&mut harness);
        harness.poll_all();
        harness.settle();
        assert_eq!(phase(&harness), JobPhase::Active);
    }
    fail_run(&mut harness, &[4]);
    harness.poll_all();
    harness.settle();
    assert_eq!(phase(&harness), JobPhase::Failed);
}

/// Guards against a failed run of a gang that is not counted at all: its planner has read the end and
/// terminates before that is stored.
#[test]
fn a_failed_run_that_was_not_stored_is_counted_by_the_successor() {
    let mut harness = harness();
    for _ in 0..MAX_ATTEMPTS {
        fail_run(&mut harness, &[0, 3]);
        harness.poll_all();
        take_over(&mut harness);
        harness.poll_all();
        harness.settle();
    }
    assert_eq!(phase(&harness), JobPhase::Failed);
}

/// Guards against a record of an earlier version, which does not name the counted run: each failed run
/// must still be counted at least once.
#[test]
fn failures_of_an_earlier_version_count() {
    let mut harness = harness();
    fail_run(&mut harness, &[0]);
    harness.poll_all();
    harness.settle();
    let (record, _) = harness.stored.get_mut("j").unwrap();
    let mut value: serde_json::Value = serde_json::from_str(record).unwrap();
    for task in value["t"].as_array_mut().unwrap() {
        assert!(task.as_object_mut().unwrap().remove("l").is_some());
    }
    *record = value.to_string();
    take_over(&mut harness);
    harness.poll_all();
    for _ in 1..MAX_ATTEMPTS {
        harness.settle();
        assert_eq!(phase(&harness), JobPhase::Active);
        fail_run(&mut harness, &[1, 2]);
        harness.poll_all();
        harness.commit();
    }
    assert_eq!(phase(&harness), JobPhase::Failed);
}

/// Guards against tasks that are no members of a gang and share the attempts of one another.
#[test]
fn tasks_of_a_plain_step_have_attempts_of_their_own() {
    let mut harness = Harness::new(workers());
    let mut spec = job("j", vec![step(MEMBERS)]);
    spec.terms.max_attempts = 2;
    harness.fleet.accept(spec, harness.now_us);
    harness.settle();
    fail_run(&mut harness, &[0, 1, 2]);
    harness.poll_all();
    harness.settle();
    assert_eq!(phase(&harness), JobPhase::Active);
    let (worker, task, run) = members(&harness).remove(1);
    harness.end(worker, &task, run, EndCause::Failed);
    harness.poll_all();
    harness.settle();
    assert_eq!(phase(&harness), JobPhase::Failed);
}
