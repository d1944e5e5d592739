//! `burst`: five times the normal load for two seconds.
//!
//! Utilisation is 70%, then 350% for 2 s, then 70%. Service times are lognormal (sigma 0.8),
//! network delays are those of [`Deployment`], and heartbeats are sent every 200 ms. The reference
//! is the `central` policy: one daemon that sees all slots, receives every request and crosses no
//! zone.

use super::engine::PolicyKind;
use super::load::{Deployment, Phase};
use super::measure::{Figures, Plan, SECOND_US, all_policies, any, checks, compare, result, run};
use crate::result::{Check, SeedResult};

const BURST_FROM_US: u64 = 2 * SECOND_US;
const BURST_TO_US: u64 = 4 * SECOND_US;

/// Queued requests up to which the queue counts as empty; at 70% load that many are queued by
/// chance.
const EMPTY_QUEUE_REQUESTS: u32 = 4;

fn plan() -> Plan {
    let mut plan = Plan::even(0.7, 8 * SECOND_US);
    plan.phases.push(Phase { from_us: BURST_FROM_US, load: 3.5 });
    plan.phases.push(Phase { from_us: BURST_TO_US, load: 0.7 });
    plan
}

fn figures(seed: u64, deployment: &Deployment, policy_kind: PolicyKind) -> Figures {
    let run = run(seed, policy_kind, deployment, &plan());
    let span = BURST_FROM_US..BURST_TO_US;
    let mut figures = Figures::default();
    figures.set(
        "answered_in_promise",
        run.answered_within_objective(span.clone(), deployment.promise_us),
    );
    figures.set("answered_p99_ms", run.p99_us(span.clone(), any) / 1e3);
    figures.set(
        "queue_gone_after_ms",
        run.drained_after_us(BURST_TO_US, EMPTY_QUEUE_REQUESTS) as f64 / 1e3,
    );
    let violates_at_most_once =
        run.finished.iter().filter(|request| request.violates_at_most_once).count();
    figures.set("untrue_refusals", violates_at_most_once as f64);
    figures.plot(&run, span, deployment);
    figures
}

/// Runs a seed.
pub fn seed(seed: u64, only: Option<&str>) -> SeedResult {
    let comparison =
        compare(only, &all_policies(), |to, _, policy_kind| figures(seed, to, policy_kind));
    let checks = checks(&comparison, |to, agatesill, checks| {
        let good = agatesill.get("answered_in_promise");
        if let Some(central) = comparison.of(to, "central") {
            let ratio = good / central.get("answered_in_promise");
            checks.push(Check::at_least("answered in promise over what fits", ratio, 0.99));
        }
        let p99 = agatesill.get("answered_p99_ms") * 1e3 / to.promise_us as f64;
        checks.push(Check::at_most("answered p99 over promise", p99, 1.0));
        checks.push(Check::at_most(
            "queue gone after s",
            agatesill.get("queue_gone_after_ms") / 1e3,
            1.0,
        ));
        if let Some(best) = comparison.best_baseline(to, "answered_in_promise") {
            let over = best / good;
            checks.push(Check::at_most("best baseline's answers over own", over, 1.0));
        }
    });
    result(comparison, checks)
}
