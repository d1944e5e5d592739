//! `overload`: 2x capacity for 60 s, and 10x in a separate run.
//!
//! Utilisation is 70% for 2 s, then 200% or 1000% for 60 s, then 70% for 4 s. Service times are
//! lognormal (sigma 0.8), network delays are those of [`Deployment`], and heartbeats are sent every
//! 200 ms. Baselines run at 2x only: at 10x their unbounded queues hold millions of requests
//! without adding information. Capacity is all slots over the mean service time, without network
//! delays.

use hdrhistogram::Histogram;

use super::engine::{CallerOutcome, FinishedRequest, PolicyKind};
use super::load::{Deployment, Phase};
use super::measure::{Figures, Plan, SECOND_US, all_policies, checks, compare, result, watch};
use crate::result::{Check, SeedResult, Series};

const OVERLOAD_FROM_US: u64 = 2 * SECOND_US;
const OVERLOAD_TO_US: u64 = 62 * SECOND_US;
const END_US: u64 = 67 * SECOND_US;

/// Span in which the latency has to be as before the overload.
const RECOVERED_FROM_US: u64 = OVERLOAD_TO_US + 2 * SECOND_US;
const RECOVERED_TO_US: u64 = END_US - SECOND_US;

/// Span before the overload, for comparison.
const BEFORE_US: std::ops::Range<u64> = SECOND_US / 2..OVERLOAD_FROM_US;

#[derive(Debug)]
struct OverloadStats {
    good: u64,
    answered: Histogram<u64>,
    refused: Histogram<u64>,
    before: Histogram<u64>,
    after: Histogram<u64>,
    refused_after: u64,
    violates_at_most_once: u64,
    within_objective_by_second: Vec<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(100 * SECOND_US, 3)
        .unwrap_or_else(|_| unreachable!("3 digits are within range"))
}

impl OverloadStats {
    fn new() -> Self {
        Self {
            good: 0,
            answered: histogram(),
            refused: histogram(),
            before: histogram(),
            after: histogram(),
            refused_after: 0,
            violates_at_most_once: 0,
            within_objective_by_second: vec![0; (END_US / SECOND_US) as usize + 1],
        }
    }

    fn record(&mut self, request: &FinishedRequest, promise_us: u64) {
        let (sent_us, latency_us) = (request.arrival.sent_us, request.latency_us());
        self.violates_at_most_once += u64::from(request.violates_at_most_once);
        let answered = request.ended == CallerOutcome::Answered;
        let normal = (RECOVERED_FROM_US..RECOVERED_TO_US).contains(&sent_us);
        self.refused_after += u64::from(normal && !answered);
        if answered && BEFORE_US.contains(&sent_us) {
            self.before.saturating_record(latency_us);
        }
        if answered && normal {
            self.after.saturating_record(latency_us);
        }
        if answered && latency_us <= promise_us {
            self.within_objective_by_second[(sent_us / SECOND_US) as usize] += 1;
        }
        if !(OVERLOAD_FROM_US..OVERLOAD_TO_US).contains(&sent_us) {
            return;
        }
        match request.ended {
            CallerOutcome::Answered => {
                self.good += u64::from(latency_us <= promise_us);
                self.answered.saturating_record(latency_us);
            }
            CallerOutcome::Refused => self.refused.saturating_record(latency_us),
            CallerOutcome::Failed | CallerOutcome::Lost => {}
        }
    }
}

fn figures(seed: u64, deployment: &Deployment, name: &str, policy_kind: PolicyKind) -> Figures {
    let mut figures = Figures::default();
    for times in [2u32, 10] {
        if times == 10 && name != "agatesill" {
            continue;
        }
        let mut plan = Plan::even(0.7, END_US);
        plan.phases.push(Phase { from_us: OVERLOAD_FROM_US, load: f64::from(times) });
        plan.phases.push(Phase { from_us: OVERLOAD_TO_US, load: 0.7 });
        let mut stats = OverloadStats::new();
        watch(seed, policy_kind, deployment, &plan, &mut |request| {
            stats.record(request, deployment.promise_us);
        });
        let capacity = deployment.capacity() * (OVERLOAD_TO_US - OVERLOAD_FROM_US) as f64 / 1e6;
        let mut set = |suffix: &str, value: f64| figures.set(&format!("{times}x_{suffix}"), value);
        let p99 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99) as f64;
        let normal = stats.after.len() + stats.refused_after;
        set("goodput_over_capacity", stats.good as f64 / capacity);
        set("answered_p99_ms", p99(&stats.answered) / 1e3);
        set("refusal_p99_ms", p99(&stats.refused) / 1e3);
        set("untrue_refusals", stats.violates_at_most_once as f64);
        set("p99_after_over_before", p99(&stats.after) / p99(&stats.before));
        set("refused_after", stats.refused_after as f64 / normal.max(1) as f64);
        figures.series.push(Series {
            plot: format!("{} goodput at {times}x capacity", deployment.name),
            x_label: "time (s)".to_owned(),
            y_label: "answered within the objective (1/s)".to_owned(),
            points: (0..END_US / SECOND_US)
                .map(|second| {
                    (second as f64, stats.within_objective_by_second[second as usize] as f64)
                })
                .collect(),
        });
    }
    figures
}

/// Runs a seed.
pub fn seed(seed: u64, only: Option<&str>) -> SeedResult {
    let comparison = compare(only, &all_policies(), |to, name, policy_kind| {
        figures(seed, to, name, policy_kind)
    });
    let checks = checks(&comparison, |to, agatesill, checks| {
        let promise_ms = to.promise_us as f64 / 1e3;
        for times in [2, 10] {
            let value = |suffix: &str| agatesill.get(&format!("{times}x_{suffix}"));
            let name = |suffix: &str| format!("{times}x: {suffix}");
            let at_most =
                |suffix: &str, value: f64, bound: f64| Check::at_most(&name(suffix), value, bound);
            checks.push(Check::at_least(
                &name("goodput over capacity"),
                value("goodput_over_capacity"),
                0.95,
            ));
            let answered = value("answered_p99_ms") / promise_ms;
            checks.push(at_most("answered p99 over promise", answered, 1.0));
            let refusal = value("refusal_p99_ms") / promise_ms;
            checks.push(at_most("refusal p99 over promise", refusal, 0.1));
            checks.push(at_most("untrue refusals", value("untrue_refusals"), 0.0));
            let after = value("p99_after_over_before");
            checks.push(at_most("p99 from 2 s after over before", after, 1.25));
            checks.push(at_most("refused share from 2 s after", value("refused_after"), 0.005));
        }
    });
    result(comparison, checks)
}
