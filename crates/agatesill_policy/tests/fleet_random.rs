//! Random events against the ledger, with all invariants checked after each.
//!
//! Workers are partitioned, lose answers, carry out orders late and return as new incarnations.
//! Planners terminate, and successors take over from the stored records. Jobs are cancelled and
//! fail. `FLEET_SEEDS` sets the number of seeds, `FLEET_SEED` runs a single one.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

mod fleet_support;

use std::collections::{BTreeMap, BTreeSet};

use agatesill_policy::fleet::{
    EndCause, EndRow, JobSpec, Order, OrderKind, OrderOutcome, Poll, RunRow, Step, TaskKey,
    WorkerEntry, WorkerIndex,
};
use fleet_support::{Harness, MS, entry, job, name, step};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of seeds in a regular run; thousands are run manually.
const DEFAULT_SEEDS: u64 = 300;

/// Number of events per seed.
const EVENTS_PER_SEED: usize = 250;

/// Lease requested by calls, on a clock that is up to 2% slow.
const LEASE_US: u64 = 5_000 * MS * 102 / 100;

/// Actual state of one worker incarnation.
struct SimulatedWorker {
    entry: WorkerEntry,
    runs: BTreeMap<(String, u32), RunRow>,
    ended: Vec<EndRow>,
    number: u64,
    barred: BTreeMap<String, u32>,
    lease_until_us: u64,
    epoch: u64,
    is_partitioned: bool,
}

struct Simulation {
    harness: Harness,
    workers: BTreeMap<String, SimulatedWorker>,
    jobs: Vec<JobSpec>,
    cancelled: BTreeSet<String>,
    done: BTreeSet<String>,
    /// Reference model: tasks that any worker reported as done, regardless of the ledger.
    finished: BTreeSet<String>,
    late: Vec<(String, Order, u64)>,
    epoch: u64,
    incarnations: u32,
    random: Pcg64Mcg,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            harness: Harness::new(Vec::new()),
            workers: BTreeMap::new(),
            jobs: Vec::new(),
            cancelled: BTreeSet::new(),
            done: BTreeSet::new(),
            finished: BTreeSet::new(),
            late: Vec::new(),
            epoch: 1,
            incarnations: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for place in 0..4 {
            simulation.start_incarnation(place);
        }
        simulation
    }

    /// Starts a new incarnation at one of four addresses and terminates the previous one.
    fn start_incarnation(&mut self, place: u32) {
        let address = format!("10.0.0.{place}:80");
        self.workers.retain(|_, worker| worker.entry.address != address);
        self.incarnations += 1;
        let id = format!("incarnation{}", self.incarnations);
        let mut entry = entry(&id, if place % 2 == 0 { "r1-1" } else { "r1-2" });
        entry.address = address;
        let worker = SimulatedWorker {
            entry: entry.clone(),
            runs: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            barred: BTreeMap::new(),
            lease_until_us: 0,
            epoch: 0,
            is_partitioned: false,
        };
        self.workers.insert(id, worker);
        self.harness.list(entry);
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..12 => self.submit(),
            12..15 => self.cancel(),
            15..18 => self.partition(),
            18..26 => self.reconnect(),
            26..28 => {
                let place = self.random.random_range(0..4);
                self.start_incarnation(place);
            }
            28..30 => self.take_over(),
            30..55 => self.end_first_run(),
            55..60 => self.execute_late_order(),
            _ => {
                let ms = self.random.random_range(20..700);
                self.harness.advance_ms(ms);
            }
        }
        self.record_finished();
        self.expire_leases();
        self.end_incomplete_gangs();
        self.poll_all();
        self.harness.fleet.expire_workers(self.harness.now_us, self.harness.now_us);
        self.execute_orders();
        self.check();
    }

    fn submit(&mut self) {
        let mut steps = vec![step(self.random.random_range(1..5))];
        if self.random.random_bool(0.4) {
            steps.push(Step { after: vec![0], ..step(self.random.random_range(1..3)) });
        }
        if self.random.random_bool(0.3) {
            steps[0].need.cpu_milli = 6_000;
        }
        steps[0].is_gang = self.random.random_bool(0.2);
        steps[0].saves_progress = self.random.random_bool(0.5);
        let spec = job(&format!("job{}", self.jobs.len()), steps);
        self.jobs.push(spec.clone());
        self.harness.fleet.accept(spec, self.harness.now_us);
    }

    fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.jobs.len());
        let id = self.jobs[index].id.clone();
        self.harness.fleet.cancel(&id, self.harness.now_us);
        self.cancelled.insert(id);
    }

    fn random_worker(&mut self) -> Option<String> {
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        (!ids.is_empty()).then(|| ids[self.random.random_range(0..ids.len())].clone())
    }

    fn partition(&mut self) {
        if let Some(worker) = self.random_worker().and_then(|id| self.workers.get_mut(&id)) {
            worker.is_partitioned = true;
            self.harness.fleet.worker_unlisted(&worker.entry.id);
        }
    }

    fn reconnect(&mut self) {
        if let Some(worker) = self.random_worker().and_then(|id| self.workers.get_mut(&id)) {
            worker.is_partitioned = false;
            let entry = worker.entry.clone();
            self.harness.list(entry);
        }
    }

    /// Terminates the planner. A successor reads the records and polls the reachable workers.
    fn take_over(&mut self) {
        self.harness.commit();
        let entries: Vec<WorkerEntry> = self
            .workers
            .values()
            .filter(|worker| !worker.is_partitioned)
            .map(|worker| worker.entry.clone())
            .collect();
        self.harness.fleet = self.harness.successor(&self.jobs, entries);
        for id in self.cancelled.clone() {
            self.harness.fleet.cancel(&id, self.harness.now_us);
        }
        self.epoch += 1;
    }

    fn end_first_run(&mut self) {
        let Some(id) = self.random_worker() else { return };
        let fails = self.random.random_bool(0.1);
        let Some(row) = self.workers[&id].runs.values().next().cloned() else { return };
        let cause = if fails { EndCause::Failed } else { EndCause::Done };
        if self.step_of(&row.task).is_gang {
            self.end_gang(&row, cause);
        } else if let Some(worker) = self.workers.get_mut(&id) {
            worker.end(&row.task, row.run, cause);
        }
    }

    /// Ends the members of a gang together; they make progress only while all are present.
    fn end_gang(&mut self, first: &RunRow, cause: EndCause) {
        let is_member = |row: &&RunRow| {
            (&row.task.job, row.task.step, row.run) == (&first.task.job, first.task.step, first.run)
        };
        let present: usize = self
            .workers
            .values()
            .map(|worker| worker.runs.values().filter(is_member).count())
            .sum();
        if present < self.step_of(&first.task).count as usize {
            return;
        }
        for worker in self.workers.values_mut() {
            let members: Vec<RunRow> = worker.runs.values().filter(is_member).cloned().collect();
            for row in members {
                let is_first = row.task == first.task;
                let own_cause =
                    if cause == EndCause::Failed && !is_first { EndCause::Broken } else { cause };
                worker.end(&row.task, row.run, own_cause);
            }
        }
    }

    fn expire_leases(&mut self) {
        for worker in self.workers.values_mut() {
            if self.harness.now_us > worker.lease_until_us {
                while let Some((key, row)) = worker.runs.pop_first() {
                    worker.end(&row.task, key.1, EndCause::Lapsed);
                }
            }
        }
    }

    /// Ends the members of incomplete gangs, as after waiting too long for the others.
    fn end_incomplete_gangs(&mut self) {
        if !self.random.random_bool(0.05) {
            return;
        }
        let mut present: BTreeMap<(String, u32, u32), u32> = BTreeMap::new();
        let group = |row: &RunRow| (row.task.job.clone(), row.task.step, row.run);
        for row in self.workers.values().flat_map(|worker| worker.runs.values()) {
            *present.entry(group(row)).or_default() += 1;
        }
        let gangs: BTreeMap<String, u32> = self
            .jobs
            .iter()
            .filter(|spec| spec.steps[0].is_gang)
            .map(|spec| (spec.id.clone(), spec.steps[0].count))
            .collect();
        for worker in self.workers.values_mut() {
            let alone: Vec<RunRow> = worker
                .runs
                .values()
                .filter(|row| row.task.step == 0)
                .filter(|row| {
                    gangs.get(&row.task.job).is_some_and(|count| present[&group(row)] < *count)
                })
                .cloned()
                .collect();
            alone.iter().for_each(|row| worker.end(&row.task, row.run, EndCause::Alone));
        }
    }

    fn index_of(&self, id: &str) -> Option<WorkerIndex> {
        self.harness.fleet.live_workers().find(|(_, w)| w.entry.id == id).map(|(index, _)| index)
    }

    fn poll_all(&mut self) {
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            let Some(index) = self.index_of(&id) else { continue };
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            let sent_us = self.harness.now_us;
            if worker.is_partitioned {
                self.harness.fleet.worker_silent(index, sent_us);
                continue;
            }
            worker.epoch = self.epoch;
            worker.lease_until_us = worker.lease_until_us.max(sent_us + LEASE_US);
            let acked = self.harness.fleet.acked_end(index);
            worker.ended.retain(|end| end.number > acked);
            let poll = Poll {
                sent_us,
                lease_ms: 5_000,
                clock_ms: sent_us / MS,
                started_ms: 0,
                is_incomplete: false,
                running: worker.runs.values().cloned().collect(),
                ended: worker.ended.clone(),
            };
            self.harness.advance_ms(1);
            self.harness.fleet.polled(index, &poll, self.harness.now_us);
        }
    }

    fn execute_orders(&mut self) {
        for order in self.harness.plan() {
            if matches!(order.kind, OrderKind::Start { .. }) {
                self.check_start(&order);
            }
            let id = self.harness.fleet.worker(order.worker).entry.id.clone();
            let now_us = self.harness.now_us;
            let Some(worker) = self.workers.get_mut(&id).filter(|worker| !worker.is_partitioned)
            else {
                self.harness.fleet.order_answered(&order, OrderOutcome::Unanswered, now_us);
                continue;
            };
            match self.random.random_range(0..20) {
                0 => {
                    self.late.push((id, order.clone(), self.epoch));
                    self.harness.fleet.order_answered(&order, OrderOutcome::Unanswered, now_us);
                }
                1 => {
                    worker.execute(&order, now_us);
                    self.harness.fleet.lease_requested(order.worker, now_us);
                    self.harness.fleet.order_answered(&order, OrderOutcome::Unanswered, now_us);
                }
                _ => {
                    let outcome = worker.execute(&order, now_us);
                    self.harness.fleet.lease_requested(order.worker, now_us);
                    self.harness.fleet.order_answered(&order, outcome, now_us);
                }
            }
        }
    }

    fn execute_late_order(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let (id, order, epoch) = self.late.remove(0);
        if let Some(worker) = self.workers.get_mut(&id) {
            // The order is covered by the lease requested when it was sent, or by a later one. A
            // worker that was polled by a later planner ignores earlier ones.
            if epoch >= worker.epoch && worker.lease_until_us > self.harness.now_us {
                worker.execute(&order, 0);
            }
        }
    }

    fn record_finished(&mut self) {
        let ends = self.workers.values().flat_map(|worker| worker.ended.iter());
        let done = ends.filter(|end| end.cause == EndCause::Done).map(|end| name(&end.task));
        self.finished.extend(done);
    }

    /// Checks a start against the reference model: its job is not cancelled, and every task of the
    /// steps on which it depends has finished on some worker.
    fn check_start(&self, order: &Order) {
        let id = &order.task.job;
        assert!(!self.cancelled.contains(id), "{id} starts after it was cancelled");
        for before in &self.step_of(&order.task).after {
            for index in 0..self.spec_of(id).steps[*before as usize].count {
                let task = format!("{id}.0.{before}.{index}");
                assert!(
                    self.finished.contains(&task),
                    "{} starts before {task} has finished",
                    name(&order.task)
                );
            }
        }
    }

    fn check(&mut self) {
        let mut live: BTreeMap<String, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            for row in worker.runs.values() {
                *live.entry(name(&row.task)).or_default() += 1;
            }
            let used: u64 =
                worker.runs.values().map(|row| self.step_of(&row.task).need.cpu_milli).sum();
            assert!(used <= 16_000, "worker over its capacity: {used}");
        }
        for (task, count) in &live {
            assert_eq!(*count, 1, "two runs of {task} at once");
            assert!(!self.done.contains(task), "{task} runs again after it was done and recorded");
        }
        for spec in &self.jobs {
            let is_completed =
                self.harness.fleet.state_of(&spec.id).is_some_and(|(phase, _)| {
                    phase == agatesill_policy::fleet::JobPhase::Completed
                });
            if is_completed {
                let all_finished = all_tasks(spec).all(|task| self.finished.contains(&task));
                assert!(all_finished, "{} is reported as completed too early", spec.id);
                self.done.extend(all_tasks(spec));
            }
        }
    }

    fn step_of(&self, task: &TaskKey) -> &Step {
        &self.spec_of(&task.job).steps[task.step as usize]
    }

    fn spec_of(&self, id: &str) -> &JobSpec {
        self.jobs.iter().find(|spec| spec.id == id).unwrap()
    }
}

fn all_tasks(spec: &JobSpec) -> impl Iterator<Item = String> + '_ {
    spec.steps.iter().enumerate().flat_map(move |(step, s)| {
        (0..s.count).map(move |index| format!("{}.0.{step}.{index}", spec.id))
    })
}

impl SimulatedWorker {
    fn end(&mut self, task: &TaskKey, run: u32, cause: EndCause) {
        self.number += 1;
        self.runs.remove(&(name(task), run));
        let barred = self.barred.entry(name(task)).or_default();
        *barred = (*barred).max(run);
        let saved = String::new();
        self.ended.push(EndRow { number: self.number, task: task.clone(), run, cause, saved });
    }

    fn execute(&mut self, order: &Order, now_us: u64) -> OrderOutcome {
        let task = name(&order.task);
        let barred = self.barred.get(&task).copied().unwrap_or(0);
        match &order.kind {
            OrderKind::Start { saved, .. } => {
                if order.run <= barred {
                    return OrderOutcome::Old;
                }
                if now_us > 0 {
                    self.lease_until_us = self.lease_until_us.max(now_us + LEASE_US);
                }
                let row = RunRow {
                    task: order.task.clone(),
                    run: order.run,
                    saved: saved.clone(),
                    percent: 1,
                    figure: 0,
                };
                self.runs.entry((task, order.run)).or_insert(row);
            }
            OrderKind::Stop => {
                if self.runs.contains_key(&(task.clone(), order.run)) {
                    self.end(&order.task, order.run, EndCause::Stopped);
                }
                let barred = self.barred.entry(task).or_default();
                *barred = (*barred).max(order.run);
            }
            OrderKind::Pace { .. } => {}
        }
        OrderOutcome::Done
    }
}

fn run_seed(seed: u64) {
    let mut simulation = Simulation::new(seed);
    for _ in 0..EVENTS_PER_SEED {
        simulation.step();
    }
    // Without further faults, every job must end.
    for worker in simulation.workers.values_mut() {
        worker.is_partitioned = false;
    }
    for entry in simulation.workers.values().map(|worker| worker.entry.clone()).collect::<Vec<_>>()
    {
        simulation.harness.list(entry);
    }
    for _ in 0..800 {
        simulation.harness.advance_ms(100);
        simulation.end_first_run();
        simulation.end_first_run();
        simulation.record_finished();
        simulation.expire_leases();
        simulation.end_incomplete_gangs();
        simulation.poll_all();
        simulation
            .harness
            .fleet
            .expire_workers(simulation.harness.now_us, simulation.harness.now_us);
        simulation.execute_orders();
        simulation.check();
    }
    for spec in &simulation.jobs {
        let state = simulation.harness.fleet.state_of(&spec.id);
        let has_ended =
            state.is_some_and(|(phase, _)| phase != agatesill_policy::fleet::JobPhase::Active);
        assert!(has_ended, "{} has not ended: {state:?}", spec.id);
    }
}

#[test]
fn invariants_hold_under_random_events() {
    if let Some(seed) = std::env::var("FLEET_SEED").ok().and_then(|text| text.parse().ok()) {
        run_seed(seed);
        return;
    }
    let seeds = std::env::var("FLEET_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        println!("seed {seed}");
        run_seed(seed);
    }
}
