//! `retry-storm`: half of the upstreams fail every request for ten seconds.
//!
//! Utilisation is 70% of all upstreams, hence 140% of the remaining ones from 4 s to 14 s. A
//! failing upstream breaks each exchange after 1 ms, when the request has already been sent.
//! Service times are lognormal (sigma 0.8), network delays are those of [`Deployment`], and
//! heartbeats are sent every 200 ms; 20% of requests are not repeatable.

use super::engine::{ATTEMPTS_BUCKET_US, CallerOutcome, Fault, FinishedRequest, PolicyKind};
use super::load::{Deployment, UPSTREAMS};
use super::measure::{
    Figures, Plan, Run, SECOND_US, all_policies, any, checks, compare, result, run,
};
use crate::result::{Check, SeedResult};

const FAILING_FROM_US: u64 = 4 * SECOND_US;
const FAILING_TO_US: u64 = 14 * SECOND_US;
const END_US: u64 = 26 * SECOND_US;
const LOAD: f64 = 0.7;

/// Time by which every daemon must have detected the failure.
const DETECTED_US: u64 = FAILING_FROM_US + SECOND_US;

/// Spans before and after the failure that are compared.
const BEFORE_US: std::ops::Range<u64> = SECOND_US..FAILING_FROM_US;
const AFTER_US: std::ops::Range<u64> = FAILING_TO_US + 6 * SECOND_US..END_US - 2 * SECOND_US;

fn attempts_per_request(run: &Run, span: std::ops::Range<u64>) -> f64 {
    let buckets =
        (span.start / ATTEMPTS_BUCKET_US) as usize..(span.end / ATTEMPTS_BUCKET_US) as usize;
    let attempts: u32 = run.stats.attempts[buckets].iter().sum();
    f64::from(attempts) / run.within(span, any).count() as f64
}

fn figures(seed: u64, deployment: &Deployment, policy_kind: PolicyKind) -> Figures {
    let faults = vec![
        (FAILING_FROM_US, Fault::FailingBelow(UPSTREAMS / 2)),
        (FAILING_TO_US, Fault::FailingBelow(0)),
    ];
    let run = run(seed, policy_kind, deployment, &Plan { faults, ..Plan::even(LOAD, END_US) });
    let not_answered = |request: &FinishedRequest| request.ended != CallerOutcome::Answered;
    let mut figures = Figures::default();
    figures.set("attempts_per_request", attempts_per_request(&run, DETECTED_US..FAILING_TO_US));
    figures.set(
        "attempts_per_request_whole",
        attempts_per_request(&run, FAILING_FROM_US..FAILING_TO_US),
    );
    let within_objective =
        run.answered_within_objective(DETECTED_US..FAILING_TO_US, deployment.promise_us);
    let remaining_capacity =
        deployment.capacity() / 2.0 * (FAILING_TO_US - DETECTED_US) as f64 / 1e6;
    figures.set("goodput_over_what_is_left", within_objective / remaining_capacity);
    let before = run.p99_us(BEFORE_US, any);
    figures.set("p99_after_over_before", run.p99_us(AFTER_US, any) / before);
    figures.set("unanswered_after", run.share(AFTER_US, any, not_answered));
    let violates_at_most_once =
        run.finished.iter().filter(|request| request.violates_at_most_once).count();
    figures.set("untrue_or_repeated", violates_at_most_once as f64);
    figures.plot(&run, DETECTED_US..FAILING_TO_US, deployment);
    figures
}

/// Runs a seed.
pub fn seed(seed: u64, only: Option<&str>) -> SeedResult {
    let comparison =
        compare(only, &all_policies(), |to, _, policy_kind| figures(seed, to, policy_kind));
    let checks = checks(&comparison, |_, agatesill, checks| {
        let at_most =
            |check: &str, figure: &str, bound| Check::at_most(check, agatesill.get(figure), bound);
        checks.push(at_most("attempts per request", "attempts_per_request", 1.1));
        checks.push(at_most("p99 after over before", "p99_after_over_before", 1.25));
        checks.push(at_most("unanswered share after", "unanswered_after", 0.005));
        checks.push(at_most("untrue refusals and second runs", "untrue_or_repeated", 0.0));
    });
    result(comparison, checks)
}
