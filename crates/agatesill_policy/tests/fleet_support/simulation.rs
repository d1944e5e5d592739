//! Simulation of a fleet in virtual time: a planner that runs in turns, a store that answers late
//! or not at all, workers that run tasks and leave, and a verifier that reports long-running tasks
//! that are missing although there is capacity for them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{
    EndCause, EndRow, Fleet, FleetBounds, JobSpec, JobWrite, Order, OrderKind, OrderOutcome, Poll,
    ProgressRecord, RunRow, Step, TaskKey, WorkerEntry, WorkerIndex,
};

use super::{MS, entry};

/// Microseconds in a second.
pub const S: u64 = 1_000 * MS;

/// Maximum number of entries in a transaction.
const MAX_ENTRIES: usize = 31;

/// Maximum number of transactions in flight.
const MAX_COMMITS: usize = 4;

/// Round-trip time of a call to a worker.
const ROUND_TRIP_US: u64 = 5 * MS;

/// Interval between polls of a worker without updates.
const POLL_INTERVAL_US: u64 = 500 * MS;

/// Time from the stop of a run until its end.
const STOP_DURATION_US: u64 = 600 * MS;

/// Time from the start of a long-running task until it is ready.
const WARM_UP_US: u64 = 1_000 * MS;

/// Time without a run after which a long-running task counts as missing.
const MISSING_AFTER_US: u64 = 6 * S;

/// Time for which a missing task must have had capacity on two workers.
const CAPACITY_DURATION_US: u64 = 3 * S;

/// Capacity of the queue of answers; a full one delays polls.
const MAX_QUEUED_ANSWERS: usize = 8_192;

/// Longest time for which a poll waits until the answer to the previous one is handled.
const MAX_HANDLING_WAIT_US: u64 = 1_000 * MS;

/// Age from which a start is not sent.
const MAX_START_AGE_US: u64 = 3 * S;

/// Time after which an order counts as unanswered.
const ORDER_TIMEOUT_US: u64 = 400 * MS;

/// Time after which a poll counts as unanswered.
const POLL_TIMEOUT_US: u64 = 1_200 * MS;

/// Lease that each poll requests.
const LEASE_US: u64 = 5 * S;

/// Time after a store outage for which missing tasks are not reported.
const RECOVERY_US: u64 = 4 * S;

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

/// State of one simulated worker.
#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    entry: WorkerEntry,
    used: Resources,
    runs: Vec<Run>,
    ended: Vec<EndRow>,
    number: u64,
    polled_us: u64,
    has_unhandled_answer: bool,
    exits_us: u64,
    silent_until_us: u64,
    lease_until_us: u64,
    barred: HashMap<TaskKey, u32>,
}

#[derive(Debug)]
enum Event {
    OrderArrives(Order),
    Answered(Order, OrderOutcome),
    Polled(WorkerIndex, Box<Poll>),
    Silent(WorkerIndex),
    Stored(Vec<JobWrite>),
    Failed(Vec<JobWrite>),
}

/// Timing of the planner, and faults.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Duration of one turn of the planner.
    pub turn_ms: u64,
    /// Time until a transaction is answered.
    pub commit_ms: u64,
    /// Start and end of the store outage.
    pub store_outage_ms: (u64, u64),
    /// When the planner stops. A successor starts 300 ms after the store is available again.
    pub planner_stops_ms: u64,
}

/// Faults of calls, and the share of the planner. The default is a planner that handles all answers
/// at once, and calls that never fail.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Seed of all random choices.
    pub seed: u64,
    /// Maximum number of answers of workers handled in one turn.
    pub answers_per_turn: usize,
    /// Largest delay of an order before it reaches its worker.
    pub order_delay_ms: u64,
    /// Orders in a thousand that are dropped before they are sent, without an outcome.
    pub dropped_permille: u64,
    /// Orders in a thousand that are lost on the way and have no answer.
    pub lost_permille: u64,
    /// Orders in a thousand that are carried out and have no answer.
    pub unanswered_permille: u64,
    /// Orders in a thousand that a worker refuses.
    pub refused_permille: u64,
    /// Transactions in a thousand that fail.
    pub failed_commits_permille: u64,
    /// Worker visits in a thousand, one each half second, that leave the worker silent for
    /// [`Faults::silence_ms`].
    pub silent_permille: u64,
    /// Duration of the silence of a worker.
    pub silence_ms: u64,
    /// Whether the registry does not list silent workers.
    pub unlists_silent: bool,
    /// Whether missing tasks are not reported during a takeover and for [`RECOVERY_US`] after it.
    pub excuses_takeover: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            seed: 1,
            answers_per_turn: usize::MAX,
            order_delay_ms: 0,
            dropped_permille: 0,
            lost_permille: 0,
            unanswered_permille: 0,
            refused_permille: 0,
            failed_commits_permille: 0,
            silent_permille: 0,
            silence_ms: 0,
            unlists_silent: false,
            excuses_takeover: false,
        }
    }
}

/// The scheduler and its environment.
pub struct Simulation {
    /// The fleet under test.
    pub fleet: Fleet,
    /// Current time.
    pub now_us: u64,
    /// Time from the submission of a job to the first start of each task of its first step, by the
    /// job's prefix.
    pub waits_ms: BTreeMap<String, Vec<u64>>,
    /// Long-running tasks that were missing although there was capacity for them.
    pub missing: Vec<String>,
    /// Faults of calls.
    pub faults: Faults,
    /// Long-running tasks that by the ledger had no run for at least [`MISSING_AFTER_US`], by state:
    /// how often one was seen at the end of a turn, and the longest time without a run.
    pub states: BTreeMap<String, (u32, u64)>,
    /// Longest age of an answer at its handling.
    pub longest_lag_ms: u64,
    answers: VecDeque<(u64, Event)>,
    answers_as_of_us: u64,
    random: u64,
    conditions: Conditions,
    workers: Vec<SimulatedWorker>,
    index_of: HashMap<WorkerIndex, usize>,
    specs: HashMap<String, JobSpec>,
    submitted_us: HashMap<String, u64>,
    records: HashMap<String, (ProgressRecord, u64)>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: HashMap<u64, Event>,
    sequence: u64,
    revision: u64,
    commits_under_way: usize,
    has_planner: bool,
    planner_since_us: u64,
    lasting: BTreeMap<(String, u32), LongRunningTask>,
}

#[derive(Clone, Debug, Default)]
struct LongRunningTask {
    cpu: Resources,
    missing_since_us: Option<u64>,
    capacity_since_us: Option<u64>,
    is_reported: bool,
}

fn bounds() -> FleetBounds {
    FleetBounds { lease_max_ms: 10_000, harm_ms: 5_000, drain_ms: 4_000, stop_grace_ms: 400 }
}

impl Simulation {
    /// Creates a fleet of `count` workers with 16 to 24 cores.
    pub fn new(count: usize, conditions: Conditions) -> Self {
        let mut simulation = Self {
            fleet: Fleet::new(bounds()),
            now_us: 10 * S,
            waits_ms: BTreeMap::new(),
            missing: Vec::new(),
            faults: Faults::default(),
            states: BTreeMap::new(),
            longest_lag_ms: 0,
            answers: VecDeque::new(),
            answers_as_of_us: 0,
            random: 0,
            conditions,
            workers: Vec::new(),
            index_of: HashMap::new(),
            specs: HashMap::new(),
            submitted_us: HashMap::new(),
            records: HashMap::new(),
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            sequence: 0,
            revision: 1,
            commits_under_way: 0,
            has_planner: true,
            planner_since_us: 0,
            lasting: BTreeMap::new(),
        };
        for position in 0..count {
            let mut worker = entry(&format!("w{position}"), &format!("r{}", position / 20));
            worker.address = format!("10.{}.{}.1:80", position / 250, position % 250);
            worker.capacity.cpu_milli = 16_000 + 1_600 * (position as u64 * 7 % 6);
            simulation.workers.push(SimulatedWorker {
                entry: worker,
                used: Resources::default(),
                runs: Vec::new(),
                ended: Vec::new(),
                number: 0,
                polled_us: 0,
                has_unhandled_answer: false,
                exits_us: u64::MAX,
                silent_until_us: 0,
                lease_until_us: u64::MAX,
                barred: HashMap::new(),
            });
        }
        simulation.register_all();
        simulation
    }

    fn register_all(&mut self) {
        self.index_of.clear();
        for position in 0..self.workers.len() {
            let entry = self.workers[position].entry.clone();
            let index = self.fleet.worker_listed(entry, self.now_us);
            self.index_of.insert(index, position);
            self.workers[position].polled_us = 0;
            self.workers[position].has_unhandled_answer = false;
        }
    }

    /// Submits a job.
    pub fn submit(&mut self, mut spec: JobSpec) {
        spec.accepted_at_ms = self.now_us / MS;
        for (index, step) in spec.steps.iter().enumerate().filter(|(_, step)| step.is_lasting) {
            let first: u32 = spec.steps[..index].iter().map(|step| step.count).sum();
            for task in first..first + step.count {
                let tracked_task = LongRunningTask {
                    cpu: step.need,
                    missing_since_us: Some(self.now_us),
                    ..LongRunningTask::default()
                };
                self.lasting.insert((spec.id.clone(), task), tracked_task);
            }
        }
        self.submitted_us.insert(spec.id.clone(), self.now_us);
        self.specs.insert(spec.id.clone(), spec.clone());
        if self.has_planner {
            self.fleet.accept(spec, self.now_us);
        }
    }

    /// Makes workers announce that they are leaving; they exit after `notice_us`.
    pub fn announce_leaving(&mut self, from: usize, count: usize, notice_us: u64) {
        for position in from..from + count {
            let worker = &mut self.workers[position];
            worker.entry.is_leaving = true;
            worker.entry.leaves_in_ms = notice_us / MS;
            worker.exits_us = self.now_us + notice_us;
            let entry = worker.entry.clone();
            if self.has_planner {
                self.fleet.worker_listed(entry, self.now_us);
            }
        }
    }

    /// Advances the time to `until_us`, one turn of the planner after another.
    pub fn advance_until(&mut self, until_us: u64) {
        while self.now_us < until_us {
            self.now_us += self.conditions.turn_ms * MS;
            self.end_silences();
            self.end_due_runs();
            self.process_events();
            self.update_planner();
            if self.has_planner {
                self.run_planner();
            }
            self.verify();
        }
    }

    fn is_store_unavailable(&self) -> bool {
        let (from_ms, to_ms) = self.conditions.store_outage_ms;
        self.now_us >= from_ms * MS && self.now_us < to_ms * MS
    }

    fn update_planner(&mut self) {
        let stops_us = self.conditions.planner_stops_ms * MS;
        let starts_us = stops_us.max(self.conditions.store_outage_ms.1 * MS) + 300 * MS;
        if self.has_planner && (stops_us..starts_us).contains(&self.now_us) {
            self.has_planner = false;
            self.events.clear();
            self.payloads.clear();
            self.answers.clear();
            self.commits_under_way = 0;
        } else if !self.has_planner && self.now_us >= starts_us {
            self.start_successor();
        }
    }

    /// Starts a successor that knows only the stored records.
    fn start_successor(&mut self) {
        let mut fleet = Fleet::new(bounds());
        fleet.set_wall_clock(self.now_us, self.now_us / MS);
        let mut specs: Vec<&JobSpec> = self.specs.values().collect();
        specs.sort_by(|a, b| a.id.cmp(&b.id));
        for spec in specs {
            fleet.restore(spec.clone(), self.records.get(&spec.id).cloned(), self.now_us);
        }
        fleet.finish_restore(0, self.now_us);
        self.fleet = fleet;
        self.has_planner = true;
        self.planner_since_us = self.now_us;
        self.register_all();
    }

    fn run_planner(&mut self) {
        self.handle_answers();
        self.fleet.expire_workers(self.answers_as_of_us, self.now_us);
        self.poll_workers();
        self.fleet.plan(self.now_us, self.now_us / MS);
        while self.commits_under_way < MAX_COMMITS {
            let writes = self.fleet.take_writes(MAX_ENTRIES, self.now_us);
            if writes.is_empty() {
                break;
            }
            self.commits_under_way += 1;
            let fails = self.chance(self.faults.failed_commits_permille);
            let is_unavailable = fails || self.is_store_unavailable();
            let after_us = if is_unavailable { 100 * MS } else { self.conditions.commit_ms * MS };
            self.schedule(
                after_us,
                if is_unavailable { Event::Failed(writes) } else { Event::Stored(writes) },
            );
        }
        drop(self.fleet.take_acked());
        drop(self.fleet.take_terminated());
        for order in self.fleet.take_orders() {
            if !self.chance(self.faults.dropped_permille) {
                let delay_us = self.below(self.faults.order_delay_ms + 1) * MS;
                self.schedule(ROUND_TRIP_US / 2 + delay_us, Event::OrderArrives(order));
            }
        }
        self.fleet.retire_ended();
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_us + after_us, self.sequence)));
        self.payloads.insert(self.sequence, event);
    }

    fn process_events(&mut self) {
        while let Some(Reverse((at_us, number))) = self.events.peek().copied() {
            if at_us > self.now_us {
                return;
            }
            self.events.pop();
            let Some(event) = self.payloads.remove(&number) else { continue };
            match event {
                Event::OrderArrives(order) => self.deliver_order(order, at_us),
                Event::Answered(..) | Event::Polled(..) | Event::Silent(_) => {
                    self.answers.push_back((at_us, event));
                }
                Event::Stored(writes) => self.store(&writes),
                Event::Failed(writes) => {
                    self.commits_under_way -= 1;
                    writes.iter().for_each(|write| self.fleet.not_committed(write, self.now_us));
                }
            }
        }
    }

    /// Handles the oldest answers of workers, as many as one turn allows.
    fn handle_answers(&mut self) {
        for _ in 0..self.faults.answers_per_turn {
            let Some((at_us, event)) = self.answers.pop_front() else {
                self.answers_as_of_us = self.now_us;
                return;
            };
            self.answers_as_of_us = at_us;
            self.longest_lag_ms = self.longest_lag_ms.max((self.now_us - at_us) / MS);
            match event {
                Event::Answered(order, outcome) => {
                    self.fleet.order_answered_at(&order, outcome, at_us, self.now_us);
                }
                Event::Polled(index, poll) => {
                    self.answer_handled(index);
                    self.fleet.polled(index, &poll, self.now_us);
                }
                Event::Silent(index) => {
                    self.answer_handled(index);
                    self.fleet.worker_silent(index, self.now_us);
                }
                _ => {}
            }
        }
    }

    fn answer_handled(&mut self, index: WorkerIndex) {
        if let Some(position) = self.index_of.get(&index) {
            self.workers[*position].has_unhandled_answer = false;
        }
    }

    /// Returns a random number below `limit`.
    fn below(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ self.faults.seed.wrapping_mul(0xd134_2543_de82_ef95))
            .wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 32)) % limit.max(1)
    }

    fn chance(&mut self, permille: u64) -> bool {
        permille > 0 && self.below(1_000) < permille
    }

    fn store(&mut self, writes: &[JobWrite]) {
        self.commits_under_way -= 1;
        self.revision += 1;
        for write in writes {
            self.records.insert(write.job.clone(), (write.record.clone(), self.revision));
            self.fleet.committed(write, self.revision, self.now_us);
        }
    }

    fn deliver_order(&mut self, order: Order, at_us: u64) {
        let Some(position) = self.index_of.get(&order.worker).copied() else { return };
        let worker = &self.workers[position];
        let is_unreachable = worker.exits_us <= at_us || worker.silent_until_us > at_us;
        let is_start = matches!(order.kind, OrderKind::Start { .. });
        let outcome = if is_unreachable || self.chance(self.faults.lost_permille) {
            OrderOutcome::Unanswered
        } else if is_start && at_us.saturating_sub(order.decided_us) > MAX_START_AGE_US {
            OrderOutcome::Withheld
        } else if self.chance(self.faults.refused_permille) {
            OrderOutcome::Refused
        } else {
            let outcome = self.execute_order(position, &order, at_us);
            let is_lost = self.chance(self.faults.unanswered_permille);
            if is_lost { OrderOutcome::Unanswered } else { outcome }
        };
        let is_answered = outcome != OrderOutcome::Unanswered;
        let after_us = if is_answered { ROUND_TRIP_US / 2 } else { ORDER_TIMEOUT_US };
        self.schedule(after_us, Event::Answered(order, outcome));
    }

    fn execute_order(&mut self, position: usize, order: &Order, at_us: u64) -> OrderOutcome {
        let spec = &self.specs[&order.task.job];
        let step = &spec.steps[order.task.step as usize];
        let worker = &mut self.workers[position];
        match &order.kind {
            OrderKind::Start { .. } => {
                if worker.runs.iter().any(|run| run.task == order.task && run.run == order.run) {
                    return OrderOutcome::Done;
                }
                if worker.barred.get(&order.task).is_some_and(|barred| *barred >= order.run) {
                    return OrderOutcome::Old;
                }
                let used = worker.used.plus(&step.allocation());
                if !worker.entry.capacity.holds(&used) {
                    return OrderOutcome::NoRoom;
                }
                worker.used = used;
                let duration_us =
                    if step.is_lasting { u64::MAX / 2 } else { run_us(step, &order.task) };
                worker.runs.push(Run {
                    task: order.task.clone(),
                    run: order.run,
                    cpu: step.allocation(),
                    is_lasting: step.is_lasting,
                    began_us: at_us,
                    ends_us: at_us + duration_us,
                    is_stopped: false,
                });
                self.record_start(order, at_us);
            }
            OrderKind::Stop => {
                let barred = worker.barred.entry(order.task.clone()).or_default();
                *barred = order.run.max(*barred);
                let run =
                    worker.runs.iter_mut().find(|r| r.task == order.task && r.run == order.run);
                if let Some(run) = run.filter(|run| !run.is_stopped) {
                    run.is_stopped = true;
                    run.ends_us = at_us + STOP_DURATION_US;
                }
            }
            OrderKind::Pace { .. } => {}
        }
        OrderOutcome::Done
    }

    fn record_start(&mut self, order: &Order, at_us: u64) {
        let id = &order.task.job;
        let first: u32 =
            self.specs[id].steps[..order.task.step as usize].iter().map(|step| step.count).sum();
        if let Some(tracked_task) = self.lasting.get_mut(&(id.clone(), first + order.task.index)) {
            tracked_task.missing_since_us = None;
            tracked_task.capacity_since_us = None;
            return;
        }
        if order.run == 1 && order.task.step == 0 {
            let waited_ms = (at_us - self.submitted_us[id]) / MS;
            let prefix = id.split('-').next().unwrap_or(id).to_owned();
            self.waits_ms.entry(prefix).or_default().push(waited_ms);
        }
    }

    /// Ends the runs that are due, and those of workers that have exited.
    fn end_due_runs(&mut self) {
        let now_us = self.now_us;
        for worker in &mut self.workers {
            if worker.exits_us <= now_us {
                for run in worker.runs.drain(..).filter(|run| run.is_lasting) {
                    if let Some(tracked_task) =
                        self.lasting.get_mut(&(run.task.job, run.task.index))
                    {
                        tracked_task.missing_since_us = Some(now_us);
                    }
                }
                continue;
            }
            let (ended_runs, remaining_runs): (Vec<Run>, Vec<Run>) =
                worker.runs.drain(..).partition(|run| run.ends_us <= now_us);
            worker.runs = remaining_runs;
            for run in ended_runs {
                worker.used = worker.used.minus(&run.cpu);
                worker.number += 1;
                let barred = worker.barred.entry(run.task.clone()).or_default();
                *barred = run.run.max(*barred);
                let cause = if run.is_stopped { EndCause::Stopped } else { EndCause::Done };
                if run.is_lasting {
                    let key = (run.task.job.clone(), run.task.index);
                    if let Some(tracked_task) = self.lasting.get_mut(&key) {
                        tracked_task.missing_since_us = Some(now_us);
                    }
                }
                worker.ended.push(EndRow {
                    number: worker.number,
                    task: run.task,
                    run: run.run,
                    cause,
                    saved: String::new(),
                });
            }
        }
    }

    /// Polls the workers that have a new end to report, or whose poll interval has elapsed.
    fn poll_workers(&mut self) {
        let now_us = self.now_us;
        let mut due: Vec<(WorkerIndex, usize)> =
            self.index_of.iter().map(|(index, position)| (*index, *position)).collect();
        due.sort_unstable();
        for (index, position) in due {
            let acked = self.fleet.acked_end(index);
            let worker = &mut self.workers[position];
            worker.ended.retain(|end| end.number > acked);
            let has_updates = worker.ended.last().is_some_and(|end| end.number > worker.number - 1);
            let is_queue_full = self.answers.len() >= MAX_QUEUED_ANSWERS;
            let waited_us = now_us - worker.polled_us;
            let is_recent = worker.polled_us > 0
                && waited_us < POLL_INTERVAL_US
                && !(has_updates && waited_us >= 25 * MS);
            let waits_for_handling =
                worker.has_unhandled_answer && waited_us < MAX_HANDLING_WAIT_US;
            if is_recent || is_queue_full || waits_for_handling {
                continue;
            }
            worker.polled_us = now_us;
            if worker.exits_us <= now_us {
                self.fleet.worker_silent(index, now_us);
                continue;
            }
            self.workers[position].has_unhandled_answer = true;
            if self.chance(self.faults.silent_permille) {
                self.silence(position);
            }
            if self.workers[position].silent_until_us > now_us {
                self.schedule(POLL_TIMEOUT_US, Event::Silent(index));
                continue;
            }
            let worker = &mut self.workers[position];
            worker.lease_until_us = now_us + LEASE_US;
            let running = worker.runs.iter().map(|run| row(run, now_us)).collect();
            let poll = Poll {
                sent_us: now_us,
                lease_ms: 5_000,
                clock_ms: now_us / MS,
                started_ms: 0,
                is_incomplete: false,
                running,
                ended: worker.ended.clone(),
            };
            self.schedule(ROUND_TRIP_US, Event::Polled(index, Box::new(poll)));
        }
    }

    /// Makes a worker unreachable for a while.
    fn silence(&mut self, position: usize) {
        let worker = &mut self.workers[position];
        worker.silent_until_us = self.now_us + self.faults.silence_ms * MS;
        if self.faults.unlists_silent {
            let id = worker.entry.id.clone();
            self.fleet.worker_unlisted(&id);
        }
    }

    /// Lists workers again that answer again, and ends the runs of workers whose lease has lapsed.
    fn end_silences(&mut self) {
        for position in 0..self.workers.len() {
            let worker = &mut self.workers[position];
            if worker.silent_until_us == 0 {
                continue;
            }
            if worker.lease_until_us < self.now_us {
                worker.runs.iter_mut().for_each(|run| {
                    run.is_stopped = true;
                    run.ends_us = run.ends_us.min(self.now_us);
                });
            }
            if worker.silent_until_us <= self.now_us {
                worker.silent_until_us = 0;
                let entry = worker.entry.clone();
                if self.faults.unlists_silent && self.has_planner {
                    self.fleet.worker_listed(entry, self.now_us);
                }
            }
        }
    }

    /// Describes the state of a missing task in the ledger.
    fn describe(&self, job: &str, task: u32) -> String {
        let (_, missing) = self.fleet.missing_tasks(usize::MAX, self.now_us);
        let found = missing.into_iter().find(|other| other.job == job && other.task == task);
        found.map_or_else(|| "unknown to the planner".to_owned(), |found| format!("{found:?}"))
    }

    /// Reports long-running tasks that are missing although two workers have had capacity for them.
    fn verify(&mut self) {
        let (from_ms, to_ms) = self.conditions.store_outage_ms;
        let is_outside_outage =
            self.now_us < from_ms * MS || self.now_us > to_ms * MS + RECOVERY_US;
        let is_after_takeover =
            !self.has_planner || self.now_us < self.planner_since_us + RECOVERY_US;
        let is_outside_outage =
            is_outside_outage && !(self.faults.excuses_takeover && is_after_takeover);
        let free: Vec<Resources> = self
            .workers
            .iter()
            .filter(|worker| !worker.entry.is_leaving)
            .map(|worker| worker.entry.capacity.minus(&worker.used))
            .collect();
        let mut reported = Vec::new();
        for (key, tracked_task) in &mut self.lasting {
            let Some(missing_since_us) = tracked_task.missing_since_us else { continue };
            let fits = free.iter().filter(|free| free.holds(&tracked_task.cpu)).take(2).count();
            if fits < 2 || !is_outside_outage {
                tracked_task.capacity_since_us = None;
                continue;
            }
            let since_us = *tracked_task.capacity_since_us.get_or_insert(self.now_us);
            let is_missing = self.now_us - missing_since_us
                >= MISSING_AFTER_US + CAPACITY_DURATION_US
                && self.now_us - since_us >= CAPACITY_DURATION_US;
            if is_missing && !tracked_task.is_reported {
                tracked_task.is_reported = true;
                let message = format!(
                    "{} task {} missing at {} ms since {} ms",
                    key.0,
                    key.1,
                    self.now_us / MS,
                    missing_since_us / MS
                );
                reported.push((key.clone(), message));
            }
        }
        for ((job, task), message) in reported {
            let state = self.describe(&job, task);
            self.missing.push(format!("{message}: {state}"));
        }
        self.count_states();
    }

    fn count_states(&mut self) {
        let (_, missing) = self.fleet.missing_tasks(usize::MAX, self.now_us);
        for task in missing.iter().filter(|task| task.missing_ms * MS >= MISSING_AFTER_US) {
            let entry = self.states.entry(task.state.to_owned()).or_default();
            entry.0 += 1;
            entry.1 = entry.1.max(task.missing_ms);
        }
    }

    /// Longest time for which a long-running task has been without a run.
    pub fn longest_missing_ms(&self) -> u64 {
        let missing =
            self.lasting.values().filter_map(|tracked_task| tracked_task.missing_since_us);
        missing.map(|missing_since_us| (self.now_us - missing_since_us) / MS).max().unwrap_or(0)
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
