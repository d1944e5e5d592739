//! Cost of a decision as the fleet grows.

mod fleet_support;

use agatesill_policy::fleet::{Effort, JobSpec, Step, WorkerEntry};
use fleet_support::{Harness, MS, entry, job, step};

/// Interval between two rounds of planning.
const ROUND_INTERVAL_MS: u64 = 50;

/// Number of rounds measured.
const ROUNDS: u32 = 20;

/// Starts per second and worker: 2,400 per second on a thousand workers.
const STARTS_PER_WORKER: f64 = 2.4;

/// Workers per rack.
const WORKERS_PER_RACK: usize = 20;

fn workers(count: usize) -> Vec<WorkerEntry> {
    (0..count)
        .map(|index| {
            let mut worker = entry(&format!("w{index}"), &format!("r{}", index / WORKERS_PER_RACK));
            worker.address = format!("10.{}.{}.1:80", index / 250, index % 250);
            worker
        })
        .collect()
}

fn lasting(index: usize) -> JobSpec {
    let mut watch = step(24);
    watch.is_lasting = true;
    watch.image = format!("watch{}", index % 16);
    watch.target_ms = 100;
    watch.need.cpu_milli = 3_200;
    watch.need.memory_mb = 6_400;
    job(&format!("lasting{index}"), vec![watch])
}

fn urgent(index: u32, accepted_at_ms: u64) -> JobSpec {
    let mut price: Step = step(13);
    price.need.cpu_milli = 3_200;
    price.need.memory_mb = 6_400;
    price.estimate_ms = 640;
    let mut spec = job(&format!("urgent{index}"), vec![price]);
    spec.accepted_at_ms = accepted_at_ms;
    spec
}

fn filling(index: u32, accepted_at_ms: u64) -> JobSpec {
    let mut bill = step(40);
    bill.fills = true;
    bill.saves_progress = true;
    bill.image = format!("bill{}", index % 30);
    bill.need.cpu_milli = 1_800;
    bill.need.memory_mb = 3_200;
    bill.estimate_ms = 2_200;
    let mut spec = job(&format!("filling{index}"), vec![bill]);
    spec.queue = "month-end".to_owned();
    spec.terms.priority = 2;
    spec.accepted_at_ms = accepted_at_ms;
    spec
}

/// Creates a fleet of `count` workers with nine tenths of the CPU reserved by long-running tasks.
fn reserved(count: usize) -> Harness {
    let mut harness = Harness::new(workers(count));
    let tasks = count as f64 * 16_000.0 * 0.9 / 3_200.0;
    for index in 0..(tasks / 24.0) as usize {
        harness.fleet.accept(lasting(index), harness.now_us);
    }
    harness.settle();
    advance_progress(&mut harness);
    harness.poll_all();
    harness
}

/// Advances the reported progress: long-running tasks are ready with short response times, others
/// gain a twentieth.
fn advance_progress(harness: &mut Harness) {
    for row in harness.workers.values_mut().flat_map(|fake_worker| fake_worker.running.values_mut())
    {
        let is_lasting = row.task.job.starts_with("lasting");
        row.percent = if is_lasting { 100 } else { row.percent + 5 };
        row.figure = if is_lasting { 30 } else { 1_500 };
    }
}

fn end_finished(harness: &mut Harness) {
    let finished_runs: Vec<_> = harness
        .workers
        .iter()
        .flat_map(|(worker, fake_worker)| {
            fake_worker.running.values().map(move |row| (*worker, row))
        })
        .filter(|(_, row)| !row.task.job.starts_with("lasting") && row.percent >= 100)
        .map(|(worker, row)| (worker, row.task.clone(), row.run))
        .collect();
    for (worker, task, run) in finished_runs {
        harness.end(worker, &task, run, agatesill_policy::fleet::EndCause::Done);
    }
}

/// Returns the cost of one start: workers examined, steps ranked and long-running tasks weighed.
fn cost_per_start(count: usize) -> (f64, f64, f64) {
    let mut harness = reserved(count);
    let before: Effort = harness.fleet.effort();
    let chosen = harness.fleet.counts().chosen;
    let starts = count as f64 * STARTS_PER_WORKER * ROUND_INTERVAL_MS as f64 / 1_000.0;
    let (mut filling_due, mut urgent_due) = (0.0, 0.0);
    let (mut fillings, mut urgents) = (0, 0);
    for _ in 0..ROUNDS {
        filling_due += starts * 0.8 / 40.0;
        urgent_due += starts * 0.2 / 13.0;
        let now_ms = harness.now_us / MS;
        while f64::from(fillings) < filling_due {
            harness.fleet.accept(filling(fillings, now_ms), harness.now_us);
            fillings += 1;
        }
        while f64::from(urgents) < urgent_due {
            harness.fleet.accept(urgent(urgents, now_ms), harness.now_us);
            urgents += 1;
        }
        let orders = harness.plan();
        orders.iter().for_each(|order| harness.execute(order));
        let next_us = harness.now_us + ROUND_INTERVAL_MS * MS;
        advance_progress(&mut harness);
        end_finished(&mut harness);
        harness.poll_all();
        harness.now_us = harness.now_us.max(next_us);
    }
    let effort = harness.fleet.effort();
    let started = (harness.fleet.counts().chosen - chosen) as f64;
    assert!(started > f64::from(ROUNDS) * starts * 0.5, "only {started} starts");
    (
        (effort.workers_examined - before.workers_examined) as f64 / started,
        (effort.steps_ranked - before.steps_ranked) as f64 / started,
        (effort.tasks_weighed - before.tasks_weighed) as f64 / started,
    )
}

/// Guards against a planner that fails on 1,100 workers although 50 are no problem. Each choice
/// examined all workers, and all again for each serving image on each of them. A round took longer
/// than the planner's lease, every successor failed in the same way, and all runs lapsed. The cost
/// of a start must not grow with the fleet.
#[test]
fn cost_per_start_does_not_grow_with_the_fleet() {
    let sizes: &[usize] = &[250, 500, 1_000, 2_000];
    let costs: Vec<_> = sizes.iter().map(|count| cost_per_start(*count)).collect();
    let (small, large) = (costs[0], costs[costs.len() - 1]);
    let is_larger = |small: f64, large: f64| large > 1.5 * small.max(1.0);
    assert!(!is_larger(small.0, large.0), "workers examined for a start: {costs:?}");
    assert!(!is_larger(small.1, large.1), "steps ranked for a start: {costs:?}");
    assert!(!is_larger(small.2, large.2), "long-running tasks weighed for a start: {costs:?}");
}
