//! Reports of jobs that have open tasks but no run, with the reason.

mod fleet_support;

use agatesill_policy::fleet::{Deferral, EndCause, IdleJob, JobSpec, Refusal, Step};
use fleet_support::{Harness, MS, entry, job, step};

/// Time after which a job without a run is reported.
const IDLE_MS: u64 = 3_000;

fn two_workers() -> Harness {
    Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")])
}

fn accepted(harness: &mut Harness, id: &str, steps: Vec<Step>) -> JobSpec {
    let spec = JobSpec { accepted_at_ms: harness.now_us / MS, ..job(id, steps) };
    harness.fleet.accept(spec.clone(), harness.now_us);
    spec
}

fn only_idle_job(harness: &Harness) -> IdleJob {
    let (count, mut jobs) = harness.fleet.idle_jobs(4, harness.now_us);
    assert_eq!((count, jobs.len()), (1, 1), "{jobs:?}");
    jobs.remove(0)
}

/// Guards against a job that waits without a line that says which rule refused it on how many
/// workers.
#[test]
fn job_that_fits_nowhere_is_reported_with_the_rule() {
    let mut harness = two_workers();
    harness
        .list(agatesill_policy::fleet::WorkerEntry { is_leaving: true, ..entry("w333", "r1-1") });
    let large = Step {
        need: agatesill_policy::batch::Resources { cpu_milli: 20_000, ..step(1).need },
        ..step(1)
    };
    accepted(&mut harness, "large", vec![large]);
    harness.settle();
    harness.advance_ms(IDLE_MS - 100);
    assert_eq!(harness.fleet.idle_jobs(4, harness.now_us).0, 0);
    harness.advance_ms(200);
    harness.settle();
    let idle = only_idle_job(&harness);
    let refusals = idle.refusals.unwrap();
    assert_eq!(refusals.accepting, 0);
    assert_eq!(refusals.of(Refusal::Capacity), 2);
    assert_eq!(refusals.of(Refusal::Unavailable), 1);
    assert_eq!(refusals.to_string(), "accepting 0, unavailable 1, capacity 2");
    assert!(idle.is_queued);
    assert_eq!(idle.task.wait.unwrap().deferral, Deferral::KnownNotToFit);
}

/// Guards against a choice that is never stored and looks like a job that nobody considers.
#[test]
fn job_whose_record_is_not_stored_is_reported_as_chosen() {
    let mut harness = two_workers();
    accepted(&mut harness, "price", vec![step(2)]);
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    harness.advance_ms(IDLE_MS + 100);
    let idle = only_idle_job(&harness);
    assert_eq!((idle.open.chosen, idle.open.waiting), (2, 0));
    assert_eq!(idle.task.state, "chosen");
    assert!(idle.task.record_age_ms.is_some_and(|age_ms| age_ms >= IDLE_MS), "{idle:?}");
    assert!(idle.refusals.is_none());
}

/// Guards against a start without an outcome that looks like a job that runs.
#[test]
fn job_whose_start_has_no_outcome_is_reported_as_ordered() {
    let mut harness = two_workers();
    accepted(&mut harness, "price", vec![step(1)]);
    drop(harness.plan());
    harness.advance_ms(IDLE_MS + 100);
    let idle = only_idle_job(&harness);
    assert_eq!(idle.task.state, "ordered");
    assert!(!idle.task.worker.unwrap().is_order_answered);
}

/// Guards against reports of jobs that run, or that have ended.
#[test]
fn jobs_that_run_or_have_ended_are_not_reported() {
    let mut harness = two_workers();
    accepted(&mut harness, "runs", vec![step(1), Step { after: vec![0], ..step(1) }]);
    accepted(&mut harness, "ends", vec![step(1)]);
    harness.settle();
    harness.poll_all();
    let (worker, task, run) = harness.present("ends").remove(0);
    harness.end(worker, &task, run, EndCause::Done);
    harness.poll_all();
    harness.settle();
    harness.advance_ms(2 * IDLE_MS);
    assert_eq!(harness.fleet.idle_jobs(4, harness.now_us).0, 0);
}

/// Guards against a report that counts the time while other tasks of the job still ran.
#[test]
fn idle_time_begins_when_the_last_run_of_the_job_ends() {
    let mut harness = two_workers();
    accepted(&mut harness, "price", vec![step(2)]);
    harness.settle();
    harness.poll_all();
    let mut present = harness.present("price");
    let (worker, task, run) = present.remove(0);
    harness.end(worker, &task, run, EndCause::Failed);
    harness.poll_all();
    harness.commit();
    harness.advance_ms(IDLE_MS);
    let (worker, task, run) = present.remove(0);
    harness.end(worker, &task, run, EndCause::Done);
    harness.poll_all();
    assert_eq!(harness.fleet.idle_jobs(4, harness.now_us).0, 0);
    harness.advance_ms(IDLE_MS + 100);
    let idle = only_idle_job(&harness);
    assert!(idle.idle_ms < IDLE_MS + 200, "{idle:?}");
    assert!(idle.task.missing_ms >= 2 * IDLE_MS, "{idle:?}");
    assert!(idle.is_queued);
    assert_eq!(idle.refusals.unwrap().accepting, 2);
}

/// Guards against a job that is not reported after a takeover although its only run was lost with
/// its worker, because the record says that the run was present.
#[test]
fn job_whose_run_a_successor_does_not_find_is_reported() {
    let mut harness = two_workers();
    let spec = accepted(&mut harness, "price", vec![Step { max_per_worker: 1, ..step(2) }]);
    harness.settle();
    harness.poll_all();
    let mut present = harness.present("price");
    let (worker, task, run) = present.remove(0);
    harness.end(worker, &task, run, EndCause::Done);
    harness.poll_all();
    harness.commit();
    let listed = harness.fleet.worker(worker).entry.clone();
    harness.fleet = harness.successor(&[spec], vec![listed]);
    harness.advance_ms(IDLE_MS + 100);
    let idle = only_idle_job(&harness);
    assert_eq!((idle.task.state, idle.open.ordered), ("ordered", 1));
    assert!(!idle.task.worker.unwrap().is_listed);
}
