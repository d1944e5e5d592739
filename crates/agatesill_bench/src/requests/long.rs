//! `long-among-short`: one request in twenty takes 50 times as long.
//!
//! Utilisation is 80%, 72% of it from long requests. Service times of both kinds are lognormal
//! (sigma 0.8), network delays are those of [`Deployment`], and heartbeats are sent every 200 ms.
//! Short requests are compared with a run of the same short requests alone; long ones are checked
//! for their waiting time beyond the service time.

use super::engine::{CallerOutcome, FinishedRequest, PolicyKind};
use super::load::{Deployment, Shape};
use super::measure::{
    Figures, Plan, SECOND_US, all_policies, checks, compare, quantile, result, run,
};
use crate::result::{Check, SeedResult};

const LOAD: f64 = 0.8;
const SPAN_US: std::ops::Range<u64> = 10 * SECOND_US..30 * SECOND_US;
const END_US: u64 = 50 * SECOND_US;

fn figures(seed: u64, deployment: &Deployment, policy_kind: PolicyKind) -> Figures {
    let mixed = Plan { shape: Shape::Long, ..Plan::even(LOAD, END_US) };
    let alone = Plan { shape: Shape::ShortOnly, ..Plan::even(LOAD, END_US) };
    let short = |request: &FinishedRequest| !request.arrival.long;
    let long = |request: &FinishedRequest| request.arrival.long;
    let refused = |request: &FinishedRequest| request.ended == CallerOutcome::Refused;
    let without = run(seed, policy_kind, deployment, &alone).p99_us(SPAN_US, short);
    let run = run(seed, policy_kind, deployment, &mixed);
    let mut waits: Vec<u64> = run
        .within(SPAN_US, |request| long(request) && request.ended == CallerOutcome::Answered)
        .map(|request| request.latency_us().saturating_sub(request.arrival.service_us))
        .collect();
    let mut figures = Figures::default();
    figures.set("short_p99_ms", run.p99_us(SPAN_US, short) / 1e3);
    figures.set("short_p99_over_without", run.p99_us(SPAN_US, short) / without);
    figures.set("short_refused", run.share(SPAN_US, short, refused));
    figures.set("long_refused", run.share(SPAN_US, long, refused));
    figures.set("long_wait_p99_ms", quantile(&mut waits, 0.99) / 1e3);
    figures.plot(&run, SPAN_US, deployment);
    figures
}

/// Runs a seed.
pub fn seed(seed: u64, only: Option<&str>) -> SeedResult {
    let comparison =
        compare(only, &all_policies(), |to, _, policy_kind| figures(seed, to, policy_kind));
    let checks = checks(&comparison, |to, agatesill, checks| {
        let ratio = agatesill.get("short_p99_over_without");
        checks.push(Check::at_most("short requests' p99 over theirs alone", ratio, 2.0));
        let refused = agatesill.get("long_refused");
        checks.push(Check::at_most("long requests' refused share", refused, 0.005));
        let wait = agatesill.get("long_wait_p99_ms") * 1e3 / to.promise_us as f64;
        checks.push(Check::at_most("long requests' p99 wait over promise", wait, 1.0));
    });
    result(comparison, checks)
}
