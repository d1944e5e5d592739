//! `slow-upstream`: one of 50 upstreams becomes ten times slower; in a second run, five do.
//!
//! Utilisation is 70% of the healthy upstreams. The upstreams are slow from 4 s to 14 s and healthy
//! from then until 36 s. Service times are lognormal (sigma 0.8), network delays are those of
//! [`Deployment`], and heartbeats are sent every 200 ms. The latency is compared with a run of the
//! same seed with all upstreams healthy.

use super::engine::{Fault, FinishedRequest, PolicyKind};
use super::load::{Deployment, UPSTREAMS};
use super::measure::{
    Figures, Plan, Run, SECOND_US, all_policies, any, checks, compare, result, run,
};
use crate::result::{Check, SeedResult};

const SLOW_FROM_US: u64 = 4 * SECOND_US;
const SLOW_TO_US: u64 = 14 * SECOND_US;
const END_US: u64 = 37 * SECOND_US;
const SLOWDOWN: f64 = 10.0;
const LOAD: f64 = 0.7;

/// Time by which the policy must avoid the slow upstreams.
const REACTED_US: u64 = SLOW_FROM_US + 2 * SECOND_US;

/// Time at which the recovered upstreams must have most of their share again; it is measured over
/// the following 2 s.
const SHARE_FROM_US: u64 = SLOW_TO_US + 20 * SECOND_US;

fn reached(below: u32) -> impl Fn(&FinishedRequest) -> bool {
    let mask = (1u64 << below) - 1;
    move |request| request.reached & mask != 0
}

fn back_to_share(run: &Run, slow: u32) -> f64 {
    let share = run.share(SHARE_FROM_US..SHARE_FROM_US + 2 * SECOND_US, any, reached(slow));
    share / (f64::from(slow) / f64::from(UPSTREAMS))
}

fn figures(seed: u64, deployment: &Deployment, policy_kind: PolicyKind) -> Figures {
    let span = REACTED_US..SLOW_TO_US;
    let even = Plan::even(LOAD, END_US);
    let healthy = run(seed, policy_kind, deployment, &Plan::even(LOAD, SLOW_TO_US + SECOND_US));
    let healthy_p99 = healthy.p99_us(span.clone(), any);
    let mut figures = Figures::default();
    figures.set("healthy_p99_ms", healthy_p99 / 1e3);
    for slow in [1, 5] {
        let faults = vec![
            (SLOW_FROM_US, Fault::Slowdown(slow, SLOWDOWN)),
            (SLOW_TO_US, Fault::Slowdown(slow, 1.0)),
        ];
        let run = run(seed, policy_kind, deployment, &Plan { faults, ..even.clone() });
        let p99 = run.p99_us(span.clone(), any);
        figures.set(&format!("{slow}_met_share"), run.share(span.clone(), any, reached(slow)));
        figures.set(&format!("{slow}_p99_over_healthy"), p99 / healthy_p99);
        figures.set(&format!("{slow}_back_to_share"), back_to_share(&run, slow));
        if slow == 5 {
            figures.plot(&run, span.clone(), deployment);
        }
    }
    figures
}

/// Runs a seed.
pub fn seed(seed: u64, only: Option<&str>) -> SeedResult {
    let comparison =
        compare(only, &all_policies(), |to, _, policy_kind| figures(seed, to, policy_kind));
    let checks = checks(&comparison, |_, agatesill, checks| {
        for slow in [1, 5] {
            let value = |suffix: &str| agatesill.get(&format!("{slow}_{suffix}"));
            let name = |suffix: &str| format!("{slow} slow: {suffix}");
            checks.push(Check::at_most(
                &name("share of requests that meet it from 2 s on"),
                value("met_share"),
                0.02,
            ));
            let ratio = value("p99_over_healthy");
            checks.push(Check::at_most(&name("p99 over healthy"), ratio, 1.3));
            let back = value("back_to_share");
            checks.push(Check::at_least(&name("share 20 s after it heals"), back, 0.8));
        }
    });
    result(comparison, checks)
}
