//! `hot-caller` and `hot-key`: one of 20 callers or keys has ten times its share.
//!
//! Utilisation is 70%, and 101.5% with the hot one from 2 s to 8 s. Service times are lognormal
//! (sigma 0.8), network delays are those of [`Deployment`], and heartbeats are sent every 200 ms.
//! The others are compared with a run of the same seed without the hot one.

use super::engine::{CallerOutcome, PolicyKind};
use super::load::{Deployment, Shape};
use super::measure::{Figures, Plan, Run, SECOND_US, all_policies, checks, compare, result, run};
use crate::result::{Check, SeedResult};

const HOT_FROM_US: u64 = 2 * SECOND_US;
const HOT_TO_US: u64 = 8 * SECOND_US;
const LOAD: f64 = 0.7;

fn figures(seed: u64, deployment: &Deployment, policy_kind: PolicyKind, by_key: bool) -> Figures {
    let even = Plan::even(LOAD, HOT_TO_US + 2 * SECOND_US);
    let shape = if by_key {
        Shape::HotKey(HOT_FROM_US, HOT_TO_US)
    } else {
        Shape::HotCaller(HOT_FROM_US, HOT_TO_US)
    };
    let hot = Plan { shape, ..even.clone() };
    let others = |request: &super::engine::FinishedRequest| {
        if by_key { request.arrival.key != 0 } else { request.arrival.caller != 0 }
    };
    let span = HOT_FROM_US..HOT_TO_US;
    let p99 = |run: &Run| run.p99_us(span.clone(), others);
    let without = p99(&run(seed, policy_kind, deployment, &even));
    let run = run(seed, policy_kind, deployment, &hot);
    let refused =
        |request: &super::engine::FinishedRequest| request.ended == CallerOutcome::Refused;
    let mut figures = Figures::default();
    figures.set("others_p99_ms", p99(&run) / 1e3);
    figures.set("others_p99_over_without", p99(&run) / without);
    figures.set("others_refused", run.share(span.clone(), others, refused));
    figures.set("hot_refused", run.share(span.clone(), |request| !others(request), refused));
    figures.plot(&run, span, deployment);
    figures
}

fn seed(seed: u64, only: Option<&str>, by_key: bool) -> SeedResult {
    let comparison =
        compare(only, &all_policies(), |to, _, policy_kind| figures(seed, to, policy_kind, by_key));
    let checks = checks(&comparison, |_, agatesill, checks| {
        let ratio = agatesill.get("others_p99_over_without");
        checks.push(Check::at_most("others' p99 over theirs without it", ratio, 1.25));
        checks.push(Check::at_most(
            "others' refused share",
            agatesill.get("others_refused"),
            0.005,
        ));
    });
    result(comparison, checks)
}

/// Runs a seed of `hot-caller`.
pub fn caller(number: u64, only: Option<&str>) -> SeedResult {
    seed(number, only, false)
}

/// Runs a seed of `hot-key`.
pub fn key(number: u64, only: Option<&str>) -> SeedResult {
    seed(number, only, true)
}
