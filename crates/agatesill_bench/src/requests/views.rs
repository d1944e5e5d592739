//! `views-differ`: one daemon dies while another's views are 5 s old.
//!
//! Utilisation 70%. At 4 s daemon 0 dies with its requests in flight, which go on at the
//! upstreams; from the start daemon 1 hears every heartbeat 5 s late. A silent daemon is taken for
//! dead after 2 s. Lognormal service times (sigma 0.8), the brief's network, heartbeats every
//! 200 ms.

use super::engine::{Decides, Ended, Fault, Finished};
use super::load::{Deployment, SLOTS};
use super::measure::{Figures, Plan, S, all_policies, any, checks, compare, result, run};
use crate::result::{Check, SeedResult};

const DIES: u64 = 4 * S;
const ENDS: u64 = 16 * S;
const LATE: u64 = 5 * S;
const LOAD: f64 = 0.7;

const BEFORE: std::ops::Range<u64> = S..DIES;
const AFTER: std::ops::Range<u64> = DIES + 3 * S..ENDS - 2 * S;

fn figures(seed: u64, deployment: &Deployment, decides: Decides) -> Figures {
    let faults = vec![(0, Fault::LateViews(1, LATE)), (DIES, Fault::Kill(0))];
    let run = run(seed, decides, deployment, &Plan { faults, ..Plan::even(LOAD, ENDS) });
    let refused = |one: &Finished| one.ended == Ended::Refused;
    let mut figures = Figures::default();
    let peak = f64::from(run.watched.peak_present) / f64::from(SLOTS);
    figures.set("peak_over_slots", peak);
    let before = run.p99_us(BEFORE, any);
    figures.set("p99_after_over_before", run.p99_us(AFTER, any) / before);
    figures.set("refused_after", run.share(AFTER, any, refused));
    figures.set("p99_between_over_before", run.p99_us(DIES..AFTER.start, any) / before);
    figures.plot(&run, BEFORE.start..AFTER.end, deployment);
    figures
}

/// Runs a seed.
pub fn seed(seed: u64, only: Option<&str>) -> SeedResult {
    let policies: Vec<&str> =
        all_policies().into_iter().filter(|policy| *policy != "central").collect();
    let compared = compare(only, &policies, |to, _, decides| figures(seed, to, decides));
    let checks = checks(&compared, |_, own, checks| {
        let peak = own.get("peak_over_slots");
        checks.push(Check::at_most("most requests at an upstream over its slots", peak, 1.1));
        let tail = own.get("p99_after_over_before");
        checks.push(Check::at_most("p99 from 3 s after over before", tail, 1.25));
        checks.push(Check::at_most(
            "refused share from 3 s after",
            own.get("refused_after"),
            0.005,
        ));
    });
    result(compared, checks)
}
