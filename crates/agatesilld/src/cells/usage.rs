//! Passes the workers' delayed usage reports to the policy.

use agatesill_policy::batch::UsageReport;
use agatesill_policy::prelude::*;
use agatesill_wire::platform::WorkerReply;

use super::now_ms;
use super::owned::OwnedCell;

/// Passes a worker's usage report to the policy, with the time of measurement on this process's
/// clock.
///
/// Reports without services are passed on too. Otherwise the last reported pressure of a service
/// that has ended would stay, and the worker would remain closed to batch work forever.
pub(super) fn observe(worker: WorkerId, owned: &mut OwnedCell, reply: &WorkerReply) {
    let report = UsageReport {
        measured_ms: now_ms().saturating_sub(reply.usage_age_ms),
        services: reply.services.clone(),
        tasks: reply.tasks.clone(),
    };
    owned.policy.observe(now_ms(), &owned.cell, worker, &report);
}
