//! Calls to workers, made in tasks outside the loop. Each instruction that follows from the ledger
//! is sent until the worker's answer reflects it.
//!
//! The module keeps no record of delivered instructions. The committed ledger and the worker's
//! latest answer determine whether an attempt has to be started, renewed or stopped, so the next
//! call repairs a lost call, a lost answer or a takeover.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_wire::http::JsonClient;
use agatesill_wire::platform::{AttemptReport, AttemptState, WorkerCall, WorkerReply};
use agatesill_wire::prelude::*;
use hyper::Method;
use tokio::sync::{Semaphore, mpsc};

use super::connections::{TrackedAttempt, WorkerConnection};
use super::owned::OwnedCell;
use super::{Event, ledger_check, usage};
use crate::settings::CellSettings;

/// Timeout of one call to a worker.
pub(super) const WORKER_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of calls to one worker in one round. The rest wait for the next round.
const MAX_CALLS_PER_ROUND: usize = 64;

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

/// Result of one round of calls to a worker.
pub(super) struct WorkerCallResult {
    pub(super) cell: String,
    pub(super) epoch: u64,
    worker: WorkerId,
    settled: BTreeSet<(TaskId, Attempt)>,
    stopped: BTreeSet<(TaskId, Attempt)>,
    /// Starts that were not sent because an earlier call failed.
    unsent_starts: Vec<(TaskId, Attempt)>,
    outcome: Result<WorkerReply, Error>,
}

/// Starts a round of calls to every worker that is due and has no round in progress.
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
        let calls = calls_for(id, owned, context, now);
        spawn_calls(id, owned, context, calls);
    }
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
            track.sent = now;
            renewed.push(key);
        } else if !track.start_sent && context.may_start {
            starts.push((key, start_call(task, job, view, epoch, lease_ms)));
        }
    }
    let settled = connection.settled.iter().take(MAX_CALLS_PER_ROUND).cloned().collect();
    let free_calls = MAX_CALLS_PER_ROUND.saturating_sub(calls.len());
    connection.due = starts.len() > free_calls;
    for (key, call) in starts.into_iter().take(free_calls) {
        let track =
            connection.tracked_attempts.entry(key).or_insert_with(|| TrackedAttempt::new(now));
        track.sent = now;
        track.start_sent = true;
        calls.push(call);
    }
    calls.push(WorkerCall::Renew { epoch, attempts: renewed, settled, lease_ms });
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
    }
}

/// Sends the calls one after another; the first failure ends the round.
///
/// The limit on concurrent calls prevents a cell of slow workers from holding one connection for
/// each of them.
fn spawn_calls(id: WorkerId, owned: &mut OwnedCell, context: &CallContext, calls: Vec<WorkerCall>) {
    owned.connections.entry(id).or_default().busy = true;
    let (client, addr) = (context.client.clone(), context.settings.addr);
    let (permits, events) = (context.permits.clone(), context.events.clone());
    let (cell, epoch) = (context.cell.to_owned(), owned.epoch);
    let settled = calls.iter().flat_map(settled_of).collect();
    let stopped = calls.iter().filter_map(stop_of).collect();
    tokio::spawn(async move {
        let Ok(_permit) = permits.acquire_owned().await else { return };
        let path = format!("/workers/{id}");
        let mut outcome = Err(Error::new(ErrorKind::Unreachable, path.clone()));
        let mut unsent = calls.iter();
        for call in unsent.by_ref() {
            outcome = client.call(Method::POST, addr, &path, call, WORKER_CALL_TIMEOUT).await;
            if outcome.is_err() {
                break;
            }
        }
        let unsent_starts = unsent.filter_map(start_of).collect();
        let result =
            WorkerCallResult { cell, epoch, worker: id, settled, stopped, unsent_starts, outcome };
        let _ = events.send(Event::Worker(result)).await;
    });
}

fn settled_of(call: &WorkerCall) -> Vec<(TaskId, Attempt)> {
    match call {
        WorkerCall::Renew { settled, .. } => settled.clone(),
        _ => Vec::new(),
    }
}

fn start_of(call: &WorkerCall) -> Option<(TaskId, Attempt)> {
    match call {
        WorkerCall::Start { task, attempt, .. } => Some((task.clone(), *attempt)),
        _ => None,
    }
}

fn stop_of(call: &WorkerCall) -> Option<(TaskId, Attempt)> {
    match call {
        WorkerCall::Stop { task, attempt, .. } => Some((task.clone(), *attempt)),
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
    let connection = owned.connections.entry(id).or_default();
    connection.busy = false;
    let reply = match result.outcome {
        Ok(reply) => reply,
        Err(error) => {
            connection.failures = connection.failures.saturating_add(1);
            connection.mark_unsent(&result.unsent_starts);
            log::warn!(event = "worker_call_failed", cell = name, worker = id; "{error}");
            return Err(error);
        }
    };
    connection.failures = 0;
    connection.answered = Some(Instant::now());
    result.settled.iter().for_each(|key| {
        connection.settled.remove(key);
    });
    result.stopped.iter().for_each(|key| {
        connection.to_stop.remove(key);
    });
    let confirmed_missing =
        result.stopped.into_iter().filter(|key| connection.is_missing(key, &reply.attempts));
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
