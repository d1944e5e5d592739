//! Random events against the ledger, with what must always hold asserted after each.
//!
//! Workers are cut off, lose answers, carry orders out late, come back as other lives; planners die
//! and take over from the stored records; jobs are cancelled and fail. `FLEET_SEEDS` sets how many
//! seeds are played, `FLEET_SEED` plays one.

#![allow(clippy::unwrap_used)] // A broken assumption of a test ends the test.

mod fleet_support;

use std::collections::{BTreeMap, BTreeSet};

use agatesill_policy::fleet::{
    EndCause, EndRow, JobSpec, Order, OrderKind, OrderOutcome, Poll, RunRow, Step, TaskKey,
    WorkerEntry, WorkerIndex,
};
use fleet_support::{Harness, MS, entry, job, name, step};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Seeds of an ordinary run; thousands are played by hand.
const SEEDS: u64 = 300;

/// Events of one seed.
const EVENTS: usize = 250;

/// The lease that calls ask for, on a clock that is up to 2% slow.
const LEASE_US: u64 = 5_000 * MS * 102 / 100;

/// One incarnation of a worker as it really is.
struct Real {
    entry: WorkerEntry,
    runs: BTreeMap<(String, u32), RunRow>,
    ended: Vec<EndRow>,
    number: u64,
    barred: BTreeMap<String, u32>,
    lease_until_us: u64,
    epoch: u64,
    is_cut: bool,
}

struct World {
    rig: Harness,
    real: BTreeMap<String, Real>,
    jobs: Vec<JobSpec>,
    cancelled: BTreeSet<String>,
    done: BTreeSet<String>,
    /// The naive twin: tasks with an end `done` at any worker, whatever the ledger made of it.
    finished: BTreeSet<String>,
    late: Vec<(String, Order, u64)>,
    epoch: u64,
    lives: u32,
    random: Pcg64Mcg,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rig: Harness::new(Vec::new()),
            real: BTreeMap::new(),
            jobs: Vec::new(),
            cancelled: BTreeSet::new(),
            done: BTreeSet::new(),
            finished: BTreeSet::new(),
            late: Vec::new(),
            epoch: 1,
            lives: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for place in 0..4 {
            world.born(place);
        }
        world
    }

    /// A new incarnation at one of four addresses; whatever lived there is over.
    fn born(&mut self, place: u32) {
        let address = format!("10.0.0.{place}:80");
        self.real.retain(|_, real| real.entry.address != address);
        self.lives += 1;
        let id = format!("incarnation{}", self.lives);
        let mut entry = entry(&id, if place % 2 == 0 { "r1-1" } else { "r1-2" });
        entry.address = address;
        let real = Real {
            entry: entry.clone(),
            runs: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            barred: BTreeMap::new(),
            lease_until_us: 0,
            epoch: 0,
            is_cut: false,
        };
        self.real.insert(id, real);
        self.rig.list(entry);
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..12 => self.submit(),
            12..15 => self.cancel(),
            15..18 => self.cut(),
            18..26 => self.mend(),
            26..28 => {
                let place = self.random.random_range(0..4);
                self.born(place);
            }
            28..30 => self.take_over(),
            30..55 => self.end_one(),
            55..60 => self.carry_out_late(),
            _ => {
                let ms = self.random.random_range(20..700);
                self.rig.advance_ms(ms);
            }
        }
        self.note_finished();
        self.lapse();
        self.give_up_waiting();
        self.poll_all();
        self.rig.fleet.expire_workers(self.rig.now_us, self.rig.now_us);
        self.act();
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
        self.rig.fleet.accept(spec, self.rig.now_us);
    }

    fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.jobs.len());
        let id = self.jobs[index].id.clone();
        self.rig.fleet.cancel(&id, self.rig.now_us);
        self.cancelled.insert(id);
    }

    fn some_life(&mut self) -> Option<String> {
        let ids: Vec<String> = self.real.keys().cloned().collect();
        (!ids.is_empty()).then(|| ids[self.random.random_range(0..ids.len())].clone())
    }

    fn cut(&mut self) {
        if let Some(real) = self.some_life().and_then(|id| self.real.get_mut(&id)) {
            real.is_cut = true;
            self.rig.fleet.worker_unlisted(&real.entry.id);
        }
    }

    fn mend(&mut self) {
        if let Some(real) = self.some_life().and_then(|id| self.real.get_mut(&id)) {
            real.is_cut = false;
            let entry = real.entry.clone();
            self.rig.list(entry);
        }
    }

    /// The planner dies; another one reads the records and polls the workers it reaches.
    fn take_over(&mut self) {
        self.rig.commit();
        let entries: Vec<WorkerEntry> =
            self.real.values().filter(|real| !real.is_cut).map(|real| real.entry.clone()).collect();
        self.rig.fleet = self.rig.successor(&self.jobs, entries);
        for id in self.cancelled.clone() {
            self.rig.fleet.cancel(&id, self.rig.now_us);
        }
        self.epoch += 1;
    }

    fn end_one(&mut self) {
        let Some(id) = self.some_life() else { return };
        let fails = self.random.random_bool(0.1);
        let Some(row) = self.real[&id].runs.values().next().cloned() else { return };
        let cause = if fails { EndCause::Failed } else { EndCause::Done };
        if self.step_of(&row.task).is_gang {
            self.end_gang(&row, cause);
        } else if let Some(real) = self.real.get_mut(&id) {
            real.end(&row.task, row.run, cause);
        }
    }

    /// The members of a gang work only while all are there, and end together.
    fn end_gang(&mut self, first: &RunRow, cause: EndCause) {
        let is_member = |row: &&RunRow| {
            (&row.task.job, row.task.step, row.run) == (&first.task.job, first.task.step, first.run)
        };
        let present: usize =
            self.real.values().map(|real| real.runs.values().filter(is_member).count()).sum();
        if present < self.step_of(&first.task).count as usize {
            return;
        }
        for real in self.real.values_mut() {
            let members: Vec<RunRow> = real.runs.values().filter(is_member).cloned().collect();
            for row in members {
                let is_first = row.task == first.task;
                let own =
                    if cause == EndCause::Failed && !is_first { EndCause::Broken } else { cause };
                real.end(&row.task, row.run, own);
            }
        }
    }

    fn lapse(&mut self) {
        for real in self.real.values_mut() {
            if self.rig.now_us > real.lease_until_us {
                while let Some((key, row)) = real.runs.pop_first() {
                    real.end(&row.task, key.1, EndCause::Lapsed);
                }
            }
        }
    }

    /// Members of a gang that wait in vain for the others end after a while.
    fn give_up_waiting(&mut self) {
        if !self.random.random_bool(0.05) {
            return;
        }
        let mut present: BTreeMap<(String, u32, u32), u32> = BTreeMap::new();
        let group = |row: &RunRow| (row.task.job.clone(), row.task.step, row.run);
        for row in self.real.values().flat_map(|real| real.runs.values()) {
            *present.entry(group(row)).or_default() += 1;
        }
        let gangs: BTreeMap<String, u32> = self
            .jobs
            .iter()
            .filter(|spec| spec.steps[0].is_gang)
            .map(|spec| (spec.id.clone(), spec.steps[0].count))
            .collect();
        for real in self.real.values_mut() {
            let alone: Vec<RunRow> = real
                .runs
                .values()
                .filter(|row| row.task.step == 0)
                .filter(|row| {
                    gangs.get(&row.task.job).is_some_and(|count| present[&group(row)] < *count)
                })
                .cloned()
                .collect();
            alone.iter().for_each(|row| real.end(&row.task, row.run, EndCause::Alone));
        }
    }

    fn index_of(&self, id: &str) -> Option<WorkerIndex> {
        self.rig.fleet.live_workers().find(|(_, w)| w.entry.id == id).map(|(index, _)| index)
    }

    fn poll_all(&mut self) {
        for id in self.real.keys().cloned().collect::<Vec<_>>() {
            let Some(index) = self.index_of(&id) else { continue };
            let Some(real) = self.real.get_mut(&id) else { continue };
            let sent_us = self.rig.now_us;
            if real.is_cut {
                self.rig.fleet.worker_silent(index, sent_us);
                continue;
            }
            real.epoch = self.epoch;
            real.lease_until_us = real.lease_until_us.max(sent_us + LEASE_US);
            let acked = self.rig.fleet.acked_end(index);
            real.ended.retain(|end| end.number > acked);
            let poll = Poll {
                sent_us,
                lease_ms: 5_000,
                clock_ms: sent_us / MS,
                running: real.runs.values().cloned().collect(),
                ended: real.ended.clone(),
            };
            self.rig.advance_ms(1);
            self.rig.fleet.polled(index, &poll, self.rig.now_us);
        }
    }

    fn act(&mut self) {
        for order in self.rig.plan() {
            if matches!(order.kind, OrderKind::Start { .. }) {
                self.check_start(&order);
            }
            let id = self.rig.fleet.worker(order.worker).entry.id.clone();
            let now_us = self.rig.now_us;
            let Some(real) = self.real.get_mut(&id).filter(|real| !real.is_cut) else {
                self.rig.fleet.order_answered(&order, OrderOutcome::Unanswered, now_us);
                continue;
            };
            match self.random.random_range(0..20) {
                0 => {
                    self.late.push((id, order.clone(), self.epoch));
                    self.rig.fleet.order_answered(&order, OrderOutcome::Unanswered, now_us);
                }
                1 => {
                    real.obey(&order, now_us);
                    self.rig.fleet.lease_requested(order.worker, now_us);
                    self.rig.fleet.order_answered(&order, OrderOutcome::Unanswered, now_us);
                }
                _ => {
                    let outcome = real.obey(&order, now_us);
                    self.rig.fleet.lease_requested(order.worker, now_us);
                    self.rig.fleet.order_answered(&order, outcome, now_us);
                }
            }
        }
    }

    fn carry_out_late(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let (id, order, epoch) = self.late.remove(0);
        if let Some(real) = self.real.get_mut(&id) {
            // Its lease is the one asked for when it was sent; a later one holds if there is any.
            // A worker that a later planner has polled obeys no earlier one.
            if epoch >= real.epoch && real.lease_until_us > self.rig.now_us {
                real.obey(&order, 0);
            }
        }
    }

    fn note_finished(&mut self) {
        let ends = self.real.values().flat_map(|real| real.ended.iter());
        let done = ends.filter(|end| end.cause == EndCause::Done).map(|end| name(&end.task));
        self.finished.extend(done);
    }

    /// What the naive twin says of a start: its job is not cancelled, and every task of the steps
    /// that it waits for has finished somewhere.
    fn check_start(&self, order: &Order) {
        let id = &order.task.job;
        assert!(!self.cancelled.contains(id), "{id} starts after it was cancelled");
        for before in &self.step_of(&order.task).after {
            for index in 0..self.spec_of(id).steps[*before as usize].count {
                let task = format!("{id}.0.{before}.{index}");
                assert!(self.finished.contains(&task), "{} before {task}", name(&order.task));
            }
        }
    }

    fn check(&mut self) {
        let mut live: BTreeMap<String, u32> = BTreeMap::new();
        for real in self.real.values() {
            for row in real.runs.values() {
                *live.entry(name(&row.task)).or_default() += 1;
            }
            let used: u64 =
                real.runs.values().map(|row| self.step_of(&row.task).need.cpu_milli).sum();
            assert!(used <= 16_000, "a worker over its capacity: {used}");
        }
        for (task, count) in &live {
            assert_eq!(*count, 1, "two runs of {task} at once");
            assert!(!self.done.contains(task), "{task} runs again after it was done and recorded");
        }
        for spec in &self.jobs {
            let is_shown =
                self.rig.fleet.state_of(&spec.id).is_some_and(|(phase, _)| {
                    phase == agatesill_policy::fleet::JobPhase::Completed
                });
            if is_shown {
                let all_finished = all_tasks(spec).all(|task| self.finished.contains(&task));
                assert!(all_finished, "{} is shown as completed too early", spec.id);
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

impl Real {
    fn end(&mut self, task: &TaskKey, run: u32, cause: EndCause) {
        self.number += 1;
        self.runs.remove(&(name(task), run));
        let barred = self.barred.entry(name(task)).or_default();
        *barred = (*barred).max(run);
        let saved = String::new();
        self.ended.push(EndRow { number: self.number, task: task.clone(), run, cause, saved });
    }

    fn obey(&mut self, order: &Order, now_us: u64) -> OrderOutcome {
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

fn play(seed: u64) {
    let mut world = World::new(seed);
    for _ in 0..EVENTS {
        world.step();
    }
    // All trouble ends: every job reaches an end.
    for real in world.real.values_mut() {
        real.is_cut = false;
    }
    for entry in world.real.values().map(|real| real.entry.clone()).collect::<Vec<_>>() {
        world.rig.list(entry);
    }
    for _ in 0..800 {
        world.rig.advance_ms(100);
        world.end_one();
        world.end_one();
        world.note_finished();
        world.lapse();
        world.give_up_waiting();
        world.poll_all();
        world.rig.fleet.expire_workers(world.rig.now_us, world.rig.now_us);
        world.act();
        world.check();
    }
    for spec in &world.jobs {
        let state = world.rig.fleet.state_of(&spec.id);
        let is_over =
            state.is_some_and(|(phase, _)| phase != agatesill_policy::fleet::JobPhase::Active);
        assert!(is_over, "{} is left at {state:?}", spec.id);
    }
}

#[test]
fn what_must_always_hold_holds_under_random_events() {
    if let Some(seed) = std::env::var("FLEET_SEED").ok().and_then(|text| text.parse().ok()) {
        play(seed);
        return;
    }
    let seeds = std::env::var("FLEET_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        println!("seed {seed}");
        play(seed);
    }
}
