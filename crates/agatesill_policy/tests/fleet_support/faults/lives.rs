//! Simulated workers: lives of machines that crash, return, shrink and are cut off.

use std::collections::HashMap;

use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{EndCause, EndRow, Order, OrderKind, OrderOutcome, RunRow, Step};
use agatesill_policy::fleet::{TaskKey, WorkerEntry};

use super::{MS, S};

/// Longest time that a lease of [`super::planner::LEASE_US`] lasts on a slow clock.
const SLOW_CLOCK_PERCENT: u64 = 102;

/// Time from the stop of a run until its end.
const STOP_DURATION_US: u64 = 400 * MS;

/// Time from the start of a long-running task until it is ready.
const WARM_UP_US: u64 = 1_000 * MS;

/// Time from the start of a crashing task until its worker crashes.
const CRASH_DELAY_US: u64 = 10 * MS;

/// A run that is present at its worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Key of the task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Step of the task.
    pub step: Step,
    /// When the run ends; [`NEVER_US`] if it is not known.
    pub ends_us: u64,
    /// How the run ends as a member of a gang.
    pub gang_cause: Option<EndCause>,
    /// When the run began.
    pub began_us: u64,
    is_stopped: bool,
}

/// End of a run that does not end by itself.
pub const NEVER_US: u64 = u64::MAX / 2;

/// One incarnation of a worker.
#[derive(Debug)]
pub struct Life {
    /// Entry as the worker would write it now.
    pub entry: WorkerEntry,
    /// Runs that are present.
    pub runs: Vec<Run>,
    /// Ends that are not acknowledged.
    pub ended: Vec<EndRow>,
    /// End of the lease of all runs.
    pub lease_until_us: u64,
    /// Highest epoch that the worker has seen.
    pub epoch: u64,
    /// Until when no call reaches the worker.
    pub cut_until_us: u64,
    /// Whether the cut refuses connections instead of dropping packets.
    pub is_cut_refusing: bool,
    /// When the worker crashes.
    pub crashes_us: u64,
    number: u64,
    barred: HashMap<TaskKey, u32>,
}

impl Life {
    /// Creates a worker without runs.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            runs: Vec::new(),
            ended: Vec::new(),
            lease_until_us: 0,
            epoch: 0,
            cut_until_us: 0,
            is_cut_refusing: false,
            crashes_us: u64::MAX,
            number: 0,
            barred: HashMap::new(),
        }
    }

    /// Resources that runs occupy.
    pub fn used(&self) -> Resources {
        let allocations = self.runs.iter().map(|run| run.step.allocation());
        allocations.fold(Resources::default(), |used, allocation| used.plus(&allocation))
    }

    /// CPU that runs occupy or use.
    pub fn cpu_milli(&self) -> u64 {
        self.runs.iter().map(|run| run.step.need.cpu_milli).sum()
    }

    /// Whether the worker has free capacity for an allocation.
    pub fn has_capacity_for(&self, allocation: &Resources) -> bool {
        self.entry.capacity.holds(&self.used().plus(allocation))
    }

    /// Extends the lease of all runs.
    pub fn extend_lease(&mut self, until_us: u64, now_us: u64) {
        let lease_us = until_us.saturating_sub(now_us) * SLOW_CLOCK_PERCENT / 100;
        self.lease_until_us = self.lease_until_us.max(now_us + lease_us);
    }

    /// Carries out an order. `crashes` is whether the task crashes its worker.
    pub fn execute(
        &mut self,
        order: &Order,
        step: &Step,
        crashes: bool,
        now_us: u64,
    ) -> OrderOutcome {
        match &order.kind {
            OrderKind::Start { .. } => self.start(order, step, crashes, now_us),
            OrderKind::Stop => {
                let barred = self.barred.entry(order.task.clone()).or_default();
                *barred = order.run.max(*barred);
                let run = self.runs.iter_mut().find(|r| r.task == order.task && r.run == order.run);
                if let Some(run) = run.filter(|run| !run.is_stopped) {
                    run.is_stopped = true;
                    run.ends_us = now_us + STOP_DURATION_US;
                }
                OrderOutcome::Done
            }
            OrderKind::Pace { .. } => OrderOutcome::Done,
        }
    }

    fn start(&mut self, order: &Order, step: &Step, crashes: bool, now_us: u64) -> OrderOutcome {
        if self.runs.iter().any(|run| run.task == order.task && run.run == order.run) {
            return OrderOutcome::Done;
        }
        if self.barred.get(&order.task).is_some_and(|barred| *barred >= order.run) {
            return OrderOutcome::Old;
        }
        if self.lease_until_us <= now_us {
            return OrderOutcome::Late;
        }
        if !self.has_capacity_for(&step.allocation()) {
            return OrderOutcome::NoRoom;
        }
        let has_no_end = step.is_lasting || step.is_gang;
        let ends_us = if has_no_end { NEVER_US } else { now_us + run_us(step, &order.task) };
        self.runs.push(Run {
            task: order.task.clone(),
            run: order.run,
            step: step.clone(),
            ends_us,
            gang_cause: None,
            began_us: now_us,
            is_stopped: false,
        });
        if crashes {
            self.crashes_us = self.crashes_us.min(now_us + CRASH_DELAY_US);
        }
        OrderOutcome::Done
    }

    /// Ends the runs that are due or whose lease has lapsed. Returns the new ends.
    pub fn end_due_runs(&mut self, now_us: u64) -> Vec<EndRow> {
        let has_lapsed = self.lease_until_us <= now_us;
        let (ended, runs): (Vec<Run>, Vec<Run>) =
            self.runs.drain(..).partition(|run| run.ends_us <= now_us || has_lapsed);
        self.runs = runs;
        let mut rows = Vec::new();
        for run in ended {
            self.number += 1;
            let barred = self.barred.entry(run.task.clone()).or_default();
            *barred = run.run.max(*barred);
            let cause = match (run.ends_us <= now_us, run.is_stopped) {
                (false, _) => EndCause::Lapsed,
                (true, true) => EndCause::Stopped,
                (true, false) => run.gang_cause.unwrap_or(EndCause::Done),
            };
            let saved = String::new();
            rows.push(EndRow { number: self.number, task: run.task, run: run.run, cause, saved });
        }
        self.ended.extend(rows.iter().cloned());
        rows
    }

    /// Rows of the present runs.
    pub fn rows(&self, now_us: u64) -> Vec<RunRow> {
        self.runs.iter().map(|run| row(run, now_us)).collect()
    }
}

/// Run time of a task.
pub fn run_us(step: &Step, task: &TaskKey) -> u64 {
    let spread = u64::from(task.index) * 37 % 60;
    step.estimate_ms * (70 + spread) / 100 * MS
}

fn row(run: &Run, now_us: u64) -> RunRow {
    let ran_us = now_us - run.began_us;
    let whole_us = if run.step.is_lasting { WARM_UP_US } else { run.ends_us - run.began_us };
    let most = if run.step.is_lasting { 100 } else { 99 };
    let percent = (ran_us * 100 / whole_us.max(1)).clamp(1, most);
    let figure = if run.step.is_lasting { 30 } else { run.step.need.cpu_milli };
    RunRow {
        task: run.task.clone(),
        run: run.run,
        saved: String::new(),
        percent: percent as u32,
        figure,
    }
}

/// A place for lives of a worker.
#[derive(Debug)]
pub struct Machine {
    /// The current life; `None` while the machine is down.
    pub life: Option<Life>,
    /// When the next life starts.
    pub starts_us: u64,
    /// Address of the next life.
    pub address: String,
    /// Rack.
    pub rack: String,
    /// Capacity when it has not shrunk.
    pub whole: Resources,
    /// When a shrunk capacity is whole again; 0 if it has not shrunk.
    pub grows_us: u64,
    /// When the life writes its entry next.
    pub heartbeat_us: u64,
}

/// Interval between writes of an entry.
pub const HEARTBEAT_US: u64 = 1_500 * MS;

/// Time after the last write until an entry is removed.
pub const ENTRY_LIFETIME_US: u64 = 4_500 * MS;

/// Time from a crash until the next life starts.
pub const RESTART_US: u64 = 3 * S;
