//! Calls to workers, made in tasks outside the loop. Each instruction that follows from the ledger
//! is sent until the worker's answer reflects it.
//!
//! The module keeps no record of delivered instructions. The committed ledger and the worker's
//! latest answer determine whether an attempt has to be started, renewed or stopped, so the next
//! call repairs a lost call, a lost answer or a takeover.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_wire::http::JsonClient;
use agatesill_wire::platform::{
    AttemptReport, AttemptState, CallValidity, WorkerCall, WorkerReply,
};
use agatesill_wire::prelude::*;
use hyper::Method;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use super::connections::{ClockReading, TrackedAttempt, WorkerConnection};
use super::owned::OwnedCell;
use super::{Event, ledger_check, usage};
use crate::settings::CellSettings;

/// Timeout of one call to a worker.
pub(super) const WORKER_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of calls to one worker in one round. The rest wait for the next round.
const MAX_CALLS_PER_ROUND: usize = 64;

/// Time from the beginning of a round during which starts and stops are sent. The rest wait for the
/// next round, so that renewals do not wait behind slow answers, and nothing is sent that the ledger
/// no longer requires.
const MAX_SEND_DELAY: Duration = Duration::from_millis(400);

/// Maximum back-off for a worker that does not answer, as a multiple of the poll interval.
const MAX_BACKOFF_INTERVALS: u32 = 4;

/// Everything that worker calls need in addition to the cell's state.
pub(super) struct CallContext<'a> {
    pub(super) cell: &'a str,
    pub(super) settings: &'a CellSettings,
    pub(super) client: &'a JsonClient,
    pub(super) permits: &'a Arc<Semaphore>,
    pub(super) events: &'a mpsc::Sender<Event>,
    /// Whether new attempts may start. Renewals and stops continue while the store is unavailable.
    pub(super) may_start: bool,
}

/// Permission to begin a round of calls, whose calls are determined only then.
pub(super) struct RoundPermit {
    pub(super) cell: String,
    pub(super) epoch: u64,
    worker: WorkerId,
    permit: OwnedSemaphorePermit,
}

/// Result of one round of calls to a worker.
pub(super) struct WorkerCallResult {
    pub(super) cell: String,
    pub(super) epoch: u64,
    worker: WorkerId,
    round: Round,
    outcome: Result<WorkerReply, Error>,
}

/// Progress of a round of calls.
#[derive(Default)]
struct Round {
    /// The newest reading of the worker's clock.
    clock: Option<ClockReading>,
    /// Attempts of which a start or renewal was sent, with the time of sending.
    sent: Vec<((TaskId, Attempt), Instant)>,
    /// Starts that were not sent, or that the worker rejected as no longer valid.
    unsent_starts: Vec<(TaskId, Attempt)>,
    /// Stops that were answered.
    stopped: Vec<(TaskId, Attempt)>,
    settled: Vec<(TaskId, Attempt)>,
    /// Whether calls are left for the next round.
    has_more: bool,
}

/// Requests a round of calls to every worker that is due and has no round in progress.
///
/// The limit on concurrent calls prevents a cell of slow workers from holding one connection for
/// each of them.
pub(super) fn call_due(owned: &mut OwnedCell, context: &CallContext) {
    let now = Instant::now();
    let poll_interval = Duration::from_millis(context.settings.poll_ms);
    let ids: Vec<WorkerId> = owned.cell.workers().map(|worker| worker.spec.id).collect();
    for id in ids {
        let connection = owned.connections.entry(id).or_default();
        let wait = poll_interval * connection.failures.clamp(1, MAX_BACKOFF_INTERVALS);
        let polled = connection.called.is_some_and(|called| now.duration_since(called) < wait);
        if connection.busy || (polled && !(connection.due && connection.failures == 0)) {
            continue;
        }
        connection.busy = true;
        let (permits, events) = (context.permits.clone(), context.events.clone());
        let (cell, epoch) = (context.cell.to_owned(), owned.epoch);
        tokio::spawn(async move {
            let Ok(permit) = permits.acquire_owned().await else { return };
            let permit = RoundPermit { cell, epoch, worker: id, permit };
            let _ = events.send(Event::RoundPermit(permit)).await;
        });
    }
}

/// Begins a round of calls.
pub(super) fn begin_round(owned: &mut OwnedCell, context: &CallContext, permit: RoundPermit) {
    let begun = Instant::now();
    let calls = calls_for(permit.worker, owned, context, begun);
    let clock = owned.connections.entry(permit.worker).or_default().clock;
    let (client, addr) = (context.client.clone(), context.settings.addr);
    let events = context.events.clone();
    tokio::spawn(async move {
        let RoundPermit { cell, epoch, worker, permit } = permit;
        let mut round = Round { clock, ..Round::default() };
        let path = format!("/workers/{worker}");
        let outcome = send_calls(&client, addr, &path, &mut round, calls, begun).await;
        drop(permit);
        let result = WorkerCallResult { cell, epoch, worker, round, outcome };
        let _ = events.send(Event::Worker(Box::new(result))).await;
    });
}

/// Sends the calls one after another; the first failure ends the round. Returns the last reply.
async fn send_calls(
    client: &JsonClient,
    addr: SocketAddr,
    path: &str,
    round: &mut Round,
    calls: Vec<WorkerCall>,
    begun: Instant,
) -> Result<WorkerReply, Error> {
    let mut outcome = Err(Error::new(ErrorKind::Unreachable, path));
    let mut calls = calls.into_iter();
    for call in calls.by_ref() {
        let sent = Instant::now();
        if sent.duration_since(begun) > MAX_SEND_DELAY && may_wait(&call) {
            round.skip(&call);
            continue;
        }
        let call = round.validate(call, sent);
        outcome = client.call(Method::POST, addr, path, &call, WORKER_CALL_TIMEOUT).await;
        match &outcome {
            Ok(reply) => round.answered(&call, reply),
            Err(_) => break,
        }
    }
    calls.for_each(|call| round.skip(&call));
    outcome
}

fn may_wait(call: &WorkerCall) -> bool {
    matches!(call, WorkerCall::Start { .. } | WorkerCall::Stop { .. })
}

impl Round {
    /// Leaves a call for the next round.
    fn skip(&mut self, call: &WorkerCall) {
        self.has_more = true;
        self.unsent_starts.extend(start_of(call));
    }

    /// Limits the time in which a call may take effect and records when it is sent.
    fn validate(&mut self, mut call: WorkerCall, sent: Instant) -> WorkerCall {
        let limit = self.clock.map_or(CallValidity::default(), |clock| clock.validity(sent));
        match &mut call {
            WorkerCall::Start { task, attempt, validity, .. } => {
                *validity = limit;
                self.sent.push(((task.clone(), *attempt), sent));
            }
            WorkerCall::Renew { attempts, validity, .. } => {
                *validity = limit;
                self.sent.extend(attempts.iter().map(|key| (key.clone(), sent)));
            }
            WorkerCall::Stop { .. } | WorkerCall::Throttle { .. } => {}
        }
        call
    }

    fn answered(&mut self, call: &WorkerCall, reply: &WorkerReply) {
        self.clock = Some(ClockReading::new(reply, Instant::now()));
        match call {
            WorkerCall::Start { task, attempt, validity, .. } => {
                let key = (task.clone(), *attempt);
                if was_invalid(validity, reply) && !is_reported(&key, &reply.attempts) {
                    self.has_more = true;
                    self.unsent_starts.push(key);
                }
            }
            WorkerCall::Stop { task, attempt, .. } => self.stopped.push((task.clone(), *attempt)),
            WorkerCall::Renew { settled, .. } => self.settled.extend(settled.iter().cloned()),
            WorkerCall::Throttle { .. } => {}
        }
    }
}

/// Whether the worker may have rejected a call as no longer valid when it sent `reply`.
fn was_invalid(validity: &CallValidity, reply: &WorkerReply) -> bool {
    reply.incarnation != validity.incarnation || reply.clock_ms > validity.until_ms
}

fn is_reported(key: &(TaskId, Attempt), reports: &[AttemptReport]) -> bool {
    reports.iter().any(|report| report.task == key.0 && report.attempt == key.1)
}

/// The calls that the ledger requires for one worker. Stops come first, to free capacity for
/// starts.
fn calls_for(
    id: WorkerId,
    owned: &mut OwnedCell,
    context: &CallContext,
    now: Instant,
) -> Vec<WorkerCall> {
    let epoch = owned.epoch;
    let lease_ms = context.settings.attempt_lease_ms;
    let live: Vec<TaskId> = owned
        .cell
        .worker(id)
        .map(|worker| worker.live.iter().cloned().collect())
        .unwrap_or_default();
    let connection = owned.connections.entry(id).or_default();
    connection.called = Some(now);
    let has_clock = connection.clock.is_some();
    let unresponsive = connection.is_unresponsive(owned.taken_over_at, context.settings, now);
    connection.due = false;
    let mut calls = stops_and_throttles(connection, epoch);
    let mut renewed = Vec::new();
    let mut starts: Vec<((TaskId, Attempt), WorkerCall)> = Vec::new();
    for task in live {
        let Some((job, index)) = owned.cell.locate(&task) else { continue };
        let view = &job.tasks[index];
        let key = (task.clone(), view.attempt);
        // Guards against a start after the end: no call is sent for an attempt whose end may
        // already be in the log.
        if owned.ending.contains(&key) {
            continue;
        }
        if matches!(view.state, TaskState::Evicting { .. }) {
            let checkpoint = view.settled.is_none();
            calls.push(WorkerCall::Stop { epoch, task, attempt: view.attempt, checkpoint });
            continue;
        }
        if unresponsive {
            continue;
        }
        let track = connection
            .tracked_attempts
            .entry(key.clone())
            .or_insert_with(|| TrackedAttempt::inherited(now));
        if track.seen {
            track.sending = true;
            renewed.push(key);
        } else if !track.start_sent && context.may_start {
            starts.push((key, start_call(task, job, view, epoch, lease_ms)));
        }
    }
    let settled = connection.settled.iter().take(MAX_CALLS_PER_ROUND).cloned().collect();
    // The first call to a worker only asks for its clock.
    let free_calls = match has_clock {
        true => MAX_CALLS_PER_ROUND.saturating_sub(calls.len()),
        false => 0,
    };
    connection.due = starts.len() > free_calls;
    for (key, call) in starts.into_iter().take(free_calls) {
        let track =
            connection.tracked_attempts.entry(key).or_insert_with(|| TrackedAttempt::new(now));
        track.sending = true;
        track.start_sent = true;
        calls.push(call);
    }
    let validity = CallValidity::default();
    calls.push(WorkerCall::Renew { epoch, attempts: renewed, settled, lease_ms, validity });
    calls
}

fn stops_and_throttles(connection: &mut WorkerConnection, epoch: u64) -> Vec<WorkerCall> {
    let stop = |(task, attempt): &(TaskId, Attempt)| WorkerCall::Stop {
        epoch,
        task: task.clone(),
        attempt: *attempt,
        checkpoint: false,
    };
    let mut calls: Vec<WorkerCall> = connection.to_stop.iter().map(stop).collect();
    calls.extend(connection.throttles.drain(..).map(|throttle| WorkerCall::Throttle {
        epoch,
        task: throttle.task,
        attempt: throttle.attempt,
        percent: throttle.percent,
    }));
    calls
}

fn start_call(task: TaskId, job: &Job, view: &TaskView, epoch: u64, lease_ms: u64) -> WorkerCall {
    WorkerCall::Start {
        task,
        attempt: view.attempt,
        epoch,
        need: view.reserved,
        class: job.spec.class.clone(),
        run_ms: job.spec.run_ms,
        checkpoint_ms: view.checkpoint_ms,
        lease_ms,
        validity: CallValidity::default(),
    }
}

fn start_of(call: &WorkerCall) -> Option<(TaskId, Attempt)> {
    match call {
        WorkerCall::Start { task, attempt, .. } => Some((task.clone(), *attempt)),
        _ => None,
    }
}

/// Processes the result of a round. [`ErrorKind::Conflict`] means that the worker has received
/// calls from a later owner, so this one must stop acting.
pub(super) fn handle_result(
    name: &str,
    owned: &mut OwnedCell,
    result: WorkerCallResult,
) -> Result<(), Error> {
    let id = result.worker;
    let round = result.round;
    let connection = owned.connections.entry(id).or_default();
    connection.busy = false;
    connection.clock = round.clock;
    connection.finish_sending(&round.sent);
    connection.mark_unsent(&round.unsent_starts);
    let reply = match result.outcome {
        Ok(reply) => reply,
        Err(error) => {
            connection.failures = connection.failures.saturating_add(1);
            log::warn!(event = "worker_call_failed", cell = name, worker = id; "{error}");
            return Err(error);
        }
    };
    connection.failures = 0;
    connection.answered = Some(Instant::now());
    connection.due |= round.has_more;
    round.settled.iter().for_each(|key| {
        connection.settled.remove(key);
    });
    round.stopped.iter().for_each(|key| {
        connection.to_stop.remove(key);
    });
    let confirmed_missing =
        round.stopped.into_iter().filter(|key| connection.is_missing(key, &reply.attempts));
    let confirmed_missing: Vec<(TaskId, Attempt)> = confirmed_missing.collect();
    let first = connection.reached.is_none();
    if first {
        connection.reached = Some(Instant::now());
        ledger_check::compare(name, id, &owned.cell, &reply.attempts);
    }
    mark_seen(connection, &reply.attempts);
    for (task, attempt) in confirmed_missing {
        if owned.cell.is_placed(&task, attempt, id) {
            owned.end_lost_attempt(&task, attempt, id);
        }
    }
    stop_missing_attempts(id, owned, &reply.attempts);
    for report in &reply.attempts {
        handle_report(id, owned, report);
    }
    usage::observe(id, owned, &reply);
    Ok(())
}

fn mark_seen(connection: &mut WorkerConnection, reports: &[AttemptReport]) {
    connection.tracked_attempts.values_mut().for_each(|track| track.seen = false);
    let now = Instant::now();
    for report in reports.iter().filter(|report| report.state == AttemptState::Running) {
        let key = (report.task.clone(), report.attempt);
        connection
            .tracked_attempts
            .entry(key)
            .or_insert_with(|| TrackedAttempt::new(now))
            .mark_seen(now);
    }
}

/// Queues stops for attempts that may have been started but that the worker does not report,
/// because it has crashed since or because the start was lost. The stop prevents a late start; the
/// attempt ends once the worker has confirmed the stop.
///
/// Guards against repeated starts of an attempt that crashes its worker.
fn stop_missing_attempts(id: WorkerId, owned: &mut OwnedCell, reports: &[AttemptReport]) {
    let Some(connection) = owned.connections.get_mut(&id) else { return };
    let (cell, ending) = (&owned.cell, &owned.ending);
    let missing: Vec<(TaskId, Attempt)> = connection
        .tracked_attempts
        .keys()
        .filter(|key| !ending.contains(*key) && cell.is_placed(&key.0, key.1, id))
        .filter(|key| connection.is_missing(key, reports))
        .cloned()
        .collect();
    connection.due |= !missing.is_empty();
    connection.to_stop.extend(missing);
}

/// Compares a worker's report on one attempt with the ledger.
fn handle_report(id: WorkerId, owned: &mut OwnedCell, report: &AttemptReport) {
    let key = (report.task.clone(), report.attempt);
    let running = report.state == AttemptState::Running;
    let view = owned.cell.locate(&report.task).map(|(job, index)| &job.tasks[index]);
    let is_live =
        view.is_some_and(|view| view.attempt == report.attempt && view.state.worker() == Some(id));
    if is_live {
        if !running {
            owned.push_end(&report.task, report.attempt, outcome_of(report));
        }
        return;
    }
    // Guards against a task that runs in two places: a worker that was unreachable may still run an
    // attempt that has been declared lost, while the next attempt starts elsewhere. The worker is
    // sent a stop immediately.
    let connection = owned.connections.entry(id).or_default();
    connection.tracked_attempts.remove(&key);
    if running {
        connection.to_stop.insert(key);
        connection.due = true;
        return;
    }
    let late_success = report.state == AttemptState::Done
        && view.is_some_and(|view| !view.state.is_closed() && view.settled.is_none());
    if late_success {
        owned.push_end(&report.task, report.attempt, AttemptOutcome::Done);
    } else if !owned.ending.contains(&key) {
        connection.settled.insert(key);
    }
}

fn outcome_of(report: &AttemptReport) -> AttemptOutcome {
    match report.state {
        AttemptState::Done => AttemptOutcome::Done,
        AttemptState::Failed => AttemptOutcome::Failed { kind: failure_of(&report.detail) },
        AttemptState::Running | AttemptState::Stopped => {
            AttemptOutcome::Stopped { checkpoint_ms: report.checkpoint_ms }
        }
    }
}

/// The kind of a failure, given by the first word of the worker's detail text.
fn failure_of(detail: &str) -> FailureKind {
    match detail.split_whitespace().next() {
        Some("memory") => FailureKind::MemoryOverrun,
        Some("worker") => FailureKind::WorkerError,
        Some("input") => FailureKind::BadInput,
        _ => FailureKind::TaskError,
    }
}
