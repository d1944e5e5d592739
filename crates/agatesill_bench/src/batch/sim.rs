//! A small run of one scheduler over one world under a virtual clock.
//!
//! Time moves from event to event; running tasks advance in steps of half a second. Nothing of
//! the truth reaches the scheduler but late, noisy reports and the ends of attempts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use agatesill_policy::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::outcome::{Loss, SimOutcome};
use super::scheduler::{Scheduler, SchedulerKind};
use super::world::{Happening, World};

/// Time between two rounds of planning, one commit each.
const PLAN_MS: u64 = 200;

/// Time between two steps of the running tasks.
const STEP_MS: u64 = 500;

/// Steps between two usage reports of a worker.
const STEPS_PER_REPORT: u64 = 2;

/// Time from a committed start until the task runs, and from a stop until it is confirmed.
const START_MS: u64 = 300;
const STOP_MS: u64 = 700;

/// Work between two checkpoints that a task takes by itself.
const CHECKPOINT_MS: f64 = 30_000.0;

/// Time until a poisoned worker or a bad job fails an attempt.
const FAIL_MS: u64 = 1_000;

/// Time until the loss of a worker is noticed, and until its attempts' leases have ended.
const NOTICE_MS: u64 = 3_000;
const LEASE_MS: u64 = 10_000;

/// Share of its progress at which a task reaches its full memory.
const MEMORY_PEAK: f64 = 0.3;

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Plan,
    Step,
    Report(WorkerId, Box<UsageReport>),
    Stopped(WorkerId, TaskId, Attempt, bool),
    LeaseEnd(TaskId, Attempt),
    Noticed(WorkerId),
    Happens(usize),
}

/// A live attempt with its truth.
#[derive(Clone, Debug)]
struct Live {
    task: TaskId,
    attempt: Attempt,
    job: Option<usize>,
    class: usize,
    cpus: f64,
    memory_mb: u64,
    reserved_mb: u64,
    percent: u32,
    starts_ms: u64,
    work_ms: f64,
    progress_ms: f64,
    saved_ms: f64,
    fails_ms: Option<u64>,
    stopping: bool,
}

#[derive(Clone, Debug, Default)]
struct SimWorker {
    live: Vec<Live>,
    gone: bool,
}

/// The truth as the oracle may see it.
pub struct Truth<'a> {
    world: &'a World,
    workers: &'a [SimWorker],
    jobs_by_id: &'a BTreeMap<String, usize>,
    now_ms: u64,
}

impl Truth<'_> {
    /// Logarithm of the worst tail on a worker with `added` tasks beside those that run.
    pub fn worst_ln(&self, worker: WorkerId, added: &[(usize, f64)]) -> f64 {
        let mut cpus = class_cpus(self.world, &self.workers[worker as usize]);
        for (class, more) in added {
            cpus[*class] += more;
        }
        let services = self.world.services_on(worker);
        services
            .map(|service| {
                let load = self.world.load(service, worker, self.now_ms);
                self.world.pressure_ln(service, load, &cpus)
            })
            .fold(-9.0, f64::max)
    }

    /// Class and processors of a task.
    pub fn class_use(&self, task: &str) -> (usize, f64) {
        let job = task.rsplit_once('/').and_then(|(job, _)| self.jobs_by_id.get(job));
        job.map_or((0, 0.0), |job| {
            let truth = &self.world.jobs[*job];
            let ratio = self.world.classes[truth.class].cpu_ratio;
            (truth.class, truth.spec.need.cpu_milli as f64 / 1_000.0 * ratio)
        })
    }

    /// Whether the task is batch work.
    pub fn is_batch(&self, task: &str) -> bool {
        !task.starts_with("service-")
    }

    /// By how much a live task raises the worst tail on its worker.
    pub fn contribution(&self, worker: WorkerId, task: &str) -> f64 {
        let live = self.workers[worker as usize].live.iter().find(|live| live.task == task);
        let Some(live) = live else { return 0.0 };
        let services = self.world.services_on(worker);
        services
            .map(|service| {
                let load = self.world.load(service, worker, self.now_ms);
                self.world.services[service].slowdown[live.class] * live.cpus * (0.3 + 0.7 * load)
            })
            .fold(0.0, f64::max)
    }
}

fn class_cpus(world: &World, worker: &SimWorker) -> Vec<f64> {
    let mut cpus = vec![0.0; world.classes.len()];
    for live in worker.live.iter().filter(|live| live.job.is_some()) {
        cpus[live.class] += live.cpus * f64::from(live.percent) / 100.0;
    }
    cpus
}

/// One run.
pub struct Sim<'a> {
    world: &'a World,
    cell: Cell,
    pending: Vec<CellDelta>,
    scheduler: Scheduler,
    workers: Vec<SimWorker>,
    jobs_by_id: BTreeMap<String, usize>,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    bodies: Vec<Option<Event>>,
    sequence: u64,
    now_ms: u64,
    steps: u64,
    rng: Pcg64Mcg,
    open_jobs: usize,
    out: SimOutcome,
}

/// Runs one scheduler over a world.
pub fn simulate(world: &World, kind: SchedulerKind) -> SimOutcome {
    let cell = Cell::new(&world.specs());
    let scheduler = Scheduler::new(kind, &world.doc, &cell);
    let ids = world.jobs.iter().enumerate().map(|(index, job)| (job.spec.id.clone(), index));
    let mut sim = Sim {
        world,
        cell,
        pending: Vec::new(),
        scheduler,
        workers: vec![SimWorker::default(); world.floor.workers as usize],
        jobs_by_id: ids.collect(),
        events: BinaryHeap::new(),
        bodies: Vec::new(),
        sequence: 0,
        now_ms: 0,
        steps: 0,
        rng: Pcg64Mcg::seed_from_u64(world.seed ^ 0x5eed),
        open_jobs: world.jobs.len(),
        out: SimOutcome::new(world),
    };
    sim.place_services();
    for (index, job) in world.jobs.iter().enumerate() {
        sim.push(job.arrive_ms, Event::Arrive(index));
    }
    for (index, (at_ms, _)) in world.happenings.iter().enumerate() {
        sim.push(*at_ms, Event::Happens(index));
    }
    sim.push(0, Event::Plan);
    sim.push(STEP_MS, Event::Step);
    sim.run();
    sim.out
}

impl Sim<'_> {
    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.bodies.push(Some(event));
        self.events.push(Reverse((at_ms, self.sequence, self.bodies.len() - 1)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, _, body))) = self.events.pop() {
            if at_ms > self.world.horizon_ms || (self.world.until_idle && self.open_jobs == 0) {
                break;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.bodies[body].take() {
                self.handle(event);
            }
        }
        self.out.finish(self.now_ms);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => {
                let spec = &self.world.jobs[job].spec;
                if self.cell.impossible(spec).is_some() {
                    self.open_jobs -= 1;
                    self.out.refused += 1;
                } else {
                    let (job, at_ms) = (spec.clone(), self.now_ms);
                    self.pending.push(CellDelta::Accept { job, at_ms });
                }
            }
            Event::Plan => self.plan(),
            Event::Step => self.step(),
            Event::Report(worker, report) => {
                self.scheduler.observe(self.now_ms, &self.cell, worker, &report);
            }
            Event::Stopped(worker, task, attempt, save) => {
                self.stopped(worker, &task, attempt, save);
            }
            Event::LeaseEnd(task, attempt) => {
                let outcome = AttemptOutcome::LeaseEnded;
                self.pending.push(CellDelta::End { task, attempt, outcome });
            }
            Event::Noticed(worker) => {
                let state = WorkerState::Lost;
                self.pending.push(CellDelta::SetWorkerState { worker, state });
            }
            Event::Happens(index) => self.happen(index),
        }
    }

    /// Puts the services on their workers, the same for every scheduler.
    fn place_services(&mut self) {
        if self.world.services.is_empty() {
            return;
        }
        let cpu_milli = self.world.floor.service_cpus * 1_000;
        for worker in 0..self.world.floor.workers {
            for (nth, service) in self.world.services_on(worker).enumerate() {
                let name = &self.world.services[service].name;
                let id = format!("service-{worker}-{nth}");
                let job = JobSpec {
                    id: id.clone(),
                    team: "services".to_owned(),
                    profile: "desk".to_owned(),
                    class: name.clone(),
                    tasks: 1,
                    need: Resources { cpu_milli, memory_mb: 4_000, accelerators: 0 },
                    run_ms: u64::from(u32::MAX),
                    deadline_ms: 0,
                    urgent: false,
                    after: Vec::new(),
                };
                let reserve = job.need;
                let task = format!("{id}/0");
                self.commit(vec![
                    CellDelta::Accept { job, at_ms: 0 },
                    CellDelta::Place { task, attempt: 1, worker, reserve },
                ]);
            }
        }
    }

    /// One group commit: what has come in since the last, and the scheduler's proposals.
    fn plan(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        let wrote = !pending.is_empty();
        self.commit(pending);
        let truth = Truth {
            world: self.world,
            workers: &self.workers,
            jobs_by_id: &self.jobs_by_id,
            now_ms: self.now_ms,
        };
        let plan = self.scheduler.plan(self.now_ms, &self.cell, &truth);
        for throttle in &plan.throttles {
            let live = &mut self.workers[throttle.worker as usize].live;
            if let Some(live) = live.iter_mut().find(|live| live.task == throttle.task) {
                live.percent = throttle.percent;
                self.out.throttles += 1;
            }
        }
        if wrote || !plan.deltas.is_empty() {
            self.out.write(self.now_ms);
        }
        self.commit(plan.deltas);
        self.push(self.now_ms + PLAN_MS, Event::Plan);
    }

    /// Applies committed deltas and carries their effects out.
    fn commit(&mut self, deltas: Vec<CellDelta>) {
        for delta in deltas {
            self.out.note_delta(self.now_ms, &delta, &self.cell, &self.jobs_by_id);
            let effects = self.scheduler.apply(self.now_ms, &mut self.cell, &delta);
            for effect in effects {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: CellEffect) {
        match effect {
            CellEffect::Start { worker, task, attempt, checkpoint_ms, reserve } => {
                self.start(worker, task, attempt, checkpoint_ms, &reserve);
            }
            CellEffect::Stop { worker, task, attempt, checkpoint } => {
                let live = &mut self.workers[worker as usize].live;
                if let Some(live) = live.iter_mut().find(|live| live.task == task) {
                    live.stopping = true;
                }
                let event = Event::Stopped(worker, task, attempt, checkpoint);
                self.push(self.now_ms + STOP_MS, event);
            }
            CellEffect::JobClosed { job, outcome } => {
                if let Some(index) = self.jobs_by_id.get(&job) {
                    self.open_jobs -= 1;
                    self.out.job_closed(self.now_ms, *index, outcome);
                }
            }
        }
    }

    fn start(
        &mut self,
        worker: WorkerId,
        task: TaskId,
        attempt: Attempt,
        checkpoint_ms: u64,
        reserve: &Resources,
    ) {
        let starts_ms = self.now_ms + START_MS;
        let (id, index) = task.rsplit_once('/').unwrap_or((&task, "0"));
        let index: usize = index.parse().unwrap_or_default();
        let job = self.jobs_by_id.get(id).copied();
        let truth = job.map(|job| &self.world.jobs[job]);
        let class = truth.map_or(0, |truth| truth.class);
        let ratio = |of: fn(&super::world::ClassTruth) -> f64| {
            truth.map_or(1.0, |truth| of(&self.world.classes[truth.class]))
        };
        let need = truth.map_or(*reserve, |truth| truth.spec.need);
        let bad = truth.and_then(|truth| truth.fails).is_some();
        let poison = self.world.poison.contains(&worker);
        if let Some(job) = job {
            self.out.started(starts_ms, job, index);
        }
        self.workers[worker as usize].live.push(Live {
            attempt,
            job,
            class,
            cpus: need.cpu_milli as f64 / 1_000.0 * ratio(|class| class.cpu_ratio),
            memory_mb: (need.memory_mb as f64 * ratio(|class| class.memory_ratio)) as u64,
            reserved_mb: reserve.memory_mb,
            percent: 100,
            starts_ms,
            work_ms: truth.map_or(f64::MAX, |truth| truth.work_ms[index] as f64),
            progress_ms: checkpoint_ms as f64,
            saved_ms: checkpoint_ms as f64,
            fails_ms: (job.is_some() && (bad || poison)).then_some(starts_ms + FAIL_MS),
            stopping: false,
            task,
        });
    }

    fn remove(&mut self, worker: WorkerId, task: &str, attempt: Attempt) -> Option<Live> {
        let live = &mut self.workers[worker as usize].live;
        let at = live.iter().position(|live| live.task == task && live.attempt == attempt)?;
        Some(live.remove(at))
    }

    fn stopped(&mut self, worker: WorkerId, task: &str, attempt: Attempt, save: bool) {
        let Some(live) = self.remove(worker, task, attempt) else { return };
        let kept = if save { live.progress_ms } else { live.saved_ms };
        self.out.wasted_ms += (live.progress_ms - kept) * live.cpus;
        if save {
            self.out.wasted_ms += (START_MS + STOP_MS) as f64 * live.cpus;
        }
        let outcome = AttemptOutcome::Stopped { checkpoint_ms: kept as u64 };
        self.pending.push(CellDelta::End { task: task.to_owned(), attempt, outcome });
    }

    fn happen(&mut self, index: usize) {
        match &self.world.happenings[index].1 {
            Happening::Cancel(job) => {
                let job = self.world.jobs[*job].spec.id.clone();
                self.pending.push(CellDelta::Cancel { job });
            }
            Happening::Lose(workers) => {
                for worker in workers {
                    let lost = &mut self.workers[*worker as usize];
                    lost.gone = true;
                    for live in std::mem::take(&mut lost.live) {
                        if let Some(job) = live.job {
                            let index = live.task.rsplit_once('/').and_then(|it| it.1.parse().ok());
                            let index = index.unwrap_or_default();
                            let at_ms = self.now_ms;
                            self.out.losses.push(Loss { job, index, at_ms, again_ms: None });
                        }
                        self.out.wasted_ms += (live.progress_ms - live.saved_ms) * live.cpus;
                        let event = Event::LeaseEnd(live.task, live.attempt);
                        self.push(self.now_ms + LEASE_MS, event);
                    }
                    self.push(self.now_ms + NOTICE_MS, Event::Noticed(*worker));
                }
            }
            Happening::Return(workers) => {
                let specs = self.world.specs();
                for worker in workers {
                    self.workers[*worker as usize].gone = false;
                    let worker = specs[*worker as usize].clone();
                    self.pending.push(CellDelta::AddWorker { worker });
                }
            }
        }
    }

    fn step(&mut self) {
        self.steps += 1;
        let mut ends = Vec::new();
        for worker in 0..self.workers.len() {
            if !self.workers[worker].gone {
                self.judge_services(worker as WorkerId);
                self.advance(worker, &mut ends);
            }
        }
        self.out.running(self.now_ms, self.workers.iter().map(|worker| worker.live.len()).sum());
        self.pending.extend(ends);
        self.push(self.now_ms + STEP_MS, Event::Step);
    }

    /// Counts the time outside the promise and sends a report now and then.
    fn judge_services(&mut self, id: WorkerId) {
        let worker = &self.workers[id as usize];
        let cpus = class_cpus(self.world, worker);
        let reports = self.steps % STEPS_PER_REPORT == 0;
        let mut services = Vec::new();
        for service in self.world.services_on(id) {
            let load = self.world.load(service, id, self.now_ms);
            let pressure = self.world.pressure_ln(service, load, &cpus);
            self.out.service_step(self.now_ms, STEP_MS, pressure);
            if reports {
                let noise = self.rng.random_range(-0.15..0.15);
                let cpu = load * self.world.floor.service_cpus as f64 * 1_000.0;
                services.push(ServiceUsage {
                    service: self.world.services[service].name.clone(),
                    cpu_milli: cpu as u64,
                    pressure_percent: ((pressure + noise).exp() * 100.0) as u32,
                });
            }
        }
        if reports {
            let tasks = worker.live.iter().filter(|live| live.job.is_some());
            let tasks = tasks.filter(|live| live.starts_ms <= self.now_ms).map(usage).collect();
            let measured_ms = self.now_ms;
            let report = Box::new(UsageReport { measured_ms, services, tasks });
            self.push(self.now_ms + self.world.lag_ms, Event::Report(id, report));
        }
    }

    fn advance(&mut self, worker: usize, ends: &mut Vec<CellDelta>) {
        let now_ms = self.now_ms;
        let mut ended = Vec::new();
        for live in &mut self.workers[worker].live {
            let Some(job) = live.job else { continue };
            if live.starts_ms > now_ms || live.stopping {
                continue;
            }
            let step_ms = STEP_MS.min(now_ms - live.starts_ms) as f64;
            let step_ms = step_ms.min((live.work_ms - live.progress_ms).max(0.0));
            let done_ms = step_ms * f64::from(live.percent) / 100.0;
            live.progress_ms += done_ms;
            self.out.worked(now_ms, job, done_ms * live.cpus);
            if live.progress_ms - live.saved_ms >= CHECKPOINT_MS {
                live.saved_ms = live.progress_ms;
            }
            let over =
                live.memory_mb > live.reserved_mb && live.progress_ms >= live.work_ms * MEMORY_PEAK;
            let outcome = if live.fails_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                let kind = self.world.jobs[job].fails.unwrap_or(FailureKind::TaskError);
                AttemptOutcome::Failed { kind }
            } else if over {
                AttemptOutcome::Failed { kind: FailureKind::MemoryOverrun }
            } else if live.progress_ms >= live.work_ms - 0.5 {
                AttemptOutcome::Done
            } else {
                continue;
            };
            if outcome != AttemptOutcome::Done {
                self.out.wasted_ms += (live.progress_ms - live.saved_ms).max(0.0) * live.cpus;
            }
            ended.push((live.task.clone(), live.attempt));
            let (task, attempt) = (live.task.clone(), live.attempt);
            ends.push(CellDelta::End { task, attempt, outcome });
        }
        let is_over = |live: &Live| {
            ended.iter().any(|(task, attempt)| *task == live.task && *attempt == live.attempt)
        };
        self.workers[worker].live.retain(|live| !is_over(live));
    }
}

fn usage(live: &Live) -> TaskUsage {
    let cpus = live.cpus * f64::from(live.percent) / 100.0;
    let reached = (live.progress_ms / (live.work_ms * MEMORY_PEAK)).min(1.0);
    TaskUsage {
        task: live.task.clone(),
        attempt: live.attempt,
        cpu_milli: (cpus * 1_000.0) as u64,
        memory_mb: (live.memory_mb as f64 * reached) as u64,
        progress_ms: live.progress_ms as u64,
    }
}
