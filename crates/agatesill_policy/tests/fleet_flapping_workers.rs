//! Workers that answer and fall silent by turns.

mod fleet_support;

use std::collections::HashMap;

use agatesill_policy::admission::LoadControl;
use agatesill_policy::fleet::{EndCause, JobSpec, Order, OrderKind, WorkerIndex};
use fleet_support::{Harness, MS, entry, job, step};

/// Time between two polls.
const TICK_MS: u64 = 100;

const WORKERS: usize = 20;

/// Run time of an urgent task.
const RUN_MS: u64 = 800;

/// Time in which a worker has fallen silent twice, and is known to flap.
const DETECTION_MS: u64 = 4_000;

fn urgent(number: u64, now_us: u64) -> JobSpec {
    let mut price = step(10);
    price.need.cpu_milli = 3_700;
    price.estimate_ms = RUN_MS;
    let mut spec = job(&format!("price{number}"), vec![price]);
    spec.accepted_at_ms = now_us / MS;
    spec
}

fn watch() -> JobSpec {
    let mut watch = step(20);
    watch.is_lasting = true;
    watch.may_miss = Some(2);
    watch.max_per_worker = 1;
    job("watch", vec![watch])
}

/// Runs ended by the time that they began; long-running ones stay.
fn end_due_runs(harness: &mut Harness, began_us: &mut HashMap<(String, u32), u64>) {
    let mut ends = Vec::new();
    for (worker, fake_worker) in &mut harness.workers {
        for (key, row) in &mut fake_worker.running {
            let began_us = *began_us.entry(key.clone()).or_insert(harness.now_us);
            let is_lasting = row.task.job == "watch";
            let ran_ms = (harness.now_us - began_us) / MS;
            row.percent = (ran_ms * 100 / RUN_MS).min(if is_lasting { 100 } else { 99 }) as u32;
            if !is_lasting && ran_ms >= RUN_MS {
                ends.push((*worker, row.task.clone(), row.run));
            }
        }
    }
    for (worker, task, run) in ends {
        harness.end(worker, &task, run, EndCause::Done);
    }
}

/// Runs 16 seconds of load with some workers that flap, and returns the orders after
/// [`DETECTION_MS`].
fn replay(is_silent: impl Fn(WorkerIndex, u64) -> bool) -> Vec<Order> {
    let entries = (0..WORKERS).map(|index| {
        let mut worker = entry(&format!("w{index}"), "r1-1");
        worker.address = format!("10.0.0.{index}:80");
        worker
    });
    let mut harness = Harness::new(entries.collect());
    let spec = urgent(0, 0);
    harness.fleet.set_queues(HashMap::from([(spec.queue, spec.terms)]));
    harness.fleet.set_load_control(LoadControl::On);
    harness.fleet.accept(watch(), harness.now_us);
    let (mut began_us, mut known_from) = (HashMap::new(), 0);
    for tick in 0..160 {
        let next_us = harness.now_us + TICK_MS * MS;
        if tick % 3 == 0 {
            harness.fleet.accept(urgent(tick, harness.now_us), harness.now_us);
        }
        harness.settle();
        end_due_runs(&mut harness, &mut began_us);
        for worker in 0..WORKERS as WorkerIndex {
            if is_silent(worker, tick * TICK_MS) {
                harness.fleet.worker_silent(worker, harness.now_us);
            } else {
                harness.poll(worker);
            }
        }
        harness.settle();
        harness.now_us = next_us;
        if tick * TICK_MS == DETECTION_MS {
            known_from = harness.orders.len();
        }
    }
    harness.orders.split_off(known_from)
}

fn urgent_starts_on(orders: &[Order], worker: impl Fn(WorkerIndex) -> bool) -> usize {
    let is_start = |order: &&Order| matches!(order.kind, OrderKind::Start { .. });
    orders.iter().filter(is_start).filter(|order| worker(order.worker)).count()
}

/// Guards against urgent tasks on a worker that is silent every other second, whose ends are known
/// late, and against long-running tasks that move back and forth between it and others.
#[test]
fn flapping_workers_get_no_urgent_tasks() {
    let orders = replay(|worker, at_ms| worker < 2 && at_ms % 2_000 >= 1_000);
    let moved = orders.iter().filter(|order| order.task.job == "watch").count();
    assert!(moved <= 2, "{moved} orders for long-running tasks");
    let urgent = urgent_starts_on(&orders, |worker| worker < 2);
    assert_eq!(urgent, 0, "urgent starts on flapping workers");
}

/// Guards against a worker that is avoided long after it has stopped flapping.
#[test]
fn steady_workers_get_urgent_tasks_again() {
    let orders =
        replay(|worker, at_ms| worker < 2 && at_ms < DETECTION_MS && at_ms % 2_000 >= 1_000);
    assert!(urgent_starts_on(&orders, |worker| worker < 2) > 0, "never used again");
}

/// Guards against a planner that avoids most workers because its own calls are late.
#[test]
fn workers_are_not_avoided_if_many_fall_silent_together() {
    let orders = replay(|worker, at_ms| worker % 2 == 0 && at_ms % 2_000 >= 1_000);
    assert!(urgent_starts_on(&orders, |worker| worker % 2 == 0) > 0, "half of the fleet avoided");
}
