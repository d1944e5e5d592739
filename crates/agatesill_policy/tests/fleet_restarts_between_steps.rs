//! Restarts of planners and workers between each pair of steps in the life of a run.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

mod fleet_support;

use std::collections::BTreeMap;

use agatesill_policy::fleet::{
    EndCause, JobPhase, JobSpec, Order, OrderKind, OrderOutcome, Poll, WorkerEntry, WorkerIndex,
};
use fleet_support::{FakeWorker, Harness, MS, entry, job, step};

/// Rounds in which the job completes after a restart.
const ROUNDS: u64 = 250;

const ROUND_MS: u64 = 100;

/// Rounds for which a run is present before it ends.
const RUN_ROUNDS: u64 = 12;

/// Step in the life of the first run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    Choose,
    Record,
    Execute,
    Answer,
    List,
    End,
    ListEnd,
    RecordEnd,
    AcknowledgeEnd,
}

const MOMENTS: [Moment; 9] = [
    Moment::Choose,
    Moment::Record,
    Moment::Execute,
    Moment::Answer,
    Moment::List,
    Moment::End,
    Moment::ListEnd,
    Moment::RecordEnd,
    Moment::AcknowledgeEnd,
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Restart {
    Planner,
    WorkerWithItsId,
    WorkerWithNewId,
    PlannerAndWorkerWithItsId,
    PlannerAndWorkerWithNewId,
}

const RESTARTS: [Restart; 5] = [
    Restart::Planner,
    Restart::WorkerWithItsId,
    Restart::WorkerWithNewId,
    Restart::PlannerAndWorkerWithItsId,
    Restart::PlannerAndWorkerWithNewId,
];

/// The process that is alive at one address.
struct Process {
    entry: WorkerEntry,
    state: FakeWorker,
    epoch: u64,
    present_rounds: u64,
    barred_run: u32,
}

struct World {
    harness: Harness,
    spec: JobSpec,
    processes: BTreeMap<String, Process>,
    epoch: u64,
    is_done_noted: bool,
    case: String,
}

impl World {
    fn new(case: String) -> Self {
        let harness = Harness::new(Vec::new());
        let spec = job("j", vec![step(1)]);
        let mut world = Self {
            harness,
            spec,
            processes: BTreeMap::new(),
            epoch: 1,
            is_done_noted: false,
            case,
        };
        world.start_process(&WorkerEntry { started_ms: 1, ..entry("w1", "r1-1") });
        world.start_process(&WorkerEntry { started_ms: 1, ..entry("w22", "r1-1") });
        world.list_all();
        world.poll_all();
        world
    }

    fn start_process(&mut self, entry: &WorkerEntry) {
        let process = Process {
            entry: entry.clone(),
            state: FakeWorker::default(),
            epoch: 0,
            present_rounds: 0,
            barred_run: 0,
        };
        self.processes.insert(entry.address.clone(), process);
    }

    fn list_all(&mut self) {
        let entries: Vec<WorkerEntry> =
            self.processes.values().map(|process| process.entry.clone()).collect();
        for entry in entries {
            self.harness.fleet.worker_listed(entry, self.harness.now_us);
        }
    }

    fn poll_all(&mut self) {
        let known: Vec<(WorkerIndex, WorkerEntry)> = self
            .harness
            .fleet
            .live_workers()
            .map(|(index, worker)| (index, worker.entry.clone()))
            .collect();
        for (index, entry) in known {
            self.poll(index, &entry);
        }
    }

    fn poll(&mut self, index: WorkerIndex, entry: &WorkerEntry) {
        let sent_us = self.harness.now_us;
        self.harness.advance_ms(1);
        let Some(process) = self.processes.get_mut(&entry.address) else { return };
        if process.entry.id != entry.id {
            let why = "another incarnation answers";
            return self.harness.fleet.worker_superseded(
                index,
                why,
                self.harness.now_us,
                self.harness.now_us,
            );
        }
        process.epoch = process.epoch.max(self.epoch);
        // Only the incarnation that has been polled before is told which ends were noted.
        if self.harness.fleet.worker(index).started_ms == process.entry.started_ms {
            let acked = self.harness.fleet.acked_end(index);
            let noted = process.state.ended.iter().filter(|end| end.number <= acked);
            self.is_done_noted |= noted.filter(|end| end.cause == EndCause::Done).count() > 0;
            process.state.ended.retain(|end| end.number > acked);
        }
        let poll = Poll {
            sent_us,
            lease_ms: 5_000,
            clock_ms: self.harness.now_us / MS,
            started_ms: process.entry.started_ms,
            is_incomplete: false,
            running: process.state.running.values().cloned().collect(),
            ended: process.state.ended.clone(),
        };
        self.harness.fleet.polled(index, &poll, self.harness.now_us);
    }

    /// Executes an order that was sent under `epoch` to the incarnation with this entry.
    fn execute(&mut self, order: &Order, entry: &WorkerEntry, epoch: u64) -> OrderOutcome {
        let Some(process) = self.processes.get_mut(&entry.address) else {
            return OrderOutcome::Undelivered;
        };
        let is_intended =
            process.entry.id == entry.id && process.entry.started_ms == entry.started_ms;
        if !is_intended {
            return OrderOutcome::OtherIncarnation;
        }
        if epoch < process.epoch {
            return OrderOutcome::Fenced;
        }
        process.epoch = epoch;
        let key = (fleet_support::name(&order.task), order.run);
        match &order.kind {
            OrderKind::Start { .. } if process.state.running.contains_key(&key) => {}
            OrderKind::Start { .. } if order.run <= process.barred_run => return OrderOutcome::Old,
            OrderKind::Start { .. } => {
                assert!(!self.is_done_noted, "{}: a start after a noted end", self.case);
                process.present_rounds = 0;
                let row = agatesill_policy::fleet::RunRow {
                    task: order.task.clone(),
                    run: order.run,
                    saved: String::new(),
                    percent: 1,
                    figure: 0,
                };
                process.state.running.insert(key, row);
                let present: usize =
                    self.processes.values().map(|process| process.state.running.len()).sum();
                assert!(present <= 1, "{}: {present} runs at once", self.case);
            }
            OrderKind::Stop => {
                process.barred_run = process.barred_run.max(order.run);
                if process.state.running.contains_key(&key) {
                    process.end(EndCause::Stopped);
                }
            }
            OrderKind::Pace { .. } => {}
        }
        OrderOutcome::Done
    }

    fn target(&self, order: &Order) -> WorkerEntry {
        let worker = self.harness.fleet.worker(order.worker);
        WorkerEntry { started_ms: worker.started_ms, ..worker.entry.clone() }
    }

    fn run_orders(&mut self) {
        for order in self.harness.plan() {
            let target = self.target(&order);
            let outcome = self.execute(&order, &target, self.epoch);
            self.harness.fleet.order_answered(&order, outcome, self.harness.now_us);
        }
    }

    fn end_runs(&mut self) {
        for process in self.processes.values_mut().filter(|p| !p.state.running.is_empty()) {
            process.present_rounds += 1;
            if process.present_rounds >= RUN_ROUNDS {
                process.end(EndCause::Done);
            }
        }
    }

    fn restart_worker(&mut self, address: &str, keeps_id: bool) {
        let mut entry = self.processes[address].entry.clone();
        entry.started_ms += 1_000;
        if !keeps_id {
            entry.id += "-next";
        }
        self.start_process(&entry);
    }

    fn restart_planner(&mut self) {
        let entries: Vec<WorkerEntry> =
            self.processes.values().map(|process| process.entry.clone()).collect();
        self.epoch += 1;
        self.harness.fleet = self.harness.successor(std::slice::from_ref(&self.spec), entries);
    }

    /// Brings the first run to a moment. Returns the start if it has been recorded but not carried
    /// out.
    fn advance_to(&mut self, last: Moment) -> Option<(Order, WorkerEntry)> {
        let mut start = None;
        let mut has_executed = false;
        for moment in MOMENTS {
            match moment {
                Moment::Choose => {
                    self.harness.fleet.accept(self.spec.clone(), self.harness.now_us);
                    self.harness.fleet.plan(self.harness.now_us, self.harness.now_us / MS);
                }
                Moment::Record => {
                    self.harness.commit();
                    let order = self.harness.fleet.take_orders().remove(0);
                    let target = self.target(&order);
                    start = Some((order, target));
                }
                Moment::Execute => {
                    let (order, target) = start.clone().unwrap();
                    assert_eq!(self.execute(&order, &target, self.epoch), OrderOutcome::Done);
                    has_executed = true;
                }
                Moment::Answer => {
                    let (order, _) = start.as_ref().unwrap();
                    let now_us = self.harness.now_us;
                    self.harness.fleet.order_answered(order, OrderOutcome::Done, now_us);
                    self.harness.advance_ms(1);
                }
                Moment::End => {
                    let running = self.processes.values_mut();
                    running
                        .filter(|process| !process.state.running.is_empty())
                        .for_each(|process| process.end(EndCause::Done));
                }
                Moment::RecordEnd => self.harness.commit(),
                Moment::List | Moment::ListEnd | Moment::AcknowledgeEnd => self.poll_all(),
            }
            if moment == last {
                break;
            }
        }
        start.filter(|_| !has_executed)
    }

    fn run_to_completion(&mut self, mut late: Option<(Order, WorkerEntry)>) {
        for round in 0..ROUNDS {
            self.harness.advance_ms(ROUND_MS);
            self.list_all();
            self.poll_all();
            self.harness.fleet.expire_workers(self.harness.now_us, self.harness.now_us);
            if let Some((order, target)) = late.take_if(|_| round == 8) {
                self.execute(&order, &target, 1);
            }
            self.run_orders();
            self.end_runs();
        }
        let phase = self.harness.fleet.state_of("j").map(|(phase, _)| phase);
        assert_eq!(phase, Some(JobPhase::Completed), "{}", self.case);
    }
}

impl Process {
    fn end(&mut self, cause: EndCause) {
        let (_, row) = self.state.running.pop_first().unwrap();
        self.state.number += 1;
        self.barred_run = self.barred_run.max(row.run);
        self.state.ended.push(agatesill_policy::fleet::EndRow {
            number: self.state.number,
            task: row.task,
            run: row.run,
            cause,
            saved: String::new(),
        });
    }
}

/// Guards against two runs at once, a start after a noted end and a task that never completes, whatever
/// restarts between two steps of its run. A start that is under way is carried out late if it can be.
#[test]
fn restart_between_any_two_steps_leaves_one_run() {
    for moment in MOMENTS {
        for restart in RESTARTS {
            let mut world = World::new(format!("{restart:?} after {moment:?}"));
            let used = world.harness.fleet.live_workers().next().unwrap().1.entry.address.clone();
            let start = world.advance_to(moment);
            let address = start.as_ref().map_or(used, |(_, target)| target.address.clone());
            let address = world
                .processes
                .iter()
                .find(|(_, process)| process.state.number > 0 || !process.state.running.is_empty())
                .map_or(address, |(address, _)| address.clone());
            match restart {
                Restart::Planner => {}
                Restart::WorkerWithItsId | Restart::PlannerAndWorkerWithItsId => {
                    world.restart_worker(&address, true);
                }
                Restart::WorkerWithNewId | Restart::PlannerAndWorkerWithNewId => {
                    world.restart_worker(&address, false);
                }
            }
            let is_planner_restarted =
                !matches!(restart, Restart::WorkerWithItsId | Restart::WorkerWithNewId);
            if is_planner_restarted {
                world.restart_planner();
            } else if let Some((order, target)) = start.clone() {
                // The planner sends the start over a connection that it verifies first.
                let outcome = world.execute(&order, &target, world.epoch);
                world.harness.fleet.order_answered(&order, outcome, world.harness.now_us);
            }
            world.run_to_completion(start.filter(|_| is_planner_restarted));
        }
    }
}
