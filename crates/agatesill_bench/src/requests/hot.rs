//! `hot-caller` and `hot-key`: one of 20 callers or keys asks for ten times its share.
//!
//! Utilisation 70%, with the hot one 101.5%, from 2 s to 8 s. Lognormal service times (sigma
//! 0.8), the brief's network, heartbeats every 200 ms. The others are judged against the same
//! seed without the hot one.

use super::engine::{Decides, Ended};
use super::load::{Deployment, Shape};
use super::measure::{Figures, Plan, Run, S, all_policies, checks, compare, result, run};
use crate::result::{Check, SeedResult};

const HOT_FROM: u64 = 2 * S;
const HOT_TO: u64 = 8 * S;
const LOAD: f64 = 0.7;

fn figures(seed: u64, deployment: &Deployment, decides: Decides, by_key: bool) -> Figures {
    let calm = Plan::even(LOAD, HOT_TO + 2 * S);
    let shape =
        if by_key { Shape::HotKey(HOT_FROM, HOT_TO) } else { Shape::HotCaller(HOT_FROM, HOT_TO) };
    let hot = Plan { shape, ..calm.clone() };
    let others = |one: &super::engine::Finished| {
        if by_key { one.arrival.key != 0 } else { one.arrival.caller != 0 }
    };
    let span = HOT_FROM..HOT_TO;
    let p99 = |run: &Run| run.p99_us(span.clone(), others);
    let without = p99(&run(seed, decides, deployment, &calm));
    let run = run(seed, decides, deployment, &hot);
    let refused = |one: &super::engine::Finished| one.ended == Ended::Refused;
    let mut figures = Figures::default();
    figures.set("others_p99_ms", p99(&run) / 1e3);
    figures.set("others_p99_over_without", p99(&run) / without);
    figures.set("others_refused", run.share(span.clone(), others, refused));
    figures.set("hot_refused", run.share(span.clone(), |one| !others(one), refused));
    figures.plot(&run, span, deployment);
    figures
}

fn seed(seed: u64, only: Option<&str>, by_key: bool) -> SeedResult {
    let compared =
        compare(only, &all_policies(), |to, _, decides| figures(seed, to, decides, by_key));
    let checks = checks(&compared, |_, own, checks| {
        let ratio = own.get("others_p99_over_without");
        checks.push(Check::at_most("others' p99 over theirs without it", ratio, 1.25));
        checks.push(Check::at_most("others' refused share", own.get("others_refused"), 0.005));
    });
    result(compared, checks)
}

/// Runs a seed of `hot-caller`.
pub fn caller(number: u64, only: Option<&str>) -> SeedResult {
    seed(number, only, false)
}

/// Runs a seed of `hot-key`.
pub fn key(number: u64, only: Option<&str>) -> SeedResult {
    seed(number, only, true)
}
