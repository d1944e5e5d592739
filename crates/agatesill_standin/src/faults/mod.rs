//! Randomised fault runs: seeded schedules of faults against real daemons between the stand-ins.
//!
//! A scenario builds a [`Simulation`], keeps a load on it while [`play`] carries the schedule out, and
//! judges the stand-ins' books afterwards. The runner knows nothing of the load: batch work is
//! one scenario ([`batch`]), requests can be another. A failing schedule is shrunk by
//! [`shrink`] to the fewest faults that still fail.

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

/// What one run showed.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Invariants that were broken; empty after a good run.
    pub violations: Vec<String>,
    /// What happened, in order, short enough to read.
    pub trace: Vec<String>,
    /// Counts for a table, by name.
    pub figures: Vec<(&'static str, f64)>,
}

impl RunReport {
    /// The run as text: the seed, what broke, and the trace.
    pub fn text(&self, schedule: &Schedule) -> String {
        let head = format!("seed {}: {} violations", schedule.seed, self.violations.len());
        let broken = self.violations.iter().map(|violation| format!("  broken: {violation}"));
        let trace = self.trace.iter().map(|line| format!("  {line}"));
        std::iter::once(head).chain(broken).chain(trace).collect::<Vec<_>>().join("\n")
    }
}

/// Carries a schedule out against `world`; every fault has ended when it returns.
pub async fn play(schedule: &Schedule, world: &Simulation) {
    let faults = schedule.faults.iter().map(|planned| async move {
        tokio::time::sleep(Duration::from_millis(planned.at_ms)).await;
        world.begin(planned.fault).await;
        tokio::time::sleep(Duration::from_millis(planned.for_ms)).await;
        world.end(planned.fault).await;
    });
    futures::future::join_all(faults).await;
    world.heal().await;
}

/// Runs a scenario at a seed; when it fails, shrinks its schedule and says what is left of it.
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
    let (least, mut shown) = shrink(schedule, report, scenario).await;
    shown.trace.insert(0, format!("least schedule that fails: {least}"));
    shown
}
