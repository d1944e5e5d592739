//! `retry-storm`: half of the upstreams fail every request for ten seconds.
//!
//! Utilisation 70% of the whole floor, so 140% of what is left, from 4 s to 14 s. A failing
//! upstream breaks each exchange after 1 ms, after its bytes left. Lognormal service times (sigma
//! 0.8), the brief's network, heartbeats every 200 ms; 20% of requests may not be repeated.

use super::engine::{ATTEMPTS_US, Decides, Ended, Fault, Finished};
use super::load::{Deployment, UPSTREAMS};
use super::measure::{Figures, Plan, Run, S, all_policies, any, checks, compare, result, run};
use crate::result::{Check, SeedResult};

const FAILS_FROM: u64 = 4 * S;
const FAILS_TO: u64 = 14 * S;
const ENDS: u64 = 26 * S;
const LOAD: f64 = 0.7;

/// The failing start: detection in every daemon.
const STARTED: u64 = FAILS_FROM + S;

/// Spans before and after that are compared.
const BEFORE: std::ops::Range<u64> = S..FAILS_FROM;
const AFTER: std::ops::Range<u64> = FAILS_TO + 6 * S..ENDS - 2 * S;

fn attempts_per_request(run: &Run, span: std::ops::Range<u64>) -> f64 {
    let buckets = (span.start / ATTEMPTS_US) as usize..(span.end / ATTEMPTS_US) as usize;
    let attempts: u32 = run.watched.attempts[buckets].iter().sum();
    f64::from(attempts) / run.within(span, any).count() as f64
}

fn figures(seed: u64, deployment: &Deployment, decides: Decides) -> Figures {
    let faults =
        vec![(FAILS_FROM, Fault::FailingBelow(UPSTREAMS / 2)), (FAILS_TO, Fault::FailingBelow(0))];
    let run = run(seed, decides, deployment, &Plan { faults, ..Plan::even(LOAD, ENDS) });
    let not_answered = |one: &Finished| one.ended != Ended::Answered;
    let mut figures = Figures::default();
    figures.set("attempts_per_request", attempts_per_request(&run, STARTED..FAILS_TO));
    figures.set("attempts_per_request_whole", attempts_per_request(&run, FAILS_FROM..FAILS_TO));
    let kept = run.in_promise(STARTED..FAILS_TO, deployment.promise_us);
    let left = deployment.capacity() / 2.0 * (FAILS_TO - STARTED) as f64 / 1e6;
    figures.set("goodput_over_what_is_left", kept / left);
    let before = run.p99_us(BEFORE, any);
    figures.set("p99_after_over_before", run.p99_us(AFTER, any) / before);
    figures.set("unanswered_after", run.share(AFTER, any, not_answered));
    let untrue = run.finished.iter().filter(|one| one.untrue).count();
    figures.set("untrue_or_repeated", untrue as f64);
    figures.plot(&run, STARTED..FAILS_TO, deployment);
    figures
}

/// Runs a seed.
pub fn seed(seed: u64, only: Option<&str>) -> SeedResult {
    let compared = compare(only, &all_policies(), |to, _, decides| figures(seed, to, decides));
    let checks = checks(&compared, |_, own, checks| {
        let at_most =
            |what: &str, figure: &str, bound| Check::at_most(what, own.get(figure), bound);
        checks.push(at_most("attempts per request", "attempts_per_request", 1.1));
        checks.push(at_most("p99 after over before", "p99_after_over_before", 1.25));
        checks.push(at_most("unanswered share after", "unanswered_after", 0.005));
        checks.push(at_most("untrue refusals and second runs", "untrue_or_repeated", 0.0));
    });
    result(compared, checks)
}
