//! The ledger: jobs, workers and the resources allocated to tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use crate::admission::LoadControl;
use crate::advice::StepAdvice;

use super::advice::AdviceQuestion;
use super::call_queue::CallClass;
use super::capacity_index::CapacityIndex;
use super::colocation::{InterferenceModel, PairCounts};
use super::effort::{Effort, EffortCounter};
use super::images::Images;
use super::job::{Job, JobId, JobPhase, JobSpec, QueueTerms, TaskRef, TaskState};
use super::job_faults::JobOutcomes;
use super::lease_record::LeaseBook;
use super::load::ServiceMeters;
use super::orders::{Order, OrderKind};
use super::plan::UnplacedDemand;
use super::preempt::Preemption;
use super::run_end::EndCounts;
use super::serving_tails::ImageLevels;
use super::slow_evacuation::SlowEvacuation;
use super::start_waits::{StartWaitCounter, Urgency};
use super::worker::{Worker, WorkerAddresses, WorkerIndex, WorkerStanding};
use super::write_failures::StoreHealth;
use super::zones::ClosedZones;
use super::{FleetBounds, US_PER_MS};

/// Lease requested by each poll and start. A successor needs about three seconds to take over and
/// must renew it in time. It is short because the tasks of an unresponsive worker are restarted
/// elsewhere only after the lease expires.
pub const LEASE_MS: u64 = 5_000;

/// Added to a lease, on top of two percent for a slow worker clock, before the lease counts as
/// expired. Covers the time that a call may be in flight.
pub const LEASE_SLACK_MS: u64 = 300;

/// The waiting tasks of one step in one occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct TaskGroup {
    pub job: u32,
    pub occurrence: u32,
    pub step: u32,
}

/// Event counters since the start, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Starts ordered.
    pub chosen: u64,
    /// Runs that completed.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs lost with their worker.
    pub lost: u64,
    /// Runs stopped by a decision of the scheduler.
    pub stopped: u64,
    /// Long-running tasks preempted for urgent steps.
    pub preempted: u64,
    /// Long-running tasks stopped so that they leave a slow worker.
    pub evacuated: u64,
    /// Changes of a task's share of CPU time.
    pub paced: u64,
    /// Starts rejected by a worker for lack of capacity.
    pub no_room: u64,
    /// Quarantines of workers that fail the tasks they start.
    pub quarantines: u64,
    /// Times that a worker was closed to new tasks for being slow.
    pub slow_workers: u64,
    /// Tasks given up after repeated worker crashes.
    pub given_up: u64,
    /// Ended runs by what proved their ends.
    pub ends: EndCounts,
}

/// Jobs, workers and allocations of one fleet.
#[derive(Debug)]
pub struct Fleet {
    pub(super) bounds: FleetBounds,
    pub(super) load_control: LoadControl,
    /// Services for which load control is active.
    pub(super) controlled_services: HashSet<String>,
    /// What is learned of the load of these services.
    pub(super) load_meters: HashMap<String, ServiceMeters>,
    /// Jobs by slot. A slot becomes empty when its job is retired.
    pub(super) jobs: Vec<Option<Box<Job>>>,
    pub(super) by_id: HashMap<JobId, u32>,
    pub(super) workers: Vec<Worker>,
    pub(super) worker_by_id: HashMap<String, WorkerIndex>,
    /// Addresses that the previous planner knew.
    pub(super) previous_addresses: WorkerAddresses,
    /// Leases of earlier planners, and workers from which leases are withheld.
    pub(super) leases: LeaseBook,
    /// Worker that was listed last at each address.
    pub(super) worker_by_address: HashMap<String, WorkerIndex>,
    pub(super) queues: HashMap<String, QueueTerms>,
    pub(super) closed_zones: ClosedZones,
    /// Wall clock minus the clock of this ledger.
    pub(super) wall_offset_ms: i64,
    pub(super) waiting: BTreeSet<TaskGroup>,
    /// Demands that fitted no worker in the last planning round.
    pub(super) unplaced: Vec<UnplacedDemand>,
    pub(super) due: BTreeMap<u64, Vec<(u32, u32)>>,
    /// Jobs with changes that are not being written yet, and when the first of these was made.
    pub(super) dirty: BTreeMap<u32, u64>,
    /// Dirty jobs whose record something waits for, such as a start.
    pub(super) urgent: BTreeSet<u32>,
    pub(super) store_health: StoreHealth,
    pub(super) orders: Vec<Order>,
    /// Number of tasks with [`super::Task::is_starting`] set.
    pub(super) starting: u32,
    /// Terminated workers whose connections are still open.
    pub(super) terminated: Vec<WorkerIndex>,
    /// Workers that an entry of another incarnation contradicts.
    pub(super) unverified: Vec<WorkerIndex>,
    /// Workers added because they succeed a restarted incarnation.
    pub(super) succeeded: Vec<WorkerIndex>,
    /// Last answer times of workers that recently became unresponsive.
    pub(super) lost_contacts_us: VecDeque<u64>,
    /// Workers whose newest acknowledged end has not been passed to their connections yet.
    pub(super) acked: Vec<WorkerIndex>,
    pub(super) ended_jobs: Vec<(u64, u32)>,
    /// Final phase of each job that was retired, or had ended when this ledger was built, and since
    /// when.
    pub(super) retired: HashMap<JobId, (JobPhase, u64)>,
    /// Jobs whose stored specification can't be read, and whether they had started.
    pub(super) set_aside: HashMap<JobId, bool>,
    /// Cancelled jobs that are not known yet, and since when.
    pub(super) pending_cancels: HashMap<JobId, u64>,
    pub(super) images: Images,
    pub(super) interference: InterferenceModel,
    pub(super) pairs: PairCounts,
    pub(super) capacity_index: CapacityIndex,
    pub(super) preemption: Preemption,
    pub(super) slow_evacuation: SlowEvacuation,
    pub(super) image_levels: ImageLevels,
    /// Outcomes of jobs by which failed runs are attributed.
    pub(super) job_outcomes: JobOutcomes,
    /// When a worker was last distrusted, or failed a trial; 0 if none was.
    pub(super) distrusted_us: u64,
    pub(super) advice: HashMap<TaskGroup, StepAdvice>,
    pub(super) questions: Vec<AdviceQuestion>,
    pub(super) mean_work: HashMap<String, f64>,
    pub(super) counts: Counts,
    pub(super) effort: EffortCounter,
    pub(super) start_waits: StartWaitCounter,
}

impl Fleet {
    /// Creates an empty ledger.
    pub fn new(bounds: FleetBounds) -> Self {
        Self {
            bounds,
            load_control: LoadControl::default(),
            controlled_services: HashSet::new(),
            load_meters: HashMap::new(),
            jobs: Vec::new(),
            by_id: HashMap::new(),
            workers: Vec::new(),
            worker_by_id: HashMap::new(),
            previous_addresses: WorkerAddresses::new(),
            leases: LeaseBook::default(),
            worker_by_address: HashMap::new(),
            queues: HashMap::new(),
            closed_zones: ClosedZones::new(),
            wall_offset_ms: 0,
            waiting: BTreeSet::new(),
            unplaced: Vec::new(),
            due: BTreeMap::new(),
            dirty: BTreeMap::new(),
            urgent: BTreeSet::new(),
            store_health: StoreHealth::default(),
            orders: Vec::new(),
            starting: 0,
            lost_contacts_us: VecDeque::new(),
            acked: Vec::new(),
            terminated: Vec::new(),
            unverified: Vec::new(),
            succeeded: Vec::new(),
            ended_jobs: Vec::new(),
            retired: HashMap::new(),
            set_aside: HashMap::new(),
            pending_cancels: HashMap::new(),
            images: Images::default(),
            interference: InterferenceModel::default(),
            pairs: PairCounts::default(),
            capacity_index: CapacityIndex::default(),
            preemption: Preemption::default(),
            slow_evacuation: SlowEvacuation::default(),
            job_outcomes: JobOutcomes::default(),
            distrusted_us: 0,
            image_levels: ImageLevels::default(),
            advice: HashMap::new(),
            questions: Vec::new(),
            mean_work: HashMap::new(),
            counts: Counts::default(),
            effort: EffortCounter::default(),
            start_waits: StartWaitCounter::default(),
        }
    }

    /// Number of cancelled jobs that are not known yet.
    pub fn pending_cancels(&self) -> usize {
        self.pending_cancels.len()
    }

    /// Returns the event counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the work done by decisions since the start.
    pub fn effort(&self) -> Effort {
        self.effort.get()
    }

    /// Lease requested from workers, within the platform's limit.
    pub fn lease_ms(&self) -> u64 {
        LEASE_MS.min(self.bounds.lease_max_ms)
    }

    /// Sets the terms of each queue in the active configuration.
    pub fn set_queues(&mut self, queues: HashMap<String, QueueTerms>) {
        self.queues = queues;
        self.update_load_control();
    }

    /// Returns the terms that apply to a job: the active ones of its queue, or else those at
    /// acceptance.
    pub(super) fn terms<'a>(&'a self, job: &'a Job) -> &'a QueueTerms {
        self.queues.get(&job.spec.queue).unwrap_or(&job.spec.terms)
    }

    /// Adds a stored job; a known job is left unchanged. The age of the job is derived from the
    /// wall-clock time of its acceptance, because the ledger may receive it late.
    pub fn accept(&mut self, spec: JobSpec, now_us: u64) {
        let is_known = self.by_id.contains_key(&spec.id)
            || self.retired.contains_key(&spec.id)
            || self.set_aside.contains_key(&spec.id);
        if is_known {
            return;
        }
        let was_cancelled = self.pending_cancels.remove(&spec.id).is_some();
        let mut job = Job::new(spec, now_us);
        job.accepted_us = self.monotonic_us(job.spec.accepted_at_ms, now_us);
        let slot = self.insert(job);
        self.open_occurrences(slot, now_us);
        self.count_acceptance(slot, now_us);
        if was_cancelled {
            self.finish(slot, JobPhase::Cancelled, now_us);
        }
    }

    pub(super) fn insert(&mut self, mut job: Job) -> u32 {
        job.images = job.spec.steps.iter().map(|step| self.images.number(&step.image)).collect();
        let slot = self.jobs.len() as u32;
        self.by_id.insert(job.spec.id.clone(), slot);
        self.jobs.push(Some(Box::new(job)));
        self.update_mean_work(slot);
        slot
    }

    /// Opens the occurrences of a job without a due time and schedules the others.
    pub(super) fn open_occurrences(&mut self, slot: u32, now_us: u64) {
        let Some(job) = self.job(slot) else { return };
        let due_times: Vec<u64> =
            (0..job.spec.rounds()).map(|occurrence| job.spec.due_ms(occurrence)).collect();
        for (occurrence, due_ms) in due_times.into_iter().enumerate() {
            if due_ms == 0 {
                self.open_occurrence(slot, occurrence as u32, now_us);
            } else {
                self.due.entry(due_ms).or_default().push((slot, occurrence as u32));
            }
        }
    }

    /// Makes all runnable steps of an occurrence wait for workers.
    pub(super) fn open_occurrence(&mut self, slot: u32, occurrence: u32, now_us: u64) {
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

    /// Opens the occurrences that have become due; `now_ms` is the wall clock.
    pub fn open_due(&mut self, now_ms: u64, now_us: u64) {
        while let Some(entry) = self.due.first_entry() {
            if *entry.key() > now_ms {
                break;
            }
            for (slot, occurrence) in entry.remove() {
                self.open_occurrence(slot, occurrence, now_us);
            }
        }
    }

    /// Cancels a job.
    ///
    /// A cancel of an unknown job is remembered for as long as an ended job. After a gap in the store's
    /// history both keys are read again, cancels first, and the job would otherwise start after it was
    /// cancelled.
    pub fn cancel(&mut self, id: &str, now_us: u64) {
        if self.set_aside.remove(id).is_some() {
            self.retired.insert(id.to_owned(), (JobPhase::Cancelled, now_us));
        }
        if self.retired.contains_key(id) {
            return;
        }
        let Some(slot) = self.by_id.get(id).copied() else {
            self.pending_cancels.insert(id.to_owned(), now_us);
            return;
        };
        self.finish(slot, JobPhase::Cancelled, now_us);
    }

    /// Moves a job to a final phase and stops its runs.
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
            let task_ref = TaskRef { job: slot, task };
            match self.task_state(task_ref) {
                TaskState::Chosen(_) => {
                    self.withdraw_choice(task_ref, TaskState::Blocked, now_us);
                }
                TaskState::Ordered(_) | TaskState::Running(_) => self.stop(task_ref, now_us),
                TaskState::Waiting => self.set_state(task_ref, TaskState::Blocked, now_us),
                _ => {}
            }
        }
        log::info!(event = "job_ended", job = id.as_str(), phase:? = phase; "");
    }

    /// Returns the job in a slot, unless it was retired.
    pub(super) fn job(&self, slot: u32) -> Option<&Job> {
        self.jobs.get(slot as usize).and_then(Option::as_deref)
    }

    pub(super) fn job_mut(&mut self, slot: u32) -> Option<&mut Job> {
        self.jobs.get_mut(slot as usize).and_then(Option::as_deref_mut)
    }

    pub(super) fn task_state(&self, task_ref: TaskRef) -> TaskState {
        self.job(task_ref.job)
            .map_or(TaskState::Blocked, |job| job.tasks[task_ref.task as usize].state)
    }

    pub(super) fn set_state(&mut self, task_ref: TaskRef, state: TaskState, now_us: u64) {
        if let Some(job) = self.jobs[task_ref.job as usize].as_mut() {
            let task = &mut job.tasks[task_ref.task as usize];
            task.state = state;
            task.since_us = now_us;
            if matches!(state, TaskState::Stopping(_)) {
                self.starting -= u32::from(std::mem::take(&mut task.is_starting));
            }
        }
    }

    /// Allocates resources of a worker to a task.
    pub(super) fn allocate(&mut self, task_ref: TaskRef, worker: WorkerIndex, state: TaskState) {
        let is_urgent = self
            .job(task_ref.job)
            .is_some_and(|job| self.urgency(job, task_ref.task) == Urgency::Urgent);
        let Some(job) = self.jobs[task_ref.job as usize].as_mut() else { return };
        let step = job.step(task_ref.task);
        let (need, fills, is_long_running) = (step.allocation(), step.fills, step.is_lasting);
        let cpu = step.need.cpu_milli;
        let is_serving = step.target_ms > 0;
        let image = job.image(task_ref.task);
        let task = &mut job.tasks[task_ref.task as usize];
        task.state = state;
        self.starting += u32::from(!std::mem::replace(&mut task.is_starting, true));
        task.is_past_probation = false;
        let is_isolated = task.is_isolated();
        let index = worker;
        let worker = &mut self.workers[worker as usize];
        worker.isolated_tasks += u32::from(is_isolated);
        if is_serving && worker.serving.add(image) {
            self.pairs.serving_added(image, &worker.filling);
        } else if fills && !is_serving && worker.filling.add(image) {
            self.pairs.filling_added(image, &worker.serving);
        }
        worker.used = worker.used.plus(&need);
        worker.best_effort_cpu_milli += if fills { cpu } else { 0 };
        worker.lasting += u32::from(is_long_running);
        worker.urgent += u32::from(is_urgent);
        worker.long_running_cpu_milli += if is_long_running { cpu } else { 0 };
        worker.tasks.push(task_ref);
        self.capacity_index.update(index, worker);
    }

    /// Updates the capacity index after a change of a worker.
    pub(super) fn worker_changed(&mut self, index: WorkerIndex) {
        self.capacity_index.update(index, &self.workers[index as usize]);
    }

    /// Orders a stop. The resources stay allocated until the worker reports the end.
    pub(super) fn stop(&mut self, task_ref: TaskRef, now_us: u64) {
        let Some(worker) = self.task_state(task_ref).worker() else { return };
        self.set_state(task_ref, TaskState::Stopping(worker), now_us);
        if let Some(job) = self.jobs[task_ref.job as usize].as_mut() {
            job.tasks[task_ref.task as usize].answered_us = 0;
        }
        self.counts.stopped += 1;
        self.push_order(task_ref, worker, OrderKind::Stop, now_us);
    }

    pub(super) fn push_order(
        &mut self,
        task_ref: TaskRef,
        worker: WorkerIndex,
        kind: OrderKind,
        now_us: u64,
    ) {
        let Some(job) = self.job(task_ref.job) else { return };
        let run = job.tasks[task_ref.task as usize].run;
        let order = Order {
            worker,
            task_ref,
            task: job.key(task_ref.task),
            run,
            kind,
            decided_us: now_us,
            sent_us: 0,
        };
        self.orders.push(order);
    }

    /// Returns the orders that may be sent now.
    pub fn take_orders(&mut self) -> Vec<Order> {
        let orders = std::mem::take(&mut self.orders);
        orders.into_iter().filter(|order| self.may_send(order)).collect()
    }

    /// Whether an order that has waited may still be sent. A start may not if its run has been stopped,
    /// for example because the job was cancelled.
    pub fn may_send(&self, order: &Order) -> bool {
        if !matches!(order.kind, OrderKind::Start { .. }) {
            return true;
        }
        self.job(order.task_ref.job).is_some_and(|job| {
            let task = &job.tasks[order.task_ref.task as usize];
            task.run == order.run && task.state == TaskState::Ordered(order.worker)
        })
    }

    /// Class of the call that sends an order.
    pub fn call_class(&self, order: &Order) -> CallClass {
        let urgency = self
            .job(order.task_ref.job)
            .map_or(Urgency::Deferrable, |job| self.urgency(job, order.task_ref.task));
        CallClass::of_order(&order.kind, urgency)
    }

    /// Time after which a lease that was requested from a worker has ended.
    pub fn lease_us(&self) -> u64 {
        (self.lease_ms() * 102 / 100 + LEASE_SLACK_MS) * US_PER_MS
    }

    /// Returns the stored phase and whether any task has started; `None` if the job is unknown.
    pub fn state_of(&self, id: &str) -> Option<(JobPhase, bool)> {
        if let Some((phase, _)) = self.retired.get(id) {
            return Some((*phase, true));
        }
        if let Some(is_started) = self.set_aside.get(id) {
            return Some((JobPhase::Active, *is_started));
        }
        let job = self.by_id.get(id).and_then(|slot| self.job(*slot))?;
        Some((job.committed_phase, job.is_started))
    }

    /// Number of active jobs of a queue of which no run is known to have begun.
    pub fn pending(&self, queue: &str) -> usize {
        self.jobs
            .iter()
            .flatten()
            .filter(|job| job.spec.queue == queue)
            .filter(|job| job.phase == JobPhase::Active && !job.is_started)
            .count()
    }

    /// Returns the state of a worker.
    pub fn worker(&self, worker: WorkerIndex) -> &Worker {
        &self.workers[worker as usize]
    }

    /// Iterates over the workers that are not terminated.
    pub fn live_workers(&self) -> impl Iterator<Item = (WorkerIndex, &Worker)> {
        self.workers
            .iter()
            .enumerate()
            .filter(|(_, worker)| worker.standing != WorkerStanding::Gone)
            .map(|(index, worker)| (index as WorkerIndex, worker))
    }

    /// Number of tasks for which a worker was chosen and that are not known to run yet.
    pub fn starting(&self) -> u32 {
        self.starting
    }

    /// Number of groups with waiting tasks.
    pub fn waiting_groups(&self) -> usize {
        self.waiting.len()
    }
}
