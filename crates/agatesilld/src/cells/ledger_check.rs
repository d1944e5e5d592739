//! Compares the ledger that a takeover rebuilt with the workers' own reports.

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;
use agatesill_wire::platform::{AttemptReport, AttemptState};

/// Logs the differences between the ledger and a worker's first answer to a new owner, and returns
/// their number. Both kinds are normal after a crash: a start that was never sent, or an end that
/// was never committed. The log lines show operators that the differences were found and repaired.
pub(super) fn compare(
    cell_name: &str,
    worker: WorkerId,
    cell: &Cell,
    reports: &[AttemptReport],
) -> usize {
    let running: BTreeMap<&str, Attempt> = reports
        .iter()
        .filter(|report| report.state == AttemptState::Running)
        .map(|report| (report.task.as_str(), report.attempt))
        .collect();
    let in_ledger: BTreeMap<TaskId, Attempt> = cell
        .placed()
        .filter(|(_, _, on)| *on == worker)
        .map(|(task, attempt, _)| (task, attempt))
        .collect();
    let mut differences = 0;
    for (task, attempt) in &in_ledger {
        if running.get(task.as_str()) != Some(attempt) {
            differences += 1;
            log::info!(
                event = "ledger_differs", cell = cell_name, worker = worker, task = task.as_str(),
                attempt = attempt, worker_runs = false; ""
            );
        }
    }
    for (task, attempt) in running {
        if in_ledger.get(task) != Some(&attempt) {
            differences += 1;
            log::warn!(
                event = "ledger_differs", cell = cell_name, worker = worker, task = task,
                attempt = attempt, worker_runs = true; ""
            );
        }
    }
    differences
}
