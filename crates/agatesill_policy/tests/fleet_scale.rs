//! What a decision costs as the fleet grows.

mod fleet_support;

use agatesill_policy::fleet::{Effort, JobSpec, Step, WorkerEntry};
use fleet_support::{Harness, MS, entry, job, step};

/// Time between two rounds of planning.
const ROUND_MS: u64 = 50;

/// Rounds that are measured.
const ROUNDS: u32 = 20;

/// Starts a second for each worker: 2,400 a second on a thousand.
const STARTS_FOR_WORKER: f64 = 2.4;

/// Workers of a rack.
const RACK: usize = 20;

fn workers(count: usize) -> Vec<WorkerEntry> {
    (0..count)
        .map(|index| {
            let mut worker = entry(&format!("w{index}"), &format!("r{}", index / RACK));
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

/// A fleet of `count` workers whose processors are reserved to nine tenths by lasting tasks.
fn reserved(count: usize) -> Harness {
    let mut rig = Harness::new(workers(count));
    let tasks = count as f64 * 16_000.0 * 0.9 / 3_200.0;
    for index in 0..(tasks / 24.0) as usize {
        rig.fleet.accept(lasting(index), rig.now_us);
    }
    rig.settle();
    report(&mut rig);
    rig.poll_all();
    rig
}

/// What the next polls show: lasting tasks at work with low tails, others a twentieth further.
fn report(rig: &mut Harness) {
    for row in rig.workers.values_mut().flat_map(|far| far.running.values_mut()) {
        let is_lasting = row.task.job.starts_with("lasting");
        row.percent = if is_lasting { 100 } else { row.percent + 5 };
        row.figure = if is_lasting { 30 } else { 1_500 };
    }
}

fn end_finished(rig: &mut Harness) {
    let over: Vec<_> = rig
        .workers
        .iter()
        .flat_map(|(worker, far)| far.running.values().map(move |row| (*worker, row)))
        .filter(|(_, row)| !row.task.job.starts_with("lasting") && row.percent >= 100)
        .map(|(worker, row)| (worker, row.task.clone(), row.run))
        .collect();
    for (worker, task, run) in over {
        rig.end(worker, &task, run, agatesill_policy::fleet::EndCause::Done);
    }
}

/// What one start cost: workers examined, steps ranked and lasting tasks weighed.
fn cost_of_a_start(count: usize) -> (f64, f64, f64) {
    let mut rig = reserved(count);
    let begun: Effort = rig.fleet.effort();
    let chosen = rig.fleet.counts().chosen;
    let starts = count as f64 * STARTS_FOR_WORKER * ROUND_MS as f64 / 1_000.0;
    let (mut filling_due, mut urgent_due) = (0.0, 0.0);
    let (mut fillings, mut urgents) = (0, 0);
    for _ in 0..ROUNDS {
        filling_due += starts * 0.8 / 40.0;
        urgent_due += starts * 0.2 / 13.0;
        let now_ms = rig.now_us / MS;
        while f64::from(fillings) < filling_due {
            rig.fleet.accept(filling(fillings, now_ms), rig.now_us);
            fillings += 1;
        }
        while f64::from(urgents) < urgent_due {
            rig.fleet.accept(urgent(urgents, now_ms), rig.now_us);
            urgents += 1;
        }
        let orders = rig.plan();
        orders.iter().for_each(|order| rig.execute(order));
        let next_us = rig.now_us + ROUND_MS * MS;
        report(&mut rig);
        end_finished(&mut rig);
        rig.poll_all();
        rig.now_us = rig.now_us.max(next_us);
    }
    let effort = rig.fleet.effort();
    let started = (rig.fleet.counts().chosen - chosen) as f64;
    assert!(started > f64::from(ROUNDS) * starts * 0.5, "only {started} starts");
    (
        (effort.workers_examined - begun.workers_examined) as f64 / started,
        (effort.steps_ranked - begun.steps_ranked) as f64 / started,
        (effort.tasks_weighed - begun.tasks_weighed) as f64 / started,
    )
}

/// Nothing was served on eleven hundred workers, where fifty were no trouble: for each task the choice
/// went over all workers, and over all again for each serving image on each of them. A round took
/// longer than the planner's lease, the next planner fared no better, and all runs lapsed. What a
/// start costs must not grow with the fleet.
#[test]
fn a_start_costs_as_much_on_two_thousand_workers_as_on_250() {
    let sizes: &[usize] = &[250, 500, 1_000, 2_000];
    let costs: Vec<_> = sizes.iter().map(|count| cost_of_a_start(*count)).collect();
    let (small, large) = (costs[0], costs[costs.len() - 1]);
    let grown = |small: f64, large: f64| large > 1.5 * small.max(1.0);
    assert!(!grown(small.0, large.0), "workers examined for a start: {costs:?}");
    assert!(!grown(small.1, large.1), "steps ranked for a start: {costs:?}");
    assert!(!grown(small.2, large.2), "lasting tasks weighed for a start: {costs:?}");
}
