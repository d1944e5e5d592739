//! Calls to workers, beside the loop: what the ledger asks of each worker is sent until the worker
//! shows that it knows.
//!
//! Nothing is remembered of effects: whether an attempt has to be started, renewed or stopped
//! follows from the committed ledger and the worker's newest answer, so a lost call, a lost answer
//! and a takeover are all mended by the next call.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_wire::http::JsonClient;
use agatesill_wire::platform::{AttemptReport, AttemptState, WorkerCall, WorkerReply};
use agatesill_wire::prelude::*;
use hyper::Method;
use tokio::sync::{Semaphore, mpsc};

use super::links::{Link, Track};
use super::owned::Owned;
use super::{Event, ledger_check, usage};
use crate::settings::CellSettings;

/// Longest wait for a worker's answer.
pub(super) const WORKER_CALL_LIMIT: Duration = Duration::from_millis(800);

/// Most calls to one worker in a row; more wait for the next turn.
const CALLS_IN_A_ROW: usize = 64;

/// A worker that does not answer is called after this many of its regular intervals at most.
const MAX_BACKOFF: u32 = 4;

/// What calls need besides the cell.
pub(super) struct CallContext<'a> {
    pub(super) cell: &'a str,
    pub(super) settings: &'a CellSettings,
    pub(super) client: &'a JsonClient,
    pub(super) room: &'a Arc<Semaphore>,
    pub(super) events: &'a mpsc::Sender<Event>,
    /// Whether new attempts may start; renewals and stops go on without the store.
    pub(super) may_start: bool,
}

/// How a round of calls to one worker ended.
pub(super) struct WorkerAnswer {
    pub(super) cell: String,
    pub(super) epoch: u64,
    worker: WorkerId,
    settled: BTreeSet<(TaskId, Attempt)>,
    stopped: BTreeSet<(TaskId, Attempt)>,
    outcome: Result<WorkerReply, Error>,
}

/// Calls every worker of the cell that is due and not being called.
pub(super) fn call_due(owned: &mut Owned, context: &CallContext) {
    let now = Instant::now();
    let interval = Duration::from_millis(context.settings.poll_ms);
    let ids: Vec<WorkerId> = owned.cell.workers().map(|worker| worker.spec.id).collect();
    for id in ids {
        let link = owned.links.entry(id).or_default();
        let wait = interval * link.failures.clamp(1, MAX_BACKOFF);
        let polled = link.called.is_some_and(|called| now.duration_since(called) < wait);
        if link.busy || (polled && !(link.due && link.failures == 0)) {
            continue;
        }
        let calls = calls_for(id, owned, context, now);
        spawn_calls(id, owned, context, calls);
    }
}

/// What the ledger asks of a worker now: stops first, so that they free room for starts.
fn calls_for(
    id: WorkerId,
    owned: &mut Owned,
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
    let link = owned.links.entry(id).or_default();
    link.called = Some(now);
    let silent = link.is_silent(owned.taken, context.settings, now);
    link.due = false;
    let mut calls = strays_and_throttles(link, epoch);
    let mut renewed = Vec::new();
    let mut starts: Vec<((TaskId, Attempt), WorkerCall)> = Vec::new();
    for task in live {
        let Some((job, index)) = owned.cell.locate(&task) else { continue };
        let view = &job.tasks[index];
        let key = (task.clone(), view.attempt);
        // Guards against a start after the end: once the end of an attempt may stand in the log,
        // nothing about it is sent any more.
        if owned.ending.contains(&key) {
            continue;
        }
        if matches!(view.state, TaskState::Evicting { .. }) {
            let checkpoint = view.settled.is_none();
            calls.push(WorkerCall::Stop { epoch, task, attempt: view.attempt, checkpoint });
            continue;
        }
        if silent {
            continue;
        }
        let track = link.tracks.entry(key.clone()).or_insert_with(|| Track::inherited(now));
        if track.seen {
            track.sent = now;
            renewed.push(key);
        } else if !track.start_sent && context.may_start {
            starts.push((key, start_call(task, job, view, epoch, lease_ms)));
        }
    }
    let settled = link.settled.iter().take(CALLS_IN_A_ROW).cloned().collect();
    let room = CALLS_IN_A_ROW.saturating_sub(calls.len());
    link.due = starts.len() > room;
    for (key, call) in starts.into_iter().take(room) {
        let track = link.tracks.entry(key).or_insert_with(|| Track::new(now));
        track.sent = now;
        track.start_sent = true;
        calls.push(call);
    }
    calls.push(WorkerCall::Renew { epoch, attempts: renewed, settled, lease_ms });
    calls
}

fn strays_and_throttles(link: &mut Link, epoch: u64) -> Vec<WorkerCall> {
    let stop = |(task, attempt): &(TaskId, Attempt)| WorkerCall::Stop {
        epoch,
        task: task.clone(),
        attempt: *attempt,
        checkpoint: false,
    };
    let mut calls: Vec<WorkerCall> = link.strays.iter().map(stop).collect();
    calls.extend(link.throttles.drain(..).map(|throttle| WorkerCall::Throttle {
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

/// Sends the calls one after the other; the first that fails ends the round.
///
/// The bound on calls under way keeps a floor of slow workers from holding a connection each.
fn spawn_calls(id: WorkerId, owned: &mut Owned, context: &CallContext, calls: Vec<WorkerCall>) {
    owned.links.entry(id).or_default().busy = true;
    let (client, addr) = (context.client.clone(), context.settings.addr);
    let (room, events) = (context.room.clone(), context.events.clone());
    let (cell, epoch) = (context.cell.to_owned(), owned.epoch);
    let settled = calls.iter().flat_map(settled_of).collect();
    let stopped = calls.iter().filter_map(stop_of).collect();
    tokio::spawn(async move {
        let Ok(_room) = room.acquire_owned().await else { return };
        let path = format!("/workers/{id}");
        let mut outcome = Err(Error::new(ErrorKind::Unreachable, path.clone()));
        for call in &calls {
            outcome = client.call(Method::POST, addr, &path, call, WORKER_CALL_LIMIT).await;
            if outcome.is_err() {
                break;
            }
        }
        let answer = WorkerAnswer { cell, epoch, worker: id, settled, stopped, outcome };
        let _ = events.send(Event::Worker(answer)).await;
    });
}

fn settled_of(call: &WorkerCall) -> Vec<(TaskId, Attempt)> {
    match call {
        WorkerCall::Renew { settled, .. } => settled.clone(),
        _ => Vec::new(),
    }
}

fn stop_of(call: &WorkerCall) -> Option<(TaskId, Attempt)> {
    match call {
        WorkerCall::Stop { task, attempt, .. } => Some((task.clone(), *attempt)),
        _ => None,
    }
}

/// Takes a round's end in. [`ErrorKind::Conflict`] means that the worker has heard from a later
/// owner: this one must stop acting.
pub(super) fn take_answer(
    name: &str,
    owned: &mut Owned,
    answer: WorkerAnswer,
) -> Result<(), Error> {
    let id = answer.worker;
    let link = owned.links.entry(id).or_default();
    link.busy = false;
    let reply = match answer.outcome {
        Ok(reply) => reply,
        Err(error) => {
            link.failures = link.failures.saturating_add(1);
            log::warn!(event = "worker_call_failed", cell = name, worker = id; "{error}");
            return Err(error);
        }
    };
    link.failures = 0;
    link.answered = Some(Instant::now());
    answer.settled.iter().for_each(|key| {
        link.settled.remove(key);
    });
    answer.stopped.iter().for_each(|key| {
        link.strays.remove(key);
    });
    let barred = answer.stopped.into_iter().filter(|key| link.is_missing(key, &reply.attempts));
    let barred: Vec<(TaskId, Attempt)> = barred.collect();
    let first = link.reached.is_none();
    if first {
        link.reached = Some(Instant::now());
        ledger_check::compare(name, id, &owned.cell, &reply.attempts);
    }
    mark_seen(link, &reply.attempts);
    for (task, attempt) in barred {
        if owned.cell.is_placed(&task, attempt, id) {
            owned.end_lost_attempt(&task, attempt, id);
        }
    }
    stop_missing(id, owned, &reply.attempts);
    for report in &reply.attempts {
        take_report(id, owned, report);
    }
    usage::observe(id, owned, &reply);
    Ok(())
}

fn mark_seen(link: &mut Link, reports: &[AttemptReport]) {
    link.tracks.values_mut().for_each(|track| track.seen = false);
    let now = Instant::now();
    for report in reports.iter().filter(|report| report.state == AttemptState::Running) {
        let key = (report.task.clone(), report.attempt);
        link.tracks.entry(key).or_insert_with(|| Track::new(now)).mark_seen(now);
    }
}

/// Queues stops of attempts that may have been started but that the worker does not know, because
/// it has crashed since or the start was lost. The stop bars a late start; once the worker has
/// confirmed it, the attempt ends.
///
/// Guards against repeated starts of an attempt that crashes its worker.
fn stop_missing(id: WorkerId, owned: &mut Owned, reports: &[AttemptReport]) {
    let Some(link) = owned.links.get_mut(&id) else { return };
    let (cell, ending) = (&owned.cell, &owned.ending);
    let missing: Vec<(TaskId, Attempt)> = link
        .tracks
        .keys()
        .filter(|key| !ending.contains(*key) && cell.is_placed(&key.0, key.1, id))
        .filter(|key| link.is_missing(key, reports))
        .cloned()
        .collect();
    link.due |= !missing.is_empty();
    link.strays.extend(missing);
}

/// Holds a worker's word on one attempt against the ledger.
fn take_report(id: WorkerId, owned: &mut Owned, report: &AttemptReport) {
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
    // Guards against a worker that comes back with an attempt thought lost: it would show as work
    // in two places once the next attempt starts beside it. It is told to stop at once.
    let link = owned.links.entry(id).or_default();
    link.tracks.remove(&key);
    if running {
        link.strays.insert(key);
        link.due = true;
        return;
    }
    let late_success = report.state == AttemptState::Done
        && view.is_some_and(|view| !view.state.is_closed() && view.settled.is_none());
    if late_success {
        owned.push_end(&report.task, report.attempt, AttemptOutcome::Done);
    } else if !owned.ending.contains(&key) {
        link.settled.insert(key);
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

/// The kind of a failure by the first word that the worker gives.
fn failure_of(detail: &str) -> FailureKind {
    match detail.split_whitespace().next() {
        Some("memory") => FailureKind::MemoryOverrun,
        Some("worker") => FailureKind::WorkerError,
        Some("input") => FailureKind::BadInput,
        _ => FailureKind::TaskError,
    }
}
