//! Scheduling under overload.

mod fleet_support;

use agatesill_policy::fleet::{EndCause, JobPhase, JobSpec, OrderOutcome, WorkerEntry};
use fleet_support::{Harness, MS, entry, job, step};

fn review(index: u32, accepted_at_ms: u64) -> JobSpec {
    let mut spec = job(&format!("review{index:03}"), vec![step(8)]);
    spec.queue = "reviews".to_owned();
    spec.terms.priority = 2;
    spec.terms.target_ms = 2_000;
    spec.accepted_at_ms = accepted_at_ms;
    spec
}

/// For twenty seconds, jobs arrive at twice the capacity of two workers. With first come, first
/// served, every job is late once the backlog is as long as an objective. Ordered by value per
/// remaining work, about half of them are in time.
#[test]
fn half_of_the_work_is_in_time_under_long_overload() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let start_us = harness.now_us;
    let mut accepted = Vec::new();
    let mut in_time = 0;
    // Two workers with 16 cores can run four jobs of eight core-seconds per second.
    for tick in 0..200_u32 {
        if tick % 5 == 0 {
            for index in 0..4 {
                let spec = review(tick * 4 + index, harness.now_us / MS);
                accepted.push((spec.id.clone(), harness.now_us));
                harness.fleet.accept(spec, harness.now_us);
            }
        }
        harness.settle();
        advance_and_end_runs(&mut harness);
        harness.now_us = start_us + u64::from(tick + 1) * 100 * MS;
        harness.poll_all();
        harness.settle();
        accepted.retain(|(id, since_us)| {
            let is_done =
                harness.fleet.state_of(id).is_some_and(|status| status.0 == JobPhase::Completed);
            if is_done && harness.now_us - since_us <= 4_000 * MS {
                in_time += 1;
            }
            !is_done
        });
    }
    assert!(in_time >= 64, "{in_time} of 160 in time; the workers have capacity for 80");
}

/// Adds 10% to the progress of all runs and ends those that are complete, which takes a second.
fn advance_and_end_runs(harness: &mut Harness) {
    let mut ended_runs = Vec::new();
    for (worker, fake_worker) in &mut harness.workers {
        for row in fake_worker.running.values_mut() {
            row.percent += 10;
            if row.percent >= 100 {
                ended_runs.push((*worker, row.task.clone(), row.run));
            }
        }
    }
    for (worker, task, run) in ended_runs {
        harness.end(worker, &task, run, EndCause::Done);
    }
}

/// Urgent jobs must be placed before batch jobs, however long the latter have waited.
#[test]
fn urgent_jobs_are_placed_first() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    for index in 0..4 {
        harness.fleet.accept(review(index, 1_000), harness.now_us);
    }
    harness.fleet.accept(job("desk", vec![step(16)]), harness.now_us);
    harness.settle();
    assert_eq!(harness.present("desk").len(), 16);
}

/// Allocations must not exceed the capacity of a worker, whatever the mix of jobs.
#[test]
fn allocations_never_exceed_capacity() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    for index in 0..30 {
        let mut spec = review(index, 1_000);
        spec.steps[0].need.cpu_milli = 700 + 450 * u64::from(index % 7);
        harness.fleet.accept(spec, harness.now_us);
        harness.settle();
        for (_, worker) in harness.fleet.live_workers() {
            assert!(worker.entry.capacity.holds(&worker.used), "{:?}", worker.used);
        }
    }
}

/// Guards against urgent starts that are delayed by all batch starts of a lagging planner.
#[test]
fn batch_placement_is_bounded_while_starts_are_pending() {
    let workers = (0..200).map(|at| WorkerEntry {
        address: format!("10.0.1.{at}:80"),
        ..entry(&format!("w{at}"), "r1-1")
    });
    let mut harness = Harness::new(workers.collect());
    for at in 0..40 {
        let mut spec = job(&format!("batch{at}"), vec![step(80)]);
        spec.queue = "month-end".to_owned();
        spec.terms.priority = 2;
        harness.fleet.accept(spec, harness.now_us);
    }
    let starts: usize = (0..10).map(|_| harness.plan().len()).sum();
    assert!((1_024..1_104).contains(&starts), "{starts} starts ordered while none is carried out");
    harness.fleet.accept(job("urgent", vec![step(4)]), harness.now_us);
    let orders = harness.plan();
    assert_eq!(orders.len(), 4, "an urgent step is not delayed");
    let earlier: Vec<_> = harness.orders.clone();
    earlier.iter().for_each(|order| harness.execute(order));
    assert!(
        !harness.plan().is_empty(),
        "batch tasks are placed again once earlier starts are answered"
    );
}

/// Guards against batch tasks that wait for tasks on unresponsive workers after a takeover.
#[test]
fn restored_tasks_and_failed_starts_do_not_count_as_starting() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("running", vec![step(8)]);
    harness.fleet.accept(spec.clone(), harness.now_us);
    let orders = harness.plan();
    assert_eq!(harness.fleet.starting(), 8);
    for order in orders.iter().cycle().take(16) {
        harness.fleet.order_answered(order, OrderOutcome::Unanswered, harness.now_us);
    }
    assert_eq!(harness.fleet.starting(), 0, "each start was given up after two tries");
    let successor = harness.successor(&[spec], Vec::new());
    assert_eq!(successor.starting(), 0);
}
