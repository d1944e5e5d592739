//! The attempts of all workers, their progress under hidden interference, and their books.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_policy::batch::{ServiceUsage, TaskUsage};
use agatesill_policy::prelude::*;
use agatesill_wire::platform::{AttemptReport, AttemptState, WorkerCall, WorkerReply};
use agatesill_wire::prelude::*;

use super::books::{AttemptBook, WorkerAudit};
use super::{WorkerFaults, interference};

/// Attempt numbers from here on belong to runs doubled on purpose.
const TWIN: Attempt = 1_000_000;

/// Time from a worker's crash to its restart.
const CRASH_DOWNTIME: Duration = Duration::from_millis(300);

/// Samples of usage kept for each worker.
const SAMPLES_KEPT: usize = 256;

#[derive(Clone, Debug)]
struct Running {
    need: Resources,
    class: String,
    run_ms: u64,
    checkpoint_ms: u64,
    progress_ms: f64,
    since: Instant,
    lease_ends: Instant,
    state: AttemptState,
    percent: u32,
    rate: f64,
    detail: &'static str,
    settled: bool,
}

#[derive(Clone, Debug)]
struct Sample {
    at: Instant,
    services: Vec<ServiceUsage>,
    tasks: Vec<TaskUsage>,
}

#[derive(Debug, Default)]
struct Worker {
    spec: Option<WorkerSpec>,
    epoch: u64,
    attempts: BTreeMap<(TaskId, Attempt), Running>,
    live: BTreeSet<(TaskId, Attempt)>,
    samples: Vec<Sample>,
    faults: WorkerFaults,
    down_until: Option<Instant>,
}

/// What an attempt is started with.
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

/// All workers.
#[derive(Debug)]
pub(super) struct Floor {
    started: Instant,
    workers: BTreeMap<WorkerId, Worker>,
    places: BTreeMap<TaskId, u32>,
    known_done: BTreeSet<TaskId>,
    pub(super) books: WorkerAudit,
}

impl Floor {
    pub(super) fn new(specs: &[WorkerSpec]) -> Self {
        let worker = |spec: &WorkerSpec| Worker { spec: Some(spec.clone()), ..Worker::default() };
        Self {
            started: Instant::now(),
            workers: specs.iter().map(|spec| (spec.id, worker(spec))).collect(),
            places: BTreeMap::new(),
            known_done: BTreeSet::new(),
            books: WorkerAudit::default(),
        }
    }

    pub(super) fn set_faults(&mut self, worker: WorkerId, faults: WorkerFaults) {
        self.workers.entry(worker).or_default().faults = faults;
    }

    pub(super) fn faults(&self, worker: WorkerId) -> WorkerFaults {
        self.workers.get(&worker).map(|worker| worker.faults.clone()).unwrap_or_default()
    }

    /// Whether a worker has crashed and not restarted yet.
    pub(super) fn is_down(&self, worker: WorkerId) -> bool {
        let until = self.workers.get(&worker).and_then(|worker| worker.down_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Crashes a worker: it loses all attempts and restarts after [`CRASH_DOWNTIME`].
    fn crash(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.down_until = Some(Instant::now() + CRASH_DOWNTIME);
        self.books.crashes += 1;
        for key in std::mem::take(&mut worker.live) {
            if let Some(places) = self.places.get_mut(&key.0) {
                *places -= 1;
            }
        }
        worker.attempts.clear();
        worker.samples.clear();
    }

    pub(super) fn age_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Brings every worker up to now.
    pub(super) fn advance(&mut self) {
        let ids: Vec<WorkerId> = self.workers.keys().copied().collect();
        for id in ids {
            self.advance_worker(id);
        }
    }

    /// Answers a call. A worker that has heard from a later owner refuses the earlier one.
    pub(super) fn answer(&mut self, id: WorkerId, call: WorkerCall) -> Result<WorkerReply, Error> {
        self.advance();
        self.fence(id, call_epoch(&call))?;
        match call {
            WorkerCall::Start {
                task,
                attempt,
                epoch,
                need,
                class,
                run_ms,
                checkpoint_ms,
                lease_ms,
            } => {
                let start =
                    Start { task, attempt, epoch, need, class, run_ms, checkpoint_ms, lease_ms };
                self.start(id, start);
            }
            WorkerCall::Renew { attempts, settled, lease_ms, .. } => {
                self.renew(id, attempts, settled, lease_ms);
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
            self.books.fenced_calls += 1;
            let what = format!("worker {id}: epoch {epoch}, newest {}", worker.epoch);
            return Err(Error::new(ErrorKind::Conflict, what));
        }
        if epoch > worker.epoch {
            worker.epoch = epoch;
            self.books.epochs.entry(id).or_default().push(epoch);
        }
        Ok(())
    }

    fn attempt(&mut self, id: WorkerId, task: &str, attempt: Attempt) -> Option<&mut Running> {
        self.workers.get_mut(&id)?.attempts.get_mut(&(task.to_owned(), attempt))
    }

    fn start(&mut self, id: WorkerId, start: Start) {
        let now = Instant::now();
        let worker = self.workers.entry(id).or_default();
        let key = (start.task.clone(), start.attempt);
        if let Some(known) = worker.attempts.get(&key) {
            let stopped_unseen = known.state == AttemptState::Stopped && known.run_ms == 0;
            self.books.refused_starts += u64::from(stopped_unseen);
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
            since: now,
            lease_ends: now + Duration::from_millis(start.lease_ms),
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
        let doubles = std::mem::take(&mut worker.faults.double_run);
        self.books.starts += 1;
        self.books.starts_after_success += u64::from(self.known_done.contains(&start.task));
        self.books.failed += u64::from(fails || overruns);
        self.books.resumed += u64::from(start.checkpoint_ms > 0);
        self.books.attempts.entry(start.task.clone()).or_default().push(AttemptBook {
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
        if doubles {
            self.insert(id, (start.task, start.attempt + TWIN), running.clone());
        }
        self.insert(id, key, running);
    }

    fn insert(&mut self, id: WorkerId, key: (TaskId, Attempt), running: Running) {
        let worker = self.workers.entry(id).or_default();
        if running.state == AttemptState::Running {
            worker.live.insert(key.clone());
            let places = self.places.entry(key.0.clone()).or_default();
            *places += 1;
            self.books.double_runs += u64::from(*places > 1);
        }
        worker.attempts.insert(key, running);
        let used = worker
            .live
            .iter()
            .filter_map(|key| worker.attempts.get(key))
            .fold(Resources::default(), |used, running| used.plus(&running.need));
        let beyond = worker.spec.as_ref().is_some_and(|spec| !spec.capacity.holds(&used));
        self.books.overcommitted += u64::from(beyond);
    }

    fn renew(
        &mut self,
        id: WorkerId,
        attempts: Vec<(TaskId, Attempt)>,
        settled: Vec<(TaskId, Attempt)>,
        lease_ms: u64,
    ) {
        let ends = Instant::now() + Duration::from_millis(lease_ms);
        let worker = self.workers.entry(id).or_default();
        for key in attempts {
            if let Some(running) = worker.attempts.get_mut(&key) {
                running.lease_ends = ends;
            }
        }
        for key in settled {
            if let Some(ended) = worker.attempts.get_mut(&key) {
                ended.settled = ended.state != AttemptState::Running;
                if ended.state == AttemptState::Done {
                    self.known_done.insert(key.0);
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
        self.books.stopped += 1;
        self.end(id, &key, AttemptState::Stopped, true);
    }

    fn end(&mut self, id: WorkerId, key: &(TaskId, Attempt), state: AttemptState, by_call: bool) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let Some(running) = worker.attempts.get_mut(key) else { return };
        running.state = state;
        worker.live.remove(key);
        if let Some(places) = self.places.get_mut(&key.0) {
            *places -= 1;
        }
        let entries = self.books.attempts.get_mut(&key.0);
        let entry = entries.and_then(|all| all.iter_mut().rev().find(|one| one.attempt == key.1));
        if let Some(entry) = entry {
            entry.state = state;
            entry.checkpoint_ms = if by_call { running.checkpoint_ms } else { 0 };
            entry.stopped_by_call = by_call;
        }
    }

    /// Progress counts to the end of the lease at most: a worker that nobody called for long must
    /// not finish work on which its lease had ended before.
    fn advance_worker(&mut self, id: WorkerId) {
        let now = Instant::now();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let mut over = Vec::new();
        for key in &worker.live {
            let Some(running) = worker.attempts.get_mut(key) else { continue };
            let until = now.min(running.lease_ends).max(running.since);
            let ran_ms = until.duration_since(running.since).as_secs_f64() * 1e3;
            running.progress_ms += ran_ms * running.rate;
            running.since = until;
            if running.progress_ms >= running.run_ms as f64 {
                over.push((key.clone(), AttemptState::Done));
            } else if running.lease_ends <= now {
                over.push((key.clone(), AttemptState::Stopped));
            }
        }
        let changed = !over.is_empty();
        for (key, state) in over {
            if state == AttemptState::Done {
                *self.books.finished.entry(key.0.clone()).or_default() += 1;
            } else {
                self.books.lapsed += 1;
            }
            self.end(id, &key, state, false);
        }
        if changed {
            self.refresh(id);
        }
    }

    /// Recomputes the rates of a worker's attempts and takes a sample of its usage.
    fn refresh(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let classes: Vec<(String, u32)> = worker
            .live
            .iter()
            .filter_map(|key| worker.attempts.get(key))
            .map(|running| (running.class.clone(), running.percent))
            .collect();
        let mut tasks = Vec::new();
        for (nth, key) in worker.live.iter().enumerate() {
            let Some(running) = worker.attempts.get_mut(key) else { continue };
            running.rate = interference::rate(&classes, nth);
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
        if worker.samples.len() >= SAMPLES_KEPT {
            worker.samples.drain(..SAMPLES_KEPT / 2);
        }
        worker.samples.push(Sample { at: Instant::now(), services, tasks });
    }

    fn report(&self, id: WorkerId) -> WorkerReply {
        let Some(worker) = self.workers.get(&id) else { return WorkerReply::default() };
        let attempts = worker
            .attempts
            .iter()
            .filter(|((_, attempt), running)| *attempt < TWIN && !running.settled)
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
        let seen = worker.samples.iter().rev().find(|sample| now.duration_since(sample.at) >= lag);
        WorkerReply {
            attempts,
            services: seen.map(|sample| sample.services.clone()).unwrap_or_default(),
            tasks: seen.map(|sample| sample.tasks.clone()).unwrap_or_default(),
            usage_age_ms: seen.map_or(0, |sample| now.duration_since(sample.at).as_millis() as u64),
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

/// Remembers a stop of an attempt that was never seen, so that its start is refused when it comes.
fn tombstone(now: Instant) -> Running {
    Running {
        need: Resources::default(),
        class: String::new(),
        run_ms: 0,
        checkpoint_ms: 0,
        progress_ms: 0.0,
        since: now,
        lease_ends: now,
        state: AttemptState::Stopped,
        percent: 100,
        rate: 0.0,
        detail: "",
        settled: false,
    }
}
