//! State of the simulated workers: attempts, their progress under interference, and the audit log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_policy::batch::{ServiceUsage, TaskUsage};
use agatesill_policy::prelude::*;
use agatesill_wire::platform::{
    AttemptReport, AttemptState, CallValidity, WorkerCall, WorkerReply,
};
use agatesill_wire::prelude::*;

use super::audit::{AttemptRecord, WorkerAudit};
use super::{WorkerFaults, interference};

/// Attempt numbers from here on mark duplicate runs injected by a fault.
const DUPLICATE_ATTEMPT_BASE: Attempt = 1_000_000;

/// Time from a worker's crash to its restart.
const CRASH_DOWNTIME: Duration = Duration::from_millis(300);

/// Largest number of usage samples kept for each worker.
const MAX_SAMPLES: usize = 256;

#[derive(Clone, Debug)]
struct Running {
    need: Resources,
    class: String,
    run_ms: u64,
    checkpoint_ms: u64,
    progress_ms: f64,
    updated_at: Instant,
    lease_expires_at: Instant,
    state: AttemptState,
    percent: u32,
    rate: f64,
    detail: &'static str,
    settled: bool,
}

#[derive(Clone, Debug)]
struct Sample {
    sampled_at: Instant,
    services: Vec<ServiceUsage>,
    tasks: Vec<TaskUsage>,
}

#[derive(Debug)]
struct Worker {
    spec: Option<WorkerSpec>,
    epoch: u64,
    incarnation: u64,
    started_at: Instant,
    attempts: BTreeMap<(TaskId, Attempt), Running>,
    live: BTreeSet<(TaskId, Attempt)>,
    samples: Vec<Sample>,
    faults: WorkerFaults,
    down_until: Option<Instant>,
}

impl Default for Worker {
    fn default() -> Self {
        Self {
            spec: None,
            epoch: 0,
            incarnation: rand::random(),
            started_at: Instant::now(),
            attempts: BTreeMap::new(),
            live: BTreeSet::new(),
            samples: Vec::new(),
            faults: WorkerFaults::default(),
            down_until: None,
        }
    }
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn is_valid(&self, validity: &CallValidity) -> bool {
        validity.incarnation == self.incarnation && self.clock_ms() <= validity.until_ms
    }
}

/// Parameters of a start call.
struct Start {
    task: TaskId,
    attempt: Attempt,
    epoch: u64,
    need: Resources,
    class: String,
    run_ms: u64,
    checkpoint_ms: u64,
    lease_ms: u64,
}

/// State of all workers.
#[derive(Debug)]
pub(super) struct WorkerPool {
    started: Instant,
    workers: BTreeMap<WorkerId, Worker>,
    running_counts: BTreeMap<TaskId, u32>,
    acknowledged_tasks: BTreeSet<TaskId>,
    pub(super) audit: WorkerAudit,
}

impl WorkerPool {
    pub(super) fn new(specs: &[WorkerSpec]) -> Self {
        let worker = |spec: &WorkerSpec| Worker { spec: Some(spec.clone()), ..Worker::default() };
        Self {
            started: Instant::now(),
            workers: specs.iter().map(|spec| (spec.id, worker(spec))).collect(),
            running_counts: BTreeMap::new(),
            acknowledged_tasks: BTreeSet::new(),
            audit: WorkerAudit::default(),
        }
    }

    pub(super) fn set_faults(&mut self, worker: WorkerId, faults: WorkerFaults) {
        self.workers.entry(worker).or_default().faults = faults;
    }

    pub(super) fn faults(&self, worker: WorkerId) -> WorkerFaults {
        self.workers.get(&worker).map(|worker| worker.faults.clone()).unwrap_or_default()
    }

    pub(super) fn validity(&mut self, worker: WorkerId, for_ms: u64) -> CallValidity {
        let worker = self.workers.entry(worker).or_default();
        CallValidity { incarnation: worker.incarnation, until_ms: worker.clock_ms() + for_ms }
    }

    /// Whether a worker has crashed and not yet restarted.
    pub(super) fn is_down(&self, worker: WorkerId) -> bool {
        let until = self.workers.get(&worker).and_then(|worker| worker.down_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Crashes a worker: it loses all attempts and restarts after [`CRASH_DOWNTIME`].
    pub(super) fn crash(&mut self, id: WorkerId) {
        self.advance_worker(id);
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.down_until = Some(Instant::now() + CRASH_DOWNTIME);
        self.audit.crashes += 1;
        for key in std::mem::take(&mut worker.live) {
            if let Some(running_count) = self.running_counts.get_mut(&key.0) {
                *running_count -= 1;
            }
        }
        worker.attempts.clear();
        worker.samples.clear();
        worker.incarnation = rand::random();
        worker.started_at = Instant::now();
    }

    pub(super) fn uptime_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Advances every worker to the current time.
    pub(super) fn advance(&mut self) {
        let ids: Vec<WorkerId> = self.workers.keys().copied().collect();
        for id in ids {
            self.advance_worker(id);
        }
    }

    /// Serves a call. Refuses the call if the worker has observed a newer epoch.
    pub(super) fn handle_call(
        &mut self,
        id: WorkerId,
        call: WorkerCall,
    ) -> Result<WorkerReply, Error> {
        self.advance();
        self.fence(id, call_epoch(&call))?;
        let is_valid = self.check_validity(id, &call);
        match call {
            WorkerCall::Start { .. } if !is_valid => {}
            WorkerCall::Start {
                task,
                attempt,
                epoch,
                need,
                class,
                run_ms,
                checkpoint_ms,
                lease_ms,
                ..
            } => {
                let start =
                    Start { task, attempt, epoch, need, class, run_ms, checkpoint_ms, lease_ms };
                self.start(id, start);
            }
            WorkerCall::Renew { attempts, settled, lease_ms, .. } => {
                let renewed = if is_valid { attempts } else { Vec::new() };
                self.renew(id, renewed, settled, lease_ms);
            }
            WorkerCall::Stop { task, attempt, checkpoint, .. } => {
                self.stop(id, task, attempt, checkpoint);
            }
            WorkerCall::Throttle { task, attempt, percent, .. } => {
                if let Some(running) = self.attempt(id, &task, attempt) {
                    running.percent = percent;
                }
            }
        }
        self.refresh(id);
        Ok(self.report(id))
    }

    fn fence(&mut self, id: WorkerId, epoch: u64) -> Result<(), Error> {
        let worker = self.workers.entry(id).or_default();
        if epoch < worker.epoch {
            self.audit.fenced_calls += 1;
            let message = format!("worker {id}: stale epoch {epoch}, newest is {}", worker.epoch);
            return Err(Error::new(ErrorKind::Conflict, message));
        }
        if epoch > worker.epoch {
            worker.epoch = epoch;
            self.audit.epochs.entry(id).or_default().push(epoch);
        }
        Ok(())
    }

    /// Whether a call may start attempts or renew leases.
    fn check_validity(&mut self, id: WorkerId, call: &WorkerCall) -> bool {
        let (validity, has_effect) = match call {
            WorkerCall::Start { validity, .. } => (validity, true),
            WorkerCall::Renew { validity, attempts, .. } => (validity, !attempts.is_empty()),
            WorkerCall::Stop { .. } | WorkerCall::Throttle { .. } => return true,
        };
        let is_valid = self.workers.entry(id).or_default().is_valid(validity);
        self.audit.late_calls += u64::from(has_effect && !is_valid);
        is_valid
    }

    fn attempt(&mut self, id: WorkerId, task: &str, attempt: Attempt) -> Option<&mut Running> {
        self.workers.get_mut(&id)?.attempts.get_mut(&(task.to_owned(), attempt))
    }

    fn start(&mut self, id: WorkerId, start: Start) {
        let now = Instant::now();
        let worker = self.workers.entry(id).or_default();
        let key = (start.task.clone(), start.attempt);
        if let Some(existing) = worker.attempts.get(&key) {
            let stopped_before_start =
                existing.state == AttemptState::Stopped && existing.run_ms == 0;
            self.audit.refused_starts += u64::from(stopped_before_start);
            return;
        }
        let fails = worker.faults.fail_all || worker.faults.fail_classes.contains(&start.class);
        let overruns = worker.faults.overrun_classes.contains(&start.class);
        let running = Running {
            need: start.need,
            class: start.class.clone(),
            run_ms: start.run_ms,
            checkpoint_ms: start.checkpoint_ms,
            progress_ms: start.checkpoint_ms as f64,
            updated_at: now,
            lease_expires_at: now + Duration::from_millis(start.lease_ms),
            state: if fails || overruns { AttemptState::Failed } else { AttemptState::Running },
            percent: 100,
            rate: 1.0,
            detail: if overruns {
                "memory"
            } else if fails {
                "exit 1"
            } else {
                ""
            },
            settled: false,
        };
        let crashes = worker.faults.crash_classes.contains(&start.class);
        let duplicates = std::mem::take(&mut worker.faults.double_run);
        self.audit.starts += 1;
        self.audit.starts_after_success += u64::from(self.acknowledged_tasks.contains(&start.task));
        self.audit.failed += u64::from(fails || overruns);
        self.audit.resumed += u64::from(start.checkpoint_ms > 0);
        self.audit.attempts.entry(start.task.clone()).or_default().push(AttemptRecord {
            attempt: start.attempt,
            worker: id,
            epoch: start.epoch,
            from_checkpoint_ms: start.checkpoint_ms,
            started_ms: now.duration_since(self.started).as_millis() as u64,
            state: running.state,
            checkpoint_ms: 0,
            stopped_by_call: false,
        });
        if crashes {
            self.crash(id);
            return;
        }
        if duplicates {
            self.insert(id, (start.task, start.attempt + DUPLICATE_ATTEMPT_BASE), running.clone());
        }
        self.insert(id, key, running);
    }

    fn insert(&mut self, id: WorkerId, key: (TaskId, Attempt), running: Running) {
        let worker = self.workers.entry(id).or_default();
        if running.state == AttemptState::Running {
            worker.live.insert(key.clone());
            let running_count = self.running_counts.entry(key.0.clone()).or_default();
            *running_count += 1;
            self.audit.double_runs += u64::from(*running_count > 1);
        }
        worker.attempts.insert(key, running);
        let used = worker
            .live
            .iter()
            .filter_map(|key| worker.attempts.get(key))
            .fold(Resources::default(), |used, running| used.plus(&running.need));
        let exceeds_capacity = worker.spec.as_ref().is_some_and(|spec| !spec.capacity.holds(&used));
        self.audit.overcommitted += u64::from(exceeds_capacity);
    }

    fn renew(
        &mut self,
        id: WorkerId,
        attempts: Vec<(TaskId, Attempt)>,
        settled: Vec<(TaskId, Attempt)>,
        lease_ms: u64,
    ) {
        let expires_at = Instant::now() + Duration::from_millis(lease_ms);
        let worker = self.workers.entry(id).or_default();
        for key in attempts {
            if let Some(running) = worker.attempts.get_mut(&key) {
                running.lease_expires_at = expires_at;
            }
        }
        for key in settled {
            if let Some(ended) = worker.attempts.get_mut(&key) {
                ended.settled = ended.state != AttemptState::Running;
                if ended.state == AttemptState::Done {
                    self.acknowledged_tasks.insert(key.0);
                }
            }
        }
    }

    fn stop(&mut self, id: WorkerId, task: TaskId, attempt: Attempt, checkpoint: bool) {
        let now = Instant::now();
        let worker = self.workers.entry(id).or_default();
        let key = (task, attempt);
        let running = worker.attempts.entry(key.clone()).or_insert_with(|| tombstone(now));
        if running.state != AttemptState::Running {
            return;
        }
        if checkpoint {
            running.checkpoint_ms = running.progress_ms as u64;
        }
        self.audit.stopped += 1;
        self.end(id, &key, AttemptState::Stopped, true);
    }

    fn end(&mut self, id: WorkerId, key: &(TaskId, Attempt), state: AttemptState, by_call: bool) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let Some(running) = worker.attempts.get_mut(key) else { return };
        running.state = state;
        worker.live.remove(key);
        if let Some(running_count) = self.running_counts.get_mut(&key.0) {
            *running_count -= 1;
        }
        let entries = self.audit.attempts.get_mut(&key.0);
        let entry = entries
            .and_then(|entries| entries.iter_mut().rev().find(|entry| entry.attempt == key.1));
        if let Some(entry) = entry {
            entry.state = state;
            entry.checkpoint_ms = if by_call { running.checkpoint_ms } else { 0 };
            entry.stopped_by_call = by_call;
        }
    }

    /// Advances the attempts of a worker to the current time. Progress counts only until the lease
    /// expires: a worker that was not called for a long time must not finish work after that.
    fn advance_worker(&mut self, id: WorkerId) {
        let now = Instant::now();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let mut ended_attempts = Vec::new();
        for key in &worker.live {
            let Some(running) = worker.attempts.get_mut(key) else { continue };
            let progress_end = now.min(running.lease_expires_at).max(running.updated_at);
            let ran_ms = progress_end.duration_since(running.updated_at).as_secs_f64() * 1e3;
            running.progress_ms += ran_ms * running.rate;
            running.updated_at = progress_end;
            if running.progress_ms >= running.run_ms as f64 {
                ended_attempts.push((key.clone(), AttemptState::Done));
            } else if running.lease_expires_at <= now {
                ended_attempts.push((key.clone(), AttemptState::Stopped));
            }
        }
        let changed = !ended_attempts.is_empty();
        for (key, state) in ended_attempts {
            if state == AttemptState::Done {
                *self.audit.finished.entry(key.0.clone()).or_default() += 1;
            } else {
                self.audit.lapsed += 1;
            }
            self.end(id, &key, state, false);
        }
        if changed {
            self.refresh(id);
        }
    }

    /// Recomputes the rates of a worker's attempts and samples its usage.
    fn refresh(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let classes: Vec<(String, u32)> = worker
            .live
            .iter()
            .filter_map(|key| worker.attempts.get(key))
            .map(|running| (running.class.clone(), running.percent))
            .collect();
        let mut tasks = Vec::new();
        for (index, key) in worker.live.iter().enumerate() {
            let Some(running) = worker.attempts.get_mut(key) else { continue };
            running.rate = interference::rate(&classes, index);
            tasks.push(TaskUsage {
                task: key.0.clone(),
                attempt: key.1,
                cpu_milli: running.need.cpu_milli * u64::from(running.percent) / 100,
                memory_mb: running.need.memory_mb,
                progress_ms: running.progress_ms as u64,
            });
        }
        let service = ServiceUsage {
            service: "service".to_owned(),
            cpu_milli: worker.faults.service_cpu_milli,
            pressure_percent: interference::pressure(worker.faults.pressure_percent, &classes),
        };
        let services = if service.cpu_milli > 0 { vec![service] } else { Vec::new() };
        if worker.samples.len() >= MAX_SAMPLES {
            worker.samples.drain(..MAX_SAMPLES / 2);
        }
        worker.samples.push(Sample { sampled_at: Instant::now(), services, tasks });
    }

    fn report(&self, id: WorkerId) -> WorkerReply {
        let Some(worker) = self.workers.get(&id) else { return WorkerReply::default() };
        let attempts = worker
            .attempts
            .iter()
            .filter(|((_, attempt), running)| *attempt < DUPLICATE_ATTEMPT_BASE && !running.settled)
            .map(|((task, attempt), running)| AttemptReport {
                task: task.clone(),
                attempt: *attempt,
                state: running.state,
                checkpoint_ms: running.checkpoint_ms,
                detail: running.detail.to_owned(),
            })
            .collect();
        let lag = Duration::from_millis(worker.faults.usage_lag_ms);
        let now = Instant::now();
        let seen =
            worker.samples.iter().rev().find(|sample| now.duration_since(sample.sampled_at) >= lag);
        WorkerReply {
            attempts,
            incarnation: worker.incarnation,
            clock_ms: worker.clock_ms(),
            services: seen.map(|sample| sample.services.clone()).unwrap_or_default(),
            tasks: seen.map(|sample| sample.tasks.clone()).unwrap_or_default(),
            usage_age_ms: seen
                .map_or(0, |sample| now.duration_since(sample.sampled_at).as_millis() as u64),
        }
    }
}

fn call_epoch(call: &WorkerCall) -> u64 {
    match call {
        WorkerCall::Start { epoch, .. }
        | WorkerCall::Renew { epoch, .. }
        | WorkerCall::Stop { epoch, .. }
        | WorkerCall::Throttle { epoch, .. } => *epoch,
    }
}

/// Creates a record of a stop whose attempt has not started, so that a delayed start is refused.
fn tombstone(now: Instant) -> Running {
    Running {
        need: Resources::default(),
        class: String::new(),
        run_ms: 0,
        checkpoint_ms: 0,
        progress_ms: 0.0,
        updated_at: now,
        lease_expires_at: now,
        state: AttemptState::Stopped,
        percent: 100,
        rate: 0.0,
        detail: "",
        settled: false,
    }
}
