//! A fleet under virtual time: a planner that takes turns, a store that answers late or not at all, workers
//! that run, end and leave, and a judge of lasting tasks that are missing although there is room for them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{
    EndCause, EndRow, Fleet, FleetBounds, JobSpec, JobWrite, Order, OrderKind, OrderOutcome, Poll,
    ProgressRecord, RunRow, Step, TaskKey, WorkerEntry, WorkerIndex,
};

use super::{MS, entry};

/// A second.
pub const S: u64 = 1_000 * MS;

/// Entries of a transaction.
const MOST_ENTRIES: usize = 31;

/// Transactions under way at once.
const MOST_COMMITS: usize = 4;

/// Time until a call to the store or a worker is answered.
const ROUND_TRIP_US: u64 = 5 * MS;

/// Time for which an idle poll waits.
const POLL_US: u64 = 500 * MS;

/// Time that a stop takes.
const STOP_US: u64 = 600 * MS;

/// Time from the start of a lasting task until it is at work.
const WARM_UP_US: u64 = 1_000 * MS;

/// Time without a run from which a lasting task counts as missing.
const MISSING_US: u64 = 6 * S;

/// Time for which there must be room for a missing task twice over.
const ROOM_US: u64 = 3 * S;

/// Time that must have been calm before.
const CALM_US: u64 = 4 * S;

#[derive(Clone, Debug)]
struct Run {
    task: TaskKey,
    run: u32,
    cpu: Resources,
    is_lasting: bool,
    began_us: u64,
    ends_us: u64,
    is_stopped: bool,
}

/// A worker's own side.
#[derive(Clone, Debug)]
pub struct Machine {
    entry: WorkerEntry,
    used: Resources,
    runs: Vec<Run>,
    ended: Vec<EndRow>,
    number: u64,
    polled_us: u64,
    exits_us: u64,
}

#[derive(Debug)]
enum Event {
    Arrives(Order),
    Answered(Order, OrderOutcome),
    Polled(WorkerIndex, Box<Poll>),
    Stored(Vec<JobWrite>),
    Failed(Vec<JobWrite>),
}

/// What the planner's turns cost and when the store is away.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Time of one turn of the planner.
    pub turn_ms: u64,
    /// Time until a transaction is answered.
    pub commit_ms: u64,
    /// When the store goes away, and when it is back.
    pub store_away_ms: (u64, u64),
    /// When the planner stops; a successor follows 300 ms after the store is back.
    pub planner_stops_ms: u64,
}

/// The whole scheduler and its surroundings.
pub struct World {
    /// The ledger.
    pub fleet: Fleet,
    /// Now.
    pub now_us: u64,
    /// Time from a step's turn to the start of each of its tasks, by the job's prefix.
    pub waits_ms: BTreeMap<String, Vec<u64>>,
    /// Lasting tasks that were missing although there was room.
    pub missing: Vec<String>,
    conditions: Conditions,
    machines: Vec<Machine>,
    index_of: HashMap<WorkerIndex, usize>,
    specs: HashMap<String, JobSpec>,
    handed_in_us: HashMap<String, u64>,
    records: HashMap<String, (ProgressRecord, u64)>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: HashMap<u64, Event>,
    sequence: u64,
    revision: u64,
    commits_under_way: usize,
    is_planning: bool,
    lasting: BTreeMap<(String, u32), Presence>,
}

#[derive(Clone, Debug, Default)]
struct Presence {
    cpu: Resources,
    gone_us: Option<u64>,
    room_us: Option<u64>,
    is_reported: bool,
}

fn bounds() -> FleetBounds {
    FleetBounds { lease_max_ms: 10_000, harm_ms: 5_000, drain_ms: 4_000 }
}

impl World {
    /// A fleet of `count` workers of 16 to 24 cores.
    pub fn new(count: usize, conditions: Conditions) -> Self {
        let mut world = Self {
            fleet: Fleet::new(bounds()),
            now_us: 10 * S,
            waits_ms: BTreeMap::new(),
            missing: Vec::new(),
            conditions,
            machines: Vec::new(),
            index_of: HashMap::new(),
            specs: HashMap::new(),
            handed_in_us: HashMap::new(),
            records: HashMap::new(),
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            sequence: 0,
            revision: 1,
            commits_under_way: 0,
            is_planning: true,
            lasting: BTreeMap::new(),
        };
        for at in 0..count {
            let mut worker = entry(&format!("w{at}"), &format!("r{}", at / 20));
            worker.address = format!("10.{}.{}.1:80", at / 250, at % 250);
            worker.capacity.cpu_milli = 16_000 + 1_600 * (at as u64 * 7 % 6);
            world.machines.push(Machine {
                entry: worker,
                used: Resources::default(),
                runs: Vec::new(),
                ended: Vec::new(),
                number: 0,
                polled_us: 0,
                exits_us: u64::MAX,
            });
        }
        world.list_all();
        world
    }

    fn list_all(&mut self) {
        self.index_of.clear();
        for at in 0..self.machines.len() {
            let entry = self.machines[at].entry.clone();
            let index = self.fleet.worker_listed(entry, self.now_us);
            self.index_of.insert(index, at);
            self.machines[at].polled_us = 0;
        }
    }

    /// Hands in a job.
    pub fn submit(&mut self, mut spec: JobSpec) {
        spec.accepted_at_ms = self.now_us / MS;
        for (index, step) in spec.steps.iter().enumerate().filter(|(_, step)| step.is_lasting) {
            let first: u32 = spec.steps[..index].iter().map(|step| step.count).sum();
            for task in first..first + step.count {
                let presence =
                    Presence { cpu: step.need, gone_us: Some(self.now_us), ..Presence::default() };
                self.lasting.insert((spec.id.clone(), task), presence);
            }
        }
        self.handed_in_us.insert(spec.id.clone(), self.now_us);
        self.specs.insert(spec.id.clone(), spec.clone());
        if self.is_planning {
            self.fleet.accept(spec, self.now_us);
        }
    }

    /// Lets some workers announce that they leave, and exit after `notice_us`.
    pub fn leave(&mut self, from: usize, count: usize, notice_us: u64) {
        for at in from..from + count {
            let machine = &mut self.machines[at];
            machine.entry.is_leaving = true;
            machine.entry.leaves_in_ms = notice_us / MS;
            machine.exits_us = self.now_us + notice_us;
            let entry = machine.entry.clone();
            if self.is_planning {
                self.fleet.worker_listed(entry, self.now_us);
            }
        }
    }

    /// Lets time pass until `until_us`, turn by turn.
    pub fn pass_until(&mut self, until_us: u64) {
        while self.now_us < until_us {
            self.now_us += self.conditions.turn_ms * MS;
            self.run_machines();
            self.take_events();
            self.change_planner();
            if self.is_planning {
                self.turn();
            }
            self.judge();
        }
    }

    fn is_store_away(&self) -> bool {
        let (from_ms, to_ms) = self.conditions.store_away_ms;
        self.now_us >= from_ms * MS && self.now_us < to_ms * MS
    }

    fn change_planner(&mut self) {
        let stops_us = self.conditions.planner_stops_ms * MS;
        let starts_us = stops_us.max(self.conditions.store_away_ms.1 * MS) + 300 * MS;
        if self.is_planning && (stops_us..starts_us).contains(&self.now_us) {
            self.is_planning = false;
            self.events.clear();
            self.payloads.clear();
            self.commits_under_way = 0;
        } else if !self.is_planning && self.now_us >= starts_us {
            self.succeed();
        }
    }

    /// A planner starts that knows what is stored.
    fn succeed(&mut self) {
        let mut fleet = Fleet::new(bounds());
        fleet.set_wall_clock(self.now_us, self.now_us / MS);
        let mut specs: Vec<&JobSpec> = self.specs.values().collect();
        specs.sort_by(|a, b| a.id.cmp(&b.id));
        for spec in specs {
            fleet.restore(spec.clone(), self.records.get(&spec.id).cloned(), self.now_us);
        }
        fleet.finish_restore(0, self.now_us);
        self.fleet = fleet;
        self.is_planning = true;
        self.list_all();
    }

    fn turn(&mut self) {
        self.fleet.expire_workers(self.now_us, self.now_us);
        self.poll_machines();
        self.fleet.plan(self.now_us, self.now_us / MS);
        while self.commits_under_way < MOST_COMMITS {
            let writes = self.fleet.take_writes(MOST_ENTRIES, self.now_us);
            if writes.is_empty() {
                break;
            }
            self.commits_under_way += 1;
            let is_away = self.is_store_away();
            let after_us = if is_away { 100 * MS } else { self.conditions.commit_ms * MS };
            self.schedule(
                after_us,
                if is_away { Event::Failed(writes) } else { Event::Stored(writes) },
            );
        }
        drop(self.fleet.take_acked());
        drop(self.fleet.take_terminated());
        for order in self.fleet.take_orders() {
            self.schedule(ROUND_TRIP_US / 2, Event::Arrives(order));
        }
        self.fleet.retire_ended();
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_us + after_us, self.sequence)));
        self.payloads.insert(self.sequence, event);
    }

    fn take_events(&mut self) {
        while let Some(Reverse((at_us, number))) = self.events.peek().copied() {
            if at_us > self.now_us {
                return;
            }
            self.events.pop();
            let Some(event) = self.payloads.remove(&number) else { continue };
            match event {
                Event::Arrives(order) => self.arrive(order, at_us),
                Event::Answered(order, outcome) => {
                    self.fleet.order_answered(&order, outcome, self.now_us);
                }
                Event::Polled(index, poll) => self.fleet.polled(index, &poll, self.now_us),
                Event::Stored(writes) => self.store(&writes),
                Event::Failed(writes) => {
                    self.commits_under_way -= 1;
                    writes.iter().for_each(|write| self.fleet.not_committed(write, self.now_us));
                }
            }
        }
    }

    fn store(&mut self, writes: &[JobWrite]) {
        self.commits_under_way -= 1;
        self.revision += 1;
        for write in writes {
            self.records.insert(write.job.clone(), (write.record.clone(), self.revision));
            self.fleet.committed(write, self.revision, self.now_us);
        }
    }

    fn arrive(&mut self, order: Order, at_us: u64) {
        let Some(at) = self.index_of.get(&order.worker).copied() else { return };
        let outcome = if self.machines[at].exits_us <= at_us {
            OrderOutcome::Unanswered
        } else {
            self.carry_out(at, &order, at_us)
        };
        self.schedule(ROUND_TRIP_US / 2, Event::Answered(order, outcome));
    }

    fn carry_out(&mut self, at: usize, order: &Order, at_us: u64) -> OrderOutcome {
        let spec = &self.specs[&order.task.job];
        let step = &spec.steps[order.task.step as usize];
        let machine = &mut self.machines[at];
        match &order.kind {
            OrderKind::Start { .. } => {
                let used = machine.used.plus(&step.allocation());
                if !machine.entry.capacity.holds(&used) {
                    return OrderOutcome::NoRoom;
                }
                machine.used = used;
                let lasts_us =
                    if step.is_lasting { u64::MAX / 2 } else { run_us(step, &order.task) };
                machine.runs.push(Run {
                    task: order.task.clone(),
                    run: order.run,
                    cpu: step.allocation(),
                    is_lasting: step.is_lasting,
                    began_us: at_us,
                    ends_us: at_us + lasts_us,
                    is_stopped: false,
                });
                self.note_start(order, at_us);
            }
            OrderKind::Stop => {
                let run =
                    machine.runs.iter_mut().find(|r| r.task == order.task && r.run == order.run);
                if let Some(run) = run.filter(|run| !run.is_stopped) {
                    run.is_stopped = true;
                    run.ends_us = at_us + STOP_US;
                }
            }
            OrderKind::Pace { .. } => {}
        }
        OrderOutcome::Done
    }

    fn note_start(&mut self, order: &Order, at_us: u64) {
        let id = &order.task.job;
        let first: u32 =
            self.specs[id].steps[..order.task.step as usize].iter().map(|step| step.count).sum();
        if let Some(presence) = self.lasting.get_mut(&(id.clone(), first + order.task.index)) {
            presence.gone_us = None;
            presence.room_us = None;
            return;
        }
        if order.run == 1 && order.task.step == 0 {
            let waited_ms = (at_us - self.handed_in_us[id]) / MS;
            let prefix = id.split('-').next().unwrap_or(id).to_owned();
            self.waits_ms.entry(prefix).or_default().push(waited_ms);
        }
    }

    /// Ends the runs whose time has come.
    fn run_machines(&mut self) {
        let now_us = self.now_us;
        for machine in &mut self.machines {
            if machine.exits_us <= now_us {
                for run in machine.runs.drain(..).filter(|run| run.is_lasting) {
                    if let Some(presence) = self.lasting.get_mut(&(run.task.job, run.task.index)) {
                        presence.gone_us = Some(now_us);
                    }
                }
                continue;
            }
            let (over, left): (Vec<Run>, Vec<Run>) =
                machine.runs.drain(..).partition(|run| run.ends_us <= now_us);
            machine.runs = left;
            for run in over {
                machine.used = machine.used.minus(&run.cpu);
                machine.number += 1;
                let cause = if run.is_stopped { EndCause::Stopped } else { EndCause::Done };
                if run.is_lasting {
                    let key = (run.task.job.clone(), run.task.index);
                    if let Some(presence) = self.lasting.get_mut(&key) {
                        presence.gone_us = Some(now_us);
                    }
                }
                machine.ended.push(EndRow {
                    number: machine.number,
                    task: run.task,
                    run: run.run,
                    cause,
                    saved: String::new(),
                });
            }
        }
    }

    /// Polls the workers that have an end to tell or were not polled for long.
    fn poll_machines(&mut self) {
        let now_us = self.now_us;
        let mut due: Vec<(WorkerIndex, usize)> =
            self.index_of.iter().map(|(index, at)| (*index, *at)).collect();
        due.sort_unstable();
        for (index, at) in due {
            let acked = self.fleet.acked_end(index);
            let machine = &mut self.machines[at];
            machine.ended.retain(|end| end.number > acked);
            let has_news = machine.ended.last().is_some_and(|end| end.number > machine.number - 1);
            let waited_us = now_us - machine.polled_us;
            if machine.polled_us > 0 && waited_us < POLL_US && !(has_news && waited_us >= 25 * MS) {
                continue;
            }
            machine.polled_us = now_us;
            if machine.exits_us <= now_us {
                self.fleet.worker_silent(index, now_us);
                continue;
            }
            let running = machine.runs.iter().map(|run| row(run, now_us)).collect();
            let poll = Poll {
                sent_us: now_us,
                lease_ms: 5_000,
                clock_ms: now_us / MS,
                running,
                ended: machine.ended.clone(),
            };
            self.schedule(ROUND_TRIP_US, Event::Polled(index, Box::new(poll)));
        }
    }

    /// Notes the lasting tasks that are missing for long although there is room for them twice over.
    fn judge(&mut self) {
        let (from_ms, to_ms) = self.conditions.store_away_ms;
        let is_calm = self.now_us < from_ms * MS || self.now_us > to_ms * MS + CALM_US;
        let free: Vec<Resources> = self
            .machines
            .iter()
            .filter(|machine| !machine.entry.is_leaving)
            .map(|machine| machine.entry.capacity.minus(&machine.used))
            .collect();
        for (key, presence) in &mut self.lasting {
            let Some(gone_us) = presence.gone_us else { continue };
            let fits = free.iter().filter(|free| free.holds(&presence.cpu)).take(2).count();
            if fits < 2 || !is_calm {
                presence.room_us = None;
                continue;
            }
            let since_us = *presence.room_us.get_or_insert(self.now_us);
            let is_missing =
                self.now_us - gone_us >= MISSING_US + ROOM_US && self.now_us - since_us >= ROOM_US;
            if is_missing && !presence.is_reported {
                presence.is_reported = true;
                let what = format!(
                    "{} task {} missing at {} ms since {} ms",
                    key.0,
                    key.1,
                    self.now_us / MS,
                    gone_us / MS
                );
                self.missing.push(what);
            }
        }
    }

    /// Longest time for which a lasting task is without a run now.
    pub fn longest_absence_ms(&self) -> u64 {
        let gone = self.lasting.values().filter_map(|presence| presence.gone_us);
        gone.map(|gone_us| (self.now_us - gone_us) / MS).max().unwrap_or(0)
    }
}

fn run_us(step: &Step, task: &TaskKey) -> u64 {
    let spread = u64::from(task.index) * 37 % 60;
    step.estimate_ms * (70 + spread) / 100 * MS
}

fn row(run: &Run, now_us: u64) -> RunRow {
    let ran_us = now_us - run.began_us;
    let whole_us = if run.is_lasting { WARM_UP_US } else { run.ends_us - run.began_us };
    let percent = (ran_us * 100 / whole_us.max(1)).clamp(1, if run.is_lasting { 100 } else { 99 });
    RunRow {
        task: run.task.clone(),
        run: run.run,
        saved: String::new(),
        percent: percent as u32,
        figure: if run.is_lasting { 30 } else { 1_000 },
    }
}
