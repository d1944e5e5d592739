//! Randomised fault runs: seeded schedules of faults against real daemons connected to stand-ins.
//!
//! A scenario builds a [`Simulation`], applies load to it while [`run_schedule`] injects the
//! faults, and verifies the stand-ins' audit logs afterwards. The runner is independent of the
//! load: batch work ([`batch`]) and requests ([`requests`]) are separate scenarios. [`shrink`]
//! reduces a failing schedule to the fewest faults that still fail.

pub mod batch;
mod process;
pub mod requests;
mod schedule;
mod shrink;
mod simulation;
mod trace;

use std::future::Future;
use std::time::Duration;

pub use process::DaemonProcess;
pub use schedule::{Fault, FaultKind, PlannedFault, Schedule, ScheduleLimits};
pub use shrink::shrink;
pub use simulation::{Simulation, SimulationOptions, sibling_daemon_binary};
pub use trace::Trace;

/// Result of one run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Violated invariants; empty after a successful run.
    pub violations: Vec<String>,
    /// Events of the run in order, one line each.
    pub trace: Vec<String>,
    /// Counts for result tables, by name.
    pub figures: Vec<(&'static str, f64)>,
}

impl RunReport {
    /// Formats the run: the seed, the violations and the trace.
    pub fn text(&self, schedule: &Schedule) -> String {
        let header = format!("seed {}: {} violations", schedule.seed, self.violations.len());
        let broken = self.violations.iter().map(|violation| format!("  violation: {violation}"));
        let trace = self.trace.iter().map(|line| format!("  {line}"));
        std::iter::once(header).chain(broken).chain(trace).collect::<Vec<_>>().join("\n")
    }
}

/// Injects the faults of a schedule. All faults have ended when it returns.
pub async fn run_schedule(schedule: &Schedule, simulation: &Simulation) {
    let faults = schedule.faults.iter().map(|planned| async move {
        tokio::time::sleep(Duration::from_millis(planned.at_ms)).await;
        simulation.begin(planned.fault).await;
        tokio::time::sleep(Duration::from_millis(planned.for_ms)).await;
        simulation.end(planned.fault).await;
    });
    futures::future::join_all(faults).await;
    simulation.end_all_faults().await;
}

/// Runs a scenario with a seed. If it fails, shrinks its schedule and reports the smallest failing
/// one.
pub async fn run_seed<F, R>(seed: u64, limits: &ScheduleLimits, scenario: F) -> RunReport
where
    F: Fn(Schedule) -> R,
    R: Future<Output = RunReport>,
{
    let schedule = Schedule::generate(seed, limits);
    let report = scenario(schedule.clone()).await;
    if report.violations.is_empty() {
        return report;
    }
    let (smallest, mut smallest_report) = shrink(schedule, report, scenario).await;
    smallest_report.trace.insert(0, format!("smallest failing schedule: {smallest}"));
    smallest_report
}
