//! Tasks that crash their workers are given up; other tasks that lose runs in those crashes are
//! not.

mod fleet_support;

use std::collections::{BTreeMap, BTreeSet};

use agatesill_policy::fleet::{
    EndCause, JobPhase, JobSpec, Order, OrderKind, OrderOutcome, Step, WorkerEntry, WorkerIndex,
};
use fleet_support::{Harness, MS, entry, job, name, step};

const TICK_MS: u64 = 50;

/// Time after which a crashed worker is listed again as a new incarnation.
const RESTART_MS: u64 = 2_500;

/// Maximum number of starts of a crashing task: three that crash their workers and two more.
const MAX_STARTS: usize = 5;

/// A simulated fleet in which the configured tasks crash each worker that starts them.
struct CrashFleet {
    harness: Harness,
    crashing_tasks: BTreeSet<String>,
    /// Whether workers crash before they answer the start.
    crashes_before_answer: bool,
    /// End time of each run, by task and run.
    end_times_us: BTreeMap<(String, u32), u64>,
    run_ms: u64,
    /// Crashed workers with their restart times.
    down: Vec<(WorkerIndex, u64)>,
    incarnations: u32,
    starts: Vec<String>,
    jobs: Vec<JobSpec>,
}

impl CrashFleet {
    fn new(workers: usize) -> Self {
        let entries = (0..workers).map(|at| worker_entry(at, 1)).collect();
        Self {
            harness: Harness::new(entries),
            crashing_tasks: BTreeSet::new(),
            crashes_before_answer: false,
            end_times_us: BTreeMap::new(),
            run_ms: 1_000,
            down: Vec::new(),
            incarnations: 1,
            starts: Vec::new(),
            jobs: Vec::new(),
        }
    }

    fn accept(&mut self, spec: JobSpec) {
        self.harness.fleet.accept(spec.clone(), self.harness.now_us);
        self.jobs.push(spec);
    }

    fn starts_of(&self, task: &str) -> usize {
        self.starts.iter().filter(|started| *started == task).count()
    }

    fn advance_ms(&mut self, ms: u64) {
        (0..ms / TICK_MS).for_each(|_| self.tick());
    }

    fn tick(&mut self) {
        self.harness.advance_ms(TICK_MS);
        self.restart_workers();
        self.end_runs();
        self.poll();
        for order in self.harness.plan() {
            self.carry_out(&order);
        }
    }

    fn carry_out(&mut self, order: &Order) {
        let now_us = self.harness.now_us;
        if !self.harness.workers.contains_key(&order.worker) {
            self.harness.fleet.order_answered(order, OrderOutcome::Unanswered, now_us);
            return;
        }
        let task = name(&order.task);
        let crashes =
            matches!(order.kind, OrderKind::Start { .. }) && self.crashing_tasks.contains(&task);
        if matches!(order.kind, OrderKind::Start { .. }) {
            self.starts.push(task.clone());
            self.end_times_us.insert((task, order.run), now_us + self.run_ms * MS);
        }
        if crashes && self.crashes_before_answer {
            self.harness.fleet.order_answered(order, OrderOutcome::Unanswered, now_us);
        } else {
            self.harness.execute(order);
        }
        if crashes {
            self.crash(order.worker);
        }
    }

    fn crash(&mut self, worker: WorkerIndex) {
        self.harness.workers.remove(&worker);
        self.down.push((worker, self.harness.now_us + RESTART_MS * MS));
    }

    /// Crashes every third worker that is up, starting at index `first`.
    fn crash_every_third(&mut self, first: usize) {
        let up: Vec<WorkerIndex> = self.harness.workers.keys().copied().collect();
        up.into_iter().skip(first).step_by(3).for_each(|worker| self.crash(worker));
    }

    fn restart_workers(&mut self) {
        let now_us = self.harness.now_us;
        let (restarting, down) =
            self.down.drain(..).partition(|(_, restart_us)| *restart_us <= now_us);
        self.down = down;
        let restarting: Vec<(WorkerIndex, u64)> = restarting;
        for (worker, _) in restarting {
            self.incarnations += 1;
            let before = self.harness.fleet.worker(worker).entry.clone();
            let id = format!("{}-{}", before.rack, self.incarnations);
            self.harness.list(WorkerEntry { id, ..before });
        }
    }

    fn end_runs(&mut self) {
        let now_us = self.harness.now_us;
        let ended_runs: Vec<(WorkerIndex, _, u32)> = self
            .harness
            .workers
            .iter()
            .flat_map(|(worker, fake_worker)| {
                fake_worker.running.values().map(|row| (*worker, row))
            })
            .filter(|(_, row)| {
                let end_us = self.end_times_us.get(&(name(&row.task), row.run));
                end_us.is_some_and(|end_us| *end_us <= now_us) && !row.task.job.starts_with("watch")
            })
            .map(|(worker, row)| (worker, row.task.clone(), row.run))
            .collect();
        for (worker, task, run) in ended_runs {
            self.harness.end(worker, &task, run, EndCause::Done);
        }
    }

    fn poll(&mut self) {
        for (worker, _) in self.down.clone() {
            self.harness.fleet.worker_silent(worker, self.harness.now_us);
        }
        let up: Vec<WorkerIndex> = self.harness.workers.keys().copied().collect();
        // The poll was sent before the orders of the last 10 ms were answered.
        let sent_us = self.harness.now_us - 10 * MS;
        up.into_iter().for_each(|worker| self.harness.poll_sent(worker, sent_us));
        self.harness.fleet.expire_workers(self.harness.now_us, self.harness.now_us);
    }

    /// Replaces the planner with one that knows only the stored records.
    fn take_over(&mut self) {
        let entries: Vec<WorkerEntry> =
            self.harness.fleet.live_workers().map(|(_, worker)| worker.entry.clone()).collect();
        let up: BTreeMap<String, _> = std::mem::take(&mut self.harness.workers)
            .into_iter()
            .map(|(worker, fake_worker)| {
                (self.harness.fleet.worker(worker).entry.id.clone(), fake_worker)
            })
            .collect();
        let down: Vec<(String, u64)> = self
            .down
            .iter()
            .map(|(worker, restart_us)| {
                (self.harness.fleet.worker(*worker).entry.id.clone(), *restart_us)
            })
            .collect();
        self.harness.fleet = self.harness.successor(&self.jobs, entries);
        let indexes: BTreeMap<String, WorkerIndex> = self
            .harness
            .fleet
            .live_workers()
            .map(|(index, worker)| (worker.entry.id.clone(), index))
            .collect();
        self.harness.workers = up
            .into_iter()
            .filter_map(|(id, fake_worker)| Some((*indexes.get(&id)?, fake_worker)))
            .collect();
        self.down =
            down.into_iter().filter_map(|(id, at)| Some((*indexes.get(&id)?, at))).collect();
    }

    fn phase(&self, job: &str) -> Option<JobPhase> {
        self.harness.fleet.state_of(job).map(|(phase, _)| phase)
    }
}

fn worker_entry(at: usize, incarnation: u32) -> WorkerEntry {
    let rack = format!("seat{at}");
    let address = format!("10.0.1.{at}:80");
    WorkerEntry { address, ..entry(&format!("{rack}-{incarnation}"), &rack) }
}

/// Guards against unlimited retries of a task that crashes one worker after another.
#[test]
fn task_that_crashes_every_worker_is_given_up() {
    let mut fleet = CrashFleet::new(8);
    fleet.crashing_tasks.insert("bad.0.0.0".to_owned());
    fleet.accept(job("bad", vec![step(3)]));
    fleet.advance_ms(60_000);
    assert_eq!(fleet.phase("bad"), Some(JobPhase::Failed));
    assert!(fleet.starts_of("bad.0.0.0") <= MAX_STARTS, "{}", fleet.starts_of("bad.0.0.0"));
}

/// Guards against crash counts that are reset when a successor takes over.
#[test]
fn crash_counts_survive_takeovers() {
    let mut fleet = CrashFleet::new(8);
    fleet.crashing_tasks.insert("bad.0.0.0".to_owned());
    fleet.accept(job("bad", vec![step(1)]));
    for _ in 0..20 {
        fleet.advance_ms(3_000);
        fleet.take_over();
    }
    assert_eq!(fleet.phase("bad"), Some(JobPhase::Failed));
    assert!(fleet.starts_of("bad.0.0.0") <= MAX_STARTS, "{}", fleet.starts_of("bad.0.0.0"));
}

/// Guards against ignoring crashes that happen before the worker answers the start.
#[test]
fn crash_before_the_start_is_answered_is_counted() {
    let mut fleet = CrashFleet::new(8);
    fleet.crashes_before_answer = true;
    fleet.crashing_tasks.insert("bad.0.0.0".to_owned());
    fleet.accept(job("bad", vec![step(1)]));
    fleet.advance_ms(60_000);
    assert_eq!(fleet.phase("bad"), Some(JobPhase::Failed));
    assert!(fleet.starts_of("bad.0.0.0") <= MAX_STARTS, "{}", fleet.starts_of("bad.0.0.0"));
}

/// Guards against giving up tasks that lost runs in crashes caused by other tasks.
#[test]
fn other_tasks_of_crashed_workers_still_complete() {
    let mut fleet = CrashFleet::new(8);
    fleet.crashing_tasks.extend(["bad.0.0.0".to_owned(), "worse.0.0.2".to_owned()]);
    let lasting = Step { is_lasting: true, ..step(24) };
    fleet.accept(job("watch", vec![lasting]));
    fleet.advance_ms(3_000);
    for at in 0..40 {
        match at {
            4 => fleet.accept(job("bad", vec![step(3)])),
            9 => fleet.accept(job("worse", vec![step(3)])),
            _ => fleet.accept(job(&format!("good{at}"), vec![step(6)])),
        }
        fleet.advance_ms(400);
    }
    fleet.advance_ms(20_000);
    for at in (0..40).filter(|at| ![4, 9].contains(at)) {
        assert_eq!(fleet.phase(&format!("good{at}")), Some(JobPhase::Completed), "good{at}");
    }
    assert_eq!(fleet.phase("bad"), Some(JobPhase::Failed));
    assert_eq!(fleet.phase("worse"), Some(JobPhase::Failed));
    assert_eq!(fleet.phase("watch"), Some(JobPhase::Active));
    assert_eq!(fleet.harness.present("watch").len(), 24);
}

/// Guards against blaming tasks for crashes that hit a third of all workers at once, six times in a
/// row.
#[test]
fn crashes_of_many_workers_at_once_give_up_no_task() {
    for gap_ms in [600, 1_200, 2_400, 4_800] {
        let mut fleet = CrashFleet::new(24);
        fleet.accept(job("watch", vec![Step { is_lasting: true, ..step(72) }]));
        fleet.advance_ms(3_000);
        for wave in 0..6 {
            fleet.accept(job(&format!("good{wave}"), vec![step(60)]));
            fleet.advance_ms(gap_ms);
            fleet.crash_every_third(wave % 3);
        }
        fleet.advance_ms(40_000);
        for wave in 0..6 {
            let phase = fleet.phase(&format!("good{wave}"));
            assert_eq!(phase, Some(JobPhase::Completed), "good{wave}, every {gap_ms} ms");
        }
        assert_eq!(fleet.phase("watch"), Some(JobPhase::Active), "every {gap_ms} ms");
        assert_eq!(fleet.harness.present("watch").len(), 72, "every {gap_ms} ms");
    }
}

/// Guards against new starts on a worker that runs a repeat suspect.
#[test]
fn new_starts_avoid_workers_with_a_repeat_suspect() {
    let mut fleet = CrashFleet::new(4);
    fleet.crashing_tasks.insert("bad.0.0.0".to_owned());
    // The first crash has two suspects, so the second one does not give the task up but makes it a
    // repeat suspect. Later runs do not crash their worker.
    fleet.accept(job("bad", vec![step(2)]));
    while fleet.starts_of("bad.0.0.0") < 2 {
        fleet.advance_ms(TICK_MS);
    }
    fleet.crashing_tasks.clear();
    while fleet.starts_of("bad.0.0.0") < 3 {
        fleet.advance_ms(TICK_MS);
    }
    let (suspect, ..) = fleet.harness.present("bad").remove(0);
    fleet.accept(job("good", vec![step(12)]));
    fleet.advance_ms(500);
    let beside = fleet.harness.present("good").iter().filter(|(at, ..)| *at == suspect).count();
    assert_eq!(beside, 0);
    assert_eq!(fleet.harness.present("good").len(), 12);
    fleet.advance_ms(2_000);
    assert_eq!(fleet.phase("bad"), Some(JobPhase::Completed));
}

/// Guards against restarting the suspects of a crash on the worker of the task that caused it.
#[test]
fn suspects_of_one_crash_restart_on_different_workers() {
    let mut fleet = CrashFleet::new(8);
    fleet.crashing_tasks.insert("bad.0.0.0".to_owned());
    fleet.accept(job("bad", vec![step(3)]));
    fleet.advance_ms(TICK_MS);
    fleet.crashing_tasks.clear();
    fleet.advance_ms(RESTART_MS + 2 * TICK_MS);
    let workers: BTreeSet<WorkerIndex> =
        fleet.harness.present("bad").iter().map(|(worker, ..)| *worker).collect();
    assert_eq!(fleet.starts_of("bad.0.0.0"), 2);
    assert_eq!(workers.len(), 3);
}

/// Guards against crash counts that are lost if a takeover immediately follows a crash.
#[test]
fn crash_immediately_before_a_takeover_is_counted() {
    let mut fleet = CrashFleet::new(8);
    fleet.crashing_tasks.insert("bad.0.0.0".to_owned());
    fleet.accept(job("bad", vec![step(1)]));
    for _ in 0..60 {
        fleet.advance_ms(500);
        fleet.take_over();
        fleet.advance_ms(500);
    }
    assert_eq!(fleet.phase("bad"), Some(JobPhase::Failed));
    assert!(fleet.starts_of("bad.0.0.0") <= MAX_STARTS, "{}", fleet.starts_of("bad.0.0.0"));
}
