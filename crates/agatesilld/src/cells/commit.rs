//! Group commit: one record at a time, effects only once it is known to stand.

use std::time::{Duration, Instant};

use agatesill_coord::prelude::*;
use agatesill_policy::prelude::*;
use agatesill_wire::prelude::*;
use tokio::sync::mpsc;

use super::owned::{Awaited, Owned};
use super::report::{job_status, log_delta};
use super::{Event, now_ms};

/// Placements proposed in one group.
pub(super) const PLACEMENTS_PER_COMMIT: usize = 256;

/// Pause after a write that failed, so that an outage is not met with a storm of retries.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// Closed jobs kept in the ledger of one cell for reports and for submissions that come again:
/// at 13,000 jobs a day in 16 cells, more than two days of them.
const HISTORY_JOBS: usize = 2_000;

/// Jobs dropped from the history in one record.
const FORGET_PER_COMMIT: usize = 64;

/// A write that ended, with the log that made it.
pub(super) struct Written {
    pub(super) cell: String,
    pub(super) epoch: u64,
    log: CommitLog,
    what: What,
    outcome: Result<(), Error>,
}

#[derive(Clone, Copy, PartialEq)]
enum What {
    Record,
    Snapshot,
}

/// Begins the next write of a cell, if one is due and none is under way.
///
/// Guards against a lost answer: a record whose fate is unknown is resolved before anything else
/// is written, and nothing follows from it until then. Otherwise a start could be sent for a
/// placement that another owner never saw, or be sent twice.
pub(super) fn start_write(
    name: &str,
    owned: &mut Owned,
    valid: bool,
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
            send(events, Written { cell, epoch, log, what: What::Record, outcome }).await;
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
            send(events, Written { cell, epoch, log, what: What::Snapshot, outcome }).await;
        });
        return;
    }
    let Some(deltas) = next_group(owned, valid, config) else {
        owned.log = Some(log);
        return;
    };
    owned.in_flight.clone_from(&deltas);
    tokio::spawn(async move {
        let outcome = log.append(&deltas).await;
        send(events, Written { cell, epoch, log, what: What::Record, outcome }).await;
    });
}

async fn send(events: mpsc::Sender<Event>, written: Written) {
    let _ = events.send(Event::Written(Box::new(written))).await;
}

/// What is pending and what is planned now, as much as fits into one record. A plan that was not
/// written is dropped: the next one is made from the ledger of then.
fn next_group(owned: &mut Owned, valid: bool, config: &BatchConfig) -> Option<Vec<CellDelta>> {
    let mut deltas = owned.pending.clone();
    if valid {
        let plan = owned.policy.plan(now_ms(), &owned.cell, config);
        for throttle in plan.throttles {
            owned.links.entry(throttle.worker).or_default().throttle(throttle);
        }
        deltas.extend(plan.deltas);
    }
    deltas.extend(forgettable(&owned.cell).into_iter().map(|job| CellDelta::Forget { job }));
    let fitting = CommitLog::count_fitting(&deltas).unwrap_or(0);
    deltas.truncate(fitting);
    let taken = owned.pending.len().min(fitting);
    owned.pending.drain(..taken);
    (!deltas.is_empty()).then_some(deltas)
}

/// The oldest closed jobs beyond what is kept.
fn forgettable(cell: &Cell) -> Vec<String> {
    if cell.jobs().count() <= HISTORY_JOBS {
        return Vec::new();
    }
    let is_over = |job: &&Job| job.outcome.is_some() && job.live_tasks == 0;
    let mut closed: Vec<(u64, &str)> =
        cell.jobs().filter(is_over).map(|job| (job.at_ms, job.spec.id.as_str())).collect();
    let excess = closed.len().saturating_sub(HISTORY_JOBS);
    closed.sort_unstable();
    closed.into_iter().take(excess.min(FORGET_PER_COMMIT)).map(|(_, id)| id.to_owned()).collect()
}

/// Takes the log back and, when the record stands, applies it and answers those who wait for it.
pub(super) fn finish_write(name: &str, owned: &mut Owned, written: Written) -> Result<(), Error> {
    let pending = written.log.is_pending();
    owned.log = Some(written.log);
    match written.outcome {
        Ok(()) => {
            owned.confirmed = Instant::now();
            if written.what == What::Record {
                apply(name, owned);
            }
            owned.snapshot_wanted = false;
            Ok(())
        }
        Err(error) => {
            owned.write_after = Instant::now() + FAILED_PAUSE;
            if written.what == What::Record && !pending {
                // Nothing was written: the ends and calls among the deltas go back in line.
                owned.snapshot_wanted = error.kind == ErrorKind::RingFull;
                let unwritten = std::mem::take(&mut owned.in_flight);
                let kept = unwritten.into_iter().filter(must_be_written);
                owned.pending = kept.chain(owned.pending.drain(..)).collect();
            }
            Err(error)
        }
    }
}

/// Whether a delta says what happened or was asked, rather than what the policy would like.
fn must_be_written(delta: &CellDelta) -> bool {
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

fn apply(name: &str, owned: &mut Owned) {
    for delta in std::mem::take(&mut owned.in_flight) {
        let effects = owned.policy.apply(now_ms(), &mut owned.cell, &delta);
        log_delta(name, owned.epoch, &delta);
        if let CellDelta::End { task, attempt, .. } = &delta {
            owned.ending.remove(&(task.clone(), *attempt));
            owned.links.values_mut().for_each(|link| link.forget(task, *attempt));
        }
        for effect in &effects {
            match effect {
                CellEffect::Start { worker, task, attempt, .. } => {
                    owned.links.entry(*worker).or_default().expect(task, *attempt);
                }
                CellEffect::Stop { worker, .. } => {
                    owned.links.entry(*worker).or_default().due = true;
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

fn answer_waiters(name: &str, owned: &mut Owned, delta: &CellDelta) {
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
        let gone = || Error::new(ErrorKind::NotFound, format!("job {id}"));
        (waiter.reply)(status.ok_or_else(gone));
    }
}
