//! Failing workers beside healthy jobs, and hopeless jobs beside healthy workers, under load control.

mod fleet_support;

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use agatesill_policy::admission::LoadControl;
use agatesill_policy::fleet::{EndCause, JobPhase, JobSpec, OrderKind, RunRow, WorkerIndex};
use fleet_support::{Harness, MS, entry, job, step};

/// Time between two polls.
const TICK_MS: u64 = 100;

const WORKERS: usize = 40;

/// Failed runs of one task after which its job fails.
const MAX_ATTEMPTS: u32 = 2;

/// Run time of a task.
const RUN_MS: u64 = 800;

/// Time in which an urgent job should complete: half as long again as its task, and its target.
const OBJECTIVE_MS: u64 = RUN_MS * 3 / 2 + 300;

/// Time after which a failing worker should be known.
const DETECTION_MS: u64 = 1_000;

/// An urgent job whose tasks can be done.
fn healthy(number: usize, now_us: u64) -> JobSpec {
    let mut price = step(10);
    price.need.cpu_milli = 3_700;
    price.estimate_ms = RUN_MS;
    let mut spec = job(&format!("healthy{number}"), vec![price]);
    spec.terms.max_attempts = MAX_ATTEMPTS;
    spec.terms.stretch = 1.5;
    spec.terms.target_ms = 300;
    spec.accepted_at_ms = now_us / MS;
    spec
}

/// A best-effort job whose tasks can be done.
fn filling(number: usize, now_us: u64) -> JobSpec {
    let mut bill = step(10);
    bill.fills = true;
    bill.need.cpu_milli = 1_000;
    bill.estimate_ms = RUN_MS;
    bill.image = "bill".to_owned();
    let mut spec = healthy(number, now_us);
    spec.id = format!("filling{number}");
    spec.queue = "month-end".to_owned();
    spec.terms.priority = 2;
    spec.steps = vec![bill];
    spec
}

/// An urgent job each of whose tasks fails at once wherever it runs.
fn hopeless(number: usize, now_us: u64) -> JobSpec {
    let mut spec = healthy(number, now_us);
    spec.id = format!("hopeless{number}");
    spec.steps[0].count = 4;
    spec.steps[0].need.cpu_milli = 1_000;
    spec
}

/// A fleet that urgent jobs use to half, with its run times, failures and results.
struct Replay {
    harness: Harness,
    /// When each run began.
    began_us: HashMap<(String, u32), u64>,
    /// Open jobs with the time of their acceptance.
    open: BTreeMap<String, u64>,
    /// Time from acceptance to completion by job.
    took_ms: BTreeMap<String, u64>,
    failed: Vec<String>,
    submitted: usize,
}

impl Replay {
    fn new() -> Self {
        let entries = (0..WORKERS).map(|index| {
            let mut worker = entry(&format!("w{index}"), &format!("r1-{}", index / 8));
            worker.address = format!("10.0.0.{index}:80");
            worker
        });
        let mut harness = Harness::new(entries.collect());
        let queues = [healthy(0, 0), filling(0, 0)].map(|spec| (spec.queue, spec.terms));
        harness.fleet.set_queues(HashMap::from(queues));
        harness.fleet.set_load_control(LoadControl::On);
        Self {
            harness,
            began_us: HashMap::new(),
            open: BTreeMap::new(),
            took_ms: BTreeMap::new(),
            failed: Vec::new(),
            submitted: 0,
        }
    }

    fn submit(&mut self, spec: JobSpec) {
        self.open.insert(spec.id.clone(), self.harness.now_us);
        self.harness.fleet.accept(spec, self.harness.now_us);
        self.submitted += 1;
    }

    /// Submits the jobs of one tick, runs it, and collects the results; `fails` tells which runs
    /// fail.
    fn tick(&mut self, hopeless_jobs: usize, fails: impl Fn(WorkerIndex, &RunRow) -> bool) {
        let now_us = self.harness.now_us;
        let number = self.submitted;
        self.submit(healthy(number, now_us));
        if number % 2 == 0 {
            self.submit(filling(number, now_us));
        }
        (0..hopeless_jobs).for_each(|next| self.submit(hopeless(number + 1 + next, now_us)));
        let next_us = now_us + TICK_MS * MS;
        self.harness.settle();
        self.harness.now_us = next_us;
        self.advance_runs(fails);
        self.harness.poll_all();
        self.harness.settle();
        self.collect();
        self.harness.now_us = next_us;
    }

    fn advance_runs(&mut self, fails: impl Fn(WorkerIndex, &RunRow) -> bool) {
        let now_us = self.harness.now_us;
        let mut ends = Vec::new();
        for (worker, fake_worker) in &mut self.harness.workers {
            for (key, row) in &mut fake_worker.running {
                let began_us = *self.began_us.entry(key.clone()).or_insert(now_us - TICK_MS * MS);
                let ran_ms = (now_us - began_us) / MS;
                row.percent = (ran_ms * 100 / RUN_MS).min(99) as u32;
                row.figure = 1_000;
                let cause = if row.task.job.starts_with("hopeless") || fails(*worker, row) {
                    EndCause::Failed
                } else if ran_ms >= RUN_MS {
                    EndCause::Done
                } else {
                    continue;
                };
                ends.push((*worker, row.task.clone(), row.run, cause));
            }
        }
        for (worker, task, run, cause) in ends {
            self.harness.end(worker, &task, run, cause);
        }
    }

    fn collect(&mut self) {
        let (fleet, now_us) = (&self.harness.fleet, self.harness.now_us);
        for (id, accepted_us) in std::mem::take(&mut self.open) {
            match fleet.state_of(&id).map(|(phase, _)| phase) {
                Some(JobPhase::Completed) => {
                    self.took_ms.insert(id, (now_us - accepted_us) / MS);
                }
                Some(JobPhase::Failed) => self.failed.push(id),
                _ => drop(self.open.insert(id, accepted_us)),
            }
        }
    }

    fn failed(&self, prefix: &str) -> usize {
        self.failed.iter().filter(|id| id.starts_with(prefix)).count()
    }

    /// Completed jobs, and those within the objective.
    fn in_time(&self) -> (usize, usize) {
        let urgent = self.took_ms.iter().filter(|(id, _)| id.starts_with("healthy"));
        let in_time = urgent.clone().filter(|(_, took_ms)| **took_ms <= OBJECTIVE_MS).count();
        (urgent.count(), in_time)
    }

    /// Starts on a worker among the orders from `first` on.
    fn starts_on(&self, worker: impl Fn(WorkerIndex) -> bool, first: usize) -> usize {
        let is_start = |kind: &OrderKind| matches!(kind, OrderKind::Start { .. });
        let orders = self.harness.orders[first..].iter();
        orders.filter(|order| is_start(&order.kind) && worker(order.worker)).count()
    }
}

fn is_fifth(worker: WorkerIndex) -> bool {
    worker % 5 == 0
}

/// A share of the runs on a fifth of the workers.
fn fails_on_a_fifth(percent: u64) -> impl Fn(WorkerIndex, &RunRow) -> bool {
    move |worker, row| {
        let mut hasher = DefaultHasher::new();
        (&row.task, row.run, worker).hash(&mut hasher);
        is_fifth(worker) && hasher.finish() % 100 < percent
    }
}

/// Jobs that fail within 12 seconds although all of them could be done, after `warm_up` ticks.
fn failed_jobs(percent: u64, warm_up: usize) -> Vec<String> {
    let mut replay = Replay::new();
    (0..warm_up).for_each(|_| replay.tick(0, |_, _| false));
    (0..120).for_each(|_| replay.tick(0, fails_on_a_fifth(percent)));
    let (completed, in_time) = replay.in_time();
    assert!(in_time * 10 >= completed * 9, "{in_time} of {completed} in time, {percent}");
    replay.failed
}

/// Guards against failing workers that use up the attempts of healthy jobs: they are free again at
/// once, and so get the next tasks.
#[test]
fn failing_workers_do_not_use_up_the_attempts_of_healthy_jobs() {
    for percent in [60, 80, 100] {
        let failed = failed_jobs(percent, 20);
        assert_eq!(failed, Vec::<String>::new(), "{percent} of 100 runs fail");
    }
}

/// Guards against failing workers that use up attempts while no worker has completed a run yet.
#[test]
fn failing_workers_do_not_use_up_attempts_of_the_first_jobs() {
    assert_eq!(failed_jobs(80, 0), Vec::<String>::new());
}

/// Guards against failing workers that can't be told from hopeless jobs when there are both.
#[test]
fn failing_workers_are_found_beside_hopeless_jobs() {
    let mut replay = Replay::new();
    (0..20).for_each(|_| replay.tick(0, |_, _| false));
    (0..120).for_each(|_| replay.tick(10, fails_on_a_fifth(80)));
    assert_eq!((replay.failed("healthy"), replay.failed("filling")), (0, 0));
    let (completed, in_time) = replay.in_time();
    assert!(in_time * 10 >= 140 * 9, "{in_time} of {completed} completed in time");
}

/// Guards against a failing worker that gets as many tasks as it has room for each time it is tried
/// again.
#[test]
fn failing_workers_are_tried_with_one_task_at_a_time() {
    let mut replay = Replay::new();
    (0..DETECTION_MS / TICK_MS).for_each(|_| replay.tick(0, |worker, _| is_fifth(worker)));
    let first = replay.harness.orders.len();
    let seconds = 12;
    for _ in 0..seconds * 1_000 / TICK_MS {
        replay.tick(0, |worker, _| is_fifth(worker));
        for (worker, fake_worker) in &replay.harness.workers {
            let running = fake_worker.running.len();
            assert!(!is_fifth(*worker) || running <= 1, "{running} tasks on worker {worker}");
        }
    }
    let starts = replay.starts_on(is_fifth, first);
    let trials = seconds as usize * WORKERS / 5;
    assert!(starts <= trials, "{starts} starts on failing workers, more than one per second each");
}

/// Guards against a failing worker that is avoided for long after it has recovered.
#[test]
fn recovered_workers_are_trusted_after_they_succeed() {
    let mut replay = Replay::new();
    (0..50).for_each(|_| replay.tick(0, |worker, _| is_fifth(worker)));
    (0..100).for_each(|_| replay.tick(0, |_, _| false));
    let mut used = [false; WORKERS];
    for _ in 0..40 {
        replay.tick(0, |_, _| false);
        for (worker, fake_worker) in &replay.harness.workers {
            used[*worker as usize] |= fake_worker.running.len() > 1;
        }
    }
    let unused: Vec<usize> = (0..WORKERS).filter(|worker| !used[*worker]).collect();
    assert!(!unused.iter().any(|worker| worker % 5 == 0), "not trusted: {unused:?}");
}

/// Guards against a hundred hopeless jobs a second that are taken for failing workers, or that take
/// the planner's time and the room of healthy jobs.
#[test]
fn hopeless_jobs_do_not_hold_back_healthy_ones() {
    let mut replay = Replay::new();
    let mut efforts = Vec::new();
    for _ in 0..4 {
        let before = replay.harness.fleet.effort();
        let chosen = replay.harness.fleet.counts().chosen;
        (0..30).for_each(|_| replay.tick(10, |_, _| false));
        let after = replay.harness.fleet.effort();
        let started = (replay.harness.fleet.counts().chosen - chosen) as f64;
        efforts.push((
            (after.workers_examined - before.workers_examined) as f64 / started,
            (after.steps_ranked - before.steps_ranked) as f64 / started,
        ));
    }
    assert_eq!((replay.failed("healthy"), replay.failed("filling")), (0, 0));
    let (completed, in_time) = replay.in_time();
    assert!(in_time * 10 >= 120 * 9, "{in_time} of {completed} completed in time");
    let (first, last) = (efforts[1], efforts[3]);
    assert!(last.0 <= first.0 * 1.5 && last.1 <= first.1 * 1.5, "the round grows: {efforts:?}");
    let open = replay.open.keys().filter(|id| id.starts_with("hopeless")).count();
    assert!(open <= 100, "{open} hopeless jobs open, those of more than a second");
    let mut runs: HashMap<String, u32> = HashMap::new();
    for order in &replay.harness.orders {
        if matches!(order.kind, OrderKind::Start { .. }) {
            *runs.entry(fleet_support::name(&order.task)).or_default() += 1;
        }
    }
    let most = runs.values().max().copied().unwrap_or_default();
    assert!(most <= MAX_ATTEMPTS, "{most} starts of a task");
}
