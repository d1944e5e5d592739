//! The ledger: jobs, workers and what is charged where.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use super::advice::{Advice, AdviceQuestion};
use super::capacity_index::CapacityIndex;
use super::colocation::{PairCounts, Pressure};
use super::effort::{Effort, EffortCounter};
use super::images::Images;
use super::job::{Job, JobId, JobPhase, JobSpec, QueueTerms, TaskRef, TaskState};
use super::orders::{Order, OrderKind};
use super::preempt::Preemption;
use super::worker::{Worker, WorkerIndex, WorkerStanding};
use super::zones::ClosedZones;
use super::{FleetBounds, US_PER_MS};

/// Lease that each poll and start asks for. Long enough that a successor, who needs about three
/// seconds to take over, renews in time; short, because the tasks of a worker that went silent are
/// started elsewhere only after it.
pub const LEASE_MS: u64 = 5_000;

/// Added to a lease before what it covered counts as ended: two percent for a worker's slow clock
/// and the time that a call may be under way.
pub const LEASE_SLACK_MS: u64 = 300;

/// Waiting tasks of one step of one occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct TaskGroup {
    pub job: u32,
    pub occurrence: u32,
    pub step: u32,
}

/// What happened since the start, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Tasks given to a worker.
    pub chosen: u64,
    /// Runs that ended as done.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs lost with their worker.
    pub lost: u64,
    /// Runs stopped by this program's own decision.
    pub stopped: u64,
    /// Lasting tasks stopped to make room for urgent steps.
    pub preempted: u64,
    /// Changes of a task's share of processor time.
    pub paced: u64,
    /// Orders that a worker rejected for want of room.
    pub no_room: u64,
    /// Workers closed for failing what they start.
    pub quarantines: u64,
    /// Times that a worker was closed for being slow.
    pub slow_workers: u64,
    /// Tasks given up after repeated worker crashes.
    pub given_up: u64,
}

/// The ledger of one fleet.
#[derive(Debug)]
pub struct Fleet {
    pub(super) bounds: FleetBounds,
    /// Jobs by slot; a slot stays empty once its job is retired.
    pub(super) jobs: Vec<Option<Box<Job>>>,
    pub(super) by_id: HashMap<JobId, u32>,
    pub(super) workers: Vec<Worker>,
    pub(super) worker_by_id: HashMap<String, WorkerIndex>,
    /// The newest worker at each address.
    pub(super) worker_by_address: HashMap<String, WorkerIndex>,
    pub(super) queues: HashMap<String, QueueTerms>,
    pub(super) closed_zones: ClosedZones,
    /// The time of day less the time of this ledger.
    pub(super) wall_offset_ms: i64,
    pub(super) waiting: BTreeSet<TaskGroup>,
    pub(super) due: BTreeMap<u64, Vec<(u32, u32)>>,
    /// Jobs whose record is to be written, and since when.
    pub(super) dirty: BTreeMap<u32, u64>,
    /// Those among them that something waits for.
    pub(super) urgent: BTreeSet<u32>,
    pub(super) orders: Vec<Order>,
    /// Tasks that are starting: see [`super::Task::is_starting`].
    pub(super) starting: u32,
    /// Workers whose incarnation has ended and whose lines are still open.
    pub(super) gone: Vec<WorkerIndex>,
    /// Times of the last answers of workers that recently went silent.
    pub(super) lost_contacts_us: VecDeque<u64>,
    /// Workers that may forget more ends than the lines were told.
    pub(super) acked: Vec<WorkerIndex>,
    pub(super) ended_jobs: Vec<(u64, u32)>,
    /// Phase of each job that was retired, or had ended when this ledger was built, and since when.
    pub(super) ended_before: HashMap<JobId, (JobPhase, u64)>,
    pub(super) cancelled_early: HashSet<JobId>,
    pub(super) images: Images,
    pub(super) pressure: Pressure,
    pub(super) pairs: PairCounts,
    pub(super) capacity_index: CapacityIndex,
    pub(super) preemption: Preemption,
    pub(super) advice: HashMap<TaskGroup, Advice>,
    pub(super) questions: Vec<AdviceQuestion>,
    pub(super) mean_work: HashMap<String, f64>,
    pub(super) counts: Counts,
    pub(super) effort: EffortCounter,
}

impl Fleet {
    /// An empty ledger.
    pub fn new(bounds: FleetBounds) -> Self {
        Self {
            bounds,
            jobs: Vec::new(),
            by_id: HashMap::new(),
            workers: Vec::new(),
            worker_by_id: HashMap::new(),
            worker_by_address: HashMap::new(),
            queues: HashMap::new(),
            closed_zones: ClosedZones::new(),
            wall_offset_ms: 0,
            waiting: BTreeSet::new(),
            due: BTreeMap::new(),
            dirty: BTreeMap::new(),
            urgent: BTreeSet::new(),
            orders: Vec::new(),
            starting: 0,
            lost_contacts_us: VecDeque::new(),
            acked: Vec::new(),
            gone: Vec::new(),
            ended_jobs: Vec::new(),
            ended_before: HashMap::new(),
            cancelled_early: HashSet::new(),
            images: Images::default(),
            pressure: Pressure::default(),
            pairs: PairCounts::default(),
            capacity_index: CapacityIndex::default(),
            preemption: Preemption::default(),
            advice: HashMap::new(),
            questions: Vec::new(),
            mean_work: HashMap::new(),
            counts: Counts::default(),
            effort: EffortCounter::default(),
        }
    }

    /// What happened since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What the decisions since the start have cost.
    pub fn effort(&self) -> Effort {
        self.effort.get()
    }

    /// Lease that is asked of workers.
    pub fn lease_ms(&self) -> u64 {
        LEASE_MS.min(self.bounds.lease_max_ms)
    }

    /// The terms of each queue in the configuration in force.
    pub fn set_queues(&mut self, queues: HashMap<String, QueueTerms>) {
        self.queues = queues;
    }

    /// The terms by which a job is treated now.
    pub(super) fn terms<'a>(&'a self, job: &'a Job) -> &'a QueueTerms {
        self.queues.get(&job.spec.queue).unwrap_or(&job.spec.terms)
    }

    /// Takes in a job that is stored; a job that is known already is left as it is. It is as old as the
    /// time of day at its acceptance says: it may be heard of late.
    pub fn accept(&mut self, spec: JobSpec, now_us: u64) {
        if self.by_id.contains_key(&spec.id) || self.ended_before.contains_key(&spec.id) {
            return;
        }
        let was_cancelled = self.cancelled_early.remove(&spec.id);
        let mut job = Job::new(spec, now_us);
        job.accepted_us = self.moment_us(job.spec.accepted_at_ms, now_us);
        let slot = self.insert(job);
        self.open_rounds(slot, now_us);
        if was_cancelled {
            self.finish(slot, JobPhase::Cancelled, now_us);
        }
    }

    pub(super) fn insert(&mut self, mut job: Job) -> u32 {
        job.images = job.spec.steps.iter().map(|step| self.images.number(&step.image)).collect();
        let slot = self.jobs.len() as u32;
        self.by_id.insert(job.spec.id.clone(), slot);
        self.jobs.push(Some(Box::new(job)));
        self.note_work(slot);
        slot
    }

    /// Lets the first steps of a job wait for workers, or for their due time.
    pub(super) fn open_rounds(&mut self, slot: u32, now_us: u64) {
        let Some(job) = self.job(slot) else { return };
        let dues: Vec<u64> =
            (0..job.spec.rounds()).map(|occurrence| job.spec.due_ms(occurrence)).collect();
        for (occurrence, due_ms) in dues.into_iter().enumerate() {
            if due_ms == 0 {
                self.open_round(slot, occurrence as u32, now_us);
            } else {
                self.due.entry(due_ms).or_default().push((slot, occurrence as u32));
            }
        }
    }

    /// Lets all steps of an occurrence wait whose turn has come.
    pub(super) fn open_round(&mut self, slot: u32, occurrence: u32, now_us: u64) {
        let steps = self.job(slot).map_or(0, |job| job.spec.steps.len());
        (0..steps as u32).for_each(|step| self.open_step(slot, occurrence, step, now_us));
    }

    fn open_step(&mut self, slot: u32, occurrence: u32, step: u32, now_us: u64) {
        let Some(job) = self.jobs.get_mut(slot as usize).and_then(Option::as_mut) else { return };
        if job.phase != JobPhase::Active || !job.is_unblocked(occurrence, step) {
            return;
        }
        let mut is_waiting = false;
        for task in job.tasks_of(occurrence, step) {
            let task = &mut job.tasks[task as usize];
            if task.state == TaskState::Blocked {
                task.state = TaskState::Waiting;
                task.since_us = now_us;
                task.idle_since_us = now_us;
                is_waiting = true;
            }
        }
        if is_waiting {
            job.runnable_us = now_us;
            self.waiting.insert(TaskGroup { job: slot, occurrence, step });
        }
    }

    /// Opens the occurrences whose time has come; `now_ms` is the wall clock.
    pub fn open_due(&mut self, now_ms: u64, now_us: u64) {
        while let Some(entry) = self.due.first_entry() {
            if *entry.key() > now_ms {
                break;
            }
            for (slot, occurrence) in entry.remove() {
                self.open_round(slot, occurrence, now_us);
            }
        }
    }

    /// Takes in that the caller has cancelled a job.
    ///
    /// Guards against a cancel that is heard of before its job, as when both are read back after a
    /// gap in the store's history, cancels first: the job would start after it was cancelled.
    pub fn cancel(&mut self, id: &str, now_us: u64) {
        if self.ended_before.contains_key(id) {
            return;
        }
        let Some(slot) = self.by_id.get(id).copied() else {
            self.cancelled_early.insert(id.to_owned());
            return;
        };
        self.finish(slot, JobPhase::Cancelled, now_us);
    }

    /// Puts a job into a final phase and stops what runs of it.
    pub(super) fn finish(&mut self, slot: u32, phase: JobPhase, now_us: u64) {
        let Some(job) = self.jobs[slot as usize].as_mut() else { return };
        if job.phase != JobPhase::Active {
            return;
        }
        job.phase = phase;
        job.ended_us = now_us;
        self.ended_jobs.push((now_us, slot));
        let tasks = job.tasks.len() as u32;
        let id = job.spec.id.clone();
        self.mark_urgent(slot, now_us);
        self.waiting.retain(|group| group.job != slot);
        self.advice.retain(|group, _| group.job != slot);
        for task in 0..tasks {
            let at = TaskRef { job: slot, task };
            match self.task_state(at) {
                TaskState::Chosen(_) => self.release(at, TaskState::Blocked, now_us),
                TaskState::Ordered(_) | TaskState::Running(_) => self.stop(at, now_us),
                TaskState::Waiting => self.set_state(at, TaskState::Blocked, now_us),
                _ => {}
            }
        }
        log::info!(event = "job_ended", job = id.as_str(), phase:? = phase; "");
    }

    /// The job in a slot.
    pub(super) fn job(&self, slot: u32) -> Option<&Job> {
        self.jobs.get(slot as usize).and_then(Option::as_deref)
    }

    pub(super) fn job_mut(&mut self, slot: u32) -> Option<&mut Job> {
        self.jobs.get_mut(slot as usize).and_then(Option::as_deref_mut)
    }

    pub(super) fn task_state(&self, at: TaskRef) -> TaskState {
        self.job(at.job).map_or(TaskState::Blocked, |job| job.tasks[at.task as usize].state)
    }

    pub(super) fn set_state(&mut self, at: TaskRef, state: TaskState, now_us: u64) {
        if let Some(job) = self.jobs[at.job as usize].as_mut() {
            let task = &mut job.tasks[at.task as usize];
            task.state = state;
            task.since_us = now_us;
            if matches!(state, TaskState::Stopping(_)) {
                self.starting -= u32::from(std::mem::take(&mut task.is_starting));
            }
        }
    }

    /// Charges a worker for a task.
    pub(super) fn allocate(&mut self, at: TaskRef, worker: WorkerIndex, state: TaskState) {
        let Some(job) = self.jobs[at.job as usize].as_mut() else { return };
        let step = job.step(at.task);
        let (need, fills, lasts) = (step.allocation(), step.fills, step.is_lasting);
        let cpu = step.need.cpu_milli;
        let serves = step.target_ms > 0;
        let image = job.image(at.task);
        let task = &mut job.tasks[at.task as usize];
        task.state = state;
        self.starting += u32::from(!std::mem::replace(&mut task.is_starting, true));
        task.is_past_probation = false;
        let is_isolated = task.is_isolated();
        let index = worker;
        let worker = &mut self.workers[worker as usize];
        worker.isolated_tasks += u32::from(is_isolated);
        if serves && worker.serving.add(image) {
            self.pairs.serving_came(image, &worker.filling);
        } else if fills && !serves && worker.filling.add(image) {
            self.pairs.filling_came(image, &worker.serving);
        }
        worker.used = worker.used.plus(&need);
        worker.best_effort_cpu_milli += if fills { cpu } else { 0 };
        worker.lasting += u32::from(lasts);
        worker.long_running_cpu_milli += if lasts { cpu } else { 0 };
        worker.tasks.push(at);
        self.capacity_index.update(index, worker);
    }

    /// Frees what a task was charged and gives it another state.
    pub(super) fn release(&mut self, at: TaskRef, state: TaskState, now_us: u64) {
        let Some(job) = self.jobs[at.job as usize].as_mut() else { return };
        let before = job.tasks[at.task as usize].state;
        let was_isolated = job.tasks[at.task as usize].is_isolated();
        let (occurrence, step_index, _) = job.locate(at.task);
        let step = &job.spec.steps[step_index as usize];
        self.preemption.freeing.remove(&at);
        if let Some(index) = before.worker() {
            let worker = &mut self.workers[index as usize];
            worker.used = worker.used.minus(&step.allocation());
            let image = job.images[step_index as usize];
            let serves = step.target_ms > 0;
            if serves && worker.serving.remove(image) {
                self.pairs.serving_left(image, &worker.filling);
            } else if step.fills && !serves && worker.filling.remove(image) {
                self.pairs.filling_left(image, &worker.serving);
            }
            if step.fills {
                worker.best_effort_cpu_milli =
                    worker.best_effort_cpu_milli.saturating_sub(step.need.cpu_milli);
            }
            if step.is_lasting {
                worker.lasting = worker.lasting.saturating_sub(1);
                worker.long_running_cpu_milli =
                    worker.long_running_cpu_milli.saturating_sub(step.need.cpu_milli);
            }
            worker.tasks.retain(|other| *other != at);
            worker.isolated_tasks = worker.isolated_tasks.saturating_sub(u32::from(was_isolated));
            self.capacity_index.update(index, worker);
        }
        let is_active = job.phase == JobPhase::Active;
        let state =
            if state == TaskState::Waiting && !is_active { TaskState::Blocked } else { state };
        let task = &mut job.tasks[at.task as usize];
        task.state = state;
        task.since_us = now_us;
        self.starting -= u32::from(std::mem::take(&mut task.is_starting));
        if task.idle_since_us == 0 {
            task.idle_since_us = now_us;
        } else if before.worker().is_some() {
            task.failed_starts += 1;
        }
        task.unanswered = 0;
        task.answered_us = 0;
        task.pace_percent = 100;
        task.slowed_us = 0;
        if state == TaskState::Waiting {
            self.waiting.insert(TaskGroup { job: at.job, occurrence, step: step_index });
        }
    }

    /// Brings the order of the workers up to date after a change of one.
    pub(super) fn worker_changed(&mut self, index: WorkerIndex) {
        self.capacity_index.update(index, &self.workers[index as usize]);
    }

    /// Orders a stop; the charge stays until the worker lists the end.
    pub(super) fn stop(&mut self, at: TaskRef, now_us: u64) {
        let Some(worker) = self.task_state(at).worker() else { return };
        self.set_state(at, TaskState::Stopping(worker), now_us);
        if let Some(job) = self.jobs[at.job as usize].as_mut() {
            job.tasks[at.task as usize].answered_us = 0;
        }
        self.counts.stopped += 1;
        self.push_order(at, worker, OrderKind::Stop, now_us);
    }

    pub(super) fn push_order(
        &mut self,
        at: TaskRef,
        worker: WorkerIndex,
        kind: OrderKind,
        now_us: u64,
    ) {
        let Some(job) = self.job(at.job) else { return };
        let run = job.tasks[at.task as usize].run;
        let order = Order { worker, at, task: job.key(at.task), run, kind, decided_us: now_us };
        self.orders.push(order);
    }

    /// Orders that may go out now. A start that was to be repeated is left out if its run was stopped
    /// meanwhile: its job may have been cancelled.
    pub fn take_orders(&mut self) -> Vec<Order> {
        let orders = std::mem::take(&mut self.orders);
        orders.into_iter().filter(|order| !self.is_overtaken(order)).collect()
    }

    fn is_overtaken(&self, order: &Order) -> bool {
        if !matches!(order.kind, OrderKind::Start { .. }) {
            return false;
        }
        self.job(order.at.job).is_none_or(|job| {
            let task = &job.tasks[order.at.task as usize];
            task.run != order.run || task.state != TaskState::Ordered(order.worker)
        })
    }

    pub(super) fn lease_us(&self) -> u64 {
        (self.lease_ms() * 102 / 100 + LEASE_SLACK_MS) * US_PER_MS
    }

    /// Phase and whether any task has started, as stored; `None` if the job is not known here.
    pub fn state_of(&self, id: &str) -> Option<(JobPhase, bool)> {
        if let Some((phase, _)) = self.ended_before.get(id) {
            return Some((*phase, true));
        }
        let job = self.by_id.get(id).and_then(|slot| self.job(*slot))?;
        Some((job.committed_phase, job.is_started))
    }

    /// Active jobs of a queue of which no run is known to have begun.
    pub fn pending(&self, queue: &str) -> usize {
        self.jobs
            .iter()
            .flatten()
            .filter(|job| job.spec.queue == queue)
            .filter(|job| job.phase == JobPhase::Active && !job.is_started)
            .count()
    }

    /// A worker of the ledger.
    pub fn worker(&self, worker: WorkerIndex) -> &Worker {
        &self.workers[worker as usize]
    }

    /// All workers whose incarnation is not over.
    pub fn live_workers(&self) -> impl Iterator<Item = (WorkerIndex, &Worker)> {
        self.workers
            .iter()
            .enumerate()
            .filter(|(_, worker)| worker.standing != WorkerStanding::Gone)
            .map(|(index, worker)| (index as WorkerIndex, worker))
    }

    /// Tasks for which a worker was chosen and that are not known to run yet.
    pub fn starting(&self) -> u32 {
        self.starting
    }

    /// Tasks that wait for a worker.
    pub fn waiting_groups(&self) -> usize {
        self.waiting.len()
    }
}
