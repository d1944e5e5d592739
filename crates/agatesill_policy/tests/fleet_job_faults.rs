//! Which jobs are at fault for their failed runs, and how many must fail to distrust a worker.

use agatesill_policy::fleet::{JobOutcomes, US_PER_MS, is_job_at_fault};

/// Guards against a job at fault for failures on a single worker, which may be the worker's.
#[test]
fn failures_on_one_worker_do_not_put_a_job_at_fault() {
    assert!(!is_job_at_fault(1, 10, 0));
    assert!(is_job_at_fault(2, 10, 0));
}

/// Guards against a wide job that is at fault because it has tasks on several failing workers.
#[test]
fn job_most_of_whose_tasks_run_well_is_not_at_fault() {
    assert!(!is_job_at_fault(2, 2, 8));
}

/// Guards against workers that are closed because most jobs fail wherever they run.
#[test]
fn more_jobs_must_fail_while_many_are_at_fault() {
    let mut outcomes = JobOutcomes::default();
    let quiet = outcomes.required_failed_jobs();
    for number in 0..200 {
        outcomes.add(number % 10 > 0, number * 10 * US_PER_MS);
    }
    let flooded = outcomes.required_failed_jobs();
    assert!(flooded > 3 * quiet, "{quiet} jobs, {flooded} while nine in ten are at fault");
    (0..200).for_each(|number| outcomes.add(false, (20_000 + number * 50) * US_PER_MS));
    assert_eq!(outcomes.required_failed_jobs(), quiet);
}
