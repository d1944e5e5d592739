//! `slow-upstream`: one of 50 turns ten times slower, and in a second run five do.
//!
//! Utilisation 70% of the healthy floor. Slow from 4 s to 14 s, healed after that, until 36 s.
//! Lognormal service times (sigma 0.8), the brief's network, heartbeats every 200 ms. The latency
//! is judged against the same seed with all upstreams healthy.

use super::engine::{Decides, Fault, Finished};
use super::load::{Deployment, UPSTREAMS};
use super::measure::{Figures, Plan, Run, S, all_policies, any, checks, compare, result, run};
use crate::result::{Check, SeedResult};

const SLOW_FROM: u64 = 4 * S;
const SLOW_TO: u64 = 14 * S;
const ENDS: u64 = 37 * S;
const SLOWNESS: f64 = 10.0;
const LOAD: f64 = 0.7;

/// Time from which the choice has to have reacted.
const REACTED: u64 = SLOW_FROM + 2 * S;

/// Time by which the healed ones have to be back, and until which their share is counted.
const BACK: u64 = SLOW_TO + 20 * S;

fn met(below: u32) -> impl Fn(&Finished) -> bool {
    let mask = (1u64 << below) - 1;
    move |one| one.met & mask != 0
}

fn back_to_share(run: &Run, slow: u32) -> f64 {
    let share = run.share(BACK..BACK + 2 * S, any, met(slow));
    share / (f64::from(slow) / f64::from(UPSTREAMS))
}

fn figures(seed: u64, deployment: &Deployment, decides: Decides) -> Figures {
    let span = REACTED..SLOW_TO;
    let calm = Plan::even(LOAD, ENDS);
    let healthy = run(seed, decides, deployment, &Plan::even(LOAD, SLOW_TO + S));
    let healthy_p99 = healthy.p99_us(span.clone(), any);
    let mut figures = Figures::default();
    figures.set("healthy_p99_ms", healthy_p99 / 1e3);
    for slow in [1, 5] {
        let faults =
            vec![(SLOW_FROM, Fault::Speed(slow, SLOWNESS)), (SLOW_TO, Fault::Speed(slow, 1.0))];
        let run = run(seed, decides, deployment, &Plan { faults, ..calm.clone() });
        let p99 = run.p99_us(span.clone(), any);
        figures.set(&format!("{slow}_met_share"), run.share(span.clone(), any, met(slow)));
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
    let compared = compare(only, &all_policies(), |to, _, decides| figures(seed, to, decides));
    let checks = checks(&compared, |_, own, checks| {
        for slow in [1, 5] {
            let value = |what: &str| own.get(&format!("{slow}_{what}"));
            let name = |what: &str| format!("{slow} slow: {what}");
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
    result(compared, checks)
}
