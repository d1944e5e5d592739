//! `burst`: five times the usual load for two seconds.
//!
//! Utilisation 70%, then 350% for 2 s, then 70%. Lognormal service times (sigma 0.8), the brief's
//! network, heartbeats every 200 ms. What fits is what the same policy answers in promise when
//! one daemon sees all slots, gets every request and has no zone to cross.

use super::engine::Decides;
use super::load::{Deployment, Phase};
use super::measure::{Figures, Plan, S, all_policies, any, checks, compare, result, run};
use crate::result::{Check, SeedResult};

const BURST_FROM: u64 = 2 * S;
const BURST_TO: u64 = 4 * S;

/// Waiting requests below which the queue counts as gone; at 70% load that few wait by chance.
const GONE: u32 = 4;

fn plan() -> Plan {
    let mut plan = Plan::even(0.7, 8 * S);
    plan.phases.push(Phase { from_us: BURST_FROM, load: 3.5 });
    plan.phases.push(Phase { from_us: BURST_TO, load: 0.7 });
    plan
}

fn figures(seed: u64, deployment: &Deployment, decides: Decides) -> Figures {
    let run = run(seed, decides, deployment, &plan());
    let span = BURST_FROM..BURST_TO;
    let mut figures = Figures::default();
    figures.set("answered_in_promise", run.in_promise(span.clone(), deployment.promise_us));
    figures.set("answered_p99_ms", run.p99_us(span.clone(), any) / 1e3);
    figures.set("queue_gone_after_ms", run.drained_after_us(BURST_TO, GONE) as f64 / 1e3);
    let untrue = run.finished.iter().filter(|one| one.untrue).count();
    figures.set("untrue_refusals", untrue as f64);
    figures.plot(&run, span, deployment);
    figures
}

/// Runs a seed.
pub fn seed(seed: u64, only: Option<&str>) -> SeedResult {
    let compared = compare(only, &all_policies(), |to, _, decides| figures(seed, to, decides));
    let checks = checks(&compared, |to, own, checks| {
        let good = own.get("answered_in_promise");
        if let Some(central) = compared.of(to, "central") {
            let fits = good / central.get("answered_in_promise");
            checks.push(Check::at_least("answered in promise over what fits", fits, 0.99));
        }
        let p99 = own.get("answered_p99_ms") * 1e3 / to.promise_us as f64;
        checks.push(Check::at_most("answered p99 over promise", p99, 1.0));
        checks.push(Check::at_most(
            "queue gone after s",
            own.get("queue_gone_after_ms") / 1e3,
            1.0,
        ));
        if let Some(best) = compared.best_baseline(to, "answered_in_promise") {
            let over = best / good;
            checks.push(Check::at_most("best baseline's answers over own", over, 1.0));
        }
    });
    result(compared, checks)
}
