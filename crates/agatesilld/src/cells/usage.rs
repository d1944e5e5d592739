//! Hands the workers' lagging usage to the policy.

use agatesill_policy::batch::UsageReport;
use agatesill_policy::prelude::*;
use agatesill_wire::platform::WorkerReply;

use super::now_ms;
use super::owned::Owned;

/// Tells the policy what a worker measured, and when, on this process's clock.
///
/// A report that names no service counts too. Left out, a service under pressure that ends would
/// leave its last pressure behind, and the worker would stay closed to batch work for ever.
pub(super) fn observe(worker: WorkerId, owned: &mut Owned, reply: &WorkerReply) {
    let report = UsageReport {
        measured_ms: now_ms().saturating_sub(reply.usage_age_ms),
        services: reply.services.clone(),
        tasks: reply.tasks.clone(),
    };
    owned.policy.observe(now_ms(), &owned.cell, worker, &report);
}
