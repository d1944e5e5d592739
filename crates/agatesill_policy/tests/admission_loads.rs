//! Sums of the load that the planner publishes, and work that no longer counts.

mod fleet_support;

use std::collections::HashMap;

use agatesill_policy::admission::{LoadControl, ServiceLoad};
use agatesill_policy::fleet::{EndCause, JobSpec, QueueTerms};
use fleet_support::{Harness, MS, entry, job, step};

fn reviews(id: &str) -> JobSpec {
    let mut spec = job(id, vec![step(32)]);
    spec.queue = "reviews".to_owned();
    spec.terms.priority = 2;
    spec
}

/// Two workers with 32 cores in all.
fn harness(control: LoadControl) -> Harness {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let queues: HashMap<String, QueueTerms> =
        [job("desk", Vec::new()), reviews("reviews")].map(|spec| (spec.queue, spec.terms)).into();
    harness.fleet.set_queues(queues);
    harness.fleet.set_load_control(control);
    harness
}

fn accept(harness: &mut Harness, spec: JobSpec) {
    let accepted_at_ms = harness.now_us / MS;
    harness.fleet.accept(JobSpec { accepted_at_ms, ..spec }, harness.now_us);
}

fn load(harness: &mut Harness) -> ServiceLoad {
    let loads = harness.fleet.service_loads(harness.now_us);
    assert_eq!(loads.len(), 1);
    loads[0].clone()
}

/// Keeps the workers full for some seconds, with runs that take `run_ms` each, and returns the last
/// load.
fn run_full(harness: &mut Harness, length_ms: u64, run_ms: u64) -> ServiceLoad {
    let mut began_us = HashMap::new();
    let mut last = ServiceLoad::default();
    for tick in 0..length_ms / 50 {
        if tick * 50 % run_ms == 0 {
            accept(harness, job(&format!("{}-{tick}", harness.now_us), vec![step(48)]));
        }
        harness.settle();
        let mut ended = Vec::new();
        for (worker, fake_worker) in &mut harness.workers {
            for row in fake_worker.running.values_mut() {
                let key = (row.task.job.clone(), row.task.index);
                let began = *began_us.entry(key).or_insert(harness.now_us);
                row.percent = 1 + ((harness.now_us - began) / (run_ms * 10)) as u32;
                if harness.now_us - began >= run_ms * MS {
                    ended.push((*worker, row.task.clone(), row.run));
                }
            }
        }
        for (worker, task, run) in ended {
            harness.end(worker, &task, run, EndCause::Done);
        }
        let next_us = harness.now_us + 50 * MS;
        harness.poll_all();
        harness.settle();
        harness.now_us = next_us;
        if tick % 5 == 0 {
            last = load(harness);
        }
    }
    last
}

/// Guards against views that count closed workers, running tasks or other services.
#[test]
fn sums_cover_open_workers_and_waiting_tasks() {
    let mut harness = harness(LoadControl::On);
    accept(&mut harness, job("full", vec![step(40)]));
    harness.settle();
    let load = load(&mut harness);
    assert_eq!((load.service.as_str(), load.capacity_milli), ("pricing", 32_000));
    assert_eq!(load.largest_worker_milli, 16_000);
    assert_eq!((load.plain.placed_milli, load.plain.waiting_milli), (32_000, 8_000));
    assert_eq!((load.plain.ahead_core_ms, load.plain.drain_milli), (8_000, 0));
    assert_eq!(load.headroom_milli, 11_200, "no more than its share of the capacity");
}

/// Guards against features that change how a deployment without them is served.
#[test]
fn services_without_load_control_have_no_load() {
    let mut harness = harness(LoadControl::Off);
    accept(&mut harness, job("full", vec![step(40)]));
    harness.settle();
    assert!(harness.fleet.service_loads(harness.now_us).is_empty());
}

/// Guards against forecasts by estimates that are wrong, or by a drain from before workers slowed.
#[test]
fn drain_follows_the_run_times_within_seconds() {
    let mut harness = harness(LoadControl::On);
    let as_estimated = run_full(&mut harness, 6_000, 1_000).plain.drain_milli;
    assert!((24_000..=36_000).contains(&as_estimated), "{as_estimated}");
    let slowed = run_full(&mut harness, 9_000, 2_000).plain.drain_milli;
    assert!((12_000..=20_000).contains(&slowed), "{slowed}");
}

/// Guards against newcomers refused for work that ranks behind them.
#[test]
fn late_work_is_not_ahead_of_a_newcomer() {
    let mut harness = harness(LoadControl::On);
    accept(&mut harness, job("full", vec![step(40)]));
    harness.settle();
    harness.advance_ms(2_500);
    let load = load(&mut harness);
    assert_eq!((load.plain.waiting_milli, load.plain.ahead_core_ms), (8_000, 0));
}

/// Guards against jobs that no longer count and still hold back others.
#[test]
fn overdue_jobs_go_after_all_others_under_load_control() {
    for (control, first) in [(LoadControl::On, "batch"), (LoadControl::Off, "overdue")] {
        let mut harness = harness(control);
        accept(&mut harness, job("full", vec![step(32)]));
        harness.settle();
        accept(&mut harness, job("overdue", vec![step(32)]));
        harness.advance_ms(9_500);
        accept(&mut harness, reviews("batch"));
        for (worker, task, run) in harness.present("full") {
            harness.end(worker, &task, run, EndCause::Done);
        }
        harness.poll_all();
        harness.settle();
        assert_eq!(harness.present(first).len(), 32, "{control:?}");
    }
}

/// Guards against a job that is cancelled while it waits and still counts as work ahead.
#[test]
fn cancelled_jobs_leave_the_load_at_once() {
    let mut harness = harness(LoadControl::On);
    accept(&mut harness, job("full", vec![step(32)]));
    harness.settle();
    accept(&mut harness, job("waits", vec![step(32)]));
    assert_eq!(load(&mut harness).plain.waiting_milli, 32_000);
    harness.fleet.cancel("waits", harness.now_us);
    assert_eq!(load(&mut harness).plain.waiting_milli, 0);
}
