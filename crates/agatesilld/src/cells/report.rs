//! Reports of the cell manager: log lines of ledger changes, job status and cell status.

use agatesill_policy::prelude::*;
use agatesill_wire::api::{CellStatus, JobStatus, JobTask};

use super::owned::OwnedCell;

/// Logs a committed change.
pub(super) fn log_delta(cell: &str, epoch: u64, delta: &CellDelta) {
    match delta {
        CellDelta::Accept { job, .. } => {
            log::info!(event = "job_accepted", cell = cell, job = job.id.as_str(); "");
        }
        CellDelta::Place { task, attempt, worker, .. } => log::info!(
            event = "place", cell = cell, epoch = epoch, task = task.as_str(), attempt = attempt,
            worker = worker; ""
        ),
        CellDelta::Evict { task, attempt, reason } => log::info!(
            event = "evict", cell = cell, task = task.as_str(), attempt = attempt,
            reason:? = reason; ""
        ),
        CellDelta::End { task, attempt, outcome } => log::info!(
            event = "attempt_ended", cell = cell, epoch = epoch, task = task.as_str(),
            attempt = attempt, outcome:? = outcome; ""
        ),
        CellDelta::Cancel { job } => {
            log::info!(event = "job_cancelled", cell = cell, job = job.as_str(); "");
        }
        other => log::info!(event = "ledger_change", cell = cell, delta:? = other; ""),
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

/// Status of a job as reported to callers.
pub(super) fn job_status(cell: &str, job: &Job) -> JobStatus {
    let task = |view: &agatesill_policy::batch::TaskView| JobTask {
        state: state_name(&view.state).to_owned(),
        attempt: view.attempt,
        worker: view.state.worker(),
        evictions: view.evictions,
        failures: view.failures + view.overruns,
        checkpoint_ms: view.checkpoint_ms,
    };
    let (outcome, reason) = match (&job.outcome, &job.parked) {
        (Some(JobOutcome::Done), _) => ("done", String::new()),
        (Some(JobOutcome::Failed { reason }), _) => ("failed", reason.clone()),
        (Some(JobOutcome::Cancelled), _) => ("cancelled", String::new()),
        (None, Some(reason)) => ("parked", reason.clone()),
        (None, None) => ("", String::new()),
    };
    JobStatus {
        spec: job.spec.clone(),
        cell: cell.to_owned(),
        tasks: job.tasks.iter().map(task).collect(),
        accepted_ms: job.at_ms,
        outcome: outcome.to_owned(),
        reason,
    }
}

/// Status of a cell as shown on the status page.
pub(super) fn cell_status(name: &str, owned: &OwnedCell) -> CellStatus {
    let (mut waiting, mut placed, mut done) = (0, 0, 0);
    for task in owned.cell.jobs().flat_map(|job| &job.tasks) {
        match task.state {
            TaskState::Waiting { .. } => waiting += 1,
            TaskState::Placed { .. } | TaskState::Evicting { .. } => placed += 1,
            TaskState::Done => done += 1,
            TaskState::Failed | TaskState::Cancelled => {}
        }
    }
    CellStatus {
        name: name.to_owned(),
        epoch: owned.epoch,
        workers: owned.cell.workers().len() as u64,
        waiting,
        placed,
        done,
    }
}
