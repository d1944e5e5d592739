//! Discrete-event simulation of one scheduler on a modelled cluster.
//!
//! The clock advances from event to event; running tasks advance in steps of half a second. The
//! scheduler sees the ground truth only through late, noisy reports and the ends of attempts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use agatesill_policy::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::cluster_model::{ClusterModel, ScheduledEvent};
use super::outcome::{Loss, SimOutcome};
use super::scheduler::{Scheduler, SchedulerKind};

/// Time between two planning rounds; each round makes one commit.
const PLAN_INTERVAL_MS: u64 = 200;

/// Time between two progress updates of the running tasks.
const STEP_INTERVAL_MS: u64 = 500;

/// Steps between two usage reports of a worker.
const STEPS_PER_REPORT: u64 = 2;

/// Delay from a committed start until the task runs, and from a stop until its confirmation.
const START_DELAY_MS: u64 = 300;
const STOP_DELAY_MS: u64 = 700;

/// Work between two checkpoints that a task takes on its own.
const CHECKPOINT_INTERVAL_MS: f64 = 30_000.0;

/// Run time after which an attempt on a faulty worker or of a failing job fails.
const FAILURE_DELAY_MS: u64 = 1_000;

/// Time until the loss of a worker is detected, and until its attempts' leases expire.
const LOSS_DETECTION_MS: u64 = 3_000;
const LEASE_DURATION_MS: u64 = 10_000;

/// Fraction of its work at which a task reaches its peak memory.
const MEMORY_PEAK_PROGRESS: f64 = 0.3;

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Plan,
    Step,
    Report(WorkerId, Box<UsageReport>),
    Stopped(WorkerId, TaskId, Attempt, bool),
    LeaseEnd(TaskId, Attempt),
    LossDetected(WorkerId),
    Scheduled(usize),
}

/// A live attempt with its actual resource use and run time.
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
    is_lost: bool,
}

/// View of the ground truth for the oracle scheduler.
pub struct GroundTruth<'a> {
    model: &'a ClusterModel,
    workers: &'a [SimWorker],
    jobs_by_id: &'a BTreeMap<String, usize>,
    now_ms: u64,
}

impl GroundTruth<'_> {
    /// Logarithm of the highest ratio of tail latency to objective on a worker if the `added`
    /// tasks, given as class and processors, ran next to its live ones.
    pub fn worst_tail_ratio_ln(&self, worker: WorkerId, added: &[(usize, f64)]) -> f64 {
        let mut cpus = class_cpus(self.model, &self.workers[worker as usize]);
        for (class, more) in added {
            cpus[*class] += more;
        }
        let services = self.model.services_on(worker);
        services
            .map(|service| {
                let load = self.model.load(service, worker, self.now_ms);
                self.model.tail_ratio_ln(service, load, &cpus)
            })
            .fold(-9.0, f64::max)
    }

    /// Class and actual processor use of a task.
    pub fn class_use(&self, task: &str) -> (usize, f64) {
        let job = task.rsplit_once('/').and_then(|(job, _)| self.jobs_by_id.get(job));
        job.map_or((0, 0.0), |job| {
            let truth = &self.model.jobs[*job];
            let ratio = self.model.classes[truth.class].cpu_ratio;
            (truth.class, truth.spec.need.cpu_milli as f64 / 1_000.0 * ratio)
        })
    }

    /// Whether the task is a batch task.
    pub fn is_batch(&self, task: &str) -> bool {
        !task.starts_with("service-")
    }

    /// Increase of [`GroundTruth::worst_tail_ratio_ln`] that a live task causes on its worker.
    pub fn contribution(&self, worker: WorkerId, task: &str) -> f64 {
        let live = self.workers[worker as usize].live.iter().find(|live| live.task == task);
        let Some(live) = live else { return 0.0 };
        let services = self.model.services_on(worker);
        services
            .map(|service| {
                let load = self.model.load(service, worker, self.now_ms);
                self.model.services[service].slowdown[live.class] * live.cpus * (0.3 + 0.7 * load)
            })
            .fold(0.0, f64::max)
    }
}

fn class_cpus(model: &ClusterModel, worker: &SimWorker) -> Vec<f64> {
    let mut cpus = vec![0.0; model.classes.len()];
    for live in worker.live.iter().filter(|live| live.job.is_some()) {
        cpus[live.class] += live.cpus * f64::from(live.percent) / 100.0;
    }
    cpus
}

/// State of one simulation run.
pub struct Sim<'a> {
    model: &'a ClusterModel,
    cell: Cell,
    pending: Vec<CellDelta>,
    scheduler: Scheduler,
    workers: Vec<SimWorker>,
    jobs_by_id: BTreeMap<String, usize>,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    queued_events: Vec<Option<Event>>,
    sequence: u64,
    now_ms: u64,
    steps: u64,
    rng: Pcg64Mcg,
    open_jobs: usize,
    out: SimOutcome,
}

/// Simulates one scheduler on a modelled cluster.
pub fn simulate(model: &ClusterModel, kind: SchedulerKind) -> SimOutcome {
    let cell = Cell::new(&model.specs());
    let scheduler = Scheduler::new(kind, &model.doc, &cell);
    let ids = model.jobs.iter().enumerate().map(|(index, job)| (job.spec.id.clone(), index));
    let mut sim = Sim {
        model,
        cell,
        pending: Vec::new(),
        scheduler,
        workers: vec![SimWorker::default(); model.cluster.workers as usize],
        jobs_by_id: ids.collect(),
        events: BinaryHeap::new(),
        queued_events: Vec::new(),
        sequence: 0,
        now_ms: 0,
        steps: 0,
        rng: Pcg64Mcg::seed_from_u64(model.seed ^ 0x5eed),
        open_jobs: model.jobs.len(),
        out: SimOutcome::new(model),
    };
    sim.place_services();
    for (index, job) in model.jobs.iter().enumerate() {
        sim.push(job.arrive_ms, Event::Arrive(index));
    }
    for (index, (at_ms, _)) in model.scheduled_events.iter().enumerate() {
        sim.push(*at_ms, Event::Scheduled(index));
    }
    sim.push(0, Event::Plan);
    sim.push(STEP_INTERVAL_MS, Event::Step);
    sim.run();
    sim.out
}

impl Sim<'_> {
    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.queued_events.push(Some(event));
        self.events.push(Reverse((at_ms, self.sequence, self.queued_events.len() - 1)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, _, body))) = self.events.pop() {
            if at_ms > self.model.horizon_ms || (self.model.until_idle && self.open_jobs == 0) {
                break;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.queued_events[body].take() {
                self.handle(event);
            }
        }
        self.out.finish(self.now_ms);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => {
                let spec = &self.model.jobs[job].spec;
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
            Event::Stopped(worker, task, attempt, checkpoint) => {
                self.stopped(worker, &task, attempt, checkpoint);
            }
            Event::LeaseEnd(task, attempt) => {
                let outcome = AttemptOutcome::LeaseEnded;
                self.pending.push(CellDelta::End { task, attempt, outcome });
            }
            Event::LossDetected(worker) => {
                let state = WorkerState::Lost;
                self.pending.push(CellDelta::SetWorkerState { worker, state });
            }
            Event::Scheduled(index) => self.apply_scheduled_event(index),
        }
    }

    /// Places the services on their workers, in the same way for every scheduler.
    fn place_services(&mut self) {
        if self.model.services.is_empty() {
            return;
        }
        let cpu_milli = self.model.cluster.service_cpus * 1_000;
        for worker in 0..self.model.cluster.workers {
            for (nth, service) in self.model.services_on(worker).enumerate() {
                let name = &self.model.services[service].name;
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

    /// One group commit: the deltas received since the previous one and the scheduler's plan.
    fn plan(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        let wrote = !pending.is_empty();
        self.commit(pending);
        let truth = GroundTruth {
            model: self.model,
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
        self.push(self.now_ms + PLAN_INTERVAL_MS, Event::Plan);
    }

    /// Applies committed deltas and executes their effects.
    fn commit(&mut self, deltas: Vec<CellDelta>) {
        for delta in deltas {
            self.out.record_delta(self.now_ms, &delta, &self.cell, &self.jobs_by_id);
            let effects = self.scheduler.apply(self.now_ms, &mut self.cell, &delta);
            for effect in effects {
                self.execute(effect);
            }
        }
    }

    fn execute(&mut self, effect: CellEffect) {
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
                self.push(self.now_ms + STOP_DELAY_MS, event);
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
        let starts_ms = self.now_ms + START_DELAY_MS;
        let (id, index) = task.rsplit_once('/').unwrap_or((&task, "0"));
        let index: usize = index.parse().unwrap_or_default();
        let job = self.jobs_by_id.get(id).copied();
        let truth = job.map(|job| &self.model.jobs[job]);
        let class = truth.map_or(0, |truth| truth.class);
        let ratio = |of: fn(&super::cluster_model::ClassTruth) -> f64| {
            truth.map_or(1.0, |truth| of(&self.model.classes[truth.class]))
        };
        let need = truth.map_or(*reserve, |truth| truth.spec.need);
        let job_fails = truth.and_then(|truth| truth.failure).is_some();
        let on_faulty_worker = self.model.faulty_workers.contains(&worker);
        if let Some(job) = job {
            self.out.record_start(starts_ms, job, index);
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
            fails_ms: (job.is_some() && (job_fails || on_faulty_worker))
                .then_some(starts_ms + FAILURE_DELAY_MS),
            stopping: false,
            task,
        });
    }

    fn remove(&mut self, worker: WorkerId, task: &str, attempt: Attempt) -> Option<Live> {
        let live = &mut self.workers[worker as usize].live;
        let position = live.iter().position(|live| live.task == task && live.attempt == attempt)?;
        Some(live.remove(position))
    }

    fn stopped(&mut self, worker: WorkerId, task: &str, attempt: Attempt, checkpoint: bool) {
        let Some(live) = self.remove(worker, task, attempt) else { return };
        let kept_ms = if checkpoint { live.progress_ms } else { live.saved_ms };
        self.out.wasted_ms += (live.progress_ms - kept_ms) * live.cpus;
        if checkpoint {
            self.out.wasted_ms += (START_DELAY_MS + STOP_DELAY_MS) as f64 * live.cpus;
        }
        let outcome = AttemptOutcome::Stopped { checkpoint_ms: kept_ms as u64 };
        self.pending.push(CellDelta::End { task: task.to_owned(), attempt, outcome });
    }

    fn apply_scheduled_event(&mut self, index: usize) {
        match &self.model.scheduled_events[index].1 {
            ScheduledEvent::Cancel(job) => {
                let job = self.model.jobs[*job].spec.id.clone();
                self.pending.push(CellDelta::Cancel { job });
            }
            ScheduledEvent::Lose(workers) => {
                for worker in workers {
                    let lost = &mut self.workers[*worker as usize];
                    lost.is_lost = true;
                    for live in std::mem::take(&mut lost.live) {
                        if let Some(job) = live.job {
                            let index = live.task.rsplit_once('/').and_then(|it| it.1.parse().ok());
                            let index = index.unwrap_or_default();
                            let at_ms = self.now_ms;
                            self.out.losses.push(Loss { job, index, at_ms, restarted_ms: None });
                        }
                        self.out.wasted_ms += (live.progress_ms - live.saved_ms) * live.cpus;
                        let event = Event::LeaseEnd(live.task, live.attempt);
                        self.push(self.now_ms + LEASE_DURATION_MS, event);
                    }
                    self.push(self.now_ms + LOSS_DETECTION_MS, Event::LossDetected(*worker));
                }
            }
            ScheduledEvent::Return(workers) => {
                let specs = self.model.specs();
                for worker in workers {
                    self.workers[*worker as usize].is_lost = false;
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
            if !self.workers[worker].is_lost {
                self.step_services(worker as WorkerId);
                self.advance(worker, &mut ends);
            }
        }
        self.out.running(self.now_ms, self.workers.iter().map(|worker| worker.live.len()).sum());
        self.pending.extend(ends);
        self.push(self.now_ms + STEP_INTERVAL_MS, Event::Step);
    }

    /// Counts the time over the latency objective and sends a usage report every
    /// `STEPS_PER_REPORT` steps.
    fn step_services(&mut self, id: WorkerId) {
        let worker = &self.workers[id as usize];
        let cpus = class_cpus(self.model, worker);
        let reports_usage = self.steps % STEPS_PER_REPORT == 0;
        let mut services = Vec::new();
        for service in self.model.services_on(id) {
            let load = self.model.load(service, id, self.now_ms);
            let tail_ratio_ln = self.model.tail_ratio_ln(service, load, &cpus);
            self.out.record_service_step(self.now_ms, STEP_INTERVAL_MS, tail_ratio_ln);
            if reports_usage {
                let noise = self.rng.random_range(-0.15..0.15);
                let cpu = load * self.model.cluster.service_cpus as f64 * 1_000.0;
                services.push(ServiceUsage {
                    service: self.model.services[service].name.clone(),
                    cpu_milli: cpu as u64,
                    pressure_percent: ((tail_ratio_ln + noise).exp() * 100.0) as u32,
                });
            }
        }
        if reports_usage {
            let tasks = worker.live.iter().filter(|live| live.job.is_some());
            let tasks = tasks.filter(|live| live.starts_ms <= self.now_ms).map(usage).collect();
            let measured_ms = self.now_ms;
            let report = Box::new(UsageReport { measured_ms, services, tasks });
            self.push(self.now_ms + self.model.report_delay_ms, Event::Report(id, report));
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
            let step_ms = STEP_INTERVAL_MS.min(now_ms - live.starts_ms) as f64;
            let step_ms = step_ms.min((live.work_ms - live.progress_ms).max(0.0));
            let done_ms = step_ms * f64::from(live.percent) / 100.0;
            live.progress_ms += done_ms;
            self.out.record_work(now_ms, job, done_ms * live.cpus);
            if live.progress_ms - live.saved_ms >= CHECKPOINT_INTERVAL_MS {
                live.saved_ms = live.progress_ms;
            }
            let over_memory = live.memory_mb > live.reserved_mb
                && live.progress_ms >= live.work_ms * MEMORY_PEAK_PROGRESS;
            let outcome = if live.fails_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                let kind = self.model.jobs[job].failure.unwrap_or(FailureKind::TaskError);
                AttemptOutcome::Failed { kind }
            } else if over_memory {
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
        let is_finished = |live: &Live| {
            ended.iter().any(|(task, attempt)| *task == live.task && *attempt == live.attempt)
        };
        self.workers[worker].live.retain(|live| !is_finished(live));
    }
}

fn usage(live: &Live) -> TaskUsage {
    let cpus = live.cpus * f64::from(live.percent) / 100.0;
    let reached = (live.progress_ms / (live.work_ms * MEMORY_PEAK_PROGRESS)).min(1.0);
    TaskUsage {
        task: live.task.clone(),
        attempt: live.attempt,
        cpu_milli: (cpus * 1_000.0) as u64,
        memory_mb: (live.memory_mb as f64 * reached) as u64,
        progress_ms: live.progress_ms as u64,
    }
}
