//! Long-running tasks on workers that become slow, with and without load control.

mod fleet_support;

use std::collections::{BTreeMap, HashMap};

use agatesill_policy::admission::LoadControl;
use agatesill_policy::fleet::{JobSpec, OrderKind, WorkerIndex};
use fleet_support::{Harness, MS, entry, job, name, step};

/// Time between two polls.
const TICK_MS: u64 = 100;

/// Time that a long-running task takes to start on a healthy worker.
const START_MS: f64 = 1_000.0;

/// Factor by which slow workers are slower.
const SLOWDOWN: f64 = 6.0;

/// Latency target of the serving tasks.
const TARGET_MS: u64 = 100;

/// Tail of a serving task on a healthy worker.
const USUAL_TAIL_MS: u64 = 40;

const WORKERS: usize = 20;

fn watch(number: usize) -> JobSpec {
    let mut watch = step(10);
    watch.is_lasting = true;
    watch.need.cpu_milli = 2_000;
    watch.target_ms = TARGET_MS;
    watch.image = format!("watch{}", number % 3);
    watch.may_miss = Some(2);
    watch.max_per_worker = 2;
    job(&format!("watch{number}"), vec![watch])
}

/// A fleet whose long-running tasks reserve three fifths of the CPUs of all workers.
struct Replay {
    harness: Harness,
    /// Progress of each run, in percent.
    progress: BTreeMap<(String, u32), f64>,
    /// Task time for which a long-running task was missing, starting or over its target.
    harmed_ms: u64,
    jobs: Vec<String>,
}

impl Replay {
    fn new(control: LoadControl) -> Self {
        Self::with_jobs(control, 10)
    }

    /// A fleet with `jobs` long-running jobs, each of which reserves a sixteenth of the CPUs.
    fn with_jobs(control: LoadControl, job_count: usize) -> Self {
        Self::with_specs(control, (0..job_count).map(watch).collect())
    }

    fn with_specs(control: LoadControl, specs: Vec<JobSpec>) -> Self {
        let entries = (0..WORKERS).map(|index| {
            let mut worker = entry(&format!("w{index}"), &format!("r1-{}", index / 4));
            worker.address = format!("10.0.0.{index}:80");
            worker
        });
        let mut harness = Harness::new(entries.collect());
        let mut jobs = Vec::new();
        for spec in specs {
            harness.fleet.set_queues(HashMap::from([(spec.queue.clone(), spec.terms.clone())]));
            jobs.push(spec.id.clone());
            harness.fleet.accept(spec, harness.now_us);
        }
        harness.fleet.set_load_control(control);
        harness.settle();
        for question in harness.fleet.take_questions() {
            let ticket = |id: &String| (id.clone(), "leave".to_owned());
            let approved = question.workers.iter().filter(|id| id.len() == "w0".len());
            let good: Vec<_> = approved.map(ticket).collect();
            harness.fleet.advice_answered(&question, Some(&good), 3_000, harness.now_us);
        }
        harness.settle();
        let mut replay = Self { harness, progress: BTreeMap::new(), harmed_ms: 0, jobs };
        replay.run(8_000, |_, _| false);
        replay.harmed_ms = 0;
        replay
    }

    /// Runs for some time; `is_slow` tells by worker and elapsed time which workers are slow.
    fn run(&mut self, for_ms: u64, is_slow: impl Fn(WorkerIndex, u64) -> bool) {
        for tick in 0..for_ms / TICK_MS {
            let next_us = self.harness.now_us + TICK_MS * MS;
            for (worker, fake_worker) in &mut self.harness.workers {
                let slowdown = if is_slow(*worker, tick * TICK_MS) { SLOWDOWN } else { 1.0 };
                for ((task, run), row) in &mut fake_worker.running {
                    let progress = self.progress.entry((task.clone(), *run)).or_default();
                    *progress += 100.0 * TICK_MS as f64 / START_MS / slowdown;
                    row.percent = progress.min(100.0) as u32;
                    row.figure = (USUAL_TAIL_MS as f64 * slowdown) as u64;
                }
            }
            self.harness.poll_all();
            self.harness.settle();
            self.harness.now_us = self.harness.now_us.max(next_us);
            let tasks = 10 * self.jobs.len() as u64;
            self.harmed_ms += tasks.saturating_sub(self.well_served()) * TICK_MS;
        }
    }

    /// Number of long-running tasks that are ready and within their target.
    fn well_served(&self) -> u64 {
        let rows = self.harness.workers.values().flat_map(|worker| worker.running.values());
        rows.filter(|row| row.task.job.starts_with("watch"))
            .filter(|row| row.percent >= 100 && row.figure <= TARGET_MS)
            .count() as u64
    }

    fn stops(&self) -> usize {
        self.harness.orders.iter().filter(|order| order.kind == OrderKind::Stop).count()
    }

    /// Starts on a worker among the orders from `first` on.
    fn starts_on(&self, worker: impl Fn(WorkerIndex) -> bool, first: usize) -> usize {
        let is_start = |kind: &OrderKind| matches!(kind, OrderKind::Start { .. });
        let orders = self.harness.orders[first..].iter();
        orders.filter(|order| is_start(&order.kind) && worker(order.worker)).count()
    }

    /// Largest number of tasks of one job that are not at work.
    fn most_missing(&self) -> usize {
        self.jobs.iter().map(|job| 10 - self.harness.present(job).len()).max().unwrap_or(0)
    }
}

/// Three workers in ten, five of which have long-running tasks.
fn is_among_three_in_ten(worker: WorkerIndex) -> bool {
    worker % 3 == 0 && worker != 15
}

/// Guards against long-running tasks that stay on slow workers although others have capacity.
#[test]
fn tasks_leave_slow_workers() {
    let mut harmed_ms = [0; 2];
    for (result, control) in harmed_ms.iter_mut().zip([LoadControl::Off, LoadControl::On]) {
        let mut replay = Replay::new(control);
        replay.run(12_000, |worker, _| is_among_three_in_ten(worker));
        replay.run(3_000, |_, _| false);
        *result = replay.harmed_ms;
        assert_eq!(replay.well_served(), 100);
    }
    let [without, with] = harmed_ms;
    assert!(with * 5 <= without, "{with} ms of harm, {without} ms without load control");
}

/// Guards against evacuation that keeps more tasks of a step from running than it allows.
#[test]
fn evacuation_stays_within_the_allowance() {
    let mut replay = Replay::new(LoadControl::On);
    let mut most_missing = 0;
    for _ in 0..120 {
        replay.run(TICK_MS, |worker, _| is_among_three_in_ten(worker));
        most_missing = most_missing.max(replay.most_missing());
    }
    assert!(replay.stops() > 0);
    assert!(most_missing <= 2, "{most_missing} tasks of a step missing");
}

/// Guards against evacuation that harms more than it helps while nearly all workers are packed, and
/// against tasks that are moved again and again for the little room that is left.
#[test]
fn evacuation_with_little_room_does_no_harm() {
    let mut harmed_ms = [0; 2];
    for (result, control) in harmed_ms.iter_mut().zip([LoadControl::Off, LoadControl::On]) {
        let mut replay = Replay::with_jobs(control, 15);
        let is_slow = is_among_three_in_ten;
        let slow_tasks: usize = (replay.harness.workers.iter())
            .filter(|(worker, _)| is_slow(**worker))
            .map(|(_, fake_worker)| fake_worker.running.len())
            .sum();
        let mut most_missing = 0;
        for _ in 0..120 {
            replay.run(TICK_MS, |worker, _| is_slow(worker));
            most_missing = most_missing.max(replay.most_missing());
        }
        replay.run(3_000, |_, _| false);
        *result = replay.harmed_ms;
        assert!(most_missing <= 2, "{most_missing} tasks of a step missing");
        assert!(replay.stops() <= slow_tasks, "{} stops, {slow_tasks} tasks", replay.stops());
        assert_eq!(replay.well_served(), 150);
    }
    let [without, with] = harmed_ms;
    assert!(with <= without, "{with} ms of harm, {without} ms without load control");
}

/// Guards against moves that gain nothing because most workers are slow.
#[test]
fn nothing_moves_if_most_workers_are_slow() {
    let mut replay = Replay::new(LoadControl::On);
    replay.run(12_000, |worker, _| worker % 10 != 0);
    assert_eq!(replay.stops(), 0);
}

/// Guards against a rack whose workers slow down together and are taken for usual ones.
#[test]
fn tasks_leave_a_slow_rack_and_return_after_it() {
    let mut replay = Replay::new(LoadControl::On);
    let is_on_rack = |worker: WorkerIndex| worker / 4 == 1;
    replay.run(6_000, |worker, _| is_on_rack(worker));
    assert_eq!(replay.well_served(), 100);
    let before = replay.harness.orders.len();
    replay.run(6_000, |worker, _| is_on_rack(worker));
    assert_eq!(replay.starts_on(is_on_rack, before), 0, "starts on slow workers");
    replay.run(8_000, |_, _| false);
    let now_us = replay.harness.now_us;
    assert_eq!(replay.harness.fleet.slowest_workers(5, now_us).0, 0, "workers still avoided");
}

/// Guards against a worker that is slow every other second and is opened and closed each time.
#[test]
fn flapping_worker_is_left_once() {
    let mut replay = Replay::new(LoadControl::On);
    let flaps = |worker, at_ms: u64| worker == 0 && at_ms % 2_000 < 1_000;
    let tasks_before = replay.harness.workers[&0].running.len();
    let orders_before = replay.harness.orders.len();
    replay.run(20_000, flaps);
    assert!(replay.stops() <= tasks_before, "{} stops", replay.stops());
    let starts = replay.starts_on(|worker| worker == 0, orders_before);
    assert!(starts <= tasks_before, "{starts} starts on the flapping worker");
}

/// Guards against moves because of a single task at its peak load.
#[test]
fn single_task_over_its_target_does_not_make_a_worker_slow() {
    let mut replay = Replay::new(LoadControl::On);
    let (worker, key) = {
        let (worker, fake_worker) =
            replay.harness.workers.iter().find(|(_, worker)| worker.running.len() > 1).expect("w");
        (*worker, fake_worker.running.keys().next().expect("running task").clone())
    };
    for _ in 0..50 {
        replay.run(TICK_MS, |_, _| false);
        let running = &mut replay.harness.workers.get_mut(&worker).expect("worker").running;
        if let Some(row) = running.get_mut(&key) {
            row.figure = TARGET_MS * 4;
        }
        replay.harness.poll_all();
    }
    assert_eq!(replay.stops(), 0);
    assert_eq!(replay.harness.fleet.counts().slow_workers, 0);
}

/// Guards against a slow worker without serving tasks that gets urgent tasks before a best-effort
/// task has shown that it has recovered.
#[test]
fn slow_worker_is_tried_with_a_best_effort_task() {
    let mut replay = Replay::new(LoadControl::On);
    let empty: Vec<WorkerIndex> = replay
        .harness
        .workers
        .iter()
        .filter(|(_, worker)| worker.running.is_empty())
        .map(|(worker, _)| *worker)
        .collect();
    let slow = empty[0];
    let is_urgent = |task: &str| task.starts_with("desk");
    let (mut urgent_after_detection, mut most_trials) = (0, 0);
    for round in 0..60 {
        if round % 5 == 0 {
            let mut spec = job(&format!("desk{round}"), vec![step(30)]);
            spec.accepted_at_ms = replay.harness.now_us / MS;
            replay.harness.fleet.accept(spec, replay.harness.now_us);
            let mut fill = step(6);
            fill.fills = true;
            fill.need.cpu_milli = 1_000;
            replay.harness.fleet.accept(job(&format!("fill{round}"), vec![fill]), 0);
            replay.harness.settle();
        }
        let orders_before = replay.harness.orders.len();
        replay.run(TICK_MS, |worker, _| worker == slow);
        end_finished(&mut replay);
        if round >= 25 {
            let is_start = |order: &&agatesill_policy::fleet::Order| {
                matches!(order.kind, OrderKind::Start { .. }) && order.worker == slow
            };
            let orders = &replay.harness.orders[orders_before..];
            let started: Vec<String> =
                orders.iter().filter(is_start).map(|order| name(&order.task)).collect();
            urgent_after_detection += started.iter().filter(|task| is_urgent(task)).count();
            most_trials = most_trials.max(started.len());
        }
    }
    assert!(replay.harness.fleet.counts().slow_workers > 0, "the worker was not found slow");
    assert_eq!(urgent_after_detection, 0, "urgent tasks on a slow worker");
    assert!(most_trials <= 1, "{most_trials} trials at once");
}

fn end_finished(replay: &mut Replay) {
    let ended: Vec<_> = replay
        .harness
        .workers
        .iter()
        .flat_map(|(worker, fake_worker)| {
            fake_worker.running.values().map(move |row| (*worker, row.clone()))
        })
        .filter(|(_, row)| row.percent >= 100 && !row.task.job.starts_with("watch"))
        .collect();
    for (worker, row) in ended {
        replay.harness.end(worker, &row.task, row.run, agatesill_policy::fleet::EndCause::Done);
    }
}

/// Guards against a task that leaves its slow worker although no other may take it: all others have a task
/// of its step.
#[test]
fn tasks_stay_where_no_other_worker_may_take_another_of_their_step() {
    let one_on_each = |number| {
        let mut spec = watch(number);
        (spec.steps[0].count, spec.steps[0].max_per_worker) = (WORKERS as u32, 1);
        spec
    };
    let mut replay = Replay::with_specs(LoadControl::On, (0..5).map(one_on_each).collect());
    assert_eq!(replay.well_served(), 5 * WORKERS as u64);
    replay.run(8_000, |worker, _| worker == 3);
    assert_eq!(replay.stops(), 0);
}

/// Guards against the same where the advice service has approved no other worker.
#[test]
fn tasks_stay_where_no_other_worker_is_approved() {
    let advised = |number| {
        let mut spec = watch(number);
        (spec.steps[0].max_per_worker, spec.terms.needs_advice) = (1, true);
        spec
    };
    let mut replay = Replay::with_specs(LoadControl::On, (0..5).map(advised).collect());
    assert_eq!(replay.well_served(), 50, "workers with one digit are approved");
    replay.run(8_000, |worker, _| worker == 3);
    assert_eq!(replay.stops(), 0);
}
