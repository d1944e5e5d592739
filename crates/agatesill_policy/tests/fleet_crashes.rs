//! Workers that crash under their tasks: a task that causes it is given up, all others are not.

mod fleet_support;

use std::collections::{BTreeMap, BTreeSet};

use agatesill_policy::fleet::{
    EndCause, JobPhase, JobSpec, Order, OrderKind, OrderOutcome, WorkerEntry, WorkerIndex,
};
use fleet_support::{MS, Rig, entry, job, name, step};

const TICK_MS: u64 = 50;

/// Time until a crashed worker is back under another identity.
const RESTART_MS: u64 = 2_500;

/// Starts that a task may have in all: three that crash their workers and two more.
const MOST_STARTS: usize = 5;

/// A fleet on which chosen tasks crash each worker that starts them.
struct Crashing {
    rig: Rig,
    /// Tasks that crash their worker.
    harmful: BTreeSet<String>,
    /// Whether a worker crashes before it answers the start.
    loses_answers: bool,
    /// When each run ends, by task and run.
    ends_us: BTreeMap<(String, u32), u64>,
    work_ms: u64,
    /// Crashed workers, with the time of their return.
    down: Vec<(WorkerIndex, u64)>,
    lives: u32,
    starts: Vec<String>,
    jobs: Vec<JobSpec>,
}

impl Crashing {
    fn new(workers: usize) -> Self {
        let entries = (0..workers).map(|at| seat(at, 1)).collect();
        Self {
            rig: Rig::new(entries),
            harmful: BTreeSet::new(),
            loses_answers: false,
            ends_us: BTreeMap::new(),
            work_ms: 1_000,
            down: Vec::new(),
            lives: 1,
            starts: Vec::new(),
            jobs: Vec::new(),
        }
    }

    fn accept(&mut self, spec: JobSpec) {
        self.rig.fleet.accept(spec.clone(), self.rig.now_us);
        self.jobs.push(spec);
    }

    fn starts_of(&self, task: &str) -> usize {
        self.starts.iter().filter(|started| *started == task).count()
    }

    fn pass_ms(&mut self, ms: u64) {
        (0..ms / TICK_MS).for_each(|_| self.tick());
    }

    fn tick(&mut self) {
        self.rig.pass_ms(TICK_MS);
        self.restart_workers();
        self.end_runs();
        self.poll();
        for order in self.rig.plan() {
            self.carry_out(&order);
        }
    }

    fn carry_out(&mut self, order: &Order) {
        let now_us = self.rig.now_us;
        if !self.rig.far.contains_key(&order.worker) {
            self.rig.fleet.order_answered(order, OrderOutcome::Unanswered, now_us);
            return;
        }
        let task = name(&order.task);
        let crashes = matches!(order.kind, OrderKind::Start { .. }) && self.harmful.contains(&task);
        if matches!(order.kind, OrderKind::Start { .. }) {
            self.starts.push(task.clone());
            self.ends_us.insert((task, order.run), now_us + self.work_ms * MS);
        }
        if crashes && self.loses_answers {
            self.rig.fleet.order_answered(order, OrderOutcome::Unanswered, now_us);
        } else {
            self.rig.obey(order);
        }
        if crashes {
            self.crash(order.worker);
        }
    }

    fn crash(&mut self, worker: WorkerIndex) {
        self.rig.far.remove(&worker);
        self.down.push((worker, self.rig.now_us + RESTART_MS * MS));
    }

    /// Crashes every third worker that is up, beginning with the given one.
    fn crash_a_third(&mut self, first: usize) {
        let up: Vec<WorkerIndex> = self.rig.far.keys().copied().collect();
        up.into_iter().skip(first).step_by(3).for_each(|worker| self.crash(worker));
    }

    fn restart_workers(&mut self) {
        let now_us = self.rig.now_us;
        let (back, down) = self.down.drain(..).partition(|(_, at_us)| *at_us <= now_us);
        self.down = down;
        let back: Vec<(WorkerIndex, u64)> = back;
        for (worker, _) in back {
            self.lives += 1;
            let before = self.rig.fleet.worker(worker).entry.clone();
            let id = format!("{}-{}", before.rack, self.lives);
            self.rig.list(WorkerEntry { id, ..before });
        }
    }

    fn end_runs(&mut self) {
        let now_us = self.rig.now_us;
        let over: Vec<(WorkerIndex, _, u32)> = self
            .rig
            .far
            .iter()
            .flat_map(|(worker, far)| far.running.values().map(|row| (*worker, row)))
            .filter(|(_, row)| {
                let ends_us = self.ends_us.get(&(name(&row.task), row.run));
                ends_us.is_some_and(|ends_us| *ends_us <= now_us)
                    && !row.task.job.starts_with("watch")
            })
            .map(|(worker, row)| (worker, row.task.clone(), row.run))
            .collect();
        for (worker, task, run) in over {
            self.rig.end(worker, &task, run, EndCause::Done);
        }
    }

    fn poll(&mut self) {
        for (worker, _) in self.down.clone() {
            self.rig.fleet.worker_silent(worker, self.rig.now_us);
        }
        let up: Vec<WorkerIndex> = self.rig.far.keys().copied().collect();
        // The call was sent before the answers to the orders since then.
        let sent_us = self.rig.now_us - 10 * MS;
        up.into_iter().for_each(|worker| self.rig.poll_sent(worker, sent_us));
        self.rig.fleet.expire_workers(self.rig.now_us);
    }

    /// Replaces the planner by one that knows the stored records alone.
    fn take_over(&mut self) {
        let entries: Vec<WorkerEntry> =
            self.rig.fleet.live_workers().map(|(_, worker)| worker.entry.clone()).collect();
        let up: BTreeMap<String, _> = std::mem::take(&mut self.rig.far)
            .into_iter()
            .map(|(worker, far)| (self.rig.fleet.worker(worker).entry.id.clone(), far))
            .collect();
        let down: Vec<(String, u64)> = self
            .down
            .iter()
            .map(|(worker, at_us)| (self.rig.fleet.worker(*worker).entry.id.clone(), *at_us))
            .collect();
        self.rig.fleet = self.rig.successor(&self.jobs, entries);
        let indexes: BTreeMap<String, WorkerIndex> = self
            .rig
            .fleet
            .live_workers()
            .map(|(index, worker)| (worker.entry.id.clone(), index))
            .collect();
        self.rig.far =
            up.into_iter().filter_map(|(id, far)| Some((*indexes.get(&id)?, far))).collect();
        self.down =
            down.into_iter().filter_map(|(id, at)| Some((*indexes.get(&id)?, at))).collect();
    }

    fn phase(&self, job: &str) -> Option<JobPhase> {
        self.rig.fleet.state_of(job).map(|(phase, _)| phase)
    }
}

fn seat(at: usize, life: u32) -> WorkerEntry {
    let rack = format!("seat{at}");
    let address = format!("10.0.1.{at}:80");
    WorkerEntry { address, ..entry(&format!("{rack}-{life}"), &rack) }
}

/// Guards against a task that takes one worker after the other with it for as long as the day lasts.
#[test]
fn a_task_that_crashes_every_worker_is_given_up() {
    let mut fleet = Crashing::new(8);
    fleet.harmful.insert("bad.0.0.0".to_owned());
    fleet.accept(job("bad", vec![step(3)]));
    fleet.pass_ms(60_000);
    assert_eq!(fleet.phase("bad"), Some(JobPhase::Failed));
    assert!(fleet.starts_of("bad.0.0.0") <= MOST_STARTS, "{}", fleet.starts_of("bad.0.0.0"));
}

/// Guards against a count of crashes that begins anew with each planner.
#[test]
fn crashes_under_a_task_are_remembered_by_successors() {
    let mut fleet = Crashing::new(8);
    fleet.harmful.insert("bad.0.0.0".to_owned());
    fleet.accept(job("bad", vec![step(1)]));
    for _ in 0..20 {
        fleet.pass_ms(3_000);
        fleet.take_over();
    }
    assert_eq!(fleet.phase("bad"), Some(JobPhase::Failed));
    assert!(fleet.starts_of("bad.0.0.0") <= MOST_STARTS, "{}", fleet.starts_of("bad.0.0.0"));
}

/// Guards against a start that counts only once it was answered: the worker crashes before it can.
#[test]
fn a_crash_before_the_start_is_answered_counts() {
    let mut fleet = Crashing::new(8);
    fleet.loses_answers = true;
    fleet.harmful.insert("bad.0.0.0".to_owned());
    fleet.accept(job("bad", vec![step(1)]));
    fleet.pass_ms(60_000);
    assert_eq!(fleet.phase("bad"), Some(JobPhase::Failed));
    assert!(fleet.starts_of("bad.0.0.0") <= MOST_STARTS, "{}", fleet.starts_of("bad.0.0.0"));
}
