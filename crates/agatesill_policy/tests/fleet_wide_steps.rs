//! Steps with more tasks than a search for a worker examines workers, a bounded number on each.

mod fleet_support;

use agatesill_policy::fleet::{JobSpec, Step, WorkerEntry};
use fleet_support::{Harness, entry, job, step};

/// More tasks than one search examines workers.
const TASKS: u32 = 200;

/// Workers of one service; with this many, a common label is on more than all of which are examined.
const WORKERS: u32 = 700;

fn fleet() -> Harness {
    let worker = |number: u32| WorkerEntry {
        address: format!("10.0.{}.{}:80", number / 250, number % 250),
        ..entry(&format!("w{number}"), "r1-1")
    };
    Harness::new((0..WORKERS).map(worker).collect())
}

/// A job of [`TASKS`] tasks, one on each worker.
fn one_on_each(step: Step) -> JobSpec {
    job("j", vec![Step { count: TASKS, max_per_worker: 1, ..step }])
}

/// Runs some planning rounds and returns how many tasks run.
fn tasks_placed(spec: JobSpec) -> usize {
    let mut harness = fleet();
    harness.fleet.accept(spec, harness.now_us);
    for _ in 0..10 {
        harness.settle();
        harness.poll_all();
        harness.advance_ms(100);
    }
    harness.present("j").len()
}

/// Guards against tasks that never run because the workers that a search examines, those with the least
/// free capacity, have a task of the step each.
#[test]
fn a_wide_step_with_a_limit_per_worker_runs_as_a_whole() {
    assert_eq!(tasks_placed(one_on_each(step(1))), TASKS as usize);
}

/// Guards against the same among workers with a label that most have.
#[test]
fn a_wide_step_with_a_common_label_and_a_limit_per_worker_runs_as_a_whole() {
    let labelled = Step { label: "fast".to_owned(), ..step(1) };
    assert_eq!(tasks_placed(one_on_each(labelled)), TASKS as usize);
}

/// Guards against a gang that never starts because it needs more workers than a search examines.
#[test]
fn a_gang_wider_than_a_search_starts() {
    let gang = Step { is_gang: true, ..step(1) };
    assert_eq!(tasks_placed(one_on_each(gang.clone())), TASKS as usize);
    let labelled = Step { label: "fast".to_owned(), ..gang };
    assert_eq!(tasks_placed(one_on_each(labelled)), TASKS as usize);
    let mut whole_worker = Step { count: TASKS, is_gang: true, ..step(1) };
    whole_worker.need.cpu_milli = 16_000;
    assert_eq!(tasks_placed(job("j", vec![whole_worker])), TASKS as usize);
}
