//! Group commit: one record at a time. Effects follow only after the record is known to be
//! committed.

use std::time::{Duration, Instant};

use agatesill_coord::prelude::*;
use agatesill_policy::prelude::*;
use agatesill_wire::prelude::*;
use tokio::sync::mpsc;

use super::owned::{Awaited, OwnedCell};
use super::report::{job_status, log_delta};
use super::{Event, now_ms};
use crate::settings::CellSettings;

/// Maximum number of placements proposed for one record.
pub(super) const MAX_PLACEMENTS_PER_COMMIT: usize = 256;

/// Back-off after a failed write, to avoid a storm of retries during an outage.
const FAILED_WRITE_BACKOFF: Duration = Duration::from_millis(200);

/// Closed jobs kept in the ledger of one cell for reports and repeated submissions: more than two
/// days of jobs at 13,000 jobs a day in 16 cells.
const MAX_HISTORY_JOBS: usize = 2_000;

/// Maximum number of jobs removed from the history in one record.
const MAX_FORGETS_PER_COMMIT: usize = 64;

/// Result of a write, with the log that made it.
pub(super) struct WriteResult {
    pub(super) cell: String,
    pub(super) epoch: u64,
    log: CommitLog,
    kind: WriteKind,
    outcome: Result<(), Error>,
}

#[derive(Clone, Copy, PartialEq)]
enum WriteKind {
    Record,
    Snapshot,
}

/// Starts the next write of a cell, if one is due and none is in progress.
///
/// Guards against a lost answer: a record with an unknown outcome is resolved before anything else
/// is written, and its effects wait until then. Otherwise a start could be sent for a placement
/// that another owner never saw, or be sent twice.
pub(super) fn start_write(
    name: &str,
    owned: &mut OwnedCell,
    settings: &CellSettings,
    may_plan: bool,
    config: &BatchConfig,
    events: &mpsc::Sender<Event>,
) {
    if Instant::now() < owned.write_after {
        return;
    }
    let Some(mut log) = owned.log.take() else { return };
    let (cell, epoch, events) = (name.to_owned(), owned.epoch, events.clone());
    if log.is_pending() {
        tokio::spawn(async move {
            let outcome = log.resolve().await;
            send(events, WriteResult { cell, epoch, log, kind: WriteKind::Record, outcome }).await;
        });
        return;
    }
    if owned.snapshot_wanted || log.snapshot_due() {
        let state = owned.cell.clone();
        tokio::spawn(async move {
            let mut outcome = log.snapshot(&state).await;
            if outcome.is_ok()
                && let Err(error) = log.delete_stale_chunks().await
                && error.kind == ErrorKind::Conflict
            {
                outcome = Err(error);
            }
            send(events, WriteResult { cell, epoch, log, kind: WriteKind::Snapshot, outcome })
                .await;
        });
        return;
    }
    let Some(deltas) = next_group(owned, settings, may_plan, config) else {
        owned.log = Some(log);
        return;
    };
    owned.in_flight.clone_from(&deltas);
    tokio::spawn(async move {
        let outcome = log.append(&deltas).await;
        send(events, WriteResult { cell, epoch, log, kind: WriteKind::Record, outcome }).await;
    });
}

async fn send(events: mpsc::Sender<Event>, written: WriteResult) {
    let _ = events.send(Event::WriteResult(Box::new(written))).await;
}

/// Collects the pending deltas and a new plan, as far as they fit into one record. A plan that is
/// not written is dropped; the next one is made from the ledger at that time.
fn next_group(
    owned: &mut OwnedCell,
    settings: &CellSettings,
    may_plan: bool,
    config: &BatchConfig,
) -> Option<Vec<CellDelta>> {
    let mut deltas = owned.pending.clone();
    if may_plan {
        owned.policy.set_unreachable(owned.unresponsive_workers(settings), &owned.cell);
        let plan = owned.policy.plan(now_ms(), &owned.cell, config);
        for throttle in plan.throttles {
            owned.connections.entry(throttle.worker).or_default().throttle(throttle);
        }
        deltas.extend(plan.deltas);
    }
    deltas.extend(forgettable(&owned.cell).into_iter().map(|job| CellDelta::Forget { job }));
    let fitting = CommitLog::count_fitting(&deltas).unwrap_or(0);
    deltas.truncate(fitting);
    let drained = owned.pending.len().min(fitting);
    owned.pending.drain(..drained);
    (!deltas.is_empty()).then_some(deltas)
}

/// The oldest closed jobs beyond the number that is kept.
fn forgettable(cell: &Cell) -> Vec<String> {
    if cell.jobs().count() <= MAX_HISTORY_JOBS {
        return Vec::new();
    }
    let is_over = |job: &&Job| job.outcome.is_some() && job.live_tasks == 0;
    let mut closed: Vec<(u64, &str)> =
        cell.jobs().filter(is_over).map(|job| (job.at_ms, job.spec.id.as_str())).collect();
    let excess = closed.len().saturating_sub(MAX_HISTORY_JOBS);
    closed.sort_unstable();
    closed
        .into_iter()
        .take(excess.min(MAX_FORGETS_PER_COMMIT))
        .map(|(_, id)| id.to_owned())
        .collect()
}

/// Puts the log back. If the record is committed, applies it and answers the callers that wait for
/// it.
pub(super) fn finish_write(
    name: &str,
    owned: &mut OwnedCell,
    written: WriteResult,
) -> Result<(), Error> {
    let pending = written.log.is_pending();
    owned.log = Some(written.log);
    match written.outcome {
        Ok(()) => {
            owned.confirmed = Instant::now();
            if written.kind == WriteKind::Record {
                apply_record(name, owned);
            }
            owned.snapshot_wanted = false;
            Ok(())
        }
        Err(error) => {
            owned.write_after = Instant::now() + FAILED_WRITE_BACKOFF;
            if written.kind == WriteKind::Record && !pending {
                // The record was not written: required deltas, such as ends and calls, are queued
                // again.
                owned.snapshot_wanted = error.kind == ErrorKind::RingFull;
                let unwritten = std::mem::take(&mut owned.in_flight);
                let kept = unwritten.into_iter().filter(is_required);
                owned.pending = kept.chain(owned.pending.drain(..)).collect();
            }
            Err(error)
        }
    }
}

/// Whether a delta records an event or a request, as opposed to a decision of the policy that can
/// be made again.
fn is_required(delta: &CellDelta) -> bool {
    matches!(
        delta,
        CellDelta::Accept { .. }
            | CellDelta::Import { .. }
            | CellDelta::End { .. }
            | CellDelta::Cancel { .. }
            | CellDelta::AddWorker { .. }
            | CellDelta::SetWorkerState { .. }
    )
}

fn apply_record(name: &str, owned: &mut OwnedCell) {
    for delta in std::mem::take(&mut owned.in_flight) {
        let effects = owned.policy.apply(now_ms(), &mut owned.cell, &delta);
        log_delta(name, owned.epoch, &delta);
        if let CellDelta::End { task, attempt, .. } = &delta {
            owned.ending.remove(&(task.clone(), *attempt));
            owned.connections.values_mut().for_each(|connection| connection.forget(task, *attempt));
        }
        for effect in &effects {
            match effect {
                CellEffect::Start { worker, task, attempt, .. } => {
                    owned.connections.entry(*worker).or_default().add_attempt(task, *attempt);
                }
                CellEffect::Stop { worker, .. } => {
                    owned.connections.entry(*worker).or_default().due = true;
                }
                CellEffect::JobClosed { job, outcome } => {
                    log::info!(
                        event = "job_closed", cell = name, job = job.as_str(),
                        outcome:? = outcome; ""
                    );
                }
            }
        }
        answer_waiters(name, owned, &delta);
    }
}

fn answer_waiters(name: &str, owned: &mut OwnedCell, delta: &CellDelta) {
    let (id, awaited) = match delta {
        CellDelta::Accept { job, .. } => (job.id.as_str(), Awaited::Accept),
        CellDelta::Cancel { job } => (job.as_str(), Awaited::Cancel),
        _ => return,
    };
    let (answered, waiting): (Vec<_>, Vec<_>) =
        owned.waiters.drain(..).partition(|waiter| waiter.job == id && waiter.awaited == awaited);
    owned.waiters = waiting;
    for waiter in answered {
        let status = owned.cell.job(id).map(|job| job_status(name, job));
        let removed = || Error::new(ErrorKind::NotFound, format!("job {id}"));
        (waiter.reply)(status.ok_or_else(removed));
    }
}
