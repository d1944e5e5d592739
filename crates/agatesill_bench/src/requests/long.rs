//! `long-among-short`: one request in twenty takes 50 times as long.
//!
//! Utilisation 80%, of which the long ones hold 72%. Lognormal service times (sigma 0.8) for both,
//! the brief's network, heartbeats every 200 ms. Short requests are judged against the same short
//! requests without the long ones; long ones by what they wait beyond their own work.

use super::engine::{Decides, Ended, Finished};
use super::load::{Deployment, Shape};
use super::measure::{Figures, Plan, S, all_policies, checks, compare, quantile, result, run};
use crate::result::{Check, SeedResult};

const LOAD: f64 = 0.8;
const SPAN: std::ops::Range<u64> = 10 * S..30 * S;
const ENDS: u64 = 50 * S;

fn figures(seed: u64, deployment: &Deployment, decides: Decides) -> Figures {
    let mixed = Plan { shape: Shape::Long, ..Plan::even(LOAD, ENDS) };
    let alone = Plan { shape: Shape::LongLeftOut, ..Plan::even(LOAD, ENDS) };
    let short = |one: &Finished| !one.arrival.long;
    let long = |one: &Finished| one.arrival.long;
    let refused = |one: &Finished| one.ended == Ended::Refused;
    let without = run(seed, decides, deployment, &alone).p99_us(SPAN, short);
    let run = run(seed, decides, deployment, &mixed);
    let mut waits: Vec<u64> = run
        .within(SPAN, |one| long(one) && one.ended == Ended::Answered)
        .map(|one| one.latency_us().saturating_sub(one.arrival.service_us))
        .collect();
    let mut figures = Figures::default();
    figures.set("short_p99_ms", run.p99_us(SPAN, short) / 1e3);
    figures.set("short_p99_over_without", run.p99_us(SPAN, short) / without);
    figures.set("short_refused", run.share(SPAN, short, refused));
    figures.set("long_refused", run.share(SPAN, long, refused));
    figures.set("long_wait_p99_ms", quantile(&mut waits, 0.99) / 1e3);
    figures.plot(&run, SPAN, deployment);
    figures
}

/// Runs a seed.
pub fn seed(seed: u64, only: Option<&str>) -> SeedResult {
    let compared = compare(only, &all_policies(), |to, _, decides| figures(seed, to, decides));
    let checks = checks(&compared, |to, own, checks| {
        let ratio = own.get("short_p99_over_without");
        checks.push(Check::at_most("short requests' p99 over theirs alone", ratio, 2.0));
        let refused = own.get("long_refused");
        checks.push(Check::at_most("long requests' refused share", refused, 0.005));
        let wait = own.get("long_wait_p99_ms") * 1e3 / to.promise_us as f64;
        checks.push(Check::at_most("long requests' p99 wait over promise", wait, 1.0));
    });
    result(compared, checks)
}
