//! `views-differ`: one daemon is killed while another's peer views are 5 s old.
//!
//! Utilisation is 70%. At 4 s daemon 0 is killed; its requests in flight continue at the upstreams.
//! Daemon 1 receives every heartbeat 5 s late from the start. A daemon is considered dead after 2 s
//! without a heartbeat. Service times are lognormal (sigma 0.8), network delays are those of
//! [`Deployment`], and heartbeats are sent every 200 ms.

use super::engine::{CallerOutcome, Fault, FinishedRequest, PolicyKind};
use super::load::{Deployment, SLOTS};
use super::measure::{Figures, Plan, SECOND_US, all_policies, any, checks, compare, result, run};
use crate::result::{Check, SeedResult};

const KILLED_US: u64 = 4 * SECOND_US;
const END_US: u64 = 16 * SECOND_US;
const VIEW_DELAY_US: u64 = 5 * SECOND_US;
const LOAD: f64 = 0.7;

const BEFORE_US: std::ops::Range<u64> = SECOND_US..KILLED_US;
const AFTER_US: std::ops::Range<u64> = KILLED_US + 3 * SECOND_US..END_US - 2 * SECOND_US;

fn figures(seed: u64, deployment: &Deployment, policy_kind: PolicyKind) -> Figures {
    let faults = vec![(0, Fault::DelayViews(1, VIEW_DELAY_US)), (KILLED_US, Fault::Kill(0))];
    let run = run(seed, policy_kind, deployment, &Plan { faults, ..Plan::even(LOAD, END_US) });
    let refused = |request: &FinishedRequest| request.ended == CallerOutcome::Refused;
    let mut figures = Figures::default();
    let peak = f64::from(run.stats.peak_requests) / f64::from(SLOTS);
    figures.set("peak_over_slots", peak);
    let before = run.p99_us(BEFORE_US, any);
    figures.set("p99_after_over_before", run.p99_us(AFTER_US, any) / before);
    figures.set("refused_after", run.share(AFTER_US, any, refused));
    figures.set("p99_between_over_before", run.p99_us(KILLED_US..AFTER_US.start, any) / before);
    figures.plot(&run, BEFORE_US.start..AFTER_US.end, deployment);
    figures
}

/// Runs a seed.
pub fn seed(seed: u64, only: Option<&str>) -> SeedResult {
    let policies: Vec<&str> =
        all_policies().into_iter().filter(|policy| *policy != "central").collect();
    let comparison = compare(only, &policies, |to, _, policy_kind| figures(seed, to, policy_kind));
    let checks = checks(&comparison, |_, agatesill, checks| {
        let peak = agatesill.get("peak_over_slots");
        checks.push(Check::at_most("most requests at an upstream over its slots", peak, 1.1));
        let tail = agatesill.get("p99_after_over_before");
        checks.push(Check::at_most("p99 from 3 s after over before", tail, 1.25));
        checks.push(Check::at_most(
            "refused share from 3 s after",
            agatesill.get("refused_after"),
            0.005,
        ));
    });
    result(comparison, checks)
}
