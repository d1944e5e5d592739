//! The batch duty: owns cells, commits ledger changes in groups and calls workers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use agatesill_coord::prelude::*;
use agatesill_policy::prelude::*;
use agatesill_wire::api::{CellStatus, JobStatus, JobTask};
use agatesill_wire::http::JsonClient;
use agatesill_wire::platform::{AttemptReport, AttemptState, WorkerCall, WorkerReply};
use agatesill_wire::prelude::*;
use hyper::Method;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::settings::{CellSettings, Settings};
use crate::shared::Shared;

/// Calls from the admin interface that may wait for the batch duty.
pub const CELL_RING_CALLS: usize = 1_024;

/// Placements proposed in one group.
const PLACEMENTS_PER_COMMIT: usize = 256;

/// Longest wait for a worker's answer.
const WORKER_CALL_LIMIT: Duration = Duration::from_millis(800);

/// A call from the admin interface.
#[derive(Debug)]
pub enum CellCall {
    /// Accept a job.
    Submit(JobSpec, oneshot::Sender<Result<JobStatus, Error>>),
    /// Report on a job.
    Show(String, oneshot::Sender<Result<JobStatus, Error>>),
    /// Report on all jobs.
    List(oneshot::Sender<Vec<JobStatus>>),
    /// Cancel a job.
    Cancel(String, oneshot::Sender<Result<JobStatus, Error>>),
}

struct Owned {
    log: CommitLog,
    cell: Cell,
    policy: BatchPolicy,
    pending: Vec<CellDelta>,
    /// Deltas of the record whose fate the log does not know yet.
    in_flight: Vec<CellDelta>,
    polled: Instant,
}

/// The batch duty of one daemon.
pub struct Cells {
    instance: String,
    settings: BTreeMap<String, CellSettings>,
    commit_every: Duration,
    renew_every: Duration,
    store: Store,
    ownership: Ownership,
    owned: BTreeMap<String, Owned>,
    shared: Shared,
    workers: JsonClient,
}

impl Cells {
    /// Prepares the duty.
    pub fn new(settings: &Settings, store: Store, shared: Shared) -> Self {
        let ttl = Duration::from_millis(settings.store.lease_ms);
        Self {
            instance: settings.instance.clone(),
            settings: settings.cells.clone(),
            commit_every: Duration::from_millis(settings.store.commit_ms),
            renew_every: Duration::from_millis(settings.store.renew_ms),
            ownership: Ownership::new(store.clone(), &settings.instance, ttl),
            store,
            owned: BTreeMap::new(),
            shared,
            workers: JsonClient::default(),
        }
    }

    /// Runs until `stop` is cancelled, then gives the cells up.
    pub async fn run(mut self, mut calls: mpsc::Receiver<CellCall>, stop: CancellationToken) {
        let mut renew = tokio::time::interval(self.renew_every);
        let mut commit = tokio::time::interval(self.commit_every);
        commit.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = renew.tick() => self.renew().await,
                _ = commit.tick() => self.turn().await,
                Some(call) = calls.recv() => self.answer(call),
            }
        }
        self.owned.clear();
        if let Err(error) = self.ownership.release().await {
            log::warn!(event = "release_failed"; "{error}");
        }
    }

    async fn renew(&mut self) {
        if let Err(error) = self.ownership.renew().await {
            log::warn!(event = "lease_renewal_failed"; "{error}");
        }
        if !self.ownership.is_valid(Instant::now()) {
            self.owned.clear();
            self.shared.cells().clear();
            return;
        }
        for name in self.settings.keys().cloned().collect::<Vec<_>>() {
            if !self.owned.contains_key(&name) {
                self.try_take(&name).await;
            }
        }
    }

    async fn try_take(&mut self, name: &str) {
        if !matches!(self.ownership.claim(&format!("cell/{name}")).await, Ok(true)) {
            return;
        }
        let prefix = format!("cell/{name}");
        let taken =
            CommitLog::take_over::<Cell, CellDelta>(self.store.clone(), &prefix, &self.instance);
        match taken.await {
            Ok((log, replay)) => {
                let mut cell: Cell = replay.snapshot.unwrap_or_default();
                for delta in &replay.deltas {
                    cell.apply(delta);
                }
                let pending = cell.worker_deltas(&self.settings[name].workers);
                let mut policy = BatchPolicy::default();
                policy.rebuild(now_ms(), &cell);
                log::info!(event = "cell_taken", cell = name, epoch = log.epoch(); "");
                let polled = Instant::now();
                let owned = Owned { log, cell, policy, pending, in_flight: Vec::new(), polled };
                self.owned.insert(name.to_owned(), owned);
            }
            Err(error) => log::warn!(event = "takeover_failed", cell = name; "{error}"),
        }
    }

    async fn turn(&mut self) {
        if !self.ownership.is_valid(Instant::now()) {
            return;
        }
        for name in self.owned.keys().cloned().collect::<Vec<_>>() {
            if let Err(error) = self.turn_cell(&name).await {
                log::warn!(event = "commit_failed", cell = name.as_str(); "{error}");
                if error.kind == ErrorKind::Conflict {
                    self.owned.remove(&name);
                    self.shared.cells().remove(&name);
                }
            }
        }
    }

    async fn turn_cell(&mut self, name: &str) -> Result<(), Error> {
        let Some(settings) = self.settings.get(name) else { return Ok(()) };
        let Some(owned) = self.owned.get_mut(name) else { return Ok(()) };
        if owned.polled.elapsed() >= Duration::from_millis(settings.poll_ms) {
            owned.polled = Instant::now();
            poll_workers(&self.workers, settings, owned).await;
        }
        if owned.log.is_pending() {
            owned.log.resolve().await?;
        } else {
            commit_next(owned).await?;
        }
        let deltas = std::mem::take(&mut owned.in_flight);
        if !deltas.is_empty() {
            for delta in &deltas {
                let effects = owned.policy.apply(now_ms(), &mut owned.cell, delta);
                log_delta(name, delta);
                for effect in effects {
                    carry_out(&self.workers, settings, owned.log.epoch(), &owned.cell, effect)
                        .await;
                }
            }
        }
        if owned.log.snapshot_due() {
            owned.log.snapshot(&owned.cell).await?;
        }
        let status = status(name, owned);
        self.shared.cells().insert(name.to_owned(), status);
        Ok(())
    }

    fn answer(&mut self, call: CellCall) {
        match call {
            CellCall::Submit(job, reply) => {
                let _ = reply.send(self.submit(job));
            }
            CellCall::Show(id, reply) => {
                let _ = reply.send(self.show(&id));
            }
            CellCall::List(reply) => {
                let jobs = self.owned.iter().flat_map(|(name, owned)| {
                    owned.cell.jobs().map(|job| job_status(name, &job.spec, &job.tasks))
                });
                let _ = reply.send(jobs.collect());
            }
            CellCall::Cancel(id, reply) => {
                let answer = self.show(&id);
                if let Ok(status) = &answer
                    && let Some(owned) = self.owned.get_mut(&status.cell)
                {
                    owned.pending.push(CellDelta::Cancel { job: id });
                }
                let _ = reply.send(answer);
            }
        }
    }

    fn submit(&mut self, job: JobSpec) -> Result<JobStatus, Error> {
        let not_owner = || {
            Error::new(ErrorKind::NoUpstream, "no cell is owned by this instance").retry_after(500)
        };
        let (name, owned) = self.owned.iter_mut().next().ok_or_else(not_owner)?;
        if let Some(why) = owned.cell.impossible(&job) {
            return Err(Error::new(ErrorKind::Impossible, why));
        }
        let status = job_status(name, &job, &[]);
        let at_ms = now_ms();
        owned.pending.push(CellDelta::Accept { job, at_ms });
        Ok(status)
    }

    fn show(&self, id: &str) -> Result<JobStatus, Error> {
        self.owned
            .iter()
            .find_map(|(name, owned)| {
                owned.cell.job(id).map(|job| job_status(name, &job.spec, &job.tasks))
            })
            .ok_or_else(|| Error::new(ErrorKind::NotFound, format!("job {id}")))
    }
}

/// Milliseconds since the Unix epoch, for reports only.
pub fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// Appends what is pending and what is planned now, as much as fits into one record. A plan that
/// was not written is dropped: the next one is made from the ledger of then.
async fn commit_next(owned: &mut Owned) -> Result<(), Error> {
    let kept = owned.pending.len();
    let mut deltas = owned.pending.clone();
    let config = BatchConfig::new(&ConfigDoc::default(), PLACEMENTS_PER_COMMIT);
    deltas.extend(owned.policy.plan(now_ms(), &owned.cell, &config).deltas);
    deltas.truncate(CommitLog::fitting(&deltas)?);
    if deltas.is_empty() {
        return Ok(());
    }
    let outcome = owned.log.append(&deltas).await;
    if outcome.is_ok() || owned.log.is_pending() {
        owned.pending.drain(..kept.min(deltas.len()));
        owned.in_flight = deltas;
    }
    outcome
}

async fn poll_workers(client: &JsonClient, settings: &CellSettings, owned: &mut Owned) {
    let epoch = owned.log.epoch();
    let mut held: BTreeMap<WorkerId, Vec<(TaskId, Attempt)>> = BTreeMap::new();
    for (task, attempt, worker) in owned.cell.placed() {
        held.entry(worker).or_default().push((task, attempt));
    }
    let calls = held.into_iter().map(|(worker, attempts)| async move {
        let call = WorkerCall::Renew {
            epoch,
            attempts: attempts.clone(),
            settled: Vec::new(),
            lease_ms: settings.attempt_lease_ms,
        };
        (attempts, call_worker(client, settings, worker, &call).await)
    });
    for (attempts, reply) in futures::future::join_all(calls).await {
        let Ok(reply) = reply else { continue };
        for report in reply.attempts {
            let known = attempts
                .iter()
                .any(|(task, attempt)| *task == report.task && *attempt == report.attempt);
            if known && report.state != AttemptState::Running {
                owned.pending.push(CellDelta::End {
                    outcome: outcome(&report),
                    task: report.task,
                    attempt: report.attempt,
                });
            }
        }
    }
}

async fn carry_out(
    client: &JsonClient,
    settings: &CellSettings,
    epoch: u64,
    cell: &Cell,
    effect: CellEffect,
) {
    let (worker, call) = match effect {
        CellEffect::Start { worker, task, attempt, checkpoint_ms, reserve } => {
            let Some((job, _)) = cell.locate(&task) else { return };
            let spec = &job.spec;
            let call = WorkerCall::Start {
                task: task.clone(),
                attempt,
                epoch,
                need: reserve,
                class: spec.class.clone(),
                run_ms: spec.run_ms,
                checkpoint_ms,
                lease_ms: settings.attempt_lease_ms,
            };
            (worker, call)
        }
        CellEffect::Stop { worker, task, attempt, checkpoint } => {
            (worker, WorkerCall::Stop { epoch, task, attempt, checkpoint })
        }
        CellEffect::JobClosed { .. } => return,
    };
    if let Err(error) = call_worker(client, settings, worker, &call).await {
        log::warn!(event = "worker_call_failed", worker = worker; "{error}");
    }
}

async fn call_worker(
    client: &JsonClient,
    settings: &CellSettings,
    worker: WorkerId,
    call: &WorkerCall,
) -> Result<WorkerReply, Error> {
    let path = format!("/workers/{worker}");
    client.call(Method::POST, settings.addr, &path, call, WORKER_CALL_LIMIT).await
}

fn log_delta(cell: &str, delta: &CellDelta) {
    match delta {
        CellDelta::Accept { job, .. } => {
            log::info!(event = "job_accepted", cell = cell, job = job.id.as_str(); "");
        }
        CellDelta::Place { task, attempt, worker, .. } => log::info!(
            event = "place", cell = cell, task = task.as_str(), attempt = attempt,
            worker = worker; ""
        ),
        CellDelta::End { task, attempt, outcome } => log::info!(
            event = "attempt_ended", cell = cell, task = task.as_str(), attempt = attempt,
            outcome:? = outcome; ""
        ),
        CellDelta::Cancel { job } => {
            log::info!(event = "job_cancelled", cell = cell, job = job.as_str(); "");
        }
        other => log::info!(event = "ledger_change", cell = cell, delta:? = other; ""),
    }
}

fn outcome(report: &AttemptReport) -> AttemptOutcome {
    match report.state {
        AttemptState::Done => AttemptOutcome::Done,
        AttemptState::Failed => AttemptOutcome::Failed { kind: FailureKind::TaskError },
        AttemptState::Running | AttemptState::Stopped => {
            AttemptOutcome::Stopped { checkpoint_ms: report.checkpoint_ms }
        }
    }
}

fn state_name(state: &TaskState) -> &'static str {
    match state {
        TaskState::Waiting { .. } => "waiting",
        TaskState::Placed { .. } => "placed",
        TaskState::Evicting { .. } => "evicting",
        TaskState::Done => "done",
        TaskState::Failed => "failed",
        TaskState::Cancelled => "cancelled",
    }
}

fn job_status(
    cell: &str,
    spec: &JobSpec,
    tasks: &[agatesill_policy::batch::TaskView],
) -> JobStatus {
    let tasks = tasks
        .iter()
        .map(|task| JobTask {
            state: state_name(&task.state).to_owned(),
            attempt: task.attempt,
            worker: task.state.worker(),
        })
        .collect();
    JobStatus { spec: spec.clone(), cell: cell.to_owned(), tasks }
}

fn status(name: &str, owned: &Owned) -> CellStatus {
    let count = |wanted: &str| {
        owned
            .cell
            .jobs()
            .flat_map(|job| &job.tasks)
            .filter(|task| state_name(&task.state) == wanted)
            .count() as u64
    };
    CellStatus {
        name: name.to_owned(),
        epoch: owned.log.epoch(),
        workers: 0,
        waiting: count("waiting"),
        placed: count("placed"),
        done: count("done"),
    }
}
